//! Test of the memory that the server takes for a head. The system's allocator maps each block of more than
//! 64 KiB anew here, so that page faults show such blocks.

use std::env;
use std::fs;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::process::Command;
use std::rc::Rc;
use std::thread;
use std::time::Duration;

use compio::runtime::Runtime;
use http::Request;
use http::StatusCode;
use ragwortstall::core::model::RequestLimits;
use ragwortstall::shell::net::Admission;
use ragwortstall::shell::net::Bounds;
use ragwortstall::shell::net::Listener;
use ragwortstall::shell::net::RequestBody;
use ragwortstall::shell::net::listen;
use ragwortstall::shell::net::serve_http1;
use ragwortstall::shell::net::stop_channel;
use ragwortstall::shell::net::text;

/// Setting of the allocator: the size from which blocks are mapped on their own.
const MAP_SETTING: (&str, &str) = ("MALLOC_MMAP_THRESHOLD_", "65536");

/// Number of requests that warm up the server.
const WARM_UP: usize = 50;

/// Number of requests whose page faults are counted. A table of a head causes one or more for each.
const REQUESTS: usize = 500;

/// Interval at which the server checks whether the client is done.
const POLL: Duration = Duration::from_millis(5);

/// Number of headers of a head that needs large blocks.
const LONG_HEAD_HEADERS: usize = 150;

const PROBE: &str = "GET /health HTTP/1.1\r\nHost: h\r\nUser-Agent: probe\r\n\r\n";

/// Number of lines in the body of a call.
const BODY_LINES: usize = 300;

/// Guards against large tables of headers for heads that have few.
#[test]
fn small_heads_take_no_large_blocks() {
    if env::var(MAP_SETTING.0).is_ok() {
        for request in [PROBE.into(), call()] {
            let faults = faults_of(request);
            assert!(
                faults < REQUESTS / 2,
                "{faults} page faults in {REQUESTS} requests"
            );
        }
        // The count shows large blocks on this system.
        assert!(faults_of(long_head()) >= REQUESTS);
        return;
    }
    let status = Command::new(env::current_exe().expect("this program"))
        .args(["--exact", "small_heads_take_no_large_blocks", "--nocapture"])
        .env(MAP_SETTING.0, MAP_SETTING.1)
        .status();
    assert!(status.expect("run this program").success());
}

fn call() -> String {
    let body = "{}\n".repeat(BODY_LINES);
    let bytes = body.len();
    format!(
        "POST /jobs HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer k\r\nContent-Length: {bytes}\r\n\r\n{body}"
    )
}

fn long_head() -> String {
    let lines = "a:\r\n".repeat(LONG_HEAD_HEADERS);
    format!("GET / HTTP/1.1\r\n{lines}\r\n")
}

/// Returns the page faults of this process while it serves a number of requests on one connection.
fn faults_of(request: String) -> usize {
    Runtime::new().expect("a runtime").block_on(async {
        let bounds = Bounds {
            connections: 10,
            held_bytes: 1 << 20,
        };
        let admission = Admission::new(Listener::Clients, bounds, RequestLimits::default);
        let loopback = "127.0.0.1:0".parse().expect("an address");
        let listener = listen(loopback).await.expect("listen");
        let address = listener.local_addr().expect("an address");
        let handler = Rc::new(|req: Request<RequestBody>| async {
            let body = req.into_body().collect().await.expect("a body");
            text(StatusCode::OK, body)
        });
        let (stop, stopped) = stop_channel();
        let client = thread::spawn(move || count_faults(address, &request));
        let serving = compio::runtime::spawn(serve_http1(listener, admission, handler, stopped));
        while !client.is_finished() {
            compio::time::sleep(POLL).await;
        }
        stop.send();
        let _ = serving.await;
        client.join().expect("a client")
    })
}

fn count_faults(address: SocketAddr, request: &str) -> usize {
    let mut stream = TcpStream::connect(address).expect("connect");
    let mut buf = [0; 4096];
    let mut send = |count| {
        for _ in 0..count {
            stream.write_all(request.as_bytes()).expect("send");
            let len = stream.read(&mut buf).expect("an answer");
            assert!(buf[..len].starts_with(b"HTTP/1.1 200"));
        }
    };
    send(WARM_UP);
    let before = page_faults();
    send(REQUESTS);
    page_faults() - before
}

/// Returns the page faults of this process that needed no disk.
fn page_faults() -> usize {
    let stat = fs::read_to_string("/proc/self/stat").expect("statistics");
    let (_, fields) = stat.rsplit_once(')').expect("a name");
    let faults = fields.split_whitespace().nth(7);
    faults.expect("a field").parse().expect("a number")
}
