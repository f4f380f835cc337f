//! The agent's configuration: one TOML file, read whole or refused whole with every fault of it.

mod reader;

use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::str::FromStr;
use std::time::Duration;

use toml::de::DeTable;

pub use reader::Fault;
use reader::{Reader, Section};

use crate::lease::LeaseSettings;
use crate::membership::{self, Name};
use crate::metrics::AlarmSettings;
use crate::supervisor;

/// A file with every key, for `balancer-agent example`.
pub const EXAMPLE: &str = include_str!("example.toml");

/// A file that can't be used.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// It can't be read.
    #[error("{path}: {source}")]
    Unread {
        /// Which.
        path: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// It is not sound.
    #[error("{path}: {}", list(.faults))]
    Unsound {
        /// Which.
        path: PathBuf,
        /// All that is wrong.
        faults: Vec<Fault>,
    },
}

fn list(faults: &[Fault]) -> String {
    let count = if faults.len() == 1 {
        "1 fault".to_owned()
    } else {
        format!("{} faults", faults.len())
    };
    let lines: String = faults.iter().map(|fault| format!("\n  {fault}")).collect();
    format!("{count}{lines}")
}

/// How a log line looks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    /// For people.
    Text,
    /// One JSON object a line.
    Json,
}

impl FromStr for LogFormat {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<LogFormat, &'static str> {
        match text {
            "text" => Ok(LogFormat::Text),
            "json" => Ok(LogFormat::Json),
            _ => Err("must be text or json"),
        }
    }
}

/// The node that an agent runs.
#[derive(Clone, Debug, PartialEq)]
pub struct Node {
    /// The program and its arguments.
    pub command: Vec<String>,
    /// The node's own configuration file.
    pub config: PathBuf,
    /// Where clients connect; the agent holds the socket.
    pub listen: SocketAddr,
    /// Where the node's operators call.
    pub operators: SocketAddr,
    /// When it is started and ended.
    pub supervise: supervisor::Settings,
}

/// Who votes, and the duties' windows.
#[derive(Clone, Debug, PartialEq)]
pub struct Duties {
    /// Names of the voters; empty for a fleet without duties.
    pub voters: Vec<Name>,
    /// Leases.
    pub lease: LeaseSettings,
    /// The agreed log's step: a leader's heartbeat.
    pub tick: Duration,
    /// Steps without a leader before an election.
    pub election_ticks: usize,
}

/// All of it.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// The agent's name.
    pub name: Name,
    /// Its machine, for people.
    pub machine: String,
    /// Its zone.
    pub zone: String,
    /// What is kept lies here.
    pub state_dir: PathBuf,
    /// Where other agents' datagrams and calls come in.
    pub listen: SocketAddr,
    /// Where they are sent to.
    pub advertise: SocketAddr,
    /// Addresses to join by.
    pub seeds: Vec<SocketAddr>,
    /// Membership's windows, with the fleet's name.
    pub membership: membership::Settings,
    /// Where staff call.
    pub operators: SocketAddr,
    /// The duties.
    pub duties: Duties,
    /// When staff are alarmed.
    pub watch: AlarmSettings,
    /// The node, if it runs one.
    pub node: Option<Node>,
    /// How log lines look.
    pub log_format: LogFormat,
    /// The least level that is logged.
    pub log_level: tracing::Level,
}

impl Config {
    /// Reads a file.
    pub fn load(path: &Path) -> Result<Config, ConfigError> {
        let text = std::fs::read_to_string(path).map_err(|source| ConfigError::Unread {
            path: path.to_owned(),
            source,
        })?;
        Config::read(&text).map_err(|faults| ConfigError::Unsound {
            path: path.to_owned(),
            faults,
        })
    }

    /// Reads a text; every fault where there are some.
    pub fn read(text: &str) -> Result<Config, Vec<Fault>> {
        let reader = Reader::new(text);
        let config = match DeTable::parse(text) {
            Ok(table) => read(&reader, table.get_ref()),
            Err(error) => {
                reader.fault(
                    error.span().map(|span| span.start),
                    "the file",
                    error.message(),
                );
                None
            }
        };
        let faults = reader.into_faults();
        config.filter(|_| faults.is_empty()).ok_or(faults)
    }
}

/// `None` only where a fault was noted.
fn read<'t>(reader: &Reader<'t>, table: &DeTable<'t>) -> Option<Config> {
    let root = Section::root(reader, table);
    let fleet: Option<String> = root.required("fleet", root.parsed("fleet"));
    if fleet
        .as_ref()
        .is_some_and(|fleet| fleet.is_empty() || fleet.len() > 64)
    {
        root.wrong("fleet", None, "must be 1 to 64 bytes");
    }
    let name = root.required("name", root.parsed::<Name>("name"));
    let machine = root.parsed("machine").unwrap_or_default();
    let zone = root.parsed("zone").unwrap_or_default();
    let state_dir: Option<String> = root.required("state-dir", root.parsed("state-dir"));
    let plane = root.section("membership");
    let (listen, advertise, seeds) = addresses(&plane);
    let membership = windows(&plane, fleet.unwrap_or_default());
    plane.finish();
    let staff = root.section("operators");
    let operators = staff.required("listen", staff.parsed("listen"));
    staff.finish();
    let agreed = root.section("duties");
    let duties = duties(&agreed);
    agreed.finish();
    let alarms = root.section("watch");
    let watch = watch(&alarms);
    alarms.finish();
    let own = root.section("node");
    let node = if own.is_there() {
        Some(node(&own))
    } else {
        None
    };
    own.finish();
    let log = root.section("log");
    let log_format = log.parsed("format").unwrap_or(LogFormat::Text);
    let log_level = log.parsed("level").unwrap_or(tracing::Level::INFO);
    log.finish();
    root.finish();
    let node = match node {
        Some(node) => Some(node?),
        None => None,
    };
    Some(Config {
        name: name?,
        machine,
        zone,
        state_dir: PathBuf::from(state_dir?),
        listen: listen?,
        advertise: advertise?,
        seeds,
        membership,
        operators: operators?,
        duties,
        watch,
        node,
        log_format,
        log_level,
    })
}

fn addresses(plane: &Section<'_, '_>) -> (Option<SocketAddr>, Option<SocketAddr>, Vec<SocketAddr>) {
    let listen: Option<SocketAddr> = plane.required("listen", plane.parsed("listen"));
    let said: Option<SocketAddr> = plane.parsed("advertise");
    let advertise = said.or(listen);
    if let Some(addr) = advertise {
        let key = if said.is_some() {
            "advertise"
        } else {
            "listen"
        };
        if addr.ip().is_unspecified() {
            plane.wrong(
                key,
                None,
                format!("{}: others can't reach that: set advertise", addr.ip()),
            );
        }
        if addr.port() == 0 {
            plane.wrong(key, None, "port 0: others have to know it");
        }
    }
    (listen, advertise, plane.list("seeds").unwrap_or_default())
}

fn windows(plane: &Section<'_, '_>, fleet: String) -> membership::Settings {
    let usual = membership::Settings::default();
    let probe_interval = plane.span("probe-interval").unwrap_or(usual.probe_interval);
    let default_limit = membership::Settings::default_rate_limit(probe_interval);
    let settings = membership::Settings {
        fleet,
        probe_interval,
        probe_timeout: plane.span("probe-timeout").unwrap_or(usual.probe_timeout),
        indirect_probes: plane
            .number("indirect-probes")
            .unwrap_or(usual.indirect_probes),
        suspicion_mult: plane
            .number("suspicion-mult")
            .unwrap_or(usual.suspicion_mult),
        suspicion_max_mult: plane
            .number("suspicion-max-mult")
            .unwrap_or(usual.suspicion_max_mult),
        suspicion_confirmations: usual.suspicion_confirmations,
        retransmit_mult: usual.retransmit_mult,
        gossip_interval: plane
            .span("gossip-interval")
            .unwrap_or(usual.gossip_interval),
        gossip_fanout: usual.gossip_fanout,
        sync_interval: plane.span("sync-interval").unwrap_or(usual.sync_interval),
        rejoin_interval: plane
            .span("rejoin-interval")
            .unwrap_or(usual.rejoin_interval),
        seed_interval: plane.span("seed-interval").unwrap_or(usual.seed_interval),
        settle: plane.span("settle").unwrap_or(usual.settle),
        forget_after: plane.span("hold").unwrap_or(usual.forget_after),
        send_rate: plane.number("rate").unwrap_or(default_limit.rate),
        send_burst: plane.number("burst").unwrap_or(default_limit.burst),
        max_members: plane.number("most-members").unwrap_or(usual.max_members),
        formats: membership::FormatRange {
            newest: plane.number("format").unwrap_or(usual.formats.newest),
            ..usual.formats
        },
    };
    for fault in settings.validate() {
        plane.wrong(fault.key, None, fault.reason);
    }
    settings
}

fn duties(agreed: &Section<'_, '_>) -> Duties {
    let usual = LeaseSettings::default();
    let voters: Vec<Name> = agreed.list("voters").unwrap_or_default();
    let distinct: std::collections::BTreeSet<&Name> = voters.iter().collect();
    if distinct.len() < voters.len() {
        agreed.wrong("voters", None, "names one twice");
    }
    if voters.len() > 7 {
        agreed.wrong("voters", None, "must be 7 at most: 3 or 5 are usual");
    }
    let lease = LeaseSettings {
        duration: agreed.span("lease").unwrap_or(usual.duration),
        drift: agreed.number("drift").unwrap_or(usual.drift),
    };
    if !(0.0..=0.5).contains(&lease.drift) {
        agreed.wrong("drift", None, "must be 0 to 0.5");
    }
    let tick = agreed.span("tick").unwrap_or(Duration::from_millis(100));
    let election_ticks = agreed.number("election-ticks").unwrap_or(10);
    if tick < Duration::from_millis(10) {
        agreed.wrong("tick", None, "must be 10ms or more");
    }
    if !(3..=100).contains(&election_ticks) {
        agreed.wrong("election-ticks", None, "must be 3 to 100");
    }
    if lease.duration < tick * 3 {
        agreed.wrong("lease", None, "must be three ticks or more");
    }
    Duties {
        voters,
        lease,
        tick,
        election_ticks,
    }
}

fn watch(alarms: &Section<'_, '_>) -> AlarmSettings {
    let usual = AlarmSettings::default();
    let settings = AlarmSettings {
        rejected_share: alarms.number("refused").unwrap_or(usual.rejected_share),
        rejected_for: alarms.span("refused-for").unwrap_or(usual.rejected_for),
        lists_differ_for: alarms
            .span("lists-differ-for")
            .unwrap_or(usual.lists_differ_for),
        starts_per_minute: alarms
            .number("starts-per-minute")
            .unwrap_or(usual.starts_per_minute),
    };
    if !(settings.rejected_share > 0.0 && settings.rejected_share <= 1.0) {
        alarms.wrong("refused", None, "must be above 0 and at most 1");
    }
    if settings.rejected_for > Duration::from_secs(1_800) {
        alarms.wrong(
            "refused-for",
            None,
            "must be 30m at most: figures are kept for an hour",
        );
    }
    if settings.starts_per_minute == 0 {
        alarms.wrong("starts-per-minute", None, "must be 1 or more");
    }
    settings
}

fn node(own: &Section<'_, '_>) -> Option<Node> {
    let command: Option<Vec<String>> = own.required("command", own.list("command"));
    if command
        .as_ref()
        .is_some_and(|command| command.first().is_none_or(String::is_empty))
    {
        own.wrong("command", None, "names no program");
    }
    let config: Option<String> = own.required("config", own.parsed("config"));
    let listen: Option<SocketAddr> = own.required("listen", own.parsed("listen"));
    if listen.is_some_and(|addr| !matches!(addr.ip(), IpAddr::V4(_))) {
        own.wrong("listen", None, "a node listens on IPv4");
    }
    let operators: Option<SocketAddr> = own.required("operators", own.parsed("operators"));
    if operators.is_some_and(|addr| addr.port() == 0) {
        own.wrong("operators", None, "port 0: the agent has to know it");
    }
    let usual = supervisor::Settings::default();
    let supervise = supervisor::Settings {
        initial_backoff: own.span("backoff").unwrap_or(usual.initial_backoff),
        max_backoff: own.span("backoff-most").unwrap_or(usual.max_backoff),
        max_starts_per_minute: own
            .number("starts-per-minute")
            .unwrap_or(usual.max_starts_per_minute),
        ready_timeout: own.span("ready-within").unwrap_or(usual.ready_timeout),
        drain_timeout: own.span("drain-within").unwrap_or(usual.drain_timeout),
        status_interval: own.span("status-interval").unwrap_or(usual.status_interval),
        unresponsive_timeout: own
            .span("silent-limit")
            .unwrap_or(usual.unresponsive_timeout),
    };
    if supervise.max_starts_per_minute == 0 {
        own.wrong("starts-per-minute", None, "must be 1 or more");
    }
    if supervise.initial_backoff.is_zero() || supervise.initial_backoff > supervise.max_backoff {
        own.wrong(
            "backoff",
            None,
            "must be above 0 and not above backoff-most",
        );
    }
    if supervise.status_interval < Duration::from_millis(10) {
        own.wrong("status-interval", None, "must be 10ms or more");
    }
    Some(Node {
        command: command?,
        config: PathBuf::from(config?),
        listen: listen?,
        operators: operators?,
        supervise,
    })
}

#[cfg(test)]
mod tests;
