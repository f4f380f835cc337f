//! Owns the configuration that a node is given: what the platform tells it and nothing of the world's
//! true values (DEPLOY, "What a node is told"; WIRE for the settings).

use std::net::SocketAddr;

use serde_json::{json, Value};

use crate::deployment;
use crate::scenario::{RetrySafety, Scenario};
use crate::world::NodeId;

/// Where a node and the parties round it are found.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub operator: SocketAddr,
}

/// A node's name.
pub fn name(node: NodeId) -> String {
    format!("n{}", node + 1)
}

/// The file's content.
pub fn write(
    scenario: &Scenario,
    node: NodeId,
    nodes: usize,
    at: Addresses,
    seed: u64,
    known: &Value,
) -> Value {
    json!({
        "name": name(node),
        "listen": at.listen.to_string(),
        "discovery": at.discovery.to_string(),
        "operator": at.operator.to_string(),
        "seed": format!("{seed:016x}"),
        "limits": {"cores": 1.0, "memory_mb": scenario.run.memory_limit_mb.0, "sockets": scenario.run.descriptor_limit},
        "known": known,
        "settings": settings(scenario, node, nodes),
    })
}

/// The settings in the form of the platform's JSON: names and units of the simulator's first message.
fn settings(scenario: &Scenario, node: NodeId, nodes: usize) -> Value {
    let (fleet, told) = (&scenario.fleet, deployment::settings(scenario, nodes));
    let named = scenario.load.class.iter().zip(&told.classes);
    let classes: Vec<Value> = named
        .map(|(class, told)| {
            json!({
                "name": class.name, "aim": told.latency_objective, "deadline": told.deadline, "points": told.priority_weight,
                "late-share": told.late_value, "key-scope": "all", "key-ttl": 5_000_000, "stream": false,
                "semantics": if class.retry_safety == RetrySafety::Safe { "safe" } else { "unsafe" },
            })
        })
        .collect();
    let kinds: Vec<&str> = fleet.kind.iter().map(|kind| kind.name.as_str()).collect();
    json!({
        "group-size": told.node_count, "me": node, "family": "proxy", "granularity": 5_000,
        "classes": classes, "tenants": [], "tier": 0, "tiers": ["points-api"],
        "zones": fleet.zones, "locality": fleet.zones[node % fleet.zones.len()], "kinds": kinds,
        "registry-mode": scenario.discovery.mode.as_str(), "weight-source": "rough", "worth-by": "work",
        "over-share-worth": told.over_quota_value,
        "domain": {"warm-keys": told.key_affinity},
        "clients": {"marks-retry": false},
        "bounds": {
            "cancelling": told.may_cancel, "may-probe": told.may_health_check, "second-copies": told.may_hedge,
            "retry-after": told.retry_after, "max-retry-after": told.max_retry_after,
            "max-attempts": told.max_attempts, "dial-timeout": told.connect_timeout,
            "keepalive": fleet.idle_timeout_s.micros(),
            "peer-messages": false, "max-streams": 1, "open-cap": 20_000,
        },
        "rules": {
            "answer-slack": 20_000, "ask-within": told.max_poll_interval, "stop-sending-within": 750_000,
            "start-capacity": told.cold_capacity, "ramp-time": told.slow_start_time,
            "fall-multiple": told.cold_overload_factor, "overload-for": fleet.cold_overload_window_s.micros(),
        },
        "deductions": {
            "connection": told.open_connection_cost, "handshake": told.connection_setup_cost, "cross-zone": 0.039,
            "late-fail": 0.082, "probe": 0.01, "waste": 0.04,
        },
        "report": {"how": "off", "fields": []},
    })
}
