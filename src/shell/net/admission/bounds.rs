//! Bounds on the connections of each listener, as shares of the machine's memory and descriptors.

/// Memory of one connection with its buffers, without what is held for its request beyond
/// [`INCLUDED_BYTES`], in bytes.
const CONNECTION_BYTES: usize = 64 << 10;

/// Bytes of a request or answer that count with the connection. Ordinary requests hold no more, so that
/// large ones do not displace them.
pub(super) const INCLUDED_BYTES: usize = 16 << 10;

/// Memory of a machine for which none is stated, in bytes.
const DEFAULT_MEMORY_BYTES: usize = 128 << 20;

/// Descriptors of a process on a machine for which none are stated.
const DEFAULT_DESCRIPTORS: usize = 1_024;

/// Descriptors that are not available to sockets.
const FILE_DESCRIPTORS: usize = 200;

/// Interface on which a daemon listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listener {
    /// Clients.
    Clients,
    /// Other daemons.
    Peers,
    /// Readiness probes of the load balancer.
    Probes,
    /// Reads of the metrics.
    Metrics,
}

/// Memory and descriptors of the machine that a process runs on; `None` if not stated.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MachineLimits {
    /// Memory of the process, in bytes.
    pub memory_bytes: Option<usize>,
    /// Open descriptors of the process.
    pub descriptors: Option<usize>,
}

/// Bounds on the connections of one listener and on what is held for them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Maximum number of open connections.
    pub connections: usize,
    /// Maximum size of all unfinished requests and unsent answers, in bytes, beyond what counts with each
    /// connection.
    pub held_bytes: usize,
}

/// Share of a listener: each field divides what the machine has.
struct Share {
    /// Memory for connections.
    connections: usize,
    /// Memory for what is held beyond them.
    held: usize,
    /// Descriptors of sockets.
    sockets: usize,
    /// Lower bounds, which hold for the smallest machines.
    min: Bounds,
}

impl Listener {
    /// Returns the listener's name in metrics and logs.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Clients => "clients",
            Self::Peers => "peers",
            Self::Probes => "probes",
            Self::Metrics => "metrics",
        }
    }

    /// The shares leave most of the memory to the scheduler's state, and most of the sockets to the
    /// connections that the daemon opens itself.
    fn share(self) -> Share {
        match self {
            Self::Clients => Share {
                connections: 4,
                held: 8,
                sockets: 4,
                min: Bounds {
                    connections: 64,
                    held_bytes: 8 << 20,
                },
            },
            Self::Peers => Share {
                connections: 16,
                held: 16,
                sockets: 16,
                min: Bounds {
                    connections: 64,
                    held_bytes: 8 << 20,
                },
            },
            Self::Probes | Self::Metrics => Share {
                connections: 64,
                held: 64,
                sockets: 64,
                min: Bounds {
                    connections: 8,
                    held_bytes: 1 << 20,
                },
            },
        }
    }
}

impl MachineLimits {
    /// Returns the bounds of a listener.
    #[must_use]
    pub fn bounds(self, listener: Listener) -> Bounds {
        let memory = self.memory_bytes.unwrap_or(DEFAULT_MEMORY_BYTES);
        let descriptors = self.descriptors.unwrap_or(DEFAULT_DESCRIPTORS);
        let sockets = descriptors.saturating_sub(FILE_DESCRIPTORS);
        let share = listener.share();
        let by_memory = memory / share.connections / CONNECTION_BYTES;
        let by_sockets = sockets / share.sockets;
        Bounds {
            connections: by_memory.min(by_sockets).max(share.min.connections),
            held_bytes: (memory / share.held).max(share.min.held_bytes),
        }
    }
}
