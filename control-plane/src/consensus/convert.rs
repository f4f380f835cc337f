//! Conversions between the types of this module and those of the crate `raft`.

use protobuf::Message as _;
use raft::eraftpb::{
    ConfChange, ConfChangeType, ConfState, Entry, EntryType, HardState as RaftHardState, Snapshot,
    SnapshotMetadata,
};

use super::{
    ConfigurationChange, ConfigurationChangeKind, EntryPayload, HardState, LogEntry, LogSnapshot,
    VoterConfiguration,
};

pub(super) fn to_raft_hard_state(hard_state: &HardState) -> RaftHardState {
    RaftHardState {
        term: hard_state.term,
        vote: hard_state.vote,
        commit: hard_state.commit,
        ..RaftHardState::default()
    }
}

pub(super) fn from_raft_hard_state(hard_state: &RaftHardState) -> HardState {
    HardState {
        term: hard_state.term,
        vote: hard_state.vote,
        commit: hard_state.commit,
    }
}

pub(super) fn to_raft_configuration(configuration: &VoterConfiguration) -> ConfState {
    ConfState {
        voters: configuration.voters.clone(),
        learners: configuration.learners.clone(),
        ..ConfState::default()
    }
}

pub(super) fn from_raft_configuration(state: &ConfState) -> VoterConfiguration {
    VoterConfiguration {
        voters: state.voters.clone(),
        learners: state.learners.clone(),
    }
}

/// Converts a configuration change to the type of the crate `raft`. The crate's protobuf decoder is used only on
/// changes that this process encoded, never on bytes from the network.
pub(super) fn to_raft_change(change: &ConfigurationChange) -> ConfChange {
    let kind = match change.kind {
        ConfigurationChangeKind::AddLearner => ConfChangeType::AddLearnerNode,
        ConfigurationChangeKind::AddVoter => ConfChangeType::AddNode,
        ConfigurationChangeKind::Remove => ConfChangeType::RemoveNode,
    };
    ConfChange {
        change_type: kind,
        node_id: change.voter,
        context: change.context.clone().into(),
        ..ConfChange::default()
    }
}

fn from_raft_change(data: &[u8]) -> Option<ConfigurationChange> {
    let change = ConfChange::parse_from_bytes(data).ok()?;
    let kind = match change.change_type {
        ConfChangeType::AddLearnerNode => ConfigurationChangeKind::AddLearner,
        ConfChangeType::AddNode => ConfigurationChangeKind::AddVoter,
        ConfChangeType::RemoveNode => ConfigurationChangeKind::Remove,
    };
    Some(ConfigurationChange {
        kind,
        voter: change.node_id,
        context: change.context.to_vec(),
    })
}

pub(super) fn to_raft_entry(entry: &LogEntry) -> Entry {
    let (entry_type, data) = match &entry.payload {
        EntryPayload::Command(data) => (EntryType::EntryNormal, data.clone()),
        EntryPayload::ConfigurationChange(change) => (
            EntryType::EntryConfChange,
            to_raft_change(change).write_to_bytes().unwrap_or_default(),
        ),
    };
    Entry {
        entry_type,
        index: entry.index,
        term: entry.term,
        data: data.into(),
        ..Entry::default()
    }
}

pub(super) fn from_raft_entry(entry: &Entry) -> LogEntry {
    let change = match entry.entry_type {
        // This process encoded the change, in `to_raft_entry` or in the crate when it was proposed: it always decodes.
        EntryType::EntryConfChange => from_raft_change(&entry.data),
        _ => None,
    };
    let payload = match change {
        Some(change) => EntryPayload::ConfigurationChange(change),
        None => EntryPayload::Command(entry.data.to_vec()),
    };
    LogEntry {
        index: entry.index,
        term: entry.term,
        payload,
    }
}

pub(super) fn to_raft_snapshot(snapshot: &LogSnapshot) -> Snapshot {
    let mut metadata = SnapshotMetadata {
        index: snapshot.index,
        term: snapshot.term,
        ..SnapshotMetadata::default()
    };
    metadata.set_conf_state(to_raft_configuration(&snapshot.configuration));
    let mut converted = Snapshot {
        data: snapshot.data.clone().into(),
        ..Snapshot::default()
    };
    converted.set_metadata(metadata);
    converted
}

/// Converts a snapshot; `None` for an empty one, which the crate uses if there is no snapshot.
pub(super) fn from_raft_snapshot(snapshot: &Snapshot) -> Option<LogSnapshot> {
    let metadata = snapshot.get_metadata();
    if metadata.index == 0 {
        return None;
    }
    Some(LogSnapshot {
        index: metadata.index,
        term: metadata.term,
        configuration: from_raft_configuration(metadata.get_conf_state()),
        data: snapshot.data.to_vec(),
    })
}
