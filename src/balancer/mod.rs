//! The decisions. The interface (settings, events, actions) is `src/api.rs`.
//!
//! The ordinary path: a request's key picks a slot of the Maglev table, the slot's owner serves it.
//! Exceptions make a request walk on from its slot to the next owner that can carry it (see
//! `Balancer::route`), or go with what is due to a cold server.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

use fastrand::Rng;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::api::*;

mod report;

/// Slots of a layer of the table: a prime. `docs/table.md` has the design.
pub const LAYER_SLOTS: usize = 16_381;
/// One slot of a table of several layers is built in such a time: 1.5 % of a core, and no request waits.
const SLOT_TIME: Micros = 3;
/// Seeds of the table's two hashes, the key hash and the nodes' order at a cold server, alike at all nodes.
const OFFSET_SEED: u64 = 0x636f_7070_6572;
const SKIP_SEED: u64 = 0x7461_636b;
const KEY_SEED: u64 = 0x006b_6579;
const PHASE_SEED: u64 = 0x7068_6173;
/// The least part of a turn that a small server gets; more where it would still come by no slot.
const LEAST_TURN: f64 = 1.0 / 64.0;

/// How often the servers are looked over, at most, and where requests want faster answers, a part of
/// the shortest aim. All spans below are for a sweep of this length and follow it, as traffic does.
const SWEEP: Micros = 100_000;
const SWEEP_LEAST: Micros = 10_000;
const SWEEPS_AN_AIM: Micros = 4;
/// The most owners that one walk looks at, and the most slots that a first one passes; others pass 4 layers.
const WALK_OWNERS: usize = 64;
const WALK_SLOTS: usize = 1_024;
/// A key may bring an owner this multiple of a server's mean load before it is spread.
const HOT_LOAD: f64 = 0.35;
/// Keys counted by a node, and what each sweep keeps of all counts of traffic.
const HOT_KEYS: usize = 128;
const HOT_KEEP: f64 = 0.984;
const HOT_LEAST: f64 = 20.0;

/// A server overflows above this multiple of the mean in flight, plus this many.
const OVERFLOW_MULTIPLE: f64 = 2.0;
const OVERFLOW_MORE: f64 = 2.0;
/// What a sign of too much work takes off the limit, in parts of a second's attempts, and the regain.
const LIMIT_CUT: f64 = 0.9;
const LIMIT_REGAIN: f64 = 0.06;
/// Fewer late answers than this part are no sign of more work than the fleet can do.
const LATE_PART: f64 = 0.15;
/// With no more than this part of the fleet ejected, the others have room for its work.
const FEW_OUT: f64 = 0.2;
const LEAST_LIMIT: f64 = 0.5;
/// Answers that take twice the expected time are a sign too, where they are this part of the latest. Not
/// those within this part of their aim while servers hold one request or less each: nothing waits there.
const STRAIN: f64 = 0.35;
const STRAINED: f64 = 2.0;
const ROOMY: f64 = 0.25;
/// What a sweep keeps of the counts, and the answers as expected that they begin with.
const STRAIN_KEEP: f64 = 0.9;
const STRAIN_GUESS: f64 = 2.0;
/// Under strain so many times what is served in the expected time is kept in flight.
const FLOW_ROOM: f64 = 2.0;
const FLOW_WEIGHT: f64 = 0.07;
/// An attempt that is out for this multiple of the expected time counts before it ends.
const OVERDUE: f64 = 2.5;

/// Answers that the guess at a server's pace begins with, from its kind, and a kind's, from all.
const GUESS: f64 = 1.5;
const LEAST_PACE: f64 = 0.12;
/// So many servers of a zone without a connection, and no answer from it, mean that all of it is lost.
const ZONE_SILENT: usize = 3;
/// Answers of a server that the guess goes by, and what a sweep keeps of them: some nodes see few.
const PACE_MEMORY: f64 = 32.0;
const PACE_KEEP: f64 = 0.9965;
/// Shares: what a full answer leaves, what a sweep gives back, the least that is left.
const FULL_YIELD: f64 = 0.6;
const REGAIN: f64 = 0.01;
const LEAST_SHARE: f64 = 0.05;
/// A walk that finds no owner falls back on one that carries at least this share.
const FALLBACK_SHARE: f64 = 0.5;
/// Share of a server just back from ejection.
const BACK_SHARE: f64 = 0.3;
/// What the latest attempt weighs in the part of a server's attempts that failed.
const FAILING_WEIGHT: f64 = 0.15;
/// A server is ejected when this part of its attempts failed, and this many times the usual part.
const FAILING: f64 = 0.4;
const FAILING_MORE: f64 = 2.5;
/// First ejection; each further one doubles it up to the longest.
const EJECTION: Micros = 700_000;
const EJECTION_LONGEST: Micros = 8_000_000;
/// Silence of this multiple of the slowest class's mean answer time ejects, but never a shorter one.
const SILENCE: f64 = 4.0;
const SILENCE_LEAST: Micros = 300_000;
/// With more than this part of the fleet ejected the cause is shared: ejections are ignored.
const PANIC: f64 = 0.5;

/// Part of the requests that may be sent again after they may have run, and the burst of it.
const RETRY_RATIO: f64 = 0.2;
const RETRY_BURST: f64 = 20.0;
/// An attempt is late past this multiple of its class's norm: sooner repeats more work.
const LATE: f64 = 4.0;

/// Part of the limit that requests of the lowest worth leave free for others.
const RESERVE: f64 = 0.3;
/// Spread of the limit over the keys: nodes refuse the same keys first, so the others stay remembered.
const LEVELS: f64 = 0.5;
/// A cold server may be sent this part of what topples it: it remembers no key yet. An attempt that is due
/// lapses after this part of the time that topples it, and from a third of that on goes with any request.
const COLD_CARE: f64 = 0.45;
const COLD_LAPSE: f64 = 0.5;
/// A node counts its traffic for so long before it sends cold servers anything.
const SETTLE: Micros = 1_000_000;
/// Idle connections are kept in a group up to this size, and while no more attempts than this get none.
const LINK_KEEPERS: u32 = 24;
const LINKS_SHORT: f64 = 0.02;

/// When a refused client ought to come back. Longer costs those who would have been served sooner.
const COME_BACK: Micros = 20_000;

/// From one call to discovery to the next at the latest: its news count as told in 6 s, however calls fail.
pub const DISCOVERY_CALL_INTERVAL: Micros = 5_000_000;

const TIMER_SWEEP: TimerId = TimerId(1);
const TIMER_SUBSCRIBE: TimerId = TimerId(2);
/// The end of a key's rest: this and the key.
const TIMER_REST: u64 = 16;

/// The table's slots: a layer, and four times as many when there are eight a server, 2,047, 8,190 or 32,762.
/// Each server from there on adds 48, so that one alone moves few keys. Beyond 131,048 it grows no more.
pub fn table_slots(servers: usize) -> usize {
    let added = |full: usize| (48 * servers.saturating_sub(full / 8)).min(3 * full);
    LAYER_SLOTS
        + [1, 4, 16]
            .map(|layers| added(layers * LAYER_SLOTS))
            .iter()
            .sum::<usize>()
}

/// The slot of a key in a table of so many: each slot that is added takes its even part of the others' keys.
pub fn slot_of_key(key: Key, slots: usize) -> usize {
    let mut hash = xxh3_64_with_seed(&key.0.to_le_bytes(), KEY_SEED);
    let (mut slot, mut next) = (0, hash % LAYER_SLOTS as u64);
    while next < slots as u64 {
        slot = next;
        hash = hash.wrapping_mul(0xD134_2543_DE82_EF95).wrapping_add(1);
        next = ((slot + 1).max(LAYER_SLOTS as u64) << 31) / ((hash >> 33) + 1);
    }
    slot as usize
}

/// The table over `(server, weight)` pairs, as it is built. Servers take turns in the order of their ids, and
/// add their size, in parts of the power of two above the largest, to their credit. A whole one claims a slot
/// of the next block that has one, a block being a slot in each layer: one change of the fleet moves few.
pub struct TableBuilder {
    /// Server, next block, skip, hash, credit and what a turn adds; then, whose turn it is.
    turns: Vec<(ServerId, u64, u64, u64, f64, f64)>,
    turn: usize,
    /// By block, a bit for each layer where it is free: those of neighbours lie far apart.
    free: Vec<u64>,
    left: usize,
    table: Vec<u32>,
}

impl TableBuilder {
    /// A table without an owner of any slot.
    pub fn new(mut servers: Vec<(ServerId, f64)>) -> TableBuilder {
        let left = if servers.is_empty() {
            0
        } else {
            table_slots(servers.len())
        };
        let step = servers
            .iter()
            .map(|s| s.1)
            .fold(f64::MIN_POSITIVE, f64::max)
            .log2()
            .ceil()
            .exp2();
        let least = LEAST_TURN.max(1.0 / ((left / servers.len().max(1)) as f64 - 0.5));
        servers.sort_by_key(|s| s.0);
        let turn = |&(server, size): &(ServerId, f64)| {
            let hash = |seed| xxh3_64_with_seed(&server.0.to_le_bytes(), seed);
            let (offset, skip, m) = (hash(OFFSET_SEED), hash(SKIP_SEED), LAYER_SLOTS as u64);
            (
                server,
                offset % m,
                skip % (m - 1) + 1,
                offset ^ skip,
                0.0,
                (size / step).max(least),
            )
        };
        let layers = |at| (at..left).step_by(LAYER_SLOTS).zip(0_u32..);
        let free = |at| {
            layers(at)
                .map(|(_, layer)| 1_u64 << (layer.reverse_bits() >> 26))
                .sum()
        };
        let (turns, free) = (
            servers.iter().map(turn).collect(),
            (0..LAYER_SLOTS).map(free).collect(),
        );
        TableBuilder {
            turns,
            turn: 0,
            free,
            left,
            table: vec![u32::MAX; left],
        }
    }

    /// Claims up to so many slots; whether all have an owner.
    pub fn claim(&mut self, slots: usize) -> bool {
        let least = self.left.saturating_sub(slots);
        while self.left > least {
            let turn = self.turn;
            self.turn = (turn + 1) % self.turns.len();
            let (_, next, skip, hash, credit, gain) = &mut self.turns[turn];
            *credit += *gain;
            if *credit >= 1.0 {
                while self.free[*next as usize] == 0 {
                    *next = (*next + *skip) % LAYER_SLOTS as u64;
                }
                let block = *next as usize;
                let first = ((*hash ^ *next).wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 58) as u32;
                let bit = (self.free[block].rotate_right(first).trailing_zeros() + first) % 64;
                self.free[block] ^= 1 << bit;
                self.table[block + (bit.reverse_bits() >> 26) as usize * LAYER_SLOTS] = turn as u32;
                (*next, *credit) = ((*next + *skip) % LAYER_SLOTS as u64, *credit - 1.0);
                self.left -= 1;
            }
        }
        self.left == 0
    }

    /// The owners of the slots, as `place` has them.
    pub fn owners<T: Copy>(&self, place: impl Fn(ServerId) -> T) -> Vec<T> {
        let places: Vec<T> = self.turns.iter().map(|turn| place(turn.0)).collect();
        self.table
            .iter()
            .map(|&owner| places[owner as usize])
            .collect()
    }
}

/// A slot's place in 0..1 for yielding: the same at every node, spread evenly over the slots.
fn slot_level(slot: usize) -> f64 {
    f64::from((slot as u32).wrapping_mul(0x9E37_79B1)) / f64::from(u32::MAX)
}

#[derive(Default)]
struct Server {
    member: Endpoint,
    /// On the list and in service, and not taken out by operators.
    ready: bool,
    listed: bool,
    /// When operators put it back: it is cold from then, whatever the list knows of its start.
    returned: Micros,
    inflight: u32,
    /// Since when an attempt is out without a word from the server.
    quiet_since: Micros,
    /// Part of its slots that it carries, as far as its answers tell.
    share: f64,
    pace: Pace,
    /// Its ejection, by attempts that ended in an error, a reset or a time-out.
    ban: Bar,
    /// The same by class, by errors: it may fail one and serve the others well.
    bars: Vec<Bar>,
    /// While it is cold: attempts that this node may send it, and when it last was less than one.
    budget: f64,
    spent_at: Micros,
}

/// Whether a server fails what it is sent.
#[derive(Clone, Default)]
struct Bar {
    /// Part of its latest attempts that failed.
    failing: f64,
    /// While it is barred: when it may be tried again.
    until: Option<Micros>,
    trial: bool,
    /// How often it was barred in a row.
    times: u32,
}

#[derive(Clone, Copy, PartialEq)]
enum Fate {
    Out,
    NeverRan,
    MayHaveRun,
}

/// Until when an answer earns its full worth, and until when it is worth waiting for.
fn times(class: &RequestClass, now: Micros, patience: Micros) -> (Micros, Micros) {
    // Where a late answer earns nothing, waiting for it only fills a server's queue.
    let useful = if class.late_value > 0.0 {
        class.deadline
    } else {
        class.latency_objective - class.latency_objective / 32
    };
    (
        now + class.latency_objective.min(patience),
        now + patience.min(useful),
    )
}

struct Attempt {
    member: Endpoint,
    sent: Micros,
    fate: Fate,
    /// The answer time expected of it, and whether it has counted as overdue.
    expected: f64,
    overdue: bool,
    /// It is among those in flight: from when it is whole.
    counted: bool,
}

struct Pending {
    class: usize,
    cost: Option<Micros>,
    slot: usize,
    key: Option<Key>,
    /// The key whose turn it needs, for a class that is in order.
    ordered: Option<Key>,
    /// Its body is still coming: its times don't count yet.
    coming: bool,
    /// An answer is worth its full worth until then.
    aim: Micros,
    deadline: Micros,
    attempts: Vec<Attempt>,
    ended: bool,
}

/// The requests of an in-order key that are not over, as they were taken: the first has the turn.
#[derive(Default)]
struct Turn {
    queue: VecDeque<RequestId>,
    /// What may still be running of an earlier request is given until then.
    rests_until: Micros,
}

/// Answer times against the expected ones: a fading sum, and of how many.
#[derive(Clone, Copy, Default)]
struct Pace {
    sum: f64,
    count: f64,
}

impl Pace {
    fn add(&mut self, ratio: f64, memory: f64) {
        self.fade(1.0 - 1.0 / memory);
        self.sum += ratio;
        self.count += 1.0;
    }

    fn fade(&mut self, keep: f64) {
        self.sum *= keep;
        self.count *= keep;
    }

    /// The mean, which begins at a guess that counts for some answers.
    fn mean(&self, guess: f64) -> f64 {
        (self.sum + GUESS * guess) / (self.count + GUESS)
    }
}

/// Answer times of a class, and how much of the traffic it is.
struct Norm {
    mean: f64,
    /// Mean of what its requests were said to cost, and the answers that both means hold.
    cost: f64,
    answers: f64,
    /// Requests counted within and beyond their tenant's quota.
    rates: [f64; 2],
}

struct Hot {
    key: Key,
    count: f64,
    /// Part of the count that may belong to the key that was counted here before.
    error: f64,
}

/// What a node takes from its traffic as a whole.
#[derive(Default)]
struct Mood {
    /// Part of the latest answers that came late or not at all.
    late: f64,
    /// Parts of the latest answers that are a sign of too much work and that took far longer than expected;
    /// the fading counts of both and of all.
    strain: [f64; 2],
    measured: [f64; 3],
    /// Part of the latest answered or failed attempts that failed.
    failing: f64,
    /// Part of the latest attempts that got no connection.
    unlinked: f64,
    /// Most requests that this node keeps in flight; unlimited until servers turn some away.
    limit: f64,
    /// What is in flight, smoothed.
    usual: f64,
    /// Expected times of the answers since the last sweep; smoothed, what would be in flight by them.
    answered: f64,
    flow: f64,
    /// Part of the fleet that is ejected.
    ejected: f64,
    /// Sizes of the servers in use, the cold ones by what they are sent.
    able: f64,
    /// Requests taken, attempts sent and attempts served for a server of size 1: fading counts.
    taken: f64,
    sends: f64,
    served: f64,
}

/// The decisions of one node.
#[derive(Default)]
pub struct Balancer {
    settings: Settings,
    rng: Rng,
    now: Micros,
    sweep: Micros,
    /// This node's place among all, in 0..1: the same after a restart.
    place: f64,
    /// When it knows its traffic; `None` from then on.
    settles: Option<Micros>,
    /// Cold servers that an attempt has been due for a while.
    ripe: Vec<usize>,
    servers: Vec<Server>,
    index: HashMap<ServerId, usize>,
    /// Servers that operators have taken out, on the list or not.
    out: BTreeSet<ServerId>,
    table: Vec<u32>,
    /// The next table while it is built, when that last went on, and servers that changed since it began.
    build: Option<TableBuilder>,
    built: Micros,
    changes: usize,
    size_total: f64,
    inflight: u32,
    requests: HashMap<RequestId, Pending>,
    turns: BTreeMap<Key, Turn>,
    norms: Vec<Norm>,
    /// Covariance of answer time and cost inside the classes, and variance of the cost.
    spread: (f64, f64),
    /// Servers of a zone that made no connection since any of it answered.
    silent: BTreeMap<ZoneId, Vec<ServerId>>,
    /// How the kinds of servers do, and the quickest of them.
    kinds: BTreeMap<KindId, Pace>,
    quickest: f64,
    tenant_rates: Vec<f64>,
    hot: Vec<Hot>,
    /// How many seconds the fading counts hold.
    window: f64,
    retries: f64,
    mood: Mood,
    /// Refusals in a row; `None` while it is subscribed. And when discovery was last called.
    refusals: Option<u32>,
    called: Micros,
}

impl Balancer {
    /// A node at its start. `seed` feeds its random choices and nothing that nodes agree on.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let mut rng = Rng::with_seed(seed);
        let mut balancer = Balancer {
            place: settings.node_index.map_or_else(
                || rng.f64(),
                |me| f64::from(me) / f64::from(settings.node_count),
            ),
            settles: Some(Micros::MAX),
            sweep: SWEEP,
            rng,
            quickest: 1.0,
            window: 1.0,
            retries: RETRY_BURST,
            mood: Mood {
                limit: f64::INFINITY,
                able: f64::INFINITY,
                ..Mood::default()
            },
            refusals: Some(0),
            ..Balancer::default()
        };
        balancer.on_settings(settings);
        balancer
    }

    /// Settings in place of those there are, at the same places: what is held and learnt goes by these.
    fn on_settings(&mut self, settings: Settings) {
        let (classes, tenants) = (settings.classes.len(), settings.tenants.len());
        if classes < self.norms.len() || tenants < self.tenant_rates.len() {
            return;
        }
        let norm = |c: &RequestClass| Norm {
            mean: c.latency_objective as f64 / 4.0,
            cost: 0.0,
            answers: 0.0,
            rates: [0.0; 2],
        };
        self.norms
            .extend(settings.classes[self.norms.len()..].iter().map(norm));
        self.servers
            .iter_mut()
            .for_each(|server| server.bars.resize(classes, Bar::default()));
        self.tenant_rates.resize(tenants, 0.0);
        let shortest = settings
            .classes
            .iter()
            .map(|c| c.latency_objective)
            .min()
            .unwrap_or(Micros::MAX);
        self.sweep = (shortest / SWEEPS_AN_AIM).clamp(SWEEP_LEAST, SWEEP);
        self.settings = settings;
    }

    /// Takes one event and appends what to do to `out`.
    pub fn on_event(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        self.now = self.now.max(now);
        match event {
            Event::EndpointUpdate {
                kind,
                endpoints: members,
            } => self.on_sync(kind, members, out),
            Event::Request(request) => self.on_request(request, out),
            Event::RequestComplete {
                id,
                remaining_timeout: patience,
            } => self.on_whole(id, patience),
            Event::AttemptEnded(closed) => self.on_closed(closed, out),
            Event::RequestAbandoned(id) => self.end(id, out),
            Event::HealthCheckEnded {
                server, outcome, ..
            } => self.on_probed(server, outcome),
            Event::Cordon {
                server,
                cordoned: out,
            } => self.on_maintenance(server, out),
            Event::Settings(settings) => self.on_settings(*settings),
            Event::Timer(TIMER_SWEEP) => self.sweep(out),
            Event::Timer(TimerId(n)) if n >= TIMER_REST => self.give_turn(Key(n - TIMER_REST), out),
            Event::Timer(TIMER_SUBSCRIBE) if self.refusals.is_some() => out.push(Action::Subscribe),
            Event::Timer(_) | Event::ResponseStarted { .. } | Event::PeerMessage { .. } => {}
        }
    }

    fn on_sync(&mut self, kind: UpdateKind, members: Vec<Endpoint>, out: &mut Vec<Action>) {
        let longest = self
            .settings
            .max_poll_interval
            .min(2 * DISCOVERY_CALL_INTERVAL)
            / 3;
        if kind == UpdateKind::Cached && self.servers.is_empty() {
            out.push(Action::SetTimer {
                delay: self.jitter(self.sweep),
                timer: TIMER_SWEEP,
            });
            if self.settings.discovery_mode == DiscoveryMode::Poll {
                // Nodes that start in step must not all call discovery at once.
                let delay = self
                    .rng
                    .u64(0..=longest.min(u64::from(self.settings.node_count) * 50_000));
                out.push(Action::SetTimer {
                    delay,
                    timer: TIMER_SUBSCRIBE,
                });
            }
        }
        match kind {
            UpdateKind::Failed => {
                let refusals = self.refusals.unwrap_or(0) + 1;
                // A call that hung has used up some of the time. The longest that one may hang leaves 1.5 s.
                let left = DISCOVERY_CALL_INTERVAL
                    .saturating_sub(self.now.saturating_sub(self.called))
                    .max(1_500_000);
                let delay =
                    self.jitter((500_000 << refusals.min(5)).min(longest).min(left / 3 * 2));
                (self.refusals, self.called) = (Some(refusals), self.now + delay);
                return out.push(Action::SetTimer {
                    delay,
                    timer: TIMER_SUBSCRIBE,
                });
            }
            UpdateKind::Cached => {}
            UpdateKind::Delta | UpdateKind::Full => self.refusals = None,
        }
        if kind != UpdateKind::Delta {
            let listed: BTreeSet<ServerId> = members.iter().map(|m| m.server).collect();
            let gone = |s: &&mut Server| s.listed && !listed.contains(&s.member.server);
            for server in self.servers.iter_mut().filter(gone) {
                (server.listed, server.ready, self.changes) = (false, false, self.changes + 1);
            }
        }
        members
            .into_iter()
            .for_each(|member| self.on_member(member));
        // One that restarted or went is no longer silent: nobody would ever try it again.
        let (index, servers) = (&self.index, &self.servers);
        let out = |&i: &usize| servers[i].ready && servers[i].ban.until.is_some();
        self.silent
            .values_mut()
            .for_each(|silent| silent.retain(|id| index.get(id).is_some_and(out)));
    }

    fn on_member(&mut self, mut member: Endpoint) {
        let listed = member.state == ServerState::InService;
        let ready = listed && !self.out.contains(&member.server);
        let unweighted = matches!(
            self.settings.weight_source,
            WeightSource::Off | WeightSource::Live
        );
        if unweighted || !member.weight.is_finite() || member.weight <= 0.0 {
            member.weight = 1.0;
        }
        let budget = self.phase(&member);
        let Some(&i) = self.index.get(&member.server) else {
            if listed {
                self.changes += 1;
                self.index.insert(member.server, self.servers.len());
                self.servers.push(Server::new(
                    member,
                    ready,
                    budget,
                    self.settings.classes.len(),
                ));
            }
            return;
        };
        let old = &mut self.servers[i];
        self.changes += usize::from(old.ready != ready || old.member.weight != member.weight);
        if member.started_at != old.member.started_at {
            old.restart(member, budget, self.now);
        } else {
            old.member = member;
        }
        (old.listed, old.ready) = (listed, ready);
    }

    /// Operators take a server out or put it back. What it was says nothing of the process it is now.
    fn on_maintenance(&mut self, id: ServerId, out: bool) {
        let changed = if out {
            self.out.insert(id)
        } else {
            self.out.remove(&id)
        };
        let Some(&i) = self.index.get(&id).filter(|_| changed) else {
            return;
        };
        let budget = self.phase(&self.servers[i].member);
        let server = &mut self.servers[i];
        server.restart(server.member.clone(), budget, self.now);
        (server.returned, server.ready) = (self.now, server.listed && !out);
        self.changes += 1;
    }

    /// The part of its first attempt that a node has at a server's start: evenly spread over the nodes.
    fn phase(&self, member: &Endpoint) -> f64 {
        let start = (u64::from(member.server.0) ^ member.started_at.rotate_left(32)).to_le_bytes();
        (self.place + xxh3_64_with_seed(&start, PHASE_SEED) as f64 / u64::MAX as f64).fract()
    }

    /// Lets the table follow the servers, once for all changes since the last call. A large one is built bit
    /// by bit, unless many changed. Meanwhile the old one serves, as walks pass by servers that have left.
    fn refresh_table(&mut self) {
        let many = 4 * self.changes > self.servers.len();
        if self.changes > 0 && (many || self.build.is_none()) {
            let ready = self
                .servers
                .iter()
                .filter(|s| s.ready)
                .map(|s| (s.member.server, s.member.weight));
            (self.build, self.changes) = (Some(TableBuilder::new(ready.collect())), 0);
        }
        let Some(build) = &mut self.build else { return };
        let due = LAYER_SLOTS.min(((self.now - self.built) / SLOT_TIME) as usize);
        self.built = if due > 0 { self.now } else { self.built };
        if !build.claim(if many || build.table.len() <= LAYER_SLOTS {
            usize::MAX
        } else {
            due
        }) {
            return;
        }
        self.servers.retain(|s| s.listed || s.inflight > 0);
        self.ripe.clear();
        self.index = self
            .servers
            .iter()
            .enumerate()
            .map(|(i, s)| (s.member.server, i))
            .collect();
        self.size_total = self
            .servers
            .iter()
            .filter(|s| s.ready)
            .map(|s| s.member.weight)
            .sum();
        self.table = build.owners(|id| self.index.get(&id).map_or(u32::MAX, |&i| i as u32));
        self.build = None;
    }

    /// Who owns a slot, if it is still there.
    fn owner(&self, slot: usize) -> Option<&Server> {
        self.servers
            .get(*self.table.get(slot)? as usize)
            .filter(|s| s.ready)
    }

    /// A part of capacity that a cold server surely has: it grows evenly from its start.
    fn warmth(&self, server: &Server) -> f64 {
        let ramp = self.settings.slow_start_time;
        let since = server.member.started_at.max(server.returned);
        let age = self.now.saturating_sub(since);
        if since == 0 || age >= ramp {
            return 1.0;
        }
        let start = self.settings.cold_capacity.clamp(0.0, 1.0);
        start + (1.0 - start) * age as f64 / ramp as f64
    }

    /// Whether it is cold and no attempt is due for it at this node.
    fn spent(&self, server: &Server) -> bool {
        (server.budget < 1.0 || self.settles.is_some()) && self.warmth(server) < 1.0
    }

    /// The part of its slots that a server carries now.
    fn share(&self, server: &Server) -> f64 {
        let ejected = server.ban.until.is_some() && self.mood.ejected <= PANIC;
        if !server.ready || self.spent(server) || ejected || self.cut_off(server) {
            0.0
        } else {
            let pace = (self.quickest / self.pace(server)).powi(2).min(1.0);
            // One that is so slow comes to itself only if left alone, by all of its keys.
            let pace = if pace < LEAST_PACE { 0.0 } else { pace };
            // The budget alone holds a cold server to its pace: a share as low besides would starve it.
            server.share.min(pace)
        }
    }

    /// Whether a server's zone is lost: several of it make no connection, none answers, and other zones do.
    fn cut_off(&self, server: &Server) -> bool {
        let lost = |zone| {
            self.silent
                .get(zone)
                .is_some_and(|silent| silent.len() >= ZONE_SILENT)
        };
        lost(&server.member.zone) && self.silent.keys().any(|zone| !lost(zone))
    }

    /// How long a server's answers take, by its own latest ones and those of its kind.
    fn pace(&self, server: &Server) -> f64 {
        server.pace.mean(
            self.kinds
                .get(&server.member.kind)
                .map_or(1.0, |kind| kind.mean(1.0)),
        )
    }

    /// The answer time to expect of a request, by its class and cost.
    fn expected(&self, class: usize, cost: Option<Micros>) -> f64 {
        let norm = &self.norms[class];
        let slope = (self.spread.0 / self.spread.1.max(1.0)).clamp(0.0, 4.0);
        let more = cost.map_or(0.0, |cost| slope * (cost as f64 - norm.cost));
        (norm.mean + more).max(norm.mean / 4.0).max(1.0)
    }

    /// Counts an answer's time against the expected one. What hangs or is cold tells of no other server.
    fn take_pace(&mut self, i: usize, ratio: f64, roomy: bool, hung: bool) {
        let warmth = self.warmth(&self.servers[i]);
        let server = &mut self.servers[i];
        server.pace.add(ratio * warmth, PACE_MEMORY);
        if !hung && warmth >= 1.0 {
            self.kinds
                .entry(server.member.kind)
                .or_default()
                .add(ratio, 3.0 * PACE_MEMORY);
            let is = [!roomy && ratio > STRAINED, ratio > STRAINED, true];
            self.mood
                .measured
                .iter_mut()
                .zip(is)
                .for_each(|(count, is)| *count += f64::from(is));
            self.quickest = self
                .kinds
                .values()
                .map(|kind| kind.mean(1.0))
                .fold(f64::INFINITY, f64::min);
        }
    }

    fn learn(&mut self, class: usize, cost: Option<Micros>, spent: f64) {
        let norm = &mut self.norms[class];
        norm.answers += 1.0;
        // What jams makes slow is no norm.
        let least = if self.mood.strain[1] > STRAIN / 2.0 {
            0.002
        } else {
            0.02
        };
        let weight = (1.0 / norm.answers).max(least);
        let cost = cost.map_or(norm.cost, |cost| cost as f64);
        let (more_time, more_cost) = (spent - norm.mean, cost - norm.cost);
        norm.mean += weight * more_time;
        norm.cost += weight * more_cost;
        if norm.answers > 5.0 {
            self.spread.0 += 0.02 * (more_time * more_cost - self.spread.0);
            self.spread.1 += 0.02 * (more_cost * more_cost - self.spread.1);
        }
    }

    /// Holds far more of this node's requests than its size explains.
    fn overfull(&self, server: &Server) -> bool {
        let mean = f64::from(self.inflight) / self.size_total * server.member.weight;
        f64::from(server.inflight) > (mean + OVERFLOW_MORE).max(OVERFLOW_MULTIPLE * mean)
    }

    /// The walk. From the key's slot on, the first owner that carries the slot it is met on and is not
    /// overfull; for a key hotter than one owner, one of as many successive owners as carry it. Where
    /// none qualifies, the first that may be used. One that fails the class does not, unless all do.
    fn route(&mut self, id: RequestId) -> Option<usize> {
        self.refresh_table();
        self.walk(id, true).or_else(|| self.walk(id, false))
    }

    fn walk(&mut self, id: RequestId, heed_bars: bool) -> Option<usize> {
        let pending = &self.requests[&id];
        let mut need = self.key_share(pending.key);
        let repeatable =
            self.settings.classes[pending.class].idempotency != Idempotency::NonIdempotent;
        let mut seen: Vec<u32> = Vec::with_capacity(8);
        let (mut chosen, mut total): (Vec<(usize, f64)>, f64) = (Vec::new(), 0.0);
        let mut fallback = None;
        // Its slots alone would leave most of what is due to lapse. A key that came lately stays where it is,
        // and while the others answer in time, so does what a cold server may well answer late.
        let (class, twice) = (
            pending.class,
            2.0 * self.expected(pending.class, pending.cost),
        );
        let free = |&&i: &&usize| {
            let s = &self.servers[i];
            let soon =
                twice < self.warmth(s) * self.settings.classes[class].latency_objective as f64;
            let able = self.share(s) >= FALLBACK_SHARE
                && s.bars[class].until.is_none()
                && !self.overfull(s);
            able && (soon || self.mood.late > LATE_PART / 8.0)
        };
        let fresh = pending.attempts.is_empty() && need <= 0.0;
        if let Some(&i) = self.ripe.iter().find(free).filter(|_| fresh) {
            return Some(i);
        }
        let slots = if pending.attempts.is_empty() {
            WALK_SLOTS
        } else {
            4 * LAYER_SLOTS
        };
        let first = pending.slot % self.table.len().max(1);
        let owned = |slot| Some((slot, self.table[slot], self.owner(slot)?));
        let owners = (first..self.table.len())
            .chain(0..first)
            .filter_map(owned)
            .take(slots);
        for (slot, owner, server) in owners {
            let tried = pending
                .attempts
                .iter()
                .any(|a| a.member.server == server.member.server);
            if tried || seen.contains(&owner) || !self.in_group(pending, &server.member) {
                continue;
            }
            seen.push(owner);
            if seen.len() > WALK_OWNERS {
                break;
            }
            let bar = &server.bars[pending.class];
            if heed_bars && bar.until.is_some_and(|until| self.now < until || bar.trial) {
                continue;
            }
            let due = server
                .ban
                .until
                .is_some_and(|until| self.now >= until && !server.ban.trial);
            if due
                && repeatable
                && !self.settings.may_health_check
                && chosen.is_empty()
                && !self.spent(server)
            {
                return Some(owner as usize);
            }
            let share = self.share(server);
            if slot_level(slot) > share || self.overfull(server) {
                fallback = fallback.or((share >= FALLBACK_SHARE).then_some(owner as usize));
                continue;
            }
            let carries = share * server.member.weight / self.size_total;
            total += carries;
            chosen.push((owner as usize, total));
            need -= HOT_LOAD * carries;
            if need <= 0.0 {
                break;
            }
        }
        let at = if chosen.len() > 1 {
            self.rng.f64() * total
        } else {
            0.0
        };
        chosen.iter().find(|c| at <= c.1).map(|c| c.0).or(fallback)
    }

    /// The slot of a request: its key's, or for a keyless one the better of two random ones.
    fn slot_of(&mut self, key: Option<Key>) -> usize {
        self.refresh_table();
        let slots = self.table.len().max(LAYER_SLOTS);
        if let Some(key) = key {
            return slot_of_key(key, slots);
        }
        let (a, b) = (self.rng.usize(0..slots), self.rng.usize(0..slots));
        let held = |slot| {
            self.owner(slot)
                .map_or(f64::MAX, |s| f64::from(s.inflight) / s.member.weight)
        };
        [a, b][usize::from(held(b) < held(a))]
    }

    // Hot keys: bounded counts of this node's own traffic, which is a sample of the fleet's.

    fn count_key(&mut self, key: Key) {
        if let Some(hot) = self.hot.iter_mut().find(|h| h.key == key) {
            hot.count += 1.0;
        } else if self.hot.len() < HOT_KEYS {
            self.hot.push(Hot {
                key,
                count: 1.0,
                error: 0.0,
            });
        } else if let Some(least) = self
            .hot
            .iter_mut()
            .min_by(|a, b| a.count.total_cmp(&b.count))
        {
            *least = Hot {
                key,
                count: least.count + 1.0,
                error: least.count,
            };
        }
    }

    /// A key's part of all traffic, with its chance taken off, so that one met once is not hot.
    fn key_share(&self, key: Option<Key>) -> f64 {
        let hot = key.and_then(|key| self.hot.iter().find(|h| h.key == key));
        let count = hot.map_or(0.0, |h| h.count - h.error);
        (count - count.sqrt()).max(0.0) / self.mood.taken.max(HOT_LEAST)
    }

    fn on_request(&mut self, request: Request, out: &mut Vec<Action>) {
        let Request {
            id,
            class: ClassId(class),
            cost,
            key,
            body_pending: coming,
            ..
        } = request;
        if self.requests.contains_key(&id) {
            return;
        }
        if class >= self.settings.classes.len() {
            return out.push(Action::Reject { id, retry_after: 0 });
        }
        self.mood.taken += 1.0;
        self.settles = self.settles.map(|at| at.min(self.now + SETTLE));
        if let Some(key) = key {
            self.count_key(key);
        }
        self.retries = (self.retries + RETRY_RATIO).min(RETRY_BURST);
        let over = self.over_share(request.tenant);
        self.norms[class].rates[usize::from(over)] += 1.0;
        let slot = self.slot_of(key);
        let ordered = key.filter(|_| self.settings.classes[class].in_order);
        let (aim, deadline) = times(
            &self.settings.classes[class],
            self.now,
            request.remaining_timeout,
        );
        let (attempts, ended) = (Vec::new(), false);
        let pending = Pending {
            class,
            cost,
            slot,
            key,
            ordered,
            coming,
            aim,
            deadline,
            attempts,
            ended,
        };
        self.requests.insert(id, pending);
        if let Some(key) = ordered {
            self.turns.entry(key).or_default().queue.push_back(id);
        }
        match self.shed_now(class, slot, over) {
            true => self.conclude(id, out),
            false => self.send_or_conclude(id, out),
        }
    }

    /// A request that was sent as it came is whole: only now can its server begin it.
    fn on_whole(&mut self, id: RequestId, patience: Micros) {
        let Some(pending) = self.requests.get_mut(&id).filter(|p| p.coming) else {
            return;
        };
        (pending.aim, pending.deadline) =
            times(&self.settings.classes[pending.class], self.now, patience);
        pending.coming = false;
        self.set_out(id);
    }

    /// The latest attempt of a whole request is out.
    fn set_out(&mut self, id: RequestId) {
        let latest = self
            .requests
            .get_mut(&id)
            .and_then(|p| p.attempts.last_mut());
        let Some(attempt) = latest.filter(|a| a.fate == Fate::Out) else {
            return;
        };
        let Some(&i) = self.index.get(&attempt.member.server) else {
            return;
        };
        (attempt.sent, attempt.counted) = (self.now, true);
        let server = &mut self.servers[i];
        if server.inflight == 0 {
            server.quiet_since = self.now;
        }
        server.inflight += 1;
        self.inflight += 1;
    }

    /// Another attempt for a request that has none out, or its final answer.
    fn send_or_conclude(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let (wait, pending) = (self.wait_for_turn(id), &self.requests[&id]);
        if wait.is_some_and(|wait| self.worth_holding(pending, wait)) {
            return;
        }
        let target = if wait.is_none() && self.may_send(pending) {
            self.route(id)
        } else {
            None
        };
        let Some(target) = target else {
            return self.conclude(id, out);
        };
        let limit = self.attempt_limit(&self.requests[&id]);
        let class = self.requests[&id].class;
        let server = &mut self.servers[target];
        server.ban.trial |= server.ban.until.is_some();
        let bar = &mut server.bars[class];
        bar.trial |= bar.until.is_some();
        server.budget -= 1.0;
        self.mood.sends += 1.0;
        let member = server.member.clone();
        out.push(Action::Send {
            id,
            server: member.server,
            timeout: limit,
        });
        let expected = self.expected(class, self.requests[&id].cost);
        let pending = self.requests.get_mut(&id).expect("held");
        let (sent, fate) = (self.now, Fate::Out);
        pending.attempts.push(Attempt {
            member,
            sent,
            fate,
            expected,
            overdue: false,
            counted: false,
        });
        if !pending.coming {
            self.set_out(id);
        }
    }

    /// The final answer when nothing more is tried: a refusal where it is lawful.
    fn conclude(&mut self, id: RequestId, out: &mut Vec<Action>) {
        if self.may_refuse(&self.requests[&id]) {
            // Who is not told when comes back at once. Where a late answer earns nothing, so does a repeat.
            let class = &self.settings.classes[self.requests[&id].class];
            let gone = class.late_value == 0.0 && self.settings.max_retry_after >= class.deadline;
            let advice = if gone {
                class.deadline
            } else {
                self.paced(COME_BACK).min(self.settings.max_retry_after)
            };
            let retry_after = if self.settings.retry_after { advice } else { 0 };
            out.push(Action::Reject { id, retry_after });
        } else {
            out.push(Action::Fail { id });
        }
        self.end(id, out);
    }

    /// The request has ended: nothing goes out for it any more, and what is out is withdrawn.
    fn end(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(pending) = self.requests.get_mut(&id) else {
            return;
        };
        let still_out = pending
            .attempts
            .iter()
            .enumerate()
            .filter(|(_, a)| a.fate == Fate::Out);
        let still_out: Vec<u32> = still_out.map(|(n, _)| n as u32).collect();
        if self.settings.may_cancel && !pending.ended {
            out.extend(
                still_out
                    .iter()
                    .map(|&attempt| Action::Cancel { id, attempt }),
            );
        }
        pending.ended = true;
        let ordered = pending.ordered;
        if still_out.is_empty() {
            self.requests.remove(&id);
            if let Some(turn) = ordered.and_then(|key| self.turns.get_mut(&key)) {
                turn.queue.retain(|&queued| queued != id);
            }
            ordered.into_iter().for_each(|key| self.give_turn(key, out));
        }
    }

    // Order: two requests of an in-order key never run together or out of turn. One has it until none is out.

    /// For a request that may not be sent yet: about how long, `None` for one that has the turn.
    fn wait_for_turn(&self, id: RequestId) -> Option<Micros> {
        let pending = &self.requests[&id];
        let turn = self.turns.get(&pending.ordered?)?;
        let place = turn.queue.iter().position(|&queued| queued == id)?;
        let rest = turn.rests_until.saturating_sub(self.now);
        let free = place == 0 && (rest == 0 || !pending.attempts.is_empty());
        (!free).then(|| rest + place as u64 * self.norms[pending.class].mean as Micros)
    }

    /// Whether a request that waits may still be answered within its aim, and a sweep comes by if not.
    fn worth_holding(&self, pending: &Pending, wait: Micros) -> bool {
        let answer = self.now + wait + self.norms[pending.class].mean as Micros;
        answer < pending.aim && self.now + 2 * self.sweep < pending.deadline
    }

    /// Lets the first request of a key go if the key does not rest; forgets an idle key.
    fn give_turn(&mut self, key: Key, out: &mut Vec<Action>) {
        let Some(turn) = self.turns.get(&key) else {
            return;
        };
        match turn.queue.front() {
            Some(&id) if self.requests[&id].attempts.is_empty() => self.send_or_conclude(id, out),
            None if self.now >= turn.rests_until => drop(self.turns.remove(&key)),
            _ => {}
        }
    }

    fn shed_held(&mut self, out: &mut Vec<Action>) {
        let queued: Vec<RequestId> = self
            .turns
            .values()
            .flat_map(|t| t.queue.iter().copied())
            .collect();
        for id in queued {
            if self
                .requests
                .get(&id)
                .is_some_and(|p| p.attempts.is_empty())
            {
                self.send_or_conclude(id, out);
            }
        }
    }

    // The one place where it is decided whether a resend or a refusal is lawful.

    /// Whether a server drops the repeats of a keyed request that may have run.
    fn in_group(&self, pending: &Pending, member: &Endpoint) -> bool {
        let first = pending.attempts.iter().find(|a| a.fate != Fate::NeverRan);
        match (self.settings.classes[pending.class].idempotency, first) {
            (
                Idempotency::IdempotencyKey {
                    scope: DedupScope::Zone,
                    ..
                },
                Some(a),
            ) => a.member.zone == member.zone,
            (
                Idempotency::IdempotencyKey {
                    scope: DedupScope::Cell,
                    ..
                },
                Some(a),
            ) => a.member.cell == member.cell,
            _ => true,
        }
    }

    fn may_send(&self, pending: &Pending) -> bool {
        let out = pending.attempts.iter().any(|a| a.fate == Fate::Out);
        let late = self.now >= pending.deadline && !pending.coming;
        let all = pending.attempts.len() >= self.settings.max_attempts as usize;
        if late || all || (out && !self.settings.may_hedge) {
            return false;
        }
        let first = pending.attempts.iter().find(|a| a.fate != Fate::NeverRan);
        match (self.settings.classes[pending.class].idempotency, first) {
            (Idempotency::Idempotent, _) | (_, None) => true,
            (Idempotency::NonIdempotent, Some(_)) => false,
            // A margin for the way to the server.
            (Idempotency::IdempotencyKey { ttl, .. }, Some(a)) => {
                self.now < a.sent + ttl - ttl / 10
            }
        }
    }

    fn may_refuse(&self, pending: &Pending) -> bool {
        match self.settings.classes[pending.class].idempotency {
            Idempotency::Idempotent
            | Idempotency::IdempotencyKey {
                scope: DedupScope::All,
                ..
            } => true,
            _ => pending.attempts.iter().all(|a| a.fate == Fate::NeverRan),
        }
    }

    /// Time-out of the next attempt: what is left, less where a further one could follow.
    fn attempt_limit(&self, pending: &Pending) -> Micros {
        let left = pending.deadline.saturating_sub(self.now).max(1);
        let last = pending.attempts.len() + 1 >= self.settings.max_attempts as usize;
        // Resends inside a small cell would crowd the neighbours of a slow server.
        let semantics = self.settings.classes[pending.class].idempotency;
        let narrow = matches!(
            semantics,
            Idempotency::NonIdempotent
                | Idempotency::IdempotencyKey {
                    scope: DedupScope::Cell,
                    ..
                }
        );
        let late = (LATE * self.norms[pending.class].mean) as Micros;
        // A second attempt without time to be answered only wastes work.
        let whole = last || narrow || pending.coming || late * 2 > left;
        [late.max(1), left][usize::from(whole)]
    }

    fn on_closed(&mut self, closed: AttemptResult, out: &mut Vec<Action>) {
        let AttemptResult {
            id,
            server,
            outcome,
            ..
        } = closed;
        let Some(pending) = self.requests.get_mut(&id) else {
            return;
        };
        let Some(attempt) = pending.attempts.get_mut(closed.attempt as usize) else {
            return;
        };
        if attempt.fate != Fate::Out || attempt.member.server != server {
            return;
        }
        // What an outcome proves: resends and refusals go by this alone.
        attempt.fate = match outcome {
            Outcome::ConnectFailed | Outcome::NotSent => Fate::NeverRan,
            Outcome::Overloaded if !self.settings.overloaded_may_have_run => Fate::NeverRan,
            _ => Fate::MayHaveRun,
        };
        let held = u32::from(attempt.counted);
        let (class, cost, ended) = (pending.class, pending.cost, pending.ended);
        let out_still = pending.attempts.iter().any(|a| a.fate == Fate::Out);
        let doubt = matches!(
            outcome,
            Outcome::Timeout | Outcome::Reset | Outcome::Cancelled
        );
        if let Some(key) = pending.ordered.filter(|_| doubt) {
            let delay = self.settings.quarantine_time;
            self.turns.entry(key).or_default().rests_until = self.now + delay;
            out.push(Action::SetTimer {
                delay,
                timer: TimerId(TIMER_REST.wrapping_add(key.0)),
            });
        }
        self.inflight -= held;
        self.index
            .get(&server)
            .into_iter()
            .for_each(|&i| self.servers[i].inflight -= held);
        self.observe(class, cost, &closed, out);
        if ended || closed.request_ended || outcome == Outcome::Ok {
            self.end(id, out);
        } else if !out_still {
            // Resends of what may have run or was turned away as full feed a jam: there is a budget.
            let free = outcome == Outcome::ConnectFailed;
            if outcome == Outcome::NotSent || !(free || self.retries >= 1.0) {
                return self.conclude(id, out);
            }
            self.retries -= f64::from(u8::from(!free));
            self.send_or_conclude(id, out);
        }
    }

    /// What an outcome tells of its server.
    fn observe(
        &mut self,
        class: usize,
        cost: Option<Micros>,
        closed: &AttemptResult,
        out: &mut Vec<Action>,
    ) {
        let spent = closed.elapsed as f64;
        if closed.outcome == Outcome::Ok {
            self.learn(class, cost, spent);
        }
        let expected = self.expected(class, cost);
        let Some(&i) = self.index.get(&closed.server) else {
            return;
        };
        let server = &mut self.servers[i];
        server.ban.trial = false;
        server.bars[class].trial = false;
        if matches!(
            closed.outcome,
            Outcome::Ok | Outcome::Overloaded | Outcome::Error
        ) {
            server.quiet_since = self.now;
        }
        // A server that holds requests of ours and makes no connection has no room for more. One full
        // owner is a local matter: only where the next one is full too, the fleet may be.
        let crowded = server.inflight > 0;
        let full = closed.outcome == Outcome::Overloaded
            || (closed.outcome == Outcome::ConnectFailed && crowded);
        let answered = closed.outcome == Outcome::Ok;
        // An attempt that timed out was at least as slow as that. Where its server leaves more of ours (not
        // only this one) without a word since and few are out, it hangs: no sign of too much work for others.
        let timed_out = closed.outcome == Outcome::Timeout;
        let silent = crowded && server.quiet_since + closed.elapsed <= self.now;
        let hung = timed_out && silent && self.mood.ejected <= FEW_OUT;
        // One that was given up before its aim may well have been answered in time.
        let aim = self.settings.classes[class].latency_objective;
        let late = (answered || timed_out) && !hung && closed.elapsed > aim;
        if answered || timed_out {
            let sign = if hung {
                self.mood.late
            } else {
                f64::from(u8::from(late))
            };
            self.mood.late += 0.03 * (sign - self.mood.late);
            let idle =
                self.mood.usual * f64::from(self.settings.node_count) <= self.servers.len() as f64;
            self.take_pace(
                i,
                (spent / expected).min(5.0),
                idle && spent <= ROOMY * aim as f64,
                hung,
            );
        }
        if answered {
            self.mood.served += 1.0 / self.mood.able.max(1.0);
            self.mood.answered += expected;
        }
        let server = &mut self.servers[i];
        if full {
            server.share = (server.share * FULL_YIELD).max(LEAST_SHARE);
        }
        if answered || full {
            server.reinstate();
        }
        // Every node comes to hold a connection to each server. Kept where a new one costs more.
        let held = f64::from(self.settings.node_count) / 100.0 * self.settings.open_connection_cost;
        let many =
            self.settings.node_count > LINK_KEEPERS && held >= self.settings.connection_setup_cost;
        let unlinked = f64::from(u8::from(closed.outcome == Outcome::ConnectFailed));
        self.mood.unlinked += 0.03 * (unlinked - self.mood.unlinked);
        if server.inflight == 0 && (many || self.mood.unlinked > LINKS_SHORT) {
            out.push(Action::CloseIdleConnections(closed.server));
        }
        // Errors, resets and time-outs are one kind of symptom: only what stands out of the fleet is ejected.
        // No connection to a server that holds nothing of ours is proof by itself; so is a trial's failure.
        let failed = matches!(
            closed.outcome,
            Outcome::Error | Outcome::Reset | Outcome::Timeout
        );
        if failed || answered {
            let failed = f64::from(u8::from(failed));
            server.ban.failing += FAILING_WEIGHT * (failed - server.ban.failing);
            self.mood.failing += 0.01 * (failed - self.mood.failing);
        }
        let dead = closed.outcome == Outcome::ConnectFailed && !full;
        let silent = self.silent.entry(server.member.zone).or_default();
        if matches!(
            closed.outcome,
            Outcome::Ok | Outcome::Overloaded | Outcome::Error
        ) {
            silent.clear();
        } else if dead && !silent.contains(&closed.server) {
            silent.push(closed.server);
        }
        let stands_out = server.ban.failing > FAILING.max(FAILING_MORE * self.mood.failing);
        let ejected = server.ban.until.is_some();
        if answered || closed.outcome == Outcome::Error {
            self.judge(i, class, !answered);
        }
        if dead || (failed && (stands_out || ejected)) {
            self.eject(i);
        }
        if (late && self.mood.late > LATE_PART) || (full && closed.attempt > 0) {
            // Servers that are crowded jam together: what is in flight is held down.
            let keep = 1.0 - (LIMIT_CUT * self.window / self.mood.sends.max(1.0)).min(0.2);
            let held = self.mood.usual.max(f64::from(self.inflight)) + 1.0;
            self.mood.limit = (self.mood.limit.min(held) * keep).max(LEAST_LIMIT);
        }
    }

    /// Bars a class from a server that keeps failing it: neither other classes nor a probe tell.
    fn judge(&mut self, i: usize, class: usize, failed: bool) {
        let until = self.respite(self.servers[i].bars[class].times);
        let bar = &mut self.servers[i].bars[class];
        bar.failing += FAILING_WEIGHT * (f64::from(u8::from(failed)) - bar.failing);
        if failed && (bar.failing > FAILING || bar.until.is_some()) {
            *bar = Bar {
                until: Some(until),
                trial: false,
                times: bar.times + 1,
                ..*bar
            };
        } else if !failed && bar.until.take().is_some() {
            // One success proves little: the next failure bars it again.
            bar.failing = FAILING;
        } else if bar.failing < FAILING / 4.0 {
            bar.times = 0;
        }
    }

    /// Takes a server out until a trial or probe succeeds.
    fn eject(&mut self, i: usize) {
        let until = self.respite(self.servers[i].ban.times);
        let ban = &mut self.servers[i].ban;
        *ban = Bar {
            until: Some(until),
            trial: false,
            times: ban.times + 1,
            ..*ban
        };
    }

    /// The end of a bar, which lasts twice as long each time.
    fn respite(&mut self, times: u32) -> Micros {
        self.now + self.jitter(self.paced((EJECTION << times.min(6)).min(EJECTION_LONGEST)))
    }

    fn on_probed(&mut self, id: ServerId, outcome: Outcome) {
        let Some(&i) = self.index.get(&id) else {
            return;
        };
        if outcome != Outcome::Ok {
            return self.eject(i);
        }
        self.servers[i].reinstate();
        self.silent
            .entry(self.servers[i].member.zone)
            .or_default()
            .clear();
    }

    fn sweep(&mut self, out: &mut Vec<Action>) {
        out.push(Action::SetTimer {
            delay: self.sweep,
            timer: TIMER_SWEEP,
        });
        self.refresh_table();
        self.shed_held(out);
        let slowest = self.norms.iter().map(|n| n.mean).fold(0.0, f64::max);
        let silence = ((SILENCE * slowest) as Micros).max(self.paced(SILENCE_LEAST));
        let (mut ejected, mut total, mut able) = (0.0, 0.0, 0.0);
        let settles = self.settles.take_if(|at| self.now >= *at).is_some();
        // Where most are cold, few warm ones serve all or none serves anything: what is asked for tells.
        let asked = self.mood.taken / self.size_total.max(1.0);
        let rate = self.mood.served.clamp(asked / 2.0, asked * 1.25)
            / if settles {
                SETTLE as f64 / 1e6
            } else {
                self.window
            };
        let care = COLD_CARE * self.settings.cold_overload_factor;
        let lapse =
            (COLD_LAPSE * self.settings.cold_overload_window as f64 / self.sweep as f64).max(3.0);
        self.ripe.clear();
        for i in 0..self.servers.len() {
            let server = &self.servers[i];
            if !server.ready {
                continue;
            }
            let (size, warmth) = (server.member.weight, self.warmth(server));
            let bears = if warmth < 1.0 {
                (care * warmth).min(1.0)
            } else {
                1.0
            };
            let full = care * rate * size * self.sweep as f64 / 1e6;
            let due = full * warmth;
            // A process that starts takes for spent what fell due since the server's start.
            let age = self
                .now
                .saturating_sub(server.member.started_at.max(server.returned))
                / self.sweep;
            let past = full * age as f64 * (self.settings.cold_capacity + warmth) / 2.0;
            let first = if settles {
                (self.phase(&server.member) + past).fract()
            } else {
                0.0
            };
            total += size;
            able += size * bears * f64::from(u8::from(server.ban.until.is_none()));
            let quiet = server.inflight > 0 && self.now > server.quiet_since + silence;
            if quiet && server.ban.until.is_none() {
                self.eject(i);
            }
            let server = &mut self.servers[i];
            server.budget = if settles { first } else { server.budget + due };
            let waited = (self.now - server.spent_at) as f64 / self.sweep as f64;
            if server.budget < 1.0 {
                server.spent_at = self.now;
            } else if warmth < 1.0 && waited > lapse / 3.0 {
                self.ripe.push(i);
            }
            if waited > lapse {
                server.budget = server.budget.min((due * lapse).max(server.budget.fract()));
            }
            match server.ban.until {
                Some(until) => {
                    ejected += size;
                    if self.settings.may_health_check && self.now >= until && !server.ban.trial {
                        server.ban.trial = true;
                        out.push(Action::HealthCheck(server.member.server));
                    }
                }
                None => {
                    server.share = (server.share + REGAIN).min(1.0);
                    server.ban.times *= u32::from(server.share < 1.0);
                }
            }
        }
        self.mood.able = able;
        self.mood.limit *= 1.0 + LIMIT_REGAIN * (1.0 - self.mood.strain[0] / STRAIN).max(0.0);
        self.count_overdue();
        self.mood.measured = self.mood.measured.map(|count| count * STRAIN_KEEP);
        self.mood.strain =
            [0, 1].map(|n| self.mood.measured[n] / (self.mood.measured[2] + STRAIN_GUESS));
        let flow = std::mem::take(&mut self.mood.answered) / self.sweep as f64;
        self.mood.flow += FLOW_WEIGHT * (flow - self.mood.flow);
        self.mood.usual += 0.1 * (f64::from(self.inflight) - self.mood.usual);
        self.mood.ejected = ejected / total.max(f64::MIN_POSITIVE);
        self.forget();
    }

    /// Attempts that are out for long tell of their servers before they end.
    fn count_overdue(&mut self) {
        let mut overdue = Vec::new();
        for pending in self.requests.values_mut() {
            let out = pending
                .attempts
                .iter_mut()
                .filter(|a| a.fate == Fate::Out && !a.overdue && a.counted);
            for attempt in out {
                // Until its time is up it may be waiting for its connection.
                let least = self.settings.connect_timeout as f64 + attempt.expected;
                let roomy = ROOMY * self.settings.classes[pending.class].latency_objective as f64;
                if ((self.now - attempt.sent) as f64)
                    < (OVERDUE * attempt.expected).max(least).max(roomy)
                {
                    continue;
                }
                attempt.overdue = true;
                let Some(&i) = self.index.get(&attempt.member.server) else {
                    continue;
                };
                let server = &self.servers[i];
                // Of a server that gives no word, only the first counts against all.
                let silent = server.inflight > 1 && server.quiet_since < attempt.sent;
                overdue.push((i, silent && self.mood.ejected <= FEW_OUT));
            }
        }
        overdue
            .into_iter()
            .for_each(|(i, hung)| self.take_pace(i, OVERDUE, false, hung));
        if self.mood.strain[0] > STRAIN {
            self.mood.limit = self.mood.limit.min((FLOW_ROOM * self.mood.flow).max(1.0));
        }
    }

    /// Lets the counts of traffic fade.
    fn forget(&mut self) {
        let Mood {
            taken,
            sends,
            served,
            ..
        } = &mut self.mood;
        [taken, sends, served]
            .into_iter()
            .for_each(|count| *count *= HOT_KEEP);
        self.window = self.window * HOT_KEEP + self.sweep as f64 / 1e6;
        let counts = self
            .hot
            .iter_mut()
            .flat_map(|hot| [&mut hot.count, &mut hot.error]);
        counts.for_each(|count| *count *= HOT_KEEP);
        self.hot.retain(|h| h.count > 0.3);
        self.servers
            .iter_mut()
            .for_each(|server| server.pace.fade(PACE_KEEP));
        self.kinds
            .values_mut()
            .for_each(|kind| kind.fade(PACE_KEEP));
        let rates = self.norms.iter_mut().flat_map(|n| &mut n.rates);
        rates
            .chain(&mut self.tenant_rates)
            .for_each(|rate| *rate *= HOT_KEEP);
    }

    /// Counts a tenant's request; whether it goes beyond the quota, of which this node has an even part.
    fn over_share(&mut self, tenant: Option<TenantId>) -> bool {
        let Some(TenantId(t)) = tenant else {
            return false;
        };
        let Some(rate) = self.tenant_rates.get_mut(t) else {
            return false;
        };
        *rate += 1.0;
        let rate = *rate / self.window;
        let quota = self.settings.tenants[t].quota_per_second / f64::from(self.settings.node_count);
        quota > 0.0 && rate > quota && self.rng.f64() > quota / rate
    }

    /// Worth per unit of work, as far as a node can tell.
    fn value(&self, class: usize, over: bool) -> f64 {
        let work = self.settings.weight_basis == WeightBasis::Work;
        let per = if work {
            1.0
        } else {
            self.norms[class].mean.max(1.0)
        };
        self.settings.classes[class].priority_weight / per
            * if over {
                self.settings.over_quota_value
            } else {
                1.0
            }
    }

    /// Whether to refuse a new request: beyond the limit, by worth and by key.
    fn shed_now(&mut self, class: usize, slot: usize, over: bool) -> bool {
        let value = self.value(class, over);
        let (mut lower, mut higher) = (0.0, 0.0);
        for (c, norm) in self.norms.iter().enumerate() {
            for (over, rate) in [(false, norm.rates[0]), (true, norm.rates[1])] {
                let other = self.value(c, over);
                lower += if other < value { rate } else { 0.0 };
                higher += if other > value { rate } else { 0.0 };
            }
        }
        let reserve = if higher > 0.0 {
            RESERVE * higher / (lower + higher)
        } else {
            0.0
        };
        let spread = if self.settings.key_affinity {
            LEVELS
        } else {
            0.0
        };
        f64::from(self.inflight) + self.rng.f64()
            >= self.mood.limit * (1.0 - reserve) * (1.0 + spread * (0.5 - slot_level(slot)))
    }

    /// A span at this deployment's pace.
    fn paced(&self, span: Micros) -> Micros {
        span * self.sweep / SWEEP
    }

    /// Half to one and a half times the span, so that nodes do not act in step.
    fn jitter(&mut self, span: Micros) -> Micros {
        span / 2 + self.rng.u64(0..=span)
    }
}

impl Server {
    fn new(member: Endpoint, ready: bool, budget: f64, classes: usize) -> Self {
        let bars = vec![Bar::default(); classes];
        Server {
            ready,
            listed: true,
            member,
            share: 1.0,
            bars,
            budget,
            ..Server::default()
        }
    }

    /// A restarted process owes nothing to what the old one did.
    fn restart(&mut self, member: Endpoint, budget: f64, now: Micros) {
        let Server {
            inflight,
            listed,
            returned,
            ..
        } = *self;
        let new = Server::new(member, false, budget, self.bars.len());
        *self = Server {
            inflight,
            listed,
            returned,
            quiet_since: now,
            spent_at: now,
            ..new
        };
    }

    /// Back from ejection, with few slots at first.
    fn reinstate(&mut self) {
        if self.ban.until.take().is_some() {
            self.share = BACK_SHARE;
            (self.ban.trial, self.ban.failing) = (false, 0.0);
        }
    }
}
