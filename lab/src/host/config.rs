//! Owns the configuration that a node is given: what the platform tells it and nothing of the world's
//! true values (DEPLOY, "What a node is told"; WIRE for the settings).

use std::net::SocketAddr;

use serde_json::{json, Value};

use crate::scenario::{Repeats, Scenario};
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
        "limits": {"cores": 1.0, "memory_mb": scenario.run.memory_mb.0, "sockets": scenario.run.sockets},
        "known": known,
        "settings": settings(scenario, node, nodes),
    })
}

fn settings(scenario: &Scenario, node: NodeId, nodes: usize) -> Value {
    let fleet = &scenario.fleet;
    let micros = |seconds: f64| (seconds * 1e6) as u64;
    let least = |of: fn(&crate::scenario::Kind) -> f64| fleet.kind.iter().map(of).fold(1.0, f64::min);
    let most = |of: fn(&crate::scenario::Kind) -> f64| fleet.kind.iter().map(of).fold(0.0, f64::max);
    let classes: Vec<Value> = scenario
        .load
        .class
        .iter()
        .map(|class| {
            json!({
                "name": class.name,
                "aim": micros(class.aim_ms.0 / 1e3),
                "deadline": micros(class.deadline_ms.0 / 1e3),
                "points": class.worth.0,
                "late-share": class.late_worth.0,
                "semantics": if class.repeats == Repeats::Safe { "safe" } else { "unsafe" },
                "key-scope": "all", "key-ttl": 5_000_000, "stream": false,
            })
        })
        .collect();
    let kinds: Vec<&str> = fleet.kind.iter().map(|kind| kind.name.as_str()).collect();
    json!({
        "group-size": nodes, "me": node, "family": "proxy", "granularity": 5_000,
        "classes": classes, "tenants": [], "tier": 0, "tiers": ["points-api"],
        "zones": fleet.zones, "locality": fleet.zones[node % fleet.zones.len()], "kinds": kinds,
        "registry-mode": "push", "weight-source": "rough", "worth-by": "work", "over-share-worth": 0.1,
        "domain": {"warm-keys": true},
        "clients": {"marks-retry": false},
        "bounds": {
            "cancelling": true, "may-probe": true, "second-copies": true, "retry-after": true,
            "peer-messages": false, "max-attempts": 6, "max-streams": 1, "open-cap": 20_000,
            "dial-timeout": 200_000, "keepalive": micros(fleet.idle_close_s.0),
            "max-retry-after": micros(scenario.clients.honour_most_ms.0 / 1e3),
        },
        "rules": {
            "answer-slack": 20_000, "ask-within": 10_000_000, "stop-sending-within": 750_000,
            "start-capacity": least(|kind| kind.cold_from.low), "ramp-time": micros(most(|kind| kind.cold_s.high)),
            "fall-multiple": fleet.fall_multiple.0, "overload-for": fleet.fall_s.micros(),
        },
        "deductions": {
            "connection": 0.0, "cross-zone": 0.039, "handshake": 0.0, "late-fail": 0.082, "probe": 0.01,
            "waste": 0.04,
        },
        "report": {"how": "off", "fields": []},
    })
}
