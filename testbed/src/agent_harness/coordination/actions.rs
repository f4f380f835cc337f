//! Executes the actions of the coordinators over links that lose and delay messages, and records what
//! happened.

use std::hash::{DefaultHasher, Hash, Hasher};

use control_plane::consensus::{VoterId, WriteBatch};
use control_plane::coordinator::{CommandResult, CoordinatorAction, CoordinatorEvent, FleetUpdate};
use control_plane::lease::StaleToken;
use control_plane::Micros;
use rand::RngExt;

use super::agent::process_id;
use super::check::{CommandEvent, RoleAction};
use super::world::{agent_index, Call, ReplyTo, ScheduledEvent};
use super::{InjectedBug, World};

/// Longest time that a write takes to be synced to the disk.
const MAX_SYNC_TIME: Micros = 8_000;
/// Longest extra delay of an update from a role holder to its target; 5 % of the updates get one.
const MAX_UPDATE_DELAY: Micros = 3_000_000;
/// Time after which a call between agents without an answer fails.
const COMMAND_TIMEOUT: Micros = 2_000_000;

impl World {
    /// Delivers an event to an agent's coordinator and executes the actions that follow.
    pub(super) fn deliver(&mut self, at: usize, event: CoordinatorEvent) {
        let now = self.agents[at].clock(self.now);
        let agent = &mut self.agents[at];
        let Some(coordinator) = &mut agent.coordinator else {
            return;
        };
        let mut actions = Vec::new();
        coordinator.on_event(now, event, &mut actions);
        let state = coordinator.state();
        if state.index > agent.index {
            let mut hash = DefaultHasher::new();
            state.hash(&mut hash);
            let (index, hash) = (state.index, hash.finish());
            agent.index = index;
            if *self.history.state_hashes.entry(index).or_insert(hash) != hash {
                self.history.diverged.push(index);
            }
        }
        actions
            .into_iter()
            .for_each(|action| self.execute(at, action));
    }

    /// Time at which a message sent now arrives; `None` when it is lost.
    fn arrives(&mut self, from: usize, to: usize) -> Option<Micros> {
        let lost = self.rng.random::<f64>() < self.loss;
        let after = self.rng.random_range(200..3_000);
        (self.reaches(from, to) && !lost).then_some(self.now + after)
    }

    fn execute(&mut self, at: usize, action: CoordinatorAction) {
        let epoch = self.agents[at].epoch;
        match action {
            CoordinatorAction::Send { to, bytes } => {
                let to = agent_index(&to);
                if let Some(when) = self.arrives(at, to) {
                    self.queue.push(when, ScheduledEvent::Message { to, bytes });
                }
            }
            CoordinatorAction::Persist { number, batch } => self.persist(at, epoch, number, batch),
            CoordinatorAction::Forward {
                call: request_id,
                to,
                request,
            } => {
                let to = agent_index(&to);
                let call = self.register_call(Call::Forward { epoch, request_id });
                if let Some(when) = self.arrives(at, to) {
                    self.queue.push(
                        when,
                        ScheduledEvent::Request {
                            from: at,
                            call,
                            to,
                            request,
                        },
                    );
                }
                self.queue.push(
                    self.now + COMMAND_TIMEOUT,
                    ScheduledEvent::ForwardCompleted {
                        agent: at,
                        call,
                        answer: None,
                    },
                );
            }
            CoordinatorAction::Reply {
                call: request_id,
                result,
            } => self.reply(at, request_id, result),
            CoordinatorAction::SendUpdate { to, update } => {
                let call = self.register_call(Call::Update {
                    epoch,
                    to: to.clone(),
                    version: update.version,
                });
                let to = agent_index(&to);
                let late = self.rng.random::<f64>() < 0.05;
                let extra_delay = if late {
                    self.rng.random_range(0..MAX_UPDATE_DELAY)
                } else {
                    0
                };
                if let Some(when) = self.arrives(at, to) {
                    self.queue.push(
                        when + extra_delay,
                        ScheduledEvent::Update {
                            from: at,
                            call,
                            to,
                            update,
                        },
                    );
                }
                self.queue.push(
                    self.now + COMMAND_TIMEOUT,
                    ScheduledEvent::UpdateCompleted {
                        agent: at,
                        call,
                        answer: None,
                    },
                );
            }
            CoordinatorAction::ApplyUpdate {
                call: request_id,
                update,
                fencing,
            } => {
                self.record_update(at, &update);
                let agent = &mut self.agents[at];
                (agent.fencing, agent.enforced) = (fencing, Some(update));
                self.reply_to_update(at, request_id, Ok(()));
            }
            CoordinatorAction::RejectUpdate {
                call: request_id,
                stale,
            } => {
                self.history.rejected += 1;
                self.reply_to_update(at, request_id, Err(stale));
            }
            CoordinatorAction::LeaderChanged { term, is_self, .. } => {
                if is_self {
                    self.history.leaders.push((term, process_id(at, epoch)));
                }
            }
            CoordinatorAction::HandoverComplete => self.handed_over(at),
            CoordinatorAction::RoleHandedOver(_)
            | CoordinatorAction::AlarmChanged { .. }
            | CoordinatorAction::VoteLost(_) => {}
        }
    }

    fn register_call(&mut self, call: Call) -> u64 {
        self.next_id += 1;
        self.calls.insert(self.next_id, call);
        self.next_id
    }

    fn persist(&mut self, agent: usize, epoch: u64, write: u64, batch: WriteBatch) {
        if self.agents[agent]
            .store
            .as_ref()
            .is_none_or(|store| store.full)
        {
            return self
                .queue
                .push(self.now + 1, ScheduledEvent::PersistFailed { agent, epoch });
        }
        if self.bug == Some(InjectedBug::AcknowledgedBeforeSync) {
            // The write is reported as synced at once and reaches the disk later, or never if the process
            // dies before.
            let synced_at = self.now + 500_000;
            self.queue.push(
                synced_at,
                ScheduledEvent::Persisted {
                    agent,
                    epoch,
                    write: 0,
                    batch,
                },
            );
            let acknowledgement = ScheduledEvent::Persisted {
                agent,
                epoch,
                write,
                batch: WriteBatch::default(),
            };
            return self.queue.push(self.now + 1, acknowledgement);
        }
        // One thread does all writes, so they reach the disk in the order in which they were requested.
        let done =
            self.now.max(self.agents[agent].busy_until) + self.rng.random_range(100..MAX_SYNC_TIME);
        self.agents[agent].busy_until = done;
        self.queue.push(
            done,
            ScheduledEvent::Persisted {
                agent,
                epoch,
                write,
                batch,
            },
        );
    }

    fn record_update(&mut self, at: usize, update: &FleetUpdate) {
        let action = RoleAction {
            at: self.now,
            role: update.role,
            token: update.token,
            by: at as u64,
        };
        self.history.accepted.push(action);
    }

    /// Delivers an update to its target; it is lost if the target's coordinator does not run.
    pub(super) fn receive_update(
        &mut self,
        from: usize,
        call: u64,
        to: usize,
        update: FleetUpdate,
    ) {
        if self.agents[to].coordinator.is_none() {
            return;
        }
        if self.bug == Some(InjectedBug::FencingDisabled) {
            self.record_update(to, &update);
        }
        self.next_id += 1;
        let request_id = self.next_id;
        self.pending_replies
            .insert(request_id, ReplyTo::Agent { agent: from, call });
        self.deliver(
            to,
            CoordinatorEvent::UpdateReceived {
                call: request_id,
                update,
            },
        );
    }

    fn reply_to_update(&mut self, from: usize, request_id: u64, answer: Result<(), StaleToken>) {
        if let Some(ReplyTo::Agent { agent, call }) = self.pending_replies.remove(&request_id) {
            if let Some(when) = self.arrives(from, agent) {
                self.queue.push(
                    when,
                    ScheduledEvent::UpdateCompleted {
                        agent,
                        call,
                        answer: Some(answer),
                    },
                );
            }
        }
    }

    /// Gives the result of an update to the agent that sent it; `None` after the time-out.
    pub(super) fn complete_update(
        &mut self,
        agent: usize,
        call: u64,
        answer: Option<Result<(), StaleToken>>,
    ) {
        if let Some(Call::Update { epoch, to, version }) = self.calls.remove(&call) {
            if self.agents[agent].epoch == epoch {
                self.deliver(
                    agent,
                    CoordinatorEvent::UpdateCompleted {
                        to,
                        version,
                        result: answer,
                    },
                );
            }
        }
    }

    fn reply(&mut self, from: usize, request_id: u64, answer: CommandResult) {
        match self.pending_replies.remove(&request_id) {
            Some(ReplyTo::Operator(call)) if call > 0 => {
                self.history.command_events.extend(match answer {
                    CommandResult::Committed(before) => Some(CommandEvent::Committed(
                        call,
                        before.map(|out| out.since_ms),
                    )),
                    CommandResult::Rejected(_) => Some(CommandEvent::Rejected(call)),
                    CommandResult::Unconfirmed(_) => None,
                })
            }
            // The confirmation of an earlier removal may arrive when the voter already has a new store; that
            // store stays.
            Some(ReplyTo::VoterReplacement(agent, id))
                if answer.is_committed() && self.has_store(agent, id) =>
            {
                self.removed.insert(agent);
            }
            Some(ReplyTo::Agent { agent, call }) => {
                if let Some(when) = self.arrives(from, agent) {
                    self.queue.push(
                        when,
                        ScheduledEvent::ForwardCompleted {
                            agent,
                            call,
                            answer: Some(answer),
                        },
                    );
                }
            }
            _ => {}
        }
    }

    fn has_store(&self, agent: usize, id: VoterId) -> bool {
        self.agents[agent]
            .store
            .as_ref()
            .is_some_and(|store| store.id == id)
    }

    /// Gives the result of a forwarded command to the agent that forwarded it; `None` after the time-out.
    pub(super) fn complete_forward(
        &mut self,
        agent: usize,
        call: u64,
        answer: Option<CommandResult>,
    ) {
        if let Some(Call::Forward { epoch, request_id }) = self.calls.remove(&call) {
            if self.agents[agent].epoch == epoch {
                self.deliver(
                    agent,
                    CoordinatorEvent::ForwardCompleted {
                        call: request_id,
                        result: answer,
                    },
                );
            }
        }
    }
}
