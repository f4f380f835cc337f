//! I/O of metrics: scrapes this agent's node each second, queries other agents while this one holds the aggregation or
//! the alerting role, and gets the fleet's metrics for operators.

use std::cell::Cell;
use std::rc::Rc;

use hyper::Method;
use tokio::sync::oneshot;
use tracing::warn;

use super::coordinator_host::wall_ms;
use super::node_scrape::parse_page;
use super::{http, AgentHost, HostEvent};
use crate::config::Config;
use crate::coordinator::CoordinatorEvent;
use crate::lease::Role;
use crate::membership::{CallMessage, Name};
use crate::metrics::{
    AddressedQuery, AlarmEvaluator, FleetMetrics, FleetMetricsReport, MetricsAnswer, MetricsQuery,
    NodeMetricsCollector,
};
use crate::Micros;

/// Interval at which the node is scraped, other agents are queried, and alarms are evaluated.
const TICK: Micros = 1_000_000;
/// Maximum number of times that an operator's request is forwarded: to a voter, and then to the holder of the role.
const MAX_HOPS: u8 = 2;

/// Metrics of this agent's node, and those of the fleet while the agent holds a role that needs them.
pub struct MetricsHost {
    collector: NodeMetricsCollector,
    fleet: FleetMetrics,
    alarms: AlarmEvaluator,
    /// Fencing token of the alerting role at the last evaluation.
    alerting_token: u64,
    next_tick: Micros,
}

/// A role that needs the fleet's metrics, and its fencing token.
#[derive(Clone, Copy)]
struct ActiveRole {
    role: Role,
    token: u64,
}

impl MetricsHost {
    /// Creates a host without metrics, whose first tick is due now.
    pub fn new(config: &Config, now: Micros) -> MetricsHost {
        MetricsHost {
            collector: NodeMetricsCollector::new(now),
            fleet: FleetMetrics::default(),
            alarms: AlarmEvaluator::new(config.alarms),
            alerting_token: 0,
            next_tick: now,
        }
    }

    /// When the next tick is due.
    pub fn next_wake(&self) -> Micros {
        self.next_tick
    }

    /// Records that this agent has started its node.
    pub fn record_node_start(&mut self, now: Micros) {
        self.collector.record_start(now);
    }
}

impl AgentHost {
    /// Records the metrics page with which the node has answered a scrape.
    pub(super) fn on_node_metrics(&mut self, page: &str) {
        match parse_page(page) {
            Some(reading) => self.metrics.collector.record(self.clock.now(), &reading),
            None => warn!("scrape skipped: the node's metrics page can't be parsed or lacks the counters of requests"),
        }
    }

    /// Scrapes the node, and does the work of the metrics roles that this agent holds.
    pub(super) fn on_metrics_tick(&mut self) {
        let now = self.clock.now();
        self.metrics.next_tick = now + TICK;
        self.scrape_node();
        let aggregation = self.active_role(Role::MetricsAggregation);
        let alerting = self.active_role(Role::Alerting);
        let Some(active) = aggregation.or(alerting) else {
            return;
        };
        self.query_agents(now, active);
        if let Some(alerting) = alerting {
            self.evaluate_alarms(now, alerting.token);
        }
    }

    /// Requests the metrics page of the node if its process has been ready.
    fn scrape_node(&self) {
        let Some(node) = &self.config.node else {
            return;
        };
        if !self.node_state.has_been_ready() {
            return;
        }
        let (addr, events) = (node.operator_addr, self.events.clone());
        tokio::task::spawn_local(async move {
            // A node that does not answer is handled by the supervisor.
            if let Ok(response) = http::call(addr, Method::GET, "/status/metrics").await {
                if response.status == 200 {
                    let event = HostEvent::NodeMetricsReceived(response.body);
                    let _ = events.send(event).await;
                }
            }
        });
    }

    /// Queries the agents that are due. If this agent holds both roles, the queries name the aggregation role.
    fn query_agents(&mut self, now: Micros, active: ActiveRole) {
        let present: Vec<Name> = self
            .membership
            .view()
            .present()
            .map(|entry| entry.identity.name.clone())
            .collect();
        let queries = self
            .metrics
            .fleet
            .next_queries(now, active.role, active.token, &present);
        for AddressedQuery { to, query } in queries {
            if to == self.config.name {
                let answer = self.answer_metrics_query(&query);
                self.metrics.fleet.record_answer(now, &to, answer);
                continue;
            }
            let from = to.clone();
            self.call(&to, CallMessage::QueryMetrics(query), move |message| {
                match message {
                    Some(CallMessage::NodeMetrics(answer)) => {
                        Some(HostEvent::MetricsAnswered { from, answer })
                    }
                    // No valid answer: the query is repeated later.
                    _ => None,
                }
            });
        }
    }

    /// Evaluates the alarms and passes the active ones to the coordinator, which raises and ends them in the replicated
    /// log. Under a new fencing token, the alarms that are active in the log are taken over first.
    fn evaluate_alarms(&mut self, now: Micros, token: u64) {
        let MetricsHost {
            alarms,
            fleet,
            alerting_token,
            ..
        } = &mut self.metrics;
        if *alerting_token != token {
            *alerting_token = token;
            alarms.take_over(&self.coordinator.core.state().alarms);
        }
        let active = alarms.evaluate(now, fleet, wall_ms()).clone();
        self.coordinate(CoordinatorEvent::AlarmsObserved(active));
    }

    /// The role with its fencing token if this agent may act in it now, that is, holds an unexpired lease.
    fn active_role(&self, role: Role) -> Option<ActiveRole> {
        let token = self.coordinator.core.active_token(self.clock.now(), role)?;
        Some(ActiveRole { role, token })
    }

    /// Records another agent's answer to a query.
    pub(super) fn on_metrics_answer(&mut self, from: &Name, answer: MetricsAnswer) {
        let now = self.clock.now();
        self.metrics.fleet.record_answer(now, from, answer);
    }

    /// Answers a query of the metrics of this agent's node.
    pub(super) fn answer_metrics_query(&mut self, query: &MetricsQuery) -> MetricsAnswer {
        let cordoned = self.coordinator.cordoned_locally();
        let now = self.clock.now();
        self.metrics
            .collector
            .answer(now, query, self.process, cordoned)
    }

    /// Answers an operator of this agent who requests the fleet's metrics.
    pub(super) fn on_fleet_metrics_requested(
        &mut self,
        answer: oneshot::Sender<Option<Box<FleetMetricsReport>>>,
    ) {
        self.find_fleet_metrics(0, move |report| drop(answer.send(report)));
    }

    /// Answers another agent that requests the fleet's metrics for its operators. `hops` is the number of times that
    /// the request has been forwarded.
    pub(super) fn on_fleet_metrics_called(&mut self, hops: u8, answer: oneshot::Sender<Vec<u8>>) {
        let fleet = self.membership.fleet_id();
        self.find_fleet_metrics(hops, move |report| {
            drop(answer.send(CallMessage::FleetMetrics(report).encode(fleet)));
        });
    }

    /// The fleet's metrics, if this agent holds the aggregation role.
    fn own_fleet_metrics(&mut self) -> Option<Box<FleetMetricsReport>> {
        self.active_role(Role::MetricsAggregation)?;
        let now = self.clock.now();
        let holder = self.config.name.clone();
        Some(Box::new(self.metrics.fleet.report(now, holder)))
    }

    /// Passes the fleet's metrics to `answer`: this agent's own if it holds the aggregation role, otherwise those from
    /// the role's holder or from a voter that may know the holder.
    fn find_fleet_metrics<F>(&mut self, hops: u8, answer: F)
    where
        F: FnOnce(Option<Box<FleetMetricsReport>>) + 'static,
    {
        let own = self.own_fleet_metrics();
        if own.is_some() || hops >= MAX_HOPS {
            return answer(own);
        }
        let Some(to) = self.coordinator.core.agent_to_ask(Role::MetricsAggregation) else {
            return answer(None);
        };
        // `answer` is called once: when the call ends, or below if the call could not be made.
        let answer = Rc::new(Cell::new(Some(answer)));
        let answer_later = answer.clone();
        let request = CallMessage::QueryFleetMetrics(hops + 1);
        let is_known = self.call(&to, request, move |message| {
            let report = match message {
                Some(CallMessage::FleetMetrics(report)) => report,
                _ => None,
            };
            if let Some(answer) = answer_later.take() {
                answer(report);
            }
            None
        });
        if !is_known {
            if let Some(answer) = answer.take() {
                answer(None);
            }
        }
    }
}
