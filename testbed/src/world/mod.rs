//! Owns the world that nodes live in: servers, the list of them, clients, fronts and what goes wrong.
//!
//! Pure and seeded: no I/O, no clock, no thread. A host asks [`World::next_at`] when something happens
//! of itself, calls [`World::advance`] and carries out the [`Effect`]s; what comes from outside (a
//! request at a server, a node that is ready) it hands in by the other methods. All times are
//! microseconds since the load began (troubles and load begin at 0; what happens before is at 0). One
//! seed gives one world, whatever the host does; the nodes are told none of its true values.

pub mod client;
pub mod demand;
pub mod front;
mod machine;
pub mod registry;
pub mod server;
pub mod timeline;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

use crate::scenario::{Fleet, Outage, Scenario, Span};

pub use client::{Client, Try, TryOutcome};
pub use demand::{ClientRequest, Demand};
pub use front::FrontEnd;
pub use registry::{Entry, Phase, Registry};
pub use server::{Admission, Condition, Job, JobId, JobOutcome, Server};
pub use timeline::{Step, Timeline};

/// A point in time since the load began, or a span.
pub type Micros = u64;
/// Place of a node, from 0.
pub type NodeId = usize;
/// Place of a server in [`World::servers`]; a machine that replaces another gets a new one.
pub type ServerIx = usize;

/// A second, in [`Micros`].
pub const SECOND: Micros = 1_000_000;
/// A draining server turns new work away from here on: later than any list says that it drains.
const DRAIN_TAKES: Micros = 5 * SECOND;
/// And ends here.
const DRAIN_ENDS: Micros = 9 * SECOND;
/// A server that operators have taken out is restarted after this.
const HAND_RESTART: Micros = 2 * SECOND;
/// And is away for this.
const HAND_AWAY: Micros = SECOND;

/// What a host has to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// A server finished a job.
    Done {
        /// Which server.
        server: ServerIx,
        /// Which job.
        job: JobId,
        /// How it ended.
        outcome: JobOutcome,
    },
    /// A server's process ended: its connections are reset, new ones refused.
    Down(ServerIx),
    /// A server's process runs and accepts connections.
    Up(ServerIx),
    /// A server's machine says nothing from now on (true), or is back and resets what was open.
    Silent(ServerIx, bool),
    /// A cold server was pushed over.
    ColdOverload {
        /// Which server.
        server: ServerIx,
        /// Part of the work that pushed it that came from nodes told of its start.
        informed_share: f64,
    },
    /// A node's agent has something to tell.
    EndpointsUpdated(NodeId),
    /// Discovery goes out of reach, in this way, or is back.
    Discovery(Option<Outage>),
    /// Something is done to a node.
    Node(NodeId, NodeCommand),
    /// Operators take a server out (true) or put it back, at every node.
    Cordon(ServerIx, bool),
}

/// What is done to a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeCommand {
    /// SIGKILL.
    Kill,
    /// SIGTERM, and SIGKILL after the longest deadline.
    Stop,
    /// Start its process.
    Start,
    /// Start a second process on the same listener, then stop the first.
    Upgrade,
    /// The operators' call that sends clients away, or back.
    Standby(bool),
    /// A new configuration with a new address for discovery, and SIGHUP.
    MoveDiscovery,
}

/// The world of one seed.
#[derive(Debug)]
pub struct World {
    servers: Vec<Server>,
    registry: Registry,
    timeline: Timeline,
    fleet: Fleet,
    delays: Delays,
    rng: Pcg64,
    /// Work sent to cold servers lately: when, how much, and whether its node was told of the start.
    cold: BTreeMap<ServerIx, VecDeque<(Micros, f64, bool)>>,
    /// When something happens next at each server, in the order of the times, and by server.
    wakes: BTreeSet<(Micros, ServerIx)>,
    wake_of: Vec<Option<Micros>>,
}

#[derive(Clone, Copy, Debug)]
struct Delays {
    same: Span,
    cross: Span,
}

impl World {
    /// The world of a scenario and a seed, with `nodes` nodes and `servers` servers, all warm.
    pub fn new(scenario: &Scenario, seed: u64, nodes: usize, servers: usize) -> World {
        let mut rng = Pcg64::seed_from_u64(seed);
        let fleet = scenario.fleet.clone();
        let kinds = kinds_of(&fleet, servers);
        let servers: Vec<Server> = kinds
            .iter()
            .enumerate()
            .map(|(at, kind)| Server::draw(&fleet, *kind, at, None, &mut rng))
            .collect();
        let mut registry = Registry::new(scenario, nodes, &mut rng);
        for server in &servers {
            registry.list_at_start(server.entry());
        }
        let timeline = Timeline::new(scenario, servers.len(), nodes, &mut rng);
        let delays = Delays {
            same: scenario.network.same_ms,
            cross: scenario.network.cross_ms,
        };
        let (cold, wakes, wake_of) = (BTreeMap::new(), BTreeSet::new(), vec![None; servers.len()]);
        World {
            servers,
            registry,
            timeline,
            fleet,
            delays,
            rng,
            cold,
            wakes,
            wake_of,
        }
    }

    /// What the warm fleet can do, in microseconds of work a microsecond.
    pub fn capacity(&self) -> f64 {
        self.servers.iter().map(Server::full_capacity).sum()
    }

    /// All servers that were ever there.
    pub fn servers(&self) -> &[Server] {
        &self.servers
    }

    /// The list of servers and what nodes know of it.
    pub fn registry(&mut self) -> &mut Registry {
        &mut self.registry
    }

    /// When something happens of itself next.
    pub fn next_at(&self) -> Option<Micros> {
        let servers = self.wakes.first().map(|(at, _)| *at);
        [servers, self.timeline.next_at(), self.registry.next_at()]
            .into_iter()
            .flatten()
            .min()
    }

    /// Lets time pass until `now` and says what happened on the way.
    pub fn advance(&mut self, now: Micros, out: &mut Vec<Effect>) {
        while let Some((at, step)) = self.timeline.pop(now) {
            self.advance_due(at, out);
            self.take(at, step, out);
        }
        self.advance_due(now, out);
        self.registry
            .advance(now, |node| out.push(Effect::EndpointsUpdated(node)));
    }

    /// Lets time pass at the servers where something happens by then; the others can wait.
    fn advance_due(&mut self, now: Micros, out: &mut Vec<Effect>) {
        while let Some(&(_, server)) = self.wakes.first().filter(|(at, _)| *at <= now) {
            self.advance_one(now, server, out);
            self.rewake(server);
        }
    }

    fn advance_one(&mut self, now: Micros, server: ServerIx, out: &mut Vec<Effect>) {
        self.servers[server].advance(now, |job, outcome| {
            out.push(Effect::Done {
                server,
                job,
                outcome,
            })
        });
    }

    /// Something was done at a server: looks again when something happens there next.
    fn rewake(&mut self, server: ServerIx) {
        self.wake_of
            .resize(self.servers.len().max(self.wake_of.len()), None);
        let next = self.servers[server].next_at();
        let old = std::mem::replace(&mut self.wake_of[server], next);
        if old != next {
            old.map(|at| self.wakes.remove(&(at, server)));
            next.map(|at| self.wakes.insert((at, server)));
        }
    }

    /// Does something to a server at `now`.
    fn at_server<T>(
        &mut self,
        now: Micros,
        server: ServerIx,
        out: &mut Vec<Effect>,
        act: impl FnOnce(&mut Server) -> T,
    ) -> T {
        self.advance_one(now, server, out);
        let answer = act(&mut self.servers[server]);
        self.rewake(server);
        answer
    }

    /// Time that a message takes one way between a node and a server.
    pub fn delay(&mut self, node: NodeId, server: ServerIx) -> Micros {
        let near = self.servers[server].zone == node % self.fleet.zones.len();
        let span = if near {
            self.delays.same
        } else {
            self.delays.cross
        };
        (span.draw(&mut self.rng) * 1e3) as Micros
    }

    /// A request of a node has come whole to a server.
    pub fn offer(
        &mut self,
        now: Micros,
        node: NodeId,
        at: ServerIx,
        job: Job,
        out: &mut Vec<Effect>,
    ) -> Admission {
        let work = job.work as f64;
        let verdict = self.at_server(now, at, out, |server| server.offer(now, job));
        let server = &self.servers[at];
        if server.is_cold(now) {
            let told = self
                .registry
                .has_told_start(node, &server.id, server.started_at);
            self.weigh_cold(now, at, work, told, out);
        }
        verdict
    }

    /// A cold server falls over once the work sent to it in a window is over the multiple of what it
    /// can do in that window (BRIEF 7.2), N requests of mean work. For chance stand the two largest, and
    /// no more than 2 roots of N + 2 of mean work (STANDING allows 3 and 3).
    fn weigh_cold(
        &mut self,
        now: Micros,
        at: ServerIx,
        work: f64,
        told: bool,
        out: &mut Vec<Effect>,
    ) {
        let window = self.fleet.cold_overload_window_s.micros();
        let sent = self.cold.entry(at).or_default();
        sent.push_back((now, work, told));
        while sent.front().is_some_and(|(then, ..)| then + window < now) {
            sent.pop_front();
        }
        let sum: f64 = sent.iter().map(|(_, work, _)| work).sum();
        let most = sent.iter().map(|(_, work, _)| *work).fold(0.0, f64::max);
        let budget =
            self.fleet.cold_overload_factor.0 * self.servers[at].capacity(now) * window as f64;
        let mean = sum / sent.len() as f64;
        let chance = (2.0 * (budget / mean).sqrt() + 2.0) * mean;
        if sum > budget + chance.min(2.0 * most) {
            let by_informed: f64 = sent
                .iter()
                .filter(|(_, _, told)| *told)
                .map(|(_, work, _)| work)
                .sum();
            self.cold.remove(&at);
            out.push(Effect::ColdOverload {
                server: at,
                informed_share: by_informed / sum,
            });
            self.end(now, at, out);
        }
    }

    /// The request of a job was given up.
    pub fn cancel(&mut self, now: Micros, server: ServerIx, job: JobId, out: &mut Vec<Effect>) {
        self.at_server(now, server, out, |server| server.cancel(job));
    }

    /// A connection comes up at a server; false where it holds as many as it can.
    pub fn connect(&mut self, now: Micros, server: ServerIx, out: &mut Vec<Effect>) -> bool {
        self.at_server(now, server, out, Server::connect)
    }

    /// A connection to a server has ended.
    pub fn disconnect(&mut self, server: ServerIx) {
        self.servers[server].disconnect();
    }

    /// A probe of a server: is it well?
    pub fn probe(&mut self, now: Micros, server: ServerIx, out: &mut Vec<Effect>) -> bool {
        self.at_server(now, server, out, Server::probe)
    }

    fn end(&mut self, now: Micros, at: ServerIx, out: &mut Vec<Effect>) {
        self.at_server(now, at, out, |server| server.end(now));
        self.cold.remove(&at);
        out.push(Effect::Down(at));
        self.registry.note(now, self.servers[at].entry());
    }

    fn begin(&mut self, now: Micros, at: ServerIx, out: &mut Vec<Effect>) {
        self.at_server(now, at, out, |server| server.begin(now));
        out.push(Effect::Up(at));
        self.registry.note(now, self.servers[at].entry());
    }

    fn take(&mut self, now: Micros, step: Step, out: &mut Vec<Effect>) {
        match step {
            Step::Failing(at, share) => self.servers[at].failing = share,
            Step::Slower(at, times) => self.at_server(now, at, out, |server| server.slower = times),
            Step::Silence(at, on) => {
                self.at_server(now, at, out, |server| server.silence(now, on));
                out.push(Effect::Silent(at, on));
                let entry = self.servers[at].entry();
                if on {
                    self.registry.note_silent(now, entry);
                } else {
                    self.registry.note(now, entry);
                }
            }
            Step::End(at) => self.end(now, at, out),
            Step::Begin(at) => self.begin(now, at, out),
            Step::Replace(at) => self.replace(now, at),
            Step::TurnAway(at) => self.servers[at].condition = Condition::TurningAway,
            Step::Zone(zone, up) => {
                let of_zone: Vec<ServerIx> = (0..self.servers.len())
                    .filter(|&at| self.servers[at].zone == zone)
                    .collect();
                for at in of_zone {
                    match (up, self.servers[at].condition) {
                        (true, Condition::Down) => self.begin(now, at, out),
                        (false, Condition::Up) => self.end(now, at, out),
                        _ => {}
                    }
                }
            }
            Step::Discovery(outage) => {
                self.registry.set_outage(now, outage);
                out.push(Effect::Discovery(outage));
            }
            Step::Wrong(at, on) => {
                let mut entry = self.servers[at].entry();
                if on {
                    entry.phase = Phase::Terminated;
                }
                self.registry.note_now(now, entry);
            }
            Step::Cordon(at, true) => {
                out.push(Effect::Cordon(at, true));
                self.timeline.push(now + HAND_RESTART, Step::End(at));
                self.timeline
                    .push(now + HAND_RESTART + HAND_AWAY, Step::Begin(at));
            }
            Step::Cordon(at, false) => out.push(Effect::Cordon(at, false)),
            Step::Node(node, order) => out.push(Effect::Node(node, order)),
        }
    }

    /// A server begins to drain and a new, cold machine of its kind and zone starts beside it.
    fn replace(&mut self, now: Micros, at: ServerIx) {
        if self.servers[at].condition != Condition::Up {
            return;
        }
        self.servers[at].condition = Condition::Draining;
        self.registry.note(now, self.servers[at].entry());
        self.timeline.push(now + DRAIN_TAKES, Step::TurnAway(at));
        self.timeline.push(now + DRAIN_ENDS, Step::End(at));
        let (kind, zone) = (self.servers[at].kind, self.servers[at].zone);
        let new = self.servers.len();
        let mut server = Server::draw(&self.fleet, kind, new, Some(zone), &mut self.rng);
        server.end(now);
        self.servers.push(server);
        self.timeline.push(now, Step::Begin(new));
    }
}

/// The seed that a node's process is told: another one at each of its starts.
pub fn process_seed(seed: u64, node: NodeId, start: u32) -> u64 {
    seed.wrapping_mul(0x9e37_79b9)
        .wrapping_add((node as u64) << 8)
        + u64::from(start)
}

/// The kind of each of so many servers: by the shares, the kinds mixed over the zones.
fn kinds_of(fleet: &Fleet, servers: usize) -> Vec<usize> {
    let total: f64 = fleet.kind.iter().map(|kind| kind.share.0).sum();
    let mut given = vec![0.0; fleet.kind.len()];
    (1..=servers)
        .map(|so_far| {
            let lacks = |k: usize| fleet.kind[k].share.0 / total * so_far as f64 - given[k];
            let kind = (0..given.len())
                .max_by(|&a, &b| lacks(a).total_cmp(&lacks(b)))
                .unwrap_or(0);
            given[kind] += 1.0;
            kind
        })
        .collect()
}

/// So many of `of` places as a share means, at least one, drawn without repeats.
fn some_of(of: usize, share: f64, rng: &mut Pcg64) -> Vec<usize> {
    let count = ((of as f64 * share).round() as usize).clamp(1, of);
    let mut places: Vec<usize> = (0..of).collect();
    for at in 0..count {
        let other = rng.random_range(at..of);
        places.swap(at, other);
    }
    places.truncate(count);
    places
}

#[cfg(test)]
mod tests;
