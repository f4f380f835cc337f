//! Agents as separate processes, each with its own folder, and what operators ask them.

use std::fs::{self, File};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::Duration;

use crate::http::{self, Message};
use crate::processes::{free_addr, processes_with, run_command, signal, SIGCONT, SIGKILL};
use crate::record::Record;

/// The configuration of a node of a small deployment, with the settings of the wire page's example.
pub fn node_config(discovery: SocketAddr, list: &str) -> String {
    let class = |name: &str, aim: u32, deadline: u32, points: f32, semantics: &str, late: f32| {
        format!(
            r#"{{"name":"{name}","aim":{aim},"deadline":{deadline},"points":{points:.1},"semantics":"{semantics}",
                "late-share":{late},"key-scope":"all","key-ttl":5000000,"stream":false}}"#
        )
    };
    let classes = [
        class("balance", 500_000, 2_000_000, 1.0, "safe", 0.25),
        class("earn", 400_000, 800_000, 2.0, "unsafe", 0.3),
        class("redeem", 1_200_000, 3_000_000, 3.0, "unsafe", 0.5),
    ]
    .join(",");
    format!(
        r#"{{"name":"m0","discovery":"{discovery}","seed":"8c1f30d27a5be964",
        "limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},
        "known":{list},
        "settings":{{"group-size":1,"me":0,"registry-mode":"push","weight-source":"rough","worth-by":"work",
          "family":"proxy","kinds":["fast","standard","slow"],"zones":["bilbao","santander"],"locality":"bilbao",
          "classes":[{classes}],"tenants":[],"domain":{{"warm-keys":true}},
          "bounds":{{"cancelling":true,"dial-timeout":200000,"keepalive":5000000,"max-attempts":6,
            "max-retry-after":2000000,"max-streams":1,"may-probe":true,"open-cap":20000,"peer-messages":false,
            "retry-after":true,"second-copies":true}},
          "rules":{{"answer-slack":20000,"ask-within":10000000,"fall-multiple":3.0,"overload-for":3000000,
            "ramp-time":23000000,"start-capacity":0.13,"stop-sending-within":750000}}}}}}"#
    )
}

/// An agent, with or without a node.
pub struct Agent {
    pub name: String,
    pub folder: PathBuf,
    pub listen: SocketAddr,
    pub operators: SocketAddr,
    pub node_clients: SocketAddr,
    pub node_operators: SocketAddr,
    child: Option<Child>,
    record: Record,
}

impl Agent {
    pub fn new(name: &str, folder: &Path, record: &Record) -> Agent {
        let folder = folder.join(name);
        fs::create_dir_all(&folder).expect("a temporary folder");
        Agent {
            name: name.to_owned(),
            folder,
            listen: free_addr(),
            operators: free_addr(),
            node_clients: free_addr(),
            node_operators: free_addr(),
            child: None,
            record: record.clone(),
        }
    }

    /// Writes the agent's configuration; with `node`, the agent runs a node with that configuration.
    pub fn configure(&self, seeds: &[SocketAddr], voters: &[&str], node: Option<&str>) {
        let quoted = |items: Vec<String>| {
            let items: Vec<String> = items.iter().map(|item| format!("\"{item}\"")).collect();
            items.join(", ")
        };
        let seeds = quoted(seeds.iter().map(SocketAddr::to_string).collect());
        let voters = quoted(voters.iter().map(|&voter| voter.to_owned()).collect());
        let mut text = format!(
            "fleet = \"bilbao-main\"\nname = \"{}\"\nzone = \"bilbao\"\nstate-dir = \"{}\"\n\
             [membership]\nlisten = \"{}\"\nseeds = [{seeds}]\n[operators]\nlisten = \"{}\"\n\
             [coordinator]\nvoters = [{voters}]\n",
            self.name,
            self.folder.join("state").display(),
            self.listen,
            self.operators
        );
        if let Some(node) = node {
            let file = self.folder.join("node.json");
            fs::write(&file, node).expect("a configuration");
            text.push_str(&format!(
                "[node]\ncommand = [\"/bin/sh\", \"-c\", \"{}\"]\nconfig = \"{}\"\nlisten = \"{}\"\noperators = \"{}\"\n",
                run_command(),
                file.display(),
                self.node_clients,
                self.node_operators
            ));
        }
        fs::write(self.config(), text).expect("a configuration");
    }

    fn config(&self) -> PathBuf {
        self.folder.join("agent.toml")
    }

    /// Creates the agent's store of a voter.
    pub fn voter_init(&self) {
        let status = Command::new(AGENT)
            .args(["voter-init", "--config"])
            .arg(self.config())
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .status();
        assert!(status.is_ok_and(|status| status.success()), "voter-init");
    }

    pub fn start(&mut self) {
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join("agent.log"));
        let log = log.expect("a log");
        let child = Command::new(AGENT)
            .args(["run", "--config"])
            .arg(self.config())
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("the agent starts");
        self.record.say(format!(
            "agent {} starts as process {}",
            self.name,
            child.id()
        ));
        self.child = Some(child);
    }

    pub fn signal(&self, number: i32) {
        if let Some(child) = &self.child {
            self.record
                .say(format!("signal {number} to agent {}", self.name));
            signal(child.id(), number);
        }
    }

    /// The process of the agent's node, by the agent's file.
    pub fn node_pid(&self) -> Option<u32> {
        let text = fs::read_to_string(self.folder.join("state/node.pid")).ok()?;
        let digits = text.split("\"pid\":").nth(1)?;
        let end = digits.find(|c: char| !c.is_ascii_digit())?;
        digits[..end].parse().ok()
    }

    /// An operator's call to the agent.
    pub fn call(&self, method: &str, target: &str) -> io::Result<Message> {
        self.operate(self.operators, method, target)
    }

    /// An operator's call to the agent's node.
    pub fn call_node(&self, method: &str, target: &str) -> io::Result<Message> {
        self.operate(self.node_operators, method, target)
    }

    fn operate(&self, to: SocketAddr, method: &str, target: &str) -> io::Result<Message> {
        self.record
            .line(format!("operator: {method} {target} at {}", self.name));
        let answer = http::call(to, method, target, Duration::from_secs(5));
        let text = match &answer {
            Ok(answer) => format!("{} {}", answer.status(), answer.text().trim_end()),
            Err(error) => error.to_string(),
        };
        self.record
            .line(format!("answered: {method} {target}: {text}"));
        answer
    }

    /// The agent's report on the roles, as text.
    pub fn roles(&self) -> String {
        http::call(self.operators, "GET", "/duties", Duration::from_secs(1))
            .map(|answer| answer.text())
            .unwrap_or_default()
    }

    /// The leader of the replicated log, as this agent knows it.
    pub fn leader(&self) -> Option<String> {
        text_after(&self.roles(), "\"leader\":\"")
    }

    /// The holder of a role, as this agent knows it.
    pub fn holder(&self, role: &str) -> Option<String> {
        let report = self.roles();
        text_after(&report, &format!("\"duty\":\"{role}\",\"holder\":\""))
    }

    /// Whether the node's own operators' address says that it serves.
    pub fn node_serves(&self) -> bool {
        let answer = http::call(
            self.node_operators,
            "GET",
            "/status",
            Duration::from_secs(1),
        );
        answer.is_ok_and(|answer| answer.status() == 200)
    }
}

impl Drop for Agent {
    /// Ends the agent and each node that it has started, also one that it has only just started.
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            signal(child.id(), SIGCONT);
            let _ = child.kill();
            let _ = child.wait();
        }
        let Ok(state) = self.folder.join("state").canonicalize() else {
            return;
        };
        let mark = format!("BALANCER_AGENT_STATE={}", state.display());
        let mut ended = 0;
        // A process that the agent had begun to start gets the mark a moment later.
        for _ in 0..20 {
            for node in processes_with(&mark) {
                signal(node, SIGKILL);
                ended += 1;
            }
            thread::sleep(Duration::from_millis(20));
        }
        self.record.line(format!(
            "signal {SIGKILL} sent {ended} times to nodes of {}",
            self.name
        ));
    }
}

/// The program of the agent, from the root of the repository.
const AGENT: &str = "target/release/balancer-agent";

/// The text between `start` and the next quotation mark.
fn text_after(text: &str, start: &str) -> Option<String> {
    let rest = text.split(start).nth(1)?;
    rest.split('"').next().map(str::to_owned)
}
