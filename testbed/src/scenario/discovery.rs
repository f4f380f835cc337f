//! Discovery in a scenario: its delays, how nodes receive its list, and the kinds of outage.

use serde::Deserialize;

use super::values::{Seconds, ValueRange};
use super::FaultKind;

/// Delays between a change of a server and the moment a node learns of it.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Discovery {
    /// How nodes receive changes of the list.
    pub mode: Mode,
    /// Seconds until a process that has ended or drains is noticed.
    #[serde(rename = "notice_s")]
    pub removal_delay_s: ValueRange,
    /// Seconds until a machine that no longer responds is noticed.
    #[serde(rename = "silent_notice_s")]
    pub silent_removal_delay_s: ValueRange,
    /// Seconds until a process that has started is noticed.
    #[serde(rename = "add_s")]
    pub add_delay_s: ValueRange,
    /// Milliseconds between versions of the list.
    #[serde(rename = "period_ms")]
    pub publish_interval_ms: ValueRange,
    /// Milliseconds that a version takes to reach a node.
    #[serde(rename = "spread_ms")]
    pub propagation_ms: ValueRange,
    /// Seconds that an overloaded discovery service adds to the delay of every change; 0 if it is not overloaded.
    #[serde(rename = "overbooked_s")]
    pub overload_delay_s: Seconds,
}

impl Default for Discovery {
    fn default() -> Self {
        Discovery {
            mode: Mode::default(),
            removal_delay_s: ValueRange::new(0.47, 2.8),
            silent_removal_delay_s: ValueRange::new(5.7, 13.0),
            add_delay_s: ValueRange::new(0.25, 1.2),
            publish_interval_ms: ValueRange::new(330.0, 1300.0),
            propagation_ms: ValueRange::new(17.0, 110.0),
            overload_delay_s: Seconds(0.0),
        }
    }
}

/// How nodes receive changes of the list.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum Mode {
    /// Every node receives them.
    #[default]
    Push,
    /// Only nodes that have subscribed receive them.
    #[serde(rename = "ask")]
    Poll,
}

impl Mode {
    /// The value of the setting `registry-mode`.
    pub fn as_str(self) -> &'static str {
        match self {
            Mode::Push => "push",
            Mode::Poll => "ask",
        }
    }
}

/// A kind of outage of discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outage {
    /// It does not respond. Calls made meanwhile are answered at its return.
    Silent,
    /// Open connections and calls are never answered. Only calls made after its return are.
    Hangs,
    /// Open and new connections are reset.
    Resets,
    /// Open watches end, and calls are answered with 503.
    Errors,
}

impl FaultKind {
    /// The outage of discovery that this kind of fault causes, if it causes one.
    pub fn outage(self) -> Option<Outage> {
        match self {
            FaultKind::DiscoveryAway => Some(Outage::Silent),
            FaultKind::DiscoveryHangs => Some(Outage::Hangs),
            FaultKind::DiscoveryResets => Some(Outage::Resets),
            FaultKind::DiscoveryErrors => Some(Outage::Errors),
            _ => None,
        }
    }
}
