//! Answers to the reads of single parts of the jobs table that come late or not at all.

use std::time::Duration;

use ragwortstall::core::workload::Event;
use ragwortstall::core::workload::decision::Decision;
use ragwortstall::core::workload::effect::Request;
use ragwortstall::core::workload::event::Answer;
use ragwortstall::core::workload::event::Feed;
use ragwortstall::core::workload::event::FeedAnswer;
use ragwortstall::core::workload::table::JOBS;
use ragwortstall::core::workload::table::Page;
use ragwortstall::core::workload::table::TableRow;

use crate::terms::Daemon;
use crate::terms::is_read_of;

/// Part whose reads are not answered with the others.
const LATE_PART: &str = "jobs-3";

/// Time for which a load repeats the reads that have failed.
const PARTIAL_LOAD: Duration = Duration::from_millis(500);

/// Time without an answer after which a read fails.
const READ_TIMEOUT: Duration = Duration::from_millis(1_600);

/// Answers a read with rows, or with a failure.
fn answer_read(daemon: &mut Daemon, req: Request, rows: Option<Vec<TableRow>>, more: bool) {
    let Request::Read { purpose, .. } = req else {
        panic!("unexpected request {req:?}");
    };
    let page = rows.map(|rows| Page {
        rows,
        more,
        version: 9,
    });
    let page = page.ok_or_else(|| "no answer".into());
    daemon.apply(Event::Answer(Answer::Read(purpose, page)));
}

/// Returns a placer that has not read the late part, and the read of the part that it has sent.
fn placer_without_a_part() -> (Daemon, Request) {
    let mut daemon = Daemon::new();
    daemon.claim(None);
    let late = daemon.take(is_read_of(JOBS, LATE_PART));
    daemon.load(&[]);
    daemon.tick(READ_TIMEOUT);
    answer_read(&mut daemon, late, None, false);
    daemon.tick(PARTIAL_LOAD);
    assert_eq!(daemon.epoch(), Some(1));
    let late = daemon.take(is_read_of(JOBS, LATE_PART));
    (daemon, late)
}

/// Guards against a load that leaves out a part whose read may still be answered.
#[test]
fn a_load_waits_for_each_part_until_its_read_has_failed() {
    let mut daemon = Daemon::new();
    daemon.claim(None);
    let late = daemon.take(is_read_of(JOBS, LATE_PART));
    daemon.load(&[]);
    daemon.tick(READ_TIMEOUT);
    assert_eq!(daemon.epoch(), None);
    answer_read(&mut daemon, late, None, false);
    assert_eq!(daemon.epoch(), Some(1));
}

/// Guards against rows of a page that are registered although they may have been removed in a gap
/// of the changes received, and against a page in flight that is taken for the first one.
#[test]
fn a_missing_part_is_read_from_its_start_after_a_gap_in_the_changes() {
    let (mut daemon, late) = placer_without_a_part();
    let row = daemon.row("removed", "{}");
    answer_read(&mut daemon, late, Some(vec![row]), true);
    let next = daemon.take(is_read_of(JOBS, LATE_PART));
    let is_watch =
        |req: &Request| matches!(req, Request::Watch { call, .. } if call.feed == Feed::Jobs);
    let Request::Watch { call, .. } = daemon.take(is_watch) else {
        panic!("no watch");
    };
    let gone = Answer::Feed(call, FeedAnswer::HistoryGone);
    daemon.apply(Event::Answer(gone));
    daemon.answer_feed(Feed::Jobs, Vec::new());
    answer_read(&mut daemon, next, Some(Vec::new()), false);
    let again = daemon.take(is_read_of(JOBS, LATE_PART));
    let is_first = matches!(&again, Request::Read { range, .. } if range.from.is_empty());
    assert!(is_first, "{again:?}");
    answer_read(&mut daemon, again, Some(Vec::new()), false);
    let mut lines = daemon.decisions.iter();
    let rows = lines.find_map(|line| match line {
        Decision::PartLoaded { rows, .. } => Some(*rows),
        _ => None,
    });
    assert_eq!(rows, Some(0));
}
