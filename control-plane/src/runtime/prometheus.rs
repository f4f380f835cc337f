//! The agent's metrics in OpenMetrics text, for scrapers. They are derived from the membership report, the node's state
//! and the host's count of unsent datagrams.
//!
//! The prefix `woodgap_agent` is the former name of the program. It is kept, because scrapers and dashboards use it.

use std::sync::atomic::AtomicU64;

use prometheus_client::encoding::text::encode;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::info::Info;
use prometheus_client::registry::Registry;

use crate::membership::{FleetSize, MemberState, MessageCounts, NodeState, Report};

const PREFIX: &str = "woodgap_agent";
/// Value of `agreed_seconds` while the views of some members differ.
const NOT_AGREED: f64 = -1.0;

/// What the metrics show of the node.
pub struct NodeStatus {
    /// The node's state.
    pub state: NodeState,
    /// Number of starts by this agent.
    pub starts: u64,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct KindLabel {
    kind: &'static str,
}

/// The value of the `kind` label, and the value of the metric under it.
type LabelledValue = (&'static str, u64);

/// Encodes the metrics. `node` is `None` if the agent runs no node; `unsent_datagrams` is the number of datagrams that
/// the socket did not accept.
pub fn encode_text(report: &Report, node: Option<NodeStatus>, unsent_datagrams: u64) -> String {
    let mut registry = Registry::with_prefix(PREFIX);
    let build = Info::new(vec![("version", env!("CARGO_PKG_VERSION"))]);
    registry.register("build", "The program", build);
    register_members(&mut registry, report);
    register_fleet_size(&mut registry, &report.present);
    register_messages(&mut registry, &report.counts, unsent_datagrams);
    if let Some(node) = node {
        register_node(&mut registry, &node);
    }
    let mut text = String::new();
    // Encoding into memory cannot fail.
    let _ = encode(&mut text, &registry);
    text
}

fn register_members(registry: &mut Registry, report: &Report) {
    let in_state = |state: MemberState| {
        report
            .members
            .iter()
            .filter(|member| member.state == state)
            .count() as u64
    };
    let members = MemberState::ALL.map(|state| (state.as_str(), in_state(state)));
    let help = "Members by state, this agent among them";
    gauges(registry, "members", help, &members);
    let unreachable = report
        .members
        .iter()
        .filter(|member| member.unreachable_for_ms.is_some())
        .count();
    let help = "Members present that do not answer this agent itself";
    gauge(registry, "unreachable", help, unreachable as f64);
    let differing = report.agreement.differ.len() as f64;
    let help = "Members whose view differs and stays so";
    gauge(registry, "differing", help, differing);
    let agreed = report
        .agreement
        .agreed_for_ms
        .map_or(NOT_AGREED, |ms| ms as f64 / 1e3);
    let help = "For how long all views heard are the same; -1 while not";
    gauge(registry, "agreed_seconds", help, agreed);
    let help = "Doubt in this agent's own health, 0 to 8";
    gauge(registry, "health", help, f64::from(report.health));
}

fn register_fleet_size(registry: &mut Registry, size: &FleetSize) {
    let help = "Nodes that serve, as far as known";
    gauge(registry, "nodes_present", help, size.nodes as f64);
    let majority = if size.majority { 1.0 } else { 0.0 };
    let help = "1 where most of the last agreed membership is present";
    gauge(registry, "majority", help, majority);
}

fn register_messages(registry: &mut Registry, counts: &MessageCounts, unsent_datagrams: u64) {
    let datagrams = [
        ("in", counts.datagrams_in),
        ("out", counts.datagrams_out),
        ("unsent", unsent_datagrams),
    ];
    counters(registry, "datagrams", "Datagrams", &datagrams);
    let bytes = [("in", counts.bytes_in), ("out", counts.bytes_out)];
    counters(registry, "datagram_bytes", "Bytes of datagrams", &bytes);
    let calls = [("in", counts.calls_in), ("out", counts.calls_out)];
    counters(registry, "calls", "Calls between agents", &calls);
    let dropped = [
        ("oversized", counts.oversized),
        ("damaged", counts.damaged),
        ("foreign", counts.foreign),
        ("format", counts.format),
        ("refused", counts.refused),
    ];
    let help = "Messages dropped, by reason";
    counters(registry, "dropped", help, &dropped);
}

fn register_node(registry: &mut Registry, node: &NodeStatus) {
    let states = NodeState::ALL.map(|state| (state.as_str(), u64::from(state == node.state)));
    gauges(registry, "node_state", "1 for what the node does", &states);
    let starts = [("all", node.starts)];
    let help = "Starts of the node by this agent";
    counters(registry, "node_starts", help, &starts);
}

fn counters(registry: &mut Registry, name: &str, help: &str, values: &[LabelledValue]) {
    let family = Family::<KindLabel, Counter>::default();
    registry.register(name, help, family.clone());
    for (kind, value) in values {
        family.get_or_create(&KindLabel { kind }).inc_by(*value);
    }
}

fn gauges(registry: &mut Registry, name: &str, help: &str, values: &[LabelledValue]) {
    let family = Family::<KindLabel, Gauge<i64>>::default();
    registry.register(name, help, family.clone());
    for (kind, value) in values {
        family.get_or_create(&KindLabel { kind }).set(*value as i64);
    }
}

fn gauge(registry: &mut Registry, name: &str, help: &str, value: f64) {
    let gauge = Gauge::<f64, AtomicU64>::default();
    gauge.set(value);
    registry.register(name, help, gauge);
}
