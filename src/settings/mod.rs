//! Parsing and reloading of the platform's settings, shared by all hosts of the balancer.
//!
//! Settings are pairs of a dotted path and a value, with times in microseconds. The simulator sends
//! them in this form in its `SPAWN` line; other hosts flatten a structured configuration to it.
//! [`keys`] lists the platform's names; the other modules and the hosts use the code's terms.

use crate::api::Settings;

mod error;
pub mod keys;
mod names;
mod pairs;
mod parse;
mod reload;

pub use error::SettingsError;
pub use names::{server_state, NameIds, Names};
pub use pairs::{finite, number, Pairs};
pub use parse::parse;
pub use reload::{reload, Reload, SettingsChange};

/// The balancer's settings and the names of their classes and tenants.
#[derive(Clone, Debug)]
pub struct NamedSettings {
    /// The settings of the balancer.
    pub settings: Settings,
    /// The names by which requests refer to the classes and tenants.
    pub names: Names,
}
