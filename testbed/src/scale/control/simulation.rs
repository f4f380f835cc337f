//! Owns the control machines and the agents round them in virtual time, without faults: the agent's own desks with their
//! clocks, disks that take a while, ways between regions, and the bounds of the agent's own listening socket. It decides
//! nothing for them, and meters what each sends and how long its decisions take.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use control_plane::coordinator::{
    bootstrap, voter_id, CommandRequest, CommandResult, Coordinator, CoordinatorAction,
    CoordinatorConfig, CoordinatorEvent, Member, OperatorCommand, PersistedVoter,
    FORWARDED_COMMAND_TIMEOUT,
};
use control_plane::lease::{Alarm, Cordon, LeaseSettings, RaisedAlarm, Role};
use control_plane::membership::{
    fleet_id, CallMessage, Datagram, Name, PiggybackedMessage, MAX_DATAGRAM_BYTES,
    SUPPORTED_FORMATS,
};
use control_plane::runtime::{LISTEN_BACKLOG, MAX_CALLERS};
use control_plane::Micros;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

use super::super::target;
use crate::agent_harness::virtual_time::Links;
use crate::sim::queue::Queue;

/// The windows of an agent's file that names none.
const TICK: Duration = Duration::from_millis(100);
const ELECTION_TICKS: usize = 10;
/// As the agent's host has it.
const COMPACT_AFTER: u64 = 2_000;
/// One way inside a region.
const NEAR: Micros = (target::BETWEEN_ZONES_MS * 500.0) as Micros;
/// A synced write, where none is said.
pub const SYNC: Micros = 2_000;

/// How far agents are from each other.
#[derive(Clone, Copy, Debug)]
pub enum Trips {
    /// Every two agents have this round trip.
    Same(Micros),
    /// They lie over the target's regions in turn; each two regions have a round trip of their own, 5 to 250 ms.
    Regions,
}

impl Trips {
    /// One way from an agent to another.
    pub fn way(self, from: usize, to: usize) -> Micros {
        let links = || Links {
            regions: target::REGIONS,
            ..Links::default()
        };
        match self {
            _ if from == to => 0,
            Trips::Same(trip) => trip / 2,
            Trips::Regions => links().region_delay(from, to).max(NEAR),
        }
    }
}

/// What an agent sent, and what its decisions took.
#[derive(Clone, Copy, Debug, Default)]
pub struct Meter {
    /// Time of a core in the desk, and of that what its beats took.
    pub core: Duration,
    /// See [`core`](Self::core).
    pub beats: Duration,
    /// Messages between voters, and their bytes as datagrams or, where they are too long, calls.
    pub letters: u64,
    /// See [`letters`](Self::letters).
    pub letter_bytes: u64,
    /// Calls made, and the bytes of calls made and answers given.
    pub calls: u64,
    /// See [`calls`](Self::calls).
    pub call_bytes: u64,
    /// Calls that came, whether they found a place or not.
    pub called: u64,
}

/// An ask of staff's that has its answer.
#[derive(Clone, Debug)]
pub struct Answered {
    /// At which agent.
    pub at: usize,
    /// When it was asked.
    pub asked: Micros,
    /// And answered.
    pub answered: Micros,
    /// How.
    pub answer: CommandResult,
}

enum Wanted {
    Ask(CommandRequest),
    Act(control_plane::coordinator::FleetUpdate),
}

/// What an answer comes back to.
#[derive(Clone, Debug)]
enum Back {
    Ask(u64),
    Act(Name, u64),
}

enum Reply {
    Told(CommandResult),
    Acted(Result<(), control_plane::lease::StaleToken>),
}

enum Due {
    Letter {
        to: usize,
        bytes: Vec<u8>,
    },
    Synced {
        seat: usize,
        number: u64,
    },
    Wake(usize),
    Called {
        to: usize,
        call: u64,
        wanted: Wanted,
    },
    Leaves(u64),
    Replied {
        call: u64,
        reply: Reply,
    },
    Unanswered(u64),
}

struct Seat {
    desk: Option<Coordinator>,
    offset: Micros,
    busy_until: Micros,
    /// Calls that are served, and those that wait.
    served: usize,
    waiting: VecDeque<(u64, Wanted)>,
    meter: Meter,
    /// The version of the servers out that was enforced here.
    version: u64,
}

/// The machines and the agents. The voters come first.
pub struct Site {
    seats: Vec<Seat>,
    voters: usize,
    trips: Trips,
    sync: Micros,
    now: Micros,
    queue: Queue<Due>,
    number: u64,
    /// Calls without an answer: who called, and for what.
    calls: BTreeMap<u64, (usize, Back)>,
    /// Calls that hold a place, and where.
    places: BTreeMap<u64, usize>,
    /// Asks of staff's: where and when.
    staff: BTreeMap<u64, (usize, Micros)>,
    answered: Vec<Answered>,
    /// Who said that it leads, and when.
    pub led: Vec<(Micros, usize)>,
    /// Calls that found no place, and the most that waited at one agent.
    pub turned_away: u64,
    /// See [`turned_away`](Self::turned_away).
    pub most_waiting: usize,
}

fn name(seat: usize) -> Name {
    format!("a{seat}")
        .parse()
        .expect("the lab's names are names")
}

fn seat_of(name: &Name) -> usize {
    name.as_str()[1..]
        .parse()
        .expect("the lab's names are numbers")
}

fn member(seat: usize) -> Member {
    Member {
        name: name(seat),
        process: seat as u64 + 1,
        zone: format!("z{}", seat % target::ZONES),
    }
}

impl Site {
    /// Voters that have just been founded, and so many agents in all, started.
    pub fn new(voters: usize, agents: usize, trips: Trips, sync: Micros, seed: u64) -> Site {
        let mut rng = Pcg64::seed_from_u64(seed);
        let names: Vec<Name> = (0..voters).map(name).collect();
        let agents = agents.max(voters);
        let mut seats = Vec::new();
        for seat in 0..agents {
            let offset = rng.random_range(1_000_000..1_000_000_000);
            let start = CoordinatorConfig {
                me: member(seat),
                voters: names.clone(),
                lease: LeaseSettings::default(),
                tick: TICK,
                election_ticks: ELECTION_TICKS,
                compact_after: COMPACT_AFTER,
                persisted: (seat < voters).then(|| PersistedVoter {
                    id: voter_id(&names[seat]),
                    state: bootstrap(&names),
                }),
                fencing: Default::default(),
                seed: rng.random(),
            };
            let desk = Coordinator::new(start, offset).expect("what was just bootstrap is sound");
            seats.push(Seat {
                desk: Some(desk),
                offset,
                busy_until: 0,
                served: 0,
                waiting: VecDeque::new(),
                meter: Meter::default(),
                version: 0,
            });
        }
        let mut site = Site {
            seats,
            voters,
            trips,
            sync,
            now: 0,
            queue: Queue::new(),
            number: 0,
            calls: BTreeMap::new(),
            places: BTreeMap::new(),
            staff: BTreeMap::new(),
            answered: Vec::new(),
            led: Vec::new(),
            turned_away: 0,
            most_waiting: 0,
        };
        let all: Vec<Member> = (0..agents).map(member).collect();
        for seat in 0..agents {
            // A desk without a vote looks for voters alone among the members.
            let seen = if seat < voters { agents } else { voters };
            site.give(seat, CoordinatorEvent::Members(all[..seen].to_vec()));
            site.queue
                .push(rng.random_range(1..50_000), Due::Wake(seat));
        }
        site
    }

    /// The time.
    pub fn now(&self) -> Micros {
        self.now
    }

    /// What an agent has sent and used so far.
    pub fn meter(&self, seat: usize) -> Meter {
        self.seats[seat].meter
    }

    /// An agent's desk, while it lives.
    pub fn desk(&self, seat: usize) -> Option<&Coordinator> {
        self.seats[seat].desk.as_ref()
    }

    /// The voter that leads by its own word.
    pub fn leader(&self) -> Option<usize> {
        (0..self.voters).find(|seat| self.desk(*seat).is_some_and(Coordinator::leads))
    }

    /// The agent that may act under a duty now.
    pub fn holder(&self, duty: Role) -> Option<usize> {
        (0..self.voters).find(|&seat| {
            let clock = self.now + self.seats[seat].offset;
            self.desk(seat)
                .is_some_and(|desk| desk.active_token(clock, duty).is_some())
        })
    }

    /// Lets time pass until there is a leader and every duty is held; `false` where that does not come within a minute.
    pub fn settle(&mut self) -> bool {
        let limit = self.now + 60_000_000;
        while self.now < limit {
            self.run(50_000);
            if self.leader().is_some() && Role::ALL.iter().all(|duty| self.holder(*duty).is_some())
            {
                return true;
            }
        }
        false
    }

    /// Ends an agent without a word.
    pub fn kill(&mut self, seat: usize) {
        self.seats[seat].desk = None;
    }

    /// Staff ask an agent for something.
    pub fn ask(&mut self, seat: usize, wish: OperatorCommand) {
        self.number += 1;
        self.staff.insert(self.number, (seat, self.now));
        let ask = self.number;
        self.give(
            seat,
            CoordinatorEvent::CommandReceived {
                call: ask,
                command: wish,
            },
        );
    }

    /// What the holder of the watch sees from now on.
    pub fn observe(&mut self, seat: usize, alarms: BTreeMap<Alarm, RaisedAlarm>) {
        self.give(seat, CoordinatorEvent::AlarmsObserved(alarms));
    }

    /// Whether so many agents have enforced a version, or a later one.
    pub fn enforced(&self, version: u64) -> usize {
        self.seats
            .iter()
            .filter(|seat| seat.version >= version)
            .count()
    }

    /// Answers that came since the last look.
    pub fn answers(&mut self) -> Vec<Answered> {
        std::mem::take(&mut self.answered)
    }

    /// Lets time pass.
    pub fn run(&mut self, span: Micros) {
        self.run_asking(span, |_| None);
    }

    /// Lets time pass; whoever has an answer may ask for more at once.
    pub fn run_asking(
        &mut self,
        span: Micros,
        mut again: impl FnMut(&Answered) -> Option<OperatorCommand>,
    ) {
        let end = self.now + span;
        let mut seen = self.answered.len();
        while self.queue.next_at().is_some_and(|at| at <= end) {
            let Some((at, due)) = self.queue.pop() else {
                break;
            };
            self.now = self.now.max(at);
            self.happen(due);
            while seen < self.answered.len() {
                let (seat, more) = (self.answered[seen].at, again(&self.answered[seen]));
                seen += 1;
                if let Some(wish) = more {
                    self.ask(seat, wish);
                }
            }
        }
        self.now = end;
    }

    fn happen(&mut self, due: Due) {
        match due {
            Due::Letter { to, bytes } => self.give(to, CoordinatorEvent::Message(bytes)),
            Due::Synced { seat, number } => self.give(seat, CoordinatorEvent::Persisted(number)),
            Due::Wake(seat) => {
                let wall_ms = 1_700_000_000_000 + self.now / 1_000;
                self.give(seat, CoordinatorEvent::Wake { wall_ms });
                if let Some(desk) = &self.seats[seat].desk {
                    let next = desk.next_wake().saturating_sub(self.seats[seat].offset);
                    self.queue.push(next.max(self.now + 1), Due::Wake(seat));
                }
            }
            Due::Called { to, call, wanted } => {
                let seat = &mut self.seats[to];
                seat.meter.called += 1;
                if seat.served < MAX_CALLERS {
                    self.serve(to, call, wanted);
                } else if seat.waiting.len() < LISTEN_BACKLOG {
                    seat.waiting.push_back((call, wanted));
                    self.most_waiting = self.most_waiting.max(seat.waiting.len());
                } else {
                    self.turned_away += 1;
                }
            }
            Due::Leaves(call) => self.leave(call),
            Due::Replied { call, reply } => {
                let Some((seat, back)) = self.calls.remove(&call) else {
                    return;
                };
                match (back, reply) {
                    (Back::Ask(ask), Reply::Told(answer)) => {
                        self.give(
                            seat,
                            CoordinatorEvent::ForwardCompleted {
                                call: ask,
                                result: Some(answer),
                            },
                        );
                    }
                    (Back::Act(to, version), Reply::Acted(answer)) => {
                        self.give(
                            seat,
                            CoordinatorEvent::UpdateCompleted {
                                to,
                                version,
                                result: Some(answer),
                            },
                        );
                    }
                    _ => {}
                }
            }
            Due::Unanswered(call) => match self.calls.remove(&call) {
                Some((seat, Back::Ask(ask))) => self.give(
                    seat,
                    CoordinatorEvent::ForwardCompleted {
                        call: ask,
                        result: None,
                    },
                ),
                Some((seat, Back::Act(to, version))) => {
                    self.give(
                        seat,
                        CoordinatorEvent::UpdateCompleted {
                            to,
                            version,
                            result: None,
                        },
                    );
                }
                None => {}
            },
        }
    }

    /// A call has a place: until it is answered, or for as long as the host bears with it.
    fn serve(&mut self, to: usize, call: u64, wanted: Wanted) {
        if self.seats[to].desk.is_none() {
            return;
        }
        self.seats[to].served += 1;
        self.places.insert(call, to);
        self.queue
            .push(self.now + FORWARDED_COMMAND_TIMEOUT, Due::Leaves(call));
        match wanted {
            Wanted::Ask(request) => {
                self.give(to, CoordinatorEvent::RequestReceived { call, request })
            }
            Wanted::Act(act) => {
                self.give(to, CoordinatorEvent::UpdateReceived { call, update: act })
            }
        }
    }

    fn leave(&mut self, call: u64) {
        let Some(seat) = self.places.remove(&call) else {
            return;
        };
        self.seats[seat].served -= 1;
        if let Some((call, wanted)) = self.seats[seat].waiting.pop_front() {
            self.serve(seat, call, wanted);
        }
    }

    fn call(&mut self, from: usize, to: &Name, wanted: Wanted, back: Back, bytes: usize) {
        let to = seat_of(to);
        self.number += 1;
        let call = self.number;
        self.calls.insert(call, (from, back));
        let meter = &mut self.seats[from].meter;
        meter.calls += 1;
        meter.call_bytes += bytes as u64;
        // The connection has to come up first.
        self.queue.push(
            self.now + 3 * self.trips.way(from, to),
            Due::Called { to, call, wanted },
        );
        self.queue
            .push(self.now + FORWARDED_COMMAND_TIMEOUT, Due::Unanswered(call));
    }

    fn reply(&mut self, from: usize, call: u64, after: Micros, reply: Reply, bytes: usize) {
        self.seats[from].meter.call_bytes += bytes as u64;
        if let Some((caller, _)) = self.calls.get(&call) {
            let at = self.now + after + self.trips.way(from, *caller);
            self.queue.push(at, Due::Replied { call, reply });
        }
        if after == 0 {
            self.leave(call);
        } else {
            self.queue.push(self.now + after, Due::Leaves(call));
        }
    }

    fn give(&mut self, seat: usize, event: CoordinatorEvent) {
        let clock = self.now + self.seats[seat].offset;
        let Some(desk) = &mut self.seats[seat].desk else {
            return;
        };
        let beat = matches!(event, CoordinatorEvent::Wake { .. });
        let (mut actions, began) = (Vec::new(), Instant::now());
        desk.on_event(clock, event, &mut actions);
        let (took, meter) = (began.elapsed(), &mut self.seats[seat].meter);
        meter.core += took;
        meter.beats += if beat { took } else { Duration::ZERO };
        actions
            .into_iter()
            .for_each(|action| self.carry_out(seat, action));
    }

    fn carry_out(&mut self, seat: usize, action: CoordinatorAction) {
        let fleet = fleet_id("lab");
        match action {
            CoordinatorAction::Send { to, bytes } => {
                let to = seat_of(&to);
                let meter = &mut self.seats[seat].meter;
                meter.letters += 1;
                meter.letter_bytes += letter_bytes(&bytes, fleet) as u64;
                self.queue.push(
                    self.now + self.trips.way(seat, to),
                    Due::Letter { to, bytes },
                );
            }
            CoordinatorAction::Persist { number, .. } => {
                // One thread writes, one thing after the other.
                let done = self.now.max(self.seats[seat].busy_until) + self.sync;
                self.seats[seat].busy_until = done;
                self.queue.push(done, Due::Synced { seat, number });
            }
            CoordinatorAction::Forward {
                call: ask,
                to,
                request,
            } => {
                let bytes = CallMessage::ForwardCommand(request.clone())
                    .encode(fleet)
                    .len();
                self.call(seat, &to, Wanted::Ask(request), Back::Ask(ask), bytes);
            }
            CoordinatorAction::SendUpdate { to, update: act } => {
                let bytes = CallMessage::ApplyUpdate(act.clone()).encode(fleet).len();
                let back = Back::Act(to.clone(), act.version);
                self.call(seat, &to, Wanted::Act(act), back, bytes);
            }
            CoordinatorAction::Reply {
                call: ask,
                result: answer,
            } => match self.staff.remove(&ask) {
                Some((at, asked)) => {
                    self.answered.push(Answered {
                        at,
                        asked,
                        answered: self.now,
                        answer,
                    });
                }
                None => {
                    let bytes = CallMessage::CommandResult(answer.clone())
                        .encode(fleet)
                        .len();
                    self.reply(seat, ask, 0, Reply::Told(answer), bytes);
                }
            },
            CoordinatorAction::ApplyUpdate {
                call: ask,
                update: act,
                ..
            } => {
                self.seats[seat].version = act.version;
                let bytes = CallMessage::UpdateResult(Ok(())).encode(fleet).len();
                // The fence is kept before and after the node's own file.
                self.reply(seat, ask, 3 * self.sync, Reply::Acted(Ok(())), bytes);
            }
            CoordinatorAction::RejectUpdate { call: ask, stale } => {
                let bytes = CallMessage::UpdateResult(Err(stale)).encode(fleet).len();
                self.reply(seat, ask, 0, Reply::Acted(Err(stale)), bytes);
            }
            CoordinatorAction::LeaderChanged { is_self: true, .. } => {
                self.led.push((self.now, seat))
            }
            CoordinatorAction::LeaderChanged { .. }
            | CoordinatorAction::RoleHandedOver(_)
            | CoordinatorAction::AlarmChanged { .. }
            | CoordinatorAction::VoteLost(_)
            | CoordinatorAction::HandoverComplete => {}
        }
    }
}

/// A letter as it crosses the network: a datagram, or a call where it is too long for one.
fn letter_bytes(letter: &[u8], fleet: u64) -> usize {
    let message = PiggybackedMessage::Consensus(letter.to_vec());
    let datagram = Datagram {
        digest: u64::MAX,
        payload: &[],
        broadcast: &[],
        message,
    };
    let bytes = datagram.encode(SUPPORTED_FORMATS.newest, fleet).len();
    if bytes <= MAX_DATAGRAM_BYTES {
        bytes
    } else {
        CallMessage::Consensus(letter.to_vec()).encode(fleet).len()
    }
}

/// A wish to take a server out, with a reason of so many bytes.
pub fn out(server: u64, why: usize) -> OperatorCommand {
    let out = Cordon {
        operator: "lab".into(),
        reason: "y".repeat(why),
        since_ms: 1_700_000_000_000,
        until_ms: None,
    };
    OperatorCommand::Cordon {
        server: format!("api-{server:05}"),
        cordon: out,
    }
}

/// A wish to put a server back.
pub fn back(server: u64) -> OperatorCommand {
    OperatorCommand::Uncordon {
        server: format!("api-{server:05}"),
    }
}
