//! The trace of a simulation: the events of one request, key, server or node as lines of text. Tracing does not change
//! the simulation.

use std::fmt::Write;
use std::str::FromStr;

use crate::world::{Micros, NodeId};

/// Selects the lines of a trace.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TraceFilter {
    /// Everything.
    All,
    /// One client's request with all its tries, by number.
    Request(u64),
    /// One key.
    Key(u64),
    /// One server, by its id.
    Server(String),
    /// One node, by its number from 1.
    Node(NodeId),
}

impl FromStr for TraceFilter {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let expected =
            || "expected request:NUMBER, key:NUMBER, server:ID, node:NUMBER or all".to_owned();
        if text == "all" {
            return Ok(TraceFilter::All);
        }
        let (kind, value) = text.split_once(':').ok_or_else(expected)?;
        let number = || {
            value
                .trim_start_matches('n')
                .parse::<u64>()
                .map_err(|_| expected())
        };
        match kind {
            "request" => Ok(TraceFilter::Request(number()?)),
            "key" => Ok(TraceFilter::Key(number()?)),
            "server" if !value.is_empty() => Ok(TraceFilter::Server(value.to_owned())),
            "node" => Ok(TraceFilter::Node(number()? as NodeId)),
            _ => Err(expected()),
        }
    }
}

/// The subject of a line. Fields that do not apply are `None`.
#[derive(Clone, Copy, Debug, Default)]
pub struct Subject<'a> {
    pub request: Option<u64>,
    pub key: Option<u64>,
    pub server: Option<&'a str>,
    pub node: Option<NodeId>,
}

/// The lines of the trace so far.
#[derive(Debug)]
pub struct Trace {
    filter: TraceFilter,
    text: String,
}

impl Trace {
    pub fn new(filter: TraceFilter) -> Trace {
        Trace {
            filter,
            text: String::new(),
        }
    }

    /// Adds a line if the filter selects its subject.
    pub fn add(&mut self, at: Micros, subject: Subject<'_>, text: &str) {
        let selected = match &self.filter {
            TraceFilter::All => true,
            TraceFilter::Request(number) => subject.request == Some(*number),
            TraceFilter::Key(key) => subject.key == Some(*key),
            TraceFilter::Server(id) => subject.server == Some(id),
            TraceFilter::Node(number) => subject.node.map(|node| node + 1) == Some(*number),
        };
        if !selected {
            return;
        }
        let _ = write!(self.text, "{:>12.6}", at as f64 / 1e6);
        if let Some(node) = subject.node {
            let _ = write!(self.text, "  n{}", node + 1);
        }
        if let Some(request) = subject.request {
            let _ = write!(self.text, "  request {request}");
        }
        if let Some(key) = subject.key {
            let _ = write!(self.text, "  key {key}");
        }
        if let Some(server) = subject.server {
            let _ = write!(self.text, "  {server}");
        }
        let _ = writeln!(self.text, "  {text}");
    }

    pub fn into_text(self) -> String {
        self.text
    }
}
