//! The control plane of the load balancer: membership of the fleet's agents, consensus among the voters, and the
//! supervision of each agent's node.
//!
//! [`membership`], [`consensus`], [`lease`], [`coordinator`] and [`supervisor`] are state machines without I/O: they
//! take events and the current time, and return actions. [`runtime`] carries out the actions on tokio. Nothing here
//! handles client requests, and the node does not depend on this crate.
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

/// A point on the caller's monotonic clock, or a duration, in microseconds.
pub type Micros = u64;

/// Converts a duration to microseconds.
pub fn micros(duration: std::time::Duration) -> Micros {
    duration.as_micros() as Micros
}
