//! Owns the form of a scenario file, field by field with its unit and default. It draws nothing and
//! plays nothing. `lab/scenarios/README.md` says the same for those who write files.

use serde::Deserialize;
use toml::Spanned;

use super::discovery::Discovery;
use super::values::{Positive, Seconds, Share, Span};

/// A scenario: what a day holds. What a file leaves out keeps the defaults of `bilbao-main`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// One line for the list of scenarios.
    pub title: String,
    /// How long and how many.
    #[serde(default)]
    pub run: Run,
    /// The servers.
    #[serde(default)]
    pub fleet: Fleet,
    /// What clients ask.
    #[serde(default)]
    pub load: Load,
    /// How clients behave.
    #[serde(default)]
    pub clients: Clients,
    /// Delays.
    #[serde(default)]
    pub network: Network,
    /// The list of servers.
    #[serde(default)]
    pub discovery: Discovery,
    /// What goes wrong, and when.
    #[serde(default, rename = "trouble")]
    pub faults: Vec<Spanned<Fault>>,
}

/// Length and size; the command line may say otherwise.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Run {
    /// Seconds of load.
    pub seconds: Seconds,
    /// Nodes.
    pub nodes: usize,
    /// Servers at the start.
    pub servers: usize,
    /// Nodes that share the servers, as the nodes are told; without it, as many as there are.
    pub told_nodes: Option<u32>,
    /// Memory limit that a node is told, in MB.
    #[serde(rename = "memory_mb")]
    pub memory_limit_mb: Positive,
    /// Descriptor limit that a node is told.
    #[serde(rename = "sockets")]
    pub descriptor_limit: usize,
}

impl Default for Run {
    fn default() -> Self {
        Run {
            seconds: Seconds(20.0),
            nodes: 2,
            servers: 9,
            told_nodes: None,
            memory_limit_mb: Positive(64.0),
            descriptor_limit: 1024,
        }
    }
}

/// The servers.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fleet {
    /// Names of the data centres; servers, nodes and clients are spread over them.
    pub zones: Vec<String>,
    /// Servers that share a cell number on the list.
    pub cell_size: usize,
    /// Less work (share) for a key met lately.
    pub key_gain: Span,
    /// Seconds for which a key is remembered.
    pub key_memory_s: Span,
    /// Keys remembered per core.
    pub keys_per_core: Span,
    /// Connections accepted per core.
    pub connections_per_core: Span,
    /// Milliseconds of work that a new connection costs.
    pub handshake_ms: Span,
    /// Share of capacity that a full connection table takes.
    pub full_table_tax: Span,
    /// Milliseconds of work that a probe costs.
    pub probe_ms: Span,
    /// Seconds without a request after which a server closes a connection.
    #[serde(rename = "idle_close_s")]
    pub idle_timeout_s: Seconds,
    /// A cold server sent more than this multiple of its present capacity falls over.
    #[serde(rename = "fall_multiple")]
    pub cold_overload_factor: Positive,
    /// Seconds over which that is counted.
    #[serde(rename = "fall_s")]
    pub cold_overload_window_s: Seconds,
    /// When a server jams.
    pub jam: Jam,
    /// The kinds of machine.
    pub kind: Vec<Kind>,
}

impl Default for Fleet {
    fn default() -> Self {
        Fleet {
            zones: vec!["bilbao".into(), "santander".into()],
            cell_size: 8,
            key_gain: Span::new(0.43, 0.66),
            key_memory_s: Span::new(2.3, 12.0),
            keys_per_core: Span::new(15.0, 31.0),
            connections_per_core: Span::new(600.0, 900.0),
            handshake_ms: Span::new(1.0, 3.0),
            full_table_tax: Span::new(0.16, 0.4),
            probe_ms: Span::new(0.068, 0.14),
            idle_timeout_s: Seconds(5.0),
            cold_overload_factor: Positive(3.0),
            cold_overload_window_s: Seconds(3.0),
            jam: Jam::default(),
            kind: [
                ("fast", 0.32, 1.4, 1.8),
                ("standard", 0.25, 0.85, 1.1),
                ("slow", 0.43, 0.51, 0.69),
            ]
            .map(|(name, share, low, high)| Kind {
                name: name.into(),
                share: Share(share),
                speed: Span::new(low, high),
                ..Kind::default()
            })
            .into(),
        }
    }
}

/// Too many requests waiting for some seconds make a server slower until it has rested.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Jam {
    /// Requests held per core from which it counts.
    pub held_per_core: Span,
    /// Seconds of that until it jams.
    pub after_s: Span,
    /// How many times slower it is then.
    pub slower: Span,
    /// Seconds of rest that end it.
    pub rest_s: Span,
    /// Requests held per core that still count as rest.
    pub rest_below: Span,
    /// Seconds after which it ends in any case.
    pub most_s: Span,
}

impl Default for Jam {
    fn default() -> Self {
        Jam {
            held_per_core: Span::new(4.0, 7.0),
            after_s: Span::new(1.5, 2.5),
            slower: Span::new(2.3, 3.3),
            rest_s: Span::new(2.0, 5.0),
            rest_below: Span::new(0.25, 0.4),
            most_s: Span::new(15.0, 28.0),
        }
    }
}

/// A kind of machine.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Kind {
    /// Its name on the list.
    pub name: String,
    /// Its part of the fleet; the parts are scaled to 1.
    pub share: Share,
    /// Cores.
    pub cores: usize,
    /// Work that a core does in a second, in seconds of the yardstick's.
    pub speed: Span,
    /// Requests in work per core.
    pub slots_per_core: Span,
    /// Requests waiting per core; further ones are turned away.
    pub queue_per_core: Span,
    /// Capacity lost for each request in work per core beyond `crowded_at`.
    pub crowding: Span,
    /// Requests in work per core from which crowding counts.
    pub crowded_at: Span,
    /// Share of its capacity at the start.
    pub cold_from: Span,
    /// Seconds until it is warm.
    pub cold_s: Span,
    /// Seconds between pauses.
    pub pause_every_s: Span,
    /// Milliseconds of a pause.
    pub pause_ms: Span,
    /// Share of requests that fail of themselves.
    pub error_rate: Span,
}

impl Default for Kind {
    fn default() -> Self {
        Kind {
            name: "standard".into(),
            share: Share(1.0),
            cores: 2,
            speed: Span::new(0.85, 1.1),
            slots_per_core: Span::new(5.0, 12.0),
            queue_per_core: Span::new(210.0, 570.0),
            crowding: Span::new(0.04, 0.13),
            crowded_at: Span::new(9.3, 16.0),
            cold_from: Span::new(0.14, 0.32),
            cold_s: Span::new(14.0, 23.0),
            pause_every_s: Span::new(3.0, 11.0),
            pause_ms: Span::new(0.0, 60.0),
            error_rate: Span::new(0.0, 0.002),
        }
    }
}

/// What clients ask.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Load {
    /// Work asked for, as a part of what the warm fleet can do.
    pub level: Positive,
    /// Scales all work: 0.1 makes requests ten times lighter and as many more.
    pub work_scale: Positive,
    /// How far the rate swings around its mean, as a share of it.
    pub swing: Span,
    /// Share of a zone's traffic that moves to another zone.
    pub zone_skew: Span,
    /// Different keys.
    pub keys: Span,
    /// Exponent of their popularity.
    pub key_zipf: Span,
    /// How far a hint is off, as a standard deviation of its logarithm.
    pub hint_noise: Positive,
    /// The classes.
    pub class: Vec<Class>,
}

impl Default for Load {
    fn default() -> Self {
        Load {
            level: Positive(0.4),
            work_scale: Positive(1.0),
            swing: Span::new(0.18, 0.37),
            zone_skew: Span::new(0.15, 0.45),
            keys: Span::new(670.0, 1800.0),
            key_zipf: Span::new(0.58, 0.83),
            hint_noise: Positive(0.2),
            class: vec![
                Class::default(),
                Class {
                    name: "earn".into(),
                    share: Share(0.34),
                    work_ms: Span::new(35.0, 64.0),
                    io_ms: Span::new(47.0, 88.0),
                    spread: Span::new(0.7, 1.4),
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
                    work_ms: Span::new(64.0, 120.0),
                    io_ms: Span::new(85.0, 160.0),
                    spread: Span::new(1.0, 1.4),
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
    /// Its name, as `X-Lane` carries it.
    pub name: String,
    /// Its part of the requests; the parts are scaled to 1.
    pub share: Share,
    /// Milliseconds of work at speed 1.
    pub work_ms: Span,
    /// Milliseconds of waiting for others, which keep a slot but no core.
    pub io_ms: Span,
    /// Coefficient of variation of the work (log-normal).
    pub spread: Span,
    /// An answer within this many milliseconds earns all.
    #[serde(rename = "aim_ms")]
    pub latency_objective_ms: Positive,
    /// Milliseconds after which the client gives up.
    pub deadline_ms: Positive,
    /// Worth of a unit of work.
    #[serde(rename = "worth")]
    pub priority_weight: Positive,
    /// Part of the worth that an answer past the aim earns.
    #[serde(rename = "late_worth")]
    pub late_value: Share,
    /// Whether a request may run more than once.
    #[serde(rename = "repeats")]
    pub retry_safety: RetrySafety,
    /// Bytes of a request's body; only of classes that are unsafe to repeat.
    pub body_bytes: Span,
    /// Bytes of an answer's body.
    pub answer_bytes: Span,
}

impl Default for Class {
    fn default() -> Self {
        Class {
            name: "balance".into(),
            share: Share(0.48),
            work_ms: Span::new(30.0, 54.0),
            io_ms: Span::new(27.0, 49.0),
            spread: Span::new(0.85, 1.4),
            latency_objective_ms: Positive(500.0),
            deadline_ms: Positive(2000.0),
            priority_weight: Positive(1.0),
            late_value: Share(0.25),
            retry_safety: RetrySafety::Safe,
            body_bytes: Span::new(100.0, 300.0),
            answer_bytes: Span::new(100.0, 400.0),
        }
    }
}

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum RetrySafety {
    /// At will.
    Safe,
    /// Never.
    Unsafe,
}

/// How clients behave.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Clients {
    /// Tries after the first.
    pub retries: Span,
    /// A try is given up after this part of its class's deadline.
    pub try_share: Span,
    /// Milliseconds before the first retry; each further one waits twice as long.
    pub backoff_ms: Span,
    /// Share of clients that heed `Retry-After`.
    pub honour: Span,
    /// Longest `Retry-After` that they heed, in milliseconds.
    pub honour_most_ms: Positive,
    /// Share of requests whose client leaves early.
    pub impatient: Share,
    /// Seconds until a front notices a dead node.
    pub front_notice_s: Span,
}

impl Default for Clients {
    fn default() -> Self {
        Clients {
            retries: Span::new(1.0, 2.0),
            try_share: Span::new(0.5, 0.8),
            backoff_ms: Span::new(31.0, 250.0),
            honour: Span::new(0.7, 1.0),
            honour_most_ms: Positive(2000.0),
            impatient: Share(0.0),
            front_notice_s: Span::new(1.2, 3.7),
        }
    }
}

/// Delays one way, in milliseconds.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Network {
    /// Between node and server of one zone.
    pub same_ms: Span,
    /// Between zones.
    pub cross_ms: Span,
}

impl Default for Network {
    fn default() -> Self {
        Network {
            same_ms: Span::new(0.081, 0.34),
            cross_ms: Span::new(1.1, 2.1),
        }
    }
}

/// Something that goes wrong. Which of the fields a kind needs is said at [`FaultKind`].
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// Seconds from the start of the load.
    pub at_s: Seconds,
    /// What happens.
    pub kind: FaultKind,
    /// Seconds that it lasts, or that a process is away.
    #[serde(default)]
    pub for_s: Option<Seconds>,
    /// Share of servers or nodes that it strikes; at least one.
    #[serde(default)]
    pub part: Option<Share>,
    /// Its strength: the share that fails, how many times slower.
    #[serde(default)]
    pub size: Option<Positive>,
    /// The zone that it strikes.
    #[serde(default)]
    pub zone: Option<String>,
    /// Seconds between one server or node and the next.
    #[serde(default)]
    pub step_s: Option<Seconds>,
}

/// The kinds of trouble.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Hash)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// `part` of the servers fail `size` (share) of their requests at once, `for_s`.
    FastErrors,
    /// `part` of the servers are `size` times slower, `for_s`.
    Slow,
    /// `part` of the servers say nothing, `for_s`; then their connections are reset.
    Silent,
    /// `part` of the servers end without a word and start again cold after `for_s`.
    Restart,
    /// `part` of the servers drain, end, and are replaced by new machines, one each `step_s`.
    Replace,
    /// All servers of `zone` are away `for_s` and come back cold.
    LostZone,
    /// Discovery says nothing, `for_s`; what was called meanwhile is answered then.
    DiscoveryAway,
    /// Discovery hangs, `for_s`: what is open or called until its return is never heard of again.
    DiscoveryHangs,
    /// Discovery resets all connections, `for_s`.
    DiscoveryResets,
    /// Discovery ends its watches and answers 503, `for_s`.
    DiscoveryErrors,
    /// Discovery moves: a new configuration and SIGHUP.
    DiscoveryMoves,
    /// Discovery calls `part` of the healthy servers gone, `for_s`.
    DiscoveryWrong,
    /// `part` of the nodes are killed and start again after `for_s`.
    NodeCrash,
    /// `part` of the nodes get SIGTERM, end, and start again after `for_s`, one each `step_s`.
    NodeRoll,
    /// Each of `part` of the nodes is replaced by a second process while it serves, one each `step_s`.
    Upgrade,
    /// Operators take `part` of the servers out for `for_s`; each is restarted meanwhile.
    Hand,
    /// `part` of the nodes are told to stand by for `for_s`.
    Drain,
    /// The load is `size` times as high, `for_s`.
    Burst,
}

impl FaultKind {
    /// Its name in files.
    pub fn name(self) -> String {
        // The names in files are those of the variants, in kebab case.
        let mut name = String::new();
        for c in format!("{self:?}").chars() {
            if c.is_uppercase() && !name.is_empty() {
                name.push('-');
            }
            name.extend(c.to_lowercase());
        }
        name
    }

    /// The fields it needs besides `at_s`.
    pub fn needs(self) -> &'static [&'static str] {
        use FaultKind::*;
        match self {
            FastErrors | Slow => &["for_s", "part", "size"],
            Silent | Restart | DiscoveryWrong | NodeCrash | Hand | Drain => &["for_s", "part"],
            Replace | Upgrade => &["part", "step_s"],
            LostZone => &["for_s", "zone"],
            DiscoveryAway | DiscoveryHangs | DiscoveryResets | DiscoveryErrors => &["for_s"],
            DiscoveryMoves => &[],
            NodeRoll => &["for_s", "part", "step_s"],
            Burst => &["for_s", "size"],
        }
    }
}
