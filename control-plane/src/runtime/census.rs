//! Owns the figures' I/O: reads the own node each second, asks other agents while a duty wants it, and brings staff the
//! census from whoever holds it.

use std::rc::Rc;

use hyper::Method;
use prometheus_parse::{Scrape, Value};
use tokio::sync::oneshot;
use tracing::warn;

use super::{http, Host, Msg};
use crate::config::Config;
use crate::coordinator;
use crate::lease::Role;
use crate::membership::{CallMessage, Name};
use crate::metrics::{
    AddressedQuery, AlarmEvaluator, FleetMetrics, FleetMetricsReport, MetricsAnswer, MetricsQuery,
    NodeGauges, NodeMetricsCollector, NodeReading, RequestCounts,
};
use crate::Micros;

/// The node is read, and others are looked at, this often.
const BEAT: Micros = 1_000_000;
/// Agents that a question of staff's passes, at most: one that votes, and the holder.
const HOPS: u8 = 2;

/// One agent's figures, and the fleet's while it holds a duty that wants them.
pub struct CensusHost {
    meter: NodeMetricsCollector,
    census: FleetMetrics,
    watch: AlarmEvaluator,
    /// The token of the watch under which was last looked.
    watched: u64,
    next: Micros,
}

impl CensusHost {
    pub fn new(config: &Config, now: Micros) -> CensusHost {
        CensusHost {
            meter: NodeMetricsCollector::new(now),
            census: FleetMetrics::default(),
            watch: AlarmEvaluator::new(config.alarms),
            watched: 0,
            next: now,
        }
    }

    pub fn next_wake(&self) -> Micros {
        self.next
    }
}

/// What a node's page says; `None` where it is no such page.
fn reading(page: &str) -> Option<NodeReading> {
    let scrape = Scrape::parse(page.lines().map(|line| Ok(line.to_owned()))).ok()?;
    let sum = |name: &str| {
        let samples = scrape.samples.iter().filter(|sample| sample.metric == name);
        let values = samples.filter_map(|sample| match sample.value {
            Value::Counter(value) | Value::Gauge(value) | Value::Untyped(value) => Some(value),
            _ => None,
        });
        values
            .fold(None, |sum: Option<f64>, value| {
                Some(sum.unwrap_or(0.0) + value)
            })
            .map(|sum| sum as u64)
    };
    Some(NodeReading {
        counts: RequestCounts {
            served: sum("svc_succeeded_total")?,
            refused: sum("svc_declined_total")?,
            failed: sum("svc_aborted_total")?,
            forwards: sum("svc_forwards_total").unwrap_or(0),
        },
        gauges: NodeGauges {
            outstanding: sum("svc_outstanding").unwrap_or(0),
            discovered: sum("svc_discovered").unwrap_or(0),
            ejected: sum("svc_ejected").unwrap_or(0),
            list: sum("svc_discovered_digest").unwrap_or(0),
        },
    })
}

impl Host {
    /// This agent has started its node.
    pub(super) fn node_started(&mut self) {
        let now = self.clock.now();
        self.census.meter.record_start(now);
    }

    pub(super) fn node_read(&mut self, page: &str) {
        match reading(page) {
            Some(reading) => self.census.meter.record(self.clock.now(), &reading),
            None => warn!("the node's figures can't be read"),
        }
    }

    pub(super) fn census_beat(&mut self) {
        let now = self.clock.now();
        self.census.next = now + BEAT;
        if let Some(node) = self
            .config
            .node
            .as_ref()
            .filter(|_| self.node_state.has_been_ready())
        {
            let (addr, tx) = (node.operators, self.tx.clone());
            tokio::task::spawn_local(async move {
                // One that does not answer is the supervisor's matter.
                if let Ok((200, page)) = http::call(addr, Method::GET, "/status/metrics").await {
                    let _ = tx.send(Msg::NodePage(page)).await;
                }
            });
        }
        let (census, watch) = (
            self.holds(Role::MetricsAggregation),
            self.holds(Role::Alerting),
        );
        let Some((duty, token)) = census
            .map(|t| (Role::MetricsAggregation, t))
            .or(watch.map(|t| (Role::Alerting, t)))
        else {
            return;
        };
        let present: Vec<Name> = self
            .core
            .view()
            .present()
            .map(|entry| entry.identity.name.clone())
            .collect();
        for AddressedQuery { to: name, query } in
            self.census.census.due_queries(now, duty, token, &present)
        {
            if name == self.config.name {
                let tally = self.tally(&query);
                self.census.census.record_answer(now, &name, tally);
                continue;
            }
            let from = name.clone();
            self.call(
                &name,
                CallMessage::QueryMetrics(query),
                move |stream| match stream {
                    Some(CallMessage::NodeMetrics(tally)) => Some(Msg::Told(from, tally)),
                    // Not answered: it is asked again.
                    _ => None,
                },
            );
        }
        if let Some(token) = watch {
            if std::mem::replace(&mut self.census.watched, token) != token {
                self.census
                    .watch
                    .take_over(&self.coordinator.core.state().alarms);
            }
            let CensusHost { watch, census, .. } = &mut self.census;
            let alarms = watch
                .evaluate(now, census, super::coordinator_host::wall_ms())
                .clone();
            self.coordinate(coordinator::Event::AlarmsObserved(alarms));
        }
    }

    fn holds(&self, duty: Role) -> Option<u64> {
        self.coordinator.core.active_token(self.clock.now(), duty)
    }

    pub(super) fn told(&mut self, name: &Name, tally: MetricsAnswer) {
        self.census
            .census
            .record_answer(self.clock.now(), name, tally);
    }

    pub(super) fn tally(&mut self, look: &MetricsQuery) -> MetricsAnswer {
        let by_hand = self.coordinator.cordoned_locally();
        self.census
            .meter
            .answer(self.clock.now(), look, self.process, by_hand)
    }

    /// The census, if it is held here.
    fn own_census(&mut self) -> Option<Box<FleetMetricsReport>> {
        self.holds(Role::MetricsAggregation)?;
        Some(Box::new(
            self.census
                .census
                .report(self.clock.now(), self.config.name.clone()),
        ))
    }

    /// Staff ask for the census.
    pub(super) fn census_asked(
        &mut self,
        answer: oneshot::Sender<Option<Box<FleetMetricsReport>>>,
    ) {
        self.find_census(0, move |report| drop(answer.send(report)));
    }

    /// Another agent asks for its staff.
    pub(super) fn census_called(&mut self, hops: u8, answer: oneshot::Sender<Vec<u8>>) {
        let fleet = self.core.fleet_id();
        self.find_census(hops, move |report| {
            drop(answer.send(CallMessage::FleetMetrics(report).encode(fleet)))
        });
    }

    fn find_census<F>(&mut self, hops: u8, answer: F)
    where
        F: FnOnce(Option<Box<FleetMetricsReport>>) + 'static,
    {
        let own = self.own_census();
        if own.is_some() || hops >= HOPS {
            return answer(own);
        }
        let Some(to) = self.coordinator.core.agent_to_ask(Role::MetricsAggregation) else {
            return answer(None);
        };
        // Called once, whichever way it ends.
        let answer = Rc::new(std::cell::Cell::new(Some(answer)));
        let later = answer.clone();
        let calls = self.call(
            &to,
            CallMessage::QueryFleetMetrics(hops + 1),
            move |stream| {
                let report = match stream {
                    Some(CallMessage::FleetMetrics(report)) => report,
                    _ => None,
                };
                if let Some(answer) = later.take() {
                    answer(report);
                }
                None
            },
        );
        if !calls {
            if let Some(answer) = answer.take() {
                answer(None);
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_node_s_page_is_summed_over_its_classes_and_another_page_is_none() {
        let page = "# TYPE svc_succeeded_total counter\nsvc_succeeded_total{service=\"a\"} 5\n\
                    svc_succeeded_total{service=\"b\"} 7\n# TYPE svc_declined_total counter\n\
                    svc_declined_total{service=\"a\"} 2\n# TYPE svc_aborted_total counter\n\
                    svc_aborted_total{service=\"a\"} 1\n# TYPE svc_discovered gauge\nsvc_discovered 9\n";
        let read = reading(page).unwrap();
        assert_eq!(
            (read.counts.served, read.counts.refused, read.counts.failed),
            (12, 2, 1)
        );
        assert_eq!((read.gauges.discovered, read.gauges.list), (9, 0));
        for other in [
            "",
            "hello",
            "# TYPE svc_succeeded_total counter\nsvc_succeeded_total x\n",
        ] {
            assert_eq!(reading(other), None, "{other}");
        }
    }
}
