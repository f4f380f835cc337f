//! Routing: the server of an attempt.
//!
//! From the slot of its key a request probes the owners of the following slots and takes the first that
//! may serve it (the *probe sequence*). A server serves a share of its slots, from 1 down to 0: its
//! [`SlotShare`], cut where it is overloaded and recovering since, or less where its answers are slower
//! than those of the fastest kind of machine, or 0 where it is ejected, exhausted in its slow start, or
//! in a lost zone. A slot is served if its level is within the share, so that all nodes move the same keys.
//! A server that has far more of this node's attempts in flight than its weight explains is passed over.
//!
//! For a key with more traffic than one server should serve, several successive servers are candidates,
//! and one is drawn by their share and weight. Where none qualifies, the first with half its share
//! serves; a server at which the class is ejected only does where no other can.
//! A retry probes servers that were not tried, among those that the idempotency of the request allows.

use fastrand::Rng;

use super::request::PendingRequest;
use super::server::{Server, ServerIndex};
use super::slot_table::{slot_level, slot_of_key, LAYER_SLOTS};
use super::{retry, slow_start, Balancer};
use crate::api::*;

/// The most servers that a probe sequence looks at.
const MAX_PROBED_SERVERS: usize = 64;
/// The most owned slots that it passes, for a first attempt and for a retry.
const MAX_FIRST_ATTEMPT_SLOTS: usize = 1_024;
const MAX_RETRY_SLOTS: usize = 4 * LAYER_SLOTS;
/// A key may bring a server this multiple of the mean load of a server before it is spread.
const HOT_KEY_LOAD: f64 = 0.35;
/// A server is overfull above this multiple of its part of the attempts in flight, and this many more.
const OVERFULL_MULTIPLE: f64 = 2.0;
const OVERFULL_MARGIN: f64 = 2.0;
/// Where no server qualifies, one with at least this share serves.
const FALLBACK_SHARE: f64 = 0.5;
/// A server whose speed allows a smaller share than this gets nothing: it recovers only if left alone.
const MIN_SPEED_SHARE: f64 = 0.12;
/// A warming server gets an overdue attempt where this multiple of the expected time is within the
/// latency objective.
const OVERDUE_TIME_MARGIN: f64 = 2.0;

/// What an overload leaves of a share, and the least that is left.
const SHARE_AFTER_OVERLOAD: f64 = 0.6;
const MIN_SHARE: f64 = 0.05;
/// What a tick adds to a share.
const RECOVERY_PER_TICK: f64 = 0.01;
/// The share of a server that is reinstated after an ejection.
const REINSTATED_SHARE: f64 = 0.3;

/// The share of its slots that a server's answers allow it to serve.
pub(super) struct SlotShare(f64);

impl Default for SlotShare {
    fn default() -> Self {
        SlotShare(1.0)
    }
}

impl SlotShare {
    /// The server rejected an attempt as overloaded.
    pub(super) fn record_overload(&mut self) {
        self.0 = (self.0 * SHARE_AFTER_OVERLOAD).max(MIN_SHARE);
    }

    /// The server is back from an ejection.
    pub(super) fn start_recovery(&mut self) {
        self.0 = REINSTATED_SHARE;
    }

    /// A tick has passed.
    pub(super) fn recover(&mut self) {
        self.0 = (self.0 + RECOVERY_PER_TICK).min(1.0);
    }

    pub(super) fn is_full(&self) -> bool {
        self.0 >= 1.0
    }
}

/// A slot and its owner, which is in service.
struct OwnedSlot<'a> {
    slot: usize,
    index: ServerIndex,
    server: &'a Server,
}

/// Whether a probe sequence passes over servers at which the class of the request is ejected.
#[derive(Clone, Copy, PartialEq)]
enum ClassEjections {
    Heed,
    Ignore,
}

/// A server that serves the slot, with its part of the traffic.
struct Candidate {
    server: ServerIndex,
    /// Its part of all traffic plus that of the candidates before it.
    cumulative_share: f64,
}

/// The servers that a probe sequence found by their shares.
#[derive(Default)]
struct Candidates {
    candidates: Vec<Candidate>,
    total_share: f64,
    /// The first server that serves where there is no candidate.
    fallback: Option<ServerIndex>,
}

impl Candidates {
    fn add(&mut self, server: ServerIndex, share: f64) {
        self.total_share += share;
        self.candidates.push(Candidate {
            server,
            cumulative_share: self.total_share,
        });
    }

    /// Draws one of the candidates in proportion to their shares, or takes the fallback.
    fn draw(&self, rng: &mut Rng) -> Option<ServerIndex> {
        // A recorded event stream replays to the same actions only if nothing is drawn for one candidate.
        let point = if self.candidates.len() > 1 {
            rng.f64() * self.total_share
        } else {
            0.0
        };
        self.candidates
            .iter()
            .find(|candidate| point <= candidate.cumulative_share)
            .map(|candidate| candidate.server)
            .or(self.fallback)
    }
}

/// How a probe sequence found the server of an attempt.
enum ProbeResult {
    /// A warming server whose overdue attempt this is, whoever owns the slot.
    OverdueAttempt(ServerIndex),
    /// An ejected server whose trial this is.
    Trial(ServerIndex),
    /// Servers that serve the slot, of which one is drawn.
    Candidates(Candidates),
}

impl Balancer {
    /// The slot of a request: its key's, or without a key the less loaded one of two random ones.
    pub(super) fn slot_of(&mut self, key: Option<Key>) -> usize {
        self.refresh_table();
        let slots = self.slot_table.len().max(LAYER_SLOTS);
        if let Some(key) = key {
            return slot_of_key(key, slots);
        }
        let first = self.rng.usize(0..slots);
        let second = self.rng.usize(0..slots);
        if self.load_at(second) < self.load_at(first) {
            second
        } else {
            first
        }
    }

    /// Attempts in flight at the owner of a slot, per unit of its weight.
    fn load_at(&self, slot: usize) -> f64 {
        self.owned_slot(slot).map_or(f64::MAX, |owned| {
            f64::from(owned.server.in_flight) / owned.server.endpoint.weight
        })
    }

    /// A slot with its owner, if the owner is still in service.
    fn owned_slot(&self, slot: usize) -> Option<OwnedSlot<'_>> {
        let index = self.slot_table.owner(slot)?;
        let server = self.servers.get(index)?;
        server.in_service.then_some(OwnedSlot {
            slot,
            index,
            server,
        })
    }

    /// The server for the next attempt of a request: one at which its class is ejected only where no other
    /// can serve it.
    pub(super) fn route(&mut self, id: RequestId) -> Option<ServerIndex> {
        self.refresh_table();
        self.choose(id, ClassEjections::Heed)
            .or_else(|| self.choose(id, ClassEjections::Ignore))
    }

    fn choose(&mut self, id: RequestId, ejections: ClassEjections) -> Option<ServerIndex> {
        match self.probe(&self.requests[&id], ejections) {
            ProbeResult::OverdueAttempt(server) | ProbeResult::Trial(server) => Some(server),
            ProbeResult::Candidates(candidates) => candidates.draw(&mut self.rng),
        }
    }

    /// Probes the owners from the request's slot on.
    fn probe(&self, request: &PendingRequest, ejections: ClassEjections) -> ProbeResult {
        let requests = self.traffic.requests();
        let mut load_to_place = self.hot_keys.traffic_share(request.key, requests);
        // Requests of keys with recent traffic stay where the key is cached.
        if request.attempts.is_empty() && load_to_place <= 0.0 {
            if let Some(server) = self.overdue_server(request) {
                return ProbeResult::OverdueAttempt(server);
            }
        }
        let mut found = Candidates::default();
        for owned in self.allowed_owners(request) {
            let server = owned.server;
            // A class ejection that is over excludes nothing: the request is its trial.
            let class_ejection = &server.class_ejections[request.class.0];
            if ejections == ClassEjections::Heed && class_ejection.excludes(self.now) {
                continue;
            }
            if found.candidates.is_empty() && self.needs_trial(server, request.class) {
                return ProbeResult::Trial(owned.index);
            }
            let share = self.served_share(server);
            if slot_level(owned.slot) > share || self.is_overfull(server) {
                if found.fallback.is_none() && share >= FALLBACK_SHARE {
                    found.fallback = Some(owned.index);
                }
                continue;
            }
            let traffic_share = share * server.endpoint.weight / self.servers.total_weight();
            found.add(owned.index, traffic_share);
            load_to_place -= HOT_KEY_LOAD * traffic_share;
            if load_to_place <= 0.0 {
                break;
            }
        }
        ProbeResult::Candidates(found)
    }

    /// The servers of a probe sequence at which the request may run, each with the first of its slots.
    fn allowed_owners<'a>(
        &'a self,
        request: &'a PendingRequest,
    ) -> impl Iterator<Item = OwnedSlot<'a>> {
        let idempotency = self.settings.classes[request.class.0].idempotency;
        let mut seen: Vec<ServerIndex> = Vec::with_capacity(8);
        self.owned_slots_from(request)
            .filter(move |owned| {
                let allowed = !request.was_sent_to(owned.server.id())
                    && !seen.contains(&owned.index)
                    && retry::may_run_on(idempotency, request, &owned.server.endpoint);
                if allowed {
                    seen.push(owned.index);
                }
                allowed
            })
            .take(MAX_PROBED_SERVERS)
    }

    /// The slots of a probe sequence that have an owner in service.
    fn owned_slots_from(&self, request: &PendingRequest) -> impl Iterator<Item = OwnedSlot<'_>> {
        let max_slots = if request.attempts.is_empty() {
            MAX_FIRST_ATTEMPT_SLOTS
        } else {
            MAX_RETRY_SLOTS
        };
        let slots = self.slot_table.len();
        let first = request.slot % slots.max(1);
        (first..slots)
            .chain(0..first)
            .filter_map(|slot| self.owned_slot(slot))
            .take(max_slots)
    }

    /// A warming server with an overdue attempt that can serve the request. It must be likely to answer
    /// within the objective, unless answers come late anyway.
    fn overdue_server(&self, request: &PendingRequest) -> Option<ServerIndex> {
        let expected = self.latencies.expected(request.class, request.cost);
        self.slow_start
            .overdue_servers()
            .iter()
            .copied()
            .find(|&index| self.can_serve_overdue(&self.servers[index], request.class, expected))
    }

    /// Whether a warming server can serve a request of this class whose answer time is expected to be
    /// `expected` microseconds at a warm one.
    fn can_serve_overdue(&self, server: &Server, class: ClassId, expected: f64) -> bool {
        let objective = self.settings.classes[class.0].latency_objective as f64;
        let warm_up = slow_start::warm_up_fraction(&self.settings, server, self.now);
        let in_time = OVERDUE_TIME_MARGIN * expected < warm_up * objective;
        self.served_share(server) >= FALLBACK_SHARE
            && !server.class_ejections[class.0].is_active()
            && !self.is_overfull(server)
            && (in_time || self.load.some_late())
    }

    /// Whether an ejected server should get a request of this class as its trial.
    fn needs_trial(&self, server: &Server, class: ClassId) -> bool {
        let idempotency = self.settings.classes[class.0].idempotency;
        server.ejection.is_trial_due(self.now)
            && idempotency != Idempotency::NonIdempotent
            && !self.settings.may_health_check
            && !self.is_exhausted(server)
    }

    /// The share of its slots that a server serves now.
    pub(super) fn served_share(&self, server: &Server) -> f64 {
        if !server.in_service
            || self.is_exhausted(server)
            || self.is_ejected(server)
            || self.is_cut_off(server)
        {
            return 0.0;
        }
        let speed = self.kind_latencies.fastest() / self.relative_latency(server);
        let speed_share = speed.powi(2).min(1.0);
        if speed_share < MIN_SPEED_SHARE {
            return 0.0;
        }
        server.share.0.min(speed_share)
    }

    /// Whether a server is warming up and may be sent nothing now.
    fn is_exhausted(&self, server: &Server) -> bool {
        self.slow_start
            .is_exhausted(&self.settings, server, self.now)
    }

    pub(super) fn is_ejected(&self, server: &Server) -> bool {
        server.ejection.is_active() && !self.pool.in_panic()
    }

    pub(super) fn is_cut_off(&self, server: &Server) -> bool {
        self.zones.is_cut_off(server.endpoint.zone)
    }

    /// How long a server's answers take, as a multiple of the expected time.
    pub(super) fn relative_latency(&self, server: &Server) -> f64 {
        let kind = self.kind_latencies.mean(server.endpoint.kind);
        server.relative_latency.mean(kind)
    }

    /// Whether a server has far more of this node's attempts in flight than its weight explains.
    fn is_overfull(&self, server: &Server) -> bool {
        let in_flight = f64::from(self.limit.in_flight());
        let usual = in_flight / self.servers.total_weight() * server.endpoint.weight;
        f64::from(server.in_flight) > (usual + OVERFULL_MARGIN).max(OVERFULL_MULTIPLE * usual)
    }
}
