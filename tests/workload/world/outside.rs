//! The other side of the daemons' requests: the table, the VMs, and what is lost on the way.

use std::time::Duration;

use ragwortstall::core::model::Now;
use ragwortstall::core::workload::effect::Request;
use ragwortstall::core::workload::event::Answer;
use ragwortstall::core::workload::event::Feed;
use ragwortstall::core::workload::event::FeedAnswer;
use ragwortstall::core::workload::event::FeedRow;
use ragwortstall::core::workload::event::OrderError;
use ragwortstall::core::workload::event::ProbeResult;
use ragwortstall::core::workload::event::StartError;
use ragwortstall::core::workload::submission::Step;
use ragwortstall::core::workload::table::CommitOutcome;
use ragwortstall::core::workload::table::HEARTBEATS;
use ragwortstall::core::workload::table::JOBS;
use ragwortstall::core::workload::task::RunOutcome;
use ragwortstall::core::workload::task::TaskName;

use super::Due;
use super::Held;
use super::Watch;
use super::World;
use crate::catalog::catalog;
use crate::vm::SimVm;

impl World {
    /// Takes a request of a daemon.
    pub(super) fn arrive(&mut self, daemon: usize, life: u64, req: Request) {
        if self.now < self.silent_until
            && let Some((timeout, answer)) = unanswered(&req)
        {
            return self.at(timeout, Due::Answer(daemon, life, answer));
        }
        let reaches = self.table_up && self.daemons[daemon].sees_table;
        let lost: Box<str> = "no answer".into();
        let answer = match req {
            Request::Commit { purpose, .. } if reaches && self.now < self.busy_until => {
                Answer::Committed(purpose, CommitOutcome::Refused("busy".into()))
            }
            Request::Commit { purpose, txn, .. } if reaches => {
                let outcome = self.table.commit(&txn);
                let mute = self.now < self.mute_until;
                if mute {
                    Answer::Committed(purpose, CommitOutcome::Unknown(lost))
                } else if self.lost_commits > 0 && matches!(outcome, CommitOutcome::Done(_)) {
                    self.lost_commits -= 1;
                    Answer::Committed(purpose, CommitOutcome::Unknown(lost))
                } else {
                    Answer::Committed(purpose, outcome)
                }
            }
            Request::Commit { purpose, .. } => {
                Answer::Committed(purpose, CommitOutcome::Refused(lost))
            }
            Request::Read { purpose, range } if reaches => {
                Answer::Read(purpose, Ok(self.table.page(&range)))
            }
            Request::Read { purpose, .. } => Answer::Read(purpose, Err(lost)),
            Request::ReadAll { call, .. } if reaches => Answer::Feed(
                call,
                FeedAnswer::Snapshot(self.rows(call.feed, 0), self.table.version),
            ),
            Request::Watch {
                call, after, wait, ..
            } if reaches => {
                return self.watches.push(Watch {
                    daemon,
                    life,
                    call,
                    after,
                    until: self.now + wait,
                });
            }
            Request::ReadAll { call, .. } | Request::Watch { call, .. } => {
                Answer::Feed(call, FeedAnswer::Failed(lost))
            }
            Request::Renew {
                wait,
                ref renewal,
                epoch,
                deadline_ms,
                ..
            } => {
                let until = self.now + wait;
                let vm = self.vms.get_mut(&renewal.vm).expect("a known VM");
                if vm.connected {
                    vm.renew(self.now, epoch, deadline_ms);
                }
                return self.held.push(Held {
                    daemon,
                    life,
                    req,
                    until,
                });
            }
            Request::Probe {
                heartbeat, address, ..
            } => {
                self.looks += 1;
                Answer::Probed(heartbeat, self.reached(&address))
            }
            order => self.order(order),
        };
        self.answer(daemon, life, answer);
    }

    fn order(&mut self, req: Request) -> Answer {
        let lost = || OrderError::NoAnswer("no answer".into());
        match req {
            Request::Start(start) => {
                let name = start.order.task.clone();
                let id = start.order.vm.clone();
                if !self.vms[&id].connected {
                    return Answer::Started(start.order, Err(StartError::Order(lost())));
                }
                let step = self.jobs[&name.job].steps[usize::from(name.step)].clone();
                let fate = self.fate(&name, &step, self.vms[&id].slow);
                let vm = self.vms.get_mut(&id).expect("a known VM");
                let result = vm.start(self.now, &start, &step, fate);
                if result.is_ok() {
                    self.check_once(&name);
                    let run = start.order.run;
                    self.starts.push((self.now, name, run, id.clone()));
                }
                if self.mute_starts.contains(&id) {
                    return Answer::Started(start.order, Err(StartError::Order(lost())));
                }
                Answer::Started(start.order, result)
            }
            Request::Stop { order, .. } if self.lost_stops > 0 => {
                self.lost_stops -= 1;
                Answer::Stopped(order, Err(lost()))
            }
            Request::Stop { order, epoch, .. } => {
                let vm = self.vms.get_mut(&order.vm).expect("a known VM");
                let result = if vm.connected {
                    vm.stop(self.now, epoch, &order.task, order.run)
                } else {
                    Err(lost())
                };
                Answer::Stopped(order, result)
            }
            Request::Pace { order, percent, .. } => {
                self.paces.push((order.task.clone(), percent));
                Answer::Paced(order, Ok(0))
            }
            other => panic!("unexpected request {other:?}"),
        }
    }

    /// When and how a run ends by itself.
    fn fate(&mut self, name: &TaskName, step: &Step, slow: u32) -> Option<(Now, RunOutcome)> {
        let ends_at = self.now + Duration::from_millis(step.estimate_ms) * slow;
        if let Some(left) = self.failing.get_mut(name)
            && *left > 0
        {
            *left -= 1;
            return Some((ends_at, RunOutcome::Failed));
        }
        (!step.traits.long_running).then_some((ends_at, RunOutcome::Done))
    }

    /// What a look at a daemon's address tells.
    fn reached(&self, address: &str) -> ProbeResult {
        let daemon = self.daemons.iter().find(|daemon| *daemon.name == *address);
        match daemon {
            Some(daemon) if daemon.up => ProbeResult::Listening,
            Some(daemon) if daemon.dark => ProbeResult::NoAnswer("no answer".into()),
            _ => ProbeResult::Refused,
        }
    }

    /// No task runs on two VMs.
    fn check_once(&self, name: &TaskName) {
        let on = self.vms.values().filter(|vm| vm.runs.contains_key(name));
        assert!(on.count() <= 1, "{name} runs twice at {:?}", self.now);
        assert!(
            !self.done.contains(name),
            "{name} starts after it was noted as done"
        );
    }

    /// Answers the watches and renewals whose wait is over.
    pub(super) fn serve_waiting(&mut self) {
        let now = self.now;
        for watch in std::mem::take(&mut self.watches) {
            let rows = self.rows(watch.call.feed, watch.after);
            if rows.is_empty() && now < watch.until {
                self.watches.push(watch);
                continue;
            }
            let answer = FeedAnswer::Changes(rows, self.table.version);
            self.answer(watch.daemon, watch.life, Answer::Feed(watch.call, answer));
        }
        for held in std::mem::take(&mut self.held) {
            let Request::Renew {
                renewal,
                epoch,
                deadline_ms,
                ack,
                ..
            } = &held.req
            else {
                continue;
            };
            let vm = self.vms.get_mut(&renewal.vm).expect("a known VM");
            if vm.connected && !vm.has_news() && now < held.until && vm.epoch == *epoch {
                self.held.push(held);
                continue;
            }
            let result = if vm.connected {
                vm.hold(now, *epoch, *deadline_ms, *ack)
            } else {
                Err(OrderError::NoAnswer("no answer".into()))
            };
            if let Ok(report) = &result {
                let done = report
                    .ended
                    .iter()
                    .filter(|ended| ended.outcome == RunOutcome::Done);
                let noted = done.filter(|ended| ended.seq <= *ack);
                self.done.extend(noted.map(|ended| ended.task.clone()));
            }
            let renewal = renewal.clone();
            self.answer(held.daemon, held.life, Answer::Renewed(renewal, result));
        }
    }

    fn rows(&mut self, feed: Feed, after: u64) -> Vec<FeedRow> {
        let table = match feed {
            Feed::Config if after == 0 => {
                return vec![FeedRow::Config(Box::new(catalog(self.cap)))];
            }
            Feed::Vms if after == 0 => {
                return self.vms.values().map(SimVm::row).map(FeedRow::Vm).collect();
            }
            Feed::Vms => return self.vm_changes(after),
            Feed::Config => return Vec::new(),
            Feed::Jobs => JOBS,
            Feed::Heartbeats => HEARTBEATS,
        };
        let rows = self.table.changes(table, after).into_iter();
        rows.map(FeedRow::Internal).collect()
    }
}

/// What a daemon takes for the answer to a call on a silent table, and after how long.
fn unanswered(req: &Request) -> Option<(Duration, Answer)> {
    let lost: Box<str> = "no answer".into();
    Some(match req {
        Request::Commit {
            purpose, timeout, ..
        } => {
            let answer = Answer::Committed(purpose.clone(), CommitOutcome::Unknown(lost));
            (*timeout, answer)
        }
        Request::Read { purpose, range } => {
            (range.timeout, Answer::Read(purpose.clone(), Err(lost)))
        }
        Request::ReadAll { call, timeout } | Request::Watch { call, timeout, .. } => {
            (*timeout, Answer::Feed(*call, FeedAnswer::Failed(lost)))
        }
        _ => return None,
    })
}
