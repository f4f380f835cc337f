//! Owns one play in virtual time: what is due, and what each thing that falls due brings about.

use std::collections::BTreeMap;
use std::iter::Peekable;

use rand::SeedableRng;
use rand_pcg::Pcg64;
use woodgap::{
    Action, CellId, ClassId, Closed, Event, Key, KindId, Member, Outcome as End, Request, RequestId,
    ServerId, ServerState, Settings, SyncKind, TimerId, ZoneId,
};

use super::links::Links;
use super::node::{Attempt, Held, Process, ProcessIx, CLOCK};
use super::queue::Queue;
use super::{Played, SimPlan};
use crate::outcome::{NodeReport, Outcome};
use crate::policy::{Starter, Truth};
use crate::referee::{Referee, LOST_AFTER};
use crate::terms;
use crate::wire::{Recorder, WireError};
use crate::world::{
    Answer, Client, Condition, Demand, Effect, Ending, Entry, Front, Job, JobId, Micros, NodeId, NodeOrder,
    Phase, ServerIx, Verdict, World,
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
    /// What ended the play early.
    failed: Option<WireError>,
    settings: Settings,
    world: World,
    referee: Referee,
    front: Front,
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
        let notice = scenario.clients.front_notice_s;
        let notice = ((notice.low + notice.high) / 2.0 * 1e6) as Micros;
        let names: Vec<String> = scenario.load.class.iter().map(|class| class.name.clone()).collect();
        let mut run = Run {
            starter: Starter::new(&plan.policy, &names)?,
            names,
            recorder: None,
            failed: None,
            settings: terms::settings(scenario, plan.nodes),
            referee: Referee::new(scenario, plan.nodes),
            front: Front::new(scenario.fleet.zones.len(), plan.nodes, notice),
            rng: Pcg64::seed_from_u64(plan.seed ^ 0x51a9),
            queue: Queue::new(),
            rate: demand.rate(),
            demand: demand.peekable(),
            clients: Vec::new(),
            processes: Vec::new(),
            serving: vec![None; plan.nodes],
            starts: vec![0; plan.nodes],
            links: Links::new(scenario.fleet.idle_close_s.micros()),
            places: BTreeMap::new(),
            jobs: BTreeMap::new(),
            next_job: 0,
            now: 0,
            world,
            plan,
        };
        for node in 0..plan.nodes {
            run.start(node);
            run.front.said(0, node, true);
        }
        Ok(run)
    }

    pub fn into_outcome(mut self) -> Result<Played, WireError> {
        let longest = self.settings.classes.iter().map(|class| class.deadline).max().unwrap_or(0);
        let end = (self.plan.seconds * 1e6) as Micros + longest + 2 * LOST_AFTER;
        loop {
            let asked = self.demand.peek().map(|ask| ask.at);
            let due = [asked, self.queue.next_at(), self.world.next_at()].into_iter().flatten().min();
            let Some(at) = due.filter(|&at| at <= end) else { break };
            self.now = self.now.max(at);
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
            cpu_s: self.processes.iter().filter(|p| p.node == node).map(|p| p.cpu).sum::<Micros>() as f64
                / 1e6,
            starts: self.starts[node],
            ..NodeReport::default()
        });
        let nodes = nodes.collect();
        let servers = self.world.servers().len();
        let (rate, faults) = (self.rate, Vec::new());
        let stream = self.recorder.map(Recorder::into_text);
        let outcome =
            Outcome { referee: self.referee, nodes, lateness: None, rate, servers, crossed: 0, faults };
        Ok(Played { outcome, stream })
    }

    fn arrive_client(&mut self) {
        let Some(ask) = self.demand.next() else { return };
        self.referee.asked(&ask);
        self.clients.push(Client::new(ask));
        self.make_try(self.clients.len() - 1);
    }

    fn fall_due(&mut self, due: Due) {
        match due {
            Due::Try(client) => self.make_try(client),
            Due::Event(process, event) => self.deliver(process, event),
            Due::Arrive(process, id, attempt) => self.arrive(process, id, attempt),
            Due::Expire(process, id, attempt) => self.end_attempt(process, id, attempt, End::Timeout),
            Due::Ended(process, id, attempt, end) => self.end_attempt(process, id, attempt, end),
            Due::GiveUp(process, id) => self.give_up(process, id),
            Due::Judge(process, id) => self.judge(process, id),
            Due::Retire(process) => {
                let node = self.processes[process].node;
                if self.serving[node] == Some(process) {
                    self.serving[node] = None;
                }
            }
            Due::Ready(node) => {
                if self.serving[node].is_some() {
                    self.front.said(self.now, node, true);
                }
            }
        }
    }

    /// Asks the world something, and carries out what it says.
    fn on_world<T>(&mut self, ask: impl FnOnce(&mut World, Micros, &mut Vec<Effect>) -> T) -> T {
        let mut effects = Vec::new();
        let answer = ask(&mut self.world, self.now, &mut effects);
        effects.into_iter().for_each(|effect| self.carry_out(effect));
        answer
    }

    // Clients and their tries.

    fn make_try(&mut self, client: usize) {
        let Some(attempt) = self.clients[client].try_at(self.now) else { return };
        let ask = self.clients[client].ask().clone();
        let nodes = self.front.nodes(self.now, ask.zone);
        let process = Front::pick(&nodes, &mut self.rng).and_then(|node| self.serving[node]);
        let Some(process) = process else {
            self.referee.unreachable();
            return self.next_try(client, Answer::Unreachable);
        };
        let txn = format!("{:012x}{:04x}", ask.serial, attempt.number);
        let id = request_id(&txn);
        self.referee.taken(&txn, &ask, self.processes[process].node, attempt.until);
        let held = Held { txn, client, until: attempt.says, answered: false, attempts: Vec::new() };
        self.processes[process].held.insert(id, held);
        self.queue.push(attempt.until, Due::GiveUp(process, id));
        let request = Request {
            id,
            patience: attempt.says - self.now,
            class: ClassId(ask.class),
            cost: Some(ask.hint),
            repeat: false,
            tenant: None,
            // As a node makes a key's number from its text; below 2^53.
            key: Some(Key(xxhash_rust::xxh3::xxh3_64(&ask.key.to_le_bytes()) >> 11)),
            coming: false,
        };
        self.deliver(process, Event::Request(request));
    }

    fn next_try(&mut self, client: usize, answer: Answer) {
        if let Some(at) = self.clients[client].after(self.now, answer) {
            self.queue.push(at, Due::Try(client));
        }
    }

    fn answer(&mut self, process: ProcessIx, id: RequestId, answer: Answer) {
        let Some(held) = self.processes[process].held.get_mut(&id) else { return };
        let (txn, client, until) = (held.txn.clone(), held.client, held.until);
        let first = !std::mem::replace(&mut held.answered, true);
        let ask = self.clients[client].ask().clone();
        self.referee.answered(&txn, &ask, answer, self.now, answer == Answer::Served);
        if first && self.now <= until {
            self.next_try(client, answer);
        }
        self.forget_if_done(process, id);
    }

    fn give_up(&mut self, process: ProcessIx, id: RequestId) {
        let Some(held) = self.processes[process].held.get(&id).filter(|held| !held.answered) else { return };
        let (client, txn) = (held.client, held.txn.clone());
        if self.clients[client].ask().leaves.is_some() {
            self.referee.left(&txn);
            self.processes[process].held.get_mut(&id).into_iter().for_each(|held| held.answered = true);
            self.deliver(process, Event::Lapsed(id));
            self.forget_if_done(process, id);
        } else {
            self.queue.push(self.now + LOST_AFTER, Due::Judge(process, id));
        }
        self.next_try(client, Answer::Nothing);
    }

    fn judge(&mut self, process: ProcessIx, id: RequestId) {
        let held = self.processes[process].held.get(&id).filter(|held| !held.answered);
        if let Some(txn) = held.map(|held| held.txn.clone()) {
            self.referee.unanswered(&txn, self.now);
        }
    }

    fn forget_if_done(&mut self, process: ProcessIx, id: RequestId) {
        let held = &mut self.processes[process].held;
        if held.get(&id).is_some_and(|h| h.answered && h.attempts.iter().all(Option::is_none)) {
            held.remove(&id);
        }
    }

    // Processes and their actions.

    fn deliver(&mut self, at: ProcessIx, event: Event) {
        if !self.processes[at].alive {
            return;
        }
        let free = self.processes[at].free_at(self.now);
        if free > self.now {
            return self.queue.push(free, Due::Event(at, event));
        }
        let id = match &event {
            Event::Request(request) => Some(request.id),
            Event::Closed(closed) => Some(closed.id),
            _ => None,
        };
        let held = id.and_then(|id| self.processes[at].held.get(&id));
        let key = held.map(|held| self.clients[held.client].ask().key);
        let truth = Truth { world: &self.world, places: &self.places, now: self.now, key };
        let kept = (at == 0 && self.recorder.is_some()).then(|| event.clone());
        let taken = self.processes[at].take(self.now, event, truth).and_then(|actions| {
            if let (Some(event), Some(recorder)) = (kept, &mut self.recorder) {
                recorder.record(CLOCK + self.now, &event, &actions)?;
            }
            Ok(actions)
        });
        match taken {
            Ok(actions) => actions.into_iter().for_each(|action| self.act(at, action)),
            // The play ends with it.
            Err(error) => self.failed = self.failed.take().or(Some(error)),
        }
    }

    fn act(&mut self, process: ProcessIx, action: Action) {
        match action {
            Action::Send { id, server, limit } => self.send(process, id, server, limit),
            Action::Cancel { id, attempt } => {
                let out = self.processes[process]
                    .held
                    .get(&id)
                    .and_then(|held| held.attempts.get(attempt as usize));
                if matches!(out, Some(Some(_))) {
                    self.queue.push(self.now, Due::Ended(process, id, attempt as usize, End::Cancelled));
                }
            }
            Action::Refuse { id, retry_after } => {
                let advice = (retry_after > 0).then_some(retry_after);
                self.answer_own(process, id, Answer::Refused(advice));
            }
            Action::Fail { id } => self.answer_own(process, id, Answer::Failed),
            Action::Probe(server) => self.probe(process, server),
            Action::CloseIdle(server) => {
                if let Some(&at) = self.places.get(&server) {
                    let closed = self.links.close(process, at);
                    (0..closed).for_each(|_| self.world.disconnect(at));
                }
            }
            Action::SetTimer { delay, timer } => {
                self.queue.push(self.now + delay.max(1), Due::Event(process, Event::Timer(TimerId(timer.0))));
            }
            // The list comes unasked, nodes share nothing, and the log has no reader here.
            Action::Subscribe | Action::Tell { .. } | Action::Log(_) => {}
        }
    }

    /// An answer of the node's own; for a request that has ended it is ignored (WIRE, faults).
    fn answer_own(&mut self, process: ProcessIx, id: RequestId, answer: Answer) {
        if self.processes[process].held.get(&id).is_some_and(|held| !held.answered) {
            self.answer(process, id, answer);
        }
    }

    fn send(&mut self, process: ProcessIx, id: RequestId, server: ServerId, limit: Micros) {
        let Some(&at) = self.places.get(&server) else { return };
        let node = self.processes[process].node;
        let Some(held) = self.processes[process].held.get_mut(&id) else { return };
        let number = held.attempts.len();
        let left = held.until.saturating_sub(self.now);
        let moot = held.answered || left == 0 || number >= self.settings.max_attempts as usize;
        held.attempts.push(Some(Attempt {
            server: at,
            sent: self.now,
            job: None,
            number: None,
            linked: false,
        }));
        if moot {
            return self.queue.push(self.now, Due::Ended(process, id, number, End::Moot));
        }
        let limit = if limit == 0 { left } else { limit.min(left) };
        let way = self.world.delay(node, at);
        let (linked, closed) = self.links.take(self.now, process, at);
        (0..closed).for_each(|_| self.world.disconnect(at));
        let condition = self.world.servers()[at].condition;
        if !linked {
            let dial = self.settings.dial_timeout;
            let refused = match condition {
                Condition::Down => Some(2 * way),
                Condition::Silent => Some(dial),
                _ => (!self.on_world(|world, now, out| world.connect(now, at, out))).then_some(2 * way),
            };
            if let Some(after) = refused {
                let after = after.min(limit);
                return self
                    .queue
                    .push(self.now + after, Due::Ended(process, id, number, End::ConnectFailed));
            }
        }
        self.attempt(process, id, number).into_iter().for_each(|attempt| attempt.linked = true);
        self.queue.push(self.now + limit, Due::Expire(process, id, number));
        let ways = if linked { 1 } else { HANDSHAKE_WAYS };
        self.queue.push(self.now + way * ways, Due::Arrive(process, id, number));
    }

    fn attempt(&mut self, process: ProcessIx, id: RequestId, number: usize) -> Option<&mut Attempt> {
        self.processes[process].held.get_mut(&id)?.attempts.get_mut(number)?.as_mut()
    }

    /// An attempt is whole at its server, unless the process or the server is gone by now.
    fn arrive(&mut self, process: ProcessIx, id: RequestId, number: usize) {
        let Some(attempt) = self.attempt(process, id, number).copied() else { return };
        let at = attempt.server;
        match self.world.servers()[at].condition {
            Condition::Silent => return,
            Condition::Down => return self.end_attempt(process, id, number, End::Reset),
            _ => {}
        }
        let (node, held) = (self.processes[process].node, &self.processes[process].held[&id]);
        let (txn, client) = (held.txn.clone(), held.client);
        let name = self.world.servers()[at].id.clone();
        let told = self.referee.sent(Some(&txn), node, &name, attempt.sent, self.now);
        self.next_job += 1;
        let job = JobId(self.next_job);
        let (work, io, key) = {
            let ask = self.clients[client].ask();
            (ask.work, ask.io, Some(ask.key))
        };
        let verdict =
            self.on_world(|world, now, out| world.offer(now, node, at, Job { id: job, work, io, key }, out));
        let way = self.world.delay(node, at);
        let Some(attempt) = self.attempt(process, id, number) else { return };
        attempt.number = told;
        let end = match verdict {
            Verdict::Taken => {
                attempt.job = Some(job);
                self.jobs.insert(job, (process, id, number));
                return;
            }
            Verdict::TurnedAway => End::Full,
            Verdict::Failed => End::Error,
        };
        if let Some(told) = told {
            self.referee.ended(&txn, told, false, end == End::Full);
        }
        self.queue.push(self.now + way, Due::Ended(process, id, number, end));
    }

    /// An attempt is over for its node: the connection goes back or is closed, and the policy hears.
    fn end_attempt(&mut self, process: ProcessIx, id: RequestId, number: usize, outcome: End) {
        let Some(held) = self.processes[process].held.get_mut(&id) else { return };
        let Some(attempt) = held.attempts.get_mut(number).and_then(Option::take) else { return };
        let at = attempt.server;
        let answered = held.answered;
        let whole = matches!(outcome, End::Ok | End::Error | End::Full);
        if attempt.linked && whole && self.world.servers()[at].condition != Condition::Down {
            self.links.give(self.now, process, at);
        } else if attempt.linked {
            self.world.disconnect(at);
        }
        if let Some(job) = attempt.job.filter(|_| !whole) {
            self.jobs.remove(&job);
            self.on_world(|world, now, out| world.cancel(now, at, job, out));
        }
        let served = outcome == End::Ok && !answered;
        if served {
            self.answer(process, id, Answer::Served);
        }
        let server = number_of(&self.world, at);
        let spent = self.now - attempt.sent;
        let (attempt, done) = (number as u32, served);
        self.deliver(
            process,
            Event::Closed(Closed { id, attempt, server, outcome, spent, done, load: Vec::new() }),
        );
        self.forget_if_done(process, id);
    }

    fn probe(&mut self, process: ProcessIx, server: ServerId) {
        let Some(&at) = self.places.get(&server) else { return };
        let node = self.processes[process].node;
        let way = self.world.delay(node, at);
        let condition = self.world.servers()[at].condition;
        let (outcome, spent) = match condition {
            Condition::Silent => (End::Timeout, self.settings.dial_timeout),
            Condition::Down => (End::ConnectFailed, 2 * way),
            _ if self.on_world(|world, now, out| world.probe(now, at, out)) => (End::Ok, 2 * way),
            _ => (End::Error, 2 * way),
        };
        let event = Event::Probed { server, outcome, spent, load: Vec::new() };
        self.queue.push(self.now + spent, Due::Event(process, event));
    }

    // What the world does.

    fn carry_out(&mut self, effect: Effect) {
        match effect {
            Effect::Done { job, ending, .. } => self.finish(job, ending),
            Effect::Down(at) => self.reset(at),
            Effect::Silent(at, false) => self.reset(at),
            Effect::Up(_) | Effect::Silent(_, true) => {}
            Effect::Toppled { server, told } => {
                let id = self.world.servers()[server].id.clone();
                self.referee.toppled(&id, told, self.now);
            }
            Effect::Told(node) => self.tell(node),
            Effect::Node(node, order) => self.order(node, order),
            Effect::Hand(at, out) => {
                let (server, id) = (number_of(&self.world, at), self.world.servers()[at].id.clone());
                for node in 0..self.plan.nodes {
                    let Some(process) = self.serving[node] else { continue };
                    match out {
                        true => self.referee.left_out(node, &id, self.now, Some(self.now)),
                        false => self.referee.put_back(node, &id),
                    }
                    self.deliver(process, Event::Maintenance { server, out });
                }
            }
        }
    }

    fn finish(&mut self, job: JobId, ending: Ending) {
        let Some((process, id, number)) = self.jobs.remove(&job) else { return };
        let Some(attempt) = self.attempt(process, id, number).copied() else { return };
        let node = self.processes[process].node;
        let served = ending == Ending::Served;
        if let Some(told) = attempt.number {
            let txn = self.processes[process].held[&id].txn.clone();
            self.referee.ended(&txn, told, served, false);
        }
        let way = self.world.delay(node, attempt.server);
        let end = if served { End::Ok } else { End::Error };
        self.queue.push(self.now + way, Due::Ended(process, id, number, end));
    }

    /// All connections of a server break.
    fn reset(&mut self, at: ServerIx) {
        let idle = self.links.reset(at);
        (0..idle).for_each(|_| self.world.disconnect(at));
        for (process, state) in self.processes.iter().enumerate() {
            for (id, held) in &state.held {
                for (number, attempt) in held.attempts.iter().enumerate() {
                    if attempt.is_some_and(|attempt| attempt.server == at) {
                        self.queue.push(self.now, Due::Ended(process, *id, number, End::Reset));
                    }
                }
            }
        }
    }

    fn tell(&mut self, node: NodeId) {
        let registry = self.world.registry();
        let newest = registry.revision(node);
        let versions: Vec<ProcessIx> = (0..self.processes.len())
            .filter(|&p| self.processes[p].node == node && self.processes[p].alive)
            .collect();
        for process in versions {
            let changed =
                self.world.registry().since(node, self.processes[process].revision).unwrap_or_default();
            self.processes[process].revision = newest;
            for entry in &changed {
                self.referee.told(node, &entry.id, entry.phase, self.now);
            }
            let members = self.members(&changed);
            self.deliver(process, Event::Sync { kind: SyncKind::Delta, members });
        }
    }

    fn members(&mut self, entries: &[Entry]) -> Vec<Member> {
        for (at, server) in self.world.servers().iter().enumerate() {
            self.places.insert(number(&server.id), at);
        }
        let fleet = &self.plan.scenario.fleet;
        let place =
            |names: Vec<&String>, name: &String| names.iter().position(|n| *n == name).unwrap_or(0) as u32;
        let member = |entry: &Entry| Member {
            server: number(&entry.id),
            zone: ZoneId(place(fleet.zones.iter().collect(), &entry.zone)),
            kind: KindId(place(fleet.kind.iter().map(|kind| &kind.name).collect(), &entry.kind)),
            cell: CellId(entry.cell as u64),
            state: match entry.phase {
                Phase::InService => ServerState::InService,
                Phase::Terminating => ServerState::Terminating,
                Phase::Terminated => ServerState::Terminated,
            },
            size: entry.size,
            since: entry.since.map_or(0, |at| CLOCK + at),
        };
        entries.iter().map(member).collect()
    }

    fn start(&mut self, node: NodeId) {
        self.starts[node] += 1;
        self.referee.lives(node);
        let seed = self.plan.seed.wrapping_mul(0x9e37_79b9).wrapping_add((node as u64) << 8);
        let seed = seed + u64::from(self.starts[node]);
        let (revision, whole) = (self.world.registry().revision(node), self.world.registry().whole(node));
        let process = self.processes.len();
        let policy = self.starter.start(self.settings.clone(), seed, process);
        if self.plan.record && process == 0 {
            self.recorder = Some(Recorder::new(&self.settings, self.names.clone(), seed, CLOCK + self.now));
        }
        self.processes.push(Process::new(node, policy, revision));
        self.serving[node] = Some(process);
        let members = self.members(&whole);
        self.deliver(process, Event::Sync { kind: SyncKind::Cached, members });
    }

    fn order(&mut self, node: NodeId, order: NodeOrder) {
        match order {
            NodeOrder::Kill => {
                self.serving[node] = None;
                self.front.silent(self.now, node);
                self.referee.died(node, self.now);
                let of_node = |p: &ProcessIx| self.processes[*p].node == node && self.processes[*p].alive;
                let killed: Vec<ProcessIx> = (0..self.processes.len()).filter(of_node).collect();
                killed.into_iter().for_each(|process| self.kill(process));
            }
            // What the process has, it finishes; what comes while the front does not know yet, it takes.
            NodeOrder::Stop => {
                self.front.said(self.now, node, false);
                let process = self.serving[node];
                process.into_iter().for_each(|p| self.queue.push(self.now + STILL_TAKES, Due::Retire(p)));
            }
            NodeOrder::Start => {
                self.start(node);
                self.queue.push(self.now + READY, Due::Ready(node));
            }
            NodeOrder::Upgrade => self.start(node),
            NodeOrder::Standby(on) => self.front.said(self.now, node, !on),
            NodeOrder::MoveDiscovery => {}
        }
    }

    fn kill(&mut self, at: ProcessIx) {
        self.processes[at].alive = false;
        for (_, held) in std::mem::take(&mut self.processes[at].held) {
            for attempt in held.attempts.into_iter().flatten() {
                if attempt.linked {
                    self.world.disconnect(attempt.server);
                }
                if let Some(job) = attempt.job {
                    self.jobs.remove(&job);
                    self.on_world(|world, now, out| world.cancel(now, attempt.server, job, out));
                }
            }
            if !held.answered {
                let ask = self.clients[held.client].ask().clone();
                let answer = self.referee.closed(&held.txn, &ask, false, self.now);
                self.next_try(held.client, answer);
            }
        }
    }
}

fn number_of(world: &World, at: ServerIx) -> ServerId {
    number(&world.servers()[at].id)
}
