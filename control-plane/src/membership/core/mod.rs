//! Owns one agent's membership: takes events and the time, tells what to send, whom to call and what changed.
//! Every decision of the room is reached from [`Membership::on_event`]; nothing here does I/O or reads a clock.

mod exchange;
mod swim;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::num::{NonZeroU8, NonZeroUsize};

use foca::{Foca, PeriodicParams};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

use super::board::{Board, Item};
use super::digest::Digests;
use super::foca_port::{Collector, Port, Room};
use super::health::Health;
use super::message::{fleet_id, Counts, Datagram, Stream, Word, ENVELOPE, LONGEST_DATAGRAM};
use super::pace::Pace;
use super::presence::Quorum;
use super::reach::Reach;
use super::report::{Agreement, DifferingPeer, MemberReport, Report};
use super::settings::Settings;
use super::timers::Timers;
use super::{Change, Entry, Identity, Name, NodeState, Present, Record, View};
use crate::{micros, Micros};

/// The view is brought up to date at most this often.
const REFRESH: Micros = 20_000;
/// And in large fleets at most this often, times the members.
const REFRESH_A_MEMBER: Micros = 50;
/// Words to and from suspects have this part of the rate: news has the rest.
const WORDS: usize = 2;
/// Bytes of such a word, at most.
const WORD: usize = 160;
/// Names in a difference that are told, at most.
const MOST_NAMES: usize = 8;

/// A call of this agent, until its answer.
pub type CallId = u64;
/// A call to this agent, until it is answered.
pub type ConnId = u64;

/// What an agent starts with.
#[derive(Clone, Debug)]
pub struct Start {
    /// What it says of itself; generation and version are set here.
    pub record: Record,
    /// Addresses to join by. Its own is skipped.
    pub seeds: Vec<SocketAddr>,
    /// For all random numbers.
    pub seed: u64,
}

/// What membership learns.
#[derive(Clone, Debug)]
pub enum Event {
    /// The agent is ready to send and receive. Once, first.
    Start,
    /// A datagram came.
    Datagram(Vec<u8>),
    /// Another agent calls; it is answered or not.
    Called {
        /// Comes back with the answer.
        conn: ConnId,
        /// What it says.
        bytes: Vec<u8>,
    },
    /// A call was answered.
    Answered {
        /// Which.
        call: CallId,
        /// What came.
        bytes: Vec<u8>,
    },
    /// A call was not answered in time, or not at all.
    CallFailed(CallId),
    /// The time asked for by [`Membership::next_wake`] has come. What has come over the network goes first.
    Wake,
    /// The node beside the agent does something else now, or there is something to say of it.
    Node {
        /// What it does.
        state: NodeState,
        /// The last thing of note.
        note: String,
    },
    /// The agent ends on purpose.
    Leave,
}

/// What the host is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a datagram.
    Send {
        /// Where to.
        to: SocketAddr,
        /// What.
        bytes: Vec<u8>,
    },
    /// Call another agent, answer or failure to come back.
    Call {
        /// Which.
        call: CallId,
        /// Where to.
        to: SocketAddr,
        /// What.
        bytes: Vec<u8>,
    },
    /// Answer a call.
    Answer {
        /// Whose.
        conn: ConnId,
        /// What.
        bytes: Vec<u8>,
    },
    /// Something came for the duties, with the call to answer where there is one.
    Pass {
        /// Whose call.
        conn: Option<ConnId>,
        /// What it says.
        stream: Box<Stream>,
    },
    /// Something changed, for logs.
    Tell(Change),
    /// An older process holds this name: the agent is to end.
    Refused(Box<Record>),
    /// Leaving is done: the agent may end.
    Gone,
}

/// How far an agent has come.
#[derive(Clone, Debug, PartialEq)]
enum Phase {
    /// Calls of the join are out.
    Joining,
    /// It takes part.
    In,
    /// It has said that it goes, and ends then.
    Leaving { until: Micros },
    /// Refused, or gone.
    Over,
}

/// What a call is for.
#[derive(Clone, Debug)]
enum Purpose {
    /// Join, or find a part of the fleet again, by a seed.
    Seed(SocketAddr),
    /// Exchange views with a member.
    Sync(Name),
    /// Ask another process of this name; with what to go on with where it is gone.
    Claim {
        rival: Box<Identity>,
        joining: Option<Box<super::message::Whole>>,
    },
}

/// One agent's membership.
pub struct Membership {
    settings: Settings,
    fleet: u64,
    me: Identity,
    incarnation: u16,
    record: Record,
    seeds: Vec<SocketAddr>,
    phase: Phase,
    foca: Foca<Identity, Port, Pcg64, Board>,
    collector: Collector,
    board: Board,
    timers: Timers,
    health: Health,
    reach: Reach,
    probing: Option<Name>,
    view: View,
    digests: Digests,
    quorum: Quorum,
    counts: Counts,
    rng: Pcg64,
    calls: BTreeMap<CallId, Purpose>,
    call_number: CallId,
    /// Processes of this name that were refused, told once each; bounded.
    refused: Vec<u64>,
    tick_at: Micros,
    sync_at: Micros,
    seed_at: Micros,
    dirty: bool,
    refreshed: Option<Micros>,
    ticks: u64,
    /// When the host was told to wake this agent: later than that, it was paused.
    promised: Micros,
    /// Members that asked whether this agent lives, to be answered at once.
    askers: BTreeSet<SocketAddr>,
    /// Members that are still to be told straight that this agent leaves.
    farewells: Vec<SocketAddr>,
    farewell: Vec<u8>,
    /// Holds all datagrams, and of them the words, to the rate.
    pace: Pace,
    words: Pace,
    /// Holds whole views to the rate, beside the datagrams.
    views: Pace,
}

impl Membership {
    /// An agent that has not started yet. Its generation begins at the record's start time.
    pub fn new(settings: Settings, start: Start) -> Membership {
        let Start {
            record,
            seeds,
            seed,
        } = start;
        let record = Record {
            generation: record.started_ms,
            version: 1,
            left: false,
            formats: settings.formats,
            ..record
        };
        let record = record.trimmed();
        let me = record.identity();
        let mut rng = Pcg64::seed_from_u64(seed);
        let board = Board::new(settings.most_members, settings.suspicion_confirmations + 1);
        let foca_rng = Pcg64::seed_from_u64(rng.next_u64());
        let config = foca_config(&settings, 1, settings.gossip_fanout);
        let room = Room::default();
        let port = Port { room: room.clone() };
        let foca = Foca::with_custom_broadcast(me.clone(), config, foca_rng, port, board.clone());
        let pace = Pace::new(settings.rate, settings.burst);
        let words = Pace::new(settings.rate / WORDS, settings.burst);
        let views = Pace::new(settings.rate, settings.burst);
        Membership {
            fleet: fleet_id(&settings.fleet),
            settings,
            me,
            incarnation: 0,
            record,
            seeds,
            phase: Phase::Joining,
            foca,
            collector: Collector {
                room,
                ..Collector::default()
            },
            board,
            timers: Timers::default(),
            health: Health::default(),
            reach: Reach::default(),
            probing: None,
            view: View::default(),
            digests: Digests::default(),
            quorum: Quorum::default(),
            counts: Counts::default(),
            rng,
            calls: BTreeMap::new(),
            call_number: 0,
            refused: Vec::new(),
            tick_at: Micros::MAX,
            sync_at: Micros::MAX,
            seed_at: Micros::MAX,
            dirty: false,
            refreshed: None,
            ticks: 0,
            promised: Micros::MAX,
            askers: BTreeSet::new(),
            farewells: Vec::new(),
            farewell: Vec::new(),
            pace,
            words,
            views,
        }
    }

    /// Takes an event at a time that never goes back, and appends what is to be done, in order.
    pub fn on_event(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        if self.phase == Phase::Over {
            return;
        }
        self.pace.refill(now);
        self.words.refill(now);
        self.views.refill(now);
        self.collector.room.set(self.pace.left());
        match event {
            Event::Start => self.start(now, actions),
            Event::Datagram(bytes) => self.datagram(now, &bytes, actions),
            Event::Called { conn, bytes } => self.called(now, conn, &bytes, actions),
            Event::Answered { call, bytes } => self.answered(now, call, &bytes, actions),
            Event::CallFailed(call) => self.call_failed(now, call, actions),
            Event::Wake => self.wake(now, actions),
            Event::Node { state, note } => {
                (self.record.node, self.record.note) = (state, note);
                self.publish();
            }
            Event::Leave => self.leave(now, actions),
        }
        self.settle_up(now, actions);
        self.promised = self.next_wake().max(now);
    }

    /// When [`Event::Wake`] is due.
    pub fn next_wake(&self) -> Micros {
        let own = self.tick_at;
        let leaving = if let Phase::Leaving { until } = self.phase {
            until
        } else {
            Micros::MAX
        };
        let answers = if self.askers.is_empty() {
            Micros::MAX
        } else {
            self.word_at()
        };
        let farewells = if self.farewells.is_empty() {
            Micros::MAX
        } else {
            self.pace.when(self.farewell.len())
        };
        own.min(leaving)
            .min(answers)
            .min(farewells)
            .min(self.refresh_at().unwrap_or(Micros::MAX))
            .min(self.timers.next().unwrap_or(Micros::MAX))
    }

    /// When the view is to be brought up to date: news come in bursts, and each look goes through all members.
    fn refresh_at(&self) -> Option<Micros> {
        let wanted = self.dirty && self.phase != Phase::Joining;
        let span = REFRESH.max(self.foca.num_members() as Micros * REFRESH_A_MEMBER);
        wanted.then(|| self.refreshed.map_or(0, |last| last + span))
    }

    /// The picture of the fleet.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// Who this agent is now.
    pub fn me(&self) -> &Identity {
        &self.me
    }

    /// Messages since the start.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// How many nodes share the work, and whether that may be believed.
    pub fn present(&self, now: Micros) -> Present {
        self.quorum.present(now, &self.view)
    }

    /// For how long all views heard have been the same as this one.
    pub fn agreed_for(&self, now: Micros) -> Option<Micros> {
        self.digests
            .agreed_since()
            .map(|since| now.saturating_sub(since))
    }

    /// A message of the duties' as bytes of a call.
    pub fn seal(&self, stream: &Stream) -> Vec<u8> {
        stream.encode(self.fleet)
    }

    /// The fleet as messages carry it.
    pub fn fleet(&self) -> u64 {
        self.fleet
    }

    /// Sends a voter's message: in a datagram, or `None` where it is too long for one or the voter is not present.
    pub fn post_agreed(
        &mut self,
        to: &Name,
        bytes: &[u8],
        actions: &mut Vec<Action>,
    ) -> Option<()> {
        let to = self
            .view
            .get(to)
            .filter(|entry| entry.presence.is_present())?
            .identity
            .clone();
        let datagram = Datagram {
            digest: self.view.digest(),
            payload: &[],
            item: &[],
            word: Word::Agreed(bytes.to_vec()),
        };
        let bytes = datagram.encode(super::FORMATS.newest, self.fleet);
        (bytes.len() <= LONGEST_DATAGRAM).then(|| self.post(to.addr, bytes, actions))
    }

    /// All that staff are told.
    pub fn report(&self, now: Micros) -> Report {
        let settle = micros(self.settings.settle);
        let members = self.view.entries();
        let members =
            members.map(|e| MemberReport::new(now, e, self.reach.lost_since(&e.identity.name)));
        let mut members: Vec<MemberReport> = members.collect();
        members.sort_by(|a, b| a.name.as_str().cmp(b.name.as_str()));
        let differ = self
            .digests
            .differing(now, settle)
            .map(|(peer, since, of)| DifferingPeer {
                peer: peer.clone(),
                for_ms: now.saturating_sub(since) / 1_000,
                names: of.names.clone(),
            });
        Report {
            fleet: self.settings.fleet.clone(),
            me: self.me.name.clone(),
            health: self.health.score(),
            members,
            agreement: Agreement {
                digest: format!("{:016x}", self.view.digest()),
                agreed_for_ms: self.agreed_for(now).map(|span| span / 1_000),
                heard: self.digests.heard_since_change(),
                of: self.view.present().count().saturating_sub(1),
                differ: differ.collect(),
            },
            present: self.present(now),
            counts: self.counts,
        }
    }

    fn start(&mut self, now: Micros, actions: &mut Vec<Action>) {
        self.tick_at = now + micros(self.settings.probe_interval);
        self.seed_at = now + micros(self.settings.seed_interval);
        self.sync_at = now + self.jittered(micros(self.settings.sync_interval));
        let own = self.me.addr;
        self.seeds.retain(|seed| *seed != own);
        for seed in self.seeds.clone() {
            self.call_seed(seed, actions);
        }
        if self.seeds.is_empty() {
            self.enter(now, None, actions);
        }
    }

    /// Says something new of this agent to all.
    fn publish(&mut self) {
        self.renew_record();
        if self.phase != Phase::Joining {
            self.spread_record();
        }
    }

    fn renew_record(&mut self) {
        self.record.version = self.record.version.saturating_add(1);
        self.record.generation = self.me.generation;
        self.record = self.record.clone().trimmed();
    }

    fn leave(&mut self, now: Micros, actions: &mut Vec<Action>) {
        self.record.left = true;
        self.publish();
        if self.phase == Phase::Joining || self.view.present().count() <= 1 {
            self.phase = Phase::Over;
            actions.push(Action::Gone);
            return;
        }
        // Straight to as many as the rate carries until the end, beside the gossip that reaches the others.
        let item = Item::Record(self.record.clone()).encode();
        let farewell = Datagram {
            digest: self.view.digest(),
            payload: &[],
            item: &item,
            word: Word::None,
        };
        self.farewell = farewell.encode(super::FORMATS.least, self.fleet);
        self.farewells = self
            .present_others()
            .map(|entry| entry.identity.addr)
            .collect();
        let linger = (2 * micros(self.settings.probe_interval)).max(300_000);
        self.phase = Phase::Leaving {
            until: now + linger,
        };
    }

    /// When the next word to or from a suspect may go.
    fn word_at(&self) -> Micros {
        self.words.when(WORD).max(self.pace.when(WORD))
    }

    /// Sends what waits for the rate: answers to those that doubt this agent, then farewells.
    fn say(&mut self, actions: &mut Vec<Action>) {
        while self.words.left().min(self.pace.left()) >= WORD as i64 {
            let Some(to) = self.askers.pop_first() else {
                break;
            };
            let alive = Word::Alive {
                identity: self.me.clone(),
                incarnation: self.incarnation,
            };
            let word = Datagram {
                digest: self.view.digest(),
                payload: &[],
                item: &[],
                word: alive,
            };
            let bytes = word.encode(super::FORMATS.newest, self.fleet);
            self.words.spend(bytes.len());
            self.post(to, bytes, actions);
        }
        while self.pace.left() >= self.farewell.len() as i64 {
            let Some(to) = self.farewells.pop() else {
                break;
            };
            self.post(to, self.farewell.clone(), actions);
        }
    }

    fn post(&mut self, to: SocketAddr, bytes: Vec<u8>, actions: &mut Vec<Action>) {
        self.counts.datagrams_out += 1;
        self.counts.bytes_out += bytes.len() as u64;
        self.pace.spend(bytes.len());
        actions.push(Action::Send { to, bytes });
    }

    /// Members present, without this agent.
    fn present_others(&self) -> impl Iterator<Item = &Entry> {
        self.view
            .present()
            .filter(|entry| entry.identity.name != self.me.name)
    }

    fn jittered(&mut self, span: Micros) -> Micros {
        span / 2 + self.rng.next_u64() % span.max(1)
    }
}

fn foca_config(settings: &Settings, members: usize, fanout: usize) -> foca::Config {
    let (_, longest) = settings.suspicion(members);
    let periodic = |frequency, members: usize| PeriodicParams {
        frequency,
        num_members: NonZeroUsize::new(members).unwrap_or(NonZeroUsize::MIN),
    };
    foca::Config {
        probe_period: settings.probe_interval,
        probe_rtt: settings.probe_timeout,
        num_indirect_probes: NonZeroUsize::new(settings.indirect_probes)
            .unwrap_or(NonZeroUsize::MIN),
        max_transmissions: NonZeroU8::new(settings.retransmits(members)).unwrap_or(NonZeroU8::MIN),
        // The core fires this timer by its own count of accusers, at the latest after this.
        suspect_to_down_after: std::time::Duration::from_micros(longest),
        remove_down_after: Some(settings.hold),
        max_packet_size: NonZeroUsize::new(LONGEST_DATAGRAM - ENVELOPE)
            .unwrap_or(NonZeroUsize::MIN),
        notify_down_members: true,
        periodic_announce: None,
        periodic_announce_to_down_members: Some(periodic(settings.rejoin_interval, 3)),
        periodic_gossip: Some(periodic(settings.gossip_interval, fanout)),
    }
}
