//! Servers that record when the first byte of each attempt arrived. The times are the kernel's receive times, so they
//! do not depend on when a thread of the test reads the bytes.

use std::io::{BufRead, BufReader, IoSliceMut, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::{AsFd, AsRawFd};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use nix::poll::{poll, PollFd, PollFlags, PollTimeout};
use nix::sys::socket::{recvmsg, setsockopt, sockopt, ControlMessageOwned, MsgFlags};

use super::arrival;
use super::http::*;
use super::stand_ins::bound_socket;

/// An attempt that reached a server.
pub struct AttemptStart {
    /// The `X-Txn` header.
    pub request_id: String,
    /// When the first byte arrived.
    pub at: SystemTime,
}

/// A connection whose reads record the receive timestamp of the bytes read.
pub struct TimestampedStream<'a> {
    pub stream: &'a TcpStream,
    pub received_at: SystemTime,
}

impl Read for TimestampedStream<'_> {
    fn read(&mut self, buffer: &mut [u8]) -> std::io::Result<usize> {
        let mut space = nix::cmsg_space!(nix::sys::time::TimeSpec);
        let mut parts = [IoSliceMut::new(buffer)];
        let read = recvmsg::<()>(
            self.stream.as_raw_fd(),
            &mut parts,
            Some(&mut space),
            MsgFlags::empty(),
        )?;
        for control_message in read.cmsgs()? {
            if let ControlMessageOwned::ScmTimestampns(at) = control_message {
                self.received_at = UNIX_EPOCH + Duration::from(at);
            }
        }
        Ok(read.bytes)
    }
}

/// Returns when the first byte of a request arrived. The request was just read, with this receive timestamp.
pub fn first_byte_time(stream: &TcpStream, timestamp: SystemTime) -> SystemTime {
    assert_ne!(timestamp, UNIX_EPOCH, "the system reported no receive time");
    // If the attempt was cancelled before the read, the timestamp is the time of the close instead of the data.
    let data_arrival = if has_ended(stream) {
        arrival::last_data_arrival(stream)
    } else {
        None
    };
    data_arrival.map_or(timestamp, |arrival| arrival.min(timestamp))
}

pub fn has_ended(stream: &TcpStream) -> bool {
    let mut events = [PollFd::new(
        stream.as_fd(),
        PollFlags::from_bits_retain(nix::libc::POLLRDHUP),
    )];
    poll(&mut events, PollTimeout::ZERO).unwrap() > 0
}

/// What the servers do with requests.
#[derive(Clone, Copy, PartialEq)]
pub enum Behavior {
    /// Hold all requests without a response.
    Hold,
    /// Reject the requests that arrived under `Hold` as unprocessed, so that they are retried at once, and hold new
    /// ones.
    RejectHeld,
    /// Serve the requests that arrived under `Hold`, and hold new ones.
    ServeHeld,
    Serve,
}

/// Servers at one address that report the start of each attempt.
pub struct Servers {
    pub addr: SocketAddr,
    behavior: Arc<Mutex<Behavior>>,
    pub attempts: Receiver<AttemptStart>,
}

impl Servers {
    /// Starts servers with a backlog for this number of connections.
    pub fn new(connections: i32) -> Servers {
        let listener = bound_socket();
        // The backlog must hold all connections even while the accepting thread gets no processor time. Beyond the
        // backlog the kernel drops data, which then arrives one retransmission later, as if the attempt began then.
        listener.listen(connections).unwrap();
        setsockopt(&listener, sockopt::ReceiveTimestampns, &true).unwrap();
        let listener = TcpListener::from(listener);
        let addr = listener.local_addr().unwrap();
        let (tx, accepted) = channel();
        thread::spawn(move || {
            listener
                .incoming()
                .flatten()
                .take_while(|stream| tx.send(stream.try_clone().unwrap()).is_ok())
                .for_each(drop)
        });
        Servers::of(addr, accepted)
    }

    /// Starts servers on connections that another listener accepts.
    pub fn of(addr: SocketAddr, connections: Receiver<TcpStream>) -> Servers {
        let behavior = Arc::new(Mutex::new(Behavior::Hold));
        let (attempt_sender, attempts) = channel();
        let shared = behavior.clone();
        thread::spawn(move || {
            for stream in connections {
                let (behavior, attempt_sender) = (shared.clone(), attempt_sender.clone());
                thread::spawn(move || serve(&stream, &behavior, &attempt_sender));
            }
        });
        Servers {
            addr,
            behavior,
            attempts,
        }
    }

    pub fn set_behavior(&self, behavior: Behavior) {
        *self.behavior.lock().unwrap() = behavior;
    }
}

fn serve(stream: &TcpStream, behavior: &Mutex<Behavior>, attempt_sender: &Sender<AttemptStart>) {
    stream.set_read_timeout(None).unwrap();
    let mut input = BufReader::new(TimestampedStream {
        stream,
        received_at: UNIX_EPOCH,
    });
    while input.fill_buf().is_ok_and(|bytes| !bytes.is_empty()) {
        let at = first_byte_time(stream, input.get_ref().received_at);
        let Some(request) = Message::read(&mut input) else {
            return;
        };
        let was_holding = *behavior.lock().unwrap() == Behavior::Hold;
        let request_id = request.header("x-txn").to_owned();
        let _ = attempt_sender.send(AttemptStart {
            request_id: request_id.clone(),
            at,
        });
        stream
            .set_read_timeout(Some(Duration::from_millis(2)))
            .unwrap();
        let response = loop {
            let now = *behavior.lock().unwrap();
            match now {
                Behavior::RejectHeld if was_holding => {
                    break "HTTP/1.1 503 Full\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n"
                        .to_owned()
                }
                Behavior::ServeHeld if !was_holding => {}
                Behavior::Serve | Behavior::ServeHeld => break ok_response(&request_id),
                _ => {}
            }
            // The attempt was cancelled: the node closed the connection.
            match input.fill_buf() {
                Ok([]) => return,
                Err(error) if error.kind() == std::io::ErrorKind::ConnectionReset => return,
                _ => {}
            }
        };
        stream.set_read_timeout(None).unwrap();
        if (&mut &*stream).write_all(response.as_bytes()).is_err() {
            return;
        }
    }
}
