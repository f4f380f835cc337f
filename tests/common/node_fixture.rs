//! A real node process on loopback, with servers and a discovery service that the test controls.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{channel, Receiver};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{json, Value};

use super::http::*;
use super::stand_ins::*;

/// Gives a node an admin listener, at a port that the system chooses.
pub const ADMIN_ENV: [(&str, &str); 1] = [("BALANCER_OPERATOR", "127.0.0.1:0")];

/// A node process with its servers and its discovery service. The process is killed on drop.
pub struct NodeFixture {
    pub node: Child,
    pub addr: SocketAddr,
    /// Address of the admin listener; empty if there is none.
    pub admin_addr: String,
    /// Behavior of each server.
    pub behaviors: Vec<Arc<Mutex<Behavior>>>,
    /// Entries of the servers in the list of discovery.
    pub members: Vec<Value>,
    pub reports: Receiver<ServerReport>,
    /// Watches that the node has opened, each with its request.
    pub watches: Receiver<(Message, TcpStream)>,
    pub config: Value,
    /// Configuration file of the node.
    pub file: tempfile::NamedTempFile,
    pub log: Log,
}

/// Lines that a node has written to its log.
#[derive(Clone, Default)]
pub struct Log(Arc<Mutex<Vec<String>>>);

impl Log {
    pub fn lines(&self) -> Vec<String> {
        self.0.lock().unwrap().clone()
    }

    /// Waits for a line that contains all of these texts, and returns it.
    pub fn wait_for_line(&self, texts: &[&str]) -> String {
        let mut found = None;
        wait_until(&format!("the log has a line with {texts:?}"), || {
            found = self
                .lines()
                .into_iter()
                .find(|line| texts.iter().all(|text| line.contains(text)));
            found.is_some()
        });
        found.unwrap()
    }
}

/// The program that the tests start as a node: the one that was built with them, or the one that `NODE_UNDER_TEST` names,
/// such as that of the release build.
fn node_program() -> String {
    let built = env!("CARGO_BIN_EXE_load-balancer");
    std::env::var("NODE_UNDER_TEST").unwrap_or_else(|_| built.to_owned())
}

/// Returns a command that runs the node with this configuration and no other environment variable.
pub fn node_command(config: &Path) -> Command {
    let mut command = Command::new(node_program());
    command
        .env_clear()
        .env("BALANCER_CONFIG", config)
        .stdin(Stdio::null());
    command
}

/// Starts a node and waits until it listens. A given `listener` is passed to it as descriptor 4. Returns the process,
/// its address and the address of its admin listener (empty if there is none).
pub fn start(
    config: &Path,
    listener: Option<&TcpListener>,
    env: &[(&str, &str)],
) -> (Child, SocketAddr, String) {
    let (node, addr, admin_addr, _) = start_logged(config, listener, env);
    (node, addr, admin_addr)
}

/// Starts a node as [`start`] does, and returns its log too. As in deployments, the descriptor limit of the process is
/// the `limits.sockets` of its configuration.
pub fn start_logged(
    config: &Path,
    listener: Option<&TcpListener>,
    env: &[(&str, &str)],
) -> (Child, SocketAddr, String, Log) {
    let text = std::fs::read_to_string(config).unwrap();
    let sockets = serde_json::from_str::<Value>(&text).unwrap()["limits"]["sockets"]
        .as_u64()
        .unwrap_or(1024);
    start_within(sockets, config, listener, env)
}

/// Starts a node as [`start_logged`] does, with a descriptor limit of `sockets` whatever its configuration says.
pub fn start_within(
    sockets: u64,
    config: &Path,
    listener: Option<&TcpListener>,
    env: &[(&str, &str)],
) -> (Child, SocketAddr, String, Log) {
    let mut command = Command::new("/bin/sh");
    let redirect = if listener.is_some() {
        "exec 4<&0 </dev/null; "
    } else {
        ""
    };
    let script = format!("ulimit -n {sockets}; {redirect}exec \"$0\"");
    command.args(["-c", &script, &node_program()]);
    if let Some(listener) = listener {
        command.stdin(OwnedFd::from(listener.try_clone().unwrap()));
    }
    command
        .env_clear()
        .env("BALANCER_CONFIG", config)
        .envs(env.iter().copied());
    if listener.is_some() {
        command.env("BALANCER_FD", "4");
    }
    let mut node = command.stderr(Stdio::piped()).spawn().unwrap();
    let mut lines = BufReader::new(node.stderr.take().unwrap()).lines();
    let (mut admin_addr, log) = (String::new(), Log::default());
    let addr = lines
        .by_ref()
        .find_map(|line| {
            let line = line.unwrap();
            log.0.lock().unwrap().push(line.clone());
            if let Some((_, addr)) = line.split_once("operators call at ") {
                admin_addr = addr.to_owned();
            }
            line.split_once("listens on ")
                .map(|(_, addr)| addr.parse().unwrap())
        })
        .expect("the node ended before it listened");
    let shared_log = log.clone();
    thread::spawn(move || {
        lines
            .map_while(Result::ok)
            .for_each(|line| shared_log.0.lock().unwrap().push(line))
    });
    (node, addr, admin_addr, log)
}

/// Kills its process on drop.
pub struct ChildGuard(pub Child);

impl Drop for ChildGuard {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

pub fn signal(node: &Child, name: &str) {
    assert!(Command::new("kill")
        .args([name, &node.id().to_string()])
        .status()
        .unwrap()
        .success());
}

impl Drop for NodeFixture {
    fn drop(&mut self) {
        self.kill();
    }
}

impl NodeFixture {
    pub fn new(servers: usize) -> NodeFixture {
        NodeFixture::with_limits(servers, json!({"sockets": 256}))
    }

    pub fn with_limits(servers: usize, limits: Value) -> NodeFixture {
        NodeFixture::with_limits_and_env(servers, limits, &[])
    }

    /// Starts a node with an admin listener.
    pub fn with_admin_listener(servers: usize) -> NodeFixture {
        NodeFixture::with_limits_and_env(servers, json!({"sockets": 256}), &ADMIN_ENV)
    }

    pub fn with_limits_and_env(servers: usize, limits: Value, env: &[(&str, &str)]) -> NodeFixture {
        NodeFixture::configured(servers, env, |config| config["limits"] = limits)
    }

    /// Starts a node whose configuration `edit` changes first.
    pub fn configured(
        servers: usize,
        env: &[(&str, &str)],
        edit: impl FnOnce(&mut Value),
    ) -> NodeFixture {
        let (tx, reports) = channel();
        let behaviors: Vec<_> = (0..servers)
            .map(|_| Arc::new(Mutex::new(Behavior::Serve)))
            .collect();
        let members: Vec<Value> = behaviors
            .iter()
            .enumerate()
            .map(|(i, behavior)| {
                let addr = server(i, behavior.clone(), tx.clone());
                member_at(&format!("s-{i}"), addr)
            })
            .collect();
        let (tx, watches) = channel();
        let discovery = discovery(tx);
        let mut config = plain_config(discovery, &members);
        edit(&mut config);
        let mut file = tempfile::NamedTempFile::new().unwrap();
        file.write_all(config.to_string().as_bytes()).unwrap();
        let (node, addr, admin_addr, log) = start_logged(file.path(), None, env);
        NodeFixture {
            node,
            addr,
            admin_addr,
            behaviors,
            members,
            reports,
            watches,
            config,
            file,
            log,
        }
    }

    /// Starts a node with an admin listener and one server, whose connections the test reads and writes itself. `edit`
    /// changes the configuration.
    pub fn with_scripted_server(
        edit: impl FnOnce(&mut Value),
    ) -> (NodeFixture, Receiver<TcpStream>) {
        let (server, connections) = scripted_listener();
        let fixture = NodeFixture::configured(0, &ADMIN_ENV, |config| {
            config["known"]["members"] = json!([member_at("s-scripted", server)]);
            edit(config);
        });
        (fixture, connections)
    }

    /// Sets the behavior of all servers.
    pub fn set_behavior(&self, behavior: Behavior) {
        self.behaviors
            .iter()
            .for_each(|current| *current.lock().unwrap() = behavior);
    }

    /// Opens a connection to the node.
    pub fn connect(&self) -> TcpStream {
        connect(self.addr)
    }

    /// Sends bytes on a new connection, and returns it with the response unread.
    pub fn send(&self, text: &[u8]) -> TcpStream {
        let mut stream = self.connect();
        stream.write_all(text).unwrap();
        stream
    }

    /// Sends bytes on a new connection, and returns the response.
    pub fn exchange(&self, text: &[u8]) -> Message {
        Message::read(&mut BufReader::new(self.send(text))).expect("no response")
    }

    /// Makes a call to the admin listener. Returns the response.
    pub fn admin_call(&self, call: &str) -> Message {
        admin_call(&self.admin_addr, call)
    }

    /// Returns the value of the metric with this name and labels.
    pub fn metric(&self, name: &str) -> u64 {
        let text = String::from_utf8(self.admin_call("GET /status/metrics").body).unwrap();
        let value = text
            .lines()
            .find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
        value
            .unwrap_or_else(|| panic!("no {name} in {text}"))
            .parse()
            .unwrap()
    }

    /// Sends a request with a timeout of 60 s on a new connection. Returns the response.
    pub fn request(&self, class: &str, id: &str) -> Message {
        self.exchange(&request(class, id, 60_000))
    }

    /// Waits for the next report of a server. Returns whether it is a request.
    pub fn receives_request(&self) -> bool {
        matches!(
            self.reports.recv_timeout(TEST_TIMEOUT),
            Ok(ServerReport::Request(..))
        )
    }

    /// Takes the requests that servers have received since the last call, each with the number of its server.
    pub fn requests(&self) -> Vec<(usize, Message)> {
        let request_of = |report| match report {
            ServerReport::Request(server, message) => Some((server, message)),
            ServerReport::Closed => None,
        };
        self.reports.try_iter().filter_map(request_of).collect()
    }

    /// Writes another address of discovery to the configuration file, which the node reads on SIGHUP.
    pub fn set_discovery_address(&mut self, addr: SocketAddr) {
        self.config["discovery"] = json!(addr.to_string());
        std::fs::write(self.file.path(), self.config.to_string()).unwrap();
    }

    /// Writes the address of a new scripted listener as discovery to the configuration file. Returns its connections.
    pub fn move_discovery(&mut self) -> Receiver<TcpStream> {
        let (addr, watches) = scripted_listener();
        self.set_discovery_address(addr);
        watches
    }

    /// Changes the phase of a server. Returns the line with which discovery announces the change.
    pub fn change_phase(&mut self, server: usize, phase: &str, revision: u64) -> String {
        self.members[server]["phase"] = json!(phase);
        let members = [&self.members[server]];
        let delta = json!({"revision": revision, "complete": false, "members": members});
        format!("{delta}\n")
    }

    /// Kills the node.
    pub fn kill(&mut self) {
        let _ = self.node.kill();
        let _ = self.node.wait();
    }

    pub fn signal(&self, name: &str) {
        signal(&self.node, name);
    }

    /// Waits for the next watch, and returns it with its request.
    pub fn watch(&self) -> (Message, TcpStream) {
        self.watches
            .recv_timeout(TEST_TIMEOUT)
            .expect("no watch was opened")
    }
}

/// Returns the default configuration of the tests: the classes `look` (idempotent), `pay` (not idempotent) and `put`
/// (idempotency key), with latency objectives of 20 s and deadlines of 60 s.
pub fn plain_config(discovery: SocketAddr, members: &[Value]) -> Value {
    let class = |name: &str, semantics: &str| {
        json!({"name": name, "aim": 20_000_000, "deadline": 60_000_000, "semantics": semantics,
            "points": 1.0, "late-share": 0.2, "key-scope": "all", "key-ttl": 5_000_000})
    };
    json!({
        "name": "n0", "listen": "127.0.0.1:0", "discovery": discovery.to_string(), "seed": "1f",
        "limits": {"sockets": 256},
        "known": {"revision": 41, "complete": true, "members": members},
        "settings": {
            "group-size": 1, "registry-mode": "ask", "weight-source": "nominal",
            "classes": [class("look", "safe"), class("pay", "unsafe"), class("put", "keyed")],
            "tenants": [{"name": "acme", "quota-per-s": 0.0}],
            "bounds": {"max-attempts": 3, "cancelling": true, "dial-timeout": 5_000_000,
                "keepalive": 60_000_000, "retry-after": true, "max-retry-after": 2_000_000},
            "rules": {"ask-within": 1_000_000},
        },
    })
}

/// Returns the list entry of a server in service.
pub fn member_at(id: &str, addr: SocketAddr) -> Value {
    json!({"id": id, "host_port": addr.to_string(), "locality": "a", "flavor": "f", "cell": 0,
        "phase": "in_service", "size": 1.0, "up_since_ms": 0})
}

/// Waits until a condition holds, which `what` describes. Panics after [`TEST_TIMEOUT`].
pub fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let start = Instant::now();
    while !holds() {
        assert!(
            start.elapsed() < TEST_TIMEOUT,
            "timed out waiting until {what}"
        );
        thread::sleep(Duration::from_millis(5));
    }
}

/// Resident memory of the node, in kB.
pub fn memory_kb(node: &Child) -> u64 {
    status_kb(node, "VmRSS:")
}

/// Peak resident memory of the node, in kB.
pub fn peak_memory_kb(node: &Child) -> u64 {
    status_kb(node, "VmHWM:")
}

fn status_kb(node: &Child, field: &str) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{}/status", node.id())).unwrap();
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix(field))
        .unwrap();
    line.trim().trim_end_matches(" kB").parse().unwrap()
}

/// Number of open descriptors of the node.
pub fn open_descriptors(node: &Child) -> usize {
    std::fs::read_dir(format!("/proc/{}/fd", node.id()))
        .unwrap()
        .count()
}
