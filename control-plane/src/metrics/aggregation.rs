//! Aggregates the metrics of all nodes at the holder of a role: schedules the queries of agents and sums their answers.
//!
//! Invariant: a slot of an agent's process is added at most once. A query names the last slot that the holder has, and
//! only later slots of an answer are added, so a repeated or overtaken answer adds nothing. A new holder begins without
//! slots and therefore queries the whole hour: a handover loses nothing.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};

use super::{
    CurrentGauges, MetricsAnswer, MetricsQuery, RequestCounts, SLOTS_PER_HOUR, SLOT_LENGTH,
};
use crate::lease::Role;
use crate::membership::Name;
use crate::Micros;

/// Shortest interval between queries of one agent.
const MIN_QUERY_INTERVAL: Micros = 1_000_000;
/// Most agents queried in a second.
pub const MAX_QUERIES_PER_SECOND: u64 = 500;
/// Agents queried in a second in steady state. It sets the query interval of large fleets: with 2,000 agents a round of
/// queries takes one slot. It is below [`MAX_QUERIES_PER_SECOND`], so that delayed queries can catch up.
const STEADY_QUERIES_PER_SECOND: u64 = 400;
/// An agent that has not answered is queried again after this time.
const QUERY_RETRY_INTERVAL: Micros = 3_000_000;
/// In small fleets, an agent whose last answer is older than this counts as silent.
const FRESH_FOR: Micros = 5_000_000;
/// Slots of a minute.
const SLOTS_PER_MINUTE: usize = 12;
/// Slots of ten seconds, the shortest sum in a report.
const SLOTS_PER_TEN_SECONDS: usize = 2;
/// The newest slots are left out of sums: an agent's slot ends up to one slot later than the holder's, and is reported
/// up to one slot after that.
const UNSETTLED_SLOTS: usize = 2;

/// The metrics of one agent's node, and the state of the queries to it.
#[derive(Debug, Default)]
struct AgentMetrics {
    /// Number of the agent's process whose slots were added last.
    process: u64,
    /// Number of the last slot of that process that was added.
    last_slot: u64,
    /// Counts of the last slot that was added.
    last_counts: RequestCounts,
    gauges: Option<CurrentGauges>,
    starts: u64,
    cordoned: Vec<String>,
    answered_at: Option<Micros>,
    queried_at: Micros,
    next_query: Micros,
}

impl AgentMetrics {
    /// Creates the query for the slots that are missing here, and schedules its repetition in case it is not answered.
    fn begin_query(&mut self, now: Micros, role: Role, token: u64) -> MetricsQuery {
        self.queried_at = now;
        self.next_query = now + QUERY_RETRY_INTERVAL;
        MetricsQuery {
            role,
            token,
            process: self.process,
            since: self.last_slot,
        }
    }

    /// Number of the last slot that was added of this process; 0 if none was added.
    fn known_slot(&self, process: u64) -> u64 {
        if self.process == process {
            self.last_slot
        } else {
            0
        }
    }
}

/// A query and the agent to which it is sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AddressedQuery {
    /// Agent that is queried.
    pub to: Name,
    /// Query for its slots.
    pub query: MetricsQuery,
}

/// The metrics of the fleet, as collected by the holder of a role under one fencing token.
#[derive(Debug, Default)]
pub struct FleetMetrics {
    token: u64,
    /// Sums by slots of the holder's clock, the newest last.
    slots: VecDeque<RequestCounts>,
    /// Number of the newest slot.
    newest_slot: u64,
    agents: BTreeMap<Name, AgentMetrics>,
    /// Queries that may be sent at once: a token bucket filled at [`MAX_QUERIES_PER_SECOND`].
    query_allowance: u64,
    allowance_updated_at: Micros,
}

/// A node in the report. Field names are those of the JSON report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeRow {
    /// Name of the node's agent.
    pub name: Name,
    /// Age of the agent's last answer, in milliseconds; `None` if it never answered.
    pub age_ms: Option<u64>,
    /// Counts of the last slot, of 5 s, that the agent closed.
    pub last: RequestCounts,
    /// Latest gauges of the node; `None` if there is no node or it does not answer.
    pub now: Option<CurrentGauges>,
    /// Starts of the node within the last minute.
    pub starts: u64,
    /// Servers that operators cordoned at this node alone.
    pub by_hand: Vec<String>,
}

/// The metrics of the fleet for operators. Field names are those of the JSON report.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetMetricsReport {
    /// Agent that holds the aggregation role.
    pub holder: Option<Name>,
    /// Number of agents present.
    pub present: usize,
    /// Number of agents whose last answer is fresh: less than 5 s old, or more in large fleets, where a round of queries
    /// takes longer than 1 s.
    pub answered: usize,
    /// Sums of the last 10 s that are complete.
    pub ten_seconds: RequestCounts,
    /// Sums of the last minute.
    pub minute: RequestCounts,
    /// Sums of the last hour, of the slots that agents have stored.
    pub hour: RequestCounts,
    /// Sums by minute, at most 60, the newest last.
    pub minutes: Vec<RequestCounts>,
    /// The nodes, ordered by name.
    pub rows: Vec<NodeRow>,
}

impl FleetMetrics {
    /// The queries that the holder of a role sends now under its fencing token: the longest overdue first, as many as the
    /// allowance permits. With a new token the metrics start empty, as at any new holder.
    pub fn next_queries(
        &mut self,
        now: Micros,
        role: Role,
        token: u64,
        present: &[Name],
    ) -> Vec<AddressedQuery> {
        if self.token != token {
            *self = FleetMetrics {
                token,
                newest_slot: now / SLOT_LENGTH,
                ..FleetMetrics::default()
            };
        }
        self.set_agents(present);
        self.update_allowance(now);

        let mut to_query: Vec<(&Name, &mut AgentMetrics)> = self
            .agents
            .iter_mut()
            .filter(|(_, agent)| now >= agent.next_query)
            .collect();
        to_query.sort_by_key(|(_, agent)| agent.next_query);
        to_query.truncate(self.query_allowance as usize);
        self.query_allowance -= to_query.len() as u64;
        to_query
            .into_iter()
            .map(|(name, agent)| AddressedQuery {
                to: name.clone(),
                query: agent.begin_query(now, role, token),
            })
            .collect()
    }

    /// Adds agents that are new and removes those that are no longer present. The sums keep the counts of the latter.
    fn set_agents(&mut self, present: &[Name]) {
        let present: BTreeSet<&Name> = present.iter().collect();
        self.agents.retain(|name, _| present.contains(name));
        for name in present {
            if !self.agents.contains_key(name) {
                self.agents.insert(name.clone(), AgentMetrics::default());
            }
        }
    }

    /// Refills the allowance for at most a second: queries missed during a longer pause are not all sent at once.
    fn update_allowance(&mut self, now: Micros) {
        let elapsed = now
            .saturating_sub(self.allowance_updated_at)
            .min(MIN_QUERY_INTERVAL);
        let earned = elapsed * MAX_QUERIES_PER_SECOND / MIN_QUERY_INTERVAL;
        self.query_allowance = (self.query_allowance + earned).min(MAX_QUERIES_PER_SECOND);
        self.allowance_updated_at = now;
    }

    /// Adds an agent's answer. It is ignored if the agent is no longer present.
    pub fn record_answer(&mut self, now: Micros, name: &Name, answer: MetricsAnswer) {
        let query_interval = query_interval(self.agents.len());
        self.advance(now);
        let Some(agent) = self.agents.get(name) else {
            return;
        };
        let known_slot = agent.known_slot(answer.process);
        // An answer that was overtaken by a later one has no new slots.
        let new_slots = (answer.slot.saturating_sub(known_slot) as usize).min(answer.slots.len());
        let new_counts = &answer.slots[answer.slots.len() - new_slots..];
        let closed_at = now.saturating_sub(answer.closed_ms * 1_000);
        self.add_slots(closed_at, new_counts);

        let Some(agent) = self.agents.get_mut(name) else {
            return;
        };
        if let Some(last) = new_counts.last() {
            agent.last_counts = *last;
        }
        if answer.slot >= known_slot {
            agent.process = answer.process;
            agent.last_slot = answer.slot;
        }
        agent.gauges = answer.now;
        agent.starts = answer.starts;
        agent.cordoned = answer.by_hand;
        agent.answered_at = Some(now);
        // The interval begins with the last query, so that the time until its answer does not lengthen the round.
        agent.next_query = agent.queried_at + query_interval;
    }

    /// Adds an agent's slots, the oldest first, the last of which was closed at `closed_at`. Slots older than an hour are
    /// dropped.
    fn add_slots(&mut self, closed_at: Micros, counts: &[RequestCounts]) {
        let closed_slot = closed_at / SLOT_LENGTH;
        let newest_age = self.newest_slot.saturating_sub(closed_slot) as usize;
        for (slots_before_last, counts) in counts.iter().rev().enumerate() {
            let age = newest_age + slots_before_last;
            if let Some(index) = self.slots.len().checked_sub(age + 1) {
                self.slots[index].add(counts);
            }
        }
    }

    /// Appends empty slots up to the current one.
    fn advance(&mut self, now: Micros) {
        if self.slots.is_empty() {
            self.slots.resize(SLOTS_PER_HOUR, RequestCounts::default());
        }
        let current = now / SLOT_LENGTH;
        let steps = current
            .saturating_sub(self.newest_slot)
            .min(SLOTS_PER_HOUR as u64);
        for _ in 0..steps {
            self.slots.pop_front();
            self.slots.push_back(RequestCounts::default());
        }
        self.newest_slot = self.newest_slot.max(current);
    }

    /// Sum of the last `slots` slots that are complete.
    pub fn recent(&self, slots: usize) -> RequestCounts {
        self.slots
            .iter()
            .rev()
            .skip(UNSETTLED_SLOTS)
            .take(slots)
            .sum()
    }

    /// The agents present, ordered by the text of their names.
    pub fn rows(&self, now: Micros) -> Vec<NodeRow> {
        let mut rows: Vec<NodeRow> = self
            .agents
            .iter()
            .map(|(name, agent)| NodeRow {
                name: name.clone(),
                age_ms: agent.answered_at.map(|at| now.saturating_sub(at) / 1_000),
                last: agent.last_counts,
                now: agent.gauges,
                starts: agent.starts,
                by_hand: agent.cordoned.clone(),
            })
            .collect();
        rows.sort_by(|a, b| a.name.as_str().cmp(b.name.as_str()));
        rows
    }

    /// Whether an agent's last answer is recent enough for the agent to count as answering and its endpoint list as
    /// current. The limit allows for one lost query or answer since.
    pub fn is_fresh(&self, row: &NodeRow) -> bool {
        let limit = FRESH_FOR + query_interval(self.agents.len()) - MIN_QUERY_INTERVAL;
        row.age_ms.is_some_and(|age| age * 1_000 < limit)
    }

    /// The report for operators.
    pub fn report(&mut self, now: Micros, holder: Name) -> FleetMetricsReport {
        self.advance(now);
        let rows = self.rows(now);
        let slots: Vec<&RequestCounts> = self.slots.iter().collect();
        let minutes = slots
            .chunks(SLOTS_PER_MINUTE)
            .map(|minute| minute.iter().copied().sum())
            .collect();
        FleetMetricsReport {
            holder: Some(holder),
            present: rows.len(),
            answered: rows.iter().filter(|row| self.is_fresh(row)).count(),
            ten_seconds: self.recent(SLOTS_PER_TEN_SECONDS),
            minute: self.recent(SLOTS_PER_MINUTE),
            hour: self.recent(SLOTS_PER_HOUR),
            minutes,
            rows,
        }
    }
}

/// Interval between queries of one agent, in a fleet of this size.
fn query_interval(agents: usize) -> Micros {
    let steady = agents as Micros * 1_000_000 / STEADY_QUERIES_PER_SECOND;
    MIN_QUERY_INTERVAL.max(steady)
}

#[cfg(test)]
mod tests;
