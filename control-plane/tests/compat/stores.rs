//! This build continues from the files of an earlier build, which three voters and an agent without a vote had stored
//! when they ended. The voters had committed cordons of the servers `api-1` and `api-2`, and four changes of leases.

use std::collections::BTreeSet;

use serde_json::{json, Value};

use super::agents::{Fleet, IDLE_NODE};

const VOTERS: [&str; 3] = ["m0", "m1", "m2"];
const WITHOUT_VOTE: usize = 3;
const AGENTS: usize = 4;
/// The voters' databases as sparse dumps: a line with the length, then lines with an offset and the bytes from there
/// on, both in hexadecimal. All other bytes are zero.
const DATABASE_DUMPS: [&str; 3] = [
    include_str!("fixtures/store-m0.txt"),
    include_str!("fixtures/store-m1.txt"),
    include_str!("fixtures/store-m2.txt"),
];
/// The files with the agents' fencing tokens: an action under an older token is rejected.
const FENCING_TOKENS: [&str; AGENTS] = [
    r#"{"fence":{"seen":{"maintenance":47,"census":14},"refused":0},"fleet":["api-1","api-2"],"voters":["m2","m0","m1"]}"#,
    r#"{"fence":{"seen":{"maintenance":39,"census":14,"watch":5},"refused":0},"fleet":["api-1","api-2"],"voters":["m2","m0","m1"]}"#,
    r#"{"fence":{"seen":{"maintenance":3},"refused":0},"fleet":["api-1","api-2"],"voters":["m2","m0","m1"]}"#,
    r#"{"fence":{"seen":{"maintenance":3},"refused":0},"fleet":["api-1","api-2"],"voters":["m2","m0","m1"]}"#,
];
/// The file with the cordoned servers, which is the same at all agents.
const CORDONED_SERVERS: &str = r#"["api-1","api-2"]"#;
/// The index of the last entry in the longest of the logs.
const LAST_ENTRY: u64 = 47;
/// The names in the earlier build's answers to operators: the path of a call with a JSON path, or a metric with its
/// labels.
const OPERATOR_NAMES: &str = include_str!("fixtures/operators-names.txt");

fn expand_dump(dump: &str) -> Vec<u8> {
    let mut lines = dump.lines();
    let mut bytes = vec![0; lines.next().unwrap().parse().unwrap()];
    for line in lines {
        let (offset, digits) = line.split_once(' ').unwrap();
        let offset = usize::from_str_radix(offset, 16).unwrap();
        for nth in 0..digits.len() / 2 {
            bytes[offset + nth] = u8::from_str_radix(&digits[nth * 2..nth * 2 + 2], 16).unwrap();
        }
    }
    bytes
}

/// Starts a fleet on the files of the earlier build. The configuration of the agent without a vote names no voters: the
/// agent reads them from its file of fencing tokens.
fn restored_fleet() -> Fleet {
    let mut fleet = Fleet::new(AGENTS);
    for (agent, fencing_tokens) in FENCING_TOKENS.iter().enumerate() {
        fleet.write(agent, "fence.json", fencing_tokens);
        fleet.write(agent, &cordoned_file(agent), CORDONED_SERVERS);
        let voters: &[&str] = if agent == WITHOUT_VOTE { &[] } else { &VOTERS };
        if let Some(dump) = DATABASE_DUMPS.get(agent) {
            fleet.write(agent, "votes", expand_dump(dump));
        }
        let configuration = fleet.configure(agent, voters, IDLE_NODE);
        fleet.start(agent, &configuration);
    }
    fleet.until("new leases are granted", |fleet| {
        (0..VOTERS.len()).all(|agent| {
            let duties = fleet.get(agent, "/duties");
            let is_new = |duty: &Value| duty["token"].as_u64() > Some(LAST_ENTRY);
            let duties = duties["duties"].as_array();
            duties.is_some_and(|duties| duties.len() == 3 && duties.iter().all(is_new))
        })
    });
    fleet
}

fn cordoned_file(agent: usize) -> String {
    format!("node/woodgap-m{agent}-out.json")
}

/// Guards against a voter that can't read its database, or loses committed entries, when its program is replaced.
#[test]
fn voters_continue_from_databases_of_an_earlier_build() {
    let fleet = restored_fleet();
    for agent in 0..VOTERS.len() {
        let duties = fleet.get(agent, "/duties");
        assert_eq!(duties["votes"], true);
        assert_eq!(duties["voters"], json!(["m2", "m0", "m1"]));
        assert!(duties["index"].as_u64() > Some(LAST_ENTRY), "{duties}");
        let cordoned = json!({
            "api-1": {"who": "ana", "why": "disk", "since_ms": 1796283197164_u64, "until_ms": null},
            "api-2": {"who": "ana", "why": "heat", "since_ms": 1796283197166_u64,
                "until_ms": 99999999999999_u64},
        });
        assert_eq!(duties["out"], cordoned);
        let first = json!({"duty": "maintenance", "from": null, "to": "m2", "token": 3,
            "why": "first", "at_ms": 1796283197151_u64});
        assert_eq!(duties["changes"][0], first);
    }
    // The command goes to the agent that knows the voters only from its own file.
    let committed = Some((200, r#"{"done":null}"#.to_owned()));
    fleet.until("one more cordon is committed", |fleet| {
        let path = "/out?server=api-3&who=ana&why=fan";
        fleet.call(WITHOUT_VOTE, "POST", path) == committed
    });
    let expected = json!(["api-1", "api-2", "api-3"]);
    fleet.until("the cordon has reached all nodes", |fleet| {
        (0..AGENTS).all(|agent| fleet.read(agent, &cordoned_file(agent)) == expected)
    });
}

fn collect_json_paths(value: &Value, path: &str, found: &mut BTreeSet<String>) {
    match value {
        Value::Object(fields) => {
            for (key, value) in fields {
                collect_json_paths(value, &format!("{path}/{key}"), found);
            }
        }
        Value::Array(values) if !values.is_empty() => {
            for value in values {
                collect_json_paths(value, &format!("{path}[]"), found);
            }
        }
        _ => {
            found.insert(path.to_owned());
        }
    }
}

fn operator_names(fleet: &Fleet) -> BTreeSet<String> {
    let mut names = BTreeSet::new();
    for path in ["/fleet", "/duties", "/census"] {
        collect_json_paths(&fleet.get(0, path), &format!("{path} "), &mut names);
    }
    let metrics = fleet.call(0, "GET", "/metrics").unwrap_or_default().1;
    for line in metrics.lines() {
        let name = match line.strip_prefix('#') {
            Some(comment) if comment.starts_with(" TYPE") => line,
            Some(_) => continue,
            None => line.rsplit_once(' ').unwrap().0,
        };
        names.insert(format!("/metrics {name}"));
    }
    names
}

/// Guards against a renamed JSON key or metric, which operators' scripts and dashboards read.
#[test]
fn answers_to_operators_keep_their_names() {
    let fleet = restored_fleet();
    let expected: BTreeSet<String> = OPERATOR_NAMES.lines().map(str::to_owned).collect();
    // Names that are there only for a moment, such as those of a missing member, disappear.
    let mut actual = BTreeSet::new();
    let start = std::time::Instant::now();
    while actual != expected && start.elapsed().as_secs() < 30 {
        actual = operator_names(&fleet);
    }
    let differing: Vec<&String> = actual.symmetric_difference(&expected).collect();
    assert!(differing.is_empty(), "{differing:#?}");
    assert_eq!(
        fleet.call(0, "GET", "/status"),
        Some((200, "runs\n".into()))
    );
    for (method, path, status) in [
        ("POST", "/status", 405),
        ("GET", "/out?server=api-1", 405),
        ("GET", "/other", 404),
        ("POST", "/out?why=none", 400),
        ("POST", "/out?server=api-1&server=api-2", 400),
        ("POST", "/back", 400),
        ("POST", "/yield?duty=other", 400),
        ("POST", "/voter/remove?name=", 400),
        ("POST", "/back?server=api-9", 200),
        ("POST", "/yield?duty=watch", 200),
        ("POST", "/yield?duty=census", 200),
        ("POST", "/yield?duty=maintenance", 200),
    ] {
        let actual = fleet.call(0, method, path).map(|(status, _)| status);
        assert_eq!(actual, Some(status), "{method} {path}");
    }
}
