//! Processes, signals and free addresses.

use std::fs::{self, File};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::record::Record;

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// Sends a signal to a process that this case has started.
pub fn signal(pid: u32, signal: i32) {
    // SAFETY: `kill` takes two integers and has no other precondition.
    unsafe { kill(pid as i32, signal) };
}

/// A loopback address of this process, on which no other process of the machine is likely to take a port.
fn loopback() -> Ipv4Addr {
    let pid = std::process::id();
    Ipv4Addr::new(
        127,
        64 + (pid / 64_000 % 64) as u8,
        (pid / 250 % 256) as u8,
        (1 + pid % 250) as u8,
    )
}

/// A listener on a free port.
pub fn free_listener() -> TcpListener {
    TcpListener::bind((loopback(), 0)).expect("a free port")
}

/// An address that is free for TCP and UDP.
pub fn free_addr() -> SocketAddr {
    loop {
        let addr = free_listener().local_addr().expect("an address");
        if UdpSocket::bind(addr).is_ok() {
            return addr;
        }
    }
}

/// The processes that have this line in their environment.
pub fn processes_with(environment_line: &str) -> Vec<u32> {
    let has_line = |pid: &u32| {
        let environment = fs::read(format!("/proc/{pid}/environ")).unwrap_or_default();
        let mut lines = environment.split(|byte| *byte == 0);
        lines.any(|line| line == environment_line.as_bytes())
    };
    let entries = fs::read_dir("/proc").into_iter().flatten().flatten();
    entries
        .filter_map(|entry| entry.file_name().to_str()?.parse().ok())
        .filter(has_line)
        .collect()
}

/// The command `run` of the deploy file. Its path becomes absolute, as a node may have another working folder.
pub fn run_command() -> String {
    let deploy = fs::read_to_string("deploy/balancer.toml").expect("the deploy file");
    let line = deploy.lines().find(|line| line.starts_with("run = "));
    let command = line.and_then(|line| line.split('"').nth(1));
    let root = std::env::current_dir().expect("the working folder");
    command
        .expect("the key run")
        .replace("target/", &format!("{}/target/", root.display()))
}

/// A node that runs without an agent.
pub struct Node {
    pub clients: SocketAddr,
    child: Child,
}

impl Node {
    /// Starts a node by the command `run` and waits until it is ready.
    pub fn start(
        folder: &Path,
        config: &str,
        clients: SocketAddr,
        record: &Record,
    ) -> Result<Node, String> {
        let file = folder.join("node.json");
        let state = folder.join("tmp");
        fs::create_dir_all(&state).map_err(|error| error.to_string())?;
        fs::write(&file, config).map_err(|error| error.to_string())?;
        let log = File::create(folder.join("node.log")).map_err(|error| error.to_string())?;
        let child = Command::new("/bin/sh")
            .args(["-c", &run_command()])
            .env("BALANCER_CONFIG", &file)
            .env("TMPDIR", &state)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .map_err(|error| error.to_string())?;
        record.say(format!("the node starts as process {}", child.id()));
        let node = Node { clients, child };
        wait_until("the node is ready", Duration::from_secs(15), || {
            let answer = http::call(clients, "GET", "/-/ready", Duration::from_secs(1));
            answer.is_ok_and(|answer| answer.status() == 200)
        })?;
        Ok(node)
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Waits until something holds; `Err` if it does not within `limit`.
pub fn wait_until(
    what: &str,
    limit: Duration,
    mut holds: impl FnMut() -> bool,
) -> Result<(), String> {
    let end = Instant::now() + limit;
    while !holds() {
        if Instant::now() >= end {
            return Err(format!("not in time: {what}"));
        }
        thread::sleep(Duration::from_millis(20));
    }
    Ok(())
}
