//! Handling of the daemons' requests by the simulated table and VMs, with injected faults.

use std::time::Duration;

use ragwortstall::core::model::Now;
use ragwortstall::core::workload::effect::Acknowledgement;
use ragwortstall::core::workload::effect::Request;
use ragwortstall::core::workload::event::AdviceQuery;
use ragwortstall::core::workload::event::AdvisedVm;
use ragwortstall::core::workload::event::Answer;
use ragwortstall::core::workload::event::CommitPurpose;
use ragwortstall::core::workload::event::Feed;
use ragwortstall::core::workload::event::FeedAnswer;
use ragwortstall::core::workload::event::FeedRow;
use ragwortstall::core::workload::event::OrderError;
use ragwortstall::core::workload::event::PlacerWrite;
use ragwortstall::core::workload::event::ProbeResult;
use ragwortstall::core::workload::event::RenewalReport;
use ragwortstall::core::workload::event::StartError;
use ragwortstall::core::workload::submission::Step;
use ragwortstall::core::workload::table::CommitOutcome;
use ragwortstall::core::workload::table::HEARTBEATS;
use ragwortstall::core::workload::table::JOBS;
use ragwortstall::core::workload::table::Transaction;
use ragwortstall::core::workload::task::RunOutcome;
use ragwortstall::core::workload::task::TaskName;

use super::Connection;
use super::Harness;
use super::Message;
use super::PendingRenewal;
use super::PendingWatch;
use super::link::MAX_TRANSFER;
use super::link::timed_out;
use super::link::transfer_limit;
use crate::vm::SimVm;
use crate::vm::done_ms;

/// Time beyond its wait after which a daemon gives up a renewal.
const RENEWAL_MARGIN: Duration = Duration::from_millis(500);

impl Harness {
    /// Handles a request of a daemon: answers it or keeps it until it can be answered.
    pub(super) fn handle_request(&mut self, daemon: usize, lifetime: u64, req: Request) {
        if self.now < self.table_silent_until
            && let Some((timeout, answer)) = timeout_answer(&req)
        {
            return self.send_after(timeout, Message::Answer(daemon, lifetime, answer));
        }
        if let Some((timeout, answer)) = self.cut_order(daemon, &req) {
            return self.send_after(timeout, Message::Answer(daemon, lifetime, answer));
        }
        if let Some((timeout, answer)) = self.silent_start(&req) {
            return self.send_after(timeout, Message::Answer(daemon, lifetime, answer));
        }
        let table_answers = self.table_up && self.daemons[daemon].table_reachable;
        let no_answer: Box<str> = "no answer".into();
        let limit = transfer_limit(&req);
        let answer = match req {
            Request::Commit {
                purpose, timeout, ..
            } if self.is_silent(&purpose) => {
                let outcome = CommitOutcome::Unknown(no_answer);
                let answer = Answer::Committed(purpose, outcome);
                return self.send_after(timeout, Message::Answer(daemon, lifetime, answer));
            }
            Request::Commit {
                purpose,
                txn,
                timeout,
            } if self.put_back(&purpose, &txn) => {
                let outcome = CommitOutcome::Unknown(no_answer);
                let answer = Answer::Committed(purpose, outcome);
                return self.send_after(timeout, Message::Answer(daemon, lifetime, answer));
            }
            Request::Commit { purpose, txn, .. } => {
                let outcome = self.commit(table_answers, &purpose, txn);
                Answer::Committed(purpose, outcome)
            }
            Request::Read { purpose, range } if self.unreadable_parts.contains(&range.part) => {
                Answer::Read(purpose, Err(no_answer))
            }
            Request::Read { purpose, range } if table_answers => {
                self.reads.push((range.part.clone(), range.from.clone()));
                Answer::Read(purpose, Ok(self.table.page(&range)))
            }
            Request::Read { purpose, .. } => Answer::Read(purpose, Err(no_answer)),
            Request::ReadAll { call, .. } if table_answers => Answer::Feed(
                call,
                FeedAnswer::Snapshot(self.rows(call.feed, 0), self.table.version),
            ),
            Request::Watch { call, .. }
                if table_answers && self.expired_histories.remove(&(daemon, call.feed)) =>
            {
                Answer::Feed(call, FeedAnswer::HistoryGone)
            }
            Request::Watch {
                call,
                after,
                wait,
                timeout,
            } if table_answers => {
                return self.pending_watches.push(PendingWatch {
                    daemon,
                    lifetime,
                    call,
                    after,
                    until: self.now + wait,
                    times_out_at: self.now + timeout,
                    limit: MAX_TRANSFER,
                });
            }
            Request::ReadAll { call, .. } | Request::Watch { call, .. } => {
                Answer::Feed(call, FeedAnswer::Failed(no_answer))
            }
            Request::Renew { .. } => return self.keep_renewal(daemon, lifetime, req),
            Request::Probe {
                purpose, address, ..
            } => {
                self.probes += 1;
                Answer::Probed(purpose, self.probe_result(&address))
            }
            Request::Relay {
                ticket, call, via, ..
            } => {
                return self.relay(daemon, lifetime, ticket, *call, &via);
            }
            Request::Advise { query, .. } => {
                return self.answer_advice(daemon, lifetime, query);
            }
            order => self.execute_order(order),
        };
        match limit {
            Some(limit) => self.transfer(daemon, lifetime, answer, limit),
            None => self.answer(daemon, lifetime, answer),
        }
    }

    /// Returns the answer to a start or a check on a VM that does not answer, and the time after which
    /// it is given.
    fn silent_start(&self, req: &Request) -> Option<(Duration, Answer)> {
        let err = OrderError::NoAnswer("timed out".into());
        let (vm, timeout, answer) = match req {
            Request::Start(start) => {
                let order = start.order.clone();
                let answer = Answer::Started(order, Err(StartError::Order(err)));
                (&start.order.vm, start.timeout, answer)
            }
            Request::Check { order, timeout, .. } => (
                &order.vm,
                *timeout,
                Answer::Checked(order.clone(), Err(err)),
            ),
            _ => return None,
        };
        let is_silent = self.silent_vms.contains(vm);
        is_silent.then_some((timeout, answer))
    }

    /// Returns the answer to an order or a renewal of a VM that a daemon cannot reach, and the time after
    /// which it is given.
    fn cut_order(&self, daemon: usize, req: &Request) -> Option<(Duration, Answer)> {
        let err = OrderError::NoAnswer("timed out".into());
        let (vm, timeout, answer) = match req {
            Request::Start(start) => {
                let order = start.order.clone();
                let answer = Answer::Started(order, Err(StartError::Order(err)));
                (&start.order.vm, start.timeout, answer)
            }
            Request::Check { order, timeout, .. } => {
                let answer = Answer::Checked(order.clone(), Err(err));
                (&order.vm, *timeout, answer)
            }
            Request::Stop { order, timeout, .. } => {
                let answer = Answer::Stopped(order.clone(), Err(err));
                (&order.vm, *timeout, answer)
            }
            Request::Renew {
                renewal, timeout, ..
            } => {
                let answer = Answer::Renewed(renewal.clone(), Err(err));
                (&renewal.vm, *timeout, answer)
            }
            _ => return None,
        };
        let is_cut = self.cut_paths.contains(&(daemon, vm.clone()));
        is_cut.then_some((timeout, answer))
    }

    /// Answers an advice query after the time that the service takes; rejects some VMs.
    fn answer_advice(&mut self, daemon: usize, lifetime: u64, query: AdviceQuery) {
        let timing = self.advice.expect("a queue with advice");
        let asked = query.vms.iter().map(|vm| (self.now, vm.clone()));
        self.asked.extend(asked);
        let count = u32::try_from(query.vms.len()).expect("few VMs");
        let vms = query.vms.iter();
        let approved = vms.filter(|vm| !self.unadvised_vms.contains(*vm));
        let approved = approved.map(|vm| AdvisedVm {
            vm: vm.clone(),
            ticket: "ticket".into(),
        });
        let approved = Ok(approved.collect());
        let delay = timing.base_latency + timing.latency_per_vm * count;
        let answer = Answer::Advised(query, approved);
        self.send_after(delay, Message::Answer(daemon, lifetime, answer));
    }

    /// Returns whether a transaction neither takes effect nor gets an answer.
    fn is_silent(&mut self, purpose: &CommitPurpose) -> bool {
        let remaining = match purpose {
            CommitPurpose::Placer(_, PlacerWrite::Progress) => {
                if self.now < self.progress_silent_until {
                    return true;
                }
                &mut self.silent_progress_writes
            }
            CommitPurpose::Placer(_, PlacerWrite::LoadingHeartbeat) => {
                &mut self.silent_loading_heartbeats
            }
            _ => return false,
        };
        let is_silent = *remaining > 0;
        *remaining = remaining.saturating_sub(1);
        is_silent
    }

    /// Runs a transaction, unless a fault prevents it; the outcome is the one that the daemon sees.
    fn commit(
        &mut self,
        table_answers: bool,
        purpose: &CommitPurpose,
        txn: Transaction,
    ) -> CommitOutcome {
        let no_answer: Box<str> = "no answer".into();
        if self.hold_archives
            && matches!(purpose, CommitPurpose::Placer(_, PlacerWrite::Archive(_)))
        {
            self.held_archives.push(txn);
            return CommitOutcome::Unknown(no_answer);
        }
        let refuses_progress = self.now < self.progress_refused_until;
        if refuses_progress && matches!(purpose, CommitPurpose::Placer(_, PlacerWrite::Progress)) {
            return CommitOutcome::Refused("busy".into());
        }
        if !table_answers {
            return CommitOutcome::Refused(no_answer);
        }
        if self.now < self.commits_refused_until {
            return CommitOutcome::Refused("busy".into());
        }
        let outcome = self.table.commit(&txn);
        if self.now < self.commit_answers_lost_until {
            return CommitOutcome::Unknown(no_answer);
        }
        if self.lost_commit_answers > 0 && matches!(outcome, CommitOutcome::Done(_)) {
            self.lost_commit_answers -= 1;
            return CommitOutcome::Unknown(no_answer);
        }
        outcome
    }

    fn execute_order(&mut self, req: Request) -> Answer {
        let no_answer = || OrderError::NoAnswer("no answer".into());
        match req {
            Request::Start(start) => self.answer_start(*start),
            Request::Check { order, epoch, .. } => {
                let vm = self.vms.get_mut(&order.vm).expect("a known VM");
                let result = if vm.connected {
                    vm.check(self.now, epoch)
                } else {
                    Err(no_answer())
                };
                self.checks.push((self.now, order.vm.clone()));
                Answer::Checked(order, result)
            }
            Request::Stop { order, .. } if self.lost_stops > 0 => {
                self.lost_stops -= 1;
                Answer::Stopped(order, Err(no_answer()))
            }
            Request::Stop { order, epoch, .. } => {
                let vm = self.vms.get_mut(&order.vm).expect("a known VM");
                let result = if vm.connected {
                    vm.stop(self.now, epoch, &order.task, order.run)
                } else {
                    Err(no_answer())
                };
                Answer::Stopped(order, result)
            }
            Request::SetSpeed { order, percent, .. } => {
                self.speed_orders.push((order.task.clone(), percent));
                Answer::SpeedSet(order, Ok(0))
            }
            other => panic!("unexpected request {other:?}"),
        }
    }

    /// Returns when and how a run ends by itself; `None` for a run that lasts until it is stopped.
    pub(super) fn run_end(
        &mut self,
        name: &TaskName,
        step: &Step,
        checkpoint: &str,
        slowdown: u32,
    ) -> Option<(Now, RunOutcome)> {
        let left_ms = step.estimate_ms.saturating_sub(done_ms(checkpoint));
        let ends_at = self.now + Duration::from_millis(left_ms) * slowdown;
        if let Some(remaining) = self.remaining_failures.get_mut(name)
            && *remaining > 0
        {
            *remaining -= 1;
            return Some((ends_at, RunOutcome::Failed));
        }
        (!step.traits.long_running).then_some((ends_at, RunOutcome::Done))
    }

    /// Returns the result of probing a daemon's address.
    fn probe_result(&self, address: &str) -> ProbeResult {
        let daemon = self.daemons.iter().find(|daemon| *daemon.name == *address);
        match daemon {
            Some(daemon) if daemon.up => ProbeResult::Listening,
            Some(daemon) if daemon.host_down => ProbeResult::NoAnswer("no answer".into()),
            _ => ProbeResult::Refused,
        }
    }

    /// Asserts that a task runs on at most one VM and was not started after its acknowledged
    /// completion.
    pub(super) fn assert_not_duplicated(&self, name: &TaskName) {
        let on = self.vms.values().filter(|vm| vm.runs.contains_key(name));
        assert!(on.count() <= 1, "{name} runs twice at {:?}", self.now);
        assert!(
            !self.acknowledged.contains(name),
            "{name} starts after its completion was acknowledged"
        );
    }

    /// Answers the pending watches and renewals that have something to report or whose wait is
    /// over.
    pub(super) fn answer_pending(&mut self) {
        let now = self.now;
        for watch in std::mem::take(&mut self.pending_watches) {
            let rows = self.rows(watch.call.feed, watch.after);
            if rows.is_empty() && now < watch.until {
                self.pending_watches.push(watch);
                continue;
            }
            let answer = FeedAnswer::Changes(rows, self.table.version);
            let answer = Answer::Feed(watch.call, answer);
            let (daemon, lifetime) = (watch.daemon, watch.lifetime);
            if self.lost_watch_answers.contains(&(daemon, watch.call.feed)) {
                let delay = watch.times_out_at.saturating_sub(now);
                self.send_after(delay, Message::Answer(daemon, lifetime, timed_out(answer)));
            } else {
                self.transfer(daemon, lifetime, answer, watch.limit);
            }
        }
        for pending in std::mem::take(&mut self.pending_renewals) {
            let Request::Renew {
                renewal,
                epoch,
                deadline_ms,
                ack,
                ..
            } = &pending.req
            else {
                continue;
            };
            let vm = &self.vms[&renewal.vm];
            let is_open = vm.started_ms == pending.connection.started_ms;
            let is_silent = self.silent_vms.contains(&renewal.vm) || !is_open;
            if is_silent && now < pending.until + RENEWAL_MARGIN {
                self.pending_renewals.push(pending);
                continue;
            }
            let vm = self.vms.get_mut(&renewal.vm).expect("a known VM");
            if vm.connected
                && !is_silent
                && !vm.has_unacknowledged_ends()
                && now < pending.until
                && vm.epoch == *epoch
            {
                self.pending_renewals.push(pending);
                continue;
            }
            // The report no longer lists the ends that the renewal acknowledges.
            let connection = pending.connection.id;
            let ack = Acknowledgement::seq_on(*ack, connection);
            let acknowledged = vm.completions_up_to(ack);
            let result = if vm.connected && !is_silent {
                let report = vm.report(now, *epoch, *deadline_ms, ack);
                report.map(|report| RenewalReport {
                    connection,
                    ..report
                })
            } else {
                let key = (pending.daemon, pending.lifetime, renewal.vm.clone());
                self.connections.remove(&key);
                Err(OrderError::NoAnswer("no answer".into()))
            };
            if result.is_ok() {
                self.acknowledged.extend(acknowledged);
            }
            let renewal = renewal.clone();
            self.answer(
                pending.daemon,
                pending.lifetime,
                Answer::Renewed(renewal, result),
            );
        }
    }

    /// Applies a renewal on arrival and keeps it until it can be answered.
    fn keep_renewal(&mut self, daemon: usize, lifetime: u64, req: Request) {
        let Request::Renew {
            wait,
            renewal,
            epoch,
            deadline_ms,
            ..
        } = &req
        else {
            return;
        };
        self.renewals += 1;
        let until = self.now + *wait;
        let connection = self.connection(daemon, lifetime, &renewal.vm);
        let vm = self.vms.get_mut(&renewal.vm).expect("a known VM");
        if vm.connected && !self.silent_vms.contains(&renewal.vm) {
            vm.renew(self.now, *epoch, *deadline_ms);
        }
        self.pending_renewals.push(PendingRenewal {
            daemon,
            lifetime,
            req,
            until,
            connection,
        });
    }

    /// Returns the connection for a daemon's renewal of a VM. The daemon opens a new one if the VM has
    /// restarted or has not answered on the former one.
    fn connection(&mut self, daemon: usize, lifetime: u64, vm: &str) -> Connection {
        let started_ms = self.vms[vm].started_ms;
        let key = (daemon, lifetime, vm.into());
        let open = self.connections.get(&key);
        if let Some(open) = open.filter(|open| open.started_ms == started_ms) {
            return *open;
        }
        self.last_connection += 1;
        let id = self.last_connection;
        let connection = Connection { id, started_ms };
        self.connections.insert(key, connection);
        connection
    }

    /// Returns whether a renewal has reached a VM and waits for its answer.
    pub(crate) fn has_pending_renewal(&self, vm: &str) -> bool {
        let mut pending = self.pending_renewals.iter();
        pending.any(
            |pending| matches!(&pending.req, Request::Renew { renewal, .. } if &*renewal.vm == vm),
        )
    }

    /// Returns the rows of a followed table that have changed after a version; zero for all rows.
    fn rows(&mut self, feed: Feed, after: u64) -> Vec<FeedRow> {
        let table = match feed {
            Feed::Config => return self.operator_rows(after),
            Feed::Vms if after == 0 => {
                let listed = self.vms.values().filter(|vm| vm.listed);
                return listed.map(SimVm::row).map(FeedRow::Vm).collect();
            }
            Feed::Vms => return self.vm_row_changes(after),
            Feed::Jobs => JOBS,
            Feed::Heartbeats => HEARTBEATS,
        };
        let rows = self.table.changes(table, after).into_iter();
        rows.map(FeedRow::Internal).collect()
    }
}

/// Returns the answer that a daemon records for a call to a silent table, and its timeout; `None`
/// for other requests.
fn timeout_answer(req: &Request) -> Option<(Duration, Answer)> {
    let no_answer: Box<str> = "no answer".into();
    Some(match req {
        Request::Commit {
            purpose, timeout, ..
        } => {
            let answer = Answer::Committed(purpose.clone(), CommitOutcome::Unknown(no_answer));
            (*timeout, answer)
        }
        Request::Read { purpose, range } => {
            (range.timeout, Answer::Read(purpose.clone(), Err(no_answer)))
        }
        Request::ReadAll { call, timeout } | Request::Watch { call, timeout, .. } => {
            (*timeout, Answer::Feed(*call, FeedAnswer::Failed(no_answer)))
        }
        _ => return None,
    })
}
