//! Reloads the configuration at SIGHUP.
//!
//! A file that can't be used changes nothing and is one log line. One that says what is in force counts as
//! applied and is not logged.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;

use tokio::signal::unix::Signal;
use tokio::sync::mpsc;

use crate::clients::Clients;
use crate::config::{self, ReloadedConfig, RuntimeChange};
use crate::event_loop::Message;
use crate::log;
use crate::metrics::Metrics;

/// Applies a changed configuration file to the running node.
pub struct Reloader {
    /// The configuration file.
    pub path: PathBuf,
    /// Discovery's address that is in use.
    pub discovery: SocketAddr,
    /// Holds the runtime configuration and passes it on to the other parts.
    pub clients: Rc<Clients>,
    /// Counts the reloads.
    pub metrics: Rc<Metrics>,
    /// Sends messages to the event loop.
    pub messages: mpsc::UnboundedSender<Message>,
}

impl Reloader {
    /// Reloads at each signal until the process ends.
    pub async fn run(mut self, mut hangup: Signal) {
        while hangup.recv().await.is_some() {
            match config::file::reload(self.path.clone(), self.clients.config()).await {
                Ok(reloaded) => {
                    self.apply(reloaded);
                    self.metrics.reloads_applied.increment();
                }
                Err(error) => {
                    self.metrics.reloads_rejected.increment();
                    log::line(format_args!("the new configuration is left alone: {error}"));
                }
            }
        }
    }

    fn apply(&mut self, reloaded: ReloadedConfig) {
        if let Some(RuntimeChange { config, changes }) = reloaded.runtime {
            log::line(format_args!("new settings: {changes}"));
            self.clients.reload(Arc::new(config));
        }
        // A watch that is open at the same address stays open.
        let previous = std::mem::replace(&mut self.discovery, reloaded.discovery);
        if previous != reloaded.discovery {
            log::line(format_args!("discovery moves to {}", reloaded.discovery));
            let message = Message::DiscoveryAddressChanged(reloaded.discovery);
            let _ = self.messages.send(message);
        }
    }
}
