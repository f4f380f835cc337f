//! An agent with the real node's program: restarts, adoption by a later agent, draining, and replacement of a hung
//! node. The tests build the node's program if it is missing.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::OnceLock;
use std::time::{Duration, Instant};

use control_plane::membership::{MemberReport, NodeState};
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use serde_json::{json, Value};
use tempfile::TempDir;
use testbed::agent_harness::processes::{name, Agents, FAST_SETTINGS};
use testbed::runtime::Reservation;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const PROGRAM: &str = env!("CARGO_BIN_EXE_balancer-agent");
/// Far longer than needed, as a busy machine may be slow.
const TIMEOUT: Duration = Duration::from_secs(60);

/// The node's program, built once.
fn node_program() -> &'static Path {
    static BUILT: OnceLock<PathBuf> = OnceLock::new();
    BUILT.get_or_init(|| {
        let mut build = Command::new(env!("CARGO"));
        build.args([
            "build",
            "--locked",
            "-p",
            "load-balancer",
            "--bin",
            "load-balancer",
        ]);
        let mut running = build
            .current_dir(env!("CARGO_MANIFEST_DIR"))
            .spawn()
            .unwrap();
        assert!(running.wait().unwrap().success());
        Path::new(PROGRAM).with_file_name("load-balancer")
    })
}

/// One agent with its node.
struct Fixture {
    agents: Agents,
    clients: SocketAddr,
    node_operators: SocketAddr,
    /// The `node` table of the agent's configuration.
    node_table: String,
    /// Keep the node's addresses from being given to anything else.
    _reservations: [Reservation; 2],
    _folder: TempDir,
}

impl Fixture {
    /// Prepares an agent whose node has this command, in TOML.
    async fn new(command: &str) -> Fixture {
        let folder = tempfile::tempdir().unwrap();
        let agents = Agents::new(Path::new(PROGRAM), folder.path(), 1, FAST_SETTINGS, 1)
            .await
            .unwrap();
        let reservations = [agents.reserve(0).unwrap(), agents.reserve(0).unwrap()];
        let (clients, node_operators) = (reservations[0].addr(), reservations[1].addr());
        let config = agents.folder(0).join("node.json");
        let class =
            json!({"name": "balance", "aim": 500_000, "deadline": 1_000_000, "semantics": "safe"});
        let file: Value = json!({"name": "x", "listen": clients.to_string(), "discovery": "127.0.0.1:9", "seed": "1",
            "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256},
            "known": {"revision": 1, "complete": true, "members": []}, "settings": {"classes": [class]}});
        std::fs::write(&config, file.to_string()).unwrap();
        let node_table = format!(
            "[node]\ncommand = [{command}]\nconfig = \"{}\"\nlisten = \"{clients}\"\noperators = \"{node_operators}\"\n\
             status-interval = \"50ms\"\nsilent-limit = \"2s\"\ndrain-within = \"20s\"\n",
            config.display()
        );
        Fixture {
            agents,
            clients,
            node_operators,
            node_table,
            _reservations: reservations,
            _folder: folder,
        }
    }

    /// Starts an agent with the real node, and waits until the node serves.
    async fn started() -> Fixture {
        let mut fixture = Fixture::new(&format!("\"{}\"", node_program().display())).await;
        fixture.start();
        fixture.wait_for_state(NodeState::Serving).await;
        fixture
    }

    fn start(&mut self) {
        let table = self.node_table.clone();
        self.agents.start(0, &[], &table);
    }

    async fn member_report(&self) -> Option<MemberReport> {
        let report = self.agents.report(0).await.ok()?;
        report
            .members
            .into_iter()
            .find(|member| member.name.as_str() == name(0))
    }

    async fn wait_for_state(&self, state: NodeState) {
        let is = async |_: &Agents| {
            self.member_report()
                .await
                .is_some_and(|member| member.node == Some(state))
        };
        self.agents
            .until(&format!("the node is {state:?}"), TIMEOUT, is)
            .await;
    }

    /// Process id of the node, from its pid file.
    fn node_pid(&self) -> Option<i32> {
        let file = std::fs::read(self.agents.folder(0).join("state/node.pid")).ok()?;
        serde_json::from_slice::<Value>(&file).ok()?["pid"]
            .as_i64()
            .map(|pid| pid as i32)
    }

    /// Sends a signal to the node. Returns its process id.
    fn signal_node(&self, signal: Signal) -> i32 {
        let pid = self.node_pid().expect("a running node");
        kill(Pid::from_raw(pid), signal).unwrap();
        pid
    }

    /// Sends a client's request. Returns the status of the response, if there is one within 5 s.
    async fn request_status(&self) -> Option<String> {
        let request = async {
            let mut stream = TcpStream::connect(self.clients).await.ok()?;
            stream
                .write_all(b"GET /-/ready HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n")
                .await
                .ok()?;
            let mut text = String::new();
            stream.read_to_string(&mut text).await.ok()?;
            text.split(' ').nth(1).map(str::to_owned)
        };
        tokio::time::timeout(Duration::from_secs(5), request)
            .await
            .ok()?
    }
}

/// Whether a process exists and is not a zombie.
fn is_running(pid: i32) -> bool {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    stat.rsplit(')')
        .next()
        .is_some_and(|rest| !rest.trim().is_empty() && !rest.trim_start().starts_with('Z'))
}

/// Guards against rejecting clients while the node restarts, although the agent owns the listening socket.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_node_that_dies_is_restarted_and_no_client_is_rejected() {
    let fixture = Fixture::started().await;
    assert_eq!(fixture.request_status().await.as_deref(), Some("200"));
    let first = fixture.signal_node(Signal::SIGKILL);
    // Clients that connect now wait in the queue of the agent's listening socket for the new process.
    let start = Instant::now();
    while start.elapsed() < Duration::from_secs(1) {
        assert_eq!(
            fixture.request_status().await.as_deref(),
            Some("200"),
            "{}",
            fixture.agents.log(0)
        );
    }
    fixture.wait_for_state(NodeState::Serving).await;
    assert_ne!(fixture.node_pid(), Some(first));
    let log = fixture.agents.log(0);
    assert!(
        log.contains("ended by signal 9; starts again in 200 ms"),
        "{log}"
    );
}

/// Guards against a node that ends with its agent, and against starting a second node beside a running one.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_killed_agent_leaves_its_node_serving_and_the_next_one_adopts_it() {
    let mut fixture = Fixture::started().await;
    let pid = fixture.node_pid().unwrap();
    for round in 0..3 {
        fixture.agents.kill(0);
        assert_eq!(
            fixture.request_status().await.as_deref(),
            Some("200"),
            "it serves without an agent"
        );
        if round == 1 {
            // As if the agent was killed before it wrote the file: the node is found by its environment.
            std::fs::remove_file(fixture.agents.folder(0).join("state/node.pid")).unwrap();
        }
        fixture.start();
        fixture.wait_for_state(NodeState::Serving).await;
        assert_eq!(
            fixture.node_pid(),
            Some(pid),
            "the same process, and no second one"
        );
    }
    // The agent notices the exit of the node, although it is not its child, and starts a new process on the address.
    fixture.signal_node(Signal::SIGKILL);
    let replaced = async |_: &Agents| fixture.node_pid().is_some_and(|now| now != pid);
    fixture
        .agents
        .until("the node is another process", TIMEOUT, replaced)
        .await;
    fixture.wait_for_state(NodeState::Serving).await;
    assert_eq!(fixture.request_status().await.as_deref(), Some("200"));
    assert!(!is_running(pid));
}

/// Guards against a planned stop that kills the node with requests in flight, or leaves the node running.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stop_drains_the_node_and_leaves_no_process_behind() {
    let mut fixture = Fixture::started().await;
    let pid = fixture.node_pid().unwrap();
    fixture.agents.signal(0, Signal::SIGTERM);
    let status = fixture
        .agents
        .ended(0, TIMEOUT)
        .await
        .expect("the agent's end");
    assert!(status.success(), "{}", fixture.agents.log(0));
    assert!(!is_running(pid));
    assert!(
        fixture.agents.log(0).contains("ended with exit code 0"),
        "drained, not killed"
    );
    assert_eq!(fixture.request_status().await, None, "no process listens");
    assert!(fixture.node_pid().is_none());
}

/// Guards against a hung node that is never replaced, and against replacing a node that is on standby.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_unresponsive_node_is_replaced_and_one_on_standby_is_not() {
    let fixture = Fixture::started().await;
    let post = async |path: &str| {
        let call = control_plane::runtime::http::call(
            fixture.node_operators,
            control_plane::runtime::http::Method::POST,
            path,
        );
        assert_eq!(call.await.unwrap().status, 200);
    };
    let pid = fixture.node_pid();
    post("/standby").await;
    fixture.wait_for_state(NodeState::StandingBy).await;
    post("/active").await;
    fixture.wait_for_state(NodeState::Serving).await;
    assert_eq!(fixture.node_pid(), pid);
    let hung = fixture.signal_node(Signal::SIGSTOP);
    let replaced = async |_: &Agents| fixture.node_pid().is_some_and(|now| now != hung);
    fixture
        .agents
        .until("the node is another process", TIMEOUT, replaced)
        .await;
    fixture.wait_for_state(NodeState::Serving).await;
    assert!(!is_running(hung));
}

/// Guards against unlimited starts, and against clients that wait in the queue for a node that never runs.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_program_that_cannot_run_is_logged_and_its_starts_are_limited() {
    for (command, reason) in [
        ("\"/nonexistent/load-balancer\"", "can't be started"),
        ("\"false\"", "exit code 1"),
    ] {
        let mut fixture = Fixture::new(command).await;
        fixture
            .node_table
            .push_str("backoff = \"10ms\"\nstarts-per-minute = 4\n");
        fixture.start();
        let is_limited =
            async |agents: &Agents| agents.log(0).contains("4 starts in a minute are enough");
        fixture
            .agents
            .until("the limit on starts is logged", TIMEOUT, is_limited)
            .await;
        assert!(
            fixture.agents.log(0).contains(reason),
            "{}",
            fixture.agents.log(0)
        );
        assert_eq!(
            fixture.member_report().await.unwrap().node,
            Some(NodeState::Starting)
        );
        assert_eq!(
            fixture.request_status().await,
            None,
            "clients are rejected at once and not kept waiting"
        );
    }
}
