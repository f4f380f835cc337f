//! Messages to the event loop, and its responses to clients' requests.
//!
//! The channel is unbounded: requests, attempts, health checks and the watch each have at most a
//! message or two in it, and their numbers are bounded elsewhere.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use load_balancer::{ClassId, Key, Micros, RequestId, ServerId, Settings, TenantId};
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::discovery::WatchEvent;
use crate::servers::{UpstreamRequest, UpstreamResponse, UpstreamResult};

/// What the node's other tasks report to the event loop.
pub enum Message {
    /// A client's request has arrived.
    RequestArrived(Box<RequestArrived>),
    /// The last byte of a request's body has arrived.
    RequestComplete(RequestComplete),
    /// A request's client no longer waits.
    ClientDisconnected(RequestNumber),
    /// An attempt has ended.
    AttemptEnded(AttemptEnded),
    /// A health check has ended.
    HealthCheckEnded(HealthCheckEnded),
    /// A watch has delivered something.
    Watch(WatchMessage),
    /// A datagram of another node has arrived.
    PeerDatagram(PeerDatagram),
    /// Discovery has this address from now on.
    DiscoveryAddressChanged(SocketAddr),
    /// These settings are in force from now on.
    SettingsChanged(Box<Settings>),
    /// An operator cordons or uncordons a server.
    SetCordon(SetCordon),
    /// How many listed servers does the balancer avoid?
    CountAvoidedServers(CountAvoidedServers),
}

/// The node's number of a request, unique for the life of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RequestNumber(pub u64);

impl RequestNumber {
    /// The balancer's id of this request.
    pub fn to_id(self) -> RequestId {
        let mut bytes = [0; 36];
        bytes[..8].copy_from_slice(&self.0.to_le_bytes());
        RequestId(bytes)
    }

    /// The number of a request by an id that [`RequestNumber::to_id`] made.
    pub fn from_id(id: &RequestId) -> RequestNumber {
        let mut bytes = [0; 8];
        bytes.copy_from_slice(&id.0[..8]);
        RequestNumber(u64::from_le_bytes(bytes))
    }
}

/// A client's request.
pub struct RequestArrived {
    /// The node's number; the client's own id may repeat.
    pub number: RequestNumber,
    /// Its class.
    pub class: ClassId,
    /// Its tenant, if it names one.
    pub tenant: Option<TenantId>,
    /// Its key, if it has one.
    pub key: Option<Key>,
    /// Whether the client has sent it before.
    pub is_retry: bool,
    /// The client's estimate of its cost.
    pub cost: Option<Micros>,
    /// When it must be answered; `None` while its body is still arriving.
    pub deadline: Option<Instant>,
    /// What is sent to servers.
    pub upstream: Rc<UpstreamRequest>,
    /// Takes the response.
    pub reply: oneshot::Sender<ClientResponse>,
}

/// The response to a client's request.
pub enum ClientResponse {
    /// A server's response.
    Served(UpstreamResponse),
    /// Rejected, harmless to retry.
    Rejected {
        /// When to retry, if the balancer says so.
        retry_after: Option<Duration>,
    },
    /// No attempt succeeded.
    Failed,
    /// The balancer had not answered by the deadline.
    DeadlineExceeded,
}

/// A request's body is complete.
pub struct RequestComplete {
    /// The request.
    pub number: RequestNumber,
    /// When it must be answered.
    pub deadline: Instant,
}

/// An attempt has ended.
pub struct AttemptEnded {
    /// The request.
    pub number: RequestNumber,
    /// The attempt's index in the request, from 0.
    pub attempt: u32,
    /// How it ended.
    pub result: UpstreamResult,
}

/// A health check has ended.
pub struct HealthCheckEnded {
    /// The server that was checked.
    pub server: ServerId,
    /// How the check ended.
    pub result: UpstreamResult,
    /// Time from its start to its end.
    pub elapsed: Duration,
}

/// A watch has delivered something.
pub struct WatchMessage {
    /// The number of the watch: events of a replaced watch are ignored.
    pub watch: u64,
    /// What it delivered.
    pub event: WatchEvent,
}

/// A datagram of another node.
pub struct PeerDatagram {
    /// The sender's index in the configured peers.
    pub from: u32,
    /// Its content.
    pub data: Vec<u8>,
}

/// An operator cordons or uncordons a server.
pub struct SetCordon {
    /// The server's id on the endpoint list.
    pub server_id: String,
    /// Whether it is to be cordoned.
    pub cordoned: bool,
    /// Takes the result, once the change is in force.
    pub reply: oneshot::Sender<CordonResult>,
}

/// What became of a [`SetCordon`].
pub enum CordonResult {
    /// The server is as wanted.
    Done,
    /// No server of that id was ever listed.
    UnknownServer,
    /// The change could not be persisted and was not made.
    NotPersisted(io::Error),
}

/// Requests the number of listed servers the balancer sends nothing to.
pub struct CountAvoidedServers {
    /// Takes the count.
    pub reply: oneshot::Sender<usize>,
}
