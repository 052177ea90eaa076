//! Start and graceful stop of the daemon.

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

use super::Daemon;
use super::Ring;
use super::TIMELINE_CAPACITY;
use super::waiting::Waiting;
use crate::config::Config;
use crate::core::Event;
use crate::core::State;
use crate::core::timeline::HybridClock;
use crate::shell::clock::Clock;
use crate::shell::endpoint::EndpointClient;
use crate::shell::http::Api;
use crate::shell::net;
use crate::shell::net::Stopper;
use crate::shell::net::listen;
use crate::shell::net::serve_http1;
use crate::shell::net::stop_pair;
use crate::shell::peer;
use crate::shell::peer::PeerClient;
use crate::shell::platform::PlatformClient;
use crate::shell::worker::WorkerClient;

/// Result of running a daemon.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Interval of the reducer's ticks.
const TICK: Duration = Duration::from_millis(20);

/// Time after which a sync of a VM is given up.
const SYNC_TIMEOUT: Duration = Duration::from_secs(1);

/// Time after which a call to another daemon is given up.
const PEER_TIMEOUT: Duration = Duration::from_millis(800);

/// Time for callers to finish sending, so that they can be told that their request was not run. It
/// passes the time that a body may take.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(35);

/// Time for answers already written to reach their callers before the process exits.
const LINGER: Duration = Duration::from_millis(200);

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
        /// The system has no random numbers.
        Random(err: getrandom::Error) {
            from()
            display("draw a random number: {err}")
        }
    }
}

/// Runs a daemon until it is told to stop and has drained.
pub async fn run(config: &Config) -> Result<()> {
    let metrics = PrometheusBuilder::new().install_recorder()?;
    let (drained, mut has_drained) = stop_pair();
    let daemon = Rc::new(build(config, drained)?);
    let (stop_http, http_stop) = stop_pair();
    let (stop_peers, peers_stop) = stop_pair();
    let http = listen(config.daemon.http).await?;
    let peers = listen(config.daemon.peer).await?;

    let api = Rc::new(Api::new(Rc::clone(&daemon), config, metrics));
    let handler = Rc::new(move |req| Rc::clone(&api).serve(req));
    let callers = compio::runtime::spawn(serve_http1(http, handler, http_stop));
    spawn_peers(&daemon, peers, peers_stop);
    spawn_ticks(&daemon);
    spawn_signals(&daemon);

    has_drained.wait().await;
    stop_http.fire();
    let _ = compio::time::timeout(CLOSE_TIMEOUT, callers).await;
    stop_peers.fire();
    compio::time::sleep(LINGER).await;
    Ok(())
}

fn build(config: &Config, drained: Stopper) -> Result<Daemon> {
    let mut options = config.options();
    options.origin = Clock::unix();
    options.routing.started_at = Clock::unix();
    options.routing.seed = getrandom::u64()?;
    let platform = PlatformClient::new(config.platform.address, config.platform.timeout)
        .with_zone(&options.zone);
    Ok(Daemon {
        me: options.me.clone(),
        clock: Clock::start(),
        state: RefCell::new(State::new(options)),
        stamps: RefCell::new(HybridClock::default()),
        ring: RefCell::new(Ring::new(TIMELINE_CAPACITY)),
        platform,
        workers: WorkerClient::new(SYNC_TIMEOUT),
        endpoints: EndpointClient::default(),
        peers: PeerClient::new(PEER_TIMEOUT),
        waiting: RefCell::new(Waiting::default()),
        tickets: Cell::new(0),
        drained,
    })
}

fn spawn_peers(daemon: &Rc<Daemon>, listener: compio::net::TcpListener, stop: net::Stop) {
    let (tx, mut rx) = mpsc::unbounded();
    compio::runtime::spawn(peer::serve(listener, daemon.me.clone(), tx, stop)).detach();
    let daemon = Rc::clone(daemon);
    compio::runtime::spawn(async move {
        while let Some(incoming) = rx.next().await {
            daemon.peer_asked(incoming);
        }
    })
    .detach();
}

fn spawn_ticks(daemon: &Rc<Daemon>) {
    let daemon = Rc::clone(daemon);
    compio::runtime::spawn(async move {
        loop {
            daemon.feed(Event::Tick);
            compio::time::sleep(TICK).await;
        }
    })
    .detach();
}

/// `SIGTERM` and `SIGINT` start the graceful stop.
fn spawn_signals(daemon: &Rc<Daemon>) {
    for number in [signal_number::TERM, signal_number::INT] {
        let daemon = Rc::clone(daemon);
        compio::runtime::spawn(async move {
            if signal(number).await.is_ok() {
                daemon.feed(Event::Drain);
            }
        })
        .detach();
    }
}

/// Numbers of the signals, the same on every Unix.
mod signal_number {
    /// Interrupt from the terminal.
    pub(super) const INT: i32 = 2;

    /// Request to end.
    pub(super) const TERM: i32 = 15;
}
