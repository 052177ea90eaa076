//! Tests of the own cell's daemon under clients that keep no limits. Each crowd stays connected while the
//! bounds are checked, on the peak of memory (`VmHWM`) and on open descriptors, and one ordinary request is sent.

#[path = "../support/mod.rs"]
mod support;

use std::fs;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::Command;
use std::process::Stdio;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;

use ragwortstall_standins::crowd::Crowd;
use ragwortstall_standins::crowd::Script;
use ragwortstall_standins::crowd::client::exchange;
use ragwortstall_standins::crowd::client::status;
use ragwortstall_standins::crowd::http1;
use ragwortstall_standins::crowd::http2;
use ragwortstall_standins::crowd::process::Process;
use ragwortstall_standins::crowd::process::ProcessBounds;
use ragwortstall_standins::crowd::process::wait_until;
use support::cases;

/// Bounds on the process with default settings: the memory that a node spends on control at most, and the
/// connections that the memory in the settings allows, beside 200 descriptors for all else.
const BOUNDS: ProcessBounds = ProcessBounds {
    memory_mib: 128,
    descriptors: 1_224,
};

/// Connections of a crowd.
const SIZE: usize = 300;

/// Connections of a crowd that sends the largest bodies.
const LARGE_SIZE: usize = 40;

/// Connections of a crowd that sends nothing.
const SILENT_SIZE: usize = 3_000;

/// Largest legal body, in bytes.
const BODY_BYTES: usize = 8 << 20;

/// Message of a request between daemons, in bytes.
const MESSAGE_BYTES: usize = 8 << 10;

/// Frames of a byte on each of a connection's requests between daemons.
const SMALL_FRAMES: usize = 50;

/// Path of a request to a service.
const SERVICE_PATH: &str = "/v1/services/labels/panel";

/// Path of a call between daemons.
const PEER_PATH: &str = "/ragwortstall.peer.Peer/Call";

const HTTP_PORT: u16 = 7400;
const PEER_PORT: u16 = 7401;

/// Interface of the daemon.
#[derive(Clone, Copy, Debug)]
enum Listener {
    Callers,
    Peers,
}

/// A running daemon. No platform answers at its address.
struct Daemon {
    process: Process,
    ip: IpAddr,
    settings: PathBuf,
}

impl Daemon {
    fn start() -> Self {
        let ip = unique_ip();
        let file = format!("ragwortstall-cell-crowds-{}-{ip}.toml", std::process::id());
        let settings = std::env::temp_dir().join(file);
        let text = format!(
            "[daemon]\nname = \"crowds\"\nzone = \"zone-a\"\n\
             http = \"{ip}:{HTTP_PORT}\"\npeer = \"{ip}:{PEER_PORT}\"\n\
             [platform]\naddress = \"{ip}:7300\"\n"
        );
        fs::write(&settings, text).expect("write settings");
        let mut command = Command::new(env!("CARGO_BIN_EXE_ragwortstalld"));
        command.arg("--config").arg(&settings).stdout(Stdio::null());
        let daemon = Self {
            process: Process::start(command, BOUNDS).expect("start the daemon"),
            ip,
            settings,
        };
        wait_until("start", || TcpStream::connect(daemon.http()).is_ok());
        daemon
    }

    fn http(&self) -> SocketAddr {
        SocketAddr::new(self.ip, HTTP_PORT)
    }

    fn address(&self, listener: Listener) -> SocketAddr {
        match listener {
            Listener::Callers => self.http(),
            Listener::Peers => SocketAddr::new(self.ip, PEER_PORT),
        }
    }

    /// Sends one ordinary request and checks its answer.
    fn check_answer(&self, listener: Listener) {
        let address = self.address(listener);
        match listener {
            Listener::Callers => {
                let req = b"GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n";
                assert_eq!(status(address, req).expect("an answer"), 200);
            }
            Listener::Peers => {
                let req = http2::request(PEER_PATH);
                exchange(address, &req, http2::has_answer).expect("an answer");
            }
        }
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = fs::remove_file(&self.settings);
    }
}

/// Checks that a crowd neither ends the process, nor takes it over its bounds, nor keeps it from answering.
fn crowd(listener: Listener, size: usize, scripts: &[Script]) {
    static LOCK: Mutex<()> = Mutex::new(());
    let _alone = LOCK.lock().unwrap_or_else(PoisonError::into_inner);
    let mut daemon = Daemon::start();
    let mut crowd = Crowd::new(daemon.address(listener), size, scripts);
    crowd.send();
    daemon.process.check();
    daemon.check_answer(listener);
    daemon.process.check();
    drop(crowd);
    daemon.check_answer(Listener::Callers);
}

cases! { crowd;
    one_header_without_end(Listener::Callers, SIZE, &[http1::endless_header(SERVICE_PATH)]),
    headers_without_end(Listener::Callers, SIZE, &[http1::endless_headers(SERVICE_PATH)]),
    empty_lines_without_end(Listener::Callers, SIZE, &[http1::empty_lines()]),
    bodies_that_stop_short(
        Listener::Callers,
        LARGE_SIZE,
        &[http1::short_body(SERVICE_PATH, BODY_BYTES)],
    ),
    large_chunks_that_stop_short(
        Listener::Callers,
        LARGE_SIZE,
        &[http1::large_chunks(SERVICE_PATH, BODY_BYTES)],
    ),
    single_chunks_that_stop_short(Listener::Callers, SIZE, &[http1::single_chunks(SERVICE_PATH)]),
    metrics_not_read(Listener::Callers, SIZE, &[http1::unread_answers("/metrics")]),
    silent_connections(Listener::Callers, SILENT_SIZE, &[http1::silence()]),
    peers_heads_without_end(Listener::Peers, SIZE, &[http2::endless_head(PEER_PATH)]),
    peers_messages_that_stop_short(
        Listener::Peers,
        SIZE,
        &[http2::short_messages(PEER_PATH, MESSAGE_BYTES)],
    ),
    peers_small_frames(
        Listener::Peers,
        SIZE,
        &[http2::small_frames(PEER_PATH, SMALL_FRAMES)],
    ),
    peers_silent_connections(Listener::Peers, SILENT_SIZE, &[http2::silence()]),
}

/// Returns a loopback address that no other daemon of this process uses.
fn unique_ip() -> IpAddr {
    static LAST: AtomicU8 = AtomicU8::new(0);
    let host = LAST.fetch_add(1, Ordering::Relaxed) + 1;
    let [.., pid_high, pid_low] = std::process::id().to_be_bytes();
    IpAddr::V4(Ipv4Addr::new(127, pid_high.max(1), pid_low, host))
}
