//! How long a placer without the table renews leases, and how long its successor waits: as its heartbeats
//! say, and after that as long as most VMs confirm that no successor has reached them.

use std::collections::BTreeMap;
use std::time::Duration;

use ragwortstall::core::model::Now;
use ragwortstall::core::model::Resources;
use ragwortstall::core::workload::decision::Decision;
use ragwortstall::core::workload::effect::Request;
use ragwortstall::core::workload::event::Answer;
use ragwortstall::core::workload::event::Feed;
use ragwortstall::core::workload::event::FeedAnswer;
use ragwortstall::core::workload::event::FeedRow;
use ragwortstall::core::workload::event::OrderError;
use ragwortstall::core::workload::event::ReadPurpose;
use ragwortstall::core::workload::table::HEARTBEATS;
use ragwortstall::core::workload::table::Page;
use serde::Deserialize;

use crate::harness::Harness;
use crate::jobs::ID;
use crate::jobs::job;
use crate::jobs::step;
use crate::support::cases;
use crate::terms::Daemon;
use crate::vm::SimVm;

/// Interval between two ticks.
const TICK: Duration = Duration::from_millis(10);

/// Time for which a placer renews leases after its last heartbeat, according to a heartbeat without
/// that field.
const DEFAULT_GRACE: Duration = Duration::from_secs(2);

/// Lease of a VM, as long as it takes on a slow clock.
const LEASE: Duration = Duration::from_millis(3_700);

/// Time without the table that is much longer than the grace and a lease.
const LONG_OUTAGE: Duration = Duration::from_secs(20);

/// Longest time between two renewals of a lease that does not expire meanwhile.
const MAX_RENEWAL_GAP: Duration = Duration::from_millis(3_500);

/// Age of answers that count, according to a heartbeat without that field.
const DEFAULT_CONFIRMATION_AGE: Duration = Duration::from_millis(2_500);

/// Placer of a fleet of which one in `reachable_in` VMs stays reachable behind the cut.
struct CutFleet {
    daemon: Daemon,
    /// Renewals in flight, with the times at which the VMs or their timeouts answer.
    renewals: Vec<(Now, Request)>,
    /// Time at which the cut began.
    cut_at: Option<Now>,
    /// Send time of the last stored heartbeat and the grace that it names.
    heartbeat: (Now, Duration),
    /// Send time of the last renewal that prolongs a lease.
    last_renewal: Now,
    /// Send times of the last renewals that prolong the leases, by VM.
    renewed_at: BTreeMap<Box<str>, Now>,
    /// Whether the table answers.
    table_answers: bool,
}

impl CutFleet {
    fn new(vms: usize) -> Self {
        let mut daemon = Daemon::new();
        daemon.claim(None);
        daemon.load(&[]);
        let capacity = Resources::new(16_000, 64_000, 0, u32::MAX);
        let rows =
            (0..vms).map(|ix| FeedRow::Vm(SimVm::new(&format!("vm-{ix:03}"), capacity).row()));
        daemon.answer_feed(Feed::Vms, rows.collect());
        Self {
            daemon,
            renewals: Vec::new(),
            cut_at: None,
            heartbeat: (Duration::ZERO, DEFAULT_GRACE),
            last_renewal: Duration::ZERO,
            renewed_at: BTreeMap::new(),
            table_answers: true,
        }
    }

    fn run_for(&mut self, time: Duration) {
        for _ in 0..time.as_millis() / TICK.as_millis() {
            self.daemon.tick(TICK);
            self.collect_renewals();
            self.answer_renewals();
            if self.cut_at.is_none() && self.table_answers {
                self.answer_commits();
            }
        }
    }

    /// Takes the renewals that were sent. VMs behind the cut answer after the wait; the others do so
    /// only if the wait ends before the cut, and time out otherwise.
    fn collect_renewals(&mut self) {
        let now = self.daemon.now();
        let requests = std::mem::take(&mut self.daemon.requests);
        let (renewals, others) = requests
            .into_iter()
            .partition(|req| matches!(req, Request::Renew { .. }));
        self.daemon.requests = others;
        let renewals: Vec<Request> = renewals;
        for req in renewals {
            let Request::Renew {
                renewal,
                deadline_ms,
                wait,
                ..
            } = &req
            else {
                continue;
            };
            if deadline_ms.is_some() {
                self.last_renewal = now;
                let before = self.renewed_at.insert(renewal.vm.clone(), now);
                let gap = now.saturating_sub(before.unwrap_or(now));
                assert!(gap < MAX_RENEWAL_GAP, "{} lapses: {gap:?}", renewal.vm);
            }
            self.renewals.push((now + *wait, req));
        }
    }

    fn answer_renewals(&mut self) {
        let now = self.daemon.now();
        let (due, left): (Vec<_>, Vec<_>) = std::mem::take(&mut self.renewals)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.renewals = left;
        for (at, req) in due {
            let Request::Renew {
                renewal, timeout, ..
            } = &req
            else {
                continue;
            };
            let is_cut = self.cut_at.is_some() && !is_behind_cut(&renewal.vm);
            if !is_cut {
                self.daemon.report(&req);
            } else if now < renewal.sent + *timeout {
                self.renewals.push((at.max(renewal.sent + *timeout), req));
            } else {
                let error = Err(OrderError::NoAnswer("no answer".into()));
                let answer = Answer::Renewed(renewal.clone(), error);
                self.daemon.apply_answer(answer);
            }
        }
    }

    /// Commits all transactions and records the heartbeat among them.
    fn answer_commits(&mut self) {
        let now = self.daemon.now();
        while let Some(Request::Commit { txn, .. }) = self
            .daemon
            .requests
            .iter()
            .find(|req| matches!(req, Request::Commit { .. }))
        {
            if let Some((_, value)) = txn.put.iter().find(|(row, _)| &*row.key == "beat") {
                let row: serde_json::Value = serde_json::from_slice(value).expect("a heartbeat");
                let grace = row["renews_ms"].as_u64().map(Duration::from_millis);
                self.heartbeat = (now, grace.unwrap_or(DEFAULT_GRACE));
            }
            self.daemon.answer_commit();
        }
    }
}

/// Guards against work that is lost because the table is away for all daemons, so that none can take
/// over.
fn leases_are_renewed_without_the_table(vms: usize) {
    let mut fleet = CutFleet::new(vms);
    fleet.run_for(Duration::from_secs(5));
    fleet.table_answers = false;
    fleet.run_for(LONG_OUTAGE);
    let now = fleet.daemon.now();
    assert_eq!(fleet.renewed_at.len(), vms);
    let oldest = fleet.renewed_at.values().min().expect("renewals");
    assert!(
        now.saturating_sub(*oldest) < MAX_RENEWAL_GAP,
        "{now:?}, {oldest:?}"
    );
    fleet.table_answers = true;
    fleet.run_for(Duration::from_secs(5));
}

cases! {
    leases_are_renewed_without_the_table;
    leases_of_a_small_fleet_are_renewed_while_the_table_is_away(30),
    leases_of_a_large_fleet_are_renewed_while_the_table_is_away(250),
}

/// Guards against a placer that wakes from a freeze, has been replaced, and renews the leases of all VMs
/// before it hears of that from the first one.
#[test]
fn a_placer_that_wakes_from_a_freeze_renews_no_lease_before_its_vms_answer() {
    let mut fleet = CutFleet::new(30);
    fleet.run_for(Duration::from_secs(5));
    fleet.table_answers = false;
    let frozen_at = fleet.daemon.now();
    fleet.daemon.tick(Duration::from_secs(4));
    fleet.answer_renewals();
    fleet.collect_renewals();
    for _ in 0..10 {
        fleet.daemon.tick(TICK);
        fleet.collect_renewals();
    }
    let last = fleet.last_renewal;
    assert!(
        last <= frozen_at,
        "renewed at {last:?}, frozen at {frozen_at:?}"
    );
    assert!(!fleet.renewals.is_empty(), "the VMs are not called");
}

/// Guards against a task that runs twice: a placer that has lost the table goes on renewing the lease of
/// a VM that its successor does not reach, beyond the time from which the successor counts.
#[test]
fn a_task_on_a_vm_that_only_the_former_placer_reaches_runs_once() {
    let mut harness = Harness::new(3, 8);
    let mut spread = step(16, 16_000, &[]);
    spread.max_per_vm = 3;
    harness.submit(0, ID, job(vec![spread]));
    harness.run_for(1_000);
    assert_eq!(harness.starts.len(), 16);
    let vm = harness.starts[0].3.clone();
    let former = harness.placer().expect("a placer");
    harness.set_table_reachable(former, false);
    harness.table_latency = Duration::from_millis(150);
    for daemon in (0..3).filter(|daemon| *daemon != former) {
        harness.cut_paths.insert((daemon, vm.clone()));
    }
    // The cell asserts that no task runs on two VMs.
    harness.run_for(12_000);
    assert!(
        harness.starts.len() > 16,
        "the tasks of the VM never start again"
    );
}

/// Returns whether a VM is cut off together with the placer: one in three.
fn is_behind_cut(vm: &str) -> bool {
    vm.ends_with(['0', '3', '6'])
}

/// Guards against a task that is started twice: a successor counts the leases of the VMs behind the
/// cut as expired, while the placer behind it has renewed them after the time that the successor
/// knows of.
fn renewals_end_in_time(vms: usize, cut_after: Duration) {
    let mut fleet = CutFleet::new(vms);
    fleet.run_for(Duration::from_secs(5) + cut_after);
    fleet.cut_at = Some(fleet.daemon.now());
    fleet.run_for(Duration::from_secs(6));
    let (sent, grace) = fleet.heartbeat;
    let end = sent + grace;
    let last = fleet.last_renewal;
    assert!(last <= end, "a lease is renewed at {last:?}, after {end:?}");
}

cases! {
    renewals_end_in_time;
    a_cut_off_placer_of_a_small_fleet_stops_in_time(30, Duration::ZERO),
    a_cut_off_placer_of_a_large_fleet_stops_in_time(250, Duration::ZERO),
    a_placer_that_is_cut_off_before_its_next_heartbeat_stops_in_time(250, Duration::from_millis(240)),
    a_placer_that_is_cut_off_after_all_renewals_were_sent_stops_in_time(250, Duration::from_millis(1_150)),
}

/// Returns a daemon that has lost the role and heard one heartbeat of its successor with these
/// further fields.
fn daemon_with_heartbeat(fields: &str) -> Daemon {
    let mut daemon = Daemon::new();
    daemon.claim(None);
    daemon.load(&[]);
    let row = format!(r#"{{"owner":{{"epoch":2,"daemon":"entry-1","nonce":7}},{fields}}}"#);
    let row = daemon.row("beat", &row);
    daemon.answer_feed(Feed::Heartbeats, vec![FeedRow::Internal(row)]);
    daemon
}

/// Takes the role over, and reaches all VMs but one. Returns the time at which it has reached them, and
/// the time at which it counts all earlier runs as ended.
fn settle(daemon: &mut Daemon) -> (Now, Now) {
    daemon.tick(Duration::from_millis(1_600));
    let owner = daemon.row("owner", r#"{"epoch":2,"daemon":"entry-1","nonce":7}"#);
    daemon.claim(Some(owner));
    let vms = ["vm-0", "vm-1", "vm-2"];
    let roster = vms.map(|vm| daemon.row(vm, &format!(r#"{{"address":"{vm}"}}"#)));
    daemon.load(&roster);
    let reached_at = daemon.now();
    for _ in 0..2_000 {
        daemon.answer_renewals(Some("vm-0"));
        daemon.tick(TICK);
        let is_settled = |line: &Decision| matches!(line, Decision::Settled { epoch: 3, .. });
        if daemon.decisions.iter().any(is_settled) {
            return (reached_at, daemon.now());
        }
    }
    panic!("the placer does not settle");
}

/// Guards against a successor that waits for a fixed time, while the former placer, or one before
/// it, may renew leases for longer, by its heartbeats or by the answers of VMs.
fn the_successor_waits(fields: &str, renews: Duration, confirms: Duration) {
    let mut daemon = daemon_with_heartbeat(fields);
    let heard_at = daemon.now();
    let (reached_at, settled_at) = settle(&mut daemon);
    let least = (heard_at + renews).max(reached_at + confirms) + LEASE;
    assert!(settled_at >= least, "settled at {settled_at:?}");
    let most = least + Duration::from_millis(100);
    assert!(settled_at < most, "settled at {settled_at:?}");
}

cases! {
    the_successor_waits;
    a_successor_waits_for_a_former_placer_of_a_small_fleet(
        r#""renews_ms":2000,"confirms_ms":200"#,
        Duration::from_secs(2),
        Duration::from_millis(200),
    ),
    a_successor_waits_for_a_former_placer_of_a_large_fleet(
        r#""renews_ms":3000,"confirms_ms":200"#,
        Duration::from_secs(3),
        Duration::from_millis(200),
    ),
    a_successor_waits_for_answers_of_vms_to_a_former_placer_to_grow_old(
        r#""renews_ms":2000,"confirms_ms":1500"#,
        Duration::from_secs(2),
        Duration::from_millis(1_500),
    ),
    a_successor_waits_for_a_former_placer_of_an_earlier_version(
        r#""renews_ms":2000"#,
        Duration::from_secs(2),
        DEFAULT_CONFIRMATION_AGE,
    ),
    a_successor_does_not_wait_for_a_placer_that_has_released_the_role(
        r#""renews_ms":3000,"confirms_ms":1500,"released":true"#,
        Duration::ZERO,
        Duration::ZERO,
    ),
    a_successor_waits_for_the_placer_before_one_that_has_released_the_role(
        r#""renews_ms":3000,"released":true,"former_renews_ms":2500"#,
        Duration::from_millis(2_500),
        DEFAULT_CONFIRMATION_AGE,
    ),
    a_successor_waits_for_the_placer_before_one_that_was_lost(
        r#""renews_ms":2000,"confirms_ms":200,"former_renews_ms":2500"#,
        Duration::from_millis(2_500),
        DEFAULT_CONFIRMATION_AGE,
    ),
}

/// Heartbeat, as the version before the answers of VMs reads it.
#[derive(Debug, Deserialize)]
struct FormerHeartbeat {
    renews_ms: Option<u64>,
    #[serde(default)]
    former_renews_ms: u64,
}

/// Guards against a successor of the former version that cannot read the heartbeat, or that counts from
/// less than the grace.
#[test]
fn the_former_version_reads_the_grace_of_a_heartbeat() {
    let mut harness = Harness::new(2, 4);
    harness.run_for(5_000);
    let rows = harness.table.changes(HEARTBEATS, 0);
    let row = rows.iter().find(|row| &*row.key == "beat").expect("a row");
    let value = row.value.as_deref().expect("a value");
    let beat: FormerHeartbeat = serde_json::from_slice(value).expect("a readable row");
    assert_eq!(
        beat.renews_ms.map(Duration::from_millis),
        Some(DEFAULT_GRACE)
    );
    assert_eq!(beat.former_renews_ms, 0);
}

/// Guards against a successor that counts from a heartbeat before an outage of the table: the former
/// placer may have renewed leases all the while, and have been cut off at its end.
#[test]
fn a_successor_after_an_outage_of_the_table_counts_from_its_end() {
    let renews = Duration::from_secs(2);
    let mut daemon = daemon_with_heartbeat(r#""renews_ms":2000"#);
    daemon.tick(Duration::from_millis(10));
    daemon.fail_feed(Feed::Heartbeats);
    daemon.tick(Duration::from_secs(5));
    daemon.answer_probe();
    daemon.tick(Duration::from_millis(10));
    daemon.answer_feed(Feed::Heartbeats, Vec::new());
    let recovered_at = daemon.now();
    let (_, settled_at) = settle(&mut daemon);
    let least = recovered_at + renews + LEASE;
    assert!(
        settled_at >= least,
        "settled at {settled_at:?}, recovered at {recovered_at:?}"
    );
}

impl Daemon {
    pub(crate) fn fail_feed(&mut self, feed: Feed) {
        let req = self.take(|req| matches!(req, Request::Watch { call, .. } if call.feed == feed));
        let Request::Watch { call, .. } = req else {
            return;
        };
        let failed = FeedAnswer::Failed("no answer".into());
        self.apply_answer(Answer::Feed(call, failed));
    }

    /// Answers a read that shows that the table answers again.
    fn answer_probe(&mut self) {
        let is_probe = |req: &Request| {
            matches!(
                req,
                Request::Read {
                    purpose: ReadPurpose::Probe(_),
                    ..
                }
            )
        };
        let Request::Read { purpose, .. } = self.take(is_probe) else {
            return;
        };
        let page = Page {
            rows: Vec::new(),
            more: false,
            version: 1,
        };
        self.apply_answer(Answer::Read(purpose, Ok(page)));
    }
}
