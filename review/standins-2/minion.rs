//! Stand-in for a minion: runs tasks under a lease, as the page "Running tasks" says. A task works for
//! the time that its job's `spec` names (`ms=900`, and up to `more=300` by the task) and then ends as `done`; its first runs end as
//! `failed`, as many as `spec` names (`fail=1`).

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::http;
use crate::http::Answer;
use crate::http::Request;
use crate::json::Json;
use crate::json::map;
use crate::json::num;
use crate::json::text;
use crate::record::Record;
use crate::store::Store;
use crate::store::server_entry;

/// Longest lease (`holdMaxMs`).
pub const HOLD_MAX_MS: u64 = 6_000;

/// Largest number of ended runs in one answer.
const MAX_FINISHED: usize = 500;

/// Time that a stop takes; `stopTimeoutMs` is 900.
const STOP_MS: u64 = 100;

const HEARTBEAT: Duration = Duration::from_millis(1_500);

/// Orders that get no answer are carried out 2 to 12 s later.
const LEAST_DELAY: Duration = Duration::from_millis(2_000);
const MORE_DELAY_MS: u64 = 10_000;

const TICK: Duration = Duration::from_millis(5);

pub struct Shape {
    pub id: String,
    pub zone: String,
    pub rack: String,
    pub cpu: u64,
    pub mem: u64,
}

pub struct Minion {
    pub shape: Shape,
    pub addr: SocketAddr,
    start: Instant,
    born: u64,
    state: Mutex<State>,
    ended: Condvar,
    /// Least fencing token whose sender has no path to the minion; zero if all have.
    pub cut_from_token: AtomicU64,
    /// Of a thousand orders, so many get no answer and are carried out late.
    pub late_of_1000: AtomicU64,
    /// Time for the way of a call and of its answer, in microseconds.
    pub round_trip_us: AtomicU64,
    /// Number of orders since then.
    orders: AtomicU64,
    record: Arc<Record>,
    log: Arc<RunLog>,
}

#[derive(Default)]
struct State {
    fence: u64,
    /// End of the lease on the minion's clock.
    lease: u64,
    running: BTreeMap<(String, u64), Work>,
    finished: Vec<Finished>,
    last_number: u64,
    /// Highest run of each task that was stopped or ended here.
    highest: BTreeMap<String, u64>,
}

struct Work {
    ends_at: u64,
    stopped: bool,
    fails: bool,
}

struct Finished {
    number: u64,
    task: String,
    run: u64,
    how: &'static str,
}

/// A run of a task as the minions saw it.
#[derive(Clone, Debug)]
pub struct RunSeen {
    pub task: String,
    pub run: u64,
    pub minion: String,
    pub began: Instant,
    pub ended: Option<(Instant, &'static str)>,
    /// When `ackCursor` reached the end.
    pub noted: Option<Instant>,
    /// Whether the minion's lease was over at any moment between the end and `noted`.
    pub lapsed_between: bool,
    /// Whether the minion carried the order out late.
    pub late: bool,
}

#[derive(Default)]
pub struct RunLog(pub Mutex<Vec<RunSeen>>);

impl RunLog {
    /// Returns the number of runs of a task that have ended as `failed`.
    pub fn failures(&self, task: &str) -> u64 {
        let runs = self.0.lock().unwrap();
        let failed = |seen: &&RunSeen| {
            seen.task == task && seen.ended.is_some_and(|(_, how)| how == "failed")
        };
        runs.iter().filter(failed).count() as u64
    }

    fn with(&self, minion: &str, task: &str, run: u64, change: impl FnOnce(&mut RunSeen)) {
        let mut runs = self.0.lock().unwrap();
        let mut runs = runs.iter_mut().rev();
        if let Some(seen) =
            runs.find(|seen| seen.task == task && seen.run == run && seen.minion == minion)
        {
            change(seen);
        }
    }
}

/// Returns a number that depends on the text only.
fn hash(text: &str) -> u64 {
    let step = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    text.bytes().fold(0xcbf2_9ce4_8422_2325, step) >> 20
}

/// Returns the number after a prefix in a job's `spec`.
fn number_in(spec: &str, prefix: &str) -> Option<u64> {
    spec.split_whitespace()
        .find_map(|word| word.strip_prefix(prefix)?.parse().ok())
}

impl Minion {
    pub fn start(
        shape: Shape,
        ip: &str,
        store: &Arc<Store>,
        record: &Arc<Record>,
        log: &Arc<RunLog>,
    ) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind((ip, 0))?;
        let born = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap()
            .as_millis() as u64;
        let minion = Arc::new(Self {
            shape,
            addr: listener.local_addr()?,
            start: Instant::now(),
            born,
            state: Mutex::default(),
            ended: Condvar::new(),
            cut_from_token: AtomicU64::new(0),
            late_of_1000: AtomicU64::new(0),
            round_trip_us: AtomicU64::new(0),
            orders: AtomicU64::new(0),
            record: Arc::clone(record),
            log: Arc::clone(log),
        });
        let served = Arc::clone(&minion);
        http::serve(listener, move |req| served.handle_or_delay(&req));
        let ticking = Arc::clone(&minion);
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(TICK);
                ticking.tick();
            }
        });
        let (beating, store) = (Arc::clone(&minion), Arc::clone(store));
        std::thread::spawn(move || {
            for sequence in 1.. {
                beating.report(&store, sequence);
                std::thread::sleep(HEARTBEAT);
            }
        });
        Ok(minion)
    }

    /// Returns the number of tasks that are running.
    pub fn running(&self) -> usize {
        self.state.lock().unwrap().running.len()
    }

    fn report(&self, store: &Store, sequence: u64) {
        let shape = &self.shape;
        let entry = server_entry(
            "svc-a",
            self.addr,
            &shape.zone,
            "ready",
            shape.cpu,
            shape.mem,
            &shape.rack,
            &format!("m-{}", shape.id),
            self.born,
            self.clock(),
            sequence,
        );
        store.put("servers", &shape.id, &entry.to_string());
    }

    fn clock(&self) -> u64 {
        1_000 + self.start.elapsed().as_millis() as u64
    }

    /// Ends the tasks whose work is done, and all of them once the lease is over.
    fn tick(&self) {
        let now = self.clock();
        let mut state = self.state.lock().unwrap();
        let lapsed = now > state.lease;
        if lapsed {
            let mut runs = self.log.0.lock().unwrap();
            for seen in runs.iter_mut().filter(|seen| seen.minion == self.shape.id) {
                seen.lapsed_between |= seen.ended.is_some() && seen.noted.is_none();
            }
        }
        let over = state.running.iter().filter_map(|(key, work)| {
            let how = match work.stopped {
                _ if now >= work.ends_at && work.stopped => "stopped",
                _ if now >= work.ends_at && work.fails => "failed",
                _ if now >= work.ends_at => "done",
                _ if lapsed => "lapsed",
                _ => return None,
            };
            Some((key.clone(), how))
        });
        let over: Vec<_> = over.collect();
        for ((task, run), how) in over {
            state.running.remove(&(task.clone(), run));
            state.last_number += 1;
            let highest = state.highest.entry(task.clone()).or_default();
            *highest = run.max(*highest);
            self.record
                .line(&format!("{} ended {task} run {run} {how}", self.shape.id));
            self.log.with(&self.shape.id, &task, run, |seen| {
                seen.ended = Some((Instant::now(), how))
            });
            let number = state.last_number;
            state.finished.push(Finished {
                number,
                task,
                run,
                how,
            });
            self.ended.notify_all();
        }
    }

    /// Carries an order out at once, or late and without an answer.
    fn handle_or_delay(&self, req: &Request) -> Answer {
        let round_trip = Duration::from_micros(self.round_trip_us.load(Ordering::Relaxed));
        std::thread::sleep(round_trip);
        let late_of_1000 = self.late_of_1000.load(Ordering::Relaxed);
        let is_order = matches!(&*req.path, "/-/run-start" | "/-/run-stop");
        if late_of_1000 == 0 || !is_order {
            return self.handle(req, false);
        }
        let number = self.orders.fetch_add(1, Ordering::Relaxed);
        if number.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32 & 0xffff_ffff
            >= late_of_1000 * ((1 << 32) / 1_000)
        {
            return self.handle(req, false);
        }
        std::thread::sleep(LEAST_DELAY + Duration::from_millis(number * 1_237 % MORE_DELAY_MS));
        self.record
            .line(&format!("{} carries an order out late", self.shape.id));
        self.handle(req, true);
        None
    }

    fn handle(&self, req: &Request, late: bool) -> Answer {
        if req.path == "/health" {
            return Some((200, "{}".into()));
        }
        let expected = req.header("ragwortstall-expect-instance");
        if !expected.is_empty() && expected != self.shape.id {
            return self.answer(421, "");
        }
        let Some(body) = Json::parse(&req.body) else {
            return self.answer(400, "");
        };
        let token = body.get("fencingToken").int().unwrap_or(0);
        if self.is_cut_from(token) {
            while self.is_cut_from(token) {
                std::thread::sleep(TICK);
            }
            return None;
        }
        {
            let mut state = self.state.lock().unwrap();
            if token < state.fence {
                drop(state);
                self.record.line(&format!(
                    "{} refused token {token} {}",
                    self.shape.id, req.path
                ));
                return self.answer(409, "fence");
            }
            state.fence = token;
        }
        match &*req.path {
            "/-/run-start" => self.run_start(&body, token, late),
            "/-/run-stop" => self.run_stop(&body),
            "/-/hold" => self.hold(&body),
            "/-/pace" => self.answer(200, ""),
            _ => self.answer(404, ""),
        }
    }

    /// Returns whether the calls of a sender, known by its token, don't reach the minion.
    fn is_cut_from(&self, token: u64) -> bool {
        let least = self.cut_from_token.load(Ordering::Relaxed);
        least > 0 && token >= least
    }

    fn answer(&self, status: u16, reason: &str) -> Answer {
        let mut fields = vec![("clockMs".to_string(), num(self.clock()))];
        if !reason.is_empty() {
            fields.push(("reason".into(), text(reason)));
        }
        Some((status, Json::Map(fields).to_string()))
    }

    fn run_start(&self, body: &Json, token: u64, late: bool) -> Answer {
        let (task, run) = (
            body.get("task").text().to_string(),
            body.get("run").int().unwrap_or(0),
        );
        let (spec, now) = (body.get("spec").text().to_string(), self.clock());
        let mut state = self.state.lock().unwrap();
        if state.running.contains_key(&(task.clone(), run)) {
            return self.answer(200, "");
        }
        if !state.hold_until(body.get("deadlineMs").int(), now) {
            return self.answer(409, "late");
        }
        if state
            .highest
            .get(&task)
            .is_some_and(|&highest| run <= highest)
        {
            return self.answer(409, "old");
        }
        let more = number_in(&spec, "more=").map_or(0, |most| hash(&task) % (most + 1));
        let ends_at = now + number_in(&spec, "ms=").unwrap_or(1_000) + more;
        let fails = self.log.failures(&task) < number_in(&spec, "fail=").unwrap_or(0);
        state.running.insert(
            (task.clone(), run),
            Work {
                ends_at,
                stopped: false,
                fails,
            },
        );
        self.record.line(&format!(
            "{} began {task} run {run} token {token}",
            self.shape.id
        ));
        self.log.0.lock().unwrap().push(RunSeen {
            task,
            run,
            minion: self.shape.id.clone(),
            began: Instant::now(),
            ended: None,
            noted: None,
            lapsed_between: false,
            late,
        });
        self.answer(200, "")
    }

    fn run_stop(&self, body: &Json) -> Answer {
        let (task, run) = (
            body.get("task").text().to_string(),
            body.get("run").int().unwrap_or(0),
        );
        let now = self.clock();
        let mut state = self.state.lock().unwrap();
        let highest = state.highest.entry(task.clone()).or_default();
        *highest = run.max(*highest);
        if let Some(work) = state.running.get_mut(&(task.clone(), run)) {
            work.ends_at = work.ends_at.min(now + STOP_MS);
            work.stopped = true;
            self.record.line(&format!(
                "{} is told to stop {task} run {run}",
                self.shape.id
            ));
        }
        self.answer(200, "")
    }

    fn hold(&self, body: &Json) -> Answer {
        let wait = body.get("waitMs").int().unwrap_or(0).min(2_000);
        let seen = body.get("ackCursor").int().unwrap_or(0);
        let mut state = self.state.lock().unwrap();
        state.hold_until(body.get("deadlineMs").int(), self.clock());
        for ended in state.finished.iter().filter(|ended| ended.number <= seen) {
            self.log
                .with(&self.shape.id, &ended.task, ended.run, |seen| {
                    seen.noted.get_or_insert(Instant::now());
                });
        }
        state.finished.retain(|ended| ended.number > seen);
        let until = Instant::now() + Duration::from_millis(wait);
        while state.finished.is_empty() {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            state = self.ended.wait_timeout(state, left).unwrap().0;
        }
        let running = state
            .running
            .keys()
            .map(|(task, run)| Json::List(vec![text(task), num(*run), text(""), num(100), num(0)]));
        let finished = state.finished.iter().take(MAX_FINISHED).map(|ended| {
            let (number, run) = (num(ended.number), num(ended.run));
            Json::List(vec![
                number,
                text(&ended.task),
                run,
                text(ended.how),
                text(""),
            ])
        });
        let body = map([
            ("clockMs", num(self.clock())),
            ("born", num(self.born)),
            ("running", Json::List(running.collect())),
            ("finished", Json::List(finished.collect())),
        ]);
        if state.finished.len() > MAX_FINISHED {
            self.record.line(&format!(
                "{} lists {MAX_FINISHED} of {} ends",
                self.shape.id,
                state.finished.len()
            ));
        }
        Some((200, body.to_string()))
    }
}

impl State {
    /// Extends the lease, by the longest time at most. Returns whether the time is still to come.
    fn hold_until(&mut self, deadline: Option<u64>, now: u64) -> bool {
        let Some(deadline) = deadline else {
            return true;
        };
        self.lease = self.lease.max(deadline.min(now + HOLD_MAX_MS));
        deadline >= now
    }
}
