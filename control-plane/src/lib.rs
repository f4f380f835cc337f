//! The fleet plane: what the processes of a fleet know of each other, and the agent that runs a node.
//!
//! [`membership`], [`agreement`], [`duty`] and [`supervise`] are pure, as the node's decisions are: events and the time in, actions out.
//! [`host`] does their I/O on tokio. Nothing here is on the way of a request, and the node knows nothing of it.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod config;
pub mod consensus;
pub mod duty;
pub mod membership;
pub mod metrics;
pub mod runtime;
pub mod storage;
pub mod supervisor;

/// Microseconds on the caller's monotonic clock.
pub type Micros = u64;

/// A span as the pure rooms count time.
pub fn micros(span: std::time::Duration) -> Micros {
    span.as_micros() as Micros
}
