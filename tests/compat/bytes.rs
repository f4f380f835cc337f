//! The bytes on the connections of a node: to discovery, to a server, with clients and with operators.

use std::io::Write;
use std::thread;

use super::node::{accept, exchange, read_message, Node};

/// The recorded messages, each with a title line before it and an empty line after it.
const EXPECTED_MESSAGES: &str = include_str!("fixtures/wire.txt");
/// The recorded metric names.
const EXPECTED_METRIC_NAMES: &str = include_str!("fixtures/metrics.txt");
/// The metrics that were added since, which follow the recorded ones.
const ADDED_METRIC_NAMES: &str = include_str!("fixtures/added-metrics.txt");
const BODY: &str = "hello";

fn request(method: &str, lines: &[&str], body: &str) -> String {
    let mut text = format!("{method} /api?key=7f3a&x=1 HTTP/1.1\r\nHost: service.internal\r\n");
    for line in lines {
        text.push_str(line);
        text.push_str("\r\n");
    }
    if !body.is_empty() {
        text.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    format!("{text}Connection: close\r\n\r\n{body}")
}

/// Replaces addresses by the name of their owner, and removes what depends on the time: the `Date` header and the value
/// of `X-Remaining-Ms`.
fn normalize(node: &Node, text: &str) -> String {
    let names = [
        (node.client_addr().to_string(), "CLIENTS"),
        (node.admin_addr().to_string(), "OPERATORS"),
        (
            node.discovery.local_addr().unwrap().to_string(),
            "DISCOVERY",
        ),
        (node.server.local_addr().unwrap().to_string(), "SERVER"),
    ];
    let mut text = text.to_owned();
    for (address, name) in names {
        text = text.replace(&address, name);
    }
    let mut lines: Vec<String> = Vec::new();
    for line in text.split("\r\n") {
        let lower = line.to_lowercase();
        if lower.starts_with("date: ") {
            continue;
        }
        if lower.starts_with("x-remaining-ms: ") {
            let end = line.find(' ').unwrap();
            lines.push(format!("{} TIME", &line[..end]));
        } else {
            lines.push(line.to_owned());
        }
    }
    lines.join("\n")
}

/// Requests that the node answers itself: the readiness check, and invalid requests.
fn locally_answered_requests() -> Vec<(&'static str, String)> {
    let txn = "X-Txn: 9";
    vec![
        (
            "ready",
            "GET /-/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".into(),
        ),
        ("no transaction", request("GET", &["X-Lane: look"], "")),
        ("no class", request("GET", &[txn], "")),
        ("unknown class", request("GET", &[txn, "X-Lane: other"], "")),
        (
            "unknown tenant",
            request("GET", &[txn, "X-Lane: look", "X-Org: other"], ""),
        ),
        (
            "no time",
            request("GET", &[txn, "X-Lane: look", "X-Remaining-Ms: soon"], ""),
        ),
        (
            "no time left",
            request("GET", &[txn, "X-Lane: look", "X-Remaining-Ms: 0"], ""),
        ),
        ("no key", request("POST", &[txn, "X-Lane: put"], BODY)),
    ]
}

const ADMIN_CALLS: [&str; 12] = [
    "GET /status",
    "POST /status",
    "GET /other",
    "POST /maintenance/enter",
    "POST /maintenance/enter?member=s-9",
    "POST /maintenance/enter?member=s-0",
    "POST /maintenance/exit?member=s-0",
    "POST /standby",
    "GET /status",
    "POST /active",
    "GET /status",
    "GET /maintenance/exit",
];

/// Runs all exchanges with a node. Returns the messages in the form of the recording.
pub fn record_conversation() -> String {
    let node = Node::started();
    let mut messages = Vec::new();
    let mut watch = accept(&node.discovery);
    let watch_request = normalize(&node, &read_message(&mut watch, 0));
    messages.push(format!("== watch\n{watch_request}\n"));
    watch
        .write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        .unwrap();
    let responses = [
        ("served", "HTTP/1.1 200 OK\r\nX-Of-Server: 1\r\nContent-Length: 4\r\nConnection: close\r\n\r\nyes\n"),
        ("turned away", "HTTP/1.1 503 Full\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"),
        ("failed", "HTTP/1.1 500 Wrong\r\nContent-Length: 3\r\nConnection: close\r\n\r\nno\n"),
    ];
    let header_lines = [
        "X-Txn: 9",
        "X-Lane: pay",
        "X-Org: acme",
        "X-Remaining-Ms: 60000",
        "X-More: a",
    ];
    for (title, response) in responses {
        // The recorded requests have the same id, which a node passes on once.
        let node = Node::started();
        let (client_addr, text) = (node.client_addr(), request("POST", &header_lines, BODY));
        let client_thread = thread::spawn(move || exchange(client_addr, &text));
        let mut stream = accept(&node.server);
        let mut record = |title: &str, text: &str| {
            messages.push(format!("== {title}\n{}\n", normalize(&node, text)));
        };
        record(
            &format!("forwarded, {title}"),
            &read_message(&mut stream, BODY.len()),
        );
        stream.write_all(response.as_bytes()).unwrap();
        record(
            &format!("answered, {title}"),
            &client_thread.join().unwrap(),
        );
    }
    let mut record = |title: &str, text: &str| {
        messages.push(format!("== {title}\n{}\n", normalize(&node, text)));
    };
    for (title, text) in locally_answered_requests() {
        record(title, &exchange(node.client_addr(), &text));
    }
    for call in ADMIN_CALLS {
        record(call, &node.admin_call(call));
    }
    messages.join("\n")
}

/// Returns the names, labels, types and order of the metrics, without values and help texts.
pub fn metric_names() -> String {
    let node = Node::started();
    let response = node.admin_call("GET /status/metrics");
    let (_, body) = response.split_once("\r\n\r\n").unwrap();
    let name = |line: &str| match line.rsplit_once(' ') {
        Some((name, _)) if !line.starts_with('#') => format!("{name}\n"),
        _ => format!("{line}\n"),
    };
    let lines = body.lines().filter(|line| !line.starts_with("# HELP"));
    lines.map(name).collect()
}

/// Guards against a changed header, status, path or text on a connection.
#[test]
fn the_bytes_on_each_connection_match_the_recorded_ones() {
    let actual = record_conversation();
    let messages = actual.split("== ").zip(EXPECTED_MESSAGES.split("== "));
    for (actual, expected) in messages {
        assert_eq!(actual, expected);
    }
    assert_eq!(actual, EXPECTED_MESSAGES);
}

/// Guards against a renamed metric or label: dashboards and the agents read them.
#[test]
fn metric_names_match_the_recorded_ones() {
    let expected = [EXPECTED_METRIC_NAMES, ADDED_METRIC_NAMES].concat();
    assert_eq!(metric_names(), expected);
}
