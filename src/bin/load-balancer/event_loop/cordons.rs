//! Cordons in the event loop: those that are loaded at the start, set by an operator, or read from the file
//! after another process has changed it.

use std::time::Duration;

use load_balancer::Event;

use super::messages::{CordonResult, SetCordon};
use super::timers::Timer;
use super::EventLoop;
use crate::cordon::{CordonChange, CordonedServers};

/// Interval between two reads of the file of cordoned servers. Another process may have changed it, and this
/// one has to stop sending to a newly cordoned server within the drain grace.
const REREAD_CORDONS_INTERVAL: Duration = Duration::from_millis(100);

impl EventLoop {
    /// Applies the cordons that a previous or concurrent process of this node has persisted.
    pub(super) fn start_cordons(&mut self, cordons: CordonedServers) {
        let changes = cordons.ids().map(|id| CordonChange {
            server_id: id.clone(),
            cordoned: true,
        });
        self.apply_cordon_changes(changes.collect());
        self.timers
            .set_after(REREAD_CORDONS_INTERVAL, Timer::RereadCordons);
        self.cordons = Some(cordons);
    }

    /// Applies what another process has changed in the file.
    pub(super) fn reread_cordons(&mut self) {
        let changes = self
            .cordons
            .as_mut()
            .map(CordonedServers::reread)
            .unwrap_or_default();
        self.apply_cordon_changes(changes);
        self.timers
            .set_after(REREAD_CORDONS_INTERVAL, Timer::RereadCordons);
    }

    pub(super) fn set_cordon(&mut self, message: SetCordon) {
        let SetCordon {
            server_id,
            cordoned,
            reply,
        } = message;
        let result = self.persist_cordon(&server_id, cordoned);
        // The reply promises that nothing more is sent to a cordoned server, so the balancer processes the
        // event first (test `operators::a_cordon_outlasts_list_updates_and_an_upgrade`).
        self.process_events();
        let _ = reply.send(result);
    }

    /// Persists that a server is cordoned or uncordoned, and applies it once it is on disk.
    fn persist_cordon(&mut self, server_id: &str, cordoned: bool) -> CordonResult {
        let Some(cordons) = &mut self.cordons else {
            return CordonResult::UnknownServer;
        };
        if !self.servers.was_listed(server_id) && !cordons.contains(server_id) {
            return CordonResult::UnknownServer;
        }
        match cordons.set(server_id, cordoned) {
            Ok(changes) => {
                self.apply_cordon_changes(changes);
                CordonResult::Done
            }
            Err(error) => {
                let action = if cordoned { "cordon" } else { "uncordon" };
                crate::log::line(format_args!(
                    "can't {action} server {server_id}: its state is unchanged, as the file of cordoned \
                     servers could not be written: {error}"
                ));
                CordonResult::NotPersisted(error)
            }
        }
    }

    /// Passes changes on to the servers' connections and to the balancer.
    fn apply_cordon_changes(&mut self, changes: Vec<CordonChange>) {
        for CordonChange {
            server_id,
            cordoned,
        } in changes
        {
            // The operations page names these log texts.
            let state = if cordoned { "left out" } else { "put back" };
            crate::log::line(format_args!("server {server_id} is {state}"));
            let server = self.servers.set_cordoned(&server_id, cordoned);
            self.events.push_back(Event::Cordon { server, cordoned });
        }
    }
}
