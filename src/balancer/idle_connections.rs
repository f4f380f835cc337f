//! Idle connections: whether the connections to a server are closed when no attempt is in flight at it.
//!
//! In the course of time every node holds a connection to each server. A node closes its idle connections
//! if those of all nodes together cost a server more than it costs to set up new ones, or if so many
//! attempts fail to connect that servers seem to have run out of connections.

use super::moving_average::MovingAverage;
use crate::api::*;

/// With up to this many nodes, idle connections stay open whatever they cost.
const MAX_NODES_KEEPING: u32 = 24;
/// Fraction of attempts that fail to connect above which servers are short of connections.
const SHORTAGE_FRACTION: f64 = 0.02;
/// Weight of one attempt in the moving average of connect failures.
const FAILURE_WEIGHT: f64 = 0.03;
/// Number of open connections per server to which `Settings::open_connection_cost` refers.
const COST_UNIT: f64 = 100.0;

/// Decides whether idle connections are closed.
#[derive(Default)]
pub(super) struct IdleConnections {
    /// Fraction of the latest attempts that failed to connect.
    connect_failures: MovingAverage,
}

impl IdleConnections {
    pub(super) fn record(&mut self, connect_failed: bool) {
        self.connect_failures
            .add_event(connect_failed, FAILURE_WEIGHT);
    }

    pub(super) fn should_close(&self, settings: &Settings) -> bool {
        let nodes = settings.node_count;
        let keeping_cost = f64::from(nodes) / COST_UNIT * settings.open_connection_cost;
        let costly = nodes > MAX_NODES_KEEPING && keeping_cost >= settings.connection_setup_cost;
        costly || self.connect_failures.value() > SHORTAGE_FRACTION
    }
}
