//! A discovery for many nodes, whose servers are started anew one after the other.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use serde_json::{json, Value};

use super::http::*;
use super::stand_ins::discovery;

/// Discovery for all nodes: the list as it is, to each watch, and then what changes.
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
                chunk(&mut watch, &format!("{}\n", listing.full_list()));
                listing.watches.push(watch);
            }
        });
        discovery_server
    }

    /// Announces that a server is started anew; when.
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
        // Those of processes that have ended go.
        self.watches
            .retain_mut(|watch| watch.write_all(framed.as_bytes()).is_ok());
    }
}
