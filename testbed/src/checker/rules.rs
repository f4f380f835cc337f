//! Owns the names of the rules and how a breach of one is told.

use std::fmt;

use serde::{Serialize, Serializer};

use crate::world::{Micros, NodeId};

/// A rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Rule {
    /// A request taken by a node gets its final answer before the client gives up.
    Lost,
    /// It gets one and no more.
    TwoAnswers,
    /// A served one is what a server made for it.
    MadeUp,
    /// What may have run and must not run twice is not sent again.
    RunTwice,
    /// Nor refused, as a refusal says that trying again is harmless.
    RefusedAfterRun,
    /// What reaches a server was sent by a client.
    UnknownRequest,
    /// Nothing new to a draining or gone server past the limit.
    SentToDraining,
    /// Nothing new to a server that operators left out.
    SentToWithheld,
    /// No attempt begins once its client has been gone for longer than the limit.
    SentAfterLeaving,
    /// No cold server pushed over by the nodes.
    ColdToppled,
    /// A node whose clients were sent away has let go of them in time.
    NotDrained,
}

impl Rule {
    /// A short name for tables and files.
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

/// A rule that was broken: the first time for this node and server.
#[derive(Clone, Debug, Serialize)]
pub struct Breach {
    /// Which rule.
    pub rule: Rule,
    /// The id under which the client sent the try.
    pub request: Option<String>,
    /// The number of the client's request.
    pub ask: Option<u64>,
    /// The node, from 0.
    pub node: Option<NodeId>,
    /// The server's id.
    pub server: Option<String>,
    /// When, in microseconds since the load began.
    #[serde(rename = "at_us")]
    pub at: Micros,
    /// What happened.
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
