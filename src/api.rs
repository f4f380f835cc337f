//! The interface of the balancer: identifiers, settings, events (inputs) and actions (outputs).
//!
//! All times are in microseconds. The host's clock may start at any value. It must not run backwards:
//! a time earlier than the last one seen is replaced by the last one seen.
//!
//! Invalid input never causes a panic. Ignored are the end of an attempt that was never sent, an event
//! for a request that is unknown or has ended, and a second request under an id that is still in use.
//! A request with a class index outside the settings is rejected; one with a tenant index outside them
//! is treated as a request without a tenant.

/// A point in time or a duration, in microseconds.
pub type Micros = u64;

/// A server's number, which the host derives from its id in discovery. A restart of the server's process
/// does not change it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerId(pub u32);

/// A request's id, opaque to the balancer: 36 bytes. The host pads ids that are shorter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub [u8; 36]);

/// The routing key of a request, below 2^53: requests with the same key go to the same server while it
/// can take them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key(pub u64);

/// Index of a class in [`Settings::classes`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClassId(pub usize);

/// Index of a tenant in [`Settings::tenants`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TenantId(pub usize);

/// A zone's number, assigned by the host.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ZoneId(pub u32);

/// The number of a kind of machine, assigned by the host.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KindId(pub u32);

/// The number of a cell: a group of servers that share their record of idempotency keys.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CellId(pub u64);

/// A timer's number, chosen by the balancer and returned by the host in [`Event::Timer`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TimerId(pub u64);

/// Which servers recognize an idempotency key and do not run its request again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    /// Every server.
    All,
    /// The servers in the zone of the first attempt that may have run.
    Zone,
    /// The servers in the cell of the first attempt that may have run.
    Cell,
}

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// May run any number of times.
    Idempotent,
    /// Carries an idempotency key: the servers in `scope` deduplicate retries for `ttl`, counted from the
    /// first attempt that may have run.
    IdempotencyKey {
        /// The servers that deduplicate its retries.
        scope: DedupScope,
        /// How long these servers remember the key, in microseconds.
        ttl: Micros,
    },
    /// Must not run twice: it is not retried after an attempt that may have run.
    NonIdempotent,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestClass {
    /// Latency objective, in microseconds: an answer within this time has its full value.
    pub latency_objective: Micros,
    /// Longest time that a client waits for its answer, in microseconds, over all attempts.
    pub deadline: Micros,
    /// Value of an answered request, or of each microsecond of its work (see [`WeightBasis`]). Under
    /// overload, requests of low value are rejected first.
    pub priority_weight: f64,
    /// Fraction of the priority weight that an answer past the latency objective still has, from 0 to 1.
    pub late_value: f64,
    /// Whether its requests may be retried.
    pub idempotency: Idempotency,
    /// Whether requests that share a key run one at a time, in the order of their arrival. A key has one
    /// queue for all classes with this flag.
    pub in_order: bool,
}

/// A tenant.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// The tenant's quota in requests per second, summed over all nodes; 0 means no quota.
    pub quota_per_second: f64,
}

/// What [`Endpoint::weight`] means in this deployment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WeightSource {
    /// No weights: each server counts as 1.
    #[default]
    Off,
    /// The server's registered capacity.
    Nominal,
    /// An approximation of the server's registered capacity.
    Rough,
    /// The server's capacity divided by its recent load: it changes from list to list, so the balancer
    /// counts each server as 1.
    Live,
}

/// Whether [`RequestClass::priority_weight`] is the value of a request or of its work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WeightBasis {
    /// One request, whatever its work.
    #[default]
    Request,
    /// One microsecond of work.
    Work,
}

/// How a node learns the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DiscoveryMode {
    /// Discovery pushes changes to every node.
    #[default]
    Push,
    /// Discovery sends changes only to nodes that have subscribed by a call ([`Action::Subscribe`]).
    Poll,
}

/// The deployment's settings, set by the platform. Start from [`Settings::default`] and set the fields
/// that are known.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Number of nodes in the fleet, this one included; at least 1.
    pub node_count: u32,
    /// This node's index in the fleet, from 0, unchanged by a restart; `None` where the host does not
    /// know it.
    pub node_index: Option<u32>,
    /// The classes of requests, indexed by [`ClassId`].
    pub classes: Vec<RequestClass>,
    /// The tenants, indexed by [`TenantId`]; may be empty.
    pub tenants: Vec<Tenant>,
    /// Value of a request over its tenant's quota, as a fraction of its value within the quota.
    pub over_quota_value: f64,
    /// Whether [`RequestClass::priority_weight`] is the value of a request or of its work.
    pub weight_basis: WeightBasis,
    /// What [`Endpoint::weight`] means.
    pub weight_source: WeightSource,
    /// How this node learns changes of the endpoint list.
    pub discovery_mode: DiscoveryMode,
    /// Whether a server does less work for a key that it served recently.
    pub key_affinity: bool,
    /// Whether attempts may be cancelled.
    pub may_cancel: bool,
    /// Whether servers may be health-checked.
    pub may_health_check: bool,
    /// Whether requests may be hedged: two attempts of one request in flight at a time. The balancer
    /// sends no hedged attempts yet.
    pub may_hedge: bool,
    /// Most attempts of one request, the first included.
    pub max_attempts: u32,
    /// Whether rejections advise the client when to retry (`Retry-After`).
    pub retry_after: bool,
    /// The longest `Retry-After` that clients follow, in microseconds.
    pub max_retry_after: Micros,
    /// Cost of opening a new connection for every first attempt, in the unit of `open_connection_cost`.
    pub connection_setup_cost: f64,
    /// Cost of a hundred open connections to each server, in points of the platform's score.
    pub open_connection_cost: f64,
    /// Capacity of a server at its start, as a fraction of its full capacity, from 0 to 1.
    pub cold_capacity: f64,
    /// Slow start: time from a server's start until it has its full capacity, in microseconds.
    pub slow_start_time: Micros,
    /// A warming server is overloaded when it is sent more than this multiple of its current capacity.
    pub cold_overload_factor: f64,
    /// Window over which a warming server's load is compared with `cold_overload_factor` times its current
    /// capacity, in microseconds.
    pub cold_overload_window: Micros,
    /// Longest time to connect to a server, in microseconds: the host gives up a connection attempt that
    /// takes longer.
    pub connect_timeout: Micros,
    /// Longest time that a node may be without a subscription and without calling for one, in
    /// microseconds.
    pub max_poll_interval: Micros,
    /// How long the next request of an in-order key waits after an attempt that may still be running, in
    /// microseconds.
    pub quarantine_time: Micros,
    /// Whether an attempt that ended as [`Outcome::Overloaded`] may have run.
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

/// The state of a server, as discovery reports it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ServerState {
    /// Its process is running and accepts requests.
    #[default]
    InService,
    /// It is draining: it completes its work and takes no new requests.
    Draining,
    /// It has been removed from the fleet.
    Removed,
}

/// An entry of the endpoint list: one server.
#[derive(Clone, Debug, Default)]
pub struct Endpoint {
    /// The server's number.
    pub server: ServerId,
    /// The zone that it runs in.
    pub zone: ZoneId,
    /// The kind of machine that it runs on.
    pub kind: KindId,
    /// The cell that it belongs to.
    pub cell: CellId,
    /// Its state in discovery.
    pub state: ServerState,
    /// Its weight relative to other servers, above 0; its meaning is [`Settings::weight_source`].
    pub weight: f64,
    /// When its process last started, on the host's clock in microseconds; 0 if unknown or long ago.
    pub started_at: Micros,
}

/// What an [`Event::EndpointUpdate`] contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateKind {
    /// The entries that changed since the last update.
    Delta,
    /// The complete list.
    Full,
    /// The complete list that this node last stored, possibly long ago.
    Cached,
    /// No entries: a call to discovery failed or the subscription broke. The previous list stays in use.
    Failed,
}

/// A client's request.
#[derive(Clone, Debug)]
pub struct Request {
    /// The request's id. It must not be reused.
    pub id: RequestId,
    /// Time left until the client gives up, in microseconds.
    pub remaining_timeout: Micros,
    /// Index of the request's class in [`Settings::classes`].
    pub class: ClassId,
    /// The client's estimate of the request's work, in microseconds; `None` if it states none.
    pub cost: Option<Micros>,
    /// Whether the client marks it as a retry of its own. The balancer does not read it yet.
    pub is_retry: bool,
    /// The tenant that sent it; `None` if it names none.
    pub tenant: Option<TenantId>,
    /// The routing key; `None` if it has none: any server will do.
    pub key: Option<Key>,
    /// Whether its body is still being received. Such a request can be sent only once, and its deadline
    /// and the durations of its attempts count from [`Event::RequestComplete`].
    pub body_pending: bool,
}

/// How an attempt or a health check ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The server answered the request successfully.
    Ok,
    /// The server answered with an error; the request may have run.
    Error,
    /// The server rejected the request before running it (but see
    /// [`Settings::overloaded_may_have_run`]).
    Overloaded,
    /// No answer arrived within the attempt's timeout; the request may still run.
    Timeout,
    /// The request could not be sent: no connection was opened in time, or it broke before all of the
    /// request was written. It did not run.
    ConnectFailed,
    /// The connection broke after the request was sent; it may have run.
    Reset,
    /// The node cancelled the attempt; the request may have run.
    Cancelled,
    /// The host did not send the request, or not all of it. It did not run, and nothing follows about the
    /// server.
    NotSent,
    /// The host did not send the request, or not all of it, as what the decision rested on no longer held:
    /// the limit of [`Action::Send`] on writing it was over, or another process had taken the server's
    /// place. It did not run, and nothing follows about the server.
    Withheld,
}

impl Outcome {
    /// Whether the request may have run. `overloaded_may_have_run` is the setting of that name.
    pub fn may_have_run(self, overloaded_may_have_run: bool) -> bool {
        match self {
            Outcome::ConnectFailed | Outcome::NotSent | Outcome::Withheld => false,
            Outcome::Overloaded => overloaded_may_have_run,
            _ => true,
        }
    }
}

/// The end of an attempt.
#[derive(Clone, Debug)]
pub struct AttemptResult {
    /// The id with which the request arrived ([`Request::id`]).
    pub id: RequestId,
    /// The attempt's index in the request, from 0.
    pub attempt: u32,
    /// The server that the attempt was sent to.
    pub server: ServerId,
    /// How the attempt ended.
    pub outcome: Outcome,
    /// Time from the attempt's start to its end, in microseconds.
    pub elapsed: Micros,
    /// Whether the request has its answer or its client is gone: it needs no further attempt.
    pub request_ended: bool,
    /// The server's load report, in the order of the setting `report.fields`; empty if it sent none. The
    /// balancer does not read it yet.
    pub load_report: Vec<f64>,
}

/// An input of the balancer.
#[derive(Clone, Debug)]
pub enum Event {
    /// An update of the endpoint list. The first one must be of kind [`UpdateKind::Cached`], possibly
    /// without entries: it starts the balancer's timers.
    EndpointUpdate {
        /// What `endpoints` contains.
        kind: UpdateKind,
        /// The entries of the list; empty for [`UpdateKind::Failed`].
        endpoints: Vec<Endpoint>,
    },
    /// A request arrived. It gets exactly one final answer: a served attempt, [`Action::Reject`] or
    /// [`Action::Fail`], unless it is abandoned.
    Request(Request),
    /// The last byte of a request whose body was pending has been received.
    RequestComplete {
        /// The id with which the request arrived ([`Request::id`]).
        id: RequestId,
        /// Time left until the client gives up, in microseconds.
        remaining_timeout: Micros,
    },
    /// An attempt ended. The host reports exactly one for each [`Action::Send`].
    AttemptEnded(AttemptResult),
    /// The host has begun to pass a streamed response on to the client. The balancer does not read it
    /// yet.
    ResponseStarted {
        /// The id with which the request arrived ([`Request::id`]).
        id: RequestId,
        /// The attempt's index in the request, from 0.
        attempt: u32,
    },
    /// The request ended without an answer of the balancer: its client disconnected, or the host answered
    /// it because its deadline had passed.
    RequestAbandoned(RequestId),
    /// A health check ended.
    HealthCheckEnded {
        /// The server that was checked.
        server: ServerId,
        /// How the check ended.
        outcome: Outcome,
        /// Time from the check's start to its end, in microseconds.
        elapsed: Micros,
        /// The server's load report, as in [`AttemptResult::load_report`].
        load_report: Vec<f64>,
    },
    /// An operator cordoned or uncordoned a server. What the balancer has learnt of it is reset, as it may
    /// have restarted in the meantime.
    Cordon {
        /// The server, which need not be on the endpoint list.
        server: ServerId,
        /// Whether it is cordoned from now on, whatever state the endpoint list gives it.
        cordoned: bool,
    },
    /// The settings were reloaded. Known classes and tenants must keep their indices, with new ones after
    /// them: settings with fewer are ignored, as requests in flight refer to the indices. What the
    /// balancer has learnt about servers and traffic stays.
    Settings(Box<Settings>),
    /// A timer set by [`Action::SetTimer`] expired.
    Timer(TimerId),
    /// A message from another node arrived. The balancer does not read it yet.
    PeerMessage {
        /// The sender's index among the peers that the host knows.
        from: u32,
        /// The payload, 256 bytes at most.
        data: Vec<u8>,
    },
}

/// An output of the balancer. The host carries out the actions of an event in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt of a request. The attempts of one request are numbered from 0 in the order of these
    /// actions.
    Send {
        /// The id with which the request arrived ([`Request::id`]).
        id: RequestId,
        /// The server to send it to.
        server: ServerId,
        /// Longest duration of the attempt, in microseconds.
        timeout: Micros,
        /// Longest time until the last byte of the request is written, in microseconds; `None` if only the
        /// timeout limits it. The host reports [`Outcome::Withheld`] for an attempt that would be later.
        write_within: Option<Micros>,
    },
    /// Cancel an attempt. Sent only where [`Settings::may_cancel`] allows it.
    Cancel {
        /// The id with which the request arrived ([`Request::id`]).
        id: RequestId,
        /// The attempt's index in the request, from 0.
        attempt: u32,
    },
    /// Final answer: the request is rejected. It did not run, or the client may safely retry it.
    Reject {
        /// The id with which the request arrived ([`Request::id`]).
        id: RequestId,
        /// How long the client should wait before a retry, in microseconds; 0 for no advice.
        retry_after: Micros,
    },
    /// Final answer: the request failed. It may have run.
    Fail {
        /// The id with which the request arrived ([`Request::id`]).
        id: RequestId,
    },
    /// Send a health check to a server; the host reports its end by [`Event::HealthCheckEnded`].
    HealthCheck(ServerId),
    /// Close the idle connections to a server.
    CloseIdleConnections(ServerId),
    /// Set a timer: deliver [`Event::Timer`] once it expires, or in the first batch of events after that.
    SetTimer {
        /// Time from now until it expires, in microseconds.
        delay: Micros,
        /// The timer's number, returned in the event.
        timer: TimerId,
    },
    /// Call discovery to subscribe to changes of the endpoint list.
    Subscribe,
    /// Send a message to one other node, or to all. The balancer sends none yet.
    SendToPeer {
        /// The receiver's index among the peers that the host knows; `None` for all of them.
        peer: Option<u32>,
        /// The payload, 256 bytes at most.
        data: Vec<u8>,
    },
    /// Write a line to the host's log.
    Log(String),
}
