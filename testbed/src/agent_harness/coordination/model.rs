//! Owns the lease as a model that is checked exhaustively within bounds: the real holder, keeper and state of three
//! agents and two duties, clocks of different pace, and an adversary that decides who leads, what is delayed and who
//! sleeps. The log itself is taken as agreed: what is proposed reaches it once, some time, or never.

use std::time::Duration;

use control_plane::consensus::EntryPayload;
use control_plane::lease::{
    AppliedCommand, Candidate, Command, CommandId, LeaseGrantor, LeaseHolder, LeaseSettings,
    Operation, ReplicatedState, Role,
};
use control_plane::Micros;
use stateright::{Checker, Model, Property};

const AGENTS: usize = 3;
/// Who may be given duties, and who leads at first and after an election.
const HOLDERS: [usize; 2] = [0, 1];
const LEADERS: [usize; 2] = [2, 1];
/// Entries of the log, at most.
const LOG: usize = 4;
/// A step, in microseconds of the world's time.
const STEP: u64 = 300;
/// A clock that is slow, true or fast, in percent.
const PACES: [u64; 2] = [80, 120];

/// What is broken on purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Flaw {
    /// Nothing.
    None,
    /// Leases are kept without regard to the drift of clocks.
    DriftIgnored,
    /// A new leader gives at once what it does not know to be renewed.
    NoWaitAtStart,
}

/// The lease, with or without a flaw.
#[derive(Clone, Copy, Debug)]
pub struct LeaseModel {
    /// Broken on purpose.
    pub flaw: Flaw,
    /// The world's time, in steps of half a lease, at most. Three are the least in which a duty can pass on.
    pub steps: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Agent {
    pace: u64,
    applied: usize,
    state: ReplicatedState,
    holder: LeaseHolder,
    /// Of the leader.
    keeper: Option<LeaseGrantor>,
    /// Proposed, and not in the log yet.
    sent: Option<Command>,
    number: u64,
}

/// All that can differ.
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
    /// Time passes.
    Tick,
    /// An agent looks at its leases, and at others' where it leads.
    Beat(usize),
    /// What an agent proposed reaches the log.
    Arrive(usize),
    /// An agent applies all entries that are there.
    Apply(usize),
    /// Another leads.
    Elect(usize),
}

impl World {
    fn clock(&self, agent: usize) -> Micros {
        1 + self.now * STEP * self.agents[agent].pace / 100
    }

    /// An agent applies all entries that are there; whether there were some.
    fn apply(&mut self, at: usize) -> bool {
        let now = self.clock(at);
        let agent = &mut self.agents[at];
        let new = &self.log[agent.applied..];
        for entry in new {
            agent.applied += 1;
            let applied = agent.state.apply(agent.applied as u64, &content(entry));
            let Some(AppliedCommand { command, outcome }) = applied else {
                continue;
            };
            if let Some(keeper) = &mut agent.keeper {
                keeper.on_applied(now, &agent.state);
            }
            agent.holder.on_applied(&command, &outcome, &agent.state);
        }
        !new.is_empty()
    }

    fn holds(&self, agent: usize, duty: Role) -> Option<u64> {
        self.agents[agent]
            .holder
            .active_token(self.clock(agent), duty)
    }
}

fn content(command: &Command) -> EntryPayload {
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
        let mut worlds = Vec::new();
        for slow in PACES {
            for fast in PACES.into_iter().filter(|fast| *fast != slow) {
                let agent = |at: usize| {
                    let name: control_plane::membership::Name =
                        format!("a{at}").parse().expect("a name");
                    let keeper = (at == LEADERS[0]).then(|| {
                        let mut keeper = LeaseGrantor::new(lease, &Role::ALL[..2]);
                        // Who leads first has led for long.
                        keeper.set_leading(0, true);
                        keeper
                    });
                    Agent {
                        pace: [slow, slow, fast][at],
                        applied: 0,
                        state: ReplicatedState::default(),
                        holder: LeaseHolder::new(name, at as u64 + 1, lease),
                        keeper,
                        sent: None,
                        number: 0,
                    }
                };
                let agents = (0..AGENTS).map(agent).collect();
                worlds.push(World {
                    now: 0,
                    leader: LEADERS[0],
                    elections: 0,
                    log: Vec::new(),
                    agents,
                });
            }
        }
        worlds
    }

    fn actions(&self, world: &World, steps: &mut Vec<Step>) {
        if world.now < self.steps {
            steps.push(Step::Tick);
        }
        for at in 0..AGENTS {
            let agent = &world.agents[at];
            if world.log.len() < LOG {
                steps.push(Step::Beat(at));
                if agent.sent.is_some() {
                    steps.push(Step::Arrive(at));
                }
            }
            // A leader that has applied soon, and gives late, has waited the least.
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
            Step::Tick => world.now += 1,
            Step::Beat(at) => {
                let applied = world.apply(at);
                let now = world.clock(at);
                let agent = &mut world.agents[at];
                let mut wanted = None;
                if agent.sent.is_none() && now >= agent.holder.next_renewal() {
                    wanted = agent.holder.renew(now, &agent.state, agent.number + 1);
                }
                if let (None, Some(keeper)) = (&wanted, &mut agent.keeper) {
                    let candidate = |at: usize| Candidate {
                        name: format!("a{at}").parse().expect("a name"),
                        process: at as u64 + 1,
                        zone: String::new(),
                    };
                    let candidates: Vec<Candidate> = HOLDERS.into_iter().map(candidate).collect();
                    wanted = keeper
                        .grant(now, &agent.state, &candidates, 0)
                        .into_iter()
                        .next();
                }
                let Some(what) = wanted else {
                    return applied.then_some(world);
                };
                agent.number += 1;
                let gives = matches!(what, Operation::GrantLease { .. });
                let command = Command {
                    id: CommandId {
                        process: at as u64 + 1,
                        sequence: agent.number,
                    },
                    operation: what,
                };
                if gives {
                    // When the giver's word reaches the log changes nothing for whoever holds on.
                    world.log.push(command);
                } else {
                    agent.sent = Some(command);
                }
            }
            Step::Arrive(at) => {
                let command = world.agents[at].sent.take()?;
                world.log.push(command);
            }
            Step::Apply(at) => drop(world.apply(at)),
            Step::Elect(at) => {
                // A leader has all entries that were agreed on; what it saw of leases before does not count.
                world.apply(at);
                let since = if self.flaw == Flaw::NoWaitAtStart {
                    0
                } else {
                    world.clock(at)
                };
                let mut keeper = LeaseGrantor::new(self.lease(), &Role::ALL[..2]);
                keeper.set_leading(since, true);
                world.agents[world.leader].keeper = None;
                world.agents[at].keeper = Some(keeper);
                (world.leader, world.elections) = (at, world.elections + 1);
            }
        }
        Some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("one holder at a time", |_, world: &World| {
                Role::ALL[..2].iter().all(|duty| {
                    (0..AGENTS)
                        .filter(|at| world.holds(*at, *duty).is_some())
                        .count()
                        <= 1
                })
            }),
            Property::always(
                "no act under a token older than one that acts",
                |_, world: &World| {
                    Role::ALL[..2].iter().all(|duty| {
                        let tokens: Vec<u64> = (0..AGENTS)
                            .filter_map(|at| world.holds(at, *duty))
                            .collect();
                        tokens.windows(2).all(|two| two[0] == two[1])
                    })
                },
            ),
            Property::sometimes("a duty passes from one to another", |_, world: &World| {
                let given: Vec<u64> = (0..AGENTS)
                    .filter_map(|at| world.holds(at, Role::Maintenance))
                    .collect();
                given.iter().any(|token| *token > 1)
            }),
        ]
    }
}

/// Checks it all: how many states there are, and what was found that should not be, in words.
pub fn check(flaw: Flaw, steps: u64) -> (usize, Vec<String>) {
    let checker = LeaseModel { flaw, steps }
        .checker()
        .threads(4)
        .spawn_dfs()
        .join();
    let mut found = Vec::new();
    for (name, path) in checker.discoveries() {
        let expected = name.starts_with("a duty passes");
        if !expected {
            let steps: Vec<Step> = path.into_actions();
            found.push(format!("{name}: {steps:?}"));
        }
    }
    if checker
        .discovery("a duty passes from one to another")
        .is_none()
    {
        found.push("no duty ever passes: the bounds are too narrow".into());
    }
    (checker.unique_state_count(), found)
}
