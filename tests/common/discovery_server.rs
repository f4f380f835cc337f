//! A discovery service for many nodes, which announces restarts of servers.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use serde_json::{json, Value};

use super::http::*;
use super::stand_ins::discovery;

/// A discovery service that sends the current list to each new watch, and then the changes.
pub struct DiscoveryServer {
    pub addr: SocketAddr,
    pub listing: Mutex<Listing>,
}

pub struct Listing {
    pub revision: u64,
    pub members: Vec<Value>,
    watches: Vec<TcpStream>,
}

impl DiscoveryServer {
    pub fn start(members: Vec<Value>) -> Arc<DiscoveryServer> {
        let (tx, watches) = channel();
        let discovery_server = Arc::new(DiscoveryServer {
            addr: discovery(tx),
            listing: Mutex::new(Listing {
                revision: 41,
                members,
                watches: Vec::new(),
            }),
        });
        let shared = discovery_server.clone();
        thread::spawn(move || {
            for (_, mut watch) in watches {
                let mut listing = shared.listing.lock().unwrap();
                write_chunk(&mut watch, &format!("{}\n", listing.full_list()));
                listing.watches.push(watch);
            }
        });
        discovery_server
    }

    /// Announces to all watches that a server restarts now. Returns the time of the restart.
    pub fn restart_server(&self, server: usize) -> Instant {
        let mut listing = self.listing.lock().unwrap();
        listing.revision += 1;
        let (at, unix) = (
            Instant::now(),
            SystemTime::now().duration_since(UNIX_EPOCH).unwrap(),
        );
        listing.members[server]["up_since_ms"] = json!(unix.as_millis() as u64);
        let members = [&listing.members[server]];
        let delta = json!({"revision": listing.revision, "complete": false, "members": members});
        listing.send(&format!("{delta}\n"));
        at
    }

    pub fn send_heartbeat(&self) {
        self.listing.lock().unwrap().send("\n");
    }
}

impl Listing {
    fn full_list(&self) -> Value {
        json!({"revision": self.revision, "complete": true, "members": self.members})
    }

    fn send(&mut self, line: &str) {
        let framed = framed(line);
        // A failed write removes the watch: its process has ended.
        self.watches
            .retain_mut(|watch| watch.write_all(framed.as_bytes()).is_ok());
    }
}
