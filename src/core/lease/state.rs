//! Holder's state machine for the lease on one VM, with its states as types.

use std::time::Duration;

use crate::core::model::Epoch;
use crate::core::model::Now;

/// Fencing token of a message. A VM refuses a message whose token is not above the last one's.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct FencingToken {
    /// Generation of this holder on the VM.
    pub epoch: Epoch,
    /// Sequence number of the last message sent within the epoch.
    pub seq: u64,
}

/// A lease in state `S`.
#[derive(Clone, Copy, Debug)]
pub(super) struct Lease<S> {
    token: FencingToken,
    state: S,
}

/// Not held, and not to be requested before `retry_at`.
#[derive(Clone, Copy, Debug)]
pub(super) struct Unheld {
    retry_at: Now,
}

/// Requested. It may have been granted by an answer that was lost.
#[derive(Clone, Copy, Debug)]
pub(super) struct Acquiring;

/// Held until `until` by the holder's clock, with the drift margin already subtracted.
#[derive(Clone, Copy, Debug)]
pub(super) struct Held {
    until: Now,
    /// Reading of the VM's clock in its last report.
    seen: Duration,
}

/// Expired by the holder's clock; the VM may still renew it under the same epoch.
#[derive(Clone, Copy, Debug)]
pub(super) struct Suspended {
    seen: Duration,
}

/// Not held, and every task that was started under it has stopped.
#[derive(Clone, Copy, Debug)]
pub(super) struct Lapsed;

impl<S> Lease<S> {
    /// Returns the token of the next message.
    pub fn next_message(&mut self) -> FencingToken {
        self.token.seq += 1;
        self.token
    }

    /// Handles a refusal by the VM, which has another holder or considers the message stale.
    /// `epoch` is the highest epoch that the VM knows.
    pub fn refuse(self, epoch: Epoch, retry_at: Now) -> Lease<Unheld> {
        let token = FencingToken {
            epoch: self.token.epoch.max(epoch),
            seq: 0,
        };
        let state = Unheld { retry_at };
        Lease { token, state }
    }

    /// Releases the lease; a later holder uses a higher epoch.
    pub fn release(self, retry_at: Now) -> Lease<Unheld> {
        let epoch = self.token.epoch;
        self.refuse(epoch, retry_at)
    }

    /// Handles that every task started under the lease has stopped.
    pub fn lapse(self) -> Lease<Lapsed> {
        Lease {
            token: self.token,
            state: Lapsed,
        }
    }

    fn with_next_epoch(self) -> Lease<Acquiring> {
        let token = FencingToken {
            epoch: self.token.epoch + 1,
            seq: 0,
        };
        let state = Acquiring;
        Lease { token, state }
    }

    fn into_held(self, until: Now, seen: Duration) -> Lease<Held> {
        Lease {
            token: self.token,
            state: Held { until, seen },
        }
    }
}

impl Lease<Unheld> {
    /// Returns a lease that was never requested.
    pub fn new(retry_at: Now) -> Self {
        Self {
            token: FencingToken::default(),
            state: Unheld { retry_at },
        }
    }

    /// Returns whether the lease may be requested.
    pub fn is_due(&self, now: Now) -> bool {
        now >= self.state.retry_at
    }

    /// Requests the lease under a higher epoch.
    pub fn acquire(self) -> Lease<Acquiring> {
        self.with_next_epoch()
    }
}

impl Lease<Acquiring> {
    /// Handles a grant by the VM.
    pub fn grant(self, until: Now, seen: Duration) -> Lease<Held> {
        self.into_held(until, seen)
    }
}

impl Lease<Held> {
    /// Handles a renewal by the VM.
    pub fn renew(self, until: Now, seen: Duration) -> Self {
        let until = until.max(self.state.until);
        self.into_held(until, seen)
    }

    /// Returns whether the lease has not expired at `now`.
    pub fn is_current(&self, now: Now) -> bool {
        now < self.state.until
    }

    /// Returns the VM's clock reading in its last report.
    pub fn seen(&self) -> Duration {
        self.state.seen
    }

    /// Handles the expiry of the lease by the holder's clock.
    pub fn suspend(self) -> Lease<Suspended> {
        let seen = self.state.seen;
        Lease {
            token: self.token,
            state: Suspended { seen },
        }
    }
}

impl Lease<Suspended> {
    /// Handles a renewal by the VM after the lease expired by the holder's clock.
    pub fn regain(self, until: Now, seen: Duration) -> Lease<Held> {
        self.into_held(until, seen)
    }

    /// Returns the VM's clock reading in its last report.
    pub fn seen(&self) -> Duration {
        self.state.seen
    }
}

impl Lease<Lapsed> {
    /// Requests the lease under a higher epoch.
    pub fn acquire(self) -> Lease<Acquiring> {
        self.with_next_epoch()
    }
}

/// A lease in any state.
#[derive(Clone, Copy, Debug)]
pub(super) enum LeaseState {
    /// See [`Unheld`].
    Unheld(Lease<Unheld>),
    /// See [`Acquiring`].
    Acquiring(Lease<Acquiring>),
    /// See [`Held`].
    Held(Lease<Held>),
    /// See [`Suspended`].
    Suspended(Lease<Suspended>),
    /// See [`Lapsed`].
    Lapsed(Lease<Lapsed>),
}

impl LeaseState {
    /// Returns whether the lease is held at `now`.
    pub fn is_held(&self, now: Now) -> bool {
        matches!(self, Self::Held(lease) if lease.is_current(now))
    }

    /// Returns the VM's clock reading in its last report under this epoch.
    pub fn seen(&self) -> Option<Duration> {
        match self {
            Self::Held(lease) => Some(lease.seen()),
            Self::Suspended(lease) => Some(lease.seen()),
            Self::Unheld(_) | Self::Acquiring(_) | Self::Lapsed(_) => None,
        }
    }

    /// Handles a grant or renewal by the VM.
    pub fn grant(self, until: Now, seen: Duration) -> Self {
        match self {
            Self::Acquiring(lease) => Self::Held(lease.grant(until, seen)),
            Self::Held(lease) => Self::Held(lease.renew(until, seen)),
            Self::Suspended(lease) => Self::Held(lease.regain(until, seen)),
            Self::Unheld(_) | Self::Lapsed(_) => self,
        }
    }

    /// Handles a refusal by the VM; `epoch` is the highest epoch that the VM knows.
    pub fn refuse(self, epoch: Epoch, retry_at: Now) -> Self {
        Self::Unheld(match self {
            Self::Unheld(lease) => lease.refuse(epoch, retry_at),
            Self::Acquiring(lease) => lease.refuse(epoch, retry_at),
            Self::Held(lease) => lease.refuse(epoch, retry_at),
            Self::Suspended(lease) => lease.refuse(epoch, retry_at),
            Self::Lapsed(lease) => lease.refuse(epoch, retry_at),
        })
    }

    /// Releases the lease.
    pub fn release(self, retry_at: Now) -> Self {
        Self::Unheld(match self {
            Self::Unheld(lease) => lease,
            Self::Acquiring(lease) => lease.release(retry_at),
            Self::Held(lease) => lease.release(retry_at),
            Self::Suspended(lease) => lease.release(retry_at),
            Self::Lapsed(lease) => lease.release(retry_at),
        })
    }

    /// Handles that every task started under the lease has stopped.
    pub fn lapse(self) -> Self {
        Self::Lapsed(match self {
            Self::Unheld(lease) => lease.lapse(),
            Self::Acquiring(lease) => lease.lapse(),
            Self::Held(lease) => lease.lapse(),
            Self::Suspended(lease) => lease.lapse(),
            Self::Lapsed(lease) => lease,
        })
    }

    /// Returns the state after the next message and the message's token, or `None` if no message
    /// may be sent yet.
    pub fn next_message(self, now: Now) -> Option<(Self, FencingToken)> {
        let mut next = match self {
            Self::Unheld(lease) if !lease.is_due(now) => return None,
            Self::Unheld(lease) => Self::Acquiring(lease.acquire()),
            Self::Lapsed(lease) => Self::Acquiring(lease.acquire()),
            state => state,
        };
        let token = match &mut next {
            Self::Unheld(lease) => lease.next_message(),
            Self::Acquiring(lease) => lease.next_message(),
            Self::Held(lease) => lease.next_message(),
            Self::Suspended(lease) => lease.next_message(),
            Self::Lapsed(lease) => lease.next_message(),
        };
        Some((next, token))
    }
}
