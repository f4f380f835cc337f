//! Updates of all agents by the holder of the maintenance role, each under its fencing token.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{Coordinator, CoordinatorAction};
use crate::lease::{Cordon, Role, StaleToken};
use crate::membership::Name;
use crate::Micros;

/// An update without an answer is retried after this, in microseconds.
const DELIVERY_RETRY_INTERVAL: Micros = 400_000;
/// Maximum number of updates that are sent in a tick.
const MAX_UPDATES_PER_TICK: usize = 32;

/// The cordoned servers and the voters, as the holder of the maintenance role sends them. It is idempotent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetUpdate {
    /// The role under which it is sent.
    pub role: Role,
    /// The fencing token of the role.
    pub token: u64,
    /// The version of the content, which only grows.
    pub version: u64,
    /// All cordoned servers, by identifier.
    pub cordoned: BTreeMap<String, Cordon>,
    /// All voters: an agent without a vote forwards commands to them.
    pub voters: Vec<Name>,
}

/// What is known of an agent that receives updates.
#[derive(Clone, Copy)]
struct Delivery {
    /// The agent's process: what it confirmed does not count for the next one under its name.
    process: u64,
    /// The version that it confirmed.
    version: u64,
    /// When the update may be retried; `None` for at once.
    retry_at: Option<Micros>,
}

impl Delivery {
    /// A process that has confirmed nothing.
    fn new(process: u64) -> Delivery {
        Delivery {
            process,
            version: 0,
            retry_at: None,
        }
    }
}

/// The updates that this agent sends and received.
#[derive(Default)]
pub(super) struct FleetUpdates {
    deliveries: BTreeMap<Name, Delivery>,
    /// The token under which updates are sent: under a new one, all are sent anew.
    token: u64,
    /// The newest update that this agent received.
    received: Option<FleetUpdate>,
}

impl FleetUpdates {
    /// Handles the answer to an update; `None` where the call failed.
    pub fn on_completed(
        &mut self,
        now: Micros,
        to: &Name,
        version: u64,
        result: Option<Result<(), StaleToken>>,
    ) {
        let Some(delivery) = self.deliveries.get_mut(to) else {
            return;
        };
        match result {
            Some(Ok(())) => {
                delivery.version = delivery.version.max(version);
                delivery.retry_at = None;
            }
            // A rejection means that another agent holds the role by now: the lease here expires soon.
            Some(Err(_)) | None => delivery.retry_at = Some(now + DELIVERY_RETRY_INTERVAL),
        }
    }

    /// The voters, by the last update received.
    pub fn voters(&self) -> &[Name] {
        self.received.as_ref().map_or(&[], |update| &update.voters)
    }

    /// The version of the last update received; 0 for none.
    pub fn version(&self) -> u64 {
        self.received.as_ref().map_or(0, |update| update.version)
    }

    /// The cordoned servers, by the last update received.
    pub fn cordoned(&self) -> BTreeMap<String, Cordon> {
        self.received
            .as_ref()
            .map(|update| update.cordoned.clone())
            .unwrap_or_default()
    }
}

impl Coordinator {
    /// Handles an update: rejects a stale token, and applies the newest content received under a current one.
    ///
    /// The content never goes back: an older version that arrives late does not replace a newer one.
    pub(super) fn on_update(
        &mut self,
        call: u64,
        update: FleetUpdate,
        actions: &mut Vec<CoordinatorAction>,
    ) {
        if let Err(stale) = self.fencing.check(update.role, update.token) {
            return actions.push(CoordinatorAction::RejectUpdate { call, stale });
        }
        let newest = match self.updates.received.take() {
            Some(received) if update.version < received.version => received,
            _ => update,
        };
        self.updates.received = Some(newest.clone());
        actions.push(CoordinatorAction::ApplyUpdate {
            call,
            update: newest,
            fencing: self.fencing.clone(),
        });
    }

    /// Sends the current version to all agents that lack it, while this agent holds the maintenance role.
    pub(super) fn send_updates(&mut self, now: Micros, actions: &mut Vec<CoordinatorAction>) {
        let Some(token) = self.holder.active_token(now, Role::Maintenance) else {
            return;
        };
        if self.updates.token != token {
            self.updates.token = token;
            self.updates.deliveries.clear();
        }
        // At least 1: version 0 stands for an agent that has confirmed nothing.
        let version = self.state.version.max(1);
        for to in self.begin_deliveries(now, version) {
            let update = FleetUpdate {
                role: Role::Maintenance,
                token,
                version,
                cordoned: self.state.cordoned.clone(),
                voters: self.state.voters.values().cloned().collect(),
            };
            actions.push(CoordinatorAction::SendUpdate { to, update });
        }
        let members = &self.members;
        self.updates
            .deliveries
            .retain(|name, _| members.iter().any(|member| member.name == *name));
    }

    /// Begins the deliveries of this tick, and returns their receivers: the members that lack the version, each of them
    /// at most once in [`DELIVERY_RETRY_INTERVAL`].
    fn begin_deliveries(&mut self, now: Micros, version: u64) -> Vec<Name> {
        let mut receivers = Vec::new();
        for member in &self.members {
            let delivery = self
                .updates
                .deliveries
                .entry(member.name.clone())
                .or_insert(Delivery::new(member.process));
            if delivery.process != member.process {
                // A new process may run beside a new node: it needs the update too.
                *delivery = Delivery::new(member.process);
            }
            let lacks_version = delivery.version < version;
            let may_send = delivery.retry_at.is_none_or(|at| now >= at);
            if lacks_version && may_send && receivers.len() < MAX_UPDATES_PER_TICK {
                delivery.retry_at = Some(now + DELIVERY_RETRY_INTERVAL);
                receivers.push(member.name.clone());
            }
        }
        receivers
    }
}
