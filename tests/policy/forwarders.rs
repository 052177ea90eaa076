//! Reserve of forwarders for urgent queues while batch queues ask for much slow advice.

use ragwortstall::core::workload::policy::forwarders::shared_forwarders;

/// Names a number of forwarders and how many of them all queues share.
macro_rules! forwarders {
    ($($name:ident: $all:literal => $shared:literal;)*) => {$(
        #[test]
        fn $name() {
            assert_eq!(shared_forwarders($all), $shared);
        }
    )*};
}

forwarders! {
    a_quarter_is_reserved: 32 => 24;
    a_part_of_one_is_not_reserved: 6 => 5;
    a_few_are_all_shared: 3 => 3;
    one_is_shared: 1 => 1;
    none_counts_as_this_daemon: 0 => 1;
}
