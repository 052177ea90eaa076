//! `ragwortstall run`

use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;
use std::time::Instant;

use compio::time::sleep;
use http::Method;
use ragwortstall::core::model::JobId;
use ragwortstall::core::model::JobKind;
use ragwortstall::core::model::JobSpec;
use serde::Deserialize;
use serde_json::Map;
use serde_json::Value;

use super::job;
use crate::client::Call;
use crate::client::Client;
use crate::client::GlobalOptions;
use crate::client::Idempotency;
use crate::error::Error;
use crate::error::Result;
use crate::output;
use crate::util::ResourceArgs;
use crate::util::random_hex;
use crate::util::read_document;

const EXAMPLES: &str = "\
A job keeps its identifier forever: submitting it again under the same one cannot run it twice.

Examples:
  ragwortstall run reformulation --count 40 --cpu 2 --mem 4GiB --run-time 30m --deadline 8h --wait
  ragwortstall run render --gang --count 8 --cpu 4 --mem 8GiB --accel 1 --run-time 1h
  ragwortstall run proof --queue proofs --cpu 1 --mem 512MiB --run-time 20s
  ragwortstall run --file overnight.toml --wait";

/// Number of random bytes in a generated identifier.
const ID_BYTES: usize = 8;

/// Time between queries that check whether a job was accepted after the response was lost.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(500);

/// Submits a batch run or a gang job.
#[derive(Debug, clap::Args)]
#[command(after_help = EXAMPLES)]
#[expect(clippy::struct_excessive_bools, reason = "each flag is independent")]
pub struct Args {
    /// Name shared by repeated runs of the same work.
    #[arg(required_unless_present = "file")]
    name: Option<Box<str>>,
    /// Job as JSON, or as TOML if the name ends in .toml; - is standard input.
    #[arg(
        long,
        conflicts_with_all = [
            "name", "gang", "count", "cpu", "mem", "accel", "run_time", "deadline", "urgent", "once"
        ],
    )]
    file: Option<PathBuf>,
    /// Identifier of the job. Default: the name followed by random digits.
    #[arg(long)]
    id: Option<JobId>,
    /// Open queue to submit to, for callers without a key.
    #[arg(long)]
    queue: Option<Box<str>>,
    /// Start either all tasks together or none.
    #[arg(long)]
    gang: bool,
    /// Number of tasks.
    #[arg(long, default_value_t = 1)]
    count: u32,
    #[command(flatten)]
    size: ResourceArgs,
    /// Declared run time of each task.
    #[arg(long, value_name = "TIME", value_parser = humantime::parse_duration)]
    run_time: Option<Duration>,
    /// Time from now by which the job should have ended.
    #[arg(long, value_name = "TIME", value_parser = humantime::parse_duration)]
    deadline: Option<Duration>,
    /// Place the job before all work that is not urgent.
    #[arg(long)]
    urgent: bool,
    /// Do not restart tasks that were stopped or failed.
    #[arg(long)]
    once: bool,
    /// Wait until the job ends, and show its progress.
    #[arg(long)]
    wait: bool,
}

#[derive(Deserialize)]
struct SubmitResponse {
    job: JobId,
}

pub async fn run(args: Args, options: &GlobalOptions) -> Result<()> {
    let spec = build_spec(&args)?;
    let client = Client::new(options)?;
    let job = submit(&client, &spec, args.queue.as_deref()).await?;
    if args.wait {
        eprintln!("accepted job {job}");
        return job::wait(&client, &job, options).await;
    }
    if options.json {
        return output::json(&serde_json::json!({ "job": job }));
    }
    output::line(&format!("accepted job {job}"))
}

fn build_spec(args: &Args) -> Result<JobSpec> {
    if let Some(file) = &args.file {
        return read_spec(file, args.id.as_deref());
    }
    let name = args.name.clone().unwrap_or_default();
    let id = match &args.id {
        Some(id) => id.clone(),
        None => generate_id(&name)?,
    };
    Ok(JobSpec {
        id,
        name,
        team: "".into(),
        kind: if args.gang {
            JobKind::Gang
        } else {
            JobKind::Batch
        },
        count: args.count,
        size: args.size.task_resources(),
        run_time: args.run_time,
        urgent: args.urgent,
        deadline: args.deadline,
        restartable: !args.once,
    })
}

/// Reads a job from a file. An identifier on the command line overrides the one in the file. The
/// team may be absent, as the daemon derives it from the key.
fn read_spec(file: &Path, id: Option<&str>) -> Result<JobSpec> {
    let mut fields: Map<String, Value> = read_document(file)?;
    if let Some(id) = id {
        fields.insert("id".into(), id.into());
    } else if !fields.contains_key("id") {
        let name = fields.get("name").and_then(Value::as_str);
        fields.insert(
            "id".into(),
            String::from(generate_id(name.unwrap_or("job"))?).into(),
        );
    }
    fields.entry("team").or_insert_with(|| "".into());
    serde_json::from_value(Value::Object(fields))
        .map_err(|err| Error::InvalidContent(file.into(), err.to_string().into()))
}

fn generate_id(name: &str) -> Result<JobId> {
    let digits = random_hex::<ID_BYTES>()?;
    Ok(format!("{name}-{digits}").into())
}

async fn submit(client: &Client, spec: &JobSpec, queue: Option<&str>) -> Result<JobId> {
    let operation = format!("submit job {}", spec.id);
    let query = queue.map_or(String::new(), |queue| format!("?queue={queue}"));
    let body = serde_json::to_vec(spec).map_err(std::io::Error::from)?;
    let call = Call::new(
        &operation,
        Idempotency::NonIdempotent,
        Method::POST,
        format!("/v1/jobs{query}"),
    )
    .body(body);
    let result = client.send(&call).await;
    match result.and_then(|reply| reply.json::<SubmitResponse>(&call)) {
        Ok(accepted) => Ok(accepted.job),
        Err(err @ Error::OutcomeUnknown(..)) => confirm_submission(client, &spec.id, err).await,
        Err(err) => Err(err),
    }
}

/// Queries the job by its identifier until the timeout has passed, since it may have been accepted
/// although the response was lost.
async fn confirm_submission(client: &Client, id: &str, err: Error) -> Result<JobId> {
    eprintln!("response lost; checking whether job {id} was accepted");
    let start = Instant::now();
    while start.elapsed() < client.timeout() {
        if job::status(client, id).await.is_ok() {
            return Ok(id.into());
        }
        sleep(CONFIRM_INTERVAL).await;
    }
    eprintln!("submit it again with --id {id}, or check with: ragwortstall job status {id}");
    Err(err)
}
