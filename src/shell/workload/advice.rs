//! Advice queries that are forwarded through another daemon, using tonic over hyper's HTTP/2.

use std::rc::Rc;
use std::time::Duration;

use futures_channel::mpsc;
use futures_channel::oneshot;
use futures_util::StreamExt;
use tonic::Request;
use tonic::Response;
use tonic::Status;
use tonic::async_trait;

use crate::core::workload::effect;
use crate::core::workload::event::AdviceQuery;
use crate::core::workload::event::AdvisedVm;
use crate::core::workload::event::Answer;
use crate::proto::advice::Permit;
use crate::proto::advice::Query;
use crate::proto::advice::Reply;
use crate::proto::advice::advice_client::AdviceClient;
use crate::proto::advice::advice_server::Advice;
use crate::proto::advice::advice_server::AdviceServer;
use crate::shell::peer::Channels;

use super::Backend;

/// Maximum number of VMs in a query. Daemons ask for fewer.
const MAX_QUERY_VMS: usize = 1_000;

/// Result of an advice query.
type Result<T, E = Box<str>> = std::result::Result<T, E>;

/// Forwarded query, with the sender of its result.
type PendingQuery = (Query, oneshot::Sender<Result<Vec<AdvisedVm>>>);

/// Server of forwarded queries. It passes them to the thread of the runner.
pub(super) struct Service {
    tx: mpsc::UnboundedSender<PendingQuery>,
}

#[async_trait]
impl Advice for Service {
    async fn ask(&self, req: Request<Query>) -> Result<Response<Reply>, Status> {
        let query = req.into_inner();
        if query.vms.len() > MAX_QUERY_VMS {
            let reason = format!("a query names at most {MAX_QUERY_VMS} VMs");
            return Err(Status::invalid_argument(reason));
        }
        let (reply, rx) = oneshot::channel();
        self.tx
            .unbounded_send((query, reply))
            .map_err(|_| Status::unavailable("the daemon is stopping"))?;
        let advised = rx
            .await
            .map_err(|_| Status::unavailable("the daemon is stopping"))?
            .map_err(|reason| Status::unavailable(reason.into_string()))?;
        let permits = advised.into_iter().map(|advised| Permit {
            vm: advised.vm.into(),
            ticket: advised.ticket.into(),
        });
        Ok(Response::new(Reply {
            good: permits.collect(),
        }))
    }
}

/// Returns the server of the advice queries that other daemons forward through this one.
pub(super) fn server<B: Backend>(backend: Rc<B>) -> AdviceServer<Service> {
    let (tx, mut rx) = mpsc::unbounded::<PendingQuery>();
    compio::runtime::spawn(async move {
        while let Some((query, reply)) = rx.next().await {
            let backend = Rc::clone(&backend);
            compio::runtime::spawn(async move {
                let _ = reply.send(execute_query(backend, query).await);
            })
            .detach();
        }
    })
    .detach();
    AdviceServer::new(Service { tx })
}

/// Sends an advice query through the daemon at the address `via`.
pub(super) async fn forward_query(
    channels: &Channels,
    via: &str,
    query: &AdviceQuery,
    timeout: Duration,
) -> Result<Vec<AdvisedVm>> {
    let message = Query {
        job: query.job.to_string(),
        occurrence: query.occurrence,
        step: query.step.into(),
        vms: query.vms.iter().map(ToString::to_string).collect(),
        timeout_ms: u64::try_from(timeout.as_millis()).unwrap_or(u64::MAX),
    };
    let call = |channel, origin| async move {
        AdviceClient::with_origin(channel, origin)
            .ask(message)
            .await
    };
    let reply = channels.call(via, timeout, call).await?;
    let advised = reply.good.into_iter().map(|permit| AdvisedVm {
        vm: permit.vm.into(),
        ticket: permit.ticket.into(),
    });
    Ok(advised.collect())
}

/// Sends a forwarded query to the advice service.
async fn execute_query<B: Backend>(backend: Rc<B>, query: Query) -> Result<Vec<AdvisedVm>> {
    let vms: Vec<Box<str>> = query.vms.into_iter().map(String::into_boxed_str).collect();
    let req = effect::Request::Advise {
        query: AdviceQuery {
            job: query.job.into(),
            occurrence: query.occurrence,
            step: u16::try_from(query.step).unwrap_or(u16::MAX),
            forwarder: None,
            vms: vms.into(),
            sent: Duration::ZERO,
        },
        via: None,
        timeout: Duration::from_millis(query.timeout_ms),
    };
    match backend.execute(req).await {
        Answer::Advised(_, result) => result,
        _ => Err("unexpected answer of the advice service".into()),
    }
}
