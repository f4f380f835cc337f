//! Settings that change while the node runs: in force at SIGHUP, without losing a request or what is known.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

use serde_json::Value;

use crate::*;

const APPLIED: &str = "svc_sighup_applied_total";
const REJECTED: &str = "svc_sighup_rejected_total";
/// Of the largest fleet in sight.
const TENANTS: usize = 46_000;

fn site(servers: usize, shape: impl FnOnce(&mut Value)) -> Site {
    Site::configured(servers, &ADMIN_ENV, shape)
}

fn write(site: &Site) {
    std::fs::write(site.file.path(), site.config.to_string()).unwrap();
}

/// Changes the node's file and has it read, until the node has counted it as applied or rejected.
fn change(site: &mut Site, metric: &str, change: impl FnOnce(&mut Value)) {
    change(&mut site.config);
    write(site);
    reload(site, metric);
}

fn reload(site: &Site, metric: &str) {
    let before = site.metric(metric);
    site.signal("-HUP");
    wait_until("the file was read again", || site.metric(metric) > before);
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

fn status_of(site: &Site, class: &str, id: &str) -> u16 {
    status(|| site.request(class, id).status())
}

fn status_for_tenant(site: &Site, tenant: &str) -> u16 {
    let text = String::from_utf8(request("look", "t", 60_000)).unwrap();
    let text = text.replace("X-Org: acme", &format!("X-Org: {tenant}"));
    status(|| site.exchange(text.as_bytes()).status())
}

// Guards against settings that wait for a restart: of a changed file, SIGHUP applied the address of discovery alone.
#[test]
fn classes_and_tenants_come_and_go_at_sighup() {
    let mut site = site(2, |_| ());
    assert_eq!(status_of(&site, "quote", "a"), 400);
    assert_eq!(status_for_tenant(&site, "zenith"), 400);
    change(&mut site, APPLIED, |config| {
        classes(config).insert(0, class("quote"));
        config["settings"]["tenants"] = json!([{"name": "zenith", "quota-per-s": 0.0}]);
    });
    assert_eq!(status_for_tenant(&site, "zenith"), 200);
    assert_eq!(status_for_tenant(&site, "acme"), 400, "withdrawn");
    change(&mut site, APPLIED, |config| {
        config["settings"]["tenants"] = json!([{"name": "acme", "quota-per-s": 0.0}]);
    });
    assert_eq!(status_for_tenant(&site, "acme"), 200);
    assert_eq!(status_for_tenant(&site, "zenith"), 400, "withdrawn");
    assert_eq!(status_of(&site, "quote", "b"), 200);
    assert_eq!(site.metric("svc_succeeded_total{service=\"quote\"}"), 1);
    change(&mut site, APPLIED, |config| drop(classes(config).remove(0)));
    assert_eq!(status_of(&site, "quote", "c"), 400, "withdrawn");
    assert_eq!(status_of(&site, "look", "d"), 200);
    change(&mut site, APPLIED, |config| {
        classes(config).push(class("quote"))
    });
    assert_eq!(status_of(&site, "quote", "e"), 200);
    // Under its old place and count.
    assert_eq!(site.metric("svc_succeeded_total{service=\"quote\"}"), 2);
}

// Guards against class indices that are assigned anew: a request in flight would count for another class.
#[test]
fn a_request_that_waits_keeps_its_class_while_the_classes_change() {
    let mut site = site(1, |_| ());
    site.set_behavior(Behavior::Hold);
    let stream = site.send(&request("pay", "held", 60_000));
    wait_until("it reached the server", || !site.requests().is_empty());
    change(&mut site, APPLIED, |config| {
        classes(config).remove(1);
        classes(config).insert(0, class("quote"));
    });
    assert_eq!(status_of(&site, "pay", "late"), 400, "withdrawn");
    site.set_behavior(Behavior::Serve);
    assert_eq!(
        Message::read(&mut BufReader::new(stream))
            .expect("an answer")
            .status(),
        200
    );
    assert_eq!(site.metric("svc_succeeded_total{service=\"pay\"}"), 1);
    assert_eq!(site.metric("svc_succeeded_total{service=\"quote\"}"), 0);
}

// Guards against a reload that leaves the deadline of a known class as it was.
#[test]
fn a_shorter_deadline_is_in_force_for_the_next_request() {
    let mut site = site(1, |_| ());
    site.set_behavior(Behavior::Hang);
    change(&mut site, APPLIED, |config| {
        classes(config)[0]["deadline"] = json!(400_000);
        classes(config)[0]["aim"] = json!(200_000);
    });
    let from = Instant::now();
    let status = site.request("look", "a").status();
    assert!([502, 503, 504].contains(&status), "{status}");
    assert!(
        from.elapsed() < Duration::from_secs(2),
        "answered after {:?} of 0.4 s",
        from.elapsed()
    );
}

// Guards against an invalid file that is applied in part, or ends the node.
#[test]
fn what_cannot_be_right_leaves_all_as_it_was() {
    let mut site = site(1, |_| ());
    let sound = site.config.clone();
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
        site.config = sound.clone();
        site.config["discovery"] = json!(other);
        classes(&mut site.config).push(class("quote"));
        change(&mut site, REJECTED, fault);
    }
    let half = sound.to_string();
    std::fs::write(site.file.path(), &half[..half.len() / 2]).unwrap();
    reload(&site, REJECTED);
    std::fs::remove_file(site.file.path()).unwrap();
    reload(&site, REJECTED);
    assert_eq!(status_of(&site, "quote", "a"), 400);
    assert_eq!(status_of(&site, "pay", "b"), 200);
    assert_eq!((site.metric(APPLIED), site.metric(REJECTED)), (0, 7));
    // A file that names discovery alone says nothing of the settings.
    site.config = json!({"discovery": sound["discovery"]});
    write(&site);
    reload(&site, APPLIED);
    assert_eq!(status_of(&site, "pay", "c"), 200);
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
fn fifty_changes_under_load_lose_nothing() {
    const CLIENTS: usize = 4;
    let mut site = site(3, |_| ());
    let (over, served_count) = (AtomicBool::new(false), AtomicUsize::new(0));
    let addr = site.addr;
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
            change(&mut site, APPLIED, |config| {
                classes(config).insert(round % 3, class(&name));
                classes(config)
                    .iter_mut()
                    .for_each(|class| class["aim"] = json!(10_000_000 + round * 1_000));
            });
            assert_eq!(status_of(&site, &name, &name), 200);
            let before = served_count.load(Ordering::SeqCst);
            wait_until("the load goes on", || {
                served_count.load(Ordering::SeqCst) >= before + CLIENTS
            });
        }
    });
    let served = ["look", "pay"]
        .map(|lane| site.metric(&format!("svc_succeeded_total{{service=\"{lane}\"}}")));
    assert_eq!(
        served.iter().sum::<u64>(),
        served_count.load(Ordering::SeqCst) as u64
    );
}

// Guards against a change that is lost between file and signal, or is applied only while discovery can be reached.
#[test]
fn the_newest_file_is_in_force_after_a_stop_a_kill_and_a_cut() {
    let mut site = site(1, |_| ());
    // Stopped: two changes come meanwhile, and the signals become one.
    site.signal("-STOP");
    for name in ["first", "second"] {
        classes(&mut site.config).push(class(name));
        write(&site);
        site.signal("-HUP");
    }
    site.signal("-CONT");
    wait_until("the second change is in force", || {
        status_of(&site, "second", "a") == 200
    });
    assert_eq!(status_of(&site, "first", "b"), 200);
    // Cut off from discovery: a new file does not wait for it.
    let nowhere = TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    change(&mut site, APPLIED, |config| {
        config["discovery"] = json!(nowhere.to_string());
        classes(config).push(class("third"));
    });
    assert_eq!(status_of(&site, "third", "c"), 200);
    // Killed between the file and the signal: the next process begins with the file.
    classes(&mut site.config).push(class("fourth"));
    write(&site);
    site.node.kill().unwrap();
    site.node.wait().unwrap();
    let (node, addr, operator) = start(site.file.path(), None, &ADMIN_ENV);
    (site.node, site.addr, site.admin_addr) = (node, addr, operator);
    assert_eq!(status_of(&site, "fourth", "d"), 200);
}

// Guards against the former limit of 10,000 tenants, by which a node with more did not start.
#[test]
fn the_tenants_of_the_largest_fleet_are_held_and_changed() {
    let mut site = site(1, |config| config["settings"]["tenants"] = tenants(TENANTS));
    assert_eq!(status_for_tenant(&site, "tenant-045999"), 200);
    assert_eq!(status_for_tenant(&site, "tenant-046000"), 400);
    change(&mut site, APPLIED, |config| {
        config["settings"]["tenants"] = tenants(TENANTS + 1)
    });
    assert_eq!(status_for_tenant(&site, "tenant-046000"), 200);
    assert_eq!(status_for_tenant(&site, "tenant-000000"), 200);
}

// Guards against running a request twice: one in flight would be retried by the idempotency that its class got later.
#[test]
fn a_class_that_becomes_safe_is_not_repeated_for_what_was_sent_before() {
    let mut site = site(2, |_| ());
    site.set_behavior(Behavior::Hold);
    let stream = site.send(&request("pay", "held", 60_000));
    let mut came = Vec::new();
    wait_until("it reached a server", || {
        came.extend(site.requests());
        !came.is_empty()
    });
    change(&mut site, APPLIED, |config| {
        classes(config)[1]["semantics"] = json!("safe")
    });
    site.set_behavior(Behavior::Break);
    assert_eq!(
        Message::read(&mut BufReader::new(stream))
            .expect("an answer")
            .status(),
        502
    );
    came.extend(site.requests());
    assert_eq!(came.len(), 1, "it may have run");
    // Under the new idempotency it is retried, and both count as one class in the metrics.
    assert_eq!(
        site.request("pay", "free").status(),
        503,
        "refused, as trying again is harmless now"
    );
    assert!(site.requests().len() > 1);
    assert_eq!(site.metric("svc_aborted_total{service=\"pay\"}"), 1);
    assert_eq!(site.metric("svc_declined_total{service=\"pay\"}"), 1);
}
