//! Options shared by all commands: addresses of the daemons, key, timeout and output format.

use std::env;
use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use clap::Args;

use crate::error::Error;
use crate::error::Result;

/// Environment variable with the addresses of the daemons.
const SERVERS_VAR: &str = "RAGWORTSTALL_SERVERS";

/// Environment variable with the secret of the key.
const KEY_VAR: &str = "RAGWORTSTALL_KEY";

/// Options shared by all commands.
#[derive(Debug, Args)]
pub struct GlobalOptions {
    /// HTTP address of a daemon. Repeat to give several; the next one is tried if one cannot be
    /// reached. Default: the comma-separated list in `RAGWORTSTALL_SERVERS`.
    #[arg(long = "server", global = true, value_name = "IP:PORT")]
    servers: Vec<SocketAddr>,
    /// File with the secret of the caller's or operator's key. Default: the value of
    /// `RAGWORTSTALL_KEY`.
    #[arg(long, global = true, value_name = "FILE")]
    key_file: Option<PathBuf>,
    /// Time to wait for a response.
    #[arg(
        long,
        global = true,
        value_name = "TIME",
        default_value = "15s",
        value_parser = humantime::parse_duration,
    )]
    timeout: Duration,
    /// Print JSON instead of tables.
    #[arg(long, global = true)]
    pub json: bool,
}

impl GlobalOptions {
    /// Returns the addresses of the daemons, from the command line or else the environment.
    pub fn servers(&self) -> Result<Box<[SocketAddr]>> {
        if !self.servers.is_empty() {
            return Ok(self.servers.clone().into());
        }
        let list = env::var(SERVERS_VAR).unwrap_or_default();
        let servers: Box<[SocketAddr]> = list
            .split(',')
            .map(str::trim)
            .filter(|text| !text.is_empty())
            .map(parse_server)
            .collect::<Result<_>>()?;
        if servers.is_empty() {
            let reason =
                format!("no daemon address given; use --server IP:PORT or set {SERVERS_VAR}");
            return Err(Error::Usage(reason.into()));
        }
        Ok(servers)
    }

    /// Returns the secret, from the key file or else the environment.
    pub fn secret(&self) -> Result<Option<Box<str>>> {
        let Some(path) = &self.key_file else {
            return Ok(env::var(KEY_VAR).ok().map(Box::from));
        };
        let text = fs::read_to_string(path).map_err(|err| Error::File(path.clone(), err))?;
        Ok(Some(text.trim().into()))
    }

    /// Returns the time to wait for a response.
    pub fn timeout(&self) -> Duration {
        self.timeout
    }
}

fn parse_server(text: &str) -> Result<SocketAddr> {
    text.parse()
        .map_err(|err| Error::Usage(format!("{SERVERS_VAR}: {text}: {err}").into()))
}
