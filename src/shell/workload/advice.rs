//! Advice asked by way of another daemon, by tonic over hyper's HTTP/2.

use std::rc::Rc;
use std::time::Duration;

use compio::net::TcpListener;
use futures_channel::mpsc;
use futures_channel::oneshot;
use futures_util::StreamExt;
use tonic::Request;
use tonic::Response;
use tonic::Status;
use tonic::async_trait;

use crate::core::workload::effect;
use crate::core::workload::event::AdviceFor;
use crate::core::workload::event::Advised;
use crate::core::workload::event::Answer;
use crate::proto::advice::Permit;
use crate::proto::advice::Query;
use crate::proto::advice::Reply;
use crate::proto::advice::advice_client::AdviceClient;
use crate::proto::advice::advice_server::Advice;
use crate::proto::advice::advice_server::AdviceServer;
use crate::shell::net::StopReceiver;
use crate::shell::net::serve_http2;
use crate::shell::peer::Channels;

use super::Outside;

/// Result of a request for advice.
type Result<T, E = Box<str>> = std::result::Result<T, E>;

/// A request that waits for its reply.
type Waiting = (Query, oneshot::Sender<Result<Vec<Advised>>>);

struct Service {
    tx: mpsc::UnboundedSender<Waiting>,
}

#[async_trait]
impl Advice for Service {
    async fn ask(&self, req: Request<Query>) -> Result<Response<Reply>, Status> {
        let (reply, rx) = oneshot::channel();
        self.tx
            .unbounded_send((req.into_inner(), reply))
            .map_err(|_| Status::unavailable("the daemon is stopping"))?;
        let good = rx
            .await
            .map_err(|_| Status::unavailable("the daemon is stopping"))?
            .map_err(|reason| Status::unavailable(reason.into_string()))?;
        let good = good.into_iter().map(|advised| Permit {
            vm: advised.vm.into(),
            ticket: advised.ticket.into(),
        });
        Ok(Response::new(Reply {
            good: good.collect(),
        }))
    }
}

/// Serves other daemons' requests for advice until `stop`.
pub async fn serve<O: Outside>(listener: TcpListener, outside: Rc<O>, stop: StopReceiver) {
    let (tx, mut rx) = mpsc::unbounded::<Waiting>();
    compio::runtime::spawn(async move {
        while let Some((query, reply)) = rx.next().await {
            let outside = Rc::clone(&outside);
            compio::runtime::spawn(async move {
                let _ = reply.send(ask_here(outside, query).await);
            })
            .detach();
        }
    })
    .detach();
    let server = AdviceServer::new(Service { tx });
    let service = hyper::service::service_fn(move |req| {
        let mut server = server.clone();
        async move { tower_service::Service::call(&mut server, req).await }
    });
    serve_http2(listener, service, stop).await;
}

/// Asks the daemon at `via`.
pub(super) async fn ask_peer(
    channels: &Channels,
    via: &str,
    query: &AdviceFor,
    patience: Duration,
) -> Result<Vec<Advised>> {
    let message = Query {
        job: query.job.to_string(),
        occurrence: query.occurrence,
        step: query.step.into(),
        vms: query.vms.iter().map(ToString::to_string).collect(),
        timeout_ms: u64::try_from(patience.as_millis()).unwrap_or(u64::MAX),
    };
    let call = |channel, origin| async move {
        AdviceClient::with_origin(channel, origin)
            .ask(message)
            .await
    };
    let reply = channels.call(via, patience, call).await?;
    let good = reply.good.into_iter().map(|permit| Advised {
        vm: permit.vm.into(),
        ticket: permit.ticket.into(),
    });
    Ok(good.collect())
}

async fn ask_here<O: Outside>(outside: Rc<O>, query: Query) -> Result<Vec<Advised>> {
    let vms: Vec<Box<str>> = query.vms.into_iter().map(String::into_boxed_str).collect();
    let request = effect::Request::Advise {
        query: AdviceFor {
            job: query.job.into(),
            occurrence: query.occurrence,
            step: u16::try_from(query.step).unwrap_or(u16::MAX),
            helper: None,
            vms: vms.into(),
            sent: Duration::ZERO,
        },
        via: None,
        timeout: Duration::from_millis(query.timeout_ms),
    };
    match outside.ask(request).await {
        Answer::Advised(_, result) => result,
        _ => Err("unexpected answer of the advice service".into()),
    }
}
