//! An ordinary client beside a crowd: one request on a connection of its own.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;

use super::HANG_TIMEOUT;

/// Size of a read, in bytes.
const READ_BYTES: usize = 4 << 10;

/// Sends bytes on a new connection and returns the answer up to where it is complete. Fails if the connection
/// ends before, or if the answer does not come.
pub fn exchange(
    address: SocketAddr,
    bytes: &[u8],
    is_complete: impl Fn(&[u8]) -> bool,
) -> io::Result<Vec<u8>> {
    let mut stream = connect(address)?;
    stream.write_all(bytes)?;
    let mut answer = Vec::new();
    let mut buf = [0; READ_BYTES];
    while !is_complete(&answer) {
        let read = stream.read(&mut buf)?;
        if read == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        answer.extend_from_slice(&buf[..read]);
    }
    Ok(answer)
}

/// Sends the bytes of an HTTP/1.1 request on a new connection and returns the status of the answer.
pub fn status(address: SocketAddr, bytes: &[u8]) -> io::Result<u16> {
    let answer = exchange(address, bytes, |answer| parse_status(answer).is_some())?;
    Ok(parse_status(&answer).unwrap_or_default())
}

/// Opens a connection on which a read that takes too long fails.
pub fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(HANG_TIMEOUT))?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Returns the status of an HTTP/1.1 answer; `None` if the answer does not have it yet.
#[must_use]
pub fn parse_status(answer: &[u8]) -> Option<u16> {
    let text = String::from_utf8_lossy(answer);
    let field = text.split(' ').nth(1)?;
    field.get(..3)?.parse().ok()
}
