//! Routing: which server gets an attempt.
//!
//! The *probe sequence* of a request starts at the slot of its key and goes through the owners of the
//! following slots; the first owner that serves its slot gets the attempt. The rules are:
//!
//! - Each server serves a share of its slots, between 0 and 1. It is the smaller of two: its
//!   [`SlotShare`], which an overloaded answer cuts and which then recovers, and a share by speed, which
//!   is below 1 if the server's answers are slower than those of the fastest kind of machine. It is 0 if
//!   the server is ejected, has no slow-start budget left, or is in a lost zone.
//! - A server with share `s` serves its slots with a level (`slot_level`) up to `s`. The level is the same
//!   at all nodes, so all nodes move the same keys to other servers.
//! - A server with far more of this node's attempts in flight than its weight explains is passed over, as
//!   in consistent hashing with bounded loads.
//! - For a key with more traffic than one server should serve, several successive servers are candidates,
//!   and one is drawn in proportion to share and weight.
//! - Without a candidate, the first server passed over that has at least half its share gets the attempt.
//!   Servers at which the class of the request is ejected are only used if no other server can serve it.
//! - A retry goes to a server that was not tried before, among those that the idempotency of the request
//!   allows.

use fastrand::Rng;

use super::request::PendingRequest;
use super::server::{Server, ServerIndex};
use super::slot_table::{slot_level, slot_of_key, LAYER_SLOTS};
use super::{retry, slow_start, Balancer};
use crate::api::*;

/// Maximum number of servers in a probe sequence.
const MAX_PROBED_SERVERS: usize = 64;
/// Maximum number of owned slots in a probe sequence, for a first attempt and for a retry.
const MAX_FIRST_ATTEMPT_SLOTS: usize = 1_024;
const MAX_RETRY_SLOTS: usize = 4 * LAYER_SLOTS;
/// Maximum load of one key on a server, as a multiple of the server's part of all traffic by share and
/// weight. The rest of the key's traffic is spread to further servers.
const HOT_KEY_LOAD: f64 = 0.35;
/// A server is passed over if it has more attempts in flight than this multiple of its fair part, and more
/// than its fair part plus the margin. The fair part is its fraction, by weight, of all attempts that this
/// node has in flight.
const LOAD_BOUND_MULTIPLE: f64 = 2.0;
const LOAD_BOUND_MARGIN: f64 = 2.0;
/// Minimum share of a server that gets an attempt for which there is no candidate.
const FALLBACK_SHARE: f64 = 0.5;
/// A server whose share by speed would be below this gets no requests: it is so slow that it is probably
/// overloaded, and it recovers only without requests.
const MIN_SPEED_SHARE: f64 = 0.12;
/// A warming server gets an overdue attempt if this multiple of the answer time expected of it is within
/// the latency objective.
const OVERDUE_TIME_MARGIN: f64 = 2.0;

/// Factor by which an overloaded answer reduces a share, and the lower bound of a reduced share.
const SHARE_AFTER_OVERLOAD: f64 = 0.6;
const MIN_SHARE: f64 = 0.05;
/// Increase of a share per tick.
const RECOVERY_PER_TICK: f64 = 0.01;
/// Share of a server that has just been reinstated after an ejection.
const REINSTATED_SHARE: f64 = 0.3;

/// The share of its slots that a server may serve, judged by overloads and ejections; between 0 and 1.
pub(super) struct SlotShare(f64);

impl Default for SlotShare {
    fn default() -> Self {
        SlotShare(1.0)
    }
}

impl SlotShare {
    /// Reduces the share, as the server is overloaded.
    pub(super) fn record_overload(&mut self) {
        self.0 = (self.0 * SHARE_AFTER_OVERLOAD).max(MIN_SHARE);
    }

    /// Sets the share of a server that has been reinstated after an ejection.
    pub(super) fn start_recovery(&mut self) {
        self.0 = REINSTATED_SHARE;
    }

    /// Raises the share by one tick's recovery.
    pub(super) fn recover(&mut self) {
        self.0 = (self.0 + RECOVERY_PER_TICK).min(1.0);
    }

    pub(super) fn is_full(&self) -> bool {
        self.0 >= 1.0
    }
}

/// A slot whose owner is in service, and that owner.
struct OwnedSlot<'a> {
    slot: usize,
    index: ServerIndex,
    server: &'a Server,
}

/// Whether a probe sequence skips servers at which the class of the request is ejected.
#[derive(Clone, Copy, PartialEq)]
enum ClassEjections {
    Respect,
    Ignore,
}

/// A server that serves its slot of the probe sequence.
struct Candidate {
    server: ServerIndex,
    /// Its part of all traffic, plus the parts of the candidates before it.
    cumulative_share: f64,
}

/// The servers that a probe sequence found.
#[derive(Default)]
struct Candidates {
    candidates: Vec<Candidate>,
    total_share: f64,
    /// The server that gets the attempt if there is no candidate.
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
        // With one candidate no random number is drawn, so that recorded event streams replay unchanged.
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

/// The result of a probe sequence.
enum ProbeResult {
    /// A warming server that is owed an attempt (see `slow_start`), regardless of the slot's owner.
    OverdueAttempt(ServerIndex),
    /// An ejected server; the attempt is its trial.
    Trial(ServerIndex),
    /// The servers that can take the attempt, one of which is drawn at random, or a fallback.
    Candidates(Candidates),
}

impl Balancer {
    /// The slot of a request: that of its key or, without a key, one of two random slots: the one whose owner
    /// is less loaded.
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

    /// This node's attempts in flight at the owner of a slot, per unit of its weight. `f64::MAX` without an
    /// owner in service.
    fn load_at(&self, slot: usize) -> f64 {
        self.owned_slot(slot).map_or(f64::MAX, |owned| {
            f64::from(owned.server.in_flight) / owned.server.endpoint.weight
        })
    }

    /// A slot with its owner; `None` if the owner is no longer in service.
    fn owned_slot(&self, slot: usize) -> Option<OwnedSlot<'_>> {
        let index = self.slot_table.owner(slot)?;
        let server = self.servers.get(index)?;
        server.in_service.then_some(OwnedSlot {
            slot,
            index,
            server,
        })
    }

    /// The server for the next attempt of a request; `None` if no server may get it. A server at which the
    /// request's class is ejected is chosen only if no other can serve the request.
    pub(super) fn route(&mut self, id: RequestId) -> Option<ServerIndex> {
        self.refresh_table();
        self.choose(id, ClassEjections::Respect)
            .or_else(|| self.choose(id, ClassEjections::Ignore))
    }

    fn choose(&mut self, id: RequestId, ejections: ClassEjections) -> Option<ServerIndex> {
        match self.probe(&self.requests[&id], ejections) {
            ProbeResult::OverdueAttempt(server) | ProbeResult::Trial(server) => Some(server),
            ProbeResult::Candidates(candidates) => candidates.draw(&mut self.rng),
        }
    }

    /// Goes through the probe sequence of a request.
    fn probe(&self, request: &PendingRequest, ejections: ClassEjections) -> ProbeResult {
        let requests = self.traffic.requests();
        let mut unplaced_traffic = self.hot_keys.traffic_share(request.key, requests);
        // Only keys without recent traffic may go to a warming server; others stay where they are cached.
        if request.attempts.is_empty() && unplaced_traffic <= 0.0 {
            if let Some(server) = self.overdue_server(request) {
                return ProbeResult::OverdueAttempt(server);
            }
        }
        let mut found = Candidates::default();
        for owned in self.allowed_owners(request) {
            let server = owned.server;
            // A class ejection whose time is over does not exclude the server: this request is the trial.
            let class_ejection = &server.class_ejections[request.class.0];
            if ejections == ClassEjections::Respect && class_ejection.excludes(self.now) {
                continue;
            }
            if found.candidates.is_empty() && self.needs_trial(server, request.class) {
                return ProbeResult::Trial(owned.index);
            }
            let share = self.served_share(server);
            if slot_level(owned.slot) > share || self.exceeds_load_bound(server) {
                if found.fallback.is_none() && share >= FALLBACK_SHARE {
                    found.fallback = Some(owned.index);
                }
                continue;
            }
            let traffic_share = share * server.endpoint.weight / self.servers.total_weight();
            found.add(owned.index, traffic_share);
            unplaced_traffic -= HOT_KEY_LOAD * traffic_share;
            if unplaced_traffic <= 0.0 {
                break;
            }
        }
        ProbeResult::Candidates(found)
    }

    /// The servers of the probe sequence to which the request may be sent, each with its first slot there.
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

    /// The slots from the request's slot on, wrapping round, that have an owner in service.
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

    /// A warming server with an overdue attempt that can serve the request.
    fn overdue_server(&self, request: &PendingRequest) -> Option<ServerIndex> {
        let expected = self.latencies.expected(request.class, request.cost);
        self.slow_start
            .overdue_servers()
            .iter()
            .copied()
            .find(|&index| self.can_serve_overdue(&self.servers[index], request.class, expected))
    }

    /// Whether a warming server can take a request of this class, which a warm server would be expected to
    /// answer in `expected` microseconds. The warming server must be likely to answer within the latency
    /// objective, unless more than a few of the latest answers of all servers are late.
    fn can_serve_overdue(&self, server: &Server, class: ClassId, expected: f64) -> bool {
        let objective = self.settings.classes[class.0].latency_objective as f64;
        let warm_up = slow_start::warm_up_fraction(&self.settings, server, self.now);
        let in_time = OVERDUE_TIME_MARGIN * expected < warm_up * objective;
        self.served_share(server) >= FALLBACK_SHARE
            && !server.class_ejections[class.0].is_active()
            && !self.exceeds_load_bound(server)
            && (in_time || self.load.some_late())
    }

    /// Whether an ejected server should get a request of this class as its trial. Requests are used as trials
    /// only where health checks are not allowed, and non-idempotent ones never.
    fn needs_trial(&self, server: &Server, class: ClassId) -> bool {
        let idempotency = self.settings.classes[class.0].idempotency;
        server.ejection.is_trial_due(self.now)
            && idempotency != Idempotency::NonIdempotent
            && !self.settings.may_health_check
            && !self.is_exhausted(server)
    }

    /// The share of its slots that a server serves now, between 0 and 1.
    pub(super) fn served_share(&self, server: &Server) -> f64 {
        if !server.in_service
            || self.is_exhausted(server)
            || self.is_ejected(server)
            || self.is_in_lost_zone(server)
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

    /// Whether a server is warming up and may be sent nothing now (see `slow_start`).
    fn is_exhausted(&self, server: &Server) -> bool {
        self.slow_start
            .is_exhausted(&self.settings, server, self.now)
    }

    /// Whether a server is ejected and ejections are not ignored.
    pub(super) fn is_ejected(&self, server: &Server) -> bool {
        server.ejection.is_active() && !self.pool.in_panic()
    }

    /// Whether a server is in a lost zone (see `outlier`).
    pub(super) fn is_in_lost_zone(&self, server: &Server) -> bool {
        self.zones.is_lost(server.endpoint.zone)
    }

    /// The mean answer time of a server as a multiple of the expected time.
    pub(super) fn relative_latency(&self, server: &Server) -> f64 {
        let kind = self.kind_latencies.mean(server.endpoint.kind);
        server.relative_latency.mean(kind)
    }

    /// Whether a server has far more of this node's attempts in flight than its weight explains.
    fn exceeds_load_bound(&self, server: &Server) -> bool {
        let in_flight = f64::from(self.limit.in_flight());
        let usual = in_flight / self.servers.total_weight() * server.endpoint.weight;
        f64::from(server.in_flight) > (usual + LOAD_BOUND_MARGIN).max(LOAD_BOUND_MULTIPLE * usual)
    }
}
