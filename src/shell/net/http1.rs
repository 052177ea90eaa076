//! HTTP/1.1 connection of the server, which has room for few headers until a head has many.
//!
//! The parser allocates room for as many headers as it may accept, for each head. So a connection starts with
//! its default, and is replaced by one with room for all legal headers when a head needs that.

use std::cell::RefCell;
use std::convert::Infallible;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;

use hyper::body::Incoming;
use hyper::server::conn::http1::Builder;
use hyper::server::conn::http1::Connection;
use hyper::service::HttpService;

use super::admission::Admitted;
use super::admission::Handle;
use super::server::GracefulShutdown;
use super::stream::CountedStream;
use super::stream::Monitor;

/// Smallest read buffer that hyper allows, in bytes.
const MIN_READ_BUFFER_BYTES: usize = 8 << 10;

/// Size of the shortest header, in bytes: a name of one character, a colon and the end of the line.
const MIN_HEADER_BYTES: usize = 4;

/// Maximum number of headers, which fit into a header map.
const MAX_HEADERS: usize = 8 << 10;

/// HTTP/1.1 connection of the server.
pub(super) struct Http1<S: HttpService<Incoming>> {
    /// `None` only while the connection is replaced.
    conn: Option<Connection<CountedStream, S>>,
    monitor: Rc<RefCell<Monitor>>,
    handle: Handle,
    max_head_bytes: usize,
    is_closing: bool,
}

impl<S, B> Http1<S>
where
    S: HttpService<Incoming, ResBody = B, Error = Infallible> + Unpin,
    B: hyper::body::Body + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    /// Serves the requests on `stream` with `service`.
    pub fn new(mut stream: CountedStream, service: S, admitted: &Admitted) -> Self {
        stream.scan_heads();
        let monitor = stream.monitor();
        let max_head_bytes = admitted.max_head_bytes();
        let conn = builder(max_head_bytes).serve_connection(stream, service);
        Self {
            conn: Some(conn),
            monitor,
            handle: admitted.handle(),
            max_head_bytes,
            is_closing: false,
        }
    }

    fn poll_conn(&mut self, cx: &mut Context<'_>) -> Poll<hyper::Result<()>> {
        let conn = self.conn.as_mut().expect("a connection");
        Pin::new(conn).poll(cx)
    }

    /// Replaces the connection, which is between two requests, by one with room for all legal headers.
    fn widen(&mut self, cx: &mut Context<'_>) -> Poll<hyper::Result<()>> {
        let parts = self.conn.take().expect("a connection").into_parts();
        let mut stream = parts.io;
        stream.widen(parts.read_buf);
        let max_headers = (self.max_head_bytes / MIN_HEADER_BYTES).min(MAX_HEADERS);
        let conn = builder(self.max_head_bytes)
            .max_headers(max_headers)
            .serve_connection(stream, parts.service);
        self.conn = Some(conn);
        let polled = self.poll_conn(cx);
        if polled.is_pending() && self.is_closing {
            // Only now, as a connection that has read nothing closes without an answer.
            self.start_closing();
            return self.poll_conn(cx);
        }
        polled
    }

    fn start_closing(&mut self) {
        let conn = self.conn.as_mut().expect("a connection");
        Pin::new(conn).graceful_shutdown();
    }
}

impl<S, B> Future for Http1<S>
where
    S: HttpService<Incoming, ResBody = B, Error = Infallible> + Unpin,
    B: hyper::body::Body + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    type Output = hyper::Result<()>;

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Self::Output> {
        let polled = self.poll_conn(cx);
        let must_widen = self.monitor.borrow().must_widen();
        if polled.is_pending() && must_widen && !self.handle.has_request() {
            return self.widen(cx);
        }
        polled
    }
}

impl<S, B> GracefulShutdown for Http1<S>
where
    S: HttpService<Incoming, ResBody = B, Error = Infallible> + Unpin,
    B: hyper::body::Body + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    fn start_shutdown(mut self: Pin<&mut Self>) {
        self.is_closing = true;
        self.start_closing();
    }
}

fn builder(max_head_bytes: usize) -> Builder {
    let mut builder = Builder::new();
    builder
        .max_header_size(max_head_bytes)
        .max_buf_size(max_head_bytes.max(MIN_READ_BUFFER_BYTES));
    builder
}
