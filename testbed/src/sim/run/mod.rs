//! Owns one play in virtual time: what is due, and what each thing that falls due brings about.

mod attempts;
pub(super) mod calls;
mod effects;
mod tries;

use std::collections::BTreeMap;
use std::iter::Peekable;

use load_balancer::{
    Action, AttemptResult, CellId, ClassId, Endpoint, Event, Key, KindId, Outcome as End, Request,
    RequestId, ServerId, ServerState, Settings, TimerId, UpdateKind, ZoneId,
};
use rand::SeedableRng;
use rand_pcg::Pcg64;

use super::links::Links;
use super::node::{Attempt, Held, Process, ProcessIx, CLOCK};
use super::queue::Queue;
use super::trace::{About, Trace};
use super::{SimOutput, SimPlan};
use crate::checker::{InvariantChecker, DISCOVERY_GRACE, LOST_AFTER};
use crate::deployment;
use crate::outcome::{NodeReport, Outcome};
use crate::policy::{Starter, Truth};
use crate::wire::{Recorder, WireError};
use crate::world::{
    process_seed, Admission, Client, Condition, Demand, Effect, Entry, FrontEnd, Job, JobId,
    JobOutcome, Micros, NodeCommand, NodeId, Phase, ServerIx, TryOutcome, World, SECOND,
};

/// A node that has started is ready, and the front knows it, after this.
const READY: Micros = 100_000;
/// Clients still come to a process for this long after SIGTERM (PROTOCOL: 0.2 to 0.4 s).
const STILL_TAKES: Micros = 400_000;
/// Messages each way that a new connection costs its first request (BENCH: 2 to 3 round trips).
const HANDSHAKE_WAYS: u64 = 5;

/// What falls due.
enum Due {
    /// A client makes a try.
    Try(usize),
    /// An event comes to a process.
    Event(ProcessIx, Event),
    /// An attempt has come whole to its server.
    Arrive(ProcessIx, RequestId, usize),
    /// An attempt's time is over.
    Expire(ProcessIx, RequestId, usize),
    /// An attempt has ended so, and its node hears of it.
    Ended(ProcessIx, RequestId, usize, End),
    /// A client gives its try up.
    GiveUp(ProcessIx, RequestId),
    /// A call to discovery is answered (true), or it or its subscription has failed.
    Call(ProcessIx, u64, bool),
    /// By now the try must have had its answer.
    Judge(ProcessIx, RequestId),
    /// A node's front takes it in.
    Ready(NodeId),
    /// A process that was told to end takes nothing new from here on.
    Retire(ProcessIx),
}

/// A play under way.
pub struct Run<'a> {
    plan: &'a SimPlan,
    starter: Starter,
    names: Vec<String>,
    recorder: Option<Recorder>,
    trace: Option<Trace>,
    held: Vec<Vec<usize>>,
    /// What ended the play early.
    failed: Option<WireError>,
    settings: Settings,
    world: World,
    checker: InvariantChecker,
    front: FrontEnd,
    rng: Pcg64,
    queue: Queue<Due>,
    demand: Peekable<Demand>,
    rate: f64,
    clients: Vec<Client>,
    processes: Vec<Process>,
    /// For each node the process that takes new requests.
    serving: Vec<Option<ProcessIx>>,
    starts: Vec<u32>,
    links: Links,
    places: BTreeMap<ServerId, ServerIx>,
    jobs: BTreeMap<JobId, (ProcessIx, RequestId, usize)>,
    next_job: u64,
    /// Calls to discovery so far; each has its number.
    calls: u64,
    now: Micros,
}

fn number(id: &str) -> ServerId {
    ServerId(xxhash_rust::xxh3::xxh3_64(id.as_bytes()) as u32)
}

fn request_id(txn: &str) -> RequestId {
    let mut bytes = [b'0'; 36];
    bytes[..txn.len().min(36)].copy_from_slice(&txn.as_bytes()[..txn.len().min(36)]);
    RequestId(bytes)
}

impl<'a> Run<'a> {
    pub fn new(plan: &'a SimPlan) -> Result<Run<'a>, WireError> {
        let scenario = &plan.scenario;
        let world = World::new(scenario, plan.seed, plan.nodes, plan.servers);
        let demand = Demand::new(scenario, plan.seed, world.capacity(), plan.seconds);
        let names = scenario.class_names();
        let mut run = Run {
            starter: Starter::new(&plan.policy, &names)?,
            names,
            recorder: None,
            trace: plan.trace_filter.clone().map(Trace::new),
            held: Vec::new(),
            failed: None,
            settings: deployment::settings(scenario, plan.nodes),
            checker: InvariantChecker::new(scenario, plan.nodes),
            front: FrontEnd::for_scenario(scenario, plan.nodes),
            rng: Pcg64::seed_from_u64(plan.seed ^ 0x51a9),
            queue: Queue::new(),
            rate: demand.rate(),
            demand: demand.peekable(),
            clients: Vec::new(),
            processes: Vec::new(),
            serving: vec![None; plan.nodes],
            starts: vec![0; plan.nodes],
            links: Links::new(scenario.fleet.idle_timeout_s.micros()),
            places: BTreeMap::new(),
            jobs: BTreeMap::new(),
            next_job: 0,
            calls: 0,
            now: 0,
            world,
            plan,
        };
        for node in 0..plan.nodes {
            run.start(node);
            run.front.set_ready(0, node, true);
        }
        Ok(run)
    }

    pub fn into_outcome(mut self) -> Result<SimOutput, WireError> {
        let longest = self
            .settings
            .classes
            .iter()
            .map(|class| class.deadline)
            .max()
            .unwrap_or(0);
        let end = (self.plan.seconds * 1e6) as Micros + longest + 2 * LOST_AFTER;
        loop {
            let asked = self.demand.peek().map(|ask| ask.first_try_at);
            let due = [asked, self.queue.next_at(), self.world.next_at()]
                .into_iter()
                .flatten()
                .min();
            let Some(at) = due.filter(|&at| at <= end) else {
                break;
            };
            self.now = self.now.max(at);
            while (self.held.len() as Micros) * SECOND <= self.now {
                self.held.push(
                    self.world
                        .servers()
                        .iter()
                        .map(|server| server.job_count())
                        .collect(),
                );
            }
            if let Some(error) = self.failed.take() {
                return Err(error);
            }
            if self.world.next_at().is_some_and(|next| next <= self.now) {
                self.on_world(|world, now, out| world.advance(now, out));
            } else if asked.is_some_and(|asked| asked <= self.now) {
                self.arrive_client();
            } else if let Some((_, due)) = self.queue.pop() {
                self.fall_due(due);
            }
        }
        let nodes = (0..self.plan.nodes).map(|node| NodeReport {
            cpu_s: self
                .processes
                .iter()
                .filter(|p| p.node == node)
                .map(|p| p.cpu)
                .sum::<Micros>() as f64
                / 1e6,
            starts: self.starts[node],
            ..NodeReport::default()
        });
        let nodes = nodes.collect();
        let servers = self.world.servers().len();
        let (rate, warnings) = (self.rate, Vec::new());
        let stream = self.recorder.map(Recorder::into_text);
        let outcome = Outcome {
            checker: self.checker,
            nodes,
            lateness: None,
            rate,
            servers,
            resent_after_close: 0,
            warnings,
        };
        let trace = self.trace.map(Trace::into_text);
        Ok(SimOutput {
            outcome,
            stream,
            trace,
            jobs_per_second: self.held,
        })
    }

    fn arrive_client(&mut self) {
        let Some(ask) = self.demand.next() else {
            return;
        };
        self.checker.asked(&ask);
        self.clients.push(Client::new(ask));
        self.make_try(self.clients.len() - 1);
    }

    fn fall_due(&mut self, due: Due) {
        match due {
            Due::Try(client) => self.make_try(client),
            Due::Event(process, event) => self.deliver(process, event),
            Due::Arrive(process, id, attempt) => self.arrive(process, id, attempt),
            Due::Expire(process, id, attempt) => {
                self.end_attempt(process, id, attempt, End::Timeout)
            }
            Due::Ended(process, id, attempt, end) => self.end_attempt(process, id, attempt, end),
            Due::GiveUp(process, id) => self.give_up(process, id),
            Due::Call(process, number, answered) => self.end_call(process, number, answered),
            Due::Judge(process, id) => self.judge(process, id),
            Due::Retire(process) => {
                let node = self.processes[process].node;
                if self.serving[node] == Some(process) {
                    self.serving[node] = None;
                }
            }
            Due::Ready(node) => {
                if self.serving[node].is_some() {
                    self.front.set_ready(self.now, node, true);
                }
            }
        }
    }

    /// A line for the trace about a try.
    fn note(
        &mut self,
        process: ProcessIx,
        id: RequestId,
        server: Option<ServerIx>,
        what: impl FnOnce() -> String,
    ) {
        let Some(trace) = &mut self.trace else { return };
        let Some(held) = self.processes[process].held.get(&id) else {
            return;
        };
        let ask = self.clients[held.client].request();
        let about = About {
            request: Some(ask.serial),
            key: Some(ask.key),
            server: server.map(|at| self.world.servers()[at].id.as_str()),
            node: Some(self.processes[process].node),
        };
        trace.note(self.now, about, &what());
    }

    /// A line for the trace about a server or a node.
    fn note_of(
        &mut self,
        server: Option<ServerIx>,
        node: Option<NodeId>,
        what: impl FnOnce() -> String,
    ) {
        let Some(trace) = &mut self.trace else { return };
        let server = server.map(|at| self.world.servers()[at].id.as_str());
        trace.note(
            self.now,
            About {
                server,
                node,
                ..About::default()
            },
            &what(),
        );
    }

    /// Asks the world something, and carries out what it says.
    fn on_world<T>(&mut self, ask: impl FnOnce(&mut World, Micros, &mut Vec<Effect>) -> T) -> T {
        let mut effects = Vec::new();
        let answer = ask(&mut self.world, self.now, &mut effects);
        effects
            .into_iter()
            .for_each(|effect| self.carry_out(effect));
        answer
    }
}

fn number_of(world: &World, at: ServerIx) -> ServerId {
    number(&world.servers()[at].id)
}
