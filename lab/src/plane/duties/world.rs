//! Owns the voters of a play: their clocks, disks and lives, the links between them, and the target of their acts.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use woodgap_fleet::agreement::{Action, Event, Kept, Save, Settings, Voter, VoterId};
use woodgap_fleet::duty::{
    Candidate, Command, CommandId, Duty, Fence, Holder, Keeper, Lease, Out, Outcome, State, What, DUTIES,
};
use woodgap_fleet::Micros;

use super::check::{Act, Call, History};
use super::Sabotage;
use crate::sim::queue::Queue;

/// Clocks run slow or fast by up to this part.
const DRIFT: f64 = 0.1;
/// Holders act this often, by their own clock, and everything else is looked at then.
const BEAT: Micros = 50_000;
/// A sync takes up to this long.
const SYNC: Micros = 8_000;
/// An act may be on its way for up to this long, now and then.
const LATE: Micros = 3_000_000;

enum Due {
    Message { to: usize, bytes: Vec<u8> },
    Synced { voter: usize, life: u64, number: u64, save: Save },
    Wake { voter: usize, life: u64 },
    Beat { voter: usize, life: u64 },
    Restart(usize),
    Resume(usize),
    Act(Act),
    Rejoin(u64),
    Lossless(u64),
}

struct Running {
    voter: Voter,
    state: State,
    holder: Holder,
    keeper: Keeper,
    number: u64,
}

struct Seat {
    id: VoterId,
    /// What its disk holds for good.
    disk: Kept,
    running: Option<Running>,
    life: u64,
    paused: Option<Vec<Due>>,
    /// Its clock: where it stood at the world's zero, and its pace.
    offset: f64,
    rate: f64,
}

impl Seat {
    fn clock(&self, now: Micros) -> Micros {
        (self.offset + now as f64 * self.rate) as Micros
    }

    /// The world's time at which its clock shows `at`, or just after.
    fn true_at(&self, at: Micros) -> Micros {
        ((at as f64 - self.offset) / self.rate).max(0.0) as Micros + 1
    }
}

/// A play under way.
pub struct World {
    seats: Vec<Seat>,
    lease: Lease,
    sabotage: Option<Sabotage>,
    now: Micros,
    rng: Pcg64,
    queue: Queue<Due>,
    sides: Option<Vec<bool>>,
    side_number: u64,
    loss: f64,
    loss_number: u64,
    fence: Fence,
    calls: u64,
    pending: BTreeMap<CommandId, usize>,
    history: History,
}

fn name(seat: usize) -> woodgap_fleet::membership::Name {
    format!("v{seat}").parse().expect("the lab's names are names")
}

impl World {
    /// Voters that have just been set up, all started.
    pub fn new(voters: usize, seed: u64, sabotage: Option<Sabotage>) -> World {
        let mut rng = Pcg64::seed_from_u64(seed);
        let seats = (0..voters).map(|seat| Seat {
            id: seat as u64 + 1,
            disk: Kept::default(),
            running: None,
            life: 0,
            paused: None,
            offset: rng.random_range(1e6..1e9),
            rate: rng.random_range(1.0 - DRIFT..1.0 + DRIFT),
        });
        let seats = seats.collect();
        let drift = if sabotage == Some(Sabotage::DriftIgnored) { 0.0 } else { DRIFT };
        let mut world = World {
            seats,
            lease: Lease { span: Duration::from_secs(1), drift },
            sabotage,
            now: 0,
            rng,
            queue: Queue::new(),
            sides: None,
            side_number: 0,
            loss: 0.0,
            loss_number: 0,
            fence: Fence::default(),
            calls: 0,
            pending: BTreeMap::new(),
            history: History::default(),
        };
        (0..voters).for_each(|seat| world.start(seat));
        world
    }

    /// The world's time.
    pub fn now(&self) -> Micros {
        self.now
    }

    /// How many voters there are.
    pub fn voters(&self) -> usize {
        self.seats.len()
    }

    /// For what befalls them.
    pub fn rng(&mut self) -> &mut Pcg64 {
        &mut self.rng
    }

    /// A voter that leads, by its own word.
    pub fn leader(&self) -> Option<usize> {
        (0..self.seats.len())
            .find(|&at| self.seats[at].running.as_ref().is_some_and(|r| r.voter.leads().is_some()))
    }

    /// A voter that may act under a duty now.
    pub fn a_holder(&self) -> Option<usize> {
        (0..self.seats.len()).find(|&at| DUTIES.iter().any(|duty| self.holds(at, *duty).is_some()))
    }

    fn holds(&self, at: usize, duty: Duty) -> Option<u64> {
        let seat = &self.seats[at];
        seat.running.as_ref()?.holder.may_act(seat.clock(self.now), duty)
    }

    /// Ends a voter without a word; it starts again after a while with what its disk holds.
    pub fn kill(&mut self, at: usize, back_after: Micros) {
        let seat = &mut self.seats[at];
        if seat.running.take().is_some() {
            seat.paused = None;
            seat.life += 1;
            self.queue.push(self.now + back_after, Due::Restart(at));
        }
    }

    /// Stops a voter's process for a while.
    pub fn pause(&mut self, at: usize, span: Micros) {
        if self.seats[at].running.is_some() && self.seats[at].paused.is_none() {
            self.seats[at].paused = Some(Vec::new());
            self.queue.push(self.now + span, Due::Resume(at));
        }
    }

    /// Voters of different sides can't reach each other for a while.
    pub fn part(&mut self, sides: &[bool], span: Micros) {
        self.sides = Some(sides.to_vec());
        self.side_number += 1;
        self.queue.push(self.now + span, Due::Rejoin(self.side_number));
    }

    /// A part of all messages is lost for a while.
    pub fn lose(&mut self, part: f64, span: Micros) {
        self.loss = part;
        self.loss_number += 1;
        self.queue.push(self.now + span, Due::Lossless(self.loss_number));
    }

    /// Staff take a server out or put it back, at any voter that runs.
    pub fn call(&mut self) {
        let at = self.rng.random_range(0..self.seats.len());
        if self.seats[at].running.is_none() || self.seats[at].paused.is_some() {
            return;
        }
        self.calls += 1;
        let id = CommandId(u64::MAX, self.calls);
        let server = format!("api-{}", self.rng.random_range(0..5));
        let what = if self.rng.random() {
            let out = Out { who: "lab".into(), why: String::new(), since_ms: self.calls, until_ms: None };
            What::Out { server, out }
        } else {
            What::Back { server }
        };
        self.pending.insert(id, at);
        self.history.calls.push(Call { id, answered: None });
        self.propose(at, Command { id, what });
    }

    /// All that struck is over: every voter runs and reaches every other.
    pub fn heal(&mut self) {
        (self.sides, self.loss) = (None, 0.0);
        for at in 0..self.seats.len() {
            if self.seats[at].running.is_none() {
                self.start(at);
            }
            self.resume(at);
        }
    }

    /// Lets time pass.
    pub fn run(&mut self, span: Micros) {
        let end = self.now + span;
        while self.queue.next_at().is_some_and(|at| at <= end) {
            let Some((at, due)) = self.queue.pop() else { break };
            self.now = self.now.max(at);
            self.happen(due);
        }
        self.now = end;
    }

    /// The history, once a last call was tried.
    pub fn into_history(mut self) -> History {
        for _ in 0..5 {
            self.call();
            self.run(300_000);
        }
        let held =
            DUTIES.iter().filter(|duty| (0..self.seats.len()).any(|at| self.holds(at, **duty).is_some()));
        let last = self.history.calls.iter().rev().take(5).any(|call| call.answered.is_some());
        self.history.healthy = (held.count(), last);
        // What is on its way still comes.
        self.run(1_000_000);
        // Renewals go on all the time: the states are compared at the last place that all have.
        let reached = self.seats.iter().filter_map(|seat| seat.running.as_ref()).map(|r| r.state.index).min();
        for _ in self.seats.iter().filter_map(|seat| seat.running.as_ref()) {
            let mut state = State::default();
            for (index, data) in self.history.applied.range(..=reached.unwrap_or(0)) {
                state.apply(*index, data);
            }
            self.history.ends.push(state);
        }
        let mut all = State::default();
        for (index, data) in &self.history.applied {
            if let Some((command, outcome)) = all.apply(*index, data) {
                if outcome != Outcome::Repeated && command.id.0 == u64::MAX {
                    self.history.effects.push(command.id);
                }
            }
        }
        self.history.refused = self.fence.refused;
        self.history
    }

    fn start(&mut self, at: usize) {
        let voters = self.seats.iter().map(|seat| seat.id).collect();
        let seat = &mut self.seats[at];
        seat.life += 1;
        let now = seat.clock(self.now);
        let settings = Settings {
            me: seat.id,
            voters,
            tick: Duration::from_millis(50),
            election_ticks: 6,
            compact_after: 200,
        };
        let Ok(voter) = Voter::new(settings, seat.disk.clone(), self.rng.random(), now) else {
            // Only a disk that lost what it had promised: it stays away, and the others go on.
            return;
        };
        let mut state = State::default();
        if !seat.disk.snapshot.data.is_empty() {
            state = postcard::from_bytes(&seat.disk.snapshot.data).unwrap_or_default();
        }
        let process = seat.life << 8 | at as u64;
        let holder = Holder::new(name(at), process, self.lease);
        seat.running = Some(Running { voter, state, holder, keeper: Keeper::new(self.lease), number: 0 });
        let (life, wake) = (seat.life, seat.true_at(now + BEAT));
        self.queue.push(wake, Due::Wake { voter: at, life });
        self.queue.push(self.now + BEAT, Due::Beat { voter: at, life });
    }

    fn resume(&mut self, at: usize) {
        for due in self.seats[at].paused.take().unwrap_or_default() {
            self.happen(due);
        }
    }

    fn happen(&mut self, due: Due) {
        let of = match &due {
            Due::Message { to, .. } => Some(*to),
            Due::Wake { voter, life } | Due::Beat { voter, life } | Due::Synced { voter, life, .. } => {
                if self.seats[*voter].life != *life {
                    return;
                }
                Some(*voter)
            }
            _ => None,
        };
        // The disk works on while the process is paused; its word waits.
        if let Due::Synced { voter, save, .. } = &due {
            self.seats[*voter].disk.take(save);
        }
        if let Some(kept) = of.and_then(|of| self.seats[of].paused.as_mut()) {
            kept.push(due);
            return;
        }
        match due {
            Due::Message { to, bytes } => self.give(to, Event::Message(bytes)),
            Due::Synced { voter, number, .. } => self.give(voter, Event::Saved(number)),
            Due::Wake { voter, life } => {
                self.give(voter, Event::Wake);
                let seat = &self.seats[voter];
                let next = seat.running.as_ref().map(|running| seat.true_at(running.voter.next_wake()));
                self.queue.push(next.unwrap_or(self.now).max(self.now + 1), Due::Wake { voter, life });
            }
            Due::Beat { voter, life } => {
                self.beat(voter);
                self.queue.push(self.now + BEAT, Due::Beat { voter, life });
            }
            Due::Restart(at) if self.seats[at].running.is_none() => self.start(at),
            Due::Resume(at) => self.resume(at),
            Due::Act(act) => self.act(act),
            Due::Rejoin(number) if number == self.side_number => self.sides = None,
            Due::Lossless(number) if number == self.loss_number => self.loss = 0.0,
            Due::Restart(_) | Due::Rejoin(_) | Due::Lossless(_) => {}
        }
    }

    /// What a process does by itself: acts, asks for its leases, gives duties on.
    fn beat(&mut self, at: usize) {
        let candidates: Vec<Candidate> = (0..self.seats.len())
            .filter(|&other| self.reaches(at, other) && self.seats[other].running.is_some())
            .map(|other| Candidate {
                name: name(other),
                process: self.seats[other].life << 8 | other as u64,
                zone: format!("z{}", other % 2),
            })
            .collect();
        let now = self.seats[at].clock(self.now);
        for duty in DUTIES {
            if let Some(token) = self.holds(at, duty) {
                let act = Act { decided: self.now, duty, token, by: at };
                self.history.decided.push(act);
                let late = self.rng.random::<f64>() < 0.05;
                let after =
                    if late { self.rng.random_range(0..LATE) } else { self.rng.random_range(200..2_000) };
                self.queue.push(self.now + after, Due::Act(act));
            }
        }
        let Some(running) = &mut self.seats[at].running else { return };
        let leads = running.voter.leads();
        running.keeper.leads(now, leads.is_some());
        let mut wanted = Vec::new();
        if leads.is_some() {
            wanted.extend(running.keeper.give(now, &running.state, &candidates));
        }
        if now >= running.holder.next_ask() {
            running.number += 1;
            wanted.extend(running.holder.ask(now, &running.state, running.number));
        }
        let process = self.seats[at].life << 8 | at as u64;
        for what in wanted {
            let Some(running) = &mut self.seats[at].running else { return };
            if !matches!(what, What::Renew(_)) {
                running.number += 1;
            }
            let id = CommandId(process, running.number);
            self.propose(at, Command { id, what });
        }
        if let Some(term) = leads {
            if self.history.led.last() != Some(&(term, at)) {
                self.history.led.push((term, at));
            }
        }
    }

    fn propose(&mut self, at: usize, command: Command) {
        let bytes = postcard::to_stdvec(&command).unwrap_or_default();
        self.give(at, Event::Propose(bytes));
    }

    fn act(&mut self, act: Act) {
        let passes = self.fence.admit(act.duty, act.token).is_ok();
        if passes || self.sabotage == Some(Sabotage::FenceOff) {
            self.history.accepted.push(act);
        }
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        self.sides.as_ref().is_none_or(|sides| sides[from] == sides[to])
    }

    fn give(&mut self, at: usize, event: Event) {
        let now = self.seats[at].clock(self.now);
        let Some(running) = &mut self.seats[at].running else { return };
        let mut actions = Vec::new();
        running.voter.on_event(now, event, &mut actions);
        actions.into_iter().for_each(|action| self.carry_out(at, action));
    }

    fn carry_out(&mut self, at: usize, action: Action) {
        match action {
            Action::Send { to, bytes } => {
                let to = to as usize - 1;
                let lost = self.rng.random::<f64>() < self.loss;
                if self.reaches(at, to) && !lost {
                    let after = self.rng.random_range(200..3_000);
                    self.queue.push(self.now + after, Due::Message { to, bytes });
                }
            }
            Action::Save { number, save } => {
                let life = self.seats[at].life;
                let after = self.rng.random_range(100..SYNC);
                if self.sabotage == Some(Sabotage::VoteNotSynced) {
                    // It says so at once; the disk comes later, and not at all if the process dies before.
                    let late = 500_000;
                    let synced = Due::Synced { voter: at, life, number: 0, save };
                    self.queue.push(self.now + late, synced);
                    let word = Due::Synced { voter: at, life, number, save: Save::default() };
                    self.queue.push(self.now + 1, word);
                } else {
                    self.queue.push(self.now + after, Due::Synced { voter: at, life, number, save });
                }
            }
            Action::Apply(item) => self.apply(at, item.index, &item.data),
            Action::Restore(snapshot) => {
                let now = self.seats[at].clock(self.now);
                if let Some(running) = &mut self.seats[at].running {
                    running.state = postcard::from_bytes(&snapshot.data).unwrap_or_default();
                    running.keeper.applied(now, &running.state);
                }
            }
            Action::Compact => {
                let Some(running) = &self.seats[at].running else { return };
                let (index, data) =
                    (running.state.index, postcard::to_stdvec(&running.state).unwrap_or_default());
                self.give(at, Event::Snapshot { index, data });
            }
            Action::Leader { .. } | Action::NotTried(_) => {}
        }
    }

    fn apply(&mut self, at: usize, index: u64, data: &[u8]) {
        let first = self.history.applied.entry(index).or_insert_with(|| data.to_vec());
        if first != data {
            self.history.forked.push(index);
        }
        let now = self.seats[at].clock(self.now);
        let Some(running) = &mut self.seats[at].running else { return };
        let Some((command, outcome)) = running.state.apply(index, data) else { return };
        running.keeper.applied(now, &running.state);
        running.holder.applied(&command, &outcome, &running.state);
        if self.pending.get(&command.id) == Some(&at) {
            self.pending.remove(&command.id);
            let call = self.history.calls.iter_mut().find(|call| call.id == command.id);
            call.into_iter().for_each(|call| call.answered = Some(self.now));
        }
    }
}
