//! `ragwortstall key`

use std::fs::OpenOptions;
use std::io::Write as _;
use std::os::unix::fs::OpenOptionsExt;
use std::path::Path;
use std::path::PathBuf;

use clap::Subcommand;
use ragwortstall::core::key;
use ragwortstall::core::model::Row;
use ragwortstall::core::model::Write;
use ragwortstall::core::record::KeyRecord;
use serde::Serialize;
use serde_json::Value;

use crate::client::Client;
use crate::client::GlobalOptions;
use crate::error::Error;
use crate::error::Result;
use crate::output;
use crate::output::Table;
use crate::util::random_hex;

const EXAMPLES: &str = "\
Only a hash of the secret is stored. The secret itself is shown once, when the key is granted.

Examples:
  ragwortstall key grant dairy --label 'packing line 2'
  ragwortstall key grant dairy --out dairy.key
  ragwortstall key list --team dairy
  ragwortstall key withdraw 3f9a1c04
  ragwortstall key withdraw --secret-file leaked.key";

/// Number of random bytes in a secret.
const SECRET_BYTES: usize = 32;

/// Number of digits of a hash that tables show.
const SHORT_HASH_DIGITS: usize = 12;

/// Minimum number of digits in a prefix that identifies a key.
const MIN_PREFIX_DIGITS: usize = 6;

/// Mode of a file with a secret: accessible to its owner only.
const SECRET_MODE: u32 = 0o600;

/// Schema version of the key records that this tool writes.
const SCHEMA_VERSION: u32 = 1;

/// Grants, lists and withdraws keys.
#[derive(Debug, clap::Args)]
#[command(after_help = EXAMPLES)]
pub struct Args {
    #[command(subcommand)]
    action: Action,
}

#[derive(Debug, Subcommand)]
enum Action {
    /// Grants a new key to a team.
    Grant {
        /// Team to which work under the key is charged.
        team: Box<str>,
        /// Label that describes the key.
        #[arg(long, default_value = "")]
        label: Box<str>,
        /// New file to write the secret to, instead of showing it.
        #[arg(long, value_name = "FILE")]
        out: Option<PathBuf>,
    },
    /// Lists the keys with their hashes.
    List {
        /// List only the keys of this team.
        #[arg(long)]
        team: Option<Box<str>>,
    },
    /// Withdraws a key.
    Withdraw {
        /// First digits of the key's hash.
        #[arg(required_unless_present = "secret_file")]
        hash: Option<Box<str>>,
        /// File with the secret of the key to withdraw.
        #[arg(long, value_name = "FILE", conflicts_with = "hash")]
        secret_file: Option<PathBuf>,
    },
}

#[derive(Serialize)]
struct GrantedKey<'a> {
    team: &'a str,
    hash: &'a str,
    version: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    secret: Option<&'a str>,
}

#[derive(Serialize)]
struct ListedKey {
    hash: Box<str>,
    version: u64,
    team: Box<str>,
    label: Box<str>,
}

pub async fn run(args: Args, options: &GlobalOptions) -> Result<()> {
    let client = Client::new(options)?;
    match args.action {
        Action::Grant { team, label, out } => {
            grant(&client, &team, &label, out.as_deref(), options).await
        }
        Action::List { team } => list(&client, team.as_deref(), options).await,
        Action::Withdraw { hash, secret_file } => {
            let hash = match secret_file {
                Some(path) => hash_of_secret_file(&path)?,
                None => hash.unwrap_or_default(),
            };
            withdraw(&client, &hash, options).await
        }
    }
}

async fn grant(
    client: &Client,
    team: &str,
    label: &str,
    out: Option<&Path>,
    options: &GlobalOptions,
) -> Result<()> {
    let secret = format!("rws_{}", random_hex::<SECRET_BYTES>()?);
    let hash = key::hash(&secret);
    if let Some(path) = out {
        save_secret(path, &secret)?;
    }
    let record = KeyRecord {
        schema: SCHEMA_VERSION,
        team: team.into(),
        label: label.into(),
    };
    let value = serde_json::to_string(&record).map_err(std::io::Error::from)?;
    let write = Write {
        key: format!("key/{hash}").into(),
        expect: 0,
        value: Some(value.into()),
    };
    let version = client.write_record(&write).await?;
    let shown_secret = out.is_none().then_some(&*secret);
    let granted = GrantedKey {
        team,
        hash: &hash,
        version,
        secret: shown_secret,
    };
    print_granted(&granted, options)
}

fn print_granted(granted: &GrantedKey<'_>, options: &GlobalOptions) -> Result<()> {
    if options.json {
        return output::json(granted);
    }
    let hash = &granted.hash[..SHORT_HASH_DIGITS];
    output::line(&format!("granted key {hash} to team {}", granted.team))?;
    match granted.secret {
        Some(secret) => output::line(&format!("secret (shown only once): {secret}")),
        None => Ok(()),
    }
}

async fn list(client: &Client, team: Option<&str>, options: &GlobalOptions) -> Result<()> {
    let rows = client.list_records("key").await?;
    let keys: Vec<ListedKey> = rows.iter().filter_map(parse_key).collect();
    let keys: Vec<&ListedKey> = keys
        .iter()
        .filter(|key| team.is_none_or(|team| *key.team == *team))
        .collect();
    if options.json {
        return output::json(&keys);
    }
    let mut table = Table::new(&["KEY", "VERSION", "TEAM", "LABEL"]);
    for key in keys {
        table.add_row(vec![
            key.hash.chars().take(SHORT_HASH_DIGITS).collect(),
            key.version.to_string(),
            key.team.to_string(),
            key.label.to_string(),
        ]);
    }
    table.print()
}

/// Parses a key record leniently, so that keys of a newer schema are listed too.
fn parse_key(row: &Row) -> Option<ListedKey> {
    let value: Value = serde_json::from_str(row.value.as_deref()?).ok()?;
    let text = |field: &str| value[field].as_str().unwrap_or_default().into();
    Some(ListedKey {
        hash: row.key.strip_prefix("key/")?.into(),
        version: row.version,
        team: text("team"),
        label: text("label"),
    })
}

async fn withdraw(client: &Client, prefix: &str, options: &GlobalOptions) -> Result<()> {
    if prefix.len() < MIN_PREFIX_DIGITS {
        let reason = format!("give at least {MIN_PREFIX_DIGITS} digits of the key's hash");
        return Err(Error::Usage(reason.into()));
    }
    let start = format!("key/{prefix}");
    let rows = client.list_records("key").await?;
    let mut matching = rows.into_iter().filter(|row| row.key.starts_with(&start));
    let row = matching.next().ok_or_else(|| no_such_key(prefix))?;
    if matching.next().is_some() {
        return Err(Error::Usage(
            format!("several key hashes start with {prefix}").into(),
        ));
    }
    let write = Write {
        key: row.key.clone(),
        expect: row.version,
        value: None,
    };
    let version = client.write_record(&write).await?;
    if options.json {
        let row = Row {
            key: row.key,
            version,
            value: None,
        };
        return output::json(&row);
    }
    output::line(&format!("withdrew {} at version {version}", row.key))
}

fn no_such_key(prefix: &str) -> Error {
    Error::NotFound(format!("no active key has a hash starting with {prefix}").into())
}

fn hash_of_secret_file(path: &Path) -> Result<Box<str>> {
    let text = std::fs::read_to_string(path).map_err(|err| Error::File(path.into(), err))?;
    Ok(key::hash(text.trim()))
}

/// Writes the secret to a new file. Called before the key is granted, so that the secret of a
/// granted key cannot be lost.
fn save_secret(path: &Path, secret: &str) -> Result<()> {
    let mut options = OpenOptions::new();
    options.write(true).create_new(true).mode(SECRET_MODE);
    options
        .open(path)
        .and_then(|mut f| writeln!(f, "{secret}"))
        .map_err(|err| Error::File(path.into(), err))
}
