//! Owns the connections between the processes of the nodes and the servers, as counts: how many stand
//! idle and since when. A request takes the one used last; one that stood idle too long has been closed.

use std::collections::BTreeMap;

use super::node::ProcessIx;
use crate::world::{Micros, ServerIx};

/// Idle connections by process and server: when each was used last, the latest at the end.
#[derive(Debug)]
pub struct Links {
    idle: BTreeMap<(ProcessIx, ServerIx), Vec<Micros>>,
    closes_after: Micros,
}

impl Links {
    pub fn new(closes_after: Micros) -> Links {
        Links {
            idle: BTreeMap::new(),
            closes_after,
        }
    }

    /// Takes an idle connection; also says how many the server has closed since it was last asked.
    pub fn take(&mut self, now: Micros, process: ProcessIx, server: ServerIx) -> (bool, usize) {
        let Some(idle) = self.idle.get_mut(&(process, server)) else {
            return (false, 0);
        };
        let before = idle.len();
        idle.retain(|used| used + self.closes_after > now);
        let closed = before - idle.len();
        (idle.pop().is_some(), closed)
    }

    /// A connection has done its request.
    pub fn give(&mut self, now: Micros, process: ProcessIx, server: ServerIx) {
        self.idle.entry((process, server)).or_default().push(now);
    }

    /// Closes the idle connections of a process to a server; how many.
    pub fn close(&mut self, process: ProcessIx, server: ServerIx) -> usize {
        self.idle
            .remove(&(process, server))
            .map_or(0, |idle| idle.len())
    }

    /// All connections of a server are gone; how many stood idle.
    pub fn reset(&mut self, server: ServerIx) -> usize {
        let mut count = 0;
        self.idle.retain(|(_, of), idle| {
            count += if *of == server { idle.len() } else { 0 };
            *of != server
        });
        count
    }
}
