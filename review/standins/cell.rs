//! A small deployment: the store, the minions and the system's own processes, which are started with
//! the command of the deploy file.

use std::fs;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::json;
use crate::json::Json;
use crate::json::num;
use crate::json::object;
use crate::minion::Begun;
use crate::minion::Kind;
use crate::minion::Minion;
use crate::record::Record;
use crate::store::Store;

/// Program of the deploy file.
const PROGRAM: &str = "target/release/ragwortstall-platformd";
/// Time budget of a call.
pub const BUDGET: Duration = Duration::from_millis(3_000);
/// Longest time until all processes are ready.
const START_TIME: Duration = Duration::from_secs(15);

/// Process of the system on a machine of its own.
pub struct Node {
    pub name: String,
    settings: PathBuf,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    child: Option<Child>,
}

/// Route of the desired state.
#[derive(Clone)]
pub struct Route {
    pub name: &'static str,
    pub prefix: &'static str,
    pub max_attempts: u64,
}

/// A small deployment.
pub struct Cell {
    pub record: Record,
    pub store: Store,
    pub minions: Vec<Arc<Minion>>,
    pub runs: Arc<Mutex<Vec<Begun>>>,
    pub nodes: Vec<Node>,
    folder: PathBuf,
}

pub const HOST: &str = "nony24.example";
pub const KEY: &str = "6x73d3zji9n73hh2b9wu";
pub const SERVICE: &str = "huvo11a";

impl Cell {
    /// Starts the store and the minions, and one process of the system in each of the zones.
    pub fn start(record: Record, kinds: Vec<Kind>, routes: &[Route], zones: &[&str]) -> Self {
        let net = Ipv4Addr::new(127, 64 + (std::process::id() % 128) as u8, random_byte(), 0);
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&folder).unwrap();
        let store = Store::new();
        let listener = TcpListener::bind((host(net, 1), 0)).unwrap();
        let store_address = listener.local_addr().unwrap();
        store.serve(listener);
        let runs = Arc::new(Mutex::new(Vec::new()));
        let minions = kinds.into_iter().map(|kind| {
            let listener = TcpListener::bind((host(net, 2), 0)).unwrap();
            Minion::start(kind, listener, &store, &runs, &record)
        });
        let minions = minions.collect();
        let mut cell = Self { record, store, minions, runs, nodes: Vec::new(), folder };
        cell.configure(1, routes);
        for (ix, zone) in zones.iter().enumerate() {
            let ip = host(net, 10 + ix as u8);
            cell.add_node(ix, ip, zone, store_address);
        }
        for ix in 0..cell.nodes.len() {
            cell.spawn(ix);
        }
        let started_at = Instant::now();
        let is_ready = |node: &Node| {
            let answer = http::call(node.ready, "GET", "/-/ready", &[], "", Duration::from_millis(300));
            answer.is_some_and(|answer| answer.0 == 200)
        };
        while !cell.nodes.iter().all(is_ready) {
            if started_at.elapsed() > START_TIME {
                cell.fail("the processes are not ready");
            }
            thread::sleep(Duration::from_millis(100));
        }
        cell
    }

    fn add_node(&mut self, ix: usize, ip: IpAddr, zone: &str, store: SocketAddr) {
        let ports: Vec<u16> = {
            let sockets: Vec<TcpListener> = (0..4).map(|_| TcpListener::bind((ip, 0)).unwrap()).collect();
            sockets.iter().map(|socket| socket.local_addr().unwrap().port()).collect()
        };
        let name = format!("front-{zone}-{}", ix + 1);
        let (front, ready, control, peer) = (ports[0], ports[1], ports[2], ports[3]);
        let text = format!(
            "nodeName = \"{name}\"\nrole = \"scheduler\"\nmachineClass = \"front\"\nserves = [\"front\"]\n\
             ip = \"{ip}\"\nzone = \"{zone}\"\nregion = \"hill-country\"\ninternalPorts = [{peer},{peer}]\n\
             seeds = []\nbootstrap = true\ninTolerance = false\ndiscovery = \"platform\"\nentry = \"vip\"\n\
             heartbeatMs = 1500\norders = \"call\"\n\
             [listenAddrs]\nfront = \"{ip}:{front}\"\nready = \"{ip}:{ready}\"\ncontrol = \"{ip}:{control}\"\n\
             [limits]\ncpuShare = 0.25\ncores = 1\nmemoryMb = 260\nmaxFds = 4100\nbandwidthMbps = 1000.0\ndiskMb = 0\n\
             [bounds]\ncontactMs = 3000\nackMs = 4000\ngraceS = 6\nconfigDeadlineMs = 2000\nholdMaxMs = 6000\n\
             stopTimeoutMs = 200\ngangTimeoutMs = 3000\ncancel_ms = 3000\nvisible_ms = 3000\nearly_ms = 250\n\
             finish_s = 14\nstatus_s = 120\nfarFactor = 3\ncheckpointIntervalS = 2\nrestoreMs = 100\nleaseMs = 3000\n\
             [platform]\naddress = \"{store}\"\nform = \"table\"\nwritesPerS = 800\nreadsPerS = 2000\ntxMs = 8.0\n\
             partWritesS = 150\nrowBytes = 65536\nacross = false\nhistoryS = 20\n"
        );
        let settings = self.folder.join(format!("{name}.toml"));
        fs::write(&settings, text).unwrap();
        self.nodes.push(Node {
            name,
            settings,
            front: SocketAddr::new(ip, front),
            ready: SocketAddr::new(ip, ready),
            child: None,
        });
    }

    /// Starts the process of a node, as the platform does.
    pub fn spawn(&mut self, ix: usize) {
        let log = self.folder.join(format!("{}.log", self.nodes[ix].name));
        let log = fs::File::options().create(true).append(true).open(log);
        let log = log.map_or_else(|_| Stdio::null(), Stdio::from);
        let node = &mut self.nodes[ix];
        let child = Command::new(PROGRAM)
            .env("RAGWORTSTALL_CONFIG", &node.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(Stdio::null())
            .spawn();
        match child {
            Ok(child) => node.child = Some(child),
            Err(err) => {
                let message = format!("start {PROGRAM}: {err}");
                self.fail(&message);
            }
        }
        self.record.line(&format!("starts {}", self.nodes[ix].name));
    }

    /// Writes the desired state.
    pub fn configure(&self, version: u64, routes: &[Route]) {
        let routes: Vec<Json> = routes.iter().map(|route| {
            object(vec![
                ("name", json::text(route.name)),
                ("host", json::text(HOST)),
                ("pathPrefix", json::text(route.prefix)),
                ("type", json::text("unsafe")),
                ("timeoutMs", num(3_000)),
                ("targetLatencyMs", num(1_200)),
                ("priority", num(1)),
                ("service", json::text(SERVICE)),
                ("maxAttempts", num(route.max_attempts)),
                ("stretch", Json::Number(2.2)),
                ("public", Json::Bool(false)),
            ])
        }).collect();
        let names: Vec<String> = routes.iter().map(|route| route.text("name").to_string()).collect();
        let service = object(vec![
            ("name", json::text(SERVICE)),
            ("healthPath", json::text("/health")),
            ("maxConns", num(64)),
            ("protocol", json::text("h1")),
            ("tls", Json::Bool(false)),
            ("rejectsOverload", Json::Bool(false)),
            ("spare", Json::Bool(false)),
        ]);
        let cap = object(vec![("cpu", num(0)), ("memMb", num(0)), ("gpu", num(0))]);
        let tenant = object(vec![
            ("name", json::text("kaje80")),
            ("apiKeys", Json::List(vec![json::text(KEY)])),
            ("priority", num(1)),
            ("weight", num(12)),
            ("cap", cap),
        ]);
        let config = object(vec![
            ("version", num(version)),
            ("routes", Json::List(routes)),
            ("services", Json::List(vec![service])),
            ("tenants", Json::List(vec![tenant])),
        ]);
        self.store.put("op", "config", &config.to_string());
        self.record.line(&format!("the operator writes version {version} with the routes {names:?}"));
    }

    /// Sends a call to a node and records it; returns the status and the body.
    pub fn call(&self, ix: usize, method: &str, path: &str, body: &str) -> Option<(u16, String)> {
        let key = format!("Bearer {KEY}");
        let headers = [
            ("Host", HOST),
            ("Content-Type", "application/json"),
            ("Authorization", &*key),
            ("Ragwortstall-Deadline-Ms", "3000"),
        ];
        let answer = http::call(self.nodes[ix].front, method, path, &headers, body, BUDGET);
        let shown = answer.as_ref().map_or("no answer".to_string(), |(status, body)| format!("{status} {body}"));
        self.record.line(&format!("{method} {path} at {}: {shown}", self.nodes[ix].name));
        answer
    }

    /// Returns the state of a job, asked for at the node or, without an answer, at the others.
    pub fn state(&self, path: &str) -> Option<String> {
        for ix in 0..self.nodes.len() {
            if self.nodes[ix].child.is_none() {
                continue;
            }
            match self.call(ix, "GET", path, "") {
                Some((200, body)) => return Some(Json::parse(body.as_bytes())?.text("state").to_string()),
                Some((410, _)) => return Some("410".to_string()),
                _ => {}
            }
        }
        None
    }

    /// Ends all and reports that the case could not run.
    pub fn fail(&mut self, reason: &str) -> ! {
        self.record.line(&format!("the case could not run: {reason}"));
        eprintln!("the case could not run: {reason}");
        self.end();
        std::process::exit(2)
    }

    /// Ends all processes of the system. The folder with their logs stays if `KEEP` is set.
    pub fn end(&mut self) {
        for node in &mut self.nodes {
            if let Some(mut child) = node.child.take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

impl Drop for Cell {
    fn drop(&mut self) {
        self.end();
    }
}

fn host(net: Ipv4Addr, last: u8) -> IpAddr {
    let [a, b, c, _] = net.octets();
    IpAddr::V4(Ipv4Addr::new(a, b, c, last))
}

fn random_byte() -> u8 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap();
    (now.subsec_nanos() / 1_000 % 250) as u8
}
