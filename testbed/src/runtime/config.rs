//! The configuration file of a node: what the platform would provide, and none of the simulated world's
//! true values (DEPLOY, "What a node is told"; WIRE for the settings).

use std::net::SocketAddr;

use serde_json::{json, Value};

use crate::deployment;
use crate::scenario::{RetrySafety, Scenario};
use crate::world::NodeId;

/// Addresses of a node: for clients, of its discovery agent, and for operators.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub operator: SocketAddr,
}

/// A node's name, numbered from 1.
pub fn name(node: NodeId) -> String {
    format!("n{}", node + 1)
}

/// Content of a node's configuration file. `endpoints` is the endpoint list that the node starts with.
pub fn write(
    scenario: &Scenario,
    node: NodeId,
    nodes: usize,
    addresses: Addresses,
    seed: u64,
    endpoints: &Value,
) -> Value {
    json!({
        "name": name(node),
        "listen": addresses.listen.to_string(),
        "discovery": addresses.discovery.to_string(),
        "operator": addresses.operator.to_string(),
        "seed": format!("{seed:016x}"),
        "limits": {"cores": 1.0, "memory_mb": scenario.run.memory_limit_mb.0, "sockets": scenario.run.descriptor_limit},
        "known": endpoints,
        "settings": settings(scenario, node, nodes),
    })
}

/// The settings as JSON, with the names and units of the first message of the simulator's wire protocol.
fn settings(scenario: &Scenario, node: NodeId, nodes: usize) -> Value {
    let (fleet, settings) = (&scenario.fleet, deployment::settings(scenario, nodes));
    let classes_with_settings = scenario.load.class.iter().zip(&settings.classes);
    let classes: Vec<Value> = classes_with_settings
        .map(|(class, class_settings)| {
            json!({
                "name": class.name, "aim": class_settings.latency_objective, "deadline": class_settings.deadline, "points": class_settings.priority_weight,
                "late-share": class_settings.late_value, "key-scope": "all", "key-ttl": 5_000_000, "stream": false,
                "semantics": if class.retry_safety == RetrySafety::Safe { "safe" } else { "unsafe" },
            })
        })
        .collect();
    let kinds: Vec<&str> = fleet.kind.iter().map(|kind| kind.name.as_str()).collect();
    json!({
        "group-size": settings.node_count, "me": node, "family": "proxy", "granularity": 5_000,
        "classes": classes, "tenants": [], "tier": 0, "tiers": ["points-api"],
        "zones": fleet.zones, "locality": fleet.zones[node % fleet.zones.len()], "kinds": kinds,
        "registry-mode": scenario.discovery.mode.as_str(), "weight-source": "rough", "worth-by": "work",
        "over-share-worth": settings.over_quota_value,
        "domain": {"warm-keys": settings.key_affinity},
        "clients": {"marks-retry": false},
        "bounds": {
            "cancelling": settings.may_cancel, "may-probe": settings.may_health_check, "second-copies": settings.may_hedge,
            "retry-after": settings.retry_after, "max-retry-after": settings.max_retry_after,
            "max-attempts": settings.max_attempts, "dial-timeout": settings.connect_timeout,
            "keepalive": fleet.idle_timeout_s.micros(),
            "peer-messages": false, "max-streams": 1, "open-cap": 20_000,
        },
        "rules": {
            "answer-slack": 20_000, "ask-within": settings.max_poll_interval, "stop-sending-within": 750_000,
            "start-capacity": settings.cold_capacity, "ramp-time": settings.slow_start_time,
            "fall-multiple": settings.cold_overload_factor, "overload-for": fleet.cold_overload_window_s.micros(),
        },
        "deductions": {
            "connection": settings.open_connection_cost, "handshake": settings.connection_setup_cost, "cross-zone": 0.039,
            "late-fail": 0.082, "probe": 0.01, "waste": 0.04,
        },
        "report": {"how": "off", "fields": []},
    })
}
