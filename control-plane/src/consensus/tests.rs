use super::*;

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use raft::eraftpb::{Entry, Message, MessageType};

use super::message::encode;
use crate::Micros;

const TICK: Micros = 100_000;

/// Voters in one place, whose messages and saves wait until they are let through.
struct Room {
    voters: BTreeMap<VoterId, Voter>,
    now: Micros,
    letters: VecDeque<(VoterId, Vec<u8>)>,
    saves: BTreeMap<VoterId, VecDeque<(u64, Save)>>,
    /// Commands agreed, by voter, in order.
    agreed: BTreeMap<VoterId, Vec<Vec<u8>>>,
    /// Saves of entries, and the entries in them, by voter.
    written: BTreeMap<VoterId, Vec<usize>>,
}

impl Room {
    fn of(count: u64) -> Room {
        let ids: Vec<VoterId> = (1..=count).collect();
        let voter = |&me: &VoterId| {
            let settings = Settings {
                me,
                tick: Duration::from_millis(100),
                election_ticks: 10,
                compact_after: 10_000,
            };
            (
                me,
                Voter::new(settings, Kept::founded(ids.clone(), Vec::new()), 7, 0).unwrap(),
            )
        };
        Room {
            voters: ids.iter().map(voter).collect(),
            now: 0,
            letters: VecDeque::new(),
            saves: BTreeMap::new(),
            agreed: BTreeMap::new(),
            written: BTreeMap::new(),
        }
    }

    fn give(&mut self, to: VoterId, event: Event) {
        let mut actions = Vec::new();
        self.voters
            .get_mut(&to)
            .unwrap()
            .on_event(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Send { to, bytes } => self.letters.push_back((to, bytes)),
                Action::Save { number, save } => {
                    if !save.entries.is_empty() {
                        self.written.entry(to).or_default().push(save.entries.len());
                    }
                    self.saves.entry(to).or_default().push_back((number, save));
                }
                Action::Apply(Item {
                    content: Content::Command(command),
                    ..
                }) => {
                    self.agreed.entry(to).or_default().push(command);
                }
                _ => {}
            }
        }
    }

    fn propose(&mut self, at: VoterId, command: &str) {
        self.give(at, Event::Propose(command.as_bytes().to_vec()));
    }

    fn saved(&mut self, at: VoterId) -> bool {
        let Some((number, _)) = self.saves.get_mut(&at).and_then(VecDeque::pop_front) else {
            return false;
        };
        self.give(at, Event::Saved(number));
        true
    }

    /// Hands over all letters that wait, and what they lead to, to those for whom `may` holds; others get none.
    fn deliver(&mut self, may: impl Fn(VoterId) -> bool) {
        while let Some((to, bytes)) = self.letters.pop_front() {
            if may(to) {
                self.give(to, Event::Message(bytes));
            }
        }
    }

    /// Until nothing waits any more.
    fn settle(&mut self) {
        self.settle_among(|_| true);
    }

    fn settle_among(&mut self, may: impl Fn(VoterId) -> bool + Copy) {
        loop {
            self.deliver(may);
            let ids: Vec<VoterId> = self.voters.keys().copied().filter(|id| may(*id)).collect();
            let saved = ids.into_iter().filter(|id| self.saved(*id)).count();
            if saved == 0 && self.letters.is_empty() {
                return;
            }
        }
    }

    fn tick(&mut self, among: impl Fn(VoterId) -> bool + Copy) {
        self.now += TICK;
        let ids: Vec<VoterId> = self
            .voters
            .keys()
            .copied()
            .filter(|id| among(*id))
            .collect();
        ids.into_iter().for_each(|id| self.give(id, Event::Wake));
        self.settle_among(among);
    }

    fn leader(&self, among: impl Fn(VoterId) -> bool) -> Option<VoterId> {
        self.voters
            .iter()
            .find(|(id, voter)| among(**id) && voter.leads().is_some())
            .map(|(id, _)| *id)
    }

    fn elect(&mut self, among: impl Fn(VoterId) -> bool + Copy) -> VoterId {
        for _ in 0..200 {
            self.tick(among);
            if let Some(leader) = self.leader(among) {
                self.settle_among(among);
                self.written.clear();
                return leader;
            }
        }
        panic!("no leader in 20 s");
    }

    fn agreed_at(&self, at: VoterId) -> Vec<&str> {
        let commands = self.agreed.get(&at).map(Vec::as_slice).unwrap_or_default();
        commands
            .iter()
            .map(|command| std::str::from_utf8(command).unwrap())
            .collect()
    }
}

#[test]
fn what_comes_while_something_is_written_is_written_next_in_one() {
    let mut room = Room::of(3);
    let leader = room.elect(|_| true);
    let commands: Vec<String> = (0..500).map(|nth| format!("command {nth}")).collect();
    commands
        .iter()
        .for_each(|command| room.propose(leader, command));
    assert_eq!(
        room.written[&leader],
        [1],
        "the first is being written, the others wait"
    );
    assert!(room.saved(leader));
    assert_eq!(room.written[&leader], [1, 499]);
    room.settle();
    let (most, all) = (4, 1..=3);
    for voter in all {
        // What agrees on an entry is told by the next message.
        room.tick(|_| true);
        assert_eq!(room.agreed_at(voter), commands, "at {voter}");
        let written = &room.written[&voter];
        assert_eq!(
            written.iter().sum::<usize>(),
            500,
            "each once at {voter}: {written:?}"
        );
        assert!(written.len() <= most, "at {voter}: {written:?}");
    }
    assert_eq!(room.voters[&leader].dropped(), Dropped::default());
}

#[test]
fn entries_that_follow_others_not_written_yet_are_taken() {
    let mut room = Room::of(3);
    let leader = room.elect(|_| true);
    let other = (1..=3).find(|id| *id != leader).unwrap();
    // Three rounds of the leader's come to a voter that is still writing the first.
    for round in 0..3 {
        room.propose(leader, &format!("command {round}"));
        while room.saved(leader) {}
        room.deliver(|to| to == other);
    }
    assert_eq!(room.written[&other], [1]);
    assert!(room.saved(other));
    assert_eq!(
        room.written[&other],
        [1, 2],
        "the second and the third together"
    );
    room.settle();
    room.tick(|_| true);
    assert_eq!(
        room.agreed_at(other),
        ["command 0", "command 1", "command 2"]
    );
    assert_eq!(room.voters[&other].dropped(), Dropped::default());
}

#[test]
fn what_refers_beyond_entries_that_are_being_replaced_is_dropped() {
    let founded = Kept::founded(vec![1, 2, 3], Vec::new());
    let item = |index| Item {
        index,
        term: 1,
        content: Content::Command(b"of an old leader".to_vec()),
    };
    let kept = Kept {
        entries: (2..=4).map(item).collect(),
        ..founded
    };
    let settings = Settings {
        me: 1,
        tick: Duration::from_millis(100),
        election_ticks: 10,
        compact_after: 10_000,
    };
    let mut voter = Voter::new(settings, kept, 7, 0).unwrap();
    let mut give = |message: Option<Message>, number: u64| {
        let mut actions = Vec::new();
        let event = message.map_or(Event::Saved(number), |message| {
            Event::Message(encode(&message).unwrap())
        });
        voter.on_event(0, event, &mut actions);
        (actions, voter.dropped())
    };
    let from = Message {
        from: 3,
        to: 1,
        term: 2,
        ..Message::default()
    };
    let vote = Message {
        msg_type: MessageType::MsgRequestVote,
        log_term: 1,
        index: 4,
        ..from.clone()
    };
    let (actions, _) = give(Some(vote), 0);
    assert!(
        actions
            .iter()
            .any(|action| matches!(action, Action::Save { number: 1, .. })),
        "{actions:?}"
    );
    // While the vote is written, the new leader replaces three entries by one, and a message goes beyond that one.
    let entry = Entry {
        index: 2,
        term: 2,
        data: b"of the new one".to_vec().into(),
        ..Entry::default()
    };
    let append = Message {
        msg_type: MessageType::MsgAppend,
        log_term: 1,
        index: 1,
        entries: vec![entry].into(),
        commit: 1,
        ..from.clone()
    };
    give(Some(append), 0);
    give(
        Some(Message {
            msg_type: MessageType::MsgHeartbeat,
            commit: 4,
            ..from
        }),
        0,
    );
    let (actions, dropped) = give(None, 1);
    let written = actions.iter().find_map(|action| match action {
        Action::Save { save, .. } => Some(
            save.entries
                .iter()
                .map(|item| (item.index, item.term))
                .collect(),
        ),
        _ => None,
    });
    assert_eq!(written, Some(vec![(2, 2)]));
    assert_eq!(
        dropped,
        Dropped {
            beyond: 1,
            ..Dropped::default()
        }
    );
}
