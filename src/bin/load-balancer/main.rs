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
mod descriptors;
mod discovery;
mod driver;
mod guest;
mod horizon;
mod inherit;
mod list;
mod log;
mod operator;
mod peers;
mod presence;
mod servers;
mod setup;
mod stream;
mod task;

use std::collections::HashMap;
use std::error::Error;
use std::path::{Path, PathBuf};
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
use descriptors::Descriptors;
use driver::{Driver, Msg};
use operator::Operator;
use peers::Peers;
use servers::Servers;
use setup::Setup;

/// The longest configuration, read before the memory limit is known that it names: a third of what a node has that
/// is told none.
const LONGEST_CONFIG: u64 = 64 << 20;
/// The part of the memory limit that whole bodies may take.
const KEPT_PART: usize = 6;

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
                log::line(format_args!(
                    "no datagrams between nodes: {listen}: {error}"
                ));
                None
            }
            peers => Some(peers?),
        },
        None => None,
    };
    let (tx, rx) = mpsc::unbounded_channel();
    let allowed = descriptors::allowed().unwrap_or(config.sockets);
    if allowed < config.sockets {
        log::line(format_args!(
            "limits.sockets is {}, the system allows {allowed} descriptors: these are shared out",
            config.sockets
        ));
    }
    let descriptors =
        Descriptors::share_out(config.sockets.min(allowed), config.operator.is_some())?;
    let counts = Counts::new(config.setup.names.classes());
    // The rest is for the connections' own buffers, and for a process beside this one.
    let memory = Memory::new(config.memory / KEPT_PART);
    let sockets = (descriptors.shared.clone(), descriptors.probes.clone());
    let servers = Servers::new(
        config.setup.figures.clone(),
        sockets,
        memory,
        counts.clone(),
    );
    let watches = descriptors.watches.clone();
    let mut driver = Driver::new(
        &config,
        servers.clone(),
        peers.clone(),
        counts.clone(),
        watches,
        tx.clone(),
    );
    let bans = config
        .operator
        .map(|_| Bans::open(config.scratch.as_deref(), &config.name));
    if let Some(complaint) = &config.complaint {
        log::line(format_args!("the configuration's list: {complaint}"));
    }
    driver.start(config.known, bans);
    let clients = Clients::new(
        Arc::new(config.setup),
        servers.clone(),
        &descriptors,
        counts.clone(),
        tx.clone(),
    );
    if let Some(addr) = config.operator {
        let listener = bind(addr).await?;
        log::line(format_args!("operators call at {}", listener.local_addr()?));
        let sockets = descriptors.operators.clone();
        let operator = Operator::new(
            clients.clone(),
            servers,
            counts.clone(),
            sockets,
            tx.clone(),
        );
        spawn_local(operator.accept(listener));
    }
    spawn_local({
        let (clients, news) = (clients.clone(), tx.clone());
        async move {
            let mut discovery = config.discovery;
            while hangup.recv().await.is_some() {
                match read_again(path.clone(), clients.setup()).await {
                    Ok(Again {
                        discovery: addr,
                        next,
                    }) => {
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
    TcpListener::bind(addr)
        .await
        .map_err(|error| format!("{addr}: {error}"))
}

/// The configuration, read again on a thread of its own: a large one takes longer than requests may wait.
async fn read_again(path: PathBuf, setup: Arc<Setup>) -> Result<Again, String> {
    let again = move || {
        let text = read(&path)?;
        Config::read_again(&text, &setup).map_err(|error| odd(&path, text.len(), &*error))
    };
    spawn_blocking(again)
        .await
        .map_err(|error| error.to_string())?
}

/// The configuration's text.
fn read(path: &Path) -> Result<String, String> {
    let told = |error: std::io::Error| format!("{}: {error}", path.display());
    let bytes = std::fs::metadata(path).map_err(told)?.len();
    if bytes > LONGEST_CONFIG {
        return Err(format!(
            "{}: {bytes} bytes are too many, {LONGEST_CONFIG} are the most",
            path.display()
        ));
    }
    std::fs::read_to_string(path).map_err(told)
}

/// What is wrong with it.
fn odd(path: &Path, bytes: usize, error: &dyn Error) -> String {
    format!("{} of {bytes} bytes: {error}", path.display())
}

/// Reads the configuration; its text is not held any longer.
fn configured(path: &Path, env: &HashMap<String, String>) -> Result<Config, String> {
    let text = read(path)?;
    Config::read(&text, env).map_err(|error| odd(path, text.len(), &*error))
}

fn start() -> Result<(), Box<dyn Error>> {
    let env: HashMap<String, String> = std::env::vars_os()
        .filter_map(|(k, v)| Some((k.into_string().ok()?, v.into_string().ok()?)))
        .collect();
    let inherited = env
        .get("BALANCER_FD")
        .map(|fd| inherit::listener(fd))
        .transpose();
    let inherited = inherited.map_err(|error| format!("BALANCER_FD: {error}"))?;
    let path = PathBuf::from(
        env.get("BALANCER_CONFIG")
            .ok_or("BALANCER_CONFIG is not set")?,
    );
    let config = configured(&path, &env)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(LocalSet::new().run_until(run(config, path, inherited)))
}

fn main() -> ExitCode {
    match start() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("load-balancer: {error}");
            ExitCode::FAILURE
        }
    }
}
