//! Tests that heads of many headers are served or refused alike, wherever on a connection they are and however
//! they are cut up.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::rc::Rc;
use std::thread;
use std::time::Duration;

use compio::runtime::Runtime;
use http::Request;
use http::Response;
use http::StatusCode;
use ragwortstall::core::model::RequestLimits;
use ragwortstall::shell::net::Admission;
use ragwortstall::shell::net::Body;
use ragwortstall::shell::net::Bounds;
use ragwortstall::shell::net::Listener;
use ragwortstall::shell::net::RequestBody;
use ragwortstall::shell::net::listen;
use ragwortstall::shell::net::serve_http1;
use ragwortstall::shell::net::stop_channel;
use ragwortstall::shell::net::text;

use crate::support::cases;

mod support;

/// Interval at which the server checks whether the client is done.
const POLL: Duration = Duration::from_millis(5);

/// Pause between parts, in which the server reads what was sent.
const PAUSE: Duration = Duration::from_millis(2);

/// Time after which a client waits for no more answers.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

/// Time that the handler takes for a slow request.
const SLOW: Duration = Duration::from_millis(100);

/// Largest number of headers that a client's head can have by its bytes.
const MOST: usize = 4_000;

/// Guards against refusing, mixing up or losing requests around a head of many headers: those that are sent at
/// once get these statuses.
fn at_once(requests: &[String], statuses: &[u16]) {
    check(&[requests.concat().as_bytes()], statuses);
}

/// Guards against the same for requests that are sent in parts of this size.
fn in_parts(requests: &[String], size: usize, statuses: &[u16]) {
    let bytes = requests.concat().into_bytes();
    let parts: Vec<&[u8]> = bytes.chunks(size).collect();
    check(&parts, statuses);
}

cases! { at_once;
    no_header(&[head("/", 0)], &[200]),
    hundred(&[head("/", 100)], &[200]),
    one_more(&[head("/", 101)], &[200]),
    most(&[head("/", MOST)], &[200]),
    most_after_few(&[head("/", 5), head("/", MOST)], &[200, 200]),
    most_between_others(&[post("/", 10), head("/", MOST), post("/", 400), head("/", 3)], &[200; 4]),
    most_after_a_body_of_lines(&[post("/", 400), head("/", MOST)], &[200, 200]),
    most_after_a_body_of_empty_lines(&[with_body("/", &"\n".repeat(300)), head("/", MOST)], &[200, 200]),
    most_after_a_body_that_is_not_read(&[post("/unread", 30), head("/", MOST)], &[200, 200]),
    most_while_another_is_in_work(&[head("/slow", 3), head("/", MOST)], &[200, 200]),
    most_while_one_with_a_body_is_in_work(&[post("/slow", 200), head("/", MOST)], &[200, 200]),
    most_after_chunks(&[chunked("Transfer-Encoding"), head("/", MOST)], &[200, 200]),
    most_after_chunks_in_lower_case(&[chunked("transfer-encoding"), head("/", MOST)], &[200, 200]),
    end_after_chunks_that_are_not_read(
        &[chunked("Transfer-Encoding").replace("POST /", "POST /unread"), head("/", MOST)],
        &[200]
    ),
    most_after_empty_lines(&["\r\n\n\r\n".into(), head("/", MOST)], &[200]),
    most_after_bare_line_ends(&[head("/", 5).replace("\r\n", "\n"), head("/", MOST).replace("\r\n", "\n")], &[200, 200]),
    many_twice(&[head("/", 150), head("/", 150)], &[200, 200]),
    few_many_times(&vec![head("/", 60); 20], &[200; 20]),
    body_after_many(&[with_headers("/", 500, "a\n\nb"), post("/", 3)], &[200, 200]),
    more_than_the_bytes_allow(&[head("/", 6_000)], &[431]),
    more_than_the_bytes_allow_after_few(&[head("/", 3), head("/", 6_000)], &[200, 431]),
    last_request_before_many(&[closing(), head("/", MOST)], &[200]),
    invalid_after_many(&[head("/", 300), "GET\r\n\r\n".into()], &[200, 400]),
}

cases! { in_parts;
    hundred_in_parts(&[head("/", 100)], 7, &[200]),
    one_more_in_parts(&[head("/", 101)], 7, &[200]),
    many_byte_by_byte(&[head("/", 110)], 1, &[200]),
    pairs_in_parts(&[head("/", 3), head("/", 150), post("/", 150)], 11, &[200; 3]),
    bodies_in_parts(&[post("/", 150), head("/", 150), post("/", 150)], 13, &[200; 3]),
    chunks_in_parts(&[chunked("Transfer-Encoding"), head("/", 150)], 3, &[200; 2]),
    slow_in_parts(&[post("/slow", 150), head("/", 300)], 100, &[200; 2]),
    most_in_parts(&[head("/", 10), head("/", MOST)], 1_000, &[200; 2]),
}

/// Guards against losing an answer that is being sent when the next head has many headers.
#[test]
fn large_answer_before_many_headers() {
    at_once(&[head("/large", 2), head("/", MOST)], &[200, 200]);
}

/// Guards against dropping a head of many headers that is being received when the server stops.
#[test]
fn stop_in_a_head_of_many_headers() {
    serve(|address, stop| {
        let mut stream = connect(address);
        let bytes = head("/", 1_000).into_bytes();
        let (first, second) = bytes.split_at(bytes.len() / 2);
        stream.write_all(first).expect("send");
        thread::sleep(SLOW);
        stop();
        thread::sleep(SLOW);
        stream.write_all(second).expect("send");
        assert_eq!(read_statuses(&mut stream, 1), [200]);
    });
}

fn check(parts: &[&[u8]], statuses: &[u16]) {
    serve(|address, _| {
        let mut stream = connect(address);
        for (n, part) in parts.iter().enumerate() {
            if n > 0 {
                thread::sleep(PAUSE);
            }
            stream.write_all(part).expect("send");
        }
        assert_eq!(read_statuses(&mut stream, statuses.len()), statuses);
    });
}

/// Runs a client, which gets the server's address and a function that stops it.
fn serve(client: impl FnOnce(SocketAddr, &dyn Fn()) + Send) {
    let (send_address, address) = std::sync::mpsc::channel();
    let (send_stop, stops) = std::sync::mpsc::channel();
    thread::scope(|scope| {
        let client = scope.spawn(move || {
            let address = address.recv().expect("an address");
            client(address, &|| send_stop.send(()).expect("a server"));
        });
        let run = async {
            let bounds = Bounds {
                connections: 10,
                held_bytes: 8 << 20,
            };
            let admission = Admission::new(Listener::Clients, bounds, RequestLimits::default);
            let loopback = "127.0.0.1:0".parse().expect("an address");
            let listener = listen(loopback).await.expect("listen");
            let address = listener.local_addr().expect("an address");
            let (stop, stopped) = stop_channel();
            let serving = serve_http1(listener, admission, Rc::new(handle), stopped);
            let serving = compio::runtime::spawn(serving);
            send_address.send(address).expect("a client");
            while !client.is_finished() {
                if stops.try_recv().is_ok() {
                    stop.send();
                }
                compio::time::sleep(POLL).await;
            }
            stop.send();
            let _ = serving.await;
        };
        Runtime::new().expect("a runtime").block_on(run);
    });
}

/// Answers as the path says.
async fn handle(req: Request<RequestBody>) -> Response<Body> {
    let path = req.uri().path().to_owned();
    if path == "/unread" {
        return text(StatusCode::OK, "unread");
    }
    let body = req.into_body().collect().await.expect("a body");
    if path == "/slow" {
        compio::time::sleep(SLOW).await;
    }
    if path == "/large" {
        return text(StatusCode::OK, vec![b'x'; 4 << 20]);
    }
    text(StatusCode::OK, body.len().to_string())
}

fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).expect("connect");
    let timeout = Some(ANSWER_TIMEOUT);
    stream.set_read_timeout(timeout).expect("a timeout");
    stream
}

/// Returns the statuses of answers: as many as are expected, or fewer if the connection ends before. Nothing
/// may follow within a short time.
fn read_statuses(stream: &mut TcpStream, expected: usize) -> Vec<u16> {
    let mut received = Vec::new();
    let mut buf = vec![0; 64 << 10];
    while statuses(&received).len() < expected {
        match stream.read(&mut buf) {
            Ok(0) | Err(_) => return statuses(&received),
            Ok(len) => received.extend_from_slice(&buf[..len]),
        }
    }
    stream.set_read_timeout(Some(SLOW)).expect("a timeout");
    while let Ok(len @ 1..) = stream.read(&mut buf) {
        received.extend_from_slice(&buf[..len]);
    }
    statuses(&received)
}

fn statuses(received: &[u8]) -> Vec<u16> {
    let received = String::from_utf8_lossy(received);
    let answers = received.split("HTTP/1.1 ").skip(1);
    answers
        .map(|answer| answer[..3].parse().expect("a status"))
        .collect()
}

/// Returns a request without a body that has this number of headers.
fn head(path: &str, headers: usize) -> String {
    let lines = "a:\r\n".repeat(headers);
    format!("GET {path} HTTP/1.1\r\n{lines}\r\n")
}

/// Returns a request with a body of this number of lines.
fn post(path: &str, lines: usize) -> String {
    with_body(path, &"{}\n".repeat(lines))
}

fn with_body(path: &str, body: &str) -> String {
    with_headers(path, 2, body)
}

fn with_headers(path: &str, headers: usize, body: &str) -> String {
    let lines = "a:\r\n".repeat(headers);
    let bytes = body.len();
    format!("POST {path} HTTP/1.1\r\n{lines}Content-Length: {bytes}\r\n\r\n{body}")
}

/// Returns a request whose body has chunks of many lines.
fn chunked(name: &str) -> String {
    let chunk = format!("c8\r\n{}\r\n", "\n".repeat(200));
    format!("POST / HTTP/1.1\r\n{name}: chunked\r\n\r\n{chunk}{chunk}0\r\n\r\n")
}

/// Returns a request after which the client wants no more answers.
fn closing() -> String {
    "GET /slow HTTP/1.1\r\nConnection: close\r\n\r\n".into()
}
