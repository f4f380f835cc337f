//! The platform's names of the settings. Each constant has the code's term for a setting as its name, and the
//! path of the setting in the pairs as its value.
//!
//! The values are an interface of the platform and must not be changed. All times are in microseconds.

/// Number of nodes in the fleet: [`Settings::node_count`](crate::Settings::node_count).
pub const NODE_COUNT: &str = "group-size";
/// Index of this node: [`Settings::node_index`](crate::Settings::node_index).
pub const NODE_INDEX: &str = "me";
/// List of request classes; its items are at `classes.0` and so on.
pub const CLASSES: &str = "classes";
/// List of tenants; its items are at `tenants.0` and so on.
pub const TENANTS: &str = "tenants";
/// Value of a request over its tenant's quota, as a fraction of its value within the quota.
pub const OVER_QUOTA_VALUE: &str = "over-share-worth";
/// Whether a priority weight is the value of a request (`request`) or of its work (`work`).
pub const WEIGHT_BASIS: &str = "worth-by";
/// What the weight of an endpoint means: `nominal`, `rough` or `live`; weights are ignored otherwise.
pub const WEIGHT_SOURCE: &str = "weight-source";
/// How a node learns changes of the endpoint list: `push`, or `ask` for polling.
pub const DISCOVERY_MODE: &str = "registry-mode";
/// Whether a server does less work for a key that it served recently.
pub const KEY_AFFINITY: &str = "domain.warm-keys";

/// Whether attempts may be cancelled.
pub const MAY_CANCEL: &str = "bounds.cancelling";
/// Whether servers may be health-checked.
pub const MAY_HEALTH_CHECK: &str = "bounds.may-probe";
/// Whether two attempts of a request may be in flight together.
pub const MAY_HEDGE: &str = "bounds.second-copies";
/// Most attempts of one request, the first included.
pub const MAX_ATTEMPTS: &str = "bounds.max-attempts";
/// Whether rejections carry a `Retry-After` header.
pub const RETRY_AFTER: &str = "bounds.retry-after";
/// Longest `Retry-After` that clients follow.
pub const MAX_RETRY_AFTER: &str = "bounds.max-retry-after";
/// Longest time to connect to a server.
pub const CONNECT_TIMEOUT: &str = "bounds.dial-timeout";
/// Idle time after which servers close connections. Read by the node only, not by the balancer.
pub const KEEPALIVE: &str = "bounds.keepalive";
/// Most requests that may be pending at a node at a time. Read by the node only.
pub const MAX_OPEN_REQUESTS: &str = "bounds.open-cap";

/// Cost of a new connection for each first attempt, in points of the platform's score.
pub const CONNECTION_SETUP_COST: &str = "deductions.handshake";
/// Cost of a hundred open connections per server, in points of the platform's score.
pub const OPEN_CONNECTION_COST: &str = "deductions.connection";

/// Capacity of a server at its start, as a fraction of its full capacity.
pub const COLD_CAPACITY: &str = "rules.start-capacity";
/// Time from a server's start until it has its full capacity.
pub const SLOW_START_TIME: &str = "rules.ramp-time";
/// A warming server is overloaded when it is sent more than this multiple of its current capacity.
pub const COLD_OVERLOAD_FACTOR: &str = "rules.fall-multiple";
/// Window over which a warming server's load is compared with [`COLD_OVERLOAD_FACTOR`] times its capacity.
pub const COLD_OVERLOAD_WINDOW: &str = "rules.overload-for";
/// Longest time that a node may be without a subscription and without calling for one.
pub const MAX_POLL_INTERVAL: &str = "rules.ask-within";
/// How long the next request of an in-order key waits after an attempt that may still be running.
pub const QUARANTINE_TIME: &str = "rules.settle-after-doubt";
/// Whether a request that a server rejected as overloaded may have run.
pub const OVERLOADED_MAY_HAVE_RUN: &str = "rules.may-shed-begun";
/// Time within which a node must stop sending to a draining server. Read by the node only.
pub const DRAIN_GRACE: &str = "rules.stop-sending-within";

/// Names of the fields of a load report, separated by commas. Read by the node only.
pub const LOAD_REPORT_FIELDS: &str = "report.fields";

/// Names of the settings of a class, within an item of [`CLASSES`](super::CLASSES).
pub(in crate::settings) mod class {
    /// Longest time that a client waits for a response, over all attempts.
    pub const DEADLINE: &str = "deadline";
    /// Latency objective: a response within this time has its full value.
    pub const LATENCY_OBJECTIVE: &str = "aim";
    /// Value of a request, or of a unit of its work, in load shedding.
    pub const PRIORITY_WEIGHT: &str = "points";
    /// Fraction of its value that a response has after the latency objective.
    pub const LATE_VALUE: &str = "late-share";
    /// Whether a request may run more than once: `safe`, `keyed` (with an idempotency key) or not at all.
    pub const IDEMPOTENCY: &str = "semantics";
    /// Which servers share the record of an idempotency key: `all`, `zone` or `cell`.
    pub const KEY_SCOPE: &str = "key-scope";
    /// How long servers remember an idempotency key.
    pub const KEY_TTL: &str = "key-ttl";
    /// Whether requests of one key run one at a time, in order.
    pub const IN_ORDER: &str = "serial-by-key";
}

/// Names of the settings of a tenant, within an item of [`TENANTS`](super::TENANTS).
pub(in crate::settings) mod tenant {
    /// Quota in requests per second, over all nodes; 0 means no quota.
    pub const QUOTA_PER_SECOND: &str = "quota-per-s";
}
