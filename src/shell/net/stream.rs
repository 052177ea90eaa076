//! Stream of an admitted connection for hyper, which counts what is received and sent.

use std::cell::RefCell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use bytes::Buf;
use bytes::Bytes;
use compio::net::TcpStream;
use compio_io::compat::AsyncStream;
use futures_util::AsyncBufRead;
use futures_util::AsyncWrite;
use hyper::rt::Read;
use hyper::rt::ReadBufCursor;
use hyper::rt::Write;

use super::admission::Handle;
use super::scan::Pass;
use super::scan::Scan;

/// Size of the buffer for each direction, in bytes.
const BUFFER_BYTES: usize = 8 << 10;

/// Limit on the buffer for each direction, in bytes.
const MAX_BUFFER_BYTES: usize = 2 * BUFFER_BYTES;

/// Stream of an admitted connection.
pub(super) struct CountedStream {
    inner: Pin<Box<AsyncStream<TcpStream>>>,
    handle: Handle,
    /// Bytes that were received and counted before, and are read again.
    reread: Bytes,
    monitor: Rc<RefCell<Monitor>>,
}

/// State of a connection that tells whether it must have room for more headers.
#[derive(Debug, Default)]
pub(super) struct Monitor {
    /// `None` if all bytes are passed on as they are received.
    scan: Option<Scan>,
    /// Whether received bytes wait for a connection with room for more headers.
    is_waiting: bool,
    /// Whether everything that was written has been sent.
    is_flushed: bool,
    /// Whether the connection no longer writes.
    is_shut_down: bool,
}

impl Monitor {
    /// Begins the body of the request whose head was parsed. Without a size, heads can no longer be told from
    /// bodies, so that all bytes are passed on.
    pub fn begin_body(&mut self, bytes: Option<u64>) {
        match (&mut self.scan, bytes) {
            (Some(scan), Some(bytes)) => scan.begin_body(bytes),
            _ => self.scan = None,
        }
    }

    /// Returns whether received bytes wait for a connection with room for more headers, and everything before
    /// them has been sent.
    pub fn must_widen(&self) -> bool {
        self.is_waiting && self.is_flushed && !self.is_shut_down
    }
}

impl CountedStream {
    /// Returns the stream of a connection that was admitted.
    pub fn new(stream: TcpStream, handle: Handle) -> Self {
        let inner = AsyncStream::with_limits(BUFFER_BYTES, MAX_BUFFER_BYTES, stream);
        Self {
            inner: Box::pin(inner),
            handle,
            reread: Bytes::new(),
            monitor: Rc::default(),
        }
    }

    /// Makes received bytes wait that continue a head with more headers than the parser has room for by
    /// default.
    pub fn scan_heads(&mut self) {
        self.monitor.borrow_mut().scan = Some(Scan::default());
    }

    /// Returns the state that tells whether the connection must have room for more headers.
    pub fn monitor(&self) -> Rc<RefCell<Monitor>> {
        Rc::clone(&self.monitor)
    }

    /// Passes on all bytes from now on, after those of `reread` again.
    pub fn widen(&mut self, reread: Bytes) {
        self.reread = reread;
        let mut monitor = self.monitor.borrow_mut();
        monitor.scan = None;
        monitor.is_waiting = false;
    }

    fn add_sent(&self, written: &io::Result<usize>) {
        if written.is_ok() {
            self.handle.add_sent();
        }
    }
}

impl Read for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        if !self.reread.is_empty() {
            let len = self.reread.len().min(buf.remaining());
            buf.put_slice(&self.reread[..len]);
            self.reread.advance(len);
            return Poll::Ready(Ok(()));
        }
        let this = &mut *self;
        let data = ready!(this.inner.as_mut().poll_fill_buf(cx))?;
        let len = data.len().min(buf.remaining());
        let mut monitor = this.monitor.borrow_mut();
        let pass = match &mut monitor.scan {
            Some(scan) => scan.pass(&data[..len]),
            None => Pass::Bytes(len),
        };
        let Pass::Bytes(len) = pass else {
            monitor.is_waiting = true;
            return Poll::Pending;
        };
        drop(monitor);
        buf.put_slice(&data[..len]);
        self.inner.as_mut().consume(len);
        let counted = self.handle.add_received(len);
        Poll::Ready(counted.map_err(io::Error::other))
    }
}

impl Write for CountedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.monitor.borrow_mut().is_flushed = false;
        let written = ready!(self.inner.as_mut().poll_write(cx, buf));
        self.add_sent(&written);
        Poll::Ready(written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.monitor.borrow_mut().is_flushed = false;
        let written = ready!(self.inner.as_mut().poll_write_vectored(cx, bufs));
        self.add_sent(&written);
        Poll::Ready(written)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let flushed = ready!(self.inner.as_mut().poll_flush(cx));
        self.monitor.borrow_mut().is_flushed = flushed.is_ok();
        Poll::Ready(flushed)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.monitor.borrow_mut().is_shut_down = true;
        self.inner.as_mut().poll_close(cx)
    }
}
