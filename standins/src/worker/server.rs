//! HTTP server around the model of a worker VM, registered with the platform.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use ragwortstall::core::model::Member;
use ragwortstall::core::model::MemberRole;
use ragwortstall::core::model::MemberState;
use ragwortstall::core::model::RackId;
use ragwortstall::core::model::Resources;
use ragwortstall::core::model::VmId;
use ragwortstall::core::model::VmSync;
use ragwortstall::core::model::ZoneId;
use ragwortstall::shell::net;
use ragwortstall::shell::net::Body;
use ragwortstall::shell::net::StopReceiver;

use super::VmModel;
use super::instance::Instances;
use super::membership::MembershipClient;
use crate::admission;

/// Result of running a worker VM.
pub type Result<T, E = net::Error> = std::result::Result<T, E>;

/// Maximum size of a request body.
const MAX_BODY_BYTES: usize = 16 << 20;

/// Time between checks for ended tasks.
const ADVANCE_INTERVAL: Duration = Duration::from_millis(20);

/// Time between writes of the VM's entry in the membership list.
const REGISTER_INTERVAL: Duration = Duration::from_secs(5);

/// Settings of a worker VM.
#[derive(Clone, Debug)]
pub struct Options {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Name of the VM.
    pub id: VmId,
    /// Availability zone.
    pub zone: ZoneId,
    /// Rack of the VM.
    pub rack: RackId,
    /// Resources of the VM.
    pub capacity: Resources,
    /// Address of the platform.
    pub platform: SocketAddr,
}

struct Vm {
    origin: Instant,
    model: RefCell<VmModel>,
    instances: Instances,
}

impl Vm {
    fn now(&self) -> Duration {
        self.origin.elapsed()
    }

    fn advance(&self) {
        let mut model = self.model.borrow_mut();
        model.advance(self.now());
        self.instances.reconcile(&model);
    }
}

/// Runs the VM until `stop` receives the signal.
pub async fn run(options: Options, stop: StopReceiver) -> Result<()> {
    let listener = net::listen(options.listen).await?;
    let membership = Rc::new(MembershipClient::new(options.platform));
    let model = VmModel::new(options.id.clone(), options.capacity);
    let ip = options.listen.ip();
    let vm = Rc::new(Vm {
        origin: Instant::now(),
        model: RefCell::new(model),
        instances: Instances::new(ip, options.zone.clone(), Rc::clone(&membership)),
    });
    compio::runtime::spawn(register_periodically(options, membership)).detach();
    compio::runtime::spawn(advance_periodically(Rc::clone(&vm))).detach();
    let handler = Rc::new(move |req| handle(Rc::clone(&vm), req));
    net::serve_http1(listener, admission(), handler, stop).await;
    Ok(())
}

async fn register_periodically(options: Options, membership: Rc<MembershipClient>) {
    let member = Member {
        id: options.id,
        address: options.listen.to_string().into(),
        zone: options.zone,
        role: MemberRole::Worker {
            rack: options.rack,
            capacity: options.capacity,
        },
        state: MemberState::Live,
    };
    loop {
        membership.put(&member).await;
        compio::time::sleep(REGISTER_INTERVAL).await;
    }
}

async fn advance_periodically(vm: Rc<Vm>) {
    loop {
        vm.advance();
        compio::time::sleep(ADVANCE_INTERVAL).await;
    }
}

async fn handle(vm: Rc<Vm>, req: Request<net::RequestBody>) -> Response<Body> {
    let method = req.method().clone();
    let path: Box<str> = req.uri().path().into();
    let Ok(body) = req.into_body().collect_up_to(MAX_BODY_BYTES).await else {
        return net::text(StatusCode::BAD_REQUEST, "unreadable body");
    };
    match (method, &*path) {
        (Method::POST, "/v1/sync") => sync(&vm, &body).await,
        (Method::GET, "/ran") => net::json(StatusCode::OK, &vm.model.borrow().log()),
        (Method::PUT, "/fault") => set_faults(&vm, &body),
        _ => net::text(StatusCode::NOT_FOUND, "no such path"),
    }
}

async fn sync(vm: &Vm, body: &[u8]) -> Response<Body> {
    let Ok(sync) = serde_json::from_slice::<VmSync>(body) else {
        return net::text(StatusCode::BAD_REQUEST, "not a sync");
    };
    let answer = vm.model.borrow_mut().sync(vm.now(), &sync);
    vm.advance();
    match answer {
        Some(answer) => net::json(StatusCode::OK, &answer),
        None => std::future::pending().await,
    }
}

fn set_faults(vm: &Vm, body: &[u8]) -> Response<Body> {
    let Ok(faults) = serde_json::from_slice(body) else {
        return net::text(StatusCode::BAD_REQUEST, "not a fault");
    };
    let mut model = vm.model.borrow_mut();
    model.faults = faults;
    // Blocks the only thread, so that the whole VM pauses: tasks and answers alike.
    std::thread::sleep(Duration::from_millis(model.faults.pause_ms));
    net::text(StatusCode::OK, "")
}
