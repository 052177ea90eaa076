//! Errors of all commands and their exit codes.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use quick_error::quick_error;
use ragwortstall::config;

/// Result of a command or of part of one.
pub type Result<T, E = Error> = std::result::Result<T, E>;

quick_error! {
    /// Error of a command.
    #[derive(Debug)]
    pub enum Error {
        /// The command line is invalid.
        Usage(reason: Box<str>) {
            display("{reason}")
        }
        /// A settings file is invalid.
        Settings(err: config::Error) {
            from()
            display("{err}")
            source(err)
        }
        /// A file cannot be read or written.
        File(path: PathBuf, err: io::Error) {
            display("{}: {err}", path.display())
            source(err)
        }
        /// The content of a file or a record is invalid.
        InvalidContent(path: PathBuf, reason: Box<str>) {
            display("{}: {reason}", path.display())
        }
        /// The async runtime cannot be started.
        Runtime(err: io::Error) {
            display("failed to start the async runtime: {err}")
            source(err)
        }
        /// The system's random number generator failed.
        Random(err: io::Error) {
            display("failed to generate random bytes: {err}")
            source(err)
        }
        /// Writing the result to standard output failed.
        Print(err: io::Error) {
            from()
            display("failed to print the result: {err}")
            source(err)
        }
        /// No daemon accepted a connection, so nothing was sent.
        Unreachable(operation: Box<str>, servers: Box<str>) {
            display("{operation}: not run: no daemon can be reached ({servers})")
        }
        /// A daemon refused the operation; it had no effect and will have none.
        NotRun(
            operation: Box<str>,
            server: SocketAddr,
            reason: Box<str>,
            retry_after: Option<Duration>
        ) {
            display("{operation} at {server}: not run: {reason}{}", retry_hint(*retry_after))
        }
        /// The record was changed by another write since it was read.
        Conflict(operation: Box<str>, detail: Box<str>) {
            display("{operation}: not run: another write came first\n{detail}")
        }
        /// The operation may have had an effect.
        OutcomeUnknown(operation: Box<str>, server: SocketAddr, reason: Box<str>) {
            display("{operation} at {server}: unknown, it may have had an effect: {reason}")
        }
        /// A read was interrupted, or a response cannot be parsed.
        Response(operation: Box<str>, server: SocketAddr, reason: Box<str>) {
            display("{operation} at {server}: {reason}")
        }
        /// The job, record or key named on the command line does not exist.
        NotFound(message: Box<str>) {
            display("{message}")
        }
        /// Some daemons did not respond, so the result is incomplete.
        NoResponse(message: Box<str>) {
            display("{message}")
        }
        /// The work ran, and failed or was cancelled.
        Failed(message: Box<str>) {
            display("{message}")
        }
    }
}

impl Error {
    /// Prints the error to standard error, unless it is a closed pipe.
    pub fn report(&self) {
        if !self.is_closed_pipe() {
            eprintln!("ragwortstall: {self}");
        }
    }

    /// Returns the exit code, as documented in the help text.
    pub fn exit_code(&self) -> ExitCode {
        match self {
            Self::Usage(_) | Self::Settings(_) | Self::File(..) | Self::InvalidContent(..) => {
                2.into()
            }
            Self::OutcomeUnknown(..) => 3.into(),
            Self::Failed(_) => 4.into(),
            Self::Print(_) if self.is_closed_pipe() => ExitCode::SUCCESS,
            _ => 1.into(),
        }
    }

    /// Returns whether retrying cannot succeed.
    pub fn is_final(&self) -> bool {
        matches!(
            self,
            Self::NotFound(_) | Self::Usage(_) | Self::NotRun(_, _, _, None)
        )
    }

    /// Returns whether the reader closed the output pipe early, as `head` does.
    fn is_closed_pipe(&self) -> bool {
        matches!(self, Self::Print(err) if err.kind() == io::ErrorKind::BrokenPipe)
    }
}

fn retry_hint(retry_after: Option<Duration>) -> String {
    match retry_after {
        Some(after) => format!("; retry after {}", humantime::format_duration(after)),
        None => String::new(),
    }
}
