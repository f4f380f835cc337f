//! Owns Raft's messages as bytes: mirrored in plain types and read by `postcard`. The crate's own protobuf decoder, which
//! recurses without a bound on hostile input, never sees what comes from outside.

use raft::eraftpb::{Message, MessageType};
use serde::{Deserialize, Serialize};

use super::log::{of_entry, of_snapshot, to_entry, to_snapshot, Content, Item, SnapshotKept};

/// Bytes of a command, at most: an entry with its message fits a datagram.
pub const LONGEST_COMMAND: usize = 900;
/// Entries in a message, at most.
const MOST_ENTRIES: usize = 4_096;

/// Why a message was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Fault {
    /// No message of this form.
    #[error("no message of the agreed log")]
    Unreadable,
    /// Not to this voter, or from itself.
    #[error("not for this voter")]
    Stranger,
    /// A kind that never crosses the network.
    #[error("a kind that is not for the network")]
    Kind,
    /// Refers to entries that this voter does not have: it, or the sender, has lost some.
    #[error("refers to entries that are not here")]
    Beyond,
}

/// The kinds that cross the network, as numbers of the wire.
const KINDS: [(u8, MessageType); 12] = [
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

#[derive(Debug, Serialize, Deserialize)]
struct Mirror {
    kind: u8,
    to: u64,
    from: u64,
    term: u64,
    log_term: u64,
    index: u64,
    entries: Vec<Item>,
    commit: u64,
    commit_term: u64,
    snapshot: Option<SnapshotKept>,
    request_snapshot: u64,
    reject: bool,
    reject_hint: u64,
    priority: i64,
    context: Vec<u8>,
}

/// The bytes of a message; `None` for a kind that stays inside.
pub(super) fn encode(message: &Message) -> Option<Vec<u8>> {
    let (kind, _) = KINDS.iter().find(|(_, kind)| *kind == message.msg_type)?;
    let snapshot = message
        .snapshot
        .as_ref()
        .filter(|snapshot| snapshot.get_metadata().index > 0);
    let snapshot = snapshot.map(of_snapshot);
    let mirror = Mirror {
        kind: *kind,
        to: message.to,
        from: message.from,
        term: message.term,
        log_term: message.log_term,
        index: message.index,
        entries: message.entries.iter().map(of_entry).collect(),
        commit: message.commit,
        commit_term: message.commit_term,
        snapshot,
        request_snapshot: message.request_snapshot,
        reject: message.reject,
        reject_hint: message.reject_hint,
        priority: message.priority,
        context: message.context.to_vec(),
    };
    postcard::to_stdvec(&mirror).ok()
}

/// Reads a message to `me`. `last` is the last entry here. The sender need not be known as a voter: one that was away
/// while all others were replaced learns of it from their leader.
pub(super) fn decode(bytes: &[u8], me: u64, last: u64) -> Result<Message, Fault> {
    let mirror: Mirror = postcard::from_bytes(bytes).map_err(|_| Fault::Unreadable)?;
    if mirror.to != me || mirror.from == me || mirror.from == 0 {
        return Err(Fault::Stranger);
    }
    let kind = KINDS
        .iter()
        .find(|(number, _)| *number == mirror.kind)
        .ok_or(Fault::Kind)?
        .1;
    let entries = &mirror.entries;
    let in_order = entries
        .iter()
        .zip(1..)
        .all(|(entry, nth)| mirror.index.checked_add(nth) == Some(entry.index));
    let sound = entries.len() <= MOST_ENTRIES
        && entries
            .iter()
            .all(|entry| entry.content.len() <= LONGEST_COMMAND)
        && (kind == MessageType::MsgPropose || in_order);
    // Who votes is changed by the leader alone, at its own staff's word.
    let change = |entry: &Item| matches!(entry.content, Content::Change(_));
    if kind == MessageType::MsgPropose && entries.iter().any(change) {
        return Err(Fault::Kind);
    }
    if !sound {
        return Err(Fault::Unreadable);
    }
    // The crate panics where it is told that entries are agreed which it does not have.
    if kind == MessageType::MsgHeartbeat && mirror.commit > last {
        return Err(Fault::Beyond);
    }
    let mut message = Message {
        msg_type: kind,
        to: mirror.to,
        from: mirror.from,
        term: mirror.term,
        log_term: mirror.log_term,
        index: mirror.index,
        entries: mirror
            .entries
            .iter()
            .map(to_entry)
            .collect::<Vec<_>>()
            .into(),
        commit: mirror.commit,
        commit_term: mirror.commit_term,
        request_snapshot: mirror.request_snapshot,
        reject: mirror.reject,
        reject_hint: mirror.reject_hint,
        priority: mirror.priority,
        context: mirror.context.into(),
        ..Message::default()
    };
    if kind == MessageType::MsgSnapshot {
        let snapshot = mirror.snapshot.ok_or(Fault::Unreadable)?;
        // The crate panics on a snapshot for nobody.
        if snapshot.conf.voters.is_empty() || snapshot.conf.voters.contains(&0) {
            return Err(Fault::Unreadable);
        }
        message.set_snapshot(to_snapshot(&snapshot));
    }
    Ok(message)
}
