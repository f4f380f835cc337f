//! Duties that only one process holds: what is agreed about them, when a holder may act, when its duty may be given
//! on, and the fence at whoever is acted on. Pure: fed by agreed entries and time.

mod command;
pub mod desk;
mod fence;
mod holder;
mod keeper;
mod state;

pub use command::{Alarm, Change, Command, CommandId, Duty, Out, Outcome, What, Why, DUTIES};
pub use fence::{Fence, Stale};
pub use holder::Holder;
pub use keeper::{Candidate, Keeper};
use state::Context;
pub use state::{Held, Raised, State};

use std::time::Duration;

use crate::{micros, Micros};

/// A lease's length, and how far clocks may be apart in pace.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Lease {
    /// A holder may act for so long after it *asked* for what was then agreed.
    pub span: Duration,
    /// A second of one process may be up to `1 + drift` seconds of another.
    pub drift: f64,
}

impl Default for Lease {
    fn default() -> Self {
        Lease {
            span: Duration::from_secs(1),
            drift: 0.05,
        }
    }
}

impl Lease {
    /// How long a holder may act, by its own clock.
    pub fn held(&self) -> Micros {
        micros(self.span)
    }

    /// How long nobody else may be given the duty, by the clock of whoever gives it: the holder's clock may run
    /// slow and the giver's fast.
    pub fn kept(&self) -> Micros {
        (self.held() as f64 * (1.0 + self.drift) / (1.0 - self.drift).max(0.01)).ceil() as Micros
    }

    /// How often a holder asks again.
    pub fn renew_every(&self) -> Micros {
        self.held() / 3
    }
}
