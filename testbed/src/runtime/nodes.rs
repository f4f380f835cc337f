//! Owns the node processes: their folders and configurations, their starts, signals and ends, and what
//! they use. One keeper task for each node; none of its steps waits, so that a crash is seen at once.

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
use super::stage::{Order, Stage};
use super::usage::Usage;
use super::{HostError, Plan, Reservation};
use crate::outcome::NodeReport;
use crate::scenario::Scenario;
use crate::world::{process_seed, NodeCommand, NodeId};

/// How often processes are looked at.
const LOOK: Duration = Duration::from_millis(50);
/// What they use is read every so many looks.
const READ_EVERY: u32 = 5;
/// A new process has so long to say yes in an upgrade (DAYS).
const YES_WITHIN: Duration = Duration::from_secs(6);
/// SIGKILL comes after the longest deadline, 3 s at most, and so much more (DAYS).
const KILL_AFTER: Duration = Duration::from_millis(700);
/// The descriptor under which a process inherits the clients' listener (DAYS).
const INHERITED: i32 = 4;
/// Lines of its log shown of a node that has failed.
const TAIL: usize = 5;

/// All nodes.
pub struct Fleet {
    listens: Vec<SocketAddr>,
    keepers: Vec<JoinHandle<NodeReport>>,
    states: Vec<watch::Receiver<NodeState>>,
    stop: watch::Sender<bool>,
    stage: Arc<Stage>,
}

/// Whether a node has failed, for those who wait for it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NodeState {
    /// Not as far as is known.
    Running,
    /// With the end of its log.
    Failed(String),
}

impl Fleet {
    /// Starts all nodes.
    pub fn start(
        plan: &Plan,
        hand_over: bool,
        scratch: &Path,
        stage: &Arc<Stage>,
        agents: &Arc<Agents>,
        orders: Vec<mpsc::UnboundedReceiver<Order>>,
    ) -> Result<Fleet, HostError> {
        let (stop, stopped) = watch::channel(false);
        let stage = stage.clone();
        let mut fleet = Fleet {
            listens: Vec::new(),
            keepers: Vec::new(),
            states: Vec::new(),
            stop,
            stage,
        };
        for (node, orders) in orders.into_iter().enumerate() {
            let what = |what: &str| format!("{}: {what}", config::name(node));
            let (door, listen) = Door::on(Ipv4Addr::new(127, 1, node as u8, 1), hand_over)
                .map_err(|error| HostError::io(what("its address"), error))?;
            let (state, states) = watch::channel(NodeState::Running);
            let log = plan
                .logs
                .as_deref()
                .unwrap_or(scratch)
                .join(format!("{}.log", config::name(node)));
            let mut keeper = Keeper {
                node,
                nodes: plan.nodes,
                scenario: plan.scenario.clone(),
                seed: plan.seed,
                command: plan.command.clone(),
                root: plan.root.clone(),
                folder: scratch.join(config::name(node)),
                log,
                listen,
                door,
                stage: fleet.stage.clone(),
                agents: agents.clone(),
                processes: Vec::new(),
                usage: Usage::default(),
                report: NodeReport::default(),
                state,
            };
            fs::create_dir_all(&keeper.folder)
                .map_err(|error| HostError::io(what("its folder"), error))?;
            keeper
                .start(false)
                .map_err(|error| HostError::io(what("its process"), error))?;
            fleet.listens.push(listen);
            fleet.states.push(states);
            fleet
                .keepers
                .push(tokio::spawn(keeper.run(orders, stopped.clone())));
        }
        Ok(fleet)
    }

    /// Where clients find a node.
    pub fn listen(&self, node: NodeId) -> SocketAddr {
        self.listens[node]
    }

    /// Waits until the fronts deal to all nodes.
    pub async fn ready(&self, within: Duration) -> Result<(), HostError> {
        let end = Instant::now() + within;
        for (node, state) in self.states.iter().enumerate() {
            loop {
                if self.stage.front(|front| front.routes_to(0, node)) {
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
                        format!("; it ended:\n{log}")
                    };
                    return Err(HostError::NotReady {
                        node: node + 1,
                        seconds: within.as_secs(),
                        log,
                    });
                }
                tokio::time::sleep(LOOK).await;
            }
        }
        Ok(())
    }

    /// Ends all processes and gives what is known of the nodes.
    pub async fn end(self) -> Vec<NodeReport> {
        let _ = self.stop.send(true);
        let mut reports = Vec::new();
        for keeper in self.keepers {
            reports.push(keeper.await.unwrap_or_default());
        }
        reports
    }
}

/// What a process is there for.
enum Role {
    /// It serves.
    Serving,
    /// It is to take over, once it has said yes.
    Fresh { until: Instant, yes: JoinHandle<()> },
    /// It was told to end.
    Ending { kill_at: Instant },
}

/// Where clients come, kept for a node from one process to the next.
enum Door {
    /// The listener itself, which processes inherit.
    Inherited(TcpListener),
    /// The address alone, at which each process listens by itself.
    Reserved { _held: Reservation },
}

impl Door {
    fn on(ip: Ipv4Addr, hand_over: bool) -> std::io::Result<(Door, SocketAddr)> {
        if hand_over {
            let listener = TcpListener::bind((ip, 0))?;
            let listen = listener.local_addr()?;
            return Ok((Door::Inherited(listener), listen));
        }
        let held = Reservation::on(ip)?;
        let listen = held.addr();
        Ok((Door::Reserved { _held: held }, listen))
    }
}

struct Running {
    child: Child,
    operator: SocketAddr,
    _held: Reservation,
    role: Role,
}

struct Keeper {
    node: NodeId,
    nodes: usize,
    scenario: Scenario,
    seed: u64,
    command: String,
    root: PathBuf,
    folder: PathBuf,
    log: PathBuf,
    listen: SocketAddr,
    door: Door,
    stage: Arc<Stage>,
    agents: Arc<Agents>,
    processes: Vec<Running>,
    usage: Usage,
    report: NodeReport,
    state: watch::Sender<NodeState>,
}

impl Keeper {
    async fn run(
        mut self,
        mut orders: mpsc::UnboundedReceiver<Order>,
        mut stopped: watch::Receiver<bool>,
    ) -> NodeReport {
        let mut looks = tokio::time::interval(LOOK);
        let mut count = 0;
        loop {
            tokio::select! {
                _ = stopped.wait_for(|stopped| *stopped) => break,
                Some(order) = orders.recv() => self.carry_out(order),
                _ = looks.tick() => {
                    count += 1;
                    if count % READ_EVERY == 0 {
                        self.usage.read(self.processes.iter().filter_map(|process| process.child.id()));
                    }
                    self.look();
                }
            }
        }
        self.usage.read(
            self.processes
                .iter()
                .filter_map(|process| process.child.id()),
        );
        self.look();
        self.stop_serving();
        while !self.processes.is_empty() {
            self.look();
            tokio::time::sleep(LOOK).await;
        }
        self.report.cpu_s = self.usage.cpu_s();
        self.report.memory_mb = self.usage.memory_mb();
        self.report.descriptors = self.usage.descriptors();
        self.report
    }

    /// Starts a process. One that takes over finds the folder of the one before it as it is; any other
    /// finds an empty one and the list that the node last had.
    fn start(&mut self, takes_over: bool) -> std::io::Result<()> {
        self.report.starts += 1;
        let tmp = self.folder.join("tmp");
        if !takes_over {
            let _ = fs::remove_dir_all(&tmp);
        }
        fs::create_dir_all(&tmp)?;
        let held = Reservation::on(Ipv4Addr::new(127, 2, self.node as u8, 1))?;
        let operator = held.addr();
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
        if let Door::Inherited(listener) = &self.door {
            let parent_fd = OwnedFd::from(listener.try_clone()?);
            let mapped = command.fd_mappings(vec![FdMapping {
                parent_fd,
                child_fd: INHERITED,
            }]);
            mapped.map_err(|error| std::io::Error::other(error.to_string()))?;
            command.env("BALANCER_FD", INHERITED.to_string());
        }
        let child = command.spawn()?;
        let role = match takes_over {
            true => Role::Fresh {
                until: Instant::now() + YES_WITHIN,
                yes: tokio::spawn(until_yes(operator)),
            },
            false => Role::Serving,
        };
        self.processes.push(Running {
            child,
            operator,
            _held: held,
            role,
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
        let known = self.agents.whole(self.node);
        let text = config::write(&self.scenario, self.node, self.nodes, at, seed, &known);
        let file = self.folder.join("config.json");
        let new = self.folder.join("config.json.new");
        fs::write(&new, serde_json::to_vec_pretty(&text)?)?;
        fs::rename(&new, &file)?;
        Ok(file)
    }

    fn carry_out(&mut self, order: Order) {
        tracing::debug!(node = %config::name(self.node), ?order);
        match order {
            Order::Do(NodeCommand::Kill) => {
                self.stage
                    .referee(|referee| referee.node_died(self.node, 0));
                for process in &mut self.processes {
                    process.role = Role::Ending {
                        kill_at: Instant::now(),
                    };
                }
                self.look();
            }
            Order::Do(NodeCommand::Stop) => self.stop_serving(),
            Order::Do(NodeCommand::Start) => {
                self.stage
                    .referee(|referee| referee.node_restarted(self.node));
                self.try_start(false);
            }
            Order::Do(NodeCommand::Upgrade) => {
                self.try_start(true);
            }
            Order::Do(NodeCommand::Standby(on)) => {
                let path = if on { "/standby" } else { "/active" };
                self.call(path.to_owned(), move |stage, node, _, yes| {
                    stage.set_standby(node, yes.filter(|_| on));
                });
            }
            Order::Do(NodeCommand::MoveDiscovery) => self.move_discovery(),
            Order::Hand(id, out) => {
                let path = format!(
                    "/maintenance/{}?member={id}",
                    if out { "enter" } else { "exit" }
                );
                self.call(path, move |stage, node, called, yes| {
                    stage.referee(|referee| match out {
                        true => referee.cordoned(node, &id, called, yes),
                        false => referee.uncordoned(node, &id),
                    });
                });
            }
        }
    }

    fn try_start(&mut self, takes_over: bool) {
        if let Err(error) = self.start(takes_over) {
            self.fault(format!("not started: {error}"));
        }
    }

    /// Makes an operators' call at the process that serves; `then` hears when it was made and when a
    /// yes came. A call without a yes within its second is a fault.
    fn call(
        &mut self,
        path: String,
        then: impl FnOnce(&Stage, NodeId, u64, Option<u64>) + Send + 'static,
    ) {
        let Some(process) = self
            .processes
            .iter()
            .rev()
            .find(|p| matches!(p.role, Role::Serving))
        else {
            return;
        };
        let (stage, node, operator) = (self.stage.clone(), self.node, process.operator);
        let called = stage.now();
        tokio::spawn(async move {
            let yes = operator::call(operator, Method::POST, &path).await == Some(true);
            then(&stage, node, called, yes.then(|| stage.now()));
            if !yes {
                stage.note_fault(node, format!("no yes within 1 s to {path}"));
            }
        });
    }

    fn move_discovery(&mut self) {
        if let Err(error) = self.agents.move_on(self.node) {
            self.fault(format!("discovery could not move: {error}"));
            return;
        }
        let Some(operator) = self.processes.last().map(|process| process.operator) else {
            return;
        };
        match self.write_config(operator) {
            Ok(_) => self.signal(Signal::SIGHUP),
            Err(error) => self.fault(format!("no new configuration: {error}")),
        }
    }

    fn fault(&self, fault: String) {
        self.stage.note_fault(self.node, fault);
    }

    fn signal(&self, signal: Signal) {
        for process in &self.processes {
            send(&process.child, signal);
        }
    }

    fn stop_serving(&mut self) {
        let kill_at = Instant::now() + self.longest() + KILL_AFTER;
        for process in self
            .processes
            .iter_mut()
            .filter(|p| !matches!(p.role, Role::Ending { .. }))
        {
            send(&process.child, Signal::SIGTERM);
            process.role = Role::Ending { kill_at };
        }
    }

    fn longest(&self) -> Duration {
        let longest = self
            .scenario
            .load
            .class
            .iter()
            .map(|class| class.deadline_ms.0)
            .fold(0.0, f64::max);
        Duration::from_secs_f64((longest / 1e3).min(3.0))
    }

    /// Looks after the processes: which have ended, which are to be killed, which has taken over.
    fn look(&mut self) {
        let now = Instant::now();
        let mut taken_over = false;
        let mut at = 0;
        while at < self.processes.len() {
            let process = &mut self.processes[at];
            if let Ok(Some(status)) = process.child.try_wait() {
                let process = self.processes.remove(at);
                if !matches!(process.role, Role::Ending { .. }) {
                    self.crashed(status.to_string());
                }
                continue;
            }
            match &process.role {
                Role::Ending { kill_at } if *kill_at <= now => {
                    send(&process.child, Signal::SIGKILL)
                }
                Role::Fresh { yes, .. } if yes.is_finished() => {
                    process.role = Role::Serving;
                    taken_over = true;
                }
                Role::Fresh { until, .. } if *until <= now => {
                    let fault = "an upgrade's new process said no yes; the old one stays";
                    self.stage.note_fault(self.node, fault.into());
                    process.role = Role::Ending { kill_at: now };
                }
                _ => {}
            }
            at += 1;
        }
        if taken_over {
            let fresh = self.processes.pop();
            self.stop_serving();
            self.processes.extend(fresh);
        }
    }

    fn crashed(&mut self, status: String) {
        let tail = tail(&self.log);
        self.stage
            .referee(|referee| referee.node_died(self.node, 0));
        let at = self.stage.now() as f64 / 1e6;
        self.report.crashes.push(format!(
            "{} at {at:.3} s, {status}: {}",
            config::name(self.node),
            tail.trim()
        ));
        self.state.send_replace(NodeState::Failed(tail));
    }
}

/// Asks a process whether it is ready until it says yes.
async fn until_yes(operator: SocketAddr) {
    while operator::call(operator, Method::GET, "/status").await != Some(true) {
        tokio::time::sleep(LOOK).await;
    }
}

fn send(child: &Child, signal: Signal) {
    // None once it was waited for: then there is nobody to hear it.
    if let Some(pid) = child.id() {
        let _ = kill(Pid::from_raw(pid as i32), signal);
    }
}

fn tail(log: &Path) -> String {
    let text = fs::read_to_string(log).unwrap_or_default();
    let lines: Vec<&str> = text.lines().collect();
    lines[lines.len().saturating_sub(TAIL)..].join("\n")
}
