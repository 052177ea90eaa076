//! CPU time and memory of a process, from `/proc`.

use std::fs;

use crate::Result;

/// Milliseconds per clock tick, the unit of CPU time in `/proc`.
const TICK_MILLIS: u64 = 10;

/// Index of the user time among the fields after the program's name.
const USER_TIME_INDEX: usize = 11;

/// Returns the CPU time that a process has used, in milliseconds.
pub fn cpu_millis(pid: u32) -> Result<u64> {
    let text = fs::read_to_string(format!("/proc/{pid}/stat"))?;
    let (_, fields) = text
        .rsplit_once(") ")
        .ok_or("no program name in /proc/PID/stat")?;
    let mut times = fields.split(' ').skip(USER_TIME_INDEX);
    let mut next = || times.next().and_then(|time| time.parse::<u64>().ok());
    let user = next().ok_or("no user time in /proc/PID/stat")?;
    let system = next().ok_or("no system time in /proc/PID/stat")?;
    Ok((user + system) * TICK_MILLIS)
}

/// Returns the resident memory of a process, in KiB.
pub fn resident_kib(pid: u32) -> Result<u64> {
    let text = fs::read_to_string(format!("/proc/{pid}/status"))?;
    let line = text
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))
        .ok_or("no VmRSS in /proc/PID/status")?;
    let kib = line.trim().trim_end_matches(" kB");
    Ok(kib.parse()?)
}
