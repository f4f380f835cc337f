//! A simulation in virtual time: its state, its queue of events, and the main loop.

mod attempts;
pub(super) mod calls;
mod effects;
mod tries;

use std::collections::BTreeMap;
use std::iter::Peekable;

use load_balancer::{
    Action, AttemptResult, CellId, ClassId, Endpoint, Event, Key, KindId,
    Outcome as AttemptOutcome, Request, RequestId, ServerId, ServerState, Settings, TimerId,
    UpdateKind, ZoneId,
};
use rand::SeedableRng;
use rand_pcg::Pcg64;

use super::links::IdleConnections;
use super::node::{Attempt, Process, ProcessIx, RequestState, CLOCK_AT_START};
use super::queue::Queue;
use super::trace::{Subject, Trace};
use super::{SimOutput, SimPlan};
use crate::checker::{InvariantChecker, DISCOVERY_GRACE, LOST_AFTER};
use crate::deployment;
use crate::outcome::{NodeReport, Outcome};
use crate::policy::{GroundTruth, PolicyFactory};
use crate::wire::{Recorder, WireError};
use crate::world::{
    process_seed, Admission, Client, Condition, Demand, Effect, Entry, FrontEnd, Job, JobId,
    JobOutcome, Micros, NodeCommand, NodeId, Phase, ServerIx, TryOutcome, World, SECOND,
};

/// Time from the start of a node until it is ready and the front ends know it.
const READY_DELAY: Micros = 100_000;
/// Time after SIGTERM for which a process still gets new requests: the upper end of the 0.2 to 0.4 s in PROTOCOL.
const STOP_ACCEPT_TIME: Micros = 400_000;
/// One-way trips until the first request on a new connection has arrived (BENCH: 2 to 3 round trips).
const NEW_CONNECTION_TRIPS: u64 = 5;

/// An event in the queue.
enum QueuedEvent {
    /// A client begins a try.
    Try(usize),
    /// An event for a process's policy is due: a timer, the end of a health check, or one that came while the process
    /// was busy.
    Event(ProcessIx, Event),
    /// The complete request of an attempt reaches its server.
    Arrive(ProcessIx, RequestId, usize),
    /// An attempt reaches its time-out.
    AttemptTimeout(ProcessIx, RequestId, usize),
    /// The process learns how an attempt ended.
    AttemptEnded(ProcessIx, RequestId, usize, AttemptOutcome),
    /// A client abandons its try.
    ClientTimeout(ProcessIx, RequestId),
    /// A call to discovery is answered (true), or it or its subscription has failed.
    CallEnded(ProcessIx, u64, bool),
    /// The latest time at which a try must have been answered.
    CheckAnswered(ProcessIx, RequestId),
    /// The front ends learn that a node is ready.
    Ready(NodeId),
    /// A process that is stopping gets no new requests from now on.
    StopAccepting(ProcessIx),
}

/// A running simulation.
pub struct Run<'a> {
    plan: &'a SimPlan,
    policies: PolicyFactory,
    class_names: Vec<String>,
    recorder: Option<Recorder>,
    trace: Option<Trace>,
    jobs_per_second: Vec<Vec<usize>>,
    /// Error of an external policy, which ends the simulation early.
    error: Option<WireError>,
    settings: Settings,
    world: World,
    checker: InvariantChecker,
    front: FrontEnd,
    rng: Pcg64,
    queue: Queue<QueuedEvent>,
    demand: Peekable<Demand>,
    rate: f64,
    clients: Vec<Client>,
    processes: Vec<Process>,
    /// For each node the process that gets new requests.
    serving: Vec<Option<ProcessIx>>,
    starts: Vec<u32>,
    connections: IdleConnections,
    server_indices: BTreeMap<ServerId, ServerIx>,
    jobs: BTreeMap<JobId, (ProcessIx, RequestId, usize)>,
    next_job: u64,
    /// Number of calls to discovery so far; the last one has this number.
    calls: u64,
    now: Micros,
}

/// The number by which nodes know a server: a hash of its id.
fn server_id(id: &str) -> ServerId {
    ServerId(xxhash_rust::xxh3::xxh3_64(id.as_bytes()) as u32)
}

/// The id of a try: its transaction number, padded with zeros.
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
        let class_names = scenario.class_names();
        let mut run = Run {
            policies: PolicyFactory::new(&plan.policy, &class_names)?,
            class_names,
            recorder: None,
            trace: plan.trace_filter.clone().map(Trace::new),
            jobs_per_second: Vec::new(),
            error: None,
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
            connections: IdleConnections::new(scenario.fleet.idle_timeout_s.micros()),
            server_indices: BTreeMap::new(),
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
            let next_request = self.demand.peek().map(|request| request.first_try_at);
            let next = [next_request, self.queue.next_at(), self.world.next_at()]
                .into_iter()
                .flatten()
                .min();
            let Some(at) = next.filter(|&at| at <= end) else {
                break;
            };
            self.now = self.now.max(at);
            while (self.jobs_per_second.len() as Micros) * SECOND <= self.now {
                self.jobs_per_second.push(
                    self.world
                        .servers()
                        .iter()
                        .map(|server| server.job_count())
                        .collect(),
                );
            }
            if let Some(error) = self.error.take() {
                return Err(error);
            }
            if self.world.next_at().is_some_and(|next| next <= self.now) {
                self.with_world(|world, now, out| world.advance(now, out));
            } else if next_request.is_some_and(|at| at <= self.now) {
                self.add_client();
            } else if let Some((_, event)) = self.queue.pop() {
                self.handle(event);
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
            jobs_per_second: self.jobs_per_second,
        })
    }

    fn add_client(&mut self) {
        let Some(request) = self.demand.next() else {
            return;
        };
        self.checker.asked(&request);
        self.clients.push(Client::new(request));
        self.make_try(self.clients.len() - 1);
    }

    fn handle(&mut self, event: QueuedEvent) {
        match event {
            QueuedEvent::Try(client) => self.make_try(client),
            QueuedEvent::Event(process, event) => self.deliver(process, event),
            QueuedEvent::Arrive(process, id, attempt) => self.arrive(process, id, attempt),
            QueuedEvent::AttemptTimeout(process, id, attempt) => {
                self.end_attempt(process, id, attempt, AttemptOutcome::Timeout)
            }
            QueuedEvent::AttemptEnded(process, id, attempt, end) => {
                self.end_attempt(process, id, attempt, end)
            }
            QueuedEvent::ClientTimeout(process, id) => self.client_timeout(process, id),
            QueuedEvent::CallEnded(process, number, answered) => {
                self.end_call(process, number, answered)
            }
            QueuedEvent::CheckAnswered(process, id) => self.check_answered(process, id),
            QueuedEvent::StopAccepting(process) => {
                let node = self.processes[process].node;
                if self.serving[node] == Some(process) {
                    self.serving[node] = None;
                }
            }
            QueuedEvent::Ready(node) => {
                if self.serving[node].is_some() {
                    self.front.set_ready(self.now, node, true);
                }
            }
        }
    }

    /// Adds a line about a try to the trace.
    fn trace_request(
        &mut self,
        process: ProcessIx,
        id: RequestId,
        server: Option<ServerIx>,
        text: impl FnOnce() -> String,
    ) {
        let Some(trace) = &mut self.trace else { return };
        let Some(state) = self.processes[process].requests.get(&id) else {
            return;
        };
        let request = self.clients[state.client].request();
        let subject = Subject {
            request: Some(request.serial),
            key: Some(request.key),
            server: server.map(|at| self.world.servers()[at].id.as_str()),
            node: Some(self.processes[process].node),
        };
        trace.add(self.now, subject, &text());
    }

    /// Adds a line about a server or a node to the trace.
    fn trace_world(
        &mut self,
        server: Option<ServerIx>,
        node: Option<NodeId>,
        text: impl FnOnce() -> String,
    ) {
        let Some(trace) = &mut self.trace else { return };
        let server = server.map(|at| self.world.servers()[at].id.as_str());
        trace.add(
            self.now,
            Subject {
                server,
                node,
                ..Subject::default()
            },
            &text(),
        );
    }

    /// Calls the world at the current time and applies the resulting effects.
    fn with_world<T>(&mut self, call: impl FnOnce(&mut World, Micros, &mut Vec<Effect>) -> T) -> T {
        let mut effects = Vec::new();
        let result = call(&mut self.world, self.now, &mut effects);
        effects
            .into_iter()
            .for_each(|effect| self.apply_effect(effect));
        result
    }
}

fn server_id_at(world: &World, server: ServerIx) -> ServerId {
    server_id(&world.servers()[server].id)
}
