//! Evaluates each second which alarms are active, at the holder of the alerting role, from the fleet's metrics. The
//! replicated log ensures that each alarm is raised once.
//!
//! | alarm | raised | ends |
//! | --- | --- | --- |
//! | [`Alarm::Overload`] | more than `rejected_share` of the requests within `rejected_for` were rejected | at most half that share was rejected, or there were fewer than 5 requests per second |
//! | [`Alarm::DiscoveryMismatch`] | nodes have used different endpoint lists for `lists_differ_for` | all nodes whose metrics are fresh use one list |
//! | [`Alarm::RestartLoop`] | the node started `starts_per_minute` times within a minute | it did not start for a minute, or its agent is not present |
//!
//! A raised alarm keeps its first message and time until it ends. A new holder of the role starts with the alarms of
//! the previous one. Until its first evaluation, for up to a second, its coordinator may propose the end of all of
//! them, as it has observed none yet: they are then raised again (`docs/ROADMAP.md`).

use std::collections::BTreeMap;
use std::time::Duration;

use super::{FleetMetrics, NodeRow, SLOT_LENGTH};
use crate::lease::{Alarm, RaisedAlarm};
use crate::membership::Name;
use crate::{micros, Micros};

/// Below this many requests per second in the fleet, there is no overload alarm, whatever share is rejected.
const MIN_REQUEST_RATE: u64 = 5;
/// Microseconds in a second.
const SECOND: Micros = 1_000_000;
/// An active overload alarm ends when the rejected share is no higher than the threshold divided by this.
const OVERLOAD_HYSTERESIS: f64 = 2.0;
/// An active restart alarm ends when the node has started fewer times than this within a minute.
const MIN_STARTS_WHILE_ACTIVE: u64 = 1;
/// Most groups of nodes with the same endpoint list that an alarm names.
const MAX_GROUPS: usize = 4;
/// Most nodes of a group that an alarm names.
const MAX_NAMES_PER_GROUP: usize = 3;

/// Thresholds at which alarms are raised.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AlarmSettings {
    /// The overload alarm is raised when more than this share of the fleet's requests, 0 to 1, is rejected.
    pub rejected_share: f64,
    /// Time over which the rejected share is computed, both to raise and to end the overload alarm.
    pub rejected_for: Duration,
    /// How long nodes must have had different endpoint lists for the alarm to be raised.
    pub lists_differ_for: Duration,
    /// Number of starts of a node within a minute at which its alarm is raised.
    pub starts_per_minute: u64,
}

impl Default for AlarmSettings {
    fn default() -> Self {
        AlarmSettings {
            rejected_share: 0.05,
            rejected_for: Duration::from_secs(10),
            lists_differ_for: Duration::from_secs(15),
            starts_per_minute: 3,
        }
    }
}

/// Nodes with the same endpoint list.
struct ListGroup {
    servers: u64,
    nodes: Vec<Name>,
}

impl ListGroup {
    fn describe(&self) -> String {
        let named: Vec<&str> = self
            .nodes
            .iter()
            .take(MAX_NAMES_PER_GROUP)
            .map(Name::as_str)
            .collect();
        let unnamed = self.nodes.len() - named.len();
        let more = if unnamed > 0 {
            format!(" and {unnamed} more")
        } else {
            String::new()
        };
        format!("{}{more}: {} servers", named.join(", "), self.servers)
    }
}

/// Evaluates the alarms at the holder of the alerting role.
#[derive(Debug)]
pub struct AlarmEvaluator {
    settings: AlarmSettings,
    active: BTreeMap<Alarm, RaisedAlarm>,
    lists_differ_since: Option<Micros>,
}

impl AlarmEvaluator {
    /// Creates an evaluator without active alarms.
    pub fn new(settings: AlarmSettings) -> AlarmEvaluator {
        AlarmEvaluator {
            settings,
            active: BTreeMap::new(),
            lists_differ_since: None,
        }
    }

    /// Takes over from another holder: its alarms remain active until this evaluator finds that their conditions ended.
    pub fn take_over(&mut self, active: &BTreeMap<Alarm, RaisedAlarm>) {
        self.active = active.clone();
        self.lists_differ_since = None;
    }

    /// Evaluates all alarms and returns the active ones. `wall_ms`, the wall clock in milliseconds, dates new alarms for
    /// operators.
    pub fn evaluate(
        &mut self,
        now: Micros,
        metrics: &FleetMetrics,
        wall_ms: u64,
    ) -> &BTreeMap<Alarm, RaisedAlarm> {
        let mut conditions_met: BTreeMap<Alarm, String> = BTreeMap::new();
        if let Some(message) = self.overload(metrics) {
            conditions_met.insert(Alarm::Overload, message);
        }
        if let Some(message) = self.differing_lists(now, metrics) {
            conditions_met.insert(Alarm::DiscoveryMismatch, message);
        }
        for row in metrics.rows(now) {
            let alarm = Alarm::RestartLoop(row.name.clone());
            if let Some(message) = self.repeated_starts(&row, &alarm) {
                conditions_met.insert(alarm, message);
            }
        }
        self.active
            .retain(|alarm, _| conditions_met.contains_key(alarm));
        for (alarm, message) in conditions_met {
            self.active.entry(alarm).or_insert(RaisedAlarm {
                message,
                since_ms: wall_ms,
            });
        }
        &self.active
    }

    /// The message of [`Alarm::Overload`] while its condition holds.
    fn overload(&self, metrics: &FleetMetrics) -> Option<String> {
        let slots = micros(self.settings.rejected_for)
            .div_ceil(SLOT_LENGTH)
            .max(1);
        let sum = metrics.recent(slots as usize);
        let seconds = slots * SLOT_LENGTH / SECOND;
        if sum.requests() < MIN_REQUEST_RATE * seconds {
            return None;
        }
        let share = sum.refused as f64 / sum.requests() as f64;
        let threshold = if self.active.contains_key(&Alarm::Overload) {
            self.settings.rejected_share / OVERLOAD_HYSTERESIS
        } else {
            self.settings.rejected_share
        };
        (share > threshold)
            .then(|| format!("{:.0} % of requests refused for {seconds} s", share * 100.0))
    }

    /// The message of [`Alarm::RestartLoop`] of a node while its condition holds.
    fn repeated_starts(&self, row: &NodeRow, alarm: &Alarm) -> Option<String> {
        let threshold = if self.active.contains_key(alarm) {
            MIN_STARTS_WHILE_ACTIVE
        } else {
            self.settings.starts_per_minute
        };
        (row.starts >= threshold).then(|| {
            format!(
                "the node of {} started {} times in a minute",
                row.name, row.starts
            )
        })
    }

    /// The message of [`Alarm::DiscoveryMismatch`] while its condition holds.
    fn differing_lists(&mut self, now: Micros, metrics: &FleetMetrics) -> Option<String> {
        let mut groups = groups_by_list(now, metrics);
        if groups.len() < 2 {
            self.lists_differ_since = None;
            return None;
        }
        let since = *self.lists_differ_since.get_or_insert(now);
        let is_active = self.active.contains_key(&Alarm::DiscoveryMismatch);
        if !is_active && now < since + micros(self.settings.lists_differ_for) {
            return None;
        }
        groups.sort_by_key(|group| group.nodes.len());
        let described: Vec<String> = groups
            .iter()
            .take(MAX_GROUPS)
            .map(ListGroup::describe)
            .collect();
        Some(format!(
            "nodes go by different lists of servers: {}",
            described.join("; ")
        ))
    }
}

/// The nodes with a fresh answer, grouped by their endpoint list and ordered by its hash.
fn groups_by_list(now: Micros, metrics: &FleetMetrics) -> Vec<ListGroup> {
    let mut by_list: BTreeMap<u64, ListGroup> = BTreeMap::new();
    for row in metrics.rows(now) {
        if !metrics.is_fresh(&row) {
            continue;
        }
        let Some(gauges) = row.now.map(|now| now.gauges) else {
            continue;
        };
        // A node that reports no list, as before its first one, is not compared.
        if gauges.list == 0 {
            continue;
        }
        let group = by_list.entry(gauges.list).or_insert_with(|| ListGroup {
            servers: gauges.discovered,
            nodes: Vec::new(),
        });
        group.nodes.push(row.name);
    }
    by_list.into_values().collect()
}

#[cfg(test)]
mod tests;
