//! The interface of the balancer: identifiers, settings, events (inputs) and actions (outputs).
//!
//! All times are microseconds. The clock may begin anywhere; it never runs backwards (an earlier
//! time than the last one seen is taken as the last one seen).
//!
//! Invalid input is ignored and never causes a panic: an outcome for an attempt that was never
//! made, an event for a request that is unknown or has ended, a class or tenant number outside
//! the settings (the request is rejected), a second request under an id still in use.

/// A point in time or a duration, in microseconds.
pub type Micros = u64;

/// A server, as discovery names it. Stable over restarts of its process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerId(pub u32);

/// A request, opaque to the balancer. Shorter ids are padded by the host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub [u8; 36]);

/// The routing key of a request: requests with the same key go to the same server. Below 2^53.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key(pub u64);

/// Index of a class in [`Settings::classes`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClassId(pub usize);

/// Index of a tenant in [`Settings::tenants`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TenantId(pub usize);

/// A zone, numbered by the host.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ZoneId(pub u32);

/// A kind of machine, numbered by the host.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KindId(pub u32);

/// A cell: servers that share their record of idempotency keys.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CellId(pub u64);

/// Number of a timer, chosen by the balancer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TimerId(pub u64);

/// Which servers deduplicate a retry that carries an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    /// Every server.
    All,
    /// Those of the zone it was first sent to.
    Zone,
    /// Those of the cell it was first sent to.
    Cell,
}

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// May be retried at will.
    Idempotent,
    /// Retries carry an idempotency key: they are deduplicated inside `scope` for `ttl` from the first attempt
    /// that may have run.
    IdempotencyKey {
        /// The servers that deduplicate.
        scope: DedupScope,
        /// For how long they do.
        ttl: Micros,
    },
    /// Must never run twice.
    NonIdempotent,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestClass {
    /// Latency objective: an answer within this time has its full value.
    pub latency_objective: Micros,
    /// How long a client waits in all, over all of its attempts.
    pub deadline: Micros,
    /// Value of a request, or of a unit of its work (see [`WeightBasis`]).
    pub priority_weight: f64,
    /// Fraction of the priority weight that an answer past the latency objective still has.
    pub late_value: f64,
    /// Whether it may be retried.
    pub idempotency: Idempotency,
    /// Requests of such classes that share a key run one at a time, in the order they came.
    pub in_order: bool,
}

/// A tenant and its quota.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Requests a second inside its quota, over all nodes; 0 means no limit.
    pub quota_per_second: f64,
}

/// What the `weight` of an endpoint means.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WeightSource {
    /// It is always 1.
    #[default]
    Off,
    /// The registered capacity.
    Nominal,
    /// Approximately the registered capacity.
    Rough,
    /// The capacity divided by a recent load; it varies from list to list.
    Live,
}

/// What a priority weight is counted by.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WeightBasis {
    /// Each request alike.
    #[default]
    Request,
    /// Each unit of work.
    Work,
}

/// How a node learns the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DiscoveryMode {
    /// Changes are pushed to every node.
    #[default]
    Push,
    /// Changes are sent to nodes that have subscribed by a call.
    Poll,
}

/// The deployment's settings. Begin from [`Settings::default`] and set what is known.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// How many nodes there are, this one included.
    pub node_count: u32,
    /// This node's index among them, from 0, where the host knows it: the same after a restart.
    pub node_index: Option<u32>,
    /// The classes of requests.
    pub classes: Vec<RequestClass>,
    /// The tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// Value of a request over its tenant's quota, as a fraction of the usual.
    pub over_quota_value: f64,
    /// What a priority weight is counted by.
    pub weight_basis: WeightBasis,
    /// What the `weight` of an endpoint means.
    pub weight_source: WeightSource,
    /// How the endpoint list arrives.
    pub discovery_mode: DiscoveryMode,
    /// A server that served a key recently does less work for it.
    pub key_affinity: bool,
    /// Attempts may be cancelled.
    pub may_cancel: bool,
    /// Servers may be health-checked.
    pub may_health_check: bool,
    /// Requests may be hedged: two attempts of a request may be in flight together. The balancer
    /// sends no hedged requests yet.
    pub may_hedge: bool,
    /// Most attempts for a request.
    pub max_attempts: u32,
    /// Rejections advise the client when to retry (`Retry-After`).
    pub retry_after: bool,
    /// The longest such advice that clients heed.
    pub max_retry_after: Micros,
    /// Cost of a new connection for each first attempt, in the unit of `open_connection_cost`.
    pub connection_setup_cost: f64,
    /// Cost of a hundred open connections to each server.
    pub open_connection_cost: f64,
    /// Capacity of a server at its start, as a fraction of its full one.
    pub cold_capacity: f64,
    /// Slow start: a server is warm this long after its start.
    pub slow_start_time: Micros,
    /// A warming server is overloaded when it is sent more than this multiple of its present capacity.
    pub cold_overload_factor: f64,
    /// The window over which that is counted.
    pub cold_overload_window: Micros,
    /// A connection attempt that takes longer fails.
    pub connect_timeout: Micros,
    /// Longest time without a subscription and without a call for one.
    pub max_poll_interval: Micros,
    /// Quarantine of an in-order key after an attempt that may still be running.
    pub quarantine_time: Micros,
    /// [`Outcome::Overloaded`] does not prove that the attempt never ran.
    pub overloaded_may_have_run: bool,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            node_count: 1,
            node_index: None,
            classes: Vec::new(),
            tenants: Vec::new(),
            over_quota_value: 1.0,
            weight_basis: WeightBasis::Request,
            weight_source: WeightSource::Off,
            discovery_mode: DiscoveryMode::Push,
            key_affinity: false,
            may_cancel: false,
            may_health_check: false,
            may_hedge: false,
            max_attempts: 1,
            retry_after: false,
            max_retry_after: 0,
            connection_setup_cost: 0.0,
            open_connection_cost: 0.0,
            cold_capacity: 1.0,
            slow_start_time: 0,
            cold_overload_factor: 1.0,
            cold_overload_window: 3_000_000,
            connect_timeout: 0,
            max_poll_interval: 10_000_000,
            quarantine_time: 0,
            overloaded_may_have_run: false,
        }
    }
}

/// The state of a server, by discovery.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ServerState {
    /// Its process runs.
    #[default]
    InService,
    /// It is draining: it completes its work and takes no new requests.
    Draining,
    /// It was removed.
    Removed,
}

/// An entry of the endpoint list: one server.
#[derive(Clone, Debug, Default)]
pub struct Endpoint {
    /// Which server.
    pub server: ServerId,
    /// Its zone.
    pub zone: ZoneId,
    /// What kind of machine it is.
    pub kind: KindId,
    /// Its cell.
    pub cell: CellId,
    /// Its state.
    pub state: ServerState,
    /// Its weight relative to other servers.
    pub weight: f64,
    /// When its process last started; 0 is long ago.
    pub started_at: Micros,
}

/// What an endpoint list event contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateKind {
    /// The entries that changed.
    Delta,
    /// The complete list.
    Full,
    /// The list this node last had, perhaps long ago.
    Cached,
    /// A call failed or the subscription broke; the previous list stays in use.
    Failed,
}

/// A client's request.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its id, never used twice.
    pub id: RequestId,
    /// Time left until the client gives up.
    pub remaining_timeout: Micros,
    /// Its class.
    pub class: ClassId,
    /// Expected work, where the client states it.
    pub cost: Option<Micros>,
    /// The client marks it as a retry.
    pub is_retry: bool,
    /// Its tenant, where there are tenants.
    pub tenant: Option<TenantId>,
    /// Its routing key.
    pub key: Option<Key>,
    /// Its body is still being received: it can be sent once, and its times count from
    /// [`Event::RequestComplete`].
    pub body_pending: bool,
}

/// How an attempt or a health check ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Ok,
    /// The server answered with an error; it may have run.
    Error,
    /// Rejected by the server before it ran (but see [`Settings::overloaded_may_have_run`]).
    Overloaded,
    /// No answer in time; it may run yet.
    Timeout,
    /// No connection was made.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// Cancelled by the node; it may have run.
    Cancelled,
    /// Never sent.
    NotSent,
}

/// The end of an attempt.
#[derive(Clone, Debug)]
pub struct AttemptResult {
    /// The request.
    pub id: RequestId,
    /// The number of the attempt, from 0.
    pub attempt: u32,
    /// The server.
    pub server: ServerId,
    /// How it ended.
    pub outcome: Outcome,
    /// Time since it was sent.
    pub elapsed: Micros,
    /// The request has ended; it needs no further answer.
    pub request_ended: bool,
    /// The server's load report, in the order of the wire; nothing reads it yet.
    pub load_report: Vec<f64>,
}

/// An input of the balancer.
#[derive(Clone, Debug)]
pub enum Event {
    /// An update of the endpoint list. The first one, of kind [`UpdateKind::Cached`], starts the node.
    EndpointUpdate {
        /// What it contains.
        kind: UpdateKind,
        /// The entries.
        endpoints: Vec<Endpoint>,
    },
    /// A request arrived; it must get exactly one final answer.
    Request(Request),
    /// The last byte of a request whose body was pending has been received.
    RequestComplete {
        /// The request.
        id: RequestId,
        /// Time left until the client gives up.
        remaining_timeout: Micros,
    },
    /// An attempt ended. Each [`Action::Send`] gets exactly one.
    AttemptEnded(AttemptResult),
    /// A streamed response began: the host passes it on to the client.
    ResponseStarted {
        /// The request.
        id: RequestId,
        /// The number of the attempt.
        attempt: u32,
    },
    /// The request ended without an answer of the balancer: its client left, or its deadline passed.
    RequestAbandoned(RequestId),
    /// A health check ended.
    HealthCheckEnded {
        /// The server.
        server: ServerId,
        /// How it ended.
        outcome: Outcome,
        /// Time since it was sent.
        elapsed: Micros,
        /// The server's load report.
        load_report: Vec<f64>,
    },
    /// Operators cordon a server, or uncordon it: it may have restarted meanwhile.
    Cordon {
        /// The server, on the list or not.
        server: ServerId,
        /// Whether it is cordoned from now on, whatever any list says.
        cordoned: bool,
    },
    /// New settings. Classes and tenants keep their indices, new ones follow them; settings with fewer are
    /// ignored, as requests in flight refer to the indices. What was learnt of servers and traffic
    /// stays.
    Settings(Box<Settings>),
    /// A timer expired.
    Timer(TimerId),
    /// A message from another node.
    PeerMessage {
        /// The sender.
        from: u32,
        /// The payload.
        data: Vec<u8>,
    },
}

/// An output of the balancer. The host carries them out in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt; those of a request are numbered from 0 in this order.
    Send {
        /// The request.
        id: RequestId,
        /// Where to.
        server: ServerId,
        /// Its timeout.
        timeout: Micros,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        id: RequestId,
        /// The number of the attempt.
        attempt: u32,
    },
    /// Final answer: rejected; the request did not run, or may be retried safely.
    Reject {
        /// The request.
        id: RequestId,
        /// When the client should retry; 0 is no advice.
        retry_after: Micros,
    },
    /// Final answer: failed; the request may have run.
    Fail {
        /// The request.
        id: RequestId,
    },
    /// Health-check a server.
    HealthCheck(ServerId),
    /// Close the idle connections to a server.
    CloseIdleConnections(ServerId),
    /// Deliver [`Event::Timer`] after this time, in the first batch at or past it.
    SetTimer {
        /// From now.
        delay: Micros,
        /// Identifies the timer in the event.
        timer: TimerId,
    },
    /// Subscribe to changes of the endpoint list.
    Subscribe,
    /// Send bytes to one node, or to all with `None`.
    SendToPeer {
        /// Which node.
        peer: Option<u32>,
        /// The bytes, 256 at most.
        data: Vec<u8>,
    },
    /// A line for the log.
    Log(String),
}
