//! Bodies of requests and answers on admitted connections.

use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;

use bytes::Buf;
use bytes::Bytes;
use http::HeaderMap;
use http::header::CONTENT_LENGTH;
use http_body_util::BodyExt;
use http_body_util::Full;
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

/// Size of a block of a body, in bytes.
const BLOCK_BYTES: usize = 16 << 10;

/// Body of a request that has not been received yet.
pub struct RequestBody {
    incoming: Incoming,
    /// Length that the head states, in bytes.
    stated: Option<u64>,
    held: Rc<Held>,
}

/// Part of a body that has been received, in blocks of the same size, so that bodies that are given up leave
/// memory that others can use.
#[derive(Default)]
struct Blocks {
    list: Vec<Vec<u8>>,
    /// Size of the content, in bytes.
    len: usize,
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
    pub(super) fn new(incoming: Incoming, headers: &HeaderMap, held: Rc<Held>) -> Self {
        let stated = headers.get(CONTENT_LENGTH);
        let stated = stated.and_then(|value| value.to_str().ok()?.parse().ok());
        Self {
            incoming,
            stated,
            held,
        }
    }

    /// Receives the body, which may have as many bytes as the limits in force allow. They count for its
    /// connection until the request has been answered.
    pub async fn collect(self) -> Result<Bytes> {
        let limit = self.held.max_body_bytes();
        self.collect_up_to(limit).await
    }

    /// Like [`RequestBody::collect`], with a limit of `limit` bytes. A body whose stated length is over the limit fails
    /// before any of it is read.
    pub async fn collect_up_to(self, limit: usize) -> Result<Bytes> {
        let Self {
            incoming,
            stated,
            held,
        } = self;
        let too_large = |length: u64| usize::try_from(length).is_ok_and(|length| length > limit);
        if stated.is_some_and(too_large) {
            return Err(Error::TooLarge(limit));
        }
        receive(incoming, limit, &held).await
    }
}

/// Receives a body into blocks of memory that are allocated as it arrives.
async fn receive(mut incoming: Incoming, limit: usize, held: &Held) -> Result<Bytes> {
    let _receiving = held.receive();
    let mut blocks = Blocks::default();
    while let Some(frame) = incoming.frame().await {
        let frame = frame.map_err(Error::ReadBody)?;
        let Some(data) = frame.data_ref() else {
            continue;
        };
        if blocks.len + data.len() > limit {
            return Err(Error::TooLarge(limit));
        }
        blocks.append(data, held)?;
    }
    blocks.join(held)
}

impl Blocks {
    /// Appends data, of which nothing else is kept in memory.
    fn append(&mut self, mut data: &[u8], held: &Held) -> Result<()> {
        self.len += data.len();
        while !data.is_empty() {
            let block = self.block_with_room(data.len(), held)?;
            let room = block.capacity() - block.len();
            let (now, later) = data.split_at(room.min(data.len()));
            block.extend_from_slice(now);
            data = later;
        }
        Ok(())
    }

    /// Returns the last block, or a new one if that is full. Only the first block grows, so that a short
    /// body takes little memory.
    fn block_with_room(&mut self, wanted: usize, held: &Held) -> Result<&mut Vec<u8>> {
        let is_first = self.list.len() <= 1;
        let last = self.list.last();
        let capacity = last.map_or(0, Vec::capacity);
        let is_full = last.is_none_or(|block| block.len() == capacity);
        if is_full && is_first && capacity < BLOCK_BYTES {
            let grown = (capacity + wanted).max(2 * capacity).min(BLOCK_BYTES);
            held.add(grown - capacity)?;
            let mut block = self.list.pop().unwrap_or_default();
            block.reserve_exact(grown - block.len());
            self.list.push(block);
        } else if is_full {
            held.add(BLOCK_BYTES)?;
            self.list.push(Vec::with_capacity(BLOCK_BYTES));
        }
        let last = self.list.len() - 1;
        Ok(&mut self.list[last])
    }

    /// Returns the whole body in one piece.
    fn join(mut self, held: &Held) -> Result<Bytes> {
        if self.list.len() <= 1 {
            return Ok(self.list.pop().unwrap_or_default().into());
        }
        held.add(self.len)?;
        let mut body = Vec::with_capacity(self.len);
        for block in self.list.drain(..) {
            body.extend_from_slice(&block);
        }
        Ok(body.into())
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
