//! Which datagrams of other nodes are accepted.

use super::*;

// Guards against gossip from a sender that is no node of the fleet.
#[tokio::test]
async fn drops_what_is_too_long_or_from_strangers() {
    let any = "127.0.0.1:0";
    let known = UdpSocket::bind(any).await.unwrap();
    let stranger = UdpSocket::bind(any).await.unwrap();
    let peers = [stranger.local_addr().unwrap(), known.local_addr().unwrap()];
    let node = Peers::bind(any.parse().unwrap(), vec![peers[1]], None)
        .await
        .unwrap();
    let to = node.socket.local_addr().unwrap();
    stranger.send_to(b"x", to).await.unwrap();
    known
        .send_to(&[7; MAX_DATAGRAM_BYTES + 1], to)
        .await
        .unwrap();
    known.send_to(&[8; MAX_DATAGRAM_BYTES], to).await.unwrap();
    let datagram = node.receive().await;
    assert_eq!(
        (datagram.from, datagram.data),
        (0, vec![8; MAX_DATAGRAM_BYTES])
    );
}
