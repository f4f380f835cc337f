//! The clients' tries, and the events and actions of processes.

use super::*;

impl Run<'_> {
    /// Begins a try of a client at a node that its front end selects. Does nothing if the deadline of the request has
    /// passed.
    pub(super) fn make_try(&mut self, client: usize) {
        let Some(attempt) = self.clients[client].begin_try(self.now) else {
            return;
        };
        let client_request = self.clients[client].request().clone();
        let nodes = self.front.nodes(self.now, client_request.zone);
        let process = FrontEnd::pick(nodes, &mut self.rng).and_then(|node| self.serving[node]);
        let Some(process) = process else {
            self.checker.unreachable();
            return self.next_try(client, TryOutcome::Unreachable);
        };
        let txn = format!("{:012x}{:04x}", client_request.serial, attempt.number);
        let id = request_id(&txn);
        self.checker.taken(
            &txn,
            &client_request,
            self.processes[process].node,
            attempt.ends_at,
        );
        let state = RequestState {
            txn,
            client,
            announced_end: attempt.announced_end,
            answered: false,
            attempts: Vec::new(),
        };
        self.processes[process].requests.insert(id, state);
        self.queue
            .push(attempt.ends_at, QueuedEvent::ClientTimeout(process, id));
        let remaining = attempt.announced_end - self.now;
        self.trace_request(process, id, None, || {
            format!("try {}, {remaining} us remaining", attempt.number)
        });
        let request = Request {
            id,
            remaining_timeout: attempt.announced_end - self.now,
            class: ClassId(client_request.class),
            cost: Some(client_request.cost_hint),
            is_retry: false,
            tenant: None,
            // A hash below 2^53, like the number that a node derives from the text of a key.
            key: Some(Key(xxhash_rust::xxh3::xxh3_64(
                &client_request.key.to_le_bytes(),
            ) >> 11)),
            body_pending: false,
        };
        self.deliver(process, Event::Request(request));
    }

    /// Schedules the next try of a client, if it retries.
    pub(super) fn next_try(&mut self, client: usize, outcome: TryOutcome) {
        if let Some(at) = self.clients[client].retry_at(self.now, outcome) {
            self.queue.push(at, QueuedEvent::Try(client));
        }
    }

    /// Delivers a response to the client of a try. The first response in time decides whether the client retries.
    pub(super) fn answer(&mut self, process: ProcessIx, id: RequestId, answer: TryOutcome) {
        self.trace_request(process, id, None, || format!("answer {answer:?}"));
        let Some(request) = self.processes[process].requests.get_mut(&id) else {
            return;
        };
        let (txn, client, announced_end) =
            (request.txn.clone(), request.client, request.announced_end);
        let first = !std::mem::replace(&mut request.answered, true);
        let client_request = self.clients[client].request().clone();
        self.checker.answered(
            &txn,
            &client_request,
            answer,
            self.now,
            answer == TryOutcome::Served,
        );
        if first && self.now <= announced_end {
            self.next_try(client, answer);
        }
        self.remove_if_done(process, id);
    }

    /// Ends a client's wait for an unanswered try. If the client leaves before the announced end, the process gets
    /// [`Event::RequestAbandoned`]. At the announced end it gets no event, and `LOST_AFTER` later the checker verifies
    /// that it has answered.
    pub(super) fn client_timeout(&mut self, process: ProcessIx, id: RequestId) {
        let Some(request) = self.processes[process]
            .requests
            .get(&id)
            .filter(|request| !request.answered)
        else {
            return;
        };
        let (client, txn) = (request.client, request.txn.clone());
        if self.clients[client].request().abandons_after.is_some() {
            self.checker.left(&txn, self.now);
            self.processes[process]
                .requests
                .get_mut(&id)
                .into_iter()
                .for_each(|request| request.answered = true);
            self.deliver(process, Event::RequestAbandoned(id));
            self.remove_if_done(process, id);
        } else {
            self.queue.push(
                self.now + LOST_AFTER,
                QueuedEvent::CheckAnswered(process, id),
            );
        }
        self.next_try(client, TryOutcome::TimedOut);
    }

    /// Reports a try to the checker unless it has been answered in time.
    pub(super) fn check_answered(&mut self, process: ProcessIx, id: RequestId) {
        let request = self.processes[process]
            .requests
            .get(&id)
            .filter(|request| !request.answered);
        if let Some(txn) = request.map(|request| request.txn.clone()) {
            self.checker.unanswered(&txn, self.now);
        }
    }

    /// Removes a request that is answered and has no attempt in progress.
    pub(super) fn remove_if_done(&mut self, process: ProcessIx, id: RequestId) {
        let requests = &mut self.processes[process].requests;
        if requests
            .get(&id)
            .is_some_and(|request| request.answered && request.attempts.iter().all(Option::is_none))
        {
            requests.remove(&id);
        }
    }

    /// Passes an event to a process, as soon as it is free, and executes the resulting actions.
    pub(super) fn deliver(&mut self, at: ProcessIx, event: Event) {
        if !self.processes[at].alive {
            return;
        }
        let free = self.processes[at].free_at(self.now);
        if free > self.now {
            return self.queue.push(free, QueuedEvent::Event(at, event));
        }
        let id = match &event {
            Event::Request(request) => Some(request.id),
            Event::AttemptEnded(result) => Some(result.id),
            _ => None,
        };
        let request = id.and_then(|id| self.processes[at].requests.get(&id));
        let key = request.map(|request| self.clients[request.client].request().key);
        let truth = GroundTruth {
            world: &self.world,
            server_indices: &self.server_indices,
            now: self.now,
            key,
        };
        let recorded = (at == 0 && self.recorder.is_some()).then(|| event.clone());
        let result = self.processes[at]
            .handle_event(self.now, event, truth)
            .and_then(|actions| {
                if let (Some(event), Some(recorder)) = (recorded, &mut self.recorder) {
                    recorder.record(CLOCK_AT_START + self.now, &event, &actions)?;
                }
                Ok(actions)
            });
        match result {
            Ok(actions) => actions
                .into_iter()
                .for_each(|action| self.execute(at, action)),
            // The main loop ends the simulation with this error.
            Err(error) => self.error = self.error.take().or(Some(error)),
        }
    }

    pub(super) fn execute(&mut self, process: ProcessIx, action: Action) {
        match action {
            Action::Send {
                id,
                server,
                timeout: limit,
                ..
            } => self.send(process, id, server, limit),
            Action::Cancel { id, attempt } => {
                let attempt_state = self.processes[process]
                    .requests
                    .get(&id)
                    .and_then(|request| request.attempts.get(attempt as usize));
                if matches!(attempt_state, Some(Some(_))) {
                    self.queue.push(
                        self.now,
                        QueuedEvent::AttemptEnded(
                            process,
                            id,
                            attempt as usize,
                            AttemptOutcome::Cancelled,
                        ),
                    );
                }
            }
            Action::Reject { id, retry_after } => {
                let retry_after = (retry_after > 0).then_some(retry_after);
                self.answer_from_node(process, id, TryOutcome::Refused(retry_after));
            }
            Action::Fail { id } => self.answer_from_node(process, id, TryOutcome::Failed),
            Action::HealthCheck(server) => self.probe(process, server),
            Action::CloseIdleConnections(server) => {
                if let Some(&at) = self.server_indices.get(&server) {
                    let closed = self.connections.close(process, at);
                    (0..closed).for_each(|_| self.world.disconnect(at));
                }
            }
            Action::SetTimer { delay, timer } => {
                self.queue.push(
                    self.now + delay.max(1),
                    QueuedEvent::Event(process, Event::Timer(TimerId(timer.0))),
                );
            }
            Action::Subscribe => self.call(process),
            // The simulated nodes exchange no messages, and nothing reads their logs.
            Action::SendToPeer { .. } | Action::Log(_) => {}
        }
    }

    /// Answers a try with a response that the node generates itself. Does nothing if the request has been answered or
    /// has ended (WIRE, faults).
    pub(super) fn answer_from_node(
        &mut self,
        process: ProcessIx,
        id: RequestId,
        answer: TryOutcome,
    ) {
        if self.processes[process]
            .requests
            .get(&id)
            .is_some_and(|request| !request.answered)
        {
            self.answer(process, id, answer);
        }
    }
}
