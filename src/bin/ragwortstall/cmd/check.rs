//! `ragwortstall check`

use std::path::PathBuf;

use ragwortstall::config::Config;

use crate::client::GlobalOptions;
use crate::error::Result;
use crate::output;

const EXAMPLES: &str = "\
Examples:
  ragwortstall check etc/ragwortstalld.toml";

/// Checks settings files of the daemon, without starting it.
#[derive(Debug, clap::Args)]
#[command(after_help = EXAMPLES)]
pub struct Args {
    /// Settings files.
    #[arg(required = true)]
    files: Vec<PathBuf>,
}

#[derive(serde::Serialize)]
struct CheckedFile<'a> {
    file: &'a str,
    daemon: &'a str,
    zone: &'a str,
    http: String,
    peer: String,
}

pub fn run(args: &Args, options: &GlobalOptions) -> Result<()> {
    for file in &args.files {
        let cfg = Config::load(file)?;
        let checked = CheckedFile {
            file: &file.to_string_lossy(),
            daemon: &cfg.daemon.name,
            zone: &cfg.daemon.zone,
            http: cfg.daemon.http.to_string(),
            peer: cfg.daemon.peer.to_string(),
        };
        print(&checked, options)?;
    }
    Ok(())
}

fn print(checked: &CheckedFile<'_>, options: &GlobalOptions) -> Result<()> {
    if options.json {
        return output::json(checked);
    }
    let CheckedFile {
        file,
        daemon,
        zone,
        http,
        peer,
    } = checked;
    output::line(&format!(
        "{file}: valid; daemon {daemon} in {zone}, http {http}, peer {peer}"
    ))
}
