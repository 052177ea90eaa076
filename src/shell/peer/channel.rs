//! Client side of the protocol between daemons, with one HTTP/2 connection to each peer.

use std::cell::RefCell;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use compio::time;
use cyper_core::HyperStream;
use http::Uri;
use hyper::body::Incoming;
use hyper::client::conn::http2;
use hyper::client::conn::http2::SendRequest;
use rustc_hash::FxHashMap;
use tonic::body::Body;

use super::convert::from_wire;
use super::convert::to_wire;
use crate::core::event::PeerMessage;
use crate::proto::peer::Envelope;
use crate::proto::peer::peer_client::PeerClient as GrpcClient;
use crate::shell::net;
use crate::shell::net::LocalExecutor;
use crate::shell::net::RuntimeTimer;
use crate::shell::net::connect;

/// Result of a call to another daemon; the error states why there is no reply.
pub type Result<T, E = Box<str>> = std::result::Result<T, E>;

/// Interval between HTTP/2 pings on a connection with open streams.
const PING_INTERVAL: Duration = Duration::from_secs(1);

/// Timeout of a ping, after which the connection is closed.
const PING_TIMEOUT: Duration = Duration::from_secs(1);

/// HTTP/2 connections to other daemons, one for each.
#[derive(Default)]
pub struct Channels {
    conns: RefCell<FxHashMap<SocketAddr, SendRequest<Body>>>,
}

impl Channels {
    /// Calls the daemon at `address` with `f`, which receives the channel and the origin for a
    /// generated client; fails after `timeout`. A connection on which a call failed is not reused.
    pub async fn call<T, F, Fut>(&self, address: &str, timeout: Duration, f: F) -> Result<T>
    where
        F: FnOnce(Channel, Uri) -> Fut,
        Fut: Future<Output = std::result::Result<tonic::Response<T>, tonic::Status>>,
    {
        let peer = parse(address)?;
        let origin = Uri::try_from(format!("http://{peer}")).map_err(|err| err.to_string())?;
        let exchange = async {
            let tx = self.connection(peer, timeout).await;
            let tx = tx.map_err(|err| err.to_string())?;
            let reply = f(Channel(tx), origin).await;
            reply.map_err(|status| format!("call {peer}: {}", status.message()))
        };
        let reply = match time::timeout(timeout, exchange).await {
            Ok(reply) => reply,
            Err(_) => Err(format!("call {peer}: timed out")),
        };
        if reply.is_err() {
            self.conns.borrow_mut().remove(&peer);
        }
        Ok(reply?.into_inner())
    }

    /// Opens a connection to the daemon at `address` if there is none; fails after `timeout`.
    pub async fn open(&self, address: &str, timeout: Duration) -> Result<()> {
        let opened = self.connection(parse(address)?, timeout).await;
        opened.map_err(|err| err.to_string())?;
        Ok(())
    }

    /// Returns the open connection to a peer, or opens one.
    async fn connection(
        &self,
        peer: SocketAddr,
        timeout: Duration,
    ) -> net::Result<SendRequest<Body>> {
        if let Some(tx) = self.conns.borrow().get(&peer)
            && !tx.is_closed()
        {
            return Ok(tx.clone());
        }
        let stream = connect(peer, timeout).await?;
        let (tx, conn) = http2::Builder::new(LocalExecutor)
            .timer(RuntimeTimer)
            .keep_alive_interval(PING_INTERVAL)
            .keep_alive_timeout(PING_TIMEOUT)
            .handshake(HyperStream::new_plain(stream))
            .await
            .map_err(|err| net::Error::NotSent(peer, err))?;
        compio::runtime::spawn(async move {
            let _ = conn.await;
        })
        .detach();
        self.conns.borrow_mut().insert(peer, tx.clone());
        Ok(tx)
    }
}

fn parse(address: &str) -> Result<SocketAddr> {
    let peer = address.parse();
    peer.map_err(|err| format!("peer address {address:?}: {err}").into())
}

/// Client of the protocol between daemons.
pub struct PeerClient {
    timeout: Duration,
    channels: Channels,
}

impl PeerClient {
    /// Returns a client whose calls fail after `timeout`.
    #[must_use]
    pub fn new(timeout: Duration) -> Self {
        Self {
            timeout,
            channels: Channels::default(),
        }
    }

    /// Sends a message and returns the reply with the peer's stamp; `None` when the call failed.
    pub async fn call(
        &self,
        address: &str,
        from: &str,
        stamp: u64,
        message: &PeerMessage,
    ) -> Option<(PeerMessage, u64)> {
        let envelope = Envelope {
            from: from.to_owned(),
            stamp,
            body: Some(to_wire(message)),
        };
        let call = |channel, origin| async move {
            GrpcClient::with_origin(channel, origin)
                .call(envelope)
                .await
        };
        let reply = self.channels.call(address, self.timeout, call).await.ok()?;
        Some((from_wire(reply.body?), reply.stamp))
    }
}

/// Adapter from hyper's request sender to the `tower` service that generated clients call.
#[derive(Clone)]
pub struct Channel(SendRequest<Body>);

impl tower_service::Service<http::Request<Body>> for Channel {
    type Response = http::Response<Incoming>;
    type Error = hyper::Error;
    type Future = Pin<Box<dyn Future<Output = hyper::Result<Self::Response>>>>;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<hyper::Result<()>> {
        self.0.poll_ready(cx)
    }

    fn call(&mut self, req: http::Request<Body>) -> Self::Future {
        Box::pin(self.0.send_request(req))
    }
}
