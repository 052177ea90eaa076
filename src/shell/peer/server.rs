//! Server side of the protocol between daemons.

use std::rc::Rc;

use compio::net::TcpListener;
use futures_channel::mpsc;
use futures_channel::oneshot;
use tonic::Request;
use tonic::Response;
use tonic::Status;
use tonic::async_trait;

use super::convert::from_wire;
use super::convert::to_wire;
use crate::core::event::PeerMessage;
use crate::core::model::DaemonId;
use crate::proto::peer::Envelope;
use crate::proto::peer::peer_server::Peer;
use crate::proto::peer::peer_server::PeerServer;
use crate::shell::net::Admission;
use crate::shell::net::Body;
use crate::shell::net::StopReceiver;
use crate::shell::net::serve_http2;

/// Result of serving a call; the error is its gRPC status.
type Result<T, E = Status> = std::result::Result<T, E>;

/// A message from another daemon, with the channel for its reply.
#[derive(Debug)]
pub struct PeerRequest {
    /// Name of the sending daemon.
    pub from: DaemonId,
    /// Hybrid logical timestamp of the sender.
    pub stamp: u64,
    /// Message.
    pub message: PeerMessage,
    /// Channel for the reply and this daemon's timestamp.
    pub reply: oneshot::Sender<(PeerMessage, u64)>,
}

struct Service {
    id: DaemonId,
    tx: mpsc::UnboundedSender<PeerRequest>,
}

#[async_trait]
impl Peer for Service {
    async fn call(&self, req: Request<Envelope>) -> Result<Response<Envelope>> {
        let envelope = req.into_inner();
        let body = envelope
            .body
            .ok_or_else(|| Status::invalid_argument("message has no body"))?;
        let (reply, rx) = oneshot::channel();
        let request = PeerRequest {
            from: envelope.from.into(),
            stamp: envelope.stamp,
            message: from_wire(body),
            reply,
        };
        self.tx
            .unbounded_send(request)
            .map_err(|_| Status::unavailable("the daemon is stopping"))?;
        let (message, stamp) = rx
            .await
            .map_err(|_| Status::unavailable("the daemon is stopping"))?;
        let body = Some(to_wire(&message));
        Ok(Response::new(Envelope {
            from: self.id.to_string(),
            stamp,
            body,
        }))
    }
}

/// Serves other daemons on the connections that `admission` admits, until `stop` receives the signal; sends
/// each message to `tx`.
pub async fn serve(
    listener: TcpListener,
    admission: Rc<Admission>,
    id: DaemonId,
    tx: mpsc::UnboundedSender<PeerRequest>,
    stop: StopReceiver,
) {
    let server = PeerServer::new(Service { id, tx });
    let service = hyper::service::service_fn(move |req: http::Request<Body>| {
        let mut server = server.clone();
        async move { tower_service::Service::call(&mut server, req).await }
    });
    serve_http2(listener, admission, service, stop).await;
}
