//! The agent's view of the fleet: the state of each member, since when it has had it, its record, and a digest by which
//! views are compared. The view is derived from SWIM's state and the records; a refresh reports what changed.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use foca::State;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use super::broadcast::BroadcastQueue;
use super::{Change, Difference, Identity, Name, NodeState, Record};
use crate::Micros;

/// State of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MemberState {
    /// The member answers probes.
    Alive,
    /// A probe of the member failed, and it has time to refute.
    Suspect,
    /// The member did not refute in time.
    Failed,
    /// The member announced that it leaves.
    Left,
}

impl MemberState {
    /// All states, in order of declaration.
    pub const ALL: [MemberState; 4] = [
        MemberState::Alive,
        MemberState::Suspect,
        MemberState::Failed,
        MemberState::Left,
    ];

    /// Whether the member counts as present: alive, or suspect and not declared failed.
    pub fn is_present(self) -> bool {
        matches!(self, MemberState::Alive | MemberState::Suspect)
    }

    /// The name used in reports and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            MemberState::Alive => "alive",
            MemberState::Suspect => "suspect",
            MemberState::Failed => "failed",
            MemberState::Left => "left",
        }
    }
}

/// A member as SWIM knows it.
#[derive(Clone, Debug)]
pub struct SwimMember {
    /// Identity of the member.
    pub identity: Identity,
    /// Incarnation: the number of its refutations under this identity.
    pub incarnation: u16,
    /// State of the member in SWIM.
    pub state: State,
}

/// A member in the view.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// Identity of the member.
    pub identity: Identity,
    /// Incarnation: the number of its refutations under this identity.
    pub incarnation: u16,
    /// State of the member.
    pub state: MemberState,
    /// Since when the member has been in this state.
    pub since: Micros,
    /// Record of the member, if one has arrived.
    pub record: Option<Rc<Record>>,
    /// Number of the latest refresh that included the member.
    last_refresh: u64,
}

impl Entry {
    /// State of the member's node, if its record is known.
    pub fn node_state(&self) -> Option<NodeState> {
        self.record.as_ref().map(|record| record.node)
    }

    /// Whether the entry has the generation and process of `identity`.
    fn is_same_identity(&self, identity: &Identity) -> bool {
        self.identity.generation == identity.generation && self.identity.process == identity.process
    }

    fn describe(&self) -> String {
        let node = self.node_state().map_or("unknown", NodeState::as_str);
        let state = if self.state.is_present() {
            "present"
        } else {
            self.state.as_str()
        };
        format!(
            "{state}, node {node}, generation {}",
            self.identity.generation
        )
    }

    /// Hash of the fields that the digest of the view covers.
    fn hash(&self) -> u64 {
        let key = (
            &self.identity.name,
            self.identity.generation,
            self.node_state(),
        );
        xxh3_64(&postcard::to_stdvec(&key).unwrap_or_default())
    }
}

/// The members that an agent knows.
#[derive(Clone, Debug, Default)]
pub struct View {
    entries: BTreeMap<Name, Entry>,
    digest: u64,
    refreshes: u64,
}

impl View {
    /// All members, this agent included, in the order of [`Name`].
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values()
    }

    /// The member of that name, whatever its state.
    pub fn get(&self, name: &Name) -> Option<&Entry> {
        self.entries.get(name)
    }

    /// The members that are alive or suspect.
    pub fn present(&self) -> impl Iterator<Item = &Entry> {
        self.entries
            .values()
            .filter(|entry| entry.state.is_present())
    }

    /// Whether a member of that name is present.
    pub fn is_present(&self, name: &Name) -> bool {
        self.entries
            .get(name)
            .is_some_and(|entry| entry.state.is_present())
    }

    /// Digest of name, generation and node state of all present members, independent of their order.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Updates the view from SWIM's state. `members` are this agent itself and all that SWIM remembers.
    pub fn refresh(
        &mut self,
        now: Micros,
        members: impl Iterator<Item = SwimMember>,
        broadcasts: &BroadcastQueue,
        changes: &mut Vec<Change>,
    ) {
        self.refreshes += 1;
        let mut seen = 0;
        let mut digest_is_stale = false;
        for member in members {
            seen += 1;
            digest_is_stale |= self.update_entry(now, member, broadcasts, changes);
        }
        if seen < self.entries.len() {
            self.remove_unseen(changes);
        }
        if digest_is_stale {
            self.digest = self
                .present()
                .map(Entry::hash)
                .fold(0, |digest, hash| digest ^ hash);
        }
    }

    /// Updates one member. Returns whether the digest has to be computed again.
    fn update_entry(
        &mut self,
        now: Micros,
        member: SwimMember,
        broadcasts: &BroadcastQueue,
        changes: &mut Vec<Change>,
    ) -> bool {
        let identity = member.identity;
        let record = broadcasts.record(&identity);
        let state = member_state(member.state, record.as_deref());
        let node = record.as_ref().map(|record| record.node);

        let previous = self.entries.get(&identity.name);
        let previous_state = previous.map(|entry| entry.state);
        let previous_node = previous.and_then(Entry::node_state);
        let unchanged_since = previous
            .filter(|entry| entry.is_same_identity(&identity) && entry.state == state)
            .map(|entry| entry.since);
        let has_changed = unchanged_since.is_none();
        let node_has_changed = node != previous_node;

        if has_changed {
            changes.push(Change::Member {
                name: identity.name.clone(),
                from: previous_state,
                to: state,
                generation: identity.generation,
                note: record.as_deref().map(status_note).unwrap_or_default(),
            });
        }
        if let Some(to) = node.filter(|_| node_has_changed && state.is_present()) {
            let name = identity.name.clone();
            changes.push(Change::Node { name, to });
        }
        let entry = Entry {
            incarnation: member.incarnation,
            state,
            since: unchanged_since.unwrap_or(now),
            record,
            last_refresh: self.refreshes,
            identity,
        };
        self.entries.insert(entry.identity.name.clone(), entry);
        has_changed || node_has_changed
    }

    fn remove_unseen(&mut self, changes: &mut Vec<Change>) {
        let current = self.refreshes;
        self.entries.retain(|name, entry| {
            let seen = entry.last_refresh == current;
            if !seen {
                changes.push(Change::Forgotten(name.clone()));
            }
            seen
        });
    }

    /// The members in which another view differs from this one, at most `limit`.
    pub fn differences(&self, other: &View, limit: usize) -> Vec<Difference> {
        let names: BTreeSet<&Name> = self.entries.keys().chain(other.entries.keys()).collect();
        let describe = |entry: Option<&Entry>| entry.map_or("unknown".to_owned(), Entry::describe);
        names
            .into_iter()
            .filter_map(|name| {
                let here = self.entries.get(name);
                let there = other.entries.get(name);
                (!is_equivalent(here, there)).then(|| Difference {
                    name: name.clone(),
                    here: describe(here),
                    there: describe(there),
                })
            })
            .take(limit)
            .collect()
    }
}

/// The state of a member. Its record's announcement that it leaves takes precedence over SWIM's state.
fn member_state(swim: State, record: Option<&Record>) -> MemberState {
    match swim {
        _ if record.is_some_and(|record| record.left) => MemberState::Left,
        State::Alive => MemberState::Alive,
        State::Suspect => MemberState::Suspect,
        State::Down => MemberState::Failed,
    }
}

/// Whether two views agree on a member: it is present in neither, or in both with the same hash.
fn is_equivalent(here: Option<&Entry>, there: Option<&Entry>) -> bool {
    let present = |entry: Option<&Entry>| entry.is_some_and(|entry| entry.state.is_present());
    match (here, there) {
        (Some(a), Some(b)) if present(here) && present(there) => a.hash() == b.hash(),
        _ => !present(here) && !present(there),
    }
}

fn status_note(record: &Record) -> String {
    let note = if record.note.is_empty() {
        String::new()
    } else {
        format!("; {}", record.note)
    };
    format!("node {}{note}", record.node.as_str())
}
