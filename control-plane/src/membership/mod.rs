//! Who is present, who has left, who has failed, and who sees it otherwise: SWIM by `foca`, with Lifeguard's
//! parts round it. Pure: no I/O, no clock, random numbers from a seed. The host carries out the actions.

mod board;
mod core;
mod digest;
mod foca_port;
mod health;
mod identity;
mod message;
mod pace;
mod presence;
mod reach;
mod record;
mod report;
mod settings;
mod suspicion;
mod timers;
mod view;

pub use self::core::{Action, CallId, ConnId, Event, Membership, Start};
pub use digest::{Difference, Peer};
pub use identity::{Identity, Name, NameFault};
pub use message::{
    fleet_id, Counts, Datagram, Fault as MessageFault, Row, RowState, Stream, Whole, Word, FORMATS,
    LONGEST_DATAGRAM, LONGEST_STREAM,
};
pub use presence::Present;
pub use record::{Formats, NodeState, Record};
pub use report::{Agreement, MemberReport, Report};
pub use settings::{Settings, SettingsFault};
pub use view::{Change, Entry, Presence, View};
