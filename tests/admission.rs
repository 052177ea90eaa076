//! Tests of the server's admission of connections, over loopback: which connection is closed when a bound is
//! reached, and limits that change while connections are open.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use compio::BufResult;
use compio::io::AsyncRead;
use compio::io::AsyncWriteExt;
use compio::net::TcpStream;
use compio::runtime::Runtime;
use compio::time::sleep;
use futures_channel::oneshot;
use http::Request;
use http::Response;
use http::StatusCode;
use ragwortstall::core::model::RequestLimits;
use ragwortstall::shell::net::Admission;
use ragwortstall::shell::net::Body;
use ragwortstall::shell::net::Bounds;
use ragwortstall::shell::net::Error;
use ragwortstall::shell::net::Listener;
use ragwortstall::shell::net::MachineLimits;
use ragwortstall::shell::net::RequestBody;
use ragwortstall::shell::net::StopSender;
use ragwortstall::shell::net::listen;
use ragwortstall::shell::net::serve_http1;
use ragwortstall::shell::net::spawn_sweeps;
use ragwortstall::shell::net::stop_channel;
use ragwortstall::shell::net::text;

/// Request without a body.
const GET: &str = "GET /now HTTP/1.1\r\nHost: h\r\n\r\n";

/// Request whose handler waits until it is told to answer.
const SLOW_GET: &str = "GET /slow HTTP/1.1\r\nHost: h\r\n\r\n";

/// Bounds that no test reaches.
const WIDE: Bounds = Bounds {
    connections: 100,
    held_bytes: 1 << 20,
};

/// Server whose limits tests change.
struct Server {
    address: SocketAddr,
    limits: Rc<Cell<RequestLimits>>,
    /// Lets the handler of a slow request answer.
    release: Cell<Option<oneshot::Sender<()>>>,
    _stop: StopSender,
}

/// Client with one connection.
struct Client(TcpStream);

impl Server {
    async fn start(bounds: Bounds) -> Self {
        let limits = Rc::new(Cell::new(RequestLimits::default()));
        let in_force = Rc::clone(&limits);
        let admission = Admission::new(Listener::Clients, bounds, move || in_force.get());
        let loopback = "127.0.0.1:0".parse().expect("an address");
        let listener = listen(loopback).await.expect("listen");
        let address = listener.local_addr().expect("an address");
        let (release, released) = oneshot::channel();
        let released = Rc::new(Cell::new(Some(released)));
        let handler = Rc::new(move |req| handle(req, Rc::clone(&released)));
        let (stop, stopped) = stop_channel();
        spawn_sweeps(vec![Rc::clone(&admission)], drop);
        compio::runtime::spawn(serve_http1(listener, admission, handler, stopped)).detach();
        Self {
            address,
            limits,
            release: Cell::new(Some(release)),
            _stop: stop,
        }
    }

    async fn connect(&self) -> Client {
        Client(TcpStream::connect(self.address).await.expect("connect"))
    }

    fn change_limits(&self, change: impl FnOnce(&mut RequestLimits)) {
        let mut limits = self.limits.get();
        change(&mut limits);
        self.limits.set(limits);
    }

    fn release(&self) {
        let release = self.release.take().expect("a slow request");
        release.send(()).expect("a slow request");
    }
}

impl Client {
    async fn send(&mut self, text: &str) {
        let BufResult(sent, _) = self.0.write_all(text.to_owned().into_bytes()).await;
        sent.expect("send");
    }

    /// Returns the status of the next answer; `None` if the connection has ended.
    async fn status(&mut self) -> Option<u16> {
        let BufResult(read, buf) = self.0.read(Vec::with_capacity(4096)).await;
        let answer = String::from_utf8_lossy(&buf[..read.unwrap_or(0)]).into_owned();
        answer.split(' ').nth(1)?.parse().ok()
    }

    async fn get(&mut self) -> Option<u16> {
        self.send(GET).await;
        self.status().await
    }
}

/// Answers with the size of the body. A slow request is answered once `released` says so.
async fn handle(
    req: Request<RequestBody>,
    released: Rc<Cell<Option<oneshot::Receiver<()>>>>,
) -> Response<Body> {
    if req.uri().path() == "/slow"
        && let Some(released) = released.take()
    {
        let _ = released.await;
    }
    match req.into_body().collect().await {
        Ok(body) => text(StatusCode::OK, body.len().to_string()),
        Err(Error::TooLarge(_)) => text(StatusCode::PAYLOAD_TOO_LARGE, Bytes::new()),
        Err(_) => text(StatusCode::BAD_REQUEST, Bytes::new()),
    }
}

fn run(test: impl AsyncFnOnce()) {
    Runtime::new().expect("a runtime").block_on(test());
}

/// Returns a request with a body of `bytes` bytes.
fn post(bytes: usize) -> String {
    let body = "x".repeat(bytes);
    format!("POST /now HTTP/1.1\r\nHost: h\r\nContent-Length: {bytes}\r\n\r\n{body}")
}

/// Returns a request with a body of `bytes` bytes, without the last one of them.
fn post_without_end(bytes: usize) -> String {
    let mut text = post(bytes);
    text.pop();
    text
}

/// Returns a request with a head of about `bytes` bytes.
fn get_with_head(bytes: usize) -> String {
    let fill = "v".repeat(bytes);
    format!("GET /now HTTP/1.1\r\nHost: h\r\nx-fill: {fill}\r\n\r\n")
}

/// Guards against clients that stop short holding the places of those that complete their requests.
#[test]
fn the_connection_longest_without_a_completed_request_is_closed() {
    run(async || {
        let bounds = Bounds {
            connections: 2,
            ..WIDE
        };
        let server = Server::start(bounds).await;
        let mut ordinary = server.connect().await;
        assert_eq!(ordinary.get().await, Some(200));
        let mut unfinished = server.connect().await;
        unfinished.send("GET /now HTTP/1.1\r\n").await;
        assert_eq!(ordinary.get().await, Some(200));
        let mut newcomer = server.connect().await;
        assert_eq!(newcomer.get().await, Some(200));
        assert_eq!(unfinished.status().await, None);
        assert_eq!(ordinary.get().await, Some(200));
    });
}

/// Guards against cutting off a request that was received whole.
#[test]
fn a_request_in_work_is_answered_although_the_bound_is_reached() {
    run(async || {
        let bounds = Bounds {
            connections: 1,
            ..WIDE
        };
        let server = Server::start(bounds).await;
        let mut first = server.connect().await;
        assert_eq!(first.get().await, Some(200));
        first.send(SLOW_GET).await;
        let mut second = server.connect().await;
        assert_eq!(second.status().await, None);
        server.release();
        assert_eq!(first.status().await, Some(200));
    });
}

/// Guards against bodies that stop short holding the memory for others.
#[test]
fn the_oldest_unfinished_body_makes_room_for_a_new_one() {
    run(async || {
        let bounds = Bounds {
            held_bytes: 192 << 10,
            ..WIDE
        };
        let server = Server::start(bounds).await;
        let mut unfinished = server.connect().await;
        unfinished.send(&post_without_end(90 << 10)).await;
        let mut ordinary = server.connect().await;
        ordinary.send(&post(80 << 10)).await;
        assert_eq!(ordinary.status().await, Some(200));
        assert_eq!(unfinished.status().await, None);
    });
}

#[test]
fn a_body_over_the_limit_is_refused_by_its_stated_length() {
    run(async || {
        let server = Server::start(WIDE).await;
        server.change_limits(|limits| limits.body_bytes = 10);
        let mut client = server.connect().await;
        client
            .send("POST /now HTTP/1.1\r\nHost: h\r\nContent-Length: 11\r\n\r\n")
            .await;
        assert_eq!(client.status().await, Some(413));
    });
}

#[test]
fn a_raised_limit_on_bodies_holds_for_open_connections() {
    run(async || {
        let server = Server::start(WIDE).await;
        server.change_limits(|limits| limits.body_bytes = 10);
        let mut client = server.connect().await;
        client.send(&post(10)).await;
        assert_eq!(client.status().await, Some(200));
        server.change_limits(|limits| limits.body_bytes = 11);
        client.send(&post(11)).await;
        assert_eq!(client.status().await, Some(200));
    });
}

/// Guards against refusing a head that is legal since a change of the configuration: the connection, whose
/// parser has the former limit, is closed between two requests.
#[test]
fn a_raised_limit_on_heads_retires_open_connections() {
    run(async || {
        let server = Server::start(WIDE).await;
        let mut client = server.connect().await;
        client.send(&get_with_head(20_000)).await;
        assert_eq!(client.status().await, Some(431));
        let mut client = server.connect().await;
        assert_eq!(client.get().await, Some(200));
        server.change_limits(|limits| limits.head_bytes = 32_000);
        assert_eq!(client.status().await, None);
        let mut client = server.connect().await;
        client.send(&get_with_head(20_000)).await;
        assert_eq!(client.status().await, Some(200));
    });
}

/// Guards against a head whose end never comes holding its connection.
#[test]
fn a_head_that_is_not_completed_in_time_is_closed() {
    run(async || {
        let server = Server::start(WIDE).await;
        server.change_limits(|limits| limits.head_timeout = Duration::from_millis(100));
        let mut unfinished = server.connect().await;
        unfinished.send("GET /now HTTP/1.1\r\n").await;
        let mut idle = server.connect().await;
        assert_eq!(idle.get().await, Some(200));
        assert_eq!(unfinished.status().await, None);
        assert_eq!(idle.get().await, Some(200));
    });
}

#[test]
fn an_idle_connection_is_closed_after_its_timeout() {
    run(async || {
        let server = Server::start(WIDE).await;
        let mut idle = server.connect().await;
        assert_eq!(idle.get().await, Some(200));
        sleep(Duration::from_millis(10)).await;
        server.change_limits(|limits| limits.idle_timeout = Duration::from_millis(100));
        assert_eq!(idle.status().await, None);
    });
}

/// Guards against bounds that leave nothing for the scheduler's state or the daemon's own connections.
#[test]
fn the_bounds_of_all_listeners_are_shares_of_the_machine() {
    let machine = MachineLimits {
        memory_bytes: Some(120 << 20),
        descriptors: Some(3_075),
    };
    let listeners = [
        Listener::Clients,
        Listener::Peers,
        Listener::Probes,
        Listener::Metrics,
    ];
    let bounds = listeners.map(|listener| machine.bounds(listener));
    let connections: usize = bounds.iter().map(|bounds| bounds.connections).sum();
    let held: usize = bounds.iter().map(|bounds| bounds.held_bytes).sum();
    assert!(connections < (3_075 - 200) / 2, "{connections} connections");
    assert!(
        connections * (64 << 10) + held <= 70 << 20,
        "{connections} connections, {held} bytes"
    );
    assert!(bounds[0].held_bytes >= 40 * RequestLimits::default().body_bytes);
}
