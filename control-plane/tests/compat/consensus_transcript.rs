//! The transcript of three founding voters, a voter that joins them and an agent without a vote, in virtual time. It
//! covers elections, leases, operators' commands, a snapshot that is sent to the joining voter, the removal of a voter
//! and the shutdown of an agent.

use std::collections::BTreeMap;
use std::time::Duration;

use control_plane::coordinator::{
    bootstrap, joining_id, voter_id, CommandRequest, CommandResult, Coordinator, CoordinatorAction,
    CoordinatorConfig, CoordinatorEvent, FleetUpdate, Member, OperatorCommand, PersistedVoter,
};
use control_plane::lease::{Cordon, FencingTokens, LeaseSettings, Role, StaleToken};
use control_plane::membership::{fleet_id, CallMessage, Name};

use super::transcript::Transcript;
use super::virtual_time::{Step, VirtualTime, MILLISECOND, SECOND, WALL_MS};

const EXPECTED: &str = include_str!("fixtures/consensus-transcript.txt");
const FOUNDERS: usize = 3;
const JOINING: usize = 3;
const WITHOUT_VOTE: usize = 4;
const AGENTS: usize = 5;
/// Calls of operators are numbered from the square of this number upwards, and all other calls have lower numbers.
const OPERATOR_CALL_BASE: u64 = 1_000;

fn name(agent: usize) -> Name {
    format!("m{agent}").parse().unwrap()
}

fn member(agent: usize) -> Member {
    Member {
        name: name(agent),
        process: 100 + agent as u64,
        zone: format!("zone-{}", agent % 2),
    }
}

fn coordinator(agent: usize) -> Coordinator {
    let voters: Vec<Name> = (0..FOUNDERS).map(name).collect();
    let persisted = match agent {
        WITHOUT_VOTE => None,
        JOINING => Some(PersistedVoter {
            id: joining_id(&name(agent), 5),
            state: Default::default(),
        }),
        _ => Some(PersistedVoter {
            id: voter_id(&name(agent)),
            state: bootstrap(&voters),
        }),
    };
    let config = CoordinatorConfig {
        me: member(agent),
        voters,
        lease: LeaseSettings::default(),
        tick: Duration::from_millis(100),
        election_ticks: 10,
        compact_after: 20,
        persisted,
        fencing: FencingTokens::default(),
        seed: 7 + agent as u64,
    };
    Coordinator::new(config, 0).unwrap()
}

/// The caller that waits for the answer to a call.
#[derive(Clone, Copy)]
enum Caller {
    Operator,
    /// An agent that forwarded a command.
    Forwarding {
        agent: usize,
        call: u64,
    },
    /// The holder of the maintenance role, which sent an update.
    Holder {
        agent: usize,
        version: u64,
    },
}

struct Fleet {
    coordinators: Vec<Coordinator>,
    present: Vec<usize>,
    time: VirtualTime<CoordinatorEvent>,
    callers: BTreeMap<u64, Caller>,
    transcript: Transcript,
}

impl Fleet {
    fn new() -> Fleet {
        Fleet {
            coordinators: (0..AGENTS).map(coordinator).collect(),
            present: Vec::new(),
            time: VirtualTime::new(),
            callers: BTreeMap::new(),
            transcript: Transcript::default(),
        }
    }

    fn set_present(&mut self, agents: &[usize]) {
        self.present = agents.to_vec();
        for &agent in agents {
            let members = agents.iter().map(|&agent| member(agent)).collect();
            self.handle(agent, CoordinatorEvent::Members(members));
        }
    }

    /// Sends an event to an agent, if the agent is present.
    fn send(&mut self, to: usize, event: CoordinatorEvent) {
        if self.present.contains(&to) {
            self.time.send(to, event);
        }
    }

    /// Returns the number of a new call by this caller.
    fn register_caller(&mut self, caller: Caller) -> u64 {
        let number = self.time.next_number();
        self.callers.insert(number, caller);
        number
    }

    fn send_operator_command(&mut self, agent: usize, command: OperatorCommand) {
        let call = OPERATOR_CALL_BASE * OPERATOR_CALL_BASE + self.register_caller(Caller::Operator);
        self.callers.insert(call, Caller::Operator);
        self.handle(agent, CoordinatorEvent::CommandReceived { call, command });
    }

    fn handle(&mut self, agent: usize, event: CoordinatorEvent) {
        let mut actions = Vec::new();
        self.coordinators[agent].on_event(self.time.now(), event, &mut actions);
        for action in actions {
            self.carry_out(agent, action);
        }
    }

    fn record(&mut self, agent: usize, kind: &str, bytes: &[u8]) {
        self.transcript.record(self.time.now(), agent, kind, bytes);
    }

    fn record_call(&mut self, agent: usize, kind: &str, message: &CallMessage) {
        let bytes = message.encode(fleet_id("test"));
        self.record(agent, kind, &bytes);
    }

    fn carry_out(&mut self, agent: usize, action: CoordinatorAction) {
        match action {
            CoordinatorAction::Send { to, bytes } => {
                self.record(agent, &format!("to-{to}"), &bytes);
                self.send(agent_index(&to), CoordinatorEvent::Message(bytes));
            }
            CoordinatorAction::Persist { number, batch } => {
                self.record(agent, "store", &postcard::to_stdvec(&batch).unwrap());
                self.send(agent, CoordinatorEvent::Persisted(number));
            }
            CoordinatorAction::Forward { call, to, request } => {
                self.forward(agent, call, &to, request);
            }
            CoordinatorAction::SendUpdate { to, update } => self.send_update(agent, &to, update),
            CoordinatorAction::Reply { call, result } => self.reply(agent, call, result),
            CoordinatorAction::ApplyUpdate { call, fencing, .. } => {
                self.record(agent, "fence", &serde_json::to_vec(&fencing).unwrap());
                self.answer_update(agent, call, Ok(()));
            }
            CoordinatorAction::RejectUpdate { call, stale } => {
                self.answer_update(agent, call, Err(stale));
            }
            CoordinatorAction::RoleHandedOver(handover) => {
                self.record(agent, "moved", &serde_json::to_vec(&handover).unwrap());
            }
            CoordinatorAction::LeaderChanged { term, is_self, .. } => {
                self.record(agent, "leader", format!("{term} {is_self}").as_bytes());
            }
            CoordinatorAction::VoteLost(_) => self.record(agent, "vote-lost", &[]),
            CoordinatorAction::HandoverComplete => self.record(agent, "handed-over", &[]),
            CoordinatorAction::AlarmChanged { .. } => {}
        }
    }

    fn forward(&mut self, agent: usize, call: u64, to: &Name, request: CommandRequest) {
        let message = CallMessage::ForwardCommand(request.clone());
        self.record_call(agent, &format!("call-{to}"), &message);
        let call = self.register_caller(Caller::Forwarding { agent, call });
        let event = CoordinatorEvent::RequestReceived { call, request };
        self.send(agent_index(to), event);
    }

    fn send_update(&mut self, agent: usize, to: &Name, update: FleetUpdate) {
        let message = CallMessage::ApplyUpdate(update.clone());
        self.record_call(agent, &format!("act-{to}"), &message);
        let version = update.version;
        let call = self.register_caller(Caller::Holder { agent, version });
        let event = CoordinatorEvent::UpdateReceived { call, update };
        self.send(agent_index(to), event);
    }

    fn reply(&mut self, agent: usize, call: u64, result: CommandResult) {
        self.record_call(agent, "answer", &CallMessage::CommandResult(result.clone()));
        if let Some(Caller::Forwarding { agent, call }) = self.callers.remove(&call) {
            let result = Some(result);
            self.send(agent, CoordinatorEvent::ForwardCompleted { call, result });
        }
    }

    fn answer_update(&mut self, at: usize, call: u64, answer: Result<(), StaleToken>) {
        let Some(Caller::Holder { agent, version }) = self.callers.remove(&call) else {
            return;
        };
        let event = CoordinatorEvent::UpdateCompleted {
            to: name(at),
            version,
            result: Some(answer),
        };
        self.send(agent, event);
    }

    fn run_for(&mut self, span: u64) {
        let end = self.time.now() + span;
        loop {
            let waking = self.present.iter().copied();
            let waking = waking.min_by_key(|&agent| self.coordinators[agent].next_wake());
            let wake = waking.map_or(u64::MAX, |agent| self.coordinators[agent].next_wake());
            match self.time.advance(end, wake) {
                Step::Deliver { to, event } => self.handle(to, event),
                Step::Wake => {
                    let wall_ms = WALL_MS + self.time.now() / MILLISECOND;
                    self.handle(waking.unwrap(), CoordinatorEvent::Wake { wall_ms });
                }
                Step::End => return,
            }
        }
    }
}

fn agent_index(name: &Name) -> usize {
    name.as_str()[1..].parse().unwrap()
}

fn cordon(server: &str) -> OperatorCommand {
    let cordon = Cordon {
        operator: "ana".into(),
        reason: "disk".into(),
        since_ms: WALL_MS,
        until_ms: None,
    };
    OperatorCommand::Cordon {
        server: server.into(),
        cordon,
    }
}

/// Runs the scenario with this build and returns its transcript.
pub fn transcript() -> Transcript {
    let mut fleet = Fleet::new();
    fleet.set_present(&[0, 1, 2, WITHOUT_VOTE]);
    fleet.run_for(4 * SECOND);
    fleet.send_operator_command(0, cordon("api-1"));
    fleet.send_operator_command(WITHOUT_VOTE, cordon("api-2"));
    fleet.run_for(SECOND);
    fleet.send_operator_command(1, OperatorCommand::ReleaseRole(Role::Maintenance));
    fleet.run_for(SECOND);
    fleet.set_present(&[0, 1, 2, JOINING, WITHOUT_VOTE]);
    fleet.run_for(4 * SECOND);
    fleet.send_operator_command(
        2,
        OperatorCommand::Uncordon {
            server: "api-2".into(),
        },
    );
    fleet.send_operator_command(WITHOUT_VOTE, OperatorCommand::RemoveVoter(name(0)));
    fleet.run_for(2 * SECOND);
    fleet.handle(1, CoordinatorEvent::Stop);
    fleet.run_for(2 * SECOND);
    fleet.transcript
}

/// Guards against a change of the leader, of the committed entries or of the stored records when modules are moved or
/// renamed. The voters react to each other's messages, so a single differing byte changes everything that follows.
#[test]
fn voters_send_and_store_the_recorded_bytes() {
    transcript().assert_same_as(EXPECTED);
}
