//! Reserve of forwarders for urgent queues while batch queues ask for much slow advice.

use std::time::Duration;

use ragwortstall::core::model::Now;
use ragwortstall::core::workload::policy::forwarders::UrgentQueries;
use ragwortstall::core::workload::policy::forwarders::shared_forwarders;

/// Names a number of forwarders, of recent urgent queries, and how many of them all queues share.
macro_rules! forwarders {
    ($($name:ident: $all:literal, $urgent:literal => $shared:literal;)*) => {$(
        #[test]
        fn $name() {
            assert_eq!(shared_forwarders($all, $urgent), $shared);
        }
    )*};
}

forwarders! {
    a_quarter_is_reserved_for_many_urgent_queries: 32, 20 => 24;
    one_more_than_the_urgent_queries_is_reserved: 32, 2 => 29;
    one_is_reserved_without_urgent_queries: 32, 0 => 31;
    a_part_of_one_is_not_reserved: 6, 9 => 5;
    a_few_are_all_shared: 3, 3 => 3;
    one_is_shared: 1, 0 => 1;
    none_counts_as_this_daemon: 0, 5 => 1;
}

fn at(millis: u64) -> Now {
    Now::ZERO + Duration::from_millis(millis)
}

/// Guards against a reserve that is gone between two bursts of urgent queries, and against one that
/// stays for long after the last.
#[test]
fn the_reserve_follows_the_urgent_queries_with_a_delay() {
    let mut queries = UrgentQueries::default();
    for _ in 0..6 {
        queries.start(at(100));
    }
    for _ in 0..6 {
        queries.finish();
    }
    let peaks = [150, 2_000, 2_100, 4_100, 60_000].map(|millis| queries.recent_peak(at(millis)));
    assert_eq!(peaks, [6, 6, 3, 1, 0]);
}
