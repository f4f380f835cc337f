//! Agents as real processes on loopback, controlled through their files and operators' addresses alone: nothing here
//! depends on the names inside the program.

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
/// Far more than anything takes: a busy machine may be slow.
const WAIT_LIMIT: Duration = Duration::from_secs(60);
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Below the ports that the system gives out.
const FIRST_PORT: u16 = 7_400;
const PORTS_PER_FLEET: u16 = 10;

static FLEETS: AtomicU32 = AtomicU32::new(0);

/// The agent's `[node]` table but its addresses: a process that does nothing.
pub const IDLE_NODE: &str =
    "command = [\"sleep\", \"600\"]\nconfig = \"none\"\nready-within = \"10m\"\n\
     silent-limit = \"10m\"\ndrain-within = \"1s\"\n";

/// Some agents of one fleet, `m0` and on. Dropped, their processes and nodes end.
pub struct Fleet {
    folder: TempDir,
    first_port: u16,
    children: Vec<Option<Child>>,
}

impl Fleet {
    /// Folders for so many agents; none is started.
    pub fn new(agents: usize) -> Fleet {
        let number = FLEETS.fetch_add(1, Ordering::Relaxed) as u16;
        let fleet = Fleet {
            folder: tempfile::tempdir().unwrap(),
            first_port: FIRST_PORT + number * PORTS_PER_FLEET,
            children: (0..agents).map(|_| None).collect(),
        };
        for agent in 0..agents {
            fs::create_dir_all(fleet.state(agent).join("node")).unwrap();
        }
        fleet
    }

    /// An address of this test process and this agent alone.
    fn address(&self, agent: usize, port: u16) -> SocketAddr {
        let [_, _, high, low] = std::process::id().to_be_bytes();
        let ip = Ipv4Addr::new(127, 128 + high % 64, low, 1 + agent as u8);
        SocketAddr::from((ip, self.first_port + port))
    }

    /// Where other agents call.
    pub fn calls(&self, agent: usize) -> SocketAddr {
        self.address(agent, 0)
    }

    /// Where operators call.
    pub fn operators(&self, agent: usize) -> SocketAddr {
        self.address(agent, 1)
    }

    /// Where the node's clients connect.
    pub fn clients(&self, agent: usize) -> SocketAddr {
        self.address(agent, 2)
    }

    /// The folder of what the agent keeps.
    pub fn state(&self, agent: usize) -> PathBuf {
        self.folder.path().join(format!("m{agent}")).join("state")
    }

    /// Writes a file into that folder.
    pub fn write(&self, agent: usize, file: &str, content: impl AsRef<[u8]>) {
        fs::write(self.state(agent).join(file), content).unwrap();
    }

    /// Reads a file of that folder as JSON.
    pub fn read(&self, agent: usize, file: &str) -> Value {
        let content = fs::read(self.state(agent).join(file)).unwrap_or_default();
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
            self.state(agent).display(),
            self.calls(agent),
            self.calls(0),
            self.calls(1),
            self.operators(agent),
            self.clients(agent),
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

    /// Starts an agent by its configuration.
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

    /// Ends an agent as its platform does and waits for its end.
    pub fn stop(&mut self, agent: usize) {
        let mut child = self.children[agent].take().unwrap();
        kill(Pid::from_raw(child.id() as i32), Signal::SIGTERM).unwrap();
        assert!(child.wait().unwrap().success());
    }

    /// An operator's call: the status and the body.
    pub fn call(&self, agent: usize, method: &str, path: &str) -> Option<(u16, String)> {
        let request = format!("{method} {path} HTTP/1.1\r\nHost: x\r\n\r\n");
        let answer = exchange(self.operators(agent), request.as_bytes())?;
        let answer = String::from_utf8(answer).ok()?;
        let (head, body) = answer.split_once("\r\n\r\n")?;
        let status = head.split(' ').nth(1)?.parse().ok()?;
        Some((status, body.to_owned()))
    }

    /// An operator's call that is answered with JSON; null without an answer.
    pub fn get(&self, agent: usize, path: &str) -> Value {
        let body = self.call(agent, "GET", path).map(|(_, body)| body);
        serde_json::from_str(&body.unwrap_or_default()).unwrap_or_default()
    }

    /// Waits until something holds, and panics with the agents' logs where it does not.
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
            // An agent that is killed leaves its node to the next one; here there is none.
            if let Some(pid) = self.read(agent, "node.pid")["pid"].as_i64() {
                let _ = kill(Pid::from_raw(pid as i32), Signal::SIGKILL);
            }
        }
    }
}

/// A call from another agent: the bytes, and the end of them. The answer's bytes.
pub fn call_of_an_agent(to: SocketAddr, bytes: &[u8]) -> Vec<u8> {
    let mut stream = connect(to).unwrap();
    stream.write_all(bytes).unwrap();
    stream.shutdown(Shutdown::Write).unwrap();
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).unwrap();
    answer
}

/// An operator's call and the answer, up to the end of the connection.
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
