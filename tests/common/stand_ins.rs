//! Servers and a discovery of the tests' own, which do what they are told.

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
pub enum Does {
    Serve,
    /// Answers this status with these header lines.
    Answer(&'static str),
    /// Closes the connection unanswered.
    Break,
    /// Promises more of a body than it sends.
    BreakHalfway,
    /// Answers a long body.
    Long(Framing),
    /// Answers the first half of a long body and, told to serve, the rest.
    LongInTwo,
    /// Answers the first half of a long body and closes.
    LongBroken,
    /// Begins a chunked body and closes.
    ChunkedBroken,
    /// Answers nothing.
    Hang,
    /// Answers nothing until it is told to do something else.
    Hold,
    /// Serves, and closes the connection a moment later without having said so.
    ServeAndClose,
}

/// Reports of the servers: a request that came whole, or the end of the connection it came on.
#[derive(Debug)]
pub enum Seen {
    Request(usize, Message),
    Closed,
}

pub fn server(number: usize, does: Arc<Mutex<Does>>, seen: Sender<Seen>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (does, seen) = (does.clone(), seen.clone());
            thread::spawn(move || {
                let mut input = BufReader::new(stream.try_clone().unwrap());
                let mut output = stream;
                while let Some(request) = Message::read(&mut input) {
                    let id = request.header("x-txn").to_owned();
                    let _ = seen.send(Seen::Request(number, request));
                    let stated = does.clone();
                    let does = loop {
                        let now = *stated.lock().unwrap();
                        if now != Does::Hold {
                            break now;
                        }
                        thread::sleep(Duration::from_millis(5));
                    };
                    if let Does::Long(framing) = does {
                        let body = long_body();
                        let _ = match framing {
                            Framing::Length => {
                                write!(output, "HTTP/1.1 200 OK\r\nContent-Length: {LONG}\r\n\r\n")
                                    .and_then(|()| output.write_all(&body))
                            }
                            Framing::Chunked => write!(
                                output,
                                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                            )
                            .and_then(|()| write_chunks(&mut output, &body)),
                            Framing::End => write!(output, "HTTP/1.1 200 OK\r\n\r\n")
                                .and_then(|()| output.write_all(&body)),
                        };
                        if framing == Framing::End {
                            break;
                        }
                        continue;
                    }
                    if does == Does::ChunkedBroken {
                        let _ = write!(
                            output,
                            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n20000\r\n"
                        )
                        .and_then(|()| output.write_all(&long_body()[..0x1_8000]));
                        break;
                    }
                    if matches!(does, Does::LongInTwo | Does::LongBroken) {
                        let body = long_body();
                        let (first, rest) = body.split_at(LONG / 2);
                        let _ = write!(output, "HTTP/1.1 200 OK\r\nContent-Length: {LONG}\r\n\r\n")
                            .and_then(|()| output.write_all(first));
                        if does == Does::LongBroken {
                            break;
                        }
                        while *stated.lock().unwrap() != Does::Serve {
                            thread::sleep(Duration::from_millis(5));
                        }
                        let _ = output.write_all(rest);
                        continue;
                    }
                    let reply = match does {
                        Does::Serve | Does::ServeAndClose => ok_response(&id),
                        Does::Answer(head) => {
                            format!("HTTP/1.1 {head}\r\nContent-Length: 0\r\n\r\n")
                        }
                        Does::BreakHalfway => {
                            "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\nabc".to_owned()
                        }
                        Does::Break => return,
                        _ => continue,
                    };
                    let _ = output.write_all(reply.as_bytes());
                    if matches!(does, Does::BreakHalfway | Does::ServeAndClose) {
                        break;
                    }
                }
                drop((input, output));
                let _ = seen.send(Seen::Closed);
            });
        }
    });
    addr
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
            stream.set_read_timeout(Some(PATIENCE)).unwrap();
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
pub struct Late {
    pub addr: SocketAddr,
    listener: socket2::Socket,
    fillers: Vec<TcpStream>,
}

impl Late {
    pub fn new() -> Late {
        let listener = bound_socket();
        listener.listen(0).unwrap();
        // Connections tell when what they read had come, to those that ask.
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
        Late {
            addr,
            listener,
            fillers,
        }
    }

    /// How many connections to it are on their way.
    pub fn knocking(&self) -> usize {
        self.callers().len()
    }

    /// From where they come.
    pub fn callers(&self) -> Vec<String> {
        let (port, syn_sent) = (format!("0100007F:{:04X}", self.addr.port()), "02");
        let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
        let fields = table
            .lines()
            .map(|line| line.split_whitespace().collect::<Vec<_>>());
        let knocking =
            fields.filter(|f| f.get(2) == Some(&port.as_str()) && f.get(3) == Some(&syn_sent));
        knocking.map(|f| f[1].to_owned()).collect()
    }

    /// Lets them come up and hands on those that do.
    pub fn open(self) -> Receiver<TcpStream> {
        let Late {
            listener, fillers, ..
        } = self;
        // All that knock come up at once: one that is turned back here would write, and be read, much later.
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
