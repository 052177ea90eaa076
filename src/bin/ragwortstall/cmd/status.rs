//! `ragwortstall status`

use std::net::SocketAddr;

use futures_util::future::join_all;
use serde::Deserialize;
use serde::Serialize;

use crate::client::Call;
use crate::client::Client;
use crate::client::GlobalOptions;
use crate::error::Error;
use crate::error::Result;
use crate::output;
use crate::output::Table;

const EXAMPLES: &str = "\
The exit code is 1 if a daemon did not respond.

Examples:
  ragwortstall status --server 10.0.1.4:7400 --server 10.0.2.4:7400
  ragwortstall status --json";

const OPERATION: &str = "read status";

const HEADER: [&str; 12] = [
    "DAEMON", "ZONE", "HTTP", "PLACER", "TABLE", "KEYS", "RECORDS", "REQUESTS", "FREE CPU",
    "FREE MEM", "PEERS", "STATE",
];

/// Shows the status of all daemons in one table.
#[derive(Debug, clap::Args)]
#[command(after_help = EXAMPLES)]
pub struct Args {}

/// Status of a daemon. Fields that it does not report have their default values.
#[derive(Debug, Default, Serialize, Deserialize)]
#[serde(default)]
#[expect(clippy::struct_excessive_bools, reason = "each flag is independent")]
struct DaemonStatus {
    daemon: Box<str>,
    zone: Box<str>,
    placer: bool,
    records_rev: u64,
    table_reachable: bool,
    keys_fresh: bool,
    draining: bool,
    requests: u64,
    free: Free,
    peers: Vec<Peer>,
}

#[derive(Debug, Default, Serialize, Deserialize)]
#[serde(default)]
struct Free {
    cpu_milli: u32,
    mem_mib: u32,
    accel: u32,
}

#[derive(Debug, Default, Serialize, Deserialize)]
#[serde(default)]
struct Peer {
    daemon: Box<str>,
    zone: Box<str>,
    reachable: bool,
    placer: bool,
}

#[derive(Serialize)]
struct StatusLine {
    server: SocketAddr,
    #[serde(skip_serializing_if = "Option::is_none")]
    status: Option<DaemonStatus>,
    #[serde(skip_serializing_if = "Option::is_none")]
    error: Option<String>,
}

pub async fn run(_args: Args, options: &GlobalOptions) -> Result<()> {
    let client = Client::new(options)?;
    let queries = client
        .servers()
        .iter()
        .map(|&server| query(&client, server));
    let lines = join_all(queries).await;
    show(&lines, options)?;
    let unresponsive = lines.iter().filter(|line| line.status.is_none()).count();
    if unresponsive == 0 {
        return Ok(());
    }
    let message = format!("{unresponsive} of {} daemons did not answer", lines.len());
    Err(Error::NoResponse(message.into()))
}

async fn query(client: &Client, server: SocketAddr) -> StatusLine {
    let call = Call::get(OPERATION, "/v1/status".into());
    let result = client.send_to(server, &call).await;
    let (status, error) = match result.and_then(|reply| reply.json(&call)) {
        Ok(status) => (Some(status), None),
        Err(err) => (None, Some(err.to_string())),
    };
    StatusLine {
        server,
        status,
        error,
    }
}

fn show(lines: &[StatusLine], options: &GlobalOptions) -> Result<()> {
    if options.json {
        return output::json(&lines);
    }
    let mut table = Table::new(&HEADER);
    for line in lines {
        table.add_row(match &line.status {
            Some(status) => status_cells(line.server, status),
            None => unresponsive_cells(line.server),
        });
    }
    table.print()?;
    for error in lines.iter().filter_map(|line| line.error.as_ref()) {
        eprintln!("{error}");
    }
    Ok(())
}

fn status_cells(server: SocketAddr, status: &DaemonStatus) -> Vec<String> {
    let choose =
        |condition: bool, yes: &str, no: &str| String::from(if condition { yes } else { no });
    let reachable = status.peers.iter().filter(|peer| peer.reachable).count();
    vec![
        status.daemon.to_string(),
        status.zone.to_string(),
        server.to_string(),
        choose(status.placer, "yes", "-"),
        choose(status.table_reachable, "reachable", "unreachable"),
        choose(status.keys_fresh, "fresh", "stale"),
        status.records_rev.to_string(),
        status.requests.to_string(),
        format!("{}m", status.free.cpu_milli),
        format!("{}MiB", status.free.mem_mib),
        format!("{reachable}/{}", status.peers.len()),
        choose(status.draining, "draining", "serving"),
    ]
}

fn unresponsive_cells(server: SocketAddr) -> Vec<String> {
    let mut cells = vec!["?".into(), "?".into(), server.to_string()];
    cells.resize(HEADER.len() - 1, "-".into());
    cells.push("no answer".into());
    cells
}
