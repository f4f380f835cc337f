//! Requests that must not run twice and come again with the same id.

use super::*;

/// Time in which a request that is passed on reaches a server.
const ARRIVAL_TIME: Duration = Duration::from_millis(500);

/// How a node answers a request that it may not pass on, as an earlier copy may have run: it failed.
fn assert_failed(response: &Message) {
    let status = response.status();
    let is_refusal = [429, 503].contains(&status);
    assert!(status >= 400 && !is_refusal, "{status}");
}

/// Waits until the node knows that the client of its only request has left.
fn wait_until_abandoned(fixture: &NodeFixture) {
    wait_until("the request has ended", || {
        fixture.metric("svc_outstanding") == 0
    });
}

// Guards against an id that runs twice because it comes again after its client has left.
#[test]
fn an_id_that_comes_again_after_its_client_has_left_does_not_run_twice() {
    let fixture = NodeFixture::with_admin_listener(2);
    fixture.set_behavior(Behavior::Hold);
    let client = fixture.send(&request("pay", "again", 60_000));
    assert!(fixture.receives_request());
    drop(client);
    wait_until_abandoned(&fixture);
    fixture.set_behavior(Behavior::Serve);
    assert_failed(&fixture.request("pay", "again"));
    thread::sleep(ARRIVAL_TIME);
    assert_eq!(fixture.requests().len(), 0, "the id was sent twice");
    // Other ids and idempotent requests are not affected.
    assert_eq!(fixture.request("pay", "other").status(), 200);
    for _ in 0..2 {
        assert_eq!(fixture.request("look", "same").status(), 200);
    }
}

// Guards against an id that runs twice while its first copy is in progress.
#[test]
fn an_id_that_comes_again_while_its_first_copy_is_in_progress_does_not_run_twice() {
    let fixture = NodeFixture::new(2);
    fixture.set_behavior(Behavior::Hold);
    let client = fixture.send(&request("pay", "twice", 60_000));
    assert!(fixture.receives_request());
    assert_failed(&fixture.request("pay", "twice"));
    fixture.set_behavior(Behavior::Serve);
    let response = Message::read(&mut BufReader::new(client)).expect("no response");
    assert_eq!(response.status(), 200);
    assert_eq!(fixture.requests().len(), 0, "the id was sent twice");
}

// Guards against an id that is refused for good because it was tried once without having run.
#[test]
fn an_id_that_never_ran_may_come_again() {
    let fixture = NodeFixture::new(1);
    fixture.set_behavior(Behavior::Respond(
        "503 Service Unavailable\r\nX-Turned-Away: 1",
    ));
    assert_eq!(fixture.request("pay", "tried").status(), 503);
    fixture.set_behavior(Behavior::Serve);
    wait_until("the id is served", || {
        fixture.request("pay", "tried").status() == 200
    });
}

// Guards against an id that runs at both processes of an upgrade.
#[test]
fn an_id_does_not_run_at_both_processes_of_an_upgrade() {
    let fixture = NodeFixture::new(2);
    let state = tempfile::tempdir().unwrap();
    let env = [("TMPDIR", state.path().to_str().unwrap())];
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (old, addr, _) = start(fixture.file.path(), Some(&listener), &env);
    let old = ChildGuard(old);
    fixture.set_behavior(Behavior::Hold);
    let mut client = connect(addr);
    client.write_all(&request("pay", "moved", 60_000)).unwrap();
    assert!(fixture.receives_request());
    let (new, _, _) = start(fixture.file.path(), Some(&listener), &env);
    let _new = ChildGuard(new);
    signal(&old.0, "-TERM");
    // From here on the new process alone accepts.
    thread::sleep(ARRIVAL_TIME);
    drop(client);
    fixture.set_behavior(Behavior::Serve);
    let response = exchange_with(addr, &request("pay", "moved", 60_000)).expect("no response");
    assert_failed(&response);
    thread::sleep(ARRIVAL_TIME);
    assert_eq!(fixture.requests().len(), 0, "the id was sent twice");
}
