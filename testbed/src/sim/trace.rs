//! Owns the trace: what one request, key, server or node went through, as lines of text. It is written
//! while a play runs and changes nothing in it.

use std::fmt::Write;
use std::str::FromStr;

use crate::world::{Micros, NodeId};

/// What a trace follows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TraceFilter {
    /// Everything.
    All,
    /// One client's request, by its number, with all its tries.
    Request(u64),
    /// One key.
    Key(u64),
    /// One server, by its id.
    Server(String),
    /// One node, from 1.
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
        let (what, of) = text.split_once(':').ok_or_else(expected)?;
        let number = || {
            of.trim_start_matches('n')
                .parse::<u64>()
                .map_err(|_| expected())
        };
        match what {
            "request" => Ok(TraceFilter::Request(number()?)),
            "key" => Ok(TraceFilter::Key(number()?)),
            "server" if !of.is_empty() => Ok(TraceFilter::Server(of.to_owned())),
            "node" => Ok(TraceFilter::Node(number()? as NodeId)),
            _ => Err(expected()),
        }
    }
}

/// Whom a line is about; what does not apply is `None`.
#[derive(Clone, Copy, Debug, Default)]
pub struct About<'a> {
    pub request: Option<u64>,
    pub key: Option<u64>,
    pub server: Option<&'a str>,
    pub node: Option<NodeId>,
}

/// The lines so far.
#[derive(Debug)]
pub struct Trace {
    follow: TraceFilter,
    text: String,
}

impl Trace {
    pub fn new(follow: TraceFilter) -> Trace {
        Trace {
            follow,
            text: String::new(),
        }
    }

    /// Adds a line if it is about what is followed.
    pub fn note(&mut self, at: Micros, about: About<'_>, what: &str) {
        let wanted = match &self.follow {
            TraceFilter::All => true,
            TraceFilter::Request(number) => about.request == Some(*number),
            TraceFilter::Key(key) => about.key == Some(*key),
            TraceFilter::Server(id) => about.server == Some(id),
            TraceFilter::Node(number) => about.node.map(|node| node + 1) == Some(*number),
        };
        if !wanted {
            return;
        }
        let _ = write!(self.text, "{:>12.6}", at as f64 / 1e6);
        if let Some(node) = about.node {
            let _ = write!(self.text, "  n{}", node + 1);
        }
        if let Some(request) = about.request {
            let _ = write!(self.text, "  request {request}");
        }
        if let Some(key) = about.key {
            let _ = write!(self.text, "  key {key}");
        }
        if let Some(server) = about.server {
            let _ = write!(self.text, "  {server}");
        }
        let _ = writeln!(self.text, "  {what}");
    }

    pub fn into_text(self) -> String {
        self.text
    }
}
