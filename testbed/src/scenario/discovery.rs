//! Owns what a scenario says of discovery: how late it is, how nodes get its list, and the ways in which it
//! is out of reach.

use serde::Deserialize;

use super::values::{Seconds, Span};
use super::FaultKind;

/// The list of servers.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Discovery {
    /// How changes come to nodes.
    pub mode: Mode,
    /// Seconds until a process that ended or drains is on the list.
    pub notice_s: Span,
    /// Seconds until a machine that fell silent is.
    pub silent_notice_s: Span,
    /// Seconds until a process that started is.
    pub add_s: Span,
    /// Milliseconds between versions of the list.
    pub period_ms: Span,
    /// Milliseconds over which nodes hear of a version.
    pub spread_ms: Span,
    /// Versions late by this much more, in seconds: the service has too much to do.
    pub overbooked_s: Seconds,
}

impl Default for Discovery {
    fn default() -> Self {
        Discovery {
            mode: Mode::default(),
            notice_s: Span::new(0.47, 2.8),
            silent_notice_s: Span::new(5.7, 13.0),
            add_s: Span::new(0.25, 1.2),
            period_ms: Span::new(330.0, 1300.0),
            spread_ms: Span::new(17.0, 110.0),
            overbooked_s: Seconds(0.0),
        }
    }
}

/// How changes of the list come to nodes.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum Mode {
    /// Unasked.
    #[default]
    Push,
    /// To those that have asked.
    Ask,
}

impl Mode {
    /// The word of the settings.
    pub fn as_str(self) -> &'static str {
        match self {
            Mode::Push => "push",
            Mode::Ask => "ask",
        }
    }
}

/// A way in which discovery is out of reach.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outage {
    /// It says nothing; what was called meanwhile is answered at its return.
    Silent,
    /// What is open or called is never heard of again: only calls from its return on are answered.
    Hangs,
    /// Connections are reset, open ones and new ones.
    Resets,
    /// Open watches end, calls are answered 503.
    Errors,
}

impl FaultKind {
    /// The way in which discovery is out of reach, for the kinds of trouble that are of that.
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
