//! Owns the clients' tries and the nodes' events: what a client does next, what a process is told, and
//! what its actions begin.

use super::*;

impl Run<'_> {
    pub(super) fn make_try(&mut self, client: usize) {
        let Some(attempt) = self.clients[client].begin_try(self.now) else {
            return;
        };
        let ask = self.clients[client].request().clone();
        let nodes = self.front.nodes(self.now, ask.zone);
        let process = FrontEnd::pick(nodes, &mut self.rng).and_then(|node| self.serving[node]);
        let Some(process) = process else {
            self.checker.unreachable();
            return self.next_try(client, TryOutcome::Unreachable);
        };
        let txn = format!("{:012x}{:04x}", ask.serial, attempt.number);
        let id = request_id(&txn);
        self.checker
            .taken(&txn, &ask, self.processes[process].node, attempt.ends_at);
        let held = Held {
            txn,
            client,
            until: attempt.announced_end,
            answered: false,
            attempts: Vec::new(),
        };
        self.processes[process].held.insert(id, held);
        self.queue.push(attempt.ends_at, Due::GiveUp(process, id));
        let left = attempt.announced_end - self.now;
        self.note(process, id, None, || {
            format!("try {}, {left} us to wait", attempt.number)
        });
        let request = Request {
            id,
            remaining_timeout: attempt.announced_end - self.now,
            class: ClassId(ask.class),
            cost: Some(ask.cost_hint),
            is_retry: false,
            tenant: None,
            // As a node makes a key's number from its text; below 2^53.
            key: Some(Key(xxhash_rust::xxh3::xxh3_64(&ask.key.to_le_bytes()) >> 11)),
            body_pending: false,
        };
        self.deliver(process, Event::Request(request));
    }

    pub(super) fn next_try(&mut self, client: usize, answer: TryOutcome) {
        if let Some(at) = self.clients[client].retry_at(self.now, answer) {
            self.queue.push(at, Due::Try(client));
        }
    }

    pub(super) fn answer(&mut self, process: ProcessIx, id: RequestId, answer: TryOutcome) {
        self.note(process, id, None, || format!("answer {answer:?}"));
        let Some(held) = self.processes[process].held.get_mut(&id) else {
            return;
        };
        let (txn, client, until) = (held.txn.clone(), held.client, held.until);
        let first = !std::mem::replace(&mut held.answered, true);
        let ask = self.clients[client].request().clone();
        self.checker
            .answered(&txn, &ask, answer, self.now, answer == TryOutcome::Served);
        if first && self.now <= until {
            self.next_try(client, answer);
        }
        self.forget_if_done(process, id);
    }

    pub(super) fn give_up(&mut self, process: ProcessIx, id: RequestId) {
        let Some(held) = self.processes[process]
            .held
            .get(&id)
            .filter(|held| !held.answered)
        else {
            return;
        };
        let (client, txn) = (held.client, held.txn.clone());
        if self.clients[client].request().abandons_after.is_some() {
            self.checker.left(&txn, self.now);
            self.processes[process]
                .held
                .get_mut(&id)
                .into_iter()
                .for_each(|held| held.answered = true);
            self.deliver(process, Event::RequestAbandoned(id));
            self.forget_if_done(process, id);
        } else {
            self.queue
                .push(self.now + LOST_AFTER, Due::Judge(process, id));
        }
        self.next_try(client, TryOutcome::TimedOut);
    }

    pub(super) fn judge(&mut self, process: ProcessIx, id: RequestId) {
        let held = self.processes[process]
            .held
            .get(&id)
            .filter(|held| !held.answered);
        if let Some(txn) = held.map(|held| held.txn.clone()) {
            self.checker.unanswered(&txn, self.now);
        }
    }

    pub(super) fn forget_if_done(&mut self, process: ProcessIx, id: RequestId) {
        let held = &mut self.processes[process].held;
        if held
            .get(&id)
            .is_some_and(|h| h.answered && h.attempts.iter().all(Option::is_none))
        {
            held.remove(&id);
        }
    }

    pub(super) fn deliver(&mut self, at: ProcessIx, event: Event) {
        if !self.processes[at].alive {
            return;
        }
        let free = self.processes[at].free_at(self.now);
        if free > self.now {
            return self.queue.push(free, Due::Event(at, event));
        }
        let id = match &event {
            Event::Request(request) => Some(request.id),
            Event::AttemptEnded(closed) => Some(closed.id),
            _ => None,
        };
        let held = id.and_then(|id| self.processes[at].held.get(&id));
        let key = held.map(|held| self.clients[held.client].request().key);
        let truth = Truth {
            world: &self.world,
            places: &self.places,
            now: self.now,
            key,
        };
        let kept = (at == 0 && self.recorder.is_some()).then(|| event.clone());
        let taken = self.processes[at]
            .take(self.now, event, truth)
            .and_then(|actions| {
                if let (Some(event), Some(recorder)) = (kept, &mut self.recorder) {
                    recorder.record(CLOCK + self.now, &event, &actions)?;
                }
                Ok(actions)
            });
        match taken {
            Ok(actions) => actions.into_iter().for_each(|action| self.act(at, action)),
            // The play ends with it.
            Err(error) => self.failed = self.failed.take().or(Some(error)),
        }
    }

    pub(super) fn act(&mut self, process: ProcessIx, action: Action) {
        match action {
            Action::Send {
                id,
                server,
                timeout: limit,
            } => self.send(process, id, server, limit),
            Action::Cancel { id, attempt } => {
                let out = self.processes[process]
                    .held
                    .get(&id)
                    .and_then(|held| held.attempts.get(attempt as usize));
                if matches!(out, Some(Some(_))) {
                    self.queue.push(
                        self.now,
                        Due::Ended(process, id, attempt as usize, End::Cancelled),
                    );
                }
            }
            Action::Reject { id, retry_after } => {
                let advice = (retry_after > 0).then_some(retry_after);
                self.answer_own(process, id, TryOutcome::Refused(advice));
            }
            Action::Fail { id } => self.answer_own(process, id, TryOutcome::Failed),
            Action::HealthCheck(server) => self.probe(process, server),
            Action::CloseIdleConnections(server) => {
                if let Some(&at) = self.places.get(&server) {
                    let closed = self.links.close(process, at);
                    (0..closed).for_each(|_| self.world.disconnect(at));
                }
            }
            Action::SetTimer { delay, timer } => {
                self.queue.push(
                    self.now + delay.max(1),
                    Due::Event(process, Event::Timer(TimerId(timer.0))),
                );
            }
            Action::Subscribe => self.call(process),
            // Nodes share nothing, and the log has no reader here.
            Action::SendToPeer { .. } | Action::Log(_) => {}
        }
    }

    /// An answer of the node's own; for a request that has ended it is ignored (WIRE, faults).
    pub(super) fn answer_own(&mut self, process: ProcessIx, id: RequestId, answer: TryOutcome) {
        if self.processes[process]
            .held
            .get(&id)
            .is_some_and(|held| !held.answered)
        {
            self.answer(process, id, answer);
        }
    }
}
