//! Owns one voter: what it may say before what it promised is kept, and what is agreed. One thing is saved at a
//! time; what comes meanwhile waits, within a bound.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use raft::eraftpb::Message;
use raft::{Config, RawNode, Ready, SnapshotStatus, StateRole};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

use super::log::{
    of_conf, of_entry, of_snapshot, to_change, Change, Conf, Content, Hard, Item, Kept, Log, Save,
    SnapshotKept,
};
use super::message::{decode, encode, Fault, LONGEST_COMMAND};
use crate::{micros, Micros};

/// Messages and proposals that wait while something is saved, at most: more are dropped, as a network may.
const MOST_WAITING: usize = 1_024;
/// Bytes of entries in a message: it fits a datagram with one entry of the longest.
const MESSAGE_BYTES: u64 = 1_000;

/// A voter by number, not 0.
pub type VoterId = u64;

/// A voter's own part, and how fast it goes. Who else votes is in what it kept.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This one.
    pub me: VoterId,
    /// The clock's step. A leader's heartbeat comes each step.
    pub tick: Duration,
    /// Steps without a leader before an election, at least; up to twice as many, by voter.
    pub election_ticks: usize,
    /// Entries after which the log is cut to a snapshot.
    pub compact_after: u64,
}

/// What a voter learns.
#[derive(Clone, Debug)]
pub enum Event {
    /// Another voter's message.
    Message(Vec<u8>),
    /// Something to agree on; tried, not promised.
    Propose(Vec<u8>),
    /// A change of who votes; tried by the leader alone, one at a time.
    Change(Change),
    /// The lead is to go to the voter that has most of the log.
    StepDown,
    /// The save of that number is on disk for good.
    Saved(u64),
    /// The state at an entry that was applied, so that the log may be cut.
    Snapshot {
        /// The last entry in it.
        index: u64,
        /// Who votes from that entry on.
        conf: Conf,
        /// The state.
        data: Vec<u8>,
    },
    /// The time of [`Voter::next_wake`] has come.
    Wake,
}

/// What the host is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send to another voter.
    Send {
        /// Whom.
        to: VoterId,
        /// What.
        bytes: Vec<u8>,
    },
    /// Keep this, for good before [`Event::Saved`] is said. Saves come one after the other.
    Save {
        /// Its number.
        number: u64,
        /// What.
        save: Save,
    },
    /// Agreed by a majority: to be applied, once and in order. Empty commands are left out. A change of who votes
    /// holds from here on.
    Apply(Item),
    /// Take over a state in place of all up to its entry.
    Restore(SnapshotKept),
    /// The leader is another one now, or unknown.
    Leader {
        /// The term.
        term: u64,
        /// Who; `None` while there is none.
        leader: Option<VoterId>,
    },
    /// The log has grown, or who votes has changed: [`Event::Snapshot`] is welcome, of the last entry applied before this,
    /// with these voters. A learner can only begin with a snapshot that names it.
    Compact(Conf),
    /// A proposal that can't be tried: no leader, or too long. It has no effect.
    NotTried(Vec<u8>),
}

/// Why there is no voter.
#[derive(Debug, thiserror::Error)]
pub enum VoterError {
    /// What it kept has a gap, or does not fit together: it must not vote again.
    #[error("what the voter kept is not whole")]
    Unsound,
    /// The settings are not sound.
    #[error("{0}")]
    Settings(#[from] raft::Error),
}

/// Messages that were dropped, by reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Dropped {
    /// No message of the agreed log, or out of its bounds.
    pub unreadable: u64,
    /// For another voter.
    pub stranger: u64,
    /// Of a kind that is not for the network.
    pub kind: u64,
    /// Refer to entries that are not here.
    pub beyond: u64,
    /// More came than can wait while something is saved.
    pub waiting: u64,
}

/// One voter.
pub struct Voter {
    settings: Settings,
    raw: RawNode<Log>,
    log: Log,
    wake: Micros,
    saving: Option<(u64, Ready)>,
    number: u64,
    waiting: VecDeque<Event>,
    leader: (u64, u64),
    asked_to_compact: u64,
    dropped: Dropped,
    /// Steps for which a snapshot to another has had no answer.
    snapshots: BTreeMap<VoterId, usize>,
}

impl Voter {
    /// A voter with what it kept. One that has lost what it kept must not come back as a voter: it may have
    /// voted in a term that it does not remember.
    pub fn new(
        settings: Settings,
        mut kept: Kept,
        seed: u64,
        now: Micros,
    ) -> Result<Voter, VoterError> {
        if !kept.is_sound() {
            return Err(VoterError::Unsound);
        }
        // A commit is no promise and is written with the next one: a snapshot may be ahead of it. The crate panics there.
        kept.hard.commit = kept.hard.commit.max(kept.snapshot.index);
        let mut rng = Pcg64::seed_from_u64(seed ^ settings.me);
        let span = settings.election_ticks.max(3);
        let drawn = span + (rng.next_u64() % span as u64) as usize;
        let applied = kept.snapshot.index;
        let log = Log::new(kept);
        let config = Config {
            id: settings.me,
            election_tick: span,
            heartbeat_tick: 1,
            applied,
            max_size_per_msg: MESSAGE_BYTES,
            max_inflight_msgs: 64,
            check_quorum: true,
            pre_vote: true,
            // The crate draws from the thread's generator: between these two there is one value.
            min_election_tick: drawn,
            max_election_tick: drawn + 1,
            max_uncommitted_size: 1 << 20,
            ..Config::default()
        };
        let silent = slog::Logger::root(slog::Discard, slog::o!());
        let raw = RawNode::new(&config, log.clone(), &silent)?;
        let wake = now + micros(settings.tick);
        Ok(Voter {
            settings,
            raw,
            log,
            wake,
            saving: None,
            number: 0,
            waiting: VecDeque::new(),
            leader: (0, 0),
            asked_to_compact: 0,
            dropped: Dropped::default(),
            snapshots: BTreeMap::new(),
        })
    }

    /// When [`Event::Wake`] is due.
    pub fn next_wake(&self) -> Micros {
        self.wake
    }

    /// The term, and whether this voter leads it.
    pub fn leads(&self) -> Option<u64> {
        (self.raw.raft.state == StateRole::Leader).then_some(self.raw.raft.term)
    }

    /// Who leads, as far as known.
    pub fn leader(&self) -> Option<VoterId> {
        Some(self.raw.raft.leader_id).filter(|id| *id != 0)
    }

    /// Who votes, as far as applied here.
    pub fn conf(&self) -> Conf {
        of_conf(&self.raw.raft.prs().conf().to_conf_state())
    }

    /// Messages that were dropped.
    pub fn dropped(&self) -> Dropped {
        self.dropped
    }

    /// The leader's knowledge of another: how many entries it lacks, where it was heard of lately.
    pub fn lacks(&self, other: VoterId) -> Option<u64> {
        self.leads()?;
        let progress = self
            .raw
            .raft
            .prs()
            .get(other)
            .filter(|progress| progress.recent_active)?;
        Some(
            self.raw
                .raft
                .raft_log
                .committed
                .saturating_sub(progress.matched),
        )
    }

    /// Takes an event and appends what is to be done, in order.
    pub fn on_event(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Saved(number) => self.saved(number, actions),
            Event::Wake => {
                // Late is one step, not many: a paused voter may not run ahead of what it has not heard.
                self.wake = now + micros(self.settings.tick);
                if self.saving.is_none() {
                    self.raw.tick();
                    self.resend_snapshots();
                }
            }
            event if self.saving.is_some() => {
                if self.waiting.len() < MOST_WAITING {
                    self.waiting.push_back(event);
                } else if let Event::Propose(data) = event {
                    actions.push(Action::NotTried(data));
                } else {
                    self.dropped.waiting += 1;
                }
            }
            event => self.take(event, actions),
        }
        self.drain(actions);
    }

    fn take(&mut self, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Message(bytes) => {
                // What can't be read is dropped, as a network may: the sender tries again. What is stale or out of
                // place, the crate refuses.
                // What came just before may not be saved yet.
                let last = self.raw.raft.raft_log.last_index();
                match decode(&bytes, self.settings.me, last) {
                    Ok(message) => drop(self.raw.step(message)),
                    Err(Fault::Unreadable) => self.dropped.unreadable += 1,
                    Err(Fault::Stranger) => self.dropped.stranger += 1,
                    Err(Fault::Kind) => self.dropped.kind += 1,
                    Err(Fault::Beyond) => self.dropped.beyond += 1,
                }
            }
            Event::Change(change) => {
                // Refused while another is under way; whoever wants it tries again.
                if self.leads().is_some() {
                    let _ = self.raw.propose_conf_change(Vec::new(), to_change(&change));
                }
            }
            Event::StepDown => self.step_down(),
            Event::Propose(data) => {
                let tried = data.len() <= LONGEST_COMMAND
                    && self.raw.propose(Vec::new(), data.clone()).is_ok();
                if !tried {
                    actions.push(Action::NotTried(data));
                }
            }
            Event::Snapshot { index, conf, data } => {
                if let Some(snapshot) = self.log.compact(index, conf, data) {
                    self.number += 1;
                    let save = Save {
                        snapshot: Some(snapshot),
                        ..Save::default()
                    };
                    actions.push(Action::Save {
                        number: self.number,
                        save,
                    });
                }
            }
            Event::Saved(_) | Event::Wake => {}
        }
    }

    /// Handles what Raft has ready, until something has to be saved first. All that waited is taken before: one save
    /// holds it together, however much came while the last one was written.
    fn drain(&mut self, actions: &mut Vec<Action>) {
        while self.saving.is_none() {
            while let Some(event) = self.waiting.pop_front() {
                self.take(event, actions);
            }
            if !self.raw.has_ready() {
                break;
            }
            let mut ready = self.raw.ready();
            let sends = ready.take_messages();
            self.send(&sends, actions);
            let snapshot =
                Some(ready.snapshot()).filter(|snapshot| snapshot.get_metadata().index > 0);
            let snapshot = snapshot.map(of_snapshot);
            let hard = ready.hs().map(|hs| Hard {
                term: hs.term,
                vote: hs.vote,
                commit: hs.commit,
            });
            let save = Save {
                hard,
                snapshot,
                entries: ready.entries().iter().map(of_entry).collect(),
            };
            if let Some(snapshot) = &save.snapshot {
                actions.push(Action::Restore(snapshot.clone()));
            }
            let committed = ready.take_committed_entries();
            self.apply(&committed, actions);
            if save.is_empty() {
                self.advance(ready, actions);
                continue;
            }
            self.log.take(&save);
            self.number += 1;
            let number = self.number;
            actions.push(Action::Save { number, save });
            if ready.must_sync() {
                self.saving = Some((number, ready));
            } else {
                // A commit alone is no promise: others hold the entries.
                self.advance(ready, actions);
            }
        }
        let now = (self.raw.raft.term, self.raw.raft.leader_id);
        // A voter that is alone elects itself before its vote is kept: told any sooner, it could lead that term twice.
        if now != self.leader && self.saving.is_none() {
            self.leader = now;
            actions.push(Action::Leader {
                term: now.0,
                leader: self.leader(),
            });
        }
        let applied = self.raw.raft.raft_log.applied;
        let first = raft::Storage::first_index(&self.log).unwrap_or(1);
        if applied >= first + self.settings.compact_after && applied >= self.asked_to_compact {
            self.asked_to_compact = applied + self.settings.compact_after / 4;
            actions.push(Action::Compact(self.conf()));
        }
    }

    fn saved(&mut self, number: u64, actions: &mut Vec<Action>) {
        if let Some((_, ready)) = self.saving.take_if(|(saving, _)| *saving <= number) {
            self.advance(ready, actions);
        }
    }

    fn advance(&mut self, ready: Ready, actions: &mut Vec<Action>) {
        let held = ready.persisted_messages().to_vec();
        self.send(&held, actions);
        let mut light = self.raw.advance(ready);
        if let Some(commit) = light.commit_index() {
            let hs = self.raw.raft.hard_state();
            self.log.take(&Save {
                hard: Some(Hard {
                    term: hs.term,
                    vote: hs.vote,
                    commit,
                }),
                ..Save::default()
            });
        }
        let sends = light.take_messages();
        self.send(&sends, actions);
        self.apply(light.committed_entries(), actions);
        self.raw.advance_apply();
    }

    fn apply(&mut self, entries: &[raft::eraftpb::Entry], actions: &mut Vec<Action>) {
        for entry in entries.iter().filter(|entry| !entry.data.is_empty()) {
            let item = of_entry(entry);
            let Content::Change(change) = &item.content else {
                actions.push(Action::Apply(item));
                continue;
            };
            // What can't be applied, as one that leaves nobody, is refused at every voter alike.
            if let Ok(state) = self.raw.apply_conf_change(&to_change(change)) {
                actions.push(Action::Apply(item));
                actions.push(Action::Compact(of_conf(&state)));
            }
        }
    }

    /// A snapshot that was lost on its way leaves the crate waiting for its answer for ever: after a while it is sent anew.
    fn resend_snapshots(&mut self) {
        let waits = |(id, progress): (&VoterId, &raft::Progress)| {
            (progress.state == raft::ProgressState::Snapshot).then_some(*id)
        };
        let waiting: Vec<VoterId> = match self.leads() {
            Some(_) => self.raw.raft.prs().iter().filter_map(waits).collect(),
            None => Vec::new(),
        };
        self.snapshots.retain(|id, _| waiting.contains(id));
        for id in waiting {
            let ticks = self.snapshots.entry(id).or_insert(0);
            *ticks += 1;
            if *ticks > self.settings.election_ticks {
                *ticks = 0;
                self.raw.report_snapshot(id, SnapshotStatus::Failure);
            }
        }
    }

    /// Hands the lead to the voter with most of the log.
    fn step_down(&mut self) {
        if self.leads().is_none() {
            return;
        }
        let me = self.settings.me;
        let prs = self.raw.raft.prs();
        let others = prs.iter().filter(|(id, progress)| {
            **id != me && progress.recent_active && prs.conf().voters().contains(**id)
        });
        if let Some((id, _)) = others.max_by_key(|(id, progress)| (progress.matched, **id)) {
            let id = *id;
            self.raw.transfer_leader(id);
        }
    }

    fn send(&self, messages: &[Message], actions: &mut Vec<Action>) {
        for message in messages {
            if let Some(bytes) = encode(message) {
                actions.push(Action::Send {
                    to: message.to,
                    bytes,
                });
            }
        }
    }
}
