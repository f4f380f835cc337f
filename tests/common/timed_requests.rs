//! Requests as their servers receive them, with the kernel's receive times of their first and last bytes, so that the times
//! do not depend on when a thread of the test reads the bytes.

use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use nix::sys::socket::{setsockopt, sockopt};

use super::http::Message;
use super::stand_ins::{address_of, bound_socket, keep_little_received, keep_little_unread};
use super::timestamping_servers::TimestampedStream;

/// A request that has reached a server completely: only now has its attempt begun.
#[derive(Debug)]
pub struct TimedRequest {
    pub message: Message,
    /// When the first byte arrived.
    pub first_byte: SystemTime,
    /// When the last byte arrived. If the connection was closed before it was read, the time of the close; nothing in the
    /// socket tells then when bytes arrived that had waited for room.
    pub last_byte: SystemTime,
}

impl TimedRequest {
    /// Reads the next request of a connection. Returns `None` if the connection ends before its last byte.
    pub fn read(stream: &TcpStream) -> Option<TimedRequest> {
        let mut input = BufReader::new(TimestampedStream {
            stream,
            received_at: UNIX_EPOCH,
        });
        input.fill_buf().ok().filter(|bytes| !bytes.is_empty())?;
        let first_byte = input.get_ref().received_at;
        let message = Message::read(&mut input)?;
        Some(TimedRequest {
            message,
            first_byte,
            last_byte: input.get_ref().received_at,
        })
    }

    /// What the request tells its server of the time that is left.
    pub fn remaining(&self) -> Duration {
        let milliseconds = self.message.header("x-remaining-ms").parse();
        Duration::from_millis(milliseconds.expect("no remaining time"))
    }
}

/// Where the bytes wait that a server has not read.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Unread {
    /// In the server's system.
    Server,
    /// In the system of the node.
    NodeSystem,
    /// In the node, as its system takes little of them.
    Node,
}

/// A listener that accepts nothing by itself, and whose connections report receive times.
pub fn timed_listener(unread: Unread) -> (SocketAddr, socket2::Socket) {
    let socket = bound_socket();
    match unread {
        Unread::Server => {}
        Unread::NodeSystem => keep_little_received(&socket),
        Unread::Node => keep_little_unread(&socket),
    }
    setsockopt(&socket, sockopt::ReceiveTimestampns, &true).unwrap();
    socket.listen(1_024).unwrap();
    (address_of(&socket), socket)
}

/// Accepts the connections and reads the first request of each, this long after it was accepted. Their servers never
/// respond; each request keeps its connection open.
pub fn timed_requests(
    connections: Receiver<TcpStream>,
    reads_after: Duration,
) -> Receiver<(TimedRequest, TcpStream)> {
    let (sender, requests) = channel();
    thread::spawn(move || {
        for stream in connections {
            let sender = sender.clone();
            thread::spawn(move || {
                thread::sleep(reads_after);
                if let Some(request) = TimedRequest::read(&stream) {
                    let _ = sender.send((request, stream));
                }
            });
        }
    });
    requests
}

/// Accepts the next connection of a listener.
pub fn accept(listener: &socket2::Socket) -> TcpStream {
    let listener = TcpListener::from(listener.try_clone().unwrap());
    listener.accept().unwrap().0
}

/// Time from one moment to a later one; zero if it is the earlier one.
pub fn time_between(earlier: SystemTime, later: SystemTime) -> Duration {
    later.duration_since(earlier).unwrap_or_default()
}
