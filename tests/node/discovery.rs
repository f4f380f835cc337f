//! The list and its watch.

use super::*;

// Guards against a change that is lost where its line spans several chunks, or where a watch is reopened.
#[test]
fn updates_are_applied_however_their_lines_are_split() {
    let mut fixture = NodeFixture::new(4);
    let (request, mut stream) = fixture.watch();
    assert!(
        request.first.contains("/api/targets?stream=1&index=41 "),
        "{}",
        request.first
    );
    assert!(reaches_first(&fixture));
    let delta = fixture.change_phase(0, "terminating", 43);
    for part in delta.as_bytes().chunks(7) {
        chunk(&mut stream, std::str::from_utf8(part).unwrap());
    }
    wait_until("the draining server is left alone", || {
        !reaches_first(&fixture)
    });
    // A watch that ends is opened anew from the last version.
    drop(stream);
    let (request, _stream) = fixture.watch();
    assert!(request.first.contains("index=43 "), "{}", request.first);
}

// The environment still has the address of the start when the file names another.
#[test]
fn sighup_moves_the_watch_to_the_address_in_the_new_file() {
    let mut fixture = NodeFixture::new(4);
    let (_, mut old) = fixture.watch();
    let (tx, moved) = channel();
    fixture.set_discovery_address(discovery(tx));
    fixture.signal("-HUP");
    let (request, mut stream) = moved
        .recv_timeout(TEST_TIMEOUT)
        .expect("a watch at the new address");
    assert!(request.first.contains("index=41 "), "{}", request.first);
    old.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    assert_eq!(one_byte(&mut old).expect("the old watch is closed"), 0);
    assert!(reaches_first(&fixture));
    let delta = fixture.change_phase(0, "terminating", 42);
    chunk(&mut stream, &delta);
    wait_until("the draining server is left alone", || {
        !reaches_first(&fixture)
    });
}

// A file that can't be read must not end the node or its watch.
#[test]
fn sighup_with_an_invalid_file_keeps_the_watch() {
    let mut fixture = NodeFixture::new(1);
    let (_, mut stream) = fixture.watch();
    std::fs::write(fixture.file.path(), "{").unwrap();
    fixture.signal("-HUP");
    let delta = fixture.change_phase(0, "terminating", 42);
    chunk(&mut stream, &delta);
    wait_until("the list is still followed", || {
        fixture.request("pay", "1").status() == 503
    });
    assert!(fixture.node.try_wait().unwrap().is_none());
}

// Guards against waiting without end on a watch that stays open and silent.
#[test]
fn a_silent_watch_is_replaced() {
    let fixture = NodeFixture::new(1);
    let (_, _silent) = fixture.watch();
    let (request, _stream) = fixture.watch();
    assert!(request.first.contains("index=41 "), "{}", request.first);
}

/// How late a list may be in force after a watch fell silent, and after SIGHUP: the platform's own bounds.
const UPDATE_DEADLINE: Duration = Duration::from_secs(6);
const UPDATE_DEADLINE_AFTER_SIGHUP: Duration = Duration::from_secs(4);

/// A fixture of four servers to which lists are pushed, by a discovery whose every byte is the test's.
fn pushed() -> (NodeFixture, Receiver<TcpStream>) {
    let (addr, watches) = scripted();
    let fixture = NodeFixture::configured(4, &[], |config| {
        config["settings"]["registry-mode"] = json!("push");
        config["discovery"] = json!(addr.to_string());
    });
    (fixture, watches)
}

/// Whether requests of many keys reach the first server. With four of them one more can be spared: a machine that halts
/// for 0.3 s makes the node avoid the server whose answer it waited for.
fn reaches_first(fixture: &NodeFixture) -> bool {
    fixture.requests();
    for n in 0..16 {
        let request = request_with_key("pay", &n.to_string(), 60_000, n);
        assert_eq!(fixture.exchange(&request).status(), 200);
    }
    fixture.requests().iter().any(|(server, _)| *server == 0)
}

/// Announces that the first server drains, and returns once no request reaches it.
fn announce_drain(fixture: &mut NodeFixture, watch: &mut TcpStream) {
    assert!(reaches_first(fixture));
    let delta = fixture.change_phase(0, "terminating", 42);
    chunk(watch, &delta);
    wait_until("the draining server is left alone", || {
        !reaches_first(fixture)
    });
}

/// Where a watch falls silent.
#[derive(Clone, Copy, Debug)]
enum Silent {
    Connected,
    Head,
    MidLine,
    AfterALine,
    /// Never quite: bytes come on and on, and no line does.
    Trickles,
}

impl Silent {
    fn fall(self, mut watch: TcpStream) -> TcpStream {
        if !matches!(self, Silent::Connected) {
            accept_watch(&mut watch);
        }
        match self {
            Silent::Connected | Silent::Head => {}
            Silent::MidLine => chunk(&mut watch, "{\"revision\": 42, \"comp"),
            Silent::AfterALine => chunk(
                &mut watch,
                "{\"revision\": 41, \"complete\": false, \"members\": []}\n",
            ),
            Silent::Trickles => {
                let mut watch = watch.try_clone().unwrap();
                thread::spawn(move || {
                    let mut parts = std::iter::once("{").chain(std::iter::repeat(" "));
                    while parts.next().is_some_and(|part| {
                        watch
                            .write_all(format!("1\r\n{part}\r\n").as_bytes())
                            .is_ok()
                    }) {
                        thread::sleep(Duration::from_millis(100));
                    }
                });
            }
        }
        watch
    }
}

// However it falls silent, and though the next call hangs as well, the list is in force when the platform counts on it.
#[test]
fn a_watch_that_falls_silent_is_replaced_within_the_update_deadline() {
    for (silent, next_silent) in [
        (Silent::Connected, Silent::Connected),
        (Silent::Head, Silent::Connected),
        (Silent::MidLine, Silent::Head),
        (Silent::AfterALine, Silent::MidLine),
        (Silent::Trickles, Silent::Trickles),
    ] {
        let (mut fixture, watches) = pushed();
        let first = watches.recv_timeout(TEST_TIMEOUT).unwrap();
        let start = Instant::now();
        let _first = silent.fall(first);
        let _second = next_silent.fall(watches.recv_timeout(TEST_TIMEOUT).unwrap());
        let mut third = watches.recv_timeout(TEST_TIMEOUT).unwrap();
        accept_watch(&mut third);
        assert!(
            start.elapsed() < UPDATE_DEADLINE,
            "{silent:?}, then {next_silent:?}: {:?}",
            start.elapsed()
        );
        announce_drain(&mut fixture, &mut third);
    }
}

// Guards against a call after SIGHUP that hangs for the whole bound: it was replaced after 4.0 s, the bound itself.
#[test]
fn a_call_that_hangs_after_sighup_is_replaced_within_the_update_deadline() {
    for silent in [Silent::Connected, Silent::Head, Silent::MidLine] {
        let (mut fixture, watches) = pushed();
        let mut old = watches.recv_timeout(TEST_TIMEOUT).unwrap();
        accept_watch(&mut old);
        let watches = fixture.move_discovery();
        let start = Instant::now();
        fixture.signal("-HUP");
        let _first = silent.fall(watches.recv_timeout(TEST_TIMEOUT).unwrap());
        let mut second = watches.recv_timeout(TEST_TIMEOUT).unwrap();
        accept_watch(&mut second);
        // The first is replaced with time left for one more: the bound less what one call may take.
        let bound = UPDATE_DEADLINE_AFTER_SIGHUP - Duration::from_millis(500);
        assert!(start.elapsed() < bound, "{silent:?}: {:?}", start.elapsed());
        announce_drain(&mut fixture, &mut second);
    }
}

// A watch broke and is to be opened again in a moment; SIGHUP opens one at another address before that.
#[test]
fn sighup_replaces_a_pending_reopening_of_the_watch() {
    let (mut fixture, watches) = pushed();
    let mut first = watches.recv_timeout(TEST_TIMEOUT).unwrap();
    accept_watch(&mut first);
    let at_new = fixture.move_discovery();
    // Once the node has closed its side, it knows.
    first.shutdown(std::net::Shutdown::Write).unwrap();
    assert_eq!(one_byte(&mut first).expect("closed"), 0);
    fixture.signal("-HUP");
    let mut watch = at_new.recv_timeout(TEST_TIMEOUT).unwrap();
    accept_watch(&mut watch);
    chunk(&mut watch, "\n");
    // Longer than the reopening would have waited: torn down, this one would end.
    watch
        .set_read_timeout(Some(Duration::from_millis(1_500)))
        .unwrap();
    let read = one_byte(&mut watch);
    assert!(read.is_err(), "the new watch was closed");
    assert!(at_new.try_recv().is_err(), "and opened again");
}

// Guards against items split at line ends: an indented list ended the watch at its first line, again and again.
#[test]
fn indented_lists_are_read() {
    let (mut fixture, watches) = pushed();
    let mut watch = watches.recv_timeout(TEST_TIMEOUT).unwrap();
    accept_watch(&mut watch);
    assert!(reaches_first(&fixture));
    fixture.members[0]["phase"] = json!("terminating");
    let list = json!({"revision": 42, "complete": true, "members": fixture.members});
    let text = serde_json::to_string_pretty(&list).unwrap() + "\n";
    // With a heartbeat where a line was cut.
    let cut = text.find("\"s-1\"").unwrap();
    for part in [&text[..cut], "\n", &text[cut..]] {
        chunk(&mut watch, part);
    }
    wait_until("the draining server is left alone", || {
        !reaches_first(&fixture)
    });
}

// The address of a new configuration may be behind: what the old one announced still holds.
#[test]
fn an_older_list_from_a_new_address_reverts_nothing() {
    for complete in [true, false] {
        let (mut fixture, watches) = pushed();
        let mut first = watches.recv_timeout(TEST_TIMEOUT).unwrap();
        accept_watch(&mut first);
        let before = fixture.members.clone();
        announce_drain(&mut fixture, &mut first);
        let at_new = fixture.move_discovery();
        fixture.signal("-HUP");
        let mut watch = at_new.recv_timeout(TEST_TIMEOUT).unwrap();
        assert!(accept_watch(&mut watch).first.contains("index=42 "));
        // With a server that only this list names: once it is reached, the list is known.
        let (tx, seen) = channel();
        let addr = server(7, Arc::new(Mutex::new(Behavior::Serve)), tx);
        let mut members = before;
        let mut added = members[1].clone();
        (added["id"], added["host_port"]) = (json!("s-7"), json!(addr.to_string()));
        members.push(added);
        let list = json!({"revision": 40, "complete": complete, "members": members});
        chunk(&mut watch, &format!("{list}\n"));
        wait_until("the list is known", || {
            assert!(
                !reaches_first(&fixture),
                "complete {complete}: an older list put a draining server back"
            );
            seen.try_iter().next().is_some()
        });
        assert!(!reaches_first(&fixture));
    }
}

// Where lists are polled, the balancer polls by itself while SIGHUP's call is on its way: one call is enough.
#[test]
fn the_discovery_call_of_sighup_replaces_the_next_poll() {
    let (addr, watches) = scripted();
    let mut fixture = NodeFixture::configured(4, &[], |config| {
        config["discovery"] = json!(addr.to_string())
    });
    let mut first = watches.recv_timeout(TEST_TIMEOUT).unwrap();
    accept_watch(&mut first);
    let at_new = fixture.move_discovery();
    first.shutdown(std::net::Shutdown::Write).unwrap();
    assert_eq!(one_byte(&mut first).expect("closed"), 0);
    fixture.signal("-HUP");
    // Not answered until the module's own call would have come: within half of ask-within, and half more.
    let mut watch = at_new.recv_timeout(TEST_TIMEOUT).unwrap();
    let call = Message::read(&mut BufReader::new(watch.try_clone().unwrap()));
    assert!(call.is_some());
    watch
        .set_read_timeout(Some(Duration::from_millis(1_500)))
        .unwrap();
    assert!(one_byte(&mut watch).is_err(), "the call was given up");
    assert!(at_new.try_recv().is_err(), "and made again");
    watch.write_all(CHUNKED_HEAD).unwrap();
    announce_drain(&mut fixture, &mut watch);
}
