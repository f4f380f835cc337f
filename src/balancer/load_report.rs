//! A node's report of its own load and decisions, for the log and the metrics. Nothing here decides anything.
//!
//! These are not the load reports that servers send ([`AttemptResult::load_report`]). The log line uses words
//! of its own for some figures, which readers of the log rely on: *strain* is the fraction of the latest
//! answers that are a sign of congestion, *failing* the fraction of attempts that fail, *share* the part of
//! its slots that a server serves, *ratio* its relative latency (1 is as expected), and *holds* the number of
//! this node's attempts in flight at it.
//!
//! [`AttemptResult::load_report`]: crate::api::AttemptResult::load_report

use std::fmt::Write;

use super::Balancer;

impl Balancer {
    /// One line for the log: the node's load, and each server that serves less than all of its slots.
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

    /// Number of listed servers that this node sends nothing: those ejected, cordoned, or in a lost zone.
    pub fn avoided_servers(&self) -> usize {
        self.servers
            .iter()
            .filter(|s| {
                s.listed && (!s.in_service || self.is_ejected(s) || self.is_in_lost_zone(s))
            })
            .count()
    }

    /// Number of slots without an owner in the table that is being built; 0 when none is being built.
    pub fn unassigned_slots(&self) -> usize {
        self.slot_table.unassigned()
    }
}
