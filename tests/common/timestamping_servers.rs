//! Servers that note when each attempt began: when its first byte arrived, whenever a thread of the test read it.

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

/// An attempt that came: whose, and when its first byte did, whenever the test's own thread got to it.
pub struct Begun {
    pub txn: String,
    pub at: SystemTime,
}

/// A connection whose reads note when the bytes that they read had arrived.
pub struct Stamped<'a> {
    pub stream: &'a TcpStream,
    pub came: SystemTime,
}

impl Read for Stamped<'_> {
    fn read(&mut self, buffer: &mut [u8]) -> std::io::Result<usize> {
        let mut space = nix::cmsg_space!(nix::sys::time::TimeSpec);
        let mut parts = [IoSliceMut::new(buffer)];
        let read = recvmsg::<()>(
            self.stream.as_raw_fd(),
            &mut parts,
            Some(&mut space),
            MsgFlags::empty(),
        )?;
        for stamp in read.cmsgs()? {
            if let ControlMessageOwned::ScmTimestampns(at) = stamp {
                self.came = UNIX_EPOCH + Duration::from(at);
            }
        }
        Ok(read.bytes)
    }
}

/// When the first bytes of a request came that were just read, with this stamp.
pub fn first_byte(stream: &TcpStream, stamp: SystemTime) -> SystemTime {
    assert_ne!(stamp, UNIX_EPOCH, "the system tells when it came");
    // An attempt that was cancelled before anyone read it came when its bytes did, not when it was cancelled.
    let came = if has_ended(stream) {
        arrival::of_data(stream)
    } else {
        None
    };
    came.map_or(stamp, |came| came.min(stamp))
}

pub fn has_ended(stream: &TcpStream) -> bool {
    let mut events = [PollFd::new(
        stream.as_fd(),
        PollFlags::from_bits_retain(nix::libc::POLLRDHUP),
    )];
    poll(&mut events, PollTimeout::ZERO).unwrap() > 0
}

/// What the servers of a test do with what they hold.
#[derive(Clone, Copy, PartialEq)]
pub enum Behavior {
    Hold,
    /// Reject unseen what came while they held, so that it is retried at once; hold what comes now.
    RejectHeld,
    /// Serve what came while they held; hold what comes now.
    ServeHeld,
    Serve,
}

/// Servers that note when each attempt began.
pub struct Servers {
    pub addr: SocketAddr,
    behavior: Arc<Mutex<Behavior>>,
    pub begun: Receiver<Begun>,
}

impl Servers {
    /// Servers to which so many connections may come at once.
    pub fn new(connections: i32) -> Servers {
        let listener = bound_socket();
        // All may be established at once, also while the thread that accepts gets no core: what one past the backlog
        // writes is dropped, and comes a retransmission later, as if the node had begun it then.
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

    /// Servers at the other end of these connections.
    pub fn of(addr: SocketAddr, connections: Receiver<TcpStream>) -> Servers {
        let behavior = Arc::new(Mutex::new(Behavior::Hold));
        let (begins, begun) = channel();
        let shared = behavior.clone();
        thread::spawn(move || {
            for stream in connections {
                let (behavior, begins) = (shared.clone(), begins.clone());
                thread::spawn(move || serve(&stream, &behavior, &begins));
            }
        });
        Servers {
            addr,
            behavior,
            begun,
        }
    }

    pub fn set_behavior(&self, behavior: Behavior) {
        *self.behavior.lock().unwrap() = behavior;
    }
}

fn serve(stream: &TcpStream, behavior: &Mutex<Behavior>, begins: &Sender<Begun>) {
    stream.set_read_timeout(None).unwrap();
    let mut input = BufReader::new(Stamped {
        stream,
        came: UNIX_EPOCH,
    });
    while input.fill_buf().is_ok_and(|bytes| !bytes.is_empty()) {
        let at = first_byte(stream, input.get_ref().came);
        let Some(request) = Message::read(&mut input) else {
            return;
        };
        let was_holding = *behavior.lock().unwrap() == Behavior::Hold;
        let txn = request.header("x-txn").to_owned();
        let _ = begins.send(Begun {
            txn: txn.clone(),
            at,
        });
        stream
            .set_read_timeout(Some(Duration::from_millis(2)))
            .unwrap();
        let answer = loop {
            let now = *behavior.lock().unwrap();
            match now {
                Behavior::RejectHeld if was_holding => {
                    break "HTTP/1.1 503 Full\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n"
                        .to_owned()
                }
                Behavior::ServeHeld if !was_holding => {}
                Behavior::Serve | Behavior::ServeHeld => break ok_response(&txn),
                _ => {}
            }
            // Closed meanwhile, it was cancelled.
            match input.fill_buf() {
                Ok([]) => return,
                Err(error) if error.kind() == std::io::ErrorKind::ConnectionReset => return,
                _ => {}
            }
        };
        stream.set_read_timeout(None).unwrap();
        if (&mut &*stream).write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}
