//! Runs the stand-in for the platform as a separate process.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::str::FromStr;

use clap::Parser;
use ragwortstall::core::model::Member;
use ragwortstall::core::model::MemberRole;
use ragwortstall::core::model::MemberState;
use ragwortstall::shell::net;
use ragwortstall_standins::platform;
use ragwortstall_standins::platform::Platform;

/// Stand-in for the platform's table, object store and membership list.
#[derive(Debug, Parser)]
struct Args {
    /// Address to listen on, `ip:port`.
    #[arg(long)]
    listen: SocketAddr,
    /// Entry VM as `id,zone,http-address,peer-address`; may be repeated.
    #[arg(long)]
    entry: Vec<Entry>,
}

#[derive(Clone, Debug)]
struct Entry(Member);

impl FromStr for Entry {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let parts: Vec<&str> = text.split(',').collect();
        let [id, zone, address, peer] = parts.as_slice() else {
            return Err("expected id,zone,http-address,peer-address");
        };
        let peer = Box::from(*peer);
        Ok(Self(Member {
            id: (*id).into(),
            address: (*address).into(),
            zone: (*zone).into(),
            role: MemberRole::Entry { peer },
            state: MemberState::Live,
        }))
    }
}

#[compio::main]
async fn main() -> ExitCode {
    let args = Args::parse();
    let mut state = Platform::default();
    for Entry(member) in args.entry {
        state.add_member(member);
    }
    match net::listen(args.listen).await {
        Ok(listener) => {
            platform::serve(listener, state).await;
            ExitCode::SUCCESS
        }
        Err(err) => {
            eprintln!("{err}");
            ExitCode::FAILURE
        }
    }
}
