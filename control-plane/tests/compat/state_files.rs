//! Files and environment variables by which an agent finds what an agent of an earlier build left behind. The stores of
//! voters are tested in `stores.rs`.

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::net::TcpStream;
use std::process::{Child, Command};

use serde_json::{json, Value};

use super::agents::{send_agent_call, Fleet, IDLE_NODE, PROGRAM};

/// An update for an agent of the fleet `compat` under token 46 of the maintenance role, as an earlier build sends it.
const UPDATE_UNDER_TOKEN_46: &str = "01bee790dbbbbbdd8c0206002e070000b1c8a491";
/// The answer of an earlier build to that update if token 47 has been seen.
const REJECTION_AFTER_TOKEN_47: &str = "01bee790dbbbbbdd8c0207012e2fb82462f7";

/// Decodes hexadecimal digits.
fn decode_hex(digits: &str) -> Vec<u8> {
    let pair = |at| u8::from_str_radix(&digits[at..at + 2], 16).unwrap();
    (0..digits.len()).step_by(2).map(pair).collect()
}

/// A process that is killed at the end of its test.
struct KilledOnDrop(Child);

impl Drop for KilledOnDrop {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// The content of `node.pid`, which tells a process from all others that ever had its id.
fn identity(pid: u32) -> Value {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).unwrap();
    let fields: Vec<&str> = stat.rsplit_once(')').unwrap().1.split(' ').collect();
    // The start time is the 22nd field of the line. The text after the name begins with a blank, so `fields[1]` is the
    // third field.
    let started: u64 = fields[20].parse().unwrap();
    let boot = fs::read_to_string("/proc/sys/kernel/random/boot_id").unwrap();
    json!({"pid": pid, "started": started, "boot": boot.trim()})
}

fn is_adopted(fleet: &Fleet, pid: u32) -> bool {
    let note = format!("adopted process {pid}");
    fleet.get(0, "/fleet")["members"][0]["note"] == *note
}

/// Starts the only agent with this `[node]` table, and waits until it answers.
fn start_agent(fleet: &mut Fleet, node: &str) {
    let configuration = fleet.configure(0, &[], node);
    fleet.start(0, &configuration);
    fleet.until("the agent answers", |fleet| {
        fleet.call(0, "GET", "/status").is_some()
    });
}

/// Guards against starting a second node beside the one that an older agent started.
#[test]
fn a_node_is_adopted_by_the_pid_file_of_an_earlier_build() {
    let mut fleet = Fleet::new(1);
    let mut node = KilledOnDrop(Command::new("sleep").arg("600").spawn().unwrap());
    let pid = node.0.id();
    fleet.write(0, "node.pid", identity(pid).to_string());
    start_agent(&mut fleet, IDLE_NODE);
    fleet.until("the node is adopted", |fleet| is_adopted(fleet, pid));
    let metrics = fleet.call(0, "GET", "/metrics").unwrap().1;
    assert!(metrics.contains("woodgap_agent_node_starts_total{kind=\"all\"} 0\n"));
    assert_eq!(fleet.read(0, "node.pid"), identity(pid));
    // The agent ends the adopted node when it stops.
    let reaped = std::thread::spawn(move || node.0.wait().unwrap());
    fleet.stop(0);
    assert!(!reaped.join().unwrap().success());
    assert!(!fleet.state_dir(0).join("node.pid").exists());
}

/// Guards against not finding a node by its environment variable if an older agent died before it wrote the pid file.
#[test]
fn a_node_is_adopted_by_the_environment_variable_of_an_earlier_build() {
    let mut fleet = Fleet::new(1);
    let node = Command::new("sleep")
        .arg("600")
        .env(
            "WOODGAP_AGENT_STATE",
            fleet.state_dir(0).canonicalize().unwrap(),
        )
        .spawn();
    let node = KilledOnDrop(node.unwrap());
    start_agent(&mut fleet, IDLE_NODE);
    fleet.until("the node is adopted", |fleet| {
        is_adopted(fleet, node.0.id())
    });
    assert_eq!(fleet.read(0, "node.pid"), identity(node.0.id()));
}

/// Guards against a node that does not find its listening socket, files or addresses, and that an older agent would not
/// find by its environment.
#[test]
fn a_node_is_started_with_the_environment_of_an_earlier_build() {
    let mut fleet = Fleet::new(1);
    let node = "command = [\"sh\", \"-c\", \"env > $TMPDIR/environment.part; \
        mv $TMPDIR/environment.part $TMPDIR/environment; exec sleep 600\"]\nconfig = \"/none/config.json\"\n\
        ready-within = \"10m\"\nsilent-limit = \"10m\"\ndrain-within = \"1s\"\n";
    start_agent(&mut fleet, node);
    let file = fleet.state_dir(0).join("node/environment");
    fleet.until("the node has started", |_| file.exists());
    let text = fs::read_to_string(file).unwrap();
    let environment: BTreeMap<&str, &str> = text
        .lines()
        .filter_map(|line| line.split_once('='))
        .collect();
    let state = fleet.state_dir(0).canonicalize().unwrap();
    let folder = state.join("node");
    let (clients, operators) = (fleet.client_addr(0), fleet.client_addr(0).port() + 1);
    for (key, value) in [
        ("BALANCER_NAME", "m0".to_owned()),
        ("BALANCER_LISTEN", clients.to_string()),
        ("BALANCER_CONFIG", "/none/config.json".to_owned()),
        ("BALANCER_OPERATOR", format!("{}:{operators}", clients.ip())),
        ("BALANCER_FD", "3".to_owned()),
        ("TMPDIR", folder.display().to_string()),
        ("WOODGAP_AGENT_STATE", state.display().to_string()),
    ] {
        assert_eq!(environment.get(key), Some(&value.as_str()), "{key}");
    }
    let pid = fleet.read(0, "node.pid")["pid"].as_u64().unwrap();
    assert_eq!(fleet.read(0, "node.pid"), identity(pid as u32));
    let listener = fs::read_link(format!("/proc/{pid}/fd/3")).unwrap();
    assert!(listener.to_string_lossy().starts_with("socket:"));
    assert!(TcpStream::connect(clients).is_ok());
}

/// Guards against two agents of different builds on one state folder.
#[test]
fn the_lock_file_of_an_earlier_build_keeps_a_second_agent_out() {
    let fleet = Fleet::new(1);
    let lock = File::create(fleet.state_dir(0).join("lock")).unwrap();
    lock.try_lock().unwrap();
    let configuration = fleet.configure(0, &[], IDLE_NODE);
    let output = Command::new(PROGRAM)
        .args(["run", "--config"])
        .arg(configuration)
        .output()
        .unwrap();
    assert_eq!(output.status.code(), Some(2));
    let message = String::from_utf8(output.stderr).unwrap();
    assert!(
        message.contains("another agent runs on this folder"),
        "{message}"
    );
}

/// Guards against applying the update of a deposed lease holder because the persisted fencing tokens are not read.
#[test]
fn an_update_under_an_older_token_than_the_persisted_one_is_rejected() {
    let mut fleet = Fleet::new(1);
    let fence = r#"{"fence":{"seen":{"maintenance":47},"refused":0},"fleet":[],"voters":[]}"#;
    fleet.write(0, "fence.json", fence);
    start_agent(&mut fleet, IDLE_NODE);
    let answer = send_agent_call(fleet.call_addr(0), &decode_hex(UPDATE_UNDER_TOKEN_46));
    assert_eq!(answer, decode_hex(REJECTION_AFTER_TOKEN_47));
    assert_eq!(fleet.get(0, "/duties")["refused"], 1);
}

/// Guards against forgetting a server that operators cordoned at one node, or attributing it to the fleet.
#[test]
fn servers_cordoned_at_the_node_itself_are_read_from_the_file_of_an_earlier_build() {
    let mut fleet = Fleet::new(1);
    fleet.write(0, "node/woodgap-m0-out.json", r#"["api-1","api-7"]"#);
    let fence = r#"{"fence":{"seen":{},"refused":0},"fleet":["api-1"],"voters":[]}"#;
    fleet.write(0, "fence.json", fence);
    start_agent(&mut fleet, IDLE_NODE);
    assert_eq!(fleet.get(0, "/duties")["by_hand"], json!(["api-7"]));
}
