//! Learned ratios of actual to declared run times, by queue.
//!
//! Submitters declare how long a task runs. Declared times are often wrong by the same factor for a
//! whole queue, so the ratio is learned from the runs that complete.

use std::collections::BTreeMap;
use std::time::Duration;

use rustc_hash::FxHashMap;

use crate::core::workload::catalog::QueueId;

/// Buckets per doubling of the ratio.
const BUCKETS_PER_OCTAVE: f64 = 4.0;

/// Binary logarithm of the lowest ratio that has a bucket of its own.
const MIN_LOG2: f64 = -4.0;

/// Number of buckets; the last one starts at a ratio of about 54.
pub const BUCKETS: usize = 40;

/// Number of runs at which all counts are halved, so that older runs count less.
const WINDOW_RUNS: u32 = 512;

/// Least number of runs for an expected run time. With fewer runs, a long run may be usual.
const MIN_RUNS: u32 = 10;

/// Quantile of the ratio that the expected run time includes.
const EXPECTED_QUANTILE: f64 = 0.9;

/// Longest declared run time that is taken into account.
const MAX_DECLARED: Duration = Duration::from_secs(30 * 24 * 3_600);

/// Counts of the buckets of each queue, as stored in the table.
pub type BucketCounts = BTreeMap<QueueId, Vec<u32>>;

/// Reason why stored counts are invalid.
pub type Error = Box<str>;

/// Result of restoring stored counts.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Ratios of actual to declared run times, as a decaying histogram of their logarithms.
#[derive(Clone, Debug, PartialEq)]
pub struct RunTimeRatios {
    counts: [u32; BUCKETS],
    runs: u32,
    /// [`EXPECTED_QUANTILE`] of the ratios, which is read for each run; `None` after too few runs.
    expected: Option<f64>,
}

/// Ratios of actual to declared run times of each queue.
#[derive(Clone, Debug, Default)]
pub struct RunTimeEstimates {
    queues: FxHashMap<QueueId, RunTimeRatios>,
}

impl Default for RunTimeRatios {
    fn default() -> Self {
        Self {
            counts: [0; BUCKETS],
            runs: 0,
            expected: None,
        }
    }
}

impl RunTimeRatios {
    /// Restores ratios from the counts of their buckets.
    fn from_counts(counts: &[u32]) -> Option<Self> {
        let counts: [u32; BUCKETS] = counts.try_into().ok()?;
        let mut runs: u32 = 0;
        for count in counts {
            runs = runs.checked_add(count)?;
        }
        if runs > WINDOW_RUNS {
            return None;
        }
        let mut ratios = Self {
            counts,
            runs,
            expected: None,
        };
        ratios.update_expected();
        Some(ratios)
    }

    /// Adds a completed run.
    pub fn record(&mut self, ratio: f64) {
        if self.runs >= WINDOW_RUNS {
            for count in &mut self.counts {
                *count /= 2;
            }
            self.runs = self.counts.iter().sum();
        }
        self.counts[bucket(ratio)] += 1;
        self.runs += 1;
        self.update_expected();
    }

    fn update_expected(&mut self) {
        let is_known = self.runs >= MIN_RUNS;
        // The last bucket has no upper bound.
        let is_bounded = |ratio: &f64| *ratio < max_ratio();
        let quantile = self.quantile(EXPECTED_QUANTILE);
        self.expected = quantile.filter(|ratio| is_known && is_bounded(ratio));
    }

    /// Returns the number of runs, of which older ones count less.
    #[must_use]
    pub fn count(&self) -> u32 {
        self.runs
    }

    /// Returns the upper bound of the ratio of this part of the runs; `None` without runs.
    #[must_use]
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_precision_loss,
        clippy::cast_sign_loss
    )]
    pub fn quantile(&self, quantile: f64) -> Option<f64> {
        let rank = (f64::from(self.runs) * quantile).ceil().max(1.0) as u32;
        let mut seen = 0;
        let ix = self.counts.iter().position(|&count| {
            seen += count;
            seen >= rank
        });
        let end = ix? as f64 + 1.0;
        Some((end / BUCKETS_PER_OCTAVE + MIN_LOG2).exp2())
    }

    /// Returns the median ratio, in the middle of its bucket; `None` without runs.
    #[must_use]
    pub fn median(&self) -> Option<f64> {
        let bound = self.quantile(0.5)?;
        Some(bound / (0.5 / BUCKETS_PER_OCTAVE).exp2())
    }
}

impl RunTimeEstimates {
    /// Restores the ratios from stored counts. Returns an error if those of a queue are invalid.
    pub fn from_counts(stored: &BucketCounts) -> Result<Self> {
        let mut queues = FxHashMap::default();
        for (queue, counts) in stored {
            let ratios = RunTimeRatios::from_counts(counts)
                .ok_or_else(|| format!("invalid counts of queue {queue}"))?;
            queues.insert(queue.clone(), ratios);
        }
        Ok(Self { queues })
    }

    /// Returns the counts to store.
    #[must_use]
    pub fn counts(&self) -> BucketCounts {
        let queues = self.queues.iter();
        queues
            .map(|(queue, ratios)| (queue.clone(), ratios.counts.to_vec()))
            .collect()
    }

    /// Drops the queues that do not match.
    pub fn retain(&mut self, is_kept: impl Fn(&str) -> bool) {
        self.queues.retain(|queue, _| is_kept(queue));
    }

    /// Adds a run of a queue that took `took`. A run without a declared time is ignored.
    pub fn record(&mut self, queue: &QueueId, declared: Duration, took: Duration) {
        if declared.is_zero() {
            return;
        }
        let ratio = took.as_secs_f64() / declared.as_secs_f64();
        let ratios = self.queues.entry(queue.clone()).or_default();
        ratios.record(ratio);
    }

    /// Returns the ratios of a queue; `None` before its first completed run.
    #[must_use]
    pub fn ratios(&self, queue: &str) -> Option<&RunTimeRatios> {
        self.queues.get(queue)
    }

    /// Returns the run time that nine in ten runs of a queue with this declared time do not exceed;
    /// `None` if no time is declared or too few runs have completed.
    #[must_use]
    pub fn expected(&self, queue: &str, declared: Duration) -> Option<Duration> {
        let ratio = self.queues.get(queue)?.expected?;
        let declared = declared.min(MAX_DECLARED);
        (!declared.is_zero()).then(|| declared.mul_f64(ratio))
    }
}

/// Returns the bucket of a ratio; the first and the last one hold all ratios beyond.
#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss
)]
fn bucket(ratio: f64) -> usize {
    let position = (ratio.log2() - MIN_LOG2) * BUCKETS_PER_OCTAVE;
    position.clamp(0.0, BUCKETS as f64 - 1.0) as usize
}

/// Returns the end of the last bucket.
#[allow(clippy::cast_precision_loss)]
fn max_ratio() -> f64 {
    (BUCKETS as f64 / BUCKETS_PER_OCTAVE + MIN_LOG2).exp2()
}
