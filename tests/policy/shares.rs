//! Fair shares while one team submits many times its usual work.

use ragwortstall::core::model::Resources;
use ragwortstall::core::model::TeamId;
use ragwortstall::core::workload::policy::shares::FairShares;

fn shares(teams: &[(&str, f64)]) -> FairShares {
    let weights = teams.iter();
    let weights = weights.map(|&(team, weight)| (team.into(), weight));
    FairShares::new(Resources::new(100_000, 400_000, 0, 0), weights.collect())
}

/// Guards against a team whose excess delays the others: from its share on, they go first.
#[test]
fn a_team_at_its_share_goes_after_the_others() {
    let shares = shares(&[("busy", 1.0), ("calm", 3.0)]);
    let (busy, calm): (TeamId, TeamId) = ("busy".into(), "calm".into());
    let used = Resources::new(25_000, 1_000, 0, 5);
    assert!(shares.is_exhausted(&busy, &used));
    assert!(!shares.is_exhausted(&calm, &used));
}

/// Guards against a team that hides its usage in the resource that nobody else needs.
#[test]
fn the_dominant_resource_counts() {
    let shares = shares(&[("memory-heavy", 1.0), ("calm", 1.0)]);
    let used = Resources::new(1_000, 300_000, 0, 5);
    assert!(shares.is_exhausted(&"memory-heavy".into(), &used));
}

/// Guards against a team that is treated as beyond its share although no other team has work.
#[test]
fn a_team_alone_is_never_at_its_share() {
    let shares = shares(&[("busy", 2.0)]);
    let used = Resources::new(100_000, 400_000, 0, 50);
    assert!(!shares.is_exhausted(&"busy".into(), &used));
}
