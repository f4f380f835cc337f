//! Distribution of the cordoned servers and the voters: the holder of the maintenance role sends updates to all agents,
//! each with the role's fencing token.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{Coordinator, CoordinatorAction};
use crate::lease::{Cordon, Role, StaleToken};
use crate::membership::Name;
use crate::Micros;

/// After this time an update that was not confirmed is retried, in microseconds.
const DELIVERY_RETRY_INTERVAL: Micros = 400_000;
/// Maximum number of updates that an agent sends in a tick.
const MAX_UPDATES_PER_TICK: usize = 32;

/// The cordoned servers and the voters, as sent by the holder of the maintenance role. Applying it is idempotent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetUpdate {
    /// The role in which the update is sent.
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

/// The state of the delivery of updates to one agent.
#[derive(Clone, Copy)]
struct Delivery {
    /// The agent's process: a confirmation by an earlier process with the same name does not count.
    process: u64,
    /// The highest version that the process has confirmed; 0 for none.
    version: u64,
    /// The earliest time of the next attempt; `None` if one may be made at once.
    retry_at: Option<Micros>,
}

impl Delivery {
    /// The delivery to a process that has confirmed nothing.
    fn new(process: u64) -> Delivery {
        Delivery {
            process,
            version: 0,
            retry_at: None,
        }
    }
}

/// The updates that this agent sends, and the newest one that it received.
#[derive(Default)]
pub(super) struct FleetUpdates {
    deliveries: BTreeMap<Name, Delivery>,
    /// The fencing token of the deliveries. With a new token, the update is sent to all agents again.
    token: u64,
    /// The newest update that this agent received.
    received: Option<FleetUpdate>,
}

impl FleetUpdates {
    /// Handles the answer to an update; `None` if the call failed.
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
            // A rejection means that the role was granted to another agent: the lease here expires soon.
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
    /// Handles an update. One with a stale token is rejected; otherwise the newest content received so far is applied.
    ///
    /// Invariant: the version of the content never decreases. An older version that arrives late does not replace a
    /// newer one.
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

    /// If this agent holds the maintenance role: sends the current version to all agents that lack it.
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

    /// Begins the deliveries of this tick and returns their receivers: members that lack the version, each at most once
    /// in [`DELIVERY_RETRY_INTERVAL`].
    fn begin_deliveries(&mut self, now: Micros, version: u64) -> Vec<Name> {
        let mut receivers = Vec::new();
        for member in &self.members {
            let delivery = self
                .updates
                .deliveries
                .entry(member.name.clone())
                .or_insert(Delivery::new(member.process));
            if delivery.process != member.process {
                // A new agent process may supervise a new node, which needs the update too.
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
