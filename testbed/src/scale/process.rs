//! Runs one node or bare forwarder as a process, reads its status and metrics, and its processor time and memory from
//! `/proc`.

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

/// Interval at which a condition is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(2);
/// Longest wait for a condition.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
/// Timeout of a request to the operators' address.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// Socket limit in the node's configuration: enough for all connections of its share of the load.
const SOCKETS: usize = 4_096;
/// Memory limit in the node's configuration, in MB: enough for these connections.
const MEMORY_MB: u64 = 256;

/// A process with its working folder; killed when dropped.
pub struct Process {
    child: Child,
    /// Address for clients.
    pub listen: SocketAddr,
    operator: SocketAddr,
    discovery: SocketAddr,
    _reservations: [Reservation; 2],
    folder: TempDir,
    /// Time at which it was started.
    pub started: Instant,
}

/// Settings of a node that vary between measurements.
#[derive(Clone, Copy, Debug)]
pub struct NodeOptions {
    /// Number of nodes in its group.
    pub nodes: usize,
    /// Number of tenants, each with a quota.
    pub tenants: usize,
    /// Request classes beyond the first.
    pub extra_classes: usize,
}

impl Default for NodeOptions {
    fn default() -> Self {
        NodeOptions {
            nodes: target::NODES,
            tenants: 0,
            extra_classes: 0,
        }
    }
}

impl Process {
    /// Starts an executable as a node that uses this discovery address.
    pub fn start(
        program: &Path,
        discovery: SocketAddr,
        options: NodeOptions,
    ) -> io::Result<Process> {
        let folder = tempfile::tempdir()?;
        let reserve = |block: u8| Reservation::on(Ipv4Addr::new(127, block, 0, 1));
        let reservations = [reserve(62)?, reserve(63)?];
        let [listen, operator] = reservations.each_ref().map(Reservation::addr);
        let log = File::create(folder.path().join("log"))?;
        let config = folder.path().join("config.json");
        write_config(&config, listen, discovery, operator, options)?;
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
            _reservations: reservations,
            folder,
            started: Instant::now(),
        })
    }

    /// Replaces its configuration file and sends it SIGHUP.
    pub fn configure(&self, options: NodeOptions) -> io::Result<()> {
        write_config(
            &self.folder.path().join("config.json"),
            self.listen,
            self.discovery,
            self.operator,
            options,
        )?;
        let pid = self
            .child
            .id()
            .ok_or_else(|| io::Error::other("cannot send SIGHUP: the process has exited"))?;
        kill(Pid::from_raw(pid as i32), Signal::SIGHUP).map_err(io::Error::from)
    }

    /// Size of its configuration file in bytes.
    pub fn config_bytes(&self) -> io::Result<u64> {
        Ok(fs::metadata(self.folder.path().join("config.json"))?.len())
    }

    /// Waits until a condition holds and returns the time since `from`. Fails when the process exits or after
    /// [`WAIT_TIMEOUT`].
    pub async fn wait_until(
        &mut self,
        what: &str,
        from: Instant,
        condition: impl AsyncFn(&Process) -> bool,
    ) -> io::Result<Duration> {
        loop {
            if condition(self).await {
                return Ok(from.elapsed());
            }
            if let Some(status) = self.child.try_wait()? {
                return Err(io::Error::other(format!(
                    "{what}: the process exited with {status}; end of its log:\n{}",
                    self.log()
                )));
            }
            if from.elapsed() > WAIT_TIMEOUT {
                return Err(io::Error::other(format!(
                    "{what}: not within {WAIT_TIMEOUT:?}; end of its log:\n{}",
                    self.log()
                )));
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Whether it reports that it is ready.
    pub async fn is_ready(&self) -> bool {
        get(self.operator, "/status").await.is_some()
    }

    /// Whether it accepts connections from clients.
    pub async fn accepts(&self) -> bool {
        TcpStream::connect(self.listen).await.is_ok()
    }

    /// Value of one of its metrics; `None` if it doesn't respond or has no such metric.
    pub async fn metric(&self, name: &str) -> Option<u64> {
        let text = get(self.operator, "/status/metrics").await?;
        text.lines()
            .find_map(|line| line.strip_prefix(name)?.trim().parse().ok())
    }

    /// All of its metrics in text format; empty if it doesn't respond.
    pub async fn metrics(&self) -> String {
        get(self.operator, "/status/metrics")
            .await
            .unwrap_or_default()
    }

    /// Processor time used so far by all threads, in seconds.
    pub fn cpu_s(&self) -> f64 {
        let Some(pid) = self.child.id() else {
            return 0.0;
        };
        let tasks = fs::read_dir(format!("/proc/{pid}/task"));
        let cpu_ns = tasks.into_iter().flatten().flatten().filter_map(|task| {
            let text = fs::read_to_string(task.path().join("schedstat")).ok()?;
            text.split(' ').next()?.parse::<f64>().ok()
        });
        cpu_ns.sum::<f64>() / 1e9
    }

    /// Current and peak resident memory, in MB.
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

    /// Last five lines of its output.
    pub fn log(&self) -> String {
        let text = fs::read_to_string(self.folder.path().join("log")).unwrap_or_default();
        let lines: Vec<&str> = text.lines().collect();
        lines[lines.len().saturating_sub(5)..].join("\n")
    }

    /// Exit status, if it exits within this time.
    pub async fn wait_exit(&mut self, within: Duration) -> Option<std::process::ExitStatus> {
        tokio::time::timeout(within, self.child.wait())
            .await
            .ok()?
            .ok()
    }

    /// Kills the process and waits for its exit.
    pub async fn stop(mut self) {
        let _ = self.child.kill().await;
    }
}

async fn get(addr: SocketAddr, path: &str) -> Option<String> {
    let call = async {
        let stream = TcpStream::connect(addr).await.ok()?;
        let (mut sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
        let request = Request::get(path)
            .header("host", addr.to_string())
            .header("connection", "close");
        let driver = tokio::spawn(connection);
        let response = sender
            .send_request(request.body(Empty::<Bytes>::new()).ok()?)
            .await
            .ok()?;
        let success = response.status().is_success();
        let body = response.into_body().collect().await.ok()?.to_bytes();
        driver.abort();
        success.then(|| String::from_utf8_lossy(&body).into_owned())
    };
    tokio::time::timeout(REQUEST_TIMEOUT, call)
        .await
        .ok()
        .flatten()
}

fn write_config(
    path: &Path,
    listen: SocketAddr,
    discovery: SocketAddr,
    operator: SocketAddr,
    options: NodeOptions,
) -> io::Result<()> {
    let class = |name: String| {
        json!({
            "name": name, "aim": 500_000, "deadline": 2_000_000, "points": 1.0, "late-share": 0.25,
            "semantics": "unsafe", "key-scope": "all", "key-ttl": 5_000_000, "stream": false,
        })
    };
    let classes: Vec<Value> = (0..=options.extra_classes)
        .map(|at| class(format!("lane-{at}")))
        .collect();
    let tenants: Vec<Value> = (0..options.tenants)
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
            "group-size": options.nodes, "me": 0, "family": "proxy", "classes": classes, "tenants": tenants,
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
