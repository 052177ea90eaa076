//! Settings of the daemon, in TOML.
//!
//! All keys are checked before the daemon starts. An error states the file, the key and the reason.

mod check;
mod error;
mod section;

use std::fs;
use std::path::Path;

use serde::Deserialize;

use crate::core::Options;
use crate::core::lease::LeaseOptions;
use crate::core::routing::RoutingOptions;
use crate::core::sched::Weights;

pub use error::Error;
pub use error::Result;
pub use section::DaemonSection;
pub use section::LeaseSection;
pub use section::LimitsSection;
pub use section::LogSection;
pub use section::PeerSection;
pub use section::PlatformSection;
pub use section::PolicySection;
pub use section::RoutingSection;
pub use section::TimesSection;

/// All settings of one daemon.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// Identity and addresses of the daemon.
    pub daemon: DaemonSection,
    /// Address of the platform.
    pub platform: PlatformSection,
    /// Other daemons, used until the membership list has been read.
    #[serde(default)]
    pub peers: Vec<PeerSection>,
    /// Durations of the lease protocol.
    #[serde(default)]
    pub lease: LeaseSection,
    /// Settings of the request router.
    #[serde(default)]
    pub routing: RoutingSection,
    /// Weights of the policy measures.
    #[serde(default)]
    pub policy: PolicySection,
    /// Intervals and timeouts of reads from the platform, heartbeats and shutdown.
    #[serde(default)]
    pub times: TimesSection,
    /// Settings of the log.
    #[serde(default)]
    pub log: LogSection,
    /// Limits on callers' requests.
    #[serde(default)]
    pub limits: LimitsSection,
}

impl Config {
    /// Reads and checks a settings file.
    pub fn load(path: &Path) -> Result<Self> {
        let text = fs::read_to_string(path).map_err(|err| Error::Read(path.into(), err))?;
        Self::parse(path, &text)
    }

    /// Parses and checks the text of a settings file; `path` is used in errors only.
    pub fn parse(path: &Path, text: &str) -> Result<Self> {
        let table: toml::Table = text.parse().map_err(|err| Error::syntax(path, &err))?;
        let cfg: Self = table.try_into().map_err(|err| Error::value(path, &err))?;
        check::check_all(&cfg).map_err(|err| Error::Value(path.into(), err.key, err.reason))?;
        Ok(cfg)
    }

    /// Returns the reducer's options.
    #[must_use]
    pub fn options(&self) -> Options {
        let mut options = Options::new(self.daemon.name.clone(), self.daemon.zone.clone());
        options.seeds = self.peers.iter().map(PeerSection::to_member).collect();
        options.lease = LeaseOptions {
            lease: self.lease.lease,
            task_lease: self.lease.task_lease,
            renew_every: self.lease.renew_every,
            drift_ppm: self.lease.drift_ppm,
        };
        options.routing = RoutingOptions {
            retry_percent: self.routing.retry_percent,
            queue_capacity: self.routing.queue,
            claim_retention: self.routing.claim_retention,
            ..RoutingOptions::with_loan(self.routing.loan)
        };
        options.weights = Weights {
            fairness: self.policy.fairness,
            packing: self.policy.packing,
            waiting: self.policy.waiting,
        };
        self.times.apply_to(&mut options);
        options
    }
}
