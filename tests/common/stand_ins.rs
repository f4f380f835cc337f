//! Servers and a discovery of the tests' own, which do what a test sets them to.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use super::http::*;

/// How a long answer is framed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Framing {
    Length,
    Chunked,
    /// By the end of the connection.
    End,
}

/// What a server does with a request.
#[derive(Clone, Copy, PartialEq)]
pub enum Behavior {
    Serve,
    /// Answers this status with these header lines.
    Answer(&'static str),
    /// Closes the connection unanswered.
    Break,
    /// Promises more of a body than it sends.
    BreakHalfway,
    /// Answers a long body.
    Long(Framing),
    /// Answers the first half of a long body and, once set to serve, the rest.
    LongInTwo,
    /// Answers the first half of a long body and closes.
    LongBroken,
    /// Begins a chunked body and closes.
    ChunkedBroken,
    /// Answers nothing.
    Hang,
    /// Answers nothing until it is set to do something else.
    Hold,
    /// Serves, and closes the connection a moment later without having said so.
    ServeAndClose,
}

/// What a server reports: a complete request, or the end of the connection it came on.
#[derive(Debug)]
pub enum ServerReport {
    Request(usize, Message),
    Closed,
}

/// A server that does what `behavior` says when a request has arrived; its address.
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

/// What becomes of a connection after a request.
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
        if current == Behavior::Break {
            return;
        }
        if answer(current, &id, &mut output, behavior) == Connection::Closes {
            break;
        }
    }
    drop((input, output));
    let _ = reports.send(ServerReport::Closed);
}

/// Waits for as long as the server holds its requests; what it does then.
fn wait_while_held(behavior: &Mutex<Behavior>) -> Behavior {
    loop {
        let current = *behavior.lock().unwrap();
        if current != Behavior::Hold {
            return current;
        }
        thread::sleep(Duration::from_millis(5));
    }
}

/// Does with a request what the server was set to when it took it: `current`.
fn answer(
    current: Behavior,
    id: &str,
    output: &mut TcpStream,
    behavior: &Mutex<Behavior>,
) -> Connection {
    let (text, connection) = match current {
        Behavior::Serve => (ok_response(id), Connection::StaysOpen),
        Behavior::ServeAndClose => (ok_response(id), Connection::Closes),
        Behavior::Answer(head) => (
            format!("HTTP/1.1 {head}\r\nContent-Length: 0\r\n\r\n"),
            Connection::StaysOpen,
        ),
        Behavior::BreakHalfway => (
            "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\nabc".to_owned(),
            Connection::Closes,
        ),
        Behavior::Long(framing) => return answer_long(framing, output),
        Behavior::LongInTwo => return answer_in_two(output, behavior),
        Behavior::LongBroken => {
            let _ = write_first_half(output);
            return Connection::Closes;
        }
        Behavior::ChunkedBroken => {
            let _ = output
                .write_all(CHUNKED_HEAD)
                .and_then(|()| output.write_all(b"20000\r\n"))
                .and_then(|()| output.write_all(&long_body()[..0x1_8000]));
            return Connection::Closes;
        }
        Behavior::Break | Behavior::Hang | Behavior::Hold => return Connection::StaysOpen,
    };
    let _ = output.write_all(text.as_bytes());
    connection
}

fn answer_long(framing: Framing, output: &mut TcpStream) -> Connection {
    let body = long_body();
    let _ = match framing {
        Framing::Length => write_long_head(output).and_then(|()| output.write_all(&body)),
        Framing::Chunked => output
            .write_all(CHUNKED_HEAD)
            .and_then(|()| write_chunks(output, &body)),
        Framing::End => output
            .write_all(b"HTTP/1.1 200 OK\r\n\r\n")
            .and_then(|()| output.write_all(&body)),
    };
    match framing {
        Framing::End => Connection::Closes,
        Framing::Length | Framing::Chunked => Connection::StaysOpen,
    }
}

/// Answers the first half of a long body and, once the server is set to serve, the rest.
fn answer_in_two(output: &mut TcpStream, behavior: &Mutex<Behavior>) -> Connection {
    let _ = write_first_half(output);
    while *behavior.lock().unwrap() != Behavior::Serve {
        thread::sleep(Duration::from_millis(5));
    }
    let _ = output.write_all(&long_body()[LONG / 2..]);
    Connection::StaysOpen
}

fn write_first_half(output: &mut TcpStream) -> std::io::Result<()> {
    write_long_head(output)?;
    output.write_all(&long_body()[..LONG / 2])
}

/// The head of an answer of [`LONG`] bytes.
fn write_long_head(output: &mut TcpStream) -> std::io::Result<()> {
    write!(output, "HTTP/1.1 200 OK\r\nContent-Length: {LONG}\r\n\r\n")
}

/// A server that hands each connection to the test, which reads and writes every byte itself.
pub fn scripted() -> (SocketAddr, Receiver<TcpStream>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    (addr, connections(listener))
}

/// The connections that come to a listener.
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

/// A socket bound to a port of loopback that nobody else gets, and on which nobody listens yet.
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

/// A listener whose backlog is full: connections to it do not come up before `open`.
pub struct FullBacklog {
    pub addr: SocketAddr,
    listener: socket2::Socket,
    fillers: Vec<TcpStream>,
}

impl FullBacklog {
    pub fn new() -> FullBacklog {
        let listener = bound_socket();
        listener.listen(0).unwrap();
        // Each read comes with the time at which its bytes arrived.
        nix::sys::socket::setsockopt(
            &listener,
            nix::sys::socket::sockopt::ReceiveTimestampns,
            &true,
        )
        .unwrap();
        let addr = address_of(&listener);
        let mut fillers = Vec::new();
        while let Ok(filler) = TcpStream::connect_timeout(&addr, Duration::from_millis(300)) {
            fillers.push(filler);
        }
        FullBacklog {
            addr,
            listener,
            fillers,
        }
    }

    /// How many connections to it are not established yet.
    pub fn pending_connections(&self) -> usize {
        self.pending_peers().len()
    }

    /// The addresses of their clients.
    pub fn pending_peers(&self) -> Vec<String> {
        let (port, syn_sent) = (format!("0100007F:{:04X}", self.addr.port()), "02");
        let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
        let fields = table
            .lines()
            .map(|line| line.split_whitespace().collect::<Vec<_>>());
        let pending_connections =
            fields.filter(|f| f.get(2) == Some(&port.as_str()) && f.get(3) == Some(&syn_sent));
        pending_connections.map(|f| f[1].to_owned()).collect()
    }

    /// Lets them come up and hands on those that do.
    pub fn open(self) -> Receiver<TcpStream> {
        let FullBacklog {
            listener, fillers, ..
        } = self;
        // All pending connections are established at once: one that was dropped here would be read much later.
        listener.listen(1024).unwrap();
        let listener = TcpListener::from(listener);
        for _ in &fillers {
            drop(listener.accept().unwrap());
        }
        connections(listener)
    }
}

/// Discovery: hands each watch to the test, which writes what it likes.
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

/// Reads the call that opens a watch and answers its head; the call.
pub fn accept_watch(watch: &mut TcpStream) -> Message {
    let call = Message::read(&mut BufReader::new(watch.try_clone().unwrap())).expect("a call");
    watch.write_all(CHUNKED_HEAD).unwrap();
    call
}
