//! Executes the balancer's actions.

use std::rc::Rc;
use std::time::Duration;

use load_balancer::{Action, AttemptResult, Event, Micros, Outcome, ServerId};
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::Instant;

use super::messages::{AttemptEnded, ClientResponse, HealthCheckEnded, Message, RequestNumber};
use super::request_table::{InFlightAttempt, SendLimits};
use super::timers::Timer;
use super::EventLoop;
use crate::servers::{AttemptLimits, Servers, UpstreamRequest};
use crate::task::AbortOnDrop;

impl EventLoop {
    pub(super) fn execute(&mut self, action: Action) {
        match action {
            Action::Send {
                id,
                server,
                timeout,
                write_within,
            } => {
                let limits = SendLimits {
                    timeout,
                    write_within,
                };
                self.send(RequestNumber::from_id(&id), server, limits);
            }
            Action::Cancel { id, attempt } => self.cancel(RequestNumber::from_id(&id), attempt),
            Action::Reject { id, retry_after } => {
                let retry_after = (retry_after > 0).then(|| Duration::from_micros(retry_after));
                let response = ClientResponse::Rejected { retry_after };
                self.respond(RequestNumber::from_id(&id), response);
            }
            Action::Fail { id } => {
                self.respond(RequestNumber::from_id(&id), ClientResponse::Failed);
            }
            Action::HealthCheck(server) => self.start_health_check(server),
            Action::CloseIdleConnections(server) => self.servers.close_idle(server),
            Action::SetTimer { delay, timer } => {
                self.timers
                    .set_after(Duration::from_micros(delay), Timer::Balancer(timer));
            }
            // An open watch also delivers what this poll is for; a second call would replace it (test
            // `discovery::the_discovery_call_of_sighup_replaces_the_next_poll`).
            Action::Subscribe if self.subscription.is_open() => {}
            Action::Subscribe => self.subscription.open(&mut self.timers),
            Action::SendToPeer { peer, data } => {
                if let Some(peers) = &self.peers {
                    peers.send(peer, &data);
                }
            }
            Action::Log(line) => crate::log::line(format_args!("{line}")),
        }
    }

    fn start_health_check(&self, server: ServerId) {
        let (servers, messages) = (self.servers.clone(), self.messages.clone());
        spawn_local(async move {
            let started_at = Instant::now();
            let result = servers.check_health(server).await;
            let _ = messages.send(Message::HealthCheckEnded(HealthCheckEnded {
                server,
                result,
                elapsed: started_at.elapsed(),
            }));
        });
    }

    /// Starts an attempt.
    fn send(&mut self, number: RequestNumber, server: ServerId, limits: SendLimits) {
        let now = Instant::now();
        let max_attempts = self.max_attempts;
        let epoch = self.servers.epoch(server);
        let pending = self.requests.get_mut(number);
        let Some(pending) = pending.filter(|pending| pending.may_send(now, max_attempts)) else {
            return self.skip_attempt(number, server);
        };
        let attempt = Attempt {
            number,
            index: pending.attempts.len() as u32,
            server,
            upstream: pending.upstream.clone(),
            limits: AttemptLimits {
                epoch,
                ..pending.attempt_limits(now, limits)
            },
        };
        let task = attempt.spawn(self.servers.clone(), self.messages.clone());
        let in_flight = InFlightAttempt::new(server, now, task);
        pending.attempts.push(Some(in_flight));
    }

    /// Reports the outcome `NotSent` for an attempt that may no longer be sent.
    fn skip_attempt(&mut self, number: RequestNumber, server: ServerId) {
        let attempt = self.requests.add_unsent_attempt(number, server);
        self.events.push_back(Event::AttemptEnded(AttemptResult {
            id: number.to_id(),
            attempt,
            server,
            outcome: Outcome::NotSent,
            elapsed: 0,
            request_ended: self.requests.is_answered(number),
            load_report: Vec::new(),
        }));
    }

    fn cancel(&mut self, number: RequestNumber, attempt: u32) {
        let Some(cancelled) = self.requests.take_attempt(number, attempt) else {
            return;
        };
        self.record_outcome(number, Outcome::Cancelled);
        let server = cancelled.server;
        let sent_at = cancelled.sent_at;
        let elapsed = sent_at.elapsed().as_micros() as Micros;
        // Closes the attempt's connection before the balancer can send the next attempt: two copies of a request
        // must not be open at once (test `server_connections::an_attempt_is_closed_before_the_next_one_is_written`).
        drop(cancelled);
        // The server may not have responded because its machine has failed.
        self.servers.close_idle_if_unresponsive(server, sent_at);
        self.events.push_back(Event::AttemptEnded(AttemptResult {
            id: number.to_id(),
            attempt,
            server,
            outcome: Outcome::Cancelled,
            elapsed,
            request_ended: self.requests.is_answered(number),
            load_report: Vec::new(),
        }));
        self.remove_if_finished(number);
    }
}

/// An attempt that is about to be sent.
struct Attempt {
    number: RequestNumber,
    index: u32,
    server: ServerId,
    upstream: Rc<UpstreamRequest>,
    limits: AttemptLimits,
}

impl Attempt {
    fn spawn(self, servers: Rc<Servers>, messages: mpsc::UnboundedSender<Message>) -> AbortOnDrop {
        AbortOnDrop::spawn(async move {
            let result = servers
                .attempt(self.server, &self.upstream, self.limits)
                .await;
            let _ = messages.send(Message::AttemptEnded(AttemptEnded {
                number: self.number,
                attempt: self.index,
                result,
            }));
        })
    }
}
