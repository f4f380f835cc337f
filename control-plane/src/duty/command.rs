//! Owns the words of the agreed log: duties, commands and what becomes of them. What they add up to is the state's.

use serde::{Deserialize, Serialize};

use super::state::Raised;
use crate::membership::Name;

/// A duty by name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Duty {
    /// Brings the set of servers that staff took out to every node.
    Maintenance,
    /// Sums the fleet's figures.
    Census,
    /// Says staff's alarms once.
    Watch,
}

/// All duties.
pub const DUTIES: [Duty; 3] = [Duty::Maintenance, Duty::Census, Duty::Watch];

impl Duty {
    /// The word that staff use.
    pub fn word(self) -> &'static str {
        match self {
            Duty::Maintenance => "maintenance",
            Duty::Census => "census",
            Duty::Watch => "watch",
        }
    }
}

impl std::str::FromStr for Duty {
    type Err = String;

    fn from_str(text: &str) -> Result<Duty, String> {
        let found = DUTIES.into_iter().find(|duty| duty.word() == text);
        found.ok_or_else(|| format!("'{text}' is no duty: maintenance, census or watch"))
    }
}

/// A command's id: who asked, and its number there. The same command tried again has the same id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CommandId(pub u64, pub u64);

/// Something to agree on.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Command {
    /// Its id.
    pub id: CommandId,
    /// What it does.
    pub what: What,
}

/// What a command does.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum What {
    /// The duty goes to that process, if nothing has happened to it since the proposer looked.
    Give {
        /// Which.
        duty: Duty,
        /// To whom.
        to: Name,
        /// Its process: a restarted one is another.
        process: u64,
        /// The token seen; 0 for none.
        after: u64,
        /// The renewals seen under it.
        renewals: u64,
        /// The giver's wall clock in milliseconds: for people.
        at_ms: u64,
    },
    /// The holder goes on with all that it holds under these tokens.
    Renew(Vec<(Duty, u64)>),
    /// The holder gives the duty up. Only the holder itself says so, once it acts no more.
    Release {
        /// Which.
        duty: Duty,
        /// Under which token.
        token: u64,
        /// Why.
        why: Why,
        /// Its wall clock in milliseconds: for people.
        at_ms: u64,
    },
    /// Staff take a server out of all nodes.
    Out {
        /// Its id on discovery's list.
        server: String,
        /// The rest of it.
        out: Out,
    },
    /// Staff put it back, or its time is up.
    Back {
        /// Its id.
        server: String,
    },
    /// Changes nothing: whoever asks learns what holds at its place in the log.
    Look,
    /// The watcher raises an alarm, or clears it with `None`.
    Alarm {
        /// Which.
        alarm: Alarm,
        /// What is to be said.
        raised: Option<Raised>,
    },
}

/// Why a server is out.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Out {
    /// Who said so.
    pub who: String,
    /// Why, for people.
    pub why: String,
    /// Since when, in milliseconds of the asker's wall clock: for people.
    pub since_ms: u64,
    /// Until when, in the same; `None` until it is put back.
    pub until_ms: Option<u64>,
}

/// What an alarm is about.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Alarm {
    /// The fleet refuses too large a part.
    Jam,
    /// Nodes go by different lists of servers.
    Discovery,
    /// That member's node starts again and again.
    Flaps(Name),
}

/// Why a duty changed hands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Why {
    /// Nobody had held it.
    First,
    /// The holder's lease ran out.
    Lapsed,
    /// Its last holder had given it up.
    Free,
    /// The holder stops.
    Stops,
    /// Staff asked the holder to.
    Asked,
}

/// A change of hands.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Change {
    /// Which duty.
    pub duty: Duty,
    /// Who held it before.
    pub from: Option<Name>,
    /// Who holds it from here on; `None` where it was given up.
    pub to: Option<Name>,
    /// Its token.
    pub token: u64,
    /// Why.
    pub why: Why,
    /// When, in milliseconds of the proposer's wall clock: for people.
    pub at_ms: u64,
}

/// What became of a command.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Outcome {
    /// It took effect.
    Done,
    /// It took effect on a server, which was out like this before; `None` where it was in.
    Set(Option<Out>),
    /// The duty went to another meanwhile, or was renewed: nothing changed.
    Overtaken,
    /// There are too many servers out: nothing changed.
    Full,
    /// It had taken effect before, with this outcome.
    Repeated(Box<Outcome>),
}
