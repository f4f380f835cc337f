//! The platform's settings and names, read alike by every host of the balancer.
//!
//! Settings are pairs of a dotted path and a value, with times in microseconds: as the `SPAWN` line
//! of the simulator holds them, or as a host flattens them from another form. [`keys`] lists the
//! platform's names; the other modules and hosts use the code's terms.

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
    /// The settings.
    pub settings: Settings,
    /// The names that requests use.
    pub names: Names,
}
