//! Which peers are given up: those that have stopped reading, and none that reads at the minimum rate.

use std::future::poll_fn;
use std::io::Read;

use socket2::{Domain, Socket, Type};
use tokio::task::unconstrained;
use tokio::time::{advance, timeout};

use super::*;

/// Rate of the platform's slowest clients, in bytes per second.
const SLOWEST_RATE: usize = 64_000;
/// Interval between two reads of a peer.
const READ_INTERVAL: Duration = Duration::from_millis(100);
/// How much later than expected a peer may be given up: a write is tried again in intervals.
const TOLERANCE: Duration = Duration::from_secs(1);

/// Receive buffer of a peer whose system has been told to keep much, in bytes.
const LARGE_RECEIVE_BUFFER_BYTES: usize = 4 << 20;

/// Opens a connection whose peer has a receive buffer of the system's usual size, or one of `receive_buffer` bytes if
/// the system allows that. Returns the side under test and its peer.
fn connection(receive_buffer: Option<usize>) -> (TcpStream, std::net::TcpStream) {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let peer = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    if let Some(bytes) = receive_buffer {
        peer.set_recv_buffer_size(bytes).unwrap();
    }
    peer.connect(&listener.local_addr().unwrap().into())
        .unwrap();
    peer.set_nonblocking(true).unwrap();
    let (socket, _) = listener.accept().unwrap();
    socket.set_nonblocking(true).unwrap();
    (TcpStream::from_std(socket).unwrap(), peer.into())
}

/// Writes as much as the socket takes at once.
async fn write_until_blocked(guard: &mut StallGuard, socket: &TcpStream) -> io::Result<usize> {
    let data = [0; 16 * 1024];
    let mut total = 0;
    loop {
        let write = poll_fn(|cx| guard.poll_write(cx, socket, &[IoSlice::new(&data)]));
        // Without the runtime's budget, the write is pending only when the socket is full.
        match timeout(Duration::ZERO, unconstrained(write)).await {
            Ok(written) => total += written?,
            Err(_) => return Ok(total),
        }
    }
}

/// Reads this many bytes, or what there is.
fn read(peer: &mut std::net::TcpStream, bytes: usize) {
    let mut data = vec![0; bytes];
    let mut total = 0;
    while let Ok(read @ 1..) = peer.read(&mut data[total..]) {
        total += read;
    }
}

/// Keeps writing for this long while the peer reads at `rate`, in bytes per second.
async fn write_to_reader(
    guard: &mut StallGuard,
    socket: &TcpStream,
    peer: &mut std::net::TcpStream,
    rate: usize,
    length: Duration,
) -> io::Result<()> {
    let end = Instant::now() + length;
    while Instant::now() < end {
        write_until_blocked(guard, socket).await?;
        advance(READ_INTERVAL).await;
        read(peer, rate / 10);
    }
    Ok(())
}

/// Keeps writing to a peer that reads nothing. Returns after how long it is given up.
async fn time_until_given_up(guard: &mut StallGuard, socket: &TcpStream) -> Duration {
    let start = Instant::now();
    while start.elapsed() < Duration::from_secs(600) {
        match write_until_blocked(guard, socket).await {
            Ok(_) => advance(READ_INTERVAL).await,
            Err(error) => {
                assert_eq!(error.kind(), io::ErrorKind::TimedOut);
                return start.elapsed();
            }
        }
    }
    panic!("a peer that reads nothing is never given up");
}

// Guards against a client at the platform's lowest rate that was taken for one that reads nothing, because its socket was
// not reported as writable for longer than the stall timeout.
#[tokio::test(start_paused = true)]
async fn a_peer_that_reads_at_the_slowest_rate_is_not_given_up() {
    for receive_buffer in [None, Some(LARGE_RECEIVE_BUFFER_BYTES)] {
        let (socket, mut peer) = connection(receive_buffer);
        let mut guard = StallGuard::new();
        let length = Duration::from_secs(180);
        write_to_reader(&mut guard, &socket, &mut peer, SLOWEST_RATE, length)
            .await
            .unwrap_or_else(|error| panic!("receive buffer {receive_buffer:?}: {error}"));
    }
}

#[tokio::test(start_paused = true)]
async fn a_peer_that_takes_nothing_is_given_up_after_the_stall_timeout() {
    let (socket, _peer) = connection(None);
    let given_up = time_until_given_up(&mut StallGuard::new(), &socket).await;
    assert!(given_up >= STALL_TIMEOUT, "{given_up:?}");
    assert!(given_up <= STALL_TIMEOUT + TOLERANCE, "{given_up:?}");
}

// The peer's system announces no room before the peer has read a part of what it has taken.
#[tokio::test(start_paused = true)]
async fn a_peer_gets_the_time_to_read_what_it_has_taken_up_to_one_step() {
    let (socket, _peer) = connection(None);
    let send_buffer = SockRef::from(&socket).send_buffer_size().unwrap() as u64;
    let longest = time_at_min_rate(MAX_RECEIVE_STEP_BYTES);
    for (taken, patience) in [
        (0, STALL_TIMEOUT),
        (1_000, STALL_TIMEOUT),
        (1 << 20, time_at_min_rate(1 << 20)),
        (MAX_RECEIVE_STEP_BYTES, longest),
        (1 << 30, longest),
    ] {
        let mut guard = StallGuard::new();
        guard.finish(Ok((send_buffer + taken) as usize)).unwrap();
        let wait = Wait::start(guard.read_by, &socket);
        assert_eq!(wait.gives_up_at - Instant::now(), patience, "{taken} bytes");
    }
}
