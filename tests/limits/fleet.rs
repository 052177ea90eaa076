//! Simulated fleet: the zones of one team over the platform's simulated table, with faults in
//! writes and reads.

use std::time::Duration;

use ragwortstall::core::event::TxnOutcome;
use ragwortstall::core::limit::Escrow;
use ragwortstall::core::limit::EscrowRow;
use ragwortstall::core::limit::TeamUsage;
use ragwortstall::core::model::Resources;
use ragwortstall::core::model::Rev;
use ragwortstall::core::model::Row;
use ragwortstall::core::model::Txn;
use ragwortstall::core::model::Write;
use ragwortstall_standins::platform::Table;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// Virtual duration of one round.
pub const ROUND: Duration = Duration::from_millis(100);

/// Rounds after which a write without an answer ends with an unknown outcome.
const TIMEOUT_ROUNDS: u32 = 20;

const TEAM: &str = "t";

/// Returns the resources of `n` tasks of one core each.
pub fn cores(n: u32) -> Resources {
    Resources::new(n * 1_000, n * 1_000, 0, n)
}

/// Faults, each in percent of all writes, or of all rounds of a zone.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// Writes whose answer is lost.
    pub lost_answers: u32,
    /// Writes that never arrive.
    pub lost_writes: u32,
    /// Writes that are committed after their sender has timed out.
    pub late_writes: u32,
    /// Rounds in which a zone's placer changes.
    pub takeovers: u32,
    /// Rounds in which a zone does not read the row.
    pub lost_reads: u32,
}

/// Safeguards against faults, which a test can disable.
#[derive(Clone, Copy, Debug)]
pub struct Safeguards {
    /// A new placer begins a new tenure of its escrow.
    pub new_tenures: bool,
    /// The escrow is notified of writes that end with an unknown outcome; otherwise they are
    /// reported to it as not sent.
    pub unknown_outcomes: bool,
}

impl Safeguards {
    pub const ALL: Self = Self {
        new_tenures: true,
        unknown_outcomes: true,
    };
}

/// A write whose answer has not been delivered, or that has yet to be committed.
struct InFlightWrite {
    zone: usize,
    placer: usize,
    write: Write,
    /// Round in which the table commits it; `None` if it is lost.
    commit_round: Option<u32>,
    /// Round in which its outcome is delivered, and the outcome.
    answer: Option<(u32, TxnOutcome)>,
    answer_lost: bool,
}

/// Zone with two daemons, of which one is the placer at a time, and its tasks.
pub struct Zone {
    placers: [Escrow; 2],
    active: usize,
    pub running: u32,
    pub waiting: u32,
    /// Number of members of the first waiting gang; zero if the waiting tasks are independent.
    pub gang: u32,
    /// Whether the zone is partitioned from the table and the other zones.
    pub partitioned: bool,
}

/// The zones of a team, with the table and the writes in flight.
pub struct Fleet {
    pub table: Table,
    pub zones: Vec<Zone>,
    pub limit: u32,
    pub limit_version: Rev,
    /// Writes sent since a test last reset the count.
    pub writes: usize,
    pub round: u32,
    pub faults: Faults,
    safeguards: Safeguards,
    in_flight: Vec<InFlightWrite>,
    rng: SmallRng,
}

impl Fleet {
    pub fn new(zones: usize, limit: u32, seed: u64, safeguards: Safeguards) -> Self {
        let zone = |n| Zone {
            placers: [(); 2].map(|()| Escrow::new(zone_name(n))),
            active: 0,
            running: 0,
            waiting: 0,
            gang: 0,
            partitioned: false,
        };
        let mut fleet = Self {
            table: Table::default(),
            zones: (0..zones).map(zone).collect(),
            limit,
            limit_version: 1,
            writes: 0,
            round: 0,
            faults: Faults::default(),
            safeguards,
            in_flight: Vec::new(),
            rng: SmallRng::seed_from_u64(seed),
        };
        for zone in &mut fleet.zones {
            zone.placers[0].begin_tenure();
        }
        fleet
    }

    pub fn rng(&mut self) -> &mut SmallRng {
        &mut self.rng
    }

    pub fn set_limit(&mut self, limit: u32) {
        self.limit = limit;
        self.limit_version += 1;
    }

    pub fn row(&self) -> Option<EscrowRow> {
        let row = self.table.row("escrow/t");
        serde_json::from_str(row.value.as_deref()?).ok()
    }

    /// Runs a round in which running tasks end with a probability of `end_percent`; returns the
    /// first violated invariant as an error.
    pub fn step(&mut self, end_percent: u32) -> Result<(), String> {
        self.round += 1;
        for n in 0..self.zones.len() {
            if self.chance(self.faults.takeovers) {
                self.take_over(n);
            }
            if !self.zones[n].partitioned && !self.chance(self.faults.lost_reads) {
                let rows = self.table.changes(&["escrow/"], 0);
                self.placer(n).apply(&rows);
            }
            self.end_tasks(n, end_percent);
            self.plan(n);
            self.start_tasks(n);
        }
        self.commit_due_writes()?;
        self.deliver_answers();
        self.check_running()
    }

    /// Makes the other daemon of a zone its placer.
    fn take_over(&mut self, n: usize) {
        let new_tenures = self.safeguards.new_tenures;
        let zone = &mut self.zones[n];
        zone.active = 1 - zone.active;
        if new_tenures {
            zone.placers[zone.active].begin_tenure();
        }
    }

    fn placer(&mut self, n: usize) -> &mut Escrow {
        let zone = &mut self.zones[n];
        &mut zone.placers[zone.active]
    }

    fn end_tasks(&mut self, n: usize, percent: u32) {
        for _ in 0..self.zones[n].running {
            if self.chance(percent) {
                self.zones[n].running -= 1;
            }
        }
    }

    fn plan(&mut self, n: usize) {
        let zone = &self.zones[n];
        let gang = zone.gang.min(zone.waiting);
        let usage = TeamUsage {
            team: TEAM.into(),
            limit: cores(self.limit),
            limit_version: self.limit_version,
            used: cores(zone.running),
            wanted: cores(zone.running + zone.waiting),
            needs: if gang > 0 {
                cores(zone.running + gang)
            } else {
                Resources::ZERO
            },
            unknown_capacity: Resources::ZERO,
        };
        let now = ROUND * self.round;
        if let Some(write) = self.placer(n).plan_write(now, &usage) {
            self.send(n, write);
        }
    }

    fn send(&mut self, n: usize, write: Write) {
        self.writes += 1;
        let normal_round = self.round + self.rng.random_range(0..3);
        let timeout_round = self.round + TIMEOUT_ROUNDS;
        let late = self.chance(self.faults.late_writes);
        let lost = self.zones[n].partitioned || self.chance(self.faults.lost_writes);
        let answer_lost = late || lost || self.chance(self.faults.lost_answers);
        let commit_round = if late {
            Some(timeout_round + self.rng.random_range(0..20))
        } else {
            (!lost).then_some(normal_round)
        };
        self.in_flight.push(InFlightWrite {
            zone: n,
            placer: self.zones[n].active,
            write,
            commit_round,
            answer: answer_lost.then_some((timeout_round, TxnOutcome::Unknown)),
            answer_lost,
        });
    }

    /// Commits the writes that are due. Fails if the excess of the total over the limit grows.
    fn commit_due_writes(&mut self) -> Result<(), String> {
        for i in 0..self.in_flight.len() {
            if self.in_flight[i].commit_round != Some(self.round) {
                continue;
            }
            let before = self.row().map_or(Resources::ZERO, |row| row.total_held());
            let writes = vec![self.in_flight[i].write.clone()];
            let outcome = TxnOutcome::from(self.table.commit(&Txn { writes }));
            if !self.in_flight[i].answer_lost {
                self.in_flight[i].answer = Some((self.round, outcome));
            }
            let row = self.row().ok_or("the row is unreadable")?;
            let excess = row.total_held().minus(&row.limit);
            if !before.minus(&row.limit).holds(&excess) {
                return Err(format!("the total held grew above the limit: {row:?}"));
            }
        }
        Ok(())
    }

    /// Passes the outcomes that are due to the escrows.
    fn deliver_answers(&mut self) {
        let round = self.round;
        let is_due = |write: &InFlightWrite| matches!(write.answer, Some((at, _)) if at <= round);
        let (due, pending): (Vec<_>, Vec<_>) = std::mem::take(&mut self.in_flight)
            .into_iter()
            .partition(is_due);
        for mut write in due {
            if let Some((_, outcome)) = write.answer.take() {
                let is_notified =
                    self.safeguards.unknown_outcomes || outcome != TxnOutcome::Unknown;
                let outcome = if is_notified {
                    outcome
                } else {
                    TxnOutcome::NotSent
                };
                self.zones[write.zone].placers[write.placer].handle_write_outcome(TEAM, &outcome);
            }
            if write.commit_round.is_some_and(|at| at > round) {
                self.in_flight.push(write);
            }
        }
        self.in_flight.extend(pending);
    }

    fn start_tasks(&mut self, n: usize) {
        let zone = &mut self.zones[n];
        let allotment = zone.placers[zone.active].allotment(TEAM).tasks;
        let headroom = allotment.saturating_sub(zone.running);
        let start = match zone.gang {
            0 => headroom.min(zone.waiting),
            gang if gang <= headroom && gang <= zone.waiting => gang,
            _ => 0,
        };
        zone.running += start;
        zone.waiting -= start;
    }

    /// Fails if a zone runs more tasks than it holds according to the row.
    fn check_running(&self) -> Result<(), String> {
        let row = self.row();
        for (n, zone) in self.zones.iter().enumerate() {
            let held = row.as_ref();
            let held = held.map_or(0, |row| row.held_by(&zone_name(n)).tasks);
            if zone.running > held {
                return Err(format!(
                    "round {}: zone {n} runs {} tasks but holds {held}",
                    self.round, zone.running
                ));
            }
        }
        Ok(())
    }

    /// Returns the number of running tasks in all zones.
    pub fn running(&self) -> u32 {
        self.zones.iter().map(|zone| zone.running).sum()
    }

    /// Returns true with the given probability, from the seeded generator.
    pub fn chance(&mut self, percent: u32) -> bool {
        percent > 0 && self.rng.random_range(0..100) < percent
    }

    /// Passes a row to a zone's placer; the row may be an outdated version.
    pub fn apply_row(&mut self, n: usize, row: &Row) {
        self.placer(n).apply(std::slice::from_ref(row));
    }
}

fn zone_name(n: usize) -> Box<str> {
    format!("z{n}").into()
}
