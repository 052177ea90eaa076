//! Runs the command-line tool as a process.

use std::net::SocketAddr;
use std::process::Command;
use std::process::Output;

/// Exit codes of the tool.
pub const DONE: i32 = 0;
pub const NOT_RUN: i32 = 1;
pub const USAGE: i32 = 2;
pub const UNKNOWN: i32 = 3;
pub const FAILED: i32 = 4;

/// Secret of the key that the tool sends.
pub const SECRET: &str = "operator-secret";

/// Exit code and output of a run of the tool.
#[derive(Debug)]
pub struct ToolOutput {
    pub code: i32,
    pub out: String,
    pub err: String,
}

impl ToolOutput {
    #[track_caller]
    pub fn expect(self, code: i32) -> Self {
        assert_eq!(self.code, code, "{self:?}");
        self
    }
}

/// Returns a command that runs the tool for the given daemons, with a cleared environment.
pub fn command(servers: &[SocketAddr], args: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_ragwortstall"));
    let list: Vec<String> = servers.iter().map(ToString::to_string).collect();
    command
        .env_clear()
        .env("RAGWORTSTALL_SERVERS", list.join(","))
        .env("RAGWORTSTALL_KEY", SECRET)
        .args(args);
    command
}

/// Runs the tool and waits for it to exit.
pub fn run_tool(servers: &[SocketAddr], args: &[&str]) -> ToolOutput {
    tool_output(&command(servers, args).output().unwrap())
}

/// Converts the output of the process.
pub fn tool_output(output: &Output) -> ToolOutput {
    let text = |bytes: &[u8]| String::from_utf8(bytes.to_vec()).unwrap();
    ToolOutput {
        code: output.status.code().unwrap(),
        out: text(&output.stdout),
        err: text(&output.stderr),
    }
}
