//! A node of the load balancer: the process that runs the balancer on real sockets. See `deploy/balancer.toml`.
//!
//! The node makes no load-balancing decisions. It turns what happens on its sockets into the balancer's events, and
//! executes the balancer's actions. [`startup`] builds its components, [`event_loop`] runs the balancer, [`reload`]
//! handles SIGHUP and [`shutdown`] handles SIGTERM.
#![forbid(unsafe_code)]

mod admin;
mod body;
mod client_liveness;
mod clients;
mod config;
mod connection;
mod connection_memory;
mod cordon;
mod descriptors;
mod discovery;
mod event_loop;
mod inherited_listener;
mod log;
mod memory_budget;
mod metrics;
mod peers;
mod reload;
mod run_once;
mod servers;
mod shutdown;
mod shutdown_deadline;
mod socket_read;
mod startup;
mod state_file;
mod stream;
mod task;
mod unsent_bytes;
mod write_stall;

use std::collections::HashMap;
use std::path::PathBuf;
use std::process::ExitCode;

use tokio::task::LocalSet;

use startup::{Node, StartError};

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("load-balancer: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Starts the node and returns once it has shut down.
fn run() -> Result<(), StartError> {
    let environment = read_environment();
    // Adopted before anything is opened that might be given the same descriptor number.
    let inherited = environment
        .get("BALANCER_FD")
        .map(|descriptor| inherited_listener::adopt(descriptor))
        .transpose()
        .map_err(StartError::InheritedListener)?;
    let path = environment
        .get("BALANCER_CONFIG")
        .map(PathBuf::from)
        .ok_or(StartError::NoConfigPath)?;
    let config = config::file::load(&path, &environment)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(StartError::Runtime)?;
    runtime.block_on(LocalSet::new().run_until(async {
        let node = Node::start(config, path, inherited).await?;
        node.run_until_terminated().await;
        Ok(())
    }))
}

/// The environment variables whose name and value are UTF-8.
fn read_environment() -> HashMap<String, String> {
    std::env::vars_os()
        .filter_map(|(name, value)| Some((name.into_string().ok()?, value.into_string().ok()?)))
        .collect()
}
