//! Datagrams between nodes: a node receives them at the configured address, and sends none.

use std::fs;
use std::net::UdpSocket;
use std::time::Duration;

use super::node::{exchange, Node};

/// The longest datagram that a node accepts.
const MAX_DATAGRAM_BYTES: usize = 256;
/// Time in which no datagram may arrive from the node.
const QUIET_TIME: Duration = Duration::from_millis(500);

/// Guards against a node that sends datagrams which older nodes don't know, or that exits because of one of theirs.
#[test]
fn datagrams_from_peers_are_received_and_none_is_sent() {
    let mut node = Node::new();
    let peer = UdpSocket::bind((node.client_addr().ip(), 0)).unwrap();
    let address = peer.local_addr().unwrap();
    // A port that was free a moment ago.
    let listen = {
        let probe = UdpSocket::bind((node.client_addr().ip(), 0)).unwrap();
        probe.local_addr().unwrap()
    };
    let mut command = node.command(env!("CARGO_BIN_EXE_load-balancer"));
    let file = node.folder.path().join("node.json");
    let text = fs::read_to_string(&file).unwrap();
    let peers = format!(
        "{{\"peer_listen\": \"{listen}\", \"peers\": [\"{address}\"], \"peers_all\": \"{address}\","
    );
    fs::write(&file, text.replacen('{', &peers, 1)).unwrap();
    node.take_child(command.spawn().unwrap());
    node.wait_until_ready(node.client_addr());
    for length in [0, 1, MAX_DATAGRAM_BYTES, MAX_DATAGRAM_BYTES + 1] {
        peer.send_to(&vec![7; length], listen).unwrap();
    }
    peer.set_read_timeout(Some(QUIET_TIME)).unwrap();
    let received = peer.recv_from(&mut [0; 2 * MAX_DATAGRAM_BYTES]);
    let error = received.expect_err("the node sent a datagram").kind();
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
    assert!(exchange(node.client_addr(), ready).starts_with("HTTP/1.1 200"));
}
