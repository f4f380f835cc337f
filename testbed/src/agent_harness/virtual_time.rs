//! Owns a fleet of agents in virtual time: their clocks, the links between them, and what befalls both. One queue
//! orders everything, so that one seed gives one play.

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

/// A call that gets no answer is given up after this.
const CALL_PATIENCE: Micros = 1_000_000;
/// The first agent's address; the others follow.
const FIRST_IP: u32 = 0x0a00_0001;
/// The wall clock at the start of a play, in milliseconds.
const WALL_MS: u64 = 1_700_000_000_000;

/// What the links between agents do to datagrams. Calls suffer delay and cuts alone, as TCP mends the rest.
#[derive(Clone, Debug)]
pub struct Links {
    /// The part of datagrams that is lost, each way.
    pub loss: f64,
    /// The part that comes twice.
    pub duplicates: f64,
    /// One-way delay: from, to.
    pub delay: (Micros, Micros),
    /// Directions that carry nothing.
    pub cut: BTreeSet<(usize, usize)>,
    /// Regions that the agents are spread over in turn; each two have a round trip of their own, 5 to 250 ms, on top of
    /// the delay. One is none.
    pub regions: usize,
}

/// The shortest and the longest round trip between two regions.
const BETWEEN_REGIONS: (Micros, Micros) = (5_000, 250_000);

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
    /// Cuts two groups off from each other, both ways.
    pub fn partition(&mut self, one: &[usize], other: &[usize]) {
        for &a in one {
            self.cut
                .extend(other.iter().flat_map(|&b| [(a, b), (b, a)]));
        }
    }

    /// The way between two agents' regions, one way: round trips are spread evenly over the pairs of regions.
    pub fn region_delay(&self, from: usize, to: usize) -> Micros {
        let (one, other) = (from % self.regions, to % self.regions);
        let (low, high) = (one.min(other), one.max(other));
        if low == high {
            return 0;
        }
        // The place of the pair among all pairs, each lower region's after the one before it.
        let pair = low * (2 * self.regions - low - 1) / 2 + high - low - 1;
        let last = (self.regions * (self.regions - 1) / 2 - 1).max(1);
        let (least, most) = BETWEEN_REGIONS;
        (least + (most - least) * pair as Micros / last as Micros) / 2
    }
}

enum Due {
    Wake(usize),
    Datagram {
        to: usize,
        bytes: Vec<u8>,
    },
    Called {
        from: usize,
        life: u64,
        call: CallId,
        to: usize,
        bytes: Vec<u8>,
    },
    Answered {
        to: usize,
        life: u64,
        call: CallId,
        bytes: Vec<u8>,
    },
    CallFailed {
        to: usize,
        life: u64,
        call: CallId,
    },
}

struct Agent {
    core: Option<Membership>,
    /// Counts its lives, so that what was meant for an earlier one is dropped.
    life: u64,
    wake: Micros,
    /// While it is paused: what the system keeps for it.
    paused: Option<Vec<MembershipEvent>>,
}

/// Something an agent told, with when and who.
#[derive(Clone, Debug, PartialEq)]
pub struct ReportedChange {
    /// When.
    pub at: Micros,
    /// By which agent.
    pub by: usize,
    /// What.
    pub change: Change,
}

/// The fleet.
pub struct Fleet {
    settings: MembershipSettings,
    /// What the links do from now on.
    pub links: Links,
    agents: Vec<Agent>,
    now: Micros,
    rng: Pcg64,
    seed: u64,
    queue: BinaryHeap<Reverse<(Micros, u64)>>,
    due: BTreeMap<u64, Due>,
    number: u64,
    conns: BTreeMap<ConnId, (usize, u64, CallId)>,
    /// All that was told, in order.
    pub reported_changes: Vec<ReportedChange>,
    /// Agents that were refused their name.
    pub refused: Vec<usize>,
    /// Time that the cores took, without the fleet's own.
    pub core_time: Duration,
}

/// An agent's address in virtual time.
pub fn address(agent: usize) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::from(FIRST_IP + agent as u32), 7_000))
}

/// An agent's name.
pub fn name(agent: usize) -> String {
    format!("m{agent}")
}

impl Fleet {
    /// So many agents, none of them started.
    pub fn new(agents: usize, settings: MembershipSettings, links: Links, seed: u64) -> Fleet {
        let agent = || Agent {
            core: None,
            life: 0,
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
            due: BTreeMap::new(),
            number: 0,
            conns: BTreeMap::new(),
            reported_changes: Vec::new(),
            refused: Vec::new(),
            core_time: Duration::ZERO,
        }
    }

    /// All of them started within half a second, with the first three as seeds, and brought to agree.
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

    /// As [`Fleet::converged`], but each agent's join is answered by all the others at once: in a large fleet a thousand joins
    /// in one moment cost more than all that is measured after them.
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
            fleet.number += 1;
            let record = fleet.record(agent, &name(agent), fleet.number, SUPPORTED_FORMATS);
            let record = Record {
                generation: record.started_ms,
                version: 1,
                ..record
            };
            fleet.place(agent, fleet.number, record.clone(), &[(agent + 1) % agents]);
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
            let Some(core) = &mut fleet.agents[agent].core else {
                continue;
            };
            let mut actions = Vec::new();
            core.on_event(fleet.now, MembershipEvent::Start, &mut actions);
            if let Some(MembershipAction::Call { call, .. }) = actions.pop() {
                core.on_event(
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
                .for_each(|action| fleet.carry_out(agent, action));
            fleet.wake(agent);
        }
        let limit = fleet.now + 60_000_000;
        while !fleet.is_converged() && fleet.now < limit {
            fleet.run(100_000);
        }
        fleet.reported_changes.clear();
        fleet
    }

    /// The time.
    pub fn now(&self) -> Micros {
        self.now
    }

    /// Starts an agent under its own name, to join by other agents' addresses.
    pub fn start(&mut self, agent: usize, seeds: &[usize]) {
        self.start_as(agent, &name(agent), seeds, SUPPORTED_FORMATS);
    }

    /// Starts an agent under any name and with any newest message format.
    pub fn start_as(&mut self, agent: usize, name: &str, seeds: &[usize], formats: FormatRange) {
        self.number += 1;
        let life = self.number;
        let record = self.record(agent, name, life, formats);
        self.place(agent, life, record, seeds);
        self.give(agent, MembershipEvent::Start);
    }

    fn record(&self, agent: usize, name: &str, life: u64, formats: FormatRange) -> Record {
        Record {
            name: name.parse().expect("the lab's names are names"),
            generation: 0,
            process: self.seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ (life << 16) ^ agent as u64,
            version: 0,
            addr: address(agent),
            operators: None,
            clients: None,
            machine: format!("machine-{agent}"),
            zone: format!("zone-{}", agent % 3),
            program: "0.1.0".into(),
            started_ms: WALL_MS + self.now / 1_000,
            node: NodeState::Serving,
            left: false,
            formats,
            note: String::new(),
        }
    }

    fn place(&mut self, agent: usize, life: u64, record: Record, seeds: &[usize]) {
        let settings = MembershipSettings {
            formats: record.formats,
            ..self.settings.clone()
        };
        let seeds = seeds.iter().copied().map(address).collect();
        let core = Membership::new(
            settings,
            MembershipStart {
                record,
                seeds,
                seed: self.seed ^ life.rotate_left(32),
            },
        );
        self.agents[agent] = Agent {
            core: Some(core),
            life,
            wake: Micros::MAX,
            paused: None,
        };
    }

    /// Ends an agent without a word.
    pub fn kill(&mut self, agent: usize) {
        let gone = &mut self.agents[agent];
        (gone.core, gone.wake, gone.paused) = (None, Micros::MAX, None);
    }

    /// An agent ends on purpose.
    pub fn leave(&mut self, agent: usize) {
        self.give(agent, MembershipEvent::Leave);
    }

    /// An agent's process stops running, as by SIGSTOP.
    pub fn pause(&mut self, agent: usize) {
        self.agents[agent].paused.get_or_insert_default();
    }

    /// It goes on: what the system kept for it comes first.
    pub fn resume(&mut self, agent: usize) {
        for event in self.agents[agent].paused.take().unwrap_or_default() {
            self.give(agent, event);
        }
        self.wake(agent);
    }

    /// An agent's core, while it runs.
    pub fn core(&self, agent: usize) -> Option<&Membership> {
        self.agents[agent].core.as_ref()
    }

    /// Gives an agent an event of its own, such as its node's state.
    pub fn event(&mut self, agent: usize, event: MembershipEvent) {
        self.give(agent, event);
    }

    /// How one agent sees another.
    pub fn sees(&self, by: usize, of: usize) -> Option<MemberState> {
        let name = name(of).parse().ok()?;
        self.core(by)?.view().get(&name).map(|entry| entry.state)
    }

    /// Whether all agents that run see just those that run, and hold the same of them.
    pub fn is_converged(&self) -> bool {
        let mut cores = self.agents.iter().filter_map(|agent| agent.core.as_ref());
        let running = self
            .agents
            .iter()
            .filter(|agent| agent.core.is_some())
            .count();
        let Some(first) = cores.next() else {
            return true;
        };
        let digest = first.view().digest();
        let same = |core: &Membership| {
            core.view().digest() == digest && core.view().present().count() == running
        };
        same(first) && cores.all(same)
    }

    /// How often running agents were called failed by anyone, each life once.
    pub fn false_failures(&self, killed: &[usize]) -> usize {
        let killed: BTreeSet<String> = killed.iter().map(|&agent| name(agent)).collect();
        let falsely = self
            .reported_changes
            .iter()
            .filter_map(|told| match &told.change {
                Change::Member {
                    name,
                    to: MemberState::Failed,
                    generation,
                    ..
                } if !killed.contains(name.as_str()) => Some((name.clone(), *generation)),
                _ => None,
            });
        falsely.collect::<BTreeSet<_>>().len()
    }

    /// Lets time pass.
    pub fn run(&mut self, span: Micros) {
        let end = self.now + span;
        while let Some(Reverse((at, number))) = self.queue.peek().copied() {
            if at > end {
                break;
            }
            self.queue.pop();
            self.now = at;
            if let Some(due) = self.due.remove(&number) {
                self.happen(due);
            }
        }
        self.now = end;
    }

    fn happen(&mut self, due: Due) {
        match due {
            Due::Wake(agent) => {
                if self.agents[agent].wake <= self.now && self.agents[agent].paused.is_none() {
                    self.wake(agent);
                }
            }
            Due::Datagram { to, bytes } => self.give(to, MembershipEvent::Datagram(bytes)),
            Due::Called {
                from,
                life,
                call,
                to,
                bytes,
            } => {
                self.number += 1;
                self.conns.insert(self.number, (from, life, call));
                self.give(
                    to,
                    MembershipEvent::Called {
                        conn: self.number,
                        bytes,
                    },
                );
            }
            Due::Answered {
                to,
                life,
                call,
                bytes,
            } if self.agents[to].life == life => {
                self.give(to, MembershipEvent::Answered { call, bytes });
            }
            Due::CallFailed { to, life, call } if self.agents[to].life == life => {
                self.give(to, MembershipEvent::CallFailed(call));
            }
            Due::Answered { .. } | Due::CallFailed { .. } => {}
        }
    }

    fn wake(&mut self, agent: usize) {
        self.agents[agent].wake = Micros::MAX;
        self.give(agent, MembershipEvent::Wake);
    }

    fn give(&mut self, agent: usize, event: MembershipEvent) {
        if let Some(kept) = &mut self.agents[agent].paused {
            kept.push(event);
            return;
        }
        let Some(core) = &mut self.agents[agent].core else {
            return;
        };
        let (mut actions, began) = (Vec::new(), Instant::now());
        core.on_event(self.now, event, &mut actions);
        self.core_time += began.elapsed();
        let wake = core.next_wake();
        if wake < self.agents[agent].wake {
            self.agents[agent].wake = wake;
            self.later(wake.max(self.now), Due::Wake(agent));
        }
        actions
            .into_iter()
            .for_each(|action| self.carry_out(agent, action));
    }

    fn carry_out(&mut self, agent: usize, action: MembershipAction) {
        match action {
            MembershipAction::Send { to, bytes } => {
                let Some(to) = self.agent_at(to) else { return };
                let copies = 1 + usize::from(self.chance(self.links.duplicates));
                for _ in 0..copies {
                    if !self.links.cut.contains(&(agent, to)) && !self.chance(self.links.loss) {
                        let at = self.now + self.links.region_delay(agent, to) + self.delay();
                        self.later(
                            at,
                            Due::Datagram {
                                to,
                                bytes: bytes.clone(),
                            },
                        );
                    }
                }
            }
            MembershipAction::Call { call, to, bytes } => {
                let life = self.agents[agent].life;
                let target = self.agent_at(to).filter(|&to| {
                    let cut = &self.links.cut;
                    !cut.contains(&(agent, to))
                        && !cut.contains(&(to, agent))
                        && self.agents[to].core.is_some()
                });
                let at = self.now + CALL_PATIENCE;
                self.later(
                    at,
                    Due::CallFailed {
                        to: agent,
                        life,
                        call,
                    },
                );
                if let Some(to) = target {
                    // A connection has to come up first.
                    let at = self.now + 3 * self.links.region_delay(agent, to) + 2 * self.delay();
                    self.later(
                        at,
                        Due::Called {
                            from: agent,
                            life,
                            call,
                            to,
                            bytes,
                        },
                    );
                }
            }
            MembershipAction::Answer { conn, bytes } => {
                if let Some((to, life, call)) = self.conns.remove(&conn) {
                    let at = self.now + self.links.region_delay(agent, to) + self.delay();
                    self.later(
                        at,
                        Due::Answered {
                            to,
                            life,
                            call,
                            bytes,
                        },
                    );
                }
            }
            // Duties have a world of their own.
            MembershipAction::Deliver { .. } => {}
            MembershipAction::Report(change) => self.reported_changes.push(ReportedChange {
                at: self.now,
                by: agent,
                change,
            }),
            MembershipAction::NameRejected(_) => {
                self.refused.push(agent);
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

    fn chance(&mut self, part: f64) -> bool {
        part > 0.0 && self.rng.random::<f64>() < part
    }

    fn delay(&mut self) -> Micros {
        let (least, most) = self.links.delay;
        self.rng.random_range(least..=most)
    }

    fn later(&mut self, at: Micros, due: Due) {
        self.number += 1;
        self.queue.push(Reverse((at, self.number)));
        self.due.insert(self.number, due);
    }
}

/// Windows as in the aims: a member is probed each 200 ms.
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
