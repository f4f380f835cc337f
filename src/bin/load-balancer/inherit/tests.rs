//! Which inherited descriptors are accepted as the listener.

use super::*;
use std::os::fd::{AsRawFd, IntoRawFd};

// The environment is the process's: one test for all cases.
#[test]
fn only_a_listening_socket_is_adopted() {
    let held = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = held.local_addr().unwrap();
    let number = held.try_clone().unwrap().into_raw_fd();
    let adopted = listener(&number.to_string()).unwrap();
    assert_eq!(
        (adopted.as_raw_fd(), adopted.local_addr().unwrap()),
        (number, addr)
    );
    drop(adopted);
    // The platform's own still listens.
    let client = std::net::TcpStream::connect(addr).unwrap();
    let connected = client.try_clone().unwrap().into_raw_fd();
    let file = std::fs::File::open("/dev/null").unwrap().into_raw_fd();
    for wrong in [
        "",
        "four",
        "-1",
        "60000",
        &file.to_string(),
        &connected.to_string(),
    ] {
        assert!(listener(wrong).is_err(), "{wrong}");
    }
}
