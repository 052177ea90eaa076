//! Peers of this daemon: heartbeats, reachability, and the placers of the zones.

use std::collections::BTreeMap;
use std::time::Duration;

use super::effect::Effect;
use super::effect::Effects;
use super::event::Heartbeat;
use super::event::PeerMessage;
use super::model::DaemonId;
use super::model::Member;
use super::model::MemberRole;
use super::model::Now;
use super::model::ZoneId;
use super::timeline::TimelineEvent;

/// One other daemon.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Zone of the peer.
    pub zone: ZoneId,
    /// Address for daemons, `ip:port`.
    pub address: Box<str>,
    /// Last heartbeat received.
    pub heartbeat: Option<Heartbeat>,
    /// Latest time at which a heartbeat was requested from the peer and answered, or arrived
    /// unrequested.
    pub last_seen: Option<Now>,
    /// Whether `last_seen` is within the timeout.
    pub reachable: bool,
    /// Whether the peer's membership list is certain to name this daemon: the peer has sent it a
    /// heartbeat, or joined after this daemon was listed.
    pub lists_this_daemon: bool,
    next_send: Now,
}

/// All peers, by name.
#[derive(Clone, Debug, Default)]
pub struct Peers {
    me: DaemonId,
    /// Whether a membership list has named this daemon.
    listed: bool,
    by_id: BTreeMap<DaemonId, Peer>,
}

impl Peers {
    /// Returns the peers named in the settings.
    #[must_use]
    pub fn new(me: &str, seeds: &[Member]) -> Self {
        let mut peers = Self {
            me: me.into(),
            ..Self::default()
        };
        peers.set_members(seeds);
        peers.listed = false;
        peers
    }

    /// Replaces the peers by the entry VMs of a membership list. A peer that was known under the
    /// same address keeps its state.
    pub fn set_members(&mut self, members: &[Member]) {
        let mut known = std::mem::take(&mut self.by_id);
        for member in members {
            let MemberRole::Entry { peer: address } = &member.role else {
                continue;
            };
            if member.id == self.me {
                continue;
            }
            let old = known
                .remove(&member.id)
                .filter(|old| old.address == *address);
            let peer = old.unwrap_or_else(|| Peer {
                zone: member.zone.clone(),
                address: address.clone(),
                heartbeat: None,
                last_seen: None,
                reachable: false,
                lists_this_daemon: self.listed,
                next_send: Now::ZERO,
            });
            self.by_id.insert(member.id.clone(), peer);
        }
        self.listed |= members.iter().any(|member| member.id == self.me);
    }

    /// Sends the heartbeats that are due, and marks peers without a heartbeat within `timeout` as
    /// unreachable. Returns the peers that became unreachable.
    pub fn tick(
        &mut self,
        now: Now,
        interval: Duration,
        timeout: Duration,
        heartbeat: &Heartbeat,
        fx: &mut Effects,
    ) -> Vec<DaemonId> {
        let mut lost = Vec::new();
        for (id, peer) in &mut self.by_id {
            if now >= peer.next_send {
                peer.next_send = now + interval;
                let message = PeerMessage::Heartbeat(heartbeat.clone());
                fx.push(Effect::Peer {
                    to: id.clone(),
                    address: peer.address.clone(),
                    message,
                });
            }
            let timed_out = peer
                .last_seen
                .is_none_or(|seen| now.saturating_sub(seen) > timeout);
            if peer.reachable && timed_out {
                peer.reachable = false;
                lost.push(id.clone());
                fx.push(Effect::Timeline(TimelineEvent::Peer {
                    peer: id.clone(),
                    reachable: false,
                }));
            }
        }
        lost
    }

    /// Records a heartbeat of a peer. Returns whether the peer became reachable by it.
    pub fn record_heartbeat(
        &mut self,
        at: Now,
        id: &str,
        heartbeat: Heartbeat,
        fx: &mut Effects,
    ) -> bool {
        let Some(peer) = self.by_id.get_mut(id) else {
            return false;
        };
        peer.heartbeat = Some(heartbeat);
        peer.last_seen = peer.last_seen.max(Some(at));
        if peer.reachable {
            return false;
        }
        peer.reachable = true;
        fx.push(Effect::Timeline(TimelineEvent::Peer {
            peer: id.into(),
            reachable: true,
        }));
        true
    }

    /// Records that a peer sent a heartbeat that is not a reply.
    pub fn record_heartbeat_request(&mut self, id: &str) {
        if let Some(peer) = self.by_id.get_mut(id) {
            peer.lists_this_daemon = true;
        }
    }

    /// Returns the peer with the name `id`.
    #[must_use]
    pub fn get(&self, id: &str) -> Option<&Peer> {
        self.by_id.get(id)
    }

    /// Iterates over all peers, sorted by name.
    pub fn iter(&self) -> impl Iterator<Item = (&DaemonId, &Peer)> {
        self.by_id.iter()
    }

    /// Returns the names of all peers.
    #[must_use]
    pub fn ids(&self) -> Vec<DaemonId> {
        self.by_id.keys().cloned().collect()
    }

    /// Returns the reachable placer of a zone and its last heartbeat.
    #[must_use]
    pub fn placer_of(&self, zone: &str) -> Option<(&DaemonId, &Heartbeat)> {
        self.by_id
            .iter()
            .filter(|(_, peer)| peer.reachable)
            .filter_map(|(id, peer)| peer.heartbeat.as_ref().map(|beat| (id, beat)))
            .find(|(_, beat)| beat.placer.as_deref() == Some(zone))
    }

    /// Sends a message to a peer; does nothing if the peer is unknown.
    pub fn send(&self, to: &str, message: PeerMessage, fx: &mut Effects) {
        if let Some(peer) = self.by_id.get(to) {
            fx.push(Effect::Peer {
                to: to.into(),
                address: peer.address.clone(),
                message,
            });
        }
    }

    /// Sends a message to every reachable peer.
    pub fn broadcast(&self, message: &PeerMessage, fx: &mut Effects) {
        for (id, peer) in self.by_id.iter().filter(|(_, peer)| peer.reachable) {
            let address = peer.address.clone();
            fx.push(Effect::Peer {
                to: id.clone(),
                address,
                message: message.clone(),
            });
        }
    }
}
