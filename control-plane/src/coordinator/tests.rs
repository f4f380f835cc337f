use super::pending::COMMAND_TIMEOUT;
use super::tick::TICK_INTERVAL;
use super::*;

use std::collections::VecDeque;
use std::time::Duration;

use crate::lease::LeaseSettings;

const MILLISECOND: Micros = 1_000;

/// The only voter of a fleet. Its batches become durable only when a test calls `persist`.
struct SingleVoter {
    coordinator: Coordinator,
    now: Micros,
    unpersisted: VecDeque<u64>,
    replies: Vec<(u64, CommandResult)>,
}

impl SingleVoter {
    fn new() -> SingleVoter {
        let me = Member {
            name: "m0".parse().unwrap(),
            process: 1,
            zone: "z".into(),
        };
        let voters = vec![me.name.clone()];
        let config = CoordinatorConfig {
            me: me.clone(),
            persisted: Some(PersistedVoter {
                id: voter_id(&me.name),
                state: bootstrap(&voters),
            }),
            voters,
            lease: LeaseSettings::default(),
            tick: Duration::from_millis(100),
            election_ticks: 10,
            compact_after: 1_000,
            fencing: FencingTokens::default(),
            seed: 1,
        };
        let coordinator = Coordinator::new(config, 0).unwrap();
        let mut agent = SingleVoter {
            coordinator,
            now: 0,
            unpersisted: VecDeque::new(),
            replies: Vec::new(),
        };
        agent.handle(CoordinatorEvent::Members(vec![me]));
        while !agent.coordinator.leads() || !agent.unpersisted.is_empty() {
            agent.advance(50 * MILLISECOND);
            agent.persist();
        }
        agent
    }

    fn handle(&mut self, event: CoordinatorEvent) {
        let mut actions = Vec::new();
        self.coordinator.on_event(self.now, event, &mut actions);
        for action in actions {
            match action {
                CoordinatorAction::Persist { number, .. } => self.unpersisted.push_back(number),
                CoordinatorAction::Reply { call, result } => self.replies.push((call, result)),
                _ => {}
            }
        }
    }

    fn persist(&mut self) {
        while let Some(number) = self.unpersisted.pop_front() {
            self.handle(CoordinatorEvent::Persisted(number));
        }
    }

    fn advance(&mut self, span: Micros) {
        let end = self.now + span;
        while self.coordinator.next_wake() <= end {
            self.now = self.now.max(self.coordinator.next_wake());
            self.handle(CoordinatorEvent::Wake { wall_ms: 0 });
        }
        self.now = end;
    }
}

fn uncordon() -> OperatorCommand {
    OperatorCommand::Uncordon {
        server: "api-1".into(),
    }
}

fn forwarded_request() -> CommandRequest {
    CommandRequest {
        id: CommandId {
            process: 9,
            sequence: 1,
        },
        command: uncordon(),
    }
}

/// Guards against a call whose end leaves a later call for the same command without an answer.
#[test]
fn a_repeated_call_is_answered_after_the_first_one_timed_out() {
    let mut agent = SingleVoter::new();
    let request = forwarded_request();
    agent.handle(CoordinatorEvent::RequestReceived {
        call: 1,
        request: request.clone(),
    });
    agent.advance(1_000 * MILLISECOND);
    agent.handle(CoordinatorEvent::RequestReceived { call: 2, request });
    assert_eq!(agent.replies, []);
    // The deadline of the first call has passed, and that of the second has not.
    agent.advance(1_500 * MILLISECOND);
    assert!(
        matches!(&agent.replies[..], [(1, CommandResult::Unconfirmed(_))]),
        "{:?}",
        agent.replies
    );
    agent.persist();
    assert_eq!(agent.replies[1..], [(2, CommandResult::Committed(None))]);
}

/// Guards against commands that are still proposed after the connection of the forwarding agent has timed out.
#[test]
fn a_forwarded_command_times_out_with_its_call_and_an_operators_command_later() {
    let mut agent = SingleVoter::new();
    agent.handle(CoordinatorEvent::RequestReceived {
        call: 1,
        request: forwarded_request(),
    });
    agent.handle(CoordinatorEvent::CommandReceived {
        call: 2,
        command: uncordon(),
    });
    agent.advance(FORWARDED_COMMAND_TIMEOUT + TICK_INTERVAL);
    assert!(
        matches!(&agent.replies[..], [(1, CommandResult::Unconfirmed(_))]),
        "{:?}",
        agent.replies
    );
    agent.advance(COMMAND_TIMEOUT - FORWARDED_COMMAND_TIMEOUT);
    assert!(
        matches!(&agent.replies[1..], [(2, CommandResult::Unconfirmed(_))]),
        "{:?}",
        agent.replies
    );
}
