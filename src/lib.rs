//! The decisions of an HTTP load balancer that runs as a fleet of independent nodes.
//!
//! A host feeds [`balancer::Balancer`] the events of one node and carries out the actions it
//! returns. The library performs no I/O and reads no clock, so the same events, settings and seed
//! always give the same actions.
//!
//! - [`api`]: identifiers, settings, events (inputs) and actions (outputs)
//! - [`balancer`]: the decisions, one module per rule
//! - [`settings`]: parses and reloads the deployment's settings, by their names on the wire
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod api;
pub mod balancer;
pub mod settings;

pub use api::*;
pub use balancer::{Balancer, DISCOVERY_CALL_INTERVAL};

#[cfg(doctest)]
#[doc = include_str!("../README.md")]
struct ReadmeExample;
