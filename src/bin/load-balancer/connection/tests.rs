//! Heads of requests as they are read from a client's connection.

use super::*;

#[test]
fn two_framings_are_seen_in_any_order_and_in_the_head_alone() {
    let seen = |text: &str| {
        let client_connection = ConnectionState::new();
        text.as_bytes()
            .chunks(3)
            .for_each(|part| client_connection.head.borrow_mut().take(part));
        client_connection.has_two_framings()
    };
    let (length, chunked) = ("content-LENGTH: 5\r\n", "Transfer-Encoding: chunked\r\n");
    assert!(seen(&format!("POST / HTTP/1.1\r\n{length}{chunked}\r\n")));
    assert!(seen(&format!(
        "\r\nPOST / HTTP/1.1\n{chunked}a: b\n{length}\n"
    )));
    assert!(!seen(&format!(
        "POST / HTTP/1.1\r\n{length}a: Transfer-Encoding:\r\n\r\n{chunked}\r\n"
    )));
    assert!(!seen(&format!(
        "POST / HTTP/1.1\r\n{chunked}\r\n{length}\r\n"
    )));
}

#[test]
fn a_head_on_its_way_is_known_until_its_answer() {
    let client_connection = ConnectionState::new();
    assert!(!client_connection.is_sending_head());
    client_connection.head.borrow_mut().take(b"GE");
    assert!(client_connection.is_sending_head());
    client_connection.request_started();
    assert!(!client_connection.is_sending_head());
    client_connection.request_answered();
    assert!(!client_connection.is_sending_head());
}
