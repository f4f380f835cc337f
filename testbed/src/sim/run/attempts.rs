//! Attempts and health checks, from the connection to the result that the process gets.

use super::*;

impl Run<'_> {
    pub(super) fn send(
        &mut self,
        process: ProcessIx,
        id: RequestId,
        server: ServerId,
        limit: Micros,
    ) {
        let Some(&at) = self.server_indices.get(&server) else {
            return;
        };
        let node = self.processes[process].node;
        let Some(request) = self.processes[process].requests.get_mut(&id) else {
            return;
        };
        let number = request.attempts.len();
        let remaining = request.announced_end.saturating_sub(self.now);
        let not_sendable =
            request.answered || remaining == 0 || number >= self.settings.max_attempts as usize;
        request.attempts.push(Some(Attempt {
            server: at,
            sent: self.now,
            job: None,
            checker_number: None,
            has_connection: false,
        }));
        if not_sendable {
            return self.queue.push(
                self.now,
                QueuedEvent::AttemptEnded(process, id, number, AttemptOutcome::NotSent),
            );
        }
        let limit = if limit == 0 {
            remaining
        } else {
            limit.min(remaining)
        };
        self.trace_request(process, id, Some(at), || {
            format!("send {number}, time-out {limit} us")
        });
        let latency = self.world.delay(node, at);
        let (has_connection, closed) = self.connections.checkout(self.now, process, at);
        (0..closed).for_each(|_| self.world.disconnect(at));
        let condition = self.world.servers()[at].condition;
        if !has_connection {
            let connect_timeout = self.settings.connect_timeout;
            let failed_after = match condition {
                Condition::Down => Some(2 * latency),
                Condition::Silent => Some(connect_timeout),
                _ => (!self.with_world(|world, now, out| world.connect(now, at, out)))
                    .then_some(2 * latency),
            };
            if let Some(after) = failed_after {
                let after = after.min(limit);
                return self.queue.push(
                    self.now + after,
                    QueuedEvent::AttemptEnded(process, id, number, AttemptOutcome::ConnectFailed),
                );
            }
        }
        self.attempt(process, id, number)
            .into_iter()
            .for_each(|attempt| attempt.has_connection = true);
        self.queue.push(
            self.now + limit,
            QueuedEvent::AttemptTimeout(process, id, number),
        );
        let trips = if has_connection {
            1
        } else {
            NEW_CONNECTION_TRIPS
        };
        self.queue.push(
            self.now + latency * trips,
            QueuedEvent::Arrive(process, id, number),
        );
    }

    pub(super) fn attempt(
        &mut self,
        process: ProcessIx,
        id: RequestId,
        number: usize,
    ) -> Option<&mut Attempt> {
        self.processes[process]
            .requests
            .get_mut(&id)?
            .attempts
            .get_mut(number)?
            .as_mut()
    }

    /// Offers the complete request of an attempt to its server. Does nothing if the attempt or its process has ended
    /// or the server does not respond; ends the attempt with a connection reset if the server is down.
    pub(super) fn arrive(&mut self, process: ProcessIx, id: RequestId, number: usize) {
        let Some(attempt) = self.attempt(process, id, number).copied() else {
            return;
        };
        let at = attempt.server;
        match self.world.servers()[at].condition {
            Condition::Silent => return,
            Condition::Down => return self.end_attempt(process, id, number, AttemptOutcome::Reset),
            _ => {}
        }
        let (node, request) = (
            self.processes[process].node,
            &self.processes[process].requests[&id],
        );
        let (txn, client) = (request.txn.clone(), request.client);
        let server_name = self.world.servers()[at].id.clone();
        let checker_number =
            self.checker
                .sent(Some(&txn), node, &server_name, attempt.sent, self.now);
        self.next_job += 1;
        let job = JobId(self.next_job);
        let (work, io_wait, key) = {
            let request = self.clients[client].request();
            (request.work, request.io_wait, Some(request.key))
        };
        let admission = self.with_world(|world, now, out| {
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
        let latency = self.world.delay(node, at);
        let job_count = self.world.servers()[at].job_count();
        self.trace_request(process, id, Some(at), || match admission {
            Admission::Accepted => format!("accepted, {job_count} jobs"),
            other => format!("{other:?}"),
        });
        let Some(attempt) = self.attempt(process, id, number) else {
            return;
        };
        attempt.checker_number = checker_number;
        let end = match admission {
            Admission::Accepted => {
                attempt.job = Some(job);
                self.jobs.insert(job, (process, id, number));
                return;
            }
            Admission::Rejected => AttemptOutcome::Overloaded,
            Admission::Failed => AttemptOutcome::Error,
        };
        if let Some(number) = checker_number {
            self.checker
                .ended(&txn, number, false, end == AttemptOutcome::Overloaded);
        }
        self.queue.push(
            self.now + latency,
            QueuedEvent::AttemptEnded(process, id, number, end),
        );
    }

    /// Ends an attempt at its process and passes the result to the policy. The connection is put back if the attempt
    /// got a response and the server is not down; otherwise it is closed. Without a response the job at the server is
    /// cancelled. The first success of a request answers its client.
    pub(super) fn end_attempt(
        &mut self,
        process: ProcessIx,
        id: RequestId,
        number: usize,
        outcome: AttemptOutcome,
    ) {
        let server = self
            .attempt(process, id, number)
            .map(|attempt| attempt.server);
        if let Some(at) = server {
            self.trace_request(process, id, Some(at), || {
                format!("attempt {number} ended: {outcome:?}")
            });
        }
        let Some(request) = self.processes[process].requests.get_mut(&id) else {
            return;
        };
        let Some(attempt) = request.attempts.get_mut(number).and_then(Option::take) else {
            return;
        };
        let at = attempt.server;
        let answered = request.answered;
        let completed = matches!(
            outcome,
            AttemptOutcome::Ok | AttemptOutcome::Error | AttemptOutcome::Overloaded
        );
        if attempt.has_connection
            && completed
            && self.world.servers()[at].condition != Condition::Down
        {
            self.connections.put_back(self.now, process, at);
        } else if attempt.has_connection {
            self.world.disconnect(at);
        }
        if let Some(job) = attempt.job.filter(|_| !completed) {
            self.jobs.remove(&job);
            self.with_world(|world, now, out| world.cancel(now, at, job, out));
        }
        let served = outcome == AttemptOutcome::Ok && !answered;
        if served {
            self.answer(process, id, TryOutcome::Served);
        }
        let server = server_id_at(&self.world, at);
        let elapsed = self.now - attempt.sent;
        let (attempt, request_ended) = (number as u32, served);
        self.deliver(
            process,
            Event::AttemptEnded(AttemptResult {
                id,
                attempt,
                server,
                outcome,
                elapsed,
                request_ended,
                load_report: Vec::new(),
            }),
        );
        self.remove_if_done(process, id);
    }

    pub(super) fn probe(&mut self, process: ProcessIx, server: ServerId) {
        let Some(&at) = self.server_indices.get(&server) else {
            return;
        };
        let node = self.processes[process].node;
        let latency = self.world.delay(node, at);
        let condition = self.world.servers()[at].condition;
        let (outcome, elapsed) = match condition {
            Condition::Silent => (AttemptOutcome::Timeout, self.settings.connect_timeout),
            Condition::Down => (AttemptOutcome::ConnectFailed, 2 * latency),
            _ if self.with_world(|world, now, out| world.probe(now, at, out)) => {
                (AttemptOutcome::Ok, 2 * latency)
            }
            _ => (AttemptOutcome::Error, 2 * latency),
        };
        let event = Event::HealthCheckEnded {
            server,
            outcome,
            elapsed,
            load_report: Vec::new(),
        };
        self.queue
            .push(self.now + elapsed, QueuedEvent::Event(process, event));
    }
}
