//! `ragwortstall record`

use std::path::PathBuf;

use clap::Subcommand;
use ragwortstall::core::model::Rev;
use ragwortstall::core::model::Row;
use ragwortstall::core::model::Write;
use serde_json::Value;

use crate::client::Client;
use crate::client::GlobalOptions;
use crate::error::Error;
use crate::error::Result;
use crate::output;
use crate::output::Table;
use crate::util::read_document;

const EXAMPLES: &str = "\
A write names the version that it replaces. If the record has changed in the meantime, nothing is
written, both versions are shown, and the exit code is 1.

Examples:
  ragwortstall record list team
  ragwortstall record get team/dairy
  ragwortstall record put team/dairy dairy.json               (a new record)
  ragwortstall record put team/dairy dairy.json --version 12  (replaces version 12)
  ragwortstall record withdraw team/dairy --version 13";

/// Reads, writes and withdraws records by compare-and-set.
#[derive(Debug, clap::Args)]
#[command(after_help = EXAMPLES)]
pub struct Args {
    #[command(subcommand)]
    action: Action,
}

#[derive(Debug, Subcommand)]
enum Action {
    /// Lists all records of a space.
    List {
        /// Record space: team, key, service or queue.
        space: Box<str>,
    },
    /// Shows one record.
    Get {
        /// Key of the record, as SPACE/NAME.
        key: Box<str>,
    },
    /// Writes a record.
    Put {
        /// Key of the record, as SPACE/NAME.
        key: Box<str>,
        /// Record as JSON, or as TOML if the name ends in .toml; - is standard input.
        file: PathBuf,
        /// Version to replace; omit for a new record.
        #[arg(long, default_value_t = 0, hide_default_value = true)]
        version: Rev,
    },
    /// Withdraws a record.
    Withdraw {
        /// Key of the record, as SPACE/NAME.
        key: Box<str>,
        /// Version to withdraw.
        #[arg(long)]
        version: Rev,
    },
}

pub async fn run(args: Args, options: &GlobalOptions) -> Result<()> {
    let client = Client::new(options)?;
    match args.action {
        Action::List { space } => list(&client, &space, options).await,
        Action::Get { key } => get(&client, &key, options).await,
        Action::Put { key, file, version } => {
            let value: Value = read_document(&file)?;
            let write = Write {
                key,
                expect: version,
                value: Some(value.to_string().into()),
            };
            write_and_show(&client, write, options).await
        }
        Action::Withdraw { key, version } => {
            let write = Write {
                key,
                expect: version,
                value: None,
            };
            write_and_show(&client, write, options).await
        }
    }
}

/// Writes a record and shows it as stored, which may differ from what was written: a daemon
/// preserves fields of a newer schema.
pub async fn write_and_show(client: &Client, write: Write, options: &GlobalOptions) -> Result<()> {
    let version = client.write_record(&write).await?;
    let stored = client.read_record(&write.key).await.ok().flatten();
    let written = Row {
        key: write.key,
        version,
        value: write.value,
    };
    let stored = stored.filter(|row| row.version == version);
    show(&[stored.unwrap_or(written)], options)
}

async fn list(client: &Client, space: &str, options: &GlobalOptions) -> Result<()> {
    let rows = client.list_records(space).await?;
    if options.json {
        return output::json(&rows);
    }
    show(&rows, options)
}

async fn get(client: &Client, key: &str, options: &GlobalOptions) -> Result<()> {
    match client.read_record(key).await? {
        Some(row) => show(&[row], options),
        None => Err(Error::NotFound(
            format!("record {key} does not exist").into(),
        )),
    }
}

fn show(rows: &[Row], options: &GlobalOptions) -> Result<()> {
    if let ([row], true) = (rows, options.json) {
        return output::json(row);
    }
    let mut table = Table::new(&["RECORD", "VERSION", "VALUE"]);
    for row in rows {
        let value = row.value.as_deref().unwrap_or("withdrawn");
        table.add_row(vec![
            row.key.to_string(),
            row.version.to_string(),
            value.into(),
        ]);
    }
    table.print()
}
