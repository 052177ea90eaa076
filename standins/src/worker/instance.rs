//! Service tasks of a worker VM. Each runs as an instance: an HTTP server that registers itself in
//! the membership list as an endpoint.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use ragwortstall::core::model::Member;
use ragwortstall::core::model::MemberRole;
use ragwortstall::core::model::MemberState;
use ragwortstall::core::model::ServiceId;
use ragwortstall::core::model::TaskRef;
use ragwortstall::core::model::ZoneId;
use ragwortstall::shell::net;
use ragwortstall::shell::net::Body;
use ragwortstall::shell::net::StopSender;

use super::VmModel;
use super::membership::MembershipClient;
use crate::admission;

/// Number of concurrent requests that an instance registers as its limit.
const SLOTS: u32 = 8;

/// Number of open connections that an instance registers as its limit.
const CONNECTIONS: u32 = 64;

/// Maximum size of a request body.
const MAX_BODY_BYTES: usize = 16 << 20;

/// Time for which a leaving instance still answers requests.
const DRAIN_TIME: Duration = Duration::from_secs(5);

/// Running instances of one VM.
pub(super) struct Instances {
    ip: IpAddr,
    zone: ZoneId,
    membership: Rc<MembershipClient>,
    stop_senders: RefCell<BTreeMap<TaskRef, StopSender>>,
}

impl Instances {
    /// Returns an empty set of instances for a VM.
    pub fn new(ip: IpAddr, zone: ZoneId, membership: Rc<MembershipClient>) -> Self {
        Self {
            ip,
            zone,
            membership,
            stop_senders: RefCell::default(),
        }
    }

    /// Starts an instance for each running service task and stops those whose task has ended.
    pub fn reconcile(&self, model: &VmModel) {
        let mut stop_senders = self.stop_senders.borrow_mut();
        let mut running = BTreeMap::new();
        for start in model.running() {
            if let Some(service) = &start.service {
                running.insert(start.task.clone(), service.clone());
            }
        }
        stop_senders.retain(|task, _| running.contains_key(task));
        for (task, service) in running {
            stop_senders.entry(task.clone()).or_insert_with(|| {
                let (stop_tx, stop_rx) = net::stop_channel();
                let name = format!(
                    "{}-{}-{}-{}",
                    model.id(),
                    task.job,
                    task.index,
                    task.attempt
                );
                let instance = Instance {
                    name: name.into(),
                    service,
                    zone: self.zone.clone(),
                };
                let membership = Rc::clone(&self.membership);
                compio::runtime::spawn(instance.run(self.ip, membership, stop_rx)).detach();
                stop_tx
            });
        }
    }
}

struct Instance {
    name: Box<str>,
    service: ServiceId,
    zone: ZoneId,
}

impl Instance {
    async fn run(self, ip: IpAddr, membership: Rc<MembershipClient>, stop: net::StopReceiver) {
        let Ok(listener) = net::listen(SocketAddr::new(ip, 0)).await else {
            return;
        };
        let Ok(address) = listener.local_addr() else {
            return;
        };
        membership
            .put(&self.member(address, MemberState::Live))
            .await;
        let (server_stop_tx, server_stop_rx) = net::stop_channel();
        let name = self.name.clone();
        let handler = Rc::new(move |req| echo(name.clone(), req));
        let serving = net::serve_http1(listener, admission(), handler, server_stop_rx);
        let server = compio::runtime::spawn(serving);
        stop.stopped().await;
        membership
            .put(&self.member(address, MemberState::Leaving))
            .await;
        compio::time::sleep(DRAIN_TIME).await;
        membership.remove(&self.name).await;
        server_stop_tx.send();
        let _ = server.await;
    }

    fn member(&self, address: SocketAddr, state: MemberState) -> Member {
        Member {
            id: self.name.clone(),
            address: address.to_string().into(),
            zone: self.zone.clone(),
            role: MemberRole::Endpoint {
                service: self.service.clone(),
                slots: SLOTS,
                connections: CONNECTIONS,
            },
            state,
        }
    }
}

/// Answers with the body of the request and the name of the instance.
async fn echo(name: Box<str>, req: Request<net::RequestBody>) -> Response<Body> {
    let Ok(body) = req.into_body().collect_up_to(MAX_BODY_BYTES).await else {
        return net::text(StatusCode::BAD_REQUEST, "unreadable body");
    };
    let mut res = net::text(StatusCode::OK, body);
    if let Ok(name) = HeaderValue::from_str(&name) {
        res.headers_mut().insert("x-instance", name);
    }
    res
}
