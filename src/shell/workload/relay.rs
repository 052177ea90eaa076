//! Calls of clients that are relayed between daemons, using tonic over hyper's HTTP/2.

use std::rc::Rc;
use std::time::Duration;

use futures_channel::mpsc;
use futures_channel::oneshot;
use futures_util::StreamExt;
use tonic::Request;
use tonic::Response;
use tonic::Status;
use tonic::async_trait;

use super::Backend;
use super::Runner;
use crate::core::workload::event::Action;
use crate::core::workload::event::Call;
use crate::core::workload::event::RelayError;
use crate::core::workload::event::RelayedReply;
use crate::proto::relay;
use crate::proto::relay::relay_client::RelayClient;
use crate::proto::relay::relay_server::Relay;
use crate::proto::relay::relay_server::RelayServer;
use crate::shell::peer::Channels;

/// Timeout for opening a connection to a daemon. Daemons that are not cut off take a few round trips.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Result of a conversion; the error is its reason.
type Result<T, E = Box<str>> = std::result::Result<T, E>;

/// Relayed call, with the sender of its reply.
type PendingCall = (Call, oneshot::Sender<Option<RelayedReply>>);

/// Server of relayed calls. It passes them to the thread of the runner.
pub(super) struct Service {
    tx: mpsc::UnboundedSender<PendingCall>,
}

#[async_trait]
impl Relay for Service {
    async fn handle(
        &self,
        req: Request<relay::Call>,
    ) -> std::result::Result<Response<relay::Reply>, Status> {
        let call = decode_call(req.into_inner());
        let call = call.map_err(|reason| Status::invalid_argument(reason.into_string()))?;
        let stopping = || Status::unavailable("the daemon is stopping");
        let (tx, rx) = oneshot::channel();
        self.tx.unbounded_send((call, tx)).map_err(|_| stopping())?;
        let replied = rx.await.ok().flatten().ok_or_else(stopping)?;
        let reply = serde_json::to_vec(&replied.reply);
        let reply = reply.map_err(|err| Status::internal(err.to_string()))?;
        let config = replied.config;
        Ok(Response::new(relay::Reply { reply, config }))
    }
}

/// Returns the server of the calls that other daemons relay to this one.
pub(super) fn server<B: Backend>(runner: Rc<Runner<B>>) -> RelayServer<Service> {
    let (tx, mut rx) = mpsc::unbounded::<PendingCall>();
    compio::runtime::spawn(async move {
        while let Some((call, reply)) = rx.next().await {
            let runner = Rc::clone(&runner);
            compio::runtime::spawn(async move {
                let replied = runner.call(call).await.map(|reply| RelayedReply {
                    reply,
                    config: runner.config_version(),
                });
                let _ = reply.send(replied);
            })
            .detach();
        }
    })
    .detach();
    RelayServer::new(Service { tx })
}

/// Passes a call on to the daemon at the address `via` and returns its reply.
pub(super) async fn forward_call(
    channels: &Channels,
    via: &str,
    call: Call,
    timeout: Duration,
) -> Result<RelayedReply, RelayError> {
    let message = encode_call(call).map_err(RelayError::NotSent)?;
    let opened = channels.open(via, CONNECT_TIMEOUT).await;
    opened.map_err(RelayError::NotSent)?;
    let call = |channel, origin| async move {
        RelayClient::with_origin(channel, origin)
            .handle(message)
            .await
    };
    let reply = channels.call(via, timeout, call).await;
    let message = reply.map_err(RelayError::NoReply)?;
    let reply = serde_json::from_slice(&message.reply);
    let reply = reply.map_err(|err| RelayError::NoReply(err.to_string().into()))?;
    let config = message.config;
    Ok(RelayedReply { reply, config })
}

fn encode_call(call: Call) -> Result<relay::Call> {
    let action = match call.action {
        Action::Submit(Ok(submission)) => {
            let bytes = serde_json::to_vec(&submission).map_err(|err| err.to_string())?;
            relay::call::Action::Submit(bytes)
        }
        Action::Get => relay::call::Action::Get(relay::Get {}),
        Action::Cancel => relay::call::Action::Cancel(relay::Cancel {}),
        Action::Submit(Err(reason)) => return Err(reason),
        Action::Unsupported => return Err("the method is not supported".into()),
    };
    Ok(relay::Call {
        host: call.host.into(),
        path: call.path.into(),
        key: call.key.map(Into::into),
        config: call.relayed_with.unwrap_or(0),
        action: Some(action),
    })
}

fn decode_call(message: relay::Call) -> Result<Call> {
    let action = match message.action {
        Some(relay::call::Action::Submit(bytes)) => {
            let submission = serde_json::from_slice(&bytes);
            Action::Submit(submission.map_err(|err| err.to_string().into()))
        }
        Some(relay::call::Action::Get(_)) => Action::Get,
        Some(relay::call::Action::Cancel(_)) => Action::Cancel,
        None => return Err("the call has no action".into()),
    };
    Ok(Call {
        host: message.host.into(),
        path: message.path.into(),
        key: message.key.map(Into::into),
        action,
        relayed_with: Some(message.config),
    })
}
