//! Server for HTTP/1.1 and HTTP/2 with graceful shutdown.

use std::cell::Cell;
use std::convert::Infallible;
use std::future::Future;
use std::future::poll_fn;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::pin::pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use compio::net::TcpListener;
use compio::net::TcpSocket;
use compio::net::TcpStream;
use futures_channel::oneshot;
use futures_util::FutureExt;
use futures_util::future::Either;
use futures_util::future::Shared;
use futures_util::future::select;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header::CONTENT_TYPE;
use http_body_util::Full;
use hyper::body::Body as HttpBody;
use hyper::body::Incoming;
use hyper::server::conn::http2;
use hyper::service::HttpService;
use hyper::service::Service;
use hyper::service::service_fn;
use serde::Serialize;

use super::Error;
use super::LocalExecutor;
use super::Result;
use super::RuntimeTimer;
use super::admission::Admission;
use super::admission::Admitted;
use super::admission::Exchange;
use super::admission::Signal;
use super::admission::Working;
use super::body::Body;
use super::body::CountedBody;
use super::body::RequestBody;
use super::http1::Http1;
use super::stream::CountedStream;

/// Interval at which shutdown checks whether all connections have closed.
const CLOSE_POLL: Duration = Duration::from_millis(10);

/// Delay before the next accept after a failed one.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Size of a connection's buffers in the system, for each direction, in bytes.
const SOCKET_BUFFER_BYTES: u32 = 64 << 10;

/// Maximum number of connections that wait to be accepted.
const BACKLOG: i32 = 128;

/// Maximum number of times that other tasks run before the next connection is accepted.
const MAX_YIELDS: usize = 64;

/// Maximum size of the headers of a call between daemons, in bytes.
const MAX_HEADER_LIST_BYTES: u32 = 4 << 10;

/// Maximum number of calls on a connection between daemons at the same time.
const MAX_STREAMS: u32 = 64;

/// Flow-control window of a call between daemons, in bytes.
const STREAM_WINDOW_BYTES: u32 = 64 << 10;

/// Flow-control window of a connection between daemons, in bytes.
const CONNECTION_WINDOW_BYTES: u32 = 64 << 10;

/// Bytes of an answer that are buffered for a daemon that does not read.
const SEND_BUFFER_BYTES: usize = 16 << 10;

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

/// Opens a listening socket. What the system buffers for its connections is bounded.
pub async fn listen(addr: SocketAddr) -> Result<TcpListener> {
    let listener = try_listen(addr).await;
    listener.map_err(|err| Error::Listen(addr, err))
}

async fn try_listen(addr: SocketAddr) -> io::Result<TcpListener> {
    let socket = match addr {
        SocketAddr::V4(_) => TcpSocket::new_v4().await?,
        SocketAddr::V6(_) => TcpSocket::new_v6().await?,
    };
    socket.set_reuseaddr(true)?;
    socket.set_recv_buffer_size(SOCKET_BUFFER_BYTES)?;
    socket.set_send_buffer_size(SOCKET_BUFFER_BYTES)?;
    socket.bind(addr).await?;
    socket.listen(BACKLOG).await
}

/// Serves HTTP/1.1 requests with `handler` on the connections that `admission` admits, until `stop`
/// receives the signal. Requests in flight at that time are completed before the function returns.
pub async fn serve_http1<F, Fut>(
    listener: TcpListener,
    admission: Rc<Admission>,
    handler: Rc<F>,
    stop: StopReceiver,
) where
    F: Fn(Request<RequestBody>) -> Fut + 'static,
    Fut: Future<Output = Response<Body>> + 'static,
{
    accept_loop(
        listener,
        admission,
        stop.clone(),
        move |stream, admitted| {
            let handler = Rc::clone(&handler);
            let stop = stop.clone();
            async move {
                let handle = admitted.handle();
                let stream = CountedStream::new(stream, admitted.handle());
                let monitor = stream.monitor();
                let service = service_fn(move |req: Request<Incoming>| {
                    let body_bytes = req.body().size_hint().exact();
                    monitor.borrow_mut().begin_body(body_bytes);
                    let exchange = Exchange::begin(&handle);
                    let reply = handler(with_counted_body(req, &exchange));
                    async move { Ok::<_, Infallible>(with_counted_answer(reply.await, exchange)) }
                });
                let conn = Http1::new(stream, service, &admitted);
                drive(conn, &admitted, stop).await;
            }
        },
    )
    .await;
}

/// Serves HTTP/2 requests, each received whole, with `service` on the connections that `admission` admits,
/// until `stop` receives the signal. Requests in flight at that time are completed before the function
/// returns.
pub async fn serve_http2<S, B>(
    listener: TcpListener,
    admission: Rc<Admission>,
    service: S,
    stop: StopReceiver,
) where
    S: Service<Request<Body>, Response = Response<B>, Error = Infallible> + Clone + 'static,
    S::Future: 'static,
    B: hyper::body::Body + Unpin + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    accept_loop(
        listener,
        admission,
        stop.clone(),
        move |stream, admitted| {
            let service = service.clone();
            let stop = stop.clone();
            async move {
                let handle = admitted.handle();
                let service = service_fn(move |req| {
                    let exchange = Exchange::begin(&handle);
                    let service = service.clone();
                    async move {
                        let (head, body) = with_counted_body(req, &exchange).into_parts();
                        let body = body.collect().await?;
                        let req = Request::from_parts(head, Full::new(body));
                        let Ok(res) = service.call(req).await;
                        Ok::<_, Error>(with_counted_answer(res, exchange))
                    }
                });
                let stream = CountedStream::new(stream, admitted.handle());
                let conn = http2_builder().serve_connection(stream, service);
                drive(conn, &admitted, stop).await;
            }
        },
    )
    .await;
}

/// Connection of a server that can be asked to close after its requests in flight.
pub(super) trait GracefulShutdown: Future {
    fn start_shutdown(self: Pin<&mut Self>);
}

impl<I, B, S> GracefulShutdown for http2::Connection<I, S, LocalExecutor>
where
    S: HttpService<Incoming, ResBody = B>,
    S::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
    S::Future: 'static,
    I: hyper::rt::Read + hyper::rt::Write + Unpin + 'static,
    B: hyper::body::Body + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    fn start_shutdown(self: Pin<&mut Self>) {
        self.graceful_shutdown();
    }
}

/// Runs a connection until it ends or is to be closed. Shuts it down gracefully once `stop` receives the
/// signal or the connection is retired.
async fn drive<C: GracefulShutdown>(conn: C, admitted: &Admitted, stop: StopReceiver) {
    let mut conn = pin!(conn);
    let mut stop = stop.0.fuse();
    poll_fn(|cx| {
        let signal = admitted.poll_signal(cx);
        if signal == Poll::Ready(Signal::Close) {
            return Poll::Ready(());
        }
        if stop.poll_unpin(cx).is_ready() || signal.is_ready() {
            conn.as_mut().start_shutdown();
        }
        conn.as_mut().poll(cx).map(drop)
    })
    .await;
}

fn http2_builder() -> http2::Builder<LocalExecutor> {
    let mut builder = http2::Builder::new(LocalExecutor);
    builder
        .timer(RuntimeTimer)
        .max_concurrent_streams(MAX_STREAMS)
        .max_header_list_size(MAX_HEADER_LIST_BYTES)
        .initial_stream_window_size(STREAM_WINDOW_BYTES)
        .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
        .max_send_buf_size(SEND_BUFFER_BYTES);
    builder
}

fn with_counted_body(req: Request<Incoming>, exchange: &Exchange<Working>) -> Request<RequestBody> {
    let (head, body) = req.into_parts();
    let body = RequestBody::new(body, &head.headers, exchange.held());
    Request::from_parts(head, body)
}

fn with_counted_answer<B: hyper::body::Body>(
    res: Response<B>,
    exchange: Exchange<Working>,
) -> Response<CountedBody<B>> {
    let bytes = usize::try_from(res.body().size_hint().lower()).unwrap_or(usize::MAX);
    let exchange = exchange.answer(bytes);
    res.map(|body| CountedBody::new(body, exchange))
}

/// Accepts connections until `stop` receives the signal, and returns once all of them have closed.
async fn accept_loop<F, Fut>(
    listener: TcpListener,
    admission: Rc<Admission>,
    stop: StopReceiver,
    serve: F,
) where
    F: Fn(TcpStream, Admitted) -> Fut,
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
        if let Some(admitted) = admission.admit() {
            let _ = stream.set_nodelay(true);
            let connection = serve(stream, admitted);
            let counted = Rc::clone(&connections);
            compio::runtime::spawn(async move {
                connection.await;
                drop(counted);
            })
            .detach();
        }
        // Connections that were closed to admit this one end before the next one is accepted.
        yield_now().await;
        for _ in 0..MAX_YIELDS {
            if !admission.has_many_orphans() {
                break;
            }
            yield_now().await;
        }
    }
    drop(listener);
    while Rc::strong_count(&connections) > 1 {
        compio::time::sleep(CLOSE_POLL).await;
    }
}

/// Lets the other tasks that are ready run first.
async fn yield_now() {
    let mut has_yielded = false;
    poll_fn(|cx| {
        if has_yielded {
            return Poll::Ready(());
        }
        has_yielded = true;
        cx.waker().wake_by_ref();
        Poll::Pending
    })
    .await;
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
