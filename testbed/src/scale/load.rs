//! Owns the clients of a scale run: requests at an even pace over kept connections, and how long their answers took.

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

/// A client waits so long.
const DEADLINE: Duration = Duration::from_secs(2);

/// What a spell of load showed.
#[derive(Debug)]
pub struct Spell {
    /// Times from the sending of a request until all of its answer was there, in microseconds.
    pub latency: Histogram<u64>,
    /// Requests without an answer of 200.
    pub unserved: u64,
}

impl Spell {
    /// Requests in all.
    pub fn requests(&self) -> u64 {
        self.latency.len() + self.unserved
    }

    /// A quantile in milliseconds.
    pub fn ms(&self, quantile: f64) -> f64 {
        self.latency.value_at_quantile(quantile) as f64 / 1e3
    }
}

/// Clients that keep their connections from spell to spell; each request has a key of its own.
pub struct Clients {
    addr: SocketAddr,
    idle: Mutex<Vec<SendRequest<Empty<Bytes>>>>,
    key: AtomicU64,
}

impl Clients {
    /// Clients of an address.
    pub fn new(addr: SocketAddr) -> Arc<Clients> {
        Arc::new(Clients {
            addr,
            idle: Mutex::default(),
            key: AtomicU64::new(0),
        })
    }

    /// Sends so many requests a second for a while, and waits for their answers.
    pub async fn spell(self: &Arc<Self>, a_second: f64, span: Duration) -> Spell {
        let mut spell = Spell {
            latency: latencies(),
            unserved: 0,
        };
        let mut ticks = interval(Duration::from_secs_f64(1.0 / a_second));
        ticks.set_missed_tick_behavior(MissedTickBehavior::Burst);
        let (end, mut out) = (Instant::now() + span, JoinSet::new());
        let mut take = |done: Option<Duration>| match done {
            Some(span) => spell.latency.saturating_record(span.as_micros() as u64),
            None => spell.unserved += 1,
        };
        while Instant::now() < end {
            tokio::select! {
                _ = ticks.tick() => {
                    let clients = self.clone();
                    out.spawn(async move {
                        let began = Instant::now();
                        let done = timeout(DEADLINE, clients.one()).await;
                        matches!(done, Ok(Ok(true))).then(|| began.elapsed())
                    });
                }
                Some(done) = out.join_next() => take(done.ok().flatten()),
            }
        }
        while let Some(done) = out.join_next().await {
            take(done.ok().flatten());
        }
        spell
    }

    async fn one(&self) -> io::Result<bool> {
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
            .header("x-remaining-ms", DEADLINE.as_millis() as u64)
            .body(Empty::new())
            .map_err(io::Error::other)?;
        let mut sender = self.sender().await?;
        let answer = sender
            .send_request(request)
            .await
            .map_err(io::Error::other)?;
        let served = answer.status().is_success();
        answer
            .into_body()
            .collect()
            .await
            .map_err(io::Error::other)?;
        self.idle
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(sender);
        Ok(served)
    }

    async fn sender(&self) -> io::Result<SendRequest<Empty<Bytes>>> {
        loop {
            let kept = self
                .idle
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .pop();
            let Some(mut sender) = kept else { break };
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
