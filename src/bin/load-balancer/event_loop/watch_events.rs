//! Handles the events of the watch on the endpoint list.

use load_balancer::{DiscoveryMode, Event, UpdateKind};

use super::messages::WatchMessage;
use super::EventLoop;
use crate::discovery::endpoint_list::EndpointList;
use crate::discovery::{WatchEvent, WatchFailure};

impl EventLoop {
    pub(super) fn watch_event(&mut self, message: WatchMessage) {
        // The watch may have been replaced while its message was queued. No change is lost: the new watch requests
        // all changes after the last list that was applied.
        if !self.subscription.is_current(message.watch) {
            return;
        }
        match message.event {
            WatchEvent::List(list) => self.list_received(&list),
            WatchEvent::Failed(failure) => self.watch_failed(&failure),
        }
    }

    fn list_received(&mut self, list: &EndpointList) {
        // An outdated list must not put a draining server back in service (test
        // `discovery::an_older_list_from_a_new_address_reverts_nothing`).
        let is_outdated = self.subscription.list_received(list);
        if let Some(summary) = list.skipped_summary() {
            crate::log::line(format_args!("discovery: endpoint list received: {summary}"));
        }
        let (kind, endpoints) = self.servers.apply(list, is_outdated);
        self.events
            .push_back(Event::EndpointUpdate { kind, endpoints });
    }

    fn watch_failed(&mut self, failure: &WatchFailure) {
        self.subscription
            .log_failure(failure, self.servers.listed_count());
        if self.subscription.mode() == DiscoveryMode::Poll {
            self.events.push_back(Event::EndpointUpdate {
                kind: UpdateKind::Failed,
                endpoints: Vec::new(),
            });
        }
        self.subscription.reopen_after(failure, &mut self.timers);
    }
}
