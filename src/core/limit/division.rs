//! How a zone moves its part of a limit: pure arithmetic, one resource at a time.

use super::EscrowRow;
use super::TeamUsage;
use super::ZoneShare;
use crate::core::model::Resources;

/// One value for each resource.
type Lanes = [u32; 4];

/// What one zone sees of one resource.
struct Lane {
    limit: u32,
    /// Sum of all zones' parts.
    total: u32,
    held: u32,
    used: u32,
    wanted: u32,
    /// Mean size of a waiting task.
    unit: u32,
    /// What each other zone wants.
    others: Vec<u32>,
    /// What the zone whose gang has waited longest needs and wants.
    first: Option<First>,
    /// Whether another zone wants more than it holds.
    starving: bool,
    /// Whether the part was raised a short time ago.
    keeps: bool,
}

/// A zone's part of a limit.
pub struct Part {
    /// What the zone should hold.
    pub held: Resources,
    /// What it should come down to as its work ends, while it uses more.
    pub target: Resources,
    /// What it should come down to at once.
    pub ceiling: Resources,
}

/// The zone whose gang has waited longest.
#[derive(Clone, Copy)]
struct First {
    /// Whether it is the zone that divides.
    is_me: bool,
    needs: u32,
    wanted: u32,
}

/// What a zone found out that the row does not tell.
#[derive(Clone, Copy, Debug, Default)]
pub struct Hints<'a> {
    /// Whether the part was raised a short time ago, so that nothing of it is given up to others.
    pub keeps: bool,
    /// A zone that does not take what it is first in line for.
    pub absent: Option<&'a str>,
}

/// Returns what the zone's part should be.
pub fn divide(row: &EscrowRow, zone: &str, usage: &TeamUsage, hints: Hints) -> Part {
    let lanes = lanes_of(row, zone, usage, hints);
    Part {
        held: from_lanes(each(&lanes, Lane::held)),
        target: from_lanes(each(&lanes, Lane::target)),
        ceiling: from_lanes(each(&lanes, Lane::ceiling)),
    }
}

fn each(lanes: &[Lane; 4], f: impl Fn(&Lane) -> u32) -> Lanes {
    std::array::from_fn(|i| f(&lanes[i]))
}

/// Rounds each resource up to one of two steps for every power of two, so that small changes of a
/// demand need no write.
pub fn round_up(amount: &Resources) -> Resources {
    from_lanes(
        to_lanes(amount).map(|n| match n.checked_next_power_of_two() {
            Some(power) if n <= power / 4 * 3 => power / 4 * 3,
            Some(power) => power,
            None => u32::MAX,
        }),
    )
}

fn lanes_of(row: &EscrowRow, zone: &str, usage: &TeamUsage, hints: Hints) -> [Lane; 4] {
    let limit = to_lanes(&row.limit);
    let total = to_lanes(&row.total_held());
    let held = to_lanes(&row.held_by(zone));
    let used = to_lanes(&usage.used.plus(&usage.unknown_capacity));
    let wanted = to_lanes(&usage.wanted.max(&usage.used));
    let unit = to_lanes(&unit(usage));
    let first = first_in_line(row).filter(|(name, _)| Some(*name) != hints.absent);
    std::array::from_fn(|i| {
        let others = row.zones.iter().filter(|(name, _)| name.as_ref() != zone);
        let others: Vec<(u32, u32)> = others
            .map(|(_, share)| (to_lanes(&share.wanted)[i], to_lanes(&share.held)[i]))
            .collect();
        Lane {
            limit: limit[i],
            total: total[i],
            held: held[i],
            used: used[i],
            wanted: wanted[i],
            unit: unit[i],
            first: first.map(|(name, share)| First {
                is_me: name == zone,
                needs: to_lanes(&share.needs)[i].min(limit[i]),
                wanted: to_lanes(&share.wanted)[i],
            }),
            starving: others.iter().any(|(wanted, held)| wanted > held),
            others: others.into_iter().map(|(wanted, _)| wanted).collect(),
            keeps: hints.keeps,
        }
    })
}

/// The zone whose gang has waited longest.
pub fn first_in_line(row: &EscrowRow) -> Option<(&str, &ZoneShare)> {
    let waiting = row.zones.iter().filter(|(_, share)| share.since > 0);
    waiting
        .map(|(name, share)| (name.as_ref(), share))
        .min_by_key(|(name, share)| (share.since, *name))
}

/// Mean size of the tasks that wait.
fn unit(usage: &TeamUsage) -> Resources {
    let waiting = usage.wanted.minus(&usage.used);
    let n = waiting.tasks.max(1);
    from_lanes(to_lanes(&waiting).map(|sum| sum.div_ceil(n)))
}

impl Lane {
    fn held(&self) -> u32 {
        if self.gives_up() {
            return self.used.max(self.target()).min(self.held);
        }
        self.raised(self.fair())
    }

    fn target(&self) -> u32 {
        if self.gives_up() {
            return self.whole_units(self.fair()).min(self.held);
        }
        self.raised(self.fair())
    }

    fn ceiling(&self) -> u32 {
        if self.is_over() {
            self.target()
        } else {
            u32::MAX
        }
    }

    /// Whether the limit was lowered below what the zones hold.
    fn is_over(&self) -> bool {
        self.total > self.limit
    }

    fn gives_up(&self) -> bool {
        self.is_over() || (!self.keeps && self.starving && self.held > self.fair())
    }

    /// Raises to what is wanted out of what no zone holds, with headroom while there is enough.
    fn raised(&self, fair: u32) -> u32 {
        let rest = self.limit.saturating_sub(self.total);
        if self.wanted <= self.held || rest == 0 {
            return self.held;
        }
        if self.starving {
            let cap = fair.max(self.least()).min(self.wanted);
            return self.held + rest.min(cap.saturating_sub(self.held));
        }
        let need = self.wanted - self.held;
        let headroom = rest.saturating_sub(need) / 2;
        let cap = fair.max(self.wanted);
        let room = cap - self.held;
        self.held + rest.min(need + headroom).min(room)
    }

    /// One task, however small the fair share is, unless a gang elsewhere is to have the rest.
    fn least(&self) -> u32 {
        match self.first {
            Some(first) if !first.is_me => 0,
            _ => self.unit,
        }
    }

    /// The part of a fair share that whole tasks can fill.
    fn whole_units(&self, fair: u32) -> u32 {
        let idle = fair.saturating_sub(self.used);
        let unit = self.unit.max(1);
        fair.min(self.used).saturating_add(idle / unit * unit)
    }

    /// Fair share of the limit, once the gang that has waited longest has what it needs.
    fn fair(&self) -> u32 {
        match self.first {
            None => max_min(self.limit, self.wanted, &self.others),
            Some(first) if first.is_me => {
                max_min(self.limit, self.wanted, &self.others).max(first.needs)
            }
            Some(first) => {
                let mut others = self.others.clone();
                if let Some(at) = others.iter().position(|wanted| *wanted == first.wanted) {
                    others.swap_remove(at);
                }
                let mut rivals = others.clone();
                rivals.push(self.wanted);
                let taken = max_min(self.limit, first.wanted, &rivals).max(first.needs);
                max_min(self.limit.saturating_sub(taken), self.wanted, &others)
            }
        }
    }
}

/// Max-min fair share of `limit` for one who wants `mine`, and an equal part of what nobody wants.
fn max_min(limit: u32, mine: u32, others: &[u32]) -> u32 {
    let mut demands = others.to_vec();
    demands.push(mine);
    demands.sort_unstable();
    let mut left = limit;
    let mut zones = u32::try_from(demands.len()).unwrap_or(u32::MAX);
    for demand in demands {
        let level = left / zones.max(1);
        if demand > level {
            return mine.min(level);
        }
        left -= demand;
        zones -= 1;
    }
    let all = u32::try_from(others.len() + 1).unwrap_or(u32::MAX);
    mine.saturating_add(left / all)
}

fn to_lanes(amount: &Resources) -> Lanes {
    [amount.cpu_milli, amount.mem_mib, amount.accel, amount.tasks]
}

fn from_lanes([cpu_milli, mem_mib, accel, tasks]: Lanes) -> Resources {
    Resources::new(cpu_milli, mem_mib, accel, tasks)
}
