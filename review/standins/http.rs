//! Small HTTP/1.1 server and client over blocking sockets.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

/// Request that a server has received.
pub struct Request {
    pub method: String,
    /// Path without the query.
    pub path: String,
    pub query: Vec<(String, String)>,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// When the connection was opened.
    pub connected_at: Instant,
}

/// What the server does with a request.
pub enum Answer {
    Reply(u16, String),
    /// Never answers; the connection stays open and delivers nothing further.
    Silent,
}

impl Request {
    /// Returns a parameter of the query; empty if it is missing.
    pub fn parameter(&self, name: &str) -> &str {
        let found = self.query.iter().find(|(key, _)| key == name);
        found.map_or("", |(_, value)| value)
    }

    /// Returns a header by its name in lower case; empty if it is missing.
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map_or("", |(_, value)| value)
    }
}

/// Serves requests on a listener until the process ends.
pub fn serve(listener: TcpListener, handler: impl Fn(Request) -> Answer + Send + Sync + 'static) {
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(stream) = stream else { continue };
            let handler = Arc::clone(&handler);
            thread::spawn(move || {
                let _ = serve_connection(stream, &*handler);
            });
        }
    });
}

fn serve_connection(stream: TcpStream, handler: &dyn Fn(Request) -> Answer) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let connected_at = Instant::now();
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    let mut writer = stream;
    loop {
        let req = read_request(&mut reader, connected_at)?;
        match handler(req) {
            Answer::Reply(status, body) => {
                let head = format!(
                    "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                    body.len()
                );
                writer.write_all((head + &body).as_bytes()).ok()?;
            }
            Answer::Silent => {
                let mut rest = Vec::new();
                let _ = reader.read_to_end(&mut rest);
                return None;
            }
        }
    }
}

fn read_request(reader: &mut BufReader<TcpStream>, connected_at: Instant) -> Option<Request> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let mut words = line.split_whitespace();
    let (method, target) = (words.next()?.to_string(), words.next()?.to_string());
    let headers = read_headers(reader)?;
    let length = headers.iter().find(|(key, _)| key == "content-length");
    let length = length.map_or(0, |(_, value)| value.parse().unwrap_or(0));
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let query = query.split('&').filter_map(|pair| pair.split_once('='));
    Some(Request {
        method,
        path: path.to_string(),
        query: query.map(|(key, value)| (key.to_string(), decode_percent(value))).collect(),
        headers,
        body,
        connected_at,
    })
}

fn read_headers(reader: &mut BufReader<TcpStream>) -> Option<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok()?;
        if line.trim().is_empty() {
            return Some(headers);
        }
        let (key, value) = line.split_once(':')?;
        headers.push((key.trim().to_ascii_lowercase(), value.trim().to_string()));
    }
}

fn decode_percent(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let code = bytes.get(at + 1..at + 3).and_then(|digits| std::str::from_utf8(digits).ok());
        let code = code.and_then(|digits| u8::from_str_radix(digits, 16).ok());
        match (bytes[at], code) {
            (b'%', Some(code)) => {
                out.push(code);
                at += 3;
            }
            (byte, _) => {
                out.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Sends a request on a connection of its own; returns the status and the body, or `None` if there
/// was no complete answer in time.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    timeout: Duration,
) -> Option<(u16, String)> {
    let stream = TcpStream::connect_timeout(&address, timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    let mut reader = BufReader::new(stream);
    let mut head = format!("{method} {path} HTTP/1.1\r\nContent-Length: {}\r\n", body.len());
    for (key, value) in headers {
        head += &format!("{key}: {value}\r\n");
    }
    let req = head + "Connection: close\r\n\r\n" + body;
    reader.get_mut().write_all(req.as_bytes()).ok()?;
    let mut line = String::new();
    reader.read_line(&mut line).ok()?;
    let status = line.split(' ').nth(1)?.parse().ok()?;
    let headers = read_headers(&mut reader)?;
    let length = headers.iter().find(|(key, _)| key == "content-length");
    let mut body = vec![0; length.map_or(0, |(_, value)| value.parse().unwrap_or(0))];
    reader.read_exact(&mut body).ok()?;
    Some((status, String::from_utf8_lossy(&body).into_owned()))
}
