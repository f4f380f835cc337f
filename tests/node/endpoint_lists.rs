//! Server lists and configurations that are large, partly invalid, outdated or not readable at all.

use super::*;

/// Number of servers of the largest planned fleet.
const FLEET_SERVERS: usize = 18_000;

/// Returns the entries in `first`, filled up to `count` with entries that have long ids and an address on which nobody
/// listens.
fn server_list(first: &[serde_json::Value], count: usize) -> Vec<serde_json::Value> {
    let addr: SocketAddr = "127.0.0.1:9".parse().unwrap();
    let unreachable = (first.len()..count).map(|n| member_at(&format!("s-{n:0118}"), addr));
    first.iter().cloned().chain(unreachable).collect()
}

/// Starts a node with pushed lists. Returns it with its future watches and its open watch.
fn fixture_with_watch(limits: serde_json::Value) -> (NodeFixture, Receiver<TcpStream>, TcpStream) {
    let (addr, watches) = scripted_listener();
    let fixture = NodeFixture::configured(3, &ADMIN_ENV, |config| {
        config["limits"] = limits;
        config["settings"]["registry-mode"] = json!("push");
        config["discovery"] = json!(addr.to_string());
    });
    let watch = accept_next_watch(&watches);
    (fixture, watches, watch)
}

/// Takes the next watch, reads its request and writes the response head.
fn accept_next_watch(watches: &Receiver<TcpStream>) -> TcpStream {
    let mut watch = watches
        .recv_timeout(TEST_TIMEOUT)
        .expect("no watch was opened");
    accept_watch(&mut watch);
    watch
}

/// Sends a text in chunks. Returns `false` if the node closes the watch meanwhile.
fn send_chunked(watch: &mut TcpStream, text: &str) -> bool {
    text.as_bytes().chunks(1 << 16).all(|part| {
        let framed = [format!("{:x}\r\n", part.len()).as_bytes(), part, b"\r\n"].concat();
        watch.write_all(&framed).is_ok()
    })
}

// Guards against the former limit of 4 MiB: with one field per line, this list has 5.7 MB.
#[test]
fn an_indented_list_of_18_000_servers_with_long_ids_is_read() {
    let list =
        json!({"revision": 42, "complete": true, "members": server_list(&[], FLEET_SERVERS)});
    let text = serde_json::to_string_pretty(&list).unwrap() + "\n";
    assert!(text.len() > 5 << 20, "{}", text.len());
    let (fixture, _watches, mut watch) =
        fixture_with_watch(json!({"sockets": 256, "memory_mb": 64}));
    assert!(send_chunked(&mut watch, &text));
    wait_until("the list is applied", || {
        fixture.metric("svc_discovered") == FLEET_SERVERS as u64
    });
    let peak_kb = peak_memory_kb(&fixture.node);
    println!("a list of {} bytes: VmHWM {peak_kb} kB", text.len());
    assert!(peak_kb < 64 << 10, "{peak_kb} kB");
}

// Guards against the former limit of 4 MiB for the list in the configuration with which a process starts.
#[test]
fn a_process_starts_with_a_list_of_18_000_servers() {
    let fixture = NodeFixture::configured(3, &ADMIN_ENV, |config| {
        config["limits"] = json!({"sockets": 256, "memory_mb": 64});
        config["known"]["members"] = json!(server_list(
            config["known"]["members"].as_array().unwrap(),
            FLEET_SERVERS
        ));
    });
    assert_eq!(fixture.metric("svc_discovered"), FLEET_SERVERS as u64);
    let peak_kb = peak_memory_kb(&fixture.node);
    println!(
        "a configuration of {} bytes: VmHWM {peak_kb} kB",
        fixture.config.to_string().len()
    );
    assert!(peak_kb < 64 << 10, "{peak_kb} kB");
}

// Guards against a rejected list that replaces the current one, and against a log that repeats the same line twice a
// second.
#[test]
fn a_rejected_list_is_logged_once_and_the_current_one_stays() {
    let no_valid_entry =
        json!({"revision": 50, "complete": true, "members": [1, {"id": "s-0"}]}).to_string();
    let too_long =
        json!({"revision": 50, "complete": true, "members": server_list(&[], 5_000)}).to_string();
    for (text, expected) in [
        (&*too_long, &["over 1048576 bytes", "limits.memory_mb"][..]),
        (
            "{\"revision\": 50, \"members\": [}]",
            &["31 bytes", "damaged", "column"],
        ),
        (
            "{\"revision\": 50, \"complete\": true}",
            &["34 bytes", "members"],
        ),
        ("<html>", &["no object"]),
        (&no_valid_entry, &["none of its 2 entries", "no 'id'"]),
    ] {
        // With a memory limit of 4 MiB, a list may have at most 1 MiB.
        let (mut fixture, watches, mut watch) =
            fixture_with_watch(json!({"sockets": 256, "memory_mb": 4}));
        for _ in 0..2 {
            let _ = send_chunked(&mut watch, &format!("{text}\n"));
            watch = accept_next_watch(&watches);
        }
        let line = fixture.log.wait_for_line(expected);
        assert!(line.contains("3 servers at revision 41 stands"), "{line}");
        let occurrences = fixture
            .log
            .lines()
            .iter()
            .filter(|other| **other == line)
            .count();
        assert_eq!(occurrences, 1, "{line}");
        assert_eq!(fixture.metric("svc_discovered"), 3);
        assert_eq!(fixture.request("pay", "1").status(), 200);
        // The next valid list is applied.
        let delta = fixture.change_phase(0, "terminated", 51);
        assert!(send_chunked(&mut watch, &delta));
        wait_until("the update is applied", || {
            fixture.metric("svc_discovered") == 2
        });
    }
}

// Guards against an invalid entry that removes its server, and against entries or lists that are dropped without a log
// line.
#[test]
fn invalid_entries_and_older_lists_are_dropped_and_logged() {
    let (mut fixture, _watches, mut watch) = fixture_with_watch(json!({"sockets": 256}));
    let mut members = fixture.members.clone();
    members[0]["host_port"] = json!("nowhere");
    members[2]["phase"] = json!("terminating");
    let list = json!({"revision": 45, "complete": true, "members": members});
    assert!(send_chunked(&mut watch, &format!("{list}\n")));
    fixture
        .log
        .wait_for_line(&["1 of 3 entries are dropped", "host_port", "s-0"]);
    assert_eq!(
        fixture.metric("svc_discovered"),
        3,
        "the server of the invalid entry keeps its earlier entry"
    );
    fixture.members[1]["phase"] = json!("terminated");
    let list = json!({"revision": 44, "complete": true, "members": [fixture.members[1]]});
    assert!(send_chunked(&mut watch, &format!("{list}\n")));
    fixture
        .log
        .wait_for_line(&["revision 44 is older than 45", "takes nothing back"]);
}

// Guards against an error for an unreadable configuration that names neither the file nor the fault.
#[test]
fn an_unreadable_configuration_is_rejected_with_its_path_and_fault() {
    let fixture = NodeFixture::new(1);
    let path = fixture.file.path().to_str().unwrap().to_owned();
    for (text, expected) in [
        ("{\"name\": ", ["9 bytes", "EOF"]),
        ("{}", ["2 bytes", "not set"]),
    ] {
        std::fs::write(fixture.file.path(), text).unwrap();
        fixture.signal("-HUP");
        let expected_fault = if text == "{}" {
            "names no discovery"
        } else {
            expected[1]
        };
        fixture
            .log
            .wait_for_line(&["left alone", &path, expected[0], expected_fault]);
        let output = node_command(fixture.file.path()).output().unwrap();
        let stderr = String::from_utf8(output.stderr).unwrap();
        assert!(
            !output.status.success() && stderr.lines().count() == 1,
            "{stderr}"
        );
        assert!(
            expected.iter().all(|word| stderr.contains(word)) && stderr.contains(&path),
            "{stderr}"
        );
    }
    // A sparse file, which takes no disk space.
    fixture.file.as_file().set_len(65 << 20).unwrap();
    fixture.signal("-HUP");
    fixture
        .log
        .wait_for_line(&["left alone", &path, "68157440 bytes are too many"]);
    assert_eq!(fixture.request("pay", "1").status(), 200);
}

// Guards against a process that does not start because its configuration has an invalid list.
#[test]
fn a_start_with_an_invalid_list_is_logged_and_continues() {
    for (known, expected) in [
        (json!([7]), ["no object", "refused"]),
        (
            json!({"revision": 41, "complete": true, "members": [{"id": "s-9"}]}),
            ["none of its 1", "refused"],
        ),
    ] {
        let fixture = NodeFixture::configured(1, &[], |config| config["known"] = known);
        fixture.log.wait_for_line(&expected);
        let (_, mut watch) = fixture.watch();
        let list = json!({"revision": 42, "complete": true, "members": fixture.members});
        write_chunk(&mut watch, &format!("{list}\n"));
        wait_until("the list from discovery is applied", || {
            fixture.request("pay", "1").status() == 200
        });
    }
}
