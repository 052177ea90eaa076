//! Settings: all keys are checked, and an error states the file, the key and the reason.

mod support;

use std::path::Path;
use std::time::Duration;

use ragwortstall::config::Config;
use ragwortstall::core::Options;
use ragwortstall::core::model::MemberRole;
use support::cases;

const MINIMAL: &str = r#"
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

fn rejects_added(added: &str, key: &str, reason: &str) {
    let err = parse(&format!("{MINIMAL}{added}")).expect_err("the settings must be rejected");
    let start = format!("settings node.toml: {key}: ");
    assert!(err.starts_with(&start), "{err}");
    assert!(err.contains(reason), "{err}");
}

cases! { rejects_added;
    unknown_section("[leases]\n", "top level", "unknown field `leases`"),
    unknown_key("[lease]\nrenew = '1s'\n", "lease", "unknown field `renew`"),
    duration_without_unit("[lease]\nlease = '6'\n", "lease.lease", "time unit needed"),
    duration_with_unknown_unit(
        "[times]\npoll_every = '5 ticks'\n", "times.poll_every", "unknown time unit",
    ),
    duration_as_number("[routing]\nloan = 2\n", "routing.loan", "invalid type: integer"),
    negative_queue("[routing]\nqueue = -1\n", "routing.queue", "invalid value"),
    zero_queue("[routing]\nqueue = 0\n", "routing.queue", "more than 0"),
    retry_percent_over_100(
        "[routing]\nretry_percent = 101\n", "routing.retry_percent", "at most 100",
    ),
    renewal_interval_of_half_the_lease(
        "[lease]\nrenew_every = '3s'\n", "lease.renew_every", "less than 1/2",
    ),
    renewal_interval_too_long_with_drift(
        "[lease]\nrenew_every = '2980ms'\n", "lease.renew_every", "minus its clock drift",
    ),
    renewal_interval_over_maximum(
        "[lease]\nrenew_every = '500000000000y'\n", "lease.renew_every", "at most 30days",
    ),
    lease_over_maximum("[lease]\nlease = '500000000000y'\n", "lease.lease", "at most 30days"),
    zero_renewal_interval("[lease]\nrenew_every = '0s'\n", "lease.renew_every", "more than 0s"),
    drift_of_half_the_lease("[lease]\ndrift_ppm = 500000\n", "lease.drift_ppm", "less than 500000"),
    task_lease_as_short_as_lease(
        "[lease]\ntask_lease = '6s'\n", "lease.task_lease", "more than lease.lease",
    ),
    key_freshness_over_maximum(
        "[times]\nkey_freshness = '6s'\n", "times.key_freshness", "at most 5s",
    ),
    poll_interval_as_long_as_key_freshness(
        "[times]\npoll_every = '3s'\n", "times.poll_every", "key_freshness",
    ),
    heartbeat_interval_as_long_as_peer_timeout(
        "[times]\nheartbeat_every = '2s'\n", "times.heartbeat_every", "times.peer_timeout",
    ),
    zone_timeout_below_peer_timeout(
        "[times]\nzone_timeout = '1s'\n", "times.peer_timeout", "times.zone_timeout",
    ),
    unknown_log_level("[log]\nlevel = 'loud'\n", "log.level", "one of error, warn, info"),
    zero_body_size("[limits]\nbody_bytes = 0\n", "limits.body_bytes", "more than 0"),
    weight_out_of_range("[policy]\nwaiting = 1000001\n", "policy.waiting", "at most 1000000"),
    peer_with_own_name(
        "[[peers]]\nname='entry-a-1'\nzone='b'\nhttp='127.0.0.1:1'\npeer='127.0.0.1:2'\n",
        "peers.name", "duplicate name entry-a-1",
    ),
    peer_without_address(
        "[[peers]]\nname='x'\nzone='b'\nhttp='127.0.0.1:1'\n", "peers", "missing field `peer`",
    ),
    peer_with_host_name(
        "[[peers]]\nname='x'\nzone='b'\nhttp='localhost:1'\npeer='127.0.0.1:2'\n",
        "peers.http", "invalid socket address",
    ),
}

fn rejects_replaced(from: &str, to: &str, key: &str, reason: &str) {
    assert!(MINIMAL.contains(from));
    let err = parse(&MINIMAL.replace(from, to)).expect_err("the settings must be rejected");
    assert!(err.starts_with("settings node.toml: "), "{err}");
    assert!(err.contains(key), "{err}");
    assert!(err.contains(reason), "{err}");
}

cases! { rejects_replaced;
    name_with_slash("entry-a-1", "entry/1", "daemon.name", "letters, digits"),
    empty_zone("zone-a", "", "daemon.zone", "one or more"),
    same_address_twice("7401", "7400", "daemon.peer", "differ from daemon.http"),
    port_zero("7300", "0", "platform.address", "port other than 0"),
    missing_name("name = \"entry-a-1\"\n", "", "daemon", "missing field `name`"),
    missing_platform(
        "[platform]\naddress = \"127.0.0.1:7300\"", "", "top level", "missing field `platform`",
    ),
    head_limit_too_small(
        "[platform]", "[limits]\nhead_bytes = 100\n[platform]",
        "limits.head_bytes", "from 1024 to 1048576",
    ),
    memory_too_small_for_bodies(
        "[platform]", "[limits]\nmemory_bytes = 8388608\n[platform]",
        "limits.memory_bytes", "at least 16 times limits.body_bytes",
    ),
    idle_timeout_of_zero(
        "[platform]", "[limits]\nidle_timeout = \"0s\"\n[platform]",
        "limits.idle_timeout", "more than 0s",
    ),
    hash_in_upper_case(
        "[platform]",
        "operator_key_sha256 = \
         '9F86D081884C7D659A2FEAA0C55AD015A3BF4F1B2B0B822CD15D6C15B0F00A08'\n[platform]",
        "daemon.operator_key_sha256", "64 lower-case",
    ),
}

#[test]
fn syntax_error_names_the_line() {
    let err = parse("[daemon\n").expect_err("the text is not TOML");
    assert!(err.starts_with("read settings node.toml: "), "{err}");
    assert!(err.contains("line 1"), "{err}");
}

#[test]
fn error_names_a_missing_file() {
    let err = Config::load(Path::new("no/such/file.toml")).expect_err("the file does not exist");
    assert!(
        err.to_string()
            .starts_with("read settings no/such/file.toml: ")
    );
}

#[test]
fn defaults_match_the_reducer() {
    let cfg = parse(MINIMAL).expect("the minimal settings are valid");
    let expected = Options::new("entry-a-1".into(), "zone-a".into());
    assert_eq!(cfg.options(), expected);
}

#[test]
fn all_keys_are_passed_to_the_reducer() {
    let added = r#"
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
    let options = parse(&format!("{MINIMAL}{added}"))
        .expect("the settings are valid")
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
fn example_file_contains_the_defaults() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("etc/ragwortstalld.toml");
    let cfg = Config::load(&path).expect("the example is valid");
    let minimal = parse(MINIMAL).expect("the settings are valid");
    let mut options = cfg.options();
    assert_eq!(options.seeds.len(), 1);
    options.seeds.clear();
    assert_eq!(options, minimal.options());
    assert_eq!(
        (cfg.log, cfg.limits, cfg.platform),
        (minimal.log, minimal.limits, minimal.platform)
    );
}
