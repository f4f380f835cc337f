//! The fields of a scenario file, with their units and defaults. `testbed/scenarios/README.md` describes them
//! for authors of scenario files.

use serde::Deserialize;
use toml::Spanned;

use super::discovery::Discovery;
use super::values::{Positive, Seconds, Share, ValueRange};

/// A scenario: the conditions of one run. Fields that a file leaves out have the defaults of this module.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Title in one line, shown in the list of scenarios.
    pub title: String,
    /// Duration of the load and number of nodes and servers.
    #[serde(default)]
    pub run: Run,
    /// The servers and the zones.
    #[serde(default)]
    pub fleet: Fleet,
    /// Rate, classes and keys of the requests.
    #[serde(default)]
    pub load: Load,
    /// Retries, time-outs and early abandonment of the clients.
    #[serde(default)]
    pub clients: Clients,
    /// Network latency.
    #[serde(default)]
    pub network: Network,
    /// Delays of discovery.
    #[serde(default)]
    pub discovery: Discovery,
    /// Faults that are injected, with their times.
    #[serde(default, rename = "trouble")]
    pub faults: Vec<Spanned<Fault>>,
}

/// Duration and size of a run. Options on the command line override them.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Run {
    /// Duration of the load.
    pub seconds: Seconds,
    /// Number of nodes, 1 to 100.
    pub nodes: usize,
    /// Number of servers at the start, 1 to 250.
    pub servers: usize,
    /// Number of nodes in the nodes' settings. Defaults to the actual number.
    #[serde(rename = "told_nodes")]
    pub configured_node_count: Option<u32>,
    /// Memory limit in the nodes' settings, in MB.
    #[serde(rename = "memory_mb")]
    pub memory_limit_mb: Positive,
    /// Limit on file descriptors in the nodes' settings.
    #[serde(rename = "sockets")]
    pub descriptor_limit: usize,
}

impl Default for Run {
    fn default() -> Self {
        Run {
            seconds: Seconds(20.0),
            nodes: 2,
            servers: 9,
            configured_node_count: None,
            memory_limit_mb: Positive(64.0),
            descriptor_limit: 1024,
        }
    }
}

/// The servers and the zones.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fleet {
    /// Names of the zones. Servers, nodes and clients are spread over them.
    pub zones: Vec<String>,
    /// Number of consecutive servers with the same cell number in the endpoint list.
    pub cell_size: usize,
    /// Share of the work that a server saves on a key in its cache.
    #[serde(rename = "key_gain")]
    pub key_cache_saving: ValueRange,
    /// Seconds for which a server keeps a key in its cache.
    #[serde(rename = "key_memory_s")]
    pub key_cache_ttl_s: ValueRange,
    /// Capacity of the key cache, in keys per core.
    #[serde(rename = "keys_per_core")]
    pub cached_keys_per_core: ValueRange,
    /// Connections that a server accepts, per core.
    pub connections_per_core: ValueRange,
    /// Milliseconds of work that a new connection costs the server.
    pub handshake_ms: ValueRange,
    /// Share of the capacity that is lost when the connection table is full.
    #[serde(rename = "full_table_tax")]
    pub full_connection_table_cost: ValueRange,
    /// Milliseconds of work that a health check costs the server.
    pub probe_ms: ValueRange,
    /// Seconds without a request after which a server closes a connection.
    #[serde(rename = "idle_close_s")]
    pub idle_timeout_s: Seconds,
    /// A cold server that is sent more than this multiple of its current capacity crashes.
    #[serde(rename = "fall_multiple")]
    pub cold_overload_factor: Positive,
    /// Seconds over which the work for `cold_overload_factor` is summed.
    #[serde(rename = "fall_s")]
    pub cold_overload_window_s: Seconds,
    /// When a server becomes congested, and when it recovers.
    #[serde(rename = "jam")]
    pub congestion: Congestion,
    /// The kinds of machine.
    pub kind: Vec<MachineKind>,
}

impl Default for Fleet {
    fn default() -> Self {
        Fleet {
            zones: vec!["bilbao".into(), "santander".into()],
            cell_size: 8,
            key_cache_saving: ValueRange::new(0.43, 0.66),
            key_cache_ttl_s: ValueRange::new(2.3, 12.0),
            cached_keys_per_core: ValueRange::new(15.0, 31.0),
            connections_per_core: ValueRange::new(600.0, 900.0),
            handshake_ms: ValueRange::new(1.0, 3.0),
            full_connection_table_cost: ValueRange::new(0.16, 0.4),
            probe_ms: ValueRange::new(0.068, 0.14),
            idle_timeout_s: Seconds(5.0),
            cold_overload_factor: Positive(3.0),
            cold_overload_window_s: Seconds(3.0),
            congestion: Congestion::default(),
            kind: [
                ("fast", 0.32, 1.4, 1.8),
                ("standard", 0.25, 0.85, 1.1),
                ("slow", 0.43, 0.51, 0.69),
            ]
            .map(|(name, share, low, high)| MachineKind {
                name: name.into(),
                share: Share(share),
                speed: ValueRange::new(low, high),
                ..MachineKind::default()
            })
            .into(),
        }
    }
}

/// Congestion: a server that holds too many requests for some time becomes slower, and stays so until it has held
/// few requests for some time.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Congestion {
    /// Requests per core above which a server becomes congested after `onset_s`.
    #[serde(rename = "held_per_core")]
    pub requests_per_core: ValueRange,
    /// Seconds above `requests_per_core` until the server is congested.
    #[serde(rename = "after_s")]
    pub onset_s: ValueRange,
    /// Factor by which a congested server is slower.
    #[serde(rename = "slower")]
    pub slowdown: ValueRange,
    /// Seconds below `recovery_requests_per_core` that end the congestion.
    #[serde(rename = "rest_s")]
    pub recovery_s: ValueRange,
    /// Requests per core below which a congested server recovers.
    #[serde(rename = "rest_below")]
    pub recovery_requests_per_core: ValueRange,
    /// Seconds after which the congestion ends in any case.
    #[serde(rename = "most_s")]
    pub max_duration_s: ValueRange,
}

impl Default for Congestion {
    fn default() -> Self {
        Congestion {
            requests_per_core: ValueRange::new(4.0, 7.0),
            onset_s: ValueRange::new(1.5, 2.5),
            slowdown: ValueRange::new(2.3, 3.3),
            recovery_s: ValueRange::new(2.0, 5.0),
            recovery_requests_per_core: ValueRange::new(0.25, 0.4),
            max_duration_s: ValueRange::new(15.0, 28.0),
        }
    }
}

/// A kind of machine.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct MachineKind {
    /// Name in the endpoint list.
    pub name: String,
    /// Share of the servers. The shares of all kinds are scaled to a sum of 1.
    pub share: Share,
    /// Number of cores.
    pub cores: usize,
    /// Speed of a core: the work that it does per second, in seconds. Classes state their work for a core of speed 1.
    pub speed: ValueRange,
    /// Requests processed at the same time, per core.
    pub slots_per_core: ValueRange,
    /// Length of the queue, per core. Further requests are rejected.
    pub queue_per_core: ValueRange,
    /// Slowdown for each request per core in process beyond `concurrency_penalty_from`.
    #[serde(rename = "crowding")]
    pub concurrency_penalty: ValueRange,
    /// Requests per core in process above which `concurrency_penalty` applies.
    #[serde(rename = "crowded_at")]
    pub concurrency_penalty_from: ValueRange,
    /// Share of its full capacity that a server has right after its start.
    #[serde(rename = "cold_from")]
    pub cold_capacity: ValueRange,
    /// Seconds after a start until the server has its full capacity.
    #[serde(rename = "cold_s")]
    pub warm_up_s: ValueRange,
    /// Seconds between pauses.
    #[serde(rename = "pause_every_s")]
    pub pause_interval_s: ValueRange,
    /// Duration of a pause, in milliseconds.
    pub pause_ms: ValueRange,
    /// Share of the requests that fail without an injected fault.
    pub error_rate: ValueRange,
}

impl Default for MachineKind {
    fn default() -> Self {
        MachineKind {
            name: "standard".into(),
            share: Share(1.0),
            cores: 2,
            speed: ValueRange::new(0.85, 1.1),
            slots_per_core: ValueRange::new(5.0, 12.0),
            queue_per_core: ValueRange::new(210.0, 570.0),
            concurrency_penalty: ValueRange::new(0.04, 0.13),
            concurrency_penalty_from: ValueRange::new(9.3, 16.0),
            cold_capacity: ValueRange::new(0.14, 0.32),
            warm_up_s: ValueRange::new(14.0, 23.0),
            pause_interval_s: ValueRange::new(3.0, 11.0),
            pause_ms: ValueRange::new(0.0, 60.0),
            error_rate: ValueRange::new(0.0, 0.002),
        }
    }
}

/// Rate, classes and keys of the requests.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Load {
    /// Work requested, relative to the capacity of all servers when warm.
    #[serde(rename = "level")]
    pub offered_load: Positive,
    /// Factor for the work of all requests. The rate changes inversely: 0.1 gives ten times as many requests
    /// of a tenth of the work.
    pub work_scale: Positive,
    /// Amplitude of the periodic change of the rate, as a share of the mean rate.
    #[serde(rename = "swing")]
    pub rate_amplitude: ValueRange,
    /// Share of a zone's traffic that moves to another zone.
    pub zone_skew: ValueRange,
    /// Number of different keys.
    pub keys: ValueRange,
    /// Exponent of the Zipf distribution of the keys' popularity.
    #[serde(rename = "key_zipf")]
    pub key_zipf_exponent: ValueRange,
    /// Error of the cost hint: standard deviation of its logarithm.
    #[serde(rename = "hint_noise")]
    pub cost_hint_noise: Positive,
    /// The classes of requests.
    pub class: Vec<Class>,
}

impl Default for Load {
    fn default() -> Self {
        Load {
            offered_load: Positive(0.4),
            work_scale: Positive(1.0),
            rate_amplitude: ValueRange::new(0.18, 0.37),
            zone_skew: ValueRange::new(0.15, 0.45),
            keys: ValueRange::new(670.0, 1800.0),
            key_zipf_exponent: ValueRange::new(0.58, 0.83),
            cost_hint_noise: Positive(0.2),
            class: vec![
                Class::default(),
                Class {
                    name: "earn".into(),
                    share: Share(0.34),
                    work_ms: ValueRange::new(35.0, 64.0),
                    io_wait_ms: ValueRange::new(47.0, 88.0),
                    work_variation: ValueRange::new(0.7, 1.4),
                    latency_objective_ms: Positive(400.0),
                    deadline_ms: Positive(800.0),
                    priority_weight: Positive(2.0),
                    late_value: Share(0.3),
                    retry_safety: RetrySafety::Unsafe,
                    ..Class::default()
                },
                Class {
                    name: "redeem".into(),
                    share: Share(0.18),
                    work_ms: ValueRange::new(64.0, 120.0),
                    io_wait_ms: ValueRange::new(85.0, 160.0),
                    work_variation: ValueRange::new(1.0, 1.4),
                    latency_objective_ms: Positive(1200.0),
                    deadline_ms: Positive(3000.0),
                    priority_weight: Positive(3.0),
                    late_value: Share(0.5),
                    retry_safety: RetrySafety::Unsafe,
                    ..Class::default()
                },
            ],
        }
    }
}

/// A class of requests.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Class {
    /// Name, as the `X-Lane` header carries it.
    pub name: String,
    /// Share of the requests. The shares of all classes are scaled to a sum of 1.
    pub share: Share,
    /// Mean work in milliseconds of a core of speed 1.
    pub work_ms: ValueRange,
    /// Milliseconds of waiting for I/O, which occupy a slot and no core.
    #[serde(rename = "io_ms")]
    pub io_wait_ms: ValueRange,
    /// Coefficient of variation of the work (log-normal).
    #[serde(rename = "spread")]
    pub work_variation: ValueRange,
    /// A response within this many milliseconds counts with its full value.
    #[serde(rename = "aim_ms")]
    pub latency_objective_ms: Positive,
    /// Milliseconds after which the client gives up.
    pub deadline_ms: Positive,
    /// Value of a unit of work.
    #[serde(rename = "worth")]
    pub priority_weight: Positive,
    /// Share of the value that a response after the latency objective counts for.
    #[serde(rename = "late_worth")]
    pub late_value: Share,
    /// Whether a request may be executed more than once.
    #[serde(rename = "repeats")]
    pub retry_safety: RetrySafety,
    /// Bytes of the request body. Requests that are safe to repeat have none.
    pub body_bytes: ValueRange,
    /// Bytes of the response body.
    #[serde(rename = "answer_bytes")]
    pub response_bytes: ValueRange,
}

impl Default for Class {
    fn default() -> Self {
        Class {
            name: "balance".into(),
            share: Share(0.48),
            work_ms: ValueRange::new(30.0, 54.0),
            io_wait_ms: ValueRange::new(27.0, 49.0),
            work_variation: ValueRange::new(0.85, 1.4),
            latency_objective_ms: Positive(500.0),
            deadline_ms: Positive(2000.0),
            priority_weight: Positive(1.0),
            late_value: Share(0.25),
            retry_safety: RetrySafety::Safe,
            body_bytes: ValueRange::new(100.0, 300.0),
            response_bytes: ValueRange::new(100.0, 400.0),
        }
    }
}

/// Whether a request may be executed more than once.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum RetrySafety {
    /// It may be repeated without limit.
    Safe,
    /// It must not be executed twice.
    Unsafe,
}

/// Retries, time-outs and early abandonment of the clients.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Clients {
    /// Number of tries after the first.
    pub retries: ValueRange,
    /// Time-out of a try, as a share of the class's deadline.
    #[serde(rename = "try_share")]
    pub try_timeout_share: ValueRange,
    /// Milliseconds before the first retry. The wait doubles with each further retry.
    pub backoff_ms: ValueRange,
    /// Share of the clients that honor `Retry-After`.
    #[serde(rename = "honour")]
    pub honor_retry_after_share: ValueRange,
    /// Longest `Retry-After` that they honor, in milliseconds.
    #[serde(rename = "honour_most_ms")]
    pub max_retry_after_ms: Positive,
    /// Share of the requests whose client abandons them before the announced time-out.
    #[serde(rename = "impatient")]
    pub early_abandon_share: Share,
    /// Seconds until a front end notices a dead node.
    #[serde(rename = "front_notice_s")]
    pub front_end_detection_s: ValueRange,
}

impl Default for Clients {
    fn default() -> Self {
        Clients {
            retries: ValueRange::new(1.0, 2.0),
            try_timeout_share: ValueRange::new(0.5, 0.8),
            backoff_ms: ValueRange::new(31.0, 250.0),
            honor_retry_after_share: ValueRange::new(0.7, 1.0),
            max_retry_after_ms: Positive(2000.0),
            early_abandon_share: Share(0.0),
            front_end_detection_s: ValueRange::new(1.2, 3.7),
        }
    }
}

/// One-way network latency, in milliseconds.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Network {
    /// Between a node and a server of the same zone.
    #[serde(rename = "same_ms")]
    pub same_zone_ms: ValueRange,
    /// Between a node and a server of another zone.
    #[serde(rename = "cross_ms")]
    pub cross_zone_ms: ValueRange,
}

impl Default for Network {
    fn default() -> Self {
        Network {
            same_zone_ms: ValueRange::new(0.081, 0.34),
            cross_zone_ms: ValueRange::new(1.1, 2.1),
        }
    }
}

/// A fault that is injected. [`FaultKind`] says which of the fields each kind requires.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// Seconds from the start of the load.
    pub at_s: Seconds,
    /// The kind of fault.
    pub kind: FaultKind,
    /// Seconds that the fault lasts, or that a process is down.
    #[serde(default)]
    pub for_s: Option<Seconds>,
    /// Share of the servers or nodes affected, at least one.
    #[serde(default, rename = "part")]
    pub share: Option<Share>,
    /// Share of the requests that fail, or factor of the slowdown or of the load.
    #[serde(default, rename = "size")]
    pub magnitude: Option<Positive>,
    /// Name of the zone affected.
    #[serde(default)]
    pub zone: Option<String>,
    /// Seconds between one server or node and the next.
    #[serde(default, rename = "step_s")]
    pub stagger_s: Option<Seconds>,
}

/// The kinds of fault, with the keys of a scenario file that set their extent.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Hash)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// `part` of the servers fail a share `size` of their requests without work, for `for_s`.
    FastErrors,
    /// `part` of the servers are `size` times slower for `for_s`.
    Slow,
    /// `part` of the servers do not respond for `for_s`. Then their connections are reset.
    Silent,
    /// `part` of the servers crash and start again, cold, after `for_s`.
    Restart,
    /// `part` of the servers drain and are replaced by new, cold machines, one every `step_s`.
    Replace,
    /// All servers of `zone` are down for `for_s` and come back cold.
    LostZone,
    /// Discovery does not respond for `for_s`. Calls made meanwhile are answered at its return.
    DiscoveryAway,
    /// Discovery hangs for `for_s`: connections open then and calls made until its return are never answered.
    DiscoveryHangs,
    /// Discovery resets all connections for `for_s`.
    DiscoveryResets,
    /// Discovery ends its watches and answers calls with 503 for `for_s`.
    DiscoveryErrors,
    /// Discovery moves to another address: the nodes get a new configuration file and SIGHUP.
    DiscoveryMoves,
    /// Discovery lists `part` of the servers as terminated for `for_s`, though they serve.
    DiscoveryWrong,
    /// `part` of the nodes are killed with SIGKILL and start again after `for_s`.
    NodeCrash,
    /// `part` of the nodes get SIGTERM, one every `step_s`, and start again after `for_s`.
    NodeRoll,
    /// `part` of the nodes are replaced, one every `step_s`, by a second process while they serve.
    Upgrade,
    /// Operators cordon `part` of the servers for `for_s`. Each is restarted meanwhile.
    #[serde(rename = "hand")]
    Cordon,
    /// Operators put `part` of the nodes on standby for `for_s`.
    Drain,
    /// The load is `size` times as high for `for_s`.
    Burst,
}

impl FaultKind {
    /// The value of `kind` in scenario files.
    pub fn name(self) -> String {
        // The names in files are those of the variants in kebab case, except for `hand`.
        if self == FaultKind::Cordon {
            return "hand".to_owned();
        }
        let mut name = String::new();
        for c in format!("{self:?}").chars() {
            if c.is_uppercase() && !name.is_empty() {
                name.push('-');
            }
            name.extend(c.to_lowercase());
        }
        name
    }

    /// The keys that a file must set for this kind besides `kind` and `at_s`.
    pub fn required_keys(self) -> &'static [&'static str] {
        use FaultKind::*;
        match self {
            FastErrors | Slow => &["for_s", "part", "size"],
            Silent | Restart | DiscoveryWrong | NodeCrash | Cordon | Drain => &["for_s", "part"],
            Replace | Upgrade => &["part", "step_s"],
            LostZone => &["for_s", "zone"],
            DiscoveryAway | DiscoveryHangs | DiscoveryResets | DiscoveryErrors => &["for_s"],
            DiscoveryMoves => &[],
            NodeRoll => &["for_s", "part", "step_s"],
            Burst => &["for_s", "size"],
        }
    }
}
