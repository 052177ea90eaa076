//! HTTP/1.1 server of the endpoint stand-in.

use std::cell::Cell;
use std::cell::RefCell;
use std::convert::Infallible;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use compio::net::TcpListener;
use compio::net::TcpStream;
use cyper_core::HyperStream;
use futures_util::StreamExt;
use futures_util::stream;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header::CONTENT_LENGTH;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use http_body_util::StreamBody;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;

use super::model::EndpointModel;
use super::model::Faults;

type Body = Pin<Box<dyn hyper::body::Body<Data = Bytes, Error = io::Error>>>;

type Result<T, E = io::Error> = std::result::Result<T, E>;

/// Maximum size of a request body.
const MAX_BODY_BYTES: usize = 16 << 20;

/// State of an open connection.
#[derive(Debug, Default)]
struct Conn {
    /// Whether the connection receives no more answers.
    silent: Cell<bool>,
}

/// HTTP server of an endpoint.
pub struct EndpointServer {
    model: RefCell<EndpointModel>,
    faults: Cell<Faults>,
    work: Duration,
    conns: RefCell<Vec<Rc<Conn>>>,
}

impl EndpointServer {
    /// Returns a server that executes up to `slots` requests concurrently, each of which takes
    /// `work`.
    #[must_use]
    pub fn new(slots: u32, work: Duration) -> Self {
        Self {
            model: RefCell::new(EndpointModel::new(slots)),
            faults: Cell::default(),
            work,
            conns: RefCell::default(),
        }
    }

    /// Returns the injected faults.
    #[must_use]
    pub fn faults(&self) -> Faults {
        self.faults.get()
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: Faults) {
        if faults.silent && !self.faults.get().silent {
            for conn in self.conns.borrow().iter() {
                conn.silent.set(true);
            }
        }
        self.faults.set(faults);
    }

    /// Accepts connections until the listener fails.
    pub async fn serve(self: Rc<Self>, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            let _ = stream.set_nodelay(true);
            let server = Rc::clone(&self);
            compio::runtime::spawn(server.serve_conn(stream)).detach();
        }
    }

    async fn serve_conn(self: Rc<Self>, stream: TcpStream) {
        let conn = Rc::new(Conn::default());
        self.conns.borrow_mut().push(Rc::clone(&conn));
        let service = service_fn(|req| Rc::clone(&self).handle(Rc::clone(&conn), req));
        let _ = http1::Builder::new()
            .serve_connection(HyperStream::new_plain(stream), service)
            .await;
        self.conns
            .borrow_mut()
            .retain(|other| !Rc::ptr_eq(other, &conn));
    }

    async fn handle(
        self: Rc<Self>,
        conn: Rc<Conn>,
        req: Request<Incoming>,
    ) -> Result<Response<Body>> {
        match (req.method(), req.uri().path()) {
            (&Method::GET, "/ran") => return Ok(self.list_started()),
            (&Method::PUT, "/fault") => return self.put_faults(req).await,
            _ => {}
        }
        if conn.silent.get() {
            return std::future::pending().await;
        }
        let tag = request_tag(&req);
        let body = collect(req.into_body()).await.map_err(io::Error::other)?;
        let Some(count) = self.model.borrow_mut().start(&tag) else {
            return Ok(not_started());
        };
        let res = self.execute(body, count).await;
        self.model.borrow_mut().finish();
        if conn.silent.get() {
            return std::future::pending().await;
        }
        res
    }

    async fn execute(&self, body: Bytes, count: usize) -> Result<Response<Body>> {
        let faults = self.faults.get();
        let duration = self.work + Duration::from_millis(faults.slow_ms);
        if !duration.is_zero() {
            compio::time::sleep(duration).await;
        }
        let faults = self.faults.get();
        if faults.reset {
            return Err(io::Error::from(io::ErrorKind::ConnectionReset));
        }
        let mut res = if faults.truncate {
            truncated(body)
        } else {
            complete(StatusCode::OK, body)
        };
        res.headers_mut()
            .insert("x-ran", HeaderValue::from(count as u64));
        Ok(res)
    }

    fn list_started(&self) -> Response<Body> {
        let body = serde_json::to_vec(self.model.borrow().started()).unwrap_or_default();
        complete(StatusCode::OK, body.into())
    }

    async fn put_faults(&self, req: Request<Incoming>) -> Result<Response<Body>> {
        let body = collect(req.into_body()).await.map_err(io::Error::other)?;
        let status = match serde_json::from_slice(&body) {
            Ok(faults) => {
                self.set_faults(faults);
                StatusCode::NO_CONTENT
            }
            Err(_) => StatusCode::BAD_REQUEST,
        };
        Ok(complete(status, Bytes::new()))
    }
}

/// Receives a body of at most [`MAX_BODY_BYTES`].
async fn collect(body: Incoming) -> io::Result<Bytes> {
    let body = Limited::new(body, MAX_BODY_BYTES).collect().await;
    Ok(body.map_err(io::Error::other)?.to_bytes())
}

/// Returns the identifier that the caller gave the request; empty if it gave none.
fn request_tag(req: &Request<Incoming>) -> Box<str> {
    ["idempotency-key", "x-request-tag"]
        .iter()
        .find_map(|name| req.headers().get(*name)?.to_str().ok())
        .unwrap_or_default()
        .into()
}

fn complete(status: StatusCode, body: Bytes) -> Response<Body> {
    let body = Full::new(body).map_err(io::Error::other::<Infallible>);
    let mut res = Response::new(Box::pin(body) as Body);
    *res.status_mut() = status;
    res
}

/// Returns the answer for a request that found no free slot.
fn not_started() -> Response<Body> {
    let mut res = complete(StatusCode::SERVICE_UNAVAILABLE, Bytes::new());
    res.headers_mut()
        .insert("x-not-started", HeaderValue::from_static("true"));
    res
}

/// Returns a response that declares one byte more than it sends and then fails.
fn truncated(body: Bytes) -> Response<Body> {
    let length = body.len() as u64 + 1;
    let frames = stream::once(async { Ok(Frame::data(body)) }).chain(stream::once(async {
        // Gives the server time to send the body before the error closes the connection.
        compio::time::sleep(Duration::from_millis(2)).await;
        Err(io::Error::from(io::ErrorKind::UnexpectedEof))
    }));
    let mut res = Response::new(Box::pin(StreamBody::new(frames)) as Body);
    res.headers_mut()
        .insert(CONTENT_LENGTH, HeaderValue::from(length));
    res
}
