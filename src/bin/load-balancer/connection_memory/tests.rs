//! What connections and requests leave to each other.

use hyper::header::{HeaderName, HeaderValue};

use super::*;

/// A head with this many fields of this length.
fn headers(count: usize, length: usize) -> HeaderMap {
    let field = |number: usize| {
        let name = HeaderName::try_from(format!("a{number}")).unwrap();
        (name, HeaderValue::try_from("b".repeat(length)).unwrap())
    };
    (0..count).map(field).collect()
}

fn take_all(reserve: impl Fn() -> Option<MemoryReservation>) -> Vec<MemoryReservation> {
    std::iter::from_fn(reserve).collect()
}

// Guards against idle clients that leave no memory to the requests of others.
#[test]
fn clients_that_fill_the_memory_leave_room_for_requests() {
    let memory = ConnectionMemory::new(1 << 20);
    let connections = take_all(|| memory.reserve_client_connection());
    assert!(connections.len() > 30, "{}", connections.len());
    let requests = take_all(|| {
        let request = memory.reserve_request(&headers(8, 20), false)?;
        let _connection = memory.reserve_server_connection()?;
        Some(request)
    });
    assert!(requests.len() > 3, "{}", requests.len());
    drop((connections, requests));
    assert_eq!(memory.used(), 0);
}

// Guards against a request that is accepted and then finds no memory for its server.
#[test]
fn a_request_with_memory_finds_some_for_its_server() {
    let memory = ConnectionMemory::new(1 << 20);
    let mut held = Vec::new();
    while let Some(request) = memory.reserve_request(&headers(8, 20), true) {
        held.push(request);
        held.push(memory.reserve_server_connection().unwrap());
    }
    assert!(held.len() > 20, "{}", held.len());
    let short = memory.reserve_request(&headers(8, 20), false);
    assert!(short.is_some(), "uploads leave none to short requests");
}

// Guards against heads that are counted by their number and not by what they hold.
#[test]
fn heads_reserve_memory_for_their_fields_and_their_text() {
    let reserved = |headers: &HeaderMap| {
        let memory = ConnectionMemory::new(1 << 20);
        let reservation = memory.reserve_request(headers, false);
        let used = memory.used();
        drop(reservation);
        used
    };
    let (short, many, long) = (headers(4, 10), headers(60, 1), headers(4, 3_500));
    assert!(reserved(&many) > reserved(&short) + 20_000);
    assert!(reserved(&long) > reserved(&short) + 20_000);
}

// Guards against a shortage that nobody learns of.
#[tokio::test]
async fn a_connection_that_finds_no_memory_reports_a_shortage() {
    let memory = ConnectionMemory::new(1 << 10);
    assert!(memory.reserve_long_input().is_none());
    memory.shortage().await;
}
