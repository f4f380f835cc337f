//! The task that owns the balancer. It turns messages from the node's other tasks into the balancer's events and
//! executes the balancer's actions in order.
//!
//! The event loop makes no load-balancing decisions. [`messages`] defines the messages, `actions` executes the
//! balancer's actions; `requests`, `watch_events` and `cordons` handle the messages that need more than a line.

use std::collections::VecDeque;
use std::rc::Rc;

use load_balancer::{Balancer, ClassId, DiscoveryMode, Event, Idempotency, Settings, UpdateKind};
use tokio::sync::mpsc;

use crate::config::Config;
use crate::cordon::CordonedServers;
use crate::discovery::endpoint_list::EndpointList;
use crate::metrics::{peak_resident_bytes, resident_bytes, Metrics, LOG_INTERVAL};
use crate::peers::Peers;
use crate::run_once::RunOnce;
use crate::servers::{Servers, IDLE_CHECK_INTERVAL};
use crate::task::Budget;

mod actions;
mod clock;
mod cordons;
mod messages;
mod request_log;
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

/// What the settings say of requests that run twice.
struct RepeatRules {
    /// Whether the requests of a class must not run twice, by class index.
    is_non_idempotent: Vec<bool>,
    /// Whether an attempt that ended as `Overloaded` may have run.
    overloaded_may_have_run: bool,
}

impl RepeatRules {
    fn of(settings: &Settings) -> RepeatRules {
        let is_non_idempotent = settings
            .classes
            .iter()
            .map(|class| class.idempotency == Idempotency::NonIdempotent)
            .collect();
        RepeatRules {
            is_non_idempotent,
            overloaded_may_have_run: settings.overloaded_may_have_run,
        }
    }

    /// Whether the requests of a class must not run twice.
    fn is_non_idempotent(&self, class: ClassId) -> bool {
        self.is_non_idempotent.get(class.0) == Some(&true)
    }
}

/// The balancer and everything that its actions need.
pub struct EventLoop {
    balancer: Balancer,
    clock: Clock,
    requests: RequestTable,
    timers: Timers,
    /// Events that the balancer has not processed yet.
    events: VecDeque<Event>,
    servers: Rc<Servers>,
    peers: Option<Rc<Peers>>,
    metrics: Rc<Metrics>,
    subscription: WatchSubscription,
    max_attempts: usize,
    /// The ids of non-idempotent requests that were passed on lately.
    run_once: RunOnce,
    repeat_rules: RepeatRules,
    /// Sends messages to this event loop.
    messages: mpsc::UnboundedSender<Message>,
    /// The cordoned servers; `None` if the operators' interface is off, as only operators cordon servers.
    cordons: Option<CordonedServers>,
}

impl EventLoop {
    /// Creates an event loop that is not started yet; `messages` is the sender of its own channel.
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
            run_once: RunOnce::unshared(),
            repeat_rules: RepeatRules::of(settings),
            messages,
            cordons: None,
        }
    }

    /// Starts the balancer with the endpoint list from the configuration file, the cordoned servers and the ids that other
    /// processes of the node have claimed.
    pub fn start(
        &mut self,
        cached_list: EndpointList,
        cordons: Option<CordonedServers>,
        run_once: RunOnce,
    ) {
        self.run_once = run_once;
        if let Some(cordons) = cordons {
            self.start_cordons(cordons);
        }
        self.subscription
            .start_from(cached_list.revision.unwrap_or(0));
        let (_, endpoints) = self.servers.apply(&cached_list, false);
        drop(cached_list);
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

    /// Passes the queued events to the balancer and executes its actions, until the queue is empty.
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
            Timer::RereadCordons => self.reread_cordons(),
            Timer::LogMetrics => self.log_metrics(),
        }
    }

    fn log_metrics(&mut self) {
        let line = self.metrics.log_line();
        crate::log::line(format_args!("{line}; {}", self.balancer.load_summary()));
        crate::log::line(format_args!(
            "memory: resident {} kB, peak {} kB, bodies {} kB, connections {} kB; {}",
            resident_bytes() / 1024,
            peak_resident_bytes() / 1024,
            self.servers.body_memory().used() / 1024,
            self.servers.connection_memory().used() / 1024,
            self.metrics.closed_connections_line(),
        ));
        self.timers.set_after(LOG_INTERVAL, Timer::LogMetrics);
    }

    fn handle_message(&mut self, message: Message) {
        match message {
            Message::RequestArrived(request) => self.request_arrived(*request),
            Message::RequestComplete(message) => self.request_complete(&message),
            Message::ClientDisconnected(message) => self.client_disconnected(&message),
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
            // Precedes any request that was parsed with the new settings: its class may have no index in the old
            // ones.
            Message::SettingsChanged(settings) => {
                self.max_attempts = settings.max_attempts as usize;
                self.repeat_rules = RepeatRules::of(&settings);
                self.events.push_back(Event::Settings(settings));
            }
            Message::DiscoveryAddressChanged(address) => {
                self.subscription.set_address(address);
                // The watch on the old address is replaced at once, without an action of the balancer. `open` also
                // cancels a scheduled reopening, which would replace the new watch by a second one (test
                // `discovery::sighup_replaces_a_pending_reopening_of_the_watch`).
                self.subscription.open(&mut self.timers);
            }
        }
    }
}
