//! The membership protocol of one agent: SWIM by `foca`, with Lifeguard's extensions, anti-entropy by exchanges of full
//! views, and unique names. A pure state machine without I/O or a clock: all decisions are made in
//! [`Membership::on_event`].

mod calls;
mod datagrams;
mod departure;
mod effects;
mod event;
mod foca_config;
mod join;
mod name_conflict;
mod periodic;
mod rate_limits;
mod view_exchange;

use std::collections::BTreeSet;
use std::net::SocketAddr;

use foca::Foca;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

use super::broadcast::BroadcastQueue;
use super::foca_adapter::{EffectCollector, PostcardCodec, SendBudget};
use super::local_health::LocalHealth;
use super::message::{fleet_id, CallMessage, MessageCounts};
use super::peer_digests::PeerDigests;
use super::quorum::Quorum;
use super::reachability::Reachability;
use super::report::{DifferingPeer, MemberReport, Report, ViewAgreement};
use super::settings::MembershipSettings;
use super::timers::Timers;
use super::{Entry, FleetSize, Identity, Name, Record, View};
use crate::{micros, Micros};
use calls::OutgoingCalls;
use departure::Departure;
pub use event::{CallId, ConnId, MembershipAction, MembershipEvent, MembershipStart};
use rate_limits::RateLimits;

/// Minimum interval between refreshes of the view.
const MIN_REFRESH_INTERVAL: Micros = 20_000;
/// In large fleets, the minimum interval between refreshes is this time per member, as a refresh visits all members.
const REFRESH_INTERVAL_PER_MEMBER: Micros = 50;
/// Most differences between two views that are reported.
const MAX_DIFFERENCES: usize = 8;

/// The phase of an agent's membership.
#[derive(Clone, Debug, PartialEq)]
enum Phase {
    /// The agent is calling its seeds and has not joined yet.
    Joining,
    /// The agent takes part in the protocol.
    Active,
    /// The agent has announced that it leaves, and ends at `until`.
    Leaving { until: Micros },
    /// The agent has left, or its name was rejected.
    Ended,
}

/// When each kind of periodic work is due next.
#[derive(Clone, Debug)]
struct Schedule {
    /// The work of each probe interval.
    tick: Micros,
    /// The exchange of full views with a random member.
    sync: Micros,
    /// The calls to seeds that are missing from the view.
    seeds: Micros,
}

impl Schedule {
    const NEVER: Schedule = Schedule {
        tick: Micros::MAX,
        sync: Micros::MAX,
        seeds: Micros::MAX,
    };
}

/// The membership state of one agent.
pub struct Membership {
    settings: MembershipSettings,
    fleet: u64,
    me: Identity,
    incarnation: u16,
    record: Record,
    seeds: Vec<SocketAddr>,
    phase: Phase,
    foca: Foca<Identity, PostcardCodec, Pcg64, BroadcastQueue>,
    effects: EffectCollector,
    broadcasts: BroadcastQueue,
    timers: Timers,
    health: LocalHealth,
    reachability: Reachability,
    /// The member that is being probed indirectly.
    indirectly_probed: Option<Name>,
    view: View,
    peer_digests: PeerDigests,
    quorum: Quorum,
    counts: MessageCounts,
    rng: Pcg64,
    calls: OutgoingCalls,
    /// Numbers of the rejected processes with this agent's name, each of which is reported once. Bounded.
    rejected_processes: Vec<u64>,
    schedule: Schedule,
    /// Probe intervals since the start of the process.
    ticks: u64,
    /// Whether SWIM's state or the records may have changed since the last refresh.
    view_is_stale: bool,
    refreshed_at: Option<Micros>,
    /// When the host is to wake this agent. A wake much later than this means that the process was paused.
    expected_wake: Micros,
    /// Addresses of members that asked whether this agent is alive. They are answered as soon as the rate limit allows.
    alive_replies: BTreeSet<SocketAddr>,
    departure: Departure,
    limits: RateLimits,
}

impl Membership {
    /// Creates the membership of an agent that has not started yet.
    pub fn new(settings: MembershipSettings, start: MembershipStart) -> Membership {
        let record = initial_record(start.record, &settings);
        let me = record.identity();
        let mut rng = Pcg64::seed_from_u64(start.seed);
        let foca_rng = Pcg64::seed_from_u64(rng.next_u64());
        let max_accusers = settings.suspicion_confirmations + 1;
        let broadcasts = BroadcastQueue::new(settings.max_members, max_accusers);
        let budget = SendBudget::default();
        let codec = PostcardCodec {
            budget: budget.clone(),
        };
        let config = foca_config::build(&settings, 1, settings.gossip_fanout);
        let foca =
            Foca::with_custom_broadcast(me.clone(), config, foca_rng, codec, broadcasts.clone());
        Membership {
            fleet: fleet_id(&settings.fleet),
            limits: RateLimits::new(&settings),
            settings,
            me,
            incarnation: 0,
            record,
            seeds: start.seeds,
            phase: Phase::Joining,
            foca,
            effects: EffectCollector {
                budget,
                ..EffectCollector::default()
            },
            broadcasts,
            timers: Timers::default(),
            health: LocalHealth::default(),
            reachability: Reachability::default(),
            indirectly_probed: None,
            view: View::default(),
            peer_digests: PeerDigests::default(),
            quorum: Quorum::default(),
            counts: MessageCounts::default(),
            rng,
            calls: OutgoingCalls::default(),
            rejected_processes: Vec::new(),
            schedule: Schedule::NEVER,
            ticks: 0,
            view_is_stale: false,
            refreshed_at: None,
            expected_wake: Micros::MAX,
            alive_replies: BTreeSet::new(),
            departure: Departure::default(),
        }
    }

    /// Handles an event and appends the actions it causes, in order. `now` must never decrease.
    pub fn on_event(
        &mut self,
        now: Micros,
        event: MembershipEvent,
        actions: &mut Vec<MembershipAction>,
    ) {
        if self.phase == Phase::Ended {
            return;
        }
        self.limits.refill(now);
        self.effects.budget.set(self.limits.datagrams.available());
        match event {
            MembershipEvent::Start => self.on_start(now, actions),
            MembershipEvent::Datagram(bytes) => self.on_datagram(now, &bytes, actions),
            MembershipEvent::Called { conn, bytes } => self.on_called(now, conn, &bytes, actions),
            MembershipEvent::Answered { call, bytes } => {
                self.on_answered(now, call, &bytes, actions)
            }
            MembershipEvent::CallFailed(call) => self.on_call_failed(now, call, actions),
            MembershipEvent::Wake => self.on_wake(now, actions),
            MembershipEvent::NodeStateChanged { state, note } => {
                self.record.node = state;
                self.record.note = note;
                self.publish_record();
            }
            MembershipEvent::Leave => self.on_leave(now, actions),
        }
        self.apply_effects(now, actions);
        self.expected_wake = self.next_wake().max(now);
    }

    /// When [`MembershipEvent::Wake`] is due.
    pub fn next_wake(&self) -> Micros {
        let leave = match self.phase {
            Phase::Leaving { until } => until,
            _ => Micros::MAX,
        };
        let alive_reply = if self.alive_replies.is_empty() {
            Micros::MAX
        } else {
            self.limits.next_direct_message()
        };
        self.schedule
            .tick
            .min(leave)
            .min(alive_reply)
            .min(self.departure.next_send(&self.limits))
            .min(self.next_refresh().unwrap_or(Micros::MAX))
            .min(self.timers.next_wake().unwrap_or(Micros::MAX))
    }

    /// When the view is refreshed next, if it is stale.
    fn next_refresh(&self) -> Option<Micros> {
        if !self.view_is_stale || self.phase == Phase::Joining {
            return None;
        }
        let members = self.foca.num_members() as Micros;
        let interval = MIN_REFRESH_INTERVAL.max(members * REFRESH_INTERVAL_PER_MEMBER);
        Some(self.refreshed_at.map_or(0, |last| last + interval))
    }

    /// The fleet as this agent sees it.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// This agent's current identity.
    pub fn me(&self) -> &Identity {
        &self.me
    }

    /// Messages and bytes sent and received, and messages dropped, since the start of the process.
    pub fn counts(&self) -> MessageCounts {
        self.counts
    }

    /// How many nodes share the load, and whether that count is reliable.
    pub fn fleet_size(&self, now: Micros) -> FleetSize {
        self.quorum.fleet_size(now, &self.view)
    }

    /// For how long all digests received have equalled this agent's own; `None` while one differs.
    pub fn agreed_for(&self, now: Micros) -> Option<Micros> {
        self.peer_digests
            .agreed_since()
            .map(|since| now.saturating_sub(since))
    }

    /// Encodes a call to an agent of this fleet.
    pub fn encode_call(&self, message: &CallMessage) -> Vec<u8> {
        message.encode(self.fleet)
    }

    /// Id of the fleet in messages.
    pub fn fleet_id(&self) -> u64 {
        self.fleet
    }

    /// The report for operators. Members are ordered by the text of their names.
    pub fn report(&self, now: Micros) -> Report {
        let mut members: Vec<MemberReport> = self
            .view
            .entries()
            .map(|entry| {
                let unreachable_since = self.reachability.unreachable_since(&entry.identity.name);
                MemberReport::new(now, entry, unreachable_since)
            })
            .collect();
        members.sort_by(|a, b| a.name.as_str().cmp(b.name.as_str()));
        Report {
            fleet: self.settings.fleet.clone(),
            me: self.me.name.clone(),
            health: self.health.score(),
            members,
            agreement: self.view_agreement(now),
            present: self.fleet_size(now),
            counts: self.counts,
        }
    }

    fn view_agreement(&self, now: Micros) -> ViewAgreement {
        let convergence_timeout = micros(self.settings.convergence_timeout);
        let differ = self
            .peer_digests
            .differing(now, convergence_timeout)
            .map(|differing| DifferingPeer {
                peer: differing.peer.clone(),
                for_ms: now.saturating_sub(differing.since) / 1_000,
                names: differing.differences.to_vec(),
            });
        ViewAgreement {
            digest: format!("{:016x}", self.view.digest()),
            agreed_for_ms: self.agreed_for(now).map(|span| span / 1_000),
            heard: self.peer_digests.received_since_change(),
            of: self.view.present().count().saturating_sub(1),
            differ: differ.collect(),
        }
    }

    fn on_start(&mut self, now: Micros, actions: &mut Vec<MembershipAction>) {
        self.schedule = Schedule {
            tick: now + micros(self.settings.probe_interval),
            seeds: now + micros(self.settings.seed_interval),
            sync: now + self.jittered(micros(self.settings.sync_interval)),
        };
        let own = self.me.addr;
        self.seeds.retain(|seed| *seed != own);
        for seed in self.seeds.clone() {
            self.call_seed(seed, actions);
        }
        if self.seeds.is_empty() {
            self.activate(now, None, actions);
        }
    }

    /// Members present, other than this agent.
    fn present_others(&self) -> impl Iterator<Item = &Entry> {
        self.view
            .present()
            .filter(|entry| entry.identity.name != self.me.name)
    }

    /// A random span from half to one and a half times `span`.
    fn jittered(&mut self, span: Micros) -> Micros {
        span / 2 + self.rng.next_u64() % span.max(1)
    }
}

/// The first version of this agent's record. Its generation is the start time of the process.
fn initial_record(record: Record, settings: &MembershipSettings) -> Record {
    let record = Record {
        generation: record.started_ms,
        version: 1,
        left: false,
        formats: settings.formats,
        ..record
    };
    record.truncated()
}
