//! Other daemons: heartbeats, reachability, and who is placer of which zone.

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
    /// Its zone.
    pub zone: ZoneId,
    /// Its address for daemons, `ip:port`.
    pub address: Box<str>,
    /// Its last heartbeat.
    pub heartbeat: Option<Heartbeat>,
    /// When that heartbeat was asked for or arrived.
    pub heard: Option<Now>,
    /// Whether it was heard within the timeout.
    pub reachable: bool,
    /// Whether it is certain that its membership list names this daemon: it sent a heartbeat, or
    /// joined the list later.
    pub knows_us: bool,
    next_send: Now,
}

/// All other daemons, by name.
#[derive(Clone, Debug, Default)]
pub struct Peers {
    me: DaemonId,
    /// Whether a membership list has named this daemon.
    listed: bool,
    by_id: BTreeMap<DaemonId, Peer>,
}

impl Peers {
    /// Returns the daemons named in the settings.
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

    /// Takes the entry VMs of the membership list, and forgets all others.
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
                heard: None,
                reachable: false,
                knows_us: self.listed,
                next_send: Now::ZERO,
            });
            self.by_id.insert(member.id.clone(), peer);
        }
        self.listed |= members.iter().any(|member| member.id == self.me);
    }

    /// Sends the heartbeats that are due and notes peers that fell silent.
    pub fn tick(
        &mut self,
        now: Now,
        every: Duration,
        silence: Duration,
        heartbeat: &Heartbeat,
        fx: &mut Effects,
    ) -> Vec<DaemonId> {
        let mut lost = Vec::new();
        for (id, peer) in &mut self.by_id {
            if now >= peer.next_send {
                peer.next_send = now + every;
                let message = PeerMessage::Heartbeat(heartbeat.clone());
                fx.push(Effect::Peer {
                    to: id.clone(),
                    address: peer.address.clone(),
                    message,
                });
            }
            let silent = peer
                .heard
                .is_none_or(|heard| now.saturating_sub(heard) > silence);
            if peer.reachable && silent {
                peer.reachable = false;
                lost.push(id.clone());
                fx.push(Effect::Note(TimelineEvent::Peer {
                    peer: id.clone(),
                    reachable: false,
                }));
            }
        }
        lost
    }

    /// Takes a heartbeat; returns whether the peer had been unreachable.
    pub fn heard(&mut self, at: Now, id: &str, heartbeat: Heartbeat, fx: &mut Effects) -> bool {
        let Some(peer) = self.by_id.get_mut(id) else {
            return false;
        };
        peer.heartbeat = Some(heartbeat);
        peer.heard = peer.heard.max(Some(at));
        if peer.reachable {
            return false;
        }
        peer.reachable = true;
        fx.push(Effect::Note(TimelineEvent::Peer {
            peer: id.into(),
            reachable: true,
        }));
        true
    }

    /// A peer sent a heartbeat of its own accord.
    pub fn asked(&mut self, id: &str) {
        if let Some(peer) = self.by_id.get_mut(id) {
            peer.knows_us = true;
        }
    }

    /// A peer's entry.
    #[must_use]
    pub fn get(&self, id: &str) -> Option<&Peer> {
        self.by_id.get(id)
    }

    /// All peers in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = (&DaemonId, &Peer)> {
        self.by_id.iter()
    }

    /// Names of all peers.
    #[must_use]
    pub fn ids(&self) -> Vec<DaemonId> {
        self.by_id.keys().cloned().collect()
    }

    /// The reachable placer of a zone, with its last heartbeat.
    #[must_use]
    pub fn placer_of(&self, zone: &str) -> Option<(&DaemonId, &Heartbeat)> {
        self.by_id
            .iter()
            .filter(|(_, peer)| peer.reachable)
            .filter_map(|(id, peer)| peer.heartbeat.as_ref().map(|beat| (id, beat)))
            .find(|(_, beat)| beat.placer.as_deref() == Some(zone))
    }

    /// Sends a message to one peer, if it is known.
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
