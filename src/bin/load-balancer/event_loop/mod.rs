//! The task that owns the balancer: messages become its events, its actions are executed in order.
//!
//! The event loop decides nothing. [`messages`] lists what is reported to it, `actions` executes what the
//! balancer decides, `requests` and `watch_events` handle the messages that need more than a line.

use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use load_balancer::{Balancer, DiscoveryMode, Event, UpdateKind};
use tokio::sync::mpsc;

use crate::config::Config;
use crate::cordon::{CordonChange, CordonedServers};
use crate::discovery::endpoint_list::EndpointList;
use crate::metrics::{Metrics, LOG_INTERVAL};
use crate::peers::Peers;
use crate::servers::{Servers, IDLE_CHECK_INTERVAL};
use crate::task::Budget;

mod actions;
mod clock;
mod messages;
mod request_table;
mod requests;
mod timers;
mod watch_events;
mod watch_subscription;

use clock::Clock;
pub use messages::*;
use request_table::RequestTable;
use timers::{Timer, Timers};
use watch_subscription::WatchSubscription;

/// Interval between two reads of the file of cordoned servers. Another process may have changed it,
/// and this one has to follow within the time allowed for draining a server.
const REREAD_CORDONS_INTERVAL: Duration = Duration::from_millis(100);

/// Owns the balancer and all that its actions need.
pub struct EventLoop {
    balancer: Balancer,
    clock: Clock,
    requests: RequestTable,
    timers: Timers,
    /// Events that wait for the balancer.
    events: VecDeque<Event>,
    servers: Rc<Servers>,
    peers: Option<Rc<Peers>>,
    metrics: Rc<Metrics>,
    subscription: WatchSubscription,
    max_attempts: usize,
    /// Sends messages to this event loop.
    messages: mpsc::UnboundedSender<Message>,
    /// `None` where the operators' interface is off.
    cordoned: Option<CordonedServers>,
}

impl EventLoop {
    /// An event loop that has not started; `messages` is the sender of its own channel.
    pub fn new(
        config: &Config,
        servers: Rc<Servers>,
        peers: Option<Rc<Peers>>,
        metrics: Rc<Metrics>,
        watch_sockets: Rc<Budget>,
        messages: mpsc::UnboundedSender<Message>,
    ) -> Self {
        let settings = &config.runtime.balancer.settings;
        EventLoop {
            clock: Clock::start(),
            balancer: Balancer::new(settings.clone(), config.seed),
            requests: RequestTable::default(),
            timers: Timers::default(),
            events: VecDeque::new(),
            servers,
            peers,
            metrics,
            subscription: WatchSubscription::new(config, watch_sockets, messages.clone()),
            max_attempts: settings.max_attempts as usize,
            messages,
            cordoned: None,
        }
    }

    /// Starts the balancer with the endpoint list of the configuration and the cordoned servers.
    pub fn start(&mut self, known: EndpointList, cordoned: Option<CordonedServers>) {
        if let Some(cordoned) = &cordoned {
            let changes = cordoned.ids().map(|id| CordonChange {
                server_id: id.clone(),
                cordoned: true,
            });
            self.apply_cordon_changes(changes.collect());
            self.timers
                .set_after(REREAD_CORDONS_INTERVAL, Timer::RereadCordons);
        }
        self.cordoned = cordoned;
        self.subscription.start_from(known.revision.unwrap_or(0));
        let (_, endpoints) = self.servers.apply(&known, false);
        drop(known);
        self.events.push_back(Event::EndpointUpdate {
            kind: UpdateKind::Cached,
            endpoints,
        });
        self.timers
            .set_after(IDLE_CHECK_INTERVAL, Timer::CloseIdleConnections);
        self.timers.set_after(LOG_INTERVAL, Timer::LogMetrics);
        if self.subscription.mode() == DiscoveryMode::Push {
            self.subscription.open(&mut self.timers);
        }
        self.process_events();
    }

    /// Handles messages and timers until all senders of messages are dropped.
    pub async fn run(mut self, mut messages: mpsc::UnboundedReceiver<Message>) {
        loop {
            tokio::select! {
                message = messages.recv() => match message {
                    Some(message) => self.handle_message(message),
                    None => return,
                },
                Some(timer) = self.timers.next_expired() => self.handle_timer(timer),
            }
            self.process_events();
        }
    }

    /// Passes the waiting events to the balancer and executes its actions, until no event waits.
    fn process_events(&mut self) {
        let mut actions = Vec::new();
        while let Some(event) = self.events.pop_front() {
            if let Event::AttemptEnded(result) = &event {
                self.metrics.attempt_ended(result.outcome);
            }
            self.balancer
                .on_event(self.clock.now(), event, &mut actions);
            for action in actions.drain(..) {
                self.execute(action);
            }
        }
    }

    fn handle_timer(&mut self, timer: Timer) {
        match timer {
            Timer::Balancer(timer) => self.events.push_back(Event::Timer(timer)),
            Timer::DeadlineBackstop(number) => self.deadline_backstop_expired(number),
            Timer::ReopenWatch => self.subscription.reopen(&mut self.timers),
            Timer::CloseIdleConnections => {
                self.servers.close_expired_idle();
                self.timers
                    .set_after(IDLE_CHECK_INTERVAL, Timer::CloseIdleConnections);
            }
            Timer::RereadCordons => {
                let changes = self
                    .cordoned
                    .as_mut()
                    .map(CordonedServers::reread)
                    .unwrap_or_default();
                self.apply_cordon_changes(changes);
                self.timers
                    .set_after(REREAD_CORDONS_INTERVAL, Timer::RereadCordons);
            }
            Timer::LogMetrics => {
                let line = self.metrics.log_line();
                crate::log::line(format_args!("{line}; {}", self.balancer.load_summary()));
                self.timers.set_after(LOG_INTERVAL, Timer::LogMetrics);
            }
        }
    }

    fn handle_message(&mut self, message: Message) {
        match message {
            Message::RequestArrived(request) => self.request_arrived(*request),
            Message::RequestComplete(message) => self.request_complete(&message),
            Message::ClientDisconnected(number) => self.client_disconnected(number),
            Message::AttemptEnded(message) => self.attempt_ended(message),
            Message::HealthCheckEnded(message) => self.health_check_ended(message),
            Message::Watch(message) => self.watch_event(message),
            Message::PeerDatagram(PeerDatagram { from, data }) => {
                self.events.push_back(Event::PeerMessage { from, data });
            }
            Message::SetCordon(message) => self.set_cordon(message),
            Message::CountAvoidedServers(CountAvoidedServers { reply }) => {
                let _ = reply.send(self.balancer.avoided_servers());
            }
            Message::SettingsChanged(settings) => {
                self.max_attempts = settings.max_attempts as usize;
                self.events.push_back(Event::Settings(settings));
            }
            Message::DiscoveryAddressChanged(address) => {
                self.subscription.set_address(address);
                // Whether or not the balancer asked for the watch, it ends with the old address.
                self.subscription.open(&mut self.timers);
            }
        }
    }

    fn set_cordon(&mut self, message: SetCordon) {
        let SetCordon {
            server_id,
            cordoned,
            reply,
        } = message;
        let result = self.persist_cordon(&server_id, cordoned);
        // The reply promises that nothing more is sent to a cordoned server.
        self.process_events();
        let _ = reply.send(result);
    }

    fn persist_cordon(&mut self, server_id: &str, cordoned: bool) -> CordonResult {
        let Some(cordoned_servers) = &mut self.cordoned else {
            return CordonResult::UnknownServer;
        };
        if !self.servers.was_listed(server_id) && !cordoned_servers.contains(server_id) {
            return CordonResult::UnknownServer;
        }
        match cordoned_servers.set(server_id, cordoned) {
            Ok(changes) => {
                self.apply_cordon_changes(changes);
                CordonResult::Done
            }
            Err(error) => {
                crate::log::line(format_args!("server {server_id} stays as it was: {error}"));
                CordonResult::NotPersisted(error)
            }
        }
    }

    fn apply_cordon_changes(&mut self, changes: Vec<CordonChange>) {
        for CordonChange {
            server_id,
            cordoned,
        } in changes
        {
            // The operations page names these log texts.
            let state = if cordoned { "left out" } else { "put back" };
            crate::log::line(format_args!("server {server_id} is {state}"));
            let server = self.servers.set_cordoned(&server_id, cordoned);
            self.events.push_back(Event::Cordon { server, cordoned });
        }
    }
}
