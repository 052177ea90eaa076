//! HTTP/1.1 client with pooled connections of bounded age and idle time.
//!
//! A connection carries one exchange at a time and returns to the pool only after the complete
//! response has been read. An abandoned exchange closes its connection, so that a late response
//! cannot be delivered to another request.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::pin::pin;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use compio::net::TcpStream;
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
use super::deadline::wait_until;
use super::pool::Conn;
use super::pool::ConnId;
use super::pool::Pool;
use super::progress::Limit;
use super::progress::Progress;

/// Default of [`ClientOptions::max_transfer`]: three times as long as 4 MB take on a free link of
/// 10 Mbit/s, as answers share the link.
const MAX_TRANSFER: Duration = Duration::from_secs(10);

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
    /// Maximum time from the head of a response to its end, if it is read with [`Client::fetch`].
    pub max_transfer: Duration,
}

impl Default for ClientOptions {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_secs(1),
            idle_timeout: Duration::from_secs(10),
            max_age: Duration::from_secs(120),
            max_idle: 64,
            max_body: 64 << 20,
            max_transfer: MAX_TRANSFER,
        }
    }
}

/// Client with pooled connections that reads complete responses. It counts the received bytes of
/// requests that carry a [`CallLabel`] among their extensions.
pub struct Client {
    options: ClientOptions,
    pool: RefCell<Pool>,
    /// Identifier of the connection that was opened last.
    last_conn: Cell<u64>,
}

impl Client {
    /// Returns a client with no open connections.
    #[must_use]
    pub fn new(options: ClientOptions) -> Self {
        Self {
            pool: RefCell::new(Pool::new(options.idle_timeout, options.max_age)),
            options,
            last_conn: Cell::new(0),
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
        let label = req.extensions().get::<CallLabel>().copied();
        let make = |_| req.clone();
        let limit = Limit::Total(timeout);
        self.run(addr, make, label, limit, max_idle).await
    }

    /// Sends the request that `make` returns for a connection on that connection, and reads the
    /// complete response; fails after `timeout`. The response has the [`ConnId`] among its extensions.
    pub async fn send_on(
        &self,
        addr: SocketAddr,
        make: impl Fn(ConnId) -> Request<Full<Bytes>>,
        timeout: Duration,
        label: CallLabel,
    ) -> Result<Response<Bytes>> {
        let max_idle = self.options.max_idle;
        let limit = Limit::Total(timeout);
        self.run(addr, make, Some(label), limit, max_idle).await
    }

    /// Sends `req` to `addr` and reads the complete response, for as long as it arrives: fails if
    /// its head takes longer than `timeout`, if no further part of its body arrives for `timeout`,
    /// or if the body takes longer than [`ClientOptions::max_transfer`].
    pub async fn fetch(
        &self,
        addr: SocketAddr,
        req: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<Response<Bytes>> {
        let limit = Limit::Progress {
            timeout,
            max_transfer: self.options.max_transfer,
        };
        let label = req.extensions().get::<CallLabel>().copied();
        let make = |_| req.clone();
        let max_idle = self.options.max_idle;
        self.run(addr, make, label, limit, max_idle).await
    }

    /// Returns the number of idle connections to a server.
    #[must_use]
    pub fn idle_count(&self, addr: SocketAddr) -> usize {
        self.pool.borrow().idle_count(addr)
    }

    async fn run(
        &self,
        addr: SocketAddr,
        make: impl Fn(ConnId) -> Request<Full<Bytes>>,
        label: Option<CallLabel>,
        limit: Limit,
        max_idle: usize,
    ) -> Result<Response<Bytes>> {
        let progress = Progress::new(label);
        let exchange = self.exchange(addr, make, max_idle, &progress);
        let result = match progress.run(limit, exchange).await {
            Some(result) => result,
            None => Err(progress.timeout_error(addr, limit)),
        };
        if let Err(err) = &result
            && err.may_have_been_received()
        {
            counter!("ragwortstall_exchanges_broken_total").increment(1);
            let mut pool = self.pool.borrow_mut();
            pool.mark_suspect(addr, progress.started_at());
        }
        result
    }

    async fn exchange(
        &self,
        addr: SocketAddr,
        make: impl Fn(ConnId) -> Request<Full<Bytes>>,
        max_idle: usize,
        progress: &Progress,
    ) -> Result<Response<Bytes>> {
        loop {
            let pooled = self.pool.borrow_mut().take(addr);
            let fresh = pooled.is_none();
            let mut conn = match pooled {
                Some(conn) => conn,
                None => self.open(addr).await?,
            };
            progress.set_sent();
            match conn.tx.try_send_request(make(conn.id)).await {
                Ok(res) => {
                    progress.add_head();
                    return self
                        .read_response(addr, conn, res, max_idle, progress)
                        .await;
                }
                Err(mut err) => match err.take_message() {
                    // The pooled connection was already closed and nothing was sent on it.
                    Some(_) if !fresh => {}
                    Some(_) => return Err(Error::NotSent(addr, err.into_error())),
                    None => return Err(Error::IncompleteResponse(addr, err.into_error())),
                },
            }
            progress.set_connecting();
        }
    }

    async fn read_response(
        &self,
        addr: SocketAddr,
        mut conn: Conn,
        res: Response<Incoming>,
        max_idle: usize,
        progress: &Progress,
    ) -> Result<Response<Bytes>> {
        let (mut head, body) = res.into_parts();
        head.extensions.insert(conn.id);
        let body = self.read_body(addr, body, progress).await?;
        if max_idle > 0 && conn.tx.ready().await.is_ok() {
            self.pool.borrow_mut().put_back(addr, conn, max_idle);
        }
        Ok(Response::from_parts(head, body))
    }

    async fn read_body(
        &self,
        addr: SocketAddr,
        body: Incoming,
        progress: &Progress,
    ) -> Result<Bytes> {
        let limit = self.options.max_body;
        let body = body.map_frame(|frame| {
            if let Some(data) = frame.data_ref() {
                progress.add_body(data.len());
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
        self.last_conn.set(self.last_conn.get() + 1);
        Ok(Conn {
            id: ConnId(self.last_conn.get()),
            tx,
            opened_at: now,
            last_used: now,
        })
    }
}

/// Opens a TCP connection with `TCP_NODELAY`; fails after `timeout`.
pub async fn connect(addr: SocketAddr, timeout: Duration) -> Result<TcpStream> {
    let stream = pin!(TcpStream::connect(addr));
    let stream = match wait_until(Instant::now() + timeout, stream).await {
        Some(result) => result.map_err(|err| Error::Connect(addr, err))?,
        None => return Err(Error::ConnectTimeout(addr)),
    };
    stream
        .set_nodelay(true)
        .map_err(|err| Error::Connect(addr, err))?;
    Ok(stream)
}
