//! The node processes: their folders and configurations, starts, signals, ends and resource usage. Each
//! node has one supervisor task. None of its steps waits, so that a crash is seen at the next poll.

use std::fs::{self, File};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::os::fd::OwnedFd;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::Arc;
use std::time::Duration;

use command_fds::{CommandFdExt, FdMapping};
use hyper::Method;
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use tokio::process::{Child, Command};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;
use tokio::time::Instant;

use super::config::{self, Addresses};
use super::discovery::Agents;
use super::operator;
use super::run_state::{RunState, SupervisorCommand};
use super::usage::Usage;
use super::{Plan, Reservation, RunError};
use crate::outcome::NodeReport;
use crate::scenario::Scenario;
use crate::world::{process_seed, NodeCommand, NodeId};

/// Interval between polls of the processes.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Resource usage is read once in this many polls.
const POLLS_PER_USAGE_READ: u32 = 5;
/// Time for the new process of an upgrade to become ready (DAYS).
const UPGRADE_READY_TIMEOUT: Duration = Duration::from_secs(6);
/// Time from SIGTERM to SIGKILL, in addition to the longest deadline of a request class, of which at most 3 s count
/// (DAYS).
const KILL_GRACE: Duration = Duration::from_millis(700);
/// Descriptor number under which a process inherits the clients' listener (DAYS).
const INHERITED_FD: i32 = 4;
/// Number of log lines reported for a failed node.
const LOG_TAIL_LINES: usize = 5;

/// The supervisors of all nodes.
pub struct Fleet {
    addresses: Vec<SocketAddr>,
    supervisors: Vec<JoinHandle<NodeReport>>,
    states: Vec<watch::Receiver<NodeState>>,
    stop: watch::Sender<bool>,
    run_state: Arc<RunState>,
}

/// Whether a node has failed, as seen while waiting for it to become ready.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NodeState {
    /// No failure is known.
    Running,
    /// A process ended unexpectedly; holds the last lines of its log.
    Failed(String),
}

impl Fleet {
    /// Starts all nodes.
    pub fn start(
        plan: &Plan,
        inherit_listener: bool,
        scratch: &Path,
        run_state: &Arc<RunState>,
        agents: &Arc<Agents>,
        commands: Vec<mpsc::UnboundedReceiver<SupervisorCommand>>,
    ) -> Result<Fleet, RunError> {
        let (stop, stopped) = watch::channel(false);
        let run_state = run_state.clone();
        let mut fleet = Fleet {
            addresses: Vec::new(),
            supervisors: Vec::new(),
            states: Vec::new(),
            stop,
            run_state,
        };
        for (node, commands) in commands.into_iter().enumerate() {
            let what = |what: &str| format!("{}: {what}", config::name(node));
            let (client_address, listen) =
                ClientAddress::on(Ipv4Addr::new(127, 1, node as u8, 1), inherit_listener)
                    .map_err(|error| RunError::io(what("cannot open its address"), error))?;
            let (state, states) = watch::channel(NodeState::Running);
            let log = plan
                .logs
                .as_deref()
                .unwrap_or(scratch)
                .join(format!("{}.log", config::name(node)));
            let mut supervisor = Supervisor {
                node,
                nodes: plan.nodes,
                scenario: plan.scenario.clone(),
                seed: plan.seed,
                command: plan.command.clone(),
                root: plan.root.clone(),
                folder: scratch.join(config::name(node)),
                log,
                listen,
                client_address,
                run_state: fleet.run_state.clone(),
                agents: agents.clone(),
                processes: Vec::new(),
                usage: Usage::default(),
                report: NodeReport::default(),
                state,
            };
            fs::create_dir_all(&supervisor.folder)
                .map_err(|error| RunError::io(what("cannot create its folder"), error))?;
            supervisor
                .start(false)
                .map_err(|error| RunError::io(what("cannot start its process"), error))?;
            fleet.addresses.push(listen);
            fleet.states.push(states);
            fleet
                .supervisors
                .push(tokio::spawn(supervisor.run(commands, stopped.clone())));
        }
        Ok(fleet)
    }

    /// Address at which a node serves clients.
    pub fn listen(&self, node: NodeId) -> SocketAddr {
        self.addresses[node]
    }

    /// Waits until the front ends route to all nodes.
    pub async fn ready(&self, within: Duration) -> Result<(), RunError> {
        let end = Instant::now() + within;
        for (node, state) in self.states.iter().enumerate() {
            loop {
                if self
                    .run_state
                    .with_front_end(|front_end| front_end.routes_to(0, node))
                {
                    break;
                }
                let failed = match &*state.borrow() {
                    NodeState::Failed(log) => Some(log.clone()),
                    NodeState::Running => (Instant::now() >= end).then(String::new),
                };
                if let Some(log) = failed {
                    let log = if log.is_empty() {
                        log
                    } else {
                        format!("; its process ended:\n{log}")
                    };
                    return Err(RunError::NotReady {
                        node: node + 1,
                        seconds: within.as_secs(),
                        log,
                    });
                }
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        }
        Ok(())
    }

    /// Ends all processes and returns a report on each node.
    pub async fn end(self) -> Vec<NodeReport> {
        let _ = self.stop.send(true);
        let mut reports = Vec::new();
        for supervisor in self.supervisors {
            reports.push(supervisor.await.unwrap_or_default());
        }
        reports
    }
}

/// Phase in the life of a node process.
enum ProcessPhase {
    /// Serving clients.
    Serving,
    /// Started by an upgrade; takes over once it is ready.
    Starting {
        deadline: Instant,
        ready: JoinHandle<()>,
    },
    /// Told to end.
    Ending { kill_at: Instant },
}

/// The clients' address of a node, which is the same for all its processes.
enum ClientAddress {
    /// A listening socket, which the processes inherit.
    Inherited(TcpListener),
    /// A reserved address, on which each process opens its own listener.
    Reserved { _reservation: Reservation },
}

impl ClientAddress {
    fn on(ip: Ipv4Addr, inherit_listener: bool) -> std::io::Result<(ClientAddress, SocketAddr)> {
        if inherit_listener {
            let listener = TcpListener::bind((ip, 0))?;
            let listen = listener.local_addr()?;
            return Ok((ClientAddress::Inherited(listener), listen));
        }
        let reservation = Reservation::on(ip)?;
        let listen = reservation.addr();
        Ok((
            ClientAddress::Reserved {
                _reservation: reservation,
            },
            listen,
        ))
    }
}

struct NodeProcess {
    child: Child,
    operator: SocketAddr,
    _reservation: Reservation,
    phase: ProcessPhase,
}

struct Supervisor {
    node: NodeId,
    nodes: usize,
    scenario: Scenario,
    seed: u64,
    command: String,
    root: PathBuf,
    folder: PathBuf,
    log: PathBuf,
    listen: SocketAddr,
    client_address: ClientAddress,
    run_state: Arc<RunState>,
    agents: Arc<Agents>,
    processes: Vec<NodeProcess>,
    usage: Usage,
    report: NodeReport,
    state: watch::Sender<NodeState>,
}

impl Supervisor {
    async fn run(
        mut self,
        mut commands: mpsc::UnboundedReceiver<SupervisorCommand>,
        mut stopped: watch::Receiver<bool>,
    ) -> NodeReport {
        let mut polls = tokio::time::interval(POLL_INTERVAL);
        let mut count = 0;
        loop {
            tokio::select! {
                _ = stopped.wait_for(|stopped| *stopped) => break,
                Some(command) = commands.recv() => self.execute(command),
                _ = polls.tick() => {
                    count += 1;
                    if count % POLLS_PER_USAGE_READ == 0 {
                        self.usage.read(self.processes.iter().filter_map(|process| process.child.id()));
                    }
                    self.poll_processes();
                }
            }
        }
        self.usage.read(
            self.processes
                .iter()
                .filter_map(|process| process.child.id()),
        );
        self.poll_processes();
        self.stop_serving();
        while !self.processes.is_empty() {
            self.poll_processes();
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        self.report.cpu_s = self.usage.cpu_s();
        self.report.memory_mb = self.usage.memory_mb();
        self.report.descriptors = self.usage.descriptors();
        self.report
    }

    /// Starts a process with the endpoint list that the node last had. A process of an upgrade keeps the
    /// temporary folder of its predecessor; any other starts with an empty one.
    fn start(&mut self, upgrade: bool) -> std::io::Result<()> {
        self.report.starts += 1;
        let tmp = self.folder.join("tmp");
        if !upgrade {
            let _ = fs::remove_dir_all(&tmp);
        }
        fs::create_dir_all(&tmp)?;
        let reservation = Reservation::on(Ipv4Addr::new(127, 2, self.node as u8, 1))?;
        let operator = reservation.addr();
        let file = self.write_config(operator)?;
        let log = File::options().create(true).append(true).open(&self.log)?;
        let mut command = Command::new("/bin/sh");
        command
            .args(["-c", &self.command])
            .current_dir(&self.root)
            .env("BALANCER_NAME", config::name(self.node))
            .env("BALANCER_LISTEN", self.listen.to_string())
            .env(
                "BALANCER_DISCOVERY",
                self.agents.address(self.node).to_string(),
            )
            .env("BALANCER_OPERATOR", operator.to_string())
            .env("BALANCER_CONFIG", file)
            .env("TMPDIR", tmp)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .kill_on_drop(true);
        if let ClientAddress::Inherited(listener) = &self.client_address {
            let parent_fd = OwnedFd::from(listener.try_clone()?);
            let mapped = command.fd_mappings(vec![FdMapping {
                parent_fd,
                child_fd: INHERITED_FD,
            }]);
            mapped.map_err(|error| std::io::Error::other(error.to_string()))?;
            command.env("BALANCER_FD", INHERITED_FD.to_string());
        }
        let child = command.spawn()?;
        let phase = match upgrade {
            true => ProcessPhase::Starting {
                deadline: Instant::now() + UPGRADE_READY_TIMEOUT,
                ready: tokio::spawn(wait_until_ready(operator)),
            },
            false => ProcessPhase::Serving,
        };
        self.processes.push(NodeProcess {
            child,
            operator,
            _reservation: reservation,
            phase,
        });
        Ok(())
    }

    fn write_config(&self, operator: SocketAddr) -> std::io::Result<PathBuf> {
        let at = Addresses {
            listen: self.listen,
            discovery: self.agents.address(self.node),
            operator,
        };
        let seed = process_seed(self.seed, self.node, self.report.starts);
        let endpoints = self.agents.full_list(self.node);
        let text = config::write(&self.scenario, self.node, self.nodes, at, seed, &endpoints);
        let file = self.folder.join("config.json");
        let new = self.folder.join("config.json.new");
        fs::write(&new, serde_json::to_vec_pretty(&text)?)?;
        fs::rename(&new, &file)?;
        Ok(file)
    }

    fn execute(&mut self, command: SupervisorCommand) {
        tracing::debug!(node = %config::name(self.node), ?command);
        match command {
            SupervisorCommand::Node(NodeCommand::Kill) => {
                self.run_state
                    .with_checker(|checker| checker.node_died(self.node, 0));
                for process in &mut self.processes {
                    process.phase = ProcessPhase::Ending {
                        kill_at: Instant::now(),
                    };
                }
                self.poll_processes();
            }
            SupervisorCommand::Node(NodeCommand::Stop) => self.stop_serving(),
            SupervisorCommand::Node(NodeCommand::Start) => {
                self.run_state
                    .with_checker(|checker| checker.node_restarted(self.node));
                self.try_start(false);
            }
            SupervisorCommand::Node(NodeCommand::Upgrade) => {
                self.try_start(true);
            }
            SupervisorCommand::Node(NodeCommand::Standby(on)) => {
                let path = if on { "/standby" } else { "/active" };
                self.call(path.to_owned(), move |run_state, node, _, succeeded| {
                    run_state.set_standby(node, succeeded.filter(|_| on));
                });
            }
            SupervisorCommand::Node(NodeCommand::MoveDiscovery) => self.move_discovery(),
            SupervisorCommand::Cordon(id, cordoned) => {
                let path = format!(
                    "/maintenance/{}?member={id}",
                    if cordoned { "enter" } else { "exit" }
                );
                self.call(path, move |run_state, node, called, succeeded| {
                    run_state.with_checker(|checker| match cordoned {
                        true => checker.cordoned(node, &id, called, succeeded),
                        false => checker.uncordoned(node, &id),
                    });
                });
            }
        }
    }

    fn try_start(&mut self, upgrade: bool) {
        if let Err(error) = self.start(upgrade) {
            self.warn(format!("cannot start a process: {error}"));
        }
    }

    /// Makes an operator call to the serving process. `then` receives the times of the call and of its
    /// success, if any. A call that does not succeed within 1 s is recorded as a warning.
    fn call(
        &mut self,
        path: String,
        then: impl FnOnce(&RunState, NodeId, u64, Option<u64>) + Send + 'static,
    ) {
        let Some(process) = self
            .processes
            .iter()
            .rev()
            .find(|p| matches!(p.phase, ProcessPhase::Serving))
        else {
            return;
        };
        let (run_state, node, operator) = (self.run_state.clone(), self.node, process.operator);
        let called = run_state.now();
        tokio::spawn(async move {
            let succeeded = operator::call(operator, Method::POST, &path).await == Some(true);
            then(&run_state, node, called, succeeded.then(|| run_state.now()));
            if !succeeded {
                run_state.add_warning(
                    node,
                    format!("operator call {path} did not succeed within 1 s"),
                );
            }
        });
    }

    fn move_discovery(&mut self) {
        if let Err(error) = self.agents.move_to_new_address(self.node) {
            self.warn(format!(
                "cannot move the discovery agent to another address: {error}"
            ));
            return;
        }
        let Some(operator) = self.processes.last().map(|process| process.operator) else {
            return;
        };
        match self.write_config(operator) {
            Ok(_) => self.signal(Signal::SIGHUP),
            Err(error) => self.warn(format!("cannot write the new configuration: {error}")),
        }
    }

    fn warn(&self, warning: String) {
        self.run_state.add_warning(self.node, warning);
    }

    fn signal(&self, signal: Signal) {
        for process in &self.processes {
            send_signal(&process.child, signal);
        }
    }

    fn stop_serving(&mut self) {
        let kill_at = Instant::now() + self.longest_deadline() + KILL_GRACE;
        for process in self
            .processes
            .iter_mut()
            .filter(|p| !matches!(p.phase, ProcessPhase::Ending { .. }))
        {
            send_signal(&process.child, Signal::SIGTERM);
            process.phase = ProcessPhase::Ending { kill_at };
        }
    }

    fn longest_deadline(&self) -> Duration {
        let longest_deadline = self
            .scenario
            .load
            .class
            .iter()
            .map(|class| class.deadline_ms.0)
            .fold(0.0, f64::max);
        Duration::from_secs_f64((longest_deadline / 1e3).min(3.0))
    }

    /// Polls the processes: removes ended ones, kills overdue ones, completes or gives up upgrades.
    fn poll_processes(&mut self) {
        let now = Instant::now();
        let mut taken_over = false;
        let mut index = 0;
        while index < self.processes.len() {
            let process = &mut self.processes[index];
            if let Ok(Some(status)) = process.child.try_wait() {
                let process = self.processes.remove(index);
                if !matches!(process.phase, ProcessPhase::Ending { .. }) {
                    self.record_crash(status.to_string());
                }
                continue;
            }
            match &process.phase {
                ProcessPhase::Ending { kill_at } if *kill_at <= now => {
                    send_signal(&process.child, Signal::SIGKILL)
                }
                ProcessPhase::Starting { ready, .. } if ready.is_finished() => {
                    process.phase = ProcessPhase::Serving;
                    taken_over = true;
                }
                ProcessPhase::Starting { deadline, .. } if *deadline <= now => {
                    let warning = format!(
                        "the new process of an upgrade was not ready within {} s and is killed; the old one stays",
                        UPGRADE_READY_TIMEOUT.as_secs()
                    );
                    self.run_state.add_warning(self.node, warning);
                    process.phase = ProcessPhase::Ending { kill_at: now };
                }
                _ => {}
            }
            index += 1;
        }
        if taken_over {
            let new_process = self.processes.pop();
            self.stop_serving();
            self.processes.extend(new_process);
        }
    }

    fn record_crash(&mut self, status: String) {
        let log_tail = log_tail(&self.log);
        self.run_state
            .with_checker(|checker| checker.node_died(self.node, 0));
        let at = self.run_state.now() as f64 / 1e6;
        self.report.crashes.push(format!(
            "{} at {at:.3} s, {status}: {}",
            config::name(self.node),
            log_tail.trim()
        ));
        self.state.send_replace(NodeState::Failed(log_tail));
    }
}

/// Polls the status of a process until it is ready.
async fn wait_until_ready(operator: SocketAddr) {
    while operator::call(operator, Method::GET, "/status").await != Some(true) {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

fn send_signal(child: &Child, signal: Signal) {
    // `None` once the process has been reaped.
    if let Some(pid) = child.id() {
        let _ = kill(Pid::from_raw(pid as i32), signal);
    }
}

fn log_tail(log: &Path) -> String {
    let text = fs::read_to_string(log).unwrap_or_default();
    let lines: Vec<&str> = text.lines().collect();
    lines[lines.len().saturating_sub(LOG_TAIL_LINES)..].join("\n")
}
