//! Owns the node's process and the clients' listening socket: starts, adopts, asks, signals. When, is the supervisor's.

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

use super::pidfile::{PidFile, Running, MARK};
use super::{http, HostError, Msg};
use crate::config::{Config, NodeConfig};
use crate::supervisor::{Event, Status};

/// The clients' socket in the node, as `$BALANCER_FD` names it.
const INHERITED: i32 = 3;
const BACKLOG: i32 = 1_024;
/// How often an adopted process, which is nobody's child, is looked for.
const LOOK: Duration = Duration::from_millis(100);
/// The node's log is set aside at a start when it is longer than this.
const LONGEST_LOG: u64 = 16 << 20;

/// The node of an agent.
pub struct NodeHost {
    name: String,
    node: NodeConfig,
    pidfile: PidFile,
    folder: PathBuf,
    socket: Option<Socket>,
    running: Option<Running>,
    starts: u64,
    tx: mpsc::Sender<Msg>,
}

impl NodeHost {
    /// Makes its folder; starts nothing.
    pub fn new(
        config: &Config,
        node: NodeConfig,
        tx: mpsc::Sender<Msg>,
    ) -> Result<NodeHost, HostError> {
        let state = |path: &Path| {
            let path = path.to_owned();
            move |source| HostError::State { path, source }
        };
        let pidfile = PidFile::of(&config.state_dir).map_err(state(&config.state_dir))?;
        let folder = pidfile.mark().join("node");
        fs::create_dir_all(&folder).map_err(state(&folder))?;
        let name = config.name.to_string();
        Ok(NodeHost {
            name,
            node,
            pidfile,
            folder,
            socket: None,
            running: None,
            starts: 0,
            tx,
        })
    }

    /// Starts by this agent.
    pub fn starts(&self) -> u64 {
        self.starts
    }

    /// Takes over the node of an earlier agent, if it still runs.
    pub fn adopt(&mut self) -> Option<u32> {
        let running = self.pidfile.find()?;
        info!(pid = running.pid, "a node is there already: adopted");
        self.watch_adopted(running.clone());
        self.own(running.clone());
        Some(running.pid as u32)
    }

    /// Starts one on the clients' socket.
    pub fn start(&mut self) -> io::Result<u32> {
        if self.socket.is_none() {
            self.socket = Some(bind(self.node.listen)?);
        }
        let fd = match &self.socket {
            Some(socket) => OwnedFd::from(socket.try_clone()?),
            None => return Err(io::ErrorKind::NotConnected.into()),
        };
        let (program, arguments) = self
            .node
            .command
            .split_first()
            .ok_or(io::ErrorKind::InvalidInput)?;
        let log = self.log()?;
        let mut command = Command::new(program);
        command
            .args(arguments)
            .env("BALANCER_NAME", &self.name)
            .env("BALANCER_LISTEN", self.node.listen.to_string())
            .env("BALANCER_CONFIG", &self.node.config)
            .env("BALANCER_OPERATOR", self.node.operators.to_string())
            .env("BALANCER_FD", INHERITED.to_string())
            .env("TMPDIR", &self.folder)
            .env(MARK, self.pidfile.mark())
            .stdin(Stdio::null())
            // A file, not the agent's own pipe: the node outlives the agent, and its log may not break with it.
            .stdout(log.try_clone()?)
            .stderr(log)
            // Ctrl-C in the agent's terminal is the agent's to pass on.
            .process_group(0)
            .kill_on_drop(false);
        let mapped = command.fd_mappings(vec![FdMapping {
            parent_fd: fd,
            child_fd: INHERITED,
        }]);
        mapped.map_err(|error| io::Error::other(error.to_string()))?;
        let child = command
            .spawn()
            .map_err(|error| io::Error::new(error.kind(), format!("{program}: {error}")))?;
        self.starts += 1;
        let pid = child.id().ok_or(io::ErrorKind::NotFound)?;
        match Running::now(pid as i32) {
            Some(running) => self.own(running),
            // It has ended already, which its watch tells.
            None => self.running = None,
        }
        self.watch(child);
        Ok(pid)
    }

    fn own(&mut self, running: Running) {
        if let Err(error) = self.pidfile.write(&running) {
            // A later agent finds the process by its mark.
            warn!(%error, "the node's pid file can't be written");
        }
        self.running = Some(running);
    }

    fn log(&self) -> io::Result<File> {
        let path = self.folder.join("log");
        if fs::metadata(&path).is_ok_and(|log| log.len() > LONGEST_LOG) {
            fs::rename(&path, path.with_extension("1"))?;
        }
        OpenOptions::new().create(true).append(true).open(path)
    }

    fn watch(&self, mut child: Child) {
        let tx = self.tx.clone();
        tokio::task::spawn_local(async move {
            let how = match child.wait().await {
                Ok(status) => words(status),
                Err(error) => format!("lost: {error}"),
            };
            // The main task has ended where nobody takes it.
            let _ = tx.send(Msg::Node(Event::Exited(how))).await;
        });
    }

    fn watch_adopted(&self, running: Running) {
        let tx = self.tx.clone();
        tokio::task::spawn_local(async move {
            while running.is_there() {
                tokio::time::sleep(LOOK).await;
            }
            let how = "ended (adopted: no exit status)".to_owned();
            let _ = tx.send(Msg::Node(Event::Exited(how))).await;
        });
    }

    /// Asks whether it serves; the answer comes as a message.
    pub fn ask(&self) {
        let (tx, addr) = (self.tx.clone(), self.node.operators);
        tokio::task::spawn_local(async move {
            let status = match http::call(addr, Method::GET, "/status").await {
                Ok((200..=299, _)) => Status::Ready,
                Ok(_) => Status::NotReady,
                Err(_) => Status::Unresponsive,
            };
            let _ = tx.send(Msg::Node(Event::StatusReceived(status))).await;
        });
    }

    /// Tells it to drain and end.
    pub fn terminate(&self) {
        self.signal(Signal::SIGTERM);
    }

    /// Ends it at once.
    pub fn kill(&self) {
        self.signal(Signal::SIGKILL);
    }

    fn signal(&self, signal: Signal) {
        // Only to the very process: its number may have gone to another.
        if let Some(running) = self.running.as_ref().filter(|running| running.is_there()) {
            if let Err(error) = kill(Pid::from_raw(running.pid), signal) {
                warn!(%error, pid = running.pid, %signal, "the node can't be signalled");
            }
        }
    }

    /// It has ended.
    pub fn ended(&mut self) {
        self.running = None;
        self.pidfile.clear();
    }

    /// Closes the clients' socket: whoever connects is turned away.
    pub fn release(&mut self) {
        self.socket = None;
    }

    /// Ends it, as the agent itself ends now.
    pub fn end_now(&mut self) {
        self.release();
        self.kill();
        self.ended();
    }
}

/// The clients' socket; fails while anybody else listens there.
fn bind(addr: SocketAddr) -> io::Result<Socket> {
    let named = |error: io::Error| io::Error::new(error.kind(), format!("{addr}: {error}"));
    let socket = Socket::new(Domain::for_address(addr), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.bind(&addr.into()).map_err(named)?;
    socket.listen(BACKLOG).map_err(named)?;
    Ok(socket)
}

fn words(status: ExitStatus) -> String {
    use std::os::unix::process::ExitStatusExt;
    match (status.code(), status.signal()) {
        (Some(code), _) => format!("ended with exit code {code}"),
        (None, Some(signal)) => format!("ended by signal {signal}"),
        (None, None) => "ended".into(),
    }
}
