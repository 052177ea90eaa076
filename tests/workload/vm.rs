//! A simulated VM: runs tasks under a lease and asserts that its limits hold.

use std::collections::BTreeMap;
use std::time::Duration;

use ragwortstall::core::model::Now;
use ragwortstall::core::model::Resources;
use ragwortstall::core::workload::effect::StartOrder;
use ragwortstall::core::workload::event::OrderError;
use ragwortstall::core::workload::event::RenewalReport;
use ragwortstall::core::workload::event::StartError;
use ragwortstall::core::workload::event::VmRow;
use ragwortstall::core::workload::submission::Step;
use ragwortstall::core::workload::task::Checkpoint;
use ragwortstall::core::workload::task::EndedTask;
use ragwortstall::core::workload::task::RunNumber;
use ragwortstall::core::workload::task::RunOutcome;
use ragwortstall::core::workload::task::RunningTask;
use ragwortstall::core::workload::task::TaskName;

use crate::harness::START_TIME;

/// Default time that a VM takes to stop a run.
pub(crate) const STOP_TIME: Duration = Duration::from_millis(700);

/// Largest number of ended runs in one report.
pub(crate) const MAX_ENDED_PER_REPORT: usize = 500;

/// Longest lease that a VM grants, in milliseconds of its clock.
const MAX_LEASE_MS: u64 = 6_000;

/// Simulated VM.
#[derive(Debug)]
#[allow(clippy::struct_excessive_bools)]
pub(crate) struct SimVm {
    pub id: Box<str>,
    /// Host machine.
    pub machine: Box<str>,
    /// Whether the table has a row of the VM.
    pub listed: bool,
    pub capacity: Resources,
    /// Start of the current lifetime.
    pub started_ms: u64,
    /// Whether orders and answers get through.
    pub connected: bool,
    pub draining: bool,
    /// Whether the VM rejects starts with [`StartError::NoRoom`].
    pub full: bool,
    pub zone: &'static str,
    pub rack: &'static str,
    /// Label other than the rack.
    pub kind: &'static str,
    /// Time that the VM takes to stop a run.
    pub stop_time: Duration,
    /// Time for which the VM's row says that it is slow after its start.
    pub cold_remaining: Duration,
    /// Factor by which tasks take longer than estimated.
    pub slowdown: u32,
    /// Whether runs make no progress, while the VM answers renewals and orders.
    pub hung: bool,
    /// Time to which the VM was advanced last.
    advanced_to: Now,
    /// Time at which the VM's clock showed zero.
    clock_start: Now,
    /// Tail latency reported for tasks with a latency target.
    pub tail_latency_ms: u64,
    /// Highest epoch seen; orders with a lower one are rejected.
    pub epoch: u64,
    /// End of the lease, in milliseconds of the VM's clock, which starts at zero with each lifetime.
    pub lease_end_ms: u64,
    pub runs: BTreeMap<TaskName, SimRun>,
    /// Ended runs that are not acknowledged yet.
    ended: Vec<EndedTask>,
    /// Times at which these runs ended.
    ended_at: Vec<Now>,
    /// Sequence number of the last ended run.
    last_seq: u64,
    /// Highest run number that has ended or was stopped before its start, by task.
    highest_runs: BTreeMap<TaskName, RunNumber>,
}

/// Run on a simulated VM.
#[derive(Clone, Debug)]
pub(crate) struct SimRun {
    pub number: RunNumber,
    pub step: Step,
    /// When the run started.
    started_at: Now,
    /// Part of the task that earlier runs have done, in milliseconds.
    resumed_ms: u64,
    /// Deadline of the order to start it, in milliseconds of the VM's clock.
    pub deadline_ms: u64,
    /// When and how the run ends by itself; `None` if it lasts until it is stopped.
    own_end: Option<(Now, RunOutcome)>,
    /// When a stop was requested.
    stopped_at: Option<Now>,
}

impl SimVm {
    pub(crate) fn new(id: &str, capacity: Resources) -> Self {
        Self {
            id: id.into(),
            machine: id.into(),
            listed: true,
            capacity,
            started_ms: 1,
            connected: true,
            draining: false,
            full: false,
            zone: "zone-a",
            rack: "r1",
            kind: "a",
            stop_time: STOP_TIME,
            cold_remaining: Duration::ZERO,
            slowdown: 1,
            hung: false,
            advanced_to: Now::ZERO,
            clock_start: Now::ZERO,
            tail_latency_ms: 0,
            epoch: 0,
            lease_end_ms: 0,
            runs: BTreeMap::new(),
            ended: Vec::new(),
            ended_at: Vec::new(),
            last_seq: 0,
            highest_runs: BTreeMap::new(),
        }
    }

    /// Returns the VM's row of the table.
    pub(crate) fn row(&self) -> VmRow {
        VmRow {
            id: self.id.clone(),
            service: "pool".into(),
            address: "127.0.0.1:1".into(),
            zone: self.zone.into(),
            draining: self.draining,
            capacity: self.capacity,
            labels: vec![self.kind.into(), self.rack.into()],
            rack: self.rack.into(),
            started_ms: self.started_ms,
            machine: self.machine.clone(),
            cold_remaining: self.cold_remaining,
        }
    }

    /// Restarts the VM under the same id, with a new lifetime and no runs.
    pub(crate) fn restart(&mut self) {
        let id = self.id.clone();
        let born = u64::try_from((START_TIME + self.advanced_to).as_millis());
        let started_ms = born.expect("a time").max(self.started_ms + 1);
        let (zone, machine) = (self.zone, self.machine.clone());
        let now = self.advanced_to;
        *self = Self::new(&id, self.capacity);
        self.zone = zone;
        self.machine = machine;
        self.started_ms = started_ms;
        self.advanced_to = now;
        self.clock_start = now;
    }

    /// Restarts the VM after the time of day of its machine was set back by two seconds, so that the new
    /// lifetime starts before the former one by that clock.
    pub(crate) fn restart_with_clock_set_back(&mut self) {
        let former = self.started_ms;
        self.restart();
        self.started_ms = (self.started_ms - 2_000).min(former - 1);
    }

    /// Returns the time that the VM's clock shows, in milliseconds.
    fn clock_ms(&self, now: Now) -> u64 {
        ms(now.saturating_sub(self.clock_start))
    }

    /// Extends the lease to a deadline on the VM's clock, up to the longest lease.
    fn extend_lease(&mut self, now: Now, deadline_ms: u64) {
        let deadline_ms = deadline_ms.min(self.clock_ms(now) + MAX_LEASE_MS);
        self.lease_end_ms = self.lease_end_ms.max(deadline_ms);
    }

    /// Advances the VM to `now`: ends runs that are done or stopped, and all runs once the lease
    /// has expired.
    pub(crate) fn advance(&mut self, now: Now) {
        self.delay_hung_runs(now);
        let expired = self.clock_ms(now) > self.lease_end_ms;
        let names: Vec<TaskName> = self.runs.keys().cloned().collect();
        for name in names {
            let run = self.runs[&name].clone();
            let own_end = run.own_end.filter(|(at, _)| now >= *at);
            let stopped = run.stopped_at.is_some_and(|at| now >= at + self.stop_time);
            let outcome = match (stopped, own_end, expired) {
                (true, _, _) => RunOutcome::Stopped,
                (_, Some((_, outcome)), _) if run.stopped_at.is_none() => outcome,
                (_, _, true) => RunOutcome::LeaseExpired,
                _ => continue,
            };
            let checkpoint = run.checkpoint(now, outcome);
            self.finish(&name, run.number, outcome, checkpoint);
        }
    }

    /// Postpones the ends of the runs by the time for which the VM hangs.
    fn delay_hung_runs(&mut self, now: Now) {
        let passed = now.saturating_sub(self.advanced_to);
        self.advanced_to = now;
        if !self.hung {
            return;
        }
        for run in self.runs.values_mut() {
            if let Some((at, _)) = &mut run.own_end {
                *at += passed;
            }
        }
    }

    /// Applies a renewal on arrival; the answer may be delayed until a run ends.
    pub(crate) fn renew(&mut self, now: Now, epoch: u64, deadline_ms: Option<u64>) {
        self.advance(now);
        if self.check_epoch(epoch).is_ok() {
            self.extend_lease(now, deadline_ms.unwrap_or(0));
        }
    }

    /// Answers a renewal: forgets the ends up to `ack` and reports the runs.
    pub(crate) fn report(
        &mut self,
        now: Now,
        epoch: u64,
        deadline_ms: Option<u64>,
        ack: u64,
    ) -> Result<RenewalReport, OrderError> {
        self.check_epoch(epoch)?;
        self.advance(now);
        self.extend_lease(now, deadline_ms.unwrap_or(0));
        self.ended.retain(|ended| ended.seq > ack);
        let acknowledged = self.ended_at.len() - self.ended.len();
        self.ended_at.drain(..acknowledged);
        let listed = self.ended.iter().take(MAX_ENDED_PER_REPORT);
        let live = self.runs.iter().filter(|(_, run)| run.stopped_at.is_none());
        let running = live.map(|(task, run)| RunningTask {
            task: task.clone(),
            run: run.number,
            checkpoint: run.last_checkpoint(now),
            speed_percent: 100,
            measurement: if run.step.target_ms > 0 {
                self.tail_latency_ms
            } else {
                0
            },
        });
        Ok(RenewalReport {
            connection: 0,
            started_ms: self.started_ms,
            clock_ms: self.clock_ms(now),
            running: running.collect(),
            ended: listed.cloned().collect(),
        })
    }

    /// Returns the tasks with a listed completion whose sequence number is at most `ack`.
    pub(crate) fn completions_up_to(&self, ack: u64) -> Vec<TaskName> {
        let done = |ended: &&EndedTask| ended.outcome == RunOutcome::Done && ended.seq <= ack;
        let completions = self.ended.iter().filter(done);
        completions.map(|ended| ended.task.clone()).collect()
    }

    /// Returns the time at which the first run ended whose end is not acknowledged yet.
    pub(crate) fn oldest_ended_at(&self) -> Option<Now> {
        self.ended_at.first().copied()
    }

    /// Returns the number of runs that are not being stopped.
    pub(crate) fn live_runs(&self) -> usize {
        let live = self.runs.values().filter(|run| run.stopped_at.is_none());
        live.count()
    }

    /// Returns whether a renewal is to be answered at once.
    pub(crate) fn has_unacknowledged_ends(&self) -> bool {
        !self.ended.is_empty()
    }

    /// Answers a check before a start with the clock in milliseconds.
    pub(crate) fn check(&mut self, now: Now, epoch: u64) -> Result<u64, OrderError> {
        self.check_epoch(epoch)?;
        Ok(self.clock_ms(now))
    }

    /// Returns the answer to the start of a run that is there already.
    pub(crate) fn answer_if_there(
        &self,
        now: Now,
        order: &StartOrder,
    ) -> Option<Result<u64, StartError>> {
        let run = self.runs.get(&order.order.task)?;
        let is_there = order.epoch >= self.epoch && run.number == order.order.run;
        is_there.then(|| Ok(self.clock_ms(now)))
    }

    /// Starts a task; `own_end` is when and how it ends by itself.
    pub(crate) fn start(
        &mut self,
        now: Now,
        order: &StartOrder,
        step: &Step,
        own_end: Option<(Now, RunOutcome)>,
    ) -> Result<u64, StartError> {
        self.check_epoch(order.epoch).map_err(StartError::Order)?;
        self.advance(now);
        let name = &order.order.task;
        let number = order.order.run;
        if self.clock_ms(now) > order.deadline_ms {
            return Err(StartError::Late);
        }
        // Also if the start is rejected below.
        self.extend_lease(now, order.deadline_ms);
        if self.full {
            return Err(StartError::NoRoom);
        }
        if self
            .highest_runs
            .get(name)
            .is_some_and(|&run| number <= run)
        {
            return Err(StartError::OldRun);
        }
        let run = SimRun {
            number,
            step: step.clone(),
            started_at: now,
            resumed_ms: done_ms(&order.checkpoint),
            deadline_ms: order.deadline_ms,
            own_end,
            stopped_at: None,
        };
        self.runs.insert(name.clone(), run);
        self.assert_limits(name, step);
        Ok(self.clock_ms(now))
    }

    /// Stops a run, or rejects its start if that has not arrived yet.
    pub(crate) fn stop(
        &mut self,
        now: Now,
        epoch: u64,
        task: &TaskName,
        run: RunNumber,
    ) -> Result<u64, OrderError> {
        self.check_epoch(epoch)?;
        self.advance(now);
        match self.runs.get_mut(task) {
            Some(live) if live.number == run => {
                live.stopped_at.get_or_insert(now);
            }
            _ => {
                let highest_runs = self.highest_runs.entry(task.clone()).or_default();
                *highest_runs = (*highest_runs).max(run);
            }
        }
        Ok(self.clock_ms(now))
    }

    /// Accepts the epoch of an order unless a higher one was seen.
    fn check_epoch(&mut self, epoch: u64) -> Result<(), OrderError> {
        if epoch < self.epoch {
            return Err(OrderError::Fenced);
        }
        self.epoch = epoch;
        Ok(())
    }

    pub(crate) fn finish(
        &mut self,
        name: &TaskName,
        run: RunNumber,
        outcome: RunOutcome,
        checkpoint: Checkpoint,
    ) {
        self.runs.remove(name);
        let highest_runs = self.highest_runs.entry(name.clone()).or_default();
        *highest_runs = (*highest_runs).max(run);
        self.last_seq += 1;
        self.ended_at.push(self.advanced_to);
        self.ended.push(EndedTask {
            seq: self.last_seq,
            task: name.clone(),
            run,
            outcome,
            checkpoint,
        });
    }

    /// Asserts that the runs, including those being stopped, exceed neither the VM's capacity nor
    /// the step's limit per VM.
    fn assert_limits(&self, started: &TaskName, step: &Step) {
        let used = self.runs.values().fold(Resources::ZERO, |sum, run| {
            sum.plus(&run.step.reservation())
        });
        assert!(
            self.capacity.holds(&used),
            "{} uses {used:?} of {:?} after the start of {started}",
            self.id,
            self.capacity
        );
        let siblings = self.runs.keys().filter(|name| {
            (&name.job, name.occurrence, name.step)
                == (&started.job, started.occurrence, started.step)
        });
        let siblings = u32::try_from(siblings.count()).expect("few runs");
        assert!(
            step.max_per_vm == 0 || siblings <= step.max_per_vm,
            "{} runs {siblings} tasks of the step of {started}",
            self.id
        );
    }
}

impl SimRun {
    /// Returns the time at which the run started.
    pub(crate) fn started_at(&self) -> Now {
        self.started_at
    }

    /// Returns the checkpoint that the run saved last, after each second of work.
    fn last_checkpoint(&self, now: Now) -> Checkpoint {
        let seconds = now.saturating_sub(self.started_at).as_secs();
        if !self.step.traits.checkpointing || self.resumed_ms + seconds == 0 {
            return "".into();
        }
        (self.resumed_ms + seconds * 1_000).to_string().into()
    }

    /// Returns the checkpoint that the run saves while it is being stopped.
    fn checkpoint(&self, now: Now, outcome: RunOutcome) -> Checkpoint {
        if !self.step.traits.checkpointing || outcome != RunOutcome::Stopped {
            return "".into();
        }
        let stopped_at = self.stopped_at.unwrap_or(now);
        let done_ms = self.resumed_ms + ms(stopped_at.saturating_sub(self.started_at));
        done_ms.to_string().into()
    }
}

/// Returns the part of a task that its runs up to a checkpoint have done, in milliseconds.
pub(crate) fn done_ms(checkpoint: &str) -> u64 {
    checkpoint.parse().unwrap_or(0)
}

fn ms(now: Now) -> u64 {
    u64::try_from(now.as_millis()).expect("short runs")
}
