//! Measures the agreed state by what it holds: what a snapshot weighs, how long it takes to make, keep and take over, and
//! what the state refuses to hold.

use std::time::Instant;

use control_plane::consensus::{
    EntryPayload, LogSnapshot, PersistedState, VoterConfiguration, WriteBatch,
};
use control_plane::lease::{
    Command, CommandId, Cordon, Operation, ReplicatedState, Role, RoleToken,
};
use control_plane::membership::MAX_CALL_BYTES;
use control_plane::storage::{RedbStorage, Storage};

use super::super::results::{About, Aspect, Loss, Measurement};
use super::super::{middle, target, Effort, ScaleError};
use super::BASE;

const SNAPSHOT: &str =
    "the agreed state, in a snapshot after 2,000 entries; at most 1,000 servers out";
/// Renewals that a play of leases applies.
const RENEWALS: usize = 1_000;

/// The figures.
pub fn measure(
    effort: &Effort,
    told: &mut impl FnMut(&str),
) -> Result<Vec<Measurement>, ScaleError> {
    told("control: snapshots");
    let mut found = Vec::new();
    for &servers in effort.out {
        found.push((servers as f64, snapshot(servers, effort.runs)?));
    }
    let mut leases = Vec::new();
    for &duties in effort.duties {
        leases.push((duties as f64, with_duties(duties).to_bytes().len() as f64));
    }
    let refused: Vec<(f64, f64)> = effort
        .zone_out
        .iter()
        .map(|&servers| (servers as f64, with_out(servers).1 as f64))
        .collect();
    let by = About {
        of: "servers out",
        target: target::MOST_OUT as f64,
        carried_by: SNAPSHOT,
        ..BASE
    };
    let measurement = |about: About, of: fn(&Snapshot) -> f64| {
        let measured: Vec<(f64, f64)> = found
            .iter()
            .map(|(size, found)| (*size, of(found)))
            .collect();
        Measurement::new(&about, &measured)
    };
    Ok(vec![
        Measurement::new(
            &About {
                name: "zone-out-refused",
                unit: "servers of a zone that staff can't take out",
                of: "servers of the zone",
                target: target::ZONE_SERVERS as f64,
                budget: Some(0.0),
                loss: Loss::Part,
                ..by
            },
            &refused,
        ),
        measurement(
            About {
                name: "snapshot-bytes",
                unit: "bytes, the last 1,024 outcomes with it",
                budget: Some(MAX_CALL_BYTES as f64),
                loss: Loss::Part,
                ..by
            },
            |found| found.bytes,
        ),
        Measurement::new(
            &About {
                name: "snapshot-bytes-by-duties",
                unit: "bytes, 1,000 renewals of each lease later",
                of: "duties held",
                target: Role::ALL.len() as f64,
                ..by
            },
            &leases,
        ),
        measurement(
            About { aspect: Aspect::Processor, name: "snapshot-made", unit: "ms of the core to make one", ..by },
            |found| found.made_ms,
        ),
        measurement(
            About { aspect: Aspect::Processor, name: "snapshot-read", unit: "ms of the core to take one over", ..by },
            |found| found.read_ms,
        ),
        measurement(
            About {
                aspect: Aspect::Latency,
                name: "snapshot-kept",
                unit: "ms for the store to keep one, synced, on this machine's disk",
                ..by
            },
            |found| found.kept_ms,
        ),
        measurement(
            About {
                aspect: Aspect::Latency,
                name: "entry-kept",
                unit: "ms for the store to keep an entry, synced, on this machine's disk, beside such a snapshot",
                ..by
            },
            |found| found.entry_ms,
        ),
    ])
}

#[derive(Clone, Copy, Debug)]
struct Snapshot {
    bytes: f64,
    made_ms: f64,
    read_ms: f64,
    kept_ms: f64,
    entry_ms: f64,
}

fn apply(state: &mut ReplicatedState, what: Operation) {
    let index = state.index + 1;
    let command = Command {
        id: CommandId {
            process: 7,
            sequence: index,
        },
        operation: what,
    };
    let content = EntryPayload::Command(postcard::to_stdvec(&command).unwrap_or_default());
    state.apply(index, &content);
}

/// A state after staff have taken so many servers out, and how many of these it refused.
pub(super) fn with_out(servers: usize) -> (ReplicatedState, usize) {
    let mut state = ReplicatedState::bootstrap(Default::default());
    // As many commands each time, so that what is remembered of them weighs the same.
    let again = (0..target::REMEMBERED.max(servers)).map(|nth| nth % servers.max(1));
    for server in again {
        let out = Cordon {
            operator: "on-call".into(),
            reason: "the rack is being moved, ticket 4711".into(),
            since_ms: 1_700_000_000_000,
            until_ms: Some(1_700_003_600_000),
        };
        apply(
            &mut state,
            Operation::Cordon {
                server: format!("api-{server:05}"),
                cordon: out,
            },
        );
    }
    let refused = servers - state.cordoned.len();
    (state, refused)
}

/// A state in which the first so many duties are held, and were renewed for long.
fn with_duties(duties: usize) -> ReplicatedState {
    let mut state = ReplicatedState::bootstrap(Default::default());
    for duty in Role::ALL.into_iter().take(duties) {
        let Ok(to) = "control-1".parse() else {
            continue;
        };
        let given = Operation::GrantLease {
            role: duty,
            to,
            process: 7,
            observed_token: 0,
            observed_renewals: 0,
            at_ms: 1_700_000_000_000,
        };
        apply(&mut state, given);
        let token = state.last_token(duty);
        for _ in 0..RENEWALS {
            apply(
                &mut state,
                Operation::RenewLeases(vec![RoleToken { role: duty, token }]),
            );
        }
    }
    state
}

fn snapshot(servers: usize, runs: usize) -> Result<Snapshot, ScaleError> {
    let (state, _) = with_out(servers);
    let data = state.to_bytes();
    let timed = |work: &mut dyn FnMut()| {
        let times = (0..runs).map(|_| {
            let began = Instant::now();
            work();
            began.elapsed().as_secs_f64() * 1e3
        });
        middle(times.collect())
    };
    let made_ms = timed(&mut || drop(std::hint::black_box(state.to_bytes())));
    let read_ms = timed(&mut || drop(std::hint::black_box(ReplicatedState::from_bytes(&data))));
    let store = |error: control_plane::storage::StorageError| {
        ScaleError::io("a voter's store")(std::io::Error::other(error))
    };
    let folder = tempfile::tempdir().map_err(ScaleError::io("a folder"))?;
    let mut votes = RedbStorage::create(&folder.path().join("votes"), 7, PersistedState::default())
        .map_err(store)?;
    let conf = VoterConfiguration {
        voters: (1..=target::CONTROL as u64).collect(),
        learners: Vec::new(),
    };
    let (mut snapshots, mut entries) = (Vec::new(), Vec::new());
    for index in 1..=runs as u64 {
        let kept = LogSnapshot {
            index,
            term: 1,
            configuration: conf.clone(),
            data: data.clone(),
        };
        let item = control_plane::consensus::LogEntry {
            index: index + 1,
            term: 1,
            payload: EntryPayload::Command(vec![7; 120]),
        };
        let saves = [
            (
                WriteBatch {
                    snapshot: Some(kept),
                    ..WriteBatch::default()
                },
                &mut snapshots,
            ),
            (
                WriteBatch {
                    entries: vec![item],
                    ..WriteBatch::default()
                },
                &mut entries,
            ),
        ];
        for (save, times) in saves {
            let began = Instant::now();
            votes.write(&save).map_err(store)?;
            times.push(began.elapsed().as_secs_f64() * 1e3);
        }
    }
    let (kept_ms, entry_ms) = (middle(snapshots), middle(entries));
    Ok(Snapshot {
        bytes: data.len() as f64,
        made_ms,
        read_ms,
        kept_ms,
        entry_ms,
    })
}
