//! Agents as real processes on loopback: their files, their processes, and what they report to operators. All
//! traffic between them goes through [`Links`].

mod links;

use std::fs::{self, File, OpenOptions};
use std::io;
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use control_plane::coordinator::{CommandResult, CoordinatorReport};
use control_plane::membership::{MemberState, Report};
use control_plane::metrics::FleetMetricsReport;
use control_plane::runtime::http::{self, CallError};
use control_plane::runtime::PidFile;
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;

use crate::runtime::Reservation;

pub use links::{Link, Links};

/// Interval at which a condition is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// What an agent keeps across its processes: its folder and its addresses.
struct AgentSlot {
    folder: PathBuf,
    /// Address on which its process listens. The other agents know only the address of its proxy.
    listen: Reservation,
    operators: Reservation,
    /// Lines for the `membership` table of its configuration.
    membership_settings: String,
    child: Option<Child>,
}

/// A fleet of agents. Dropping it kills their processes.
pub struct Agents {
    program: PathBuf,
    /// The links between the agents.
    pub links: Links,
    slots: Vec<AgentSlot>,
}

/// Name of an agent.
pub fn name(agent: usize) -> String {
    format!("m{agent}")
}

/// Membership settings with short intervals, for tests: a member is probed every 200 ms.
pub const FAST_SETTINGS: &str = r#"
probe-interval = "200ms"
probe-timeout = "80ms"
gossip-interval = "100ms"
rejoin-interval = "300ms"
seed-interval = "1s"
settle = "1s"
sync-interval = "5s"
"#;

/// Number of fleets in this process so far. Each has a block of IP addresses of its own, so that none takes
/// another's ports.
static FLEETS: AtomicU32 = AtomicU32::new(0);

/// Reserves an address whose port is free for both TCP and UDP.
fn reserve_tcp_and_udp(ip: Ipv4Addr) -> io::Result<Reservation> {
    loop {
        let reserved = Reservation::on(ip)?;
        if UdpSocket::bind(reserved.addr()).is_ok() {
            return Ok(reserved);
        }
    }
}

impl Agents {
    /// Prepares agents, none of them started. The random faults of the links are drawn from `seed`.
    pub async fn new(
        program: &Path,
        folder: &Path,
        agents: usize,
        membership_settings: &str,
        seed: u64,
    ) -> io::Result<Agents> {
        let number = FLEETS.fetch_add(1, Ordering::Relaxed);
        let block = 0x7f40_0000 + (std::process::id() % 0x40) * 0x1_0000 + (number % 0x100) * 0x100;
        let mut slots = Vec::new();
        for agent in 0..agents {
            let folder = folder.join(name(agent));
            fs::create_dir_all(&folder)?;
            let membership_settings = membership_settings.to_owned();
            // The links recognise an agent by its IP address.
            let ip = Ipv4Addr::from(block + agent as u32 + 1);
            slots.push(AgentSlot {
                folder,
                listen: reserve_tcp_and_udp(ip)?,
                operators: Reservation::on(ip)?,
                membership_settings,
                child: None,
            });
        }
        let links =
            Links::open(slots.iter().map(|slot| slot.listen.addr()).collect(), seed).await?;
        Ok(Agents {
            program: program.to_owned(),
            links,
            slots,
        })
    }

    /// Starts all agents, each with the first three as seeds, and waits until their views agree.
    pub async fn start_all(&mut self, within: Duration) {
        let all: Vec<usize> = (0..self.slots.len()).collect();
        for &agent in &all {
            self.start(agent, &[0, 1, 2], "");
        }
        self.wait_until_converged(&all, within).await;
    }

    /// Address at which the other agents reach an agent.
    pub fn address(&self, agent: usize) -> SocketAddr {
        self.links.address(agent)
    }

    /// Address on which an agent's own process listens, behind its proxy.
    pub fn listen_address(&self, agent: usize) -> SocketAddr {
        self.slots[agent].listen.addr()
    }

    /// Reserves another address on an agent's IP, such as one for its node.
    pub fn reserve(&self, agent: usize) -> io::Result<Reservation> {
        Reservation::on(self.listen_address(agent).ip())
    }

    /// Address of an agent's interface for operators.
    pub fn operators(&self, agent: usize) -> SocketAddr {
        self.slots[agent].operators.addr()
    }

    /// Folder of an agent: its configuration, its log and its state.
    pub fn folder(&self, agent: usize) -> &Path {
        &self.slots[agent].folder
    }

    /// Writes an agent's configuration and returns its path. `more` holds further tables, such as `[node]`.
    pub fn configure(
        &self,
        agent: usize,
        as_name: &str,
        seeds: &[SocketAddr],
        more: &str,
    ) -> PathBuf {
        let slot = &self.slots[agent];
        let seeds: Vec<String> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
        let text = format!(
            "fleet = \"test\"\nname = \"{as_name}\"\nmachine = \"box-{agent}\"\nzone = \"zone-{}\"\n\
             state-dir = \"{}\"\n[membership]\nlisten = \"{}\"\nadvertise = \"{}\"\nseeds = [{}]\n{}\n\
             [operators]\nlisten = \"{}\"\n{more}",
            agent % 2,
            slot.folder.join("state").display(),
            slot.listen.addr(),
            self.address(agent),
            seeds.join(", "),
            slot.membership_settings,
            slot.operators.addr(),
        );
        let path = slot.folder.join("agent.toml");
        fs::write(&path, text).expect("the agent's folder is writable");
        path
    }

    /// Replaces the lines for an agent's `membership` table, from its next start on.
    pub fn set_membership_settings(&mut self, agent: usize, membership_settings: &str) {
        self.slots[agent].membership_settings = membership_settings.to_owned();
    }

    /// Starts an agent under its own name. `more` holds further tables of its configuration.
    pub fn start(&mut self, agent: usize, seeds: &[usize], more: &str) {
        let seeds: Vec<SocketAddr> = seeds.iter().map(|&seed| self.address(seed)).collect();
        self.start_as(agent, &name(agent), &seeds, more);
    }

    /// Starts an agent under any name.
    pub fn start_as(&mut self, agent: usize, as_name: &str, seeds: &[SocketAddr], more: &str) {
        let config = self.configure(agent, as_name, seeds, more);
        let log = OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.slots[agent].folder.join("agent.log"));
        let log: File = log.expect("the agent's folder is writable");
        let child = Command::new(&self.program)
            .args(["run", "--config"])
            .arg(config)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn();
        self.slots[agent].child = Some(child.expect("the agent's program starts"));
    }

    /// Process id of an agent; `None` while it does not run.
    pub fn pid(&self, agent: usize) -> Option<u32> {
        self.slots[agent].child.as_ref().map(Child::id)
    }

    /// Sends a signal to an agent's process.
    pub fn signal(&self, agent: usize, signal: Signal) {
        if let Some(pid) = self.pid(agent) {
            // The child was not waited for yet, so its process id is not reused.
            let _ = kill(Pid::from_raw(pid as i32), signal);
        }
    }

    /// Kills an agent's process and waits for its end.
    pub fn kill(&mut self, agent: usize) {
        self.signal(agent, Signal::SIGKILL);
        if let Some(mut child) = self.slots[agent].child.take() {
            let _ = child.wait();
        }
    }

    /// Waits for the end of an agent's process; `None` if it still runs after `within`.
    pub async fn ended(&mut self, agent: usize, within: Duration) -> Option<ExitStatus> {
        let end = Instant::now() + within;
        loop {
            let child = self.slots[agent].child.as_mut()?;
            if let Ok(Some(status)) = child.try_wait() {
                self.slots[agent].child = None;
                return Some(status);
            }
            if Instant::now() > end {
                return None;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Log of an agent so far.
    pub fn log(&self, agent: usize) -> String {
        fs::read_to_string(self.slots[agent].folder.join("agent.log")).unwrap_or_default()
    }

    /// An agent's report on the membership, from `/fleet`.
    pub async fn report(&self, agent: usize) -> Result<Report, CallError> {
        let response = http::call(self.operators(agent), http::Method::GET, "/fleet").await?;
        response.json()
    }

    /// An agent's report on roles, voters and cordons, from `/duties`.
    pub async fn duties(&self, agent: usize) -> Result<CoordinatorReport, CallError> {
        let response = http::call(self.operators(agent), http::Method::GET, "/duties").await?;
        response.json()
    }

    /// Sends an agent an operator command, such as `/out?server=a`; `None` without an answer.
    pub async fn ask(&self, agent: usize, path: &str) -> Option<CommandResult> {
        let timeout = Duration::from_secs(6);
        let call =
            http::call_within(timeout, self.operators(agent), http::Method::POST, path).await;
        serde_json::from_slice(&call.ok()?.body).ok()
    }

    /// An agent's report on the fleet's metrics, from `/census`.
    pub async fn fleet_metrics(&self, agent: usize) -> Result<FleetMetricsReport, CallError> {
        let timeout = Duration::from_secs(6);
        let call = http::call_within(timeout, self.operators(agent), http::Method::GET, "/census");
        call.await?.json()
    }

    /// Runs the agent's program to create the store of one of the first voters or, with `join`, of a voter that
    /// joins later.
    pub fn voter_init(&self, agent: usize, seeds: &[usize], more: &str, join: bool) {
        let seeds: Vec<SocketAddr> = seeds.iter().map(|&seed| self.address(seed)).collect();
        let config = self.configure(agent, &name(agent), &seeds, more);
        let mut command = Command::new(&self.program);
        command
            .args(["voter-init", "--config"])
            .arg(config)
            .args(join.then_some("--join"));
        let output = command.output();
        let output = output.expect("the agent's program starts");
        assert!(
            output.status.success(),
            "{}",
            String::from_utf8_lossy(&output.stderr)
        );
    }

    /// State of a member in an agent's view; `None` if the agent does not answer or does not know the member.
    pub async fn sees(&self, by: usize, of: usize) -> Option<MemberState> {
        let report = self.report(by).await.ok()?;
        report
            .members
            .iter()
            .find(|member| member.name.as_str() == name(of))
            .map(|member| member.state)
    }

    /// Waits until `holds` returns true. After `within` it prints the agents' logs and panics.
    pub async fn until<F: AsyncFnMut(&Agents) -> bool>(
        &self,
        what: &str,
        within: Duration,
        mut holds: F,
    ) -> Duration {
        let start = Instant::now();
        while !holds(self).await {
            if start.elapsed() > within {
                for agent in 0..self.slots.len() {
                    eprintln!("--- {}\n{}", name(agent), self.log(agent));
                }
                panic!("condition not met within {within:?}: {what}");
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        start.elapsed()
    }

    /// Waits until these agents see each other and nobody else, with equal views.
    pub async fn wait_until_converged(&self, agents: &[usize], within: Duration) -> Duration {
        let converged = async |fleet: &Agents| {
            let mut digests = Vec::new();
            for &agent in agents {
                let Ok(report) = fleet.report(agent).await else {
                    return false;
                };
                if report
                    .members
                    .iter()
                    .filter(|member| member.state.is_present())
                    .count()
                    != agents.len()
                {
                    return false;
                }
                digests.push(report.agreement.digest);
            }
            digests.windows(2).all(|two| two[0] == two[1])
        };
        self.until(
            &format!("agents {agents:?} have equal views"),
            within,
            converged,
        )
        .await
    }

    /// Lines of the agents' logs that call a member failed, except those about the members in `but`.
    pub fn failures(&self, but: &[usize]) -> Vec<String> {
        let but: Vec<String> = but
            .iter()
            .map(|&agent| format!("member={} ", name(agent)))
            .collect();
        let mut lines = Vec::new();
        for agent in 0..self.slots.len() {
            let log = self.log(agent);
            let failed = log.lines().filter(|line| line.contains("member failed"));
            let unexpected = failed.filter(|line| !but.iter().any(|name| line.contains(name)));
            lines.extend(unexpected.map(|line| format!("{}: {line}", name(agent))));
        }
        lines
    }
}

impl Drop for Agents {
    fn drop(&mut self) {
        for agent in 0..self.slots.len() {
            self.kill(agent);
            // A killed agent leaves its node running for the next agent process. There is none here, so the
            // node is killed too.
            let state = self.slots[agent].folder.join("state");
            let node = state
                .canonicalize()
                .and_then(|state| PidFile::of(&state))
                .ok()
                .and_then(|file| file.find());
            if let Some(node) = node {
                let _ = kill(Pid::from_raw(node.pid), Signal::SIGKILL);
            }
        }
    }
}
