//! `ragwortstall job`

use std::time::Duration;

use clap::Subcommand;
use compio::time::sleep;
use http::Method;
use http::StatusCode;
use ragwortstall::core::model::JobId;
use serde::Deserialize;
use serde::Serialize;

use crate::client::Call;
use crate::client::Client;
use crate::client::GlobalOptions;
use crate::client::Idempotency;
use crate::client::Reply;
use crate::error::Error;
use crate::error::Result;
use crate::output;
use crate::output::Table;

const EXAMPLES: &str = "\
Examples:
  ragwortstall job status reformulation-5f0c9a1be2d34478
  ragwortstall job wait reformulation-5f0c9a1be2d34478
  ragwortstall job cancel reformulation-5f0c9a1be2d34478";

/// Time between queries while waiting for a job.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Shows, waits for and cancels jobs.
#[derive(Debug, clap::Args)]
#[command(after_help = EXAMPLES)]
pub struct Args {
    #[command(subcommand)]
    action: Action,
}

#[derive(Debug, Subcommand)]
enum Action {
    /// Shows the status of a job.
    Status {
        /// Identifier of the job.
        id: JobId,
    },
    /// Waits until a job ends, and shows its progress.
    Wait {
        /// Identifier of the job.
        id: JobId,
    },
    /// Cancels a job.
    Cancel {
        /// Identifier of the job.
        id: JobId,
    },
}

/// Status of a job as reported by a daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobStatus {
    job: JobId,
    state: Box<str>,
    zone: Box<str>,
    count: u32,
    done: u32,
    failed: u32,
    /// Number of running tasks; only the placer of the job's zone reports it.
    running: Option<u32>,
    reason: Option<Box<str>>,
}

pub async fn run(args: Args, options: &GlobalOptions) -> Result<()> {
    let client = Client::new(options)?;
    match args.action {
        Action::Status { id } => show(&status(&client, &id).await?, options),
        Action::Wait { id } => wait(&client, &id, options).await,
        Action::Cancel { id } => cancel(&client, &id, options).await,
    }
}

/// Returns the status of a job. Only the placer of its zone knows the number of running tasks, so
/// if the first response lacks it, the other daemons are queried too.
pub async fn status(client: &Client, id: &str) -> Result<JobStatus> {
    let operation = format!("read job {id}");
    let call = Call::get(&operation, job_path(id)?);
    let reply = client.send(&call).await?;
    let first = parse_status(&reply, &call, id)?;
    if first.has_ended() || first.running.is_some() {
        return Ok(first);
    }
    for &server in client.servers() {
        if server != reply.server
            && let Ok(reply) = client.send_to(server, &call).await
            && let Ok(status) = parse_status(&reply, &call, id)
            && status.running.is_some()
        {
            return Ok(status);
        }
    }
    Ok(first)
}

fn parse_status(reply: &Reply, call: &Call, id: &str) -> Result<JobStatus> {
    if reply.status == StatusCode::NOT_FOUND {
        return Err(Error::NotFound(format!("job {id} is not known").into()));
    }
    reply.json(call)
}

/// Waits until a job ends. Temporary errors, such as an unreachable daemon, do not end the wait.
pub async fn wait(client: &Client, id: &str, options: &GlobalOptions) -> Result<()> {
    let mut shown = None;
    loop {
        match status(client, id).await {
            Ok(status) if status.has_ended() => return finish(&status, options),
            Ok(status) => print_progress(status, &mut shown),
            Err(err) if err.is_final() => return Err(err),
            Err(err) => eprintln!("still waiting: {err}"),
        }
        sleep(POLL_INTERVAL).await;
    }
}

async fn cancel(client: &Client, id: &str, options: &GlobalOptions) -> Result<()> {
    let operation = format!("cancel job {id}");
    let call = Call::new(
        &operation,
        Idempotency::Idempotent,
        Method::DELETE,
        job_path(id)?,
    );
    let reply = client.send(&call).await?;
    show(&parse_status(&reply, &call, id)?, options)
}

/// Prints the progress to standard error if it has changed.
fn print_progress(status: JobStatus, shown: &mut Option<JobStatus>) {
    if shown.as_ref() != Some(&status) {
        eprintln!("{}", status.progress());
        *shown = Some(status);
    }
}

/// Shows the final status; returns an error unless the job is done.
fn finish(status: &JobStatus, options: &GlobalOptions) -> Result<()> {
    show(status, options)?;
    if &*status.state == "done" {
        return Ok(());
    }
    let reason = status.reason.as_deref().unwrap_or("see the timeline");
    let message = format!("job {}: {}: {reason}", status.job, status.state);
    Err(Error::Failed(message.into()))
}

fn show(status: &JobStatus, options: &GlobalOptions) -> Result<()> {
    if options.json {
        return output::json(status);
    }
    let mut table = Table::new(&[
        "JOB", "STATE", "ZONE", "TASKS", "DONE", "FAILED", "RUNNING", "REASON",
    ]);
    table.add_row(vec![
        status.job.to_string(),
        status.state.to_string(),
        status.zone.to_string(),
        status.count.to_string(),
        status.done.to_string(),
        status.failed.to_string(),
        status.running_text(),
        status.reason.as_deref().unwrap_or("-").into(),
    ]);
    table.print()
}

impl JobStatus {
    fn has_ended(&self) -> bool {
        &*self.state != "active"
    }

    fn running_text(&self) -> String {
        self.running
            .map_or("?".into(), |running| running.to_string())
    }

    fn progress(&self) -> String {
        format!(
            "job {}: {} of {} tasks done, {} failed, {} running in {}",
            self.job,
            self.done,
            self.count,
            self.failed,
            self.running_text(),
            self.zone,
        )
    }
}

fn job_path(id: &str) -> Result<String> {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    if id.is_empty() || !id.chars().all(is_allowed) {
        let reason =
            format!("\"{id}\" is not a job identifier: use letters, digits, '-', '_' and '.'");
        return Err(Error::Usage(reason.into()));
    }
    Ok(format!("/v1/jobs/{id}"))
}
