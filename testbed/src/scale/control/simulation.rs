//! Simulates a control plane in virtual time, without faults: the agents' coordinators with clocks that differ, synced
//! writes that take time, delays between regions, and the connection limits of the agent's listening socket. Records what
//! each agent sends and how much processor time its coordinator takes.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use control_plane::coordinator::{
    bootstrap, voter_id, CommandRequest, CommandResult, Coordinator, CoordinatorAction,
    CoordinatorConfig, CoordinatorEvent, Member, OperatorCommand, PersistedVoter,
    FORWARDED_COMMAND_TIMEOUT,
};
use control_plane::lease::{Alarm, Cordon, LeaseSettings, RaisedAlarm, Role};
use control_plane::membership::{
    fleet_id, CallMessage, Datagram, Name, PiggybackedMessage, MAX_DATAGRAM_BYTES,
    SUPPORTED_FORMATS,
};
use control_plane::runtime::{LISTEN_BACKLOG, MAX_CALLERS};
use control_plane::Micros;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

use super::super::target;
use crate::agent_harness::virtual_time::Links;
use crate::sim::queue::Queue;

/// Interval of the log's ticks: the default of the agent's configuration.
const TICK: Duration = Duration::from_millis(100);
/// Fewest ticks without a leader before an election: the default of the agent's configuration.
const ELECTION_TICKS: usize = 10;
/// Log entries between compactions: the value of the agent's runtime.
const COMPACT_AFTER: u64 = 2_000;
/// One-way delay inside a region.
const MIN_ONE_WAY: Micros = (target::ZONE_ROUND_TRIP_MS * 500.0) as Micros;
/// Default duration of a synced write.
pub const SYNC_WRITE: Micros = 2_000;

/// Round trips between agents.
#[derive(Clone, Copy, Debug)]
pub enum RoundTrips {
    /// The same round trip between any two agents.
    Uniform(Micros),
    /// Agents are assigned to the target's regions in turn; each pair of regions has its own round trip, 5 to 250 ms.
    Regions,
}

impl RoundTrips {
    /// One-way delay from one agent to another.
    pub fn one_way(self, from: usize, to: usize) -> Micros {
        let links = || Links {
            regions: target::REGIONS,
            ..Links::default()
        };
        match self {
            _ if from == to => 0,
            RoundTrips::Uniform(trip) => trip / 2,
            RoundTrips::Regions => links().region_delay(from, to).max(MIN_ONE_WAY),
        }
    }
}

/// Traffic and processor time of an agent.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    /// Processor time of the coordinator.
    pub core: Duration,
    /// Part of the processor time that its ticks took.
    pub ticks: Duration,
    /// Consensus messages sent.
    pub messages: u64,
    /// Bytes of the consensus messages as datagrams or, if too long for one, as calls.
    pub message_bytes: u64,
    /// Calls made.
    pub calls: u64,
    /// Bytes of the calls made and of the replies sent.
    pub call_bytes: u64,
    /// Calls that arrived, including rejected ones.
    pub calls_received: u64,
}

/// An operator command with its result.
#[derive(Clone, Debug)]
pub struct CompletedCommand {
    /// Agent to which it was submitted.
    pub agent: usize,
    /// Time of submission.
    pub submitted_at: Micros,
    /// Time of the result.
    pub completed_at: Micros,
    /// Result that the agent returned.
    pub result: CommandResult,
}

enum CallRequest {
    Command(CommandRequest),
    Update(control_plane::coordinator::FleetUpdate),
}

/// What a call carries: a forwarded command, by its id, or a fleet update, by its receiver and version. The calling
/// coordinator gets these back with the reply or timeout of the call.
#[derive(Clone, Debug)]
enum PendingCall {
    Command(u64),
    Update(Name, u64),
}

enum CallReply {
    Command(CommandResult),
    Update(Result<(), control_plane::lease::StaleToken>),
}

enum DueEvent {
    MessageArrived {
        to: usize,
        bytes: Vec<u8>,
    },
    WriteSynced {
        agent: usize,
        number: u64,
    },
    WakeUp(usize),
    CallArrived {
        to: usize,
        call: u64,
        request: CallRequest,
    },
    CallSlotReleased(u64),
    ReplyArrived {
        call: u64,
        reply: CallReply,
    },
    CallTimedOut(u64),
}

struct Agent {
    coordinator: Option<Coordinator>,
    /// Difference between the agent's clock and virtual time.
    clock_offset: Micros,
    /// End of the last scheduled write.
    disk_busy_until: Micros,
    /// Number of calls being handled.
    active_calls: usize,
    /// Calls waiting in the listen backlog.
    queued_calls: VecDeque<(u64, CallRequest)>,
    usage: Usage,
    /// Version of the last fleet update applied here.
    enforced_version: u64,
}

/// Simulated agents. The first ones are the voters.
pub struct Simulation {
    agents: Vec<Agent>,
    voters: usize,
    round_trips: RoundTrips,
    sync_write: Micros,
    now: Micros,
    queue: Queue<DueEvent>,
    last_id: u64,
    /// Calls without a reply yet: the caller, and what the call carries.
    pending_calls: BTreeMap<u64, (usize, PendingCall)>,
    /// Calls that occupy a slot, and the agent that handles them.
    active_calls: BTreeMap<u64, usize>,
    /// Operator commands without a result: agent and time of submission.
    pending_commands: BTreeMap<u64, (usize, Micros)>,
    completed: Vec<CompletedCommand>,
    /// Times at which an agent became leader, and the agent.
    pub elected: Vec<(Micros, usize)>,
    /// Calls rejected because the backlog was full.
    pub rejected_calls: u64,
    /// Longest backlog of one agent.
    pub max_queued: usize,
}

fn name(agent: usize) -> Name {
    format!("a{agent}")
        .parse()
        .expect("simulated agents have valid names")
}

fn agent_index(name: &Name) -> usize {
    name.as_str()[1..]
        .parse()
        .expect("simulated agents' names contain their index")
}

fn member(agent: usize) -> Member {
    Member {
        name: name(agent),
        process: agent as u64 + 1,
        zone: format!("z{}", agent % target::ZONES),
    }
}

impl Simulation {
    /// Starts `agent_count` agents, of which the first `voters` are the voters of a newly bootstrapped log.
    pub fn new(
        voters: usize,
        agent_count: usize,
        round_trips: RoundTrips,
        sync_write: Micros,
        seed: u64,
    ) -> Simulation {
        let mut rng = Pcg64::seed_from_u64(seed);
        let names: Vec<Name> = (0..voters).map(name).collect();
        let agent_count = agent_count.max(voters);
        let mut agents = Vec::new();
        for agent in 0..agent_count {
            let clock_offset = rng.random_range(1_000_000..1_000_000_000);
            let start = CoordinatorConfig {
                me: member(agent),
                voters: names.clone(),
                lease: LeaseSettings::default(),
                tick: TICK,
                election_ticks: ELECTION_TICKS,
                compact_after: COMPACT_AFTER,
                persisted: (agent < voters).then(|| PersistedVoter {
                    id: voter_id(&names[agent]),
                    state: bootstrap(&names),
                }),
                fencing: Default::default(),
                seed: rng.random(),
            };
            let coordinator =
                Coordinator::new(start, clock_offset).expect("a newly bootstrapped state is valid");
            agents.push(Agent {
                coordinator: Some(coordinator),
                clock_offset,
                disk_busy_until: 0,
                active_calls: 0,
                queued_calls: VecDeque::new(),
                usage: Usage::default(),
                enforced_version: 0,
            });
        }
        let mut simulation = Simulation {
            agents,
            voters,
            round_trips,
            sync_write,
            now: 0,
            queue: Queue::new(),
            last_id: 0,
            pending_calls: BTreeMap::new(),
            active_calls: BTreeMap::new(),
            pending_commands: BTreeMap::new(),
            completed: Vec::new(),
            elected: Vec::new(),
            rejected_calls: 0,
            max_queued: 0,
        };
        let all: Vec<Member> = (0..agent_count).map(member).collect();
        for agent in 0..agent_count {
            // A non-voter uses the member list only to find the voters.
            let visible = if agent < voters { agent_count } else { voters };
            simulation.deliver(agent, CoordinatorEvent::Members(all[..visible].to_vec()));
            simulation
                .queue
                .push(rng.random_range(1..50_000), DueEvent::WakeUp(agent));
        }
        simulation
    }

    /// Current virtual time.
    pub fn now(&self) -> Micros {
        self.now
    }

    /// Traffic and processor time of an agent so far.
    pub fn usage(&self, agent: usize) -> Usage {
        self.agents[agent].usage
    }

    /// Coordinator of an agent; `None` after [`kill`](Self::kill).
    pub fn coordinator(&self, agent: usize) -> Option<&Coordinator> {
        self.agents[agent].coordinator.as_ref()
    }

    /// First voter that considers itself the leader.
    pub fn leader(&self) -> Option<usize> {
        (0..self.voters).find(|agent| self.coordinator(*agent).is_some_and(Coordinator::leads))
    }

    /// Agent that holds a role's lease and may act under it now.
    pub fn holder(&self, role: Role) -> Option<usize> {
        (0..self.voters).find(|&agent| {
            let clock = self.now + self.agents[agent].clock_offset;
            self.coordinator(agent)
                .is_some_and(|coordinator| coordinator.active_token(clock, role).is_some())
        })
    }

    /// Runs until there is a leader and every role has a holder; `false` if that takes more than a minute.
    pub fn run_until_stable(&mut self) -> bool {
        let limit = self.now + 60_000_000;
        while self.now < limit {
            self.run(50_000);
            if self.leader().is_some() && Role::ALL.iter().all(|role| self.holder(*role).is_some())
            {
                return true;
            }
        }
        false
    }

    /// Stops an agent without notifying the others.
    pub fn kill(&mut self, agent: usize) {
        self.agents[agent].coordinator = None;
    }

    /// Submits an operator command to an agent.
    pub fn submit(&mut self, agent: usize, command: OperatorCommand) {
        self.last_id += 1;
        self.pending_commands
            .insert(self.last_id, (agent, self.now));
        let command_id = self.last_id;
        self.deliver(
            agent,
            CoordinatorEvent::CommandReceived {
                call: command_id,
                command,
            },
        );
    }

    /// Sets the alarms that the alerting role's holder observes from now on.
    pub fn observe(&mut self, agent: usize, alarms: BTreeMap<Alarm, RaisedAlarm>) {
        self.deliver(agent, CoordinatorEvent::AlarmsObserved(alarms));
    }

    /// Number of agents that have applied this version of the fleet update or a later one.
    pub fn enforced_count(&self, version: u64) -> usize {
        self.agents
            .iter()
            .filter(|agent| agent.enforced_version >= version)
            .count()
    }

    /// Removes and returns the commands completed since the last call.
    pub fn take_completed(&mut self) -> Vec<CompletedCommand> {
        std::mem::take(&mut self.completed)
    }

    /// Advances virtual time.
    pub fn run(&mut self, duration: Micros) {
        self.run_with_follow_ups(duration, |_| None);
    }

    /// Advances virtual time. `follow_up` may submit another command at an agent as soon as one completes there.
    pub fn run_with_follow_ups(
        &mut self,
        duration: Micros,
        mut follow_up: impl FnMut(&CompletedCommand) -> Option<OperatorCommand>,
    ) {
        let end = self.now + duration;
        let mut checked = self.completed.len();
        while self.queue.next_at().is_some_and(|at| at <= end) {
            let Some((at, event)) = self.queue.pop() else {
                break;
            };
            self.now = self.now.max(at);
            self.handle_event(event);
            while checked < self.completed.len() {
                let (agent, next) = (
                    self.completed[checked].agent,
                    follow_up(&self.completed[checked]),
                );
                checked += 1;
                if let Some(command) = next {
                    self.submit(agent, command);
                }
            }
        }
        self.now = end;
    }

    fn handle_event(&mut self, event: DueEvent) {
        match event {
            DueEvent::MessageArrived { to, bytes } => {
                self.deliver(to, CoordinatorEvent::Message(bytes))
            }
            DueEvent::WriteSynced { agent, number } => {
                self.deliver(agent, CoordinatorEvent::Persisted(number))
            }
            DueEvent::WakeUp(agent) => {
                let wall_ms = 1_700_000_000_000 + self.now / 1_000;
                self.deliver(agent, CoordinatorEvent::Wake { wall_ms });
                if let Some(coordinator) = &self.agents[agent].coordinator {
                    let next = coordinator
                        .next_wake()
                        .saturating_sub(self.agents[agent].clock_offset);
                    self.queue
                        .push(next.max(self.now + 1), DueEvent::WakeUp(agent));
                }
            }
            DueEvent::CallArrived { to, call, request } => {
                let agent = &mut self.agents[to];
                agent.usage.calls_received += 1;
                if agent.active_calls < MAX_CALLERS {
                    self.admit_call(to, call, request);
                } else if agent.queued_calls.len() < LISTEN_BACKLOG {
                    agent.queued_calls.push_back((call, request));
                    self.max_queued = self.max_queued.max(agent.queued_calls.len());
                } else {
                    self.rejected_calls += 1;
                }
            }
            DueEvent::CallSlotReleased(call) => self.release_call_slot(call),
            DueEvent::ReplyArrived { call, reply } => {
                let Some((agent, pending_call)) = self.pending_calls.remove(&call) else {
                    return;
                };
                match (pending_call, reply) {
                    (PendingCall::Command(command_id), CallReply::Command(result)) => {
                        self.deliver(
                            agent,
                            CoordinatorEvent::ForwardCompleted {
                                call: command_id,
                                result: Some(result),
                            },
                        );
                    }
                    (PendingCall::Update(to, version), CallReply::Update(result)) => {
                        self.deliver(
                            agent,
                            CoordinatorEvent::UpdateCompleted {
                                to,
                                version,
                                result: Some(result),
                            },
                        );
                    }
                    _ => {}
                }
            }
            DueEvent::CallTimedOut(call) => match self.pending_calls.remove(&call) {
                Some((agent, PendingCall::Command(command_id))) => self.deliver(
                    agent,
                    CoordinatorEvent::ForwardCompleted {
                        call: command_id,
                        result: None,
                    },
                ),
                Some((agent, PendingCall::Update(to, version))) => {
                    self.deliver(
                        agent,
                        CoordinatorEvent::UpdateCompleted {
                            to,
                            version,
                            result: None,
                        },
                    );
                }
                None => {}
            },
        }
    }

    /// Starts to handle a call. It occupies a slot until it is answered, or until the agent's call timeout.
    fn admit_call(&mut self, to: usize, call: u64, request: CallRequest) {
        if self.agents[to].coordinator.is_none() {
            return;
        }
        self.agents[to].active_calls += 1;
        self.active_calls.insert(call, to);
        self.queue.push(
            self.now + FORWARDED_COMMAND_TIMEOUT,
            DueEvent::CallSlotReleased(call),
        );
        match request {
            CallRequest::Command(request) => {
                self.deliver(to, CoordinatorEvent::RequestReceived { call, request })
            }
            CallRequest::Update(update) => {
                self.deliver(to, CoordinatorEvent::UpdateReceived { call, update })
            }
        }
    }

    fn release_call_slot(&mut self, call: u64) {
        let Some(agent) = self.active_calls.remove(&call) else {
            return;
        };
        self.agents[agent].active_calls -= 1;
        if let Some((call, request)) = self.agents[agent].queued_calls.pop_front() {
            self.admit_call(agent, call, request);
        }
    }

    fn call(
        &mut self,
        from: usize,
        to: &Name,
        request: CallRequest,
        pending_call: PendingCall,
        bytes: usize,
    ) {
        let to = agent_index(to);
        self.last_id += 1;
        let call = self.last_id;
        self.pending_calls.insert(call, (from, pending_call));
        let usage = &mut self.agents[from].usage;
        usage.calls += 1;
        usage.call_bytes += bytes as u64;
        // Opening the connection takes a round trip before the request is sent.
        self.queue.push(
            self.now + 3 * self.round_trips.one_way(from, to),
            DueEvent::CallArrived { to, call, request },
        );
        self.queue.push(
            self.now + FORWARDED_COMMAND_TIMEOUT,
            DueEvent::CallTimedOut(call),
        );
    }

    fn reply(&mut self, from: usize, call: u64, after: Micros, reply: CallReply, bytes: usize) {
        self.agents[from].usage.call_bytes += bytes as u64;
        if let Some((caller, _)) = self.pending_calls.get(&call) {
            let at = self.now + after + self.round_trips.one_way(from, *caller);
            self.queue.push(at, DueEvent::ReplyArrived { call, reply });
        }
        if after == 0 {
            self.release_call_slot(call);
        } else {
            self.queue
                .push(self.now + after, DueEvent::CallSlotReleased(call));
        }
    }

    fn deliver(&mut self, agent: usize, event: CoordinatorEvent) {
        let clock = self.now + self.agents[agent].clock_offset;
        let Some(coordinator) = &mut self.agents[agent].coordinator else {
            return;
        };
        let is_tick = matches!(event, CoordinatorEvent::Wake { .. });
        let (mut actions, started) = (Vec::new(), Instant::now());
        coordinator.on_event(clock, event, &mut actions);
        let (elapsed, usage) = (started.elapsed(), &mut self.agents[agent].usage);
        usage.core += elapsed;
        usage.ticks += if is_tick { elapsed } else { Duration::ZERO };
        actions
            .into_iter()
            .for_each(|action| self.perform(agent, action));
    }

    fn perform(&mut self, agent: usize, action: CoordinatorAction) {
        let fleet = fleet_id("lab");
        match action {
            CoordinatorAction::Send { to, bytes } => {
                let to = agent_index(&to);
                let usage = &mut self.agents[agent].usage;
                usage.messages += 1;
                usage.message_bytes += message_bytes(&bytes, fleet) as u64;
                self.queue.push(
                    self.now + self.round_trips.one_way(agent, to),
                    DueEvent::MessageArrived { to, bytes },
                );
            }
            CoordinatorAction::Persist { number, .. } => {
                // A single thread writes, one batch after the other.
                let done = self.now.max(self.agents[agent].disk_busy_until) + self.sync_write;
                self.agents[agent].disk_busy_until = done;
                self.queue
                    .push(done, DueEvent::WriteSynced { agent, number });
            }
            CoordinatorAction::Forward {
                call: command_id,
                to,
                request,
            } => {
                let bytes = CallMessage::ForwardCommand(request.clone())
                    .encode(fleet)
                    .len();
                self.call(
                    agent,
                    &to,
                    CallRequest::Command(request),
                    PendingCall::Command(command_id),
                    bytes,
                );
            }
            CoordinatorAction::SendUpdate { to, update } => {
                let bytes = CallMessage::ApplyUpdate(update.clone()).encode(fleet).len();
                let pending_call = PendingCall::Update(to.clone(), update.version);
                self.call(agent, &to, CallRequest::Update(update), pending_call, bytes);
            }
            CoordinatorAction::Reply {
                call: command_id,
                result,
            } => match self.pending_commands.remove(&command_id) {
                Some((agent, submitted_at)) => {
                    self.completed.push(CompletedCommand {
                        agent,
                        submitted_at,
                        completed_at: self.now,
                        result,
                    });
                }
                None => {
                    let bytes = CallMessage::CommandResult(result.clone())
                        .encode(fleet)
                        .len();
                    self.reply(agent, command_id, 0, CallReply::Command(result), bytes);
                }
            },
            CoordinatorAction::ApplyUpdate {
                call: command_id,
                update,
                ..
            } => {
                self.agents[agent].enforced_version = update.version;
                let bytes = CallMessage::UpdateResult(Ok(())).encode(fleet).len();
                // The fencing token is persisted before and after the node's file: three synced writes.
                self.reply(
                    agent,
                    command_id,
                    3 * self.sync_write,
                    CallReply::Update(Ok(())),
                    bytes,
                );
            }
            CoordinatorAction::RejectUpdate {
                call: command_id,
                stale,
            } => {
                let bytes = CallMessage::UpdateResult(Err(stale)).encode(fleet).len();
                self.reply(agent, command_id, 0, CallReply::Update(Err(stale)), bytes);
            }
            CoordinatorAction::LeaderChanged { is_self: true, .. } => {
                self.elected.push((self.now, agent))
            }
            CoordinatorAction::LeaderChanged { .. }
            | CoordinatorAction::RoleHandedOver(_)
            | CoordinatorAction::AlarmChanged { .. }
            | CoordinatorAction::VoteLost(_)
            | CoordinatorAction::HandoverComplete => {}
        }
    }
}

/// Size of a consensus message on the network: a datagram, or a call if it is too long for one.
fn message_bytes(payload: &[u8], fleet: u64) -> usize {
    let message = PiggybackedMessage::Consensus(payload.to_vec());
    let datagram = Datagram {
        digest: u64::MAX,
        payload: &[],
        broadcast: &[],
        message,
    };
    let bytes = datagram.encode(SUPPORTED_FORMATS.newest, fleet).len();
    if bytes <= MAX_DATAGRAM_BYTES {
        bytes
    } else {
        CallMessage::Consensus(payload.to_vec()).encode(fleet).len()
    }
}

/// Command that cordons a server, with a reason of `reason_bytes` bytes.
pub fn cordon(server: u64, reason_bytes: usize) -> OperatorCommand {
    let cordon = Cordon {
        operator: "lab".into(),
        reason: "y".repeat(reason_bytes),
        since_ms: 1_700_000_000_000,
        until_ms: None,
    };
    OperatorCommand::Cordon {
        server: format!("api-{server:05}"),
        cordon,
    }
}

/// Command that lifts a server's cordon.
pub fn uncordon(server: u64) -> OperatorCommand {
    OperatorCommand::Uncordon {
        server: format!("api-{server:05}"),
    }
}
