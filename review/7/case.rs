//! A request that servers run once for each key within a window is reset at its first server after half of the window, and
//! the connection for its repeat comes up a second late. The repeat must not be sent after the window.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::processes::{free_addr, free_listener, Node};
use crate::record::Record;
use crate::stand_ins::{endpoint_list, start_discovery};
use crate::{http, Setup, Verdict};

/// How long servers know a request by its key, from the send of its first attempt.
const WINDOW: Duration = Duration::from_secs(1);
/// The slack of the rules on sockets.
const SLACK: Duration = Duration::from_millis(50);
/// When the first server resets the connection, after it has begun the request.
const RESET_AFTER: Duration = Duration::from_millis(500);
/// How long the servers take no new connections from then on. A connection that is tried meanwhile comes up about 1 s
/// after its first try, when the system tries again.
const CLOSED: Duration = Duration::from_millis(700);
/// Longer than a connection may stay idle at a server (5 s): the request and its repeat need new ones.
const REST: Duration = Duration::from_secs(6);
const ROUNDS: usize = 5;
const SERVERS: usize = 4;

extern "C" {
    fn listen(socket: i32, backlog: i32) -> i32;
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const Linger, length: u32) -> i32;
}

/// The value of the socket option `SO_LINGER`.
#[repr(C)]
struct Linger {
    on: i32,
    seconds: i32,
}

/// A request that has arrived at a server.
#[derive(Clone)]
struct Arrival {
    at: Duration,
    server: usize,
    txn: String,
}

/// What the servers share.
struct Servers {
    record: Record,
    trouble: bool,
    arrivals: Mutex<Vec<Arrival>>,
    listeners: Vec<TcpListener>,
    /// Whether the servers take new connections.
    open: AtomicBool,
}

impl Servers {
    fn start(record: &Record, trouble: bool) -> Arc<Servers> {
        let listeners: Vec<TcpListener> = (0..SERVERS).map(|_| free_listener()).collect();
        let servers = Arc::new(Servers {
            record: record.clone(),
            trouble,
            arrivals: Mutex::default(),
            listeners,
            open: AtomicBool::new(true),
        });
        for number in 0..SERVERS {
            let servers = servers.clone();
            thread::spawn(move || servers.accept(number));
        }
        servers
    }

    fn addr(&self, number: usize) -> SocketAddr {
        self.listeners[number].local_addr().expect("an address")
    }

    fn accept(self: Arc<Self>, number: usize) {
        let listener = &self.listeners[number];
        listener.set_nonblocking(true).expect("a socket");
        loop {
            match listener.accept() {
                Ok((stream, _)) => {
                    let servers = self.clone();
                    thread::spawn(move || servers.serve(number, stream));
                }
                Err(_) => thread::sleep(Duration::from_millis(1)),
            }
            while !self.open.load(Ordering::SeqCst) {
                thread::sleep(Duration::from_millis(1));
            }
        }
    }

    fn serve(self: Arc<Self>, number: usize, stream: TcpStream) {
        let _ = stream.set_nonblocking(false);
        let _ = stream.set_nodelay(true);
        let Ok(clone) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(clone);
        while let Ok(request) = http::read(&mut reader, false) {
            let txn = request.header("x-txn").unwrap_or("").to_owned();
            if request.first_line.starts_with("POST") {
                let arrival = Arrival {
                    at: self.record.elapsed(),
                    server: number,
                    txn: txn.clone(),
                };
                self.record.say(format!("{txn} runs at server {number}"));
                let is_first = {
                    let mut arrivals = self.arrivals.lock().unwrap();
                    arrivals.push(arrival);
                    arrivals.iter().filter(|arrival| arrival.txn == txn).count() == 1
                };
                if is_first && self.trouble {
                    thread::sleep(RESET_AFTER);
                    self.take_no_connections();
                    self.record
                        .say(format!("server {number} resets the connection under {txn}"));
                    reset_on_close(&stream);
                    return;
                }
            }
            let body = format!("{txn} served by {number}\n");
            let answer = format!(
                "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if (&stream).write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Lets the queues of new connections run full, and empties them after some time.
    fn take_no_connections(self: &Arc<Self>) {
        self.open.store(false, Ordering::SeqCst);
        thread::sleep(Duration::from_millis(10));
        let mut fillers = Vec::new();
        for number in 0..SERVERS {
            // SAFETY: `listen` takes two integers; the descriptor belongs to a listener that lives on.
            unsafe { listen(self.listeners[number].as_raw_fd(), 0) };
            while let Ok(filler) =
                TcpStream::connect_timeout(&self.addr(number), Duration::from_millis(20))
            {
                fillers.push(filler);
            }
        }
        let servers = self.clone();
        thread::spawn(move || {
            thread::sleep(CLOSED);
            drop(fillers);
            for listener in &servers.listeners {
                // SAFETY: as above.
                unsafe { listen(listener.as_raw_fd(), 128) };
            }
            servers.open.store(true, Ordering::SeqCst);
        });
    }
}

/// Has the connection reset when it is closed.
fn reset_on_close(stream: &TcpStream) {
    let linger = Linger { on: 1, seconds: 0 };
    let length = std::mem::size_of::<Linger>() as u32;
    // SAFETY: the pointer and the length are those of a valid value. SOL_SOCKET is 1, SO_LINGER is 13.
    unsafe { setsockopt(stream.as_raw_fd(), 1, 13, &linger, length) };
}

fn config(discovery: SocketAddr, list: &str, listen: SocketAddr) -> String {
    format!(
        r#"{{"name":"n1","listen":"{listen}","discovery":"{discovery}","seed":"8c1f30d27a5be964",
        "limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"known":{list},
        "settings":{{"group-size":1,"me":0,"registry-mode":"push","weight-source":"rough","worth-by":"work",
          "classes":[
            {{"name":"balance","aim":500000,"deadline":2000000,"points":1.0,"semantics":"safe","late-share":0.25}},
            {{"name":"redeem","aim":1200000,"deadline":3000000,"points":3.0,"semantics":"keyed","late-share":0.5,
              "key-scope":"all","key-ttl":{}}}],
          "tenants":[],
          "bounds":{{"cancelling":true,"dial-timeout":1500000,"keepalive":5000000,"max-attempts":6,
            "max-retry-after":2000000,"max-streams":1,"may-probe":true,"open-cap":20000,"peer-messages":false,
            "retry-after":true,"second-copies":true}},
          "rules":{{"answer-slack":20000,"ask-within":10000000,"fall-multiple":3.0,"overload-for":3000000,
            "ramp-time":23000000,"start-capacity":0.13,"stop-sending-within":750000}}}}}}"#,
        WINDOW.as_micros()
    )
}

pub fn run(setup: &Setup) -> Verdict {
    let record = &setup.record;
    let servers = Servers::start(record, setup.trouble);
    let ids: Vec<(String, SocketAddr)> = (0..SERVERS)
        .map(|number| (format!("s-{number}"), servers.addr(number)))
        .collect();
    let list = endpoint_list(&ids);
    let discovery = start_discovery(list.clone());
    let listen = free_addr();
    let node = Node::start(
        &setup.folder,
        &config(discovery, &list, listen),
        listen,
        record,
    )?;
    let mut answered = 0;
    for round in 0..ROUNDS {
        // Most of the node's connections come up at once.
        for key in 0..12 {
            send(
                &node,
                &format!("look-{round}-{key}"),
                "GET",
                "balance",
                2000,
                record,
            );
        }
        thread::sleep(REST);
        let txn = format!("redeem-{:08x}-{round}", std::process::id());
        answered += u32::from(send(&node, &txn, "POST", "redeem", 2400, record) == 200);
    }
    thread::sleep(Duration::from_secs(1));
    let arrivals = servers.arrivals.lock().unwrap().clone();
    let mut late = 0;
    for (index, arrival) in arrivals.iter().enumerate() {
        let first = arrivals[..index]
            .iter()
            .find(|first| first.txn == arrival.txn);
        let Some(first) = first else { continue };
        let after = arrival.at - first.at;
        late += u32::from(after > WINDOW + SLACK);
        record.say(format!(
            "{} was sent to server {} again, {:.3} s after the first time",
            arrival.txn,
            arrival.server,
            after.as_secs_f64()
        ));
    }
    record.say(format!(
        "{answered} of {ROUNDS} requests served; {late} sent again after the window of {WINDOW:?}"
    ));
    if arrivals.is_empty() {
        return Err("no request reached a server".into());
    }
    Ok(late == 0)
}

fn send(
    node: &Node,
    txn: &str,
    method: &str,
    class: &str,
    remaining_ms: u32,
    record: &Record,
) -> u16 {
    record.line(format!("sent {txn}"));
    let sent = Instant::now();
    let exchange = || -> std::io::Result<u16> {
        let stream = TcpStream::connect(node.clients)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_millis(u64::from(remaining_ms))))?;
        let head = format!(
            "{method} /api?key={txn} HTTP/1.1\r\nHost: service.internal\r\nX-Txn: {txn}\r\nX-Lane: {class}\r\n\
             Idempotency-Key: {txn}\r\nX-Remaining-Ms: {remaining_ms}\r\nX-Estimate: 12000\r\nContent-Length: 0\r\n\r\n"
        );
        (&stream).write_all(head.as_bytes())?;
        Ok(http::read(&mut BufReader::new(stream), true)?.status())
    };
    let status = exchange().unwrap_or(0);
    let took = sent.elapsed().as_secs_f64();
    record.line(format!("answered {txn} {status} after {took:.3} s"));
    status
}
