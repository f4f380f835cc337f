//! Effects of the world: finished jobs, broken connections, changes of the endpoint list, and commands to nodes.

use super::*;

impl Run<'_> {
    pub(super) fn apply_effect(&mut self, effect: Effect) {
        match &effect {
            Effect::Done { .. } => {}
            Effect::Discovery(_) => self.trace_world(None, None, || format!("{effect:?}")),
            Effect::Down(at) | Effect::Up(at) | Effect::Silent(at, _) | Effect::Cordon(at, _) => {
                self.trace_world(Some(*at), None, || format!("{effect:?}"));
            }
            Effect::ColdOverload { server, .. } => {
                self.trace_world(Some(*server), None, || format!("{effect:?}"))
            }
            Effect::EndpointsUpdated(node) | Effect::Node(node, _) => {
                self.trace_world(None, Some(*node), || format!("{effect:?}"))
            }
        }
        match effect {
            Effect::Done { job, outcome, .. } => self.finish(job, outcome),
            Effect::Down(at) => self.reset(at),
            Effect::Silent(at, false) => self.reset(at),
            Effect::Up(_) | Effect::Silent(_, true) => {}
            Effect::ColdOverload {
                server,
                informed_share,
            } => {
                let id = self.world.servers()[server].id.clone();
                self.checker
                    .cold_server_overloaded(&id, informed_share, self.now);
            }
            Effect::EndpointsUpdated(node) => self.endpoints_updated(node),
            Effect::Discovery(outage) => outage
                .into_iter()
                .for_each(|outage| self.discovery_outage(outage)),
            Effect::Node(node, command) => self.command(node, command),
            Effect::Cordon(at, cordoned) => {
                let (server, id) = (
                    server_id_at(&self.world, at),
                    self.world.servers()[at].id.clone(),
                );
                for node in 0..self.plan.nodes {
                    let Some(process) = self.serving[node] else {
                        continue;
                    };
                    match cordoned {
                        true => self.checker.cordoned(node, &id, self.now, Some(self.now)),
                        false => self.checker.uncordoned(node, &id),
                    }
                    self.deliver(process, Event::Cordon { server, cordoned });
                }
            }
        }
    }

    /// Reports the end of a job to the checker and schedules its response, which reaches the process after the network
    /// latency.
    pub(super) fn finish(&mut self, job: JobId, outcome: JobOutcome) {
        let Some((process, id, number)) = self.jobs.remove(&job) else {
            return;
        };
        let Some(attempt) = self.attempt(process, id, number).copied() else {
            return;
        };
        let node = self.processes[process].node;
        let served = outcome == JobOutcome::Served;
        if let Some(checker_number) = attempt.checker_number {
            let txn = self.processes[process].requests[&id].txn.clone();
            self.checker.ended(&txn, checker_number, served, false);
        }
        let latency = self.world.delay(node, attempt.server);
        let end = if served {
            AttemptOutcome::Ok
        } else {
            AttemptOutcome::Error
        };
        self.queue.push(
            self.now + latency,
            QueuedEvent::AttemptEnded(process, id, number, end),
        );
    }

    /// Resets all connections to a server: closes the idle ones and ends the attempts in progress as reset.
    pub(super) fn reset(&mut self, at: ServerIx) {
        let idle = self.connections.reset(at);
        (0..idle).for_each(|_| self.world.disconnect(at));
        for (process, state) in self.processes.iter().enumerate() {
            for (id, request) in &state.requests {
                for (number, attempt) in request.attempts.iter().enumerate() {
                    if attempt.is_some_and(|attempt| attempt.server == at) {
                        self.queue.push(
                            self.now,
                            QueuedEvent::AttemptEnded(process, *id, number, AttemptOutcome::Reset),
                        );
                    }
                }
            }
        }
    }

    /// Turns entries of the list into endpoints as nodes get them, and updates the indices of the servers.
    pub(super) fn endpoints(&mut self, entries: &[Entry]) -> Vec<Endpoint> {
        for (at, server) in self.world.servers().iter().enumerate() {
            self.server_indices.insert(server_id(&server.id), at);
        }
        let fleet = &self.plan.scenario.fleet;
        let index = |names: Vec<&String>, name: &String| {
            names.iter().position(|n| *n == name).unwrap_or(0) as u32
        };
        let endpoint = |entry: &Entry| Endpoint {
            server: server_id(&entry.id),
            zone: ZoneId(index(fleet.zones.iter().collect(), &entry.zone)),
            kind: KindId(index(
                fleet.kind.iter().map(|kind| &kind.name).collect(),
                &entry.kind,
            )),
            cell: CellId(entry.cell as u64),
            state: match entry.phase {
                Phase::InService => ServerState::InService,
                Phase::Terminating => ServerState::Draining,
                Phase::Terminated => ServerState::Removed,
            },
            weight: entry.size,
            started_at: entry.started_at.map_or(0, |at| CLOCK_AT_START + at),
        };
        entries.iter().map(endpoint).collect()
    }

    /// Starts a process of a node, with the list that the agent has.
    pub(super) fn start(&mut self, node: NodeId) {
        self.starts[node] += 1;
        self.checker.node_restarted(node);
        let seed = process_seed(self.plan.seed, node, self.starts[node]);
        let (revision, snapshot) = (
            self.world.registry().revision(node),
            self.world.registry().snapshot(node),
        );
        let process = self.processes.len();
        let settings = Settings {
            node_index: Some(node as u32),
            ..self.settings.clone()
        };
        let policy = self.policies.create(settings.clone(), seed, process);
        if self.plan.record && process == 0 {
            self.recorder = Some(Recorder::new(
                &settings,
                self.class_names.clone(),
                seed,
                CLOCK_AT_START + self.now,
            ));
        }
        self.processes.push(Process::new(node, policy, revision));
        self.serving[node] = Some(process);
        let endpoints = self.endpoints(&snapshot);
        self.deliver(
            process,
            Event::EndpointUpdate {
                kind: UpdateKind::Cached,
                endpoints,
            },
        );
    }

    pub(super) fn command(&mut self, node: NodeId, command: NodeCommand) {
        match command {
            NodeCommand::Kill => {
                self.serving[node] = None;
                self.front.set_unresponsive(self.now, node);
                self.checker.node_died(node, self.now);
                let of_node =
                    |p: &ProcessIx| self.processes[*p].node == node && self.processes[*p].alive;
                let killed: Vec<ProcessIx> = (0..self.processes.len()).filter(of_node).collect();
                killed.into_iter().for_each(|process| self.kill(process));
            }
            // The process finishes its requests. It gets new ones until the front ends know that it is stopping.
            NodeCommand::Stop => {
                self.front.set_ready(self.now, node, false);
                let process = self.serving[node];
                process.into_iter().for_each(|p| {
                    self.queue
                        .push(self.now + STOP_ACCEPT_TIME, QueuedEvent::StopAccepting(p))
                });
            }
            NodeCommand::Start => {
                self.start(node);
                self.queue
                    .push(self.now + READY_DELAY, QueuedEvent::Ready(node));
            }
            NodeCommand::Upgrade => self.start(node),
            NodeCommand::Standby(on) => self.front.set_ready(self.now, node, !on),
            NodeCommand::MoveDiscovery => {}
        }
    }

    /// Kills a process: its connections close, its jobs are cancelled, and its clients see closed connections.
    pub(super) fn kill(&mut self, at: ProcessIx) {
        self.processes[at].alive = false;
        for (_, request) in std::mem::take(&mut self.processes[at].requests) {
            for attempt in request.attempts.into_iter().flatten() {
                if attempt.has_connection {
                    self.world.disconnect(attempt.server);
                }
                if let Some(job) = attempt.job {
                    self.jobs.remove(&job);
                    self.with_world(|world, now, out| world.cancel(now, attempt.server, job, out));
                }
            }
            if !request.answered {
                let client_request = self.clients[request.client].request().clone();
                let outcome = self
                    .checker
                    .closed(&request.txn, &client_request, false, self.now);
                self.next_try(request.client, outcome);
            }
        }
    }
}
