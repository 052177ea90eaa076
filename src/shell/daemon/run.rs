//! Startup and graceful shutdown of the daemon.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use compio::signal::unix::signal;
use futures_channel::mpsc;
use futures_util::StreamExt;
use metrics_exporter_prometheus::BuildError;
use metrics_exporter_prometheus::PrometheusBuilder;
use quick_error::quick_error;
use spdlog::warn;

use super::Daemon;
use super::Ring;
use super::TIMELINE_CAPACITY;
use super::pending::PendingReplies;
use crate::config::Config;
use crate::core::Event;
use crate::core::State;
use crate::core::timeline::HybridClock;
use crate::shell::clock::Clock;
use crate::shell::endpoint::EndpointClient;
use crate::shell::http::Api;
use crate::shell::net;
use crate::shell::net::Admission;
use crate::shell::net::ClosedConnections;
use crate::shell::net::Listener;
use crate::shell::net::MachineLimits;
use crate::shell::net::StopSender;
use crate::shell::net::listen;
use crate::shell::net::serve_http1;
use crate::shell::net::spawn_sweeps;
use crate::shell::net::stop_channel;
use crate::shell::peer;
use crate::shell::peer::PeerClient;
use crate::shell::platform::PlatformClient;
use crate::shell::worker::WorkerClient;

/// Result of running the daemon.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Interval between the reducer's ticks.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Timeout of a VM sync.
const SYNC_TIMEOUT: Duration = Duration::from_secs(1);

/// Timeout of a call to another daemon.
const PEER_TIMEOUT: Duration = Duration::from_millis(800);

/// Time for callers to finish sending, so that they receive the answer that their request was not
/// run. Exceeds the body timeout of the HTTP interface (30 s).
const CLOSE_TIMEOUT: Duration = Duration::from_secs(35);

/// Time for responses that are already written to reach their callers before the process exits.
const FLUSH_DELAY: Duration = Duration::from_millis(200);

quick_error! {
    /// The daemon could not be started.
    #[derive(Debug)]
    pub enum Error {
        /// A socket could not be opened.
        Net(err: net::Error) {
            from()
            display("{err}")
            source(err)
        }
        /// The metrics recorder could not be installed.
        Metrics(err: BuildError) {
            from()
            display("install the metrics recorder: {err}")
            source(err)
        }
        /// The system returned no random bytes.
        Random(err: getrandom::Error) {
            from()
            display("read random bytes from the system: {err}")
        }
    }
}

/// Runs a daemon until it has been asked to stop and has drained.
pub async fn run(config: &Config) -> Result<()> {
    let metrics = PrometheusBuilder::new().install_recorder()?;
    let (drained_tx, mut drained_rx) = stop_channel();
    let daemon = Rc::new(build(config, drained_tx)?);
    let (http_stop_tx, http_stop_rx) = stop_channel();
    let (peer_stop_tx, peer_stop_rx) = stop_channel();
    let http = listen(config.daemon.http).await?;
    let peers = listen(config.daemon.peer).await?;

    let api = Rc::new(Api::new(Rc::clone(&daemon), config, metrics));
    let handler = Rc::new(move |req| Rc::clone(&api).serve(req));
    let [for_callers, for_peers] = admissions(config);
    let serving = serve_http1(http, Rc::clone(&for_callers), handler, http_stop_rx);
    let callers = compio::runtime::spawn(serving);
    spawn_peer_server(&daemon, peers, Rc::clone(&for_peers), peer_stop_rx);
    spawn_sweeps(vec![for_callers, for_peers], log_closed);
    spawn_ticks(&daemon);
    spawn_signal_handlers(&daemon);

    drained_rx.wait().await;
    http_stop_tx.send();
    let _ = compio::time::timeout(CLOSE_TIMEOUT, callers).await;
    peer_stop_tx.send();
    compio::time::sleep(FLUSH_DELAY).await;
    Ok(())
}

fn build(config: &Config, drained_tx: StopSender) -> Result<Daemon> {
    let mut options = config.options();
    options.clock_origin = Clock::unix_time();
    options.routing.started_at = Clock::unix_time();
    options.routing.seed = getrandom::u64()?;
    let platform = PlatformClient::new(config.platform.address, config.platform.timeout)
        .with_zone(&options.zone);
    Ok(Daemon {
        id: options.me.clone(),
        clock: Clock::start(),
        state: RefCell::new(State::new(options)),
        hybrid_clock: RefCell::new(HybridClock::default()),
        timeline: RefCell::new(Ring::new(TIMELINE_CAPACITY)),
        platform,
        workers: WorkerClient::new(SYNC_TIMEOUT),
        endpoints: EndpointClient::default(),
        peers: PeerClient::new(PEER_TIMEOUT),
        pending: RefCell::new(PendingReplies::default()),
        last_ticket: Cell::new(0),
        drained_tx,
    })
}

/// Returns the admissions of callers and of other daemons.
fn admissions(config: &Config) -> [Rc<Admission>; 2] {
    let machine = MachineLimits {
        memory_bytes: Some(config.limits.memory()),
        descriptors: config.limits.descriptors.or_else(max_descriptors),
    };
    let limits = config.limits.requests();
    [Listener::Clients, Listener::Peers]
        .map(|listener| Admission::new(listener, machine.bounds(listener), move || limits))
}

/// Returns the number of descriptors that the system lets this process open; `None` if it is not known.
fn max_descriptors() -> Option<usize> {
    let limits = std::fs::read_to_string("/proc/self/limits").ok()?;
    let mut lines = limits.lines();
    let soft = lines.find_map(|line| line.strip_prefix("Max open files"))?;
    soft.split_whitespace().next()?.parse().ok()
}

fn log_closed(closed: ClosedConnections) {
    let ClosedConnections {
        listener,
        by_reason,
        open,
        held_bytes,
    } = closed;
    warn!("closed connections of {listener}: {by_reason:?}; {open} open, {held_bytes} bytes held");
}

fn spawn_peer_server(
    daemon: &Rc<Daemon>,
    listener: compio::net::TcpListener,
    admission: Rc<Admission>,
    stop: net::StopReceiver,
) {
    let (tx, mut rx) = mpsc::unbounded();
    compio::runtime::spawn(peer::serve(
        listener,
        admission,
        daemon.id.clone(),
        tx,
        stop,
    ))
    .detach();
    let daemon = Rc::clone(daemon);
    compio::runtime::spawn(async move {
        while let Some(req) = rx.next().await {
            daemon.handle_peer_request(req);
        }
    })
    .detach();
}

fn spawn_ticks(daemon: &Rc<Daemon>) {
    let daemon = Rc::clone(daemon);
    compio::runtime::spawn(async move {
        loop {
            daemon.apply(Event::Tick);
            compio::time::sleep(TICK_INTERVAL).await;
        }
    })
    .detach();
}

/// Starts the graceful shutdown on `SIGTERM` or `SIGINT`.
fn spawn_signal_handlers(daemon: &Rc<Daemon>) {
    for number in [signal_number::TERM, signal_number::INT] {
        let daemon = Rc::clone(daemon);
        compio::runtime::spawn(async move {
            if signal(number).await.is_ok() {
                daemon.apply(Event::Drain);
            }
        })
        .detach();
    }
}

/// Signal numbers, which are the same on every Unix.
mod signal_number {
    /// `SIGINT`, an interrupt from the terminal.
    pub(super) const INT: i32 = 2;

    /// `SIGTERM`, a termination request.
    pub(super) const TERM: i32 = 15;
}
