//! Zones of one team over the platform's pure table, with writes and reads that go wrong.

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

/// Time of one round.
pub const ROUND: Duration = Duration::from_millis(100);

/// Time after which a writer gives up on an answer, in rounds.
const TIMEOUT_ROUNDS: u32 = 20;

const TEAM: &str = "t";

/// An amount for `n` tasks of one core.
pub fn cores(n: u32) -> Resources {
    Resources::new(n * 1_000, n * 1_000, 0, n)
}

/// What goes wrong, in percent of writes or rounds.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// Writes whose answer is lost.
    pub lost_answers: u32,
    /// Writes that never arrive.
    pub lost_writes: u32,
    /// Writes that land after their sender gave up.
    pub late_writes: u32,
    /// Rounds in which a zone's placer changes.
    pub takeovers: u32,
    /// Reads of the row that are not done.
    pub lost_reads: u32,
}

/// Mechanisms that a test can switch off.
#[derive(Clone, Copy, Debug)]
pub struct Mechanisms {
    /// A new placer is told that its tenure begins.
    pub tenures: bool,
    /// An escrow is told when the end of a write is not known.
    pub unknown_ends: bool,
}

impl Mechanisms {
    pub const ALL: Self = Self {
        tenures: true,
        unknown_ends: true,
    };
}

/// A write on its way.
struct Flight {
    zone: usize,
    placer: usize,
    write: Write,
    lands: Option<u32>,
    answered: Option<(u32, TxnOutcome)>,
    answer_lost: bool,
}

/// One zone: two daemons that take turns as its placer, and the tasks of its VMs.
pub struct Zone {
    placers: [Escrow; 2],
    active: usize,
    pub running: u32,
    pub waiting: u32,
    /// Tasks of the gang that waits first; zero for single tasks.
    pub gang: u32,
    /// Whether the zone's daemons reach neither the table nor the other zones.
    pub cut: bool,
}

/// All zones of a team.
pub struct Fleet {
    pub table: Table,
    pub zones: Vec<Zone>,
    pub limit: u32,
    pub limit_version: Rev,
    pub writes: usize,
    pub round: u32,
    pub faults: Faults,
    mechanisms: Mechanisms,
    flights: Vec<Flight>,
    rng: SmallRng,
}

impl Fleet {
    pub fn new(zones: usize, limit: u32, seed: u64, mechanisms: Mechanisms) -> Self {
        let zone = |n| Zone {
            placers: [(); 2].map(|()| Escrow::new(zone_name(n))),
            active: 0,
            running: 0,
            waiting: 0,
            gang: 0,
            cut: false,
        };
        let mut fleet = Self {
            table: Table::default(),
            zones: (0..zones).map(zone).collect(),
            limit,
            limit_version: 1,
            writes: 0,
            round: 0,
            faults: Faults::default(),
            mechanisms,
            flights: Vec::new(),
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

    /// Lets a round pass; `ends` is the percentage of running tasks that end in it.
    pub fn step(&mut self, ends: u32) -> Result<(), String> {
        self.round += 1;
        for n in 0..self.zones.len() {
            if self.chance(self.faults.takeovers) {
                self.take_over(n);
            }
            if !self.zones[n].cut && !self.chance(self.faults.lost_reads) {
                let rows = self.table.changes(&["escrow/"], 0);
                self.placer(n).apply(&rows);
            }
            self.end_tasks(n, ends);
            self.plan(n);
            self.start_tasks(n);
        }
        self.land()?;
        self.answer();
        self.check()
    }

    fn take_over(&mut self, n: usize) {
        let tenures = self.mechanisms.tenures;
        let zone = &mut self.zones[n];
        zone.active = 1 - zone.active;
        if tenures {
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
        let soon = self.round + self.rng.random_range(0..3);
        let give_up = self.round + TIMEOUT_ROUNDS;
        let late = self.chance(self.faults.late_writes);
        let lost = self.zones[n].cut || self.chance(self.faults.lost_writes);
        let answer_lost = late || lost || self.chance(self.faults.lost_answers);
        let lands = if late {
            Some(give_up + self.rng.random_range(0..20))
        } else {
            (!lost).then_some(soon)
        };
        self.flights.push(Flight {
            zone: n,
            placer: self.zones[n].active,
            write,
            lands,
            answered: answer_lost.then_some((give_up, TxnOutcome::Unknown)),
            answer_lost,
        });
    }

    /// Writes reach the table; each must keep to the limit or lower the sum.
    fn land(&mut self) -> Result<(), String> {
        for i in 0..self.flights.len() {
            if self.flights[i].lands != Some(self.round) {
                continue;
            }
            let before = self.row().map_or(Resources::ZERO, |row| row.total_held());
            let writes = vec![self.flights[i].write.clone()];
            let end = TxnOutcome::from(self.table.commit(&Txn { writes }));
            if !self.flights[i].answer_lost {
                self.flights[i].answered = Some((self.round, end));
            }
            let row = self.row().ok_or("the row is unreadable")?;
            let excess = row.total_held().minus(&row.limit);
            if !before.minus(&row.limit).holds(&excess) {
                return Err(format!("row grew above its limit: {row:?}"));
            }
        }
        Ok(())
    }

    fn answer(&mut self) {
        let round = self.round;
        let due = |flight: &mut Flight| matches!(flight.answered, Some((at, _)) if at <= round);
        let (due, left): (Vec<_>, Vec<_>) = std::mem::take(&mut self.flights)
            .into_iter()
            .map(|mut flight| (due(&mut flight), flight))
            .partition(|(due, _)| *due);
        for (_, mut flight) in due {
            if let Some((_, end)) = flight.answered.take() {
                let told = self.mechanisms.unknown_ends || end != TxnOutcome::Unknown;
                let end = if told { end } else { TxnOutcome::NotSent };
                self.zones[flight.zone].placers[flight.placer].handle_write_end(TEAM, &end);
            }
            if flight.lands.is_some_and(|at| at > round) {
                self.flights.push(flight);
            }
        }
        self.flights
            .extend(left.into_iter().map(|(_, flight)| flight));
    }

    fn start_tasks(&mut self, n: usize) {
        let zone = &mut self.zones[n];
        let allotment = zone.placers[zone.active].allotment(TEAM).tasks;
        let room = allotment.saturating_sub(zone.running);
        let start = match zone.gang {
            0 => room.min(zone.waiting),
            gang if gang <= room && gang <= zone.waiting => gang,
            _ => 0,
        };
        zone.running += start;
        zone.waiting -= start;
    }

    /// No zone runs more than the row lets it.
    fn check(&self) -> Result<(), String> {
        let row = self.row();
        for (n, zone) in self.zones.iter().enumerate() {
            let held = row.as_ref();
            let held = held.map_or(0, |row| row.held_by(&zone_name(n)).tasks);
            if zone.running > held {
                return Err(format!(
                    "round {}: {} run in zone {n}, which holds {held}",
                    self.round, zone.running
                ));
            }
        }
        Ok(())
    }

    pub fn running(&self) -> u32 {
        self.zones.iter().map(|zone| zone.running).sum()
    }

    pub fn chance(&mut self, percent: u32) -> bool {
        percent > 0 && self.rng.random_range(0..100) < percent
    }

    /// Hands a zone's placer a row that was read some time ago.
    pub fn apply(&mut self, n: usize, row: &Row) {
        self.placer(n).apply(std::slice::from_ref(row));
    }
}

fn zone_name(n: usize) -> Box<str> {
    format!("z{n}").into()
}
