//! Authority to renew leases and to start tasks.
//!
//! A stored heartbeat gives a placer the authority for the grace that it names. After that another
//! daemon may have taken over, or the table may be away for all daemons, so that none can. The two are
//! told apart by the VMs, each of which refuses the orders of a placer once its successor has reached
//! it. Without the table, a placer therefore acts only while most VMs have accepted a call that it sent
//! lately. A successor counts from the time at which it has reached so many VMs that this cannot be.

use std::time::Duration;

use crate::core::model::Now;
use crate::core::workload::cx::Cx;
use crate::core::workload::cx::millis;
use crate::core::workload::decision::Decision;
use crate::core::workload::placer::Placer;
use crate::core::workload::placer::state::fleet::Vm;
use crate::core::workload::policy::authority::is_minority;
use crate::core::workload::policy::authority::stops_former;

/// Time before the end of the grace by which a call without a wait has gone to each VM.
const CONFIRMATION_LEAD: Duration = Duration::from_millis(200);

/// Time after the grant for which a placer that reaches few VMs waits for leases that a former one may
/// renew. Longer, and the tasks of a fleet of which most VMs are lost would never start again.
const MAX_SETTLING_TIME: Duration = Duration::from_secs(10);

/// Authority of a placer when it was last looked at.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::core::workload::placer) enum Authority {
    Held,
    /// Another placer may have taken over.
    Suspended,
}

impl Placer {
    /// Returns whether the placer may renew leases and start tasks.
    pub(in crate::core::workload::placer) fn has_authority(&self, cx: &Cx) -> bool {
        if cx.now < self.grace_ends_at(cx) {
            return true;
        }
        let vms = self.fleet.vms.len();
        let max_age = cx.options.max_confirmation_age(vms);
        let is_unconfirmed = |vm: &&Vm| cx.now >= vm.confirmed_at + max_age;
        let unconfirmed = self.fleet.vms.values().filter(is_unconfirmed).count();
        !is_minority(unconfirmed, vms)
    }

    /// Returns whether the placer may renew leases and start tasks. Renews all leases at once if it may
    /// do so again.
    pub(in crate::core::workload::placer) fn update_authority(&mut self, cx: &mut Cx) -> bool {
        let held = self.has_authority(cx);
        let authority = if held {
            Authority::Held
        } else {
            Authority::Suspended
        };
        if authority == self.authority {
            return held;
        }
        self.authority = authority;
        cx.log(Decision::RenewalAuthority {
            epoch: self.owner.epoch,
            held,
            heartbeat_age_ms: millis(cx.now.saturating_sub(self.last_heartbeat_sent_at)),
        });
        if held {
            for key in self.fleet.keys() {
                self.fleet.hasten_renewal(key, cx.now);
            }
        }
        held
    }

    /// Returns whether the VMs are called without a wait, as the placer may soon need their answers.
    pub(in crate::core::workload::placer) fn needs_confirmations(&self, cx: &Cx) -> bool {
        let lead = self.renewal_wait(cx) + CONFIRMATION_LEAD;
        cx.now + lead >= self.grace_ends_at(cx)
    }

    /// Returns the time up to which the last stored heartbeat gives the placer the authority.
    fn grace_ends_at(&self, cx: &Cx) -> Now {
        let grace = self.renewal_grace(cx).min(self.named_grace.shortest());
        self.last_heartbeat_sent_at + grace
    }

    /// Records the time at which this placer has reached so many VMs that a former one stops.
    pub(in crate::core::workload::placer) fn record_fenced_share(&mut self, now: Now) {
        let fenced = self.fleet.vms.values().filter(|vm| vm.is_fenced()).count();
        if self.share_fenced_at.is_none() && stops_former(fenced, self.fleet.vms.len()) {
            self.share_fenced_at = Some(now);
        }
    }

    /// Returns the time up to which a former placer may renew leases.
    pub(in crate::core::workload::placer) fn former_stops_at(&self) -> Now {
        let Some(confirms) = self.former_confirms else {
            return self.former_renews_until;
        };
        let latest = self.granted_at + MAX_SETTLING_TIME;
        let fenced_at = self.share_fenced_at.unwrap_or(latest);
        self.former_renews_until.max(fenced_at + confirms)
    }
}
