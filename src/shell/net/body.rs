//! Bodies of requests and answers on admitted connections.

use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;

use bytes::Buf;
use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::body::Body as HttpBody;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::body::SizeHint;

use super::Error;
use super::Result;
use super::admission::Answering;
use super::admission::Exchange;
use super::admission::Held;

/// Body of the responses that a server sends.
pub type Body = Full<Bytes>;

/// Body of a request that has not been received yet.
pub struct RequestBody {
    incoming: Incoming,
    held: Rc<Held>,
}

/// Body of an answer, whose bytes count for its connection until they have been sent.
pub(super) struct CountedBody<B> {
    inner: B,
    exchange: Rc<Exchange<Answering>>,
}

/// Part of an answer that has not been sent.
pub(super) struct CountedBytes<D> {
    data: D,
    _exchange: Rc<Exchange<Answering>>,
}

impl RequestBody {
    pub(super) fn new(incoming: Incoming, held: Rc<Held>) -> Self {
        Self { incoming, held }
    }

    /// Receives the body, which may have as many bytes as the limits in force allow.
    pub async fn collect(self) -> Result<Bytes> {
        let limit = self.held.max_body_bytes();
        self.collect_up_to(limit).await
    }

    /// Like [`RequestBody::collect`], with a limit of `limit` bytes.
    pub async fn collect_up_to(self, limit: usize) -> Result<Bytes> {
        let Self { incoming, held } = self;
        receive(incoming, limit, &held).await
    }
}

/// Receives a body.
async fn receive(incoming: Incoming, limit: usize, held: &Held) -> Result<Bytes> {
    let _receiving = held.receive();
    match Limited::new(incoming, limit).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(err) => match err.downcast::<hyper::Error>() {
            Ok(err) => Err(Error::ReadBody(*err)),
            Err(_) => Err(Error::TooLarge(limit)),
        },
    }
}

impl<B> CountedBody<B> {
    pub(super) fn new(inner: B, exchange: Exchange<Answering>) -> Self {
        Self {
            inner,
            exchange: Rc::new(exchange),
        }
    }
}

impl<B: HttpBody + Unpin> HttpBody for CountedBody<B> {
    type Data = CountedBytes<B::Data>;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Self::Data>, Self::Error>>> {
        let frame = Pin::new(&mut self.inner).poll_frame(cx);
        let exchange = &self.exchange;
        frame.map_ok(|frame| {
            frame.map_data(|data| CountedBytes {
                data,
                _exchange: Rc::clone(exchange),
            })
        })
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}

impl<D: Buf> Buf for CountedBytes<D> {
    fn remaining(&self) -> usize {
        self.data.remaining()
    }

    fn chunk(&self) -> &[u8] {
        self.data.chunk()
    }

    fn chunks_vectored<'a>(&'a self, dst: &mut [std::io::IoSlice<'a>]) -> usize {
        self.data.chunks_vectored(dst)
    }

    fn advance(&mut self, n: usize) {
        self.data.advance(n);
    }
}
