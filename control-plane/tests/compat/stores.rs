//! The files that three voters and an agent without a vote of the build before had stored when they ended: this build goes
//! on from them. The voters had agreed on the servers `api-1` and `api-2` to be cordoned, and on four changes of leases.

use std::collections::BTreeSet;

use serde_json::{json, Value};

use super::agents::{Fleet, IDLE_NODE};

const VOTERS: [&str; 3] = ["m0", "m1", "m2"];
const WITHOUT_VOTE: usize = 3;
const AGENTS: usize = 4;
/// The stores' bytes: the length, then an offset and the bytes from there on a line, as far as they are not zero.
const STORES: [&str; 3] = [
    include_str!("fixtures/store-m0.txt"),
    include_str!("fixtures/store-m1.txt"),
    include_str!("fixtures/store-m2.txt"),
];
/// Their fencing tokens: an act of an older token is refused.
const FENCES: [&str; AGENTS] = [
    r#"{"fence":{"seen":{"maintenance":47,"census":14},"refused":0},"fleet":["api-1","api-2"],"voters":["m2","m0","m1"]}"#,
    r#"{"fence":{"seen":{"maintenance":39,"census":14,"watch":5},"refused":0},"fleet":["api-1","api-2"],"voters":["m2","m0","m1"]}"#,
    r#"{"fence":{"seen":{"maintenance":3},"refused":0},"fleet":["api-1","api-2"],"voters":["m2","m0","m1"]}"#,
    r#"{"fence":{"seen":{"maintenance":3},"refused":0},"fleet":["api-1","api-2"],"voters":["m2","m0","m1"]}"#,
];
const CORDONED: &str = r#"["api-1","api-2"]"#;
/// The last entry that the voter with the longest log had.
const LAST_ENTRY: u64 = 47;
/// Names in the build before's answers to operators: the path of a call and a JSON path, or a metric with its labels.
const NAMES: &str = include_str!("fixtures/operators-names.txt");

fn store(sparse: &str) -> Vec<u8> {
    let mut lines = sparse.lines();
    let mut bytes = vec![0; lines.next().unwrap().parse().unwrap()];
    for line in lines {
        let (offset, digits) = line.split_once(' ').unwrap();
        let offset = usize::from_str_radix(offset, 16).unwrap();
        for at in 0..digits.len() / 2 {
            bytes[offset + at] = u8::from_str_radix(&digits[at * 2..at * 2 + 2], 16).unwrap();
        }
    }
    bytes
}

/// The fleet on the files of before. The configuration of the agent without a vote names no voters: its own file does.
fn restored() -> Fleet {
    let mut fleet = Fleet::new(AGENTS);
    for (agent, fence) in FENCES.iter().enumerate() {
        fleet.write(agent, "fence.json", fence);
        fleet.write(agent, &cordoned_file(agent), CORDONED);
        let voters: &[&str] = if agent == WITHOUT_VOTE { &[] } else { &VOTERS };
        if let Some(sparse) = STORES.get(agent) {
            fleet.write(agent, "votes", store(sparse));
        }
        let configuration = fleet.configure(agent, voters, IDLE_NODE);
        fleet.start(agent, &configuration);
    }
    fleet.until("leases are granted on", |fleet| {
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

/// Guards against a voter that can't read its store, or forgets what was agreed on, when its program is replaced.
#[test]
fn voters_go_on_from_the_stores_of_before() {
    let fleet = restored();
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
    // Asked for at the agent whose voters only its own file names.
    let done = Some((200, r#"{"done":null}"#.to_owned()));
    fleet.until("one more is agreed on", |fleet| {
        let path = "/out?server=api-3&who=ana&why=fan";
        fleet.call(WITHOUT_VOTE, "POST", path) == done
    });
    let wanted = json!(["api-1", "api-2", "api-3"]);
    fleet.until("all nodes have it", |fleet| {
        (0..AGENTS).all(|agent| fleet.read(agent, &cordoned_file(agent)) == wanted)
    });
}

fn paths(value: &Value, path: &str, found: &mut BTreeSet<String>) {
    match value {
        Value::Object(fields) => {
            for (key, value) in fields {
                paths(value, &format!("{path}/{key}"), found);
            }
        }
        Value::Array(values) if !values.is_empty() => {
            for value in values {
                paths(value, &format!("{path}[]"), found);
            }
        }
        _ => {
            found.insert(path.to_owned());
        }
    }
}

fn names(fleet: &Fleet) -> BTreeSet<String> {
    let mut names = BTreeSet::new();
    for path in ["/fleet", "/duties", "/census"] {
        paths(&fleet.get(0, path), &format!("{path} "), &mut names);
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
fn answers_to_operators_have_the_names_of_before() {
    let fleet = restored();
    let expected: BTreeSet<String> = NAMES.lines().map(str::to_owned).collect();
    // What stands for a moment only, as a member that is missing, passes.
    let mut now = BTreeSet::new();
    let start = std::time::Instant::now();
    while now != expected && start.elapsed().as_secs() < 30 {
        now = names(&fleet);
    }
    let differing: Vec<&String> = now.symmetric_difference(&expected).collect();
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
        let answered = fleet.call(0, method, path).map(|(status, _)| status);
        assert_eq!(answered, Some(status), "{method} {path}");
    }
}
