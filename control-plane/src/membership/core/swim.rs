//! Drives foca: its datagrams, timers and notes, with Lifeguard's delays round them.

use foca::{Member, State, Timer};

use super::*;
use crate::membership::board::Accusation;
use crate::membership::foca_port::{Kind, Note, RESERVE};
use crate::membership::message::Fault;
use crate::membership::suspicion::Suspicion;
use crate::membership::view::Presence;

/// Without suspects SWIM's state is looked through once in so many probe intervals.
const QUIET_TICKS: u64 = 10;
/// What others know already is passed on this part of the usual times.
const OLD_NEWS: u8 = 3;
/// Bytes of an update, of a broadcast, and of what is round them, as a rule: a gossip is weighed by them.
const UPDATE: usize = 40;
const BROADCAST: usize = 100;
const ROUND_NEWS: usize = 140;

impl Membership {
    pub(super) fn datagram(&mut self, now: Micros, bytes: &[u8], actions: &mut Vec<Action>) {
        self.counts.datagrams_in += 1;
        self.counts.bytes_in += bytes.len() as u64;
        let datagram = match Datagram::decode(bytes, self.fleet, self.settings.formats) {
            Ok(datagram) => datagram,
            Err(fault) => return self.counts.drop(fault),
        };
        if !datagram.item.is_empty() {
            // Broken ones are dropped by the board.
            let _ = self.foca.add_broadcast(datagram.item);
        }
        if self.phase != Phase::Joining {
            self.word(datagram.word, actions);
        }
        if datagram.payload.is_empty() {
            return;
        }
        if self.phase == Phase::Joining || self.is_full_for(datagram.payload) {
            return self.counts.drop(Fault::Refused);
        }
        let before = self.collector.notes.len();
        if self
            .foca
            .handle_data(datagram.payload, &mut self.collector)
            .is_err()
        {
            self.counts.drop(Fault::Refused);
        }
        let digest = datagram.digest;
        let from = self.collector.notes[before..]
            .iter()
            .find_map(|note| match note {
                Note::Received { from, .. } => Some(from.name.clone()),
                _ => None,
            });
        if let Some(name) = from.filter(|name| self.view.has(name)) {
            self.quorum.heard(now);
            self.digests.heard(now, &name, digest);
        }
    }

    fn word(&mut self, word: Word, actions: &mut Vec<Action>) {
        match word {
            Word::None => {}
            Word::Agreed(bytes) => actions.push(Action::Pass {
                conn: None,
                stream: Box::new(Stream::Agreed(bytes)),
            }),
            // Only of this life.
            Word::Accused {
                generation,
                incarnation,
                answer,
            } if generation == self.me.generation => {
                // foca refutes, unless a higher incarnation has done so already.
                if incarnation >= self.incarnation {
                    self.health.worse(1);
                    self.apply(Member::new(self.me.clone(), incarnation, State::Suspect));
                }
                self.askers.extend(answer);
            }
            Word::Accused { .. } => {}
            Word::Alive {
                identity,
                incarnation,
            } if identity.name != self.me.name => {
                self.apply(Member::new(identity, incarnation, State::Alive));
            }
            Word::Alive { .. } => {}
        }
    }

    fn apply(&mut self, member: Member<Identity>) {
        // foca passes over what is older than what it knows.
        let _ = self
            .foca
            .apply_many(std::iter::once(member), true, &mut self.collector);
        self.dirty = true;
    }

    /// A stranger's datagram while there is no place for one more.
    fn is_full_for(&self, payload: &[u8]) -> bool {
        self.foca.iter_membership_state().len() >= self.settings.most_members
            && postcard::take_from_bytes::<foca::Header<Identity>>(payload)
                .is_ok_and(|(header, _)| self.view.get(&header.src.name).is_none())
    }

    pub(super) fn wake(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let late = now.saturating_sub(self.promised);
        let interval = micros(self.settings.probe_interval);
        if late > interval {
            // It could not listen meanwhile: nobody may be judged by that time.
            self.timers.shift(late);
            self.health.worse((late / interval) as u32);
            self.tick_at = now;
            actions.push(Action::Tell(Change::Paused(late)));
        }
        let most = usize::try_from(self.words.left().min(self.pace.left())).unwrap_or(0) / WORD;
        let asks = self.timers.take_asks(now, most);
        let held = asks.len() >= most;
        for (to, incarnation) in asks {
            let word = Word::Accused {
                generation: to.generation,
                incarnation,
                answer: Some(self.me.addr),
            };
            self.tell(&to, word, actions);
        }
        if held {
            self.timers.hold_asks(self.word_at().max(now + 1));
        }
        let failed = self.timers.take_failed(now);
        if !failed.is_empty() {
            // Whoever shares the suspicion comes to the same by itself: it is passed on fewer times, and after what is
            // new to all.
            self.configure(self.settings.gossip_fanout, OLD_NEWS);
            for (identity, incarnation) in failed {
                self.apply(Member::new(identity, incarnation, State::Down));
            }
            self.configure(self.settings.gossip_fanout, 1);
        }
        for timer in self.timers.due(now) {
            self.fire(now, timer);
        }
        if now >= self.tick_at {
            self.tick_at = now + interval;
            self.ticks += 1;
            // foca does not tell of refutations: they are looked for while there are suspects, and now and then.
            self.dirty |= self.timers.has_suspects() || self.ticks.is_multiple_of(QUIET_TICKS);
            self.tick(now, actions);
        }
        if matches!(self.phase, Phase::Leaving { until } if now >= until) {
            let _ = self.foca.leave_cluster(&mut self.collector);
            self.settle_up(now, actions);
            self.phase = Phase::Over;
            actions.push(Action::Gone);
        }
    }

    fn fire(&mut self, now: Micros, timer: Timer<Identity>) {
        if let Timer::PeriodicGossip(_) = &timer {
            let fanout = self.affordable_gossips();
            if fanout == 0 {
                // Nothing to tell, or it has to wait: no datagrams, and it comes again.
                let next = now + micros(self.settings.gossip_interval);
                return self.timers.set(next, timer);
            }
            self.configure(fanout, 1);
        }
        // Stale threads are foca's to ignore.
        let _ = self.foca.handle_timer(timer, &mut self.collector);
    }

    /// To how many the news goes now: few long datagrams rather than many short ones, where the rate is short.
    fn affordable_gossips(&self) -> usize {
        let (updates, broadcasts) = (
            self.foca.updates_backlog(),
            self.foca.custom_broadcast_backlog(),
        );
        if updates == 0 && broadcasts == 0 {
            return 0;
        }
        let one = (ROUND_NEWS + updates * UPDATE + broadcasts * BROADCAST).min(LONGEST_DATAGRAM);
        let left = usize::try_from(self.pace.left() - RESERVE).unwrap_or(0);
        let worth = left >= one.min(self.settings.burst / 2);
        if worth {
            (left / one).clamp(1, self.settings.gossip_fanout)
        } else {
            0
        }
    }

    fn configure(&mut self, fanout: usize, part: u8) {
        let members = self.foca.num_members() + 1;
        let mut config = foca_config(&self.settings, members, fanout);
        let times = config.max_transmissions.get().div_ceil(part);
        config.max_transmissions = NonZeroU8::new(times).unwrap_or(NonZeroU8::MIN);
        let _ = self.foca.set_config(config);
    }

    /// What is done once a probe interval, whatever happens.
    fn tick(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let settle = micros(self.settings.settle);
        if self.phase != Phase::In {
            return;
        }
        if self.agreed_for(now).is_some_and(|span| span >= settle) {
            self.quorum.agree(&self.view);
        }
        if now >= self.seed_at {
            self.seed_at = now + micros(self.settings.seed_interval);
            let missing = |seed: &SocketAddr| {
                !self
                    .view
                    .present()
                    .any(|entry| entry.identity.addr == *seed)
            };
            for seed in self
                .seeds
                .iter()
                .copied()
                .filter(missing)
                .collect::<Vec<_>>()
            {
                self.call_seed(seed, actions);
            }
        }
        if now >= self.sync_at {
            self.sync_at = now + self.jittered(micros(self.settings.sync_interval));
            let others: Vec<Name> = self.others().collect();
            if !others.is_empty() && self.views.left() > 0 {
                let one = others[(self.rng.next_u64() % others.len() as u64) as usize].clone();
                self.call_sync(&one, actions);
            }
        }
        if self.views.left() > 0 {
            if let Some(name) = self.digests.ask(now, settle, &self.me.name) {
                self.call_sync(&name, actions);
            }
        }
    }

    pub(super) fn others(&self) -> impl Iterator<Item = Name> + '_ {
        self.view
            .present()
            .map(|entry| entry.identity.name.clone())
            .filter(|name| *name != self.me.name)
    }

    /// Carries out what foca wants and brings the view up to date, until nothing is left to do.
    pub(super) fn settle_up(&mut self, now: Micros, actions: &mut Vec<Action>) {
        // Each round handles what the last one caused; a handful is the most there ever is.
        for _ in 0..16 {
            let Collector {
                sends,
                timers,
                notes,
                ..
            } = self.collector.take();
            let news = self.board.take_news();
            if sends.is_empty() && timers.is_empty() && notes.is_empty() && news.is_empty() {
                break;
            }
            notes
                .into_iter()
                .for_each(|note| self.note(now, note, actions));
            timers
                .into_iter()
                .for_each(|(timer, after)| self.schedule(now, timer, micros(after)));
            news.into_iter().for_each(|item| self.news(item, actions));
            sends
                .into_iter()
                .for_each(|(to, payload)| self.send(&to, &payload, actions));
        }
        self.say(actions);
        if self.refresh_at().is_some_and(|at| now >= at) {
            (self.dirty, self.refreshed) = (false, Some(now));
            self.refresh(now, actions);
        }
    }

    fn schedule(&mut self, now: Micros, timer: Timer<Identity>, after: Micros) {
        let doubted = after * Micros::from(self.health.factor());
        match &timer {
            Timer::ProbeRandomMember(_) | Timer::SendIndirectProbe { .. } => {
                self.timers.set(now + doubted, timer)
            }
            // Only an accuser gets this timer, and a stale one makes foca tell a live member that it is down: the
            // suspicions of the room stand in for it.
            Timer::ChangeSuspectToDown { .. } => self.dirty = true,
            _ => self.timers.set(now + after, timer),
        }
    }

    fn note(&mut self, now: Micros, note: Note, actions: &mut Vec<Action>) {
        match note {
            Note::Changed => self.dirty = true,
            Note::Rejoined(identity) => self.renewed(identity, actions),
            Note::Defunct => self.rise(self.me.generation, actions),
            Note::Received { from, kind } => {
                if from.name == self.me.name {
                    return self.meet_rival(&from, actions);
                }
                match kind {
                    Kind::Ack => {
                        self.health.better();
                        self.reach.answered(&from.name);
                    }
                    Kind::ForwardedAck => self.health.better(),
                    _ => {}
                }
            }
            Note::Sent { incarnation, kind } => {
                if incarnation > self.incarnation && self.phase != Phase::Joining {
                    self.incarnation = incarnation;
                    self.dirty = true;
                }
                // Several are asked about one probe: it counts once.
                match kind {
                    Kind::PingReq(target) if self.probing.as_ref() != Some(&target.name) => {
                        self.reach.missed(now, &target.name);
                        self.probing = Some(target.name);
                    }
                    Kind::Ping => self.probing = None,
                    _ => {}
                }
            }
            Note::ProbeFailed(identity) => self.accuse(&identity),
        }
    }

    fn accuse(&mut self, identity: &Identity) {
        let incarnation = self
            .foca
            .iter_membership_state()
            .find(|member| member.id() == identity);
        let Some(incarnation) = incarnation.map(foca::Member::incarnation) else {
            return;
        };
        let key = (identity.name.clone(), identity.generation, incarnation);
        let me = &self.me.name;
        if !self
            .timers
            .suspicion(&key)
            .is_some_and(|suspicion| suspicion.shared(me))
        {
            self.health.worse(1);
        }
        let (of, generation) = (identity.name.clone(), identity.generation);
        let accusation = Accusation {
            of,
            generation,
            incarnation,
            by: self.me.name.clone(),
        };
        let _ = self.foca.add_broadcast(&Item::Accuse(accusation).encode());
    }

    fn news(&mut self, item: Item, actions: &mut Vec<Action>) {
        match item {
            Item::Record(record)
                if record.name == self.me.name && record.process != self.me.process =>
            {
                self.meet_rival(&record.identity(), actions);
            }
            Item::Record(_) => self.dirty = true,
            Item::Accuse(Accusation {
                of,
                generation,
                incarnation,
                by,
            }) => {
                if of == self.me.name {
                    return;
                }
                if let Some(suspicion) =
                    self.timers
                        .suspicion(&(of.clone(), generation, incarnation))
                {
                    suspicion.accuse(by);
                    return;
                }
                // It came before SWIM's own word.
                if let Some(id) = self.known(&of, generation) {
                    self.apply(Member::new(id, incarnation, State::Suspect));
                }
            }
        }
    }

    /// The life that SWIM knows under a name and generation.
    fn known(&self, name: &Name, generation: u64) -> Option<Identity> {
        let mut ids = self.foca.iter_membership_state().map(Member::id);
        ids.find(|id| id.name == *name && id.generation == generation)
            .cloned()
    }

    fn send(&mut self, to: &Identity, payload: &[u8], actions: &mut Vec<Action>) {
        let generation = to.generation;
        let word = match self.timers.suspected(&to.name, generation) {
            Some(incarnation) => Word::Accused {
                generation,
                incarnation,
                answer: None,
            },
            None => Word::None,
        };
        let datagram = Datagram {
            digest: self.view.digest(),
            payload,
            item: &[],
            word,
        };
        self.post(
            to.addr,
            datagram.encode(self.format_for(to), self.fleet),
            actions,
        );
    }

    /// A word alone, to one that has a format for it.
    fn tell(&mut self, to: &Identity, word: Word, actions: &mut Vec<Action>) {
        let format = self.format_for(to);
        if format > super::super::FORMATS.least {
            let datagram = Datagram {
                digest: self.view.digest(),
                payload: &[],
                item: &[],
                word,
            };
            let bytes = datagram.encode(format, self.fleet);
            self.words.spend(bytes.len());
            self.post(to.addr, bytes, actions);
        }
    }

    /// The newest format that both read; the oldest for one that has not said.
    fn format_for(&self, to: &Identity) -> u8 {
        let theirs = self.board.format(to).unwrap_or(super::super::FORMATS.least);
        theirs.min(self.settings.formats.newest)
    }

    fn refresh(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let members = self.foca.num_members() + 1;
        self.configure(self.settings.gossip_fanout, 1);
        let me = std::iter::once((self.me.clone(), self.incarnation, State::Alive));
        let known = self
            .foca
            .iter_membership_state()
            .filter(|member| member.id().name != self.me.name);
        let known = known.map(|member| (member.id().clone(), member.incarnation(), member.state()));
        let mut changes = Vec::new();
        self.view
            .refresh(now, me.chain(known), &self.board, &mut changes);
        let spans = self.settings.suspicion(members);
        // Beside suspect, accuser and this agent's own voice there may be none to confirm it.
        let confirmations = self
            .settings
            .suspicion_confirmations
            .min(members.saturating_sub(3));
        let suspects = self
            .view
            .entries()
            .filter(|entry| entry.presence == Presence::Suspect);
        let suspects = suspects.map(|entry| (entry.identity.clone(), entry.incarnation));
        let board = &self.board;
        self.timers.set_suspects(suspects, |key| {
            Suspicion::new(now, spans, confirmations, board.accusers(key).into_iter())
        });
        let (view, me) = (&self.view, &self.me.name);
        if !changes.is_empty() {
            self.digests
                .retain(now, |name| name != me && view.has(name));
            self.board.retain(|name| view.get(name).is_some());
            self.reach.retain(|name| view.has(name));
            self.quorum.leave(view);
        }
        self.digests.set_mine(now, view.digest());
        actions.extend(changes.into_iter().map(Action::Tell));
    }
}
