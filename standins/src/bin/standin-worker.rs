//! Runs the stand-in for the worker as a process of its own.

use std::net::SocketAddr;
use std::process::ExitCode;

use clap::Parser;
use ragwortstall::core::model::Resources;
use ragwortstall::shell::net;
use ragwortstall_standins::worker;

/// Tasks that a VM can hold, whatever their size.
const MAX_TASKS: u32 = 10_000;

/// Stand-in for a worker VM.
#[derive(Debug, Parser)]
struct Args {
    /// Address to listen at.
    #[arg(long)]
    listen: SocketAddr,
    /// Name of the VM.
    #[arg(long)]
    id: Box<str>,
    /// Availability zone.
    #[arg(long)]
    zone: Box<str>,
    /// Rack.
    #[arg(long)]
    rack: Box<str>,
    /// Processor time in thousandths of a core.
    #[arg(long)]
    cpu_milli: u32,
    /// Memory in MiB.
    #[arg(long)]
    mem_mib: u32,
    /// Accelerators.
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
    let (_stopper, stop) = net::stop_channel();
    match worker::run(options, stop).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("{err}");
            ExitCode::FAILURE
        }
    }
}
