//! Settings that change while the node runs: in force at SIGHUP, without losing a request or what is known.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

use serde_json::Value;

use crate::*;

const APPLIED: &str = "svc_sighup_applied_total";
const REJECTED: &str = "svc_sighup_rejected_total";
/// Of the largest fleet in sight.
const TENANTS: usize = 46_000;

fn fixture(servers: usize, shape: impl FnOnce(&mut Value)) -> NodeFixture {
    NodeFixture::configured(servers, &ADMIN_ENV, shape)
}

fn write(fixture: &NodeFixture) {
    std::fs::write(fixture.file.path(), fixture.config.to_string()).unwrap();
}

/// Changes the node's file and has it read, until the node has counted it as applied or rejected.
fn change(fixture: &mut NodeFixture, metric: &str, change: impl FnOnce(&mut Value)) {
    change(&mut fixture.config);
    write(fixture);
    reload(fixture, metric);
}

fn reload(fixture: &NodeFixture, metric: &str) {
    let before = fixture.metric(metric);
    fixture.signal("-HUP");
    wait_until("the file was read again", || {
        fixture.metric(metric) > before
    });
}

fn class(name: &str) -> Value {
    json!({"name": name, "aim": 20_000_000, "deadline": 60_000_000, "semantics": "safe", "points": 1.0})
}

fn classes(config: &mut Value) -> &mut Vec<Value> {
    config["settings"]["classes"].as_array_mut().unwrap()
}

fn tenants(count: usize) -> Value {
    (0..count)
        .map(|n| json!({"name": format!("tenant-{n:06}"), "quota-per-s": 5.0}))
        .collect()
}

/// Sends until the answer is no rejection: on a busy machine slow answers pass for overload, which is not tested here.
fn status(mut send: impl FnMut() -> u16) -> u16 {
    let mut status = 503;
    wait_until("it is not refused", || {
        status = send();
        status != 503
    });
    status
}

fn status_of(fixture: &NodeFixture, class: &str, id: &str) -> u16 {
    status(|| fixture.request(class, id).status())
}

fn status_for_tenant(fixture: &NodeFixture, tenant: &str) -> u16 {
    let text = String::from_utf8(request("look", "t", 60_000)).unwrap();
    let text = text.replace("X-Org: acme", &format!("X-Org: {tenant}"));
    status(|| fixture.exchange(text.as_bytes()).status())
}

// Guards against settings that wait for a restart: of a changed file, SIGHUP applied the address of discovery alone.
#[test]
fn sighup_adds_and_removes_classes_and_tenants() {
    let mut fixture = fixture(2, |_| ());
    assert_eq!(status_of(&fixture, "quote", "a"), 400);
    assert_eq!(status_for_tenant(&fixture, "zenith"), 400);
    change(&mut fixture, APPLIED, |config| {
        classes(config).insert(0, class("quote"));
        config["settings"]["tenants"] = json!([{"name": "zenith", "quota-per-s": 0.0}]);
    });
    assert_eq!(status_for_tenant(&fixture, "zenith"), 200);
    assert_eq!(status_for_tenant(&fixture, "acme"), 400, "withdrawn");
    change(&mut fixture, APPLIED, |config| {
        config["settings"]["tenants"] = json!([{"name": "acme", "quota-per-s": 0.0}]);
    });
    assert_eq!(status_for_tenant(&fixture, "acme"), 200);
    assert_eq!(status_for_tenant(&fixture, "zenith"), 400, "withdrawn");
    assert_eq!(status_of(&fixture, "quote", "b"), 200);
    assert_eq!(fixture.metric("svc_succeeded_total{service=\"quote\"}"), 1);
    change(&mut fixture, APPLIED, |config| {
        drop(classes(config).remove(0))
    });
    assert_eq!(status_of(&fixture, "quote", "c"), 400, "withdrawn");
    assert_eq!(status_of(&fixture, "look", "d"), 200);
    change(&mut fixture, APPLIED, |config| {
        classes(config).push(class("quote"))
    });
    assert_eq!(status_of(&fixture, "quote", "e"), 200);
    // Under its old place and count.
    assert_eq!(fixture.metric("svc_succeeded_total{service=\"quote\"}"), 2);
}

// Guards against class indices that are assigned anew: a request in flight would count for another class.
#[test]
fn a_request_in_flight_keeps_its_class_when_classes_change() {
    let mut fixture = fixture(1, |_| ());
    fixture.set_behavior(Behavior::Hold);
    let stream = fixture.send(&request("pay", "held", 60_000));
    wait_until("it reached the server", || !fixture.requests().is_empty());
    change(&mut fixture, APPLIED, |config| {
        classes(config).remove(1);
        classes(config).insert(0, class("quote"));
    });
    assert_eq!(status_of(&fixture, "pay", "late"), 400, "withdrawn");
    fixture.set_behavior(Behavior::Serve);
    assert_eq!(
        Message::read(&mut BufReader::new(stream))
            .expect("an answer")
            .status(),
        200
    );
    assert_eq!(fixture.metric("svc_succeeded_total{service=\"pay\"}"), 1);
    assert_eq!(fixture.metric("svc_succeeded_total{service=\"quote\"}"), 0);
}

// Guards against a reload that leaves the deadline of a known class as it was.
#[test]
fn a_shorter_deadline_applies_to_the_next_request() {
    let mut fixture = fixture(1, |_| ());
    fixture.set_behavior(Behavior::Hang);
    change(&mut fixture, APPLIED, |config| {
        classes(config)[0]["deadline"] = json!(400_000);
        classes(config)[0]["aim"] = json!(200_000);
    });
    let from = Instant::now();
    let status = fixture.request("look", "a").status();
    assert!([502, 503, 504].contains(&status), "{status}");
    assert!(
        from.elapsed() < Duration::from_secs(2),
        "answered after {:?} of 0.4 s",
        from.elapsed()
    );
}

// Guards against an invalid file that is applied in part, or ends the node.
#[test]
fn an_invalid_file_changes_nothing() {
    let mut fixture = fixture(1, |_| ());
    let sound = fixture.config.clone();
    let other = TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap()
        .to_string();
    let faults: [fn(&mut Value); 5] = [
        |config| classes(config).clear(),
        |config| classes(config)[0]["aim"] = json!(-3),
        |config| classes(config)[0]["deadline"] = json!("soon"),
        |config| config["settings"]["tenants"] = tenants(100_001),
        |config| config["discovery"] = json!("nowhere"),
    ];
    for fault in faults {
        fixture.config = sound.clone();
        fixture.config["discovery"] = json!(other);
        classes(&mut fixture.config).push(class("quote"));
        change(&mut fixture, REJECTED, fault);
    }
    let half = sound.to_string();
    std::fs::write(fixture.file.path(), &half[..half.len() / 2]).unwrap();
    reload(&fixture, REJECTED);
    std::fs::remove_file(fixture.file.path()).unwrap();
    reload(&fixture, REJECTED);
    assert_eq!(status_of(&fixture, "quote", "a"), 400);
    assert_eq!(status_of(&fixture, "pay", "b"), 200);
    assert_eq!((fixture.metric(APPLIED), fixture.metric(REJECTED)), (0, 7));
    // A file that names discovery alone says nothing of the settings.
    fixture.config = json!({"discovery": sound["discovery"]});
    write(&fixture);
    reload(&fixture, APPLIED);
    assert_eq!(status_of(&fixture, "pay", "c"), 200);
}

/// Sets a flag at its end.
struct SetOnDrop<'a>(&'a AtomicBool);

impl Drop for SetOnDrop<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::SeqCst);
    }
}

// Guards against requests that are lost or counted under another class where a reload meets them.
#[test]
fn fifty_reloads_under_load_lose_no_request() {
    const CLIENTS: usize = 4;
    let mut fixture = fixture(3, |_| ());
    let (over, served_count) = (AtomicBool::new(false), AtomicUsize::new(0));
    let addr = fixture.addr;
    thread::scope(|scope| {
        // Also where a check fails, or the clients would never end.
        let _over = SetOnDrop(&over);
        for client in 0..CLIENTS {
            let (over, served_count) = (&over, &served_count);
            scope.spawn(move || {
                let mut stream = connect(addr);
                let mut input = BufReader::new(stream.try_clone().unwrap());
                for n in 0.. {
                    if over.load(Ordering::SeqCst) {
                        return;
                    }
                    let (id, lane) = (format!("r-{client}-{n}"), ["look", "pay"][n % 2]);
                    stream.write_all(&request(lane, &id, 60_000)).unwrap();
                    match Message::read(&mut input).expect("an answer").status() {
                        200 => drop(served_count.fetch_add(1, Ordering::SeqCst)),
                        // See `status`.
                        503 => {}
                        other => panic!("{id} was answered {other}"),
                    }
                }
            });
        }
        for round in 0..50 {
            let name = format!("lane-{round}");
            change(&mut fixture, APPLIED, |config| {
                classes(config).insert(round % 3, class(&name));
                classes(config)
                    .iter_mut()
                    .for_each(|class| class["aim"] = json!(10_000_000 + round * 1_000));
            });
            assert_eq!(status_of(&fixture, &name, &name), 200);
            let before = served_count.load(Ordering::SeqCst);
            wait_until("the load goes on", || {
                served_count.load(Ordering::SeqCst) >= before + CLIENTS
            });
        }
    });
    let served = ["look", "pay"]
        .map(|lane| fixture.metric(&format!("svc_succeeded_total{{service=\"{lane}\"}}")));
    assert_eq!(
        served.iter().sum::<u64>(),
        served_count.load(Ordering::SeqCst) as u64
    );
}

// Guards against a change that is lost between file and signal, or is applied only while discovery can be reached.
#[test]
fn the_newest_file_is_in_force_after_a_stop_a_kill_and_a_discovery_outage() {
    let mut fixture = fixture(1, |_| ());
    // Stopped: two changes come meanwhile, and the signals become one.
    fixture.signal("-STOP");
    for name in ["first", "second"] {
        classes(&mut fixture.config).push(class(name));
        write(&fixture);
        fixture.signal("-HUP");
    }
    fixture.signal("-CONT");
    wait_until("the second change is in force", || {
        status_of(&fixture, "second", "a") == 200
    });
    assert_eq!(status_of(&fixture, "first", "b"), 200);
    // Cut off from discovery: a new file does not wait for it.
    let nowhere = TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    change(&mut fixture, APPLIED, |config| {
        config["discovery"] = json!(nowhere.to_string());
        classes(config).push(class("third"));
    });
    assert_eq!(status_of(&fixture, "third", "c"), 200);
    // Killed between the file and the signal: the next process begins with the file.
    classes(&mut fixture.config).push(class("fourth"));
    write(&fixture);
    fixture.node.kill().unwrap();
    fixture.node.wait().unwrap();
    let (node, addr, operator) = start(fixture.file.path(), None, &ADMIN_ENV);
    (fixture.node, fixture.addr, fixture.admin_addr) = (node, addr, operator);
    assert_eq!(status_of(&fixture, "fourth", "d"), 200);
}

// Guards against the former limit of 10,000 tenants, by which a node with more did not start.
#[test]
fn the_tenants_of_the_largest_fleet_can_be_loaded_and_changed() {
    let mut fixture = fixture(1, |config| config["settings"]["tenants"] = tenants(TENANTS));
    assert_eq!(status_for_tenant(&fixture, "tenant-045999"), 200);
    assert_eq!(status_for_tenant(&fixture, "tenant-046000"), 400);
    change(&mut fixture, APPLIED, |config| {
        config["settings"]["tenants"] = tenants(TENANTS + 1)
    });
    assert_eq!(status_for_tenant(&fixture, "tenant-046000"), 200);
    assert_eq!(status_for_tenant(&fixture, "tenant-000000"), 200);
}

// Guards against running a request twice: one in flight would be retried by the idempotency that its class got later.
#[test]
fn a_request_in_flight_keeps_the_idempotency_it_was_sent_with() {
    let mut fixture = fixture(2, |_| ());
    fixture.set_behavior(Behavior::Hold);
    let stream = fixture.send(&request("pay", "held", 60_000));
    let mut came = Vec::new();
    wait_until("it reached a server", || {
        came.extend(fixture.requests());
        !came.is_empty()
    });
    change(&mut fixture, APPLIED, |config| {
        classes(config)[1]["semantics"] = json!("safe")
    });
    fixture.set_behavior(Behavior::Break);
    assert_eq!(
        Message::read(&mut BufReader::new(stream))
            .expect("an answer")
            .status(),
        502
    );
    came.extend(fixture.requests());
    assert_eq!(came.len(), 1, "it may have run");
    // Under the new idempotency it is retried, and both count as one class in the metrics.
    assert_eq!(
        fixture.request("pay", "free").status(),
        503,
        "refused, as trying again is harmless now"
    );
    assert!(fixture.requests().len() > 1);
    assert_eq!(fixture.metric("svc_aborted_total{service=\"pay\"}"), 1);
    assert_eq!(fixture.metric("svc_declined_total{service=\"pay\"}"), 1);
}
