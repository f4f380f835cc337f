//! The other files and marks by which an agent knows what the one before it left behind.

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::net::TcpStream;
use std::process::{Child, Command};

use serde_json::{json, Value};

use super::agents::{call_of_an_agent, Fleet, IDLE_NODE, PROGRAM};

/// An act on an agent of the fleet `compat` under token 46 of the maintenance role, as the build before sends it.
const ACT_OF_TOKEN_46: &str = "01bee790dbbbbbdd8c0206002e070000b1c8a491";
/// The answer of the build before where token 47 has been seen.
const REFUSED_AS_47_WAS_SEEN: &str = "01bee790dbbbbbdd8c0207012e2fb82462f7";

fn bytes(digits: &str) -> Vec<u8> {
    let pair = |at| u8::from_str_radix(&digits[at..at + 2], 16).unwrap();
    (0..digits.len()).step_by(2).map(pair).collect()
}

/// A process that ends with its test.
struct Started(Child);

impl Drop for Started {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// What tells a process from all others that ever had its number, as `node.pid` has it.
fn identity(pid: u32) -> Value {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).unwrap();
    let fields: Vec<&str> = stat.rsplit_once(')').unwrap().1.split(' ').collect();
    // The 22nd field; those after the name begin with a blank and the third.
    let started: u64 = fields[20].parse().unwrap();
    let boot = fs::read_to_string("/proc/sys/kernel/random/boot_id").unwrap();
    json!({"pid": pid, "started": started, "boot": boot.trim()})
}

fn is_adopted(fleet: &Fleet, pid: u32) -> bool {
    let note = format!("adopted process {pid}");
    fleet.get(0, "/fleet")["members"][0]["note"] == *note
}

fn started(fleet: &mut Fleet, node: &str) {
    let configuration = fleet.configure(0, &[], node);
    fleet.start(0, &configuration);
    fleet.until("the agent answers", |fleet| {
        fleet.call(0, "GET", "/status").is_some()
    });
}

/// Guards against a node that is started a second time beside the one that an older agent had started.
#[test]
fn a_node_is_adopted_by_the_pid_file_of_before() {
    let mut fleet = Fleet::new(1);
    let mut node = Started(Command::new("sleep").arg("600").spawn().unwrap());
    let pid = node.0.id();
    fleet.write(0, "node.pid", identity(pid).to_string());
    started(&mut fleet, IDLE_NODE);
    fleet.until("it is adopted", |fleet| is_adopted(fleet, pid));
    let metrics = fleet.call(0, "GET", "/metrics").unwrap().1;
    assert!(metrics.contains("woodgap_agent_node_starts_total{kind=\"all\"} 0\n"));
    assert_eq!(fleet.read(0, "node.pid"), identity(pid));
    // It is the agent's to end.
    let reaped = std::thread::spawn(move || node.0.wait().unwrap());
    fleet.stop(0);
    assert!(!reaped.join().unwrap().success());
    assert!(!fleet.state(0).join("node.pid").exists());
}

/// Guards against a node that is not found by its mark where an older agent died before it wrote the pid file.
#[test]
fn a_node_is_adopted_by_the_environment_variable_of_before() {
    let mut fleet = Fleet::new(1);
    let node = Command::new("sleep")
        .arg("600")
        .env(
            "WOODGAP_AGENT_STATE",
            fleet.state(0).canonicalize().unwrap(),
        )
        .spawn();
    let node = Started(node.unwrap());
    started(&mut fleet, IDLE_NODE);
    fleet.until("it is adopted", |fleet| is_adopted(fleet, node.0.id()));
    assert_eq!(fleet.read(0, "node.pid"), identity(node.0.id()));
}

/// Guards against a node that does not find its listener, its files or its addresses, and against a mark that an older
/// agent would not find.
#[test]
fn a_node_is_started_with_the_environment_of_before() {
    let mut fleet = Fleet::new(1);
    let node = "command = [\"sh\", \"-c\", \"env > $TMPDIR/environment.part; \
        mv $TMPDIR/environment.part $TMPDIR/environment; exec sleep 600\"]\nconfig = \"/none/config.json\"\n\
        ready-within = \"10m\"\nsilent-limit = \"10m\"\ndrain-within = \"1s\"\n";
    started(&mut fleet, node);
    let file = fleet.state(0).join("node/environment");
    fleet.until("the node has started", |_| file.exists());
    let text = fs::read_to_string(file).unwrap();
    let environment: BTreeMap<&str, &str> = text
        .lines()
        .filter_map(|line| line.split_once('='))
        .collect();
    let state = fleet.state(0).canonicalize().unwrap();
    let folder = state.join("node");
    let (clients, operators) = (fleet.clients(0), fleet.clients(0).port() + 1);
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

/// Guards against two agents on one folder, one of each build.
#[test]
fn the_lock_of_before_keeps_a_second_agent_out() {
    let fleet = Fleet::new(1);
    let lock = File::create(fleet.state(0).join("lock")).unwrap();
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

/// Guards against an act of a deposed lease holder that is let pass as the tokens seen before are not read.
#[test]
fn an_older_token_than_the_file_of_before_names_is_refused() {
    let mut fleet = Fleet::new(1);
    let fence = r#"{"fence":{"seen":{"maintenance":47},"refused":0},"fleet":[],"voters":[]}"#;
    fleet.write(0, "fence.json", fence);
    started(&mut fleet, IDLE_NODE);
    let answer = call_of_an_agent(fleet.calls(0), &bytes(ACT_OF_TOKEN_46));
    assert_eq!(answer, bytes(REFUSED_AS_47_WAS_SEEN));
    assert_eq!(fleet.get(0, "/duties")["refused"], 1);
}

/// Guards against a server that operators cordoned at one node and that is forgotten, or taken for the fleet's.
#[test]
fn servers_cordoned_at_the_node_alone_are_read_from_the_file_of_before() {
    let mut fleet = Fleet::new(1);
    fleet.write(0, "node/woodgap-m0-out.json", r#"["api-1","api-7"]"#);
    let fence = r#"{"fence":{"seen":{},"refused":0},"fleet":["api-1"],"voters":[]}"#;
    fleet.write(0, "fence.json", fence);
    started(&mut fleet, IDLE_NODE);
    assert_eq!(fleet.get(0, "/duties")["by_hand"], json!(["api-7"]));
}
