//! Client of the daemons' HTTP API.

mod call;
mod options;
mod records;
mod reply;

pub use call::Call;
pub use call::Idempotency;
pub use options::GlobalOptions;
pub use reply::Outcome;
pub use reply::Reply;

use std::net::SocketAddr;
use std::time::Duration;

use compio::net::TcpStream;
use compio::time::timeout;

use crate::error::Error;
use crate::error::Result;

/// Time to wait for a connection to be established.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Response header that reports whether the work was run.
const OUTCOME_HEADER: &str = "x-ragwortstall-outcome";

/// Client of one or more daemons, any of which can handle a call.
pub struct Client {
    http: cyper::Client,
    servers: Box<[SocketAddr]>,
    secret: Option<Box<str>>,
    timeout: Duration,
}

impl Client {
    /// Returns a client of the daemons named on the command line or in the environment.
    pub fn new(options: &GlobalOptions) -> Result<Self> {
        let http = cyper::Client::builder()
            .no_proxy()
            .redirect(cyper::redirect::Policy::none())
            .build()
            .map_err(|err| Error::Usage(err.to_string().into()))?;
        Ok(Self {
            http,
            servers: options.servers()?,
            secret: options.secret()?,
            timeout: options.timeout(),
        })
    }

    /// Returns the addresses of all daemons.
    pub fn servers(&self) -> &[SocketAddr] {
        &self.servers
    }

    /// Returns the time to wait for a response.
    pub fn timeout(&self) -> Duration {
        self.timeout
    }

    /// Sends a call to the daemons in turn until one responds. A call that is not idempotent is
    /// sent to the next daemon only if it is certain that the previous one did not run it.
    pub async fn send(&self, call: &Call) -> Result<Reply> {
        let mut refused = None;
        let mut unknown = None;
        let mut failed = None;
        for &server in &self.servers {
            match self.send_to(server, call).await {
                Ok(reply) if reply.is_retryable() => refused = Some(reply),
                Ok(reply) => return resolve_outcome(reply, unknown),
                Err(err @ Error::OutcomeUnknown(..))
                    if call.idempotency == Idempotency::NonIdempotent =>
                {
                    return Err(err);
                }
                Err(err @ Error::OutcomeUnknown(..)) => unknown = Some(err),
                Err(err) => failed = Some(err),
            }
        }
        match (unknown.or(failed), refused) {
            (Some(err @ Error::OutcomeUnknown(..)), _) => Err(err),
            (_, Some(reply)) => Ok(reply),
            (Some(Error::Unreachable(operation, _)), None) => {
                Err(Error::Unreachable(operation, self.server_list()))
            }
            (Some(err), None) => Err(err),
            (None, None) => Err(Error::Usage("no daemon address given".into())),
        }
    }

    /// Sends a call to one daemon.
    pub async fn send_to(&self, server: SocketAddr, call: &Call) -> Result<Reply> {
        self.probe(server, call).await?;
        let limit = call.timeout.unwrap_or(self.timeout);
        match timeout(limit, self.exchange(server, call)).await {
            Ok(result) => result,
            Err(_) => {
                Err(call.interrupted_error(server, "timed out waiting for the complete response"))
            }
        }
    }

    /// Opens and closes a connection, to distinguish an unreachable daemon, which cannot have run
    /// the call, from one that does not respond.
    async fn probe(&self, server: SocketAddr, call: &Call) -> Result<()> {
        match timeout(CONNECT_TIMEOUT, TcpStream::connect(server)).await {
            Ok(Ok(_)) => Ok(()),
            _ => Err(Error::Unreachable(
                call.operation.clone(),
                server.to_string().into(),
            )),
        }
    }

    async fn exchange(&self, server: SocketAddr, call: &Call) -> Result<Reply> {
        let usage_error = |err: cyper::Error| Error::Usage(err.to_string().into());
        let url = format!("http://{server}{}", call.path);
        let mut req = self
            .http
            .request(call.method.clone(), url)
            .map_err(usage_error)?
            .body(call.body.clone());
        for (name, value) in &call.headers {
            req = req.header(&**name, &**value).map_err(usage_error)?;
        }
        if let Some(secret) = &self.secret {
            req = req.bearer_auth(secret).map_err(usage_error)?;
        }
        let res = req
            .send()
            .await
            .map_err(|err| call.exchange_error(server, &err))?;
        let head = reply::Head::new(&res);
        let body = res
            .bytes()
            .await
            .map_err(|err| call.exchange_error(server, &err))?;
        Ok(head.with_body(server, body))
    }

    fn server_list(&self) -> Box<str> {
        let addresses: Vec<String> = self.servers.iter().map(ToString::to_string).collect();
        addresses.join(", ").into()
    }
}

/// Returns the reply, or the error of an earlier attempt with an unknown outcome: that a later
/// daemon refused the call does not show that the earlier attempt had no effect.
fn resolve_outcome(reply: Reply, unknown: Option<Error>) -> Result<Reply> {
    match unknown {
        Some(err) if reply.outcome() == Some(Outcome::NotRun) => Err(err),
        _ => Ok(reply),
    }
}
