use super::*;

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use raft::eraftpb::{Entry, Message, MessageType};

use super::message::encode;
use crate::Micros;

const TICK: Micros = 100_000;

fn settings(me: VoterId) -> ConsensusSettings {
    ConsensusSettings {
        me,
        tick: Duration::from_micros(TICK),
        election_ticks: 10,
        compact_after: 10_000,
    }
}

/// A cluster of voters. A test decides when messages are delivered and when write batches become durable.
struct Cluster {
    voters: BTreeMap<VoterId, Voter>,
    now: Micros,
    messages: VecDeque<(VoterId, Vec<u8>)>,
    batches: BTreeMap<VoterId, VecDeque<u64>>,
    /// Committed commands by voter, in log order.
    committed: BTreeMap<VoterId, Vec<Vec<u8>>>,
    /// Number of entries in each batch that has entries, by voter.
    batch_sizes: BTreeMap<VoterId, Vec<usize>>,
}

impl Cluster {
    fn new(count: u64) -> Cluster {
        let ids: Vec<VoterId> = (1..=count).collect();
        let voter = |&me: &VoterId| {
            let state = PersistedState::bootstrap(ids.clone(), Vec::new());
            (me, Voter::new(settings(me), state, 7, 0).unwrap())
        };
        Cluster {
            voters: ids.iter().map(voter).collect(),
            now: 0,
            messages: VecDeque::new(),
            batches: BTreeMap::new(),
            committed: BTreeMap::new(),
            batch_sizes: BTreeMap::new(),
        }
    }

    fn deliver_event(&mut self, to: VoterId, event: ConsensusEvent) {
        let mut actions = Vec::new();
        self.voters
            .get_mut(&to)
            .unwrap()
            .on_event(self.now, event, &mut actions);
        for action in actions {
            match action {
                ConsensusAction::Send { to, bytes } => self.messages.push_back((to, bytes)),
                ConsensusAction::Persist { number, batch } => {
                    if !batch.entries.is_empty() {
                        self.batch_sizes
                            .entry(to)
                            .or_default()
                            .push(batch.entries.len());
                    }
                    self.batches.entry(to).or_default().push_back(number);
                }
                ConsensusAction::Apply(LogEntry {
                    payload: EntryPayload::Command(command),
                    ..
                }) => {
                    self.committed.entry(to).or_default().push(command);
                }
                _ => {}
            }
        }
    }

    fn propose(&mut self, at: VoterId, command: &str) {
        self.deliver_event(at, ConsensusEvent::Propose(command.as_bytes().to_vec()));
    }

    fn persist_next(&mut self, at: VoterId) -> bool {
        let Some(number) = self.batches.get_mut(&at).and_then(VecDeque::pop_front) else {
            return false;
        };
        self.deliver_event(at, ConsensusEvent::Persisted(number));
        true
    }

    /// Delivers all messages, including those sent in response, to the reachable voters; drops messages to the others.
    fn deliver(&mut self, is_reachable: impl Fn(VoterId) -> bool) {
        while let Some((to, bytes)) = self.messages.pop_front() {
            if is_reachable(to) {
                self.deliver_event(to, ConsensusEvent::Message(bytes));
            }
        }
    }

    /// Delivers messages and persists batches until none are left.
    fn run_until_idle(&mut self) {
        self.run_reachable_until_idle(|_| true);
    }

    fn run_reachable_until_idle(&mut self, is_reachable: impl Fn(VoterId) -> bool + Copy) {
        loop {
            self.deliver(is_reachable);
            let ids: Vec<VoterId> = self
                .voters
                .keys()
                .copied()
                .filter(|id| is_reachable(*id))
                .collect();
            let persisted = ids.into_iter().filter(|id| self.persist_next(*id)).count();
            if persisted == 0 && self.messages.is_empty() {
                return;
            }
        }
    }

    fn tick(&mut self, is_reachable: impl Fn(VoterId) -> bool + Copy) {
        self.now += TICK;
        let ids: Vec<VoterId> = self
            .voters
            .keys()
            .copied()
            .filter(|id| is_reachable(*id))
            .collect();
        ids.into_iter()
            .for_each(|id| self.deliver_event(id, ConsensusEvent::Wake));
        self.run_reachable_until_idle(is_reachable);
    }

    fn leader(&self, is_reachable: impl Fn(VoterId) -> bool) -> Option<VoterId> {
        self.voters
            .iter()
            .find(|(id, voter)| is_reachable(**id) && voter.leading_term().is_some())
            .map(|(id, _)| *id)
    }

    fn elect(&mut self, is_reachable: impl Fn(VoterId) -> bool + Copy) -> VoterId {
        for _ in 0..200 {
            self.tick(is_reachable);
            if let Some(leader) = self.leader(is_reachable) {
                self.run_reachable_until_idle(is_reachable);
                self.batch_sizes.clear();
                return leader;
            }
        }
        panic!("no leader in 20 s");
    }

    fn committed_at(&self, at: VoterId) -> Vec<&str> {
        let commands = self
            .committed
            .get(&at)
            .map(Vec::as_slice)
            .unwrap_or_default();
        commands
            .iter()
            .map(|command| std::str::from_utf8(command).unwrap())
            .collect()
    }
}

/// Guards against a separate write for each event under load.
#[test]
fn events_that_arrive_during_a_write_are_persisted_in_one_batch() {
    let mut cluster = Cluster::new(3);
    let leader = cluster.elect(|_| true);
    let commands: Vec<String> = (0..500).map(|nth| format!("command {nth}")).collect();
    commands
        .iter()
        .for_each(|command| cluster.propose(leader, command));
    assert_eq!(
        cluster.batch_sizes[&leader],
        [1],
        "the first command is being persisted, the others are queued"
    );
    assert!(cluster.persist_next(leader));
    assert_eq!(cluster.batch_sizes[&leader], [1, 499]);
    cluster.run_until_idle();
    let max_batches = 4;
    for voter in 1..=3 {
        // Followers learn the commit index from the next message.
        cluster.tick(|_| true);
        assert_eq!(cluster.committed_at(voter), commands, "at {voter}");
        let batch_sizes = &cluster.batch_sizes[&voter];
        assert_eq!(
            batch_sizes.iter().sum::<usize>(),
            500,
            "each entry is persisted once at {voter}: {batch_sizes:?}"
        );
        assert!(
            batch_sizes.len() <= max_batches,
            "at {voter}: {batch_sizes:?}"
        );
    }
    assert_eq!(
        cluster.voters[&leader].dropped(),
        DroppedMessages::default()
    );
}

/// Guards against a follower that drops entries because it is still persisting the preceding ones.
#[test]
fn entries_that_follow_unpersisted_ones_are_accepted() {
    let mut cluster = Cluster::new(3);
    let leader = cluster.elect(|_| true);
    let other = (1..=3).find(|id| *id != leader).unwrap();
    // The follower receives three rounds of entries while it is still persisting the first.
    for round in 0..3 {
        cluster.propose(leader, &format!("command {round}"));
        while cluster.persist_next(leader) {}
        cluster.deliver(|to| to == other);
    }
    assert_eq!(cluster.batch_sizes[&other], [1]);
    assert!(cluster.persist_next(other));
    assert_eq!(
        cluster.batch_sizes[&other],
        [1, 2],
        "the second and third entry in one batch"
    );
    cluster.run_until_idle();
    cluster.tick(|_| true);
    assert_eq!(
        cluster.committed_at(other),
        ["command 0", "command 1", "command 2"]
    );
    assert_eq!(cluster.voters[&other].dropped(), DroppedMessages::default());
}

/// A voter whose log has three entries of the leader of term 1.
fn voter_with_old_entries() -> Voter {
    let entry = |index| LogEntry {
        index,
        term: 1,
        payload: EntryPayload::Command(b"of an old leader".to_vec()),
    };
    let state = PersistedState {
        entries: (2..=4).map(entry).collect(),
        ..PersistedState::bootstrap(vec![1, 2, 3], Vec::new())
    };
    Voter::new(settings(1), state, 7, 0).unwrap()
}

fn handle(voter: &mut Voter, event: ConsensusEvent) -> Vec<ConsensusAction> {
    let mut actions = Vec::new();
    voter.on_event(0, event, &mut actions);
    actions
}

fn receive(voter: &mut Voter, message: &Message) -> Vec<ConsensusAction> {
    handle(voter, ConsensusEvent::Message(encode(message).unwrap()))
}

/// The index and term of each entry in the first batch.
fn first_batch(actions: &[ConsensusAction]) -> Option<Vec<(u64, u64)>> {
    actions.iter().find_map(|action| match action {
        ConsensusAction::Persist { batch, .. } => Some(
            batch
                .entries
                .iter()
                .map(|entry| (entry.index, entry.term))
                .collect(),
        ),
        _ => None,
    })
}

/// A message from the leader of term 2 to the voter with entries of term 1.
fn from_new_leader(kind: MessageType) -> Message {
    Message {
        msg_type: kind,
        from: 3,
        to: 1,
        term: 2,
        ..Message::default()
    }
}

/// Guards against a panic of the crate `raft` on a commit index beyond the end of a log that a new leader has
/// truncated.
#[test]
fn a_message_beyond_entries_that_are_being_replaced_is_dropped() {
    let mut voter = voter_with_old_entries();
    let request_vote = Message {
        log_term: 1,
        index: 4,
        ..from_new_leader(MessageType::MsgRequestVote)
    };
    let actions = receive(&mut voter, &request_vote);
    assert!(
        actions
            .iter()
            .any(|action| matches!(action, ConsensusAction::Persist { number: 1, .. })),
        "{actions:?}"
    );
    // While the vote is being persisted, the new leader replaces the three entries by one, and a heartbeat arrives
    // whose commit index is beyond that one.
    let entry = Entry {
        index: 2,
        term: 2,
        data: b"of the new one".to_vec().into(),
        ..Entry::default()
    };
    let append = Message {
        log_term: 1,
        index: 1,
        entries: vec![entry].into(),
        commit: 1,
        ..from_new_leader(MessageType::MsgAppend)
    };
    receive(&mut voter, &append);
    let heartbeat = Message {
        commit: 4,
        ..from_new_leader(MessageType::MsgHeartbeat)
    };
    receive(&mut voter, &heartbeat);
    let actions = handle(&mut voter, ConsensusEvent::Persisted(1));
    assert_eq!(first_batch(&actions), Some(vec![(2, 2)]));
    assert_eq!(
        voter.dropped(),
        DroppedMessages {
            missing_entries: 1,
            ..DroppedMessages::default()
        }
    );
}
