//! Binary of the daemon, which runs on each entry VM.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Parser;
use ragwortstall::config::Config;
use ragwortstall::shell::daemon;
use spdlog::LevelFilter;
use spdlog::error;

/// Exit code for invalid settings.
const EXIT_INVALID_SETTINGS: u8 = 2;

/// Runs the scheduler and request router of one entry VM.
#[derive(Debug, Parser)]
#[command(
    version,
    after_help = "Example:\n  ragwortstalld --config /etc/ragwortstalld.toml"
)]
struct Args {
    /// Settings file, in TOML.
    #[arg(long)]
    config: PathBuf,
    /// Check the settings and exit.
    #[arg(long)]
    check: bool,
}

#[compio::main]
async fn main() -> ExitCode {
    let args = Args::parse();
    let config = match Config::load(&args.config) {
        Ok(config) => config,
        Err(err) => {
            eprintln!("ragwortstalld: {err}");
            return ExitCode::from(EXIT_INVALID_SETTINGS);
        }
    };
    if args.check {
        println!("{}: settings are valid", args.config.display());
        return ExitCode::SUCCESS;
    }
    spdlog::default_logger().set_level_filter(level_filter(&config.log.level));
    match daemon::run(&config).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            error!("{err}");
            ExitCode::FAILURE
        }
    }
}

fn level_filter(name: &str) -> LevelFilter {
    let level = name.parse().unwrap_or(spdlog::Level::Info);
    LevelFilter::MoreSevereEqual(level)
}
