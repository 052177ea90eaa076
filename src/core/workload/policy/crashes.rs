//! Policy for tasks under which VMs have crashed.
//!
//! Load pattern: a few tasks crash each VM that starts them. Every crash also ends the runs beside
//! the task, and all of them start again at the same time. Which of them caused the crash is not
//! known from one crash alone. Placed together again, they would crash together again, until all of
//! their jobs fail.
//!
//! Tasks under which a VM has crashed are therefore placed apart from each other, and alone on a VM
//! after the second crash: those that only ran beside the cause complete, and the cause takes nothing
//! with it.
//!
//! A start that was not answered tells nothing of the task: its VM may have been down before the start
//! reached it. Such a loss is uncertain. It does not count as a crash. The next starts of the task are
//! sent only to VMs that have just answered a check, so that their losses are certain.
//!
//! A task that runs until its job is cancelled is never given up: VMs crash by themselves, and such a
//! task meets many crashes in its time. Its starts are instead kept further apart with each crash, but
//! never so far that a task which is not the cause would be away for long.

use std::time::Duration;

/// Number of crashes of VMs under the runs of a task after which its job fails if the last one hit a
/// VM with no other run that may have caused it.
const MAX_LONE_CRASHES: usize = 3;

/// Number of crashes of VMs under the runs of a task, including an uncertain one, after which its job
/// fails in any case.
const MAX_CRASHES: usize = 4;

/// Number of crashes after which a task runs alone on a VM.
const ALONE_CRASHES: usize = 2;

/// Part of a service's VMs that may run a single task at a time, as a divisor: the crash of one costs
/// its room for seconds.
const ALONE_DIVISOR: usize = 4;

/// Part of a service's VMs that may get no tasks until their runs have ended, as a divisor.
const CLEARING_DIVISOR: usize = 8;

/// Time for which a run has its VM to itself. A run that lives longer is unlikely to crash the VM.
pub const PROBATION: Duration = Duration::from_secs(1);

/// Age from which on a run of a task that runs until its job is cancelled is no cause of a crash.
pub const PROVEN_AGE: Duration = Duration::from_secs(10);

/// Longest time that a task waits for a VM of its own. After that it starts beside others.
pub const MAX_ALONE_WAIT: Duration = Duration::from_secs(5);

/// Longest time that a task that runs until its job is cancelled waits for a VM of its own. Its former
/// VM's lease may have taken most of the time within which it has to run again.
pub const MAX_LASTING_ALONE_WAIT: Duration = Duration::from_secs(1);

/// Number of crashes that are kept for a task that runs until its job is cancelled: more do not change
/// its placement.
pub const MAX_KEPT_CRASHES: usize = 4;

/// Time for which a VM gets no tasks so that its runs end and a task can run there alone. Prolonged
/// while the task waits.
pub const CLEARING_TIME: Duration = Duration::from_millis(500);

/// Time after the loss of a VM for which it may have crashed in view of the placement of its tasks.
pub const RECENT_LOSS: Duration = Duration::from_secs(10);

/// Part of the VMs, as a divisor, from which on the loss of so many in a short time is an outage, as of
/// a zone that is cut off, and not the doing of tasks.
const OUTAGE_DIVISOR: usize = 4;

/// VMs that were lost lately under runs of a task.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Losses {
    /// Number of VMs.
    pub count: usize,
    /// Whether they were lost in an outage.
    pub in_outage: bool,
    /// Whether a VM, which is not among them, was lost or has crashed perhaps before the start of a run
    /// reached it.
    pub uncertain: bool,
}

/// How a task is placed in view of the crashes under its runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Caution {
    /// Like any other.
    None,
    /// Like any other, on a VM that has just answered a check. The other levels below include this.
    Checked,
    /// Preferably on a VM without other tasks under which a VM has crashed.
    Apart,
    /// On a VM without other tasks.
    Alone,
    /// Not yet: it may have crashed so many VMs that it is to be given up once their returns are known,
    /// or its last start is too recent.
    Hold,
}

impl Caution {
    /// Returns the caution for a task under whose runs this number of VMs has crashed, with the recent
    /// losses of others of which it is not known yet whether they have crashed.
    #[must_use]
    pub fn new(crashes: usize, losses: Losses) -> Self {
        let possible = crashes + losses.count;
        if losses.count > 0 && possible >= MAX_LONE_CRASHES {
            Self::Hold
        } else if crashes > 0 && possible >= ALONE_CRASHES {
            Self::Alone
        } else if crashes > 0 || losses.count > 0 && !losses.in_outage {
            Self::Apart
        } else if losses.uncertain {
            Self::Checked
        } else {
            Self::None
        }
    }

    /// Returns the caution for a task that runs until its job is cancelled. It is not held until the
    /// returns of its VMs are known: [`start_interval`] limits its starts.
    #[must_use]
    pub fn for_lasting_task(crashes: usize, losses: Losses) -> Self {
        Self::new(crashes, losses).min(Self::Alone)
    }
}

/// Returns the shortest time between two starts of a task that runs until its job is cancelled, given
/// the number of VMs that may have crashed under it.
#[must_use]
pub fn start_interval(possible_crashes: usize) -> Duration {
    let seconds = match possible_crashes {
        0 | 1 => 0,
        2 => 1,
        3 => 2,
        _ => 4,
    };
    Duration::from_secs(seconds)
}

/// Returns whether the job of a task fails after this number of crashes under its runs.
/// `has_uncertain` tells whether one more VM has crashed perhaps before a start reached it, `was_alone`
/// whether no other run may have caused the last crash.
#[must_use]
pub fn is_given_up(crashes: usize, has_uncertain: bool, was_alone: bool) -> bool {
    let possible = crashes + usize::from(has_uncertain);
    crashes >= MAX_LONE_CRASHES && (was_alone || possible >= MAX_CRASHES)
}

/// Returns whether the loss of `lost` of `vms` VMs within [`RECENT_LOSS`] is an outage.
#[must_use]
pub fn is_outage(lost: usize, vms: usize) -> bool {
    lost * OUTAGE_DIVISOR >= vms
}

/// Returns the number of a service's VMs that may run a single task at a time.
#[must_use]
pub fn max_alone(vms: usize) -> usize {
    (vms / ALONE_DIVISOR).max(1)
}

/// Returns the number of a service's VMs that may get no tasks until their runs have ended.
#[must_use]
pub fn max_clearing(vms: usize) -> usize {
    (vms / CLEARING_DIVISOR).max(1)
}
