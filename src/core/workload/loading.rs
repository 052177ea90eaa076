//! Load of the rows that a daemon needs before it can act as the placer: those of its own part, and
//! as many parts of the jobs table as can be read. The placer reads the others later.

use std::time::Duration;

use super::cx::Cx;
use super::cx::millis;
use super::decision::Decision;
use super::event::CommitPurpose;
use super::event::LoadSource;
use super::event::PlacerWrite;
use super::heartbeat::HeartbeatMonitor;
use super::placer::LoadedRows;
use super::placer::Placer;
use super::placer::RoleGrant;
use super::placer::RoleLoss;
use super::ranges::RangePage;
use super::ranges::RangeReader;
use super::rows::HEARTBEAT_KEY;
use super::rows::HeartbeatRow;
use super::rows::SEQUENCE_KEY;
use super::rows::encode;
use super::table::CommitOutcome;
use super::table::HEARTBEATS;
use super::table::PROGRESS;
use super::table::Page;
use super::table::RowId;
use super::table::Transaction;
use crate::core::model::Epoch;
use crate::core::model::Now;
use crate::core::model::Rev;

/// Interval of the log lines about a load.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Time after the last page for which reads that fail are repeated before the placer does without
/// their parts, so that a table that fails for a moment is loaded as a whole.
const PARTIAL_LOAD_DELAY: Duration = Duration::from_millis(500);

/// Granted role whose rows are not all read yet.
#[derive(Debug)]
pub(super) struct Loading {
    grant: RoleGrant,
    started_at: Now,
    reader: RangeReader,
    loaded: LoadedRows,
    next_report_at: Now,
    next_heartbeat_at: Now,
}

impl Loading {
    /// Starts the reads of a daemon that was granted the role. The grant's transaction has written
    /// the first heartbeat.
    pub fn start(cx: &mut Cx, grant: RoleGrant) -> Self {
        let mut loading = Self {
            grant,
            started_at: cx.now,
            reader: RangeReader::new(cx),
            loaded: LoadedRows {
                read_since: cx.now,
                ..LoadedRows::default()
            },
            next_report_at: cx.now + REPORT_INTERVAL,
            next_heartbeat_at: cx.now + cx.options.placer.heartbeat_interval,
        };
        loading.reader.send_reads(cx, loading.epoch());
        loading
    }

    /// Returns the epoch of the role.
    pub fn epoch(&self) -> Epoch {
        self.grant.owner.epoch
    }

    /// Sends the reads and the heartbeat that are due. Returns a reason if another daemon has
    /// claimed the role, or if no page has arrived for the load timeout and the
    /// placer cannot do without the ranges that are left.
    pub fn poll(&mut self, cx: &mut Cx, heartbeats: &HeartbeatMonitor) -> RoleLoss {
        if let Some(holder) = heartbeats.holder_after(self.epoch()) {
            return Some(format!("{} has epoch {}", holder.daemon, holder.epoch).into());
        }
        if self.partial_at(cx).is_none() && cx.now >= self.stalled_at(cx) {
            return Some("the load makes no progress".into());
        }
        self.reader.send_reads(cx, self.epoch());
        if cx.now >= self.next_heartbeat_at {
            self.next_heartbeat_at = cx.now + cx.options.placer.heartbeat_interval;
            self.write_heartbeat(cx, false);
        }
        self.report(cx);
        None
    }

    /// Returns the time at which [`Loading::poll`] is next due.
    pub fn wake_at(&self, cx: &Cx) -> Now {
        let mut at = self.next_report_at.min(self.next_heartbeat_at);
        at = at.min(self.partial_at(cx).unwrap_or_else(|| self.stalled_at(cx)));
        self.reader.wake_at().map_or(at, |read_at| at.min(read_at))
    }

    /// Handles the outcome of a heartbeat. Returns a reason if another daemon has claimed the role.
    pub fn handle_heartbeat_outcome(outcome: &CommitOutcome) -> RoleLoss {
        match outcome {
            CommitOutcome::Conflict(_) => Some("another daemon has claimed the role".into()),
            // Failures are logged with their purpose; the next heartbeat follows.
            CommitOutcome::Done(_)
            | CommitOutcome::Refused(_)
            | CommitOutcome::Rejected(_)
            | CommitOutcome::Unknown(_) => None,
        }
    }

    /// Adds a page; the next one of its range is read in its turn.
    pub fn add_page(&mut self, cx: &mut Cx, source: LoadSource, page: Result<Page, Box<str>>) {
        if let Some(RangePage { page, .. }) = self.reader.take_page(cx, source, page) {
            match source {
                LoadSource::Jobs(part) => self.loaded.add_jobs(part, page),
                LoadSource::Progress => self.loaded.progress.extend(page.rows),
                LoadSource::Roster => self.loaded.roster.extend(page.rows),
            }
        }
        self.reader.send_reads(cx, self.epoch());
    }

    /// Returns whether the placer can start: all rows are read, or those of the own part and the
    /// job parts that can be read.
    pub fn is_complete(&self, cx: &Cx) -> bool {
        self.reader.is_done() || self.partial_at(cx).is_some_and(|at| cx.now >= at)
    }

    /// Returns the version from which changes to the jobs table are followed: the lowest one that
    /// was read. Later changes to parts that are read later are received from there on.
    pub fn version(&self) -> Rev {
        self.loaded.version.unwrap_or(self.grant.version)
    }

    /// Creates the placer from the rows read.
    pub fn finish(self, cx: &mut Cx) -> Placer {
        let rows = self.loaded.row_count();
        let failed_reads = self.reader.failed_reads();
        let placer = Placer::new(cx, self.grant, self.loaded, self.reader);
        cx.log(Decision::RoleReady {
            epoch: placer.epoch(),
            jobs: placer.job_count(),
            vms: placer.vm_count(),
            rows,
            failed_reads,
            missing_parts: placer.missing_part_count(),
            took_ms: millis(cx.now.saturating_sub(self.started_at)),
        });
        placer
    }

    /// Releases the role, so that another daemon can claim it at once. The outcome is not awaited:
    /// without the write, the others claim the role once the heartbeat is overdue.
    pub fn release(&self, cx: &mut Cx) {
        self.write_heartbeat(cx, true);
    }

    /// Writes the heartbeat, whether or not earlier ones are answered. The transaction expects the sequence row as the grant wrote it, so that
    /// it fails once another daemon has claimed the role or this one has written progress.
    fn write_heartbeat(&self, cx: &mut Cx, released: bool) {
        let part = &cx.options.part;
        let heartbeat = HeartbeatRow {
            released,
            ..HeartbeatRow::loading(
                self.grant.owner.clone(),
                cx.options.max_renewal_grace(),
                self.grant.former.renews_for(cx.now),
            )
        };
        let txn = Transaction {
            expect: vec![(RowId::new(PROGRESS, part, SEQUENCE_KEY), self.grant.version)],
            put: vec![(
                RowId::new(HEARTBEATS, part, HEARTBEAT_KEY),
                encode(&heartbeat),
            )],
            remove: Vec::new(),
        };
        let purpose = CommitPurpose::Placer(self.epoch(), PlacerWrite::LoadingHeartbeat);
        cx.commit(purpose, txn);
    }

    fn report(&mut self, cx: &mut Cx) {
        if cx.now < self.next_report_at {
            return;
        }
        self.next_report_at = cx.now + REPORT_INTERVAL;
        cx.log(Decision::RoleLoading {
            epoch: self.epoch(),
            ranges_left: self.reader.ranges_left(),
            rows: self.loaded.row_count(),
            failed_reads: self.reader.failed_reads(),
            took_ms: millis(cx.now.saturating_sub(self.started_at)),
        });
    }

    fn stalled_at(&self, cx: &Cx) -> Now {
        self.reader.last_page_at() + cx.options.placer.load_timeout
    }

    /// Returns the time from which on the placer does without the job parts that are left, unless a
    /// page arrives before; `None` while the own part is not read, or no read has failed since the
    /// last page.
    fn partial_at(&self, cx: &Cx) -> Option<Now> {
        if !self.reader.has_own_part() {
            return None;
        }
        if self.reader.all_failed() {
            return Some(self.reader.last_page_at() + PARTIAL_LOAD_DELAY);
        }
        self.reader.last_read_failed().then(|| self.stalled_at(cx))
    }
}
