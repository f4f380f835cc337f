//! Which inherited descriptors are accepted as the listener.

use super::*;
use std::os::fd::{AsRawFd, IntoRawFd};

// Guards against serving on a descriptor that is not a listener, and against closing the platform's descriptor.
// One test covers all cases, as `adopt` sets environment variables, which all tests of the process share.
#[test]
fn only_a_listening_socket_is_adopted() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let number = listener.try_clone().unwrap().into_raw_fd();
    let adopted = adopt(&number.to_string()).unwrap();
    assert_eq!(
        (adopted.as_raw_fd(), adopted.local_addr().unwrap()),
        (number, addr)
    );
    drop(adopted);
    // The descriptor that the platform keeps still listens.
    let client = std::net::TcpStream::connect(addr).unwrap();
    let connected = client.try_clone().unwrap().into_raw_fd();
    let file = std::fs::File::open("/dev/null").unwrap().into_raw_fd();
    for invalid in [
        "",
        "four",
        "-1",
        "60000",
        &file.to_string(),
        &connected.to_string(),
    ] {
        assert!(adopt(invalid).is_err(), "{invalid}");
    }
}
