//! The server list from discovery, and the watch that delivers it.

use super::*;

// Guards against an update that is lost because its line spans several chunks or because the watch is reopened.
#[test]
fn updates_are_applied_however_their_lines_are_split() {
    let mut fixture = NodeFixture::new(4);
    let (request, mut stream) = fixture.watch();
    assert!(
        request
            .first_line
            .contains("/api/targets?stream=1&index=41 "),
        "{}",
        request.first_line
    );
    assert!(reaches_first_server(&fixture));
    let delta = fixture.change_phase(0, "terminating", 43);
    for part in delta.as_bytes().chunks(7) {
        write_chunk(&mut stream, std::str::from_utf8(part).unwrap());
    }
    wait_until("the draining server gets no requests", || {
        !reaches_first_server(&fixture)
    });
    // A watch that ends is reopened from the latest revision.
    drop(stream);
    let (request, _stream) = fixture.watch();
    assert!(
        request.first_line.contains("index=43 "),
        "{}",
        request.first_line
    );
}

// Guards against a watch that stays at its old address after SIGHUP although the configuration file names a new one.
#[test]
fn sighup_moves_the_watch_to_the_address_in_the_new_file() {
    let mut fixture = NodeFixture::new(4);
    let (_, mut old_watch) = fixture.watch();
    let (tx, moved) = channel();
    fixture.set_discovery_address(discovery(tx));
    fixture.signal("-HUP");
    let (request, mut stream) = moved
        .recv_timeout(TEST_TIMEOUT)
        .expect("no watch was opened at the new address");
    assert!(
        request.first_line.contains("index=41 "),
        "{}",
        request.first_line
    );
    old_watch.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    assert_eq!(
        read_one_byte(&mut old_watch).expect("the old watch was not closed"),
        0
    );
    assert!(reaches_first_server(&fixture));
    let delta = fixture.change_phase(0, "terminating", 42);
    write_chunk(&mut stream, &delta);
    wait_until("the draining server gets no requests", || {
        !reaches_first_server(&fixture)
    });
}

// Guards against an unreadable file that ends the process or its watch.
#[test]
fn sighup_with_an_invalid_file_keeps_the_watch() {
    let mut fixture = NodeFixture::new(1);
    let (_, mut stream) = fixture.watch();
    std::fs::write(fixture.file.path(), "{").unwrap();
    fixture.signal("-HUP");
    let delta = fixture.change_phase(0, "terminating", 42);
    write_chunk(&mut stream, &delta);
    wait_until("the update is applied", || {
        fixture.request("pay", &new_id()).status() == 503
    });
    assert!(fixture.node.try_wait().unwrap().is_none());
}

// Guards against waiting forever on a watch that stays open and silent.
#[test]
fn a_silent_watch_is_replaced() {
    let fixture = NodeFixture::new(1);
    let (_, _silent) = fixture.watch();
    let (request, _stream) = fixture.watch();
    assert!(
        request.first_line.contains("index=41 "),
        "{}",
        request.first_line
    );
}

/// The platform's deadlines for applying a list: after a watch fell silent, and after SIGHUP.
const UPDATE_DEADLINE: Duration = Duration::from_secs(6);
const UPDATE_DEADLINE_AFTER_SIGHUP: Duration = Duration::from_secs(4);

/// Starts a node with four servers and pushed lists. Returns it with the watches that it opens, which the test serves
/// itself.
fn fixture_with_pushed_lists() -> (NodeFixture, Receiver<TcpStream>) {
    let (addr, watches) = scripted_listener();
    let fixture = NodeFixture::configured(4, &[], |config| {
        config["settings"]["registry-mode"] = json!("push");
        config["discovery"] = json!(addr.to_string());
    });
    (fixture, watches)
}

/// Sends requests with many keys, all of which have to be served. Returns whether one of them reached the first server.
/// Four servers leave room for one more that is avoided: if the machine pauses for 0.3 s, the node avoids the server
/// whose response was delayed.
fn reaches_first_server(fixture: &NodeFixture) -> bool {
    fixture.requests();
    for n in 0..16 {
        let request = request_with_key("pay", &new_id(), 60_000, n);
        assert_eq!(fixture.exchange(&request).status(), 200);
    }
    fixture.requests().iter().any(|(server, _)| *server == 0)
}

/// Announces that the first server drains, and waits until no request reaches it.
fn announce_drain(fixture: &mut NodeFixture, watch: &mut TcpStream) {
    assert!(reaches_first_server(fixture));
    let delta = fixture.change_phase(0, "terminating", 42);
    write_chunk(watch, &delta);
    wait_until("the draining server gets no requests", || {
        !reaches_first_server(fixture)
    });
}

/// The point at which a watch falls silent.
#[derive(Clone, Copy, Debug)]
enum WatchSilence {
    /// After the connection is established.
    AfterConnect,
    /// After the response head.
    AfterHead,
    MidLine,
    AfterLine,
    /// Bytes arrive without end, but no complete line.
    Trickle,
}

impl WatchSilence {
    /// Serves the watch up to the point at which it falls silent. Returns it, still open.
    fn apply(self, mut watch: TcpStream) -> TcpStream {
        if !matches!(self, WatchSilence::AfterConnect) {
            accept_watch(&mut watch);
        }
        match self {
            WatchSilence::AfterConnect | WatchSilence::AfterHead => {}
            WatchSilence::MidLine => write_chunk(&mut watch, "{\"revision\": 42, \"comp"),
            WatchSilence::AfterLine => write_chunk(
                &mut watch,
                "{\"revision\": 41, \"complete\": false, \"members\": []}\n",
            ),
            WatchSilence::Trickle => {
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

// Guards against a watch that is replaced too late for the platform's deadline, wherever it falls silent and even if
// the next call hangs as well.
#[test]
fn a_watch_that_falls_silent_is_replaced_within_the_update_deadline() {
    for (silence, next_silence) in [
        (WatchSilence::AfterConnect, WatchSilence::AfterConnect),
        (WatchSilence::AfterHead, WatchSilence::AfterConnect),
        (WatchSilence::MidLine, WatchSilence::AfterHead),
        (WatchSilence::AfterLine, WatchSilence::MidLine),
        (WatchSilence::Trickle, WatchSilence::Trickle),
    ] {
        let (mut fixture, watches) = fixture_with_pushed_lists();
        let first = watches.recv_timeout(TEST_TIMEOUT).unwrap();
        let start = Instant::now();
        let _first = silence.apply(first);
        let _second = next_silence.apply(watches.recv_timeout(TEST_TIMEOUT).unwrap());
        let mut third = watches.recv_timeout(TEST_TIMEOUT).unwrap();
        accept_watch(&mut third);
        assert!(
            start.elapsed() < UPDATE_DEADLINE,
            "{silence:?}, then {next_silence:?}: {:?}",
            start.elapsed()
        );
        announce_drain(&mut fixture, &mut third);
    }
}

// Guards against a hung call after SIGHUP that uses up the whole deadline: it was replaced after 4.0 s, which is the
// deadline itself.
#[test]
fn a_call_that_hangs_after_sighup_is_replaced_within_the_update_deadline() {
    for silence in [
        WatchSilence::AfterConnect,
        WatchSilence::AfterHead,
        WatchSilence::MidLine,
    ] {
        let (mut fixture, watches) = fixture_with_pushed_lists();
        let mut old = watches.recv_timeout(TEST_TIMEOUT).unwrap();
        accept_watch(&mut old);
        let watches = fixture.move_discovery();
        let start = Instant::now();
        fixture.signal("-HUP");
        let _first = silence.apply(watches.recv_timeout(TEST_TIMEOUT).unwrap());
        let mut second = watches.recv_timeout(TEST_TIMEOUT).unwrap();
        accept_watch(&mut second);
        // The first call is replaced while there is time for one more, which may take 0.5 s.
        let deadline = UPDATE_DEADLINE_AFTER_SIGHUP - Duration::from_millis(500);
        assert!(
            start.elapsed() < deadline,
            "{silence:?}: {:?}",
            start.elapsed()
        );
        announce_drain(&mut fixture, &mut second);
    }
}

// Guards against two watches: a broken watch waits to be reopened when SIGHUP opens one at another address. The pending
// reopening must not replace the new watch.
#[test]
fn sighup_replaces_a_pending_reopening_of_the_watch() {
    let (mut fixture, watches) = fixture_with_pushed_lists();
    let mut first = watches.recv_timeout(TEST_TIMEOUT).unwrap();
    accept_watch(&mut first);
    let new_connections = fixture.move_discovery();
    // The node has noticed the break once it closes its side.
    first.shutdown(std::net::Shutdown::Write).unwrap();
    assert_eq!(
        read_one_byte(&mut first).expect("the connection was not closed"),
        0
    );
    fixture.signal("-HUP");
    let mut watch = new_connections.recv_timeout(TEST_TIMEOUT).unwrap();
    accept_watch(&mut watch);
    write_chunk(&mut watch, "\n");
    // Longer than the delay of the reopening, which would end this watch.
    watch
        .set_read_timeout(Some(Duration::from_millis(1_500)))
        .unwrap();
    let read = read_one_byte(&mut watch);
    assert!(read.is_err(), "the new watch was closed");
    assert!(
        new_connections.try_recv().is_err(),
        "the watch was opened again"
    );
}

// Guards against a parser that splits items at line ends: the first line of an indented list ended the watch, at every
// reopening.
#[test]
fn indented_lists_are_read() {
    let (mut fixture, watches) = fixture_with_pushed_lists();
    let mut watch = watches.recv_timeout(TEST_TIMEOUT).unwrap();
    accept_watch(&mut watch);
    assert!(reaches_first_server(&fixture));
    fixture.members[0]["phase"] = json!("terminating");
    let list = json!({"revision": 42, "complete": true, "members": fixture.members});
    let text = serde_json::to_string_pretty(&list).unwrap() + "\n";
    // A heartbeat arrives in the middle of the list.
    let cut = text.find("\"s-1\"").unwrap();
    for part in [&text[..cut], "\n", &text[cut..]] {
        write_chunk(&mut watch, part);
    }
    wait_until("the draining server gets no requests", || {
        !reaches_first_server(&fixture)
    });
}

// Guards against a discovery at a new address that lags behind and reverts what the old one announced.
#[test]
fn an_older_list_from_a_new_address_reverts_nothing() {
    for complete in [true, false] {
        let (mut fixture, watches) = fixture_with_pushed_lists();
        let mut first = watches.recv_timeout(TEST_TIMEOUT).unwrap();
        accept_watch(&mut first);
        let before = fixture.members.clone();
        announce_drain(&mut fixture, &mut first);
        let new_connections = fixture.move_discovery();
        fixture.signal("-HUP");
        let mut watch = new_connections.recv_timeout(TEST_TIMEOUT).unwrap();
        assert!(accept_watch(&mut watch).first_line.contains("index=42 "));
        // The older list names an additional server. Once that server gets requests, the node has read the list.
        let (tx, added_server_reports) = channel();
        let addr = server(7, Arc::new(Mutex::new(Behavior::Serve)), tx);
        let mut members = before;
        let mut added = members[1].clone();
        (added["id"], added["host_port"]) = (json!("s-7"), json!(addr.to_string()));
        members.push(added);
        let list = json!({"revision": 40, "complete": complete, "members": members});
        write_chunk(&mut watch, &format!("{list}\n"));
        wait_until("the older list is read", || {
            assert!(
                !reaches_first_server(&fixture),
                "complete {complete}: the older list reverted the drain"
            );
            added_server_reports.try_iter().next().is_some()
        });
        assert!(!reaches_first_server(&fixture));
    }
}

// Guards against two concurrent calls in poll mode: while the call of SIGHUP is in progress, the balancer's own poll
// falls due, and the call in progress has to serve for it.
#[test]
fn the_discovery_call_of_sighup_replaces_the_next_poll() {
    let (addr, watches) = scripted_listener();
    let mut fixture = NodeFixture::configured(4, &[], |config| {
        config["discovery"] = json!(addr.to_string())
    });
    let mut first = watches.recv_timeout(TEST_TIMEOUT).unwrap();
    accept_watch(&mut first);
    let new_connections = fixture.move_discovery();
    first.shutdown(std::net::Shutdown::Write).unwrap();
    assert_eq!(
        read_one_byte(&mut first).expect("the connection was not closed"),
        0
    );
    fixture.signal("-HUP");
    // The call gets no response for longer than ask-within (1 s), so the balancer's own poll falls due meanwhile.
    let mut watch = new_connections.recv_timeout(TEST_TIMEOUT).unwrap();
    let call = Message::read(&mut BufReader::new(watch.try_clone().unwrap()));
    assert!(call.is_some());
    watch
        .set_read_timeout(Some(Duration::from_millis(1_500)))
        .unwrap();
    assert!(
        read_one_byte(&mut watch).is_err(),
        "the call of SIGHUP was closed"
    );
    assert!(
        new_connections.try_recv().is_err(),
        "a second call was made"
    );
    watch.write_all(CHUNKED_HEAD).unwrap();
    announce_drain(&mut fixture, &mut watch);
}
