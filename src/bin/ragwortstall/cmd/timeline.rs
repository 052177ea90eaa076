//! `ragwortstall timeline`

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::UNIX_EPOCH;

use compio::time::sleep;
use futures_util::future::join_all;
use ragwortstall::core::model::TaskRef;
use ragwortstall::core::timeline::HybridClock;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Map;
use serde_json::Value;

use crate::client::Call;
use crate::client::Client;
use crate::client::GlobalOptions;
use crate::error::Error;
use crate::error::Result;
use crate::output;

const EXAMPLES: &str = "\
Each daemon keeps only its latest events; query all daemons for the complete timeline.

Examples:
  ragwortstall timeline --server 10.0.1.4:7400 --server 10.0.2.4:7400
  ragwortstall timeline --follow
  ragwortstall timeline --what job_ended";

const OPERATION: &str = "read timeline";

/// Time between queries with `--follow`.
const FOLLOW_INTERVAL: Duration = Duration::from_millis(500);

/// Shows the events of all daemons in one timeline, ordered by timestamp.
#[derive(Debug, clap::Args)]
#[command(after_help = EXAMPLES)]
pub struct Args {
    /// Show only events with a higher timestamp.
    #[arg(long, value_name = "STAMP", default_value_t = 0)]
    after: u64,
    /// Show only events of this kind, such as `job_ended`.
    #[arg(long, value_name = "KIND")]
    what: Option<Box<str>>,
    /// Keep showing new events until interrupted.
    #[arg(long)]
    follow: bool,
}

/// An event. Its fields are kept as they are, so that events of unknown kinds can be shown too.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Event {
    stamp: u64,
    daemon: Box<str>,
    #[serde(rename = "what")]
    kind: Box<str>,
    #[serde(flatten)]
    fields: Map<String, Value>,
}

/// Merges the events of all daemons into one timeline.
struct Merger {
    /// Highest timestamp read from each daemon.
    after: BTreeMap<SocketAddr, u64>,
    /// Events not yet shown, by timestamp and daemon, so that an event received twice is shown
    /// once.
    pending: BTreeMap<(u64, Box<str>), Event>,
}

pub async fn run(args: Args, options: &GlobalOptions) -> Result<()> {
    let client = Client::new(options)?;
    let mut merger = Merger::new(&client, args.after);
    let unresponsive = merger.poll(&client).await;
    if args.follow {
        return follow(&client, merger, &args, options).await;
    }
    show(&merger.drain_through(u64::MAX), &args, options)?;
    if unresponsive == 0 {
        return Ok(());
    }
    let daemons = client.servers().len();
    let message =
        format!("{unresponsive} of {daemons} daemons did not answer; their events are missing");
    Err(Error::NoResponse(message.into()))
}

/// Shows new events. An event is shown only after all daemons have been queried once more since it
/// was received, so that earlier events of other daemons come before it.
async fn follow(
    client: &Client,
    mut merger: Merger,
    args: &Args,
    options: &GlobalOptions,
) -> Result<()> {
    loop {
        let newest = merger.newest();
        sleep(FOLLOW_INTERVAL).await;
        merger.poll(client).await;
        show(&merger.drain_through(newest), args, options)?;
    }
}

impl Merger {
    fn new(client: &Client, after: u64) -> Self {
        let servers = client.servers().iter();
        Self {
            after: servers.map(|&server| (server, after)).collect(),
            pending: BTreeMap::new(),
        }
    }

    /// Reads the new events of all daemons and returns the number of daemons that did not respond.
    async fn poll(&mut self, client: &Client) -> usize {
        let queries = self
            .after
            .iter()
            .map(|(&server, &after)| query(client, server, after));
        let mut unresponsive = 0;
        for (server, events) in join_all(queries).await {
            match events {
                Ok(events) => self.add(server, events),
                Err(err) => {
                    eprintln!("{err}");
                    unresponsive += 1;
                }
            }
        }
        unresponsive
    }

    fn add(&mut self, server: SocketAddr, events: Vec<Event>) {
        for event in events {
            let after = self.after.entry(server).or_default();
            *after = event.stamp.max(*after);
            self.pending
                .insert((event.stamp, event.daemon.clone()), event);
        }
    }

    /// Returns the highest timestamp read from any daemon.
    fn newest(&self) -> u64 {
        self.after.values().copied().max().unwrap_or(0)
    }

    /// Removes and returns the pending events up to and including a timestamp, in order.
    fn drain_through(&mut self, stamp: u64) -> Vec<Event> {
        let later = match stamp.checked_add(1) {
            Some(next) => self.pending.split_off(&(next, "".into())),
            None => BTreeMap::new(),
        };
        std::mem::replace(&mut self.pending, later)
            .into_values()
            .collect()
    }
}

async fn query(
    client: &Client,
    server: SocketAddr,
    after: u64,
) -> (SocketAddr, Result<Vec<Event>>) {
    let call = Call::get(OPERATION, format!("/v1/timeline?after={after}"));
    let reply = client.send_to(server, &call).await;
    (server, reply.and_then(|reply| reply.json(&call)))
}

fn show(events: &[Event], args: &Args, options: &GlobalOptions) -> Result<()> {
    let selected = |event: &&Event| args.what.as_ref().is_none_or(|kind| event.kind == *kind);
    for event in events.iter().filter(selected) {
        if options.json {
            output::json_line(event)?;
        } else {
            output::line(&event.to_string())?;
        }
    }
    Ok(())
}

impl fmt::Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let unix = Duration::from_millis(self.stamp >> HybridClock::COUNTER_BITS);
        let time = humantime::format_rfc3339_millis(UNIX_EPOCH + unix);
        write!(f, "{time} {:12} {}", self.daemon, self.kind)?;
        for (name, value) in &self.fields {
            write!(f, " {name}={}", format_field(value))?;
        }
        Ok(())
    }
}

/// Formats a string without quotes, and a task as `job/index` with its number of restarts, if any.
fn format_field(value: &Value) -> String {
    if let Some(text) = value.as_str() {
        return text.into();
    }
    match TaskRef::deserialize(value) {
        Ok(task) if task.attempt == 0 => format!("{}/{}", task.job, task.index),
        Ok(task) => format!("{}/{} restart={}", task.job, task.index, task.attempt),
        Err(_) => value.to_string(),
    }
}
