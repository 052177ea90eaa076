//! Bytes that wait in the kernel on the way to a server.

use std::fs;
use std::net::IpAddr;
use std::net::SocketAddr;

/// Returns the number of bytes that were sent to an address and that the server has not read, and of
/// connections that it has not accepted.
pub(super) fn unread_bytes(server: SocketAddr) -> u64 {
    let server = table_form(server);
    let table = fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let unread = table.lines().skip(1).map(|line| {
        let mut fields = line.split_whitespace().skip(1);
        let (local, remote) = (fields.next(), fields.next());
        let queues = fields.nth(1).and_then(|field| field.split_once(':'));
        let (to_send, to_read) = queues.unwrap_or_default();
        let is_server = local == Some(&server);
        let is_client = remote == Some(&server);
        match (is_server, is_client) {
            (true, _) => parse_hex(to_read),
            (_, true) => parse_hex(to_send),
            _ => 0,
        }
    });
    unread.sum()
}

/// Returns an address as the kernel's table has it.
fn table_form(address: SocketAddr) -> String {
    let IpAddr::V4(ip) = address.ip() else {
        return String::new();
    };
    let ip = u32::from_ne_bytes(ip.octets());
    format!("{ip:08X}:{:04X}", address.port())
}

fn parse_hex(text: &str) -> u64 {
    u64::from_str_radix(text, 16).unwrap_or(0)
}
