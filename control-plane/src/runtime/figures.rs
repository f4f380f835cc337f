//! Owns the agent's figures as scrapers read them. All come from the report: nothing is counted twice.

use std::sync::atomic::AtomicU64;

use prometheus_client::encoding::text::encode;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::info::Info;
use prometheus_client::registry::Registry;

use crate::membership::{MemberState, NodeState, Report};

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct By {
    kind: &'static str,
}

type Counts = Family<By, Counter>;
type Values = Family<By, Gauge<i64>>;

fn counts(registry: &mut Registry, name: &str, help: &str, values: &[(&'static str, u64)]) {
    let family = Counts::default();
    registry.register(name, help, family.clone());
    for (kind, value) in values {
        family.get_or_create(&By { kind }).inc_by(*value);
    }
}

fn values(registry: &mut Registry, name: &str, help: &str, values: &[(&'static str, u64)]) {
    let family = Values::default();
    registry.register(name, help, family.clone());
    for (kind, value) in values {
        family.get_or_create(&By { kind }).set(*value as i64);
    }
}

fn value(registry: &mut Registry, name: &str, help: &str, value: f64) {
    let gauge = Gauge::<f64, AtomicU64>::default();
    gauge.set(value);
    registry.register(name, help, gauge);
}

/// The figures as text. `node` holds what it does and how often it was started.
pub fn text(report: &Report, node: Option<(NodeState, u64)>, unsent: u64) -> String {
    let mut registry = Registry::with_prefix("woodgap_agent");
    let registry_ = &mut registry;
    let build = Info::new(vec![("version", env!("CARGO_PKG_VERSION"))]);
    registry_.register("build", "The program", build);
    let count = |state: MemberState| {
        report
            .members
            .iter()
            .filter(|member| member.state == state)
            .count() as u64
    };
    let states = [
        MemberState::Alive,
        MemberState::Suspect,
        MemberState::Failed,
        MemberState::Left,
    ];
    let members: Vec<_> = states
        .iter()
        .map(|state| (state.as_str(), count(*state)))
        .collect();
    values(
        registry_,
        "members",
        "Members by state, this agent among them",
        &members,
    );
    let lost = report
        .members
        .iter()
        .filter(|member| member.unreachable_for_ms.is_some())
        .count();
    value(
        registry_,
        "unreachable",
        "Members present that do not answer this agent itself",
        lost as f64,
    );
    let differing = report.agreement.differ.len() as f64;
    value(
        registry_,
        "differing",
        "Members whose view differs and stays so",
        differing,
    );
    let agreed = report
        .agreement
        .agreed_for_ms
        .map_or(-1.0, |ms| ms as f64 / 1e3);
    value(
        registry_,
        "agreed_seconds",
        "For how long all views heard are the same; -1 while not",
        agreed,
    );
    value(
        registry_,
        "health",
        "Doubt in this agent's own health, 0 to 8",
        f64::from(report.health),
    );
    value(
        registry_,
        "nodes_present",
        "Nodes that serve, as far as known",
        report.present.nodes as f64,
    );
    let majority = f64::from(u8::from(report.present.majority));
    value(
        registry_,
        "majority",
        "1 where most of the last agreed membership is present",
        majority,
    );
    let c = &report.counts;
    let out = [
        ("in", c.datagrams_in),
        ("out", c.datagrams_out),
        ("unsent", unsent),
    ];
    counts(registry_, "datagrams", "Datagrams", &out);
    counts(
        registry_,
        "datagram_bytes",
        "Bytes of datagrams",
        &[("in", c.bytes_in), ("out", c.bytes_out)],
    );
    counts(
        registry_,
        "calls",
        "Calls between agents",
        &[("in", c.calls_in), ("out", c.calls_out)],
    );
    let dropped = [
        ("oversized", c.oversized),
        ("damaged", c.damaged),
        ("foreign", c.foreign),
        ("format", c.format),
        ("refused", c.refused),
    ];
    counts(
        registry_,
        "dropped",
        "Messages dropped, by reason",
        &dropped,
    );
    if let Some((state, starts)) = node {
        let states = [
            NodeState::Starting,
            NodeState::Serving,
            NodeState::Draining,
            NodeState::StandingBy,
            NodeState::Stopped,
        ];
        let states: Vec<_> = states
            .iter()
            .map(|one| (one.as_str(), u64::from(*one == state)))
            .collect();
        values(registry_, "node_state", "1 for what the node does", &states);
        counts(
            registry_,
            "node_starts",
            "Starts of the node by this agent",
            &[("all", starts)],
        );
    }
    let mut text = String::new();
    // Into memory: a failure would be the crate's own, and an empty page says so.
    let _ = encode(&mut text, &registry);
    text
}
