//! Three founding voters, one that joins them and an agent without a vote, in virtual time: elections, leases, operators'
//! commands, a snapshot to the one that joins, a removal and a stop.

use std::collections::BTreeMap;
use std::time::Duration;

use control_plane::coordinator::{
    bootstrap, joining_id, voter_id, Coordinator, CoordinatorAction, CoordinatorConfig,
    CoordinatorEvent, Member, OperatorCommand, PersistedVoter,
};
use control_plane::lease::{Cordon, FencingTokens, LeaseSettings, Role, StaleToken};
use control_plane::membership::{fleet_id, CallMessage, Name};

use super::transcript::Transcript;

const EXPECTED: &str = include_str!("fixtures/consensus-transcript.txt");
const MILLISECOND: u64 = 1_000;
const SECOND: u64 = 1_000 * MILLISECOND;
const DELAY: u64 = MILLISECOND;
const WALL_MS: u64 = 1_700_000_000_000;
const FOUNDERS: usize = 3;
const JOINING: usize = 3;
const WITHOUT_VOTE: usize = 4;
const AGENTS: usize = 5;
/// Operators' requests have numbers from here on, forwarded ones below.
const FIRST_OPERATOR_CALL: u64 = 1_000;

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

/// Who is to be answered under a number that a coordinator was given.
#[derive(Clone, Copy)]
enum Caller {
    Operator,
    Forwarding { agent: usize, ask: u64 },
    Holder { agent: usize, version: u64 },
}

struct Fleet {
    coordinators: Vec<Coordinator>,
    present: Vec<usize>,
    now: u64,
    queue: BTreeMap<(u64, u64), (usize, CoordinatorEvent)>,
    number: u64,
    callers: BTreeMap<u64, Caller>,
    transcript: Transcript,
}

impl Fleet {
    fn new() -> Fleet {
        Fleet {
            coordinators: (0..AGENTS).map(coordinator).collect(),
            present: Vec::new(),
            now: 0,
            queue: BTreeMap::new(),
            number: 0,
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

    fn later(&mut self, to: usize, event: CoordinatorEvent) {
        if self.present.contains(&to) {
            self.number += 1;
            self.queue
                .insert((self.now + DELAY, self.number), (to, event));
        }
    }

    fn caller(&mut self, caller: Caller) -> u64 {
        self.number += 1;
        self.callers.insert(self.number, caller);
        self.number
    }

    fn operator(&mut self, agent: usize, command: OperatorCommand) {
        let ask = FIRST_OPERATOR_CALL * FIRST_OPERATOR_CALL + self.caller(Caller::Operator);
        self.callers.insert(ask, Caller::Operator);
        self.handle(
            agent,
            CoordinatorEvent::CommandReceived { call: ask, command },
        );
    }

    fn handle(&mut self, agent: usize, event: CoordinatorEvent) {
        let mut actions = Vec::new();
        self.coordinators[agent].on_event(self.now, event, &mut actions);
        for action in actions {
            self.carry_out(agent, action);
        }
    }

    fn record(&mut self, agent: usize, what: &str, bytes: &[u8]) {
        self.transcript.record(self.now, agent, what, bytes);
    }

    fn record_call(&mut self, agent: usize, what: &str, stream: &CallMessage) {
        let bytes = stream.encode(fleet_id("test"));
        self.record(agent, what, &bytes);
    }

    fn carry_out(&mut self, agent: usize, action: CoordinatorAction) {
        match action {
            CoordinatorAction::Send { to, bytes } => {
                self.record(agent, &format!("to-{to}"), &bytes);
                self.later(number_of(&to), CoordinatorEvent::Message(bytes));
            }
            CoordinatorAction::Persist { number, batch } => {
                self.record(agent, "store", &postcard::to_stdvec(&batch).unwrap());
                self.later(agent, CoordinatorEvent::Persisted(number));
            }
            CoordinatorAction::Forward {
                call: ask,
                to,
                request,
            } => {
                self.record_call(
                    agent,
                    &format!("call-{to}"),
                    &CallMessage::ForwardCommand(request.clone()),
                );
                let ask = self.caller(Caller::Forwarding { agent, ask });
                self.later(
                    number_of(&to),
                    CoordinatorEvent::RequestReceived { call: ask, request },
                );
            }
            CoordinatorAction::SendUpdate { to, update } => {
                self.record_call(
                    agent,
                    &format!("act-{to}"),
                    &CallMessage::ApplyUpdate(update.clone()),
                );
                let version = update.version;
                let ask = self.caller(Caller::Holder { agent, version });
                self.later(
                    number_of(&to),
                    CoordinatorEvent::UpdateReceived { call: ask, update },
                );
            }
            CoordinatorAction::Reply {
                call: ask,
                result: answer,
            } => {
                self.record_call(agent, "answer", &CallMessage::CommandResult(answer.clone()));
                if let Some(Caller::Forwarding { agent, ask }) = self.callers.remove(&ask) {
                    let result = Some(answer);
                    self.later(
                        agent,
                        CoordinatorEvent::ForwardCompleted { call: ask, result },
                    );
                }
            }
            CoordinatorAction::ApplyUpdate {
                call: ask,
                fencing: fence,
                ..
            } => {
                self.record(agent, "fence", &serde_json::to_vec(&fence).unwrap());
                self.acted(agent, ask, Ok(()));
            }
            CoordinatorAction::RejectUpdate { call: ask, stale } => {
                self.acted(agent, ask, Err(stale))
            }
            CoordinatorAction::RoleHandedOver(handover) => {
                self.record(agent, "moved", &serde_json::to_vec(&handover).unwrap());
            }
            CoordinatorAction::LeaderChanged {
                term,
                is_self: here,
                ..
            } => {
                self.record(agent, "leader", format!("{term} {here}").as_bytes());
            }
            CoordinatorAction::VoteLost(_) => self.record(agent, "vote-lost", &[]),
            CoordinatorAction::HandoverComplete => self.record(agent, "handed-over", &[]),
            CoordinatorAction::AlarmChanged { .. } => {}
        }
    }

    fn acted(&mut self, at: usize, ask: u64, answer: Result<(), StaleToken>) {
        let Some(Caller::Holder { agent, version }) = self.callers.remove(&ask) else {
            return;
        };
        let (to, result) = (name(at), Some(answer));
        let event = CoordinatorEvent::UpdateCompleted {
            to,
            version,
            result,
        };
        self.later(agent, event);
    }

    fn run_for(&mut self, span: u64) {
        let end = self.now + span;
        loop {
            let waking = self.present.iter().copied();
            let waking = waking.min_by_key(|&agent| self.coordinators[agent].next_wake());
            let wake = waking.map_or(u64::MAX, |agent| self.coordinators[agent].next_wake());
            let arrival = self.queue.first_key_value().map(|((at, _), _)| *at);
            let next = wake.min(arrival.unwrap_or(u64::MAX));
            if next > end {
                self.now = end;
                return;
            }
            self.now = self.now.max(next);
            if arrival == Some(next) {
                let (_, (to, event)) = self.queue.pop_first().unwrap();
                self.handle(to, event);
            } else if let Some(agent) = waking {
                let wall_ms = WALL_MS + self.now / MILLISECOND;
                self.handle(agent, CoordinatorEvent::Wake { wall_ms });
            }
        }
    }
}

fn number_of(name: &Name) -> usize {
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

/// The conversation as this build has it.
pub fn transcript() -> Transcript {
    let mut fleet = Fleet::new();
    fleet.set_present(&[0, 1, 2, WITHOUT_VOTE]);
    fleet.run_for(4 * SECOND);
    fleet.operator(0, cordon("api-1"));
    fleet.operator(WITHOUT_VOTE, cordon("api-2"));
    fleet.run_for(SECOND);
    fleet.operator(1, OperatorCommand::ReleaseRole(Role::Maintenance));
    fleet.run_for(SECOND);
    fleet.set_present(&[0, 1, 2, JOINING, WITHOUT_VOTE]);
    fleet.run_for(4 * SECOND);
    fleet.operator(
        2,
        OperatorCommand::Uncordon {
            server: "api-2".into(),
        },
    );
    fleet.operator(WITHOUT_VOTE, OperatorCommand::RemoveVoter(name(0)));
    fleet.run_for(2 * SECOND);
    fleet.handle(1, CoordinatorEvent::Stop);
    fleet.run_for(2 * SECOND);
    fleet.transcript
}

/// Guards against a change of who leads, what is agreed on or what is stored while modules are moved and renamed: the
/// voters answer each other, so one differing byte changes all that follows.
#[test]
fn voters_send_and_store_what_they_did_before() {
    transcript().assert_same_as(EXPECTED);
}
