//! Settings of the daemon, in TOML.
//!
//! Every key is checked before the daemon starts; an error names the file, the key and the reason.

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
    /// Who and where the daemon is.
    pub daemon: DaemonSection,
    /// Where the platform is.
    pub platform: PlatformSection,
    /// Other daemons, known until the membership list is read.
    #[serde(default)]
    pub peers: Vec<PeerSection>,
    /// Times of the lease protocol.
    #[serde(default)]
    pub lease: LeaseSection,
    /// Settings of the request router.
    #[serde(default)]
    pub routing: RoutingSection,
    /// How the measures are weighed.
    #[serde(default)]
    pub policy: PolicySection,
    /// Other times.
    #[serde(default)]
    pub times: TimesSection,
    /// What is logged.
    #[serde(default)]
    pub log: LogSection,
    /// Bounds on what callers may send.
    #[serde(default)]
    pub limits: LimitsSection,
}

impl Config {
    /// Reads and checks a settings file.
    pub fn load(path: &Path) -> Result<Self> {
        let text = fs::read_to_string(path).map_err(|err| Error::Read(path.into(), err))?;
        Self::parse(path, &text)
    }

    /// Checks the text of a settings file; `path` is for errors only.
    pub fn parse(path: &Path, text: &str) -> Result<Self> {
        let table: toml::Table = text.parse().map_err(|err| Error::syntax(path, &err))?;
        let cfg: Self = table.try_into().map_err(|err| Error::value(path, &err))?;
        check::all(&cfg).map_err(|bad| Error::Value(path.into(), bad.key, bad.reason))?;
        Ok(cfg)
    }

    /// Settings of the reducer.
    #[must_use]
    pub fn options(&self) -> Options {
        let mut options = Options::new(self.daemon.name.clone(), self.daemon.zone.clone());
        options.seeds = self.peers.iter().map(PeerSection::member).collect();
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
        self.times.apply(&mut options);
        options
    }
}
