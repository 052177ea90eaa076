//! Runs a case of the review: `standins CASE RECORD`. Without trouble (`TROUBLE=0`) the same goes on
//! without the disruption.

mod cases;
mod cell;
mod http;
mod json;
mod minion;
mod record;
mod store;

use std::path::Path;
use std::time::Duration;

use record::Record;

/// Longest time of a case. `run-case.sh` then ends the processes that are left.
const LONGEST: Duration = Duration::from_secs(110);

/// How a case ended.
pub enum Verdict {
    Held,
    Broken(String),
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, path] = &args[..] else {
        eprintln!("usage: standins CASE RECORD");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = match Record::create(Path::new(path)) {
        Ok(record) => record,
        Err(err) => {
            eprintln!("write {path}: {err}");
            std::process::exit(2);
        }
    };
    record.line(&format!("case {case}, trouble {trouble}"));
    std::thread::spawn(|| {
        std::thread::sleep(LONGEST);
        eprintln!("the case took too long");
        std::process::exit(2);
    });
    let run = match &**case {
        "large-job" => cases::large_job,
        "late-submission" => cases::late_submission,
        "quick-restart" => cases::quick_restart,
        "former-cursor" => cases::former_cursor,
        "crashing-minions" => cases::crashing_minions,
        _ => {
            eprintln!("no such case: {case}");
            std::process::exit(2);
        }
    };
    let verdict = run(record.clone(), trouble);
    match verdict {
        Verdict::Held => {
            record.line("the rule held");
            println!("the rule held");
        }
        Verdict::Broken(reason) => {
            record.line(&format!("the rule is broken: {reason}"));
            println!("the rule is broken: {reason}");
            std::process::exit(1);
        }
    }
}
