//! Owns the processes of a scale run: one node or forwarder at a time, what it says of itself and what the system counts
//! of it.

use std::fs::{self, File};
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
use std::process::Stdio;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::client::conn::http1::handshake;
use hyper::Request;
use hyper_util::rt::TokioIo;
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use serde_json::{json, Value};
use tempfile::TempDir;
use tokio::net::TcpStream;
use tokio::process::{Child, Command};

use super::target;
use crate::runtime::Reservation;

/// How often a process is asked for what is waited for.
const LOOK: Duration = Duration::from_millis(2);
/// What is waited for longest.
const PATIENCE: Duration = Duration::from_secs(30);
/// A call's answer is waited for so long.
const ANSWER: Duration = Duration::from_secs(2);
/// Descriptors and memory that a node is told it may use: room for the whole of its share's connections.
const SOCKETS: usize = 4_096;
const MEMORY_MB: u64 = 256;

/// A process with its folder; killed when dropped.
pub struct Process {
    child: Child,
    /// Where clients find it.
    pub listen: SocketAddr,
    operator: SocketAddr,
    discovery: SocketAddr,
    _held: [Reservation; 2],
    folder: TempDir,
    /// When it was started.
    pub started: Instant,
}

/// What a node is told beside its addresses.
#[derive(Clone, Copy, Debug)]
pub struct Told {
    /// How many nodes there are.
    pub nodes: usize,
    /// Tenants, each with a quota.
    pub tenants: usize,
    /// Classes beyond the first.
    pub more_classes: usize,
}

impl Default for Told {
    fn default() -> Self {
        Told {
            nodes: target::NODES,
            tenants: 0,
            more_classes: 0,
        }
    }
}

impl Process {
    /// Starts a program as a node with this discovery.
    pub fn start(program: &Path, discovery: SocketAddr, told: Told) -> io::Result<Process> {
        let folder = tempfile::tempdir()?;
        let reserve = |block: u8| Reservation::on(Ipv4Addr::new(127, block, 0, 1));
        let held = [reserve(62)?, reserve(63)?];
        let [listen, operator] = held.each_ref().map(Reservation::addr);
        let log = File::create(folder.path().join("log"))?;
        let config = folder.path().join("config.json");
        write(&config, listen, discovery, operator, told)?;
        let child = Command::new(program)
            .env("BALANCER_NAME", "n1")
            .env("BALANCER_LISTEN", listen.to_string())
            .env("BALANCER_DISCOVERY", discovery.to_string())
            .env("BALANCER_OPERATOR", operator.to_string())
            .env("BALANCER_CONFIG", config)
            .env("TMPDIR", folder.path())
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .kill_on_drop(true)
            .spawn()?;
        Ok(Process {
            child,
            listen,
            operator,
            discovery,
            _held: held,
            folder,
            started: Instant::now(),
        })
    }

    /// Gives it another configuration and tells it so.
    pub fn configure(&self, told: Told) -> io::Result<()> {
        write(
            &self.folder.path().join("config.json"),
            self.listen,
            self.discovery,
            self.operator,
            told,
        )?;
        let pid = self
            .child
            .id()
            .ok_or_else(|| io::Error::other("the process has ended"))?;
        kill(Pid::from_raw(pid as i32), Signal::SIGHUP).map_err(io::Error::from)
    }

    /// The length of its configuration.
    pub fn config_bytes(&self) -> io::Result<u64> {
        Ok(fs::metadata(self.folder.path().join("config.json"))?.len())
    }

    /// Waits until a question to it is answered with yes; the time since `from`.
    pub async fn until(
        &mut self,
        what: &str,
        from: Instant,
        yes: impl AsyncFn(&Process) -> bool,
    ) -> io::Result<Duration> {
        loop {
            if yes(self).await {
                return Ok(from.elapsed());
            }
            if let Some(status) = self.child.try_wait()? {
                return Err(io::Error::other(format!(
                    "{what}: the process ended with {status}:\n{}",
                    self.log()
                )));
            }
            if from.elapsed() > PATIENCE {
                return Err(io::Error::other(format!(
                    "{what}: not within {PATIENCE:?}:\n{}",
                    self.log()
                )));
            }
            tokio::time::sleep(LOOK).await;
        }
    }

    /// Whether it says that it is ready.
    pub async fn is_ready(&self) -> bool {
        get(self.operator, "/status").await.is_some()
    }

    /// Whether it takes connections at all.
    pub async fn accepts(&self) -> bool {
        TcpStream::connect(self.listen).await.is_ok()
    }

    /// One of its figures, by the name that it gives it.
    pub async fn figure(&self, name: &str) -> Option<u64> {
        let text = get(self.operator, "/status/metrics").await?;
        text.lines()
            .find_map(|line| line.strip_prefix(name)?.trim().parse().ok())
    }

    /// All of its figures.
    pub async fn figures(&self) -> String {
        get(self.operator, "/status/metrics")
            .await
            .unwrap_or_default()
    }

    /// Seconds of processor time so far.
    pub fn cpu_s(&self) -> f64 {
        let Some(pid) = self.child.id() else {
            return 0.0;
        };
        let tasks = fs::read_dir(format!("/proc/{pid}/task"));
        let each = tasks.into_iter().flatten().flatten().filter_map(|task| {
            let text = fs::read_to_string(task.path().join("schedstat")).ok()?;
            text.split(' ').next()?.parse::<f64>().ok()
        });
        each.sum::<f64>() / 1e9
    }

    /// Memory that it holds now and held at most, in MB.
    pub fn memory_mb(&self) -> Option<(f64, f64)> {
        let status = procfs::process::Process::new(self.child.id()? as i32)
            .ok()?
            .status()
            .ok()?;
        Some((
            status.vmrss? as f64 / 1_024.0,
            status.vmhwm? as f64 / 1_024.0,
        ))
    }

    /// The end of what it wrote.
    pub fn log(&self) -> String {
        let text = fs::read_to_string(self.folder.path().join("log")).unwrap_or_default();
        let lines: Vec<&str> = text.lines().collect();
        lines[lines.len().saturating_sub(5)..].join("\n")
    }

    /// How it ended, if it does within the patience; for one that is expected to.
    pub async fn ended(&mut self, within: Duration) -> Option<std::process::ExitStatus> {
        tokio::time::timeout(within, self.child.wait())
            .await
            .ok()?
            .ok()
    }

    /// Kills it and waits until it is gone.
    pub async fn end(mut self) {
        let _ = self.child.kill().await;
    }
}

async fn get(addr: SocketAddr, path: &str) -> Option<String> {
    let ask = async {
        let stream = TcpStream::connect(addr).await.ok()?;
        let (mut sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
        let request = Request::get(path)
            .header("host", addr.to_string())
            .header("connection", "close");
        let driver = tokio::spawn(connection);
        let answer = sender
            .send_request(request.body(Empty::<Bytes>::new()).ok()?)
            .await
            .ok()?;
        let yes = answer.status().is_success();
        let body = answer.into_body().collect().await.ok()?.to_bytes();
        driver.abort();
        yes.then(|| String::from_utf8_lossy(&body).into_owned())
    };
    tokio::time::timeout(ANSWER, ask).await.ok().flatten()
}

fn write(
    path: &Path,
    listen: SocketAddr,
    discovery: SocketAddr,
    operator: SocketAddr,
    told: Told,
) -> io::Result<()> {
    let class = |name: String| {
        json!({
            "name": name, "aim": 500_000, "deadline": 2_000_000, "points": 1.0, "late-share": 0.25,
            "semantics": "unsafe", "key-scope": "all", "key-ttl": 5_000_000, "stream": false,
        })
    };
    let classes: Vec<Value> = (0..=told.more_classes)
        .map(|at| class(format!("lane-{at}")))
        .collect();
    let tenants: Vec<Value> = (0..told.tenants)
        .map(|at| json!({"name": format!("tenant-{at:05}"), "quota-per-s": 20}))
        .collect();
    let zones: Vec<String> = (0..target::ZONES)
        .map(|zone| format!("zone-{zone}"))
        .collect();
    let config = json!({
        "name": "n1", "listen": listen.to_string(), "discovery": discovery.to_string(),
        "operator": operator.to_string(), "seed": "1",
        "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS},
        "known": {"revision": 0, "complete": true, "members": []},
        "settings": {
            "group-size": told.nodes, "me": 0, "family": "proxy", "classes": classes, "tenants": tenants,
            "zones": zones, "locality": "zone-0", "kinds": ["fast", "standard", "slow"],
            "registry-mode": "push", "weight-source": "rough", "worth-by": "request", "over-share-worth": 0.1,
            "domain": {"warm-keys": true},
            "bounds": {
                "cancelling": true, "may-probe": true, "second-copies": true, "retry-after": true,
                "max-retry-after": 2_000_000, "max-attempts": 6, "dial-timeout": 200_000,
                "keepalive": super::loopback::KEEPALIVE.as_micros() as u64, "open-cap": 20_000,
            },
            "rules": {
                "ask-within": 10_000_000, "stop-sending-within": 750_000, "start-capacity": 0.13,
                "ramp-time": 23_000_000, "fall-multiple": 3.0,
            },
            "deductions": {"connection": 0.0, "handshake": 0.0},
        },
    });
    fs::write(path, serde_json::to_vec(&config)?)
}
