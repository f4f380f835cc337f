//! Owns what a desk begins with, what it learns, and what it wants done.

use std::collections::BTreeMap;

use super::{Act, Answer, Request, Wish};
use crate::consensus::{Kept, Save, VoterId};
use crate::duty::{Alarm, Change, Fence, Lease, Raised, Stale};
use crate::membership::Name;

/// A member as the desk needs it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Its name.
    pub name: Name,
    /// Its process.
    pub process: u64,
    /// Its zone.
    pub zone: String,
}

/// What a desk starts with.
pub struct Start {
    /// This agent.
    pub me: Member,
    /// The names of the voters, as far as known without a vote; empty for a fleet without duties.
    pub voters: Vec<Name>,
    /// Leases.
    pub lease: Lease,
    /// The agreed log's pace.
    pub tick: std::time::Duration,
    /// Steps without a leader before an election.
    pub election_ticks: usize,
    /// Entries after which the log is cut to a snapshot.
    pub compact_after: u64,
    /// This voter's number and what it kept; `None` where it has no vote, or has lost what it kept.
    pub kept: Option<(VoterId, Kept)>,
    /// The fence, as kept.
    pub fence: Fence,
    /// For the election time-out.
    pub seed: u64,
}

/// What the desk learns.
#[derive(Clone, Debug)]
pub enum Event {
    /// Another voter's message.
    Message(Vec<u8>),
    /// A save is on disk for good.
    Saved(u64),
    /// A save failed: this voter promises nothing any more.
    NotSaved,
    /// The members present, this agent among them.
    Members(Vec<Member>),
    /// Staff ask this agent for something.
    Asked {
        /// Comes back with the answer.
        ask: u64,
        /// What.
        wish: Wish,
    },
    /// Another agent asks for its staff, under its own id.
    Request {
        /// Comes back with the answer.
        ask: u64,
        /// What.
        request: Request,
    },
    /// An agent that asked another for its staff got an answer, or none.
    Forwarded {
        /// The ask.
        ask: u64,
        /// The answer.
        answer: Option<Answer>,
    },
    /// A holder acts on this agent.
    Act {
        /// Comes back with the answer.
        ask: u64,
        /// What.
        act: Act,
    },
    /// An act of this agent's came to its end.
    Acted {
        /// At whom.
        to: Name,
        /// Which version it brought.
        version: u64,
        /// What the other said; `None` for no answer.
        answer: Option<Result<(), Stale>>,
    },
    /// The alarms that should stand now, by the watcher's own look.
    Observed(BTreeMap<Alarm, Raised>),
    /// This agent stops: what it holds is to go to others first.
    Stop,
    /// The time of [`Desk::next_wake`](super::Desk::next_wake) has come.
    Wake {
        /// The wall clock in milliseconds: for the ends that staff gave, and for people.
        wall_ms: u64,
    },
}

/// What the host is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send to another voter.
    Send {
        /// Whom.
        to: Name,
        /// What.
        bytes: Vec<u8>,
    },
    /// Keep, for good, before [`Event::Saved`] is said.
    Save {
        /// Its number.
        number: u64,
        /// What.
        save: Save,
    },
    /// Ask another agent on behalf of one's staff.
    Forward {
        /// The ask.
        ask: u64,
        /// Whom.
        to: Name,
        /// What.
        request: Request,
    },
    /// Answer an ask.
    Answer {
        /// Which.
        ask: u64,
        /// What.
        answer: Answer,
    },
    /// Act on another agent.
    Act {
        /// Whom.
        to: Name,
        /// What.
        act: Act,
    },
    /// Keep the fence, bring the node to this, and answer the ask with yes: in this order.
    Enforce {
        /// Which.
        ask: u64,
        /// What.
        act: Act,
        /// To be kept first.
        fence: Fence,
    },
    /// An act of an older token: nothing is done.
    Refuse {
        /// Which.
        ask: u64,
        /// Why.
        stale: Stale,
    },
    /// A duty changed hands, for logs.
    Moved(Change),
    /// An alarm was raised, or is over: for staff, once in the fleet.
    Say {
        /// Which.
        alarm: Alarm,
        /// What; `None` where it is over.
        raised: Option<Raised>,
    },
    /// Who leads the agreed log, for logs.
    Leader {
        /// The term.
        term: u64,
        /// Who.
        leader: Option<Name>,
        /// Whether it is this very voter: another store of its name may have led before.
        here: bool,
    },
    /// This agent has no vote any more: staff removed it, or its state can't be read.
    VoteLost(&'static str),
    /// Nothing is held here any more: this agent may go.
    HandedOver,
}
