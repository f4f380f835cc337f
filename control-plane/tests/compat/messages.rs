//! The encoding of each kind of message between agents, of each command of the replicated log and of each stored
//! record. Every field of a sample has a distinct value, so that two swapped fields of one type are detected.

use std::net::SocketAddr;

use control_plane::consensus::{
    ConfigurationChange, ConfigurationChangeKind, EntryPayload, HardState, LogEntry, LogSnapshot,
    VoterConfiguration, WriteBatch,
};
use control_plane::coordinator::{CommandRequest, CommandResult, FleetUpdate, OperatorCommand};
use control_plane::lease::{
    Alarm, Command, CommandId, Cordon, FencingTokens, HandoverReason, Operation, RaisedAlarm, Role,
    RoleToken, StaleToken,
};
use control_plane::membership::{
    fleet_id, CallMessage, Datagram, FormatRange, FullView, Identity, MemberRow, Name, NodeState,
    PiggybackedMessage, Record, RowState, SUPPORTED_FORMATS,
};
use control_plane::metrics::{
    CurrentGauges, FleetMetricsReport, MetricsAnswer, MetricsQuery, NodeGauges, NodeRow,
    RequestCounts,
};
use serde::Serialize;

/// One sample per line: a title, a space and the bytes in hexadecimal.
const EXPECTED: &str = include_str!("fixtures/messages.txt");
const FLEET: &str = "bilbao-main";

fn name(text: &str) -> Name {
    text.parse().unwrap()
}

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([10, 1, 2, 3], port))
}

fn identity() -> Identity {
    Identity {
        name: name("n7"),
        addr: address(7001),
        generation: 1_700_000_000_123,
        process: 0xfeed_beef,
    }
}

fn record() -> Record {
    Record {
        name: name("n7"),
        generation: 1_700_000_000_123,
        process: 0xfeed_beef,
        version: 9,
        addr: address(7001),
        operators: Some(address(7002)),
        clients: Some(address(7003)),
        machine: "rack2-07".into(),
        zone: "bilbao".into(),
        program: "0.1.0".into(),
        started_ms: 1_700_000_000_456,
        node: NodeState::StandingBy,
        left: true,
        formats: FormatRange {
            oldest: 1,
            newest: 2,
        },
        note: "started as process 7".into(),
    }
}

fn row(state: RowState) -> MemberRow {
    MemberRow {
        identity: identity(),
        incarnation: 513,
        state,
    }
}

fn cordon() -> Cordon {
    Cordon {
        operator: "ana".into(),
        reason: "disk".into(),
        since_ms: 1_700_000_000_111,
        until_ms: Some(1_700_000_000_222),
    }
}

fn counts(first: u64) -> RequestCounts {
    RequestCounts {
        served: first,
        refused: first + 1,
        failed: first + 2,
        forwards: first + 3,
    }
}

fn current_gauges() -> CurrentGauges {
    CurrentGauges {
        age_ms: 41,
        gauges: NodeGauges {
            outstanding: 42,
            discovered: 43,
            ejected: 44,
            list: 45,
        },
    }
}

fn metrics_answer() -> MetricsAnswer {
    MetricsAnswer {
        process: 21,
        slot: 22,
        closed_ms: 23,
        slots: vec![counts(30), counts(35)],
        now: Some(current_gauges()),
        starts: 24,
        by_hand: vec!["api-5".into()],
    }
}

fn fleet_metrics_report() -> FleetMetricsReport {
    FleetMetricsReport {
        holder: Some(name("n3")),
        present: 5,
        answered: 4,
        ten_seconds: counts(50),
        minute: counts(60),
        hour: counts(70),
        minutes: vec![counts(80)],
        rows: vec![NodeRow {
            name: name("n7"),
            age_ms: Some(12),
            last: counts(90),
            now: Some(current_gauges()),
            starts: 13,
            by_hand: vec!["api-6".into()],
        }],
    }
}

fn request(command: OperatorCommand) -> CallMessage {
    let id = CommandId {
        process: 77,
        sequence: 3,
    };
    CallMessage::ForwardCommand(CommandRequest { id, command })
}

fn update() -> FleetUpdate {
    FleetUpdate {
        role: Role::Maintenance,
        token: 501,
        version: 502,
        cordoned: [("api-1".to_owned(), cordon())].into(),
        voters: vec![name("n1"), name("n2")],
    }
}

fn calls() -> Vec<(&'static str, CallMessage)> {
    let view = FullView {
        from: record(),
        digest: 0x1122_3344_5566_7788,
        rows: vec![
            row(RowState::Alive),
            row(RowState::Suspect),
            row(RowState::Down),
        ],
        records: vec![record()],
    };
    let cordon_server = OperatorCommand::Cordon {
        server: "api-1".into(),
        cordon: cordon(),
    };
    let add_voter = OperatorCommand::AddVoter {
        voter: 999,
        name: name("n9"),
    };
    let query = MetricsQuery {
        role: Role::MetricsAggregation,
        token: 601,
        process: 602,
        since: 603,
    };
    let stale = StaleToken {
        token: 11,
        seen: 12,
    };
    vec![
        ("sync", CallMessage::SyncViews(view)),
        ("claim", CallMessage::ClaimName(record())),
        ("held", CallMessage::NameHolder(record())),
        ("agreed", CallMessage::Consensus(vec![1, 2, 3])),
        ("ask-out", request(cordon_server)),
        (
            "ask-back",
            request(OperatorCommand::Uncordon {
                server: "api-1".into(),
            }),
        ),
        (
            "ask-yield",
            request(OperatorCommand::ReleaseRole(Role::Alerting)),
        ),
        ("ask-add-voter", request(add_voter)),
        (
            "ask-remove-voter",
            request(OperatorCommand::RemoveVoter(name("n9"))),
        ),
        (
            "answer-done",
            CallMessage::CommandResult(CommandResult::Committed(Some(cordon()))),
        ),
        (
            "answer-done-none",
            CallMessage::CommandResult(CommandResult::Committed(None)),
        ),
        (
            "answer-refused",
            CallMessage::CommandResult(CommandResult::Rejected("no".into())),
        ),
        (
            "answer-tried",
            CallMessage::CommandResult(CommandResult::Unconfirmed("late".into())),
        ),
        ("act", CallMessage::ApplyUpdate(update())),
        ("acted", CallMessage::UpdateResult(Ok(()))),
        ("acted-stale", CallMessage::UpdateResult(Err(stale))),
        ("look", CallMessage::QueryMetrics(query)),
        ("tally", CallMessage::NodeMetrics(metrics_answer())),
        ("top", CallMessage::QueryFleetMetrics(2)),
        (
            "topped",
            CallMessage::FleetMetrics(Some(Box::new(fleet_metrics_report()))),
        ),
        ("topped-none", CallMessage::FleetMetrics(None)),
    ]
}

fn piggybacked_messages() -> Vec<(&'static str, PiggybackedMessage)> {
    let suspected = |reply_to| PiggybackedMessage::Suspected {
        generation: 1_700_000_000_123,
        incarnation: 514,
        reply_to,
    };
    let alive = PiggybackedMessage::Alive {
        identity: identity(),
        incarnation: 515,
    };
    vec![
        ("none", PiggybackedMessage::None),
        ("accused", suspected(None)),
        ("accused-answer", suspected(Some(address(7009)))),
        ("alive", alive),
        ("agreed", PiggybackedMessage::Consensus(vec![4, 5, 6])),
    ]
}

fn datagram(message: PiggybackedMessage) -> Datagram<'static> {
    Datagram {
        digest: 0x99aa_bbcc_ddee_ff00,
        payload: b"swim",
        broadcast: b"broadcast",
        message,
    }
}

fn commands() -> Vec<(&'static str, Operation)> {
    let grant = Operation::GrantLease {
        role: Role::MetricsAggregation,
        to: name("n2"),
        process: 31,
        observed_token: 32,
        observed_renewals: 33,
        at_ms: 34,
    };
    let release = |reason| Operation::ReleaseLease {
        role: Role::Alerting,
        token: 35,
        reason,
        at_ms: 36,
    };
    let alarm = |alarm, raised| Operation::UpdateAlarm { alarm, raised };
    let raised = RaisedAlarm {
        message: "too many".into(),
        since_ms: 37,
    };
    let cordon_server = Operation::Cordon {
        server: "api-1".into(),
        cordon: cordon(),
    };
    let renew = vec![
        RoleToken {
            role: Role::Maintenance,
            token: 38,
        },
        RoleToken {
            role: Role::MetricsAggregation,
            token: 39,
        },
    ];
    vec![
        ("give", grant),
        ("renew", Operation::RenewLeases(renew)),
        ("release-first", release(HandoverReason::FirstGrant)),
        ("release-lapsed", release(HandoverReason::LeaseExpired)),
        ("release-free", release(HandoverReason::Released)),
        ("release-stops", release(HandoverReason::Shutdown)),
        ("release-asked", release(HandoverReason::OperatorRequest)),
        ("out", cordon_server),
        (
            "back",
            Operation::Uncordon {
                server: "api-1".into(),
            },
        ),
        ("look", Operation::ReadBarrier),
        ("alarm-jam", alarm(Alarm::Overload, Some(raised))),
        ("alarm-discovery", alarm(Alarm::DiscoveryMismatch, None)),
        ("alarm-flaps", alarm(Alarm::RestartLoop(name("n7")), None)),
    ]
}

fn entry(payload: EntryPayload) -> LogEntry {
    LogEntry {
        index: 81,
        term: 82,
        payload,
    }
}

fn configuration_change(kind: ConfigurationChangeKind) -> LogEntry {
    entry(EntryPayload::ConfigurationChange(ConfigurationChange {
        kind,
        voter: 83,
        context: vec![84],
    }))
}

fn stored_records() -> WriteBatch {
    let configuration = VoterConfiguration {
        voters: vec![85, 86],
        learners: vec![87],
    };
    let snapshot = LogSnapshot {
        index: 88,
        term: 89,
        configuration,
        data: vec![90],
    };
    let hard = HardState {
        term: 91,
        vote: 92,
        commit: 93,
    };
    let entries = vec![
        entry(EntryPayload::Command(vec![94])),
        configuration_change(ConfigurationChangeKind::AddLearner),
        configuration_change(ConfigurationChangeKind::AddVoter),
        configuration_change(ConfigurationChangeKind::Remove),
    ];
    WriteBatch {
        hard_state: Some(hard),
        snapshot: Some(snapshot),
        entries,
    }
}

fn to_postcard<T: Serialize>(value: &T) -> Vec<u8> {
    postcard::to_stdvec(value).unwrap()
}

fn line(title: &str, bytes: &[u8]) -> String {
    let hexadecimal: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
    format!("{title} {hexadecimal}")
}

/// All samples of this build, in the form of the fixture.
pub fn lines() -> Vec<String> {
    let fleet = fleet_id(FLEET);
    let mut lines = vec![line("fleet", &fleet.to_le_bytes())];
    for (title, call) in calls() {
        lines.push(line(&format!("call-{title}"), &call.encode(fleet)));
    }
    for (title, message) in piggybacked_messages() {
        let datagram = datagram(message);
        lines.push(line(
            &format!("datagram-1-{title}"),
            &datagram.encode(1, fleet),
        ));
        lines.push(line(
            &format!("datagram-2-{title}"),
            &datagram.encode(2, fleet),
        ));
    }
    for (title, operation) in commands() {
        let id = CommandId {
            process: 77,
            sequence: 4,
        };
        lines.push(line(
            &format!("command-{title}"),
            &to_postcard(&Command { id, operation }),
        ));
    }
    let WriteBatch {
        hard_state,
        snapshot,
        entries,
    } = stored_records();
    lines.push(line("stored-hard", &to_postcard(&hard_state.unwrap())));
    lines.push(line("stored-snapshot", &to_postcard(&snapshot.unwrap())));
    for (index, entry) in entries.iter().enumerate() {
        lines.push(line(&format!("stored-entry-{index}"), &to_postcard(entry)));
    }
    let mut fence = FencingTokens::default();
    fence.check(Role::MetricsAggregation, 95).unwrap();
    fence.check(Role::Maintenance, 96).unwrap();
    fence.check(Role::Maintenance, 1).unwrap_err();
    let fence = serde_json::to_vec(&fence).unwrap();
    lines.push(line("stored-fence", &fence));
    lines
}

fn bytes(title: &str) -> Vec<u8> {
    let prefix = format!("{title} ");
    let found = EXPECTED.lines().find_map(|line| line.strip_prefix(&prefix));
    let digits = found.unwrap_or_else(|| panic!("no sample {title}"));
    (0..digits.len())
        .step_by(2)
        .map(|at| u8::from_str_radix(&digits[at..at + 2], 16).unwrap())
        .collect()
}

/// Guards against messages and stored records that an older program cannot read, in the same fleet or after a rollback.
#[test]
fn every_message_command_and_stored_record_has_the_recorded_encoding() {
    let expected: Vec<&str> = EXPECTED.lines().collect();
    let lines = lines();
    for (expected, line) in expected.iter().zip(&lines) {
        assert_eq!(line, expected);
    }
    assert_eq!(lines.len(), expected.len());
}

/// Guards against an agent that drops the messages of an older agent in the same fleet.
#[test]
fn every_recorded_call_and_datagram_is_decoded() {
    let fleet = fleet_id(FLEET);
    for (title, call) in calls() {
        let read = CallMessage::decode(&bytes(&format!("call-{title}")), fleet);
        assert_eq!(read, Ok(call), "{title}");
    }
    for (title, message) in piggybacked_messages() {
        let older = bytes(&format!("datagram-1-{title}"));
        let read = Datagram::decode(&older, fleet, SUPPORTED_FORMATS);
        assert_eq!(read, Ok(datagram(PiggybackedMessage::None)), "{title}");
        let newer = bytes(&format!("datagram-2-{title}"));
        let read = Datagram::decode(&newer, fleet, SUPPORTED_FORMATS);
        assert_eq!(read, Ok(datagram(message)), "{title}");
    }
}

/// Guards against a voter that decodes a committed command, or its stored state, as something else than was written.
#[test]
fn every_recorded_command_and_stored_record_is_decoded() {
    for (title, operation) in commands() {
        let command: Command = postcard::from_bytes(&bytes(&format!("command-{title}"))).unwrap();
        assert_eq!(command.operation, operation, "{title}");
    }
    let WriteBatch {
        hard_state,
        snapshot,
        entries,
    } = stored_records();
    let hard_read: HardState = postcard::from_bytes(&bytes("stored-hard")).unwrap();
    assert_eq!(Some(hard_read), hard_state);
    let snapshot_read: LogSnapshot = postcard::from_bytes(&bytes("stored-snapshot")).unwrap();
    assert_eq!(Some(snapshot_read), snapshot);
    for (index, entry) in entries.into_iter().enumerate() {
        let read: LogEntry =
            postcard::from_bytes(&bytes(&format!("stored-entry-{index}"))).unwrap();
        assert_eq!(read, entry);
    }
    let mut fence: FencingTokens = serde_json::from_slice(&bytes("stored-fence")).unwrap();
    assert_eq!(fence.rejected, 1);
    assert_eq!(
        fence.check(Role::Maintenance, 95),
        Err(StaleToken {
            token: 95,
            seen: 96
        })
    );
    assert_eq!(fence.check(Role::Maintenance, 96), Ok(false));
}
