//! One real node on loopback between the stand-ins.

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

/// Lets operators call a node, at a port of its own choice.
pub const ADMIN_ENV: [(&str, &str); 1] = [("BALANCER_OPERATOR", "127.0.0.1:0")];

pub struct NodeFixture {
    pub node: Child,
    pub addr: SocketAddr,
    /// The admin listener's address; empty where there is none.
    pub admin_addr: String,
    pub behaviors: Vec<Arc<Mutex<Behavior>>>,
    pub members: Vec<Value>,
    pub reports: Receiver<ServerReport>,
    pub watches: Receiver<(Message, TcpStream)>,
    /// The node's configuration, and its file.
    pub config: Value,
    pub file: tempfile::NamedTempFile,
    pub log: Log,
}

/// What a node has written to its log.
#[derive(Clone, Default)]
pub struct Log(Arc<Mutex<Vec<String>>>);

impl Log {
    pub fn lines(&self) -> Vec<String> {
        self.0.lock().unwrap().clone()
    }

    /// Waits for a line that contains all of these texts; the line.
    pub fn wait_for_line(&self, texts: &[&str]) -> String {
        let mut found = None;
        wait_until(&format!("a line with {texts:?}"), || {
            found = self
                .lines()
                .into_iter()
                .find(|line| texts.iter().all(|text| line.contains(text)));
            found.is_some()
        });
        found.unwrap()
    }
}

/// The node's program with this configuration and no other variable, not yet started.
pub fn node_command(config: &Path) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_load-balancer"));
    command
        .env_clear()
        .env("BALANCER_CONFIG", config)
        .stdin(Stdio::null());
    command
}

/// Starts a node and waits until it listens: on `listener`, handed down as descriptor 4, if given.
pub fn start(
    config: &Path,
    listener: Option<&TcpListener>,
    env: &[(&str, &str)],
) -> (Child, SocketAddr, String) {
    let (node, addr, operator, _) = start_logged(config, listener, env);
    (node, addr, operator)
}

/// Likewise, with its log. The process gets no more descriptors than its configuration says, as where nodes run.
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

/// Likewise, with so many descriptors, whatever its configuration says.
pub fn start_within(
    sockets: u64,
    config: &Path,
    listener: Option<&TcpListener>,
    env: &[(&str, &str)],
) -> (Child, SocketAddr, String, Log) {
    let mut command = Command::new("/bin/sh");
    let inherits = if listener.is_some() {
        "exec 4<&0 </dev/null; "
    } else {
        ""
    };
    let script = format!("ulimit -n {sockets}; {inherits}exec \"$0\"");
    command.args(["-c", &script, env!("CARGO_BIN_EXE_load-balancer")]);
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
    let (mut operator, log) = (String::new(), Log::default());
    let addr = lines
        .by_ref()
        .find_map(|line| {
            let line = line.unwrap();
            log.0.lock().unwrap().push(line.clone());
            if let Some((_, addr)) = line.split_once("operators call at ") {
                operator = addr.to_owned();
            }
            line.split_once("listens on ")
                .map(|(_, addr)| addr.parse().unwrap())
        })
        .expect("the node listens");
    let shared_log = log.clone();
    thread::spawn(move || {
        lines
            .map_while(Result::ok)
            .for_each(|line| shared_log.0.lock().unwrap().push(line))
    });
    (node, addr, operator, log)
}

/// A process that is killed when this is dropped.
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

    /// One with an admin listener.
    pub fn with_admin_listener(servers: usize) -> NodeFixture {
        NodeFixture::with_limits_and_env(servers, json!({"sockets": 256}), &ADMIN_ENV)
    }

    pub fn with_limits_and_env(servers: usize, limits: Value, env: &[(&str, &str)]) -> NodeFixture {
        NodeFixture::configured(servers, env, |config| config["limits"] = limits)
    }

    /// One whose configuration is changed before its start.
    pub fn configured(
        servers: usize,
        env: &[(&str, &str)],
        shape: impl FnOnce(&mut Value),
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
        shape(&mut config);
        let mut file = tempfile::NamedTempFile::new().unwrap();
        file.write_all(config.to_string().as_bytes()).unwrap();
        let (node, addr, operator, log) = start_logged(file.path(), None, env);
        NodeFixture {
            node,
            addr,
            admin_addr: operator,
            behaviors,
            members,
            reports,
            watches,
            config,
            file,
            log,
        }
    }

    /// Has all servers do this from now on.
    pub fn set_behavior(&self, behavior: Behavior) {
        self.behaviors
            .iter()
            .for_each(|current| *current.lock().unwrap() = behavior);
    }

    /// A connection to the node.
    pub fn connect(&self) -> TcpStream {
        connect(self.addr)
    }

    /// Sends text as it is on a connection of its own, which is returned with its answer unread.
    pub fn send(&self, text: &[u8]) -> TcpStream {
        let mut stream = self.connect();
        stream.write_all(text).unwrap();
        stream
    }

    /// Likewise; the answer.
    pub fn exchange(&self, text: &[u8]) -> Message {
        Message::read(&mut BufReader::new(self.send(text))).expect("an answer")
    }

    /// An operator's call.
    pub fn admin_call(&self, what: &str) -> Message {
        admin_call(&self.admin_addr, what)
    }

    /// The value of the metric of this name and labels.
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

    /// A request with ample time, on a connection of its own; the answer.
    pub fn request(&self, class: &str, id: &str) -> Message {
        self.exchange(&request(class, id, 60_000))
    }

    /// Waits for the next report of a server; whether it is of a request.
    pub fn receives_request(&self) -> bool {
        matches!(
            self.reports.recv_timeout(TEST_TIMEOUT),
            Ok(ServerReport::Request(..))
        )
    }

    /// The servers that requests have reached, with what came.
    pub fn requests(&self) -> Vec<(usize, Message)> {
        let taken = |seen| match seen {
            ServerReport::Request(server, message) => Some((server, message)),
            ServerReport::Closed => None,
        };
        self.reports.try_iter().filter_map(taken).collect()
    }

    /// Names another address of discovery in the node's file, which it reads at SIGHUP.
    pub fn set_discovery_address(&mut self, addr: SocketAddr) {
        self.config["discovery"] = json!(addr.to_string());
        std::fs::write(self.file.path(), self.config.to_string()).unwrap();
    }

    /// Names a new discovery in the node's file, whose every byte is the test's; the connections to it.
    pub fn move_discovery(&mut self) -> Receiver<TcpStream> {
        let (addr, watches) = scripted();
        self.set_discovery_address(addr);
        watches
    }

    /// Puts a server into another phase; the line of discovery that says so.
    pub fn change_phase(&mut self, server: usize, phase: &str, revision: u64) -> String {
        self.members[server]["phase"] = json!(phase);
        let members = [&self.members[server]];
        let delta = json!({"revision": revision, "complete": false, "members": members});
        format!("{delta}\n")
    }

    /// Ends the node's process at once.
    pub fn kill(&mut self) {
        let _ = self.node.kill();
        let _ = self.node.wait();
    }

    pub fn signal(&self, name: &str) {
        signal(&self.node, name);
    }

    pub fn watch(&self) -> (Message, TcpStream) {
        self.watches.recv_timeout(TEST_TIMEOUT).expect("a watch")
    }
}

/// A node's configuration, for a test that asks for nothing else.
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

/// An entry of discovery's list: a server in service.
pub fn member_at(id: &str, addr: SocketAddr) -> Value {
    json!({"id": id, "host_port": addr.to_string(), "locality": "a", "flavor": "f", "cell": 0,
        "phase": "in_service", "size": 1.0, "up_since_ms": 0})
}

/// Waits for a condition; panics with `what` after [`TEST_TIMEOUT`].
pub fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let start = Instant::now();
    while !holds() {
        assert!(start.elapsed() < TEST_TIMEOUT, "{what}");
        thread::sleep(Duration::from_millis(5));
    }
}

/// The node's resident memory.
pub fn memory_kb(node: &Child) -> u64 {
    status_kb(node, "VmRSS:")
}

/// Its highest resident memory so far.
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

/// How many descriptors the node has open.
pub fn descriptors(node: &Child) -> usize {
    std::fs::read_dir(format!("/proc/{}/fd", node.id()))
        .unwrap()
        .count()
}
