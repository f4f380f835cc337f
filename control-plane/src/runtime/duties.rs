//! Carries out what the desk wants: messages between voters, calls to other agents, answers, acts on this node.

use tracing::{info, warn};

use super::desk::Asker;
use super::{membership, tell, wire, Host, Msg};
use crate::duty::desk::{self as duty, Answer};
use crate::membership::{ConnId, Name, Stream};

impl Host {
    /// Something came from another agent for the duties.
    pub(super) fn pass(&mut self, conn: Option<ConnId>, stream: Stream) {
        let answer = conn.and_then(|conn| self.conns.remove(&conn));
        match (stream, answer) {
            (Stream::Agreed(bytes), _) => self.duty(duty::Event::Message(bytes)),
            (Stream::Ask(request), Some(answer)) => {
                let ask = self.desk.asker(Asker::Call(answer));
                self.duty(duty::Event::Request { ask, request });
            }
            (Stream::Look(look), Some(answer)) => {
                match self.desk.desk.admits(look.duty, look.token) {
                    Ok(()) => {
                        let tally = self.tally(&look);
                        // Who called may have gone.
                        let _ = answer.send(self.core.encode_call(&Stream::Tally(tally)));
                    }
                    Err(stale) => warn!(
                        token = stale.token,
                        seen = stale.seen,
                        "a deposed holder asked"
                    ),
                }
            }
            (Stream::Top(hops), Some(answer)) => self.census_called(hops, answer),
            (Stream::Act(act), Some(answer)) => {
                let ask = self.desk.asker(Asker::Call(answer));
                self.duty(duty::Event::Act { ask, act });
            }
            _ => {}
        }
    }

    pub(super) fn duty(&mut self, event: duty::Event) {
        let mut actions = Vec::new();
        self.desk
            .desk
            .on_event(self.clock.now(), event, &mut actions);
        for action in actions {
            match action {
                duty::Action::Send { to, bytes } => self.send_voter(&to, bytes),
                duty::Action::Save { number, save } => self.desk.save(number, save),
                duty::Action::Forward { ask, to, request } => {
                    let called = self.call(&to, Stream::Ask(request), move |stream| {
                        let answer = match stream {
                            Some(Stream::Told(answer)) => Some(answer),
                            _ => None,
                        };
                        Some(Msg::Desk(duty::Event::Forwarded { ask, answer }))
                    });
                    if !called {
                        self.duty(duty::Event::Forwarded { ask, answer: None });
                    }
                }
                duty::Action::Act { to, act } => {
                    let (name, version) = (to.clone(), act.version);
                    self.call(&to, Stream::Act(act), move |stream| {
                        let answer = match stream {
                            Some(Stream::Acted(answer)) => Some(answer),
                            _ => None,
                        };
                        Some(Msg::Desk(duty::Event::Acted {
                            to: name,
                            version,
                            answer,
                        }))
                    });
                }
                duty::Action::Answer { ask, answer } => self.answer(ask, answer),
                duty::Action::Enforce { ask, act, fence } => match self.desk.enforce(&act, fence) {
                    Ok(()) => self.reply(ask, Stream::Acted(Ok(()))),
                    // Not answered: the holder tries again.
                    Err(error) => {
                        warn!(%error, "an act can't be carried out");
                        drop(self.desk.asked(ask));
                    }
                },
                duty::Action::Refuse { ask, stale } => {
                    warn!(
                        token = stale.token,
                        seen = stale.seen,
                        "an act of a deposed holder was refused"
                    );
                    self.reply(ask, Stream::Acted(Err(stale)));
                }
                duty::Action::Moved(change) => {
                    let to = change.to.as_ref().map_or("nobody", Name::as_str);
                    info!(duty = change.duty.word(), to, token = change.token, why = ?change.why, "duty");
                }
                duty::Action::Say { alarm, raised } => tell::alarm(&alarm, raised.as_ref()),
                duty::Action::VoteLost(why) => warn!(why, "this agent has no vote any more"),
                duty::Action::HandedOver => {
                    self.handed_over = true;
                    self.leave();
                }
                duty::Action::Leader { term, leader, .. } => {
                    let leader = leader.as_ref().map_or("nobody", Name::as_str);
                    info!(term, leader, "leader of the agreed log");
                }
            }
        }
    }

    fn answer(&mut self, ask: u64, answer: Answer) {
        match self.desk.asked(ask) {
            // Who asked may have gone.
            Some(Asker::Staff(staff)) => drop(staff.send(answer)),
            Some(Asker::Call(call)) => {
                drop(call.send(self.core.encode_call(&Stream::Told(answer))))
            }
            None => {}
        }
    }

    fn reply(&mut self, ask: u64, stream: Stream) {
        if let Some(Asker::Call(call)) = self.desk.asked(ask) {
            // Who called may have gone.
            let _ = call.send(self.core.encode_call(&stream));
        }
    }

    fn send_voter(&mut self, to: &Name, bytes: Vec<u8>) {
        let mut actions = Vec::new();
        if self.core.send_consensus(to, &bytes, &mut actions).is_none() {
            // Too long for a datagram; a voter that is not present gets nothing.
            self.call(to, Stream::Agreed(bytes), |_| None);
        }
        for action in actions {
            if let membership::Action::Send { to, bytes } = action {
                if self.udp.try_send_to(&bytes, to).is_err() {
                    self.unsent += 1;
                }
            }
        }
    }

    /// Calls another agent; what it says becomes a message, and so does its silence. `false` where it is not known.
    pub(super) fn call<F>(&mut self, to: &Name, stream: Stream, message: F) -> bool
    where
        F: FnOnce(Option<Stream>) -> Option<Msg> + 'static,
    {
        let Some(addr) = self.core.view().get(to).map(|entry| entry.identity.addr) else {
            return false;
        };
        let (from, tx, bytes) = (
            self.config.listen.ip(),
            self.tx.clone(),
            self.core.encode_call(&stream),
        );
        let fleet = self.core.fleet_id();
        tokio::task::spawn_local(async move {
            let answer = wire::call(from, addr, bytes).await;
            let stream = answer.and_then(|bytes| Stream::decode(&bytes, fleet).ok());
            // The main task has ended where nobody takes it.
            if let Some(message) = message(stream) {
                let _ = tx.send(message).await;
            }
        });
        true
    }
}
