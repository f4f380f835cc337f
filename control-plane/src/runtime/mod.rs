//! The agent on tokio: sockets, timers, the node's process, staff's address. It decides nothing: what happens is
//! handed to the pure rooms, and what they want is carried out.

mod census;
mod clock;
mod coordinator_actions;
mod coordinator_host;
mod figures;
pub mod http;
mod node;
mod operators;
mod pidfile;
mod tell;
mod wire;

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use nix::sys::signal::Signal;
use rand::random;
use tokio::net::UdpSocket;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::{mpsc, oneshot, OwnedSemaphorePermit};
use tracing::{info, warn};

use crate::config::Config;
use crate::coordinator::{self, CommandResult, CoordinatorReport, OperatorCommand};
use crate::membership::{
    self, CallId, ConnId, Membership, Name, NodeState, Record, Report, Start, MAX_DATAGRAM_BYTES,
};
use crate::metrics::{FleetMetricsReport, MetricsAnswer};
use crate::supervisor::{self, Supervisor};
use crate::Micros;
use census::CensusHost;
use clock::Clock;
pub use coordinator_host::VOTER_STORE_FILE;
use coordinator_host::{Caller, CoordinatorHost};
use node::NodeHost;
pub use pidfile::{PidFile, Running};
pub use wire::{BACKLOG, CALLERS};

/// Messages between the tasks, at most: what waits longer for the main task is turned away.
const QUEUE: usize = 256;
/// Datagrams and messages handled before timers are looked at again.
const ROUND: usize = 256;

/// Why an agent could not start or go on.
#[derive(Debug, thiserror::Error)]
pub enum HostError {
    /// An address can't be listened on.
    #[error("{what} {addr}: {source}")]
    Bind {
        /// Which.
        what: &'static str,
        /// Where.
        addr: SocketAddr,
        /// Why.
        source: io::Error,
    },
    /// The folder for what is kept.
    #[error("{path}: {source}")]
    State {
        /// Which file or folder.
        path: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// Another agent holds the folder.
    #[error("{0}: another agent runs on this folder")]
    Locked(PathBuf),
    /// Signals can't be listened to.
    #[error("signals: {0}")]
    Signals(io::Error),
}

/// How an agent ended.
#[derive(Debug)]
pub enum Exit {
    /// It was told to, and everyone was told.
    Left,
    /// An older process holds the name.
    Refused(Box<Record>),
}

/// What the tasks tell the main one.
enum Msg {
    /// Another agent calls. Its place among those that are read is free once this is looked at.
    Called {
        bytes: Vec<u8>,
        answer: oneshot::Sender<Vec<u8>>,
        reading: OwnedSemaphorePermit,
    },
    /// A call came to its end.
    CallEnded {
        call: CallId,
        answer: Option<Vec<u8>>,
    },
    /// The node.
    Node(supervisor::Event),
    /// Staff ask for the fleet.
    Report(oneshot::Sender<Box<Report>>),
    /// The voter's store, or an act that came to its end.
    Coordinator(coordinator::Event),
    /// Staff ask for the duties.
    Duties(oneshot::Sender<Box<CoordinatorReport>>),
    /// Staff ask for something to be agreed on.
    Ask {
        command: OperatorCommand,
        answer: oneshot::Sender<CommandResult>,
    },
    /// Staff ask for the figures.
    Figures(oneshot::Sender<String>),
    /// The node's figures, as it tells them.
    NodePage(bytes::Bytes),
    /// Another agent's node.
    Told(Name, MetricsAnswer),
    /// Staff ask for the census.
    Census(oneshot::Sender<Option<Box<FleetMetricsReport>>>),
}

struct Host {
    config: Config,
    clock: Clock,
    core: Membership,
    supervisor: Supervisor,
    coordinator: CoordinatorHost,
    census: CensusHost,
    process: u64,
    node: Option<NodeHost>,
    node_state: NodeState,
    udp: UdpSocket,
    tx: mpsc::Sender<Msg>,
    conns: BTreeMap<ConnId, oneshot::Sender<Vec<u8>>>,
    conn_number: ConnId,
    stopping: bool,
    /// The node has ended, and the duties are with others: both before the agent leaves.
    drained: bool,
    handed_over: bool,
    unsent: u64,
    ended: Option<Exit>,
}

/// Runs an agent until it has left, or is refused its name.
pub async fn run(config: Config) -> Result<Exit, HostError> {
    let _lock = pidfile::lock(&config.state_dir)?;
    let mut term = signal(SignalKind::terminate()).map_err(HostError::Signals)?;
    // A file that may not grow is a full disk, which stops promises, and not the agent.
    let _ignored =
        signal(SignalKind::from_raw(Signal::SIGXFSZ as i32)).map_err(HostError::Signals)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(HostError::Signals)?;
    let bind = |what, addr| move |source| HostError::Bind { what, addr, source };
    let udp = UdpSocket::bind(config.listen)
        .await
        .map_err(bind("datagrams at", config.listen))?;
    let calls = wire::listen(config.listen).map_err(bind("calls at", config.listen))?;
    let staff = wire::listen(config.operators).map_err(bind("staff at", config.operators))?;
    let (tx, mut rx) = mpsc::channel(QUEUE);
    tokio::task::spawn_local(wire::accept(calls, tx.clone()));
    tokio::task::spawn_local(operators::accept(staff, tx.clone()));
    let clock = Clock::start();
    let start = start_of(&config);
    let process = start.record.process;
    let census = CensusHost::new(&config, clock.now());
    let coordinator = CoordinatorHost::new(&config, start.record.process, clock.now(), tx.clone())?;
    let core = Membership::new(config.membership.clone(), start);
    let node = match &config.node {
        Some(node) => Some(NodeHost::new(&config, node.clone(), tx.clone())?),
        None => None,
    };
    let supervise = config
        .node
        .as_ref()
        .map(|node| node.supervision.clone())
        .unwrap_or_default();
    info!(name = %config.name, listen = %config.listen, operators = %config.operators, "agent starts");
    let mut host = Host {
        config,
        clock,
        core,
        supervisor: Supervisor::new(supervise),
        coordinator,
        census,
        process,
        node,
        node_state: NodeState::Stopped,
        udp,
        tx,
        conns: BTreeMap::new(),
        conn_number: 0,
        stopping: false,
        drained: false,
        handed_over: false,
        unsent: 0,
        ended: None,
    };
    // The node first: it waits for nothing of the plane.
    if let Some(node) = &mut host.node {
        let adopted = node.adopt();
        host.supervise(supervisor::Event::Begin { adopted });
    }
    host.member(membership::Event::Start);
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES + 1];
    loop {
        host.round(&mut buffer, &mut rx);
        if let Some(exit) = host.ended.take() {
            return Ok(exit);
        }
        let next = host
            .core
            .next_wake()
            .min(host.supervisor.next_wake())
            .min(host.coordinator.core.next_wake());
        let next = next.min(host.census.next_wake());
        tokio::select! {
            _ = host.udp.readable() => {}
            Some(msg) = rx.recv() => host.message(msg),
            () = tokio::time::sleep_until(host.clock.instant(next)) => {}
            _ = term.recv() => host.stop("SIGTERM"),
            _ = interrupt.recv() => host.stop("SIGINT"),
        }
    }
}

fn start_of(config: &Config) -> Start {
    let record = Record {
        name: config.name.clone(),
        generation: 0,
        process: random(),
        version: 0,
        addr: config.advertise,
        operators: Some(config.operators),
        clients: config.node.as_ref().map(|node| node.listen),
        machine: config.machine.clone(),
        zone: config.zone.clone(),
        program: env!("CARGO_PKG_VERSION").into(),
        started_ms: coordinator_host::wall_ms(),
        node: NodeState::Stopped,
        left: false,
        formats: config.membership.formats,
        note: String::new(),
    };
    Start {
        record,
        seeds: config.seeds.clone(),
        seed: random(),
    }
}

impl Host {
    /// All that waits, network first: after a pause the backlog is heard before anyone is judged by the time.
    fn round(&mut self, buffer: &mut [u8], rx: &mut mpsc::Receiver<Msg>) {
        for _ in 0..ROUND {
            match self.udp.try_recv_from(buffer) {
                Ok((length, _)) => {
                    self.member(membership::Event::Datagram(buffer[..length].to_vec()))
                }
                // Loopback tells of ports that nobody has; the next one may be fine.
                Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => {}
                Err(_) => break,
            }
        }
        for _ in 0..ROUND {
            let Ok(msg) = rx.try_recv() else { break };
            self.message(msg);
        }
        let now = self.clock.now();
        if now >= self.core.next_wake() {
            self.member(membership::Event::Wake);
        }
        if now >= self.supervisor.next_wake() {
            self.supervise(supervisor::Event::Wake);
        }
        if now >= self.coordinator.core.next_wake() {
            self.coordinate(CoordinatorHost::wake());
        }
        if now >= self.census.next_wake() {
            self.census_beat();
        }
    }

    fn message(&mut self, msg: Msg) {
        match msg {
            Msg::Called {
                bytes,
                answer,
                reading: _reading,
            } => {
                self.conn_number += 1;
                let conn = self.conn_number;
                self.conns.insert(conn, answer);
                self.member(membership::Event::Called { conn, bytes });
                // Not answered at once is not answered: dropped, it tells the caller's task.
                self.conns.remove(&conn);
            }
            Msg::CallEnded {
                call,
                answer: Some(bytes),
            } => {
                self.member(membership::Event::Answered { call, bytes });
            }
            Msg::CallEnded { call, answer: None } => {
                self.member(membership::Event::CallFailed(call))
            }
            Msg::Node(event) => {
                if let (supervisor::Event::Exited(_), Some(node)) = (&event, &mut self.node) {
                    node.ended();
                }
                self.supervise(event);
            }
            Msg::Coordinator(event) => self.coordinate(event),
            Msg::Duties(answer) => {
                let report = self.coordinator.core.report(self.clock.now());
                let report = CoordinatorReport {
                    cordoned_locally: self.coordinator.cordoned_locally(),
                    ..report
                };
                // Who asks may have gone, here and below.
                drop(answer.send(Box::new(report)));
            }
            Msg::Ask { command, answer } => {
                let call = self.coordinator.register(Caller::Operator(answer));
                self.coordinate(coordinator::Event::CommandReceived { call, command });
            }
            Msg::Report(answer) => drop(answer.send(Box::new(self.core.report(self.clock.now())))),
            Msg::NodePage(page) => self.node_read(&String::from_utf8_lossy(&page)),
            Msg::Told(name, tally) => self.told(&name, tally),
            Msg::Census(answer) => self.census_asked(answer),
            Msg::Figures(answer) => drop(answer.send(self.figures())),
        }
    }

    fn figures(&self) -> String {
        let report = self.core.report(self.clock.now());
        let node = self
            .node
            .as_ref()
            .map(|node| (self.node_state, node.starts()));
        figures::text(&report, node, self.unsent)
    }

    fn stop(&mut self, why: &str) {
        if std::mem::replace(&mut self.stopping, true) {
            return;
        }
        info!(why, "agent stops");
        self.coordinate(coordinator::Event::Stop);
        if self.node.is_some() {
            self.supervise(supervisor::Event::Shutdown);
        } else {
            self.drained = true;
        }
        self.leave();
    }

    /// Leaves once nothing is left to do.
    fn leave(&mut self) {
        if self.drained && self.handed_over {
            self.member(membership::Event::Leave);
        }
    }

    fn member(&mut self, event: membership::Event) {
        let mut actions = Vec::new();
        let now: Micros = self.clock.now();
        self.core.on_event(now, event, &mut actions);
        let mut changed = false;
        for action in actions {
            match action {
                membership::Action::Send { to, bytes } => {
                    // A datagram that does not go out is one that is lost: membership expects some to be.
                    if self.udp.try_send_to(&bytes, to).is_err() {
                        self.unsent += 1;
                    }
                }
                membership::Action::Call { call, to, bytes } => {
                    let (from, tx) = (self.config.listen.ip(), self.tx.clone());
                    tokio::task::spawn_local(async move {
                        let answer = wire::call(from, to, bytes).await;
                        // The main task has ended where nobody takes it.
                        let _ = tx.send(Msg::CallEnded { call, answer }).await;
                    });
                }
                membership::Action::Answer { conn, bytes } => {
                    if let Some(answer) = self.conns.remove(&conn) {
                        let _ = answer.send(bytes);
                    }
                }
                membership::Action::Deliver { conn, message } => self.pass(conn, *message),
                membership::Action::Report(change) => {
                    tell::change(&self.config.name, &change);
                    changed = true;
                }
                membership::Action::NameRejected(holder) => {
                    warn!(name = %self.config.name, holder = %holder.addr, started_ms = holder.started_ms,
                        "refused: an older process holds this name");
                    self.refused(holder);
                }
                membership::Action::Left => self.ended = Some(Exit::Left),
            }
        }
        if changed {
            let present = self.core.view().present().map(|entry| coordinator::Member {
                name: entry.identity.name.clone(),
                process: entry.identity.process,
                zone: entry
                    .record
                    .as_ref()
                    .map(|record| record.zone.clone())
                    .unwrap_or_default(),
            });
            let members = present.collect();
            self.coordinate(coordinator::Event::Members(members));
        }
    }

    fn refused(&mut self, holder: Box<Record>) {
        self.stopping = true;
        self.ended = Some(Exit::Refused(holder));
        if let Some(node) = &mut self.node {
            // It serves under a name that is another's: it goes at once, and nothing of it stays behind.
            node.end_now();
        }
    }

    fn supervise(&mut self, event: supervisor::Event) {
        let mut actions = Vec::new();
        self.supervisor
            .on_event(self.clock.now(), event, &mut actions);
        for action in actions {
            let Some(node) = &mut self.node else { return };
            match action {
                supervisor::Action::Start => {
                    let event = match node.start() {
                        Ok(pid) => {
                            self.node_started();
                            supervisor::Event::Started(pid)
                        }
                        Err(error) => supervisor::Event::StartFailed(error.to_string()),
                    };
                    self.supervise(event);
                }
                supervisor::Action::QueryStatus => node.ask(),
                supervisor::Action::Terminate => node.terminate(),
                supervisor::Action::Kill => node.kill(),
                supervisor::Action::CloseListener => node.release(),
                supervisor::Action::ReportState { state, note } => {
                    info!(node = state.as_str(), note, "node");
                    self.node_state = state;
                    self.member(membership::Event::NodeStateChanged { state, note });
                }
                supervisor::Action::Finished => {
                    self.drained = true;
                    self.leave();
                }
            }
        }
    }
}
