//! Stand-ins for servers, discovery and clients.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::processes::free_listener;
use crate::record::Record;

/// A request whose id begins with this gets a long answer.
pub const LONG_PREFIX: &str = "long-";
/// Length of a long answer.
pub const LONG_ANSWER_BYTES: usize = 16 << 20;

/// A request that a server has received.
#[derive(Clone)]
pub struct Run {
    pub at: Duration,
    pub txn: String,
}

/// A server that answers each request after a short time of work.
pub struct Server {
    pub id: String,
    pub addr: SocketAddr,
    runs: Arc<Mutex<Vec<Run>>>,
}

impl Server {
    pub fn start(id: &str, work: Duration, record: &Record) -> Server {
        let listener = free_listener();
        let addr = listener.local_addr().expect("an address");
        let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
        let server = Server {
            id: id.to_owned(),
            addr,
            runs: runs.clone(),
        };
        let (id, record) = (id.to_owned(), record.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (id, record, runs) = (id.clone(), record.clone(), runs.clone());
                thread::spawn(move || serve(stream, &id, work, &record, &runs));
            }
        });
        server
    }

    /// Starts the servers `s-1` to `s-4`.
    pub fn start_four(record: &Record) -> Vec<Server> {
        (1..=4)
            .map(|number| Server::start(&format!("s-{number}"), Duration::from_millis(10), record))
            .collect()
    }

    /// The requests received so far.
    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().unwrap().clone()
    }
}

fn serve(stream: TcpStream, id: &str, work: Duration, record: &Record, runs: &Mutex<Vec<Run>>) {
    let _ = stream.set_nodelay(true);
    let Ok(clone) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(clone);
    while let Ok(request) = http::read(&mut reader, false) {
        let body = match (request.target().split('?').next(), request.header("x-txn")) {
            (Some("/-/healthy"), _) => "ok\n".to_owned(),
            (Some("/api"), Some(txn)) => {
                let run = Run {
                    at: record.elapsed(),
                    txn: txn.to_owned(),
                };
                record.line(format!("run {txn} at {id}"));
                runs.lock().unwrap().push(run);
                thread::sleep(work);
                let mut body = format!("{txn} served by {id}\n");
                if txn.starts_with(LONG_PREFIX) {
                    body.push_str(&".".repeat(LONG_ANSWER_BYTES - body.len()));
                }
                body
            }
            _ => {
                let _ = (&stream).write_all(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
                continue;
            }
        };
        let answer = format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        if (&stream).write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}

/// The text of a list of servers in service, by their ids and addresses, as discovery writes it.
pub fn endpoint_list(servers: &[(String, SocketAddr)]) -> String {
    let member = |(id, addr): &(String, SocketAddr)| {
        format!(
            r#"{{"id":"{id}","host_port":"{addr}","locality":"bilbao","flavor":"standard","cell":0,"phase":"in_service","size":1.0,"up_since_ms":0}}"#
        )
    };
    let members: Vec<String> = servers.iter().map(member).collect();
    format!(
        r#"{{"revision":1,"complete":true,"members":[{}]}}"#,
        members.join(",")
    )
}

/// The list of these servers and the address of a discovery that tells it.
pub fn list_and_discovery(servers: &[Server]) -> (String, SocketAddr) {
    let ids: Vec<(String, SocketAddr)> = servers
        .iter()
        .map(|server| (server.id.clone(), server.addr))
        .collect();
    let list = endpoint_list(&ids);
    (list.clone(), start_discovery(list))
}

/// Discovery with a list that never changes: each watch gets the whole list and then an empty line every 2 s.
pub fn start_discovery(list: String) -> SocketAddr {
    let listener = free_listener();
    let addr = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let list = list.clone();
            thread::spawn(move || tell(stream, &list));
        }
    });
    addr
}

fn tell(stream: TcpStream, list: &str) {
    let _ = stream.set_nodelay(true);
    let Ok(clone) = stream.try_clone() else {
        return;
    };
    let Ok(request) = http::read(&mut BufReader::new(clone), false) else {
        return;
    };
    if !request.target().contains("stream=1") {
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", list.len());
        let _ = (&stream).write_all(format!("{head}{list}").as_bytes());
        return;
    }
    let mut text = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_owned();
    text.push_str(&format!("{:x}\r\n{list}\n\r\n", list.len() + 1));
    loop {
        if (&stream).write_all(text.as_bytes()).is_err() {
            return;
        }
        thread::sleep(Duration::from_secs(2));
        text = "1\r\n\n\r\n".to_owned();
    }
}

/// Clients that send `balance` requests at a steady rate, each on a connection of its own and with a key of its own.
pub struct Clients {
    stopped: Arc<AtomicBool>,
    thread: Option<thread::JoinHandle<()>>,
    served: Arc<AtomicU64>,
}

impl Clients {
    pub fn start(node: SocketAddr, interval: Duration, record: &Record) -> Clients {
        let stopped = Arc::new(AtomicBool::new(false));
        let served = Arc::new(AtomicU64::new(0));
        let (flag, count, record) = (stopped.clone(), served.clone(), record.clone());
        let thread = thread::spawn(move || {
            let start = Instant::now();
            let mut number = 0u32;
            while !flag.load(Ordering::Relaxed) {
                number += 1;
                let (record, count) = (record.clone(), count.clone());
                thread::spawn(move || {
                    let status = send_balance(node, number, &record);
                    count.fetch_add(u64::from(status == 200), Ordering::Relaxed);
                });
                let next = start + interval * number;
                thread::sleep(next.saturating_duration_since(Instant::now()));
            }
        });
        Clients {
            stopped,
            thread: Some(thread),
            served,
        }
    }

    /// Stops sending, and returns how many requests were served.
    pub fn stop(mut self) -> u64 {
        self.stopped.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
        thread::sleep(Duration::from_millis(500));
        self.served.load(Ordering::Relaxed)
    }
}

/// Sends one request and returns the status of its answer; 0 without one.
fn send_balance(node: SocketAddr, number: u32, record: &Record) -> u16 {
    let txn = format!("{:08x}-{number}", std::process::id());
    record.line(format!("sent {txn}"));
    let limit = Duration::from_secs(2);
    let exchange = || -> std::io::Result<u16> {
        let stream = TcpStream::connect_timeout(&node, limit)?;
        stream.set_read_timeout(Some(limit))?;
        stream.set_nodelay(true)?;
        let key = number.wrapping_mul(2_654_435_761);
        let head = format!(
            "GET /api?key={key:08x} HTTP/1.1\r\nHost: service.internal\r\nX-Txn: {txn}\r\nX-Lane: balance\r\n\
             X-Remaining-Ms: 2000\r\nX-Estimate: 12000\r\n\r\n"
        );
        (&stream).write_all(head.as_bytes())?;
        Ok(http::read(&mut BufReader::new(stream), true)?.status())
    };
    let status = exchange().unwrap_or(0);
    record.line(format!("answered {txn} {status}"));
    status
}
