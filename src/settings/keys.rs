//! The platform's names of the settings: the paths of the pairs, and the term of each in the code.
//!
//! These names are an interface: they are never renamed. All times are in microseconds.

/// Number of nodes: [`Settings::node_count`](crate::Settings::node_count).
pub const NODE_COUNT: &str = "group-size";
/// Index of this node: [`Settings::node_index`](crate::Settings::node_index).
pub const NODE_INDEX: &str = "me";
/// List of request classes; its items are at `classes.0` and so on.
pub const CLASSES: &str = "classes";
/// List of tenants; its items are at `tenants.0` and so on.
pub const TENANTS: &str = "tenants";
/// Value of a request over its tenant's quota.
pub const OVER_QUOTA_VALUE: &str = "over-share-worth";
/// What a priority weight is counted by.
pub const WEIGHT_BASIS: &str = "worth-by";
/// What the weight of an endpoint means.
pub const WEIGHT_SOURCE: &str = "weight-source";
/// How the endpoint list arrives.
pub const DISCOVERY_MODE: &str = "registry-mode";
/// Whether servers do less work for keys that they served recently.
pub const KEY_AFFINITY: &str = "domain.warm-keys";

/// Whether attempts may be cancelled.
pub const MAY_CANCEL: &str = "bounds.cancelling";
/// Whether servers may be health-checked.
pub const MAY_HEALTH_CHECK: &str = "bounds.may-probe";
/// Whether requests may be hedged.
pub const MAY_HEDGE: &str = "bounds.second-copies";
/// Most attempts for a request.
pub const MAX_ATTEMPTS: &str = "bounds.max-attempts";
/// Whether rejections carry a `Retry-After`.
pub const RETRY_AFTER: &str = "bounds.retry-after";
/// Longest `Retry-After` that clients follow.
pub const MAX_RETRY_AFTER: &str = "bounds.max-retry-after";
/// Longest time to connect to a server.
pub const CONNECT_TIMEOUT: &str = "bounds.dial-timeout";
/// Idle time after which servers close connections. Read by the node alone.
pub const KEEPALIVE: &str = "bounds.keepalive";
/// Requests that may be pending at a node at a time. Read by the node alone.
pub const MAX_OPEN_REQUESTS: &str = "bounds.open-cap";

/// Score deducted for one new connection per first attempt.
pub const CONNECTION_SETUP_COST: &str = "deductions.handshake";
/// Score deducted for a hundred open connections per server.
pub const OPEN_CONNECTION_COST: &str = "deductions.connection";

/// Capacity of a server at its start.
pub const COLD_CAPACITY: &str = "rules.start-capacity";
/// Time from a server's start until it is warm.
pub const SLOW_START_TIME: &str = "rules.ramp-time";
/// Multiple of its present capacity that overloads a cold server.
pub const COLD_OVERLOAD_FACTOR: &str = "rules.fall-multiple";
/// Window over which a cold server's load is compared with that multiple.
pub const COLD_OVERLOAD_WINDOW: &str = "rules.overload-for";
/// Longest time without a subscription and without a call for one.
pub const MAX_POLL_INTERVAL: &str = "rules.ask-within";
/// Quarantine of an in-order key after an attempt that may still be running.
pub const QUARANTINE_TIME: &str = "rules.settle-after-doubt";
/// Whether an overloaded server may have run the request.
pub const OVERLOADED_MAY_HAVE_RUN: &str = "rules.may-shed-begun";
/// Time after which sends to a draining server have ended. Read by the node alone.
pub const DRAIN_GRACE: &str = "rules.stop-sending-within";

/// Fields of a load report, in the balancer's order. Read by the node alone.
pub const LOAD_REPORT_FIELDS: &str = "report.fields";

/// Names within an item of [`CLASSES`](super::CLASSES).
pub(in crate::settings) mod class {
    /// Longest time to a request's response.
    pub const DEADLINE: &str = "deadline";
    /// Time to a response that has full value.
    pub const LATENCY_OBJECTIVE: &str = "aim";
    /// Weight of a request in load shedding.
    pub const PRIORITY_WEIGHT: &str = "points";
    /// Value of a response after its latency objective.
    pub const LATE_VALUE: &str = "late-share";
    /// Whether a request may be repeated.
    pub const IDEMPOTENCY: &str = "semantics";
    /// Which servers share the record of an idempotency key.
    pub const KEY_SCOPE: &str = "key-scope";
    /// How long servers remember an idempotency key.
    pub const KEY_TTL: &str = "key-ttl";
    /// Whether requests of one key run in order.
    pub const IN_ORDER: &str = "serial-by-key";
}

/// Names within an item of [`TENANTS`](super::TENANTS).
pub(in crate::settings) mod tenant {
    /// Requests per second that a tenant is entitled to.
    pub const QUOTA_PER_SECOND: &str = "quota-per-s";
}
