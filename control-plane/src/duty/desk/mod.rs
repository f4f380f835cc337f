//! Owns one agent's part in the duties: its vote, if it has one, its leases, the fence before its node, what staff asked
//! for and has no answer yet, and bringing the servers out to every agent. Pure: events and time in, actions out.

mod acts;
mod asks;
mod events;
mod report;
mod voters;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use super::{
    Alarm, Candidate, Command, CommandId, Duty, Fence, Holder, Keeper, Outcome, Raised, Stale,
    State, What, Why, DUTIES,
};
use crate::consensus::{self, Content, Voter, VoterError, VoterId};
use crate::membership::Name;
use crate::Micros;

pub use acts::Act;
use acts::Acts;
pub use asks::{Answer, Request, Wish, CALL_PATIENCE};
use asks::{Asks, PATIENCE};
pub use events::{Action, Event, Member, Start};
pub use report::{DeskReport, DutyReport};
pub use voters::{founded, joining_id, voter_id};
use voters::{Joining, Letter};

/// Leases, acts and asks are looked at this often.
const BEAT: Micros = 50_000;
/// What this agent proposes for itself is proposed again after this.
const AGAIN: Micros = 300_000;
/// An agent that stops waits so long for others to take over.
const FAREWELL: Micros = 2_000_000;

/// One agent's part in the duties.
pub struct Desk {
    me: Member,
    /// Who votes, by the configuration.
    configured: Vec<Name>,
    voter: Option<(VoterId, Voter)>,
    /// Names of voters heard from.
    peers: BTreeMap<VoterId, Name>,
    joining: Joining,
    state: State,
    holder: Holder,
    keeper: Keeper,
    fence: Fence,
    members: Vec<Member>,
    number: u64,
    asks: Asks,
    acts: Acts,
    /// Proposed until the state shows them.
    giving_up: Vec<(Command, Micros)>,
    observed: BTreeMap<Alarm, Raised>,
    next_alarm: Micros,
    /// When it was told to stop, and whether it said that all is handed over.
    stopping: Option<(Micros, bool)>,
    next_beat: Micros,
    wall_ms: u64,
}

impl Desk {
    /// A desk. It votes where it has what it kept; a voter that kept nothing yet asks to be added.
    pub fn new(start: Start, now: Micros) -> Result<Desk, VoterError> {
        let Start {
            me,
            voters,
            lease,
            tick,
            election_ticks,
            compact_after,
            kept,
            fence,
            seed,
        } = start;
        let mut state = State::default();
        let voter = match kept {
            Some((id, kept)) => {
                if kept.snapshot.index > 0 {
                    state = State::of_bytes(&kept.snapshot.data).ok_or(VoterError::Unsound)?;
                }
                let settings = consensus::Settings {
                    me: id,
                    tick,
                    election_ticks,
                    compact_after,
                };
                Some((id, Voter::new(settings, kept, seed, now)?))
            }
            None => None,
        };
        Ok(Desk {
            holder: Holder::new(me.name.clone(), me.process, lease),
            keeper: Keeper::new(lease, &DUTIES),
            me,
            configured: voters,
            voter,
            peers: BTreeMap::new(),
            joining: Joining::default(),
            state,
            fence,
            members: Vec::new(),
            number: 0,
            asks: Asks::default(),
            acts: Acts::default(),
            giving_up: Vec::new(),
            observed: BTreeMap::new(),
            next_alarm: now,
            stopping: None,
            next_beat: now,
            wall_ms: 0,
        })
    }

    /// When [`Event::Wake`] is due.
    pub fn next_wake(&self) -> Micros {
        if self.configured.is_empty() && self.voter.is_none() && self.stopping.is_none() {
            return Micros::MAX;
        }
        let voter = self
            .voter
            .as_ref()
            .map_or(Micros::MAX, |(_, voter)| voter.next_wake());
        self.next_beat.min(voter)
    }

    /// The token under which this agent may act now, if it may.
    pub fn may_act(&self, now: Micros, duty: Duty) -> Option<u64> {
        self.holder.may_act(now, duty)
    }

    /// What is agreed, as far as it is known here; of an agent without a vote, next to nothing.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// Whether an act, or a question, of another agent's duty may pass here.
    pub fn admits(&mut self, duty: Duty, token: u64) -> Result<(), Stale> {
        self.fence.admit(duty, token).map(|_| ())
    }

    /// Who is to be asked about a duty: its holder, or a voter that may know it.
    pub fn whom_to_ask(&self, duty: Duty) -> Option<Name> {
        match self.state.held.get(&duty) {
            Some(held) => Some(held.holder.clone()).filter(|holder| *holder != self.me.name),
            None => self
                .other_voters()
                .into_iter()
                .min_by(|one, other| one.as_str().cmp(other.as_str())),
        }
    }

    /// Takes an event and appends what is to be done, in order.
    pub fn on_event(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Message(bytes) => self.letter(now, &bytes, actions),
            Event::Saved(number) => self.vote(now, consensus::Event::Saved(number), actions),
            // Silent from here on, as one that is gone: it can keep no promise.
            Event::NotSaved => self.lose_vote("nothing can be kept", actions),
            Event::Members(members) => self.members = members,
            Event::Asked { ask, wish } => {
                self.number += 1;
                let request = Request {
                    id: CommandId(self.me.process, self.number),
                    wish,
                };
                self.ask(now, ask, request, PATIENCE, actions);
            }
            Event::Request { ask, request } => self.ask(now, ask, request, CALL_PATIENCE, actions),
            Event::Forwarded { ask, answer } => self.forwarded(ask, answer, actions),
            Event::Act { ask, act } => self.acted_on(ask, act, actions),
            Event::Acted {
                to,
                version,
                answer,
            } => self.acts.ended(now, &to, version, answer),
            Event::Observed(alarms) => self.observed = alarms,
            Event::Stop => {
                self.stopping.get_or_insert((now, false));
                self.next_beat = now;
            }
            Event::Wake { wall_ms } => {
                self.wall_ms = wall_ms;
                if self
                    .voter
                    .as_ref()
                    .is_some_and(|(_, voter)| now >= voter.next_wake())
                {
                    self.vote(now, consensus::Event::Wake, actions);
                }
                if now >= self.next_beat {
                    self.next_beat = now + BEAT;
                    self.beat(now, actions);
                }
            }
        }
    }

    fn is_present(&self, name: &Name) -> bool {
        self.members.iter().any(|member| member.name == *name)
    }

    /// Whether this voter leads the agreed log, by its own word.
    pub fn leads(&self) -> bool {
        self.voter
            .as_ref()
            .is_some_and(|(_, voter)| voter.leads().is_some())
    }

    fn command(&mut self, what: What) -> Command {
        self.number += 1;
        Command {
            id: CommandId(self.me.process, self.number),
            what,
        }
    }

    fn propose(&mut self, now: Micros, command: &Command, actions: &mut Vec<Action>) {
        let bytes = postcard::to_stdvec(command).unwrap_or_default();
        self.vote(now, consensus::Event::Propose(bytes), actions);
    }

    fn vote(&mut self, now: Micros, event: consensus::Event, actions: &mut Vec<Action>) {
        // What is answered to the voter is handed over only once all that it wanted is passed on: saves keep their order.
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            self.vote_once(now, event, &mut events, actions);
        }
    }

    fn vote_once(
        &mut self,
        now: Micros,
        event: consensus::Event,
        later: &mut VecDeque<consensus::Event>,
        actions: &mut Vec<Action>,
    ) {
        let Some((me, voter)) = &mut self.voter else {
            return;
        };
        let me = *me;
        let mut wanted = Vec::new();
        voter.on_event(now, event, &mut wanted);
        for action in wanted {
            match action {
                consensus::Action::Send { to, bytes } => {
                    if let Some(to) = self.name_of(to) {
                        let letter = Letter {
                            from: me,
                            name: self.me.name.clone(),
                            bytes,
                        };
                        let bytes = postcard::to_stdvec(&letter).unwrap_or_default();
                        actions.push(Action::Send { to, bytes });
                    }
                }
                consensus::Action::Save { number, save } => {
                    actions.push(Action::Save { number, save })
                }
                consensus::Action::Apply(item) => {
                    self.apply(now, item.index, &item.content, actions)
                }
                consensus::Action::Restore(snapshot) => match State::of_bytes(&snapshot.data) {
                    Some(state) => {
                        self.state = state;
                        self.keeper.applied(now, &self.state);
                    }
                    // Newer than this program reads: it must not go on from an empty one.
                    None => {
                        return self.lose_vote(
                            "the agreed state is of a form that is not read here",
                            actions,
                        )
                    }
                },
                consensus::Action::Leader { term, leader } => {
                    let here = leader == Some(me);
                    let leader = leader.and_then(|id| self.name_of(id));
                    actions.push(Action::Leader { term, leader, here });
                }
                consensus::Action::Compact(conf) => {
                    let (index, data) = (self.state.index, self.state.to_bytes());
                    later.push_back(consensus::Event::Snapshot { index, conf, data });
                }
                // Asks are tried again at each beat, leases too.
                consensus::Action::NotTried(_) => {}
            }
        }
    }

    fn lose_vote(&mut self, why: &'static str, actions: &mut Vec<Action>) {
        if self.voter.take().is_some() {
            actions.push(Action::VoteLost(why));
        }
    }

    fn apply(&mut self, now: Micros, index: u64, content: &Content, actions: &mut Vec<Action>) {
        let moves = self.state.changes.back().cloned();
        let Some((command, outcome)) = self.state.apply(index, content) else {
            return;
        };
        self.keeper.applied(now, &self.state);
        self.holder.applied(&command, &outcome, &self.state);
        let moved = self
            .state
            .changes
            .back()
            .filter(|change| Some(*change) != moves.as_ref());
        actions.extend(moved.map(|change| Action::Moved(change.clone())));
        match &command.what {
            What::Alarm { alarm, raised }
                if outcome == Outcome::Done && command.id.0 == self.me.process =>
            {
                actions.push(Action::Say {
                    alarm: alarm.clone(),
                    raised: raised.clone(),
                });
            }
            // What holds at this place of the log holds at a majority: a leader that is none any more gets no such place.
            What::Look => return self.looked(command.id, actions),
            _ => {}
        }
        self.asks.applied(&command, outcome, actions);
    }

    fn beat(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let leads = self.leads();
        self.keeper.leads(now, leads);
        if now >= self.holder.next_ask() {
            if let Some(renew) = self.holder.ask(now, &self.state, self.number + 1) {
                let command = self.command(renew);
                self.propose(now, &command, actions);
            }
        }
        if leads {
            let candidates = self.candidates();
            for what in self
                .keeper
                .give(now, &self.state, &candidates, self.wall_ms)
            {
                let command = self.command(what);
                self.propose(now, &command, actions);
            }
            self.promote(now, actions);
        }
        self.end_outs(now, actions);
        self.tell_alarms(now, actions);
        self.join(now, actions);
        if self.stopping.is_some() {
            self.stop(now, actions);
        }
        self.give_up(now, actions);
        self.try_asks(now, actions);
        self.bring(now, actions);
    }

    fn candidates(&self) -> Vec<Candidate> {
        let votes: BTreeSet<&Name> = self.state.voters.values().collect();
        let may = |member: &&Member| {
            votes.contains(&member.name)
                && !(self.stopping.is_some() && member.process == self.me.process)
        };
        let candidate = |m: &Member| Candidate {
            name: m.name.clone(),
            process: m.process,
            zone: m.zone.clone(),
        };
        self.members.iter().filter(may).map(candidate).collect()
    }

    /// The holder of the maintenance duty puts back whose time is up.
    fn end_outs(&mut self, now: Micros, actions: &mut Vec<Action>) {
        if self.holder.may_act(now, Duty::Maintenance).is_none() {
            return;
        }
        let over = |until: Option<u64>| until.is_some_and(|until| self.wall_ms >= until);
        let ended = self
            .state
            .out
            .iter()
            .find(|(_, out)| over(out.until_ms))
            .map(|(server, _)| server.clone());
        if let Some(server) = ended {
            let command = self.command(What::Back { server });
            self.propose(now, &command, actions);
        }
    }

    /// The holder of the watch brings the agreed alarms to what it sees.
    fn tell_alarms(&mut self, now: Micros, actions: &mut Vec<Action>) {
        if now < self.next_alarm || self.holder.may_act(now, Duty::Watch).is_none() {
            return;
        }
        let raised = self
            .observed
            .iter()
            .filter(|(alarm, _)| !self.state.alarms.contains_key(alarm));
        let raised = raised.map(|(alarm, raised)| (alarm.clone(), Some(raised.clone())));
        let over = self
            .state
            .alarms
            .keys()
            .filter(|alarm| !self.observed.contains_key(alarm));
        let change: Vec<_> = raised
            .chain(over.map(|alarm| (alarm.clone(), None)))
            .collect();
        if !change.is_empty() {
            self.next_alarm = now + AGAIN;
        }
        for (alarm, raised) in change {
            let command = self.command(What::Alarm { alarm, raised });
            self.propose(now, &command, actions);
        }
    }

    /// Gives one's own duty up, until all know it.
    fn release(&mut self, now: Micros, duty: Duty, why: Why) {
        if let Some(what) = self.holder.release(duty, &self.state, why, self.wall_ms) {
            let command = self.command(what);
            self.giving_up.push((command, now));
        }
    }

    fn give_up(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let state = &self.state;
        self.giving_up.retain(|(command, _)| match &command.what {
            What::Release { duty, token, .. } => state
                .held
                .get(duty)
                .is_some_and(|held| held.token == *token),
            _ => false,
        });
        let mut due = Vec::new();
        for (command, again) in self.giving_up.iter_mut().filter(|(_, again)| now >= *again) {
            *again = now + AGAIN;
            due.push(command.clone());
        }
        due.iter()
            .for_each(|command| self.propose(now, command, actions));
    }

    /// On the way out: duties go to others, then the lead, and then this agent may go.
    fn stop(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let Some((since, false)) = self.stopping else {
            return;
        };
        let mine: Vec<Duty> = self
            .state
            .held_by(self.me.process)
            .map(|(duty, _)| duty)
            .collect();
        let alone = self.voter.is_none() || self.state.voters.len() < 2;
        let done = alone || (mine.is_empty() && !self.leads());
        if done || now >= since + FAREWELL {
            self.stopping = Some((since, true));
            return actions.push(Action::HandedOver);
        }
        mine.iter()
            .for_each(|duty| self.release(now, *duty, Why::Stops));
        if mine.is_empty() {
            self.vote(now, consensus::Event::StepDown, actions);
        }
    }
}

#[cfg(test)]
mod tests;
