//! A daemon whose table does not answer: cut off with its zone, or not.

use std::time::Duration;

use ragwortstall::core::workload::effect::Reply;
use ragwortstall::core::workload::effect::Request;
use ragwortstall::core::workload::event::Action;
use ragwortstall::core::workload::event::Answer;
use ragwortstall::core::workload::event::Call;
use ragwortstall::core::workload::event::Feed;
use ragwortstall::core::workload::event::FeedRow;
use ragwortstall::core::workload::event::ProbePurpose;
use ragwortstall::core::workload::event::ProbeResult;
use ragwortstall::core::workload::table::TableRow;

use crate::catalog::KEY;
use crate::jobs::ID;
use crate::jobs::job;
use crate::jobs::step;
use crate::support::cases;
use crate::terms::Daemon;

/// Time after which the daemon has probed the other zones.
const SILENCE: Duration = Duration::from_millis(800);

/// Returns the row with the address of a daemon in a zone.
fn address_row(daemon: &Daemon, id: &str, zone: &str) -> TableRow {
    let mut row = daemon.row(id, &format!(r#"{{"peer":"{id}","zone":"{zone}"}}"#));
    row.part = "daemons".into();
    row
}

/// Returns a daemon of zone a that knows one daemon in each of three zones, and its own.
fn daemon_with_peers() -> Daemon {
    let mut daemon = Daemon::new();
    daemon.claim(None);
    daemon.load(&[]);
    let peers = [
        ("entry-1", "zone-a"),
        ("entry-2", "zone-b"),
        ("entry-3", "zone-c"),
    ];
    let rows = peers.map(|(id, zone)| FeedRow::Internal(address_row(&daemon, id, zone)));
    daemon.answer_feed(Feed::Heartbeats, rows.into());
    daemon
}

/// Lets the table be silent and answers the probes of other zones.
fn silence(daemon: &mut Daemon, answer: &ProbeResult) -> usize {
    daemon.tick(SILENCE);
    let is_probe = |req: &Request| {
        matches!(
            req,
            Request::Probe {
                purpose: ProbePurpose::OtherZone(_),
                ..
            }
        )
    };
    let mut probes = 0;
    while daemon.requests.iter().any(is_probe) {
        let Request::Probe {
            purpose, address, ..
        } = daemon.take(is_probe)
        else {
            break;
        };
        assert_ne!(&*address, "entry-1", "a daemon of the own zone is probed");
        daemon.apply_answer(Answer::Probed(purpose, answer.clone()));
        probes += 1;
    }
    probes
}

fn submission() -> Call {
    Call {
        host: "labels.example".into(),
        path: format!("/jobs/{ID}").into(),
        key: Some(KEY.into()),
        action: Action::Submit(Ok(job(vec![step(1, 100, &[])]))),
        relayed_with: None,
    }
}

/// Guards against callers that a cut-off daemon keeps, and against a daemon that leaves although other
/// zones would serve its callers no better.
fn readiness(answer: &ProbeResult, expected: bool) {
    let mut daemon = daemon_with_peers();
    assert!(daemon.is_ready());
    assert_eq!(silence(&mut daemon, answer), 2);
    assert_eq!(daemon.is_ready(), expected);
}

cases! {
    readiness;
    a_cut_off_daemon_is_not_ready(&ProbeResult::NoAnswer("no answer".into()), false),
    a_daemon_behind_a_cut_that_refuses_connections_is_not_ready(&ProbeResult::Refused, false),
    a_daemon_whose_table_is_down_for_all_stays_ready(&ProbeResult::Listening, true),
}

/// Guards against callers that wait for the table, or return before the load balancer sends them to
/// another zone.
#[test]
fn a_cut_off_daemon_refuses_at_once_until_other_zones_serve() {
    let mut daemon = daemon_with_peers();
    silence(&mut daemon, &ProbeResult::Refused);
    daemon.tick(Duration::from_millis(500));
    let reply = daemon.call(submission());
    let expected = Reply::Unavailable(Duration::from_millis(1_500));
    assert_eq!(reply, Some(expected));
}

/// Guards against a caller who is told that a job has not run, although the first submission may have
/// reached the table before the cut.
#[test]
fn a_cut_off_daemon_does_not_refuse_a_job_that_may_be_stored() {
    let mut daemon = daemon_with_peers();
    assert_eq!(daemon.call(submission()), None);
    silence(&mut daemon, &ProbeResult::Refused);
    assert_eq!(daemon.call(submission()), Some(Reply::Unknown));
}

/// Guards against the same while the table does not answer and no cut is known.
#[test]
fn a_daemon_without_the_table_does_not_refuse_a_job_that_may_be_stored() {
    let mut daemon = Daemon::new();
    daemon.claim(None);
    daemon.load(&[]);
    assert_eq!(daemon.call(submission()), None);
    daemon.tick(Duration::from_millis(10));
    daemon.fail_feed(Feed::Heartbeats);
    assert_eq!(daemon.call(submission()), Some(Reply::Unknown));
}

/// Guards against a daemon that stays away after the cut has ended.
#[test]
fn a_daemon_is_ready_again_once_the_table_answers() {
    let mut daemon = daemon_with_peers();
    silence(&mut daemon, &ProbeResult::Refused);
    assert!(!daemon.is_ready());
    daemon.answer_feed(Feed::Heartbeats, Vec::new());
    assert!(daemon.is_ready());
}
