//! Reloads the configuration at SIGHUP.
//!
//! An invalid file changes nothing; it is logged and counted as rejected. A file without changes counts as applied
//! and is not logged.

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
    /// Discovery's current address.
    pub discovery: SocketAddr,
    /// The clients' side, which holds the runtime configuration and passes it on to the other components.
    pub clients: Rc<Clients>,
    /// The counters of reloads.
    pub metrics: Rc<Metrics>,
    /// Sends messages to the event loop.
    pub messages: mpsc::UnboundedSender<Message>,
}

impl Reloader {
    /// Reloads the configuration at each SIGHUP until the process ends.
    pub async fn run(mut self, mut hangup: Signal) {
        while hangup.recv().await.is_some() {
            match config::file::reload(self.path.clone(), self.clients.config()).await {
                Ok(reloaded) => {
                    self.apply(reloaded);
                    self.metrics.reloads_applied.increment();
                }
                Err(error) => {
                    self.metrics.reloads_rejected.increment();
                    log::line(format_args!(
                        "the new configuration is left alone and the current one kept: {error}"
                    ));
                }
            }
        }
    }

    fn apply(&mut self, reloaded: ReloadedConfig) {
        if let Some(RuntimeChange { config, changes }) = reloaded.runtime {
            log::line(format_args!("new settings in effect: {changes}"));
            self.clients.reload(Arc::new(config));
        }
        // Without a new address the open watch is kept.
        let previous = std::mem::replace(&mut self.discovery, reloaded.discovery);
        if previous != reloaded.discovery {
            log::line(format_args!(
                "discovery's address changes from {previous} to {}; the watch is reopened there",
                reloaded.discovery
            ));
            let message = Message::DiscoveryAddressChanged(reloaded.discovery);
            let _ = self.messages.send(message);
        }
    }
}
