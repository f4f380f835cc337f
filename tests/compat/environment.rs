//! The environment variables by which the platform passes on what the configuration file does not contain.

use std::net::{SocketAddr, TcpListener};
use std::os::fd::OwnedFd;

use super::node::{accept, exchange, read_message, wait_until, Node};

/// Guards against a process that ignores its inherited listener and so loses the connections in the backlog.
#[test]
fn the_inherited_listener_is_served() {
    let mut node = Node::new();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address: SocketAddr = listener.local_addr().unwrap();
    let mut command = node.command("/bin/sh");
    command
        .args(["-c", "exec 5<&0 </dev/null; exec \"$0\""])
        .arg(env!("CARGO_BIN_EXE_load-balancer"))
        .env("BALANCER_FD", "5")
        .stdin(OwnedFd::from(listener));
    node.take_child(command.spawn().unwrap());
    node.wait_until_ready(address);
    assert_eq!(exchange(node.client_addr(), "GET / HTTP/1.1\r\n\r\n"), "");
}

/// Guards against a process that silently ignores an invalid descriptor number.
#[test]
fn an_invalid_listener_descriptor_ends_the_process() {
    let node = Node::new();
    let mut command = node.command(env!("CARGO_BIN_EXE_load-balancer"));
    let status = command.env("BALANCER_FD", "60").status().unwrap();
    assert_eq!(status.code(), Some(1));
}

/// Guards against a variable that is no longer read. The configuration file has other addresses and another name.
#[test]
fn environment_variables_override_the_file() {
    let mut node = Node::new();
    let other = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut command = node.command(env!("CARGO_BIN_EXE_load-balancer"));
    command.env(
        "BALANCER_DISCOVERY",
        other.local_addr().unwrap().to_string(),
    );
    node.take_child(command.spawn().unwrap());
    node.wait_until_ready(node.client_addr());
    assert!(read_message(&mut accept(&other), 0).starts_with("GET "));
    wait_until("the admin listener responds", || {
        node.admin_call("GET /status").starts_with("HTTP/1.1 200")
    });
    let response = node.admin_call("POST /maintenance/enter?member=s-0");
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    assert!(node.folder.path().join("woodgap-n_0-out.json").exists());
}
