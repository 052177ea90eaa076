//! A fake daemon with scripted replies, which records every request.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;

/// A request as received.
#[derive(Clone, Debug)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers
            .find(|(key, _)| key.eq_ignore_ascii_case(name))
            .map(|(_, value)| &**value)
    }
}

/// Reaction of the fake daemon to a request.
pub enum Reply {
    /// Sends a complete response.
    Complete {
        status: u16,
        headers: Vec<(&'static str, String)>,
        body: String,
    },
    /// Closes the connection without a response.
    Dropped,
    /// Closes the connection in the middle of the body.
    Truncated,
    /// Keeps the connection open without a response until the client closes it.
    Unresponsive,
}

impl Reply {
    pub fn json(status: u16, body: &str) -> Self {
        Self::Complete {
            status,
            headers: Vec::new(),
            body: body.into(),
        }
    }

    pub fn outcome(status: u16, outcome: &str, body: &str) -> Self {
        Self::Complete {
            status,
            headers: vec![("x-ragwortstall-outcome", outcome.into())],
            body: body.into(),
        }
    }

    pub fn not_run(status: u16, reason: &str) -> Self {
        let retry = if status == 503 {
            r#","retry_after_ms":1000"#
        } else {
            ""
        };
        let body = format!(r#"{{"outcome":"not-run","reason":"{reason}"{retry}}}"#);
        Self::outcome(status, "not-run", &body)
    }
}

/// A fake daemon on a loopback port.
pub struct FakeDaemon {
    pub address: SocketAddr,
    requests: Arc<Mutex<Vec<Request>>>,
}

impl FakeDaemon {
    /// Starts a daemon. `reply` is called with each request and the number of requests before it.
    pub fn start(reply: impl Fn(&Request, usize) -> Reply + Send + Sync + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let requests = Arc::new(Mutex::new(Vec::new()));
        let reply = Arc::new(reply);
        let recorded = Arc::clone(&requests);
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let reply = Arc::clone(&reply);
                let recorded = Arc::clone(&recorded);
                thread::spawn(move || serve(&stream, &*reply, &recorded));
            }
        });
        Self { address, requests }
    }

    /// Starts a daemon that sends the same response to every request.
    pub fn always(status: u16, body: &'static str) -> Self {
        Self::start(move |_, _| Reply::json(status, body))
    }

    /// Returns all requests received so far.
    pub fn requests(&self) -> Vec<Request> {
        self.requests.lock().unwrap().clone()
    }

    /// Returns the only request that is not a `GET`.
    pub fn only_write(&self) -> Request {
        let requests = self.requests();
        let mut writes = requests.iter().filter(|req| req.method != "GET");
        let write = writes.next().expect("a write").clone();
        assert!(writes.next().is_none(), "{requests:?}");
        write
    }

    /// Returns the only request.
    pub fn only_request(&self) -> Request {
        let requests = self.requests();
        assert_eq!(requests.len(), 1, "{requests:?}");
        requests[0].clone()
    }
}

/// Returns an address on which nothing listens: a reserved port, which is never assigned to another
/// test.
pub fn unreachable_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1))
}

fn serve(
    stream: &TcpStream,
    reply: &dyn Fn(&Request, usize) -> Reply,
    recorded: &Mutex<Vec<Request>>,
) {
    let Some(req) = read_request(stream) else {
        return;
    };
    let before = {
        let mut recorded = recorded.lock().unwrap();
        recorded.push(req.clone());
        recorded.len() - 1
    };
    write_reply(stream, reply(&req, before));
}

fn read_request(stream: &TcpStream) -> Option<Request> {
    let mut reader = BufReader::new(stream);
    let first = read_line(&mut reader)?;
    let mut parts = first.split(' ');
    let (method, path) = (parts.next()?.into(), parts.next()?.into());
    let mut headers = Vec::new();
    while let Some(text) = read_line(&mut reader).filter(|text| !text.is_empty()) {
        let (name, value) = text.split_once(':')?;
        headers.push((name.into(), value.trim().into()));
    }
    let mut req = Request {
        method,
        path,
        headers,
        body: String::new(),
    };
    let length = req.header("content-length").unwrap_or("0").parse().ok()?;
    reader.take(length).read_to_string(&mut req.body).ok()?;
    Some(req)
}

fn read_line(reader: &mut impl BufRead) -> Option<String> {
    let mut text = String::new();
    let length = reader.read_line(&mut text).ok()?;
    (length > 0).then(|| text.trim_end().into())
}

fn write_reply(mut stream: &TcpStream, reply: Reply) {
    match reply {
        Reply::Complete {
            status,
            headers,
            body,
        } => {
            let mut headers: Vec<String> = headers
                .iter()
                .map(|(name, value)| format!("{name}: {value}\r\n"))
                .collect();
            headers.push(format!("content-length: {}\r\n", body.len()));
            let headers = headers.concat();
            let _ = write!(
                stream,
                "HTTP/1.1 {status} Status\r\nconnection: close\r\n{headers}\r\n{body}"
            );
        }
        Reply::Truncated => {
            let head = "HTTP/1.1 200 OK\r\nx-ragwortstall-outcome: completed\r\n";
            let _ = write!(stream, "{head}content-length: 100\r\n\r\npart");
        }
        Reply::Unresponsive => {
            let _ = stream.read(&mut [0]);
        }
        Reply::Dropped => {}
    }
}
