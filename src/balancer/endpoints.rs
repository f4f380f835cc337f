//! Updates of the endpoint list and cordons by operators: which servers are in service, and when what was
//! learnt of a server is dropped.

use std::collections::BTreeSet;

use super::server::Server;
use super::subscription::Subscription;
use super::tick::jitter;
use super::{Balancer, SUBSCRIBE_TIMER, TICK_TIMER};
use crate::api::*;

/// Weight of a server whose weight in the list is unusable (not finite, or not positive) or is not used.
const DEFAULT_WEIGHT: f64 = 1.0;

/// The weight that the slot table uses for a server. Live weights are ignored: they vary with the load from
/// list to list, and each change would move keys to other servers.
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
            self.start_timers(out);
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
            UpdateKind::Delta | UpdateKind::Full => self.subscription.mark_subscribed(),
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

    /// Sets the first timer of the tick and, in poll mode, that of the first call to discovery.
    fn start_timers(&mut self, out: &mut Vec<Action>) {
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

    /// Takes servers out of service that are missing from a complete list.
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

    /// Applies one entry of the list. What was learnt of a server is kept until the entry shows a new start
    /// of its process.
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

    /// Applies a cordon or its removal. What was learnt of the server is dropped, as operators may restart it
    /// while it is cordoned.
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

    /// Continues to build the slot table if servers have changed, and activates it once it is complete. All
    /// changes since the previous call go into one build.
    pub(super) fn refresh_table(&mut self) {
        if !self.slot_table.build(&self.servers, self.now) {
            return;
        }
        self.servers.remove_departed();
        self.slow_start.clear_overdue();
        self.slot_table.activate(&self.servers);
    }
}
