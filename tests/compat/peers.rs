//! Datagrams between nodes: the node listens where its file says so, and sends none of its own.

use std::fs;
use std::net::UdpSocket;
use std::time::Duration;

use super::node::{ask, Node};

/// Bytes of a datagram, at most.
const MAX_DATAGRAM_BYTES: usize = 256;
const QUIET_TIME: Duration = Duration::from_millis(500);

/// Guards against a node that sends what older ones beside it don't know, or that one of their datagrams ends.
#[test]
fn datagrams_from_peers_are_received_and_none_is_sent() {
    let mut node = Node::new();
    let peer = UdpSocket::bind((node.clients().ip(), 0)).unwrap();
    let address = peer.local_addr().unwrap();
    // A port that the system has just given and taken back.
    let listen = {
        let probe = UdpSocket::bind((node.clients().ip(), 0)).unwrap();
        probe.local_addr().unwrap()
    };
    let mut command = node.command(env!("CARGO_BIN_EXE_load-balancer"));
    let file = node.folder.path().join("node.json");
    let text = fs::read_to_string(&file).unwrap();
    let peers = format!(
        "{{\"peer_listen\": \"{listen}\", \"peers\": [\"{address}\"], \"peers_all\": \"{address}\","
    );
    fs::write(&file, text.replacen('{', &peers, 1)).unwrap();
    node.own(command.spawn().unwrap());
    node.until_ready(node.clients());
    for length in [0, 1, MAX_DATAGRAM_BYTES, MAX_DATAGRAM_BYTES + 1] {
        peer.send_to(&vec![7; length], listen).unwrap();
    }
    peer.set_read_timeout(Some(QUIET_TIME)).unwrap();
    let came = peer.recv_from(&mut [0; 2 * MAX_DATAGRAM_BYTES]);
    let error = came.expect_err("no datagram").kind();
    assert!(
        matches!(
            error,
            std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
        ),
        "{error}"
    );
    assert!(fs::read_to_string("/proc/net/udp")
        .unwrap()
        .contains(&format!(":{:04X} ", listen.port())));
    let ready = "GET /-/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    assert!(ask(node.clients(), ready).starts_with("HTTP/1.1 200"));
}
