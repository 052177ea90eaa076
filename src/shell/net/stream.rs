//! Stream of an admitted connection for hyper, which counts what is received and sent.

use std::io;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use compio::net::TcpStream;
use compio_io::compat::AsyncStream;
use futures_util::AsyncBufRead;
use futures_util::AsyncWrite;
use hyper::rt::Read;
use hyper::rt::ReadBufCursor;
use hyper::rt::Write;

use super::admission::Handle;

/// Size of the buffer for each direction, in bytes.
const BUFFER_BYTES: usize = 8 << 10;

/// Limit on the buffer for each direction, in bytes.
const MAX_BUFFER_BYTES: usize = 2 * BUFFER_BYTES;

/// Stream of an admitted connection.
pub(super) struct CountedStream {
    inner: Pin<Box<AsyncStream<TcpStream>>>,
    handle: Handle,
}

impl CountedStream {
    /// Returns the stream of a connection that was admitted.
    pub fn new(stream: TcpStream, handle: Handle) -> Self {
        let inner = AsyncStream::with_limits(BUFFER_BYTES, MAX_BUFFER_BYTES, stream);
        Self {
            inner: Box::pin(inner),
            handle,
        }
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
        let data = ready!(self.inner.as_mut().poll_fill_buf(cx))?;
        let len = data.len().min(buf.remaining());
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
        let written = ready!(self.inner.as_mut().poll_write(cx, buf));
        self.add_sent(&written);
        Poll::Ready(written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(self.inner.as_mut().poll_write_vectored(cx, bufs));
        self.add_sent(&written);
        Poll::Ready(written)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.inner.as_mut().poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.inner.as_mut().poll_close(cx)
    }
}
