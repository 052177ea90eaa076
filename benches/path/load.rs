//! Load generator: concurrent callers, each with its own connection.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use cyper_core::HyperStream;
use futures_util::future::try_join_all;
use hdrhistogram::Histogram;
use http::Request;
use http::header::HOST;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use ragwortstall::shell::net::connect;

use crate::Result;

/// Size of each request body.
const BODY_BYTES: usize = 1_024;

/// Time limit for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);

/// Initial part of each paced run whose requests are not measured.
const WARM_UP: Duration = Duration::from_millis(500);

/// Maximum latency that a histogram can record.
const MAX_LATENCY_US: u64 = 60_000_000;

/// Number of callers, the interval of their requests, and the duration of a run.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    callers: usize,
    interval: Duration,
    duration: Duration,
}

/// Latencies measured in one run.
pub struct Latencies(Histogram<u64>);

impl Latencies {
    /// Returns the latency at a quantile, in microseconds.
    pub fn micros(&self, quantile: f64) -> u64 {
        self.0.value_at_quantile(quantile)
    }

    /// Returns the number of measured requests.
    pub fn count(&self) -> u64 {
        self.0.len()
    }
}

impl Load {
    /// Returns a load in which each caller sends a request every `interval`, or as soon as its last
    /// request has been answered if that takes longer.
    pub fn paced(callers: usize, interval: Duration, duration: Duration) -> Self {
        Self {
            callers,
            interval,
            duration,
        }
    }

    /// Runs the load, with the callers distributed evenly over some addresses.
    pub async fn run(&self, to: &[SocketAddr], path: &str) -> Result<Latencies> {
        let path: Rc<str> = path.into();
        let callers = (0..self.callers).map(|i| {
            let offset = self.interval * u32::try_from(i).unwrap_or(0) / 20;
            self.run_caller(to[i % to.len()], Rc::clone(&path), offset)
        });
        let mut all = Histogram::new_with_max(MAX_LATENCY_US, 3)?;
        for histogram in try_join_all(callers).await? {
            all.add(histogram)?;
        }
        Ok(Latencies(all))
    }

    async fn run_caller(
        &self,
        to: SocketAddr,
        path: Rc<str>,
        offset: Duration,
    ) -> Result<Histogram<u64>> {
        let mut histogram = Histogram::new_with_max(MAX_LATENCY_US, 3)?;
        let mut tx = open(to).await?;
        compio::time::sleep(offset).await;
        let started_at = Instant::now();
        let mut due = started_at;
        while started_at.elapsed() < self.duration {
            let sent_at = Instant::now();
            exchange(&mut tx, to, &path).await?;
            if started_at.elapsed() > WARM_UP || self.interval.is_zero() {
                let micros = u64::try_from(sent_at.elapsed().as_micros())?;
                histogram.record(micros)?;
            }
            due += self.interval;
            compio::time::sleep(due.saturating_duration_since(Instant::now())).await;
        }
        Ok(histogram)
    }
}

/// Opens connections, sends one request on each, and returns them open.
pub async fn open_idle(
    to: SocketAddr,
    path: &str,
    count: usize,
) -> Result<Vec<SendRequest<Full<Bytes>>>> {
    let mut connections = Vec::with_capacity(count);
    for _ in 0..count {
        let mut tx = open(to).await?;
        exchange(&mut tx, to, path).await?;
        connections.push(tx);
    }
    Ok(connections)
}

async fn open(to: SocketAddr) -> Result<SendRequest<Full<Bytes>>> {
    let stream = connect(to, CONNECT_TIMEOUT).await?;
    let (tx, conn) = http1::handshake(HyperStream::new_plain(stream)).await?;
    compio::runtime::spawn(async move {
        let _ = conn.await;
    })
    .detach();
    Ok(tx)
}

async fn exchange(tx: &mut SendRequest<Full<Bytes>>, to: SocketAddr, path: &str) -> Result<()> {
    let body = Bytes::from_static(&[b'x'; BODY_BYTES]);
    let req = Request::put(path)
        .header(HOST, to.to_string())
        .body(Full::new(body))?;
    tx.ready().await?;
    let res = tx.send_request(req).await?;
    let status = res.status();
    let body = res.into_body().collect().await?.to_bytes();
    if status.is_success() && body.len() == BODY_BYTES {
        Ok(())
    } else {
        Err(format!("{to}{path}: {status}, {} bytes", body.len()).into())
    }
}
