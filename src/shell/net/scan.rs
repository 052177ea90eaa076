//! Scan of the bytes of an HTTP/1.1 connection before they are parsed, which finds heads that need more room
//! than the parser has by default.

/// Number of headers for which the parser has room without allocating.
const DEFAULT_HEADERS: usize = 100;

/// Start of a header after which the size of the body is not known from the head.
const TRANSFER_ENCODING: &[u8] = b"transfer-encoding:";

/// What to do with received bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Pass {
    /// Pass on this number of bytes.
    Bytes(usize),
    /// Pass on none: the head that they continue needs a connection with room for all legal headers.
    Widen,
}

/// Position in the requests of a connection, in what has been passed on.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Scan {
    /// Bytes that remain of the body of the last request whose head was parsed.
    body_bytes: u64,
    head: Head,
}

/// Position in a head.
#[derive(Clone, Copy, Debug, Default)]
struct Head {
    /// Lines that have begun, without empty ones.
    lines: usize,
    /// Bytes of the current line; a carriage return at its start does not count.
    line_bytes: usize,
    /// Number of these bytes that are the start of [`TRANSFER_ENCODING`].
    matched: usize,
}

/// Effect of one byte of a head.
enum Step {
    Continue,
    End,
    Widen,
}

impl Scan {
    /// Decides about received bytes. What is passed on ends at the end of a head or a body at the latest, so
    /// that the next bytes are counted from there.
    pub fn pass(&mut self, data: &[u8]) -> Pass {
        if self.body_bytes > 0 {
            let limit = usize::try_from(self.body_bytes).unwrap_or(usize::MAX);
            let len = data.len().min(limit);
            self.body_bytes -= len as u64;
            return Pass::Bytes(len);
        }
        let mut head = self.head;
        for (at, byte) in data.iter().enumerate() {
            match head.step(*byte) {
                Step::Continue => {}
                Step::End => {
                    self.head = Head::default();
                    return Pass::Bytes(at + 1);
                }
                Step::Widen => return Pass::Widen,
            }
        }
        self.head = head;
        Pass::Bytes(data.len())
    }

    /// Begins the body of the request whose head was parsed.
    pub fn begin_body(&mut self, bytes: u64) {
        self.body_bytes = bytes;
    }
}

impl Head {
    fn step(&mut self, byte: u8) -> Step {
        match byte {
            b'\n' if self.line_bytes > 0 => {
                self.line_bytes = 0;
                Step::Continue
            }
            b'\n' if self.lines > 0 => Step::End,
            b'\n' => Step::Continue,
            b'\r' if self.line_bytes == 0 => Step::Continue,
            _ => self.step_in_line(byte),
        }
    }

    fn step_in_line(&mut self, byte: u8) -> Step {
        if self.line_bytes == 0 {
            self.lines += 1;
            self.matched = 0;
        }
        let expected = TRANSFER_ENCODING.get(self.matched);
        let is_match = expected.is_some_and(|expected| byte.eq_ignore_ascii_case(expected));
        if is_match && self.matched == self.line_bytes {
            self.matched += 1;
        }
        self.line_bytes += 1;
        // The first line is that of the request.
        let has_encoding = self.lines > 1 && self.matched == TRANSFER_ENCODING.len();
        if has_encoding || self.lines > DEFAULT_HEADERS + 1 {
            Step::Widen
        } else {
            Step::Continue
        }
    }
}
