//! The file descriptors that the process may open, divided into shares at the start. A part of the node takes a
//! permit from its share before it opens a socket, so that many clients can't use up the descriptors that discovery,
//! servers, health checks and operators need.

use std::fmt;
use std::rc::Rc;

use crate::admin::MAX_CONNECTIONS;
use crate::task::Budget;

/// Descriptors outside all shares. About a dozen are open: standard input and output, those of the runtime and its
/// signal handlers, the clients' listener, the peers' socket, a connection that was just accepted, a file. The others
/// are for sockets that the system has not closed yet.
const UNSHARED: usize = 17;
/// Watches of discovery that may be open at a time: the current one, the one that it replaces and the one before.
const MAX_WATCHES: usize = 3;
/// Health checks that can be sent at a time while requests hold all other sockets.
const RESERVED_HEALTH_CHECKS: usize = 4;
/// Most connections past the clients' share that are answered with a rejection at a time.
const MAX_REJECTED_CONNECTIONS: usize = 32;

/// The share of each part of the node.
pub struct Descriptors {
    /// Client connections that are served. Each also takes a permit of `shared`.
    pub clients: Rc<Budget>,
    /// Client connections that are only rejected.
    pub overflow: Rc<Budget>,
    /// Client connections that are served, together with server connections. A third of all descriptors is left
    /// to server connections. Clients may take all others of this share, so that connections that never send a
    /// request do not use up the room for clients.
    pub shared: Rc<Budget>,
    /// Requests whose body is streamed: such a body may arrive slowly and holds a server's socket meanwhile. A
    /// quarter of the servers' descriptors is left to requests that are buffered before they are sent.
    pub uploads: Rc<Budget>,
    /// Health checks that got no permit of `shared`.
    pub probes: Rc<Budget>,
    /// Watches of discovery.
    pub watches: Rc<Budget>,
    /// Operators' connections.
    pub admin: Rc<Budget>,
}

/// The process may open fewer descriptors than the node needs.
#[derive(Debug)]
pub struct TooFewDescriptors {
    total: usize,
    required: usize,
}

impl fmt::Display for TooFewDescriptors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "limits.sockets: {} descriptors are too few, at least {} are needed",
            self.total, self.required
        )
    }
}

impl std::error::Error for TooFewDescriptors {}

impl Descriptors {
    /// Divides `total` descriptors among the parts of the node, with a share for operators if `admin_enabled`.
    ///
    /// # Errors
    ///
    /// The parts need more than `total`.
    pub fn allocate(total: usize, admin_enabled: bool) -> Result<Descriptors, TooFewDescriptors> {
        // The admin server, if enabled, needs descriptors for its connections and its listener.
        let reserved = UNSHARED
            + MAX_WATCHES
            + RESERVED_HEALTH_CHECKS
            + if admin_enabled {
                MAX_CONNECTIONS + 1
            } else {
                0
            };
        let required = reserved + 4;
        if total < required {
            return Err(TooFewDescriptors { total, required });
        }
        let overflow = MAX_REJECTED_CONNECTIONS.min((total - reserved) / 2);
        let shared = total - reserved - overflow;
        let servers = (total / 3).min(shared - 1);
        Ok(Descriptors {
            clients: Budget::new(shared - servers),
            overflow: Budget::new(overflow),
            shared: Budget::new(shared),
            uploads: Budget::new((servers - servers / 4).max(1)),
            probes: Budget::new(RESERVED_HEALTH_CHECKS),
            watches: Budget::new(MAX_WATCHES),
            admin: Budget::new(MAX_CONNECTIONS),
        })
    }
}

/// The number of descriptors that this process may open, its soft limit; `None` if it can't be read.
pub fn soft_limit() -> Option<usize> {
    let text = std::fs::read_to_string("/proc/self/limits").ok()?;
    let line = text
        .lines()
        .find_map(|line| line.strip_prefix("Max open files"))?;
    line.split_whitespace().next()?.parse().ok()
}

#[cfg(test)]
mod tests;
