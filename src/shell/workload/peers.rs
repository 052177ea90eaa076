//! Serves the calls of other daemons: forwarded advice queries and relayed calls of clients.

use std::rc::Rc;

use compio::net::TcpListener;
use hyper::service::service_fn;
use tonic::server::NamedService;
use tower_service::Service;

use super::Backend;
use super::Runner;
use super::advice;
use super::relay;
use crate::proto::relay::relay_server::RelayServer;
use crate::shell::net::Admission;
use crate::shell::net::Body;
use crate::shell::net::StopReceiver;
use crate::shell::net::serve_http2;

/// Serves the calls of other daemons on the connections that `admission` admits, until `stop`.
pub async fn serve<B: Backend>(
    listener: TcpListener,
    admission: Rc<Admission>,
    runner: Rc<Runner<B>>,
    stop: StopReceiver,
) {
    let advice = advice::server(runner.backend());
    let relay = relay::server(runner);
    let relay_prefix = format!("/{}/", RelayServer::<relay::Service>::NAME);
    let service = service_fn(move |req: http::Request<Body>| {
        let is_relay = req.uri().path().starts_with(&relay_prefix);
        let (mut advice, mut relay) = (advice.clone(), relay.clone());
        async move {
            if is_relay {
                relay.call(req).await
            } else {
                advice.call(req).await
            }
        }
    });
    serve_http2(listener, admission, service, stop).await;
}
