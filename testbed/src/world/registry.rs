//! Owns the list of servers as discovery tells it: late, in versions, to each node in its own time, or
//! not at all. It knows of servers only what it is handed, and remembers what each node was told.

use std::collections::BTreeMap;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

use super::{Micros, NodeId, SECOND};
use crate::scenario::{Discovery, Outage, Scenario};

/// What discovery says of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Its process runs.
    InService,
    /// It finishes what it has.
    Terminating,
    /// It is gone.
    Terminated,
}

impl Phase {
    /// The word of the protocol.
    pub fn as_str(self) -> &'static str {
        match self {
            Phase::InService => "in_service",
            Phase::Terminating => "terminating",
            Phase::Terminated => "terminated",
        }
    }
}

/// A line of the list. The address is the host's affair.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// The server's id.
    pub id: String,
    /// Its zone.
    pub zone: String,
    /// Its kind.
    pub kind: String,
    /// Its cell.
    pub cell: usize,
    /// Its size, about.
    pub size: f64,
    /// When it started; `None` is long ago.
    pub started_at: Option<Micros>,
    /// Its phase.
    pub phase: Phase,
}

/// A version of the list: what changed in it.
#[derive(Clone, Debug)]
struct Version {
    revision: u64,
    changed: Vec<Entry>,
}

/// The list, its versions, and how far each node's agent has come.
#[derive(Debug)]
pub struct Registry {
    terms: Discovery,
    rng: Pcg64,
    /// Known to the service and not yet in a version: when it will be, and what.
    pending: Vec<(Micros, Entry)>,
    next_version: Micros,
    period: Micros,
    versions: Vec<Version>,
    /// For each node the versions on their way: when they come.
    on_way: Vec<Vec<(Micros, u64)>>,
    /// For each node the newest version that its agent has.
    reached: Vec<u64>,
    /// For each node the list as its agent has it.
    views: Vec<BTreeMap<String, Entry>>,
    outage: Option<Outage>,
    next: Option<Micros>,
}

impl Registry {
    pub(super) fn new(scenario: &Scenario, nodes: usize, rng: &mut Pcg64) -> Registry {
        let terms = scenario.discovery.clone();
        let mut own = Pcg64::seed_from_u64(rng.random());
        let period = ((terms.period_ms.draw(&mut own) * 1e3) as Micros).max(1_000);
        Registry {
            terms,
            rng: own,
            pending: Vec::new(),
            next_version: period,
            period,
            versions: vec![Version {
                revision: 1,
                changed: Vec::new(),
            }],
            on_way: vec![Vec::new(); nodes],
            reached: vec![1; nodes],
            views: vec![BTreeMap::new(); nodes],
            outage: None,
            next: None,
        }
    }

    pub(super) fn list_at_start(&mut self, entry: Entry) {
        for view in &mut self.views {
            view.insert(entry.id.clone(), entry.clone());
        }
        self.versions[0].changed.push(entry);
    }

    /// A server has changed; the list shows it when the service has noticed.
    pub(super) fn note(&mut self, now: Micros, entry: Entry) {
        let span = match entry.phase {
            Phase::InService => self.terms.add_s,
            _ => self.terms.notice_s,
        };
        let after = span.draw(&mut self.rng);
        self.note_after(now, after, entry);
    }

    /// A server fell silent: only its silence tells of it.
    pub(super) fn note_silent(&mut self, now: Micros, mut entry: Entry) {
        entry.phase = Phase::Terminated;
        let after = self.terms.silent_notice_s.draw(&mut self.rng);
        self.note_after(now, after, entry);
    }

    /// Shown in the next version, true or not.
    pub(super) fn note_now(&mut self, now: Micros, entry: Entry) {
        self.note_after(now, 0.0, entry);
    }

    fn note_after(&mut self, now: Micros, seconds: f64, entry: Entry) {
        let at = now + ((seconds + self.terms.overbooked_s.0) * 1e6) as Micros;
        // What was noticed later of the same server stands for what is still on its way.
        self.pending
            .retain(|(_, other)| other.id != entry.id || other.phase == Phase::Terminating);
        self.pending.push((at, entry));
        self.find_next();
    }

    pub(super) fn set_outage(&mut self, now: Micros, outage: Option<Outage>) {
        self.outage = outage;
        if outage.is_none() {
            self.next_version = self.next_version.max(now);
            for way in &mut self.on_way {
                way.iter_mut().for_each(|(at, _)| *at = (*at).max(now));
            }
        }
        self.find_next();
    }

    /// The way in which the service and its agents are out of reach, if they are.
    pub fn outage(&self) -> Option<Outage> {
        self.outage
    }

    pub(super) fn next_at(&self) -> Option<Micros> {
        self.next.filter(|_| self.outage.is_none())
    }

    /// Hosts ask for the next time at each event: it is looked for only when something has changed.
    fn find_next(&mut self) {
        let version = self
            .pending
            .iter()
            .map(|(at, _)| (*at).max(self.next_version))
            .min();
        let way = self.on_way.iter().flatten().map(|(at, _)| *at).min();
        self.next = [version, way].into_iter().flatten().min();
    }

    pub(super) fn advance(&mut self, now: Micros, mut told: impl FnMut(NodeId)) {
        if self.next_at().is_none_or(|next| next > now) {
            return;
        }
        if now >= self.next_version && self.pending.iter().any(|(at, _)| *at <= now) {
            let (ready, later) = std::mem::take(&mut self.pending)
                .into_iter()
                .partition(|(at, _)| *at <= now);
            self.pending = later;
            let mut changed: Vec<(Micros, Entry)> = ready;
            changed.sort_by_key(|(at, _)| *at);
            let changed: Vec<Entry> = changed.into_iter().map(|(_, entry)| entry).collect();
            let revision = self.versions.len() as u64 + 1;
            self.versions.push(Version { revision, changed });
            self.next_version = now + self.period;
            for node in 0..self.on_way.len() {
                let after = (self.terms.spread_ms.draw(&mut self.rng) * 1e3) as Micros;
                self.on_way[node].push((now + after, revision));
            }
        }
        for node in 0..self.on_way.len() {
            let (here, later) = self.on_way[node].iter().partition(|(at, _)| *at <= now);
            self.on_way[node] = later;
            let here: Vec<(Micros, u64)> = here;
            for (_, revision) in &here {
                self.reached[node] = self.reached[node].max(*revision);
                for entry in &self.versions[*revision as usize - 1].changed {
                    self.views[node].insert(entry.id.clone(), entry.clone());
                }
            }
            if !here.is_empty() {
                told(node);
            }
        }
        self.find_next();
    }

    /// The newest version that a node's agent has.
    pub fn revision(&self, node: NodeId) -> u64 {
        self.reached[node]
    }

    /// The whole list as a node's agent has it, without those that are gone.
    pub fn snapshot(&self, node: NodeId) -> Vec<Entry> {
        self.views[node]
            .values()
            .filter(|entry| entry.phase != Phase::Terminated)
            .cloned()
            .collect()
    }

    /// What changed after a version, as far as the node's agent knows; `None` for one that never was.
    pub fn changes_since(&self, node: NodeId, revision: u64) -> Option<Vec<Entry>> {
        let reached = self.reached[node];
        if revision == 0 || revision > reached {
            return None;
        }
        let mut changed: BTreeMap<&str, &Entry> = BTreeMap::new();
        for version in &self.versions[revision as usize..reached as usize] {
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

    /// Whether a node's agent has the start of this process of a server.
    pub fn has_told_start(&self, node: NodeId, id: &str, since: Option<Micros>) -> bool {
        self.views[node]
            .get(id)
            .is_some_and(|entry| entry.started_at == since && since.is_some())
    }
}

/// Unix time in milliseconds of a start; 0 is long ago.
pub fn unix_ms(since: Option<Micros>, began_unix_ms: u64) -> u64 {
    since.map_or(0, |at| began_unix_ms + at * 1_000 / SECOND)
}
