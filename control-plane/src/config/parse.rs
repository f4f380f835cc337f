//! The keys of the configuration file, and their validation.

use std::collections::BTreeSet;
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::time::Duration;

use toml::de::DeTable;

use super::toml_reader::{ProblemCollector, Section};
use super::{Config, CoordinationConfig, LogFormat, NodeConfig};
use crate::lease::LeaseSettings;
use crate::membership::{FormatRange, MembershipSettings, Name};
use crate::metrics::AlarmSettings;
use crate::supervisor::SupervisorSettings;

/// Longest name of a fleet, in bytes.
const MAX_FLEET_BYTES: usize = 64;
/// Maximum number of voters.
const MAX_VOTERS: usize = 7;
/// Default tick of the replicated log.
const DEFAULT_TICK: Duration = Duration::from_millis(100);
/// Shortest tick of the replicated log.
const MIN_TICK: Duration = Duration::from_millis(10);
/// Default number of ticks before an election.
const DEFAULT_ELECTION_TICKS: usize = 10;
/// Shortest lease, in ticks.
const MIN_LEASE_TICKS: u32 = 3;
/// Longest period over which the share of rejected requests is evaluated. Counts are kept for an hour.
const MAX_REJECTED_FOR: Duration = Duration::from_secs(1_800);
/// Shortest interval between status queries.
const MIN_STATUS_INTERVAL: Duration = Duration::from_millis(10);

/// Reads all keys. Returns `None` only if a problem was added.
pub(super) fn parse<'t>(collector: &ProblemCollector<'t>, table: &DeTable<'t>) -> Option<Config> {
    let root = Section::root(collector, table);
    let general = parse_general(&root);
    // Without the fleet's name, the other keys are still read, so that their problems are reported as well.
    let fleet = general.fleet.unwrap_or_default();
    let membership = in_section(&root, "membership", |section| MembershipTable {
        addresses: parse_addresses(section),
        settings: parse_membership(section, fleet),
    });
    let operator_addr = in_section(&root, "operators", |section| section.required("listen"));
    let coordination = in_section(&root, "coordinator", parse_coordination);
    let alarms = in_section(&root, "alarms", parse_alarms);
    let node = in_section(&root, "node", |section| {
        section.exists().then(|| parse_node(section))
    });
    let log = in_section(&root, "log", parse_log);
    root.finish();
    let node = match node {
        Some(Some(node)) => Some(node),
        // The table has a problem, which was added.
        Some(None) => return None,
        None => None,
    };
    Some(Config {
        name: general.name?,
        machine: general.machine,
        zone: general.zone,
        state_dir: general.state_dir?,
        listen: membership.addresses.listen?,
        advertise: membership.addresses.advertise?,
        seeds: membership.addresses.seeds,
        membership: membership.settings,
        operator_addr: operator_addr?,
        coordination,
        alarms,
        node,
        log_format: log.format,
        log_level: log.level,
    })
}

/// The keys above the first table. Those that are required are `None` only if a problem was added.
struct GeneralKeys {
    fleet: Option<String>,
    name: Option<Name>,
    machine: String,
    zone: String,
    state_dir: Option<PathBuf>,
}

fn parse_general(root: &Section<'_, '_>) -> GeneralKeys {
    let fleet: Option<String> = root.required("fleet");
    if fleet
        .as_ref()
        .is_some_and(|fleet| fleet.is_empty() || fleet.len() > MAX_FLEET_BYTES)
    {
        root.add_problem("fleet", None, "must be 1 to 64 bytes");
    }
    GeneralKeys {
        fleet,
        name: root.required("name"),
        machine: root.parsed("machine").unwrap_or_default(),
        zone: root.parsed("zone").unwrap_or_default(),
        state_dir: root.required::<String>("state-dir").map(PathBuf::from),
    }
}

/// Reads a table with `read`, then adds a problem for each unknown key in it.
fn in_section<'r, 't, T>(
    root: &Section<'r, 't>,
    key: &'static str,
    read: impl FnOnce(&Section<'r, 't>) -> T,
) -> T {
    let section = root.section(key);
    let value = read(&section);
    section.finish();
    value
}

/// The `membership` table.
struct MembershipTable {
    addresses: Addresses,
    settings: MembershipSettings,
}

/// The addresses of the `membership` table. `listen` and `advertise` are `None` only if a problem was added.
struct Addresses {
    listen: Option<SocketAddr>,
    advertise: Option<SocketAddr>,
    seeds: Vec<SocketAddr>,
}

fn parse_addresses(section: &Section<'_, '_>) -> Addresses {
    let listen: Option<SocketAddr> = section.required("listen");
    let explicit: Option<SocketAddr> = section.parsed("advertise");
    // Problems of the advertised address are reported for the key that it was taken from.
    let key = if explicit.is_some() {
        "advertise"
    } else {
        "listen"
    };
    let advertise = explicit.or(listen);
    if let Some(addr) = advertise {
        if addr.ip().is_unspecified() {
            let reason = format!(
                "{}: other agents can't reach an unspecified address: set advertise",
                addr.ip()
            );
            section.add_problem(key, None, reason);
        }
        if addr.port() == 0 {
            section.add_problem(key, None, "port 0: other agents need a fixed port");
        }
    }
    Addresses {
        listen,
        advertise,
        seeds: section.list("seeds").unwrap_or_default(),
    }
}

/// The settings of the `membership` table. A missing key has its default.
fn parse_membership(section: &Section<'_, '_>, fleet: String) -> MembershipSettings {
    let defaults = MembershipSettings::default();
    let duration = |key, default| section.duration(key).unwrap_or(default);
    let factor = |key, default: f64| section.number(key).unwrap_or(default);
    let count = |key, default: usize| section.number(key).unwrap_or(default);
    let probe_interval = duration("probe-interval", defaults.probe_interval);
    let rate_limit = MembershipSettings::default_rate_limit(probe_interval);
    let settings = MembershipSettings {
        fleet,
        probe_interval,
        probe_timeout: duration("probe-timeout", defaults.probe_timeout),
        indirect_probes: count("indirect-probes", defaults.indirect_probes),
        suspicion_mult: factor("suspicion-mult", defaults.suspicion_mult),
        suspicion_max_mult: factor("suspicion-max-mult", defaults.suspicion_max_mult),
        suspicion_confirmations: defaults.suspicion_confirmations,
        retransmit_mult: defaults.retransmit_mult,
        gossip_interval: duration("gossip-interval", defaults.gossip_interval),
        gossip_fanout: defaults.gossip_fanout,
        sync_interval: duration("sync-interval", defaults.sync_interval),
        rejoin_interval: duration("rejoin-interval", defaults.rejoin_interval),
        seed_interval: duration("seed-interval", defaults.seed_interval),
        convergence_timeout: duration("convergence-timeout", defaults.convergence_timeout),
        forget_after: duration("forget-after", defaults.forget_after),
        send_rate: count("rate", rate_limit.rate),
        send_burst: count("burst", rate_limit.burst),
        max_members: count("max-members", defaults.max_members),
        formats: FormatRange {
            newest: section.number("format").unwrap_or(defaults.formats.newest),
            ..defaults.formats
        },
    };
    for invalid in settings.validate() {
        section.add_problem(invalid.key, None, invalid.reason);
    }
    settings
}

/// The `coordinator` table.
fn parse_coordination(section: &Section<'_, '_>) -> CoordinationConfig {
    let defaults = LeaseSettings::default();
    let voters: Vec<Name> = section.list("voters").unwrap_or_default();
    let distinct: BTreeSet<&Name> = voters.iter().collect();
    if distinct.len() < voters.len() {
        section.add_problem("voters", None, "must not name a voter twice");
    }
    if voters.len() > MAX_VOTERS {
        section.add_problem("voters", None, "must be at most 7 voters: 3 or 5 are usual");
    }
    let lease = LeaseSettings {
        duration: section.duration("lease").unwrap_or(defaults.duration),
        drift: section.number("drift").unwrap_or(defaults.drift),
    };
    if !(0.0..=0.5).contains(&lease.drift) {
        section.add_problem("drift", None, "must be 0 to 0.5");
    }
    let tick = section.duration("tick").unwrap_or(DEFAULT_TICK);
    let election_ticks = section
        .number("election-ticks")
        .unwrap_or(DEFAULT_ELECTION_TICKS);
    if tick < MIN_TICK {
        section.add_problem("tick", None, "must be 10ms or more");
    }
    if !(3..=100).contains(&election_ticks) {
        section.add_problem("election-ticks", None, "must be 3 to 100");
    }
    if lease.duration < tick * MIN_LEASE_TICKS {
        section.add_problem("lease", None, "must be at least three ticks");
    }
    CoordinationConfig {
        voters,
        lease,
        tick,
        election_ticks,
    }
}

/// The `alarms` table.
fn parse_alarms(section: &Section<'_, '_>) -> AlarmSettings {
    let defaults = AlarmSettings::default();
    let settings = AlarmSettings {
        rejected_share: section
            .number("rejected")
            .unwrap_or(defaults.rejected_share),
        rejected_for: section
            .duration("rejected-for")
            .unwrap_or(defaults.rejected_for),
        lists_differ_for: section
            .duration("lists-differ-for")
            .unwrap_or(defaults.lists_differ_for),
        starts_per_minute: section
            .number("starts-per-minute")
            .unwrap_or(defaults.starts_per_minute),
    };
    if !(settings.rejected_share > 0.0 && settings.rejected_share <= 1.0) {
        section.add_problem("rejected", None, "must be above 0 and at most 1");
    }
    if settings.rejected_for > MAX_REJECTED_FOR {
        section.add_problem(
            "rejected-for",
            None,
            "must be at most 30m: counts are kept for an hour",
        );
    }
    if settings.starts_per_minute == 0 {
        section.add_problem("starts-per-minute", None, "must be 1 or more");
    }
    settings
}

/// The `node` table. Returns `None` only if a problem was added.
fn parse_node(section: &Section<'_, '_>) -> Option<NodeConfig> {
    let command: Option<Vec<String>> = section.required_list("command");
    if command
        .as_ref()
        .is_some_and(|command| command.first().is_none_or(String::is_empty))
    {
        section.add_problem("command", None, "must name a program");
    }
    let config: Option<String> = section.required("config");
    let listen: Option<SocketAddr> = section.required("listen");
    if listen.is_some_and(|addr| !matches!(addr.ip(), IpAddr::V4(_))) {
        section.add_problem("listen", None, "must be an IPv4 address");
    }
    let operator_addr: Option<SocketAddr> = section.required("operators");
    if operator_addr.is_some_and(|addr| addr.port() == 0) {
        section.add_problem("operators", None, "port 0: the agent needs a fixed port");
    }
    let supervision = parse_supervision(section);
    Some(NodeConfig {
        command: command?,
        config: PathBuf::from(config?),
        listen: listen?,
        operator_addr: operator_addr?,
        supervision,
    })
}

/// The keys of the `node` table that the supervisor uses.
fn parse_supervision(section: &Section<'_, '_>) -> SupervisorSettings {
    let defaults = SupervisorSettings::default();
    let duration = |key, default| section.duration(key).unwrap_or(default);
    let settings = SupervisorSettings {
        initial_backoff: duration("backoff", defaults.initial_backoff),
        max_backoff: duration("max-backoff", defaults.max_backoff),
        max_starts_per_minute: section
            .number("starts-per-minute")
            .unwrap_or(defaults.max_starts_per_minute),
        ready_timeout: duration("ready-timeout", defaults.ready_timeout),
        drain_timeout: duration("drain-timeout", defaults.drain_timeout),
        status_interval: duration("status-interval", defaults.status_interval),
        unresponsive_timeout: duration("unresponsive-timeout", defaults.unresponsive_timeout),
    };
    if settings.max_starts_per_minute == 0 {
        section.add_problem("starts-per-minute", None, "must be 1 or more");
    }
    if settings.initial_backoff.is_zero() || settings.initial_backoff > settings.max_backoff {
        let reason = format!(
            "must be above 0 and at most {}",
            section.key_in_use("max-backoff")
        );
        section.add_problem("backoff", None, reason);
    }
    if settings.status_interval < MIN_STATUS_INTERVAL {
        section.add_problem("status-interval", None, "must be 10ms or more");
    }
    settings
}

/// The `log` table.
struct LogSettings {
    format: LogFormat,
    level: tracing::Level,
}

fn parse_log(section: &Section<'_, '_>) -> LogSettings {
    LogSettings {
        format: section.parsed("format").unwrap_or(LogFormat::Text),
        level: section.parsed("level").unwrap_or(tracing::Level::INFO),
    }
}
