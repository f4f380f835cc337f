//! The endpoint list as discovery publishes it: in versions, with a delay after each change, and with another
//! delay to each node. Records which version each node's agent has.

use std::collections::BTreeMap;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

use super::{Micros, NodeId, SECOND};
use crate::scenario::{Discovery, Outage, Scenario};

/// State of a server in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Its process runs.
    InService,
    /// It drains.
    Terminating,
    /// Its process has ended.
    Terminated,
}

impl Phase {
    /// The value in the discovery protocol.
    pub fn as_str(self) -> &'static str {
        match self {
            Phase::InService => "in_service",
            Phase::Terminating => "terminating",
            Phase::Terminated => "terminated",
        }
    }
}

/// A server in the endpoint list. The host adds the address.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// Id of the server.
    pub id: String,
    /// Name of its zone.
    pub zone: String,
    /// Name of its kind of machine.
    pub kind: String,
    /// Cell number.
    pub cell: usize,
    /// Registered size: the number of cores with an error of up to 10 %.
    pub size: f64,
    /// When its process started; `None` if before the run.
    pub started_at: Option<Micros>,
    /// State of the server.
    pub phase: Phase,
}

/// A version of the list: the entries that changed in it.
#[derive(Clone, Debug)]
struct Version {
    revision: u64,
    changed: Vec<Entry>,
}

/// The endpoint list, its versions, and the version that each node's agent has.
#[derive(Debug)]
pub struct Registry {
    delays: Discovery,
    rng: Pcg64,
    /// Changes that are not in a version yet, with the time from which they can be.
    pending: Vec<(Micros, Entry)>,
    /// Earliest time of the next version.
    next_version_at: Micros,
    publish_interval: Micros,
    versions: Vec<Version>,
    /// For each node the versions in transit: time of arrival and revision.
    in_transit: Vec<Vec<(Micros, u64)>>,
    /// For each node the newest version that its agent has.
    delivered: Vec<u64>,
    /// For each node the list that its agent has.
    views: Vec<BTreeMap<String, Entry>>,
    outage: Option<Outage>,
    /// When the next version is published or delivered.
    next: Option<Micros>,
}

impl Registry {
    pub(super) fn new(scenario: &Scenario, nodes: usize, rng: &mut Pcg64) -> Registry {
        let delays = scenario.discovery.clone();
        let mut own = Pcg64::seed_from_u64(rng.random());
        let publish_interval =
            ((delays.publish_interval_ms.draw(&mut own) * 1e3) as Micros).max(1_000);
        Registry {
            delays,
            rng: own,
            pending: Vec::new(),
            next_version_at: publish_interval,
            publish_interval,
            versions: vec![Version {
                revision: 1,
                changed: Vec::new(),
            }],
            in_transit: vec![Vec::new(); nodes],
            delivered: vec![1; nodes],
            views: vec![BTreeMap::new(); nodes],
            outage: None,
            next: None,
        }
    }

    /// Adds a server to the first version, which all nodes have at the start.
    pub(super) fn add_initial(&mut self, entry: Entry) {
        for view in &mut self.views {
            view.insert(entry.id.clone(), entry.clone());
        }
        self.versions[0].changed.push(entry);
    }

    /// Records a change of a server, which discovery notices after the delay for the new phase.
    pub(super) fn record_change(&mut self, now: Micros, entry: Entry) {
        let delay = match entry.phase {
            Phase::InService => self.delays.add_delay_s,
            _ => self.delays.removal_delay_s,
        };
        let seconds = delay.draw(&mut self.rng);
        self.record_after(now, seconds, entry);
    }

    /// Records that a server no longer responds, which discovery notices after a longer delay than the end of a
    /// process.
    pub(super) fn record_silent(&mut self, now: Micros, mut entry: Entry) {
        entry.phase = Phase::Terminated;
        let seconds = self.delays.silent_removal_delay_s.draw(&mut self.rng);
        self.record_after(now, seconds, entry);
    }

    /// Records an entry without the delay for noticing a change. The entry need not match the server's actual state.
    pub(super) fn record_now(&mut self, now: Micros, entry: Entry) {
        self.record_after(now, 0.0, entry);
    }

    fn record_after(&mut self, now: Micros, seconds: f64, entry: Entry) {
        let at = now + ((seconds + self.delays.overload_delay_s.0) * 1e6) as Micros;
        // A later change replaces a pending one of the same server, except its draining.
        self.pending
            .retain(|(_, other)| other.id != entry.id || other.phase == Phase::Terminating);
        self.pending.push((at, entry));
        self.update_next();
    }

    pub(super) fn set_outage(&mut self, now: Micros, outage: Option<Outage>) {
        self.outage = outage;
        if outage.is_none() {
            self.next_version_at = self.next_version_at.max(now);
            for versions in &mut self.in_transit {
                versions.iter_mut().for_each(|(at, _)| *at = (*at).max(now));
            }
        }
        self.update_next();
    }

    /// The outage of discovery, if there is one.
    pub fn outage(&self) -> Option<Outage> {
        self.outage
    }

    pub(super) fn next_at(&self) -> Option<Micros> {
        self.next.filter(|_| self.outage.is_none())
    }

    /// Recomputes the time of the next event. Hosts read it at each of their events, so it is cached.
    fn update_next(&mut self) {
        let version = self
            .pending
            .iter()
            .map(|(at, _)| (*at).max(self.next_version_at))
            .min();
        let arrival = self.in_transit.iter().flatten().map(|(at, _)| *at).min();
        self.next = [version, arrival].into_iter().flatten().min();
    }

    /// Publishes and delivers what is due at `now`, and calls `on_delivery` for each node whose agent got a version.
    pub(super) fn advance(&mut self, now: Micros, mut on_delivery: impl FnMut(NodeId)) {
        if self.next_at().is_none_or(|next| next > now) {
            return;
        }
        if now >= self.next_version_at && self.pending.iter().any(|(at, _)| *at <= now) {
            let (due, later) = std::mem::take(&mut self.pending)
                .into_iter()
                .partition(|(at, _)| *at <= now);
            self.pending = later;
            let mut changed: Vec<(Micros, Entry)> = due;
            changed.sort_by_key(|(at, _)| *at);
            let changed: Vec<Entry> = changed.into_iter().map(|(_, entry)| entry).collect();
            let revision = self.versions.len() as u64 + 1;
            self.versions.push(Version { revision, changed });
            self.next_version_at = now + self.publish_interval;
            for node in 0..self.in_transit.len() {
                let delay = (self.delays.propagation_ms.draw(&mut self.rng) * 1e3) as Micros;
                self.in_transit[node].push((now + delay, revision));
            }
        }
        for node in 0..self.in_transit.len() {
            let (arrived, later) = self.in_transit[node].iter().partition(|(at, _)| *at <= now);
            self.in_transit[node] = later;
            let arrived: Vec<(Micros, u64)> = arrived;
            for (_, revision) in &arrived {
                self.delivered[node] = self.delivered[node].max(*revision);
                for entry in &self.versions[*revision as usize - 1].changed {
                    self.views[node].insert(entry.id.clone(), entry.clone());
                }
            }
            if !arrived.is_empty() {
                on_delivery(node);
            }
        }
        self.update_next();
    }

    /// The newest version that a node's agent has.
    pub fn revision(&self, node: NodeId) -> u64 {
        self.delivered[node]
    }

    /// The list that a node's agent has, without terminated servers.
    pub fn snapshot(&self, node: NodeId) -> Vec<Entry> {
        self.views[node]
            .values()
            .filter(|entry| entry.phase != Phase::Terminated)
            .cloned()
            .collect()
    }

    /// The entries that changed after a version, as far as the node's agent has them; `None` if the agent does not
    /// know that version.
    pub fn changes_since(&self, node: NodeId, revision: u64) -> Option<Vec<Entry>> {
        let delivered = self.delivered[node];
        if revision == 0 || revision > delivered {
            return None;
        }
        let mut changed: BTreeMap<&str, &Entry> = BTreeMap::new();
        for version in &self.versions[revision as usize..delivered as usize] {
            debug_assert!(version.revision > revision);
            changed.extend(
                version
                    .changed
                    .iter()
                    .map(|entry| (entry.id.as_str(), entry)),
            );
        }
        Some(changed.into_values().cloned().collect())
    }

    /// Whether the list of a node's agent has this start time for a server. False for `None`: the process started
    /// before the run.
    pub fn knows_start(&self, node: NodeId, id: &str, started_at: Option<Micros>) -> bool {
        self.views[node]
            .get(id)
            .is_some_and(|entry| entry.started_at == started_at && started_at.is_some())
    }
}

/// Unix time in milliseconds of the start of a process; 0 if it started before the run.
pub fn unix_ms(started_at: Option<Micros>, run_start_unix_ms: u64) -> u64 {
    started_at.map_or(0, |at| run_start_unix_ms + at * 1_000 / SECOND)
}
