//! The placer's heartbeat and the daemons' addresses, as every daemon follows them.

use rustc_hash::FxHashMap;

use super::cx::Cx;
use super::cx::millis;
use super::decision::Decision;
use super::event::FeedRow;
use super::event::ProbeResult;
use super::feeds::Update;
use super::probe::HolderProbe;
use super::rows::AddressRow;
use super::rows::DAEMONS_PART;
use super::rows::HEARTBEAT_KEY;
use super::rows::HeartbeatRow;
use super::rows::decode;
use super::table::TableRow;
use crate::core::model::DaemonId;
use crate::core::model::Now;
use crate::core::model::Rev;

/// What this daemon knows of the placer and of the other daemons.
#[derive(Debug, Default)]
pub(super) struct HeartbeatMonitor {
    beat: Option<Heartbeat>,
    reach: HolderProbe,
    /// Addresses of the other daemons.
    pub daemons: FxHashMap<DaemonId, Box<str>>,
}

/// The last heartbeat seen.
#[derive(Debug)]
pub(super) struct Heartbeat {
    /// Version of the row.
    pub version: Rev,
    /// When it was seen.
    pub received_at: Now,
    /// What it says.
    pub row: HeartbeatRow,
}

impl HeartbeatMonitor {
    /// The last heartbeat seen.
    pub fn heartbeat(&self) -> Option<&Heartbeat> {
        self.beat.as_ref()
    }

    /// Asks for the holder if its heartbeat is late.
    pub fn poll(&mut self, cx: &mut Cx) {
        if let Some(beat) = &self.beat {
            self.reach.poll(cx, beat, &self.daemons);
        }
    }

    /// When it next needs the time.
    pub fn wake_at(&self, cx: &Cx) -> Option<Now> {
        self.reach.wake_at(cx, self.beat.as_ref()?)
    }

    /// Takes the answer to whether the holder's process is there.
    pub fn reached(&mut self, cx: &mut Cx, version: Rev, reached: &ProbeResult) {
        let ended = self.reach.answered(version, reached);
        if ended && let Some(beat) = self.beat.as_ref().filter(|beat| beat.version == version) {
            cx.log(Decision::HolderEnded {
                daemon: beat.row.owner.daemon.clone(),
                epoch: beat.row.owner.epoch,
                beat_age_ms: millis(cx.now.saturating_sub(beat.received_at)),
            });
        }
    }

    /// Whether the process that sent the last heartbeat has ended.
    pub fn holder_has_ended(&self) -> bool {
        let beat = self.beat.as_ref();
        beat.is_some_and(|beat| self.reach.has_ended(beat))
    }

    /// Applies rows of the followed table.
    pub fn apply(&mut self, cx: &mut Cx, update: Update) {
        for row in update.rows {
            if let FeedRow::Internal(row) = row
                && let Err(reason) = self.apply_row(cx, &row)
            {
                let key = row.key;
                cx.log(Decision::RowUnreadable { key, reason });
            }
        }
    }

    fn apply_row(&mut self, cx: &Cx, row: &TableRow) -> super::rows::Result<()> {
        if &*row.part == DAEMONS_PART {
            match &row.value {
                Some(value) => {
                    let address: AddressRow = decode(value)?;
                    self.daemons.insert(row.key.clone(), address.peer);
                }
                None => {
                    self.daemons.remove(&row.key);
                }
            }
        } else if row.part == cx.options.part && &*row.key == HEARTBEAT_KEY {
            self.beat = match &row.value {
                Some(value)
                    if self
                        .beat
                        .as_ref()
                        .is_none_or(|beat| beat.version < row.version) =>
                {
                    Some(Heartbeat {
                        version: row.version,
                        received_at: cx.now,
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
