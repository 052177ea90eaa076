//! Load of the rows that a daemon needs before it can act as the placer.
//!
//! The rows are read in pages, whose size and number in flight are limited, so that a load takes its
//! time on a slow link, but neither fails there nor delays the heartbeats that it sends meanwhile.

use std::collections::VecDeque;
use std::time::Duration;

use super::cx::Cx;
use super::cx::millis;
use super::decision::Decision;
use super::event::CommitPurpose;
use super::event::LoadSource;
use super::event::PlacerWrite;
use super::event::ReadPurpose;
use super::heartbeat::HeartbeatMonitor;
use super::placer::LoadedRows;
use super::placer::Placer;
use super::placer::RoleGrant;
use super::placer::RoleLoss;
use super::rows::HEARTBEAT_KEY;
use super::rows::HeartbeatRow;
use super::rows::JOB_PARTS;
use super::rows::SEQUENCE_KEY;
use super::rows::encode;
use super::rows::job_part_name;
use super::table::CommitOutcome;
use super::table::HEARTBEATS;
use super::table::JOBS;
use super::table::PROGRESS;
use super::table::Page;
use super::table::ROSTER;
use super::table::Range;
use super::table::RowId;
use super::table::Transaction;
use crate::core::model::Epoch;
use crate::core::model::Now;
use crate::core::model::Rev;

/// Interval of the log lines about a load.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Size of the pages in flight, in bytes, as expected from the pages read before. A link of
/// 10 Mbit/s transfers it in half a second.
const BYTES_IN_FLIGHT: usize = 512 << 10;

/// Size that a page with many rows should have, in bytes.
const PAGE_BYTES: usize = 64 << 10;

/// Size that is expected of a page before the first one is read, in bytes.
const FIRST_PAGE_BYTES: usize = 32 << 10;

/// Weight of the pages before the last one in the mean size of a page, relative to the last one.
const MEAN_WEIGHT: usize = 3;

/// Maximum number of rows in a page while the size of the rows is not known.
const FIRST_PAGE_ROWS: usize = 4;

/// Maximum number of rows in a page.
const MAX_PAGE_ROWS: usize = 500;

/// Longest delay after a failed read. The delay starts at the retry delay of the table and doubles
/// with each failure in a row.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(1_200);

/// Granted role whose rows are not all read yet.
#[derive(Debug)]
pub(super) struct Loading {
    grant: RoleGrant,
    started_at: Now,
    /// Ranges of which no page is in flight.
    queued: VecDeque<RangeRead>,
    /// Ranges of which a page is in flight.
    in_flight: Vec<RangeRead>,
    loaded: LoadedRows,
    /// Time of the last page, or of the start.
    last_page_at: Now,
    /// Earliest time of the next read.
    next_read_at: Now,
    /// Delay after the next failed read.
    retry_delay: Duration,
    /// Mean size of a page, in bytes.
    mean_page_bytes: usize,
    /// Size of a row, in bytes, as in the largest rows read so far; `None` before the first.
    row_bytes: Option<usize>,
    /// Whether the last answer to a read was a failure; reads are sent one at a time then.
    last_read_failed: bool,
    failed_reads: u32,
    next_report_at: Now,
    next_heartbeat_at: Now,
}

/// Paged read of a range.
#[derive(Debug)]
struct RangeRead {
    source: LoadSource,
    /// First key of the next page.
    from: Box<str>,
}

impl Loading {
    /// Starts the reads of a daemon that was granted the role. The grant's transaction has written
    /// the first heartbeat.
    pub fn start(cx: &mut Cx, grant: RoleGrant) -> Self {
        let mut loading = Self {
            grant,
            started_at: cx.now,
            queued: RangeRead::all(),
            in_flight: Vec::new(),
            loaded: LoadedRows {
                read_since: cx.now,
                ..LoadedRows::default()
            },
            last_page_at: cx.now,
            next_read_at: cx.now,
            retry_delay: cx.options.table.retry_delay,
            mean_page_bytes: FIRST_PAGE_BYTES,
            row_bytes: None,
            last_read_failed: false,
            failed_reads: 0,
            next_report_at: cx.now + REPORT_INTERVAL,
            next_heartbeat_at: cx.now + cx.options.placer.heartbeat_interval,
        };
        loading.send_reads(cx);
        loading
    }

    /// Returns the epoch of the role.
    pub fn epoch(&self) -> Epoch {
        self.grant.owner.epoch
    }

    /// Sends the reads and the heartbeat that are due. Returns a reason if another daemon has
    /// claimed the role, or if no page has arrived for the load timeout.
    pub fn poll(&mut self, cx: &mut Cx, heartbeats: &HeartbeatMonitor) -> RoleLoss {
        if let Some(holder) = heartbeats.holder_after(self.epoch()) {
            return Some(format!("{} has epoch {}", holder.daemon, holder.epoch).into());
        }
        if cx.now >= self.stalled_at(cx) {
            return Some("the load makes no progress".into());
        }
        self.send_reads(cx);
        if cx.now >= self.next_heartbeat_at {
            self.next_heartbeat_at = cx.now + cx.options.placer.heartbeat_interval;
            self.write_heartbeat(cx, false);
        }
        self.report(cx);
        None
    }

    /// Returns the time at which [`Loading::poll`] is next due.
    pub fn wake_at(&self, cx: &Cx) -> Now {
        let mut at = self.next_report_at.min(self.stalled_at(cx));
        at = at.min(self.next_heartbeat_at);
        if self.can_read() {
            at = at.min(self.next_read_at);
        }
        at
    }

    /// Handles the outcome of a heartbeat. Returns a reason if another daemon has claimed the role.
    pub fn handle_heartbeat_outcome(outcome: &CommitOutcome) -> RoleLoss {
        match outcome {
            CommitOutcome::Conflict(_) => Some("another daemon has claimed the role".into()),
            // Failures are logged with their purpose; the next heartbeat follows.
            CommitOutcome::Done(_) | CommitOutcome::Refused(_) | CommitOutcome::Unknown(_) => None,
        }
    }

    /// Adds a page; the next one of its range is read in its turn.
    pub fn add_page(&mut self, cx: &mut Cx, source: LoadSource, page: Result<Page, Box<str>>) {
        let mut in_flight = self.in_flight.iter();
        let Some(ix) = in_flight.position(|read| read.source == source) else {
            return;
        };
        let mut read = self.in_flight.swap_remove(ix);
        let Ok(page) = page else {
            return self.retry(cx, read);
        };
        self.last_page_at = cx.now;
        self.last_read_failed = false;
        self.retry_delay = cx.options.table.retry_delay;
        self.mean_page_bytes =
            (self.mean_page_bytes * MEAN_WEIGHT + page.value_bytes()) / (MEAN_WEIGHT + 1);
        if !page.rows.is_empty() {
            let row_bytes = page.value_bytes() / page.rows.len();
            self.row_bytes = self.row_bytes.max(Some(row_bytes));
        }
        let last = page.rows.last().map(|row| format!("{}\0", row.key));
        match source {
            LoadSource::Jobs(_) => {
                let version = self.loaded.version.get_or_insert(page.version);
                *version = page.version.min(*version);
                self.loaded.jobs.extend(page.rows);
            }
            LoadSource::Progress => self.loaded.progress.extend(page.rows),
            LoadSource::Roster => self.loaded.roster.extend(page.rows),
        }
        if let Some(last) = last
            && page.more
        {
            read.from = last.into();
            self.queued.push_front(read);
        }
        self.send_reads(cx);
    }

    /// Returns whether all rows are read.
    pub fn is_complete(&self) -> bool {
        self.queued.is_empty() && self.in_flight.is_empty()
    }

    /// Returns the version from which changes to the jobs table are followed.
    pub fn version(&self) -> Option<Rev> {
        self.loaded.version
    }

    /// Creates the placer from the rows read.
    pub fn finish(&mut self, cx: &mut Cx) -> Placer {
        let loaded = std::mem::take(&mut self.loaded);
        let rows = loaded.row_count();
        let placer = Placer::new(cx, self.grant.clone(), loaded);
        cx.log(Decision::RoleReady {
            epoch: placer.epoch(),
            jobs: placer.job_count(),
            vms: placer.vm_count(),
            rows,
            failed_reads: self.failed_reads,
            took_ms: millis(cx.now.saturating_sub(self.started_at)),
        });
        placer
    }

    /// Releases the role, so that another daemon can claim it at once. The outcome is not awaited:
    /// without the write, the others claim the role once the heartbeat is overdue.
    pub fn release(&self, cx: &mut Cx) {
        self.write_heartbeat(cx, true);
    }

    fn retry(&mut self, cx: &Cx, read: RangeRead) {
        self.failed_reads += 1;
        self.last_read_failed = true;
        self.next_read_at = cx.now + self.retry_delay;
        self.retry_delay = (self.retry_delay * 2).min(MAX_RETRY_DELAY);
        self.queued.push_back(read);
    }

    fn can_read(&self) -> bool {
        let max = if self.last_read_failed {
            1
        } else {
            BYTES_IN_FLIGHT / self.mean_page_bytes.max(1)
        };
        !self.queued.is_empty() && self.in_flight.len() < max.max(1)
    }

    /// Returns the maximum number of rows of the next page.
    fn page_rows(&self) -> usize {
        let rows = self.row_bytes.map(|bytes| PAGE_BYTES / bytes.max(1));
        rows.map_or(FIRST_PAGE_ROWS, |rows| rows.clamp(1, MAX_PAGE_ROWS))
    }

    fn send_reads(&mut self, cx: &mut Cx) {
        while cx.now >= self.next_read_at && self.can_read() {
            let Some(read) = self.queued.pop_front() else {
                return;
            };
            read.send(cx, self.epoch(), self.page_rows());
            self.in_flight.push(read);
        }
    }

    /// Writes the heartbeat, whether or not earlier ones are answered. The transaction expects the sequence row as the grant wrote it, so that
    /// it fails once another daemon has claimed the role or this one has written progress.
    fn write_heartbeat(&self, cx: &mut Cx, released: bool) {
        let part = &cx.options.part;
        let heartbeat = HeartbeatRow {
            owner: self.grant.owner.clone(),
            released,
            loading: true,
            waiting: None,
            waiting_age_ms: 0,
            waits: Vec::new(),
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
            ranges_left: self.queued.len() + self.in_flight.len(),
            rows: self.loaded.row_count(),
            failed_reads: self.failed_reads,
            took_ms: millis(cx.now.saturating_sub(self.started_at)),
        });
    }

    fn stalled_at(&self, cx: &Cx) -> Now {
        self.last_page_at + cx.options.placer.load_timeout
    }
}

impl RangeRead {
    /// Returns a read of each range that a new placer needs.
    fn all() -> VecDeque<Self> {
        let jobs = (0..JOB_PARTS).map(LoadSource::Jobs);
        let sources = jobs.chain([LoadSource::Progress, LoadSource::Roster]);
        let read = |source| Self {
            source,
            from: "".into(),
        };
        sources.map(read).collect()
    }

    fn send(&self, cx: &mut Cx, epoch: Epoch, rows: usize) {
        let timeout = cx.options.table.read_timeout * 2;
        let own = cx.options.part.clone();
        let mut range = match self.source {
            LoadSource::Jobs(part) => Range::part(JOBS, &job_part_name(part), timeout),
            LoadSource::Progress => Range::part(PROGRESS, &own, timeout),
            LoadSource::Roster => Range::part(ROSTER, &own, timeout),
        };
        range.from = self.from.clone();
        range.limit = Some(rows);
        cx.read(ReadPurpose::Load(epoch, self.source), range);
    }
}
