//! The agent and the real node: started, served through, killed on either side, adopted, drained. The node's program is
//! built where it is not there yet.

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
use testbed::plane::real::{name, Agents, BRISK};
use testbed::runtime::Reservation;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const PROGRAM: &str = env!("CARGO_BIN_EXE_balancer-agent");
const AMPLE: Duration = Duration::from_secs(60);

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
        let mut done = build
            .current_dir(env!("CARGO_MANIFEST_DIR"))
            .spawn()
            .unwrap();
        assert!(done.wait().unwrap().success());
        Path::new(PROGRAM).with_file_name("load-balancer")
    })
}

struct Rig {
    agents: Agents,
    clients: SocketAddr,
    node_operators: SocketAddr,
    node_table: String,
    _held: [Reservation; 2],
    _folder: TempDir,
}

impl Rig {
    async fn new(command: &str) -> Rig {
        let folder = tempfile::tempdir().unwrap();
        let agents = Agents::new(Path::new(PROGRAM), folder.path(), 1, BRISK, 1)
            .await
            .unwrap();
        let held = [agents.reserve(0).unwrap(), agents.reserve(0).unwrap()];
        let (clients, node_operators) = (held[0].addr(), held[1].addr());
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
        Rig {
            agents,
            clients,
            node_operators,
            node_table,
            _held: held,
            _folder: folder,
        }
    }

    async fn started() -> Rig {
        let mut rig = Rig::new(&format!("\"{}\"", node_program().display())).await;
        rig.start();
        rig.until(NodeState::Serving).await;
        rig
    }

    fn start(&mut self) {
        let table = self.node_table.clone();
        self.agents.start(0, &[], &table);
    }

    async fn me(&self) -> Option<MemberReport> {
        let report = self.agents.report(0).await.ok()?;
        report
            .members
            .into_iter()
            .find(|member| member.name.as_str() == name(0))
    }

    async fn until(&self, state: NodeState) {
        let is = async |_: &Agents| self.me().await.is_some_and(|me| me.node == Some(state));
        self.agents
            .until(&format!("the node is {state:?}"), AMPLE, is)
            .await;
    }

    /// The node's process, by its pid file.
    fn node_pid(&self) -> Option<i32> {
        let file = std::fs::read(self.agents.folder(0).join("state/node.pid")).ok()?;
        serde_json::from_slice::<Value>(&file).ok()?["pid"]
            .as_i64()
            .map(|pid| pid as i32)
    }

    fn signal_node(&self, signal: Signal) -> i32 {
        let pid = self.node_pid().expect("a node runs");
        kill(Pid::from_raw(pid), signal).unwrap();
        pid
    }

    /// A client's request: the status that it gets.
    async fn ask(&self) -> Option<String> {
        let ask = async {
            let mut stream = TcpStream::connect(self.clients).await.ok()?;
            stream
                .write_all(b"GET /-/ready HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n")
                .await
                .ok()?;
            let mut text = String::new();
            stream.read_to_string(&mut text).await.ok()?;
            text.split(' ').nth(1).map(str::to_owned)
        };
        tokio::time::timeout(Duration::from_secs(5), ask)
            .await
            .ok()?
    }
}

fn runs(pid: i32) -> bool {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    stat.rsplit(')')
        .next()
        .is_some_and(|rest| !rest.trim().is_empty() && !rest.trim_start().starts_with('Z'))
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_node_that_dies_is_restarted_and_no_client_is_rejected() {
    let rig = Rig::started().await;
    assert_eq!(rig.ask().await.as_deref(), Some("200"));
    let first = rig.signal_node(Signal::SIGKILL);
    // The agent holds the socket: who comes now waits for the new process.
    let began = Instant::now();
    while began.elapsed() < Duration::from_secs(1) {
        assert_eq!(
            rig.ask().await.as_deref(),
            Some("200"),
            "{}",
            rig.agents.log(0)
        );
    }
    rig.until(NodeState::Serving).await;
    assert_ne!(rig.node_pid(), Some(first));
    let log = rig.agents.log(0);
    assert!(
        log.contains("ended by signal 9; starts again in 200 ms"),
        "{log}"
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_killed_agent_leaves_its_node_serving_and_the_next_one_adopts_it() {
    let mut rig = Rig::started().await;
    let pid = rig.node_pid().unwrap();
    for round in 0..3 {
        rig.agents.kill(0);
        assert_eq!(
            rig.ask().await.as_deref(),
            Some("200"),
            "it serves without an agent"
        );
        if round == 1 {
            // Killed between the start and the file: found by its mark.
            std::fs::remove_file(rig.agents.folder(0).join("state/node.pid")).unwrap();
        }
        rig.start();
        rig.until(NodeState::Serving).await;
        assert_eq!(
            rig.node_pid(),
            Some(pid),
            "the same process, and no second one"
        );
    }
    // Its end is seen though it is nobody's child, and a new one takes the address.
    rig.signal_node(Signal::SIGKILL);
    let replaced = async |_: &Agents| rig.node_pid().is_some_and(|now| now != pid);
    rig.agents.until("another process", AMPLE, replaced).await;
    rig.until(NodeState::Serving).await;
    assert_eq!(rig.ask().await.as_deref(), Some("200"));
    assert!(!runs(pid));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stop_drains_the_node_and_leaves_no_process_behind() {
    let mut rig = Rig::started().await;
    let pid = rig.node_pid().unwrap();
    rig.agents.signal(0, Signal::SIGTERM);
    let status = rig.agents.ended(0, AMPLE).await.expect("it ends");
    assert!(status.success(), "{}", rig.agents.log(0));
    assert!(!runs(pid));
    assert!(
        rig.agents.log(0).contains("ended with exit code 0"),
        "drained, not killed"
    );
    assert_eq!(rig.ask().await, None, "nobody listens");
    assert!(rig.node_pid().is_none());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_unresponsive_node_is_replaced_and_a_standby_is_not() {
    let rig = Rig::started().await;
    let post = async |path: &str| {
        let call = control_plane::runtime::http::call(
            rig.node_operators,
            control_plane::runtime::http::Method::POST,
            path,
        );
        assert_eq!(call.await.unwrap().status, 200);
    };
    let pid = rig.node_pid();
    post("/standby").await;
    rig.until(NodeState::StandingBy).await;
    post("/active").await;
    rig.until(NodeState::Serving).await;
    assert_eq!(rig.node_pid(), pid);
    let hung = rig.signal_node(Signal::SIGSTOP);
    let replaced = async |_: &Agents| rig.node_pid().is_some_and(|now| now != hung);
    rig.agents.until("another process", AMPLE, replaced).await;
    rig.until(NodeState::Serving).await;
    assert!(!runs(hung));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_program_that_cannot_run_is_logged_and_its_starts_are_limited() {
    for (command, told) in [
        ("\"/nonexistent/load-balancer\"", "can't be started"),
        ("\"false\"", "exit code 1"),
    ] {
        let mut rig = Rig::new(command).await;
        rig.node_table
            .push_str("backoff = \"10ms\"\nstarts-per-minute = 4\n");
        rig.start();
        let said =
            async |agents: &Agents| agents.log(0).contains("4 starts in a minute are enough");
        rig.agents.until("the ceiling is told", AMPLE, said).await;
        assert!(rig.agents.log(0).contains(told), "{}", rig.agents.log(0));
        assert_eq!(rig.me().await.unwrap().node, Some(NodeState::Starting));
        assert_eq!(
            rig.ask().await,
            None,
            "clients are turned away at once and not kept waiting"
        );
    }
}
