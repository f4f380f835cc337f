//! Reload of the configuration file at SIGHUP: changes apply without losing a request or the learned state.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

use serde_json::Value;

use crate::*;

const APPLIED: &str = "svc_sighup_applied_total";
const REJECTED: &str = "svc_sighup_rejected_total";
/// Number of tenants of the largest planned fleet.
const TENANTS: usize = 46_000;

fn fixture(servers: usize, edit: impl FnOnce(&mut Value)) -> NodeFixture {
    NodeFixture::configured(servers, &ADMIN_ENV, edit)
}

fn write_config(fixture: &NodeFixture) {
    std::fs::write(fixture.file.path(), fixture.config.to_string()).unwrap();
}

/// Changes the configuration file and reloads it. `metric` counts the expected result (applied or rejected).
fn change(fixture: &mut NodeFixture, metric: &str, change: impl FnOnce(&mut Value)) {
    change(&mut fixture.config);
    write_config(fixture);
    reload(fixture, metric);
}

/// Sends SIGHUP and waits until this metric counts the reload.
fn reload(fixture: &NodeFixture, metric: &str) {
    let before = fixture.metric(metric);
    fixture.signal("-HUP");
    wait_until("the reload is counted", || fixture.metric(metric) > before);
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

/// Repeats a request until its status is not 503, and returns the status. On a busy machine the node may take slow
/// responses for overload and reject requests, which is not tested here.
fn status_other_than_503(mut send: impl FnMut() -> u16) -> u16 {
    let mut status = 503;
    wait_until("the request is not rejected", || {
        status = send();
        status != 503
    });
    status
}

fn status_of(fixture: &NodeFixture, class: &str, id: &str) -> u16 {
    status_other_than_503(|| fixture.request(class, id).status())
}

fn status_for_tenant(fixture: &NodeFixture, tenant: &str) -> u16 {
    let text = String::from_utf8(request("look", "t", 60_000)).unwrap();
    let text = text.replace("X-Org: acme", &format!("X-Org: {tenant}"));
    status_other_than_503(|| fixture.exchange(text.as_bytes()).status())
}

// Guards against settings that take effect only at a restart: SIGHUP once applied only the address of discovery.
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
    assert_eq!(status_for_tenant(&fixture, "acme"), 400, "removed");
    change(&mut fixture, APPLIED, |config| {
        config["settings"]["tenants"] = json!([{"name": "acme", "quota-per-s": 0.0}]);
    });
    assert_eq!(status_for_tenant(&fixture, "acme"), 200);
    assert_eq!(status_for_tenant(&fixture, "zenith"), 400, "removed");
    assert_eq!(status_of(&fixture, "quote", "b"), 200);
    assert_eq!(fixture.metric("svc_succeeded_total{service=\"quote\"}"), 1);
    change(&mut fixture, APPLIED, |config| {
        drop(classes(config).remove(0))
    });
    assert_eq!(status_of(&fixture, "quote", "c"), 400, "removed");
    assert_eq!(status_of(&fixture, "look", "d"), 200);
    change(&mut fixture, APPLIED, |config| {
        classes(config).push(class("quote"))
    });
    assert_eq!(status_of(&fixture, "quote", "e"), 200);
    // The class got its earlier index back, so its count continues.
    assert_eq!(fixture.metric("svc_succeeded_total{service=\"quote\"}"), 2);
}

// Guards against class indices that a reload reassigns: a request in flight would then count for another class.
#[test]
fn a_request_in_flight_keeps_its_class_when_classes_change() {
    let mut fixture = fixture(1, |_| ());
    fixture.set_behavior(Behavior::Hold);
    let stream = fixture.send(&request("pay", "held", 60_000));
    wait_until("the request reached the server", || {
        !fixture.requests().is_empty()
    });
    change(&mut fixture, APPLIED, |config| {
        classes(config).remove(1);
        classes(config).insert(0, class("quote"));
    });
    assert_eq!(status_of(&fixture, "pay", "late"), 400, "removed");
    fixture.set_behavior(Behavior::Serve);
    assert_eq!(
        Message::read(&mut BufReader::new(stream))
            .expect("no response")
            .status(),
        200
    );
    assert_eq!(fixture.metric("svc_succeeded_total{service=\"pay\"}"), 1);
    assert_eq!(fixture.metric("svc_succeeded_total{service=\"quote\"}"), 0);
}

// Guards against a reload that does not update the deadline of an existing class.
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
        "the response took {:?}, the deadline is 0.4 s",
        from.elapsed()
    );
}

// Guards against an invalid file that is applied in part or ends the process.
#[test]
fn an_invalid_file_changes_nothing() {
    let mut fixture = fixture(1, |_| ());
    let valid_config = fixture.config.clone();
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
        fixture.config = valid_config.clone();
        fixture.config["discovery"] = json!(other);
        classes(&mut fixture.config).push(class("quote"));
        change(&mut fixture, REJECTED, fault);
    }
    let half = valid_config.to_string();
    std::fs::write(fixture.file.path(), &half[..half.len() / 2]).unwrap();
    reload(&fixture, REJECTED);
    std::fs::remove_file(fixture.file.path()).unwrap();
    reload(&fixture, REJECTED);
    assert_eq!(status_of(&fixture, "quote", "a"), 400);
    assert_eq!(status_of(&fixture, "pay", "b"), 200);
    assert_eq!((fixture.metric(APPLIED), fixture.metric(REJECTED)), (0, 7));
    // A file with only the address of discovery leaves the settings unchanged.
    fixture.config = json!({"discovery": valid_config["discovery"]});
    write_config(&fixture);
    reload(&fixture, APPLIED);
    assert_eq!(status_of(&fixture, "pay", "c"), 200);
}

/// Sets a flag on drop.
struct SetOnDrop<'a>(&'a AtomicBool);

impl Drop for SetOnDrop<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::SeqCst);
    }
}

// Guards against requests that are lost, or counted for another class, because a reload happens meanwhile.
#[test]
fn fifty_reloads_under_load_lose_no_request() {
    const CLIENTS: usize = 4;
    let mut fixture = fixture(3, |_| ());
    let (stop, served_count) = (AtomicBool::new(false), AtomicUsize::new(0));
    let addr = fixture.addr;
    thread::scope(|scope| {
        // Stops the clients even if a check fails. Otherwise the scope would never end.
        let _stop_on_drop = SetOnDrop(&stop);
        for client in 0..CLIENTS {
            let (stop, served_count) = (&stop, &served_count);
            scope.spawn(move || {
                let mut stream = connect(addr);
                let mut input = BufReader::new(stream.try_clone().unwrap());
                for n in 0.. {
                    if stop.load(Ordering::SeqCst) {
                        return;
                    }
                    let (id, class_name) = (format!("r-{client}-{n}"), ["look", "pay"][n % 2]);
                    stream.write_all(&request(class_name, &id, 60_000)).unwrap();
                    match Message::read(&mut input).expect("no response").status() {
                        200 => drop(served_count.fetch_add(1, Ordering::SeqCst)),
                        // A rejection is allowed, as in `status_other_than_503`.
                        503 => {}
                        other => panic!("request {id} got status {other}"),
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
            wait_until("more requests are served", || {
                served_count.load(Ordering::SeqCst) >= before + CLIENTS
            });
        }
    });
    let served = ["look", "pay"].map(|class_name| {
        fixture.metric(&format!("svc_succeeded_total{{service=\"{class_name}\"}}"))
    });
    assert_eq!(
        served.iter().sum::<u64>(),
        served_count.load(Ordering::SeqCst) as u64
    );
}

// Guards against a change that is lost if the process is stopped or killed between the write of the file and the
// signal, or that is not applied while discovery is unreachable.
#[test]
fn the_newest_file_is_in_force_after_a_stop_a_kill_and_a_discovery_outage() {
    let mut fixture = fixture(1, |_| ());
    // While the process is stopped, the file changes twice, and the two signals merge into one.
    fixture.signal("-STOP");
    for name in ["first", "second"] {
        classes(&mut fixture.config).push(class(name));
        write_config(&fixture);
        fixture.signal("-HUP");
    }
    fixture.signal("-CONT");
    wait_until("the second change is in force", || {
        status_of(&fixture, "second", "a") == 200
    });
    assert_eq!(status_of(&fixture, "first", "b"), 200);
    // A reload does not wait for discovery, which is unreachable at the new address.
    let unreachable = TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    change(&mut fixture, APPLIED, |config| {
        config["discovery"] = json!(unreachable.to_string());
        classes(config).push(class("third"));
    });
    assert_eq!(status_of(&fixture, "third", "c"), 200);
    // If the process is killed between the write and the signal, the next process starts with the new file.
    classes(&mut fixture.config).push(class("fourth"));
    write_config(&fixture);
    fixture.node.kill().unwrap();
    fixture.node.wait().unwrap();
    let (node, addr, admin_addr) = start(fixture.file.path(), None, &ADMIN_ENV);
    (fixture.node, fixture.addr, fixture.admin_addr) = (node, addr, admin_addr);
    assert_eq!(status_of(&fixture, "fourth", "d"), 200);
}

// Guards against the former limit of 10,000 tenants: a node with more tenants did not start.
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

// Guards against running a request twice: if its class becomes idempotent while it is in flight, it must not be
// retried.
#[test]
fn a_request_in_flight_keeps_the_idempotency_it_was_sent_with() {
    let mut fixture = fixture(2, |_| ());
    fixture.set_behavior(Behavior::Hold);
    let stream = fixture.send(&request("pay", "held", 60_000));
    let mut received = Vec::new();
    wait_until("the request reached a server", || {
        received.extend(fixture.requests());
        !received.is_empty()
    });
    change(&mut fixture, APPLIED, |config| {
        classes(config)[1]["semantics"] = json!("safe")
    });
    fixture.set_behavior(Behavior::Close);
    assert_eq!(
        Message::read(&mut BufReader::new(stream))
            .expect("no response")
            .status(),
        502
    );
    received.extend(fixture.requests());
    assert_eq!(
        received.len(),
        1,
        "the request was retried although it may have run"
    );
    // A new request is retried, as its class is idempotent now. The metrics count both requests for the class `pay`.
    assert_eq!(
        fixture.request("pay", "free").status(),
        503,
        "a request that is safe to retry is rejected, not failed"
    );
    assert!(fixture.requests().len() > 1);
    assert_eq!(fixture.metric("svc_aborted_total{service=\"pay\"}"), 1);
    assert_eq!(fixture.metric("svc_declined_total{service=\"pay\"}"), 1);
}
