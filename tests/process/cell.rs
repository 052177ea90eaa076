//! A small cell of real processes on its own loopback addresses.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::Method;
use http::Request;
use http::Response;
use http_body_util::Full;
use ragwortstall::core::key;
use ragwortstall::shell::net::Client;
use ragwortstall::shell::net::ClientOptions;
use serde_json::Value;

/// Secret of the operator key in every test cell.
pub const OPERATOR_KEY: &str = "operator-secret";

/// Timeout of requests and of waits for a condition. It affects only how long a failing test takes.
const TIMEOUT: Duration = Duration::from_secs(60);

/// Interval between checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// One process of the cell, killed when dropped.
pub struct Process {
    child: Child,
    /// Address of its HTTP interface.
    pub http: SocketAddr,
}

impl Process {
    /// Sends a signal, given by its name as in the `kill` command.
    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        let status = Command::new("kill")
            .args(["-s", name, &pid])
            .status()
            .unwrap();
        assert!(status.success(), "kill -s {name} {pid}");
    }

    /// Waits until the process exits and returns whether it exited successfully.
    pub fn wait(&mut self) -> bool {
        self.child.wait().unwrap().success()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Processes of one test, with their settings files in a temporary directory.
pub struct Cell {
    subnet: [u8; 2],
    last_host: u8,
    zones: Vec<Box<str>>,
    dir: PathBuf,
    client: Client,
    /// The simulated platform.
    pub platform: Process,
    /// Daemons, ordered by name.
    pub daemons: Vec<Process>,
    /// Worker VMs.
    pub workers: Vec<Process>,
    /// Endpoints.
    pub endpoints: Vec<Process>,
}

/// Runs `test` with a cell that has one daemon for each entry of `zones`.
pub fn with_cell<F: AsyncFnOnce(&mut Cell)>(zones: &[&str], test: F) {
    compio::runtime::Runtime::new().unwrap().block_on(async {
        let mut cell = Cell::start(zones);
        test(&mut cell).await;
        let _ = fs::remove_dir_all(&cell.dir);
    });
}

impl Cell {
    fn start(zones: &[&str]) -> Self {
        let pid = std::process::id();
        let thread = std::thread::current()
            .name()
            .unwrap_or("test")
            .replace("::", "-");
        let dir = std::env::temp_dir().join(format!("ragwortstall-{pid}-{thread}"));
        fs::create_dir_all(&dir).unwrap();
        let subnet = unique_subnet();
        let platform_address = address(subnet, 1, 7000);
        let mut platform = Command::new(binary_path("standin-platform"));
        platform.args(["--listen", &platform_address.to_string()]);
        for (n, zone) in zones.iter().enumerate() {
            let (http, peer) = daemon_addresses(subnet, n);
            platform.args(["--entry", &format!("d{n},{zone},{http},{peer}")]);
        }
        let platform = spawn(platform, platform_address);
        let mut cell = Self {
            subnet,
            last_host: 100,
            zones: zones.iter().map(|zone| Box::from(*zone)).collect(),
            dir,
            client: Client::new(ClientOptions::default()),
            platform,
            daemons: Vec::new(),
            workers: Vec::new(),
            endpoints: Vec::new(),
        };
        for n in 0..zones.len() {
            let daemon = cell.start_daemon(n);
            cell.daemons.push(daemon);
        }
        cell
    }

    /// Starts or restarts daemon `n`.
    pub fn start_daemon(&self, n: usize) -> Process {
        let (http, peer) = daemon_addresses(self.subnet, n);
        let settings = self.dir.join(format!("d{n}.toml"));
        let platform = self.platform.http;
        let hash = key::hash(OPERATOR_KEY);
        let mut text = format!(
            "[daemon]\nname = \"d{n}\"\nzone = \"{}\"\nhttp = \"{http}\"\npeer = \"{peer}\"\n\
             operator_key_sha256 = \"{hash}\"\n\n[platform]\naddress = \"{platform}\"\n",
            self.zones[n]
        );
        for (other, zone) in self
            .zones
            .iter()
            .enumerate()
            .filter(|(other, _)| *other != n)
        {
            let (http, peer) = daemon_addresses(self.subnet, other);
            let section = format!(
                "\n[[peers]]\nname = \"d{other}\"\nzone = \"{zone}\"\nhttp = \"{http}\"\n\
                 peer = \"{peer}\"\n"
            );
            text.push_str(&section);
        }
        fs::write(&settings, text).unwrap();
        let mut command = Command::new(binary_path("ragwortstalld"));
        command.arg("--config").arg(&settings);
        spawn(command, http)
    }

    /// Starts a worker VM of 4 cores and 8 GiB.
    pub fn start_worker(&mut self, zone: &str, rack: &str) {
        let http = self.next_address();
        let id = format!("vm-{}", self.workers.len());
        let mut command = Command::new(binary_path("standin-worker"));
        command
            .args([
                "--listen",
                &http.to_string(),
                "--id",
                &id,
                "--zone",
                zone,
                "--rack",
                rack,
            ])
            .args(["--cpu-milli", "4000", "--mem-mib", "8192", "--accel", "0"])
            .args(["--platform", &self.platform.http.to_string()]);
        self.workers.push(spawn(command, http));
    }

    /// Starts an endpoint of a service.
    pub fn start_endpoint(&mut self, service: &str, zone: &str, work: &str) {
        let http = self.next_address();
        let mut command = Command::new(binary_path("standin-endpoint"));
        command
            .args([
                "--listen",
                &http.to_string(),
                "--service",
                service,
                "--zone",
                zone,
            ])
            .args(["--slots", "8", "--work", work])
            .args(["--platform", &self.platform.http.to_string()]);
        self.endpoints.push(spawn(command, http));
    }

    /// Sends a request and returns the complete response.
    pub async fn send(
        &self,
        to: SocketAddr,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> ragwortstall::shell::net::Result<Response<Bytes>> {
        let mut req = Request::builder()
            .method(method)
            .uri(path)
            .header("host", to.to_string());
        for (name, value) in headers {
            req = req.header(*name, *value);
        }
        let req = req.body(Full::new(Bytes::from(body.to_owned()))).unwrap();
        self.client.send(to, req, TIMEOUT).await
    }

    /// Reads JSON from a process, authorized as the operator.
    pub async fn get_json(&self, from: SocketAddr, path: &str) -> Option<Value> {
        let headers = [("authorization", &*format!("Bearer {OPERATOR_KEY}"))];
        let res = self
            .send(from, Method::GET, path, &headers, "")
            .await
            .ok()?;
        serde_json::from_slice(res.body()).ok()
    }

    /// Sets a fault of a simulated process.
    pub async fn set_fault(&self, of: SocketAddr, fault: &str) {
        let res = self
            .send(of, Method::PUT, "/fault", &[], fault)
            .await
            .unwrap();
        assert!(res.status().is_success(), "fault {fault}: {}", res.status());
    }

    /// Writes a new record through a daemon.
    pub async fn put_record(&self, daemon: usize, key: &str, value: &Value) {
        let operator = format!("Bearer {OPERATOR_KEY}");
        let headers = [("authorization", &*operator), ("if-none-match", "*")];
        let path = format!("/v1/records/{key}");
        let to = self.daemons[daemon].http;
        let res = self
            .send(to, Method::PUT, &path, &headers, &value.to_string())
            .await
            .unwrap();
        assert_eq!(res.status(), 200, "{key}: {:?}", res.body());
    }

    /// Waits until `poll` returns a value.
    pub async fn wait_until<T, F: AsyncFnMut(&Self) -> Option<T>>(
        &self,
        what: &str,
        mut poll: F,
    ) -> T {
        let start = Instant::now();
        loop {
            if let Some(found) = poll(self).await {
                return found;
            }
            assert!(start.elapsed() < TIMEOUT, "timed out waiting for {what}");
            compio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Returns the names of the zones without repetitions.
    pub fn distinct_zones(&self) -> Vec<Box<str>> {
        let mut zones = self.zones.clone();
        zones.dedup();
        zones
    }

    fn next_address(&mut self) -> SocketAddr {
        self.last_host += 1;
        address(self.subnet, self.last_host, 7000)
    }
}

fn spawn(mut command: Command, http: SocketAddr) -> Process {
    let hide_output = std::env::var_os("CELL_LOGS").is_none();
    if hide_output {
        command.stdout(Stdio::null()).stderr(Stdio::null());
    }
    let name = command.get_program().to_owned();
    let child = command
        .spawn()
        .unwrap_or_else(|err| panic!("{}: {err}", name.display()));
    Process { child, http }
}

/// Returns the path of a binary of the workspace; `scripts/test` builds them all before the tests.
fn binary_path(name: &str) -> PathBuf {
    let directory = Path::new(env!("CARGO_BIN_EXE_ragwortstalld"))
        .parent()
        .unwrap();
    directory.join(name)
}

/// Returns the two middle octets of a loopback subnet that no other test uses, in this process or a
/// concurrent one.
fn unique_subnet() -> [u8; 2] {
    static CELLS: AtomicU8 = AtomicU8::new(64);
    let cell = CELLS.fetch_add(1, Ordering::Relaxed);
    let [process, ..] = std::process::id().to_le_bytes();
    [cell, process]
}

fn address(subnet: [u8; 2], host: u8, port: u16) -> SocketAddr {
    SocketAddr::from(([127, subnet[0], subnet[1], host], port))
}

fn daemon_addresses(subnet: [u8; 2], n: usize) -> (SocketAddr, SocketAddr) {
    let host = 10 + u8::try_from(n).unwrap();
    (address(subnet, host, 7000), address(subnet, host, 7001))
}
