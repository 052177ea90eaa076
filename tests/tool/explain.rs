//! `explain`, on lines of real runs.

use crate::tool::DONE;
use crate::tool::USAGE;
use crate::tool::tool;

fn log(name: &str) -> String {
    format!("{}/tests/tool/logs/{name}", env!("CARGO_MANIFEST_DIR"))
}

fn cause(id: &str, name: &str) -> String {
    let file = log(name);
    let ended = tool(&[], &["explain", id, &file]).expect(DONE);
    let cause = ended.out.lines().last().unwrap_or_default();
    cause.to_owned()
}
#[test]
fn a_refused_submission_ends_in_the_reason() {
    let cause = cause("137a141ff0a39c32", "refused.jsonl");
    assert_eq!(cause, "cause: refused, never run: unknown key");
}

#[test]
fn a_late_job_ends_in_what_held_it_up() {
    let cause = cause("3a130573ee47d796", "late.jsonl");
    assert!(cause.starts_with("cause: completed late, after 32251 ms of 29496 ms;"));
    assert!(cause.contains("a task waited 19017 ms for a VM"), "{cause}");
}

#[test]
fn a_task_that_ran_again_ends_in_how_its_run_was_lost() {
    let cause = cause("7b25c624440967b3", "lost.jsonl");
    assert!(
        cause.contains("runs lost with their VM or its lease"),
        "{cause}"
    );
}

#[test]
fn lines_come_in_order_of_time_whatever_precedes_the_object() {
    let text = std::fs::read_to_string(log("late.jsonl")).expect("a log");
    let mut lines: Vec<String> = text
        .lines()
        .map(|line| format!("12.5 entry {line}"))
        .collect();
    lines.reverse();
    let file = std::env::temp_dir().join(format!("explain-{}.log", std::process::id()));
    std::fs::write(&file, lines.join("\n")).expect("write a log");
    let path = file.to_string_lossy();
    let ended = tool(&[], &["explain", "3a130573ee47d796", &path]).expect(DONE);
    std::fs::remove_file(&file).expect("remove the log");
    assert!(
        ended
            .out
            .lines()
            .next()
            .is_some_and(|line| line.contains("accepted"))
    );
}

#[test]
fn an_id_without_lines_is_a_usage_error() {
    let file = log("late.jsonl");
    let ended = tool(&[], &["explain", "0000000000000000", &file]).expect(USAGE);
    assert!(ended.err.contains("no line about 0000000000000000"));
}
