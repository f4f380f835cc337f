//! The node's watch on the endpoint list, one at a time: whether it is open, and when it is reopened.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use load_balancer::{DiscoveryMode, DISCOVERY_CALL_INTERVAL};
use tokio::sync::mpsc;

use super::messages::{Message, WatchMessage};
use super::timers::{Timer, TimerKey, Timers};
use crate::discovery::endpoint_list::{max_list_bytes, EndpointList};
use crate::discovery::{
    watch, WatchFailure, WatchOptions, POLL_FIRST_ITEM_TIMEOUT, PUSH_FIRST_ITEM_TIMEOUT,
};
use crate::task::{AbortOnDrop, Budget};

/// Delay before a failed watch is reopened.
const REOPEN_DELAY: Duration = Duration::from_millis(500);
/// Delay before a watch is reopened after a rejected list. Longer, as the same list is likely to be sent again,
/// and each transfer costs discovery and the node a complete list.
const REOPEN_DELAY_AFTER_REJECTED_LIST: Duration = Duration::from_millis(2_500);

enum WatchState {
    Closed,
    /// Open or being opened; dropping the task closes the watch.
    Open {
        _task: AbortOnDrop,
    },
    /// Reopened when this timer expires.
    ReopenScheduled(TimerKey),
}

/// The current watch, and the state that is kept from one watch to the next.
pub struct WatchSubscription {
    /// Discovery's address.
    address: SocketAddr,
    /// Sockets reserved for watches.
    sockets: Rc<Budget>,
    mode: DiscoveryMode,
    /// The highest revision received so far; the next watch requests the changes after it.
    revision: u64,
    /// Longest text of a list, in bytes.
    max_list_bytes: usize,
    /// The reason why the last watch ended, so that a repeated failure is logged once; empty after a list was
    /// received.
    last_failure: String,
    /// The number of the latest watch, counted from 1.
    number: u64,
    state: WatchState,
    messages: mpsc::UnboundedSender<Message>,
}

impl WatchSubscription {
    /// Creates a subscription without an open watch.
    pub fn new(
        config: &crate::config::Config,
        sockets: Rc<Budget>,
        messages: mpsc::UnboundedSender<Message>,
    ) -> Self {
        WatchSubscription {
            address: config.discovery,
            sockets,
            mode: config.runtime.balancer.settings.discovery_mode,
            revision: 0,
            max_list_bytes: max_list_bytes(config.memory_limit),
            last_failure: String::new(),
            number: 0,
            state: WatchState::Closed,
            messages,
        }
    }

    /// Whether lists are pushed or polled, by the settings.
    pub fn mode(&self) -> DiscoveryMode {
        self.mode
    }

    /// Sets the revision of the list that the node starts with.
    pub fn start_from(&mut self, revision: u64) {
        self.revision = revision;
    }

    /// Sets discovery's address, from the next watch on.
    pub fn set_address(&mut self, address: SocketAddr) {
        self.address = address;
    }

    /// Whether a watch is open or being opened.
    pub fn is_open(&self) -> bool {
        matches!(self.state, WatchState::Open { .. })
    }

    /// Whether this is the number of the latest watch.
    pub fn is_current(&self, watch: u64) -> bool {
        watch == self.number
    }

    /// Opens a new watch, which replaces an open one or a scheduled reopening.
    pub fn open(&mut self, timers: &mut Timers) {
        if let WatchState::ReopenScheduled(timer) =
            std::mem::replace(&mut self.state, WatchState::Closed)
        {
            timers.cancel(&timer);
        }
        self.number += 1;
        let options = WatchOptions {
            address: self.address,
            revision: self.revision,
            first_item_timeout: match self.mode {
                DiscoveryMode::Push => PUSH_FIRST_ITEM_TIMEOUT,
                DiscoveryMode::Poll => POLL_FIRST_ITEM_TIMEOUT,
            },
            max_list_bytes: self.max_list_bytes,
        };
        let (number, messages) = (self.number, self.messages.clone());
        let report = move |event| {
            let message = WatchMessage {
                watch: number,
                event,
            };
            let _ = messages.send(Message::Watch(message));
        };
        let task = AbortOnDrop::spawn(watch(options, self.sockets.clone(), report));
        self.state = WatchState::Open { _task: task };
    }

    /// Opens a new watch when the timer [`Timer::ReopenWatch`] has expired.
    pub fn reopen(&mut self, timers: &mut Timers) {
        self.state = WatchState::Closed;
        self.open(timers);
    }

    /// Records a received list. Returns whether it is outdated: older than one that was received before.
    pub fn list_received(&mut self, list: &EndpointList) -> bool {
        self.last_failure.clear();
        let Some(revision) = list.revision else {
            return false;
        };
        if revision < self.revision {
            crate::log::line(format_args!(
                "discovery: a list of revision {revision} is older than {}: it adds new servers, \
                 but takes nothing back from the current list",
                self.revision
            ));
            return true;
        }
        self.revision = revision;
        false
    }

    /// Logs why the watch ended, unless the previous one ended for the same reason.
    pub fn log_failure(&mut self, failure: &WatchFailure, listed_servers: usize) {
        let reason = failure.error.to_string();
        if self.last_failure != reason {
            let revision = self.revision;
            crate::log::line(format_args!(
                "discovery: {reason}; \
                 the list of {listed_servers} servers at revision {revision} stands, and the watch is reopened"
            ));
            self.last_failure = reason;
        }
    }

    /// Reopens a watch that has ended, at once or after a delay.
    pub fn reopen_after(&mut self, failure: &WatchFailure, timers: &mut Timers) {
        self.state = WatchState::Closed;
        match self.mode {
            // The balancer schedules its own polls, but does not know of the call after a change of address, so
            // its next poll may be too late (test
            // `discovery_outages::a_hung_discovery_call_of_sighup_is_followed_by_another_in_time`).
            DiscoveryMode::Poll => {
                let next_call = failure.last_heard + Duration::from_micros(DISCOVERY_CALL_INTERVAL);
                self.state =
                    WatchState::ReopenScheduled(timers.set_at(next_call, Timer::ReopenWatch));
            }
            // After a timeout there is no further delay: with one, the next list could arrive too late (test
            // `discovery::a_watch_that_falls_silent_is_replaced_within_the_update_deadline`).
            DiscoveryMode::Push if failure.error.is_timeout() => self.open(timers),
            DiscoveryMode::Push => {
                let delay = if failure.error.is_list_rejected() {
                    REOPEN_DELAY_AFTER_REJECTED_LIST
                } else {
                    REOPEN_DELAY
                };
                self.state =
                    WatchState::ReopenScheduled(timers.set_after(delay, Timer::ReopenWatch));
            }
        }
    }
}
