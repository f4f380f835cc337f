//! Servers, listeners and a discovery service whose behavior a test controls.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use super::http::*;

/// How the length of a long response body is delimited.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Framing {
    /// By `Content-Length`.
    Length,
    /// By chunked transfer encoding.
    Chunked,
    /// By the end of the connection.
    End,
}

impl Framing {
    /// The header lines that announce a body of this length.
    pub fn header_lines(self, length: usize) -> String {
        match self {
            Framing::Length => format!("Content-Length: {length}\r\n"),
            Framing::Chunked => "Transfer-Encoding: chunked\r\n".to_owned(),
            Framing::End => String::new(),
        }
    }

    /// Writes a body as fast as the peer takes it.
    pub fn write_body(self, output: &mut impl Write, body: &[u8]) -> std::io::Result<()> {
        match self {
            Framing::Chunked => write_chunks(output, body),
            Framing::Length | Framing::End => output.write_all(body),
        }
    }
}

/// Writes the head of a response with status 200 and a body of this length.
pub fn write_response_head(
    output: &mut impl Write,
    framing: Framing,
    length: usize,
) -> std::io::Result<()> {
    let lines = framing.header_lines(length);
    write!(output, "HTTP/1.1 200 OK\r\n{lines}\r\n")
}

/// Writes a response with status 200 as fast as the peer takes it.
pub fn write_response(
    output: &mut impl Write,
    framing: Framing,
    body: &[u8],
) -> std::io::Result<()> {
    write_response_head(output, framing, body.len())?;
    framing.write_body(output, body)
}

/// What a server does with a request.
#[derive(Clone, Copy, PartialEq)]
pub enum Behavior {
    /// Responds with status 200 and the request id as the body.
    Serve,
    /// Responds with this status and header lines, without a body.
    Respond(&'static str),
    /// Closes the connection without a response.
    Close,
    /// Sends fewer body bytes than its `Content-Length` says, then closes the connection.
    TruncateBody,
    /// Responds with a long body.
    Long(Framing),
    /// Sends the first half of a long body at once, and the rest when the behavior is set to `Serve`.
    LongInTwoParts,
    /// Sends the first half of a long body with `Content-Length`, then closes the connection.
    TruncateLong,
    /// Sends a part of a chunked body, then closes the connection.
    TruncateChunked,
    /// Never responds.
    Hang,
    /// Holds the request until the behavior changes, then applies the new behavior to it.
    Hold,
    /// Serves without `Connection: close`, then closes the connection.
    ServeAndClose,
}

/// Report of a server to the test.
#[derive(Debug)]
pub enum ServerReport {
    /// The server with this number has received a complete request.
    Request(usize, Message),
    /// A connection has ended, other than by `Behavior::Close`.
    Closed,
}

/// Starts a server that treats each complete request as `behavior` says. Returns its address.
pub fn server(
    number: usize,
    behavior: Arc<Mutex<Behavior>>,
    reports: Sender<ServerReport>,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (behavior, reports) = (behavior.clone(), reports.clone());
            thread::spawn(move || serve_connection(number, stream, &behavior, &reports));
        }
    });
    addr
}

/// State of a connection after a request.
#[derive(PartialEq)]
enum Connection {
    StaysOpen,
    Closes,
}

fn serve_connection(
    number: usize,
    stream: TcpStream,
    behavior: &Mutex<Behavior>,
    reports: &Sender<ServerReport>,
) {
    let mut input = BufReader::new(stream.try_clone().unwrap());
    let mut output = stream;
    while let Some(request) = Message::read(&mut input) {
        let id = request.header("x-txn").to_owned();
        let _ = reports.send(ServerReport::Request(number, request));
        let current = wait_while_held(behavior);
        if current == Behavior::Close {
            return;
        }
        if respond(current, &id, &mut output, behavior) == Connection::Closes {
            break;
        }
    }
    drop((input, output));
    let _ = reports.send(ServerReport::Closed);
}

/// Waits while the behavior is `Hold`. Returns the behavior that follows.
fn wait_while_held(behavior: &Mutex<Behavior>) -> Behavior {
    loop {
        let current = *behavior.lock().unwrap();
        if current != Behavior::Hold {
            return current;
        }
        thread::sleep(Duration::from_millis(5));
    }
}

/// Responds to a request as `current` says. A response in two parts waits until the test sets `behavior` to `Serve`.
fn respond(
    current: Behavior,
    id: &str,
    output: &mut TcpStream,
    behavior: &Mutex<Behavior>,
) -> Connection {
    let (text, connection) = match current {
        Behavior::Serve => (ok_response(id), Connection::StaysOpen),
        Behavior::ServeAndClose => (ok_response(id), Connection::Closes),
        Behavior::Respond(head) => (
            format!("HTTP/1.1 {head}\r\nContent-Length: 0\r\n\r\n"),
            Connection::StaysOpen,
        ),
        Behavior::TruncateBody => (
            "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\nabc".to_owned(),
            Connection::Closes,
        ),
        Behavior::Long(framing) => return respond_long(framing, output),
        Behavior::LongInTwoParts => return respond_in_two_parts(output, behavior),
        Behavior::TruncateLong => {
            let _ = write_first_half(output);
            return Connection::Closes;
        }
        Behavior::TruncateChunked => {
            let _ = output
                .write_all(CHUNKED_HEAD)
                .and_then(|()| output.write_all(b"20000\r\n"))
                .and_then(|()| output.write_all(&long_body()[..0x1_8000]));
            return Connection::Closes;
        }
        Behavior::Close | Behavior::Hang | Behavior::Hold => return Connection::StaysOpen,
    };
    let _ = output.write_all(text.as_bytes());
    connection
}

fn respond_long(framing: Framing, output: &mut TcpStream) -> Connection {
    let _ = write_response(output, framing, &long_body());
    match framing {
        Framing::End => Connection::Closes,
        Framing::Length | Framing::Chunked => Connection::StaysOpen,
    }
}

/// Sends the first half of a long body at once, and the rest when the behavior is set to `Serve`.
fn respond_in_two_parts(output: &mut TcpStream, behavior: &Mutex<Behavior>) -> Connection {
    let _ = write_first_half(output);
    while *behavior.lock().unwrap() != Behavior::Serve {
        thread::sleep(Duration::from_millis(5));
    }
    let _ = output.write_all(&long_body()[LONG_BODY_BYTES / 2..]);
    Connection::StaysOpen
}

fn write_first_half(output: &mut TcpStream) -> std::io::Result<()> {
    write_response_head(output, Framing::Length, LONG_BODY_BYTES)?;
    output.write_all(&long_body()[..LONG_BODY_BYTES / 2])
}

/// Opens a listener whose connections the test reads and writes itself. Returns its address and the connections.
pub fn scripted_listener() -> (SocketAddr, Receiver<TcpStream>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    (addr, connections(listener))
}

/// Accepts the connections of a listener in a thread of its own.
pub fn connections(listener: TcpListener) -> Receiver<TcpStream> {
    let (tx, connections) = channel();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
            if tx.send(stream).is_err() {
                return;
            }
        }
    });
    connections
}

/// Waits for the next connection of a scripted listener and reads the first request on it.
pub fn accept_request(connections: &Receiver<TcpStream>) -> (TcpStream, Message) {
    let stream = connections
        .recv_timeout(TEST_TIMEOUT)
        .expect("no connection to the server");
    let request = Message::read(&mut BufReader::new(stream.try_clone().unwrap()));
    (stream, request.expect("no request"))
}

/// Returns a socket that is bound to a loopback port and does not listen yet: it reserves the port, and connections to
/// it are refused.
pub fn bound_socket() -> socket2::Socket {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket
        .bind(&"127.0.0.1:0".parse::<SocketAddr>().unwrap().into())
        .unwrap();
    socket
}

pub fn address_of(socket: &socket2::Socket) -> SocketAddr {
    socket.local_addr().unwrap().as_socket().unwrap()
}

/// Receive buffer of a server whose system keeps little that the server has not read, in bytes.
const SMALL_RECEIVE_BUFFER: usize = 4_096;
/// Segment size of such a server, in bytes: the sender's system too keeps little for small segments.
const SMALL_SEGMENT: u32 = 536;

/// Starts a listener whose connections keep little that is not read.
pub fn listener_with_small_buffers() -> (SocketAddr, Receiver<TcpStream>) {
    let socket = bound_socket();
    keep_little_unread(&socket);
    socket.listen(1_024).unwrap();
    (address_of(&socket), connections(socket.into()))
}

/// Lets the connections of a listener keep little that is not read, on either side.
pub fn keep_little_unread(listener: &socket2::Socket) {
    keep_little_received(listener);
    listener.set_tcp_mss(SMALL_SEGMENT).unwrap();
}

/// Lets the connections of a listener keep little that is not read on their own side.
pub fn keep_little_received(listener: &socket2::Socket) {
    listener.set_recv_buffer_size(SMALL_RECEIVE_BUFFER).unwrap();
}

/// A listener whose backlog is full: new connections to it stay pending until `open`.
pub struct FullBacklog {
    pub addr: SocketAddr,
    listener: socket2::Socket,
    /// The connections that fill the backlog.
    fillers: Vec<TcpStream>,
}

impl FullBacklog {
    pub fn new() -> FullBacklog {
        let listener = bound_socket();
        // Accepted connections inherit the option, so each read reports the receive time of its bytes.
        nix::sys::socket::setsockopt(
            &listener,
            nix::sys::socket::sockopt::ReceiveTimestampns,
            &true,
        )
        .unwrap();
        FullBacklog::of(listener, Duration::from_millis(300))
    }

    /// Fills the backlog of a listener from which all connections were accepted. It is full when a connection is not
    /// established within `patience`.
    pub fn of(listener: socket2::Socket, patience: Duration) -> FullBacklog {
        listener.listen(0).unwrap();
        let addr = address_of(&listener);
        let mut fillers = Vec::new();
        while let Ok(filler) = TcpStream::connect_timeout(&addr, patience) {
            fillers.push(filler);
        }
        FullBacklog {
            addr,
            listener,
            fillers,
        }
    }

    /// Number of connections to this listener that are not established yet.
    pub fn pending_connections(&self) -> usize {
        self.pending_peers().len()
    }

    /// Client addresses of these connections, as in `/proc/net/tcp`.
    pub fn pending_peers(&self) -> Vec<String> {
        let (port, syn_sent) = (format!("0100007F:{:04X}", self.addr.port()), "02");
        let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
        let fields = table
            .lines()
            .map(|line| line.split_whitespace().collect::<Vec<_>>());
        let pending =
            fields.filter(|f| f.get(2) == Some(&port.as_str()) && f.get(3) == Some(&syn_sent));
        pending.map(|f| f[1].to_owned()).collect()
    }

    /// Accepts the pending connections, and all later ones.
    pub fn open(self) -> Receiver<TcpStream> {
        let FullBacklog {
            listener, fillers, ..
        } = self;
        // The backlog must hold all pending connections: a dropped one would be established only one retransmission
        // later.
        listener.listen(1024).unwrap();
        let listener = TcpListener::from(listener);
        for _ in &fillers {
            drop(listener.accept().unwrap());
        }
        connections(listener)
    }
}

/// Starts a discovery service that sends the response head of each watch and passes the watch, with its request, to the
/// test. Returns its address.
pub fn discovery(watches: Sender<(Message, TcpStream)>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let Some(request) = Message::read(&mut BufReader::new(stream.try_clone().unwrap()))
            else {
                continue;
            };
            let _ = stream.write_all(CHUNKED_HEAD);
            if watches.send((request, stream)).is_err() {
                return;
            }
        }
    });
    addr
}

/// Reads the request that opens a watch and writes the response head. Returns the request.
pub fn accept_watch(watch: &mut TcpStream) -> Message {
    let request = Message::read(&mut BufReader::new(watch.try_clone().unwrap()))
        .expect("no request on the watch");
    watch.write_all(CHUNKED_HEAD).unwrap();
    request
}
