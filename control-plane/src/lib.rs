//! The control plane: what the agents of a fleet know of each other, and the agent that supervises a node.
//!
//! [`membership`], [`consensus`], [`lease`], [`coordinator`] and [`supervisor`] are pure: events and the time in, actions
//! out. [`runtime`] does their I/O on tokio. Nothing here handles requests, and the node does not depend on it.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod config;
pub mod consensus;
pub mod coordinator;
pub mod lease;
pub mod membership;
pub mod metrics;
pub mod runtime;
pub mod storage;
pub mod supervisor;

/// Microseconds on the caller's monotonic clock.
pub type Micros = u64;

/// A duration in microseconds.
pub fn micros(span: std::time::Duration) -> Micros {
    span.as_micros() as Micros
}
