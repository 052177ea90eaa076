//! Load of the rows that a daemon needs before it can act as the placer.

use std::time::Duration;

use super::cx::Cx;
use super::cx::earliest;
use super::cx::millis;
use super::decision::Decision;
use super::event::LoadSource;
use super::event::ReadPurpose;
use super::placer::LoadedRows;
use super::placer::Placer;
use super::placer::RoleGrant;
use super::rows::JOB_PARTS;
use super::rows::job_part_name;
use super::table::JOBS;
use super::table::PROGRESS;
use super::table::Page;
use super::table::ROSTER;
use super::table::Range;
use crate::core::model::Now;
use crate::core::model::Rev;

/// Interval of the log lines about a load.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Granted role whose rows are not all read yet.
#[derive(Debug)]
pub(super) struct Loading {
    grant: RoleGrant,
    started_at: Now,
    reads: Vec<RangeRead>,
    loaded: LoadedRows,
    failed_reads: u32,
    next_report_at: Now,
}

/// Paged read of a range.
#[derive(Debug)]
struct RangeRead {
    source: LoadSource,
    /// First key of the next page.
    from: Box<str>,
    /// Time at which a failed read is repeated.
    retry_at: Option<Now>,
}

impl Loading {
    /// Starts the reads of a daemon that was granted the role.
    pub fn start(cx: &mut Cx, grant: RoleGrant) -> Self {
        let loading = Self {
            grant,
            started_at: cx.now,
            reads: RangeRead::all(),
            loaded: LoadedRows {
                read_since: cx.now,
                ..LoadedRows::default()
            },
            failed_reads: 0,
            next_report_at: cx.now + REPORT_INTERVAL,
        };
        for read in &loading.reads {
            read.send(cx);
        }
        loading
    }

    /// Repeats failed reads and logs how far the load is.
    pub fn poll(&mut self, cx: &mut Cx) {
        for read in &mut self.reads {
            if read.retry_at.is_some_and(|at| cx.now >= at) {
                read.retry_at = None;
                read.send(cx);
            }
        }
        if cx.now >= self.next_report_at {
            self.next_report_at = cx.now + REPORT_INTERVAL;
            cx.log(Decision::RoleLoading {
                epoch: self.grant.owner.epoch,
                ranges_left: self.reads.len(),
                rows: self.loaded.row_count(),
                failed_reads: self.failed_reads,
                took_ms: millis(cx.now.saturating_sub(self.started_at)),
            });
        }
    }

    /// Returns the time at which [`Loading::poll`] is next due.
    pub fn wake_at(&self) -> Option<Now> {
        let retry_at = self.reads.iter().filter_map(|read| read.retry_at).min();
        earliest(retry_at, Some(self.next_report_at))
    }

    /// Adds a page, then requests the next one, or removes the read from the list after the last.
    pub fn add_page(&mut self, cx: &mut Cx, source: LoadSource, page: Result<Page, Box<str>>) {
        let Some(ix) = self.reads.iter().position(|read| read.source == source) else {
            return;
        };
        let read = &mut self.reads[ix];
        let Ok(page) = page else {
            self.failed_reads += 1;
            read.retry_at = Some(cx.now + cx.options.table.retry_delay);
            return;
        };
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
        match last {
            Some(last) if page.more => {
                read.from = last.into();
                read.send(cx);
            }
            _ => {
                self.reads.swap_remove(ix);
            }
        }
    }

    /// Returns whether all rows are read.
    pub fn is_complete(&self) -> bool {
        self.reads.is_empty()
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
}

impl RangeRead {
    /// Returns a read of each range that a new placer needs.
    fn all() -> Vec<Self> {
        let jobs = (0..JOB_PARTS).map(LoadSource::Jobs);
        let sources = jobs.chain([LoadSource::Progress, LoadSource::Roster]);
        let read = |source| Self {
            source,
            from: "".into(),
            retry_at: None,
        };
        sources.map(read).collect()
    }

    fn send(&self, cx: &mut Cx) {
        let timeout = cx.options.table.read_timeout * 2;
        let own = cx.options.part.clone();
        let mut range = match self.source {
            LoadSource::Jobs(part) => Range::part(JOBS, &job_part_name(part), timeout),
            LoadSource::Progress => Range::part(PROGRESS, &own, timeout),
            LoadSource::Roster => Range::part(ROSTER, &own, timeout),
        };
        range.from = self.from.clone();
        cx.read(ReadPurpose::Load(self.source), range);
    }
}
