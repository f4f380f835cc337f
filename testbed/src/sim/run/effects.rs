//! Owns what the world brings about: finished jobs, broken connections, news of the list, and what is
//! done to nodes.

use super::*;

impl Run<'_> {
    pub(super) fn carry_out(&mut self, effect: Effect) {
        match &effect {
            Effect::Done { .. } => {}
            Effect::Discovery(_) => self.note_of(None, None, || format!("{effect:?}")),
            Effect::Down(at) | Effect::Up(at) | Effect::Silent(at, _) | Effect::Cordon(at, _) => {
                self.note_of(Some(*at), None, || format!("{effect:?}"));
            }
            Effect::ColdOverload { server, .. } => {
                self.note_of(Some(*server), None, || format!("{effect:?}"))
            }
            Effect::EndpointsUpdated(node) | Effect::Node(node, _) => {
                self.note_of(None, Some(*node), || format!("{effect:?}"))
            }
        }
        match effect {
            Effect::Done {
                job,
                outcome: ending,
                ..
            } => self.finish(job, ending),
            Effect::Down(at) => self.reset(at),
            Effect::Silent(at, false) => self.reset(at),
            Effect::Up(_) | Effect::Silent(_, true) => {}
            Effect::ColdOverload {
                server,
                informed_share: told,
            } => {
                let id = self.world.servers()[server].id.clone();
                self.checker.cold_server_overloaded(&id, told, self.now);
            }
            Effect::EndpointsUpdated(node) => self.tell(node),
            Effect::Discovery(outage) => outage
                .into_iter()
                .for_each(|outage| self.lose_discovery(outage)),
            Effect::Node(node, order) => self.order(node, order),
            Effect::Cordon(at, out) => {
                let (server, id) = (
                    number_of(&self.world, at),
                    self.world.servers()[at].id.clone(),
                );
                for node in 0..self.plan.nodes {
                    let Some(process) = self.serving[node] else {
                        continue;
                    };
                    match out {
                        true => self.checker.cordoned(node, &id, self.now, Some(self.now)),
                        false => self.checker.uncordoned(node, &id),
                    }
                    self.deliver(
                        process,
                        Event::Cordon {
                            server,
                            cordoned: out,
                        },
                    );
                }
            }
        }
    }

    pub(super) fn finish(&mut self, job: JobId, ending: JobOutcome) {
        let Some((process, id, number)) = self.jobs.remove(&job) else {
            return;
        };
        let Some(attempt) = self.attempt(process, id, number).copied() else {
            return;
        };
        let node = self.processes[process].node;
        let served = ending == JobOutcome::Served;
        if let Some(told) = attempt.number {
            let txn = self.processes[process].held[&id].txn.clone();
            self.checker.ended(&txn, told, served, false);
        }
        let way = self.world.delay(node, attempt.server);
        let end = if served { End::Ok } else { End::Error };
        self.queue
            .push(self.now + way, Due::Ended(process, id, number, end));
    }

    /// All connections of a server break.
    pub(super) fn reset(&mut self, at: ServerIx) {
        let idle = self.links.reset(at);
        (0..idle).for_each(|_| self.world.disconnect(at));
        for (process, state) in self.processes.iter().enumerate() {
            for (id, held) in &state.held {
                for (number, attempt) in held.attempts.iter().enumerate() {
                    if attempt.is_some_and(|attempt| attempt.server == at) {
                        self.queue
                            .push(self.now, Due::Ended(process, *id, number, End::Reset));
                    }
                }
            }
        }
    }

    pub(super) fn members(&mut self, entries: &[Entry]) -> Vec<Endpoint> {
        for (at, server) in self.world.servers().iter().enumerate() {
            self.places.insert(number(&server.id), at);
        }
        let fleet = &self.plan.scenario.fleet;
        let place = |names: Vec<&String>, name: &String| {
            names.iter().position(|n| *n == name).unwrap_or(0) as u32
        };
        let member = |entry: &Entry| Endpoint {
            server: number(&entry.id),
            zone: ZoneId(place(fleet.zones.iter().collect(), &entry.zone)),
            kind: KindId(place(
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
            started_at: entry.started_at.map_or(0, |at| CLOCK + at),
        };
        entries.iter().map(member).collect()
    }

    pub(super) fn start(&mut self, node: NodeId) {
        self.starts[node] += 1;
        self.checker.node_restarted(node);
        let seed = process_seed(self.plan.seed, node, self.starts[node]);
        let (revision, whole) = (
            self.world.registry().revision(node),
            self.world.registry().snapshot(node),
        );
        let process = self.processes.len();
        let settings = Settings {
            node_index: Some(node as u32),
            ..self.settings.clone()
        };
        let policy = self.starter.start(settings.clone(), seed, process);
        if self.plan.record && process == 0 {
            self.recorder = Some(Recorder::new(
                &settings,
                self.names.clone(),
                seed,
                CLOCK + self.now,
            ));
        }
        self.processes.push(Process::new(node, policy, revision));
        self.serving[node] = Some(process);
        let members = self.members(&whole);
        self.deliver(
            process,
            Event::EndpointUpdate {
                kind: UpdateKind::Cached,
                endpoints: members,
            },
        );
    }

    pub(super) fn order(&mut self, node: NodeId, order: NodeCommand) {
        match order {
            NodeCommand::Kill => {
                self.serving[node] = None;
                self.front.set_unresponsive(self.now, node);
                self.checker.node_died(node, self.now);
                let of_node =
                    |p: &ProcessIx| self.processes[*p].node == node && self.processes[*p].alive;
                let killed: Vec<ProcessIx> = (0..self.processes.len()).filter(of_node).collect();
                killed.into_iter().for_each(|process| self.kill(process));
            }
            // What the process has, it finishes; what comes while the front does not know yet, it takes.
            NodeCommand::Stop => {
                self.front.set_ready(self.now, node, false);
                let process = self.serving[node];
                process
                    .into_iter()
                    .for_each(|p| self.queue.push(self.now + STILL_TAKES, Due::Retire(p)));
            }
            NodeCommand::Start => {
                self.start(node);
                self.queue.push(self.now + READY, Due::Ready(node));
            }
            NodeCommand::Upgrade => self.start(node),
            NodeCommand::Standby(on) => self.front.set_ready(self.now, node, !on),
            NodeCommand::MoveDiscovery => {}
        }
    }

    pub(super) fn kill(&mut self, at: ProcessIx) {
        self.processes[at].alive = false;
        for (_, held) in std::mem::take(&mut self.processes[at].held) {
            for attempt in held.attempts.into_iter().flatten() {
                if attempt.linked {
                    self.world.disconnect(attempt.server);
                }
                if let Some(job) = attempt.job {
                    self.jobs.remove(&job);
                    self.on_world(|world, now, out| world.cancel(now, attempt.server, job, out));
                }
            }
            if !held.answered {
                let ask = self.clients[held.client].request().clone();
                let answer = self.checker.closed(&held.txn, &ask, false, self.now);
                self.next_try(held.client, answer);
            }
        }
    }
}
