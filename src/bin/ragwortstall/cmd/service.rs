//! `ragwortstall service`

use serde_json::json;

use super::patch;
use super::patch::Fields;
use crate::client::GlobalOptions;
use crate::error::Result;
use crate::util::ResourceArgs;

const EXAMPLES: &str = "\
Fields that are not given keep their values.

Examples:
  ragwortstall service labels --team dairy --count 4 --cpu 2 --mem 1GiB
  ragwortstall service labels --count 6
  ragwortstall service sketches --team fairs --open true";

/// Creates a service, or changes its team, callers or instances.
#[derive(Debug, clap::Args)]
#[command(after_help = EXAMPLES)]
pub struct Args {
    /// Name of the service.
    name: Box<str>,
    /// Team to which its instances are charged.
    #[arg(long)]
    team: Option<Box<str>>,
    /// Number of instances in the fleet; 0 if its endpoints run outside the cell.
    #[arg(long)]
    count: Option<u32>,
    #[command(flatten)]
    size: ResourceArgs,
    /// Whether callers may use it without a key.
    #[arg(long)]
    open: Option<bool>,
    /// Other team whose keys may call it. Repeat to give several; they replace the previous list.
    #[arg(long = "caller")]
    callers: Vec<Box<str>>,
}

pub async fn run(args: Args, options: &GlobalOptions) -> Result<()> {
    let mut changes = Fields::new();
    patch::set(&mut changes, "team", args.team.as_deref());
    patch::set(&mut changes, "count", args.count);
    patch::set_object(&mut changes, "size", args.size.fields());
    patch::set(&mut changes, "open", args.open);
    let callers = (!args.callers.is_empty()).then(|| json!(args.callers));
    patch::set(&mut changes, "callers", callers);
    let initial = Fields::from_iter([("schema".into(), json!(1))]);
    let key = format!("service/{}", args.name);
    patch::apply(&key, initial, changes, options).await
}
