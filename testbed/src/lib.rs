//! A testbed for load-balancer nodes: scenario files, a seeded simulated world without I/O, two hosts that
//! drive it, and an invariant checker that follows every request to its final response.
//!
//! Dependencies go one way: [`runtime`] (real processes in real time) and [`sim`] (the decisions in virtual
//! time) drive [`world`] and report what happened to [`checker`]. [`report`] reads the results of both. The
//! load balancer does not depend on the testbed.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod agent_harness;
pub mod bench;
pub mod checker;
pub mod deployment;
pub mod experiment;
pub mod outcome;
pub mod policy;
pub mod report;
pub mod runtime;
pub mod scale;
pub mod scenario;
pub mod sim;
pub mod slow_start;
pub mod wire;
pub mod world;
