//! Which datagrams are accepted.

use super::*;

// Guards against datagrams of a sender that is not a node of the fleet, and against truncated ones.
#[tokio::test]
async fn datagrams_that_are_too_long_or_from_unknown_senders_are_dropped() {
    let any_port = "127.0.0.1:0";
    let known = UdpSocket::bind(any_port).await.unwrap();
    let unknown = UdpSocket::bind(any_port).await.unwrap();
    let peers = [unknown.local_addr().unwrap(), known.local_addr().unwrap()];
    let node = Peers::bind(any_port.parse().unwrap(), vec![peers[1]], None)
        .await
        .unwrap();
    let destination = node.socket.borrow().as_ref().unwrap().local_addr().unwrap();
    unknown.send_to(b"x", destination).await.unwrap();
    known
        .send_to(&[7; MAX_DATAGRAM_BYTES + 1], destination)
        .await
        .unwrap();
    known
        .send_to(&[8; MAX_DATAGRAM_BYTES], destination)
        .await
        .unwrap();
    let datagram = node.receive().await;
    assert_eq!(
        (datagram.from, datagram.data),
        (0, vec![8; MAX_DATAGRAM_BYTES])
    );
}
