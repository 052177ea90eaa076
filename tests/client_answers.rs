//! Tests of the HTTP client with responses whose bodies arrive in pieces, over loopback.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use compio::io::AsyncRead;
use compio::io::AsyncWriteExt;
use compio::net::TcpListener;
use compio::net::TcpStream;
use compio::time::sleep;
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
const TIMEOUT: Duration = Duration::from_millis(500);

/// Time between two pieces of a body.
const INTERVAL: Duration = Duration::from_millis(100);

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
    /// Whether the connection is closed after the last piece.
    close: bool,
}

/// Server that answers each request according to a script.
struct Server {
    script: Script,
    address: SocketAddr,
    connections: Cell<usize>,
}

impl Server {
    async fn start(script: Script) -> Rc<Self> {
        let listener = listen(([127, 0, 0, 1], 0).into()).await.unwrap();
        let server = Rc::new(Self {
            script,
            address: listener.local_addr().unwrap(),
            connections: Cell::new(0),
        });
        compio::runtime::spawn(Rc::clone(&server).serve(listener)).detach();
        server
    }

    async fn serve(self: Rc<Self>, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            self.connections.set(self.connections.get() + 1);
            compio::runtime::spawn(answer(stream, self.script)).detach();
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

/// Answers the requests of a connection until the client closes it.
async fn answer(mut stream: TcpStream, script: Script) {
    loop {
        let (read, _) = stream.read(Vec::with_capacity(4096)).await.into();
        if read.unwrap_or(0) == 0 {
            return;
        }
        let Some(announced) = script.announced else {
            continue;
        };
        let length = announced * PIECE.len();
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n");
        let mut sent = stream.write_all(head.into_bytes()).await.0;
        for _ in 0..script.sent {
            sleep(INTERVAL).await;
            sent = sent.and(stream.write_all(PIECE).await.0);
        }
        if sent.is_err() || script.close {
            return;
        }
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
