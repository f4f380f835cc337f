//! Carries out what the desks of a play want, over links that lose and delay, and writes down what happened.

use std::hash::{DefaultHasher, Hash, Hasher};

use control_plane::consensus::{VoterId, WriteBatch};
use control_plane::coordinator::{CommandResult, CoordinatorAction, CoordinatorEvent, FleetUpdate};
use control_plane::lease::StaleToken;
use control_plane::Micros;
use rand::RngExt;

use super::check::{Act, Step};
use super::replica::process;
use super::world::{seat_of, Asker, Call, Due};
use super::{InjectedBug, World};

/// A sync takes up to this long.
const SYNC: Micros = 8_000;
/// An act may be on its way for up to this long, now and then.
const LATE: Micros = 3_000_000;
/// A call without an answer ends then.
const COMMAND_TIMEOUT: Micros = 2_000_000;

impl World {
    /// Hands an agent what happened, and carries out what it wants.
    pub(super) fn give(&mut self, at: usize, event: CoordinatorEvent) {
        let now = self.seats[at].clock(self.now);
        let seat = &mut self.seats[at];
        let Some(desk) = &mut seat.desk else { return };
        let mut actions = Vec::new();
        desk.on_event(now, event, &mut actions);
        let state = desk.state();
        if state.index > seat.index {
            let mut hash = DefaultHasher::new();
            state.hash(&mut hash);
            let (index, hash) = (state.index, hash.finish());
            seat.index = index;
            if *self.history.states.entry(index).or_insert(hash) != hash {
                self.history.forked.push(index);
            }
        }
        actions
            .into_iter()
            .for_each(|action| self.carry_out(at, action));
    }

    /// When something sent now arrives; `None` where it is lost.
    fn arrives(&mut self, from: usize, to: usize) -> Option<Micros> {
        let lost = self.rng.random::<f64>() < self.loss;
        let after = self.rng.random_range(200..3_000);
        (self.reaches(from, to) && !lost).then_some(self.now + after)
    }

    fn carry_out(&mut self, at: usize, action: CoordinatorAction) {
        let life = self.seats[at].life;
        match action {
            CoordinatorAction::Send { to, bytes } => {
                let to = seat_of(&to);
                if let Some(when) = self.arrives(at, to) {
                    self.queue.push(when, Due::Message { to, bytes });
                }
            }
            CoordinatorAction::Persist {
                number,
                batch: save,
            } => self.save(at, life, number, save),
            CoordinatorAction::Forward {
                call: ask,
                to,
                request,
            } => {
                let to = seat_of(&to);
                let call = self.call_number(Call::Ask { life, ask });
                if let Some(when) = self.arrives(at, to) {
                    self.queue.push(
                        when,
                        Due::Request {
                            from: at,
                            call,
                            to,
                            request,
                        },
                    );
                }
                self.queue.push(
                    self.now + COMMAND_TIMEOUT,
                    Due::Replied {
                        seat: at,
                        call,
                        answer: None,
                    },
                );
            }
            CoordinatorAction::Reply {
                call: ask,
                result: answer,
            } => self.answer(at, ask, answer),
            CoordinatorAction::SendUpdate { to, update: act } => {
                let call = self.call_number(Call::Act {
                    life,
                    to: to.clone(),
                    version: act.version,
                });
                let to = seat_of(&to);
                let late = self.rng.random::<f64>() < 0.05;
                let more = if late {
                    self.rng.random_range(0..LATE)
                } else {
                    0
                };
                if let Some(when) = self.arrives(at, to) {
                    self.queue.push(
                        when + more,
                        Due::Act {
                            from: at,
                            call,
                            to,
                            act,
                        },
                    );
                }
                self.queue.push(
                    self.now + COMMAND_TIMEOUT,
                    Due::Acted {
                        seat: at,
                        call,
                        answer: None,
                    },
                );
            }
            CoordinatorAction::ApplyUpdate {
                call: ask,
                update: act,
                fencing: fence,
            } => {
                self.take_effect(at, &act);
                let seat = &mut self.seats[at];
                (seat.fence, seat.enforced) = (fence, Some(act));
                self.reply_act(at, ask, Ok(()));
            }
            CoordinatorAction::RejectUpdate { call: ask, stale } => {
                self.history.refused += 1;
                self.reply_act(at, ask, Err(stale));
            }
            CoordinatorAction::LeaderChanged {
                term,
                is_self: here,
                ..
            } => {
                if here {
                    self.history.led.push((term, process(at, life)));
                }
            }
            CoordinatorAction::HandoverComplete => self.stopped(at),
            CoordinatorAction::RoleHandedOver(_)
            | CoordinatorAction::AlarmChanged { .. }
            | CoordinatorAction::VoteLost(_) => {}
        }
    }

    fn call_number(&mut self, call: Call) -> u64 {
        self.number += 1;
        self.calls.insert(self.number, call);
        self.number
    }

    fn save(&mut self, seat: usize, life: u64, number: u64, save: WriteBatch) {
        if self.seats[seat]
            .store
            .as_ref()
            .is_none_or(|store| store.full)
        {
            return self.queue.push(self.now + 1, Due::NotSynced { seat, life });
        }
        if self.sabotage == Some(InjectedBug::VoteNotSynced) {
            // It says so at once; the disk comes later, and not at all if the process dies before.
            let late = self.now + 500_000;
            self.queue.push(
                late,
                Due::Synced {
                    seat,
                    life,
                    number: 0,
                    save,
                },
            );
            let word = Due::Synced {
                seat,
                life,
                number,
                save: WriteBatch::default(),
            };
            return self.queue.push(self.now + 1, word);
        }
        // One thread writes: what was asked for first is on the disk first.
        let done = self.now.max(self.seats[seat].busy_until) + self.rng.random_range(100..SYNC);
        self.seats[seat].busy_until = done;
        self.queue.push(
            done,
            Due::Synced {
                seat,
                life,
                number,
                save,
            },
        );
    }

    fn take_effect(&mut self, at: usize, act: &FleetUpdate) {
        let accepted = Act {
            at: self.now,
            duty: act.role,
            token: act.token,
            by: at as u64,
        };
        self.history.accepted.push(accepted);
    }

    /// An act arrives at its target.
    pub(super) fn acted_on(&mut self, from: usize, call: u64, to: usize, act: FleetUpdate) {
        if self.seats[to].desk.is_none() {
            return;
        }
        if self.sabotage == Some(InjectedBug::FenceOff) {
            self.take_effect(to, &act);
        }
        self.number += 1;
        let ask = self.number;
        self.askers.insert(ask, Asker::Agent { seat: from, call });
        self.give(
            to,
            CoordinatorEvent::UpdateReceived {
                call: ask,
                update: act,
            },
        );
    }

    fn reply_act(&mut self, from: usize, ask: u64, answer: Result<(), StaleToken>) {
        if let Some(Asker::Agent { seat, call }) = self.askers.remove(&ask) {
            if let Some(when) = self.arrives(from, seat) {
                self.queue.push(
                    when,
                    Due::Acted {
                        seat,
                        call,
                        answer: Some(answer),
                    },
                );
            }
        }
    }

    /// An act's caller hears of it, or not in time.
    pub(super) fn acted(&mut self, seat: usize, call: u64, answer: Option<Result<(), StaleToken>>) {
        if let Some(Call::Act { life, to, version }) = self.calls.remove(&call) {
            if self.seats[seat].life == life {
                self.give(
                    seat,
                    CoordinatorEvent::UpdateCompleted {
                        to,
                        version,
                        result: answer,
                    },
                );
            }
        }
    }

    fn answer(&mut self, from: usize, ask: u64, answer: CommandResult) {
        match self.askers.remove(&ask) {
            Some(Asker::Staff(call)) if call > 0 => self.history.steps.extend(match answer {
                CommandResult::Committed(before) => {
                    Some(Step::Done(call, before.map(|out| out.since_ms)))
                }
                CommandResult::Rejected(_) => Some(Step::Refused(call)),
                CommandResult::Unconfirmed(_) => None,
            }),
            // A late yes of an ask before the last finds another store.
            Some(Asker::Replace(seat, id)) if answer.is_committed() && self.has_store(seat, id) => {
                self.removed.insert(seat);
            }
            Some(Asker::Agent { seat, call }) => {
                if let Some(when) = self.arrives(from, seat) {
                    self.queue.push(
                        when,
                        Due::Replied {
                            seat,
                            call,
                            answer: Some(answer),
                        },
                    );
                }
            }
            _ => {}
        }
    }

    fn has_store(&self, seat: usize, id: VoterId) -> bool {
        self.seats[seat]
            .store
            .as_ref()
            .is_some_and(|store| store.id == id)
    }

    /// Who forwarded an ask hears of it, or not in time.
    pub(super) fn replied(&mut self, seat: usize, call: u64, answer: Option<CommandResult>) {
        if let Some(Call::Ask { life, ask }) = self.calls.remove(&call) {
            if self.seats[seat].life == life {
                self.give(
                    seat,
                    CoordinatorEvent::ForwardCompleted {
                        call: ask,
                        result: answer,
                    },
                );
            }
        }
    }
}
