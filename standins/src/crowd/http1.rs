//! Scripts over HTTP/1.1.

use std::fmt::Write;

use super::Script;

/// Number of bytes after which a script without end stops.
const ENDLESS_BYTES: usize = 1 << 20;

/// Size of a large write, in bytes.
const LARGE_WRITE_BYTES: usize = 64 << 10;

/// Size of a small write, in bytes.
const SMALL_WRITE_BYTES: usize = 4 << 10;

/// Number of chunks in a body of large chunks.
const LARGE_CHUNKS: usize = 4;

/// Number of chunks that are sent with a write each.
const SINGLE_CHUNKS: usize = 1_000;

/// Number of requests whose answers are not read, enough for the answers to fill the sockets' buffers.
const UNREAD_REQUESTS: usize = 6_000;

/// Chunk with one byte of content and an extension.
const EXTENDED_CHUNK: &str = "1;e=abcdefgh\r\nx\r\n";

/// Returns a script that sends nothing.
#[must_use]
pub fn silence() -> Script {
    Script::new([], 1)
}

/// Returns the script of one header whose value never ends.
#[must_use]
pub fn endless_header(path: &str) -> Script {
    let mut text = format!("POST {path} HTTP/1.1\r\nHost: h\r\nx-fill: ");
    text.extend(std::iter::repeat_n('a', ENDLESS_BYTES));
    Script::new(text.into_bytes(), LARGE_WRITE_BYTES)
}

/// Returns the script of a head whose headers never end.
#[must_use]
pub fn endless_headers(path: &str) -> Script {
    let mut text = format!("POST {path} HTTP/1.1\r\nHost: h\r\n");
    for n in 0..ENDLESS_BYTES / "x-000000: v\r\n".len() {
        let _ = write!(text, "x-{n:06}: v\r\n");
    }
    Script::new(text.into_bytes(), SMALL_WRITE_BYTES)
}

/// Returns the script of empty lines without a request.
#[must_use]
pub fn empty_lines() -> Script {
    let text = "\r\n".repeat(ENDLESS_BYTES / 2);
    Script::new(text.into_bytes(), LARGE_WRITE_BYTES)
}

/// Returns the script of a body of `bytes` bytes that lacks its last byte, sent in large writes.
#[must_use]
pub fn short_body(path: &str, bytes: usize) -> Script {
    Script::new(body_without_last_byte(path, bytes), LARGE_WRITE_BYTES)
}

/// Returns the script of a body of `bytes` bytes that lacks its last byte, sent in small writes.
#[must_use]
pub fn short_body_in_pieces(path: &str, bytes: usize) -> Script {
    Script::new(body_without_last_byte(path, bytes), SMALL_WRITE_BYTES)
}

/// Returns the script of a chunked body in a few large chunks that lacks its last byte.
#[must_use]
pub fn large_chunks(path: &str, bytes: usize) -> Script {
    let mut text = chunked_head(path);
    let chunk = bytes / LARGE_CHUNKS;
    for _ in 0..LARGE_CHUNKS {
        let _ = write!(text, "{chunk:x}\r\n{}\r\n", "x".repeat(chunk));
    }
    text.truncate(text.len() - "x\r\n".len());
    Script::new(text.into_bytes(), LARGE_WRITE_BYTES)
}

/// Returns the script of a chunked body with a byte a chunk that lacks its last chunk, with many chunks in
/// each write.
#[must_use]
pub fn small_chunks(path: &str, bytes: usize) -> Script {
    let text = chunked_head(path) + &"1\r\nx\r\n".repeat(bytes);
    Script::new(text.into_bytes(), SMALL_WRITE_BYTES)
}

/// Returns the script of a chunked body with a byte and an extension in each chunk that lacks its last
/// chunk, with one chunk in each write.
#[must_use]
pub fn single_chunks(path: &str) -> Script {
    let text = chunked_head(path) + &EXTENDED_CHUNK.repeat(SINGLE_CHUNKS);
    Script::new(text.into_bytes(), EXTENDED_CHUNK.len())
}

/// Returns the script of a chunked body whose trailers never end.
#[must_use]
pub fn endless_trailers(path: &str) -> Script {
    let mut text = chunked_head(path) + "1\r\nx\r\n0\r\n";
    for n in 0..ENDLESS_BYTES / "x-000000: v\r\n".len() {
        let _ = write!(text, "x-{n:06}: v\r\n");
    }
    Script::new(text.into_bytes(), SMALL_WRITE_BYTES)
}

/// Returns the script of a whole request with this body.
#[must_use]
pub fn whole_body(path: &str, body: &str) -> Script {
    let length = body.len();
    let text = format!("POST {path} HTTP/1.1\r\nHost: h\r\nContent-Length: {length}\r\n\r\n{body}");
    Script::new(text.into_bytes(), LARGE_WRITE_BYTES)
}

/// Returns the script of many requests, whose answers are not read.
#[must_use]
pub fn unread_answers(path: &str) -> Script {
    let req = format!("GET {path} HTTP/1.1\r\nHost: h\r\n\r\n");
    let text = req.repeat(UNREAD_REQUESTS);
    Script::new(text.into_bytes(), SMALL_WRITE_BYTES)
}

/// Returns the script of a request that waits for leave to send its body.
#[must_use]
pub fn expected_body(path: &str, bytes: usize) -> Script {
    let text = format!(
        "POST {path} HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: {bytes}\r\n\r\n"
    );
    Script::new(text.into_bytes(), LARGE_WRITE_BYTES)
}

fn body_without_last_byte(path: &str, bytes: usize) -> Vec<u8> {
    let mut text = format!("POST {path} HTTP/1.1\r\nHost: h\r\nContent-Length: {bytes}\r\n\r\n");
    text.extend(std::iter::repeat_n('x', bytes - 1));
    text.into_bytes()
}

fn chunked_head(path: &str) -> String {
    format!("POST {path} HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n")
}
