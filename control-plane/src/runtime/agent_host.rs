//! The agent's main task. It owns the state machines, waits for datagrams, events, timers and signals, and passes them
//! to the state machines.

use std::collections::BTreeMap;
use std::io;

use nix::sys::signal::Signal as UnixSignal;
use rand::random;
use tokio::net::{TcpListener, UdpSocket};
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::{mpsc, oneshot};
use tracing::info;

use super::clock::Clock;
use super::coordinator_host::{wall_ms, Caller, CoordinatorHost};
use super::metrics_host::MetricsHost;
use super::node_process::NodeProcess;
use super::{agent_calls, operator_api, prometheus, state_lock, HostEvent, RuntimeError};
use crate::config::Config;
use crate::coordinator::{CoordinatorEvent, CoordinatorReport};
use crate::membership::{
    ConnId, Membership, MembershipEvent, MembershipStart, NodeState, Record, MAX_DATAGRAM_BYTES,
};
use crate::supervisor::{Supervisor, SupervisorEvent};
use crate::Micros;

/// Capacity of the main task's event queue. Tasks that send events wait while it is full.
const EVENT_QUEUE_CAPACITY: usize = 256;
/// Maximum number of datagrams, and of events, that are handled before timers are checked again.
const MAX_BATCH: usize = 256;

/// Why an agent has ended.
#[derive(Debug)]
pub enum Exit {
    /// The agent was asked to stop and has left the fleet.
    Left,
    /// An older process of the fleet has the agent's name. Contains the record of that process.
    NameRejected(Box<Record>),
}

/// The agent's state machines and what they need for their I/O.
pub struct AgentHost {
    pub(super) config: Config,
    pub(super) clock: Clock,
    pub(super) membership: Membership,
    pub(super) supervisor: Supervisor,
    pub(super) coordinator: CoordinatorHost,
    pub(super) metrics: MetricsHost,
    /// Random id of this process, as in its record.
    pub(super) process: u64,
    pub(super) node: Option<NodeProcess>,
    pub(super) node_state: NodeState,
    pub(super) udp: UdpSocket,
    pub(super) events: mpsc::Sender<HostEvent>,
    /// Takes the answers to calls from other agents that have not been answered yet.
    pub(super) callers: BTreeMap<ConnId, oneshot::Sender<Vec<u8>>>,
    last_conn: ConnId,
    /// Whether the agent is stopping. Once set, it stays set.
    pub(super) stopping: bool,
    /// Whether the node has ended, or there is none. The agent leaves the fleet once `handed_over` is set, too.
    pub(super) node_ended: bool,
    /// Whether the agent's roles have been handed over.
    pub(super) handed_over: bool,
    /// Number of datagrams that the socket did not accept for sending.
    pub(super) unsent_datagrams: u64,
    /// Why the agent has ended; `None` until then. The main loop returns it.
    pub(super) exit: Option<Exit>,
}

/// Signals that the agent handles.
struct Signals {
    terminate: Signal,
    interrupt: Signal,
    /// SIGXFSZ is raised when a file would exceed its size limit. Because it is handled, it does not end the agent: the
    /// write fails, as on a full disk.
    _file_size: Signal,
}

impl Signals {
    fn install() -> Result<Signals, RuntimeError> {
        let install = |kind| signal(kind).map_err(RuntimeError::Signals);
        Ok(Signals {
            terminate: install(SignalKind::terminate())?,
            _file_size: install(SignalKind::from_raw(UnixSignal::SIGXFSZ as i32))?,
            interrupt: install(SignalKind::interrupt())?,
        })
    }
}

/// The agent's sockets.
struct Listeners {
    udp: UdpSocket,
    calls: TcpListener,
    operator_api: TcpListener,
}

impl Listeners {
    async fn bind(config: &Config) -> Result<Listeners, RuntimeError> {
        let error = |purpose, addr| {
            move |source| RuntimeError::Bind {
                purpose,
                addr,
                source,
            }
        };
        let (listen, operator_addr) = (config.listen, config.operator_addr);
        Ok(Listeners {
            udp: UdpSocket::bind(listen)
                .await
                .map_err(error("datagrams (UDP)", listen))?,
            calls: agent_calls::listen(listen)
                .map_err(error("calls of other agents (TCP)", listen))?,
            operator_api: agent_calls::listen(operator_addr)
                .map_err(error("the operators' HTTP interface", operator_addr))?,
        })
    }
}

/// Runs an agent until it has left the fleet, or ends because an older process has its name.
///
/// # Errors
/// If the state folder is locked or can't be used, or an address can't be bound.
pub async fn run(config: Config) -> Result<Exit, RuntimeError> {
    let _lock = state_lock::acquire(&config.state_dir)?;
    let mut signals = Signals::install()?;
    let (sender, mut events) = mpsc::channel(EVENT_QUEUE_CAPACITY);
    let mut host = AgentHost::start(config, sender).await?;
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES + 1];
    loop {
        host.handle_pending(&mut buffer, &mut events);
        if let Some(exit) = host.exit.take() {
            return Ok(exit);
        }
        let wake = host.clock.instant(host.next_wake());
        tokio::select! {
            _ = host.udp.readable() => {}
            Some(event) = events.recv() => host.on_event(event),
            () = tokio::time::sleep_until(wake) => {}
            _ = signals.terminate.recv() => host.stop("SIGTERM"),
            _ = signals.interrupt.recv() => host.stop("SIGINT"),
        }
    }
}

/// What membership starts with. Membership itself sets the generation and version of the record.
fn membership_start(config: &Config) -> MembershipStart {
    let record = Record {
        name: config.name.clone(),
        generation: 0,
        process: random(),
        version: 0,
        addr: config.advertise,
        operators: Some(config.operator_addr),
        clients: config.node.as_ref().map(|node| node.listen),
        machine: config.machine.clone(),
        zone: config.zone.clone(),
        program: env!("CARGO_PKG_VERSION").into(),
        started_ms: wall_ms(),
        node: NodeState::Stopped,
        left: false,
        formats: config.membership.formats,
        note: String::new(),
    };
    MembershipStart {
        record,
        seeds: config.seeds.clone(),
        seed: random(),
    }
}

impl AgentHost {
    /// Binds the sockets, starts the tasks, and begins supervision and membership.
    async fn start(
        config: Config,
        events: mpsc::Sender<HostEvent>,
    ) -> Result<AgentHost, RuntimeError> {
        let Listeners {
            udp,
            calls,
            operator_api,
        } = Listeners::bind(&config).await?;
        tokio::task::spawn_local(agent_calls::accept(calls, events.clone()));
        tokio::task::spawn_local(operator_api::accept(operator_api, events.clone()));
        let mut host = AgentHost::new(config, udp, events)?;
        let config = &host.config;
        info!(name = %config.name, listen = %config.listen, operators = %config.operator_addr, "agent starting");
        // The node starts first, as it does not depend on the control plane.
        if let Some(node) = &mut host.node {
            let adopted = node.adopt();
            host.supervise(SupervisorEvent::Begin { adopted });
        }
        host.on_membership(MembershipEvent::Start);
        Ok(host)
    }

    /// Creates an agent that has not sent anything or started its node yet.
    fn new(
        config: Config,
        udp: UdpSocket,
        events: mpsc::Sender<HostEvent>,
    ) -> Result<AgentHost, RuntimeError> {
        let clock = Clock::start();
        let start = membership_start(&config);
        let process = start.record.process;
        let metrics = MetricsHost::new(&config, clock.now());
        let coordinator = CoordinatorHost::new(&config, process, clock.now(), events.clone())?;
        let membership = Membership::new(config.membership.clone(), start);
        let node = match &config.node {
            Some(node) => Some(NodeProcess::new(&config, node.clone(), events.clone())?),
            None => None,
        };
        let supervision = config
            .node
            .as_ref()
            .map(|node| node.supervision.clone())
            .unwrap_or_default();
        Ok(AgentHost {
            config,
            clock,
            membership,
            supervisor: Supervisor::new(supervision),
            coordinator,
            metrics,
            process,
            node,
            node_state: NodeState::Stopped,
            udp,
            events,
            callers: BTreeMap::new(),
            last_conn: 0,
            stopping: false,
            node_ended: false,
            handed_over: false,
            unsent_datagrams: 0,
            exit: None,
        })
    }

    /// The earliest deadline of the state machines.
    fn next_wake(&self) -> Micros {
        self.membership
            .next_wake()
            .min(self.supervisor.next_wake())
            .min(self.coordinator.core.next_wake())
            .min(self.metrics.next_wake())
    }

    /// Handles pending datagrams and events, then expired deadlines. In this order, a process that was paused handles
    /// what arrived meanwhile before it checks a deadline.
    fn handle_pending(&mut self, buffer: &mut [u8], events: &mut mpsc::Receiver<HostEvent>) {
        self.receive_datagrams(buffer);
        for _ in 0..MAX_BATCH {
            let Ok(event) = events.try_recv() else { break };
            self.on_event(event);
        }
        let now = self.clock.now();
        if now >= self.membership.next_wake() {
            self.on_membership(MembershipEvent::Wake);
        }
        if now >= self.supervisor.next_wake() {
            self.supervise(SupervisorEvent::Wake);
        }
        if now >= self.coordinator.core.next_wake() {
            self.coordinate(CoordinatorHost::wake());
        }
        if now >= self.metrics.next_wake() {
            self.on_metrics_tick();
        }
    }

    fn receive_datagrams(&mut self, buffer: &mut [u8]) {
        for _ in 0..MAX_BATCH {
            match self.udp.try_recv_from(buffer) {
                Ok((length, _)) => {
                    self.on_membership(MembershipEvent::Datagram(buffer[..length].to_vec()));
                }
                // An earlier datagram was sent to a port without a listener, as loopback reports. More may be pending.
                Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => {}
                Err(_) => break,
            }
        }
    }

    /// Handles an event. Answers to requesters that have disconnected are dropped.
    ///
    /// The permit of a call is dropped at the end of its match arm, when the call has been handled.
    fn on_event(&mut self, event: HostEvent) {
        match event {
            HostEvent::Called {
                bytes,
                answer,
                permit: _permit,
            } => self.on_called(bytes, answer),
            HostEvent::CallEnded { call, answer } => self.on_membership(match answer {
                Some(bytes) => MembershipEvent::Answered { call, bytes },
                None => MembershipEvent::CallFailed(call),
            }),
            HostEvent::Node(event) => self.on_node_event(event),
            HostEvent::Coordinator(event) => self.coordinate(event),
            HostEvent::RolesRequested(answer) => drop(answer.send(Box::new(self.role_report()))),
            HostEvent::CommandReceived { command, answer } => {
                let call = self.coordinator.register(Caller::Operator(answer));
                self.coordinate(CoordinatorEvent::CommandReceived { call, command });
            }
            HostEvent::ReportRequested(answer) => {
                let report = self.membership.report(self.clock.now());
                drop(answer.send(Box::new(report)));
            }
            HostEvent::NodeMetricsReceived(page) => {
                self.on_node_metrics(&String::from_utf8_lossy(&page));
            }
            HostEvent::MetricsAnswered { from, answer } => self.on_metrics_answer(&from, answer),
            HostEvent::FleetMetricsRequested(answer) => self.on_fleet_metrics_requested(answer),
            HostEvent::MetricsRequested(answer) => drop(answer.send(self.metrics_text())),
        }
    }

    /// Handles a call from another agent. Membership answers it, or delivers it to the coordinator or the metrics.
    fn on_called(&mut self, bytes: Vec<u8>, answer: oneshot::Sender<Vec<u8>>) {
        self.last_conn += 1;
        let conn = self.last_conn;
        self.callers.insert(conn, answer);
        self.on_membership(MembershipEvent::Called { conn, bytes });
        // A call that has been neither answered nor taken over by now gets no answer. Dropping the sender ends the task
        // that serves the connection.
        self.callers.remove(&conn);
    }

    fn on_node_event(&mut self, event: SupervisorEvent) {
        if let (SupervisorEvent::Exited(_), Some(node)) = (&event, &mut self.node) {
            node.on_exited();
        }
        self.supervise(event);
    }

    fn role_report(&self) -> CoordinatorReport {
        CoordinatorReport {
            cordoned_locally: self.coordinator.cordoned_locally(),
            ..self.coordinator.core.report(self.clock.now())
        }
    }

    fn metrics_text(&self) -> String {
        let report = self.membership.report(self.clock.now());
        let node = self.node.as_ref().map(|node| prometheus::NodeStatus {
            state: self.node_state,
            starts: node.starts(),
        });
        prometheus::encode_text(&report, node, self.unsent_datagrams)
    }

    /// Begins to stop: hands over the roles and, at the same time, drains the node. Later calls have no effect.
    fn stop(&mut self, reason: &str) {
        if std::mem::replace(&mut self.stopping, true) {
            return;
        }
        info!(
            why = reason,
            "agent stopping: handing over its roles and draining its node"
        );
        self.coordinate(CoordinatorEvent::Stop);
        if self.node.is_some() {
            self.supervise(SupervisorEvent::Shutdown);
        } else {
            self.node_ended = true;
        }
        self.leave_if_done();
    }

    /// Leaves the fleet once the node has ended and the roles are handed over.
    pub(super) fn leave_if_done(&mut self) {
        if self.node_ended && self.handed_over {
            self.on_membership(MembershipEvent::Leave);
        }
    }
}
