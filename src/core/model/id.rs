//! Identifiers, versions and the reducer's clock reading.

use std::time::Duration;

/// Monotonic time since the process started, passed to the reducer by the shell or a test.
pub type Now = Duration;

/// Name of a daemon, unique in the cell. Each entry VM runs one daemon.
pub type DaemonId = Box<str>;

/// Address of an endpoint, `ip:port`.
pub type EndpointId = Box<str>;

/// Name of a worker VM, as in the membership list.
pub type VmId = Box<str>;

/// Name of a rack.
pub type RackId = Box<str>;

/// Name of an availability zone.
pub type ZoneId = Box<str>;

/// Name of a team.
pub type TeamId = Box<str>;

/// Name of a service.
pub type ServiceId = Box<str>;

/// Identifier of a durable job, chosen by its submitter or by the accepting daemon.
pub type JobId = Box<str>;

/// Position of a task in its job, from zero.
pub type TaskIndex = u32;

/// Idempotency key of a request, under which its caller may repeat it.
pub type RequestId = Box<str>;

/// Lower-case hexadecimal SHA-256 of a key's secret.
pub type KeyHash = Box<str>;

/// Identifier of a loan of slots, chosen by the borrower.
pub type LoanId = u64;

/// Fencing epoch of a lease holder; an arbiter refuses a lower one than it has accepted.
pub type Epoch = u64;

/// Revision of the platform's table, or version of one of its rows; zero if it does not exist.
pub type Rev = u64;

/// Correlates an answer with the shell's open connection to the caller.
pub type Ticket = u64;

/// Correlates the platform's answer with the transaction that the reducer sent.
pub type Token = u64;

/// Start of the token range of the router's transactions.
pub const ROUTING_TOKEN_BASE: Token = 1 << 56;

/// Start of the token range of the jobs' transactions.
pub const JOB_TOKEN_BASE: Token = 2 << 56;

/// Start of the token range of record transactions.
pub const RECORD_TOKEN_BASE: Token = 3 << 56;

/// Start of the token range of the escrow's transactions.
pub const ESCROW_TOKEN_BASE: Token = 4 << 56;
