//! Client of the endpoints against the endpoint stand-in, over loopback.

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
use ragwortstall_standins::endpoint::Fault;
use support::cases;

/// Time for an exchange that is expected to end.
const LONG: Duration = Duration::from_secs(30);

/// Time for an exchange that is expected to get no answer.
const SHORT: Duration = Duration::from_millis(100);

/// Connections that may stay open.
const KEEP: usize = 4;

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

    async fn attempt(&self, body: &str, patience: Duration) -> (AttemptOutcome, Option<Bytes>) {
        let address = self.address.to_string();
        let req = request(self.address, body);
        let (end, res) = self.client.attempt(&address, req, patience, KEEP).await;
        (end, res.map(http::Response::into_body))
    }

    /// Opens several connections and leaves them idle.
    async fn warm_up(&self) {
        let attempts = (0..KEEP).map(|_| self.attempt("warm up", LONG));
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

/// Proves that connections older than one that went silent are not used again: the next attempt
/// goes over a fresh one. If it took another idle connection it would get no answer either.
#[test]
fn silent_connection_discredits_older_ones() {
    run(async || {
        let fixture = Fixture::start(8).await;
        fixture.warm_up().await;
        fixture.server.set_fault(Fault {
            silent: true,
            ..Fault::default()
        });
        let (end, _) = fixture.attempt("lost", SHORT).await;
        assert_eq!(end, AttemptOutcome::Incomplete);
        let (end, body) = fixture.attempt("fresh", LONG).await;
        assert_eq!(
            (end, body),
            (AttemptOutcome::Complete, Some("fresh".into()))
        );
    });
}

/// Proves that the answer to an abandoned exchange never reaches another request.
#[test]
fn late_answer_reaches_no_other_request() {
    run(async || {
        let fixture = Fixture::start(64).await;
        for round in 0..20 {
            fixture.server.set_fault(Fault {
                slow_ms: 30,
                ..Fault::default()
            });
            let patience = Duration::from_millis(5 + 2 * round);
            fixture.attempt("late", patience).await;
            fixture.server.set_fault(Fault::default());
            let own = format!("own {round}");
            let attempts = (0..3).map(|_| fixture.attempt(&own, LONG));
            for (end, body) in join_all(attempts).await {
                assert_eq!(
                    (end, body),
                    (AttemptOutcome::Complete, Some(own.clone().into()))
                );
            }
        }
    });
}

/// Proves that an attempt without a whole answer is never told as whole.
fn fault_breaks_the_attempt(fault: Fault) {
    run(async || {
        let fixture = Fixture::start(8).await;
        fixture.server.set_fault(fault);
        let (end, body) = fixture.attempt("panel", LONG).await;
        assert_eq!((end, body), (AttemptOutcome::Incomplete, None));
        fixture.server.set_fault(Fault::default());
        let (end, _) = fixture.attempt("panel", LONG).await;
        assert_eq!(end, AttemptOutcome::Complete);
    });
}

cases! { fault_breaks_the_attempt;
    truncated_answer_is_broken(Fault { truncate: true, ..Fault::default() }),
    reset_connection_is_broken(Fault { reset: true, ..Fault::default() }),
}

/// Proves that a refusal for want of a slot, and a refused connection, are told as not run.
#[test]
fn attempts_that_did_not_run_are_told_so() {
    run(async || {
        let fixture = Fixture::start(0).await;
        let (end, _) = fixture.attempt("panel", LONG).await;
        assert_eq!(end, AttemptOutcome::Declined);
        let closed = listen(([127, 0, 0, 1], 0).into()).await.unwrap();
        let address = closed.local_addr().unwrap();
        drop(closed);
        let req = request(address, "panel");
        let (end, _) = fixture
            .client
            .attempt(&address.to_string(), req, LONG, KEEP)
            .await;
        assert_eq!(end, AttemptOutcome::NotSent);
    });
}

/// Proves the bound on connections that stay open.
fn idle_connections(keep: usize, expected: usize) {
    run(async || {
        let fixture = Fixture::start(64).await;
        let client = Client::new(ClientOptions::default());
        let exchanges = (0..8).map(|_| {
            let req = request(fixture.address, "panel");
            client.send_keeping(fixture.address, req, LONG, keep)
        });
        for res in join_all(exchanges).await {
            assert!(res.is_ok());
        }
        assert_eq!(client.idle(fixture.address), expected);
    });
}

cases! { idle_connections;
    no_connection_is_kept(0, 0),
    few_connections_are_kept(3, 3),
    all_connections_are_kept(64, 8),
}
