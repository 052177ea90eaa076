//! Capacities of the daemons' hosts: daemons with more capacity take the placer role first.

use std::time::Duration;

use rustc_hash::FxHashMap;

use super::capacity::HostCapacity;
use super::cx::Cx;
use crate::core::model::DaemonId;
use crate::core::model::Now;
use crate::core::model::Rev;

/// A takeover is delayed by at most `takeover_after` divided by this number for lack of capacity.
const MAX_DELAY_DIVISOR: u32 = 3;

/// Fitness below which a host is too small for the placer as long as there are fitter ones.
const MIN_FITNESS: f64 = 0.5;

/// Hosts of the daemons that have published an address.
#[derive(Debug, Default)]
pub(super) struct Hosts {
    hosts: FxHashMap<DaemonId, Host>,
}

/// Host of a daemon.
#[derive(Debug)]
struct Host {
    capacity: HostCapacity,
    /// Version of the address row.
    version: Rev,
    /// Time at which that version was received.
    announced_at: Now,
}

impl Hosts {
    /// Records the host that a daemon has published.
    pub fn update(&mut self, daemon: &DaemonId, version: Rev, capacity: HostCapacity, now: Now) {
        if self
            .hosts
            .get(daemon)
            .is_some_and(|host| host.version == version)
        {
            return;
        }
        let host = Host {
            capacity,
            version,
            announced_at: now,
        };
        self.hosts.insert(daemon.clone(), host);
    }

    /// Removes the host of a daemon whose address was removed.
    pub fn remove(&mut self, daemon: &DaemonId) {
        self.hosts.remove(daemon);
    }

    /// Returns how much longer than the fittest host this daemon waits before a takeover.
    pub fn takeover_delay(&self, cx: &Cx) -> Duration {
        let scale = self.scale(cx);
        let max = cx.options.placer.takeover_after / MAX_DELAY_DIVISOR;
        max.mul_f64(1.0 - scale.fitness(&cx.options.capacity))
    }

    /// Returns whether this daemon's host is not fit for the placer and another one is, other than
    /// that of the last holder of the role, which has failed or released it.
    pub fn defers_to_fit_host(&self, cx: &Cx, last_holder: Option<&DaemonId>) -> bool {
        let scale = self.scale(cx);
        if scale.is_fit(&cx.options.capacity) {
            return false;
        }
        let own = &cx.options.daemon;
        let mut others = self.hosts.iter();
        others.any(|(daemon, host)| {
            daemon != own && Some(daemon) != last_holder && scale.is_fit(&host.capacity)
        })
    }

    /// Returns the time at which a host fit for the placer was last announced, if this daemon's
    /// host is not fit for it.
    pub fn fitter_announced_at(&self, cx: &Cx) -> Option<Now> {
        let scale = self.scale(cx);
        if scale.is_fit(&cx.options.capacity) {
            return None;
        }
        let fit = self.others(cx).filter(|host| scale.is_fit(&host.capacity));
        fit.map(|host| host.announced_at).max()
    }

    /// Returns the daemon with a host fit for the placer that follows `last` in the order of names,
    /// which starts again after its end; `None` if this daemon's host is fit or no other one is.
    pub fn next_fit_daemon(&self, cx: &Cx, last: &str) -> Option<&DaemonId> {
        let scale = self.scale(cx);
        if scale.is_fit(&cx.options.capacity) {
            return None;
        }
        let fit = self.hosts.iter();
        let fit = fit.filter(|(_, host)| scale.is_fit(&host.capacity));
        let fit = fit.map(|(daemon, _)| daemon);
        fit.filter(|daemon| **daemon != cx.options.daemon)
            .min_by_key(|daemon| (***daemon <= *last, *daemon))
    }

    /// Returns the number of daemons that are fit for the placer, or not fit for it, as this one.
    pub fn peer_count(&self, cx: &Cx) -> usize {
        let scale = self.scale(cx);
        let own = scale.is_fit(&cx.options.capacity);
        let alike = |host: &&Host| scale.is_fit(&host.capacity) == own;
        self.others(cx).filter(alike).count() + 1
    }

    fn others(&self, cx: &Cx) -> impl Iterator<Item = &Host> {
        let others = self.hosts.iter();
        let others = others.filter(|(daemon, _)| **daemon != cx.options.daemon);
        others.map(|(_, host)| host)
    }

    fn scale(&self, cx: &Cx) -> Scale {
        let own = &cx.options.capacity;
        let max = |best: HostCapacity, host: &Host| best.max(&host.capacity);
        let best = self.others(cx).fold(*own, max);
        let shares = self.others(cx).map(|host| host.capacity.share_of(&best));
        let top = shares.fold(own.share_of(&best), f64::max);
        Scale { best, top }
    }
}

/// Scale of fitness: that of the fittest host is 1.
struct Scale {
    /// Largest known amount of each resource.
    best: HostCapacity,
    /// Share of `best` that the fittest host has.
    top: f64,
}

impl Scale {
    fn fitness(&self, capacity: &HostCapacity) -> f64 {
        capacity.share_of(&self.best) / self.top
    }

    fn is_fit(&self, capacity: &HostCapacity) -> bool {
        self.fitness(capacity) >= MIN_FITNESS
    }
}
