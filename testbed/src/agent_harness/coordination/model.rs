//! Model of the role lease, checked exhaustively within bounds: the real lease holder, lease grantor and
//! replicated state of three agents and two roles, clocks with different rates, and an adversary that chooses
//! the leader, delays messages and suspends agents. The log itself is taken as agreed: a proposal reaches it
//! once, at some time, or never.

use std::time::Duration;

use control_plane::consensus::EntryPayload;
use control_plane::lease::{
    AppliedCommand, Candidate, Command, CommandId, LeaseGrantor, LeaseHolder, LeaseSettings,
    Operation, ReplicatedState, Role,
};
use control_plane::Micros;
use stateright::{Checker, Model, Property};

const AGENTS: usize = 3;
/// Agents that may be granted roles, and the leaders: the first one and the one after an election.
const CANDIDATES: [usize; 2] = [0, 1];
const LEADERS: [usize; 2] = [2, 1];
/// Most entries in the log.
const MAX_LOG_ENTRIES: usize = 4;
/// Length of a step of virtual time, in microseconds: half a lease.
const STEP: u64 = 300;
/// Rates of a slow and of a fast clock, in percent.
const CLOCK_RATES: [u64; 2] = [80, 120];

/// A flaw that is put into the model on purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Flaw {
    /// No flaw.
    None,
    /// Lease holders and grantors allow for no clock drift.
    DriftIgnored,
    /// A new leader grants at once every role whose lease it has not seen renewed.
    NoWaitAtStart,
}

/// The model of the lease, with or without a flaw.
#[derive(Clone, Copy, Debug)]
pub struct LeaseModel {
    /// The flaw in the model.
    pub flaw: Flaw,
    /// Bound on the steps of virtual time, each of half a lease. It takes at least three steps for a role to
    /// change its holder.
    pub steps: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Agent {
    clock_rate: u64,
    applied: usize,
    state: ReplicatedState,
    holder: LeaseHolder,
    /// `None` on all agents but the leader.
    grantor: Option<LeaseGrantor>,
    /// Command that the agent has proposed and that is not in the log yet.
    proposal: Option<Command>,
    last_sequence: u64,
}

/// A state of the model.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct World {
    now: u64,
    leader: usize,
    elections: u8,
    log: Vec<Command>,
    agents: Vec<Agent>,
}

/// What the adversary does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Virtual time advances by one step.
    AdvanceTime,
    /// An agent renews its leases and, if it leads, grants roles.
    RunAgent(usize),
    /// An agent's proposal reaches the log.
    Append(usize),
    /// An agent applies all entries of the log.
    Apply(usize),
    /// This agent becomes the leader.
    Elect(usize),
}

impl World {
    fn clock(&self, agent: usize) -> Micros {
        1 + self.now * STEP * self.agents[agent].clock_rate / 100
    }

    /// Makes an agent apply all entries of the log; returns whether there were new ones.
    fn apply(&mut self, at: usize) -> bool {
        let now = self.clock(at);
        let agent = &mut self.agents[at];
        let new = &self.log[agent.applied..];
        for entry in new {
            agent.applied += 1;
            let applied = agent.state.apply(agent.applied as u64, &payload(entry));
            let Some(AppliedCommand { command, outcome }) = applied else {
                continue;
            };
            if let Some(grantor) = &mut agent.grantor {
                grantor.on_applied(now, &agent.state);
            }
            agent.holder.on_applied(&command, &outcome, &agent.state);
        }
        !new.is_empty()
    }

    fn holds(&self, agent: usize, role: Role) -> Option<u64> {
        self.agents[agent]
            .holder
            .active_token(self.clock(agent), role)
    }
}

fn payload(command: &Command) -> EntryPayload {
    EntryPayload::Command(postcard::to_stdvec(command).unwrap_or_default())
}

impl LeaseModel {
    fn lease(&self) -> LeaseSettings {
        let drift = if self.flaw == Flaw::DriftIgnored {
            0.0
        } else {
            0.2
        };
        LeaseSettings {
            duration: Duration::from_micros(2 * STEP),
            drift,
        }
    }
}

impl Model for LeaseModel {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        let lease = self.lease();
        let mut states = Vec::new();
        for slow in CLOCK_RATES {
            for fast in CLOCK_RATES.into_iter().filter(|fast| *fast != slow) {
                let agent = |at: usize| {
                    let name: control_plane::membership::Name =
                        format!("a{at}").parse().expect("a name");
                    let grantor = (at == LEADERS[0]).then(|| {
                        let mut grantor = LeaseGrantor::new(lease, &Role::ALL[..2]);
                        // The first leader leads from time 0 and knows of no leases, so it may grant
                        // every role without waiting for one to expire.
                        grantor.set_leading(0, true);
                        grantor
                    });
                    Agent {
                        clock_rate: [slow, slow, fast][at],
                        applied: 0,
                        state: ReplicatedState::default(),
                        holder: LeaseHolder::new(name, at as u64 + 1, lease),
                        grantor,
                        proposal: None,
                        last_sequence: 0,
                    }
                };
                let agents = (0..AGENTS).map(agent).collect();
                states.push(World {
                    now: 0,
                    leader: LEADERS[0],
                    elections: 0,
                    log: Vec::new(),
                    agents,
                });
            }
        }
        states
    }

    fn actions(&self, world: &World, steps: &mut Vec<Step>) {
        if world.now < self.steps {
            steps.push(Step::AdvanceTime);
        }
        for at in 0..AGENTS {
            let agent = &world.agents[at];
            if world.log.len() < MAX_LOG_ENTRIES {
                steps.push(Step::RunAgent(at));
                if agent.proposal.is_some() {
                    steps.push(Step::Append(at));
                }
            }
            // Only the leader applies entries on their own: applying early and granting late leaves it the
            // shortest wait.
            if at == world.leader && agent.applied < world.log.len() {
                steps.push(Step::Apply(at));
            }
            if at == LEADERS[1] && world.elections < 1 {
                steps.push(Step::Elect(at));
            }
        }
    }

    fn next_state(&self, last: &World, step: Step) -> Option<World> {
        let mut world = last.clone();
        match step {
            Step::AdvanceTime => world.now += 1,
            Step::RunAgent(at) => {
                let applied = world.apply(at);
                let now = world.clock(at);
                let agent = &mut world.agents[at];
                let mut operation = None;
                if agent.proposal.is_none() && now >= agent.holder.next_renewal() {
                    operation = agent
                        .holder
                        .renew(now, &agent.state, agent.last_sequence + 1);
                }
                if let (None, Some(grantor)) = (&operation, &mut agent.grantor) {
                    let candidate = |at: usize| Candidate {
                        name: format!("a{at}").parse().expect("a name"),
                        process: at as u64 + 1,
                        zone: String::new(),
                    };
                    let candidates: Vec<Candidate> =
                        CANDIDATES.into_iter().map(candidate).collect();
                    operation = grantor
                        .grant(now, &agent.state, &candidates, 0)
                        .into_iter()
                        .next();
                }
                let Some(operation) = operation else {
                    return applied.then_some(world);
                };
                agent.last_sequence += 1;
                let is_grant = matches!(operation, Operation::GrantLease { .. });
                let command = Command {
                    id: CommandId {
                        process: at as u64 + 1,
                        sequence: agent.last_sequence,
                    },
                    operation,
                };
                if is_grant {
                    // A grant enters the log at once: its delay changes nothing for an agent that still holds
                    // the role.
                    world.log.push(command);
                } else {
                    agent.proposal = Some(command);
                }
            }
            Step::Append(at) => {
                let command = world.agents[at].proposal.take()?;
                world.log.push(command);
            }
            Step::Apply(at) => drop(world.apply(at)),
            Step::Elect(at) => {
                // A new leader has all committed entries; renewals that it saw before its election do not
                // count.
                world.apply(at);
                let leading_since = if self.flaw == Flaw::NoWaitAtStart {
                    0
                } else {
                    world.clock(at)
                };
                let mut grantor = LeaseGrantor::new(self.lease(), &Role::ALL[..2]);
                grantor.set_leading(leading_since, true);
                world.agents[world.leader].grantor = None;
                world.agents[at].grantor = Some(grantor);
                (world.leader, world.elections) = (at, world.elections + 1);
            }
        }
        Some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("one holder at a time", |_, world: &World| {
                Role::ALL[..2].iter().all(|role| {
                    (0..AGENTS)
                        .filter(|at| world.holds(*at, *role).is_some())
                        .count()
                        <= 1
                })
            }),
            Property::always(
                "no act under a token older than one that acts",
                |_, world: &World| {
                    Role::ALL[..2].iter().all(|role| {
                        let tokens: Vec<u64> = (0..AGENTS)
                            .filter_map(|at| world.holds(at, *role))
                            .collect();
                        tokens.windows(2).all(|two| two[0] == two[1])
                    })
                },
            ),
            Property::sometimes(
                "a role passes from one holder to another",
                |_, world: &World| {
                    let tokens: Vec<u64> = (0..AGENTS)
                        .filter_map(|at| world.holds(at, Role::Maintenance))
                        .collect();
                    tokens.iter().any(|token| *token > 1)
                },
            ),
        ]
    }
}

/// Checks all states. Returns their number, and a description of each violation.
pub fn check(flaw: Flaw, steps: u64) -> (usize, Vec<String>) {
    let checker = LeaseModel { flaw, steps }
        .checker()
        .threads(4)
        .spawn_dfs()
        .join();
    let mut found = Vec::new();
    for (name, path) in checker.discoveries() {
        let expected = name.starts_with("a role passes");
        if !expected {
            let steps: Vec<Step> = path.into_actions();
            found.push(format!("{name}: {steps:?}"));
        }
    }
    if checker
        .discovery("a role passes from one holder to another")
        .is_none()
    {
        found.push("no role ever changes its holder: the bounds are too narrow".into());
    }
    (checker.unique_state_count(), found)
}
