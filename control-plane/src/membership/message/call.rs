//! Calls between agents and their answers.

use serde::{Deserialize, Serialize};

use super::envelope::{open, seal, Expected};
use super::{MessageError, SUPPORTED_FORMATS};
use crate::coordinator::{CommandRequest, CommandResult, FleetUpdate};
use crate::lease::StaleToken;
use crate::membership::{Identity, Record};
use crate::metrics::{FleetMetricsReport, MetricsAnswer, MetricsQuery};

/// Longest call or answer in bytes: enough for a full view of about ten thousand members.
pub const MAX_CALL_BYTES: usize = 4 << 20;

/// State of a member in an exchanged view. The order of the variants is the wire format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RowState {
    /// The member is present and not suspected.
    Alive,
    /// The member is present and suspected.
    Suspect,
    /// The member has failed or left; its record says which.
    Down,
}

/// A member in an exchanged view. The order of the fields is the wire format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRow {
    /// Identity of the member.
    pub identity: Identity,
    /// Incarnation: the number of its refutations under this identity.
    pub incarnation: u16,
    /// Whether the sender sees the member as alive, suspect or down.
    pub state: RowState,
}

/// An agent's full view. The order of the fields is the wire format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FullView {
    /// Record of the sender.
    pub from: Record,
    /// Digest of the sender's view.
    pub digest: u64,
    /// All members, the sender included once it has joined.
    pub rows: Vec<MemberRow>,
    /// All records known to the sender.
    pub records: Vec<Record>,
}

/// A call from agent to agent, or its answer. The order of the variants is the wire format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallMessage {
    /// The caller's full view (anti-entropy); answered with the receiver's.
    SyncViews(FullView),
    /// The caller claims its name; answered with [`CallMessage::NameHolder`].
    ClaimName(Record),
    /// Answer to [`CallMessage::ClaimName`]: the record of the process that answers.
    NameHolder(Record),
    /// A consensus message between voters that is too long for a datagram. It is not answered.
    Consensus(Vec<u8>),
    /// An operator's command, forwarded to a voter by an agent that has no vote.
    ForwardCommand(CommandRequest),
    /// Answer to [`CallMessage::ForwardCommand`].
    CommandResult(CommandResult),
    /// The holder of a role updates the receiver; answered with [`CallMessage::UpdateResult`].
    ApplyUpdate(FleetUpdate),
    /// Answer to [`CallMessage::ApplyUpdate`].
    UpdateResult(Result<(), StaleToken>),
    /// The holder of a role queries the metrics of the receiver's node; answered with [`CallMessage::NodeMetrics`].
    QueryMetrics(MetricsQuery),
    /// Answer to [`CallMessage::QueryMetrics`].
    NodeMetrics(MetricsAnswer),
    /// An operator's request for the fleet's metrics, with the number of agents that have forwarded it.
    QueryFleetMetrics(u8),
    /// Answer to [`CallMessage::QueryFleetMetrics`]; `None` if no holder of the role was found.
    FleetMetrics(Option<Box<FleetMetricsReport>>),
}

impl CallMessage {
    /// Encodes a call or an answer, in the oldest format: calls are the same in all formats.
    pub fn encode(&self, fleet: u64) -> Vec<u8> {
        seal(SUPPORTED_FORMATS.oldest, fleet, self)
    }

    /// Decodes a call or an answer.
    ///
    /// # Errors
    /// If it is too long, corrupt, of another fleet, or in an unsupported format.
    pub fn decode(bytes: &[u8], fleet: u64) -> Result<CallMessage, MessageError> {
        let expected = Expected {
            max_bytes: MAX_CALL_BYTES,
            fleet,
            formats: SUPPORTED_FORMATS,
        };
        let opened = open(bytes, &expected)?;
        let message: CallMessage =
            postcard::from_bytes(opened.body).map_err(|_| MessageError::Corrupt)?;
        if message.has_valid_records() {
            Ok(message)
        } else {
            Err(MessageError::Corrupt)
        }
    }

    /// Whether the records in the message are within their bounds. Other contents are checked where they are handled.
    fn has_valid_records(&self) -> bool {
        match self {
            CallMessage::SyncViews(view) => {
                view.from.is_valid() && view.records.iter().all(Record::is_valid)
            }
            CallMessage::ClaimName(record) | CallMessage::NameHolder(record) => record.is_valid(),
            _ => true,
        }
    }
}
