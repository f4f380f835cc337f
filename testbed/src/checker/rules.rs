//! The rules that the checker enforces, their names, and the text of a breach.

use std::fmt;

use serde::{Serialize, Serializer};

use crate::world::{Micros, NodeId};

/// A rule that the nodes must keep.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Rule {
    /// A request accepted by a node gets its final answer before the client gives up.
    Lost,
    /// A request gets no second answer.
    TwoAnswers,
    /// A served answer is one that a server made for this request.
    MadeUp,
    /// A request that may have run, and that is not safe to run twice, is not sent again.
    RunTwice,
    /// A request that may have run, and that is not safe to run twice, is not refused, as a refusal says that a
    /// retry is safe.
    RefusedAfterRun,
    /// Every request that reaches a server was sent by a client.
    UnknownRequest,
    /// A server gets no new work from a node once the node has known for longer than `DRAIN_GRACE` that the
    /// server is draining or gone.
    SentToDraining,
    /// A server gets no new work from a node once a cordon has bound the node for longer than `DRAIN_GRACE`.
    SentToWithheld,
    /// No attempt starts once its client has been gone for longer than `CLIENT_GONE_GRACE`.
    SentAfterLeaving,
    /// The nodes do not overload a cold server.
    ColdToppled,
    /// A node on standby closes its clients' connections in time.
    NotDrained,
}

impl Rule {
    /// Short name for tables and files.
    pub fn name(self) -> &'static str {
        match self {
            Rule::Lost => "lost",
            Rule::TwoAnswers => "two-answers",
            Rule::MadeUp => "made-up",
            Rule::RunTwice => "run-twice",
            Rule::RefusedAfterRun => "refused-after-run",
            Rule::UnknownRequest => "unknown-request",
            Rule::SentToDraining => "sent-to-draining",
            Rule::SentToWithheld => "sent-to-withheld",
            Rule::SentAfterLeaving => "sent-after-leaving",
            Rule::ColdToppled => "cold-toppled",
            Rule::NotDrained => "not-drained",
        }
    }
}

impl Serialize for Rule {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(self.name())
    }
}

/// A broken rule, at its first breach for this node and server.
#[derive(Clone, Debug, Serialize)]
pub struct Breach {
    /// Rule that was broken.
    pub rule: Rule,
    /// Transaction id of the client's try.
    pub request: Option<String>,
    /// Serial number of the client's request.
    pub ask: Option<u64>,
    /// Index of the node, from 0.
    pub node: Option<NodeId>,
    /// Id of the server that got the attempt or was overloaded; `None` for rules that concern no server.
    pub server: Option<String>,
    /// Time of the breach, in microseconds since the load began.
    #[serde(rename = "at_us")]
    pub at: Micros,
    /// Description of what happened.
    pub what: String,
}

impl fmt::Display for Breach {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.3} s  {}", self.at as f64 / 1e6, self.rule.name())?;
        if let Some(node) = self.node {
            write!(f, "  node n{}", node + 1)?;
        }
        if let Some(server) = &self.server {
            write!(f, "  server {server}")?;
        }
        if let Some(request) = &self.request {
            write!(f, "  request {request}")?;
        }
        write!(f, ": {}", self.what)
    }
}
