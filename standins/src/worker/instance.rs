//! Service tasks of a worker VM: each listens, answers requests and is in the membership list.

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
use hyper::body::Incoming;
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
use super::registry::Registry;

/// Requests that an instance works on at the same time.
const SLOTS: u32 = 8;

/// Connections that an instance accepts.
const CONNECTIONS: u32 = 64;

/// Largest body of a request, in bytes.
const BODY_LIMIT: usize = 16 << 20;

/// Time for which an instance that leaves still answers.
const LEAVE_TIME: Duration = Duration::from_secs(5);

/// Instances of one VM.
pub(super) struct Instances {
    ip: IpAddr,
    zone: ZoneId,
    registry: Rc<Registry>,
    open: RefCell<BTreeMap<TaskRef, StopSender>>,
}

impl Instances {
    /// Returns a VM without instances.
    pub fn new(ip: IpAddr, zone: ZoneId, registry: Rc<Registry>) -> Self {
        Self {
            ip,
            zone,
            registry,
            open: RefCell::default(),
        }
    }

    /// Opens an instance for each service task that runs, and closes those whose task has ended.
    pub fn follow(&self, model: &VmModel) {
        let mut open = self.open.borrow_mut();
        let mut running = BTreeMap::new();
        for start in model.running() {
            if let Some(service) = &start.service {
                running.insert(start.task.clone(), service.clone());
            }
        }
        open.retain(|task, _| running.contains_key(task));
        for (task, service) in running {
            open.entry(task.clone()).or_insert_with(|| {
                let (stopper, stop) = net::stop_channel();
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
                let registry = Rc::clone(&self.registry);
                compio::runtime::spawn(instance.run(self.ip, registry, stop)).detach();
                stopper
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
    async fn run(self, ip: IpAddr, registry: Rc<Registry>, stop: net::StopReceiver) {
        let Ok(listener) = net::listen(SocketAddr::new(ip, 0)).await else {
            return;
        };
        let Ok(address) = listener.local_addr() else {
            return;
        };
        registry.put(&self.member(address, MemberState::Live)).await;
        let (closing, closed) = net::stop_channel();
        let name = self.name.clone();
        let handler = Rc::new(move |req| answer(name.clone(), req));
        let serving = compio::runtime::spawn(net::serve_http1(listener, handler, closed));
        stop.stopped().await;
        registry
            .put(&self.member(address, MemberState::Leaving))
            .await;
        compio::time::sleep(LEAVE_TIME).await;
        registry.remove(&self.name).await;
        closing.send();
        let _ = serving.await;
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

async fn answer(name: Box<str>, req: Request<Incoming>) -> Response<Body> {
    let Ok(body) = net::collect(req.into_body(), BODY_LIMIT).await else {
        return net::text(StatusCode::BAD_REQUEST, "unreadable body");
    };
    let mut res = net::text(StatusCode::OK, body);
    if let Ok(name) = HeaderValue::from_str(&name) {
        res.headers_mut().insert("x-instance", name);
    }
    res
}
