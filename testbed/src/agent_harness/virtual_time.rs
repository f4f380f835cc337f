//! A fleet of agents in virtual time: their membership state machines, the links between them, and the faults
//! of both. One queue orders all events, so that a seed determines a run.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use control_plane::membership::{
    fleet_id, CallId, CallMessage, Change, ConnId, FormatRange, FullView, MemberRow, MemberState,
    Membership, MembershipAction, MembershipEvent, MembershipSettings, MembershipStart, NodeState,
    Record, RowState, SUPPORTED_FORMATS,
};
use control_plane::Micros;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

/// Time after which a call without an answer fails.
const CALL_TIMEOUT: Micros = 1_000_000;
/// IP address of the first agent; the others' follow.
const FIRST_IP: u32 = 0x0a00_0001;
/// Wall clock at the start of a run, in milliseconds.
const START_WALL_MS: u64 = 1_700_000_000_000;

/// What the links between agents do to datagrams. Calls are only delayed or cut, as TCP repairs the rest.
#[derive(Clone, Debug)]
pub struct Links {
    /// Fraction of datagrams that is lost, in each direction.
    pub loss: f64,
    /// Fraction of datagrams that is delivered twice.
    pub duplicates: f64,
    /// One-way delay, in microseconds: shortest and longest.
    pub delay: (Micros, Micros),
    /// Directions that carry nothing, from one agent to another.
    pub cut: BTreeSet<(usize, usize)>,
    /// Regions over which the agents are spread in turn. Each pair of regions has a round trip of its own, 5
    /// to 250 ms, on top of the delay. One region adds no delay.
    pub regions: usize,
}

/// Shortest and longest round trip between two regions, in microseconds.
const REGION_ROUND_TRIPS: (Micros, Micros) = (5_000, 250_000);

impl Default for Links {
    fn default() -> Self {
        Links {
            loss: 0.0,
            duplicates: 0.0,
            delay: (200, 1_000),
            cut: BTreeSet::new(),
            regions: 1,
        }
    }
}

impl Links {
    /// Partitions two groups of agents from each other, in both directions.
    pub fn partition(&mut self, one: &[usize], other: &[usize]) {
        for &a in one {
            self.cut
                .extend(other.iter().flat_map(|&b| [(a, b), (b, a)]));
        }
    }

    /// One-way delay between the regions of two agents, in microseconds. Round trips are spread evenly over
    /// the pairs of regions.
    pub fn region_delay(&self, from: usize, to: usize) -> Micros {
        let (one, other) = (from % self.regions, to % self.regions);
        let (low, high) = (one.min(other), one.max(other));
        if low == high {
            return 0;
        }
        // Index of the pair among all pairs, ordered by the lower region and then the higher one.
        let pair = low * (2 * self.regions - low - 1) / 2 + high - low - 1;
        let last = (self.regions * (self.regions - 1) / 2 - 1).max(1);
        let (shortest, longest) = REGION_ROUND_TRIPS;
        (shortest + (longest - shortest) * pair as Micros / last as Micros) / 2
    }
}

enum ScheduledEvent {
    Wake(usize),
    Datagram {
        to: usize,
        bytes: Vec<u8>,
    },
    CallArrived {
        from: usize,
        process_number: u64,
        call: CallId,
        to: usize,
        bytes: Vec<u8>,
    },
    AnswerArrived {
        to: usize,
        process_number: u64,
        call: CallId,
        bytes: Vec<u8>,
    },
    CallFailed {
        to: usize,
        process_number: u64,
        call: CallId,
    },
}

struct Agent {
    membership: Option<Membership>,
    /// Number of its current process. Answers to calls of an earlier process are dropped.
    process_number: u64,
    wake: Micros,
    /// While the process is paused: events that the operating system holds for it.
    paused: Option<Vec<MembershipEvent>>,
}

/// A membership change that an agent reported.
#[derive(Clone, Debug, PartialEq)]
pub struct ReportedChange {
    /// Virtual time of the report, in microseconds.
    pub at: Micros,
    /// Agent that reported it.
    pub by: usize,
    /// What changed in the view of that agent.
    pub change: Change,
}

/// A fleet of agents.
pub struct Fleet {
    settings: MembershipSettings,
    /// Behaviour of the links from now on.
    pub links: Links,
    agents: Vec<Agent>,
    now: Micros,
    rng: Pcg64,
    seed: u64,
    queue: BinaryHeap<Reverse<(Micros, u64)>>,
    events: BTreeMap<u64, ScheduledEvent>,
    last_id: u64,
    conns: BTreeMap<ConnId, (usize, u64, CallId)>,
    /// All changes that agents reported, in order.
    pub reported_changes: Vec<ReportedChange>,
    /// Agents that stopped because their name was in use.
    pub name_rejected: Vec<usize>,
    /// Time spent in the membership state machines, without the simulation around them.
    pub core_time: Duration,
}

/// Address of an agent in virtual time.
pub fn address(agent: usize) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::from(FIRST_IP + agent as u32), 7_000))
}

/// Name of an agent.
pub fn name(agent: usize) -> String {
    format!("m{agent}")
}

impl Fleet {
    /// A fleet of agents that are not started yet.
    pub fn new(agents: usize, settings: MembershipSettings, links: Links, seed: u64) -> Fleet {
        let agent = || Agent {
            membership: None,
            process_number: 0,
            wake: Micros::MAX,
            paused: None,
        };
        Fleet {
            settings,
            links,
            agents: (0..agents).map(|_| agent()).collect(),
            now: 1_000_000,
            rng: Pcg64::seed_from_u64(seed),
            seed,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            last_id: 0,
            conns: BTreeMap::new(),
            reported_changes: Vec::new(),
            name_rejected: Vec::new(),
            core_time: Duration::ZERO,
        }
    }

    /// A fleet whose agents start within half a second, with the first three as seeds, and run until their
    /// views agree, for two minutes at most.
    pub fn converged(
        agents: usize,
        settings: MembershipSettings,
        links: Links,
        seed: u64,
    ) -> Fleet {
        let mut fleet = Fleet::new(agents, settings, links, seed);
        let step = 500_000 / agents as Micros;
        for agent in 0..agents {
            fleet.start(agent, &[0, 1, 2]);
            fleet.run(step);
        }
        let limit = fleet.now + 120_000_000;
        while !fleet.is_converged() && fleet.now < limit {
            fleet.run(100_000);
        }
        fleet
    }

    /// As [`Fleet::converged`], but each agent's join is answered with a complete view at once: in a large
    /// fleet, a thousand concurrent joins cost more than all that is measured after them.
    pub fn preconverged(
        agents: usize,
        settings: MembershipSettings,
        links: Links,
        seed: u64,
    ) -> Fleet {
        let mut fleet = Fleet::new(agents, settings, links, seed);
        let id = fleet_id(&fleet.settings.fleet);
        let mut records = Vec::new();
        for agent in 0..agents {
            fleet.last_id += 1;
            let record = fleet.record(agent, &name(agent), fleet.last_id, SUPPORTED_FORMATS);
            let record = Record {
                generation: record.started_ms,
                version: 1,
                ..record
            };
            fleet.install(
                agent,
                fleet.last_id,
                record.clone(),
                &[(agent + 1) % agents],
            );
            records.push(record);
        }
        let mut all = Vec::new();
        for agent in 0..agents {
            let others = || {
                records
                    .iter()
                    .enumerate()
                    .filter(|(at, _)| *at != agent)
                    .map(|(_, record)| record)
            };
            let row = |record: &Record| MemberRow {
                identity: record.identity(),
                incarnation: 0,
                state: RowState::Alive,
            };
            let from = records[(agent + 1) % agents].clone();
            let (rows, records) = (others().map(row).collect(), others().cloned().collect());
            let bytes = CallMessage::SyncViews(FullView {
                from,
                digest: 0,
                rows,
                records,
            })
            .encode(id);
            let Some(membership) = &mut fleet.agents[agent].membership else {
                continue;
            };
            let mut actions = Vec::new();
            membership.on_event(fleet.now, MembershipEvent::Start, &mut actions);
            if let Some(MembershipAction::Call { call, .. }) = actions.pop() {
                membership.on_event(
                    fleet.now,
                    MembershipEvent::Answered { call, bytes },
                    &mut actions,
                );
            }
            all.push((agent, actions));
        }
        for (agent, actions) in all {
            actions
                .into_iter()
                .for_each(|action| fleet.execute(agent, action));
            fleet.wake(agent);
        }
        let limit = fleet.now + 60_000_000;
        while !fleet.is_converged() && fleet.now < limit {
            fleet.run(100_000);
        }
        fleet.reported_changes.clear();
        fleet
    }

    /// The virtual time, in microseconds.
    pub fn now(&self) -> Micros {
        self.now
    }

    /// Starts an agent under its own name, with other agents as its seeds.
    pub fn start(&mut self, agent: usize, seeds: &[usize]) {
        self.start_as(agent, &name(agent), seeds, SUPPORTED_FORMATS);
    }

    /// Starts an agent under any name, with any range of message formats.
    pub fn start_as(&mut self, agent: usize, name: &str, seeds: &[usize], formats: FormatRange) {
        self.last_id += 1;
        let process_number = self.last_id;
        let record = self.record(agent, name, process_number, formats);
        self.install(agent, process_number, record, seeds);
        self.deliver(agent, MembershipEvent::Start);
    }

    fn record(
        &self,
        agent: usize,
        name: &str,
        process_number: u64,
        formats: FormatRange,
    ) -> Record {
        Record {
            name: name.parse().expect("harness names are valid names"),
            generation: 0,
            process: self.seed.wrapping_mul(0x9e37_79b9_7f4a_7c15)
                ^ (process_number << 16)
                ^ agent as u64,
            version: 0,
            addr: address(agent),
            operators: None,
            clients: None,
            machine: format!("machine-{agent}"),
            zone: format!("zone-{}", agent % 3),
            program: "0.1.0".into(),
            started_ms: START_WALL_MS + self.now / 1_000,
            node: NodeState::Serving,
            left: false,
            formats,
            note: String::new(),
        }
    }

    fn install(&mut self, agent: usize, process_number: u64, record: Record, seeds: &[usize]) {
        let settings = MembershipSettings {
            formats: record.formats,
            ..self.settings.clone()
        };
        let seeds = seeds.iter().copied().map(address).collect();
        let membership = Membership::new(
            settings,
            MembershipStart {
                record,
                seeds,
                seed: self.seed ^ process_number.rotate_left(32),
            },
        );
        self.agents[agent] = Agent {
            membership: Some(membership),
            process_number,
            wake: Micros::MAX,
            paused: None,
        };
    }

    /// Kills an agent: the others get no message about it.
    pub fn kill(&mut self, agent: usize) {
        let agent = &mut self.agents[agent];
        (agent.membership, agent.wake, agent.paused) = (None, Micros::MAX, None);
    }

    /// Makes an agent leave the fleet, as on a planned stop.
    pub fn leave(&mut self, agent: usize) {
        self.deliver(agent, MembershipEvent::Leave);
    }

    /// Pauses an agent's process, as SIGSTOP does.
    pub fn pause(&mut self, agent: usize) {
        self.agents[agent].paused.get_or_insert_default();
    }

    /// Resumes an agent's process, which first gets the events that were held for it.
    pub fn resume(&mut self, agent: usize) {
        for event in self.agents[agent].paused.take().unwrap_or_default() {
            self.deliver(agent, event);
        }
        self.wake(agent);
    }

    /// Membership state machine of an agent, while it runs.
    pub fn core(&self, agent: usize) -> Option<&Membership> {
        self.agents[agent].membership.as_ref()
    }

    /// Delivers an event from outside the links to an agent, such as a new state of its node.
    pub fn event(&mut self, agent: usize, event: MembershipEvent) {
        self.deliver(agent, event);
    }

    /// State of a member in an agent's view.
    pub fn sees(&self, by: usize, of: usize) -> Option<MemberState> {
        let name = name(of).parse().ok()?;
        self.core(by)?.view().get(&name).map(|entry| entry.state)
    }

    /// Whether all running agents see exactly the running agents, with equal views.
    pub fn is_converged(&self) -> bool {
        let mut memberships = self
            .agents
            .iter()
            .filter_map(|agent| agent.membership.as_ref());
        let running = self
            .agents
            .iter()
            .filter(|agent| agent.membership.is_some())
            .count();
        let Some(first) = memberships.next() else {
            return true;
        };
        let digest = first.view().digest();
        let same = |membership: &Membership| {
            membership.view().digest() == digest && membership.view().present().count() == running
        };
        same(first) && memberships.all(same)
    }

    /// Number of agents' processes that were called failed by anyone although they ran.
    pub fn false_failures(&self, killed: &[usize]) -> usize {
        let killed: BTreeSet<String> = killed.iter().map(|&agent| name(agent)).collect();
        let failures = self
            .reported_changes
            .iter()
            .filter_map(|reported| match &reported.change {
                Change::Member {
                    name,
                    to: MemberState::Failed,
                    generation,
                    ..
                } if !killed.contains(name.as_str()) => Some((name.clone(), *generation)),
                _ => None,
            });
        failures.collect::<BTreeSet<_>>().len()
    }

    /// Advances the virtual time by `span`.
    pub fn run(&mut self, span: Micros) {
        let end = self.now + span;
        while let Some(Reverse((at, last_id))) = self.queue.peek().copied() {
            if at > end {
                break;
            }
            self.queue.pop();
            self.now = at;
            if let Some(event) = self.events.remove(&last_id) {
                self.handle(event);
            }
        }
        self.now = end;
    }

    fn handle(&mut self, event: ScheduledEvent) {
        match event {
            ScheduledEvent::Wake(agent) => {
                if self.agents[agent].wake <= self.now && self.agents[agent].paused.is_none() {
                    self.wake(agent);
                }
            }
            ScheduledEvent::Datagram { to, bytes } => {
                self.deliver(to, MembershipEvent::Datagram(bytes))
            }
            ScheduledEvent::CallArrived {
                from,
                process_number,
                call,
                to,
                bytes,
            } => {
                self.last_id += 1;
                self.conns
                    .insert(self.last_id, (from, process_number, call));
                self.deliver(
                    to,
                    MembershipEvent::Called {
                        conn: self.last_id,
                        bytes,
                    },
                );
            }
            ScheduledEvent::AnswerArrived {
                to,
                process_number,
                call,
                bytes,
            } if self.agents[to].process_number == process_number => {
                self.deliver(to, MembershipEvent::Answered { call, bytes });
            }
            ScheduledEvent::CallFailed {
                to,
                process_number,
                call,
            } if self.agents[to].process_number == process_number => {
                self.deliver(to, MembershipEvent::CallFailed(call));
            }
            ScheduledEvent::AnswerArrived { .. } | ScheduledEvent::CallFailed { .. } => {}
        }
    }

    fn wake(&mut self, agent: usize) {
        self.agents[agent].wake = Micros::MAX;
        self.deliver(agent, MembershipEvent::Wake);
    }

    fn deliver(&mut self, agent: usize, event: MembershipEvent) {
        if let Some(held) = &mut self.agents[agent].paused {
            held.push(event);
            return;
        }
        let Some(membership) = &mut self.agents[agent].membership else {
            return;
        };
        let (mut actions, began) = (Vec::new(), Instant::now());
        membership.on_event(self.now, event, &mut actions);
        self.core_time += began.elapsed();
        let wake = membership.next_wake();
        if wake < self.agents[agent].wake {
            self.agents[agent].wake = wake;
            self.schedule(wake.max(self.now), ScheduledEvent::Wake(agent));
        }
        actions
            .into_iter()
            .for_each(|action| self.execute(agent, action));
    }

    fn execute(&mut self, agent: usize, action: MembershipAction) {
        match action {
            MembershipAction::Send { to, bytes } => {
                let Some(to) = self.agent_at(to) else { return };
                let copies = 1 + usize::from(self.chance(self.links.duplicates));
                for _ in 0..copies {
                    if !self.links.cut.contains(&(agent, to)) && !self.chance(self.links.loss) {
                        let at = self.now + self.links.region_delay(agent, to) + self.delay();
                        self.schedule(
                            at,
                            ScheduledEvent::Datagram {
                                to,
                                bytes: bytes.clone(),
                            },
                        );
                    }
                }
            }
            MembershipAction::Call { call, to, bytes } => {
                let process_number = self.agents[agent].process_number;
                let target = self.agent_at(to).filter(|&to| {
                    let cut = &self.links.cut;
                    !cut.contains(&(agent, to))
                        && !cut.contains(&(to, agent))
                        && self.agents[to].membership.is_some()
                });
                let at = self.now + CALL_TIMEOUT;
                self.schedule(
                    at,
                    ScheduledEvent::CallFailed {
                        to: agent,
                        process_number,
                        call,
                    },
                );
                if let Some(to) = target {
                    // The connection is set up first, which takes one round trip.
                    let at = self.now + 3 * self.links.region_delay(agent, to) + 2 * self.delay();
                    self.schedule(
                        at,
                        ScheduledEvent::CallArrived {
                            from: agent,
                            process_number,
                            call,
                            to,
                            bytes,
                        },
                    );
                }
            }
            MembershipAction::Answer { conn, bytes } => {
                if let Some((to, process_number, call)) = self.conns.remove(&conn) {
                    let at = self.now + self.links.region_delay(agent, to) + self.delay();
                    self.schedule(
                        at,
                        ScheduledEvent::AnswerArrived {
                            to,
                            process_number,
                            call,
                            bytes,
                        },
                    );
                }
            }
            // Messages of the coordinators are simulated in `coordination`.
            MembershipAction::Deliver { .. } => {}
            MembershipAction::Report(change) => self.reported_changes.push(ReportedChange {
                at: self.now,
                by: agent,
                change,
            }),
            MembershipAction::NameRejected(_) => {
                self.name_rejected.push(agent);
                self.kill(agent);
            }
            MembershipAction::Left => self.kill(agent),
        }
    }

    fn agent_at(&self, addr: SocketAddr) -> Option<usize> {
        let SocketAddr::V4(addr) = addr else {
            return None;
        };
        let agent = u32::from(*addr.ip()).checked_sub(FIRST_IP)? as usize;
        (agent < self.agents.len()).then_some(agent)
    }

    fn chance(&mut self, probability: f64) -> bool {
        probability > 0.0 && self.rng.random::<f64>() < probability
    }

    fn delay(&mut self) -> Micros {
        let (shortest, longest) = self.links.delay;
        self.rng.random_range(shortest..=longest)
    }

    fn schedule(&mut self, at: Micros, event: ScheduledEvent) {
        self.last_id += 1;
        self.queue.push(Reverse((at, self.last_id)));
        self.events.insert(self.last_id, event);
    }
}

/// Settings with short intervals: a member is probed every 200 ms, as in the design goals.
pub fn fast_settings() -> MembershipSettings {
    let probe_interval = Duration::from_millis(200);
    let limit = MembershipSettings::default_rate_limit(probe_interval);
    MembershipSettings {
        send_rate: limit.rate,
        send_burst: limit.burst,
        probe_interval,
        probe_timeout: Duration::from_millis(60),
        gossip_interval: Duration::from_millis(100),
        rejoin_interval: Duration::from_millis(300),
        seed_interval: Duration::from_secs(2),
        convergence_timeout: Duration::from_secs(1),
        sync_interval: Duration::from_secs(15),
        ..MembershipSettings::default()
    }
}
