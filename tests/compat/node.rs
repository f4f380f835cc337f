//! A node process on loopback, with listeners of the test as discovery and server. It is controlled only through files,
//! environment variables and sockets, so nothing here depends on names in the code.

use std::fs;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use tempfile::TempDir;

/// Upper bound of every wait, far above the expected time because the machine may be busy.
const WAIT_LIMIT: Duration = Duration::from_secs(60);
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Lowest port of the nodes. It is below the range of ports that the system assigns.
const FIRST_PORT: u16 = 7_400;
const PORTS_PER_NODE: u16 = 4;
/// A configuration with the placeholders `DISCOVERY` and `SERVER` for addresses.
const CONFIGURATION: &str = include_str!("fixtures/configuration.json");

/// Number of nodes that this process has created.
static NODES: AtomicU16 = AtomicU16::new(0);

/// A node with its folder, its addresses and the listeners of its discovery and its server. Its process is killed on
/// drop.
pub struct Node {
    pub folder: TempDir,
    /// The address for clients; the other addresses have the next ports.
    first_addr: SocketAddr,
    pub discovery: TcpListener,
    pub server: TcpListener,
    child: Option<Child>,
}

impl Node {
    /// Prepares a node without starting its process.
    pub fn new() -> Node {
        // The address is specific to this test process, the port to this node.
        let [_, _, high, low] = std::process::id().to_be_bytes();
        let ip = Ipv4Addr::new(127, 192 + high % 62, low, 1);
        let port = FIRST_PORT + NODES.fetch_add(1, Ordering::Relaxed) * PORTS_PER_NODE;
        let any = SocketAddr::from((ip, 0));
        Node {
            folder: tempfile::tempdir().unwrap(),
            first_addr: SocketAddr::from((ip, port)),
            discovery: TcpListener::bind(any).unwrap(),
            server: TcpListener::bind(any).unwrap(),
            child: None,
        }
    }

    /// Starts a node and waits until it is ready.
    pub fn started() -> Node {
        let mut node = Node::new();
        node.start();
        node
    }

    fn address(&self, offset: u16) -> SocketAddr {
        SocketAddr::from((self.first_addr.ip(), self.first_addr.port() + offset))
    }

    /// Address for clients.
    pub fn client_addr(&self) -> SocketAddr {
        self.address(0)
    }

    /// Address of the admin listener.
    pub fn admin_addr(&self) -> SocketAddr {
        self.address(1)
    }

    /// Starts the process with the environment that the platform sets, and waits until it is ready.
    pub fn start(&mut self) {
        let mut command = self.command(env!("CARGO_BIN_EXE_load-balancer"));
        self.child = Some(command.spawn().unwrap());
        self.wait_until_ready(self.client_addr());
    }

    /// Writes the configuration file, and returns a command with the environment of a node. `program` is the node or a
    /// program that runs it.
    pub fn command(&self, program: &str) -> Command {
        let configuration = self.folder.path().join("node.json");
        self.configure(&configuration);
        let mut command = Command::new(program);
        command
            .env_clear()
            .env("BALANCER_NAME", "n/0")
            .env("BALANCER_LISTEN", self.client_addr().to_string())
            .env("BALANCER_CONFIG", configuration)
            .env("BALANCER_OPERATOR", self.admin_addr().to_string())
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

    /// Takes over a process that a test has started, to kill it on drop.
    pub fn take_child(&mut self, child: Child) {
        self.child = Some(child);
    }

    pub fn wait_until_ready(&self, addr: SocketAddr) {
        wait_until("the node is ready", || {
            let response = exchange(
                addr,
                "GET /-/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n",
            );
            response.starts_with("HTTP/1.1 200")
        });
    }

    /// Makes a call, such as `GET /status`, to the admin listener. Returns the response as text.
    pub fn admin_call(&self, call: &str) -> String {
        exchange(
            self.admin_addr(),
            &format!("{call} HTTP/1.1\r\nHost: x\r\n\r\n"),
        )
    }

    /// Returns the value of a metric, or `None` if the node does not report it.
    pub fn metric(&self, name: &str) -> Option<String> {
        let response = self.admin_call("GET /status/metrics");
        let value = response
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

/// Waits until a condition holds, which `what` describes. Panics after [`WAIT_LIMIT`].
#[track_caller]
pub fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let start = Instant::now();
    while !holds() {
        assert!(
            start.elapsed() < WAIT_LIMIT,
            "timed out waiting until {what}"
        );
        thread::sleep(POLL_INTERVAL);
    }
}

/// Sends a text on a new connection and returns everything that arrives until the connection ends. Returns an empty
/// text if nobody listens.
pub fn exchange(to: SocketAddr, text: &str) -> String {
    let Ok(mut stream) = TcpStream::connect(to) else {
        return String::new();
    };
    stream.set_read_timeout(Some(WAIT_LIMIT)).unwrap();
    let mut response = String::new();
    let _ = stream.write_all(text.as_bytes());
    let _ = stream.read_to_string(&mut response);
    response
}

/// Accepts the next connection of a listener.
pub fn accept(listener: &TcpListener) -> TcpStream {
    let (stream, _) = listener.accept().unwrap();
    stream.set_read_timeout(Some(WAIT_LIMIT)).unwrap();
    stream
}

/// Reads a message with a body of this length.
pub fn read_message(stream: &mut TcpStream, body_bytes: usize) -> String {
    let mut text = Vec::new();
    let mut byte = [0];
    while !text.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).unwrap();
        text.push(byte[0]);
    }
    let mut rest = vec![0; body_bytes];
    stream.read_exact(&mut rest).unwrap();
    text.extend(rest);
    String::from_utf8(text).unwrap()
}
