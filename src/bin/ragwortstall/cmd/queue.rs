//! `ragwortstall queue`

use serde_json::json;

use super::patch;
use super::patch::Fields;
use crate::client::GlobalOptions;
use crate::error::Result;

const EXAMPLES: &str = "\
Examples:
  ragwortstall queue proofs --team fairs
  ragwortstall run proof --queue proofs --cpu 1 --mem 512MiB --run-time 20s";

/// Creates an open queue, which accepts jobs without a key, or changes its team or service.
#[derive(Debug, clap::Args)]
#[command(after_help = EXAMPLES)]
pub struct Args {
    /// Name of the queue.
    name: Box<str>,
    /// Team to which its jobs are charged.
    #[arg(long)]
    team: Option<Box<str>>,
    /// Service that its jobs may run for.
    #[arg(long)]
    service: Option<Box<str>>,
}

pub async fn run(args: Args, options: &GlobalOptions) -> Result<()> {
    let mut changes = Fields::new();
    patch::set(&mut changes, "team", args.team.as_deref());
    patch::set(&mut changes, "service", args.service.as_deref());
    let initial = Fields::from_iter([("schema".into(), json!(1))]);
    let key = format!("queue/{}", args.name);
    patch::apply(&key, initial, changes, options).await
}
