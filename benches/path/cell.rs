//! Cell under test: a daemon in a separate process, with stand-ins for the platform and the
//! endpoints in threads.

use std::env;
use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::rc::Rc;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header::AUTHORIZATION;
use http::header::HOST;
use http::header::IF_NONE_MATCH;
use http_body_util::Full;
use ragwortstall::core::key;
use ragwortstall::core::model::Member;
use ragwortstall::core::model::MemberRole;
use ragwortstall::core::model::MemberState;
use ragwortstall::shell::net::Client;
use ragwortstall::shell::net::ClientOptions;
use ragwortstall::shell::net::listen;
use ragwortstall_standins::endpoint::EndpointServer;
use ragwortstall_standins::platform::Platform;
use ragwortstall_standins::platform::serve;

use crate::Result;

/// Path of the service on the daemon.
pub const SERVICE_PATH: &str = "/v1/services/labels/";

/// Number of endpoints of the service.
const ENDPOINT_COUNT: usize = 16;

/// Maximum number of concurrent requests of each endpoint.
const SLOTS: u32 = 8;

/// Duration of each request on its endpoint.
const WORK: Duration = Duration::from_millis(1);

/// Secret of the operator's key.
const OPERATOR_SECRET: &str = "operator";

/// Time limit of a call while the cell starts.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum number of attempts to get an answer from the service.
const MAX_ATTEMPTS: u32 = 100;

/// Time between two attempts.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// A running cell.
pub struct Cell {
    /// Addresses of the endpoints.
    pub endpoints: Vec<SocketAddr>,
    /// Address of the daemon.
    pub daemon: SocketAddr,
    /// Process ID of the daemon.
    pub pid: u32,
    child: Child,
    dir: PathBuf,
}

impl Drop for Cell {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_dir_all(&self.dir);
    }
}

impl Cell {
    /// Starts the cell and waits until the service answers through the daemon.
    pub async fn start() -> Result<Self> {
        let endpoints = start_endpoints();
        let daemon = free_address().await?;
        let peer = free_address().await?;
        let platform = start_platform(members(daemon, peer, &endpoints))?;
        let dir = env::temp_dir().join(format!("ragwortstall-path-{}", std::process::id()));
        fs::create_dir_all(&dir)?;
        let settings = dir.join("daemon.toml");
        let hash = key::hash(OPERATOR_SECRET);
        let text = format!(
            "[daemon]\nname = \"d0\"\nzone = \"east\"\nhttp = \"{daemon}\"\npeer = \"{peer}\"\n\
             operator_key_sha256 = \"{hash}\"\n\n[platform]\naddress = \"{platform}\"\n"
        );
        fs::write(&settings, text)?;
        let child = Command::new(env!("CARGO_BIN_EXE_ragwortstalld"))
            .arg("--config")
            .arg(&settings)
            .stdout(Stdio::null())
            .spawn()?;
        let cell = Self {
            endpoints,
            daemon,
            pid: child.id(),
            child,
            dir,
        };
        cell.create_service().await?;
        Ok(cell)
    }

    /// Creates the service's record and waits for the service's first answer.
    async fn create_service(&self) -> Result<()> {
        let record = "{\"schema\":1,\"team\":\"bench\",\"open\":true}";
        let client = Client::new(ClientOptions::default());
        for _ in 0..MAX_ATTEMPTS {
            compio::time::sleep(RETRY_INTERVAL).await;
            let write = Request::put("/v1/records/service/labels")
                .header(HOST, "daemon")
                .header(AUTHORIZATION, format!("Bearer {OPERATOR_SECRET}"))
                .header(IF_NONE_MATCH, "*")
                .body(Full::new(Bytes::from_static(record.as_bytes())))?;
            let _ = client.send(self.daemon, write, CALL_TIMEOUT).await;
            let read = Request::get(SERVICE_PATH)
                .header(HOST, "daemon")
                .body(Full::default())?;
            let res = client.send(self.daemon, read, CALL_TIMEOUT).await;
            if res.is_ok_and(|res: Response<Bytes>| res.status() == StatusCode::OK) {
                return Ok(());
            }
        }
        Err(format!("the service did not answer within {MAX_ATTEMPTS} attempts").into())
    }
}

fn members(daemon: SocketAddr, peer: SocketAddr, endpoints: &[SocketAddr]) -> Vec<Member> {
    let entry = MemberRole::Entry {
        peer: peer.to_string().into(),
    };
    let role = MemberRole::Endpoint {
        service: "labels".into(),
        slots: SLOTS,
        connections: 64,
    };
    let mut members = vec![member("d0", daemon, entry)];
    for address in endpoints {
        members.push(member(&address.to_string(), *address, role.clone()));
    }
    members
}

fn member(id: &str, address: SocketAddr, role: MemberRole) -> Member {
    Member {
        id: id.into(),
        address: address.to_string().into(),
        zone: "east".into(),
        role,
        state: MemberState::Live,
    }
}

fn start_platform(members: Vec<Member>) -> Result<SocketAddr> {
    let (tx, rx) = mpsc::channel();
    thread::spawn(move || {
        let runtime = compio::runtime::Runtime::new().expect("create a runtime for the platform");
        runtime.block_on(async move {
            let listener = listen(loopback())
                .await
                .expect("bind a socket for the platform");
            let _ = tx.send(
                listener
                    .local_addr()
                    .expect("read the address of a bound socket"),
            );
            let mut platform = Platform::default();
            for member in members {
                platform.add_member(member);
            }
            serve(listener, platform).await;
        });
    });
    Ok(rx.recv()?)
}

fn start_endpoints() -> Vec<SocketAddr> {
    let (tx, rx) = mpsc::channel();
    thread::spawn(move || {
        let runtime = compio::runtime::Runtime::new().expect("create a runtime for the endpoints");
        runtime.block_on(async move {
            for _ in 0..ENDPOINT_COUNT {
                let listener = listen(loopback())
                    .await
                    .expect("bind a socket for an endpoint");
                let _ = tx.send(
                    listener
                        .local_addr()
                        .expect("read the address of a bound socket"),
                );
                let server = Rc::new(EndpointServer::new(SLOTS, WORK));
                compio::runtime::spawn(server.serve(listener)).detach();
            }
            drop(tx);
            std::future::pending::<()>().await;
        });
    });
    rx.iter().collect()
}

/// Returns a loopback address that no socket was bound to when it was chosen.
async fn free_address() -> Result<SocketAddr> {
    Ok(listen(loopback()).await?.local_addr()?)
}

fn loopback() -> SocketAddr {
    ([127, 0, 0, 1], 0).into()
}
