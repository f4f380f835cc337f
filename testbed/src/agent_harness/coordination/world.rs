//! The agents of a run and the virtual time: which run, which are paused, which can reach each other, and the
//! queue of events.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use control_plane::consensus::{PersistedState, VoterId, WriteBatch};
use control_plane::coordinator::{
    bootstrap, voter_id, CommandRequest, CommandResult, Coordinator, CoordinatorConfig,
    CoordinatorEvent, FleetUpdate, Member, PersistedVoter,
};
use control_plane::lease::{LeaseSettings, ReplicatedState, Role, StaleToken};
use control_plane::membership::Name;
use control_plane::Micros;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

use super::agent::{process_id, SimulatedAgent, Store};
use super::check::{CommandEvent, History, Operation, RoleAction};
use super::InjectedBug;
use crate::sim::queue::Queue;

/// Largest error of a clock's rate, as a fraction of the true rate.
const DRIFT: f64 = 0.1;
/// Number of agents without a vote in [`World::new`].
const NON_VOTERS: usize = 2;
/// Interval at which a coordinator learns which members are present.
const MEMBERS_INTERVAL: Micros = 200_000;
/// Time after which a paused agent no longer counts as present for the others.
const DETECTION_TIME: Micros = 1_500_000;

/// An event in the queue.
pub(super) enum ScheduledEvent {
    Message {
        to: usize,
        bytes: Vec<u8>,
    },
    Persisted {
        agent: usize,
        epoch: u64,
        write: u64,
        batch: WriteBatch,
    },
    PersistFailed {
        agent: usize,
        epoch: u64,
    },
    Wake {
        agent: usize,
        epoch: u64,
    },
    CheckMembers {
        agent: usize,
        epoch: u64,
    },
    Update {
        from: usize,
        call: u64,
        to: usize,
        update: FleetUpdate,
    },
    UpdateCompleted {
        agent: usize,
        call: u64,
        answer: Option<Result<(), StaleToken>>,
    },
    Request {
        from: usize,
        call: u64,
        to: usize,
        request: CommandRequest,
    },
    ForwardCompleted {
        agent: usize,
        call: u64,
        answer: Option<CommandResult>,
    },
    Restart(usize),
    Resume(usize),
    EndPartition(u64),
    EndLoss(u64),
}

/// A call between agents that has no answer yet.
pub(super) enum Call {
    Update { epoch: u64, to: Name, version: u64 },
    Forward { epoch: u64, request_id: u64 },
}

/// Who gets a coordinator's reply to a command or an update.
pub(super) enum ReplyTo {
    Operator(u64),
    /// An operator who replaces the voter on this agent, which has the store with this id.
    VoterReplacement(usize, VoterId),
    Agent {
        agent: usize,
        call: u64,
    },
}

/// A simulated fleet during one run: its agents, the links between them, the queue of events and the history.
pub struct World {
    pub(super) agents: Vec<SimulatedAgent>,
    voters: usize,
    lease: LeaseSettings,
    pub(super) bug: Option<InjectedBug>,
    pub(super) now: Micros,
    pub(super) rng: Pcg64,
    pub(super) queue: Queue<ScheduledEvent>,
    partition_sides: Option<Vec<bool>>,
    partition_id: u64,
    pub(super) loss: f64,
    loss_id: u64,
    pub(super) next_id: u64,
    pub(super) calls: BTreeMap<u64, Call>,
    pub(super) pending_replies: BTreeMap<u64, ReplyTo>,
    pub(super) replaced: usize,
    /// Agents whose removal from the voters was committed.
    pub(super) removed: BTreeSet<usize>,
    pub(super) history: History,
}

pub(super) fn name(agent: usize) -> Name {
    format!("v{agent}")
        .parse()
        .expect("harness names are valid names")
}

pub(super) fn agent_index(name: &Name) -> usize {
    name.as_str()[1..]
        .parse()
        .expect("harness names end in a number")
}

impl World {
    /// Voters with freshly bootstrapped stores and two agents without a vote, all started.
    pub fn new(voters: usize, seed: u64, bug: Option<InjectedBug>) -> World {
        World::sized(voters, NON_VOTERS, seed, bug)
    }

    /// As [`World::new`], with `non_voters` agents without a vote; at most 256 agents in all, as a process id
    /// has eight bits for the agent.
    pub fn sized(voters: usize, non_voters: usize, seed: u64, bug: Option<InjectedBug>) -> World {
        let mut rng = Pcg64::seed_from_u64(seed);
        let names: Vec<Name> = (0..voters).map(name).collect();
        let agents = (0..voters + non_voters).map(|agent| SimulatedAgent {
            store: (agent < voters).then(|| Store {
                id: voter_id(&name(agent)),
                persisted: bootstrap(&names),
                full: false,
            }),
            fencing: Default::default(),
            enforced: None,
            coordinator: None,
            index: 0,
            busy_until: 0,
            epoch: 0,
            paused: None,
            offset: rng.random_range(1e6..1e9),
            rate: rng.random_range(1.0 - DRIFT..1.0 + DRIFT),
            wall_offset_ms: 0,
        });
        let agents = agents.collect();
        let drift = if bug == Some(InjectedBug::ClockDriftIgnored) {
            0.0
        } else {
            DRIFT
        };
        let mut world = World {
            agents,
            voters,
            lease: LeaseSettings {
                duration: Duration::from_secs(1),
                drift,
            },
            bug,
            now: 0,
            rng,
            queue: Queue::new(),
            partition_sides: None,
            partition_id: 0,
            loss: 0.0,
            loss_id: 0,
            next_id: 0,
            calls: BTreeMap::new(),
            pending_replies: BTreeMap::new(),
            replaced: 0,
            removed: BTreeSet::new(),
            history: History {
                voters,
                ..History::default()
            },
        };
        (0..world.agents.len()).for_each(|agent| world.start(agent));
        world
    }

    /// The virtual time, in microseconds.
    pub fn now(&self) -> Micros {
        self.now
    }

    /// Number of agents; the voters come first.
    pub fn agent_count(&self) -> usize {
        self.agents.len()
    }

    /// Number of voters.
    pub fn voters(&self) -> usize {
        self.voters
    }

    /// Number of voters that were replaced.
    pub fn replaced(&self) -> usize {
        self.replaced
    }

    /// The random numbers from which faults are drawn.
    pub fn rng(&mut self) -> &mut Pcg64 {
        &mut self.rng
    }

    /// The agent that last reported itself leader, if that process still runs.
    pub fn leader(&self) -> Option<usize> {
        let leader = self.history.leaders.last()?.1;
        (0..self.voters).find(|&at| {
            process_id(at, self.agents[at].epoch) == leader && self.agents[at].coordinator.is_some()
        })
    }

    /// An agent that is active under some role now.
    pub fn active_holder(&self) -> Option<usize> {
        (0..self.voters).find(|&at| Role::ALL.iter().any(|role| self.holds(at, *role).is_some()))
    }

    pub(super) fn holds(&self, at: usize, role: Role) -> Option<u64> {
        let agent = &self.agents[at];
        agent
            .coordinator
            .as_ref()?
            .active_token(agent.clock(self.now), role)
    }

    /// Kills an agent's process. It restarts after `restart_after` with what its disk holds.
    pub fn kill(&mut self, at: usize, restart_after: Micros) {
        let agent = &mut self.agents[at];
        if agent.coordinator.take().is_some() {
            agent.paused = None;
            agent.epoch += 1;
            if let (Some(InjectedBug::StoreLost), Some(store)) = (self.bug, &mut agent.store) {
                store.persisted = PersistedState::default();
            }
            self.queue
                .push(self.now + restart_after, ScheduledEvent::Restart(at));
        }
    }

    /// Asks an agent to hand over its roles and stop. It restarts later.
    pub fn stop(&mut self, at: usize, restart_after: Micros) {
        if self.agents[at].paused.is_none() {
            self.deliver(at, CoordinatorEvent::Stop);
            // Operators wait at most 4 s for the handover.
            self.queue.push(
                self.now + 4_000_000 + restart_after,
                ScheduledEvent::Restart(at),
            );
        }
    }

    /// Ends the process of an agent that has handed over its roles.
    pub(super) fn handed_over(&mut self, at: usize) {
        if self.agents[at].coordinator.take().is_some() {
            self.agents[at].epoch += 1;
        }
    }

    /// Pauses an agent's process for `span`.
    pub fn pause(&mut self, at: usize, span: Micros) {
        if self.agents[at].coordinator.is_some() && self.agents[at].paused.is_none() {
            self.agents[at].paused = Some((self.now, Vec::new()));
            self.queue.push(self.now + span, ScheduledEvent::Resume(at));
        }
    }

    /// Partitions the network for `span`: agents on different sides can't reach each other.
    pub fn partition(&mut self, sides: &[bool], span: Micros) {
        self.partition_sides = Some(sides.to_vec());
        self.partition_id += 1;
        self.queue.push(
            self.now + span,
            ScheduledEvent::EndPartition(self.partition_id),
        );
    }

    /// Drops this fraction of all messages for `span`.
    pub fn drop_messages(&mut self, fraction: f64, span: Micros) {
        self.loss = fraction;
        self.loss_id += 1;
        self.queue
            .push(self.now + span, ScheduledEvent::EndLoss(self.loss_id));
    }

    /// Fills a voter's disk: its writes fail until it restarts.
    pub fn fill_disk(&mut self, at: usize) {
        if let Some(store) = &mut self.agents[at].store {
            store.full = true;
        }
    }

    /// Moves an agent's wall clock by `by_ms`.
    pub fn move_wall_clock(&mut self, at: usize, by_ms: i64) {
        self.agents[at].wall_offset_ms += by_ms;
    }

    /// Ends all faults: every agent runs and reaches every other, and every voter is in the configuration
    /// again.
    pub fn heal(&mut self) {
        (self.partition_sides, self.loss) = (None, 0.0);
        for at in 0..self.agents.len() {
            if self.agents[at].coordinator.is_none() {
                self.start(at);
            }
            self.resume(at);
        }
        for at in 0..self.agents.len() {
            // A coordinator whose write failed does nothing more until it restarts.
            if self.agents[at]
                .store
                .as_ref()
                .is_some_and(|store| store.full)
            {
                self.kill(at, 50_000);
            }
        }
        for _ in 0..4 {
            self.run(1_500_000);
            // A voter may have been removed although the reply was lost. A second removal is answered, and
            // confirms it.
            let agreed = self.agreed_voters();
            for at in 0..self.voters {
                if !agreed.is_empty() && !agreed.contains(&name(at)) {
                    self.remove_voter(at);
                }
            }
            self.run(1_500_000);
            self.rejoin_removed();
        }
    }

    /// Advances the virtual time by `span`.
    pub fn run(&mut self, span: Micros) {
        let end = self.now + span;
        while self.queue.next_at().is_some_and(|at| at <= end) {
            let Some((at, event)) = self.queue.pop() else {
                break;
            };
            self.now = self.now.max(at);
            self.handle(event);
        }
        self.now = end;
    }

    /// Whether every operator command is answered and all agents enforce the agreed cordons.
    pub fn cordons_converged(&self) -> bool {
        let open = self
            .pending_replies
            .values()
            .any(|reply_to| matches!(reply_to, ReplyTo::Operator(call) if *call > 0));
        !open
            && self
                .newest_state()
                .is_some_and(|state| self.all_enforce(state))
    }

    /// The newest replicated state that any agent has.
    pub(super) fn newest_state(&self) -> Option<&ReplicatedState> {
        let states = self
            .agents
            .iter()
            .filter_map(|agent| Some(agent.coordinator.as_ref()?.state()));
        states.max_by_key(|state| state.index)
    }

    fn all_enforce(&self, state: &ReplicatedState) -> bool {
        self.agents.iter().all(|agent| {
            agent
                .enforced
                .as_ref()
                .is_some_and(|update| update.cordoned == state.cordoned)
        })
    }

    /// Ends the run and returns its history. Five last operator commands show whether the fleet has recovered,
    /// and reads of the agreed state of five servers complete the record.
    pub fn into_history(mut self) -> History {
        let before = self.history.command_events.len();
        for _ in 0..5 {
            self.send_command();
            self.run(400_000);
        }
        let held = Role::ALL
            .iter()
            .filter(|role| (0..self.voters).any(|at| self.holds(at, **role).is_some()));
        let answered = self.history.command_events[before..]
            .iter()
            .any(|event| matches!(event, CommandEvent::Committed(..)));
        self.history.recovered = (held.count(), answered);
        self.run(3_000_000);
        let coordinators = self
            .agents
            .iter()
            .filter_map(|agent| agent.coordinator.as_ref());
        let voting = coordinators.filter(|coordinator| coordinator.report(0).votes);
        self.history.final_logs = voting
            .map(|coordinator| (coordinator.state().index, coordinator.state().voters.len()))
            .collect();
        let Some(agreed) = self.newest_state().cloned() else {
            return self.history;
        };
        self.history.cordons_enforced = self.all_enforce(&agreed);
        for server in 0..5 {
            self.next_id += 1;
            let (call, server) = (self.next_id, format!("api-{server}"));
            let mark = agreed.cordoned.get(&server).map(|out| out.since_ms);
            self.history.command_events.push(CommandEvent::Sent {
                call,
                server,
                op: Operation::Read,
            });
            self.history
                .command_events
                .push(CommandEvent::Committed(call, mark));
        }
        self.history
    }

    fn start(&mut self, at: usize) {
        let now = self.now;
        let voters = (0..self.voters).map(name).collect();
        let seed = self.rng.random();
        let agent = &mut self.agents[at];
        agent.epoch += 1;
        agent.index = 0;
        if let Some(store) = &mut agent.store {
            store.full = false;
        }
        let config = CoordinatorConfig {
            me: Member {
                name: name(at),
                process: process_id(at, agent.epoch),
                zone: format!("z{}", at % 2),
            },
            voters,
            lease: self.lease,
            tick: Duration::from_millis(50),
            election_ticks: 6,
            compact_after: 200,
            persisted: agent.store.as_ref().map(|store| PersistedVoter {
                id: store.id,
                state: store.persisted.clone(),
            }),
            fencing: agent.fencing.clone(),
            seed,
        };
        match Coordinator::new(config, agent.clock(now)) {
            Ok(coordinator) => agent.coordinator = Some(coordinator),
            // A voter that finds its store unsound does not start, and the others go on without it.
            Err(_) => {
                self.history.unsound_stores += 1;
                return;
            }
        }
        let epoch = agent.epoch;
        self.queue
            .push(now + 1, ScheduledEvent::Wake { agent: at, epoch });
        self.queue
            .push(now + 1, ScheduledEvent::CheckMembers { agent: at, epoch });
    }

    fn resume(&mut self, at: usize) {
        let Some((_, held)) = self.agents[at].paused.take() else {
            return;
        };
        held.into_iter().for_each(|event| self.handle(event));
    }

    fn handle(&mut self, event: ScheduledEvent) {
        let target = match &event {
            ScheduledEvent::Message { to, .. }
            | ScheduledEvent::Update { to, .. }
            | ScheduledEvent::Request { to, .. } => Some(*to),
            ScheduledEvent::UpdateCompleted { agent, .. }
            | ScheduledEvent::ForwardCompleted { agent, .. } => Some(*agent),
            ScheduledEvent::Wake { agent, epoch }
            | ScheduledEvent::CheckMembers { agent, epoch }
            | ScheduledEvent::PersistFailed { agent, epoch } => {
                if self.agents[*agent].epoch != *epoch {
                    return;
                }
                Some(*agent)
            }
            ScheduledEvent::Persisted {
                agent,
                epoch,
                batch,
                ..
            } => {
                if self.agents[*agent].epoch != *epoch {
                    return;
                }
                // The disk finishes a write while the process is paused; the completion is held until it
                // resumes.
                if let Some(store) = &mut self.agents[*agent].store {
                    store.persisted.apply(batch);
                }
                Some(*agent)
            }
            _ => None,
        };
        if let Some((_, held)) = target.and_then(|target| self.agents[target].paused.as_mut()) {
            held.push(event);
            return;
        }
        match event {
            ScheduledEvent::Message { to, bytes } => {
                self.deliver(to, CoordinatorEvent::Message(bytes))
            }
            ScheduledEvent::Persisted { agent, write, .. } => {
                self.deliver(agent, CoordinatorEvent::Persisted(write))
            }
            ScheduledEvent::PersistFailed { agent, .. } => {
                self.deliver(agent, CoordinatorEvent::PersistFailed)
            }
            ScheduledEvent::Wake { agent, epoch } => self.wake(agent, epoch),
            ScheduledEvent::CheckMembers { agent, epoch } => {
                let members = (0..self.agents.len()).filter(|&other| self.detects(agent, other));
                let members = members.map(|other| Member {
                    name: name(other),
                    process: process_id(other, self.agents[other].epoch),
                    zone: format!("z{}", other % 2),
                });
                let members = members.collect();
                self.deliver(agent, CoordinatorEvent::Members(members));
                self.queue.push(
                    self.now + MEMBERS_INTERVAL,
                    ScheduledEvent::CheckMembers { agent, epoch },
                );
            }
            ScheduledEvent::Update {
                from,
                call,
                to,
                update,
            } => self.receive_update(from, call, to, update),
            ScheduledEvent::UpdateCompleted {
                agent,
                call,
                answer,
            } => self.complete_update(agent, call, answer),
            ScheduledEvent::Request {
                from,
                call,
                to,
                request,
            } => {
                if self.agents[to].coordinator.is_some() {
                    self.next_id += 1;
                    let request_id = self.next_id;
                    self.pending_replies
                        .insert(request_id, ReplyTo::Agent { agent: from, call });
                    self.deliver(
                        to,
                        CoordinatorEvent::RequestReceived {
                            call: request_id,
                            request,
                        },
                    );
                }
            }
            ScheduledEvent::ForwardCompleted {
                agent,
                call,
                answer,
            } => self.complete_forward(agent, call, answer),
            ScheduledEvent::Restart(at) if self.agents[at].coordinator.is_none() => self.start(at),
            ScheduledEvent::Resume(at) => self.resume(at),
            ScheduledEvent::EndPartition(id) if id == self.partition_id => {
                self.partition_sides = None
            }
            ScheduledEvent::EndLoss(id) if id == self.loss_id => self.loss = 0.0,
            ScheduledEvent::Restart(_)
            | ScheduledEvent::EndPartition(_)
            | ScheduledEvent::EndLoss(_) => {}
        }
    }

    fn wake(&mut self, at: usize, epoch: u64) {
        for role in Role::ALL {
            if let Some(token) = self.holds(at, role) {
                let action = RoleAction {
                    at: self.now,
                    role,
                    token,
                    by: process_id(at, epoch),
                };
                self.history.active.push(action);
            }
        }
        let wall_ms = self.agents[at].wall_ms(self.now);
        self.deliver(at, CoordinatorEvent::Wake { wall_ms });
        let agent = &self.agents[at];
        if let Some(coordinator) = &agent.coordinator {
            let next = agent
                .world_time_at(coordinator.next_wake())
                .clamp(self.now + 1, self.now + MEMBERS_INTERVAL);
            self.queue
                .push(next, ScheduledEvent::Wake { agent: at, epoch });
        }
    }

    pub(super) fn reaches(&self, from: usize, to: usize) -> bool {
        self.partition_sides
            .as_ref()
            .is_none_or(|sides| sides[from] == sides[to])
    }

    fn detects(&self, by: usize, other: usize) -> bool {
        let agent = &self.agents[other];
        let awake = agent
            .paused
            .as_ref()
            .is_none_or(|(since, _)| self.now < since + DETECTION_TIME);
        agent.coordinator.is_some() && awake && self.reaches(by, other)
    }
}
