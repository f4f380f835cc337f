//! The node's process and the clients' listening socket. This module starts, adopts, queries and signals the process,
//! and the [supervisor](crate::supervisor) decides when.

use std::fs::{self, File, OpenOptions};
use std::io;
use std::net::SocketAddr;
use std::os::fd::OwnedFd;
use std::path::{Path, PathBuf};
use std::process::{ExitStatus, Stdio};
use std::time::Duration;

use command_fds::{CommandFdExt, FdMapping};
use hyper::Method;
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use socket2::{Domain, Protocol, Socket, Type};
use tokio::process::{Child, Command};
use tokio::sync::mpsc;
use tracing::{info, warn};

use super::pid_file::{PidFile, ProcessId, FORMER_STATE_VARIABLE, STATE_VARIABLE};
use super::{http, HostEvent, RuntimeError};
use crate::config::{Config, NodeConfig};
use crate::supervisor::{Status, SupervisorEvent};

/// File descriptor of the clients' listening socket in the node's process, passed in `$BALANCER_FD`.
const INHERITED_FD: i32 = 3;
/// Queue length of the clients' listening socket.
const CLIENT_BACKLOG: i32 = 1_024;
/// Interval at which an adopted process is checked for its exit. It is not a child of this agent, which therefore can't
/// wait for it.
const ADOPTED_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// The node's log is rotated when the node is started and the log is longer than this.
const MAX_LOG_BYTES: u64 = 16 << 20;
/// Name of the folder of the node's files in the agent's state folder.
const NODE_FOLDER: &str = "node";
/// Name of the node's log in that folder.
const LOG_FILE: &str = "log";
/// Extension of the rotated log.
const ROTATED_EXTENSION: &str = "1";

/// The node that an agent runs.
pub struct NodeProcess {
    name: String,
    node: NodeConfig,
    pid_file: PidFile,
    folder: PathBuf,
    /// The clients' listening socket. It outlives the node's process, so that clients wait through a restart.
    socket: Option<Socket>,
    /// The running process, if it could be identified.
    running: Option<ProcessId>,
    starts: u64,
    events: mpsc::Sender<HostEvent>,
}

impl NodeProcess {
    /// Creates the node's folder, but does not start the node.
    ///
    /// # Errors
    /// If the folder can't be created.
    pub fn new(
        config: &Config,
        node: NodeConfig,
        events: mpsc::Sender<HostEvent>,
    ) -> Result<NodeProcess, RuntimeError> {
        let state_error = |path: &Path| {
            let path = path.to_owned();
            move |source| RuntimeError::State { path, source }
        };
        let pid_file = PidFile::of(&config.state_dir).map_err(state_error(&config.state_dir))?;
        let folder = pid_file.state_folder().join(NODE_FOLDER);
        fs::create_dir_all(&folder).map_err(state_error(&folder))?;
        Ok(NodeProcess {
            name: config.name.to_string(),
            node,
            pid_file,
            folder,
            socket: None,
            running: None,
            starts: 0,
            events,
        })
    }

    /// Number of starts by this agent.
    pub fn starts(&self) -> u64 {
        self.starts
    }

    /// Adopts the node of an earlier agent, if it is still running. Returns its process id.
    pub fn adopt(&mut self) -> Option<u32> {
        let running = self.pid_file.find()?;
        info!(
            pid = running.pid,
            "adopted the running node of an earlier agent"
        );
        self.watch_adopted(running.clone());
        self.set_running(running.clone());
        Some(running.pid as u32)
    }

    /// Starts the node on the clients' listening socket. Returns its process id.
    ///
    /// # Errors
    /// If the socket can't be bound, or the program can't be started.
    pub fn start(&mut self) -> io::Result<u32> {
        let socket = match &self.socket {
            Some(socket) => socket.try_clone()?,
            None => self.socket.insert(bind(self.node.listen)?).try_clone()?,
        };
        let mut command = self.command(OwnedFd::from(socket))?;
        let child = command.spawn().map_err(|error| {
            let program = command.as_std().get_program().to_string_lossy();
            io::Error::new(error.kind(), format!("{program}: {error}"))
        })?;
        self.starts += 1;
        let pid = child.id().ok_or(io::ErrorKind::NotFound)?;
        match ProcessId::of_running(pid as i32) {
            Some(running) => self.set_running(running),
            // The process has exited already, which `watch_child` reports.
            None => self.running = None,
        }
        self.watch_child(child);
        Ok(pid)
    }

    /// The node's command with its environment, its log and the clients' socket.
    fn command(&self, socket: OwnedFd) -> io::Result<Command> {
        let (program, arguments) = self
            .node
            .command
            .split_first()
            .ok_or(io::ErrorKind::InvalidInput)?;
        let log = self.open_log()?;
        let mut command = Command::new(program);
        command
            .args(arguments)
            .env("BALANCER_NAME", &self.name)
            .env("BALANCER_LISTEN", self.node.listen.to_string())
            .env("BALANCER_CONFIG", &self.node.config)
            .env("BALANCER_OPERATOR", self.node.operator_addr.to_string())
            .env("BALANCER_FD", INHERITED_FD.to_string())
            .env("TMPDIR", &self.folder)
            .env(STATE_VARIABLE, self.pid_file.state_folder())
            .env(FORMER_STATE_VARIABLE, self.pid_file.state_folder())
            .stdin(Stdio::null())
            // A file rather than a pipe, as the node may outlive the agent.
            .stdout(log.try_clone()?)
            .stderr(log)
            // Ctrl-C in the agent's terminal must not reach the node directly.
            .process_group(0)
            .kill_on_drop(false);
        let mapping = FdMapping {
            parent_fd: socket,
            child_fd: INHERITED_FD,
        };
        command
            .fd_mappings(vec![mapping])
            .map_err(|error| io::Error::other(error.to_string()))?;
        Ok(command)
    }

    fn set_running(&mut self, running: ProcessId) {
        if let Err(error) = self.pid_file.write(&running) {
            // Without the file, a later agent finds the process by its environment.
            warn!(%error, "can't write the node's pid file; a later agent will find the node by its environment");
        }
        self.running = Some(running);
    }

    fn open_log(&self) -> io::Result<File> {
        let path = self.folder.join(LOG_FILE);
        if fs::metadata(&path).is_ok_and(|log| log.len() > MAX_LOG_BYTES) {
            fs::rename(&path, path.with_extension(ROTATED_EXTENSION))?;
        }
        OpenOptions::new().create(true).append(true).open(path)
    }

    /// Reports the exit of a process that this agent started.
    fn watch_child(&self, mut child: Child) {
        let events = self.events.clone();
        tokio::task::spawn_local(async move {
            let description = match child.wait().await {
                Ok(status) => describe_exit(status),
                Err(error) => format!("lost: {error}"),
            };
            // The receiver is closed once the main task has ended.
            let _ = events
                .send(HostEvent::Node(SupervisorEvent::Exited(description)))
                .await;
        });
    }

    /// Reports the exit of a process that an earlier agent started.
    fn watch_adopted(&self, running: ProcessId) {
        let events = self.events.clone();
        tokio::task::spawn_local(async move {
            while running.is_running() {
                tokio::time::sleep(ADOPTED_CHECK_INTERVAL).await;
            }
            let description = "ended (adopted: no exit status)".to_owned();
            let _ = events
                .send(HostEvent::Node(SupervisorEvent::Exited(description)))
                .await;
        });
    }

    /// Queries whether the node is ready. The answer arrives as an event.
    pub fn query_status(&self) {
        let (events, addr) = (self.events.clone(), self.node.operator_addr);
        tokio::task::spawn_local(async move {
            let status = match http::call(addr, Method::GET, "/status").await {
                Ok(response) if response.is_success() => Status::Ready,
                Ok(_) => Status::NotReady,
                // The supervisor decides when a process that does not answer is ended.
                Err(_) => Status::Unresponsive,
            };
            let _ = events
                .send(HostEvent::Node(SupervisorEvent::StatusReceived(status)))
                .await;
        });
    }

    /// Asks the node to drain and exit.
    pub fn terminate(&self) {
        self.signal(Signal::SIGTERM);
    }

    /// Kills the node.
    pub fn kill(&self) {
        self.signal(Signal::SIGKILL);
    }

    fn signal(&self, signal: Signal) {
        // The process id may have been reused by another process.
        if let Some(running) = self.running.as_ref().filter(|running| running.is_running()) {
            if let Err(error) = kill(Pid::from_raw(running.pid), signal) {
                warn!(%error, pid = running.pid, %signal, "can't send the signal to the node");
            }
        }
    }

    /// Records that the process has exited.
    pub fn on_exited(&mut self) {
        self.running = None;
        self.pid_file.clear();
    }

    /// Closes the clients' listening socket: new connections are rejected.
    pub fn close_listener(&mut self) {
        self.socket = None;
    }

    /// Kills the node without waiting for its exit, as the agent itself ends now.
    pub fn kill_now(&mut self) {
        self.close_listener();
        self.kill();
        self.on_exited();
    }
}

/// Binds the clients' listening socket.
fn bind(addr: SocketAddr) -> io::Result<Socket> {
    let with_addr = |error: io::Error| io::Error::new(error.kind(), format!("{addr}: {error}"));
    let socket = Socket::new(Domain::for_address(addr), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.bind(&addr.into()).map_err(with_addr)?;
    socket.listen(CLIENT_BACKLOG).map_err(with_addr)?;
    Ok(socket)
}

fn describe_exit(status: ExitStatus) -> String {
    use std::os::unix::process::ExitStatusExt;
    match (status.code(), status.signal()) {
        (Some(code), _) => format!("ended with exit code {code}"),
        (None, Some(signal)) => format!("ended by signal {signal}"),
        (None, None) => "ended".into(),
    }
}
