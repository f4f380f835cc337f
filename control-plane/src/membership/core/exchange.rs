//! Joins, exchanges of whole views, and two processes of one name: all that goes by calls.

use foca::{Member, State};

use super::*;
use crate::membership::message::{Row, RowState, Stream, Whole};

/// Refused rivals remembered, so that each is told once.
const MOST_REFUSED: usize = 64;
/// Calls out at a time, beside those of the join.
const MOST_CALLS: usize = 16;

impl Membership {
    fn call(
        &mut self,
        to: SocketAddr,
        purpose: Purpose,
        stream: &Stream,
        actions: &mut Vec<Action>,
    ) {
        self.call_number += 1;
        self.counts.calls_out += 1;
        self.calls.insert(self.call_number, purpose);
        let bytes = stream.encode(self.fleet);
        self.views.spend(bytes.len());
        actions.push(Action::Call {
            call: self.call_number,
            to,
            bytes,
        });
    }

    pub(super) fn call_seed(&mut self, seed: SocketAddr, actions: &mut Vec<Action>) {
        let out = |purpose: &Purpose| matches!(purpose, Purpose::Seed(to) if *to == seed);
        if !self.calls.values().any(out) {
            self.call(
                seed,
                Purpose::Seed(seed),
                &Stream::Sync(self.whole()),
                actions,
            );
        }
    }

    pub(super) fn call_sync(&mut self, name: &Name, actions: &mut Vec<Action>) {
        let out = |purpose: &Purpose| matches!(purpose, Purpose::Sync(to) if to == name);
        if self.calls.len() >= MOST_CALLS || self.calls.values().any(out) {
            return;
        }
        if let Some(to) = self.view.get(name).map(|entry| entry.identity.addr) {
            self.call(
                to,
                Purpose::Sync(name.clone()),
                &Stream::Sync(self.whole()),
                actions,
            );
        }
    }

    /// This agent's whole view. It shows itself only once it takes part.
    fn whole(&self) -> Whole {
        let known = self
            .foca
            .iter_membership_state()
            .filter(|member| member.id().name != self.me.name);
        let mut rows: Vec<Row> = known
            .map(|member| {
                let state = match member.state() {
                    State::Alive => RowState::Alive,
                    State::Suspect => RowState::Suspect,
                    State::Down => RowState::Down,
                };
                Row {
                    identity: member.id().clone(),
                    incarnation: member.incarnation(),
                    state,
                }
            })
            .collect();
        if self.phase == Phase::In {
            rows.push(Row {
                identity: self.me.clone(),
                incarnation: self.incarnation,
                state: RowState::Alive,
            });
        }
        Whole {
            from: self.record.clone(),
            digest: self.view.digest(),
            rows,
            records: self.board.records(),
        }
    }

    pub(super) fn called(
        &mut self,
        now: Micros,
        conn: ConnId,
        bytes: &[u8],
        actions: &mut Vec<Action>,
    ) {
        self.counts.calls_in += 1;
        let answer = match Stream::decode(bytes, self.fleet) {
            Err(fault) => return self.counts.drop(fault),
            Ok(
                Stream::Held(_)
                | Stream::Told(_)
                | Stream::Acted(_)
                | Stream::Tally(_)
                | Stream::Topped(_),
            ) => return,
            Ok(
                stream @ (Stream::Agreed(_)
                | Stream::Ask(_)
                | Stream::Act(_)
                | Stream::Look(_)
                | Stream::Top(_)),
            ) => {
                return actions.push(Action::Pass {
                    conn: Some(conn),
                    stream: Box::new(stream),
                });
            }
            Ok(Stream::Sync(whole)) => {
                // Its answer is what this agent held before: the caller compares the two.
                let answer = Stream::Sync(self.whole());
                if self.phase != Phase::Joining {
                    self.take(now, &whole, true);
                }
                answer
            }
            Ok(Stream::Claim(record)) => {
                let answer = Stream::Held(self.record.clone());
                if record.name == self.me.name && record.process != self.me.process {
                    self.judge_rival(&record, actions);
                }
                answer
            }
        };
        let bytes = answer.encode(self.fleet);
        // An answer never waits; the next view that this agent asks for does.
        self.views.spend(bytes.len());
        actions.push(Action::Answer { conn, bytes });
    }

    pub(super) fn answered(
        &mut self,
        now: Micros,
        call: CallId,
        bytes: &[u8],
        actions: &mut Vec<Action>,
    ) {
        let Some(purpose) = self.calls.remove(&call) else {
            return;
        };
        let stream = match Stream::decode(bytes, self.fleet) {
            Ok(stream) => stream,
            Err(fault) => {
                self.counts.drop(fault);
                return self.failed(now, purpose, actions);
            }
        };
        match (purpose, stream) {
            (Purpose::Seed(_), Stream::Sync(whole)) if self.phase == Phase::Joining => {
                self.join(now, whole, actions);
            }
            (Purpose::Seed(_), Stream::Sync(whole)) => {
                self.take(now, &whole, true);
                // It may hold this agent for gone, or not know it: then it learns of it now.
                let _ = self
                    .foca
                    .announce(whole.from.identity(), &mut self.collector);
            }
            (Purpose::Sync(name), Stream::Sync(whole)) => self.compare(now, &name, &whole, actions),
            (Purpose::Claim { rival, joining }, Stream::Held(record)) => {
                if record.name == self.me.name && record.process == rival.process {
                    self.judge_rival(&record, actions);
                }
                if let Some(whole) = joining.filter(|_| self.phase == Phase::Joining) {
                    self.enter(now, Some((*whole, rival.generation)), actions);
                }
            }
            (purpose, _) => self.failed(now, purpose, actions),
        }
    }

    pub(super) fn call_failed(&mut self, now: Micros, call: CallId, actions: &mut Vec<Action>) {
        if let Some(purpose) = self.calls.remove(&call) {
            self.failed(now, purpose, actions);
        }
    }

    fn failed(&mut self, now: Micros, purpose: Purpose, actions: &mut Vec<Action>) {
        let joining = self.phase == Phase::Joining;
        match purpose {
            // The name's last holder does not answer: it is gone.
            Purpose::Claim {
                rival,
                joining: Some(whole),
            } if joining => {
                self.enter(now, Some((*whole, rival.generation)), actions);
            }
            Purpose::Seed(_) if joining && self.calls.is_empty() => {
                actions.push(Action::Tell(Change::Alone));
                self.enter(now, None, actions);
            }
            _ => {}
        }
    }

    /// The first seed has answered: is the name free?
    fn join(&mut self, now: Micros, whole: Whole, actions: &mut Vec<Action>) {
        let asking = |purpose: &Purpose| {
            matches!(
                purpose,
                Purpose::Claim {
                    joining: Some(_),
                    ..
                }
            )
        };
        if self.calls.values().any(asking) {
            return;
        }
        let holder = whole
            .rows
            .iter()
            .find(|row| row.identity.name == self.me.name);
        let holder = holder.map(|row| (row.identity.clone(), row.state));
        match holder {
            Some((rival, state)) if rival.process != self.me.process => {
                if state == RowState::Down || rival.addr == self.me.addr {
                    // Nobody else can be at this agent's own address.
                    return self.enter(now, Some((whole, rival.generation)), actions);
                }
                let (to, claim) = (rival.addr, Stream::Claim(self.record.clone()));
                let joining = Some(Box::new(whole));
                self.call(
                    to,
                    Purpose::Claim {
                        rival: Box::new(rival),
                        joining,
                    },
                    &claim,
                    actions,
                );
            }
            _ => self.enter(now, Some((whole, 0)), actions),
        }
    }

    /// Takes part from now on: above the generation that the name had, if it had one.
    pub(super) fn enter(
        &mut self,
        now: Micros,
        found: Option<(Whole, u64)>,
        actions: &mut Vec<Action>,
    ) {
        if self.phase != Phase::Joining {
            return;
        }
        let (whole, last) = found.map_or((None, 0), |(whole, last)| (Some(whole), last));
        let known = whole
            .iter()
            .flat_map(|whole| &whole.records)
            .filter(|record| record.name == self.me.name);
        let last = known
            .map(|record| record.generation)
            .max()
            .unwrap_or(0)
            .max(last);
        if last >= self.me.generation {
            self.me.generation = last.saturating_add(1);
            let _ = self
                .foca
                .change_identity(self.me.clone(), &mut self.collector);
        }
        self.record.generation = self.me.generation;
        self.phase = Phase::In;
        self.dirty = true;
        if let Some(whole) = whole {
            self.take(now, &whole, false);
            let _ = self
                .foca
                .announce(whole.from.identity(), &mut self.collector);
            actions.push(Action::Tell(Change::Joined {
                members: self.foca.num_members() + 1,
            }));
        }
        self.spread_record();
    }

    pub(super) fn spread_record(&mut self) {
        let _ = self
            .foca
            .add_broadcast(&Item::Record(self.record.clone()).encode());
        self.dirty = true;
    }

    /// Takes another's whole view in. One that it calls failed is a suspect here, as it may know better itself.
    fn take(&mut self, now: Micros, whole: &Whole, spread: bool) {
        if whole.from.name == self.me.name {
            return;
        }
        let room = self.settings.most_members;
        for record in whole.records.iter().take(room) {
            // One's own record is one's own to write.
            if record.process != self.me.process {
                self.board.merge(record);
            }
        }
        let left = |identity: &Identity| {
            whole
                .records
                .iter()
                .any(|record| record.is_of(identity) && record.left)
        };
        let mut members = Vec::new();
        for row in whole
            .rows
            .iter()
            .filter(|row| row.identity.addr.port() != 0)
            .take(room)
        {
            let state = match row.state {
                _ if row.identity == self.me && row.state == RowState::Down => State::Down,
                _ if row.identity.name == self.me.name => continue,
                RowState::Alive => State::Alive,
                RowState::Suspect => State::Suspect,
                RowState::Down if left(&row.identity) => State::Down,
                RowState::Down if self.view.has(&row.identity.name) => State::Suspect,
                RowState::Down => State::Down,
            };
            members.push(Member::new(row.identity.clone(), row.incarnation, state));
        }
        let _ = self
            .foca
            .apply_many(members.into_iter(), spread, &mut self.collector);
        self.quorum.heard(now);
        if self.view.has(&whole.from.name) {
            self.digests.heard(now, &whole.from.name, whole.digest);
        }
        self.dirty = true;
    }

    /// Both views as they were, then one taken into the other.
    fn compare(&mut self, now: Micros, name: &Name, whole: &Whole, actions: &mut Vec<Action>) {
        let theirs = self.view_of(now, whole);
        let names = self.view.differences(&theirs, MOST_NAMES);
        let settle = micros(self.settings.settle);
        let lasting = self
            .digests
            .differing(now, settle)
            .any(|(peer, ..)| peer == name);
        if lasting && !names.is_empty() {
            actions.push(Action::Tell(Change::Differs(name.clone(), names.clone())));
        }
        self.take(now, whole, true);
        self.digests.found(name, names);
    }

    fn view_of(&self, now: Micros, whole: &Whole) -> View {
        let board = Board::new(self.settings.most_members, 0);
        board.merge(&whole.from);
        whole.records.iter().for_each(|record| {
            board.merge(record);
        });
        let rows = whole.rows.iter().map(|row| {
            let state = match row.state {
                RowState::Alive => State::Alive,
                RowState::Suspect => State::Suspect,
                RowState::Down => State::Down,
            };
            (row.identity.clone(), row.incarnation, state)
        });
        let mut view = View::default();
        view.refresh(now, rows, &board, &mut Vec::new());
        view
    }

    /// Another life of this name was seen: is it a process that lives?
    pub(super) fn meet_rival(&mut self, rival: &Identity, actions: &mut Vec<Action>) {
        if rival.process == self.me.process
            || rival.addr == self.me.addr
            || self.phase == Phase::Joining
        {
            return;
        }
        let out = |purpose: &Purpose| matches!(purpose, Purpose::Claim { rival: r, .. } if r.process == rival.process);
        if self.refused.contains(&rival.process) {
            // Known and refused; it may have been louder than this agent until now.
            if rival.generation >= self.me.generation {
                self.rise(rival.generation, actions);
            }
        } else if !self.calls.values().any(out) {
            let claim = Stream::Claim(self.record.clone());
            let purpose = Purpose::Claim {
                rival: Box::new(rival.clone()),
                joining: None,
            };
            self.call(rival.addr, purpose, &claim, actions);
        }
    }

    /// A live process of this name: the older start keeps it. Both sides come to the same.
    fn judge_rival(&mut self, rival: &Record, actions: &mut Vec<Action>) {
        if (rival.started_ms, rival.process) < (self.record.started_ms, self.record.process) {
            self.phase = Phase::Over;
            actions.push(Action::Refused(Box::new(rival.clone())));
            return;
        }
        if !self.refused.contains(&rival.process) {
            if self.refused.len() >= MOST_REFUSED {
                self.refused.remove(0);
            }
            self.refused.push(rival.process);
            actions.push(Action::Tell(Change::RivalRefused(Box::new(rival.clone()))));
        }
        if rival.generation >= self.me.generation {
            self.rise(rival.generation, actions);
        }
    }

    /// Goes on under a generation above that one.
    pub(super) fn rise(&mut self, above: u64, actions: &mut Vec<Action>) {
        let generation = above.max(self.me.generation).saturating_add(1);
        let identity = Identity {
            generation,
            ..self.me.clone()
        };
        if self
            .foca
            .change_identity(identity.clone(), &mut self.collector)
            .is_ok()
        {
            self.renewed(identity, actions);
        }
    }

    /// This agent's identity is a new one, so its record is.
    pub(super) fn renewed(&mut self, identity: Identity, actions: &mut Vec<Action>) {
        let generation = identity.generation;
        self.me = identity;
        self.incarnation = 0;
        if self.refused.is_empty() {
            // Others hold its record, which may lag behind the generation: SWIM's own update brings them that. A region
            // that comes back would tell all its records else.
            self.renew_record();
            self.board.merge(&self.record);
        } else {
            self.publish();
        }
        // One that leaves is told so by those who have taken it down from their lists: nothing that staff need to know.
        if !matches!(self.phase, Phase::Leaving { .. }) {
            actions.push(Action::Tell(Change::Rejoined(generation)));
        }
    }
}
