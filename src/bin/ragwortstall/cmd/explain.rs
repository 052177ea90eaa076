//! `ragwortstall explain`

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::io::BufRead;
use std::io::BufReader;
use std::path::Path;
use std::path::PathBuf;

use serde::Deserialize;
use serde::Serialize;
use serde_json::Map;
use serde_json::Value;

use crate::client::GlobalOptions;
use crate::error::Error;
use crate::error::Result;
use crate::output;

const EXAMPLES: &str = "\
Examples:
  ragwortstall explain 4455f4f6e9907e81 entry-a.log entry-b.log
  cat *.log | ragwortstall explain 4455f4f6e9907e81.0.1.3 -";

/// Kinds of log lines that are shown for the VMs on which the job ran.
const VM_KINDS: [&str; 8] = [
    "vm_contact",
    "vm_crashed",
    "vm_gone",
    "vm_lifetime_ignored",
    "vm_recovered",
    "vm_resized",
    "vm_restarted",
    "vm_stalled",
];

/// Kinds of log lines about the whole cell that are shown for the duration of the job.
const CELL_KINDS: [&str; 6] = [
    "holder_ended",
    "role_taken",
    "role_lost",
    "settling",
    "settled",
    "feed_state",
];

/// Shortest wait for a VM that is reported as a cause of delay.
const LONG_WAIT_MS: u64 = 1_000;

/// Shows the history of a job or task from the daemons' logs, and the cause of its result.
#[derive(Debug, clap::Args)]
#[command(after_help = EXAMPLES)]
pub struct Args {
    /// Job, or task as JOB.OCCURRENCE.STEP.INDEX.
    id: Box<str>,
    /// Log files; `-` is standard input.
    #[arg(required = true)]
    files: Vec<PathBuf>,
}

/// A structured line of a daemon's log.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct LogLine {
    time_ms: u64,
    node: Box<str>,
    kind: Box<str>,
    #[serde(flatten)]
    fields: Map<String, Value>,
}

#[derive(Serialize)]
struct Explanation<'a> {
    lines: &'a [LogLine],
    cause: &'a str,
}

pub fn run(args: &Args, options: &GlobalOptions) -> Result<()> {
    let lines = read_files(&args.files)?;
    let selected = select_lines(&lines, &args.id);
    if selected.is_empty() {
        let reason = format!("no line about {} in {} lines", args.id, lines.len());
        return Err(Error::Usage(reason.into()));
    }
    let cause = cause(&selected, &args.id);
    if options.json {
        return output::json(&Explanation {
            lines: &selected,
            cause: &cause,
        });
    }
    let start_ms = selected[0].time_ms;
    for line in &selected {
        output::line(&line.format(start_ms))?;
    }
    output::line(&format!("cause: {cause}"))
}

fn read_files(files: &[PathBuf]) -> Result<Vec<LogLine>> {
    let mut lines = Vec::new();
    for file in files {
        if file == Path::new("-") {
            read_lines(std::io::stdin().lock(), file, &mut lines)?;
        } else {
            let opened = std::fs::File::open(file);
            let f = opened.map_err(|err| Error::File(file.clone(), err))?;
            read_lines(BufReader::new(f), file, &mut lines)?;
        }
    }
    lines.sort_by_key(|line| line.time_ms);
    Ok(lines)
}

/// Parses the structured lines of a log and skips all others. Text before the JSON object on a line
/// is ignored.
fn read_lines(input: impl BufRead, file: &Path, lines: &mut Vec<LogLine>) -> Result<()> {
    for text in input.lines() {
        let text = text.map_err(|err| Error::File(file.to_owned(), err))?;
        let object = text.find('{').map(|start| &text[start..]);
        if let Some(line) = object.and_then(|object| serde_json::from_str(object).ok()) {
            lines.push(line);
        }
    }
    Ok(())
}

/// Returns the lines about the job or task and, from the first to the last of them, those about the
/// VMs on which it ran and about the cell.
fn select_lines(lines: &[LogLine], id: &str) -> Vec<LogLine> {
    let matches_id = |line: &&LogLine| line.is_about(id);
    let times = || lines.iter().filter(matches_id).map(|line| line.time_ms);
    let (Some(first), Some(last)) = (times().min(), times().max()) else {
        return Vec::new();
    };
    let vms: BTreeSet<&str> = lines
        .iter()
        .filter(matches_id)
        .filter_map(|line| line.str_field("vm"))
        .collect();
    let in_period = |line: &LogLine| (first..=last).contains(&line.time_ms);
    let of_vm = |line: &LogLine| {
        VM_KINDS.contains(&&*line.kind) && line.str_field("vm").is_some_and(|vm| vms.contains(vm))
    };
    let of_cell = |line: &LogLine| CELL_KINDS.contains(&&*line.kind);
    let shown = lines
        .iter()
        .filter(|line| line.is_about(id) || in_period(line) && (of_vm(line) || of_cell(line)));
    shown.cloned().collect()
}

/// Returns the cause of the job's current or final state, as far as the lines show it.
fn cause(lines: &[LogLine], id: &str) -> String {
    let last = |kind: &str| lines.iter().rev().find(|line| &*line.kind == kind);
    let ended = lines.iter().rev().find(|line| {
        &*line.kind == "job_state"
            && !["queued", "running"].contains(&line.str_field_or_empty("state"))
    });
    if let Some(end) = ended {
        return match end.str_field_or_empty("state") {
            "completed" => completion_cause(lines, end, id),
            state => format!("{state}: {}", end.str_field_or_empty("reason")),
        };
    }
    if let Some(line) = last("unsettled") {
        return format!(
            "outcome of the submission unknown: {}",
            line.str_field_or_empty("reason")
        );
    }
    if let (None, Some(line)) = (last("accepted"), last("refused")) {
        return format!("refused, never run: {}", line.str_field_or_empty("reason"));
    }
    let delays = delays(lines, id);
    if delays.is_empty() {
        "still in progress; these lines show no cause of delay".to_owned()
    } else {
        format!("still in progress; {}", delays.join("; "))
    }
}

/// Returns whether a completed job met its objective and, if not, what delayed it.
fn completion_cause(lines: &[LogLine], end: &LogLine, id: &str) -> String {
    let (took, objective) = (end.u64_field("took_ms"), end.u64_field("objective_ms"));
    if took <= objective {
        return format!("completed in time, after {took} ms of {objective} ms");
    }
    let mut reasons = delays(lines, id);
    if reasons.is_empty() {
        reasons.push("the lines show no other cause than the run time of its tasks".to_owned());
    }
    format!(
        "completed late, after {took} ms of {objective} ms; {}",
        reasons.join("; ")
    )
}

/// Returns the causes of delay that the lines show, each with its number of occurrences.
fn delays(lines: &[LogLine], id: &str) -> Vec<String> {
    let count = |kind: &str| lines.iter().filter(|line| &*line.kind == kind).count();
    let runs_ended = |end: &str| {
        let ended = lines.iter().filter(|line| &*line.kind == "ended");
        ended
            .filter(|line| line.str_field_or_empty("end") == end)
            .count()
    };
    let preempted = |for_it: bool| {
        let preempted = lines.iter().filter(|line| &*line.kind == "preempted");
        preempted
            .filter(|line| line.has_claimant(id) == for_it)
            .count()
    };
    let stopped = |reason: &str| {
        let stops = lines.iter().filter(|line| &*line.kind == "stop_ordered");
        stops
            .filter(|line| line.str_field_or_empty("reason") == reason)
            .count()
    };
    let placed = lines.iter().filter(|line| &*line.kind == "placed");
    let longest_wait_ms = placed
        .map(|line| line.u64_field("waited_ms"))
        .max()
        .unwrap_or(0);
    let counts = [
        (count("run_lost"), "runs lost with their VM or its lease"),
        (count("run_crashed"), "crashes of VMs under runs"),
        (
            count("start_uncertain"),
            "crashes of VMs perhaps before a start reached them",
        ),
        (runs_ended("failed"), "runs failed"),
        (runs_ended("lapsed"), "runs killed when their lease lapsed"),
        (preempted(false), "runs preempted for urgent jobs"),
        (preempted(true), "runs of other jobs preempted for it"),
        (stopped("VM is stalled"), "runs stopped on stalled VMs"),
        (count("not_started"), "starts refused or unanswered"),
        (count("advice_failed"), "requests for advice failed"),
        (count("role_taken"), "changes of the placer"),
    ];
    let mut reasons: Vec<String> = counts
        .into_iter()
        .filter(|(count, _)| *count > 0)
        .map(|(count, description)| format!("{count} {description}"))
        .collect();
    reasons.extend(wait_reasons(lines));
    if longest_wait_ms >= LONG_WAIT_MS {
        reasons.push(format!("a task waited {longest_wait_ms} ms for a VM"));
    }
    reasons
}

/// Returns the reasons for which tasks of the job waited for long, each with its number of lines.
fn wait_reasons(lines: &[LogLine]) -> Vec<String> {
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    for line in lines.iter().filter(|line| &*line.kind == "step_waits") {
        let count = counts.entry(line.str_field_or_empty("reason"));
        *count.or_default() += 1;
    }
    let reasons = counts.into_iter();
    let reasons = reasons.map(|(reason, count)| format!("{count} long waits for {reason}"));
    reasons.collect()
}

impl LogLine {
    /// Returns whether the line is about the job or task `id`, which may be given without its team
    /// prefix, about a task of the job, or about a run that was preempted for the job.
    fn is_about(&self, id: &str) -> bool {
        let task = self.str_field("task");
        let names_job = task.is_none() || !id.contains('.');
        self.names("task", id) || names_job && self.names("id", id) || self.has_claimant(id)
    }

    /// Returns whether the line is about a run that was preempted for the job `id`.
    fn has_claimant(&self, id: &str) -> bool {
        self.names("claimant", id)
    }

    /// Returns whether a field names the job or task `id` or a task of the job.
    fn names(&self, field: &str, id: &str) -> bool {
        self.str_field(field).is_some_and(|text| {
            text == id || text.ends_with(&format!("/{id}")) || text.starts_with(&format!("{id}."))
        })
    }

    fn str_field(&self, name: &str) -> Option<&str> {
        self.fields.get(name)?.as_str()
    }

    fn str_field_or_empty(&self, name: &str) -> &str {
        self.str_field(name).unwrap_or("")
    }

    fn u64_field(&self, name: &str) -> u64 {
        self.fields.get(name).and_then(Value::as_u64).unwrap_or(0)
    }

    /// Formats the line with its time relative to `start_ms`.
    fn format(&self, start_ms: u64) -> String {
        let fields = self.fields.iter().map(|(name, value)| match value {
            Value::String(text) => format!(" {name}={text}"),
            other => format!(" {name}={other}"),
        });
        let elapsed_ms = self.time_ms.saturating_sub(start_ms);
        let fields: String = fields.collect();
        format!("+{elapsed_ms:>6} ms  {}  {}{fields}", self.node, self.kind)
    }
}
