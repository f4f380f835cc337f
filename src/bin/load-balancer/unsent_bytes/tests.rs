//! What the system holds of bytes that were written, by what the peer has read.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream as BlockingStream};
use std::time::{Duration, Instant};

use super::*;

/// Long enough for a segment on loopback.
const DELIVERY_TIME: Duration = Duration::from_secs(5);

/// A connection whose peer keeps little that it has not read: the checked socket, the same one to write to, and the peer.
fn connection() -> (TcpStream, BlockingStream, BlockingStream) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    SockRef::from(&listener)
        .set_recv_buffer_size(4_096)
        .unwrap();
    let socket = BlockingStream::connect(listener.local_addr().unwrap()).unwrap();
    let peer = listener.accept().unwrap().0;
    socket.set_nonblocking(true).unwrap();
    let output = socket.try_clone().unwrap();
    (TcpStream::from_std(socket).unwrap(), output, peer)
}

#[tokio::test]
async fn bytes_are_unsent_until_the_peer_has_room_for_them() {
    let (socket, mut output, mut peer) = connection();
    assert!(!has_unsent_bytes(&socket), "nothing was written");
    let written = output.write(&[b'x'; 20_000]).unwrap();
    assert_eq!(written, 20_000, "the system has not taken all");
    assert!(has_unsent_bytes(&socket), "the peer has read nothing");
    peer.read_exact(&mut vec![0; written]).unwrap();
    let start = Instant::now();
    while has_unsent_bytes(&socket) {
        assert!(
            start.elapsed() < DELIVERY_TIME,
            "unsent after the peer has read all"
        );
    }
    // The check leaves the socket as it was.
    output.write_all(&[b'y'; 100]).unwrap();
    peer.read_exact(&mut [0; 100]).unwrap();
}

#[tokio::test]
async fn a_socket_that_was_reset_holds_nothing() {
    let (socket, mut output, peer) = connection();
    let _ = output.write(&[b'x'; 20_000]).unwrap();
    SockRef::from(&peer)
        .set_linger(Some(Duration::ZERO))
        .unwrap();
    drop(peer);
    let start = Instant::now();
    while has_unsent_bytes(&socket) {
        assert!(start.elapsed() < DELIVERY_TIME, "unsent after a reset");
    }
}
