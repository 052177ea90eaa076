//! `ragwortstall team`

use std::time::Duration;

use serde_json::json;

use super::patch;
use super::patch::Fields;
use crate::client::GlobalOptions;
use crate::error::Result;
use crate::util::ResourceArgs;

const EXAMPLES: &str = "\
Fields that are not given keep their values. A new team has weight 1 and no limit on its tasks.

Examples:
  ragwortstall team dairy --weight 3 --cpu 64 --mem 128GiB --tasks 200
  ragwortstall team dairy --tasks 100
  ragwortstall team dairy --starvation-bound 10m --urgent false
  ragwortstall record list team";

/// Schema version that added `starvation_bound` and `urgent`.
const STARVATION_BOUND_SCHEMA: u32 = 2;

/// Creates a team, or changes its share or fleet-wide limit.
#[derive(Debug, clap::Args)]
#[command(after_help = EXAMPLES)]
pub struct Args {
    /// Name of the team.
    name: Box<str>,
    /// Weight of its fair share when the cell is full.
    #[arg(long)]
    weight: Option<u32>,
    #[command(flatten)]
    limit: ResourceArgs,
    /// Maximum number of running tasks.
    #[arg(long)]
    tasks: Option<u32>,
    /// Waiting time after which its work takes precedence over that of teams closer to their share.
    #[arg(long, value_name = "TIME", value_parser = humantime::parse_duration)]
    starvation_bound: Option<Duration>,
    /// Whether it may submit urgent work.
    #[arg(long)]
    urgent: Option<bool>,
}

pub async fn run(args: Args, options: &GlobalOptions) -> Result<()> {
    let mut limit = args.limit.fields();
    patch::set(&mut limit, "tasks", args.tasks);
    let mut changes = Fields::new();
    patch::set(&mut changes, "weight", args.weight);
    patch::set_object(&mut changes, "limit", limit);
    let bound = args.starvation_bound.map(humantime::format_duration);
    patch::set(
        &mut changes,
        "starvation_bound",
        bound.map(|bound| bound.to_string()),
    );
    patch::set(&mut changes, "urgent", args.urgent);
    if args.starvation_bound.is_some() || args.urgent.is_some() {
        patch::set(&mut changes, "schema", Some(STARVATION_BOUND_SCHEMA));
    }
    let key = format!("team/{}", args.name);
    patch::apply(&key, initial_fields(), changes, options).await
}

fn initial_fields() -> Fields {
    let limit = json!({"cpu_milli": 0, "mem_mib": 0, "accel": 0, "tasks": u32::MAX});
    Fields::from_iter([
        ("schema".into(), json!(1)),
        ("weight".into(), json!(1)),
        ("limit".into(), limit),
    ])
}
