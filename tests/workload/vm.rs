//! A simulated VM: runs tasks under a lease and checks that nothing breaks its limits.

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
use ragwortstall::core::workload::task::EndedTask;
use ragwortstall::core::workload::task::RunNumber;
use ragwortstall::core::workload::task::RunOutcome;
use ragwortstall::core::workload::task::RunningTask;
use ragwortstall::core::workload::task::TaskName;

/// Time that a stop takes, unless a test sets another.
pub(crate) const STOP_TIME: Duration = Duration::from_millis(700);

/// A VM.
#[derive(Debug)]
pub(crate) struct SimVm {
    pub id: Box<str>,
    pub capacity: Resources,
    pub born: u64,
    /// Whether orders and answers get through.
    pub connected: bool,
    pub draining: bool,
    /// Whether it refuses starts for want of room.
    pub full: bool,
    pub rack: &'static str,
    /// Its kind, a label.
    pub kind: &'static str,
    /// Time that a stop takes.
    pub stop_time: Duration,
    /// How many times as long its tasks take.
    pub slow: u32,
    /// Tail latency of its serving tasks.
    pub tail_ms: u64,
    pub epoch: u64,
    /// End of its lease, in milliseconds of its clock, which is the true one.
    pub lease_end: u64,
    pub runs: BTreeMap<TaskName, SimRun>,
    ended: Vec<EndedTask>,
    last_end: u64,
    highest: BTreeMap<TaskName, RunNumber>,
}

/// A run on a VM.
#[derive(Clone, Debug)]
pub(crate) struct SimRun {
    pub number: RunNumber,
    pub step: Step,
    /// When it ends by itself, and how.
    ends: Option<(Now, RunOutcome)>,
    stopped_at: Option<Now>,
}

impl SimVm {
    pub(crate) fn new(id: &str, capacity: Resources) -> Self {
        Self {
            id: id.into(),
            capacity,
            born: 1,
            connected: true,
            draining: false,
            full: false,
            rack: "r1",
            kind: "a",
            stop_time: STOP_TIME,
            slow: 1,
            tail_ms: 0,
            epoch: 0,
            lease_end: 0,
            runs: BTreeMap::new(),
            ended: Vec::new(),
            last_end: 0,
            highest: BTreeMap::new(),
        }
    }

    /// What it writes about itself in the table.
    pub(crate) fn row(&self) -> VmRow {
        VmRow {
            id: self.id.clone(),
            service: "pool".into(),
            address: "127.0.0.1:1".into(),
            zone: "zone-a".into(),
            draining: self.draining,
            capacity: self.capacity,
            labels: vec![self.kind.into(), self.rack.into()],
            rack: self.rack.into(),
            started_ms: self.born,
            machine: self.id.clone(),
        }
    }

    /// Starts anew under the same id.
    pub(crate) fn restart(&mut self) {
        let id = self.id.clone();
        let born = self.born + 1;
        *self = Self::new(&id, self.capacity);
        self.born = born;
    }

    /// Lets time pass: tasks end, stops end, the lease may lapse.
    pub(crate) fn advance(&mut self, now: Now) {
        let lapsed = ms(now) > self.lease_end;
        let names: Vec<TaskName> = self.runs.keys().cloned().collect();
        for name in names {
            let run = self.runs[&name].clone();
            let own = run.ends.filter(|(at, _)| now >= *at);
            let stopped = run.stopped_at.is_some_and(|at| now >= at + self.stop_time);
            let end = match (stopped, own, lapsed) {
                (true, _, _) => RunOutcome::Stopped,
                (_, Some((_, end)), _) if run.stopped_at.is_none() => end,
                (_, _, true) => RunOutcome::LeaseExpired,
                _ => continue,
            };
            self.finish(&name, run.number, end);
        }
    }

    /// Takes a renewal when it arrives; its answer may wait.
    pub(crate) fn renew(&mut self, now: Now, epoch: u64, deadline_ms: Option<u64>) {
        self.advance(now);
        if self.fence(epoch).is_ok() {
            self.lease_end = self.lease_end.max(deadline_ms.unwrap_or(0));
        }
    }

    pub(crate) fn hold(
        &mut self,
        now: Now,
        epoch: u64,
        deadline_ms: Option<u64>,
        ack: u64,
    ) -> Result<RenewalReport, OrderError> {
        self.fence(epoch)?;
        self.advance(now);
        self.lease_end = self.lease_end.max(deadline_ms.unwrap_or(0));
        self.ended.retain(|ended| ended.seq > ack);
        let live = self.runs.iter().filter(|(_, run)| run.stopped_at.is_none());
        let running = live.map(|(task, run)| RunningTask {
            task: task.clone(),
            run: run.number,
            checkpoint: "".into(),
            speed_percent: 100,
            measurement: if run.step.target_ms > 0 {
                self.tail_ms
            } else {
                0
            },
        });
        Ok(RenewalReport {
            started_ms: self.born,
            clock_ms: ms(now),
            running: running.collect(),
            ended: self.ended.clone(),
        })
    }

    /// Whether a renewal would be answered at once.
    pub(crate) fn has_news(&self) -> bool {
        !self.ended.is_empty()
    }

    /// Starts a task; `fate` is when it ends by itself, and how.
    pub(crate) fn start(
        &mut self,
        now: Now,
        order: &StartOrder,
        step: &Step,
        fate: Option<(Now, RunOutcome)>,
    ) -> Result<u64, StartError> {
        self.fence(order.epoch).map_err(StartError::Order)?;
        self.advance(now);
        if self.full {
            return Err(StartError::NoRoom);
        }
        let name = &order.order.task;
        let number = order.order.run;
        if ms(now) > order.deadline_ms {
            return Err(StartError::Late);
        }
        if self.highest.get(name).is_some_and(|&run| number <= run) {
            return Err(StartError::OldRun);
        }
        self.lease_end = self.lease_end.max(order.deadline_ms);
        let run = SimRun {
            number,
            step: step.clone(),
            ends: fate,
            stopped_at: None,
        };
        self.runs.insert(name.clone(), run);
        self.check_limits(name, step);
        Ok(ms(now))
    }

    pub(crate) fn stop(
        &mut self,
        now: Now,
        epoch: u64,
        task: &TaskName,
        run: RunNumber,
    ) -> Result<u64, OrderError> {
        self.fence(epoch)?;
        self.advance(now);
        match self.runs.get_mut(task) {
            Some(live) if live.number == run => {
                live.stopped_at.get_or_insert(now);
            }
            _ => {
                let highest = self.highest.entry(task.clone()).or_default();
                *highest = (*highest).max(run);
            }
        }
        Ok(ms(now))
    }

    fn fence(&mut self, epoch: u64) -> Result<(), OrderError> {
        if epoch < self.epoch {
            return Err(OrderError::Fenced);
        }
        self.epoch = epoch;
        Ok(())
    }

    fn finish(&mut self, name: &TaskName, run: RunNumber, end: RunOutcome) {
        self.runs.remove(name);
        let highest = self.highest.entry(name.clone()).or_default();
        *highest = (*highest).max(run);
        self.last_end += 1;
        self.ended.push(EndedTask {
            seq: self.last_end,
            task: name.clone(),
            run,
            outcome: end,
            checkpoint: "".into(),
        });
    }

    /// Neither the room nor the step's limit on one VM is exceeded; what is being stopped counts.
    fn check_limits(&self, started: &TaskName, step: &Step) {
        let used = self.runs.values().fold(Resources::ZERO, |sum, run| {
            sum.plus(&run.step.reservation())
        });
        assert!(
            self.capacity.holds(&used),
            "{} has {used:?} on {:?} with {started}",
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
            "{} has {siblings} tasks of the step of {started}",
            self.id
        );
    }
}

fn ms(now: Now) -> u64 {
    u64::try_from(now.as_millis()).expect("short runs")
}
