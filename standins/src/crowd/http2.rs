//! Scripts over HTTP/2, of raw frames.

use super::Script;

/// Bytes that a client sends first.
const PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";

/// Largest payload of a frame by default, in bytes.
const FRAME_BYTES: usize = 16 << 10;

/// Length of the header of a frame, in bytes.
const FRAME_HEADER_BYTES: usize = 9;

/// Number of requests on a connection.
const STREAMS: u32 = 100;

/// Number of bytes after which a script without end stops.
const ENDLESS_BYTES: usize = 1 << 20;

/// Size of a write, in bytes.
const WRITE_BYTES: usize = 64 << 10;

/// Frame types.
const DATA: u8 = 0;
const HEADERS: u8 = 1;
const SETTINGS: u8 = 4;
const PING: u8 = 6;
const CONTINUATION: u8 = 9;

/// Flags of frames.
const END_STREAM: u8 = 1;
const END_HEADERS: u8 = 4;

/// Length of the prefix of a gRPC message, in bytes.
const GRPC_PREFIX_BYTES: usize = 5;

/// Returns the script of a client that says nothing after its settings.
#[must_use]
pub fn silence() -> Script {
    Script::new(opening(), WRITE_BYTES)
}

/// Returns the bytes of one whole request without a body, on the first stream.
#[must_use]
pub fn request(path: &str) -> Vec<u8> {
    let mut bytes = opening();
    let head = head(path);
    push_frame(&mut bytes, HEADERS, END_HEADERS | END_STREAM, 1, &head);
    bytes
}

/// Returns whether the bytes from a server have the head of an answer to the request on the first stream.
#[must_use]
pub fn has_answer(mut bytes: &[u8]) -> bool {
    while let Some([a, b, c, kind, _, stream @ ..]) = bytes.first_chunk::<FRAME_HEADER_BYTES>() {
        if *kind == HEADERS && *stream == [0, 0, 0, 1] {
            return true;
        }
        let length = u32::from_be_bytes([0, *a, *b, *c]);
        let length = usize::try_from(length).unwrap_or(usize::MAX);
        bytes = bytes.get(FRAME_HEADER_BYTES + length..).unwrap_or(&[]);
    }
    false
}

/// Returns the script of a head that never ends.
#[must_use]
pub fn endless_head(path: &str) -> Script {
    let mut bytes = opening();
    push_frame(&mut bytes, HEADERS, 0, 1, &head(path));
    let mut fields = Vec::new();
    while fields.len() + 64 < FRAME_BYTES {
        push_field(&mut fields, "x-fill", &"a".repeat(48));
    }
    while bytes.len() < ENDLESS_BYTES {
        push_frame(&mut bytes, CONTINUATION, 0, 1, &fields);
    }
    Script::new(bytes, WRITE_BYTES)
}

/// Returns the script of many requests side by side, each with a gRPC message of `bytes` bytes that lacks
/// its last byte.
#[must_use]
pub fn short_messages(path: &str, bytes: usize) -> Script {
    let mut script = opening();
    let head = head(path);
    for stream in stream_ids() {
        push_frame(&mut script, HEADERS, END_HEADERS, stream, &head);
        push_frame(&mut script, DATA, 0, stream, &message_start(bytes));
    }
    let body = vec![b'x'; FRAME_BYTES];
    let mut rest = bytes - 1;
    while rest > 0 {
        let part = &body[..rest.min(FRAME_BYTES)];
        for stream in stream_ids() {
            push_frame(&mut script, DATA, 0, stream, part);
        }
        rest -= part.len();
    }
    Script::new(script, WRITE_BYTES)
}

/// Returns the script of many requests side by side that never end, each with a byte in each frame.
#[must_use]
pub fn small_frames(path: &str, frames: usize) -> Script {
    let mut script = opening();
    let head = head(path);
    for stream in stream_ids() {
        push_frame(&mut script, HEADERS, END_HEADERS, stream, &head);
        push_frame(&mut script, DATA, 0, stream, &message_start(FRAME_BYTES));
    }
    for _ in 0..frames {
        for stream in stream_ids() {
            push_frame(&mut script, DATA, 0, stream, b"x");
        }
    }
    Script::new(script, WRITE_BYTES)
}

/// Returns the script of pings without end, whose answers are not read.
#[must_use]
pub fn pings() -> Script {
    let mut bytes = opening();
    while bytes.len() < ENDLESS_BYTES {
        push_frame(&mut bytes, PING, 0, 0, &[0; 8]);
    }
    Script::new(bytes, WRITE_BYTES)
}

/// Returns the preface and empty settings.
fn opening() -> Vec<u8> {
    let mut bytes = PREFACE.to_vec();
    push_frame(&mut bytes, SETTINGS, 0, 0, &[]);
    bytes
}

/// Returns the ids of the client's streams, which are odd.
fn stream_ids() -> impl Iterator<Item = u32> {
    (0..STREAMS).map(|n| 2 * n + 1)
}

/// Returns the prefix of a gRPC message of `bytes` bytes.
fn message_start(bytes: usize) -> [u8; GRPC_PREFIX_BYTES] {
    let length = u32::try_from(bytes).unwrap_or(u32::MAX);
    let [a, b, c, d] = length.to_be_bytes();
    [0, a, b, c, d]
}

/// Returns the header block of a gRPC request.
fn head(path: &str) -> Vec<u8> {
    let mut block = Vec::new();
    push_field(&mut block, ":method", "POST");
    push_field(&mut block, ":scheme", "http");
    push_field(&mut block, ":path", path);
    push_field(&mut block, ":authority", "h");
    push_field(&mut block, "content-type", "application/grpc");
    push_field(&mut block, "te", "trailers");
    block
}

/// Appends a literal header field that is not indexed. Name and value have less than 127 bytes.
fn push_field(block: &mut Vec<u8>, name: &str, value: &str) {
    block.push(0);
    for text in [name, value] {
        block.push(u8::try_from(text.len()).unwrap_or(0));
        block.extend_from_slice(text.as_bytes());
    }
}

fn push_frame(bytes: &mut Vec<u8>, kind: u8, flags: u8, stream: u32, payload: &[u8]) {
    let length = u32::try_from(payload.len()).unwrap_or(0).to_be_bytes();
    bytes.extend_from_slice(&length[1..]);
    bytes.extend_from_slice(&[kind, flags]);
    bytes.extend_from_slice(&stream.to_be_bytes());
    bytes.extend_from_slice(payload);
}
