//! The listed servers: updates of the endpoint list, cordons, and what is known of a server.

use std::collections::HashSet;
use std::net::SocketAddr;

use load_balancer::{CellId, Endpoint, ServerId, ServerState, UpdateKind};
use xxhash_rust::xxh3::xxh3_64;

use super::{ServerEntry, Servers, MAX_REMEMBERED_IDS};
use crate::discovery::endpoint_list::EndpointList;
use crate::discovery::server_number;

impl Servers {
    /// Applies a list and returns it as an update for the balancer.
    ///
    /// An outdated list has a lower revision than one received before: the discovery address it came from lags
    /// behind or has restarted its count. It adds what is new in it and reverts nothing: a server that is known to
    /// be draining or removed stays so until its process restarts.
    pub fn apply(&self, list: &EndpointList, is_outdated: bool) -> (UpdateKind, Vec<Endpoint>) {
        let mut entries = self.entries.borrow_mut();
        let mut ids = self.ids.borrow_mut();
        let mut zone_and_kind_ids = self.zone_and_kind_ids.borrow_mut();
        let (cordoned, mut seen_ids) = (self.cordoned.borrow(), self.seen_ids.borrow_mut());
        let mut endpoints = Vec::with_capacity(list.entries.len());
        for entry in &list.entries {
            let number = server_number(&entry.id, &ids);
            let server = ServerId(number);
            let hash = xxh3_64(entry.id.as_bytes());
            let superseded = match entries.get(&server) {
                Some(known) => {
                    let returns_to_service = entry.state == ServerState::InService
                        && known.state != ServerState::InService;
                    entry.started_at_ms < known.started_at_ms
                        || (returns_to_service && entry.started_at_ms == known.started_at_ms)
                }
                None => seen_ids.contains(&hash),
            };
            if is_outdated && superseded {
                continue;
            }
            let endpoint = Endpoint {
                server,
                zone: zone_and_kind_ids.zone(&entry.zone),
                kind: zone_and_kind_ids.kind(&entry.kind),
                cell: CellId(entry.cell),
                state: entry.state,
                weight: entry.weight,
                started_at: entry.started_at_ms.saturating_mul(1000),
            };
            endpoints.push(endpoint.clone());
            if seen_ids.len() < MAX_REMEMBERED_IDS {
                seen_ids.insert(hash);
            }
            if entry.state == ServerState::Removed {
                entries.remove(&server);
                if !cordoned.contains(&server) {
                    ids.remove(&number);
                }
                continue;
            }
            ids.insert(number, entry.id.clone());
            let known = entries.entry(server).or_insert_with(|| ServerEntry {
                endpoint: endpoint.clone(),
                state: entry.state,
                addr: entry.address,
                started_at_ms: entry.started_at_ms,
                epoch: self.next_epoch(),
                idle: Vec::new(),
                unavailable_since: None,
                last_response_at: None,
            });
            // The old connections lead to the previous process or address.
            if (known.addr, known.started_at_ms) != (entry.address, entry.started_at_ms) {
                (known.addr, known.started_at_ms) = (entry.address, entry.started_at_ms);
                known.epoch = self.next_epoch();
                known.idle.clear();
            }
            (known.state, known.endpoint) = (entry.state, endpoint);
            known.update_availability(cordoned.contains(&server));
        }
        if list.complete && !is_outdated {
            // A server whose entry could not be parsed keeps its last known state.
            for id in &list.skipped.ids {
                let known = entries.get(&ServerId(server_number(id, &ids)));
                endpoints.extend(known.map(|known| known.endpoint.clone()));
            }
            let listed_ids: HashSet<ServerId> =
                endpoints.iter().map(|endpoint| endpoint.server).collect();
            entries.retain(|server, _| listed_ids.contains(server));
            let is_known = |server| listed_ids.contains(&server) || cordoned.contains(&server);
            ids.retain(|&number, _| is_known(ServerId(number)));
            return (UpdateKind::Full, endpoints);
        }
        (UpdateKind::Delta, endpoints)
    }

    /// Whether a server with this id is or was on the list. Ids beyond the first [`MAX_REMEMBERED_IDS`] are known only
    /// while they are listed or cordoned.
    pub fn was_listed(&self, id: &str) -> bool {
        let ids = self.ids.borrow();
        let is_listed = ids
            .get(&server_number(id, &ids))
            .is_some_and(|other| other == id);
        is_listed || self.seen_ids.borrow().contains(&xxh3_64(id.as_bytes()))
    }

    /// Cordons or uncordons a server and returns its number, which stays reserved for it while it is cordoned.
    pub fn set_cordoned(&self, id: &str, cordoned: bool) -> ServerId {
        let mut ids = self.ids.borrow_mut();
        let number = server_number(id, &ids);
        let server = ServerId(number);
        let mut entries = self.entries.borrow_mut();
        let entry = entries.get_mut(&server);
        if cordoned {
            self.cordoned.borrow_mut().insert(server);
            ids.insert(number, id.to_owned());
        } else {
            self.cordoned.borrow_mut().remove(&server);
            if entry.is_none() {
                ids.remove(&number);
            }
        }
        if let Some(entry) = entry {
            entry.update_availability(cordoned);
        }
        server
    }

    /// The id of a server, for the log; its number in hexadecimal if it is not listed any more.
    pub fn id_of(&self, server: ServerId) -> String {
        let id = self.ids.borrow().get(&server.0).cloned();
        id.unwrap_or_else(|| format!("{:x}", server.0))
    }

    /// The number of servers on the list.
    pub fn listed_count(&self) -> usize {
        self.entries.borrow().len()
    }

    /// An order-independent hash of the listed servers; 0 if none is listed. Nodes with different values have
    /// different lists. Below 2^52, so that a metrics reader that uses floating-point numbers keeps it exact.
    pub fn endpoint_digest(&self) -> u64 {
        let entries = self.entries.borrow();
        entries
            .keys()
            .fold(0, |sum, server| sum ^ xxh3_64(&server.0.to_le_bytes()))
            & ((1 << 52) - 1)
    }

    /// The epoch of a listed server.
    pub fn epoch(&self, server: ServerId) -> Option<u64> {
        self.entries.borrow().get(&server).map(|entry| entry.epoch)
    }

    fn next_epoch(&self) -> u64 {
        self.last_epoch.set(self.last_epoch.get() + 1);
        self.last_epoch.get()
    }

    /// The server's address and epoch; `None` if it is not listed, or has been draining or cordoned for more than
    /// half the drain grace. Checked again after the wait for a connection, during which the server may have begun
    /// to drain.
    pub(super) fn address(&self, server: ServerId) -> Option<(SocketAddr, u64)> {
        let entries = self.entries.borrow();
        let entry = entries.get(&server)?;
        let past_grace = entry
            .unavailable_since
            .is_some_and(|since| since.elapsed() > self.settings().drain_grace / 2);
        (!past_grace).then_some((entry.addr, entry.epoch))
    }
}
