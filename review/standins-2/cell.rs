//! A small installation on loopback: the store, minions, and the project's daemons as processes.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::json::Json;
use crate::json::map;
use crate::json::num;
use crate::json::text;
use crate::minion::Minion;
use crate::minion::RunLog;
use crate::minion::Shape;
use crate::proxy::Proxy;
use crate::record::Record;
use crate::store::Store;

/// Program that the deploy file names, from the root of the repository.
const PROGRAM: &str = "target/release/ragwortstall-platformd";

pub const HOST: &str = "nony24.example";
pub const PREFIX: &str = "/lohu930/";
pub const KEY: &str = "key-of-t1";

/// Number of failed runs of a task after which its job has failed.
pub const MAX_ATTEMPTS: u64 = 3;

/// Ids of the processes that were started and not yet reaped.
static STARTED: Mutex<BTreeSet<u32>> = Mutex::new(BTreeSet::new());

pub struct Cell {
    pub store: Arc<Store>,
    pub record: Arc<Record>,
    pub log: Arc<RunLog>,
    pub minions: Vec<Arc<Minion>>,
    pub daemons: Vec<Daemon>,
    /// First two octets of the addresses.
    net: String,
    dir: PathBuf,
}

pub struct Daemon {
    pub name: String,
    pub front: SocketAddr,
    pub child: Option<Child>,
    /// Way of the daemon to the store.
    pub to_store: Proxy,
    settings: PathBuf,
}

pub type Result<T> = std::result::Result<T, String>;

impl Cell {
    pub fn new(record: &Arc<Record>, minions: Vec<Shape>, daemons: usize) -> Result<Self> {
        let id = std::process::id();
        let net = format!("127.{}.{}", 64 + id % 64, id / 64 % 250);
        let dir = std::env::temp_dir().join(format!("review-2-{id}"));
        std::fs::create_dir_all(&dir).map_err(|err| err.to_string())?;
        let store = Store::start(&format!("{net}.1")).map_err(|err| err.to_string())?;
        let log = Arc::new(RunLog::default());
        let mut cell = Self {
            store,
            record: Arc::clone(record),
            log,
            minions: Vec::new(),
            daemons: Vec::new(),
            net,
            dir,
        };
        for shape in minions {
            let ip = format!("{}.2", cell.net);
            let minion = Minion::start(shape, &ip, &cell.store, record, &cell.log);
            cell.minions.push(minion.map_err(|err| err.to_string())?);
        }
        cell.put_config(7, true);
        for n in 0..daemons {
            let daemon = cell.settings(n)?;
            cell.daemons.push(daemon);
        }
        for n in 0..daemons {
            cell.start_daemon(n)?;
        }
        cell.wait_until("a daemon leads", Duration::from_secs(20), |cell| {
            cell.leader().is_some()
        })?;
        Ok(cell)
    }

    /// Writes a version of the desired state, with the route that the cases use or without it.
    pub fn put_config(&self, version: u64, with_route: bool) {
        let routes = [("r-b", "/pufi791/"), ("r-a", PREFIX)];
        let routes = routes.into_iter().take(1 + usize::from(with_route));
        let routes: Vec<Json> = routes.map(|(name, prefix)| route(name, prefix)).collect();
        self.record.line(&format!(
            "desired state {version}, with the route: {with_route}"
        ));
        self.store
            .put("op", "config", &config(version, routes).to_string());
    }
    fn settings(&self, n: usize) -> Result<Daemon> {
        let ip = format!("{}.{}", self.net, 10 + n);
        let port = || -> Result<u16> {
            let listener = TcpListener::bind((&*ip, 0)).map_err(|err| err.to_string())?;
            Ok(listener.local_addr().map_err(|err| err.to_string())?.port())
        };
        let (front, ready, inner) = (port()?, port()?, port()?);
        let (zone, name) = (
            ["a", "b", "c", "d"][n % 4],
            format!("front-{}-{n}", ["a", "b", "c", "d"][n % 4]),
        );
        let to_store = Proxy::start(&ip, self.store.addr).map_err(|err| err.to_string())?;
        let store = to_store.addr;
        let text = format!(
            "nodeName = \"{name}\"\nrole = \"scheduler\"\nmachineClass = \"front\"\nserves = [\"front\"]\n\
             ip = \"{ip}\"\nzone = \"{zone}\"\nregion = \"r\"\ninternalPorts = [{inner},{inner}]\n\
             seeds = []\nbootstrap = true\ninTolerance = true\ndiscovery = \"platform\"\nentry = \"vip\"\n\
             heartbeatMs = 1500\norders = \"call\"\n\
             [zones]\na = \"r\"\nb = \"r\"\nc = \"r\"\nd = \"r\"\n\
             [listenAddrs]\nfront = \"{ip}:{front}\"\nready = \"{ip}:{ready}\"\n\
             [limits]\ncpuShare = 0.25\ncores = 1\nmemoryMb = 260\nmaxFds = 4100\nbandwidthMbps = 1000.0\ndiskMb = 0\n\
             [bounds]\ncontactMs = 3000\nackMs = 4000\ngraceS = 6\nconfigDeadlineMs = 2000\nholdMaxMs = 6000\n\
             stopTimeoutMs = 900\ngangTimeoutMs = 3000\ncancel_ms = 3000\nvisible_ms = 3000\nearly_ms = 250\n\
             finish_s = 14\nstatus_s = 120\nleaseMs = 3000\nfreezeSlackMs = 300\n\
             [platform]\naddress = \"{store}\"\nform = \"table\"\nwritesPerS = 800\nreadsPerS = 2000\ntxMs = 8.0\n\
             partWritesS = 150\nrowBytes = 65536\nacross = false\nhistoryS = 20\n"
        );
        let settings = self.dir.join(format!("{name}.toml"));
        std::fs::write(&settings, text).map_err(|err| err.to_string())?;
        let front = SocketAddr::new(ip.parse().map_err(|_| "address")?, front);
        Ok(Daemon {
            name,
            front,
            child: None,
            to_store,
            settings,
        })
    }

    /// Starts a daemon as the deploy file says. Its log goes to the temporary folder.
    pub fn start_daemon(&mut self, n: usize) -> Result<()> {
        let daemon = &mut self.daemons[n];
        if let Some(mut former) = daemon.child.take() {
            end(&mut former);
        }
        let path = self.dir.join(format!("{}.log", daemon.name));
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(path);
        let child = Command::new(
            Path::new(PROGRAM)
                .canonicalize()
                .map_err(|err| format!("{PROGRAM}: {err}"))?,
        )
        .env_clear()
        .env("RAGWORTSTALL_CONFIG", &daemon.settings)
        .stdin(Stdio::null())
        .stdout(log.map_err(|err| err.to_string())?)
        .spawn();
        let child = child.map_err(|err| err.to_string())?;
        STARTED.lock().unwrap().insert(child.id());
        daemon.child = Some(child);
        self.record.line(&format!("{} is started", daemon.name));
        Ok(())
    }

    /// Returns the daemon that last took the lead, by the row that it wrote under a condition.
    pub fn leader(&self) -> Option<usize> {
        let row = Json::parse(&self.store.value("jobs", "p0", "owner")?)?;
        let name = row.get("daemon").text().to_string();
        self.daemons.iter().position(|daemon| daemon.name == name)
    }

    /// Returns the fencing token of the daemon that leads.
    pub fn token(&self) -> Option<u64> {
        Json::parse(&self.store.value("jobs", "p0", "owner")?)?
            .get("epoch")
            .int()
    }

    /// Sends a signal to a daemon by its process id.
    pub fn signal(&self, n: usize, signal: &str) {
        let daemon = &self.daemons[n];
        if let Some(child) = &daemon.child {
            self.record
                .line(&format!("{} gets SIG{signal}", daemon.name));
            let _ = Command::new("kill")
                .args([&format!("-{signal}"), &child.id().to_string()])
                .status();
        }
    }

    /// Sends a call of the requester, for up to four attempts, each at another daemon.
    pub fn call(&self, method: &str, id: &str, body: &str) -> (u16, String) {
        let headers = format!(
            "Host: {HOST}\r\nAuthorization: Bearer {KEY}\r\nRagwortstall-Deadline-Ms: 3000\r\n"
        );
        let mut last = (0, String::new());
        for attempt in 0..5 {
            let daemon = &self.daemons[attempt % self.daemons.len()];
            let target = format!("{PREFIX}{id}");
            last = http::call(
                daemon.front,
                method,
                &target,
                &headers,
                body,
                Duration::from_secs(3),
            );
            self.record.line(&format!(
                "{method} {id} at {}: {} {}",
                daemon.name, last.0, last.1
            ));
            if !matches!(last.0, 0 | 429 | 500..) {
                break;
            }
            std::thread::sleep(Duration::from_millis(300));
        }
        last
    }

    pub fn wait_until(
        &mut self,
        what: &str,
        limit: Duration,
        holds: impl Fn(&Self) -> bool,
    ) -> Result<()> {
        let until = Instant::now() + limit;
        while !holds(self) {
            if Instant::now() > until {
                return Err(format!("not within {limit:?}: {what}"));
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        Ok(())
    }
}

impl Drop for Cell {
    fn drop(&mut self) {
        for daemon in &mut self.daemons {
            if let Some(mut child) = daemon.child.take() {
                end(&mut child);
            }
        }
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = std::fs::remove_dir_all(&self.dir);
        }
    }
}

/// Ends a process and reaps it.
fn end(child: &mut Child) {
    let _ = (child.kill(), child.wait());
    STARTED.lock().unwrap().remove(&child.id());
}

/// Ends all processes that were started, by their ids.
pub fn kill_all() {
    for id in STARTED.lock().unwrap().iter() {
        let _ = Command::new("kill")
            .args(["-KILL", &id.to_string()])
            .status();
    }
}

/// Returns a route to the service of the minions.
fn route(name: &str, prefix: &str) -> Json {
    map([
        ("name", text(name)),
        ("host", text(HOST)),
        ("pathPrefix", text(prefix)),
        ("type", text("unsafe")),
        ("timeoutMs", num(3_000)),
        ("targetLatencyMs", num(250)),
        ("priority", num(0)),
        ("service", text("svc-a")),
        ("maxAttempts", num(MAX_ATTEMPTS)),
        ("stretch", Json::Num(2.2)),
        ("public", Json::Bool(false)),
    ])
}

fn config(version: u64, routes: Vec<Json>) -> Json {
    let service = map([
        ("name", text("svc-a")),
        ("healthPath", text("/health")),
        ("maxConns", num(64)),
        ("protocol", text("h1")),
        ("rejectsOverload", Json::Bool(false)),
    ]);
    let cap = map([("cpu", num(0)), ("memMb", num(0)), ("gpu", num(0))]);
    let tenant = map([
        ("name", text("t1")),
        ("apiKeys", Json::List(vec![text(KEY)])),
        ("weight", num(1)),
        ("cap", cap),
    ]);
    map([
        ("version", num(version)),
        ("routes", Json::List(routes)),
        ("services", Json::List(vec![service])),
        ("tenants", Json::List(vec![tenant])),
        ("limits", map([])),
    ])
}
