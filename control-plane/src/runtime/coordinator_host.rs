//! Runs the coordinator and persists its state.
//!
//! Its files in the agent's state folder (see `state_lock.rs`, `pid_file.rs` and `node_process.rs` for the others):
//!
//! - `votes`: the voter's database, with its log, vote and snapshot, written by a thread of its own. If it is missing,
//!   damaged or can't be read, this agent has no vote.
//! - `fence.json`: the last update, with the fencing tokens seen, the servers that the fleet has cordoned and the
//!   voters. It is persisted before the update takes effect.
//! - `node/woodgap-NAME-out.json`: the servers that are cordoned at the node, by the fleet or by its own operators. The
//!   node writes it, too (`src/bin/load-balancer/cordon.rs`). The two packages do not depend on each other:
//!   `tests/compat/files.rs` and `control-plane/tests/compat/state_files.rs` check the file's name and content.

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::path::{Path, PathBuf};
use std::sync::mpsc as blocking;
use std::time::{SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};
use tokio::sync::{mpsc, oneshot};
use tracing::{error, info, warn};

use super::{HostEvent, RuntimeError};
use crate::config::Config;
use crate::consensus::{VoterError, WriteBatch};
use crate::coordinator::{
    CommandResult, Coordinator, CoordinatorConfig, CoordinatorEvent, FleetUpdate, Member,
    PersistedVoter,
};
use crate::lease::FencingTokens;
use crate::membership::Name;
use crate::storage::{read_json, write_json, RedbStorage, Storage, StorageError};
use crate::Micros;

/// Name of the voter's database in the agent's state folder.
pub const VOTER_STORE_FILE: &str = "votes";
/// Name of the file with the last update, an [`AppliedUpdate`], in the agent's state folder.
const APPLIED_UPDATE_FILE: &str = "fence.json";
/// Name of the folder of the node's state in the agent's state folder.
const NODE_STATE_FOLDER: &str = "node";
/// Number of log entries after which the log is compacted into a snapshot.
const COMPACT_AFTER_ENTRIES: u64 = 2_000;

/// What an agent persists before an update takes effect. The serialized names must not change.
///
/// The fencing tokens are at least as new as those of any update that has taken effect, so that an update of a deposed
/// holder is rejected after a restart, too.
#[derive(Debug, Default, Serialize, Deserialize)]
struct AppliedUpdate {
    #[serde(rename = "fence")]
    fencing: FencingTokens,
    /// The servers in the node's list that the fleet has cordoned. All others were cordoned at the node itself.
    #[serde(rename = "fleet")]
    cordoned_by_fleet: BTreeSet<String>,
    /// The voters as of the last update; empty before the first one.
    #[serde(default)]
    voters: Vec<Name>,
}

/// Receives the answer to a call.
pub enum Caller {
    /// An operator of this agent.
    Operator(oneshot::Sender<CommandResult>),
    /// Another agent, which is answered with the bytes of a message.
    Agent(oneshot::Sender<Vec<u8>>),
}

/// A batch for the thread that writes the voter's database.
struct NumberedBatch {
    number: u64,
    batch: WriteBatch,
}

/// A voter as opened from its database.
struct OpenedVoter {
    persisted: PersistedVoter,
    storage: RedbStorage,
}

/// The coordinator, its persistent state, and the callers that wait for its answers.
pub struct CoordinatorHost {
    pub core: Coordinator,
    /// Channel to the thread that writes the voter's database; `None` without a vote.
    writer: Option<blocking::Sender<NumberedBatch>>,
    /// Callers that wait for an answer, by the number of their call.
    callers: BTreeMap<u64, Caller>,
    last_call: u64,
    applied_update_path: PathBuf,
    /// The file with the node's list of cordoned servers; `None` if the agent runs no node.
    node_cordons_path: Option<PathBuf>,
}

impl CoordinatorHost {
    /// Reads the persisted state. Without a voter's database that can be read, this agent has no vote.
    ///
    /// # Errors
    ///
    /// [`RuntimeError::State`] if the file of the applied update can't be read.
    pub fn new(
        config: &Config,
        process: u64,
        now: Micros,
        events: mpsc::Sender<HostEvent>,
    ) -> Result<CoordinatorHost, RuntimeError> {
        let voter_path = config.state_dir.join(VOTER_STORE_FILE);
        let is_configured_voter = config.coordination.voters.contains(&config.name);
        let mut persisted = None;
        let mut writer = None;
        if let Some(opened) = open_voter(&voter_path, is_configured_voter) {
            persisted = Some(opened.persisted);
            writer = Some(spawn_writer(opened.storage, events));
        }
        let applied_update_path = config.state_dir.join(APPLIED_UPDATE_FILE);
        let applied = read_applied_update(&applied_update_path)?;
        let core =
            start_coordinator(config, process, now, applied, persisted).map_err(|error| {
                RuntimeError::State {
                    path: voter_path,
                    source: io::Error::other(error),
                }
            })?;
        let node_cordons_path = config.node.as_ref().map(|_| {
            let folder = config.state_dir.join(NODE_STATE_FOLDER);
            node_cordons_path(&folder, config.name.as_str())
        });
        Ok(CoordinatorHost {
            core,
            writer,
            callers: BTreeMap::new(),
            last_call: 0,
            applied_update_path,
            node_cordons_path,
        })
    }

    /// Registers a caller, and returns the number of its call.
    pub fn register(&mut self, caller: Caller) -> u64 {
        self.last_call += 1;
        self.callers.insert(self.last_call, caller);
        self.last_call
    }

    /// Removes and returns the caller of a call.
    pub fn take_caller(&mut self, call: u64) -> Option<Caller> {
        self.callers.remove(&call)
    }

    /// Passes a batch to the thread that writes the voter's database. The result arrives as an event.
    pub fn persist(&self, number: u64, batch: WriteBatch) {
        let sent = self
            .writer
            .as_ref()
            .is_some_and(|writer| writer.send(NumberedBatch { number, batch }).is_ok());
        if !sent {
            warn!(
                number,
                "batch for the voter's database dropped: the thread that writes it has ended"
            );
        }
    }

    /// Persists the fencing tokens and applies an update to the node's list of cordoned servers. Servers that were
    /// cordoned at the node itself stay so.
    ///
    /// # Errors
    ///
    /// If a file can't be read or written. The update may then be applied in part; the role's holder retries it.
    pub fn apply_update(&self, update: &FleetUpdate, fencing: FencingTokens) -> io::Result<()> {
        let previous: AppliedUpdate = read_json(&self.applied_update_path)?.unwrap_or_default();
        let cordoned: BTreeSet<String> = update.cordoned.keys().cloned().collect();
        // The node's list does not tell who cordoned a server. The servers cordoned by the fleet are therefore
        // persisted first, both the new ones and the previous ones: after a crash before the last write below, either
        // may be on the list, and must not be taken for servers that were cordoned at the node itself.
        let previous_and_new = previous
            .cordoned_by_fleet
            .union(&cordoned)
            .cloned()
            .collect();
        self.write_applied_update(update, &fencing, previous_and_new)?;
        if let Some(path) = &self.node_cordons_path {
            update_node_cordons(path, &previous.cordoned_by_fleet, &cordoned, update.version)?;
        }
        self.write_applied_update(update, &fencing, cordoned)
    }

    fn write_applied_update(
        &self,
        update: &FleetUpdate,
        fencing: &FencingTokens,
        cordoned_by_fleet: BTreeSet<String>,
    ) -> io::Result<()> {
        let applied = AppliedUpdate {
            fencing: fencing.clone(),
            cordoned_by_fleet,
            voters: update.voters.clone(),
        };
        write_json(&self.applied_update_path, &applied)
    }

    /// The servers that were cordoned at this agent's node itself, not by the fleet.
    pub fn cordoned_locally(&self) -> Vec<String> {
        let Some(path) = &self.node_cordons_path else {
            return Vec::new();
        };
        let at_node: BTreeSet<String> = read_json(path).ok().flatten().unwrap_or_default();
        let applied: Option<AppliedUpdate> = read_json(&self.applied_update_path).ok().flatten();
        let by_fleet = applied.unwrap_or_default().cordoned_by_fleet;
        at_node.difference(&by_fleet).cloned().collect()
    }

    /// The event that is due at [`Coordinator::next_wake`].
    pub fn wake() -> CoordinatorEvent {
        CoordinatorEvent::Wake { wall_ms: wall_ms() }
    }
}

/// The wall clock in milliseconds since the epoch: for the end of cordons, and for display.
pub fn wall_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis() as u64
}

fn read_applied_update(path: &Path) -> Result<AppliedUpdate, RuntimeError> {
    let applied = read_json(path).map_err(|source| RuntimeError::State {
        path: path.to_owned(),
        source,
    })?;
    Ok(applied.unwrap_or_default())
}

/// Creates the coordinator with the voter's persisted state, or without a vote if that state can't be used.
fn start_coordinator(
    config: &Config,
    process: u64,
    now: Micros,
    applied: AppliedUpdate,
    persisted: Option<PersistedVoter>,
) -> Result<Coordinator, VoterError> {
    let coordination = &config.coordination;
    // The configuration names the first voters; an update names the current ones.
    let voters = if applied.voters.is_empty() {
        coordination.voters.clone()
    } else {
        applied.voters
    };
    let with_state = |persisted| CoordinatorConfig {
        me: Member {
            name: config.name.clone(),
            process,
            zone: config.zone.clone(),
        },
        voters: voters.clone(),
        lease: coordination.lease,
        tick: coordination.tick,
        election_ticks: coordination.election_ticks,
        compact_after: COMPACT_AFTER_ENTRIES,
        persisted,
        fencing: applied.fencing.clone(),
        seed: process,
    };
    Coordinator::new(with_state(persisted), now).or_else(|error| {
        error!(%error, "the voter's persisted state can't be used: continuing without a vote; replace this voter");
        Coordinator::new(with_state(None), now)
    })
}

/// Replaces the fleet's servers in the node's list by those of an update. Servers that were cordoned at the node itself
/// stay in it.
fn update_node_cordons(
    path: &Path,
    previous_by_fleet: &BTreeSet<String>,
    by_fleet: &BTreeSet<String>,
    version: u64,
) -> io::Result<()> {
    let at_node: BTreeSet<String> = read_json(path)?.unwrap_or_default();
    let local = at_node.difference(previous_by_fleet).cloned();
    let cordoned: BTreeSet<String> = local.chain(by_fleet.iter().cloned()).collect();
    if cordoned != at_node {
        write_json(path, &cordoned)?;
        info!(
            servers = cordoned.len(),
            version, "updated the node's cordoned servers"
        );
    }
    Ok(())
}

/// The file through which the processes of a node share its cordoned servers, under the name that the node gives it.
fn node_cordons_path(folder: &Path, name: &str) -> PathBuf {
    let name: String = name
        .chars()
        .map(|c| if c.is_ascii_alphanumeric() { c } else { '_' })
        .collect();
    folder.join(format!("woodgap-{name}-out.json"))
}

/// Opens the voter's database. Returns `None` if this agent has no vote; logs the reason unless it is no voter.
fn open_voter(path: &Path, is_configured_voter: bool) -> Option<OpenedVoter> {
    match read_voter(path) {
        Ok(Some(opened)) => Some(opened),
        Ok(None) if !is_configured_voter => None,
        Ok(None) => {
            warn!(path = %path.display(), "this agent is among the voters, but without a store: it has no vote until voter-init creates one");
            None
        }
        Err(fault) => {
            error!(path = %path.display(), %fault, "the voter's store can't be read: continuing without a vote");
            None
        }
    }
}

fn read_voter(path: &Path) -> Result<Option<OpenedVoter>, StorageError> {
    let Some(mut storage) = RedbStorage::open(path)? else {
        return Ok(None);
    };
    let persisted = PersistedVoter {
        id: storage.voter_id()?,
        state: storage.load()?,
    };
    Ok(Some(OpenedVoter { persisted, storage }))
}

/// Starts a thread that writes batches, so that a slow disk delays the voter and nothing else.
fn spawn_writer(
    mut storage: impl Storage + 'static,
    events: mpsc::Sender<HostEvent>,
) -> blocking::Sender<NumberedBatch> {
    let (sender, batches) = blocking::channel::<NumberedBatch>();
    std::thread::spawn(move || {
        for NumberedBatch { number, batch } in batches {
            let written = storage.write(&batch);
            let has_failed = written.is_err();
            let event = match written {
                Ok(()) => CoordinatorEvent::Persisted(number),
                Err(fault) => {
                    error!(%fault, "the voter's state could not be persisted: this agent has no vote until it is restarted");
                    CoordinatorEvent::PersistFailed
                }
            };
            // The receiver is closed once the main task has ended.
            let is_closed = events.blocking_send(HostEvent::Coordinator(event)).is_err();
            // No batch may be written after one that may be lost, as each relies on those before it.
            if is_closed || has_failed {
                return;
            }
        }
    });
    sender
}
