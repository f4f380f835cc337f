//! What follows from the endpoint list and from the operators' cordons.

use std::collections::BTreeSet;

use super::server::Server;
use super::subscription::Subscription;
use super::tick::jitter;
use super::{Balancer, SUBSCRIBE_TIMER, TICK_TIMER};
use crate::api::*;

/// The weight of a server that the list gives no usable one.
const DEFAULT_WEIGHT: f64 = 1.0;

/// The weight that a server counts with. A live weight varies with the load from list to list, and each
/// change would move slots.
fn effective_weight(source: WeightSource, weight: f64) -> f64 {
    match source {
        WeightSource::Off | WeightSource::Live => DEFAULT_WEIGHT,
        WeightSource::Nominal | WeightSource::Rough => {
            if weight.is_finite() && weight > 0.0 {
                weight
            } else {
                DEFAULT_WEIGHT
            }
        }
    }
}

impl Balancer {
    pub(super) fn on_endpoint_update(
        &mut self,
        kind: UpdateKind,
        endpoints: Vec<Endpoint>,
        out: &mut Vec<Action>,
    ) {
        if kind == UpdateKind::Cached && self.servers.is_empty() {
            self.start(out);
        }
        match kind {
            UpdateKind::Failed => {
                let delay =
                    self.subscription
                        .record_failure(&self.settings, self.now, &mut self.rng);
                out.push(Action::SetTimer {
                    delay,
                    timer: SUBSCRIBE_TIMER,
                });
                return;
            }
            UpdateKind::Cached => {}
            UpdateKind::Delta | UpdateKind::Full => self.subscription.confirm(),
        }
        if kind != UpdateKind::Delta {
            self.remove_unlisted(&endpoints);
        }
        for endpoint in endpoints {
            self.update_endpoint(endpoint);
        }
        let servers = &self.servers;
        self.zones.retain(|id| {
            servers
                .index_of(id)
                .is_some_and(|i| servers[i].in_service && servers[i].ejection.is_active())
        });
    }

    /// Starts the ticks and, where the node must subscribe, the subscription.
    fn start(&mut self, out: &mut Vec<Action>) {
        out.push(Action::SetTimer {
            delay: jitter(&mut self.rng, self.tick.micros()),
            timer: TICK_TIMER,
        });
        if self.settings.discovery_mode == DiscoveryMode::Poll {
            out.push(Action::SetTimer {
                delay: Subscription::first_call_delay(&self.settings, &mut self.rng),
                timer: SUBSCRIBE_TIMER,
            });
        }
    }

    /// Takes the servers out of service that a complete list lacks.
    fn remove_unlisted(&mut self, endpoints: &[Endpoint]) {
        let listed: BTreeSet<ServerId> = endpoints.iter().map(|e| e.server).collect();
        for server in self.servers.iter_mut() {
            if server.listed && !listed.contains(&server.id()) {
                server.listed = false;
                server.in_service = false;
                self.slot_table.record_change();
            }
        }
    }

    /// Takes an entry of the list. What was learnt of a server holds until its process starts anew.
    fn update_endpoint(&mut self, mut endpoint: Endpoint) {
        let listed = endpoint.state == ServerState::InService;
        let in_service = listed && !self.servers.is_cordoned(endpoint.server);
        endpoint.weight = effective_weight(self.settings.weight_source, endpoint.weight);
        let attempts = self.slow_start.initial_attempts(&endpoint);
        let Some(index) = self.servers.index_of(endpoint.server) else {
            if listed {
                let classes = self.settings.classes.len();
                self.slot_table.record_change();
                self.servers
                    .add(Server::new(endpoint, in_service, attempts, classes));
            }
            return;
        };
        let server = &mut self.servers[index];
        if server.in_service != in_service || server.endpoint.weight != endpoint.weight {
            self.slot_table.record_change();
        }
        if endpoint.started_at != server.endpoint.started_at {
            server.restart(endpoint, attempts, self.now);
        } else {
            server.endpoint = endpoint;
        }
        server.listed = listed;
        server.in_service = in_service;
    }

    /// Operators cordon a server or uncordon it. Nothing learnt of it before applies to it now.
    pub(super) fn on_cordon(&mut self, id: ServerId, cordoned: bool) {
        if !self.servers.set_cordoned(id, cordoned) {
            return;
        }
        let Some(index) = self.servers.index_of(id) else {
            return;
        };
        let server = &mut self.servers[index];
        let attempts = self.slow_start.initial_attempts(&server.endpoint);
        server.restart(server.endpoint.clone(), attempts, self.now);
        server.cordon_changed_at = self.now;
        server.in_service = server.listed && !cordoned;
        self.slot_table.record_change();
    }

    /// Lets the slot table follow the servers, once for all changes since the previous call.
    pub(super) fn refresh_table(&mut self) {
        if !self.slot_table.build(&self.servers, self.now) {
            return;
        }
        self.servers.remove_departed();
        self.slow_start.clear_overdue();
        self.slot_table.activate(&self.servers);
    }
}
