//! Server loop over HTTP/1.1 and HTTP/2 with graceful stop.

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

/// Body of every answer that the daemon writes itself.
pub type Body = Full<Bytes>;

/// Interval of looks at whether the last connection has closed.
const CLOSE_POLL: Duration = Duration::from_millis(10);

/// Delay before accepting again after the system refused a connection.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Resolves once the server should stop.
#[derive(Clone, Debug)]
pub struct StopReceiver(Shared<oneshot::Receiver<()>>);

impl StopReceiver {
    /// Waits until the server should stop.
    pub async fn wait(&mut self) {
        let _ = (&mut self.0).await;
    }
}

/// Tells all clones of its [`StopReceiver`] to stop, when fired or dropped.
pub struct StopSender(Cell<Option<oneshot::Sender<()>>>);

impl StopSender {
    /// Fires; later calls do nothing.
    pub fn send(&self) {
        if let Some(tx) = self.0.take() {
            let _ = tx.send(());
        }
    }
}

impl StopReceiver {
    /// Waits until the server should stop.
    pub async fn stopped(&self) {
        let _ = self.0.clone().await;
    }
}

/// Returns a connected pair.
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

/// Accepts connections until `stop`, answering HTTP/1.1 requests with `handler`. Requests in
/// flight at the stop are finished.
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

/// Accepts connections until `stop`, answering HTTP/2 requests with `service`.
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

/// Serves connections until `stop`, and returns once the last of them has closed.
async fn accept_loop<F, Fut>(listener: TcpListener, stop: StopReceiver, serve: F)
where
    F: Fn(TcpStream) -> Fut,
    Fut: Future<Output = ()> + 'static,
{
    let open = Rc::new(());
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
        let served = serve(stream);
        let held = Rc::clone(&open);
        compio::runtime::spawn(async move {
            served.await;
            drop(held);
        })
        .detach();
    }
    drop(listener);
    while Rc::strong_count(&open) > 1 {
        compio::time::sleep(CLOSE_POLL).await;
    }
}

/// Reads a whole body of at most `limit` bytes.
pub async fn collect(body: Incoming, limit: usize) -> Result<Bytes> {
    match Limited::new(body, limit).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(err) => match err.downcast::<hyper::Error>() {
            Ok(err) => Err(Error::ReadBody(*err)),
            Err(_) => Err(Error::TooLarge(limit)),
        },
    }
}

/// Returns an answer with a JSON body.
///
/// # Panics
///
/// When `value` cannot be written as JSON, which the types of this crate never do.
pub fn json<T: Serialize>(status: StatusCode, value: &T) -> Response<Body> {
    let body = serde_json::to_vec(value).expect("types of this crate serialize to JSON");
    with_type(status, "application/json", body)
}

/// Returns an answer with a plain text body.
pub fn text(status: StatusCode, body: impl Into<Bytes>) -> Response<Body> {
    with_type(status, "text/plain; charset=utf-8", body)
}

fn with_type(status: StatusCode, kind: &'static str, body: impl Into<Bytes>) -> Response<Body> {
    let mut res = Response::new(Full::new(body.into()));
    *res.status_mut() = status;
    res.headers_mut()
        .insert(CONTENT_TYPE, http::HeaderValue::from_static(kind));
    res
}
