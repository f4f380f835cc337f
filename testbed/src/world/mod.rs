//! The simulated environment of the nodes: servers, endpoint list, clients, front ends and faults.
//!
//! No I/O, no clock and no thread. A host reads from [`World::next_at`] when the next event is due, calls
//! [`World::advance`], and carries out the [`Effect`]s. It reports events from outside, such as a request that
//! reaches a server, through the other methods. All times are microseconds since the start of the load. One seed
//! gives one world, whatever the host does. The nodes know none of its parameters.

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

use crate::scenario::{Fleet, Outage, Scenario, ValueRange};

pub use client::{Client, Try, TryOutcome};
pub use demand::{ClientRequest, Demand};
pub use front::FrontEnd;
pub use registry::{Entry, Phase, Registry};
pub use server::{Admission, Condition, Job, JobId, JobOutcome, Server};
pub use timeline::{Step, Timeline};

/// A time since the start of the load or a duration, in microseconds.
pub type Micros = u64;
/// Index of a node, from 0.
pub type NodeId = usize;
/// Index of a server in [`World::servers`]. A machine that replaces another gets a new index.
pub type ServerIx = usize;

/// One second in [`Micros`].
pub const SECOND: Micros = 1_000_000;
/// Time from the start of draining until a server rejects new requests. Longer than discovery takes to list the
/// server as draining.
const DRAIN_ACCEPT_TIME: Micros = 5 * SECOND;
/// Time from the start of draining until the process ends.
const DRAIN_TIME: Micros = 9 * SECOND;
/// Time from the cordon of a server until its restart.
const CORDON_RESTART_DELAY: Micros = 2 * SECOND;
/// Duration of that restart.
const CORDON_RESTART_TIME: Micros = SECOND;

/// An effect of the world that the host carries out.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// A server finished a job.
    Done {
        /// The server.
        server: ServerIx,
        /// The job.
        job: JobId,
        /// How the job ended.
        outcome: JobOutcome,
    },
    /// A server's process ended. Its connections are reset and new ones refused.
    Down(ServerIx),
    /// A server's process runs and accepts connections.
    Up(ServerIx),
    /// A server stops responding (true), or responds again and resets its open connections.
    Silent(ServerIx, bool),
    /// A cold server crashed because it was sent too much work.
    ColdOverload {
        /// The server.
        server: ServerIx,
        /// Share of the work that came from nodes whose agent's list had the start time of the server's process.
        informed_share: f64,
    },
    /// A node's agent has received a new version of the endpoint list.
    EndpointsUpdated(NodeId),
    /// An outage of discovery begins, or ends (`None`).
    Discovery(Option<Outage>),
    /// A command to a node.
    Node(NodeId, NodeCommand),
    /// Operators cordon a server at every node (true), or uncordon it.
    Cordon(ServerIx, bool),
}

/// A command to a node: a signal, a start, or a call of its operator interface.
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
    /// The operators put the node on standby (true), or back into service.
    Standby(bool),
    /// Write a configuration file with a new address of discovery, and send SIGHUP.
    MoveDiscovery,
}

/// The simulated environment for one scenario and seed.
#[derive(Debug)]
pub struct World {
    servers: Vec<Server>,
    registry: Registry,
    timeline: Timeline,
    fleet: Fleet,
    delays: Delays,
    rng: Pcg64,
    /// Work recently sent to each cold server: time, work, and whether the list of the sending node's agent had the
    /// start time of the server's process.
    cold_work: BTreeMap<ServerIx, VecDeque<(Micros, f64, bool)>>,
    /// Time of the next event of each server, ordered by time.
    wakeups: BTreeSet<(Micros, ServerIx)>,
    /// Time of the next event of each server, by server.
    wakeup_of: Vec<Option<Micros>>,
}

#[derive(Clone, Copy, Debug)]
struct Delays {
    same_zone_ms: ValueRange,
    cross_zone_ms: ValueRange,
}

impl World {
    /// The world of a scenario and a seed, with `nodes` nodes and `servers` servers, all of them warm.
    pub fn new(scenario: &Scenario, seed: u64, nodes: usize, servers: usize) -> World {
        let mut rng = Pcg64::seed_from_u64(seed);
        let fleet = scenario.fleet.clone();
        let kinds = assign_kinds(&fleet, servers);
        let servers: Vec<Server> = kinds
            .iter()
            .enumerate()
            .map(|(at, kind)| Server::draw(&fleet, *kind, at, None, &mut rng))
            .collect();
        let mut registry = Registry::new(scenario, nodes, &mut rng);
        for server in &servers {
            registry.add_initial(server.entry());
        }
        let timeline = Timeline::new(scenario, servers.len(), nodes, &mut rng);
        let delays = Delays {
            same_zone_ms: scenario.network.same_zone_ms,
            cross_zone_ms: scenario.network.cross_zone_ms,
        };
        let (cold_work, wakeups, wakeup_of) =
            (BTreeMap::new(), BTreeSet::new(), vec![None; servers.len()]);
        World {
            servers,
            registry,
            timeline,
            fleet,
            delays,
            rng,
            cold_work,
            wakeups,
            wakeup_of,
        }
    }

    /// Capacity of all servers when warm, in microseconds of work per microsecond.
    pub fn capacity(&self) -> f64 {
        self.servers.iter().map(Server::full_capacity).sum()
    }

    /// All servers that have existed so far.
    pub fn servers(&self) -> &[Server] {
        &self.servers
    }

    /// The endpoint list and the versions that the nodes have.
    pub fn registry(&mut self) -> &mut Registry {
        &mut self.registry
    }

    /// Time of the next event, if there is one.
    pub fn next_at(&self) -> Option<Micros> {
        let servers = self.wakeups.first().map(|(at, _)| *at);
        [servers, self.timeline.next_at(), self.registry.next_at()]
            .into_iter()
            .flatten()
            .min()
    }

    /// Advances the time to `now` and adds the effects of what happened until then.
    pub fn advance(&mut self, now: Micros, out: &mut Vec<Effect>) {
        while let Some((at, step)) = self.timeline.pop(now) {
            self.advance_due(at, out);
            self.apply(at, step, out);
        }
        self.advance_due(now, out);
        self.registry
            .advance(now, |node| out.push(Effect::EndpointsUpdated(node)));
    }

    /// Advances the servers that have an event due by `now`. The others are advanced when they are next used.
    fn advance_due(&mut self, now: Micros, out: &mut Vec<Effect>) {
        while let Some(&(_, server)) = self.wakeups.first().filter(|(at, _)| *at <= now) {
            self.advance_one(now, server, out);
            self.update_wakeup(server);
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

    /// Updates the time of the next event of a server after its state has changed.
    fn update_wakeup(&mut self, server: ServerIx) {
        self.wakeup_of
            .resize(self.servers.len().max(self.wakeup_of.len()), None);
        let next = self.servers[server].next_at();
        let old = std::mem::replace(&mut self.wakeup_of[server], next);
        if old != next {
            old.map(|at| self.wakeups.remove(&(at, server)));
            next.map(|at| self.wakeups.insert((at, server)));
        }
    }

    /// Advances a server to `now` and changes its state by `change`.
    fn at_server<T>(
        &mut self,
        now: Micros,
        server: ServerIx,
        out: &mut Vec<Effect>,
        change: impl FnOnce(&mut Server) -> T,
    ) -> T {
        self.advance_one(now, server, out);
        let result = change(&mut self.servers[server]);
        self.update_wakeup(server);
        result
    }

    /// One-way latency of a message between a node and a server, drawn anew for each message.
    pub fn delay(&mut self, node: NodeId, server: ServerIx) -> Micros {
        let same_zone = self.servers[server].zone == node % self.fleet.zones.len();
        let latency = if same_zone {
            self.delays.same_zone_ms
        } else {
            self.delays.cross_zone_ms
        };
        (latency.draw(&mut self.rng) * 1e3) as Micros
    }

    /// Offers a server a complete request of a node. Crashes the server if it is cold and was sent too much work.
    pub fn offer(
        &mut self,
        now: Micros,
        node: NodeId,
        at: ServerIx,
        job: Job,
        out: &mut Vec<Effect>,
    ) -> Admission {
        let work = job.work as f64;
        let admission = self.at_server(now, at, out, |server| server.offer(now, job));
        let server = &self.servers[at];
        if server.is_cold(now) {
            let informed = self
                .registry
                .knows_start(node, &server.id, server.started_at);
            self.check_cold_overload(now, at, work, informed, out);
        }
        admission
    }

    /// Crashes a cold server once the work sent to it in a window exceeds its budget, a multiple of what it can do in
    /// that window (BRIEF 7.2). An allowance on top keeps chance alone from causing the crash: twice the largest
    /// request, but at most 2 sqrt(N) + 2 requests of mean work, where N is the budget in such requests (STANDING
    /// permits 3 sqrt(N) + 3).
    fn check_cold_overload(
        &mut self,
        now: Micros,
        at: ServerIx,
        work: f64,
        informed: bool,
        out: &mut Vec<Effect>,
    ) {
        let window = self.fleet.cold_overload_window_s.micros();
        let sent = self.cold_work.entry(at).or_default();
        sent.push_back((now, work, informed));
        while sent.front().is_some_and(|(then, ..)| then + window < now) {
            sent.pop_front();
        }
        let sum: f64 = sent.iter().map(|(_, work, _)| work).sum();
        let largest = sent.iter().map(|(_, work, _)| *work).fold(0.0, f64::max);
        let budget =
            self.fleet.cold_overload_factor.0 * self.servers[at].capacity(now) * window as f64;
        let mean = sum / sent.len() as f64;
        let allowance = (2.0 * (budget / mean).sqrt() + 2.0) * mean;
        if sum > budget + allowance.min(2.0 * largest) {
            let by_informed: f64 = sent
                .iter()
                .filter(|(_, _, informed)| *informed)
                .map(|(_, work, _)| work)
                .sum();
            self.cold_work.remove(&at);
            out.push(Effect::ColdOverload {
                server: at,
                informed_share: by_informed / sum,
            });
            self.stop_process(now, at, out);
        }
    }

    /// Cancels a job because its request was cancelled.
    pub fn cancel(&mut self, now: Micros, server: ServerIx, job: JobId, out: &mut Vec<Effect>) {
        self.at_server(now, server, out, |server| server.cancel(job));
    }

    /// Opens a connection to a server; false if the server is at its limit.
    pub fn connect(&mut self, now: Micros, server: ServerIx, out: &mut Vec<Effect>) -> bool {
        self.at_server(now, server, out, Server::connect)
    }

    /// Closes a connection to a server.
    pub fn disconnect(&mut self, server: ServerIx) {
        self.servers[server].disconnect();
    }

    /// Sends a health check to a server; true if the server is up.
    pub fn probe(&mut self, now: Micros, server: ServerIx, out: &mut Vec<Effect>) -> bool {
        self.at_server(now, server, out, Server::probe)
    }

    fn stop_process(&mut self, now: Micros, at: ServerIx, out: &mut Vec<Effect>) {
        self.at_server(now, at, out, |server| server.stop_process(now));
        self.cold_work.remove(&at);
        out.push(Effect::Down(at));
        self.registry.record_change(now, self.servers[at].entry());
    }

    fn start_process(&mut self, now: Micros, at: ServerIx, out: &mut Vec<Effect>) {
        self.at_server(now, at, out, |server| server.start_process(now));
        out.push(Effect::Up(at));
        self.registry.record_change(now, self.servers[at].entry());
    }

    fn apply(&mut self, now: Micros, step: Step, out: &mut Vec<Effect>) {
        match step {
            Step::FailRequests(at, share) => self.servers[at].failing_share = share,
            Step::SlowDown(at, factor) => {
                self.at_server(now, at, out, |server| server.slowdown = factor)
            }
            Step::Silence(at, on) => {
                self.at_server(now, at, out, |server| server.silence(now, on));
                out.push(Effect::Silent(at, on));
                let entry = self.servers[at].entry();
                if on {
                    self.registry.record_silent(now, entry);
                } else {
                    self.registry.record_change(now, entry);
                }
            }
            Step::StopProcess(at) => self.stop_process(now, at, out),
            Step::StartProcess(at) => self.start_process(now, at, out),
            Step::Replace(at) => self.replace(now, at),
            Step::RejectNew(at) => self.servers[at].condition = Condition::RejectingNew,
            Step::Zone(zone, up) => {
                let in_zone: Vec<ServerIx> = (0..self.servers.len())
                    .filter(|&at| self.servers[at].zone == zone)
                    .collect();
                for at in in_zone {
                    match (up, self.servers[at].condition) {
                        (true, Condition::Down) => self.start_process(now, at, out),
                        (false, Condition::Up) => self.stop_process(now, at, out),
                        _ => {}
                    }
                }
            }
            Step::Discovery(outage) => {
                self.registry.set_outage(now, outage);
                out.push(Effect::Discovery(outage));
            }
            Step::FalseRemoval(at, on) => {
                let mut entry = self.servers[at].entry();
                if on {
                    entry.phase = Phase::Terminated;
                }
                self.registry.record_now(now, entry);
            }
            Step::Cordon(at, true) => {
                out.push(Effect::Cordon(at, true));
                self.timeline
                    .push(now + CORDON_RESTART_DELAY, Step::StopProcess(at));
                self.timeline.push(
                    now + CORDON_RESTART_DELAY + CORDON_RESTART_TIME,
                    Step::StartProcess(at),
                );
            }
            Step::Cordon(at, false) => out.push(Effect::Cordon(at, false)),
            Step::Node(node, command) => out.push(Effect::Node(node, command)),
        }
    }

    /// Starts to drain a server that is up, and starts a new, cold machine of its kind and zone.
    fn replace(&mut self, now: Micros, at: ServerIx) {
        if self.servers[at].condition != Condition::Up {
            return;
        }
        self.servers[at].condition = Condition::Draining;
        self.registry.record_change(now, self.servers[at].entry());
        self.timeline
            .push(now + DRAIN_ACCEPT_TIME, Step::RejectNew(at));
        self.timeline.push(now + DRAIN_TIME, Step::StopProcess(at));
        let (kind, zone) = (self.servers[at].kind, self.servers[at].zone);
        let new = self.servers.len();
        let mut server = Server::draw(&self.fleet, kind, new, Some(zone), &mut self.rng);
        server.stop_process(now);
        self.servers.push(server);
        self.timeline.push(now, Step::StartProcess(new));
    }
}

/// The random seed in the settings of a node's process, different for each of its starts.
pub fn process_seed(seed: u64, node: NodeId, start: u32) -> u64 {
    seed.wrapping_mul(0x9e37_79b9)
        .wrapping_add((node as u64) << 8)
        + u64::from(start)
}

/// The kind of each server: in proportion to the shares, and interleaved so that each zone gets all kinds.
fn assign_kinds(fleet: &Fleet, servers: usize) -> Vec<usize> {
    let total: f64 = fleet.kind.iter().map(|kind| kind.share.0).sum();
    let mut assigned = vec![0.0; fleet.kind.len()];
    (1..=servers)
        .map(|so_far| {
            let deficit = |k: usize| fleet.kind[k].share.0 / total * so_far as f64 - assigned[k];
            let kind = (0..assigned.len())
                .max_by(|&a, &b| deficit(a).total_cmp(&deficit(b)))
                .unwrap_or(0);
            assigned[kind] += 1.0;
            kind
        })
        .collect()
}

/// Draws a share of the indices below `len` without repetition, at least one.
fn sample_indices(len: usize, share: f64, rng: &mut Pcg64) -> Vec<usize> {
    let count = ((len as f64 * share).round() as usize).clamp(1, len);
    let mut indices: Vec<usize> = (0..len).collect();
    for at in 0..count {
        let other = rng.random_range(at..len);
        indices.swap(at, other);
    }
    indices.truncate(count);
    indices
}

#[cfg(test)]
mod tests;
