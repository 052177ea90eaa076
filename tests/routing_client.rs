//! Tests of the endpoint client against the endpoint stand-in, over loopback.

mod support;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::join_all;
use http::Request;
use http::header::HOST;
use http_body_util::Full;
use ragwortstall::core::event::AttemptOutcome;
use ragwortstall::shell::endpoint::EndpointClient;
use ragwortstall::shell::net::Client;
use ragwortstall::shell::net::ClientOptions;
use ragwortstall::shell::net::listen;
use ragwortstall_standins::endpoint::EndpointServer;
use ragwortstall_standins::endpoint::Faults;
use support::cases;

/// Timeout of an exchange that is expected to complete.
const LONG_TIMEOUT: Duration = Duration::from_secs(30);

/// Timeout of an exchange that is expected to get no response.
const SHORT_TIMEOUT: Duration = Duration::from_millis(100);

/// Maximum number of idle connections.
const MAX_IDLE: usize = 4;

struct Fixture {
    server: Rc<EndpointServer>,
    address: SocketAddr,
    client: EndpointClient,
}

impl Fixture {
    async fn start(slots: u32) -> Self {
        let server = Rc::new(EndpointServer::new(slots, Duration::from_millis(1)));
        let listener = listen(([127, 0, 0, 1], 0).into()).await.unwrap();
        let address = listener.local_addr().unwrap();
        compio::runtime::spawn(Rc::clone(&server).serve(listener)).detach();
        Self {
            server,
            address,
            client: EndpointClient::default(),
        }
    }

    async fn attempt(&self, body: &str, timeout: Duration) -> (AttemptOutcome, Option<Bytes>) {
        let address = self.address.to_string();
        let req = request(self.address, body);
        let (end, res) = self.client.attempt(&address, req, timeout, MAX_IDLE).await;
        (end, res.map(http::Response::into_body))
    }

    /// Opens [`MAX_IDLE`] connections and leaves them idle.
    async fn warm_up(&self) {
        let attempts = (0..MAX_IDLE).map(|_| self.attempt("warm up", LONG_TIMEOUT));
        for (end, _) in join_all(attempts).await {
            assert_eq!(end, AttemptOutcome::Complete);
        }
    }
}

fn request(address: SocketAddr, body: &str) -> Request<Full<Bytes>> {
    Request::post("/panel")
        .header(HOST, address.to_string())
        .body(Full::new(Bytes::from(body.to_owned())))
        .unwrap()
}

fn run(test: impl AsyncFnOnce()) {
    compio::runtime::Runtime::new().unwrap().block_on(test());
}

/// Idle connections that are older than an unanswered exchange get no response either, so they must
/// not be reused: the next attempt must open a new connection.
#[test]
fn unanswered_exchange_invalidates_older_connections() {
    run(async || {
        let fixture = Fixture::start(8).await;
        fixture.warm_up().await;
        fixture.server.set_faults(Faults {
            silent: true,
            ..Faults::default()
        });
        let (end, _) = fixture.attempt("lost", SHORT_TIMEOUT).await;
        assert_eq!(end, AttemptOutcome::Incomplete);
        let (end, body) = fixture.attempt("fresh", LONG_TIMEOUT).await;
        assert_eq!(
            (end, body),
            (AttemptOutcome::Complete, Some("fresh".into()))
        );
    });
}

/// A late response to an abandoned exchange must not be delivered to another request, which would
/// happen if its connection were reused.
#[test]
fn late_response_is_not_delivered_to_another_request() {
    run(async || {
        let fixture = Fixture::start(64).await;
        for round in 0..20 {
            fixture.server.set_faults(Faults {
                slow_ms: 30,
                ..Faults::default()
            });
            let timeout = Duration::from_millis(5 + 2 * round);
            fixture.attempt("late", timeout).await;
            fixture.server.set_faults(Faults::default());
            let own = format!("own {round}");
            let attempts = (0..3).map(|_| fixture.attempt(&own, LONG_TIMEOUT));
            for (end, body) in join_all(attempts).await {
                assert_eq!(
                    (end, body),
                    (AttemptOutcome::Complete, Some(own.clone().into()))
                );
            }
        }
    });
}

/// An attempt without a complete response must not be reported as complete.
fn fault_makes_the_attempt_incomplete(fault: Faults) {
    run(async || {
        let fixture = Fixture::start(8).await;
        fixture.server.set_faults(fault);
        let (end, body) = fixture.attempt("panel", LONG_TIMEOUT).await;
        assert_eq!((end, body), (AttemptOutcome::Incomplete, None));
        fixture.server.set_faults(Faults::default());
        let (end, _) = fixture.attempt("panel", LONG_TIMEOUT).await;
        assert_eq!(end, AttemptOutcome::Complete);
    });
}

cases! { fault_makes_the_attempt_incomplete;
    truncated_response_is_incomplete(Faults { truncate: true, ..Faults::default() }),
    reset_connection_is_incomplete(Faults { reset: true, ..Faults::default() }),
}

/// A request that the endpoint declines for lack of a slot, or whose connection is refused, must be
/// reported as not run.
#[test]
fn attempts_that_did_not_run_are_reported_as_not_run() {
    run(async || {
        let fixture = Fixture::start(0).await;
        let (end, _) = fixture.attempt("panel", LONG_TIMEOUT).await;
        assert_eq!(end, AttemptOutcome::Declined);
        let closed = listen(([127, 0, 0, 1], 0).into()).await.unwrap();
        let address = closed.local_addr().unwrap();
        drop(closed);
        let req = request(address, "panel");
        let (end, _) = fixture
            .client
            .attempt(&address.to_string(), req, LONG_TIMEOUT, MAX_IDLE)
            .await;
        assert_eq!(end, AttemptOutcome::NotSent);
    });
}

/// At most `max_idle` connections must stay open after concurrent exchanges.
fn idle_connections(max_idle: usize, expected: usize) {
    run(async || {
        let fixture = Fixture::start(64).await;
        let client = Client::new(ClientOptions::default());
        let exchanges = (0..8).map(|_| {
            let req = request(fixture.address, "panel");
            client.send_with_max_idle(fixture.address, req, LONG_TIMEOUT, max_idle)
        });
        for res in join_all(exchanges).await {
            assert!(res.is_ok());
        }
        assert_eq!(client.idle(fixture.address), expected);
    });
}

cases! { idle_connections;
    keeps_no_connection(0, 0),
    keeps_max_idle_connections(3, 3),
    keeps_all_connections(64, 8),
}
