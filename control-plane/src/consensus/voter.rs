//! A voter of the replicated log.
//!
//! Invariant: a vote or an acknowledgement is sent only after the term, vote and entries on which it depends are durable,
//! so that a crash can't make a voter forget a vote that it granted or an entry that it acknowledged. At most one batch
//! of terms, votes and entries is being persisted at a time; events that arrive meanwhile wait in a bounded queue.

use std::collections::{BTreeMap, VecDeque};

use raft::eraftpb::{Entry, Message};
use raft::{Progress, ProgressState, RawNode, Ready, SnapshotStatus, StateRole, Storage};

use super::convert::{
    from_raft_configuration, from_raft_entry, from_raft_hard_state, from_raft_snapshot,
    to_raft_change,
};
use super::log::Log;
use super::message::{decode, encode, MessageError, MAX_COMMAND_BYTES};
use super::raft_config::raft_config;
use super::{
    ConsensusAction, ConsensusEvent, ConsensusSettings, DroppedMessages, EntryPayload,
    PersistedState, VoterConfiguration, VoterError, VoterId, WriteBatch,
};
use crate::{micros, Micros};

/// Maximum number of events that are queued while a batch is being persisted; further ones are dropped.
const MAX_QUEUED_EVENTS: usize = 1_024;
/// Until the host has compacted the log, the request is repeated whenever a further
/// [`ConsensusSettings::compact_after`] divided by this number of entries were applied.
const COMPACTION_REQUEST_DIVISOR: u64 = 4;

/// A batch that is being persisted, and what Raft sends and commits once it is durable.
struct PendingWrite {
    number: u64,
    ready: Ready,
}

/// A term and its leader; the leader is 0 while it is unknown.
#[derive(Clone, Copy, PartialEq, Eq)]
struct Leadership {
    term: u64,
    leader: VoterId,
}

/// A member of the replicated log: a voter, or a learner that becomes one.
pub struct Voter {
    settings: ConsensusSettings,
    node: RawNode<Log>,
    log: Log,
    next_wake: Micros,
    /// While a write is pending, Raft receives neither events nor ticks: it must not build on state that is not
    /// durable.
    pending_write: Option<PendingWrite>,
    /// The number of the last batch that the host was asked to persist.
    last_batch_number: u64,
    /// Events that wait until the pending write is durable.
    queue: VecDeque<ConsensusEvent>,
    reported_leadership: Leadership,
    /// The applied index from which on compaction is requested next.
    next_compaction: u64,
    dropped: DroppedMessages,
    /// Number of ticks since a snapshot was sent, for each follower that has not acknowledged it.
    unacknowledged_snapshots: BTreeMap<VoterId, usize>,
}

impl Voter {
    /// Starts a voter from its persisted state. `seed` determines its election timeout.
    ///
    /// A voter that lost its state must not start again under the same identifier: it may have voted in a term that it
    /// does not remember.
    ///
    /// # Errors
    ///
    /// [`VoterError`] if the persisted state is inconsistent or the settings are invalid.
    pub fn new(
        settings: ConsensusSettings,
        mut state: PersistedState,
        seed: u64,
        now: Micros,
    ) -> Result<Voter, VoterError> {
        if !state.is_consistent() {
            return Err(VoterError::InconsistentState);
        }
        // The commit index is written with a later batch and may be behind the snapshot, on which the crate would
        // panic.
        state.hard_state.commit = state.hard_state.commit.max(state.snapshot.index);
        let config = raft_config(&settings, state.snapshot.index, seed);
        let log = Log::new(state);
        let discard_logger = slog::Logger::root(slog::Discard, slog::o!());
        let node = RawNode::new(&config, log.clone(), &discard_logger)?;
        let next_wake = now + micros(settings.tick);
        Ok(Voter {
            settings,
            node,
            log,
            next_wake,
            pending_write: None,
            last_batch_number: 0,
            queue: VecDeque::new(),
            reported_leadership: Leadership { term: 0, leader: 0 },
            next_compaction: 0,
            dropped: DroppedMessages::default(),
            unacknowledged_snapshots: BTreeMap::new(),
        })
    }

    /// When [`ConsensusEvent::Wake`] is due.
    pub fn next_wake(&self) -> Micros {
        self.next_wake
    }

    /// The current term if this voter is its leader, else `None`.
    pub fn leading_term(&self) -> Option<u64> {
        let leads = self.node.raft.state == StateRole::Leader;
        leads.then_some(self.node.raft.term)
    }

    /// The leader of the current term; `None` while it is unknown.
    pub fn leader(&self) -> Option<VoterId> {
        Some(self.node.raft.leader_id).filter(|id| *id != 0)
    }

    /// The members as of the last entry that this voter applied.
    pub fn configuration(&self) -> VoterConfiguration {
        from_raft_configuration(&self.node.raft.prs().conf().to_conf_state())
    }

    /// Counts of the messages that were dropped since this voter was started.
    pub fn dropped(&self) -> DroppedMessages {
        self.dropped
    }

    /// Number of committed entries that another member lacks; `None` if this voter is not the leader, or has not
    /// received a message from the member recently.
    pub fn replication_lag(&self, member: VoterId) -> Option<u64> {
        self.leading_term()?;
        let raft = &self.node.raft;
        let progress = raft.prs().get(member)?;
        if !progress.recent_active {
            return None;
        }
        Some(raft.raft_log.committed.saturating_sub(progress.matched))
    }

    /// Handles an event and appends the actions that the host has to carry out, in order.
    pub fn on_event(
        &mut self,
        now: Micros,
        event: ConsensusEvent,
        actions: &mut Vec<ConsensusAction>,
    ) {
        match event {
            ConsensusEvent::Persisted(number) => self.on_persisted(number, actions),
            ConsensusEvent::Wake => self.on_wake(now),
            event if self.pending_write.is_some() => self.enqueue(event, actions),
            event => self.handle(event, actions),
        }
        self.process_ready(actions);
        self.report_leadership(actions);
        self.request_compaction(actions);
    }

    fn on_wake(&mut self, now: Micros) {
        // A late wake counts as one tick: a voter that was paused must not reach its election timeout before it has
        // read the heartbeats that arrived meanwhile.
        self.next_wake = now + micros(self.settings.tick);
        if self.pending_write.is_none() {
            self.node.tick();
            self.retry_snapshots();
        }
    }

    fn enqueue(&mut self, event: ConsensusEvent, actions: &mut Vec<ConsensusAction>) {
        if self.queue.len() < MAX_QUEUED_EVENTS {
            self.queue.push_back(event);
            return;
        }
        match event {
            ConsensusEvent::Propose(command) => {
                actions.push(ConsensusAction::ProposalRejected(command))
            }
            _ => self.dropped.queue_full += 1,
        }
    }

    fn handle(&mut self, event: ConsensusEvent, actions: &mut Vec<ConsensusAction>) {
        match event {
            ConsensusEvent::Message(bytes) => self.on_message(&bytes),
            ConsensusEvent::ChangeConfiguration(change) => {
                if self.leading_term().is_some() {
                    // Raft rejects the change while another one is pending; the proposer retries.
                    let change = to_raft_change(&change);
                    let _ = self.node.propose_conf_change(Vec::new(), change);
                }
            }
            ConsensusEvent::TransferLeadership => self.transfer_leadership(),
            ConsensusEvent::Propose(command) => self.propose(command, actions),
            ConsensusEvent::Snapshot {
                index,
                configuration,
                data,
            } => self.compact(index, configuration, data, actions),
            // `on_event` handles these itself and never queues them.
            ConsensusEvent::Persisted(_) | ConsensusEvent::Wake => {}
        }
    }

    fn on_message(&mut self, bytes: &[u8]) {
        // The last entry in memory, which may not be durable yet.
        let last_index = self.node.raft.raft_log.last_index();
        // The sender retries a message that is dropped here. One that `step` rejects is stale and can be ignored.
        match decode(bytes, self.settings.me, last_index) {
            Ok(message) => {
                let _ = self.node.step(message);
            }
            Err(MessageError::Unreadable) => self.dropped.unreadable += 1,
            Err(MessageError::WrongRecipient) => self.dropped.wrong_recipient += 1,
            Err(MessageError::ForbiddenKind) => self.dropped.forbidden_kind += 1,
            Err(MessageError::MissingEntries) => self.dropped.missing_entries += 1,
        }
    }

    fn propose(&mut self, command: Vec<u8>, actions: &mut Vec<ConsensusAction>) {
        let fits = command.len() <= MAX_COMMAND_BYTES;
        let accepted = fits && self.node.propose(Vec::new(), command.clone()).is_ok();
        if !accepted {
            actions.push(ConsensusAction::ProposalRejected(command));
        }
    }

    fn compact(
        &mut self,
        index: u64,
        configuration: VoterConfiguration,
        data: Vec<u8>,
        actions: &mut Vec<ConsensusAction>,
    ) {
        let Some(snapshot) = self.log.compact(index, configuration, data) else {
            return;
        };
        let batch = WriteBatch {
            snapshot: Some(snapshot),
            ..WriteBatch::default()
        };
        self.persist(batch, actions);
    }

    /// Asks the host to persist a batch, and returns its number.
    fn persist(&mut self, batch: WriteBatch, actions: &mut Vec<ConsensusAction>) -> u64 {
        self.last_batch_number += 1;
        let number = self.last_batch_number;
        actions.push(ConsensusAction::Persist { number, batch });
        number
    }

    /// Processes Raft's `Ready` states until one needs a batch to become durable first. Queued events are handled
    /// before each, so that one batch contains everything that arrived while the previous one was written.
    fn process_ready(&mut self, actions: &mut Vec<ConsensusAction>) {
        while self.pending_write.is_none() {
            while let Some(event) = self.queue.pop_front() {
                self.handle(event, actions);
            }
            if !self.node.has_ready() {
                break;
            }
            let ready = self.node.ready();
            self.process(ready, actions);
        }
    }

    fn process(&mut self, mut ready: Ready, actions: &mut Vec<ConsensusAction>) {
        // Only a leader has messages here. It may send its entries before they are durable locally, because it counts
        // itself towards a majority only once they are. All other messages are in `persisted_messages`.
        self.send(&ready.take_messages(), actions);
        let batch = WriteBatch {
            hard_state: ready.hs().map(from_raft_hard_state),
            snapshot: from_raft_snapshot(ready.snapshot()),
            entries: ready.entries().iter().map(from_raft_entry).collect(),
        };
        if let Some(snapshot) = &batch.snapshot {
            actions.push(ConsensusAction::Restore(snapshot.clone()));
        }
        // These entries were persisted with earlier batches.
        let committed = ready.take_committed_entries();
        self.apply(&committed, actions);
        if batch.is_empty() {
            self.advance(ready, actions);
            return;
        }
        self.log.apply(&batch);
        let number = self.persist(batch, actions);
        if ready.must_sync() {
            self.pending_write = Some(PendingWrite { number, ready });
        } else {
            // A change of the commit index alone need not be durable: the entries are durable at a majority.
            self.advance(ready, actions);
        }
    }

    fn report_leadership(&mut self, actions: &mut Vec<ConsensusAction>) {
        let current = Leadership {
            term: self.node.raft.term,
            leader: self.node.raft.leader_id,
        };
        // A sole voter wins its election before its own vote is durable. If that was reported at once, the voter could
        // be elected a second time in the same term after a crash.
        if current == self.reported_leadership || self.pending_write.is_some() {
            return;
        }
        self.reported_leadership = current;
        actions.push(ConsensusAction::LeaderChanged {
            term: current.term,
            leader: self.leader(),
        });
    }

    fn request_compaction(&mut self, actions: &mut Vec<ConsensusAction>) {
        let applied = self.node.raft.raft_log.applied;
        let first = self.log.first_index().unwrap_or(1);
        let interval = self.settings.compact_after;
        if applied >= first + interval && applied >= self.next_compaction {
            self.next_compaction = applied + interval / COMPACTION_REQUEST_DIVISOR;
            actions.push(ConsensusAction::Compact(self.configuration()));
        }
    }

    fn on_persisted(&mut self, number: u64, actions: &mut Vec<ConsensusAction>) {
        // Batches are written in order: a higher number means that this one is durable too.
        let durable = self
            .pending_write
            .take_if(|pending| pending.number <= number);
        if let Some(pending) = durable {
            self.advance(pending.ready, actions);
        }
    }

    /// Tells Raft that the batch of a `Ready` is durable, or need not be, then sends the messages and applies the
    /// entries that depended on it.
    fn advance(&mut self, ready: Ready, actions: &mut Vec<ConsensusAction>) {
        self.send(ready.persisted_messages(), actions);
        let mut light = self.node.advance(ready);
        if let Some(commit) = light.commit_index() {
            let mut hard_state = from_raft_hard_state(&self.node.raft.hard_state());
            hard_state.commit = commit;
            self.log.apply(&WriteBatch {
                hard_state: Some(hard_state),
                ..WriteBatch::default()
            });
        }
        self.send(&light.take_messages(), actions);
        self.apply(light.committed_entries(), actions);
        self.node.advance_apply();
    }

    fn apply(&mut self, entries: &[Entry], actions: &mut Vec<ConsensusAction>) {
        for entry in entries.iter().filter(|entry| !entry.data.is_empty()) {
            let entry = from_raft_entry(entry);
            let EntryPayload::ConfigurationChange(change) = &entry.payload else {
                actions.push(ConsensusAction::Apply(entry));
                continue;
            };
            // A change that can't be applied, such as the removal of the last voter, fails in the same way at every
            // voter: skipping it keeps their states equal.
            if let Ok(state) = self.node.apply_conf_change(&to_raft_change(change)) {
                actions.push(ConsensusAction::Apply(entry));
                actions.push(ConsensusAction::Compact(from_raft_configuration(&state)));
            }
        }
    }

    /// Reports a snapshot as failed that was not acknowledged within the minimum election timeout, so that the crate
    /// sends it again: without a report the crate waits forever.
    fn retry_snapshots(&mut self) {
        let waiting = self.followers_awaiting_snapshots();
        self.unacknowledged_snapshots
            .retain(|id, _| waiting.contains(id));
        for id in waiting {
            let ticks = self.unacknowledged_snapshots.entry(id).or_insert(0);
            *ticks += 1;
            if *ticks > self.settings.election_ticks {
                *ticks = 0;
                self.node.report_snapshot(id, SnapshotStatus::Failure);
            }
        }
    }

    fn followers_awaiting_snapshots(&self) -> Vec<VoterId> {
        if self.leading_term().is_none() {
            return Vec::new();
        }
        let awaits = |(id, progress): (&VoterId, &Progress)| {
            (progress.state == ProgressState::Snapshot).then_some(*id)
        };
        self.node.raft.prs().iter().filter_map(awaits).collect()
    }

    /// Transfers leadership to the recently active voter with the longest log.
    fn transfer_leadership(&mut self) {
        if self.leading_term().is_none() {
            return;
        }
        let me = self.settings.me;
        let members = self.node.raft.prs();
        let successor = members
            .iter()
            .filter(|(id, progress)| {
                **id != me && progress.recent_active && members.conf().voters().contains(**id)
            })
            .max_by_key(|(id, progress)| (progress.matched, **id))
            .map(|(id, _)| *id);
        if let Some(successor) = successor {
            self.node.transfer_leader(successor);
        }
    }

    fn send(&self, messages: &[Message], actions: &mut Vec<ConsensusAction>) {
        for message in messages {
            if let Some(bytes) = encode(message) {
                actions.push(ConsensusAction::Send {
                    to: message.to,
                    bytes,
                });
            }
        }
    }
}
