//! `ragwortstall request`

use std::io;
use std::io::Write;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;

use http::Method;
use serde::Serialize;

use crate::client::Call;
use crate::client::Client;
use crate::client::GlobalOptions;
use crate::client::Idempotency;
use crate::client::Outcome;
use crate::client::Reply;
use crate::error::Error;
use crate::error::Result;
use crate::output;
use crate::util::read_input;

const EXAMPLES: &str = "\
The response is written to standard output, and the outcome of the request to standard error:
completed, not run (it did not run and will not) or unknown (it may have run).

Examples:
  ragwortstall request labels panels/42
  ragwortstall request labels panels -X POST --data '{\"recipe\":42}' --id order-1701
  ragwortstall request labels panels -X POST --data-file recipe.json --idempotent true";

/// Time to wait for the daemon's response beyond the time limit of the request.
const RESPONSE_MARGIN: Duration = Duration::from_secs(2);

/// Sends a request to a service.
#[derive(Debug, clap::Args)]
#[command(after_help = EXAMPLES)]
pub struct Args {
    /// Name of the service.
    service: Box<str>,
    /// Path and query of the request.
    #[arg(default_value = "")]
    path: Box<str>,
    /// HTTP method.
    #[arg(short = 'X', long, default_value = "GET")]
    method: Method,
    /// Header, as NAME:VALUE. Repeat to give several.
    #[arg(short = 'H', long = "header", value_parser = parse_header)]
    headers: Vec<(Box<str>, Box<str>)>,
    /// Request body.
    #[arg(short, long)]
    data: Option<String>,
    /// File with the request body; - is standard input.
    #[arg(long, conflicts_with = "data")]
    data_file: Option<PathBuf>,
    /// Whether the request is idempotent. Default: depends on the method.
    #[arg(long)]
    idempotent: Option<bool>,
    /// Idempotency key: a request repeated under the same one does not run twice.
    #[arg(long)]
    id: Option<Box<str>>,
    /// Show the status and headers of the response too.
    #[arg(short, long)]
    include: bool,
    /// Time limit for the request, which is sent to the daemon.
    #[arg(long, value_name = "TIME", value_parser = humantime::parse_duration)]
    patience: Option<Duration>,
}

#[derive(Serialize)]
struct RequestResult<'a> {
    outcome: Option<Outcome>,
    status: u16,
    server: String,
    body: &'a str,
}

pub async fn run(args: Args, options: &GlobalOptions) -> Result<()> {
    let client = Client::new(options)?;
    let call = build_call(&args)?;
    let reply = client.send(&call).await?;
    let outcome = reply.outcome();
    if outcome != Some(Outcome::Completed) {
        return Err(reply.to_error(&call));
    }
    show(&reply, args.include, options)?;
    eprintln!(
        "completed with status {} via {}",
        reply.status, reply.server
    );
    if reply.status.is_client_error() || reply.status.is_server_error() {
        return Err(Error::Failed(
            format!("the endpoint answered {}", reply.status).into(),
        ));
    }
    Ok(())
}

fn build_call(args: &Args) -> Result<Call> {
    let operation = format!("request to {}", args.service);
    let path = args.path.trim_start_matches('/');
    let url = format!("/v1/services/{}/{path}", args.service);
    let mut call = Call::new(&operation, idempotency(args), args.method.clone(), url);
    call.headers.clone_from(&args.headers);
    if let Some(id) = &args.id {
        call = call.header("idempotency-key", id);
    }
    if let Some(idempotent) = args.idempotent {
        call = call.header("x-ragwortstall-idempotent", &idempotent.to_string());
    }
    if let Some(patience) = args.patience {
        let text = humantime::format_duration(patience).to_string();
        call = call.header("x-ragwortstall-timeout", &text);
        call.timeout = Some(patience + RESPONSE_MARGIN);
    }
    Ok(call.body(read_body(args.data.as_deref(), args.data_file.as_deref())?))
}

fn idempotency(args: &Args) -> Idempotency {
    if args.idempotent.unwrap_or(args.method.is_idempotent()) {
        Idempotency::Idempotent
    } else {
        Idempotency::NonIdempotent
    }
}

fn read_body(data: Option<&str>, file: Option<&Path>) -> Result<Vec<u8>> {
    match (data, file) {
        (Some(data), _) => Ok(data.as_bytes().into()),
        (None, Some(file)) => read_input(file),
        (None, None) => Ok(Vec::new()),
    }
}

fn show(reply: &Reply, include: bool, options: &GlobalOptions) -> Result<()> {
    if options.json {
        return output::json(&RequestResult {
            outcome: reply.outcome(),
            status: reply.status.as_u16(),
            server: reply.server.to_string(),
            body: &String::from_utf8_lossy(&reply.body),
        });
    }
    let mut out = io::stdout();
    if include {
        write_head(&mut out, reply)?;
    }
    out.write_all(&reply.body)?;
    if !reply.body.ends_with(b"\n") {
        out.write_all(b"\n")?;
    }
    Ok(())
}

fn write_head(out: &mut impl Write, reply: &Reply) -> io::Result<()> {
    writeln!(out, "HTTP/1.1 {}", reply.status)?;
    for (name, value) in &reply.headers {
        writeln!(out, "{name}: {}", String::from_utf8_lossy(value.as_bytes()))?;
    }
    writeln!(out)
}

fn parse_header(text: &str) -> std::result::Result<(Box<str>, Box<str>), String> {
    let (name, value) = text
        .split_once(':')
        .ok_or_else(|| format!("\"{text}\" is not NAME:VALUE"))?;
    Ok((name.trim().into(), value.trim().into()))
}
