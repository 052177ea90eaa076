//! Runs the stand-in for a worker VM as a separate process.

use std::net::SocketAddr;
use std::process::ExitCode;

use clap::Parser;
use ragwortstall::core::model::Resources;
use ragwortstall::shell::net;
use ragwortstall_standins::worker;

/// Maximum number of tasks on a VM, whatever their size.
const MAX_TASKS: u32 = 10_000;

/// Stand-in for a worker VM.
#[derive(Debug, Parser)]
struct Args {
    /// Address to listen on.
    #[arg(long)]
    listen: SocketAddr,
    /// Name of the VM.
    #[arg(long)]
    id: Box<str>,
    /// Availability zone.
    #[arg(long)]
    zone: Box<str>,
    /// Rack of the VM.
    #[arg(long)]
    rack: Box<str>,
    /// CPU in thousandths of a core.
    #[arg(long)]
    cpu_milli: u32,
    /// Memory in MiB.
    #[arg(long)]
    mem_mib: u32,
    /// Number of accelerators.
    #[arg(long, default_value_t = 0)]
    accel: u32,
    /// Address of the platform.
    #[arg(long)]
    platform: SocketAddr,
}

#[compio::main]
async fn main() -> ExitCode {
    let args = Args::parse();
    let options = worker::Options {
        listen: args.listen,
        id: args.id,
        zone: args.zone,
        rack: args.rack,
        capacity: Resources::new(args.cpu_milli, args.mem_mib, args.accel, MAX_TASKS),
        platform: args.platform,
    };
    let (_stop_tx, stop_rx) = net::stop_channel();
    match worker::run(options, stop_rx).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("{err}");
            ExitCode::FAILURE
        }
    }
}
