//! Measures the replicated state by its contents: size of a snapshot, time to serialize, write and deserialize it, and
//! cordons that the state refuses.

use std::time::Instant;

use control_plane::consensus::{
    EntryPayload, LogSnapshot, PersistedState, VoterConfiguration, WriteBatch,
};
use control_plane::lease::{
    Command, CommandId, Cordon, Operation, ReplicatedState, Role, RoleToken,
};
use control_plane::membership::MAX_CALL_BYTES;
use control_plane::storage::{RedbStorage, Storage};

use super::super::results::{Aspect, Impact, Measurement, MeasurementSpec};
use super::super::{median, target, RunParameters, ScaleError};
use super::BASE;

const SNAPSHOT: &str =
    "the agreed state, in a snapshot after 2,000 entries; at most 1,000 servers out";
/// Renewals applied to each lease.
const RENEWALS: usize = 1_000;

/// Returns the measurements of snapshots and refused cordons.
pub fn measure(
    parameters: &RunParameters,
    progress: &mut impl FnMut(&str),
) -> Result<Vec<Measurement>, ScaleError> {
    progress("control: snapshots");
    let mut snapshot_costs = Vec::new();
    for &servers in parameters.cordoned {
        snapshot_costs.push((
            servers as f64,
            snapshot_cost(servers, parameters.timed_runs)?,
        ));
    }
    let mut bytes_by_roles = Vec::new();
    for &roles in parameters.roles_held {
        bytes_by_roles.push((roles as f64, with_roles(roles).to_bytes().len() as f64));
    }
    let refused: Vec<(f64, f64)> = parameters
        .zone_cordons
        .iter()
        .map(|&servers| (servers as f64, with_cordoned(servers).1 as f64))
        .collect();
    let base = MeasurementSpec {
        size_unit: "servers out",
        target: target::MAX_CORDONED as f64,
        mechanism: SNAPSHOT,
        ..BASE
    };
    let measurement = |spec: MeasurementSpec, value_of: fn(&SnapshotCost) -> f64| {
        let measured: Vec<(f64, f64)> = snapshot_costs
            .iter()
            .map(|(size, snapshot)| (*size, value_of(snapshot)))
            .collect();
        Measurement::new(&spec, &measured)
    };
    Ok(vec![
        Measurement::new(
            &MeasurementSpec {
                name: "zone-out-refused",
                unit: "servers of a zone that staff can't take out",
                size_unit: "servers of the zone",
                target: target::ZONE_SERVERS as f64,
                budget: Some(0.0),
                impact: Impact::Partial,
                ..base
            },
            &refused,
        ),
        measurement(
            MeasurementSpec {
                name: "snapshot-bytes",
                unit: "bytes, the last 1,024 outcomes with it",
                budget: Some(MAX_CALL_BYTES as f64),
                impact: Impact::Partial,
                ..base
            },
            |snapshot| snapshot.bytes,
        ),
        Measurement::new(
            &MeasurementSpec {
                name: "snapshot-bytes-by-duties",
                unit: "bytes, 1,000 renewals of each lease later",
                size_unit: "duties held",
                target: Role::ALL.len() as f64,
                ..base
            },
            &bytes_by_roles,
        ),
        measurement(
            MeasurementSpec { aspect: Aspect::Processor, name: "snapshot-made", unit: "ms of the core to make one", ..base },
            |snapshot| snapshot.serialize_ms,
        ),
        measurement(
            MeasurementSpec { aspect: Aspect::Processor, name: "snapshot-read", unit: "ms of the core to take one over", ..base },
            |snapshot| snapshot.deserialize_ms,
        ),
        measurement(
            MeasurementSpec {
                aspect: Aspect::Latency,
                name: "snapshot-kept",
                unit: "ms for the store to keep one, synced, on this machine's disk",
                ..base
            },
            |snapshot| snapshot.write_ms,
        ),
        measurement(
            MeasurementSpec {
                aspect: Aspect::Latency,
                name: "entry-kept",
                unit: "ms for the store to keep an entry, synced, on this machine's disk, beside such a snapshot",
                ..base
            },
            |snapshot| snapshot.entry_write_ms,
        ),
    ])
}

#[derive(Clone, Copy, Debug)]
struct SnapshotCost {
    bytes: f64,
    serialize_ms: f64,
    deserialize_ms: f64,
    write_ms: f64,
    entry_write_ms: f64,
}

fn apply(state: &mut ReplicatedState, operation: Operation) {
    let index = state.index + 1;
    let command = Command {
        id: CommandId {
            process: 7,
            sequence: index,
        },
        operation,
    };
    let payload = EntryPayload::Command(postcard::to_stdvec(&command).unwrap_or_default());
    state.apply(index, &payload);
}

/// State after `servers` servers have been cordoned, and the number of cordons that it refused.
pub(super) fn with_cordoned(servers: usize) -> (ReplicatedState, usize) {
    let mut state = ReplicatedState::bootstrap(Default::default());
    // At least as many commands as the state remembers results of, so that these results have the same size each time.
    let server_indices =
        (0..target::REMEMBERED_COMMANDS.max(servers)).map(|nth| nth % servers.max(1));
    for server in server_indices {
        let cordon = Cordon {
            operator: "on-call".into(),
            reason: "the rack is being moved, ticket 4711".into(),
            since_ms: 1_700_000_000_000,
            until_ms: Some(1_700_003_600_000),
        };
        apply(
            &mut state,
            Operation::Cordon {
                server: format!("api-{server:05}"),
                cordon,
            },
        );
    }
    let refused = servers - state.cordoned.len();
    (state, refused)
}

/// State in which the first `roles` roles are held and each lease was renewed many times.
fn with_roles(roles: usize) -> ReplicatedState {
    let mut state = ReplicatedState::bootstrap(Default::default());
    for role in Role::ALL.into_iter().take(roles) {
        let Ok(to) = "control-1".parse() else {
            continue;
        };
        let grant = Operation::GrantLease {
            role,
            to,
            process: 7,
            observed_token: 0,
            observed_renewals: 0,
            at_ms: 1_700_000_000_000,
        };
        apply(&mut state, grant);
        let token = state.last_token(role);
        for _ in 0..RENEWALS {
            apply(
                &mut state,
                Operation::RenewLeases(vec![RoleToken { role, token }]),
            );
        }
    }
    state
}

fn snapshot_cost(servers: usize, runs: usize) -> Result<SnapshotCost, ScaleError> {
    let (state, _) = with_cordoned(servers);
    let data = state.to_bytes();
    let timed = |work: &mut dyn FnMut()| {
        let times = (0..runs).map(|_| {
            let started = Instant::now();
            work();
            started.elapsed().as_secs_f64() * 1e3
        });
        median(times.collect())
    };
    let serialize_ms = timed(&mut || drop(std::hint::black_box(state.to_bytes())));
    let deserialize_ms =
        timed(&mut || drop(std::hint::black_box(ReplicatedState::from_bytes(&data))));
    let storage_error = |error: control_plane::storage::StorageError| {
        ScaleError::io("voter storage")(std::io::Error::other(error))
    };
    let folder = tempfile::tempdir().map_err(ScaleError::io("temporary folder"))?;
    let mut storage =
        RedbStorage::create(&folder.path().join("votes"), 7, PersistedState::default())
            .map_err(storage_error)?;
    let configuration = VoterConfiguration {
        voters: (1..=target::VOTERS as u64).collect(),
        learners: Vec::new(),
    };
    let (mut snapshots, mut entries) = (Vec::new(), Vec::new());
    for index in 1..=runs as u64 {
        let snapshot = LogSnapshot {
            index,
            term: 1,
            configuration: configuration.clone(),
            data: data.clone(),
        };
        let entry = control_plane::consensus::LogEntry {
            index: index + 1,
            term: 1,
            payload: EntryPayload::Command(vec![7; 120]),
        };
        let batches = [
            (
                WriteBatch {
                    snapshot: Some(snapshot),
                    ..WriteBatch::default()
                },
                &mut snapshots,
            ),
            (
                WriteBatch {
                    entries: vec![entry],
                    ..WriteBatch::default()
                },
                &mut entries,
            ),
        ];
        for (batch, times) in batches {
            let started = Instant::now();
            storage.write(&batch).map_err(storage_error)?;
            times.push(started.elapsed().as_secs_f64() * 1e3);
        }
    }
    let (write_ms, entry_write_ms) = (median(snapshots), median(entries));
    Ok(SnapshotCost {
        bytes: data.len() as f64,
        serialize_ms,
        deserialize_ms,
        write_ms,
        entry_write_ms,
    })
}
