//! Calls that this daemon passes on to another one, as it cannot reach the table itself.
//!
//! The table may turn some daemons away while it serves the others. Their callers would otherwise be
//! refused although the cell is well. A call is relayed once: the daemon that gets it handles it or
//! refuses it.

use std::time::Duration;

use rustc_hash::FxHashMap;

use super::calls::job_id_in_path;
use super::recent_ids::RecentIds;
use crate::core::model::DaemonId;
use crate::core::model::Now;
use crate::core::model::Ticket;
use crate::core::workload::cx::Cx;
use crate::core::workload::decision::Decision;
use crate::core::workload::effect::Reply;
use crate::core::workload::effect::Request;
use crate::core::workload::event::Action;
use crate::core::workload::event::Call;
use crate::core::workload::event::RelayError;
use crate::core::workload::event::RelayedReply;
use crate::core::workload::heartbeat::HeartbeatMonitor;

/// Number of daemons to which a call is relayed in turn, if each replies that it cannot handle it.
const MAX_ATTEMPTS: u32 = 3;

/// Time after which a daemon is taken not to answer a relayed call.
const TIMEOUT: Duration = Duration::from_secs(1);

/// Time for which no calls are relayed to a daemon that did not handle one.
const DAEMON_PAUSE: Duration = Duration::from_secs(1);

/// Time for which no calls are relayed after all attempts of one have failed, as the table is
/// likely down for all daemons.
const PAUSE: Duration = Duration::from_millis(500);

/// Relayed calls and the daemons that take them.
#[derive(Debug, Default)]
pub(in crate::core::workload) struct Relays {
    pending: FxHashMap<Ticket, Relayed>,
    paused_until: Now,
    daemons_paused_until: FxHashMap<DaemonId, Now>,
    /// Number of calls relayed so far; selects the next daemon.
    count: usize,
    /// Highest version of the configuration that a relayed call was handled with. Its callers have
    /// seen it, so calls must not be handled with an older one.
    config: u64,
    /// Jobs of calls that may have been handled although no reply to them arrived.
    unsettled: RecentIds<()>,
}

/// Call that another daemon handles.
#[derive(Debug)]
struct Relayed {
    call: Call,
    daemon: DaemonId,
    attempts: u32,
}

impl Relays {
    /// Returns whether no relayed call waits for a reply.
    pub fn is_idle(&self) -> bool {
        self.pending.is_empty()
    }

    /// Returns whether a relayed submission of a job may still take effect.
    pub fn may_have_submitted(&self, id: &str) -> bool {
        let is_pending = |relayed: &Relayed| job_id_in_path(&relayed.call.path) == id;
        self.pending.values().any(is_pending) || self.unsettled.get(id).is_some()
    }

    /// Returns the version of the configuration below which no call may be handled.
    pub fn min_config(&self) -> u64 {
        self.config
    }

    /// Relays a call to another daemon. Returns false if it cannot be relayed.
    pub fn start(
        &mut self,
        cx: &mut Cx,
        heartbeats: &HeartbeatMonitor,
        ticket: Ticket,
        call: &Call,
    ) -> bool {
        let is_valid = !matches!(call.action, Action::Submit(Err(_)) | Action::Unsupported);
        if call.relayed_with.is_some() || !is_valid || cx.now < self.paused_until {
            return false;
        }
        let own = cx.catalog.map_or(0, |catalog| catalog.version);
        let mut call = call.clone();
        call.relayed_with = Some(own.max(self.config));
        let relayed = Relayed {
            call,
            daemon: "".into(),
            attempts: 0,
        };
        self.send(cx, heartbeats, ticket, relayed).is_none()
    }

    /// Handles the result of a relayed call: replies to the caller, or tries the next daemon if this
    /// one has not handled the call.
    pub fn handle_result(
        &mut self,
        cx: &mut Cx,
        heartbeats: &HeartbeatMonitor,
        ticket: Ticket,
        result: Result<RelayedReply, RelayError>,
    ) {
        let Some(relayed) = self.pending.remove(&ticket) else {
            return;
        };
        let err = match result {
            Ok(RelayedReply { reply, config }) if !matches!(reply, Reply::Unavailable(_)) => {
                self.config = self.config.max(config);
                return cx.reply(ticket, reply);
            }
            Ok(_) => None,
            Err(err) => Some(err),
        };
        cx.log(Decision::RelayFailed {
            id: relayed.call.path.clone(),
            daemon: relayed.daemon.clone(),
            reason: format!("{err:?}").into(),
        });
        let pause = cx.now + DAEMON_PAUSE;
        self.daemons_paused_until
            .insert(relayed.daemon.clone(), pause);
        let failed = match err {
            None => self.send(cx, heartbeats, ticket, relayed),
            // The network is likely at fault, for the other daemons too.
            Some(_) => Some(relayed),
        };
        let Some(failed) = failed else {
            return;
        };
        self.paused_until = cx.now + PAUSE;
        // A call that only reads has no effect.
        let is_read = matches!(failed.call.action, Action::Get);
        let may_have_run = matches!(err, Some(RelayError::NoReply(_))) && !is_read;
        let reply = if may_have_run {
            let id = job_id_in_path(&failed.call.path);
            self.unsettled.add(id, ());
            Reply::Unknown
        } else {
            cx.unavailable()
        };
        cx.reply(ticket, reply);
    }

    /// Sends a call to the next daemon; returns it if no daemon is left to try.
    fn send(
        &mut self,
        cx: &mut Cx,
        heartbeats: &HeartbeatMonitor,
        ticket: Ticket,
        mut relayed: Relayed,
    ) -> Option<Relayed> {
        if relayed.attempts >= MAX_ATTEMPTS {
            return Some(relayed);
        }
        let Some((daemon, via)) = self.next_daemon(cx, heartbeats) else {
            return Some(relayed);
        };
        relayed.daemon = daemon;
        relayed.attempts += 1;
        cx.send(Request::Relay {
            ticket,
            call: Box::new(relayed.call.clone()),
            via,
            timeout: TIMEOUT,
        });
        self.pending.insert(ticket, relayed);
        None
    }

    /// Returns the daemons in turn, except this one and those that are paused.
    fn next_daemon(
        &mut self,
        cx: &Cx,
        heartbeats: &HeartbeatMonitor,
    ) -> Option<(DaemonId, Box<str>)> {
        let paused = &self.daemons_paused_until;
        let is_paused = |id: &DaemonId| paused.get(id).is_some_and(|&until| cx.now < until);
        let others = heartbeats.addresses.iter();
        let others = others.filter(|(id, _)| **id != cx.options.daemon && !is_paused(id));
        let mut others: Vec<(&DaemonId, &Box<str>)> = others.collect();
        others.sort_unstable();
        if others.is_empty() {
            return None;
        }
        // Daemons start at different places, so that they do not all choose the same one.
        let first = usize::try_from(cx.options.nonce % (1 << 16)).unwrap_or(0);
        let (id, address) = others[(first + self.count) % others.len()];
        self.count += 1;
        Some((id.clone(), address.clone()))
    }
}
