//! Command-line tool for operators and callers.

mod client;
mod cmd;
mod error;
mod output;
mod util;

use std::process::ExitCode;

use clap::Parser;
use clap::Subcommand;

use client::GlobalOptions;
use error::Result;

/// Exit codes of all commands.
const EXIT_CODES: &str = "\
Exit codes:
  0  done
  1  not run: it had no effect and will have none, or a daemon refused it
  2  usage or settings
  3  unknown: it may have had an effect
  4  it ran, and failed or was cancelled";

/// Manages a ragwortstall cell: records, keys, jobs, requests, status and timeline.
#[derive(Debug, Parser)]
#[command(name = "ragwortstall", version, after_help = EXIT_CODES)]
struct Cli {
    #[command(flatten)]
    options: GlobalOptions,
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    Check(cmd::check::Args),
    Explain(cmd::explain::Args),
    Record(cmd::record::Args),
    Team(cmd::team::Args),
    Service(cmd::service::Args),
    Queue(cmd::queue::Args),
    Key(cmd::key::Args),
    Run(cmd::run::Args),
    Job(cmd::job::Args),
    Request(cmd::request::Args),
    Status(cmd::status::Args),
    Timeline(cmd::timeline::Args),
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    match run(cli) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            err.report();
            err.exit_code()
        }
    }
}

fn run(cli: Cli) -> Result<()> {
    let runtime = compio::runtime::Runtime::new().map_err(error::Error::Runtime)?;
    runtime.block_on(dispatch(cli))
}

async fn dispatch(cli: Cli) -> Result<()> {
    let options = cli.options;
    match cli.command {
        Command::Check(args) => cmd::check::run(&args, &options),
        Command::Explain(args) => cmd::explain::run(&args, &options),
        Command::Record(args) => cmd::record::run(args, &options).await,
        Command::Team(args) => cmd::team::run(args, &options).await,
        Command::Service(args) => cmd::service::run(args, &options).await,
        Command::Queue(args) => cmd::queue::run(args, &options).await,
        Command::Key(args) => cmd::key::run(args, &options).await,
        Command::Run(args) => cmd::run::run(args, &options).await,
        Command::Job(args) => cmd::job::run(args, &options).await,
        Command::Request(args) => cmd::request::run(args, &options).await,
        Command::Status(args) => cmd::status::run(args, &options).await,
        Command::Timeline(args) => cmd::timeline::run(args, &options).await,
    }
}
