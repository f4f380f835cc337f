//! The memory of a process with the least limits of the platform, beside hundreds of clients that send or read slowly.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use socket2::{Domain, SockAddr, Socket, Type};

use super::*;

/// The least memory limit that the platform sets, in megabytes.
pub(super) const MEMORY_LIMIT_MB: u64 = 32;
/// Descriptors of the process, the most that the platform allows.
pub(super) const SOCKETS: u64 = 1_024;
/// Clients that are connected at once.
const CLIENTS: usize = 600;
/// Servers of the node.
const SERVERS: usize = 6;
/// How long the clients go on: the node ends clients that send no complete request 2.5 s after they have connected.
const CROWD_TIME: Duration = Duration::from_secs(5);
/// Interval between two rounds in which each client writes and reads a little.
const ROUND: Duration = Duration::from_millis(4);
/// Receive buffer of a client that reads slowly, in bytes.
const SMALL_RECEIVE_BUFFER: usize = 4_096;

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
}

pub(super) const KINDS: [CrowdClient; 6] = [
    CrowdClient::SmallPieces,
    CrowdClient::OneByteChunks,
    CrowdClient::HalfOfLongBody,
    CrowdClient::ManyFields,
    CrowdClient::EndlessHead,
    CrowdClient::SlowReader,
];

impl CrowdClient {
    /// What the client writes at once.
    fn beginning(self, id: &str) -> Vec<u8> {
        let with_lines = |lines: &str| post("pay", id, 60_000, lines);
        match self {
            CrowdClient::SmallPieces => with_lines("Content-Length: 60000\r\n"),
            CrowdClient::OneByteChunks => {
                let chunks = b"1\r\nx\r\n".repeat(12_000);
                [with_lines("Transfer-Encoding: chunked\r\n"), chunks].concat()
            }
            CrowdClient::HalfOfLongBody => {
                let half = vec![b'x'; 500_000];
                [with_lines("Content-Length: 1000000\r\n"), half].concat()
            }
            CrowdClient::ManyFields => {
                let fields: String = (0..56).map(|n| format!("a{n}: b\r\n")).collect();
                let head = with_lines(&format!("Content-Length: 100000\r\n{fields}"));
                [head, b"xxxxx".to_vec()].concat()
            }
            CrowdClient::EndlessHead => {
                let head = with_lines("");
                let filler = vec![b'b'; 15_000];
                [&head[..head.len() - 2], b"a: ", &filler].concat()
            }
            CrowdClient::SlowReader => request("look", id, 60_000),
        }
    }

    /// What the client writes in each round after that.
    fn piece(self) -> &'static [u8] {
        match self {
            CrowdClient::SmallPieces => &[b'x'; 20],
            _ => b"",
        }
    }
}

/// Opens a connection with a small receive buffer that doesn't block.
fn connect_nonblocking(addr: SocketAddr) -> TcpStream {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(SMALL_RECEIVE_BUFFER).unwrap();
    socket.set_tcp_nodelay(true).unwrap();
    socket.connect(&SockAddr::from(addr)).unwrap();
    socket.set_nonblocking(true).unwrap();
    TcpStream::from(socket)
}

/// A client of the crowd and what it has still to write.
struct Member {
    kind: CrowdClient,
    stream: TcpStream,
    unwritten: Vec<u8>,
}

impl Member {
    fn new(addr: SocketAddr, kind: CrowdClient, number: usize) -> Member {
        Member {
            kind,
            stream: connect_nonblocking(addr),
            unwritten: kind.beginning(&format!("crowd-{number}")),
        }
    }

    /// Writes what the connection takes now.
    fn write_more(&mut self) {
        if self.unwritten.is_empty() {
            self.unwritten.extend_from_slice(self.kind.piece());
        }
        if let Ok(written) = self.stream.write(&self.unwritten) {
            self.unwritten.drain(..written);
        }
    }
}

/// Keeps a crowd of these kinds connected for [`CROWD_TIME`].
pub(super) fn run_crowd(addr: SocketAddr, kinds: &[CrowdClient]) {
    let start = Instant::now();
    let kinds = kinds.iter().cycle().take(CLIENTS).enumerate();
    let mut members: Vec<Member> = kinds
        .map(|(number, &kind)| Member::new(addr, kind, number))
        .collect();
    while start.elapsed() < CROWD_TIME {
        members.iter_mut().for_each(Member::write_more);
        thread::sleep(ROUND);
    }
}

/// Watches the memory of a process. Peaks are those of the memory that the process has written; the pages of the
/// program's file, which a build for tests has many more of, are left out.
pub(super) struct MemoryWatch {
    stop: Arc<AtomicBool>,
    peak_kb: Arc<AtomicU64>,
    watcher: Option<thread::JoinHandle<()>>,
}

impl MemoryWatch {
    pub(super) fn start(pid: u32) -> MemoryWatch {
        let (stop, peak_kb) = (
            Arc::new(AtomicBool::new(false)),
            Arc::new(AtomicU64::new(0)),
        );
        let (stop_requested, peak) = (stop.clone(), peak_kb.clone());
        let watcher = thread::spawn(move || {
            while !stop_requested.load(Ordering::Relaxed) {
                peak.fetch_max(anonymous_memory_kb(pid), Ordering::Relaxed);
                thread::sleep(Duration::from_millis(5));
            }
        });
        MemoryWatch {
            stop,
            peak_kb,
            watcher: Some(watcher),
        }
    }

    pub(super) fn peak_kb(mut self) -> u64 {
        self.stop.store(true, Ordering::Relaxed);
        self.watcher.take().unwrap().join().unwrap();
        self.peak_kb.load(Ordering::Relaxed)
    }
}

fn anonymous_memory_kb(pid: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix("RssAnon:"));
    line.and_then(|l| l.trim().trim_end_matches(" kB").parse().ok())
        .unwrap_or(0)
}

/// Length of a response, far more than the systems of both sides keep for a connection that nobody reads.
const LONG_RESPONSE: usize = 16 << 20;
/// Id of the request that is sent after the crowd.
const AFTER_CROWD: &str = "after";

/// Starts a server that writes long responses to idempotent requests as fast as they are taken, and that reads no further
/// than the head of any other request. Returns its address.
fn start_server() -> SocketAddr {
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
    let (mut line, mut head) = (String::new(), String::new());
    while line != "\r\n" {
        line.clear();
        if !matches!(input.read_line(&mut line), Ok(1..)) {
            return;
        }
        head.push_str(&line);
    }
    if head.contains(&format!("-txn: {AFTER_CROWD}\r\n")) {
        let _ = stream.write_all(ok_response("").as_bytes());
    } else if head.starts_with("GET") {
        let _ = write_response(&mut stream, Framing::Chunked, &vec![b'y'; LONG_RESPONSE]);
    }
    thread::sleep(CROWD_TIME);
}

/// Asserts that a crowd of these kinds keeps the node within its memory limit and leaves it able to serve.
fn assert_within_limit(kinds: &[CrowdClient]) {
    let limits = json!({"sockets": SOCKETS, "memory_mb": MEMORY_LIMIT_MB});
    let servers: Vec<_> = (0..SERVERS)
        .map(|n| member_at(&format!("s-{n}"), start_server()))
        .collect();
    let mut fixture = NodeFixture::configured(0, &[], |config| {
        config["limits"] = limits;
        config["known"]["members"] = json!(servers);
    });
    let watch = MemoryWatch::start(fixture.node.id());
    run_crowd(fixture.addr, kinds);
    let peak_kb = watch.peak_kb();
    println!("{kinds:?}: {peak_kb} kB");
    assert!(
        peak_kb <= MEMORY_LIMIT_MB * 1024,
        "{kinds:?}: {peak_kb} kB of {MEMORY_LIMIT_MB} MB"
    );
    assert!(fixture.node.try_wait().unwrap().is_none(), "{kinds:?}");
    wait_until("the node serves after the crowd", || {
        fixture.request("look", AFTER_CROWD).status() == 200
    });
}

// Guards against a piece of a body that keeps the whole buffer in which it was read: 60 kB in small pieces took 500 MB.
#[test]
fn clients_that_write_slowly_in_small_pieces_stay_within_the_memory_limit() {
    assert_within_limit(&[CrowdClient::SmallPieces]);
}

// Guards against an entry in memory for each chunk of a body: chunks of one byte took fifty times their length.
#[test]
fn clients_that_send_chunks_of_one_byte_stay_within_the_memory_limit() {
    assert_within_limit(&[CrowdClient::OneByteChunks]);
}

// Guards against queues of read buffers for clients that read slowly.
#[test]
fn clients_that_read_long_responses_slowly_stay_within_the_memory_limit() {
    assert_within_limit(&[CrowdClient::SlowReader]);
}

// Guards against memory for half-sent requests and long heads that is counted nowhere.
#[test]
fn clients_that_stop_in_the_middle_of_a_request_stay_within_the_memory_limit() {
    for kind in [
        CrowdClient::HalfOfLongBody,
        CrowdClient::ManyFields,
        CrowdClient::EndlessHead,
    ] {
        assert_within_limit(&[kind]);
    }
}

// Guards against limits that hold for each kind of client alone and not for all kinds together.
#[test]
fn a_crowd_of_all_kinds_stays_within_the_memory_limit() {
    assert_within_limit(&KINDS);
}
