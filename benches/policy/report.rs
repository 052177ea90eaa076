//! Output of the results: a table, a CSV file and a plot.

use std::fmt::Write;
use std::fs;
use std::io;
use std::path::Path;

use crate::bounds::Bound;
use crate::measure::Measures;
use crate::workload::Workload;

/// Directory for the CSV file and the plot.
const OUTPUT_DIR: &str = "bench-out";

const LINE_COLOURS: [&str; 3] = ["#1b6ca8", "#c0392b", "#7f8c8d"];

/// Width and height of the plot of one workload, in pixels.
const PANEL_SIZE: [f64; 2] = [860.0, 240.0];

/// Margin around each panel, in pixels.
const MARGIN: f64 = 50.0;

/// Run of a workload under one policy.
pub struct Run {
    pub policy: &'static str,
    pub measures: Measures,
}

/// Runs of one workload under all policies; the first is the scheduler's.
pub struct WorkloadRuns {
    pub workload: Workload,
    pub runs: Vec<Run>,
}

/// Returns the rows of one run: names of measures and their values.
fn rows(measures: &Measures) -> Vec<(String, f64)> {
    let mut rows = Vec::new();
    for (kind, waits) in &measures.waits {
        for (name, fraction) in [("p50", 0.5), ("p99", 0.99)] {
            let wait = waits.quantile(fraction).as_secs_f64();
            rows.push((format!("wait {kind} {name} (s)"), wait));
        }
        let count = u32::try_from(waits.len()).unwrap_or(u32::MAX);
        rows.push((format!("tasks {kind}"), f64::from(count)));
    }
    let [done, preempted, faults] = measures.core_hours();
    let decision_micros = |fraction| measures.decision_time(fraction).as_secs_f64() * 1e6;
    rows.extend([
        ("used over held".into(), measures.used_over_held()),
        ("VMs over least".into(), measures.vms_over_least()),
        (
            "share distance worst 5 min (%)".into(),
            measures.share_worst(),
        ),
        ("share distance mean (%)".into(), measures.share_mean()),
        (
            "VM samples over capacity (%)".into(),
            measures.over_capacity(),
        ),
        ("work done (core h)".into(), done),
        ("work lost to preemption (core h)".into(), preempted),
        ("work lost to faults (core h)".into(), faults),
        ("decision p50 (us)".into(), decision_micros(0.5)),
        ("decision p99 (us)".into(), decision_micros(0.99)),
        ("decisions a second".into(), measures.decisions_per_second()),
        ("quarantines".into(), f64::from(measures.quarantines)),
        ("jobs given up".into(), f64::from(measures.failed_jobs)),
    ]);
    if let Some((makespan, left)) = measures.makespan {
        rows.push((
            "overnight makespan (h)".into(),
            makespan.as_secs_f64() / 3_600.0,
        ));
        rows.push(("overnight tasks left".into(), f64::from(left)));
    }
    rows
}

/// Prints the measures of one workload, with a column for each policy.
pub fn print_table(runs: &WorkloadRuns) {
    println!("\n{} ({} VMs)", runs.workload.name, runs.workload.vms);
    print!("{:36}", "measure");
    for run in &runs.runs {
        print!("{:>18}", run.policy);
    }
    println!();
    let columns: Vec<_> = runs.runs.iter().map(|run| rows(&run.measures)).collect();
    for (name, _) in &columns[0] {
        print!("{name:36}");
        for column in &columns {
            match column.iter().find(|(other, _)| other == name) {
                Some((_, value)) => print!("{value:>18.3}"),
                None => print!("{:>18}", "-"),
            }
        }
        println!();
    }
}

/// Prints the bounds that were missed, and returns the number of those that are not in `known`.
pub fn print_bounds(bounds: &[Bound], known: &[String]) -> usize {
    let met = bounds.iter().filter(|bound| bound.is_met).count();
    println!("\nbounds kept: {met} of {}", bounds.len());
    let mut unexpected = 0;
    for bound in bounds.iter().filter(|bound| !bound.is_met) {
        let is_known = known.contains(&bound.name);
        unexpected += usize::from(!is_known);
        let label = if is_known { "known red" } else { "missed" };
        println!(
            "{label}: {} is {:.3}, bound {:.3}",
            bound.name, bound.value, bound.limit
        );
    }
    unexpected
}

/// Writes the measures of all runs as CSV, and the plot.
pub fn write(all: &[WorkloadRuns]) -> io::Result<()> {
    fs::create_dir_all(OUTPUT_DIR)?;
    let mut csv = String::from("workload,policy,measure,figure\n");
    for runs in all {
        for run in &runs.runs {
            for (name, value) in rows(&run.measures) {
                let _ = writeln!(csv, "{},{},{name},{value}", runs.workload.name, run.policy);
            }
        }
    }
    fs::write(Path::new(OUTPUT_DIR).join("policy.csv"), csv)?;
    fs::write(Path::new(OUTPUT_DIR).join("policy-shares.svg"), plot(all))
}

/// Returns an SVG plot of the share distance over time, with a panel for each workload.
fn plot(all: &[WorkloadRuns]) -> String {
    let [width, height] = PANEL_SIZE;
    let panels = f64::from(u32::try_from(all.len()).unwrap_or(u32::MAX));
    let total = (height + 2.0 * MARGIN) * panels;
    let mut svg = format!(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{}\" height=\"{total}\" \
         font-family=\"sans-serif\" font-size=\"12\">\n",
        width + 2.0 * MARGIN,
    );
    let mut top = MARGIN;
    for runs in all {
        plot_panel(&mut svg, runs, top);
        top += height + 2.0 * MARGIN;
    }
    svg.push_str("</svg>\n");
    svg
}

fn plot_panel(svg: &mut String, runs: &WorkloadRuns, top: f64) {
    let [width, height] = PANEL_SIZE;
    let duration = runs.workload.duration.as_secs_f64();
    let lines: Vec<_> = runs.runs.iter().map(|run| run.measures.windows()).collect();
    let highest = lines
        .iter()
        .flatten()
        .map(|(_, mean)| *mean)
        .fold(1.0, f64::max);
    let _ = writeln!(
        svg,
        "<rect x=\"{MARGIN}\" y=\"{top}\" width=\"{width}\" height=\"{height}\" fill=\"none\" \
         stroke=\"#999\"/>\n<text x=\"{MARGIN}\" y=\"{}\">{}: distance of the team furthest below \
         its share, mean of 5 min, up to {highest:.1} % of the zone; {:.1} h</text>",
        top - 8.0,
        runs.workload.name,
        duration / 3_600.0,
    );
    for (index, (run, line)) in runs.runs.iter().zip(&lines).enumerate() {
        let colour = LINE_COLOURS[index % LINE_COLOURS.len()];
        let mut points = String::new();
        for (time, mean) in line {
            let x = MARGIN + time.as_secs_f64() / duration * width;
            let y = top + height - mean / highest * height;
            let _ = write!(points, "{x:.1},{y:.1} ");
        }
        let x = MARGIN + 10.0;
        let y = top + 16.0 * f64::from(u32::try_from(index).unwrap_or(0) + 1);
        let _ = writeln!(
            svg,
            "<polyline points=\"{points}\" fill=\"none\" stroke=\"{colour}\"/>\n\
             <text x=\"{x}\" y=\"{y}\" fill=\"{colour}\">{}</text>",
            run.policy,
        );
    }
}
