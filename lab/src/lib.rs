//! The world that woodgap nodes are tried in: scenarios, a seeded world without I/O, hosts that drive
//! it, and a referee that follows every request to its one final answer.
//!
//! The arrows go one way: `host` drives [`world`] and tells [`referee`], [`report`] reads what both
//! say. The node knows nothing of any of this.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod host;
pub mod referee;
pub mod report;
pub mod scenario;
pub mod world;
