//! The bytes on each of the node's connections: discovery's, a server's, clients' and operators'.

use std::io::Write;
use std::thread;

use super::node::{accept, ask, read_message, Node};

/// Each message with a title line before it, and a blank line after.
const EXPECTED: &str = include_str!("fixtures/wire.txt");
const METRICS: &str = include_str!("fixtures/metrics.txt");
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

/// Addresses by what they are, and without what depends on the time.
fn timeless(node: &Node, text: &str) -> String {
    let names = [
        (node.clients().to_string(), "CLIENTS"),
        (node.operators().to_string(), "OPERATORS"),
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

/// What clients may do wrong, or may ask the node itself.
fn asked_of_the_node() -> Vec<(&'static str, String)> {
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

const OPERATORS_CALLS: [&str; 12] = [
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

/// All messages as the fixture has them.
pub fn conversation() -> String {
    let node = Node::started();
    let mut messages = Vec::new();
    let mut record = |title: &str, text: &str| {
        messages.push(format!("== {title}\n{}\n", timeless(&node, text)));
    };
    let mut watch = accept(&node.discovery);
    record("watch", &read_message(&mut watch, 0));
    watch
        .write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        .unwrap();
    let answers = [
        ("served", "HTTP/1.1 200 OK\r\nX-Of-Server: 1\r\nContent-Length: 4\r\nConnection: close\r\n\r\nyes\n"),
        ("turned away", "HTTP/1.1 503 Full\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"),
        ("failed", "HTTP/1.1 500 Wrong\r\nContent-Length: 3\r\nConnection: close\r\n\r\nno\n"),
    ];
    let client = [
        "X-Txn: 9",
        "X-Lane: pay",
        "X-Org: acme",
        "X-Remaining-Ms: 60000",
        "X-More: a",
    ];
    for (title, answer) in answers {
        let (clients, text) = (node.clients(), request("POST", &client, BODY));
        let asker = thread::spawn(move || ask(clients, &text));
        let mut stream = accept(&node.server);
        record(
            &format!("forwarded, {title}"),
            &read_message(&mut stream, BODY.len()),
        );
        stream.write_all(answer.as_bytes()).unwrap();
        record(&format!("answered, {title}"), &asker.join().unwrap());
    }
    for (title, text) in asked_of_the_node() {
        record(title, &ask(node.clients(), &text));
    }
    for call in OPERATORS_CALLS {
        record(call, &node.operate(call));
    }
    messages.join("\n")
}

/// The metrics' names, labels, types and order, without the values and the help texts.
pub fn metrics() -> String {
    let node = Node::started();
    let answer = node.operate("GET /status/metrics");
    let (_, body) = answer.split_once("\r\n\r\n").unwrap();
    let name = |line: &str| match line.rsplit_once(' ') {
        Some((name, _)) if !line.starts_with('#') => format!("{name}\n"),
        _ => format!("{line}\n"),
    };
    let lines = body.lines().filter(|line| !line.starts_with("# HELP"));
    lines.map(name).collect()
}

/// Guards against a header, a status, a path or a text that changed on a connection, for whoever stands at its other end.
#[test]
fn the_bytes_on_each_connection_match_the_recorded_ones() {
    let now = conversation();
    let messages = now.split("== ").zip(EXPECTED.split("== "));
    for (now, before) in messages {
        assert_eq!(now, before);
    }
    assert_eq!(now, EXPECTED);
}

/// Guards against a renamed metric or label, which dashboards and the agents read.
#[test]
fn metric_names_match_the_recorded_ones() {
    assert_eq!(metrics(), METRICS);
}
