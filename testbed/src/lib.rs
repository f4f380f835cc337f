//! The world that woodgap nodes are tried in: scenarios, a seeded world without I/O, hosts that drive
//! it, and a referee that follows every request to its one final answer.
//!
//! The arrows go one way: [`runtime`] (real processes, real time) and [`sim`] (decisions inside, virtual time)
//! drive [`world`] and tell [`referee`]; [`report`] reads what both say. The node knows nothing of this.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod bench;
pub mod cold;
pub mod experiment;
pub mod outcome;
pub mod plane;
pub mod policy;
pub mod referee;
pub mod report;
pub mod runtime;
pub mod scale;
pub mod scenario;
pub mod sim;
pub mod terms;
pub mod wire;
pub mod world;
