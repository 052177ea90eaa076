//! `ragwortstall explain`, on log lines of real runs, and on those of a preemption.

use crate::tool::DONE;
use crate::tool::USAGE;
use crate::tool::run_tool;

fn log_path(name: &str) -> String {
    format!("{}/tests/tool/logs/{name}", env!("CARGO_MANIFEST_DIR"))
}

fn cause(id: &str, name: &str) -> String {
    let file = log_path(name);
    let output = run_tool(&[], &["explain", id, &file]).expect(DONE);
    let cause = output.out.lines().last().unwrap_or_default();
    cause.to_owned()
}

#[test]
fn cause_of_refused_submission_is_the_reason() {
    let cause = cause("137a141ff0a39c32", "refused.jsonl");
    assert_eq!(cause, "cause: refused, never run: unknown key");
}

#[test]
fn cause_of_late_job_lists_the_delays() {
    let cause = cause("3a130573ee47d796", "late.jsonl");
    assert!(cause.starts_with("cause: completed late, after 32251 ms of 29496 ms;"));
    assert!(cause.contains("a task waited 19017 ms for a VM"), "{cause}");
}

#[test]
fn cause_of_repeated_task_is_the_lost_run() {
    let cause = cause("7b25c624440967b3", "lost.jsonl");
    assert!(
        cause.contains("runs lost with their VM or its lease"),
        "{cause}"
    );
}

/// Guards against a job that failed for the crashes of its VMs, without a line that shows them.
#[test]
fn cause_of_given_up_job_is_the_crashes_of_its_vms() {
    let id = "e1d2fdf8c6f8da10";
    assert_eq!(
        cause(id, "crashed.jsonl"),
        "cause: failed: VMs crashed under a task"
    );
    let file = log_path("crashed.jsonl");
    let output = run_tool(&[], &["explain", id, &file]).expect(DONE);
    assert_eq!(output.out.matches("vm_crashed").count(), 3);
    assert_eq!(output.out.matches("run_crashed").count(), 3);
}

/// Guards against a preemption that is reported only to one side.
#[test]
fn both_sides_of_a_preemption_are_told_of_it() {
    let victim = cause("2ab6e0f4d1839c57", "preempted.jsonl");
    assert!(
        victim.contains("1 runs preempted for urgent jobs"),
        "{victim}"
    );
    let claimant = cause("91c4d7e35f08ba62", "preempted.jsonl");
    assert!(
        claimant.contains("1 runs of other jobs preempted for it"),
        "{claimant}"
    );
}

/// Guards against a late job whose waits are told without their reasons.
#[test]
fn cause_of_a_job_that_waited_names_the_reasons() {
    let cause = cause("5c1d9a04e7b3f628", "waits.jsonl");
    assert!(
        cause.ends_with("1 long waits for advice; 1 long waits for room"),
        "{cause}"
    );
}

/// Guards against a late job whose log does not tell that its VM hung.
#[test]
fn cause_of_moved_task_is_the_stalled_vm() {
    let id = "4455f4f6e9907e81";
    let task = format!(r#""node":"n","id":"{id}","task":"{id}.0.0.1","vm":"v""#);
    let lines = [
        format!(r#"{{"time_ms":10,"kind":"placed",{task},"run":1,"waited_ms":5}}"#),
        r#"{"time_ms":20,"kind":"vm_stalled","node":"n","vm":"v","overdue":2}"#.to_owned(),
        format!(
            r#"{{"time_ms":21,"kind":"stop_ordered",{task},"run":1,"reason":"VM is stalled"}}"#
        ),
        r#"{"time_ms":25,"kind":"vm_recovered","node":"n","vm":"v"}"#.to_owned(),
        format!(r#"{{"time_ms":30,"kind":"ended",{task},"run":2,"end":"done"}}"#),
    ];
    let path = std::env::temp_dir().join(format!("explain-stall-{}.log", std::process::id()));
    std::fs::write(&path, lines.join("\n")).expect("write a log");
    let arg = path.to_string_lossy();
    let output = run_tool(&[], &["explain", id, &arg]).expect(DONE);
    std::fs::remove_file(&path).expect("remove the log");
    for text in [
        "vm_stalled",
        "vm_recovered",
        "1 runs stopped on stalled VMs",
    ] {
        assert!(output.out.contains(text), "{}", output.out);
    }
}

#[test]
fn lines_are_sorted_by_time_and_prefixes_are_ignored() {
    let text = std::fs::read_to_string(log_path("late.jsonl")).expect("a log");
    let mut lines: Vec<String> = text
        .lines()
        .map(|line| format!("12.5 entry {line}"))
        .collect();
    lines.reverse();
    let path = std::env::temp_dir().join(format!("explain-{}.log", std::process::id()));
    std::fs::write(&path, lines.join("\n")).expect("write a log");
    let arg = path.to_string_lossy();
    let output = run_tool(&[], &["explain", "3a130573ee47d796", &arg]).expect(DONE);
    std::fs::remove_file(&path).expect("remove the log");
    assert!(
        output
            .out
            .lines()
            .next()
            .is_some_and(|line| line.contains("accepted"))
    );
}

#[test]
fn id_without_lines_is_a_usage_error() {
    let file = log_path("late.jsonl");
    let output = run_tool(&[], &["explain", "0000000000000000", &file]).expect(USAGE);
    assert!(output.err.contains("no line about 0000000000000000"));
}
