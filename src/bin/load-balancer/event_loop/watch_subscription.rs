//! The node's one watch on the endpoint list: whether it is open, and when it is reopened.

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

/// Pause before a failed watch is reopened.
const REOPEN_DELAY: Duration = Duration::from_millis(500);
/// The same after a rejected list, which costs both sides the transfer of a list each time.
const REOPEN_DELAY_AFTER_REJECTED_LIST: Duration = Duration::from_millis(2_500);

enum WatchState {
    Closed,
    /// Open or being opened.
    Open {
        _task: AbortOnDrop,
    },
    /// To be reopened when the timer expires.
    Waiting(TimerKey),
}

/// The watch and what has to outlive it.
pub struct WatchSubscription {
    address: SocketAddr,
    /// Sockets reserved for watches.
    sockets: Rc<Budget>,
    mode: DiscoveryMode,
    /// The highest revision that was received.
    revision: u64,
    max_list_bytes: usize,
    /// Why the last watch ended; empty after a list. A failure that repeats is logged once.
    last_failure: String,
    /// The number of the latest watch, from 1.
    number: u64,
    state: WatchState,
    messages: mpsc::UnboundedSender<Message>,
}

impl WatchSubscription {
    /// A subscription whose watch is closed.
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

    /// Whether lists are pushed or polled.
    pub fn mode(&self) -> DiscoveryMode {
        self.mode
    }

    /// Sets the revision of the list that the node starts with.
    pub fn start_from(&mut self, revision: u64) {
        self.revision = revision;
    }

    /// Sets discovery's address for the next watch.
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

    /// Opens a watch in place of the previous one.
    pub fn open(&mut self, timers: &mut Timers) {
        if let WatchState::Waiting(timer) = std::mem::replace(&mut self.state, WatchState::Closed) {
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

    /// Opens a watch after the timer to do so has expired.
    pub fn reopen(&mut self, timers: &mut Timers) {
        self.state = WatchState::Closed;
        self.open(timers);
    }

    /// Records a received list and returns whether it is older than one received before.
    pub fn list_received(&mut self, list: &EndpointList) -> bool {
        self.last_failure.clear();
        let Some(revision) = list.revision else {
            return false;
        };
        if revision < self.revision {
            crate::log::line(format_args!(
                "discovery: a list of revision {revision} is older than {}: it takes nothing back",
                self.revision
            ));
            return true;
        }
        self.revision = revision;
        false
    }

    /// Logs the end of the watch, unless the last one ended alike.
    pub fn log_failure(&mut self, failure: &WatchFailure, listed_servers: usize) {
        let reason = failure.error.to_string();
        if self.last_failure != reason {
            let revision = self.revision;
            crate::log::line(format_args!(
                "discovery: {reason}; \
                 the list of {listed_servers} servers at revision {revision} stands"
            ));
            self.last_failure = reason;
        }
    }

    /// Reopens the watch that has ended, now or later.
    pub fn reopen_after(&mut self, failure: &WatchFailure, timers: &mut Timers) {
        self.state = WatchState::Closed;
        match self.mode {
            // The balancer polls by itself, but knows nothing of a call after a change of address: its
            // next one may be late (test `told::a_call_of_sighup_that_hangs_is_followed_by_another_in_time`).
            DiscoveryMode::Poll => {
                let next_call = failure.last_heard + Duration::from_micros(DISCOVERY_CALL_INTERVAL);
                self.state = WatchState::Waiting(timers.set_at(next_call, Timer::ReopenWatch));
            }
            // The time-out was pause enough: with another one the next list could come too late (test
            // `discovery::a_watch_that_falls_silent_anywhere_is_replaced_before_its_news_count`).
            DiscoveryMode::Push if failure.error.is_timeout() => self.open(timers),
            DiscoveryMode::Push => {
                let delay = if failure.error.is_list_rejected() {
                    REOPEN_DELAY_AFTER_REJECTED_LIST
                } else {
                    REOPEN_DELAY
                };
                self.state = WatchState::Waiting(timers.set_after(delay, Timer::ReopenWatch));
            }
        }
    }
}
