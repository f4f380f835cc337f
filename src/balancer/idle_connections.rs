//! Idle connections: whether a server's are closed when its last attempt has ended.
//!
//! Every node comes to hold a connection to each server. They are closed where all nodes' connections
//! cost more than setting them up anew, and where many attempts get no connection.

use super::moving_average::MovingAverage;
use crate::api::*;

/// Up to this many nodes, idle connections stay open whatever they cost.
const MAX_NODES_KEEPING: u32 = 24;
/// With more than this fraction of attempts without a connection, connections are short.
const SHORTAGE_FRACTION: f64 = 0.02;
/// Weight of an attempt in that fraction.
const FAILURE_WEIGHT: f64 = 0.03;
/// The settings state the cost of this many open connections per server.
const COST_UNIT: f64 = 100.0;

/// Decides on idle connections.
#[derive(Default)]
pub(super) struct IdleConnections {
    /// Part of the latest attempts that got no connection.
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
