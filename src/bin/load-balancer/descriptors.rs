//! The file descriptors that the process may hold, shared out once at the start. Whoever opens a socket takes a
//! permit of its own share before, so that no crowd of clients can take what discovery, the servers, probes and
//! operators need.

use std::fmt;
use std::rc::Rc;

use crate::admin::MAX_CONNECTIONS;
use crate::task::Budget;

/// What is open besides, a dozen: the standard ones, the runtime's and its signals', the clients' listener, the peers'
/// socket, a connection that was just accepted, a file. And some that the system has not closed yet.
const BASE: usize = 17;
/// The watch, the one that it replaces and the one before that.
const WATCHES: usize = 3;
/// Probes that find a socket though requests hold all others.
const PROBES: usize = 4;
/// Connections past the clients' places that are told so at a time.
const OVERFLOW: usize = 32;

/// Each part's share.
pub struct Descriptors {
    /// Clients' connections, which take one of `shared` too.
    pub clients: Rc<Budget>,
    /// Clients that are only told to go.
    pub overflow: Rc<Budget>,
    /// Clients' connections and servers'. Clients leave a third of all descriptors to the servers; the rest is
    /// for peers that only connect, so that they keep no client out.
    pub shared: Rc<Budget>,
    /// Requests whose body passes to a server as it comes: such a body may come slowly and holds a server's socket
    /// meanwhile. A quarter of the servers' part is for requests that came whole.
    pub uploads: Rc<Budget>,
    /// Probes that found none of `shared`.
    pub probes: Rc<Budget>,
    pub watches: Rc<Budget>,
    pub admin: Rc<Budget>,
}

/// There are too few to share out.
#[derive(Debug)]
pub struct TooFewDescriptors {
    most: usize,
    least: usize,
}

impl fmt::Display for TooFewDescriptors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "limits.sockets: {} descriptors are too few, at least {} are needed",
            self.most, self.least
        )
    }
}

impl std::error::Error for TooFewDescriptors {}

impl Descriptors {
    /// Shares out `most` descriptors; operators get theirs where they call.
    pub fn allocate(most: usize, admin_enabled: bool) -> Result<Descriptors, TooFewDescriptors> {
        // Callers and their listener.
        let kept = BASE
            + WATCHES
            + PROBES
            + if admin_enabled {
                MAX_CONNECTIONS + 1
            } else {
                0
            };
        let least = kept + 4;
        if most < least {
            return Err(TooFewDescriptors { most, least });
        }
        let overflow = OVERFLOW.min((most - kept) / 2);
        let shared = most - kept - overflow;
        let servers = (most / 3).min(shared - 1);
        Ok(Descriptors {
            clients: Budget::new(shared - servers),
            overflow: Budget::new(overflow),
            shared: Budget::new(shared),
            uploads: Budget::new((servers - servers / 4).max(1)),
            probes: Budget::new(PROBES),
            watches: Budget::new(WATCHES),
            admin: Budget::new(MAX_CONNECTIONS),
        })
    }
}

/// How many descriptors the system lets this process hold, where it says.
pub fn soft_limit() -> Option<usize> {
    let text = std::fs::read_to_string("/proc/self/limits").ok()?;
    let line = text
        .lines()
        .find_map(|line| line.strip_prefix("Max open files"))?;
    line.split_whitespace().next()?.parse().ok()
}

#[cfg(test)]
mod tests;
