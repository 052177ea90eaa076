//! Calculates a zone's share of a limit. Each resource is calculated independently.

use super::EscrowRow;
use super::TeamUsage;
use super::ZoneShare;
use crate::core::model::Resources;

/// Amounts of the four resources.
type Amounts = [u32; 4];

/// One zone's view of the division of one resource.
struct ResourceView {
    limit: u32,
    /// Sum of all zones' shares.
    total_held: u32,
    held: u32,
    used: u32,
    wanted: u32,
    /// Mean size of a waiting task.
    task_size: u32,
    /// Amount that each other zone wants.
    others_wanted: Vec<u32>,
    /// Demand of the zone whose gang has waited longest.
    first: Option<FirstInLine>,
    /// Whether any other zone wants more than it holds.
    others_starved: bool,
    /// Whether this zone's share was raised recently.
    recently_raised: bool,
}

/// Calculated share of one zone.
pub struct ShareTarget {
    /// Amount that the zone should hold.
    pub held: Resources,
    /// Amount to which its usage should fall as its tasks end; below `held` while the zone
    /// uses more.
    pub target: Resources,
    /// Amount to which its usage must be reduced at once.
    pub ceiling: Resources,
}

/// Demand of the zone whose gang has waited longest.
#[derive(Clone, Copy)]
struct FirstInLine {
    /// Whether this is the zone whose share is calculated.
    is_own_zone: bool,
    needs: u32,
    wanted: u32,
}

/// Observations of a zone that are not in the row.
#[derive(Clone, Copy, Debug, Default)]
pub struct Observations<'a> {
    /// Whether the zone's share was raised recently, in which case none of it is released to other
    /// zones.
    pub recently_raised: bool,
    /// Zone that is first in line but does not take what its gang needs.
    pub absent_zone: Option<&'a str>,
}

/// Calculates the share of `zone`.
pub fn divide(
    row: &EscrowRow,
    zone: &str,
    usage: &TeamUsage,
    observed: Observations,
) -> ShareTarget {
    let views = resource_views(row, zone, usage, observed);
    ShareTarget {
        held: from_array(per_resource(&views, ResourceView::held)),
        target: from_array(per_resource(&views, ResourceView::target)),
        ceiling: from_array(per_resource(&views, ResourceView::ceiling)),
    }
}

fn per_resource(views: &[ResourceView; 4], f: impl Fn(&ResourceView) -> u32) -> Amounts {
    std::array::from_fn(|i| f(&views[i]))
}

/// Rounds each resource up to a power of two or to three quarters of one, so that small changes of
/// demand need no write.
pub fn round_up(amount: &Resources) -> Resources {
    from_array(
        to_array(amount).map(|n| match n.checked_next_power_of_two() {
            Some(power) if n <= power / 4 * 3 => power / 4 * 3,
            Some(power) => power,
            None => u32::MAX,
        }),
    )
}

fn resource_views(
    row: &EscrowRow,
    zone: &str,
    usage: &TeamUsage,
    observed: Observations,
) -> [ResourceView; 4] {
    let limit = to_array(&row.limit);
    let total_held = to_array(&row.total_held());
    let held = to_array(&row.held_by(zone));
    let used = to_array(&usage.used.plus(&usage.unknown_capacity));
    let wanted = to_array(&usage.wanted.max(&usage.used));
    let task_size = to_array(&task_size(usage));
    let first = first_in_line(row).filter(|(name, _)| Some(*name) != observed.absent_zone);
    std::array::from_fn(|i| {
        let others = row.zones.iter().filter(|(name, _)| name.as_ref() != zone);
        let others: Vec<(u32, u32)> = others
            .map(|(_, share)| (to_array(&share.wanted)[i], to_array(&share.held)[i]))
            .collect();
        ResourceView {
            limit: limit[i],
            total_held: total_held[i],
            held: held[i],
            used: used[i],
            wanted: wanted[i],
            task_size: task_size[i],
            first: first.map(|(name, share)| FirstInLine {
                is_own_zone: name == zone,
                needs: to_array(&share.needs)[i].min(limit[i]),
                wanted: to_array(&share.wanted)[i],
            }),
            others_starved: others.iter().any(|(wanted, held)| wanted > held),
            others_wanted: others.into_iter().map(|(wanted, _)| wanted).collect(),
            recently_raised: observed.recently_raised,
        }
    })
}

/// Returns the zone whose gang has waited longest.
pub fn first_in_line(row: &EscrowRow) -> Option<(&str, &ZoneShare)> {
    let waiting = row.zones.iter().filter(|(_, share)| share.since > 0);
    waiting
        .map(|(name, share)| (name.as_ref(), share))
        .min_by_key(|(name, share)| (share.since, *name))
}

/// Returns the mean size of the waiting tasks, rounded up.
fn task_size(usage: &TeamUsage) -> Resources {
    let waiting = usage.wanted.minus(&usage.used);
    let n = waiting.tasks.max(1);
    from_array(to_array(&waiting).map(|sum| sum.div_ceil(n)))
}

impl ResourceView {
    /// Amount that the zone should hold: a share that must be lowered still covers what is used.
    fn held(&self) -> u32 {
        if self.must_release() {
            return self.used.max(self.target()).min(self.held);
        }
        self.raised_share(self.fair_share())
    }

    /// Amount to which usage should fall as tasks end.
    fn target(&self) -> u32 {
        if self.must_release() {
            return self.whole_tasks(self.fair_share()).min(self.held);
        }
        self.raised_share(self.fair_share())
    }

    /// Amount to which usage must be reduced at once, which is only limited if the limit was
    /// lowered.
    fn ceiling(&self) -> u32 {
        if self.is_over_limit() {
            self.target()
        } else {
            u32::MAX
        }
    }

    /// Whether the limit was lowered below the sum of the zones' shares.
    fn is_over_limit(&self) -> bool {
        self.total_held > self.limit
    }

    /// Whether the zone must release a part of its share.
    fn must_release(&self) -> bool {
        self.is_over_limit()
            || (!self.recently_raised && self.others_starved && self.held > self.fair_share())
    }

    /// Returns the share raised towards what is wanted, out of the amount that no zone holds. While
    /// no other zone lacks resources, the share is raised further to leave headroom.
    fn raised_share(&self, fair: u32) -> u32 {
        let unheld = self.limit.saturating_sub(self.total_held);
        if self.wanted <= self.held || unheld == 0 {
            return self.held;
        }
        if self.others_starved {
            let cap = fair.max(self.min_grant()).min(self.wanted);
            return self.held + unheld.min(cap.saturating_sub(self.held));
        }
        let shortfall = self.wanted - self.held;
        let headroom = unheld.saturating_sub(shortfall) / 2;
        let cap = fair.max(self.wanted);
        let max_increase = cap - self.held;
        self.held + unheld.min(shortfall + headroom).min(max_increase)
    }

    /// Amount that the zone may hold even if its fair share is smaller: the size of one task, or
    /// nothing if a gang in another zone is first in line.
    fn min_grant(&self) -> u32 {
        match self.first {
            Some(first) if !first.is_own_zone => 0,
            _ => self.task_size,
        }
    }

    /// Rounds the unused part of a fair share down to whole tasks.
    fn whole_tasks(&self, fair: u32) -> u32 {
        let unused = fair.saturating_sub(self.used);
        let task_size = self.task_size.max(1);
        fair.min(self.used)
            .saturating_add(unused / task_size * task_size)
    }

    /// Fair share of what remains of the limit after the gang that has waited longest gets what it
    /// needs.
    fn fair_share(&self) -> u32 {
        match self.first {
            None => max_min_share(self.limit, self.wanted, &self.others_wanted),
            Some(first) if first.is_own_zone => {
                max_min_share(self.limit, self.wanted, &self.others_wanted).max(first.needs)
            }
            Some(first) => {
                let mut others = self.others_wanted.clone();
                if let Some(index) = others.iter().position(|wanted| *wanted == first.wanted) {
                    others.swap_remove(index);
                }
                let mut all_but_first = others.clone();
                all_but_first.push(self.wanted);
                let first_share =
                    max_min_share(self.limit, first.wanted, &all_but_first).max(first.needs);
                max_min_share(self.limit.saturating_sub(first_share), self.wanted, &others)
            }
        }
    }
}

/// Returns the max-min fair share of `limit` for a zone that wants `own`, plus an equal part of
/// what no zone wants.
fn max_min_share(limit: u32, own: u32, others: &[u32]) -> u32 {
    let mut demands = others.to_vec();
    demands.push(own);
    demands.sort_unstable();
    let mut remaining = limit;
    let mut zones = u32::try_from(demands.len()).unwrap_or(u32::MAX);
    for demand in demands {
        let level = remaining / zones.max(1);
        if demand > level {
            return own.min(level);
        }
        remaining -= demand;
        zones -= 1;
    }
    let all = u32::try_from(others.len() + 1).unwrap_or(u32::MAX);
    own.saturating_add(remaining / all)
}

fn to_array(amount: &Resources) -> Amounts {
    [amount.cpu_milli, amount.mem_mib, amount.accel, amount.tasks]
}

fn from_array([cpu_milli, mem_mib, accel, tasks]: Amounts) -> Resources {
    Resources::new(cpu_milli, mem_mib, accel, tasks)
}
