//! Owns attempts and probes, from the connection to the end that the node hears of.

use super::*;

impl Run<'_> {
    pub(super) fn send(
        &mut self,
        process: ProcessIx,
        id: RequestId,
        server: ServerId,
        limit: Micros,
    ) {
        let Some(&at) = self.places.get(&server) else {
            return;
        };
        let node = self.processes[process].node;
        let Some(held) = self.processes[process].held.get_mut(&id) else {
            return;
        };
        let number = held.attempts.len();
        let left = held.until.saturating_sub(self.now);
        let moot = held.answered || left == 0 || number >= self.settings.max_attempts as usize;
        held.attempts.push(Some(Attempt {
            server: at,
            sent: self.now,
            job: None,
            number: None,
            linked: false,
        }));
        if moot {
            return self
                .queue
                .push(self.now, Due::Ended(process, id, number, End::NotSent));
        }
        let limit = if limit == 0 { left } else { limit.min(left) };
        self.note(process, id, Some(at), || {
            format!("send {number}, time-out {limit} us")
        });
        let way = self.world.delay(node, at);
        let (linked, closed) = self.links.take(self.now, process, at);
        (0..closed).for_each(|_| self.world.disconnect(at));
        let condition = self.world.servers()[at].condition;
        if !linked {
            let dial = self.settings.connect_timeout;
            let refused = match condition {
                Condition::Down => Some(2 * way),
                Condition::Silent => Some(dial),
                _ => (!self.on_world(|world, now, out| world.connect(now, at, out)))
                    .then_some(2 * way),
            };
            if let Some(after) = refused {
                let after = after.min(limit);
                return self.queue.push(
                    self.now + after,
                    Due::Ended(process, id, number, End::ConnectFailed),
                );
            }
        }
        self.attempt(process, id, number)
            .into_iter()
            .for_each(|attempt| attempt.linked = true);
        self.queue
            .push(self.now + limit, Due::Expire(process, id, number));
        let ways = if linked { 1 } else { HANDSHAKE_WAYS };
        self.queue
            .push(self.now + way * ways, Due::Arrive(process, id, number));
    }

    pub(super) fn attempt(
        &mut self,
        process: ProcessIx,
        id: RequestId,
        number: usize,
    ) -> Option<&mut Attempt> {
        self.processes[process]
            .held
            .get_mut(&id)?
            .attempts
            .get_mut(number)?
            .as_mut()
    }

    /// An attempt is whole at its server, unless the process or the server is gone by now.
    pub(super) fn arrive(&mut self, process: ProcessIx, id: RequestId, number: usize) {
        let Some(attempt) = self.attempt(process, id, number).copied() else {
            return;
        };
        let at = attempt.server;
        match self.world.servers()[at].condition {
            Condition::Silent => return,
            Condition::Down => return self.end_attempt(process, id, number, End::Reset),
            _ => {}
        }
        let (node, held) = (
            self.processes[process].node,
            &self.processes[process].held[&id],
        );
        let (txn, client) = (held.txn.clone(), held.client);
        let name = self.world.servers()[at].id.clone();
        let told = self
            .checker
            .sent(Some(&txn), node, &name, attempt.sent, self.now);
        self.next_job += 1;
        let job = JobId(self.next_job);
        let (work, io_wait, key) = {
            let ask = self.clients[client].request();
            (ask.work, ask.io_wait, Some(ask.key))
        };
        let verdict = self.on_world(|world, now, out| {
            world.offer(
                now,
                node,
                at,
                Job {
                    id: job,
                    work,
                    io_wait,
                    key,
                },
                out,
            )
        });
        let way = self.world.delay(node, at);
        let held_now = self.world.servers()[at].job_count();
        self.note(process, id, Some(at), || match verdict {
            Admission::Accepted => format!("takes it, holds {held_now}"),
            other => format!("{other:?}"),
        });
        let Some(attempt) = self.attempt(process, id, number) else {
            return;
        };
        attempt.number = told;
        let end = match verdict {
            Admission::Accepted => {
                attempt.job = Some(job);
                self.jobs.insert(job, (process, id, number));
                return;
            }
            Admission::Rejected => End::Overloaded,
            Admission::Failed => End::Error,
        };
        if let Some(told) = told {
            self.checker
                .ended(&txn, told, false, end == End::Overloaded);
        }
        self.queue
            .push(self.now + way, Due::Ended(process, id, number, end));
    }

    /// An attempt is over for its node: the connection goes back or is closed, and the policy hears.
    pub(super) fn end_attempt(
        &mut self,
        process: ProcessIx,
        id: RequestId,
        number: usize,
        outcome: End,
    ) {
        let server = self
            .attempt(process, id, number)
            .map(|attempt| attempt.server);
        if let Some(at) = server {
            self.note(process, id, Some(at), || {
                format!("attempt {number} ended: {outcome:?}")
            });
        }
        let Some(held) = self.processes[process].held.get_mut(&id) else {
            return;
        };
        let Some(attempt) = held.attempts.get_mut(number).and_then(Option::take) else {
            return;
        };
        let at = attempt.server;
        let answered = held.answered;
        let whole = matches!(outcome, End::Ok | End::Error | End::Overloaded);
        if attempt.linked && whole && self.world.servers()[at].condition != Condition::Down {
            self.links.give(self.now, process, at);
        } else if attempt.linked {
            self.world.disconnect(at);
        }
        if let Some(job) = attempt.job.filter(|_| !whole) {
            self.jobs.remove(&job);
            self.on_world(|world, now, out| world.cancel(now, at, job, out));
        }
        let served = outcome == End::Ok && !answered;
        if served {
            self.answer(process, id, TryOutcome::Served);
        }
        let server = number_of(&self.world, at);
        let spent = self.now - attempt.sent;
        let (attempt, done) = (number as u32, served);
        self.deliver(
            process,
            Event::AttemptEnded(AttemptResult {
                id,
                attempt,
                server,
                outcome,
                elapsed: spent,
                request_ended: done,
                load_report: Vec::new(),
            }),
        );
        self.forget_if_done(process, id);
    }

    pub(super) fn probe(&mut self, process: ProcessIx, server: ServerId) {
        let Some(&at) = self.places.get(&server) else {
            return;
        };
        let node = self.processes[process].node;
        let way = self.world.delay(node, at);
        let condition = self.world.servers()[at].condition;
        let (outcome, spent) = match condition {
            Condition::Silent => (End::Timeout, self.settings.connect_timeout),
            Condition::Down => (End::ConnectFailed, 2 * way),
            _ if self.on_world(|world, now, out| world.probe(now, at, out)) => (End::Ok, 2 * way),
            _ => (End::Error, 2 * way),
        };
        let event = Event::HealthCheckEnded {
            server,
            outcome,
            elapsed: spent,
            load_report: Vec::new(),
        };
        self.queue
            .push(self.now + spent, Due::Event(process, event));
    }
}
