//! Runs agents as real processes on loopback. They are controlled only through their files and HTTP interfaces, so that
//! nothing here depends on names inside the program.

use std::fs;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use serde_json::Value;
use tempfile::TempDir;

pub const PROGRAM: &str = env!("CARGO_BIN_EXE_balancer-agent");
/// Far longer than needed, as a busy machine may be slow.
const WAIT_LIMIT: Duration = Duration::from_secs(60);
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Below the range of ephemeral ports.
const FIRST_PORT: u16 = 7_400;
const PORTS_PER_FLEET: u16 = 10;

static FLEETS: AtomicU32 = AtomicU32::new(0);

/// The `[node]` table, without addresses, of a node that does nothing.
pub const IDLE_NODE: &str =
    "command = [\"sleep\", \"600\"]\nconfig = \"none\"\nready-within = \"10m\"\n\
     silent-limit = \"10m\"\ndrain-within = \"1s\"\n";

/// Agents of one fleet, named `m0`, `m1` and so on. When it is dropped, their processes and nodes are killed.
pub struct Fleet {
    folder: TempDir,
    first_port: u16,
    children: Vec<Option<Child>>,
}

impl Fleet {
    /// Creates the folders of this many agents, but starts none.
    pub fn new(agents: usize) -> Fleet {
        let number = FLEETS.fetch_add(1, Ordering::Relaxed) as u16;
        let fleet = Fleet {
            folder: tempfile::tempdir().unwrap(),
            first_port: FIRST_PORT + number * PORTS_PER_FLEET,
            children: (0..agents).map(|_| None).collect(),
        };
        for agent in 0..agents {
            fs::create_dir_all(fleet.state_dir(agent).join("node")).unwrap();
        }
        fleet
    }

    /// An address that no other agent or test process uses.
    fn address(&self, agent: usize, port: u16) -> SocketAddr {
        let [_, _, high, low] = std::process::id().to_be_bytes();
        let ip = Ipv4Addr::new(127, 128 + high % 64, low, 1 + agent as u8);
        SocketAddr::from((ip, self.first_port + port))
    }

    /// Address for calls of other agents.
    pub fn call_addr(&self, agent: usize) -> SocketAddr {
        self.address(agent, 0)
    }

    /// Address of the HTTP interface for operators.
    pub fn operator_addr(&self, agent: usize) -> SocketAddr {
        self.address(agent, 1)
    }

    /// Address for clients of the node.
    pub fn client_addr(&self, agent: usize) -> SocketAddr {
        self.address(agent, 2)
    }

    /// The agent's state folder.
    pub fn state_dir(&self, agent: usize) -> PathBuf {
        self.folder.path().join(format!("m{agent}")).join("state")
    }

    /// Writes a file into the agent's state folder.
    pub fn write(&self, agent: usize, file: &str, content: impl AsRef<[u8]>) {
        fs::write(self.state_dir(agent).join(file), content).unwrap();
    }

    /// Reads a file of the agent's state folder as JSON; null if it is missing or invalid.
    pub fn read(&self, agent: usize, file: &str) -> Value {
        let content = fs::read(self.state_dir(agent).join(file)).unwrap_or_default();
        serde_json::from_slice(&content).unwrap_or_default()
    }

    /// Writes the configuration of an agent, with these voters and this `[node]` table.
    pub fn configure(&self, agent: usize, voters: &[&str], node: &str) -> PathBuf {
        let text = format!(
            "fleet = \"compat\"\nname = \"m{agent}\"\nmachine = \"box-{agent}\"\nzone = \"zone-{}\"\n\
             state-dir = \"{}\"\n\
             [membership]\nlisten = \"{}\"\nseeds = [\"{}\", \"{}\"]\n\
             probe-interval = \"200ms\"\nprobe-timeout = \"80ms\"\ngossip-interval = \"100ms\"\n\
             rejoin-interval = \"300ms\"\nseed-interval = \"1s\"\nsettle = \"1s\"\nsync-interval = \"5s\"\n\
             [operators]\nlisten = \"{}\"\n\
             [duties]\nvoters = {voters:?}\n\
             [node]\nlisten = \"{}\"\noperators = \"{}\"\n{node}",
            agent % 2,
            self.state_dir(agent).display(),
            self.call_addr(agent),
            self.call_addr(0),
            self.call_addr(1),
            self.operator_addr(agent),
            self.client_addr(agent),
            self.address(agent, 3),
        );
        let path = self
            .folder
            .path()
            .join(format!("m{agent}"))
            .join("agent.toml");
        fs::write(&path, text).unwrap();
        path
    }

    /// Starts an agent with a configuration file.
    pub fn start(&mut self, agent: usize, configuration: &Path) {
        let log = configuration.with_file_name("agent.log");
        let child = Command::new(PROGRAM)
            .args(["run", "--config"])
            .arg(configuration)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(fs::File::create(log).unwrap())
            .spawn();
        self.children[agent] = Some(child.unwrap());
    }

    /// Ends an agent with SIGTERM, as a service manager does, and waits for its exit.
    pub fn stop(&mut self, agent: usize) {
        let mut child = self.children[agent].take().unwrap();
        kill(Pid::from_raw(child.id() as i32), Signal::SIGTERM).unwrap();
        assert!(child.wait().unwrap().success());
    }

    /// Sends an operator's request. Returns the status and the body of the response.
    pub fn call(&self, agent: usize, method: &str, path: &str) -> Option<(u16, String)> {
        let request = format!("{method} {path} HTTP/1.1\r\nHost: x\r\n\r\n");
        let answer = exchange(self.operator_addr(agent), request.as_bytes())?;
        let answer = String::from_utf8(answer).ok()?;
        let (head, body) = answer.split_once("\r\n\r\n")?;
        let status = head.split(' ').nth(1)?.parse().ok()?;
        Some((status, body.to_owned()))
    }

    /// Gets a report for operators as JSON; null if there is no answer.
    pub fn get(&self, agent: usize, path: &str) -> Value {
        let body = self.call(agent, "GET", path).map(|(_, body)| body);
        serde_json::from_str(&body.unwrap_or_default()).unwrap_or_default()
    }

    /// Waits until a condition holds. Panics with the agents' logs if it does not hold in time.
    pub fn until(&self, what: &str, mut holds: impl FnMut(&Fleet) -> bool) {
        let start = Instant::now();
        while !holds(self) {
            if start.elapsed() > WAIT_LIMIT {
                let logs = (0..self.children.len()).map(|agent| self.log(agent));
                let logs: Vec<String> = logs.collect();
                panic!(
                    "not within {WAIT_LIMIT:?}: {what}\n{}",
                    logs.join("\n---\n")
                );
            }
            thread::sleep(POLL_INTERVAL);
        }
    }

    fn log(&self, agent: usize) -> String {
        let log = self
            .folder
            .path()
            .join(format!("m{agent}"))
            .join("agent.log");
        fs::read_to_string(log).unwrap_or_default()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for agent in 0..self.children.len() {
            if let Some(mut child) = self.children[agent].take() {
                let _ = child.kill();
                let _ = child.wait();
            }
            // A killed agent leaves its node running for the next agent to adopt, and here there is none.
            if let Some(pid) = self.read(agent, "node.pid")["pid"].as_i64() {
                let _ = kill(Pid::from_raw(pid as i32), Signal::SIGKILL);
            }
        }
    }
}

/// Sends a call as another agent does, with the end of the stream after it. Returns the answer.
pub fn send_agent_call(to: SocketAddr, bytes: &[u8]) -> Vec<u8> {
    let mut stream = connect(to).unwrap();
    stream.write_all(bytes).unwrap();
    stream.shutdown(Shutdown::Write).unwrap();
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).unwrap();
    answer
}

/// Sends a request and reads the answer up to the end of the connection.
fn exchange(to: SocketAddr, request: &[u8]) -> Option<Vec<u8>> {
    let mut stream = connect(to).ok()?;
    stream.write_all(request).ok()?;
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).ok()?;
    Some(answer)
}

fn connect(to: SocketAddr) -> std::io::Result<TcpStream> {
    let stream = TcpStream::connect(to)?;
    stream.set_read_timeout(Some(WAIT_LIMIT))?;
    Ok(stream)
}
