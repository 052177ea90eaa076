//! Reasons why ready tasks wait, and the time for which they wait for each.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Serialize;

use crate::core::model::Now;
use crate::core::workload::catalog::QueueId;

/// Time for which a step waits for the same reason before that is logged, so that short waits write
/// no line.
const LOGGED_AFTER: Duration = Duration::from_millis(500);

/// Interval at which an unchanged wait is counted.
const COUNT_INTERVAL: Duration = Duration::from_millis(250);

/// Reason why no task of a step was started in a placement round.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum WaitReason {
    /// An earlier placer may have started the task.
    Settling,
    /// The team's cap does not allow another task, or not all tasks of a gang.
    Cap,
    /// VMs may have crashed under the tasks, which are held for a time.
    CrashHold,
    /// No VM has room; the team has used up its share.
    Share,
    /// No VM has room.
    Room,
    /// A gang finds no room for all its tasks at once.
    GangRoom,
    /// A member of a gang has a run, or is done, so that the others cannot start with it.
    GangMembers,
    /// The VMs that have room for a gang are approved by the advice, but not all tickets are valid at
    /// the same time.
    GangTickets,
    /// An advice query is in flight.
    Advice,
    /// No daemon is free to send an advice query.
    AdviceDaemons,
    /// Steps that go first will use all room, so that advice is not asked for.
    AdviceClaims,
    /// VMs with room are not approved by the advice.
    Approval,
}

/// Wait of a step.
#[derive(Clone, Copy, Debug)]
pub struct StepWait {
    reason: WaitReason,
    since: Now,
    counted_to: Now,
    tasks: u32,
    logged: bool,
}

/// Time for which tasks have waited, summed over tasks, by queue and reason.
#[derive(Clone, Debug, Default)]
pub struct WaitTimes {
    times: BTreeMap<(QueueId, WaitReason), Duration>,
}

impl WaitReason {
    /// Returns the name used in logs and metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Settling => "settling",
            Self::Cap => "cap",
            Self::CrashHold => "crash_hold",
            Self::Share => "share",
            Self::Room => "room",
            Self::GangRoom => "gang_room",
            Self::GangMembers => "gang_members",
            Self::GangTickets => "gang_tickets",
            Self::Advice => "advice",
            Self::AdviceDaemons => "advice_daemons",
            Self::AdviceClaims => "advice_claims",
            Self::Approval => "approval",
        }
    }
}

impl StepWait {
    /// Returns the wait of a step whose `tasks` tasks wait from now on.
    #[must_use]
    pub fn new(reason: WaitReason, tasks: u32, now: Now) -> Self {
        Self {
            reason,
            since: now,
            counted_to: now,
            tasks,
            logged: false,
        }
    }

    /// Returns the wait from now on, for the same or another reason.
    #[must_use]
    pub fn next(self, reason: WaitReason, tasks: u32, now: Now) -> Self {
        if self.reason != reason {
            return Self::new(reason, tasks, now);
        }
        Self {
            counted_to: now,
            tasks,
            ..self
        }
    }

    /// Returns whether the wait was counted lately and has not changed since, so that it can be counted
    /// with a later round.
    #[must_use]
    pub fn is_current(&self, reason: WaitReason, tasks: u32, now: Now) -> bool {
        let is_same = self.reason == reason && self.tasks == tasks;
        is_same && now < self.counted_to + COUNT_INTERVAL
    }

    /// Returns whether the reason is to be logged now; true once for each.
    pub fn is_to_be_logged(&mut self, now: Now) -> bool {
        let due = !self.logged && now >= self.since + LOGGED_AFTER;
        self.logged |= due;
        due
    }
}

impl WaitTimes {
    /// Adds the time since the wait of a step was last counted.
    pub fn add(&mut self, queue: &QueueId, wait: &StepWait, now: Now) {
        let time = now.saturating_sub(wait.counted_to) * wait.tasks;
        if time == Duration::ZERO {
            return;
        }
        *self.times.entry((queue.clone(), wait.reason)).or_default() += time;
    }

    /// Returns the times by queue and reason.
    #[must_use]
    pub fn times(&self) -> &BTreeMap<(QueueId, WaitReason), Duration> {
        &self.times
    }
}
