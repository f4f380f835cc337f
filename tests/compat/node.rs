//! The node's program on loopback, between listeners of the test's own: controlled through files, environment variables
//! and sockets alone, so that nothing here depends on names inside the program.

use std::fs;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use tempfile::TempDir;

/// Far more than anything takes: a busy machine may be slow.
const WAIT_LIMIT: Duration = Duration::from_secs(60);
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Below the ports that the system gives out.
const FIRST_PORT: u16 = 7_400;
const PORTS_PER_NODE: u16 = 4;
/// A configuration with `DISCOVERY` and `SERVER` in place of addresses.
const CONFIGURATION: &str = include_str!("fixtures/configuration.json");

static NODES: AtomicU16 = AtomicU16::new(0);

/// A node's place: its folder, its addresses, and who stands beside it. Dropped, its process ends.
pub struct Node {
    pub folder: TempDir,
    first: SocketAddr,
    pub discovery: TcpListener,
    pub server: TcpListener,
    child: Option<Child>,
}

impl Node {
    /// A place; nothing is started.
    pub fn new() -> Node {
        // An address of this test process and this place alone.
        let [_, _, high, low] = std::process::id().to_be_bytes();
        let ip = Ipv4Addr::new(127, 192 + high % 62, low, 1);
        let port = FIRST_PORT + NODES.fetch_add(1, Ordering::Relaxed) * PORTS_PER_NODE;
        let any = SocketAddr::from((ip, 0));
        Node {
            folder: tempfile::tempdir().unwrap(),
            first: SocketAddr::from((ip, port)),
            discovery: TcpListener::bind(any).unwrap(),
            server: TcpListener::bind(any).unwrap(),
            child: None,
        }
    }

    /// One that is started and ready.
    pub fn started() -> Node {
        let mut node = Node::new();
        node.start();
        node
    }

    fn address(&self, port: u16) -> SocketAddr {
        SocketAddr::from((self.first.ip(), self.first.port() + port))
    }

    /// Where clients connect.
    pub fn clients(&self) -> SocketAddr {
        self.address(0)
    }

    /// Where operators call.
    pub fn operators(&self) -> SocketAddr {
        self.address(1)
    }

    /// Starts the process with the environment that the platform gives it, and waits until it is ready.
    pub fn start(&mut self) {
        let mut command = self.command(env!("CARGO_BIN_EXE_load-balancer"));
        self.child = Some(command.spawn().unwrap());
        self.until_ready(self.clients());
    }

    /// The command with the configuration and the environment, of this program or of one that runs it.
    pub fn command(&self, program: &str) -> Command {
        let configuration = self.folder.path().join("node.json");
        self.configure(&configuration);
        let mut command = Command::new(program);
        command
            .env_clear()
            .env("BALANCER_NAME", "n/0")
            .env("BALANCER_LISTEN", self.clients().to_string())
            .env("BALANCER_CONFIG", configuration)
            .env("BALANCER_OPERATOR", self.operators().to_string())
            .env("TMPDIR", self.folder.path())
            .stdin(Stdio::null())
            .stderr(Stdio::null());
        command
    }

    fn configure(&self, path: &Path) {
        let discovery = self.discovery.local_addr().unwrap().to_string();
        let server = self.server.local_addr().unwrap().to_string();
        let text = CONFIGURATION.replace("DISCOVERY", &discovery);
        fs::write(path, text.replace("SERVER", &server)).unwrap();
    }

    /// Takes over a process that a test has started, to end it.
    pub fn own(&mut self, child: Child) {
        self.child = Some(child);
    }

    pub fn until_ready(&self, clients: SocketAddr) {
        until("the node is ready", || {
            let answer = ask(
                clients,
                "GET /-/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n",
            );
            answer.starts_with("HTTP/1.1 200")
        });
    }

    /// An operator's call and the answer as it came.
    pub fn operate(&self, call: &str) -> String {
        ask(
            self.operators(),
            &format!("{call} HTTP/1.1\r\nHost: x\r\n\r\n"),
        )
    }

    /// A metric's value.
    pub fn metric(&self, name: &str) -> Option<String> {
        let answer = self.operate("GET /status/metrics");
        let value = answer
            .lines()
            .find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
        value.map(str::to_owned)
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Waits for a condition.
#[track_caller]
pub fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let start = Instant::now();
    while !holds() {
        assert!(start.elapsed() < WAIT_LIMIT, "{what}");
        thread::sleep(POLL_INTERVAL);
    }
}

/// Sends a text on a connection of its own and reads until its end; nothing where nobody listens.
pub fn ask(to: SocketAddr, text: &str) -> String {
    let Ok(mut stream) = TcpStream::connect(to) else {
        return String::new();
    };
    stream.set_read_timeout(Some(WAIT_LIMIT)).unwrap();
    let mut answer = String::new();
    let _ = stream.write_all(text.as_bytes());
    let _ = stream.read_to_string(&mut answer);
    answer
}

/// The next connection to a listener.
pub fn accept(listener: &TcpListener) -> TcpStream {
    let (stream, _) = listener.accept().unwrap();
    stream.set_read_timeout(Some(WAIT_LIMIT)).unwrap();
    stream
}

/// Reads a head, and a body of so many bytes.
pub fn read_message(stream: &mut TcpStream, body: usize) -> String {
    let mut text = Vec::new();
    let mut byte = [0];
    while !text.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).unwrap();
        text.push(byte[0]);
    }
    let mut rest = vec![0; body];
    stream.read_exact(&mut rest).unwrap();
    text.extend(rest);
    String::from_utf8(text).unwrap()
}
