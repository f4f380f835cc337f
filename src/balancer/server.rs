//! A node's state of each server, and the set of all servers.

use std::collections::{BTreeSet, HashMap};

use super::latency::RelativeLatency;
use super::outlier::Ejection;
use super::routing::SlotShare;
use super::slow_start::AttemptBudget;
use crate::api::*;

/// A server as this node sees it. The rules own their parts of the state.
pub(super) struct Server {
    pub(super) endpoint: Endpoint,
    /// The endpoint list contains it in the state `ServerState::InService`.
    pub(super) listed: bool,
    /// It is listed and not cordoned.
    pub(super) in_service: bool,
    /// When operators last cordoned or uncordoned it; 0 is never. Its slow start begins then, or at its start
    /// by the list if that is later.
    pub(super) cordon_changed_at: Micros,
    /// Number of this node's attempts in flight at it.
    pub(super) in_flight: u32,
    /// The time of its latest response, or of the attempt that was sent to it while it was idle, if that is
    /// later: with attempts in flight, it has been silent since then.
    pub(super) silent_since: Micros,
    pub(super) share: SlotShare,
    pub(super) relative_latency: RelativeLatency,
    /// Its ejection for all requests, and those for single classes, as it may fail only some of them.
    pub(super) ejection: Ejection,
    pub(super) class_ejections: Vec<Ejection>,
    pub(super) attempt_budget: AttemptBudget,
}

impl Server {
    /// A server of which only the entry in the list is known. Its slow-start budget starts with `attempts`.
    pub(super) fn new(endpoint: Endpoint, in_service: bool, attempts: f64, classes: usize) -> Self {
        Server {
            endpoint,
            listed: true,
            in_service,
            cordon_changed_at: 0,
            in_flight: 0,
            silent_since: 0,
            share: SlotShare::default(),
            relative_latency: RelativeLatency::default(),
            ejection: Ejection::default(),
            class_ejections: vec![Ejection::default(); classes],
            attempt_budget: AttemptBudget::new(attempts, 0),
        }
    }

    /// Resets the state for a new process of the server: drops what was learnt of the previous one. The
    /// caller sets `in_service`.
    pub(super) fn restart(&mut self, endpoint: Endpoint, attempts: f64, now: Micros) {
        let new = Server::new(endpoint, false, attempts, self.class_ejections.len());
        *self = Server {
            listed: self.listed,
            cordon_changed_at: self.cordon_changed_at,
            in_flight: self.in_flight,
            silent_since: now,
            attempt_budget: AttemptBudget::new(attempts, now),
            ..new
        };
    }

    pub(super) fn id(&self) -> ServerId {
        self.endpoint.server
    }

    /// When it last started or its cordon last changed; 0 is long ago.
    pub(super) fn started_at(&self) -> Micros {
        self.endpoint.started_at.max(self.cordon_changed_at)
    }

    /// Ends its ejection, if any. It serves only part of its slots at first.
    pub(super) fn reinstate(&mut self) {
        if self.ejection.reinstate() {
            self.share.start_recovery();
        }
    }

    /// Counts an attempt that was sent to it.
    pub(super) fn begin_attempt(&mut self, now: Micros) {
        if self.in_flight == 0 {
            self.silent_since = now;
        }
        self.in_flight += 1;
    }
}

/// The index of a server in the [`ServerSet`], valid until [`ServerSet::remove_departed`] is called.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ServerIndex(u32);

impl ServerIndex {
    /// An index that no server has.
    pub(super) const NONE: ServerIndex = ServerIndex(u32::MAX);

    fn new(position: usize) -> Self {
        ServerIndex(position as u32)
    }

    fn position(self) -> usize {
        self.0 as usize
    }
}

/// The servers on the endpoint list, and those that have left it with attempts still in flight.
#[derive(Default)]
pub(super) struct ServerSet {
    servers: Vec<Server>,
    indices: HashMap<ServerId, ServerIndex>,
    /// Servers that operators have cordoned, whether they are on the list or not.
    cordoned: BTreeSet<ServerId>,
    /// Total weight of the servers that were in service when the present slot table was completed.
    total_weight: f64,
}

impl ServerSet {
    pub(super) fn len(&self) -> usize {
        self.servers.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    pub(super) fn index_of(&self, id: ServerId) -> Option<ServerIndex> {
        self.indices.get(&id).copied()
    }

    pub(super) fn get(&self, index: ServerIndex) -> Option<&Server> {
        self.servers.get(index.position())
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &Server> {
        self.servers.iter()
    }

    pub(super) fn iter_mut(&mut self) -> impl Iterator<Item = &mut Server> {
        self.servers.iter_mut()
    }

    pub(super) fn indices(&self) -> impl Iterator<Item = ServerIndex> {
        (0..self.servers.len()).map(ServerIndex::new)
    }

    pub(super) fn iter_mut_with_index(
        &mut self,
    ) -> impl Iterator<Item = (ServerIndex, &mut Server)> {
        self.servers
            .iter_mut()
            .enumerate()
            .map(|(position, server)| (ServerIndex::new(position), server))
    }

    /// The servers that are listed and not cordoned.
    pub(super) fn in_service(&self) -> impl Iterator<Item = &Server> {
        self.servers.iter().filter(|s| s.in_service)
    }

    pub(super) fn total_weight(&self) -> f64 {
        self.total_weight
    }

    pub(super) fn weights_in_service(&self) -> Vec<(ServerId, f64)> {
        self.in_service()
            .map(|s| (s.id(), s.endpoint.weight))
            .collect()
    }

    pub(super) fn add(&mut self, server: Server) {
        let index = ServerIndex::new(self.servers.len());
        self.indices.insert(server.id(), index);
        self.servers.push(server);
    }

    /// Removes servers that have left and have nothing in flight, and updates the total weight. The indices
    /// of the remaining servers change.
    pub(super) fn remove_departed(&mut self) {
        self.servers.retain(|s| s.listed || s.in_flight > 0);
        self.indices = self
            .servers
            .iter()
            .enumerate()
            .map(|(position, server)| (server.id(), ServerIndex::new(position)))
            .collect();
        self.total_weight = self.in_service().map(|s| s.endpoint.weight).sum();
    }

    pub(super) fn is_cordoned(&self, id: ServerId) -> bool {
        self.cordoned.contains(&id)
    }

    /// Cordons or uncordons a server; returns whether it was in the other state before.
    pub(super) fn set_cordoned(&mut self, id: ServerId, cordoned: bool) -> bool {
        if cordoned {
            self.cordoned.insert(id)
        } else {
            self.cordoned.remove(&id)
        }
    }

    /// Adds the ejection states of added classes.
    pub(super) fn resize_classes(&mut self, classes: usize) {
        for server in &mut self.servers {
            server.class_ejections.resize(classes, Ejection::default());
        }
    }
}

impl std::ops::Index<ServerIndex> for ServerSet {
    type Output = Server;

    fn index(&self, index: ServerIndex) -> &Server {
        &self.servers[index.position()]
    }
}

impl std::ops::IndexMut<ServerIndex> for ServerSet {
    fn index_mut(&mut self, index: ServerIndex) -> &mut Server {
        &mut self.servers[index.position()]
    }
}
