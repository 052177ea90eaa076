//! Runs the stand-in for an endpoint as a separate process.

use std::error::Error;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use clap::Parser;
use ragwortstall::core::model::Member;
use ragwortstall::core::model::MemberRole;
use ragwortstall::core::model::MemberState;
use ragwortstall::shell::net::listen;
use ragwortstall_standins::endpoint::EndpointServer;
use ragwortstall_standins::endpoint::Registration;

/// Serves the requests of a service, and registers itself in the membership list.
#[derive(Debug, Parser)]
struct Args {
    /// Address to listen on.
    #[arg(long)]
    listen: SocketAddr,
    /// Service that the endpoint serves.
    #[arg(long)]
    service: Box<str>,
    /// Availability zone.
    #[arg(long)]
    zone: Box<str>,
    /// Maximum number of concurrent requests.
    #[arg(long, default_value_t = 8)]
    slots: u32,
    /// Maximum number of open connections, as written to the membership list.
    #[arg(long, default_value_t = 64)]
    connections: u32,
    /// Address of the platform. Without it, the endpoint is not registered.
    #[arg(long)]
    platform: Option<SocketAddr>,
    /// Duration of each request.
    #[arg(long, default_value = "5ms", value_parser = humantime::parse_duration)]
    work: Duration,
}

#[compio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let args = Args::parse();
    let listener = listen(args.listen).await?;
    let address = listener.local_addr()?;
    println!("listening on {address}");
    let server = Rc::new(EndpointServer::new(args.slots, args.work));
    if let Some(platform) = args.platform {
        let member = member(&args, address);
        let server = Rc::clone(&server);
        compio::runtime::spawn(async move {
            Registration { platform, member }
                .renew_periodically(&server)
                .await;
        })
        .detach();
    }
    server.serve(listener).await;
    Ok(())
}

fn member(args: &Args, address: SocketAddr) -> Member {
    Member {
        id: format!("endpoint-{address}").into(),
        address: address.to_string().into(),
        zone: args.zone.clone(),
        role: MemberRole::Endpoint {
            service: args.service.clone(),
            slots: args.slots,
            connections: args.connections,
        },
        state: MemberState::Live,
    }
}
