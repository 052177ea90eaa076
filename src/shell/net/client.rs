//! HTTP/1.1 client with pooled connections of bounded age and idle time.
//!
//! A connection carries one exchange at a time and returns to the pool only after the complete
//! response has been read. An abandoned exchange closes its connection, so that a late response
//! cannot be delivered to another request.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use compio::net::TcpStream;
use compio::time;
use cyper_core::HyperStream;
use http::Request;
use http::Response;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use metrics::counter;

use super::CallLabel;
use super::Error;
use super::Result;
use super::pool::Conn;
use super::pool::Pool;

/// Limits on connections and responses.
#[derive(Clone, Copy, Debug)]
pub struct ClientOptions {
    /// Timeout for opening a connection.
    pub connect_timeout: Duration,
    /// Idle time after which a connection is not reused.
    pub idle_timeout: Duration,
    /// Age after which a connection is not reused.
    pub max_age: Duration,
    /// Maximum number of idle connections kept for each server.
    pub max_idle: usize,
    /// Maximum size of a response body, in bytes.
    pub max_body: usize,
}

impl Default for ClientOptions {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_secs(1),
            idle_timeout: Duration::from_secs(10),
            max_age: Duration::from_secs(120),
            max_idle: 64,
            max_body: 64 << 20,
        }
    }
}

/// Client with pooled connections that reads complete responses. It counts the received bytes of
/// requests that carry a [`CallLabel`] among their extensions.
pub struct Client {
    options: ClientOptions,
    pool: RefCell<Pool>,
}

/// Step that an exchange has reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    /// Opens a connection.
    Connect,
    /// The request may have been sent.
    Sent,
    /// The head of the response has been received.
    Body,
}

impl Client {
    /// Returns a client with no open connections.
    #[must_use]
    pub fn new(options: ClientOptions) -> Self {
        Self {
            pool: RefCell::new(Pool::new(options.idle_timeout, options.max_age)),
            options,
        }
    }

    /// Sends `req` to `addr` and reads the complete response; fails after `timeout`.
    pub async fn send(
        &self,
        addr: SocketAddr,
        req: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<Response<Bytes>> {
        self.send_with_max_idle(addr, req, timeout, self.options.max_idle)
            .await
    }

    /// Sends `req` to `addr` and reads the complete response; fails after `timeout`. The connection
    /// is kept open afterwards if fewer than `max_idle` connections to this server are idle.
    pub async fn send_with_max_idle(
        &self,
        addr: SocketAddr,
        req: Request<Full<Bytes>>,
        timeout: Duration,
        max_idle: usize,
    ) -> Result<Response<Bytes>> {
        let started = Instant::now();
        let label = req.extensions().get::<CallLabel>().copied();
        let step = Cell::new(Step::Connect);
        let exchange = self.exchange(addr, req, max_idle, &step);
        let result = match time::timeout(timeout, exchange).await {
            Ok(result) => result,
            Err(_) => Err(timeout_error(addr, step.get(), label)),
        };
        if let Err(err) = &result
            && err.may_have_been_received()
        {
            counter!("ragwortstall_exchanges_broken_total").increment(1);
            self.pool.borrow_mut().mark_suspect(addr, started);
        }
        result
    }

    /// Returns the number of idle connections to a server.
    #[must_use]
    pub fn idle_count(&self, addr: SocketAddr) -> usize {
        self.pool.borrow().idle_count(addr)
    }

    async fn exchange(
        &self,
        addr: SocketAddr,
        mut req: Request<Full<Bytes>>,
        max_idle: usize,
        step: &Cell<Step>,
    ) -> Result<Response<Bytes>> {
        let label = req.extensions().get::<CallLabel>().copied();
        loop {
            let pooled = self.pool.borrow_mut().take(addr);
            let fresh = pooled.is_none();
            let mut conn = match pooled {
                Some(conn) => conn,
                None => self.open(addr).await?,
            };
            step.set(Step::Sent);
            match conn.tx.try_send_request(req).await {
                Ok(res) => {
                    step.set(Step::Body);
                    return self.read_response(addr, conn, res, max_idle, label).await;
                }
                Err(mut err) => match err.take_message() {
                    // The pooled connection was already closed and nothing was sent on it.
                    Some(unsent) if !fresh => req = unsent,
                    Some(_) => return Err(Error::NotSent(addr, err.into_error())),
                    None => return Err(Error::IncompleteResponse(addr, err.into_error())),
                },
            }
            step.set(Step::Connect);
        }
    }

    async fn read_response(
        &self,
        addr: SocketAddr,
        mut conn: Conn,
        res: Response<Incoming>,
        max_idle: usize,
        label: Option<CallLabel>,
    ) -> Result<Response<Bytes>> {
        let (head, body) = res.into_parts();
        let body = self.read_body(addr, body, label).await?;
        if max_idle > 0 && conn.tx.ready().await.is_ok() {
            self.pool.borrow_mut().put_back(addr, conn, max_idle);
        }
        Ok(Response::from_parts(head, body))
    }

    async fn read_body(
        &self,
        addr: SocketAddr,
        body: Incoming,
        label: Option<CallLabel>,
    ) -> Result<Bytes> {
        let limit = self.options.max_body;
        let body = body.map_frame(|frame| {
            if let (Some(label), Some(data)) = (label, frame.data_ref()) {
                label.count_received(data.len());
            }
            frame
        });
        match Limited::new(body, limit).collect().await {
            Ok(body) => Ok(body.to_bytes()),
            Err(err) => match err.downcast::<hyper::Error>() {
                Ok(err) => Err(Error::IncompleteResponse(addr, *err)),
                Err(_) => Err(Error::TooLarge(limit)),
            },
        }
    }

    async fn open(&self, addr: SocketAddr) -> Result<Conn> {
        let stream = connect(addr, self.options.connect_timeout).await?;
        let (tx, conn) = http1::handshake(HyperStream::new_plain(stream))
            .await
            .map_err(|err| Error::NotSent(addr, err))?;
        compio::runtime::spawn(async move {
            let _ = conn.await;
        })
        .detach();
        counter!("ragwortstall_connections_opened_total").increment(1);
        let now = Instant::now();
        Ok(Conn {
            tx,
            opened_at: now,
            last_used: now,
        })
    }
}

/// Returns the error of a timeout in `step`, and counts one that cut a response off.
fn timeout_error(addr: SocketAddr, step: Step, label: Option<CallLabel>) -> Error {
    if let (Step::Body, Some(label)) = (step, label) {
        label.count_timed_out();
    }
    match step {
        Step::Connect => Error::ConnectTimeout(addr),
        Step::Sent | Step::Body => Error::ResponseTimeout(addr),
    }
}

/// Opens a TCP connection with `TCP_NODELAY`; fails after `timeout`.
pub async fn connect(addr: SocketAddr, timeout: Duration) -> Result<TcpStream> {
    let stream = match time::timeout(timeout, TcpStream::connect(addr)).await {
        Ok(result) => result.map_err(|err| Error::Connect(addr, err))?,
        Err(_) => return Err(Error::ConnectTimeout(addr)),
    };
    stream
        .set_nodelay(true)
        .map_err(|err| Error::Connect(addr, err))?;
    Ok(stream)
}
