//! Raft messages on the wire: plain types that mirror those of the crate `raft`, encoded with `postcard`.
//!
//! Bytes from the network never reach the crate's protobuf decoder, whose recursion is unbounded on hostile input.

use raft::eraftpb::{Message, MessageType};
use serde::{Deserialize, Serialize};

use super::convert::{from_raft_entry, from_raft_snapshot, to_raft_entry, to_raft_snapshot};
use super::{EntryPayload, LogEntry, LogSnapshot, VoterId};

/// Maximum size of a command in bytes, so that a message with one entry fits into a datagram.
pub const MAX_COMMAND_BYTES: usize = 900;
/// Maximum number of entries in a message.
const MAX_MESSAGE_ENTRIES: usize = 4_096;

/// Why a received message was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MessageError {
    /// The message does not decode or exceeds a bound.
    #[error("not a message of the replicated log")]
    Unreadable,
    /// The message is addressed to another voter, or claims to come from this one.
    #[error("addressed to another voter")]
    WrongRecipient,
    /// Messages of this kind are not accepted from the network.
    #[error("of a kind that is not accepted from the network")]
    ForbiddenKind,
    /// The message refers to entries that this voter does not have: this voter or the sender has lost entries.
    #[error("refers to entries that this voter does not have")]
    MissingEntries,
}

/// The kinds of messages that are sent over the network, with their numbers on the wire. The numbers must not change.
const WIRE_KINDS: [(u8, MessageType); 12] = [
    (1, MessageType::MsgAppend),
    (2, MessageType::MsgAppendResponse),
    (3, MessageType::MsgRequestVote),
    (4, MessageType::MsgRequestVoteResponse),
    (5, MessageType::MsgSnapshot),
    (6, MessageType::MsgHeartbeat),
    (7, MessageType::MsgHeartbeatResponse),
    (8, MessageType::MsgTimeoutNow),
    (9, MessageType::MsgRequestPreVote),
    (10, MessageType::MsgRequestPreVoteResponse),
    (11, MessageType::MsgTransferLeader),
    (12, MessageType::MsgPropose),
];

/// The wire number of a kind; `None` for a kind that is not sent over the network.
fn wire_number(kind: MessageType) -> Option<u8> {
    WIRE_KINDS
        .iter()
        .find(|(_, candidate)| *candidate == kind)
        .map(|(number, _)| *number)
}

/// The kind with a wire number; `None` for a number that is not accepted from the network.
fn kind_from_wire(wire_number: u8) -> Option<MessageType> {
    WIRE_KINDS
        .iter()
        .find(|(number, _)| *number == wire_number)
        .map(|(_, kind)| *kind)
}

/// The serialized form of a message. `postcard` identifies fields by position: their order must not change.
#[derive(Debug, Serialize, Deserialize)]
struct WireMessage {
    kind: u8,
    to: u64,
    from: u64,
    term: u64,
    log_term: u64,
    index: u64,
    entries: Vec<LogEntry>,
    commit: u64,
    commit_term: u64,
    snapshot: Option<LogSnapshot>,
    request_snapshot: u64,
    reject: bool,
    reject_hint: u64,
    priority: i64,
    context: Vec<u8>,
}

/// Serializes a message; `None` for a kind that is not sent over the network.
pub(super) fn encode(message: &Message) -> Option<Vec<u8>> {
    let wire = WireMessage {
        kind: wire_number(message.msg_type)?,
        to: message.to,
        from: message.from,
        term: message.term,
        log_term: message.log_term,
        index: message.index,
        entries: message.entries.iter().map(from_raft_entry).collect(),
        commit: message.commit,
        commit_term: message.commit_term,
        snapshot: message.snapshot.as_ref().and_then(from_raft_snapshot),
        request_snapshot: message.request_snapshot,
        reject: message.reject,
        reject_hint: message.reject_hint,
        priority: message.priority,
        context: message.context.to_vec(),
    };
    postcard::to_stdvec(&wire).ok()
}

/// Decodes and validates a message to the voter `me`, whose last log entry has the index `last_index`. The sender need
/// not be a voter that this one knows: a voter that was offline while all others were replaced learns of the new ones
/// from their leader.
///
/// # Errors
///
/// [`MessageError`] if the message must not be passed to the crate `raft`.
pub(super) fn decode(bytes: &[u8], me: VoterId, last_index: u64) -> Result<Message, MessageError> {
    let wire: WireMessage = postcard::from_bytes(bytes).map_err(|_| MessageError::Unreadable)?;
    let kind = validate(&wire, me, last_index)?;
    let snapshot = match kind {
        MessageType::MsgSnapshot => Some(validate_snapshot(wire.snapshot.as_ref())?),
        _ => None,
    };
    let mut message = Message {
        msg_type: kind,
        to: wire.to,
        from: wire.from,
        term: wire.term,
        log_term: wire.log_term,
        index: wire.index,
        entries: wire
            .entries
            .iter()
            .map(to_raft_entry)
            .collect::<Vec<_>>()
            .into(),
        commit: wire.commit,
        commit_term: wire.commit_term,
        request_snapshot: wire.request_snapshot,
        reject: wire.reject,
        reject_hint: wire.reject_hint,
        priority: wire.priority,
        context: wire.context.into(),
        ..Message::default()
    };
    if let Some(snapshot) = snapshot {
        message.set_snapshot(to_raft_snapshot(snapshot));
    }
    Ok(message)
}

/// Checks a message's recipient, kind, bounds and entries, and returns its kind.
fn validate(wire: &WireMessage, me: VoterId, last_index: u64) -> Result<MessageType, MessageError> {
    if wire.to != me || wire.from == me || wire.from == 0 {
        return Err(MessageError::WrongRecipient);
    }
    let kind = kind_from_wire(wire.kind).ok_or(MessageError::ForbiddenKind)?;
    let is_proposal = kind == MessageType::MsgPropose;
    // Configuration changes are proposed only by the leader itself, one at a time: none is accepted from the network.
    if is_proposal && wire.entries.iter().any(is_configuration_change) {
        return Err(MessageError::ForbiddenKind);
    }
    if !entries_are_bounded(&wire.entries) {
        return Err(MessageError::Unreadable);
    }
    if !is_proposal && !entries_follow(wire.index, &wire.entries) {
        return Err(MessageError::Unreadable);
    }
    // The crate panics on a heartbeat whose commit index is beyond the end of the log.
    if kind == MessageType::MsgHeartbeat && wire.commit > last_index {
        return Err(MessageError::MissingEntries);
    }
    Ok(kind)
}

fn is_configuration_change(entry: &LogEntry) -> bool {
    matches!(entry.payload, EntryPayload::ConfigurationChange(_))
}

fn entries_are_bounded(entries: &[LogEntry]) -> bool {
    let fits = |entry: &LogEntry| entry.payload.size() <= MAX_COMMAND_BYTES;
    entries.len() <= MAX_MESSAGE_ENTRIES && entries.iter().all(fits)
}

/// Whether the entries continue the log after `index` without a gap.
fn entries_follow(index: u64, entries: &[LogEntry]) -> bool {
    entries
        .iter()
        .zip(1..)
        .all(|(entry, nth)| index.checked_add(nth) == Some(entry.index))
}

/// Checks that there is a snapshot with valid voters: the crate panics on a snapshot without voters.
fn validate_snapshot(snapshot: Option<&LogSnapshot>) -> Result<&LogSnapshot, MessageError> {
    let snapshot = snapshot.ok_or(MessageError::Unreadable)?;
    let voters = &snapshot.configuration.voters;
    if voters.is_empty() || voters.contains(&0) {
        return Err(MessageError::Unreadable);
    }
    Ok(snapshot)
}
