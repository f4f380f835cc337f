//! Idle connections between processes and servers. A request takes the most recently used one. Servers close those
//! that have been idle too long.

use std::collections::BTreeMap;

use super::node::ProcessIx;
use crate::world::{Micros, ServerIx};

/// Idle connections by process and server: the time of last use of each, the most recent last.
#[derive(Debug)]
pub struct IdleConnections {
    idle: BTreeMap<(ProcessIx, ServerIx), Vec<Micros>>,
    idle_timeout: Micros,
}

impl IdleConnections {
    pub fn new(idle_timeout: Micros) -> IdleConnections {
        IdleConnections {
            idle: BTreeMap::new(),
            idle_timeout,
        }
    }

    /// Takes an idle connection. Returns whether there was one, and how many the server has closed since the last call.
    pub fn checkout(&mut self, now: Micros, process: ProcessIx, server: ServerIx) -> (bool, usize) {
        let Some(idle) = self.idle.get_mut(&(process, server)) else {
            return (false, 0);
        };
        let before = idle.len();
        idle.retain(|used| used + self.idle_timeout > now);
        let closed = before - idle.len();
        (idle.pop().is_some(), closed)
    }

    /// Puts back a connection whose request has ended.
    pub fn put_back(&mut self, now: Micros, process: ProcessIx, server: ServerIx) {
        self.idle.entry((process, server)).or_default().push(now);
    }

    /// Closes the idle connections of a process to a server, and returns their number.
    pub fn close(&mut self, process: ProcessIx, server: ServerIx) -> usize {
        self.idle
            .remove(&(process, server))
            .map_or(0, |idle| idle.len())
    }

    /// Removes the idle connections of all processes to a server, and returns their number.
    pub fn reset(&mut self, server: ServerIx) -> usize {
        let mut count = 0;
        self.idle.retain(|(_, of), idle| {
            count += if *of == server { idle.len() } else { 0 };
            *of != server
        });
        count
    }
}
