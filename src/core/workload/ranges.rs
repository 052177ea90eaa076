//! Paged reads of the ranges that a placer needs.
//!
//! The size and the number of the pages in flight are limited, so that the reads take their time on
//! a slow link, but neither fail there nor delay the heartbeats that are sent meanwhile.

use std::collections::VecDeque;
use std::time::Duration;

use super::cx::Cx;
use super::event::LoadSource;
use super::event::ReadPurpose;
use super::rows::JOB_PARTS;
use super::rows::job_part_name;
use super::table::JOBS;
use super::table::PROGRESS;
use super::table::Page;
use super::table::ROSTER;
use super::table::Range;
use crate::core::model::Epoch;
use crate::core::model::Now;

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

/// Reads of all ranges that are not read to their end.
#[derive(Debug)]
pub(super) struct RangeReader {
    /// Ranges of which no page is in flight.
    queued: VecDeque<RangeRead>,
    /// Ranges of which a page is in flight.
    in_flight: Vec<RangeRead>,
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
}

/// Paged read of a range.
#[derive(Debug)]
struct RangeRead {
    source: LoadSource,
    /// First key of the next page.
    from: Box<str>,
    /// Whether a read has failed since the last page.
    has_failed: bool,
    /// Whether the page in flight is to be dropped, as the range is read again from its start.
    is_restarted: bool,
}

/// Page of a range.
#[derive(Debug)]
pub(super) struct RangePage {
    /// Rows and version.
    pub page: Page,
    /// Whether it ends the range.
    pub is_last: bool,
}

impl RangeReader {
    /// Returns reads of all ranges that a new placer needs. Those of its own part come first, as it
    /// cannot do without them.
    pub fn new(cx: &Cx) -> Self {
        let own = [LoadSource::Progress, LoadSource::Roster].into_iter();
        let sources = own.chain((0..JOB_PARTS).map(LoadSource::Jobs));
        let read = |source| RangeRead {
            source,
            from: "".into(),
            has_failed: false,
            is_restarted: false,
        };
        Self {
            queued: sources.map(read).collect(),
            in_flight: Vec::new(),
            last_page_at: cx.now,
            next_read_at: cx.now,
            retry_delay: cx.options.table.retry_delay,
            mean_page_bytes: FIRST_PAGE_BYTES,
            row_bytes: None,
            last_read_failed: false,
            failed_reads: 0,
        }
    }

    /// Sends the reads that are due.
    pub fn send_reads(&mut self, cx: &mut Cx, epoch: Epoch) {
        while cx.now >= self.next_read_at && self.can_read() {
            let Some(read) = self.queued.pop_front() else {
                return;
            };
            read.send(cx, epoch, self.page_rows());
            self.in_flight.push(read);
        }
    }

    /// Handles the answer to a read; returns the page, if there is one. The next page of the range
    /// is read in its turn.
    pub fn take_page(
        &mut self,
        cx: &Cx,
        source: LoadSource,
        page: Result<Page, Box<str>>,
    ) -> Option<RangePage> {
        let mut in_flight = self.in_flight.iter();
        let ix = in_flight.position(|read| read.source == source)?;
        let mut read = self.in_flight.swap_remove(ix);
        let Ok(page) = page else {
            self.retry(cx, read);
            return None;
        };
        self.record_page(cx, &page);
        if read.is_restarted {
            read.restart();
            self.queued.push_front(read);
            return None;
        }
        let last = page.rows.last().map(|row| format!("{}\0", row.key));
        let next = last.filter(|_| page.more);
        let is_last = next.is_none();
        if let Some(next) = next {
            read.from = next.into();
            read.has_failed = false;
            self.queued.push_front(read);
        }
        Some(RangePage { page, is_last })
    }

    /// Reads all ranges again from their starts that are not read to their end.
    pub fn restart(&mut self) {
        for read in &mut self.queued {
            read.restart();
        }
        for read in &mut self.in_flight {
            read.is_restarted = true;
        }
    }

    /// Returns whether all ranges are read.
    pub fn is_done(&self) -> bool {
        self.ranges_left() == 0
    }

    /// Returns the number of ranges that are not read to their end.
    pub fn ranges_left(&self) -> usize {
        self.left().count()
    }

    /// Returns the numbers of the job parts that are not read to their end.
    pub fn missing_parts(&self) -> impl Iterator<Item = u8> {
        self.left().filter_map(|read| match read.source {
            LoadSource::Jobs(part) => Some(part),
            LoadSource::Progress | LoadSource::Roster => None,
        })
    }

    /// Returns whether the ranges of the placer's own part are read.
    pub fn has_own_part(&self) -> bool {
        self.left()
            .all(|read| matches!(read.source, LoadSource::Jobs(_)))
    }

    /// Returns whether the last read of each range that is left has failed.
    pub fn all_failed(&self) -> bool {
        self.left().all(|read| read.has_failed)
    }

    /// Returns whether the last answer to a read was a failure.
    pub fn last_read_failed(&self) -> bool {
        self.last_read_failed
    }

    /// Returns the time of the last page, or of the start.
    pub fn last_page_at(&self) -> Now {
        self.last_page_at
    }

    /// Returns the number of reads that have failed.
    pub fn failed_reads(&self) -> u32 {
        self.failed_reads
    }

    /// Returns the time at which the next read is due, if one can be sent.
    pub fn wake_at(&self) -> Option<Now> {
        self.can_read().then_some(self.next_read_at)
    }

    fn left(&self) -> impl Iterator<Item = &RangeRead> {
        self.queued.iter().chain(&self.in_flight)
    }

    fn record_page(&mut self, cx: &Cx, page: &Page) {
        self.last_page_at = cx.now;
        self.last_read_failed = false;
        self.retry_delay = cx.options.table.retry_delay;
        self.mean_page_bytes =
            (self.mean_page_bytes * MEAN_WEIGHT + page.value_bytes()) / (MEAN_WEIGHT + 1);
        if !page.rows.is_empty() {
            let row_bytes = page.value_bytes() / page.rows.len();
            self.row_bytes = self.row_bytes.max(Some(row_bytes));
        }
    }

    fn retry(&mut self, cx: &Cx, mut read: RangeRead) {
        self.failed_reads += 1;
        self.last_read_failed = true;
        self.next_read_at = cx.now + self.retry_delay;
        self.retry_delay = (self.retry_delay * 2).min(MAX_RETRY_DELAY);
        read.has_failed = true;
        if read.is_restarted {
            read.restart();
        }
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
}

impl RangeRead {
    fn restart(&mut self) {
        self.from = "".into();
        self.is_restarted = false;
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
