use super::*;

use std::time::Duration;

use crate::duty::Lease;

const MS: Micros = 1_000;

/// The only voter of a fleet, whose disk keeps what it is told only when it is let.
struct Sole {
    desk: Desk,
    now: Micros,
    unsaved: VecDeque<u64>,
    answers: Vec<(u64, Answer)>,
}

impl Sole {
    fn new() -> Sole {
        let me = Member {
            name: "m0".parse().unwrap(),
            process: 1,
            zone: "z".into(),
        };
        let voters = vec![me.name.clone()];
        let start = Start {
            me: me.clone(),
            kept: Some((voter_id(&me.name), founded(&voters))),
            voters,
            lease: Lease::default(),
            tick: Duration::from_millis(100),
            election_ticks: 10,
            compact_after: 1_000,
            fence: Fence::default(),
            seed: 1,
        };
        let desk = Desk::new(start, 0).unwrap();
        let mut sole = Sole {
            desk,
            now: 0,
            unsaved: VecDeque::new(),
            answers: Vec::new(),
        };
        sole.give(Event::Members(vec![me]));
        while !sole.desk.leads() || !sole.unsaved.is_empty() {
            sole.pass(50 * MS);
            sole.save();
        }
        sole
    }

    fn give(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.desk.on_event(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Save { number, .. } => self.unsaved.push_back(number),
                Action::Answer { ask, answer } => self.answers.push((ask, answer)),
                _ => {}
            }
        }
    }

    fn save(&mut self) {
        while let Some(number) = self.unsaved.pop_front() {
            self.give(Event::Saved(number));
        }
    }

    fn pass(&mut self, span: Micros) {
        let end = self.now + span;
        while self.desk.next_wake() <= end {
            self.now = self.now.max(self.desk.next_wake());
            self.give(Event::Wake { wall_ms: 0 });
        }
        self.now = end;
    }
}

#[test]
fn a_call_that_comes_again_is_answered_though_the_one_before_ends() {
    let mut sole = Sole::new();
    let request = Request {
        id: CommandId(9, 1),
        wish: Wish::Back {
            server: "api-1".into(),
        },
    };
    sole.give(Event::Request {
        ask: 1,
        request: request.clone(),
    });
    sole.pass(1_000 * MS);
    sole.give(Event::Request { ask: 2, request });
    assert_eq!(sole.answers, []);
    // Past the end of the first call, and not of the second.
    sole.pass(1_500 * MS);
    assert!(
        matches!(&sole.answers[..], [(1, Answer::Tried(_))]),
        "{:?}",
        sole.answers
    );
    sole.save();
    assert_eq!(sole.answers[1..], [(2, Answer::Done(None))]);
}

#[test]
fn a_call_of_another_agent_s_ends_with_its_connection_and_staff_s_later() {
    let mut sole = Sole::new();
    let wish = Wish::Back {
        server: "api-1".into(),
    };
    sole.give(Event::Request {
        ask: 1,
        request: Request {
            id: CommandId(9, 1),
            wish: wish.clone(),
        },
    });
    sole.give(Event::Asked { ask: 2, wish });
    sole.pass(CALL_PATIENCE + BEAT);
    assert!(
        matches!(&sole.answers[..], [(1, Answer::Tried(_))]),
        "{:?}",
        sole.answers
    );
    sole.pass(PATIENCE - CALL_PATIENCE);
    assert!(
        matches!(&sole.answers[1..], [(2, Answer::Tried(_))]),
        "{:?}",
        sole.answers
    );
}
