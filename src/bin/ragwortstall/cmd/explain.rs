//! `ragwortstall explain`

use std::collections::BTreeSet;
use std::io::BufRead;
use std::io::BufReader;
use std::path::Path;
use std::path::PathBuf;

use serde::Deserialize;
use serde::Serialize;
use serde_json::Map;
use serde_json::Value;

use crate::client::Target;
use crate::error::Error;
use crate::error::Result;
use crate::output;

const EXAMPLES: &str = "\
Examples:
  ragwortstall explain 4455f4f6e9907e81 entry-a.log entry-b.log
  cat *.log | ragwortstall explain 4455f4f6e9907e81.0.1.3 -";

/// Kinds of lines that are shown for the VMs of the job's runs.
const VM_KINDS: [&str; 2] = ["vm_contact", "vm_gone"];

/// Kinds of lines that are shown while the job was under way, whoever they are about.
const CELL_KINDS: [&str; 6] = [
    "holder_ended",
    "role_taken",
    "role_lost",
    "settling",
    "settled",
    "feed_state",
];

/// Tells the story of a job or a task from the logs of several daemons, ending in its cause.
#[derive(Debug, clap::Args)]
#[command(after_help = EXAMPLES)]
pub struct Args {
    /// Job, or task as JOB.OCCURRENCE.STEP.INDEX.
    id: Box<str>,
    /// Log files; `-` for standard input.
    #[arg(required = true)]
    files: Vec<PathBuf>,
}

/// A line of a daemon's log.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct Line {
    time_ms: u64,
    node: Box<str>,
    kind: Box<str>,
    #[serde(flatten)]
    fields: Map<String, Value>,
}

#[derive(Serialize)]
struct Story<'a> {
    lines: &'a [Line],
    cause: &'a str,
}

pub fn run(args: &Args, target: &Target) -> Result<()> {
    let lines = read_all(&args.files)?;
    let story = select(&lines, &args.id);
    if story.is_empty() {
        let reason = format!("no line about {} in {} lines", args.id, lines.len());
        return Err(Error::Usage(reason.into()));
    }
    let cause = cause(&story);
    if target.json {
        return output::json(&Story {
            lines: &story,
            cause: &cause,
        });
    }
    let first = story[0].time_ms;
    for line in &story {
        output::line(&line.text(first))?;
    }
    output::line(&format!("cause: {cause}"))
}

fn read_all(files: &[PathBuf]) -> Result<Vec<Line>> {
    let mut lines = Vec::new();
    for file in files {
        if file == Path::new("-") {
            read(std::io::stdin().lock(), file, &mut lines)?;
        } else {
            let open = std::fs::File::open(file);
            let open = open.map_err(|err| Error::File(file.clone(), err))?;
            read(BufReader::new(open), file, &mut lines)?;
        }
    }
    lines.sort_by_key(|line| line.time_ms);
    Ok(lines)
}

/// Reads the lines that are objects of a daemon's log; what precedes the object is passed over.
fn read(from: impl BufRead, file: &Path, lines: &mut Vec<Line>) -> Result<()> {
    for text in from.lines() {
        let text = text.map_err(|err| Error::File(file.to_owned(), err))?;
        let object = text.find('{').map(|start| &text[start..]);
        if let Some(line) = object.and_then(|object| serde_json::from_str(object).ok()) {
            lines.push(line);
        }
    }
    Ok(())
}

/// Lines about the job or task, about the VMs of its runs, and about the cell meanwhile.
fn select(lines: &[Line], id: &str) -> Vec<Line> {
    let own = |line: &&Line| line.is_about(id);
    let times = || lines.iter().filter(own).map(|line| line.time_ms);
    let (Some(first), Some(last)) = (times().min(), times().max()) else {
        return Vec::new();
    };
    let vms: BTreeSet<&str> = lines
        .iter()
        .filter(own)
        .filter_map(|line| line.text_of("vm"))
        .collect();
    let meanwhile = |line: &Line| (first..=last).contains(&line.time_ms);
    let of_vm = |line: &Line| {
        VM_KINDS.contains(&&*line.kind) && line.text_of("vm").is_some_and(|vm| vms.contains(vm))
    };
    let of_cell = |line: &Line| CELL_KINDS.contains(&&*line.kind);
    let shown = lines
        .iter()
        .filter(|line| line.is_about(id) || meanwhile(line) && (of_vm(line) || of_cell(line)));
    shown.cloned().collect()
}

/// What the lines say about why the job went as it did.
fn cause(story: &[Line]) -> String {
    let last = |kind: &str| story.iter().rev().find(|line| &*line.kind == kind);
    let ended = story.iter().rev().find(|line| {
        &*line.kind == "job_state" && !["queued", "running"].contains(&line.text_or("state"))
    });
    if let Some(end) = ended {
        return match end.text_or("state") {
            "completed" => pace(story, end),
            state => format!("{state}: {}", end.text_or("reason")),
        };
    }
    if let Some(line) = last("unsettled") {
        return format!("its submission is unsettled: {}", line.text_or("reason"));
    }
    if let (None, Some(line)) = (last("accepted"), last("refused")) {
        return format!("refused, never run: {}", line.text_or("reason"));
    }
    let runs = hindrances(story);
    if runs.is_empty() {
        "still under way, and nothing in these lines hindered it".to_owned()
    } else {
        format!("still under way; {}", runs.join("; "))
    }
}

/// Whether a completed job was late, and what held it up.
fn pace(story: &[Line], end: &Line) -> String {
    let (took, objective) = (end.number("took_ms"), end.number("objective_ms"));
    if took <= objective {
        return format!("completed in time, after {took} ms of {objective} ms");
    }
    let mut reasons = hindrances(story);
    if reasons.is_empty() {
        reasons.push("its runs themselves took the time".to_owned());
    }
    format!(
        "completed late, after {took} ms of {objective} ms; {}",
        reasons.join("; ")
    )
}

/// What kept tasks from running through: one entry for each kind, with its count.
fn hindrances(story: &[Line]) -> Vec<String> {
    let count = |kind: &str| story.iter().filter(|line| &*line.kind == kind).count();
    let ends = |end: &str| {
        let ended = story.iter().filter(|line| &*line.kind == "ended");
        ended.filter(|line| line.text_or("end") == end).count()
    };
    let waits = story.iter().filter(|line| &*line.kind == "placed");
    let longest = waits
        .map(|line| line.number("waited_ms"))
        .max()
        .unwrap_or(0);
    let counted = [
        (count("run_lost"), "runs lost with their VM or its lease"),
        (ends("failed"), "runs failed"),
        (ends("lapsed"), "runs killed when their lease lapsed"),
        (count("not_started"), "starts refused or unanswered"),
        (count("advice_failed"), "requests for advice failed"),
        (count("role_taken"), "changes of the placer"),
    ];
    let counted = counted.into_iter().filter(|(count, _)| *count > 0);
    let mut reasons: Vec<String> = counted
        .map(|(count, what)| format!("{count} {what}"))
        .collect();
    if longest >= 1_000 {
        reasons.push(format!("a task waited {longest} ms for a VM"));
    }
    reasons
}

impl Line {
    fn is_about(&self, id: &str) -> bool {
        let is = |name: &str| {
            self.text_of(name).is_some_and(|text| {
                text == id
                    || text.ends_with(&format!("/{id}"))
                    || text.starts_with(&format!("{id}."))
            })
        };
        let task = self.text_of("task");
        is("task") || (task.is_none() || !id.contains('.')) && is("id")
    }

    fn text_of(&self, name: &str) -> Option<&str> {
        self.fields.get(name)?.as_str()
    }

    fn text_or(&self, name: &str) -> &str {
        self.text_of(name).unwrap_or("")
    }

    fn number(&self, name: &str) -> u64 {
        self.fields.get(name).and_then(Value::as_u64).unwrap_or(0)
    }

    fn text(&self, first: u64) -> String {
        let fields = self.fields.iter().map(|(name, value)| match value {
            Value::String(text) => format!(" {name}={text}"),
            other => format!(" {name}={other}"),
        });
        let after = self.time_ms.saturating_sub(first);
        let fields: String = fields.collect();
        format!("+{after:>6} ms  {}  {}{fields}", self.node, self.kind)
    }
}
