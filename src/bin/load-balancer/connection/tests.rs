//! The framing and the progress of request heads, as they are read from a client's connection.

use super::*;

#[test]
fn two_framing_headers_are_detected_in_any_order_and_only_in_the_head() {
    let detected = |text: &str| {
        let client_connection = ConnectionState::new(ConnectionMemory::new(1 << 20));
        text.as_bytes()
            .chunks(3)
            .for_each(|part| client_connection.input.borrow_mut().record(part));
        client_connection.has_conflicting_framing()
    };
    let (length, chunked) = ("content-LENGTH: 5\r\n", "Transfer-Encoding: chunked\r\n");
    assert!(detected(&format!(
        "POST / HTTP/1.1\r\n{length}{chunked}\r\n"
    )));
    assert!(detected(&format!(
        "\r\nPOST / HTTP/1.1\n{chunked}a: b\n{length}\n"
    )));
    assert!(!detected(&format!(
        "POST / HTTP/1.1\r\n{length}a: Transfer-Encoding:\r\n\r\n{chunked}\r\n"
    )));
    assert!(!detected(&format!(
        "POST / HTTP/1.1\r\n{chunked}\r\n{length}\r\n"
    )));
}

#[test]
fn a_connection_is_sending_a_head_from_its_first_byte_until_the_request_starts() {
    let client_connection = ConnectionState::new(ConnectionMemory::new(1 << 20));
    assert!(!client_connection.is_sending_head());
    client_connection.input.borrow_mut().record(b"GE");
    assert!(client_connection.is_sending_head());
    client_connection.request_started();
    assert!(!client_connection.is_sending_head());
    client_connection.request_answered();
    assert!(!client_connection.is_sending_head());
}

#[test]
fn what_is_read_behind_a_request_counts_until_it_is_answered() {
    let client_connection = ConnectionState::new(ConnectionMemory::new(1 << 20));
    let get = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
    let post = "POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nhello";
    let two_framings = "POST / HTTP/1.1\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n";
    let input = [get, post, "\r\n", get, two_framings].concat();
    for part in input.as_bytes().chunks(7) {
        client_connection.input.borrow_mut().record(part);
    }
    for behind in [3, 2, 1] {
        client_connection.request_started();
        assert!(!client_connection.may_end_now(), "{behind} behind it");
        assert!(!client_connection.has_conflicting_framing());
        client_connection.request_answered();
        assert!(!client_connection.is_at_rest());
    }
    client_connection.request_started();
    assert!(client_connection.has_conflicting_framing());
    assert!(client_connection.may_end_now());
    client_connection.request_answered();
    assert!(client_connection.is_at_rest());
}

#[test]
fn the_rest_of_a_body_that_was_answered_early_is_no_later_request() {
    let client_connection = ConnectionState::new(ConnectionMemory::new(1 << 20));
    let record = |text: &str| client_connection.input.borrow_mut().record(text.as_bytes());
    record("POST / HTTP/1.1\r\nContent-Length: 500\r\n\r\nhello");
    client_connection.request_started();
    assert!(client_connection.may_end_now());
    client_connection.request_answered();
    assert!(client_connection.is_at_rest());
    record("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n");
    client_connection.request_started();
    record("0\r\n\r\n");
    assert!(client_connection.may_end_now());
    client_connection.request_answered();
    assert!(client_connection.is_at_rest());
}
