//! Owns the agents of a play and the time: who runs, who is paused, who reaches whom, and what is due when.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use control_plane::consensus::{PersistedState, VoterId, WriteBatch};
use control_plane::coordinator::{
    bootstrap, voter_id, CommandRequest, CommandResult, Coordinator, CoordinatorConfig,
    CoordinatorEvent, FleetUpdate, Member, PersistedVoter,
};
use control_plane::lease::{LeaseSettings, ReplicatedState, Role, StaleToken};
use control_plane::membership::Name;
use control_plane::Micros;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

use super::check::{Act, History, Op, Step};
use super::replica::{process, Seat, Store};
use super::InjectedBug;
use crate::sim::queue::Queue;

/// Clocks run slow or fast by up to this part.
const DRIFT: f64 = 0.1;
/// Agents without a vote.
const CLIENTS: usize = 2;
/// Members present are looked at this often.
const LOOK: Micros = 200_000;
/// One that is paused counts as present for so long.
const NOTICED: Micros = 1_500_000;

/// What happens at a time.
pub(super) enum Due {
    Message {
        to: usize,
        bytes: Vec<u8>,
    },
    Synced {
        seat: usize,
        life: u64,
        number: u64,
        save: WriteBatch,
    },
    NotSynced {
        seat: usize,
        life: u64,
    },
    Wake {
        seat: usize,
        life: u64,
    },
    Look {
        seat: usize,
        life: u64,
    },
    Act {
        from: usize,
        call: u64,
        to: usize,
        act: FleetUpdate,
    },
    Acted {
        seat: usize,
        call: u64,
        answer: Option<Result<(), StaleToken>>,
    },
    Request {
        from: usize,
        call: u64,
        to: usize,
        request: CommandRequest,
    },
    Replied {
        seat: usize,
        call: u64,
        answer: Option<CommandResult>,
    },
    Restart(usize),
    Resume(usize),
    Rejoin(u64),
    Lossless(u64),
}

/// A call from agent to agent that has no answer yet.
pub(super) enum Call {
    Act { life: u64, to: Name, version: u64 },
    Ask { life: u64, ask: u64 },
}

/// Who is to get an answer of a desk's.
pub(super) enum Asker {
    Staff(u64),
    /// Staff that replace the voter of a seat, which has that store.
    Replace(usize, VoterId),
    Agent {
        seat: usize,
        call: u64,
    },
}

/// A play under way.
pub struct World {
    pub(super) seats: Vec<Seat>,
    voters: usize,
    lease: LeaseSettings,
    pub(super) sabotage: Option<InjectedBug>,
    pub(super) now: Micros,
    pub(super) rng: Pcg64,
    pub(super) queue: Queue<Due>,
    sides: Option<Vec<bool>>,
    side_number: u64,
    pub(super) loss: f64,
    loss_number: u64,
    pub(super) number: u64,
    pub(super) calls: BTreeMap<u64, Call>,
    pub(super) askers: BTreeMap<u64, Asker>,
    pub(super) replaced: usize,
    /// Seats whose removal from the voters got a yes.
    pub(super) removed: BTreeSet<usize>,
    pub(super) history: History,
}

pub(super) fn name(seat: usize) -> Name {
    format!("v{seat}")
        .parse()
        .expect("the lab's names are names")
}

pub(super) fn seat_of(name: &Name) -> usize {
    name.as_str()[1..]
        .parse()
        .expect("the lab's names are numbers")
}

impl World {
    /// Voters that have just been set up, and agents without a vote, all started.
    pub fn new(voters: usize, seed: u64, sabotage: Option<InjectedBug>) -> World {
        World::sized(voters, CLIENTS, seed, sabotage)
    }

    /// As [`World::new`], with so many agents without a vote; 256 agents at most.
    pub fn sized(voters: usize, clients: usize, seed: u64, sabotage: Option<InjectedBug>) -> World {
        let mut rng = Pcg64::seed_from_u64(seed);
        let names: Vec<Name> = (0..voters).map(name).collect();
        let seats = (0..voters + clients).map(|seat| Seat {
            store: (seat < voters).then(|| Store {
                id: voter_id(&name(seat)),
                kept: bootstrap(&names),
                full: false,
            }),
            fence: Default::default(),
            enforced: None,
            desk: None,
            index: 0,
            busy_until: 0,
            life: 0,
            paused: None,
            offset: rng.random_range(1e6..1e9),
            rate: rng.random_range(1.0 - DRIFT..1.0 + DRIFT),
            wall: 0,
        });
        let seats = seats.collect();
        let drift = if sabotage == Some(InjectedBug::DriftIgnored) {
            0.0
        } else {
            DRIFT
        };
        let mut world = World {
            seats,
            voters,
            lease: LeaseSettings {
                duration: Duration::from_secs(1),
                drift,
            },
            sabotage,
            now: 0,
            rng,
            queue: Queue::new(),
            sides: None,
            side_number: 0,
            loss: 0.0,
            loss_number: 0,
            number: 0,
            calls: BTreeMap::new(),
            askers: BTreeMap::new(),
            replaced: 0,
            removed: BTreeSet::new(),
            history: History {
                voters,
                ..History::default()
            },
        };
        (0..world.seats.len()).for_each(|seat| world.start(seat));
        world
    }

    /// The world's time.
    pub fn now(&self) -> Micros {
        self.now
    }

    /// How many agents there are; the voters come first.
    pub fn seats(&self) -> usize {
        self.seats.len()
    }

    /// How many voters there are.
    pub fn voters(&self) -> usize {
        self.voters
    }

    /// How many were replaced.
    pub fn replaced(&self) -> usize {
        self.replaced
    }

    /// For what befalls them.
    pub fn rng(&mut self) -> &mut Pcg64 {
        &mut self.rng
    }

    /// An agent that led when it last said so, and still runs.
    pub fn leader(&self) -> Option<usize> {
        let by = self.history.led.last()?.1;
        (0..self.voters)
            .find(|&at| process(at, self.seats[at].life) == by && self.seats[at].desk.is_some())
    }

    /// An agent that may act under a duty now.
    pub fn a_holder(&self) -> Option<usize> {
        (0..self.voters).find(|&at| Role::ALL.iter().any(|duty| self.holds(at, *duty).is_some()))
    }

    pub(super) fn holds(&self, at: usize, duty: Role) -> Option<u64> {
        let seat = &self.seats[at];
        seat.desk.as_ref()?.active_token(seat.clock(self.now), duty)
    }

    /// Ends an agent without a word; it starts again after a while with what its disk holds.
    pub fn kill(&mut self, at: usize, back_after: Micros) {
        let seat = &mut self.seats[at];
        if seat.desk.take().is_some() {
            seat.paused = None;
            seat.life += 1;
            if let (Some(InjectedBug::StoreLost), Some(store)) = (self.sabotage, &mut seat.store) {
                store.kept = PersistedState::default();
            }
            self.queue.push(self.now + back_after, Due::Restart(at));
        }
    }

    /// Tells an agent to stop; it starts again a while later.
    pub fn stop(&mut self, at: usize, back_after: Micros) {
        if self.seats[at].paused.is_none() {
            self.give(at, CoordinatorEvent::Stop);
            // It is not waited for longer than staff would.
            self.queue
                .push(self.now + 4_000_000 + back_after, Due::Restart(at));
        }
    }

    /// It has handed over and goes.
    pub(super) fn stopped(&mut self, at: usize) {
        if self.seats[at].desk.take().is_some() {
            self.seats[at].life += 1;
        }
    }

    /// Stops an agent's process for a while.
    pub fn pause(&mut self, at: usize, span: Micros) {
        if self.seats[at].desk.is_some() && self.seats[at].paused.is_none() {
            self.seats[at].paused = Some((self.now, Vec::new()));
            self.queue.push(self.now + span, Due::Resume(at));
        }
    }

    /// Agents of different sides can't reach each other for a while.
    pub fn part(&mut self, sides: &[bool], span: Micros) {
        self.sides = Some(sides.to_vec());
        self.side_number += 1;
        self.queue
            .push(self.now + span, Due::Rejoin(self.side_number));
    }

    /// A part of all messages is lost for a while.
    pub fn lose(&mut self, part: f64, span: Micros) {
        self.loss = part;
        self.loss_number += 1;
        self.queue
            .push(self.now + span, Due::Lossless(self.loss_number));
    }

    /// Nothing more fits on a voter's disk until it starts again.
    pub fn fill_disk(&mut self, at: usize) {
        if let Some(store) = &mut self.seats[at].store {
            store.full = true;
        }
    }

    /// An agent's wall clock jumps.
    pub fn jump(&mut self, at: usize, by_ms: i64) {
        self.seats[at].wall += by_ms;
    }

    /// All that struck is over: every agent runs and reaches every other, and whoever should vote may.
    pub fn heal(&mut self) {
        (self.sides, self.loss) = (None, 0.0);
        for at in 0..self.seats.len() {
            if self.seats[at].desk.is_none() {
                self.start(at);
            }
            self.resume(at);
        }
        for at in 0..self.seats.len() {
            // One whose disk was full says nothing more until it starts again.
            if self.seats[at]
                .store
                .as_ref()
                .is_some_and(|store| store.full)
            {
                self.kill(at, 50_000);
            }
        }
        for _ in 0..4 {
            self.run(1_500_000);
            // One that was removed without a yes: asked again, it is known.
            let agreed = self.agreed_voters();
            for at in 0..self.voters {
                if !agreed.is_empty() && !agreed.contains(&name(at)) {
                    self.remove(at);
                }
            }
            self.run(1_500_000);
            self.join_removed();
        }
    }

    /// Lets time pass.
    pub fn run(&mut self, span: Micros) {
        let end = self.now + span;
        while self.queue.next_at().is_some_and(|at| at <= end) {
            let Some((at, due)) = self.queue.pop() else {
                break;
            };
            self.now = self.now.max(at);
            self.happen(due);
        }
        self.now = end;
    }

    /// Whether every call is answered, and all agents have the servers out that are agreed on.
    pub fn all_have_it(&self) -> bool {
        let open = self
            .askers
            .values()
            .any(|asker| matches!(asker, Asker::Staff(call) if *call > 0));
        !open && self.newest().is_some_and(|state| self.have_out(state))
    }

    /// The newest state that any agent has.
    pub(super) fn newest(&self) -> Option<&ReplicatedState> {
        let states = self
            .seats
            .iter()
            .filter_map(|seat| Some(seat.desk.as_ref()?.state()));
        states.max_by_key(|state| state.index)
    }

    fn have_out(&self, state: &ReplicatedState) -> bool {
        self.seats.iter().all(|seat| {
            seat.enforced
                .as_ref()
                .is_some_and(|act| act.cordoned == state.cordoned)
        })
    }

    /// The history, once a last call was tried.
    pub fn into_history(mut self) -> History {
        let before = self.history.steps.len();
        for _ in 0..5 {
            self.call();
            self.run(400_000);
        }
        let held = Role::ALL
            .iter()
            .filter(|duty| (0..self.voters).any(|at| self.holds(at, **duty).is_some()));
        let answered = self.history.steps[before..]
            .iter()
            .any(|step| matches!(step, Step::Done(..)));
        self.history.healthy = (held.count(), answered);
        self.run(3_000_000);
        let desks = self.seats.iter().filter_map(|seat| seat.desk.as_ref());
        let votes = desks.filter(|desk| desk.report(0).votes);
        self.history.ends = votes
            .map(|desk| (desk.state().index, desk.state().voters.len()))
            .collect();
        let Some(agreed) = self.newest().cloned() else {
            return self.history;
        };
        self.history.brought = self.have_out(&agreed);
        for server in 0..5 {
            self.number += 1;
            let (call, server) = (self.number, format!("api-{server}"));
            let found = agreed.cordoned.get(&server).map(|out| out.since_ms);
            self.history.steps.push(Step::Asked {
                call,
                server,
                op: Op::Read,
            });
            self.history.steps.push(Step::Done(call, found));
        }
        self.history
    }

    fn start(&mut self, at: usize) {
        let now = self.now;
        let voters = (0..self.voters).map(name).collect();
        let seed = self.rng.random();
        let seat = &mut self.seats[at];
        seat.life += 1;
        seat.index = 0;
        if let Some(store) = &mut seat.store {
            store.full = false;
        }
        let start = CoordinatorConfig {
            me: Member {
                name: name(at),
                process: process(at, seat.life),
                zone: format!("z{}", at % 2),
            },
            voters,
            lease: self.lease,
            tick: Duration::from_millis(50),
            election_ticks: 6,
            compact_after: 200,
            persisted: seat.store.as_ref().map(|store| PersistedVoter {
                id: store.id,
                state: store.kept.clone(),
            }),
            fencing: seat.fence.clone(),
            seed,
        };
        match Coordinator::new(start, seat.clock(now)) {
            Ok(desk) => seat.desk = Some(desk),
            // A disk that lost what it had promised: it stays away, and the others go on.
            Err(_) => {
                self.history.unsound += 1;
                return;
            }
        }
        let life = seat.life;
        self.queue.push(now + 1, Due::Wake { seat: at, life });
        self.queue.push(now + 1, Due::Look { seat: at, life });
    }

    fn resume(&mut self, at: usize) {
        let Some((_, waiting)) = self.seats[at].paused.take() else {
            return;
        };
        waiting.into_iter().for_each(|due| self.happen(due));
    }

    fn happen(&mut self, due: Due) {
        let of = match &due {
            Due::Message { to, .. } | Due::Act { to, .. } | Due::Request { to, .. } => Some(*to),
            Due::Acted { seat, .. } | Due::Replied { seat, .. } => Some(*seat),
            Due::Wake { seat, life } | Due::Look { seat, life } | Due::NotSynced { seat, life } => {
                if self.seats[*seat].life != *life {
                    return;
                }
                Some(*seat)
            }
            Due::Synced {
                seat, life, save, ..
            } => {
                if self.seats[*seat].life != *life {
                    return;
                }
                // The disk works on while the process is paused; its word waits.
                if let Some(store) = &mut self.seats[*seat].store {
                    store.kept.apply(save);
                }
                Some(*seat)
            }
            _ => None,
        };
        if let Some((_, kept)) = of.and_then(|of| self.seats[of].paused.as_mut()) {
            kept.push(due);
            return;
        }
        match due {
            Due::Message { to, bytes } => self.give(to, CoordinatorEvent::Message(bytes)),
            Due::Synced { seat, number, .. } => {
                self.give(seat, CoordinatorEvent::Persisted(number))
            }
            Due::NotSynced { seat, .. } => self.give(seat, CoordinatorEvent::PersistFailed),
            Due::Wake { seat, life } => self.wake(seat, life),
            Due::Look { seat, life } => {
                let members = (0..self.seats.len()).filter(|&other| self.is_seen(seat, other));
                let members = members.map(|other| Member {
                    name: name(other),
                    process: process(other, self.seats[other].life),
                    zone: format!("z{}", other % 2),
                });
                let members = members.collect();
                self.give(seat, CoordinatorEvent::Members(members));
                self.queue.push(self.now + LOOK, Due::Look { seat, life });
            }
            Due::Act {
                from,
                call,
                to,
                act,
            } => self.acted_on(from, call, to, act),
            Due::Acted { seat, call, answer } => self.acted(seat, call, answer),
            Due::Request {
                from,
                call,
                to,
                request,
            } => {
                if self.seats[to].desk.is_some() {
                    self.number += 1;
                    let ask = self.number;
                    self.askers.insert(ask, Asker::Agent { seat: from, call });
                    self.give(to, CoordinatorEvent::RequestReceived { call: ask, request });
                }
            }
            Due::Replied { seat, call, answer } => self.replied(seat, call, answer),
            Due::Restart(at) if self.seats[at].desk.is_none() => self.start(at),
            Due::Resume(at) => self.resume(at),
            Due::Rejoin(number) if number == self.side_number => self.sides = None,
            Due::Lossless(number) if number == self.loss_number => self.loss = 0.0,
            Due::Restart(_) | Due::Rejoin(_) | Due::Lossless(_) => {}
        }
    }

    fn wake(&mut self, at: usize, life: u64) {
        for duty in Role::ALL {
            if let Some(token) = self.holds(at, duty) {
                let act = Act {
                    at: self.now,
                    duty,
                    token,
                    by: process(at, life),
                };
                self.history.decided.push(act);
            }
        }
        let wall_ms = self.seats[at].wall_ms(self.now);
        self.give(at, CoordinatorEvent::Wake { wall_ms });
        let seat = &self.seats[at];
        if let Some(desk) = &seat.desk {
            let next = seat
                .true_at(desk.next_wake())
                .clamp(self.now + 1, self.now + LOOK);
            self.queue.push(next, Due::Wake { seat: at, life });
        }
    }

    pub(super) fn reaches(&self, from: usize, to: usize) -> bool {
        self.sides
            .as_ref()
            .is_none_or(|sides| sides[from] == sides[to])
    }

    fn is_seen(&self, by: usize, other: usize) -> bool {
        let seat = &self.seats[other];
        let awake = seat
            .paused
            .as_ref()
            .is_none_or(|(since, _)| self.now < since + NOTICED);
        seat.desk.is_some() && awake && self.reaches(by, other)
    }
}
