//! Monitor of the placer's heartbeat and the daemons' addresses and hosts, which every daemon
//! follows.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use rustc_hash::FxHashMap;

use super::cx::Cx;
use super::cx::millis;
use super::decision::Decision;
use super::event::FeedRow;
use super::event::ProbeResult;
use super::feeds::Update;
use super::hosts::Hosts;
use super::probe::HolderProbe;
use super::rows::AddressRow;
use super::rows::DAEMONS_PART;
use super::rows::HEARTBEAT_KEY;
use super::rows::HeartbeatRow;
use super::rows::OwnerRow;
use super::rows::decode;
use super::table::TableRow;
use crate::core::model::DaemonId;
use crate::core::model::Epoch;
use crate::core::model::Now;
use crate::core::model::Rev;
use crate::core::model::TeamId;
use crate::core::model::ZoneId;

/// Maximum age of a number of waiting jobs that is returned to callers.
///
/// The number counts as known since the last watch of the jobs table was sent, which may be two
/// waits of a watch ago where jobs are rare.
const MAX_WAITING_COUNT_AGE: Duration = Duration::from_millis(2_500);

/// Maximum age of a heartbeat by whose estimates jobs are refused.
const MAX_WAIT_AGE: Duration = Duration::from_millis(2_500);

/// Last heartbeat of the placer, state of its process, and addresses and hosts of the daemons.
#[derive(Debug, Default)]
pub(super) struct HeartbeatMonitor {
    last: Option<Heartbeat>,
    probe: HolderProbe,
    /// Addresses of the daemons for calls between them.
    pub addresses: FxHashMap<DaemonId, Box<str>>,
    /// Availability zones of the daemons that have published theirs.
    zones: BTreeMap<ZoneId, BTreeSet<DaemonId>>,
    /// Hosts of the daemons.
    pub hosts: Hosts,
}

/// Estimated wait of a new job, as published by the placer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct PublishedWait {
    /// Estimated wait.
    pub wait: Duration,
    /// Upper bound of the time since the heartbeat with the estimate was written.
    pub age: Duration,
}

/// Heartbeat of the placer.
#[derive(Debug)]
pub(super) struct Heartbeat {
    /// Version of the row.
    pub version: Rev,
    /// Time at which it was received.
    pub received_at: Now,
    /// Time at which the call that returned it was sent.
    pub requested_at: Now,
    /// Contents.
    pub row: HeartbeatRow,
}

impl HeartbeatMonitor {
    /// Returns the last heartbeat received.
    pub fn heartbeat(&self) -> Option<&Heartbeat> {
        self.last.as_ref()
    }

    /// Returns the holder of the role that the last heartbeat names, if its epoch is above `epoch`.
    pub fn holder_after(&self, epoch: Epoch) -> Option<&OwnerRow> {
        let owner = &self.last.as_ref()?.row.owner;
        (owner.epoch > epoch).then_some(owner)
    }

    /// Returns the number of jobs of a queue without a started task; `None` if no recent number is
    /// known.
    pub fn waiting_jobs(&self, now: Now, queue: &str) -> Option<u64> {
        let last = self.last.as_ref()?;
        let (count, age) = last.row.waiting_jobs(queue)?;
        let counted_at = last.requested_at.saturating_sub(age);
        (now < counted_at + MAX_WAITING_COUNT_AGE).then_some(count)
    }

    /// Returns the estimated wait of a new job of a queue and team. `None` if it is short, or not
    /// known as the placer is loading, is lost or has sent no recent heartbeat.
    pub fn wait(&self, now: Now, queue: &str, team: Option<&TeamId>) -> Option<PublishedWait> {
        let last = self.last.as_ref()?;
        let age = now.saturating_sub(last.requested_at);
        if last.row.loading || last.row.released || age >= MAX_WAIT_AGE || self.holder_has_ended() {
            return None;
        }
        let wait = last.row.wait(queue, team)?;
        Some(PublishedWait { wait, age })
    }

    /// Returns the address of one daemon in each zone but `zone`. The `turn` selects among the
    /// daemons of a zone.
    pub fn addresses_in_other_zones(&self, zone: &ZoneId, turn: usize) -> Vec<Box<str>> {
        let others = self.zones.iter().filter(|(other, _)| *other != zone);
        let daemons = others.filter_map(|(_, daemons)| daemons.iter().nth(turn % daemons.len()));
        let addresses = daemons.filter_map(|daemon| self.addresses.get(daemon));
        addresses.cloned().collect()
    }

    fn remove_from_zones(&mut self, daemon: &DaemonId) {
        self.zones.retain(|_, daemons| {
            daemons.remove(daemon);
            !daemons.is_empty()
        });
    }

    /// Probes the holder's process if its heartbeat is late.
    pub fn poll(&mut self, cx: &mut Cx) {
        if let Some(last) = &self.last {
            self.probe.poll(cx, last, &self.addresses, &self.hosts);
        }
    }

    /// Returns the time at which [`HeartbeatMonitor::poll`] is next due, if any.
    pub fn wake_at(&self, cx: &Cx) -> Option<Now> {
        self.probe.wake_at(cx, self.last.as_ref()?)
    }

    /// Handles the result of a probe that was sent after the heartbeat of this version.
    pub fn handle_probe_result(&mut self, cx: &mut Cx, version: Rev, result: &ProbeResult) {
        let ended = self.probe.record_result(cx.now, version, result);
        if ended && let Some(last) = self.last.as_ref().filter(|last| last.version == version) {
            cx.log(Decision::HolderEnded {
                daemon: last.row.owner.daemon.clone(),
                epoch: last.row.owner.epoch,
                beat_age_ms: millis(cx.now.saturating_sub(last.received_at)),
            });
        }
    }

    /// Returns whether the process that sent the last heartbeat is known to have ended.
    pub fn holder_has_ended(&self) -> bool {
        self.holder_ended_at().is_some()
    }

    /// Returns the time at which the process that sent the last heartbeat was found to have ended.
    pub fn holder_ended_at(&self) -> Option<Now> {
        self.probe.ended_at(self.last.as_ref()?)
    }

    /// Applies rows of the followed table; logs those that cannot be decoded.
    pub fn apply(&mut self, cx: &mut Cx, update: Update) {
        for row in update.rows {
            if let FeedRow::Internal(row) = row
                && let Err(reason) = self.apply_row(cx, update.as_of, &row)
            {
                let key = row.key;
                cx.log(Decision::RowUnreadable { key, reason });
            }
        }
    }

    fn apply_row(&mut self, cx: &Cx, as_of: Now, row: &TableRow) -> super::rows::Result<()> {
        if &*row.part == DAEMONS_PART {
            if let Some(value) = &row.value {
                let address: AddressRow = decode(value)?;
                self.hosts
                    .update(&row.key, row.version, address.capacity, cx.now);
                self.addresses.insert(row.key.clone(), address.peer);
                self.remove_from_zones(&row.key);
                if let Some(zone) = address.zone {
                    self.zones.entry(zone).or_default().insert(row.key.clone());
                }
            } else {
                self.hosts.remove(&row.key);
                self.addresses.remove(&row.key);
                self.remove_from_zones(&row.key);
            }
        } else if row.part == cx.options.part && &*row.key == HEARTBEAT_KEY {
            self.last = match &row.value {
                Some(value)
                    if self
                        .last
                        .as_ref()
                        .is_none_or(|last| last.version < row.version) =>
                {
                    Some(Heartbeat {
                        version: row.version,
                        received_at: cx.now,
                        requested_at: as_of,
                        row: decode(value)?,
                    })
                }
                Some(_) => return Ok(()),
                None => None,
            };
        }
        Ok(())
    }
}
