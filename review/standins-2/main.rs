//! Stand-ins and driver of the cases of the second review: `cases-2 CASE RECORD`, in the root of the
//! repository. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.

mod cases;
mod cell;
mod http;
mod json;
mod judge;
mod minion;
mod proxy;
mod record;
mod store;

use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use record::Record;

/// Time after which a run is ended, with all processes that it started.
const LONGEST_RUN: Duration = Duration::from_secs(100);

/// Number of breaches that are shown.
const SHOWN: usize = 10;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, path] = &args[..] else {
        eprintln!("usage: cases-2 CASE RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = match Record::create(path.as_ref()) {
        Ok(record) => Arc::new(record),
        Err(err) => {
            eprintln!("{path}: {err}");
            return ExitCode::from(2);
        }
    };
    let watched = Arc::clone(&record);
    std::thread::spawn(move || {
        std::thread::sleep(LONGEST_RUN);
        watched.line("the case takes too long");
        watched.flush();
        cell::kill_all();
        std::process::exit(2);
    });
    record.line(&format!("case {case}, with the disruption: {trouble}"));
    let result = match &**case {
        "ends-beyond-a-list" => cases::ends_beyond_a_list(&record, trouble),
        "renewed-beyond-the-grace" => cases::renewed_beyond_the_grace(&record, trouble),
        "route-away-at-a-takeover" => cases::route_away_at_a_takeover(&record, trouble),
        "starts-after-a-cancel" => cases::starts_after_a_cancel(&record, trouble),
        "times-at-a-takeover" => cases::times_at_a_takeover(&record, trouble),
        _ => Err(format!("no case {case}")),
    };
    let (line, code) = match &result {
        Ok(breaches) if breaches.is_empty() => ("the rule held".to_string(), 0),
        Ok(breaches) => (format!("the rule is broken, {} times", breaches.len()), 1),
        Err(reason) => (format!("the case couldn't run: {reason}"), 2),
    };
    for breach in result.iter().flatten().take(SHOWN) {
        record.line(breach);
        println!("{breach}");
    }
    record.line(&line);
    record.flush();
    println!("{line}");
    ExitCode::from(code)
}
