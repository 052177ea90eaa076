//! HTTP/1.1 client with pooled connections of bounded age and idle time.
//!
//! A connection carries one exchange at a time and returns to the pool only after the whole answer
//! was read. An exchange that is abandoned closes its connection, so a late answer cannot reach
//! another request.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use compio::net::TcpStream;
use compio::time::timeout;
use cyper_core::HyperStream;
use http::Request;
use http::Response;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use metrics::counter;

use super::Error;
use super::Result;
use super::pool::Conn;
use super::pool::Pool;

/// Bounds on connections and answers.
#[derive(Clone, Copy, Debug)]
pub struct ClientOptions {
    /// Time to open a connection.
    pub connect_timeout: Duration,
    /// A connection unused for longer is not used again.
    pub idle_timeout: Duration,
    /// A connection open for longer is not used again.
    pub max_age: Duration,
    /// Idle connections kept for each peer.
    pub max_idle: usize,
    /// Largest body of an answer, in bytes.
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

/// Pooled client; answers are read whole.
pub struct Client {
    options: ClientOptions,
    pool: RefCell<Pool>,
}

impl Client {
    /// Returns a client without connections.
    #[must_use]
    pub fn new(options: ClientOptions) -> Self {
        Self {
            pool: RefCell::new(Pool::new(options.idle_timeout, options.max_age)),
            options,
        }
    }

    /// Sends `req` to `peer` and reads the whole answer within `patience`.
    pub async fn send(
        &self,
        peer: SocketAddr,
        req: Request<Full<Bytes>>,
        patience: Duration,
    ) -> Result<Response<Bytes>> {
        self.send_with_max_idle(peer, req, patience, self.options.max_idle)
            .await
    }

    /// Sends `req` to `peer` and reads the whole answer within `patience`. The connection stays
    /// open afterwards if fewer than `keep` to this peer are idle.
    pub async fn send_with_max_idle(
        &self,
        peer: SocketAddr,
        req: Request<Full<Bytes>>,
        patience: Duration,
        keep: usize,
    ) -> Result<Response<Bytes>> {
        let begun = Instant::now();
        let sent = Cell::new(false);
        let result = match timeout(patience, self.exchange(peer, req, keep, &sent)).await {
            Ok(result) => result,
            Err(_) if sent.get() => Err(Error::AnswerTimeout(peer)),
            Err(_) => Err(Error::ConnectTimeout(peer)),
        };
        if let Err(err) = &result
            && err.may_have_been_received()
        {
            counter!("ragwortstall_exchanges_broken_total").increment(1);
            self.pool.borrow_mut().suspect(peer, begun);
        }
        result
    }

    /// Idle connections to a peer.
    #[must_use]
    pub fn idle(&self, peer: SocketAddr) -> usize {
        self.pool.borrow().idle(peer)
    }

    async fn exchange(
        &self,
        peer: SocketAddr,
        mut req: Request<Full<Bytes>>,
        keep: usize,
        sent: &Cell<bool>,
    ) -> Result<Response<Bytes>> {
        loop {
            let pooled = self.pool.borrow_mut().take(peer);
            let fresh = pooled.is_none();
            let mut conn = match pooled {
                Some(conn) => conn,
                None => self.open(peer).await?,
            };
            sent.set(true);
            match conn.tx.try_send_request(req).await {
                Ok(res) => return self.finish(peer, conn, res, keep).await,
                Err(mut err) => match err.take_message() {
                    // The pooled connection had been closed; nothing was sent on it.
                    Some(unsent) if !fresh => req = unsent,
                    Some(_) => return Err(Error::NotSent(peer, err.into_error())),
                    None => return Err(Error::Broken(peer, err.into_error())),
                },
            }
            sent.set(false);
        }
    }

    async fn finish(
        &self,
        peer: SocketAddr,
        mut conn: Conn,
        res: Response<Incoming>,
        keep: usize,
    ) -> Result<Response<Bytes>> {
        let (head, body) = res.into_parts();
        let body = self.collect(peer, body).await?;
        if keep > 0 && conn.tx.ready().await.is_ok() {
            self.pool.borrow_mut().put_back(peer, conn, keep);
        }
        Ok(Response::from_parts(head, body))
    }

    async fn collect(&self, peer: SocketAddr, body: Incoming) -> Result<Bytes> {
        let limit = self.options.max_body;
        match Limited::new(body, limit).collect().await {
            Ok(body) => Ok(body.to_bytes()),
            Err(err) => match err.downcast::<hyper::Error>() {
                Ok(err) => Err(Error::Broken(peer, *err)),
                Err(_) => Err(Error::TooLarge(limit)),
            },
        }
    }

    async fn open(&self, peer: SocketAddr) -> Result<Conn> {
        let stream = connect(peer, self.options.connect_timeout).await?;
        let (tx, conn) = http1::handshake(HyperStream::new_plain(stream))
            .await
            .map_err(|err| Error::NotSent(peer, err))?;
        compio::runtime::spawn(async move {
            let _ = conn.await;
        })
        .detach();
        counter!("ragwortstall_connections_opened_total").increment(1);
        let now = Instant::now();
        Ok(Conn {
            tx,
            opened: now,
            used: now,
        })
    }
}

/// Opens a connection without Nagle's delay.
pub async fn connect(peer: SocketAddr, patience: Duration) -> Result<TcpStream> {
    let stream = match timeout(patience, TcpStream::connect(peer)).await {
        Ok(result) => result.map_err(|err| Error::Connect(peer, err))?,
        Err(_) => return Err(Error::ConnectTimeout(peer)),
    };
    stream
        .set_nodelay(true)
        .map_err(|err| Error::Connect(peer, err))?;
    Ok(stream)
}
