//! Load generator of a capacity run: sends requests at a constant rate over keep-alive connections and records latencies.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use hdrhistogram::Histogram;
use http_body_util::{BodyExt, Empty};
use hyper::client::conn::http1::{handshake, SendRequest};
use hyper::Request;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{interval, timeout, Instant, MissedTickBehavior};

use crate::checker::latencies;

/// Timeout of a request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// Result of one load phase.
#[derive(Debug)]
pub struct LoadResult {
    /// Time from sending a request to the end of its response body, in microseconds.
    pub latency: Histogram<u64>,
    /// Requests without a successful response.
    pub failed: u64,
}

impl LoadResult {
    /// Number of requests sent.
    pub fn requests(&self) -> u64 {
        self.latency.len() + self.failed
    }

    /// Latency at a quantile, in milliseconds.
    pub fn ms(&self, quantile: f64) -> f64 {
        self.latency.value_at_quantile(quantile) as f64 / 1e3
    }
}

/// Clients that keep their connections between load phases. Each request has its own key.
pub struct Clients {
    addr: SocketAddr,
    idle: Mutex<Vec<SendRequest<Empty<Bytes>>>>,
    key: AtomicU64,
}

impl Clients {
    /// Creates clients of an address.
    pub fn new(addr: SocketAddr) -> Arc<Clients> {
        Arc::new(Clients {
            addr,
            idle: Mutex::default(),
            key: AtomicU64::new(0),
        })
    }

    /// Sends requests at a constant rate for this duration and waits for all responses.
    pub async fn run(self: &Arc<Self>, requests_per_s: f64, duration: Duration) -> LoadResult {
        let mut result = LoadResult {
            latency: latencies(),
            failed: 0,
        };
        let mut ticks = interval(Duration::from_secs_f64(1.0 / requests_per_s));
        ticks.set_missed_tick_behavior(MissedTickBehavior::Burst);
        let (end, mut in_flight) = (Instant::now() + duration, JoinSet::new());
        let mut record = |outcome: Option<Duration>| match outcome {
            Some(duration) => result
                .latency
                .saturating_record(duration.as_micros() as u64),
            None => result.failed += 1,
        };
        while Instant::now() < end {
            tokio::select! {
                _ = ticks.tick() => {
                    let clients = self.clone();
                    in_flight.spawn(async move {
                        let sent_at = Instant::now();
                        let outcome = timeout(REQUEST_TIMEOUT, clients.send_request()).await;
                        matches!(outcome, Ok(Ok(true))).then(|| sent_at.elapsed())
                    });
                }
                Some(outcome) = in_flight.join_next() => record(outcome.ok().flatten()),
            }
        }
        while let Some(outcome) = in_flight.join_next().await {
            record(outcome.ok().flatten());
        }
        result
    }

    async fn send_request(&self) -> io::Result<bool> {
        let key = self
            .key
            .fetch_add(1, Ordering::Relaxed)
            .wrapping_add(1)
            .wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let request = Request::get(format!("/api?key={:016x}", key >> 11))
            .header("host", "service.internal")
            .header(
                "x-txn",
                format!(
                    "00000000-0000-0000-{:04x}-{:012x}",
                    key >> 48,
                    key & 0xffff_ffff_ffff
                ),
            )
            .header("x-lane", "lane-0")
            .header("x-remaining-ms", REQUEST_TIMEOUT.as_millis() as u64)
            .body(Empty::new())
            .map_err(io::Error::other)?;
        let mut sender = self.sender().await?;
        let response = sender
            .send_request(request)
            .await
            .map_err(io::Error::other)?;
        let success = response.status().is_success();
        response
            .into_body()
            .collect()
            .await
            .map_err(io::Error::other)?;
        self.idle
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(sender);
        Ok(success)
    }

    async fn sender(&self) -> io::Result<SendRequest<Empty<Bytes>>> {
        loop {
            let idle = self
                .idle
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .pop();
            let Some(mut sender) = idle else { break };
            if sender.ready().await.is_ok() {
                return Ok(sender);
            }
        }
        let stream = TcpStream::connect(self.addr).await?;
        stream.set_nodelay(true)?;
        let (mut sender, connection) = handshake(TokioIo::new(stream))
            .await
            .map_err(io::Error::other)?;
        tokio::spawn(connection);
        sender.ready().await.map_err(io::Error::other)?;
        Ok(sender)
    }
}
