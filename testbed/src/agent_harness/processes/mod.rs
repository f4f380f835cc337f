//! Owns agents as real processes on loopback: their files, their lives, and what they tell staff. All traffic between
//! them goes through [`Links`].

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

/// How often is looked for what is waited for.
const LOOK: Duration = Duration::from_millis(20);

/// An agent's place: its folder and addresses stay, processes come and go.
struct Place {
    folder: PathBuf,
    /// Where its process listens; other agents know the address of its links.
    listen: Reservation,
    operators: Reservation,
    /// Lines for its `membership` table.
    windows: String,
    child: Option<Child>,
}

/// Some agents. Dropped, its processes end.
pub struct Agents {
    program: PathBuf,
    /// What is between them.
    pub links: Links,
    places: Vec<Place>,
}

/// An agent's name.
pub fn name(agent: usize) -> String {
    format!("m{agent}")
}

/// Short windows, for tests: a member is probed each 200 ms.
pub const FAST_SETTINGS: &str = r#"
probe-interval = "200ms"
probe-timeout = "80ms"
gossip-interval = "100ms"
rejoin-interval = "300ms"
seed-interval = "1s"
settle = "1s"
sync-interval = "5s"
"#;

/// Fleets of this process so far: each has a block of IPs of its own, so that none takes another's ports.
static FLEETS: AtomicU32 = AtomicU32::new(0);

/// An address where calls and datagrams can come.
fn for_both(ip: Ipv4Addr) -> io::Result<Reservation> {
    loop {
        let reserved = Reservation::on(ip)?;
        if UdpSocket::bind(reserved.addr()).is_ok() {
            return Ok(reserved);
        }
    }
}

impl Agents {
    /// Places for so many agents, none of them started. Its links' chances come from the seed.
    pub async fn new(
        program: &Path,
        folder: &Path,
        agents: usize,
        windows: &str,
        seed: u64,
    ) -> io::Result<Agents> {
        let number = FLEETS.fetch_add(1, Ordering::Relaxed);
        let block = 0x7f40_0000 + (std::process::id() % 0x40) * 0x1_0000 + (number % 0x100) * 0x100;
        let mut places = Vec::new();
        for agent in 0..agents {
            let folder = folder.join(name(agent));
            fs::create_dir_all(&folder)?;
            let windows = windows.to_owned();
            // By its IP links know it.
            let ip = Ipv4Addr::from(block + agent as u32 + 1);
            places.push(Place {
                folder,
                listen: for_both(ip)?,
                operators: Reservation::on(ip)?,
                windows,
                child: None,
            });
        }
        let links = Links::open(
            places.iter().map(|place| place.listen.addr()).collect(),
            seed,
        )
        .await?;
        Ok(Agents {
            program: program.to_owned(),
            links,
            places,
        })
    }

    /// Starts them all, each with the first three as seeds, and waits until all see all.
    pub async fn start_all(&mut self, within: Duration) {
        let all: Vec<usize> = (0..self.places.len()).collect();
        for &agent in &all {
            self.start(agent, &[0, 1, 2], "");
        }
        self.wait_until_converged(&all, within).await;
    }

    /// Where other agents reach it.
    pub fn address(&self, agent: usize) -> SocketAddr {
        self.links.address(agent)
    }

    /// Where its process listens itself.
    pub fn listen_address(&self, agent: usize) -> SocketAddr {
        self.places[agent].listen.addr()
    }

    /// One more address on its IP, for what belongs to it.
    pub fn reserve(&self, agent: usize) -> io::Result<Reservation> {
        Reservation::on(self.listen_address(agent).ip())
    }

    /// Where staff call it.
    pub fn operators(&self, agent: usize) -> SocketAddr {
        self.places[agent].operators.addr()
    }

    /// Its folder.
    pub fn folder(&self, agent: usize) -> &Path {
        &self.places[agent].folder
    }

    /// Writes its configuration: under its own name, to join by others, with more tables such as `[node]`.
    pub fn configure(
        &self,
        agent: usize,
        as_name: &str,
        seeds: &[SocketAddr],
        more: &str,
    ) -> PathBuf {
        let place = &self.places[agent];
        let seeds: Vec<String> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
        let text = format!(
            "fleet = \"test\"\nname = \"{as_name}\"\nmachine = \"box-{agent}\"\nzone = \"zone-{}\"\n\
             state-dir = \"{}\"\n[membership]\nlisten = \"{}\"\nadvertise = \"{}\"\nseeds = [{}]\n{}\n\
             [operators]\nlisten = \"{}\"\n{more}",
            agent % 2,
            place.folder.join("state").display(),
            place.listen.addr(),
            self.address(agent),
            seeds.join(", "),
            place.windows,
            place.operators.addr(),
        );
        let path = place.folder.join("agent.toml");
        fs::write(&path, text).expect("a folder of the test's own");
        path
    }

    /// Other lines for one agent's `membership` table, from its next start on.
    pub fn set_membership_settings(&mut self, agent: usize, windows: &str) {
        self.places[agent].windows = windows.to_owned();
    }

    /// Starts an agent under its own name.
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
            .open(self.places[agent].folder.join("agent.log"));
        let log: File = log.expect("a folder of the test's own");
        let child = Command::new(&self.program)
            .args(["run", "--config"])
            .arg(config)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn();
        self.places[agent].child = Some(child.expect("the agent's program starts"));
    }

    /// The number of its process.
    pub fn pid(&self, agent: usize) -> Option<u32> {
        self.places[agent].child.as_ref().map(Child::id)
    }

    /// Sends its process a signal.
    pub fn signal(&self, agent: usize, signal: Signal) {
        if let Some(pid) = self.pid(agent) {
            // Not waited for yet, so the number is still its own.
            let _ = kill(Pid::from_raw(pid as i32), signal);
        }
    }

    /// Ends it without a word.
    pub fn kill(&mut self, agent: usize) {
        self.signal(agent, Signal::SIGKILL);
        if let Some(mut child) = self.places[agent].child.take() {
            let _ = child.wait();
        }
    }

    /// Waits for its end.
    pub async fn ended(&mut self, agent: usize, within: Duration) -> Option<ExitStatus> {
        let end = Instant::now() + within;
        loop {
            let child = self.places[agent].child.as_mut()?;
            if let Ok(Some(status)) = child.try_wait() {
                self.places[agent].child = None;
                return Some(status);
            }
            if Instant::now() > end {
                return None;
            }
            tokio::time::sleep(LOOK).await;
        }
    }

    /// Its log so far.
    pub fn log(&self, agent: usize) -> String {
        fs::read_to_string(self.places[agent].folder.join("agent.log")).unwrap_or_default()
    }

    /// What it tells staff.
    pub async fn report(&self, agent: usize) -> Result<Report, CallError> {
        let response = http::call(self.operators(agent), http::Method::GET, "/fleet").await?;
        response.json()
    }

    /// What it tells staff of the duties.
    pub async fn duties(&self, agent: usize) -> Result<CoordinatorReport, CallError> {
        let response = http::call(self.operators(agent), http::Method::GET, "/duties").await?;
        response.json()
    }

    /// Staff ask it for something, as `/out?server=a`; `None` without an answer.
    pub async fn ask(&self, agent: usize, path: &str) -> Option<CommandResult> {
        let patience = Duration::from_secs(6);
        let call =
            http::call_within(patience, self.operators(agent), http::Method::POST, path).await;
        serde_json::from_slice(&call.ok()?.body).ok()
    }

    /// What it tells staff of the fleet's figures.
    pub async fn fleet_metrics(&self, agent: usize) -> Result<FleetMetricsReport, CallError> {
        let patience = Duration::from_secs(6);
        let call = http::call_within(
            patience,
            self.operators(agent),
            http::Method::GET,
            "/census",
        );
        call.await?.json()
    }

    /// Makes the store of a first voter, or with `join` of one that joins later, by the program itself.
    pub fn voter_init(&self, agent: usize, seeds: &[usize], more: &str, join: bool) {
        let seeds: Vec<SocketAddr> = seeds.iter().map(|&seed| self.address(seed)).collect();
        let config = self.configure(agent, &name(agent), &seeds, more);
        let mut init = Command::new(&self.program);
        init.args(["voter-init", "--config"])
            .arg(config)
            .args(join.then_some("--join"));
        let done = init.output();
        let done = done.expect("the agent's program starts");
        assert!(
            done.status.success(),
            "{}",
            String::from_utf8_lossy(&done.stderr)
        );
    }

    /// How one sees another; `None` where it does not answer or knows nothing.
    pub async fn sees(&self, by: usize, of: usize) -> Option<MemberState> {
        let report = self.report(by).await.ok()?;
        report
            .members
            .iter()
            .find(|member| member.name.as_str() == name(of))
            .map(|member| member.state)
    }

    /// Waits until something holds, and panics with the agents' logs where it does not.
    pub async fn until<F: AsyncFnMut(&Agents) -> bool>(
        &self,
        what: &str,
        within: Duration,
        mut holds: F,
    ) -> Duration {
        let start = Instant::now();
        while !holds(self).await {
            if start.elapsed() > within {
                for agent in 0..self.places.len() {
                    eprintln!("--- {}\n{}", name(agent), self.log(agent));
                }
                panic!("not within {within:?}: {what}");
            }
            tokio::time::sleep(LOOK).await;
        }
        start.elapsed()
    }

    /// Waits until some agents see each other and nobody else, and all hold the same.
    pub async fn wait_until_converged(&self, agents: &[usize], within: Duration) -> Duration {
        let whole = async |fleet: &Agents| {
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
        self.until(&format!("{agents:?} are whole"), within, whole)
            .await
    }

    /// How often agents have called anyone failed in their logs, but those named.
    pub fn failures(&self, but: &[usize]) -> Vec<String> {
        let but: Vec<String> = but
            .iter()
            .map(|&agent| format!("member={} ", name(agent)))
            .collect();
        let mut lines = Vec::new();
        for agent in 0..self.places.len() {
            let log = self.log(agent);
            let failed = log.lines().filter(|line| line.contains("member failed"));
            let falsely = failed.filter(|line| !but.iter().any(|name| line.contains(name)));
            lines.extend(falsely.map(|line| format!("{}: {line}", name(agent))));
        }
        lines
    }
}

impl Drop for Agents {
    fn drop(&mut self) {
        for agent in 0..self.places.len() {
            self.kill(agent);
            // An agent that is killed leaves its node to the next one; here there is none.
            let state = self.places[agent].folder.join("state");
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
