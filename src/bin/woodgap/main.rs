//! One node of the load balancer, on real sockets: see `deploy/balancer.toml`.
//!
//! The node decides nothing. It turns what happens on its sockets into the module's events and
//! carries out the module's actions.
#![forbid(unsafe_code)]

mod bans;
mod body;
mod clients;
mod config;
mod counts;
mod discovery;
mod driver;
mod guest;
mod horizon;
mod inherit;
mod log;
mod operator;
mod peers;
mod presence;
mod servers;
mod setup;
mod stream;
mod task;

use std::error::Error;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

use tokio::net::TcpListener;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::mpsc;
use tokio::task::{spawn_blocking, spawn_local, LocalSet};

use bans::Bans;
use body::Memory;
use clients::Clients;
use config::{Again, Config};
use counts::Counts;
use driver::{Driver, Msg};
use operator::{Operator, CALLERS};
use peers::Peers;
use servers::Servers;
use setup::Setup;
use task::Budget;

/// Descriptors that are not sockets of clients or servers: the standard ones, the runtime's, the
/// listener, discovery and the peers' socket, about ten, and some that the system has not closed yet.
const RESERVE: usize = 24;
/// The part of the memory limit that whole bodies may take.
const KEPT_PART: usize = 6;
/// Connections past the budget that are told so at a time.
const OVERFLOW: usize = 32;

async fn run(
    config: Config,
    path: PathBuf,
    inherited: Option<std::net::TcpListener>,
) -> Result<(), Box<dyn Error>> {
    let mut term = signal(SignalKind::terminate())?;
    let mut hangup = signal(SignalKind::hangup())?;
    let keeps_backlog = inherited.is_some();
    let listener = match inherited {
        Some(listener) => TcpListener::from_std(listener)?,
        None => bind(config.listen).await?,
    };
    let listen = listener.local_addr()?;
    let peers = match config.peer_listen {
        Some(listen) => match Peers::bind(listen, config.peers.clone(), config.peers_all).await {
            // The process that this one replaces still has it, and what it brings is never needed.
            Err(error) if keeps_backlog && error.kind() == std::io::ErrorKind::AddrInUse => {
                log::line(format_args!("no datagrams between nodes: {listen}: {error}"));
                None
            }
            peers => Some(peers?),
        },
        None => None,
    };
    let (tx, rx) = mpsc::unbounded_channel();
    // Clients use up to a third of the descriptors for their requests, and each of these needs a
    // server's socket too. The rest is for peers that only connect, so that they keep no client out.
    let operators = config.operator.map_or(0, |_| CALLERS + 1);
    let all = config.sockets.saturating_sub(RESERVE + OVERFLOW + operators).max(2);
    let places = all.saturating_sub(config.sockets / 3).max(1);
    let counts = Counts::new(config.setup.names.classes());
    // The rest is for the connections' own buffers, and for a process beside this one.
    let memory = Memory::new(config.memory / KEPT_PART);
    let servers = Servers::new(config.setup.figures.clone(), Budget::new(all), memory, counts.clone());
    let mut driver = Driver::new(&config, servers.clone(), peers.clone(), counts.clone(), tx.clone());
    let bans = config.operator.map(|_| Bans::open(config.scratch.as_deref(), &config.name));
    driver.start(&config.known, bans);
    let clients = Clients::new(
        Arc::new(config.setup),
        servers.clone(),
        (Budget::new(places), Budget::new(OVERFLOW)),
        counts.clone(),
        tx.clone(),
    );
    if let Some(addr) = config.operator {
        let listener = bind(addr).await?;
        log::line(format_args!("operators call at {}", listener.local_addr()?));
        let operator = Operator::new(clients.clone(), servers, counts.clone(), tx.clone());
        spawn_local(operator.accept(listener));
    }
    spawn_local({
        let (clients, news) = (clients.clone(), tx.clone());
        async move {
            let mut discovery = config.discovery;
            while hangup.recv().await.is_some() {
                match read_again(path.clone(), clients.setup()).await {
                    Ok(Again { discovery: addr, next }) => {
                        if let Some((setup, changed)) = next {
                            log::line(format_args!("new settings: {changed}"));
                            clients.go_by(Arc::new(setup));
                        }
                        // A watch that is open at the same address goes on.
                        if std::mem::replace(&mut discovery, addr) != addr {
                            log::line(format_args!("discovery moves to {addr}"));
                            let _ = news.send(Msg::Discovery(addr));
                        }
                        counts.sighup_applied.add();
                    }
                    Err(error) => {
                        counts.sighup_rejected.add();
                        log::line(format_args!("the new configuration is left alone: {error}"));
                    }
                }
            }
        }
    });
    if let Some(peers) = peers {
        spawn_local(async move {
            loop {
                let (from, data) = peers.next().await;
                let _ = tx.send(Msg::Peer { from, data });
            }
        });
    }
    spawn_local(driver.run(rx));
    spawn_local(clients.clone().accept(listener));
    log::line(format_args!("{} listens on {listen}", config.name));
    term.recv().await;
    log::line(format_args!("{} drains", config.name));
    // Held by the platform, the socket keeps what comes for the process that follows.
    if keeps_backlog {
        clients.stop_accepting();
    }
    clients.drain().await;
    Ok(())
}

async fn bind(addr: std::net::SocketAddr) -> Result<TcpListener, String> {
    TcpListener::bind(addr).await.map_err(|error| format!("{addr}: {error}"))
}

/// The configuration, read again on a thread of its own: a large one takes longer than requests may wait.
async fn read_again(path: PathBuf, setup: Arc<Setup>) -> Result<Again, String> {
    let read = move || {
        let text = std::fs::read_to_string(&path).map_err(|error| format!("{}: {error}", path.display()))?;
        Config::read_again(&text, &setup).map_err(|error| format!("{}: {error}", path.display()))
    };
    spawn_blocking(read).await.map_err(|error| error.to_string())?
}

fn start() -> Result<(), Box<dyn Error>> {
    let env: std::collections::HashMap<String, String> = std::env::vars_os()
        .filter_map(|(k, v)| Some((k.into_string().ok()?, v.into_string().ok()?)))
        .collect();
    let inherited = env.get("BALANCER_FD").map(|fd| inherit::listener(fd)).transpose();
    let inherited = inherited.map_err(|error| format!("BALANCER_FD: {error}"))?;
    let path = env.get("BALANCER_CONFIG").ok_or("BALANCER_CONFIG is not set")?;
    let text = std::fs::read_to_string(path).map_err(|e| format!("{path}: {e}"))?;
    let path = PathBuf::from(path);
    let config = Config::read(&text, &env)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(LocalSet::new().run_until(run(config, path, inherited)))
}

fn main() -> ExitCode {
    match start() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("woodgap: {error}");
            ExitCode::FAILURE
        }
    }
}
