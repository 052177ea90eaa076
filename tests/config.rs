//! Settings: every key is checked, and an error names the file, the key and the reason.

mod support;

use std::path::Path;
use std::time::Duration;

use ragwortstall::config::Config;
use ragwortstall::core::Options;
use ragwortstall::core::model::MemberRole;
use support::cases;

const LEAST: &str = r#"
[daemon]
name = "entry-a-1"
zone = "zone-a"
http = "127.0.0.1:7400"
peer = "127.0.0.1:7401"
[platform]
address = "127.0.0.1:7300"
"#;

fn parse(text: &str) -> Result<Config, String> {
    Config::parse(Path::new("node.toml"), text).map_err(|err| err.to_string())
}

fn refused(more: &str, key: &str, reason: &str) {
    let err = parse(&format!("{LEAST}{more}")).expect_err("the settings must be refused");
    let start = format!("settings node.toml: {key}: ");
    assert!(err.starts_with(&start), "{err}");
    assert!(err.contains(reason), "{err}");
}

cases! { refused;
    unknown_section("[leases]\n", "top level", "unknown field `leases`"),
    unknown_key("[lease]\nrenew = '1s'\n", "lease", "unknown field `renew`"),
    time_without_unit("[lease]\nlease = '6'\n", "lease.lease", "time unit needed"),
    time_of_unknown_unit("[times]\npoll_every = '5 ticks'\n", "times.poll_every", "unknown time unit"),
    time_as_number("[routing]\nloan = 2\n", "routing.loan", "invalid type: integer"),
    negative_queue("[routing]\nqueue = -1\n", "routing.queue", "invalid value"),
    empty_queue("[routing]\nqueue = 0\n", "routing.queue", "more than 0"),
    retries_over_requests("[routing]\nretry_percent = 101\n", "routing.retry_percent", "at most 100"),
    renewal_as_long_as_lease("[lease]\nrenew_every = '3s'\n", "lease.renew_every", "less than 1/2"),
    renewal_within_lease_but_for_drift(
        "[lease]\nrenew_every = '2980ms'\n", "lease.renew_every", "without its drift",
    ),
    renewal_of_all_time("[lease]\nrenew_every = '500000000000y'\n", "lease.renew_every", "at most 30days"),
    lease_of_all_time("[lease]\nlease = '500000000000y'\n", "lease.lease", "at most 30days"),
    no_time_between_renewals("[lease]\nrenew_every = '0s'\n", "lease.renew_every", "more than 0s"),
    drift_of_half_the_time("[lease]\ndrift_ppm = 500000\n", "lease.drift_ppm", "less than 500000"),
    task_lease_within_lease("[lease]\ntask_lease = '6s'\n", "lease.task_lease", "more than lease.lease"),
    keys_relied_on_too_long("[times]\nkey_freshness = '6s'\n", "times.key_freshness", "at most 5s"),
    table_read_too_seldom("[times]\npoll_every = '3s'\n", "times.poll_every", "key_freshness"),
    heartbeat_slower_than_its_timeout(
        "[times]\nheartbeat_every = '2s'\n", "times.heartbeat_every", "times.peer_timeout",
    ),
    zone_given_up_before_peer("[times]\nzone_timeout = '1s'\n", "times.peer_timeout", "times.zone_timeout"),
    unknown_level("[log]\nlevel = 'loud'\n", "log.level", "one of error, warn, info"),
    no_body("[limits]\nbody_bytes = 0\n", "limits.body_bytes", "more than 0"),
    weight_out_of_range("[policy]\nwaiting = 1000001\n", "policy.waiting", "at most 1000000"),
    peer_with_own_name(
        "[[peers]]\nname='entry-a-1'\nzone='b'\nhttp='127.0.0.1:1'\npeer='127.0.0.1:2'\n",
        "peers.name", "entry-a-1 is named twice",
    ),
    peer_without_address(
        "[[peers]]\nname='x'\nzone='b'\nhttp='127.0.0.1:1'\n", "peers", "missing field `peer`",
    ),
    peer_by_host_name(
        "[[peers]]\nname='x'\nzone='b'\nhttp='localhost:1'\npeer='127.0.0.1:2'\n",
        "peers.http", "invalid socket address",
    ),
}

fn refused_as_a_whole(from: &str, to: &str, key: &str, reason: &str) {
    assert!(LEAST.contains(from));
    let err = parse(&LEAST.replace(from, to)).expect_err("the settings must be refused");
    assert!(err.starts_with("settings node.toml: "), "{err}");
    assert!(err.contains(key), "{err}");
    assert!(err.contains(reason), "{err}");
}

cases! { refused_as_a_whole;
    name_with_slash("entry-a-1", "entry/1", "daemon.name", "letters, digits"),
    empty_zone("zone-a", "", "daemon.zone", "one or more"),
    same_address_twice("7401", "7400", "daemon.peer", "differ from daemon.http"),
    no_port("7300", "0", "platform.address", "port other than 0"),
    no_name("name = \"entry-a-1\"\n", "", "daemon", "missing field `name`"),
    no_platform("[platform]\naddress = \"127.0.0.1:7300\"", "", "top level", "missing field `platform`"),
    hash_in_upper_case(
        "[platform]",
        "operator_key_sha256 = '9F86D081884C7D659A2FEAA0C55AD015A3BF4F1B2B0B822CD15D6C15B0F00A08'\n[platform]",
        "daemon.operator_key_sha256", "64 lower-case",
    ),
}

#[test]
fn broken_text_names_the_line() {
    let err = parse("[daemon\n").expect_err("this is not TOML");
    assert!(err.starts_with("read settings node.toml: "), "{err}");
    assert!(err.contains("line 1"), "{err}");
}

#[test]
fn missing_file_is_named() {
    let err = Config::load(Path::new("no/such/file.toml")).expect_err("there is no such file");
    assert!(
        err.to_string()
            .starts_with("read settings no/such/file.toml: ")
    );
}

#[test]
fn defaults_are_those_of_the_reducer() {
    let cfg = parse(LEAST).expect("the least settings are enough");
    let expected = Options::new("entry-a-1".into(), "zone-a".into());
    assert_eq!(cfg.options(), expected);
}

#[test]
fn every_key_reaches_the_reducer() {
    let more = r#"
        [[peers]]
        name = "entry-b-1"
        zone = "zone-b"
        http = "127.0.0.1:7410"
        peer = "127.0.0.1:7411"
        [lease]
        lease = "8s"
        task_lease = "90s"
        renew_every = "1s"
        drift_ppm = 20
        [routing]
        retry_percent = 11
        queue = 12
        loan = "13s"
        claim_retention = "14s"
        [policy]
        fairness = 15
        packing = 16
        waiting = 17
        [times]
        key_freshness = "4s"
        poll_every = "19ms"
        members_every = "20ms"
        heartbeat_every = "21ms"
        peer_timeout = "22s"
        zone_timeout = "23s"
        drain_timeout = "24s"
    "#;
    let options = parse(&format!("{LEAST}{more}"))
        .expect("sound settings")
        .options();
    let ms = Duration::from_millis;
    let seed = &options.seeds[0];
    assert_eq!(
        (&*seed.id, &*seed.zone, &*seed.address),
        ("entry-b-1", "zone-b", "127.0.0.1:7410")
    );
    let peer = "127.0.0.1:7411".into();
    assert_eq!(seed.role, MemberRole::Entry { peer });
    let lease = options.lease;
    assert_eq!((lease.lease, lease.task_lease), (ms(8_000), ms(90_000)));
    assert_eq!((lease.renew_every, lease.drift_ppm), (ms(1_000), 20));
    let routing = options.routing;
    assert_eq!((routing.retry_percent, routing.queue_capacity), (11, 12));
    assert_eq!(
        (routing.loan_duration, routing.claim_retention),
        (ms(13_000), ms(14_000))
    );
    let weights = options.weights;
    assert_eq!(
        (weights.fairness, weights.packing, weights.waiting),
        (15, 16, 17)
    );
    assert_eq!(
        (options.key_freshness, options.poll_every),
        (ms(4_000), ms(19))
    );
    assert_eq!(
        (options.members_every, options.heartbeat_every),
        (ms(20), ms(21))
    );
    assert_eq!(
        (options.peer_timeout, options.zone_timeout),
        (ms(22_000), ms(23_000))
    );
    assert_eq!(options.drain_timeout, ms(24_000));
}

#[test]
fn the_example_holds_the_defaults() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("etc/ragwortstalld.toml");
    let cfg = Config::load(&path).expect("the example is sound");
    let least = parse(LEAST).expect("sound settings");
    let mut options = cfg.options();
    assert_eq!(options.seeds.len(), 1);
    options.seeds.clear();
    assert_eq!(options, least.options());
    assert_eq!(
        (cfg.log, cfg.limits, cfg.platform),
        (least.log, least.limits, least.platform)
    );
}
