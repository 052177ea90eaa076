//! HTTP/1.1 with bodies of known length: a server with a thread for each connection, and a client
//! with a connection for each call.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;

pub struct Request {
    pub method: String,
    pub path: String,
    pub query: Vec<(String, String)>,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Request {
    pub fn param(&self, name: &str) -> &str {
        self.query
            .iter()
            .find(|(k, _)| k == name)
            .map_or("", |(_, v)| v)
    }

    pub fn header(&self, name: &str) -> &str {
        self.headers
            .iter()
            .find(|(k, _)| k == name)
            .map_or("", |(_, v)| v)
    }
}

/// Answer to a request; `None` closes the connection without one.
pub type Answer = Option<(u16, String)>;

pub fn serve(listener: TcpListener, handle: impl Fn(Request) -> Answer + Send + Sync + 'static) {
    let handle = Arc::new(handle);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = Arc::clone(&handle);
            std::thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(write) = stream.try_clone() else {
                    return;
                };
                let (mut reader, mut write) = (BufReader::new(stream), write);
                while let Some(req) = read_request(&mut reader) {
                    let Some((status, body)) = handle(req) else {
                        return;
                    };
                    let length = body.len();
                    let head = format!(
                        "HTTP/1.1 {status} S\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n\r\n{body}"
                    );
                    if write.write_all(head.as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
}

fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let mut line = String::new();
    reader.read_line(&mut line).ok().filter(|&n| n > 0)?;
    let mut words = line.split_whitespace();
    let (method, target) = (words.next()?.to_string(), words.next()?.to_string());
    let (headers, length) = read_headers(reader)?;
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let query = query.split('&').filter_map(|pair| pair.split_once('='));
    Some(Request {
        method,
        path: path.to_string(),
        query: query.map(|(k, v)| (k.to_string(), decode(v))).collect(),
        headers,
        body: String::from_utf8(body).ok()?,
    })
}

fn read_headers(reader: &mut impl BufRead) -> Option<(Vec<(String, String)>, usize)> {
    let mut headers = Vec::new();
    let mut length = 0;
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok().filter(|&n| n > 0)?;
        let line = line.trim();
        if line.is_empty() {
            return Some((headers, length));
        }
        let (name, value) = line.split_once(':')?;
        let (name, value) = (name.to_ascii_lowercase(), value.trim().to_string());
        if name == "content-length" {
            length = value.parse().ok()?;
        }
        headers.push((name, value));
    }
}

fn decode(text: &str) -> String {
    let mut out = Vec::new();
    let mut bytes = text.bytes();
    while let Some(byte) = bytes.next() {
        if byte == b'%' {
            let digits = [bytes.next().unwrap_or(b'0'), bytes.next().unwrap_or(b'0')];
            let digits = std::str::from_utf8(&digits).unwrap_or("00");
            out.push(u8::from_str_radix(digits, 16).unwrap_or(b'?'));
        } else {
            out.push(byte);
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Sends a request on a connection of its own. Returns the status, zero if there was no whole answer,
/// and the body.
pub fn call(
    addr: SocketAddr,
    method: &str,
    target: &str,
    headers: &str,
    body: &str,
    timeout: Duration,
) -> (u16, String) {
    exchange(addr, method, target, headers, body, timeout).unwrap_or((0, String::new()))
}

fn exchange(
    addr: SocketAddr,
    method: &str,
    target: &str,
    headers: &str,
    body: &str,
    timeout: Duration,
) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&addr, timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    let length = body.len();
    let head = format!(
        "{method} {target} HTTP/1.1\r\n{headers}Connection: close\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n\r\n{body}"
    );
    stream.write_all(head.as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    reader.read_line(&mut line).ok()?;
    let status = line.split_whitespace().nth(1)?.parse().ok()?;
    let (_, length) = read_headers(&mut reader)?;
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some((status, String::from_utf8(body).ok()?))
}
