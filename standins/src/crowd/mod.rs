//! Load of clients that keep no limits: many connections at once whose requests never end, stop short of
//! their end or are followed by no read of the answers.

pub mod client;
pub mod http1;
pub mod http2;
pub mod process;

mod queues;

use std::io;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::rc::Rc;
use std::thread;
use std::time::Duration;

/// Time after which a step that has not ended counts as one that never ends.
const HANG_TIMEOUT: Duration = Duration::from_secs(60);

/// Pause after a round in which no connection could write.
const ROUND_PAUSE: Duration = Duration::from_millis(10);

/// Number of rounds without progress after which the server is taken to read no more.
const MAX_IDLE_ROUNDS: u32 = 100;

/// Bytes that one connection sends, and how.
#[derive(Clone, Debug)]
pub struct Script {
    /// Bytes to send.
    pub bytes: Rc<[u8]>,
    /// Maximum number of bytes in one write.
    pub write_bytes: usize,
}

impl Script {
    /// Returns a script that sends `bytes` in writes of at most `write_bytes`.
    pub fn new(bytes: impl Into<Rc<[u8]>>, write_bytes: usize) -> Self {
        Self {
            bytes: bytes.into(),
            write_bytes,
        }
    }
}

/// One connection of a crowd.
struct Conn {
    script: Script,
    stream: Option<TcpStream>,
    sent: usize,
}

/// Connections that stay open after they have sent their scripts. They never read.
pub struct Crowd {
    address: SocketAddr,
    conns: Vec<Conn>,
    /// Number of closed connections that may still be replaced by new ones.
    reconnects: usize,
}

impl Crowd {
    /// Returns a crowd with `size` connections to `address`, which share out the scripts in turn. Each
    /// connection is replaced once on average if the server closes it.
    #[must_use]
    pub fn new(address: SocketAddr, size: usize, scripts: &[Script]) -> Self {
        let conns = scripts.iter().cycle().take(size).map(|script| Conn {
            script: script.clone(),
            stream: None,
            sent: 0,
        });
        Self {
            address,
            conns: conns.collect(),
            reconnects: size,
        }
    }

    /// Sends the scripts on all connections side by side, until all are read or closed, or the server reads
    /// no more.
    pub fn send(&mut self) {
        for conn in &mut self.conns {
            conn.open(self.address);
        }
        let mut idle_rounds = 0;
        while idle_rounds < MAX_IDLE_ROUNDS && self.conns.iter().any(Conn::is_sending) {
            if self.send_round() {
                idle_rounds = 0;
            } else {
                idle_rounds += 1;
                thread::sleep(ROUND_PAUSE);
            }
        }
        self.wait_until_read();
    }

    /// Waits until the server has read what was sent to it, or reads no more.
    fn wait_until_read(&self) {
        let mut unread = queues::unread_bytes(self.address);
        let mut idle_rounds = 0;
        while unread > 0 && idle_rounds < MAX_IDLE_ROUNDS {
            thread::sleep(ROUND_PAUSE);
            let now = queues::unread_bytes(self.address);
            idle_rounds = if now == unread { idle_rounds + 1 } else { 0 };
            unread = now;
        }
    }

    /// Writes once on each connection; returns whether one of them made progress.
    fn send_round(&mut self) -> bool {
        let mut progress = false;
        for conn in &mut self.conns {
            match conn.write() {
                Ok(written) => progress |= written > 0,
                Err(err) if err.kind() == io::ErrorKind::WouldBlock => {}
                Err(_) => {
                    conn.stream = None;
                    if self.reconnects > 0 {
                        self.reconnects -= 1;
                        conn.open(self.address);
                        progress = true;
                    }
                }
            }
        }
        progress
    }
}

impl Conn {
    fn is_sending(&self) -> bool {
        self.stream.is_some() && self.sent < self.script.bytes.len()
    }

    /// Opens the connection and starts its script anew. It stays closed if the server refuses it.
    fn open(&mut self, address: SocketAddr) {
        self.sent = 0;
        self.stream = connect(address).ok();
    }

    /// Writes the next part of the script; returns the number of bytes written.
    fn write(&mut self) -> io::Result<usize> {
        let Some(stream) = &mut self.stream else {
            return Ok(0);
        };
        let rest = &self.script.bytes[self.sent..];
        if rest.is_empty() {
            return Ok(0);
        }
        let part = &rest[..rest.len().min(self.script.write_bytes)];
        let written = stream.write(part)?;
        self.sent += written;
        Ok(written)
    }
}

fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect(address)?;
    stream.set_nodelay(true)?;
    stream.set_nonblocking(true)?;
    Ok(stream)
}
