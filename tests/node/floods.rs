//! One client that sends at full speed on one connection, beside others that send one request at a time.

use std::sync::atomic::{AtomicBool, Ordering};

use super::*;

/// How long the flood lasts.
const FLOOD_TIME: Duration = Duration::from_secs(3);
/// Clients beside the flood.
const CLIENTS: usize = 8;
/// Pause between two requests of a client.
const PAUSE: Duration = Duration::from_millis(20);
/// Latency objective of the platform's idempotent class.
const OBJECTIVE: Duration = Duration::from_millis(500);
/// Peak memory that a flood may add, in kB: what a process with the least limits has left beside its crowd.
const MAX_ADDED_MEMORY_KB: u64 = 16 * 1024;

/// Sends what `text_of` gives for each number, as fast as the node takes it, and discards the answers. Connects again
/// when the node closes.
fn flood(addr: SocketAddr, text_of: fn(u64) -> Vec<u8>, stop: &AtomicBool) {
    let mut number = 0;
    while !stop.load(Ordering::Relaxed) {
        let mut stream = connect(addr);
        let mut answers = stream.try_clone().unwrap();
        let reader = thread::spawn(move || {
            let _ = std::io::copy(&mut answers, &mut std::io::sink());
        });
        stream
            .set_write_timeout(Some(Duration::from_millis(200)))
            .unwrap();
        while !stop.load(Ordering::Relaxed) {
            let batch: Vec<u8> = (number..number + 100).flat_map(text_of).collect();
            number += 100;
            if stream.write_all(&batch).is_err() {
                break;
            }
        }
        let _ = stream.shutdown(std::net::Shutdown::Both);
        reader.join().unwrap();
    }
}

/// Sends one request after the other until the flood ends. Returns the status and the latency of each.
fn polite_client(addr: SocketAddr, number: usize, stop: &AtomicBool) -> Vec<(u16, Duration)> {
    let stream = connect(addr);
    let mut input = BufReader::new(stream.try_clone().unwrap());
    let mut output = stream;
    let mut answers = Vec::new();
    while !stop.load(Ordering::Relaxed) {
        let id = format!("polite-{number}-{}", answers.len());
        let start = Instant::now();
        output.write_all(&request("look", &id, 2_000)).unwrap();
        let response = Message::read(&mut input).expect("a sound connection was closed");
        answers.push((response.status(), start.elapsed()));
        thread::sleep(PAUSE);
    }
    answers
}

/// Asserts that others are served within the latency objective beside a flood of these texts.
fn assert_others_are_served(what: &str, text_of: fn(u64) -> Vec<u8>) {
    let fixture = NodeFixture::configured(6, &[], |config| {
        for class in config["settings"]["classes"].as_array_mut().unwrap() {
            class["aim"] = json!(500_000);
            class["deadline"] = json!(2_000_000);
        }
    });
    let memory_before = memory_kb(&fixture.node);
    let (addr, stop) = (fixture.addr, Arc::new(AtomicBool::new(false)));
    let flooder = {
        let stop = stop.clone();
        thread::spawn(move || flood(addr, text_of, &stop))
    };
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let stop = stop.clone();
            thread::spawn(move || polite_client(addr, number, &stop))
        })
        .collect();
    thread::sleep(FLOOD_TIME);
    stop.store(true, Ordering::Relaxed);
    let answers: Vec<_> = clients
        .into_iter()
        .flat_map(|client| client.join().unwrap())
        .collect();
    flooder.join().unwrap();
    let unserved = answers.iter().filter(|(status, _)| *status != 200).count();
    let slowest = answers.iter().map(|(_, latency)| *latency).max().unwrap();
    let added_kb = peak_memory_kb(&fixture.node).saturating_sub(memory_before);
    let total = answers.len();
    assert_eq!(
        unserved,
        0,
        "{what}: of {total}; slowest {slowest:?}; {:#?}",
        fixture.log.lines()
    );
    assert!(slowest <= OBJECTIVE, "{what}: {slowest:?}, {total} answers");
    assert!(added_kb <= MAX_ADDED_MEMORY_KB, "{what}: {added_kb} kB");
}

// Guards against one connection with small requests that takes the event loop for itself.
#[test]
fn others_are_served_beside_a_flood_of_small_requests() {
    assert_others_are_served("readiness", |_| READY_REQUEST.to_vec());
    assert_others_are_served("unknown paths", |n| {
        format!("GET /{n} HTTP/1.1\r\nHost: x\r\n\r\n").into_bytes()
    });
    assert_others_are_served("unknown classes", |n| {
        request(&format!("class-{n}"), "flood", 1_000)
    });
}

// Guards against one connection with a body of tiny chunks that takes the event loop for itself.
#[test]
fn others_are_served_beside_a_flood_of_tiny_chunks() {
    assert_others_are_served("chunks", |n| {
        let head = post(
            "pay",
            &format!("c-{n}"),
            1_000,
            "Transfer-Encoding: chunked\r\n",
        );
        let chunks = b"1\r\nx\r\n".repeat(100);
        if n == 0 {
            [head, chunks].concat()
        } else {
            chunks
        }
    });
}

// Guards against a flood whose fast answers shorten the attempt timeout of its class so far that others' attempts time out.
#[test]
fn others_are_served_beside_a_flood_of_sound_requests_under_new_ids_and_keys() {
    assert_others_are_served("idempotent requests", |n| {
        request_with_key("look", &format!("f-{n}"), 2_000, n)
    });
    assert_others_are_served("requests that must not run twice", |n| {
        request_with_key("pay", &format!("f-{n}"), 2_000, n)
    });
}
