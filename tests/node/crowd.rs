//! Crowds: hundreds of clients of one process that write or read slowly or stop half way, and the servers that their
//! requests are passed on to.

use socket2::{Domain, SockAddr, Socket, Type};

use super::*;

/// Interval between two rounds in which each client writes and reads a little.
const ROUND: Duration = Duration::from_millis(4);
/// Receive buffer of a client that reads slowly, in bytes.
const SMALL_RECEIVE_BUFFER: usize = 4_096;
/// Length of a response, far more than the systems of both sides keep for a connection that nobody reads.
pub(super) const LONG_RESPONSE: usize = 16 << 20;
/// Length of a response that the node may hold whole.
const SHORT_RESPONSE: usize = 60_000;
/// Id of a request that is answered at once.
pub(super) const AFTER_CROWD: &str = "after";
/// How long the servers hold a connection open.
const SERVER_HOLD_TIME: Duration = Duration::from_secs(60);

/// What a client of the crowd sends and how it reads.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum CrowdClient {
    /// A short body in pieces of 20 bytes.
    SmallPieces,
    /// A body in chunks of one byte.
    OneByteChunks,
    /// Half of a long body, and then nothing.
    HalfOfLongBody,
    /// A head of many short fields, and the beginning of a long body.
    ManyFields,
    /// A long head that never ends.
    EndlessHead,
    /// Nothing of a long response, beyond its first bytes.
    SlowReader,
    /// Nothing of a response that the node may hold whole.
    SlowReaderOfShort,
    /// A head of many short fields, whose request its server doesn't answer.
    UnansweredManyFields,
    /// A head of long fields, whose request its server doesn't answer.
    UnansweredLongHead,
    /// A body that the node may hold whole, whose request its server doesn't answer.
    UnansweredShortBody,
    /// A long body in many chunks, of which its server reads nothing.
    UnreadChunks,
    /// Many requests at once, whose responses it doesn't read.
    Pipelined,
}

pub(super) const KINDS: [CrowdClient; 12] = [
    CrowdClient::SmallPieces,
    CrowdClient::OneByteChunks,
    CrowdClient::HalfOfLongBody,
    CrowdClient::ManyFields,
    CrowdClient::EndlessHead,
    CrowdClient::SlowReader,
    CrowdClient::SlowReaderOfShort,
    CrowdClient::UnansweredManyFields,
    CrowdClient::UnansweredLongHead,
    CrowdClient::UnansweredShortBody,
    CrowdClient::UnreadChunks,
    CrowdClient::Pipelined,
];

impl CrowdClient {
    /// What the client writes at once.
    fn beginning(self, id: &str) -> Vec<u8> {
        let with_lines = |lines: &str| post("pay", id, 60_000, lines);
        let with_body = |lines: &str, body: &[u8]| [&with_lines(lines), body].concat();
        let short_fields = || -> String { (0..56).map(|n| format!("a{n}: b\r\n")).collect() };
        match self {
            CrowdClient::SmallPieces => with_lines("Content-Length: 60000\r\n"),
            CrowdClient::OneByteChunks => {
                let chunks = b"1\r\nx\r\n".repeat(12_000);
                with_body("Transfer-Encoding: chunked\r\n", &chunks)
            }
            CrowdClient::HalfOfLongBody => {
                with_body("Content-Length: 1000000\r\n", &vec![b'x'; 500_000])
            }
            CrowdClient::ManyFields => {
                let lines = format!("Content-Length: 100000\r\n{}", short_fields());
                with_body(&lines, b"xxxxx")
            }
            CrowdClient::EndlessHead => {
                let head = with_lines("");
                let filler = vec![b'b'; 15_000];
                [&head[..head.len() - 2], b"a: ", &filler].concat()
            }
            CrowdClient::SlowReader => request("look", id, 60_000),
            CrowdClient::SlowReaderOfShort => request("look", &format!("short-{id}"), 60_000),
            CrowdClient::UnansweredManyFields => {
                with_body(&format!("Content-Length: 1\r\n{}", short_fields()), b"x")
            }
            CrowdClient::UnansweredLongHead => {
                let fields: String = (0..50)
                    .map(|n| format!("a{n}: {}\r\n", "b".repeat(290)))
                    .collect();
                with_body(&format!("Content-Length: 1\r\n{fields}"), b"x")
            }
            CrowdClient::UnansweredShortBody => {
                with_body("Content-Length: 60000\r\n", &vec![b'x'; 60_000])
            }
            CrowdClient::UnreadChunks => {
                let chunk = [b"400\r\n".to_vec(), vec![b'x'; 1_024], b"\r\n".to_vec()].concat();
                with_body("Transfer-Encoding: chunked\r\n", &chunk.repeat(3_000))
            }
            CrowdClient::Pipelined => (0..100)
                .flat_map(|n| request("look", &format!("short-{id}-{n}"), 60_000))
                .collect(),
        }
    }

    /// What the client writes in each round after that.
    fn piece(self) -> &'static [u8] {
        match self {
            CrowdClient::SmallPieces => &[b'x'; 20],
            _ => b"",
        }
    }

    /// Whether the client leaves its responses unread.
    fn is_slow_reader(self) -> bool {
        matches!(
            self,
            CrowdClient::SlowReader | CrowdClient::SlowReaderOfShort | CrowdClient::Pipelined
        )
    }
}

/// How many clients of which kinds are connected for how long.
#[derive(Clone, Debug)]
pub(super) struct Crowd {
    pub(super) kinds: Vec<CrowdClient>,
    pub(super) clients: usize,
    pub(super) time: Duration,
    /// Whether a client that got a response or a close connects anew.
    pub(super) reconnects: bool,
}

impl Crowd {
    /// A crowd of these kinds that stays for a while longer than clients may that send no complete request.
    pub(super) fn of(kinds: &[CrowdClient]) -> Crowd {
        Crowd {
            kinds: kinds.to_vec(),
            clients: 600,
            time: Duration::from_secs(5),
            reconnects: false,
        }
    }

    /// Keeps the crowd connected to the node for its time.
    pub(super) fn run(&self, addr: SocketAddr) {
        let start = Instant::now();
        let mut members: Vec<Member> = Vec::with_capacity(self.clients);
        for &kind in self.kinds.iter().cycle().take(self.clients) {
            members.push(Member::new(addr, kind));
        }
        while start.elapsed() < self.time {
            for member in &mut members {
                member.write_more();
                if self.reconnects && member.has_ended() {
                    *member = Member::new(addr, member.kind);
                }
            }
            thread::sleep(ROUND);
        }
    }
}

/// Opens a connection with a small receive buffer that doesn't block.
fn connect_nonblocking(addr: SocketAddr) -> Option<TcpStream> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).ok()?;
    socket.set_recv_buffer_size(SMALL_RECEIVE_BUFFER).ok()?;
    socket.set_tcp_nodelay(true).ok()?;
    socket.connect(&SockAddr::from(addr)).ok()?;
    socket.set_nonblocking(true).ok()?;
    Some(TcpStream::from(socket))
}

/// A client of the crowd and what it has still to write.
struct Member {
    kind: CrowdClient,
    /// `None` where the process refuses connections, as it has been killed.
    stream: Option<TcpStream>,
    unwritten: Vec<u8>,
}

impl Member {
    fn new(addr: SocketAddr, kind: CrowdClient) -> Member {
        Member {
            kind,
            stream: connect_nonblocking(addr),
            unwritten: kind.beginning(&format!("crowd-{}", new_id())),
        }
    }

    /// Writes what the connection takes now.
    fn write_more(&mut self) {
        if self.unwritten.is_empty() {
            self.unwritten.extend_from_slice(self.kind.piece());
        }
        let Some(stream) = &mut self.stream else {
            return;
        };
        if let Ok(written) = stream.write(&self.unwritten) {
            self.unwritten.drain(..written);
        }
    }

    /// Whether the connection has ended, or its client has a response and leaves.
    fn has_ended(&mut self) -> bool {
        if self.kind.is_slow_reader() {
            return false;
        }
        let read = self
            .stream
            .as_mut()
            .map(|stream| stream.read(&mut [0; 512]));
        match read {
            Some(Err(error)) => error.kind() != std::io::ErrorKind::WouldBlock,
            Some(Ok(_)) => true,
            None => false,
        }
    }
}

/// Starts a server for a crowd. It writes long or short responses to idempotent requests as fast as they are taken, and
/// reads no further than the head of any other request. Returns its address.
pub(super) fn start_server() -> SocketAddr {
    let (addr, connections) = scripted_listener();
    thread::spawn(move || {
        for stream in connections {
            thread::spawn(move || serve(stream));
        }
    });
    addr
}

fn serve(mut stream: TcpStream) {
    let mut input = BufReader::new(stream.try_clone().unwrap());
    for framing in [Framing::Length, Framing::Chunked].into_iter().cycle() {
        let (mut line, mut head) = (String::new(), String::new());
        while line != "\r\n" {
            line.clear();
            if !matches!(input.read_line(&mut line), Ok(1..)) {
                return;
            }
            head.push_str(&line);
        }
        let written = if head.contains(&format!("-txn: {AFTER_CROWD}\r\n")) {
            stream.write_all(ok_response("").as_bytes())
        } else if !head.starts_with("GET") {
            break;
        } else if head.contains("-txn: short-") {
            write_response(&mut stream, framing, &[b'y'; SHORT_RESPONSE])
        } else {
            write_response(&mut stream, Framing::Chunked, &vec![b'y'; LONG_RESPONSE])
        };
        if written.is_err() {
            return;
        }
    }
    thread::sleep(SERVER_HOLD_TIME);
}
