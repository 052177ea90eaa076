//! Server for HTTP/1.1 and HTTP/2 with graceful shutdown.

use std::cell::Cell;
use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use compio::net::TcpListener;
use compio::net::TcpStream;
use cyper_core::HyperStream;
use futures_channel::oneshot;
use futures_util::FutureExt;
use futures_util::future::Either;
use futures_util::future::Shared;
use futures_util::future::select;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header::CONTENT_TYPE;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::server::conn::http2;
use hyper::service::Service;
use hyper::service::service_fn;
use serde::Serialize;

use super::Error;
use super::LocalExecutor;
use super::Result;
use super::RuntimeTimer;

/// Body of the responses that a server sends.
pub type Body = Full<Bytes>;

/// Interval at which shutdown checks whether all connections have closed.
const CLOSE_POLL: Duration = Duration::from_millis(10);

/// Delay before the next accept after a failed one.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Receiver of the stop signal; clones receive the same signal.
#[derive(Clone, Debug)]
pub struct StopReceiver(Shared<oneshot::Receiver<()>>);

impl StopReceiver {
    /// Waits for the stop signal. Must not be called again after it has returned.
    pub async fn wait(&mut self) {
        let _ = (&mut self.0).await;
    }

    /// Waits for the stop signal on a clone, so that it can be called repeatedly.
    pub async fn stopped(&self) {
        let _ = self.0.clone().await;
    }
}

/// Sender of the stop signal to all clones of its [`StopReceiver`]. Dropping it sends the signal.
pub struct StopSender(Cell<Option<oneshot::Sender<()>>>);

impl StopSender {
    /// Sends the signal; later calls have no effect.
    pub fn send(&self) {
        if let Some(tx) = self.0.take() {
            let _ = tx.send(());
        }
    }
}

/// Returns a connected pair of stop sender and receiver.
#[must_use]
pub fn stop_channel() -> (StopSender, StopReceiver) {
    let (tx, rx) = oneshot::channel();
    (StopSender(Cell::new(Some(tx))), StopReceiver(rx.shared()))
}

/// Opens a listening socket.
pub async fn listen(addr: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(addr)
        .await
        .map_err(|err| Error::Listen(addr, err))
}

/// Serves HTTP/1.1 requests with `handler` until `stop` receives the signal. Requests in
/// flight at that time are completed before the function returns.
pub async fn serve_http1<F, Fut>(listener: TcpListener, handler: Rc<F>, stop: StopReceiver)
where
    F: Fn(Request<Incoming>) -> Fut + 'static,
    Fut: Future<Output = Response<Body>> + 'static,
{
    accept_loop(listener, stop.clone(), move |stream| {
        let handler = Rc::clone(&handler);
        let stop = stop.clone();
        async move {
            let service = service_fn(move |req| {
                let reply = handler(req);
                async move { Ok::<_, Infallible>(reply.await) }
            });
            let conn = http1::Builder::new()
                .timer(RuntimeTimer)
                .serve_connection(HyperStream::new_plain(stream), service);
            let mut conn = pin!(conn);
            if let Either::Right(_) = select(conn.as_mut(), stop.0).await {
                conn.as_mut().graceful_shutdown();
                let _ = conn.await;
            }
        }
    })
    .await;
}

/// Serves HTTP/2 requests with `service` until `stop` receives the signal. Requests in
/// flight at that time are completed before the function returns.
pub async fn serve_http2<S, B>(listener: TcpListener, service: S, stop: StopReceiver)
where
    S: Service<Request<Incoming>, Response = Response<B>> + Clone + 'static,
    S::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
    S::Future: 'static,
    B: hyper::body::Body + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    accept_loop(listener, stop.clone(), move |stream| {
        let service = service.clone();
        let stop = stop.clone();
        async move {
            let conn = http2::Builder::new(LocalExecutor)
                .timer(RuntimeTimer)
                .serve_connection(HyperStream::new_plain(stream), service);
            let mut conn = pin!(conn);
            if let Either::Right(_) = select(conn.as_mut(), stop.0).await {
                conn.as_mut().graceful_shutdown();
                let _ = conn.await;
            }
        }
    })
    .await;
}

/// Accepts connections until `stop` receives the signal, and returns once all of them have closed.
async fn accept_loop<F, Fut>(listener: TcpListener, stop: StopReceiver, serve: F)
where
    F: Fn(TcpStream) -> Fut,
    Fut: Future<Output = ()> + 'static,
{
    let connections = Rc::new(());
    loop {
        let accepted = match select(pin!(listener.accept()), stop.0.clone()).await {
            Either::Left((accepted, _)) => accepted,
            Either::Right(_) => break,
        };
        let Ok((stream, _)) = accepted else {
            compio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        let connection = serve(stream);
        let counted = Rc::clone(&connections);
        compio::runtime::spawn(async move {
            connection.await;
            drop(counted);
        })
        .detach();
    }
    drop(listener);
    while Rc::strong_count(&connections) > 1 {
        compio::time::sleep(CLOSE_POLL).await;
    }
}

/// Reads a complete request body of at most `limit` bytes.
pub async fn collect(body: Incoming, limit: usize) -> Result<Bytes> {
    match Limited::new(body, limit).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(err) => match err.downcast::<hyper::Error>() {
            Ok(err) => Err(Error::ReadBody(*err)),
            Err(_) => Err(Error::TooLarge(limit)),
        },
    }
}

/// Returns a response with a JSON body.
///
/// # Panics
///
/// If `value` cannot be serialized as JSON, which does not happen for the types of this crate.
pub fn json<T: Serialize>(status: StatusCode, value: &T) -> Response<Body> {
    let body = serde_json::to_vec(value).expect("types of this crate serialize to JSON");
    with_content_type(status, "application/json", body)
}

/// Returns a response with a plain text body.
pub fn text(status: StatusCode, body: impl Into<Bytes>) -> Response<Body> {
    with_content_type(status, "text/plain; charset=utf-8", body)
}

fn with_content_type(
    status: StatusCode,
    content_type: &'static str,
    body: impl Into<Bytes>,
) -> Response<Body> {
    let mut res = Response::new(Full::new(body.into()));
    *res.status_mut() = status;
    res.headers_mut()
        .insert(CONTENT_TYPE, http::HeaderValue::from_static(content_type));
    res
}
