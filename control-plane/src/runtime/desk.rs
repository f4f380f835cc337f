//! Owns the duties' I/O: the voter's store on a thread of its own, calls to other agents, the fence on disk, and the
//! file by which a node learns which servers are out.

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::path::{Path, PathBuf};
use std::time::{SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};
use tokio::sync::{mpsc, oneshot};
use tracing::{error, info, warn};

use super::{HostError, Msg};
use crate::config::Config;
use crate::consensus::{Kept, Save, VoterId};
use crate::duty::desk::{Act, Answer, Desk, Event, Member, Start};
use crate::duty::Fence;
use crate::membership::Name;
use crate::storage::{read_whole, write_whole, Store, VoteStore};
use crate::Micros;

/// A voter's store in the agent's folder.
pub const VOTES: &str = "votes";
const FENCE: &str = "fence.json";
/// Entries of the agreed log that are kept before a snapshot takes their place.
const COMPACT_AFTER: u64 = 2_000;

/// What a target keeps before an act takes effect.
#[derive(Debug, Default, Serialize, Deserialize)]
struct Enforced {
    fence: Fence,
    /// The servers that the fleet had taken out here: others were taken out by staff at the node itself.
    fleet: BTreeSet<String>,
    /// Who votes, as last brought here.
    #[serde(default)]
    voters: Vec<Name>,
}

/// Who waits for an answer.
pub enum Asker {
    /// Staff at this agent.
    Staff(oneshot::Sender<Answer>),
    /// Another agent's call, which is answered with bytes.
    Call(oneshot::Sender<Vec<u8>>),
}

/// The desk with its disk.
pub struct DeskHost {
    pub desk: Desk,
    saves: Option<std::sync::mpsc::Sender<(u64, Save)>>,
    askers: BTreeMap<u64, Asker>,
    number: u64,
    fence: PathBuf,
    /// The node's own list of servers left out, where there is a node.
    bans: Option<PathBuf>,
}

impl DeskHost {
    /// Reads what was kept. A voter without a store, or with one that is not sound, has no vote.
    pub fn new(
        config: &Config,
        process: u64,
        now: Micros,
        tx: mpsc::Sender<Msg>,
    ) -> Result<DeskHost, HostError> {
        let me = Member {
            name: config.name.clone(),
            process,
            zone: config.zone.clone(),
        };
        let votes = config.state_dir.join(VOTES);
        let (kept, saves) = match open(&votes, config.duties.voters.contains(&config.name)) {
            Some((me, kept, store)) => (Some((me, kept)), Some(keep(store, tx))),
            None => (None, None),
        };
        let fence = config.state_dir.join(FENCE);
        let state = |source| HostError::State {
            path: fence.clone(),
            source,
        };
        let enforced: Enforced = read_whole(&fence).map_err(state)?.unwrap_or_default();
        let duties = &config.duties;
        // The configuration names the first voters; what was brought here names those of now.
        let voters = if enforced.voters.is_empty() {
            duties.voters.clone()
        } else {
            enforced.voters.clone()
        };
        let start = |kept| Start {
            me: me.clone(),
            voters: voters.clone(),
            lease: duties.lease,
            tick: duties.tick,
            election_ticks: duties.election_ticks,
            compact_after: COMPACT_AFTER,
            kept,
            fence: enforced.fence.clone(),
            seed: process,
        };
        let desk = Desk::new(start(kept), now).or_else(|error| {
            error!(%error, "this voter has no vote any more: replace it");
            Desk::new(start(None), now)
        });
        let desk = desk.map_err(|error| HostError::State {
            path: votes,
            source: io::Error::other(error),
        })?;
        let bans = config
            .node
            .as_ref()
            .map(|_| bans(&config.state_dir.join("node"), config.name.as_str()));
        Ok(DeskHost {
            desk,
            saves,
            askers: BTreeMap::new(),
            number: 0,
            fence,
            bans,
        })
    }

    /// A number for somebody who is to be answered.
    pub fn asker(&mut self, asker: Asker) -> u64 {
        self.number += 1;
        self.askers.insert(self.number, asker);
        self.number
    }

    /// Whoever asked under that number.
    pub fn asked(&mut self, ask: u64) -> Option<Asker> {
        self.askers.remove(&ask)
    }

    /// Has something kept; the word comes as a message.
    pub fn save(&self, number: u64, save: Save) {
        let sent = self
            .saves
            .as_ref()
            .map(|saves| saves.send((number, save)).is_ok());
        if sent != Some(true) {
            warn!("the voter's store is gone");
        }
    }

    /// Keeps the fence, and brings the node's list to what the fleet wants: what staff told the node itself stays.
    pub fn enforce(&self, act: &Act, fence: Fence) -> io::Result<()> {
        let old: Enforced = read_whole(&self.fence)?.unwrap_or_default();
        let fleet: BTreeSet<String> = act.out.keys().cloned().collect();
        // Before it takes effect: what is kept here is never behind what was done.
        write_whole(
            &self.fence,
            &Enforced {
                fence: fence.clone(),
                fleet: old.fleet.union(&fleet).cloned().collect(),
                voters: act.voters.clone(),
            },
        )?;
        if let Some(path) = &self.bans {
            let here: BTreeSet<String> = read_whole(path)?.unwrap_or_default();
            let own = here.difference(&old.fleet).cloned();
            let wanted: BTreeSet<String> = own.chain(fleet.iter().cloned()).collect();
            if wanted != here {
                write_whole(path, &wanted)?;
                info!(servers = wanted.len(), version = act.version, "servers out");
            }
        }
        write_whole(
            &self.fence,
            &Enforced {
                fence,
                fleet,
                voters: act.voters.clone(),
            },
        )
    }

    /// The servers that staff took out at this agent's node alone.
    pub fn by_hand(&self) -> Vec<String> {
        let Some(path) = &self.bans else {
            return Vec::new();
        };
        let here: BTreeSet<String> = read_whole(path).ok().flatten().unwrap_or_default();
        let fleet = read_whole::<Enforced>(&self.fence)
            .ok()
            .flatten()
            .unwrap_or_default()
            .fleet;
        here.difference(&fleet).cloned().collect()
    }

    /// The time comes; the wall clock for staff's ends.
    pub fn wake() -> Event {
        Event::Wake { wall_ms: wall_ms() }
    }
}

/// The wall clock, in milliseconds: for people, and for the ends that they gave.
pub fn wall_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis() as u64
}

/// The file by which a node and its processes share the servers left out, as the node names it.
fn bans(folder: &Path, name: &str) -> PathBuf {
    let name: String = name
        .chars()
        .map(|c| if c.is_ascii_alphanumeric() { c } else { '_' })
        .collect();
    folder.join(format!("woodgap-{name}-out.json"))
}

fn open(path: &Path, votes: bool) -> Option<(VoterId, Kept, VoteStore)> {
    let opened = VoteStore::open(path).and_then(|store| {
        let Some(mut store) = store else {
            return Ok(None);
        };
        Ok(Some((store.me()?, store.load()?, store)))
    });
    match opened {
        Ok(Some(found)) => Some(found),
        Ok(None) if !votes => None,
        Ok(None) => {
            warn!(path = %path.display(), "among the voters, but without a store: no vote (see voter-init)");
            None
        }
        Err(fault) => {
            error!(path = %path.display(), %fault, "what this voter kept can't be trusted: no vote");
            None
        }
    }
}

/// The store's own thread: a slow disk holds up promises, and nothing else.
fn keep(mut store: VoteStore, tx: mpsc::Sender<Msg>) -> std::sync::mpsc::Sender<(u64, Save)> {
    let (saves, wanted) = std::sync::mpsc::channel::<(u64, Save)>();
    std::thread::spawn(move || {
        for (number, save) in wanted {
            let event = match store.save(&save) {
                Ok(()) => Event::Saved(number),
                Err(fault) => {
                    error!(%fault, "nothing can be kept: this voter promises nothing any more");
                    Event::NotSaved
                }
            };
            let over = matches!(event, Event::NotSaved);
            // The main task has ended where nobody takes it.
            if tx.blocking_send(Msg::Desk(event)).is_err() || over {
                return;
            }
        }
    });
    saves
}
