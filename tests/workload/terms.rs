//! Answers that arrive when the daemon holds the placer role for another term than that in which it
//! sent the request.

use std::time::Duration;

use ragwortstall::core::model::Now;
use ragwortstall::core::model::Resources;
use ragwortstall::core::model::Ticket;
use ragwortstall::core::workload::Effect;
use ragwortstall::core::workload::Event;
use ragwortstall::core::workload::Options;
use ragwortstall::core::workload::Workload;
use ragwortstall::core::workload::decision::Decision;
use ragwortstall::core::workload::effect::Reply;
use ragwortstall::core::workload::effect::Request;
use ragwortstall::core::workload::event::Answer;
use ragwortstall::core::workload::event::Call;
use ragwortstall::core::workload::event::EvacuationRow;
use ragwortstall::core::workload::event::Feed;
use ragwortstall::core::workload::event::FeedAnswer;
use ragwortstall::core::workload::event::FeedRow;
use ragwortstall::core::workload::event::RenewalId;
use ragwortstall::core::workload::event::RenewalReport;
use ragwortstall::core::workload::table::CommitOutcome;
use ragwortstall::core::workload::table::JOBS;
use ragwortstall::core::workload::table::PROGRESS;
use ragwortstall::core::workload::table::Page;
use ragwortstall::core::workload::table::ROSTER;
use ragwortstall::core::workload::table::Range;
use ragwortstall::core::workload::table::TableRow;

use crate::catalog::catalog;
use crate::harness::START_TIME;
use crate::vm::SimVm;

/// Part of the table with the rows of the role.
const PART: &str = "p0";

/// Time after which the daemon takes the role over from another one that sends no heartbeat.
const TAKEOVER: Duration = Duration::from_millis(1_500);

/// A daemon whose requests are answered one by one.
pub(crate) struct Daemon {
    state: Workload,
    now: Now,
    /// Version of the table's last change.
    version: u64,
    /// Requests without an answer, in the order in which they were sent.
    pub requests: Vec<Request>,
    pub decisions: Vec<Decision>,
    replies: Vec<Reply>,
}

impl Daemon {
    /// Returns a daemon that knows the configuration and has read an empty table.
    pub(crate) fn new() -> Self {
        let mut daemon = Self {
            state: Workload::new(Options::new("entry-0", "zone-a", 0)),
            now: Duration::ZERO,
            version: 1,
            requests: Vec::new(),
            decisions: Vec::new(),
            replies: Vec::new(),
        };
        daemon.tick(Duration::ZERO);
        let config = FeedRow::Config(Box::new(catalog(Resources::ZERO, None)));
        daemon.answer_feed(Feed::Config, vec![config]);
        daemon.answer_feed(Feed::Heartbeats, Vec::new());
        daemon
    }

    /// Returns the epoch of the role, once the daemon is the placer.
    pub(crate) fn epoch(&mut self) -> Option<u64> {
        self.state.epoch()
    }

    pub(crate) fn tick(&mut self, passed: Duration) {
        self.now += passed;
        let unix_time = START_TIME + self.now;
        self.apply(Event::Tick { unix_time });
    }

    pub(crate) fn apply(&mut self, event: Event) {
        for effect in self.state.step(self.now, event) {
            match effect {
                Effect::Send(req) => self.requests.push(req),
                Effect::Log(decision) => self.decisions.push(decision),
                Effect::Reply(_, reply) => self.replies.push(reply),
                Effect::Exit => {}
            }
        }
    }

    /// Returns the time that has passed.
    pub(crate) fn now(&self) -> Now {
        self.now
    }

    /// Returns whether the daemon reports that it is ready.
    pub(crate) fn is_ready(&self) -> bool {
        self.state.is_ready(self.now)
    }

    /// Sends a call and returns the reply, if the daemon replies at once.
    pub(crate) fn call(&mut self, call: Call) -> Option<Reply> {
        let ticket = Ticket::default();
        self.apply(Event::Call { ticket, call });
        self.replies.pop()
    }

    pub(crate) fn apply_answer(&mut self, answer: Answer) {
        self.apply(Event::Answer(answer));
    }

    /// Takes the first request that matches.
    pub(crate) fn take(&mut self, matches: impl Fn(&Request) -> bool) -> Request {
        let ix = self.requests.iter().position(matches);
        self.requests.remove(ix.expect("a request"))
    }

    /// Answers the outstanding call of a followed table with rows that have changed.
    pub(crate) fn answer_feed(&mut self, feed: Feed, rows: Vec<FeedRow>) {
        self.version += 1;
        let req = self.take(|req| {
            matches!(req, Request::ReadAll { call, .. } | Request::Watch { call, .. } if call.feed == feed)
        });
        let answer = match req {
            Request::ReadAll { call, .. } => {
                Answer::Feed(call, FeedAnswer::Snapshot(rows, self.version))
            }
            Request::Watch { call, .. } => {
                Answer::Feed(call, FeedAnswer::Changes(rows, self.version))
            }
            other => panic!("unexpected request {other:?}"),
        };
        self.apply(Event::Answer(answer));
    }

    /// Answers a read with these rows.
    fn answer_read(&mut self, req: Request, rows: Vec<TableRow>) {
        let Request::Read { purpose, .. } = req else {
            panic!("unexpected request {req:?}");
        };
        let page = Page {
            rows,
            more: false,
            version: self.version,
        };
        self.apply(Event::Answer(Answer::Read(purpose, Ok(page))));
    }

    /// Commits the first outstanding transaction.
    pub(crate) fn answer_commit(&mut self) {
        self.version += 1;
        let req = self.take(|req| matches!(req, Request::Commit { .. }));
        let Request::Commit { purpose, .. } = req else {
            return;
        };
        let outcome = CommitOutcome::Done(self.version);
        self.apply(Event::Answer(Answer::Committed(purpose, outcome)));
    }

    /// Claims the role; `owner` is the owner row that the daemon reads before.
    pub(crate) fn claim(&mut self, owner: Option<TableRow>) {
        self.requests
            .retain(|req| !matches!(req, Request::Commit { .. }));
        let req = self.take(is_read_of(JOBS, PART));
        self.answer_read(req, owner.into_iter().collect());
        self.answer_commit();
    }

    /// Answers all reads of a load, with `roster` for the VMs; no run was being stopped.
    pub(crate) fn load(&mut self, roster: &[TableRow]) {
        while self
            .requests
            .iter()
            .any(|req| matches!(req, Request::Read { .. }))
        {
            let req = self.take(|req| matches!(req, Request::Read { .. }));
            let stops = self.row("stops", r#"{"vms":[]}"#);
            let rows = match &req {
                Request::Read { range, .. } if range.table == ROSTER => roster.to_vec(),
                Request::Read { range, .. } if range.table == PROGRESS => vec![stops],
                _ => Vec::new(),
            };
            self.answer_read(req, rows);
        }
    }

    /// Tells the daemon that another one holds the role; returns that one's owner row.
    pub(crate) fn lose_role(&mut self) -> TableRow {
        let owner = r#"{"epoch":2,"daemon":"entry-1","nonce":7}"#;
        let beat = format!(r#"{{"owner":{owner},"released":false,"loading":false}}"#);
        let row = self.row("beat", &beat);
        self.answer_feed(Feed::Heartbeats, vec![FeedRow::Internal(row)]);
        self.row("owner", owner)
    }

    pub(crate) fn row(&self, key: &str, value: &str) -> TableRow {
        TableRow {
            part: PART.into(),
            key: key.into(),
            version: self.version + 1,
            value: Some(value.as_bytes().to_vec()),
        }
    }
}

/// Returns whether a request reads the rows of a part.
pub(crate) fn is_read_of(table: &'static str, part: &'static str) -> impl Fn(&Request) -> bool {
    move |req| {
        let of_part = |range: &Range| range.table == table && &*range.part == part;
        matches!(req, Request::Read { range, .. } if of_part(range))
    }
}

/// Guards against a load that takes rows of an earlier one, which may be older than its grant.
#[test]
fn pages_of_an_earlier_load_are_not_taken_for_those_of_the_present_one() {
    let mut daemon = Daemon::new();
    daemon.claim(None);
    let stale = daemon.take(is_read_of(JOBS, "jobs-0"));
    daemon
        .requests
        .retain(|req| !matches!(req, Request::Read { .. }));
    let owner = daemon.lose_role();
    daemon.tick(TAKEOVER);
    daemon.claim(Some(owner));
    let present = daemon.take(is_read_of(JOBS, "jobs-0"));
    daemon.answer_read(stale, Vec::new());
    daemon.load(&[]);
    assert_eq!(
        daemon.state.epoch(),
        None,
        "the load has ended without a page"
    );
    daemon.answer_read(present, Vec::new());
    assert_eq!(daemon.state.epoch(), Some(3));
}

/// Guards against a VM that counts as fenced, and its runs as known, by an answer to a renewal of an
/// earlier term.
#[test]
fn reports_to_an_earlier_term_do_not_settle_the_present_one() {
    let mut daemon = Daemon::new();
    daemon.claim(None);
    daemon.load(&[]);
    let vm = SimVm::new("vm-0", Resources::new(16_000, 64_000, 0, u32::MAX));
    daemon.answer_feed(Feed::Vms, vec![FeedRow::Vm(vm.row())]);
    let stale = daemon.take(|req| matches!(req, Request::Renew { .. }));
    let owner = daemon.lose_role();
    daemon.tick(TAKEOVER);
    daemon.claim(Some(owner));
    let roster = daemon.row("vm-0", r#"{"address":"vm-0"}"#);
    daemon.load(&[roster]);
    assert_eq!(daemon.state.epoch(), Some(3));
    let present = daemon.take(|req| matches!(req, Request::Renew { .. }));
    daemon.answer_renewal(&stale);
    assert!(!daemon.is_settled(3), "settled by a report to epoch 1");
    daemon.answer_renewal(&present);
    daemon.tick(Duration::from_millis(100));
    assert!(daemon.is_settled(3));
}

impl Daemon {
    fn answer_renewal(&mut self, req: &Request) {
        self.tick(Duration::from_millis(50));
        self.report(req);
        self.tick(Duration::from_millis(50));
    }

    /// Answers a renewal with a report of a VM on which nothing runs or has ended, as far as it can
    /// tell yet.
    pub(crate) fn report(&mut self, req: &Request) {
        self.report_with_clock(req, Duration::ZERO);
    }

    /// Does the same for a VM whose clock has started at a time.
    pub(crate) fn report_with_clock(&mut self, req: &Request, clock_start: Now) {
        self.report_of_lifetime(req, 0, clock_start);
    }

    /// Does the same for a lifetime of the VM with this start.
    pub(crate) fn report_of_lifetime(&mut self, req: &Request, started_ms: u64, clock_start: Now) {
        let Request::Renew { renewal, .. } = req else {
            panic!("unexpected request {req:?}");
        };
        let clock = self.now.saturating_sub(clock_start);
        let report = RenewalReport {
            connection: 1,
            started_ms,
            clock_ms: u64::try_from(clock.as_millis()).expect("a short test"),
            running: Vec::new(),
            ended: Vec::new(),
        };
        let renewal: RenewalId = renewal.clone();
        self.apply(Event::Answer(Answer::Renewed(renewal, Ok(report))));
    }

    /// Receives a request of an operator to evacuate a zone.
    pub(crate) fn evacuate(&mut self, zone: &str) {
        let row = EvacuationRow {
            zone: zone.into(),
            requested: true,
            fault: None,
        };
        self.answer_feed(Feed::Config, vec![FeedRow::Evacuation(row)]);
    }

    fn is_settled(&self, term: u64) -> bool {
        let mut decisions = self.decisions.iter();
        decisions.any(|line| matches!(line, Decision::Settled { epoch, .. } if *epoch == term))
    }
}

/// Guards against an owner row that cannot be read and counts as no owner, so that the epochs begin
/// anew and all VMs reject the orders.
#[test]
fn an_owner_row_that_cannot_be_read_is_not_taken_for_a_missing_one() {
    let mut daemon = Daemon::new();
    let unreadable = daemon.row("owner", "{}");
    let req = daemon.take(is_read_of(JOBS, PART));
    daemon.answer_read(req, vec![unreadable]);
    let is_claim = |req: &Request| matches!(req, Request::Commit { txn, .. } if txn.put.iter().any(|(row, _)| &*row.key == "owner"));
    assert!(
        !daemon.requests.iter().any(is_claim),
        "{:?}",
        daemon.requests
    );
    let mut lines = daemon.decisions.iter();
    assert!(lines.any(|line| matches!(line, Decision::RowUnreadable { .. })));
}
