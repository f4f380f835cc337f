//! What a node reports of its own load and decisions, for the log and the metrics. It decides nothing.
//!
//! These are not the load reports that servers send ([`AttemptResult::load_report`]). The log line keeps its
//! words: *strain* is the congested fraction, *ratio* the relative latency, *holds* the attempts in flight.
//!
//! [`AttemptResult::load_report`]: crate::api::AttemptResult::load_report

use std::fmt::Write;

use super::Balancer;

impl Balancer {
    /// The node's load state, and the servers that serve less than all of their slots, as text for the log.
    pub fn load_summary(&self) -> String {
        let mut text = format!(
            "in flight {} of {:.1}, flow {:.1} strain {:.2}, late {:.2}, failing {:.2}, ejected {:.2}",
            self.limit.in_flight(),
            self.limit.limit(),
            self.limit.flow(),
            self.load.congested_fraction(),
            self.load.late_fraction(),
            self.pool.failure_rate(),
            self.pool.ejected_fraction(),
        );
        for server in self.servers.in_service() {
            let share = self.served_share(server);
            if share < 1.0 {
                // Writing to a string cannot fail.
                let _ = write!(
                    text,
                    ", server {:x} share {share:.2} ratio {:.1} holds {}",
                    server.id().0,
                    self.relative_latency(server),
                    server.in_flight,
                );
            }
        }
        text
    }

    /// How many listed servers this node sends nothing now: ejected, cordoned, or in a lost zone.
    pub fn avoided_servers(&self) -> usize {
        self.servers
            .iter()
            .filter(|s| s.listed && (!s.in_service || self.is_ejected(s) || self.is_cut_off(s)))
            .count()
    }

    /// How many slots the next table lacks, while the previous one is still in use.
    pub fn unassigned_slots(&self) -> usize {
        self.slot_table.unassigned()
    }
}
