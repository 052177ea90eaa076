//! Tests of the HTTP client with responses whose bodies arrive in pieces, over loopback.

use std::cell::Cell;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use compio::io::AsyncRead;
use compio::io::AsyncWriteExt;
use compio::net::TcpListener;
use compio::net::TcpStream;
use compio::time::sleep;
use futures_util::future::join;
use http::Request;
use http::header::HOST;
use http_body_util::Full;
use ragwortstall::shell::net::CallLabel;
use ragwortstall::shell::net::Client;
use ragwortstall::shell::net::ClientOptions;
use ragwortstall::shell::net::Error;
use ragwortstall::shell::net::listen;
use ragwortstall::shell::workload::meters;

/// Timeout of the calls.
const TIMEOUT: Duration = Duration::from_secs(2);

/// Time between two pieces of a body.
const INTERVAL: Duration = Duration::from_millis(300);

/// Piece of a body.
const PIECE: &str = "0123456789";

/// Labels of the counted calls.
const LABEL: CallLabel = CallLabel {
    request: "watch",
    feed: "jobs",
};

/// Behaviour of the server.
#[derive(Clone, Copy)]
struct Script {
    /// Number of pieces that the head announces; `None` for no head.
    announced: Option<usize>,
    /// Number of pieces that are sent.
    sent: usize,
    /// Whether the connection is closed after the last piece, or instead of a head.
    close: bool,
}

/// Server that answers each request according to a script.
struct Server {
    script: Cell<Script>,
    address: SocketAddr,
    connections: Cell<usize>,
    last_sent_at: Cell<Instant>,
}

impl Server {
    async fn start(script: Script) -> Rc<Self> {
        let listener = listen(([127, 0, 0, 1], 0).into()).await.unwrap();
        let server = Rc::new(Self {
            script: Cell::new(script),
            address: listener.local_addr().unwrap(),
            connections: Cell::new(0),
            last_sent_at: Cell::new(Instant::now()),
        });
        compio::runtime::spawn(Rc::clone(&server).serve(listener)).detach();
        server
    }

    async fn serve(self: Rc<Self>, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            self.connections.set(self.connections.get() + 1);
            compio::runtime::spawn(Rc::clone(&self).answer(stream)).detach();
        }
    }

    /// Answers the requests of a connection until the client closes it.
    async fn answer(self: Rc<Self>, mut stream: TcpStream) {
        loop {
            let (read, _) = stream.read(Vec::with_capacity(4096)).await.into();
            if read.unwrap_or(0) == 0 {
                return;
            }
            let script = self.script.get();
            let Some(announced) = script.announced else {
                if script.close {
                    return;
                }
                continue;
            };
            let length = announced * PIECE.len();
            let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n");
            let mut sent = stream.write_all(head.into_bytes()).await.0;
            for _ in 0..script.sent {
                sleep(INTERVAL).await;
                self.last_sent_at.set(Instant::now());
                sent = sent.and(stream.write_all(PIECE).await.0);
            }
            if sent.is_err() || script.close {
                return;
            }
        }
    }

    fn request(&self) -> Request<Full<Bytes>> {
        let mut req = Request::get("/")
            .header(HOST, self.address.to_string())
            .body(Full::default())
            .unwrap();
        req.extensions_mut().insert(LABEL);
        req
    }
}

fn run(test: impl AsyncFnOnce()) {
    compio::runtime::Runtime::new().unwrap().block_on(test());
}

/// Returns the metrics page after one call to a server that follows `script`.
fn page_after_call(script: Script, check: impl FnOnce(Result<Bytes, Error>)) -> String {
    let recorder = meters::recorder_builder().unwrap().build_recorder();
    metrics::with_local_recorder(&recorder, || {
        run(async || {
            let server = Server::start(script).await;
            let client = Client::new(ClientOptions::default());
            let res = client.send(server.address, server.request(), TIMEOUT).await;
            check(res.map(http::Response::into_body));
        });
    });
    recorder.handle().render()
}

fn has_line(page: &str, line: &str) -> bool {
    page.lines().any(|have| have == line)
}

/// The bytes of a complete answer are counted under the labels of its call.
#[test]
fn received_bytes_of_complete_answer_are_counted() {
    let script = Script {
        announced: Some(2),
        sent: 2,
        close: false,
    };
    let page = page_after_call(script, |res| assert_eq!(res.unwrap().len(), 20));
    let line = "ragwortstall_received_bytes_total{request=\"watch\",feed=\"jobs\"} 20";
    assert!(has_line(&page, line), "{page}");
    assert!(!page.contains("ragwortstall_answers_timed_out_total"));
}

/// The bytes of an answer that is cut off are counted, but not as a timeout.
#[test]
fn received_bytes_of_cut_off_answer_are_counted() {
    let script = Script {
        announced: Some(3),
        sent: 2,
        close: true,
    };
    let page = page_after_call(script, |res| {
        assert!(matches!(res, Err(Error::IncompleteResponse(..))), "{res:?}");
    });
    let line = "ragwortstall_received_bytes_total{request=\"watch\",feed=\"jobs\"} 20";
    assert!(has_line(&page, line), "{page}");
    assert!(!page.contains("ragwortstall_answers_timed_out_total"));
}

/// The bytes of an answer that times out part-way are counted, and the call too.
#[test]
fn received_bytes_of_timed_out_answer_are_counted() {
    let script = Script {
        announced: Some(3),
        sent: 2,
        close: false,
    };
    let page = page_after_call(script, |res| {
        assert!(matches!(res, Err(Error::ResponseTimeout(_))), "{res:?}");
    });
    let line = "ragwortstall_received_bytes_total{request=\"watch\",feed=\"jobs\"} 20";
    assert!(has_line(&page, line), "{page}");
    let line = "ragwortstall_answers_timed_out_total{request=\"watch\",feed=\"jobs\"} 1";
    assert!(has_line(&page, line), "{page}");
}

/// A call that times out before an answer counts neither bytes nor a timed-out answer.
#[test]
fn call_without_answer_is_not_counted() {
    let script = Script {
        announced: None,
        sent: 0,
        close: false,
    };
    let page = page_after_call(script, |res| {
        assert!(matches!(res, Err(Error::ResponseTimeout(_))), "{res:?}");
    });
    assert!(
        !page.contains("ragwortstall_received_bytes_total"),
        "{page}"
    );
    assert!(
        !page.contains("ragwortstall_answers_timed_out_total"),
        "{page}"
    );
}

/// An answer whose pieces each arrive within the timeout is read completely, even if all of it takes
/// longer than the timeout.
#[test]
fn fetch_reads_answer_that_takes_longer_than_the_timeout() {
    run(async || {
        let server = Server::start(Script {
            announced: Some(10),
            sent: 10,
            close: false,
        })
        .await;
        let client = Client::new(ClientOptions::default());
        let started = Instant::now();
        let res = client
            .fetch(server.address, server.request(), TIMEOUT)
            .await;
        assert_eq!(&*res.unwrap().into_body(), PIECE.repeat(10).as_bytes());
        assert!(started.elapsed() > TIMEOUT);
        assert_eq!(client.idle_count(server.address), 1);
    });
}

/// The deadline of `send` includes the whole answer.
#[test]
fn send_fails_if_the_answer_takes_longer_than_the_timeout() {
    run(async || {
        let server = Server::start(Script {
            announced: Some(10),
            sent: 10,
            close: false,
        })
        .await;
        let client = Client::new(ClientOptions::default());
        let started = Instant::now();
        let res = client.send(server.address, server.request(), TIMEOUT).await;
        assert!(matches!(res, Err(Error::ResponseTimeout(_))), "{res:?}");
        assert!(started.elapsed() < TIMEOUT * 2);
    });
}

/// An answer that stops part-way fails one timeout after its last byte, and the next request gets a
/// new connection.
#[test]
fn fetch_fails_one_timeout_after_the_last_byte() {
    run(async || {
        let server = Server::start(Script {
            announced: Some(10),
            sent: 3,
            close: false,
        })
        .await;
        let client = Client::new(ClientOptions::default());
        for connections in 1..=2 {
            let res = client
                .fetch(server.address, server.request(), TIMEOUT)
                .await;
            let waited = server.last_sent_at.get().elapsed();
            let err = res.unwrap_err();
            assert!(matches!(err, Error::Stalled(_)), "{err}");
            assert!(err.may_have_been_received());
            assert!(waited >= TIMEOUT && waited < TIMEOUT * 2, "{waited:?}");
            assert_eq!(client.idle_count(server.address), 0);
            assert_eq!(server.connections.get(), connections);
        }
    });
}

/// Idle connections that are older than an exchange that stopped part-way are not reused.
#[test]
fn stalled_fetch_invalidates_older_connections() {
    run(async || {
        let complete = Script {
            announced: Some(1),
            sent: 1,
            close: false,
        };
        let server = Server::start(complete).await;
        let client = Client::new(ClientOptions::default());
        let fetch = || client.fetch(server.address, server.request(), TIMEOUT);
        let (first, second) = join(fetch(), fetch()).await;
        assert!(first.is_ok() && second.is_ok());
        assert_eq!(client.idle_count(server.address), 2);
        server.script.set(Script {
            sent: 0,
            ..complete
        });
        let res = fetch().await;
        assert!(matches!(res, Err(Error::Stalled(_))), "{res:?}");
        assert_eq!(server.connections.get(), 2);
        server.script.set(complete);
        assert!(fetch().await.is_ok());
        assert_eq!(server.connections.get(), 3);
    });
}

/// Guards against a request that is sent again on a connection which the server closes as well.
#[test]
fn a_broken_connection_invalidates_older_connections() {
    run(async || {
        let complete = Script {
            announced: Some(1),
            sent: 1,
            close: false,
        };
        let server = Server::start(complete).await;
        let client = Client::new(ClientOptions::default());
        let send = || client.send(server.address, server.request(), TIMEOUT);
        let (first, second) = join(send(), send()).await;
        assert!(first.is_ok() && second.is_ok());
        assert_eq!(client.idle_count(server.address), 2);
        server.script.set(Script {
            announced: None,
            sent: 0,
            close: true,
        });
        let err = send().await.unwrap_err();
        assert!(matches!(err, Error::IncompleteResponse(..)), "{err}");
        assert!(err.is_connection_broken());
        assert_eq!(server.connections.get(), 2);
        server.script.set(complete);
        assert!(send().await.is_ok());
        assert_eq!(server.connections.get(), 3);
    });
}

/// A request without an answer fails after the timeout.
#[test]
fn fetch_without_answer_fails_after_the_timeout() {
    run(async || {
        let server = Server::start(Script {
            announced: None,
            sent: 0,
            close: false,
        })
        .await;
        let client = Client::new(ClientOptions::default());
        let started = Instant::now();
        let res = client
            .fetch(server.address, server.request(), TIMEOUT)
            .await;
        let err = res.unwrap_err();
        assert!(matches!(err, Error::ResponseTimeout(_)), "{err}");
        assert!(err.may_have_been_received());
        assert!(!err.is_connection_broken());
        let elapsed = started.elapsed();
        assert!(elapsed >= TIMEOUT && elapsed < TIMEOUT * 2, "{elapsed:?}");
    });
}

/// An answer that never ends fails at the limit on the whole answer.
#[test]
fn fetch_of_endless_answer_fails_at_the_limit() {
    run(async || {
        let server = Server::start(Script {
            announced: Some(1_000_000),
            sent: 1_000_000,
            close: false,
        })
        .await;
        let max_transfer = TIMEOUT * 3;
        let client = Client::new(ClientOptions {
            max_transfer,
            ..ClientOptions::default()
        });
        let started = Instant::now();
        let res = client
            .fetch(server.address, server.request(), TIMEOUT)
            .await;
        let err = res.unwrap_err();
        assert!(matches!(err, Error::TooSlow(_)), "{err}");
        assert!(err.may_have_been_received());
        let elapsed = started.elapsed();
        assert!(
            elapsed >= max_transfer && elapsed < max_transfer + TIMEOUT,
            "{elapsed:?}"
        );
        assert_eq!(client.idle_count(server.address), 0);
    });
}

/// Time that the thread of the client is busy while the answer arrives, past the timeout.
const BUSY: Duration = Duration::from_millis(900);

/// Starts a server on a thread of its own that answers one request after `delay`.
fn start_on_other_thread(delay: Duration) -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut buf = [0; 4096];
        let _ = stream.read(&mut buf).unwrap();
        std::thread::sleep(delay);
        let answer = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
        stream.write_all(answer.as_bytes()).unwrap();
        // Keeps the connection open until the client has closed it.
        let _ = stream.read(&mut buf);
    });
    address
}

/// Guards against a server that counts as silent as this process was busy when its answer arrived.
#[test]
fn an_answer_that_waits_for_a_busy_client_is_not_late() {
    run(async || {
        let address = start_on_other_thread(Duration::from_millis(100));
        let client = Client::new(ClientOptions::default());
        let req = Request::get("/").header(HOST, "server");
        let req = req.body(Full::default()).unwrap();
        let exchange = client.send(address, req, BUSY / 2);
        let busy = async {
            sleep(Duration::from_millis(50)).await;
            std::thread::sleep(BUSY);
        };
        let (result, ()) = join(exchange, busy).await;
        assert!(result.is_ok(), "{result:?}");
    });
}
