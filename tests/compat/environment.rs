//! The environment variables by which the platform tells a process what its configuration file does not.

use std::net::{SocketAddr, TcpListener};
use std::os::fd::OwnedFd;

use super::node::{accept, ask, read_message, until, Node};

/// Guards against a process that ignores the listener that it was handed, and loses the connections that wait there.
#[test]
fn the_inherited_listener_is_served() {
    let mut node = Node::new();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let handed: SocketAddr = listener.local_addr().unwrap();
    let mut command = node.command("/bin/sh");
    command
        .args(["-c", "exec 5<&0 </dev/null; exec \"$0\""])
        .arg(env!("CARGO_BIN_EXE_load-balancer"))
        .env("BALANCER_FD", "5")
        .stdin(OwnedFd::from(listener));
    node.own(command.spawn().unwrap());
    node.until_ready(handed);
    assert_eq!(ask(node.clients(), "GET / HTTP/1.1\r\n\r\n"), "");
}

/// Guards against a descriptor that is none and is passed over in silence.
#[test]
fn an_invalid_listener_descriptor_ends_the_process() {
    let node = Node::new();
    let mut command = node.command(env!("CARGO_BIN_EXE_load-balancer"));
    let status = command.env("BALANCER_FD", "60").status().unwrap();
    assert_eq!(status.code(), Some(1));
}

/// Guards against a variable that is not read any more: the file names other addresses and another name.
#[test]
fn environment_variables_override_the_file() {
    let mut node = Node::new();
    let other = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut command = node.command(env!("CARGO_BIN_EXE_load-balancer"));
    command.env(
        "BALANCER_DISCOVERY",
        other.local_addr().unwrap().to_string(),
    );
    node.own(command.spawn().unwrap());
    node.until_ready(node.clients());
    assert!(read_message(&mut accept(&other), 0).starts_with("GET "));
    until("operators are answered", || {
        node.operate("GET /status").starts_with("HTTP/1.1 200")
    });
    let done = node.operate("POST /maintenance/enter?member=s-0");
    assert!(done.starts_with("HTTP/1.1 200"), "{done}");
    assert!(node.folder.path().join("woodgap-n_0-out.json").exists());
}
