//! A node under its agent is told to end (SIGTERM), as at a planned restart, while one client still reads a long answer.
//! New connections keep coming for 0.2 s. Each request on them needs an answer, or a refused connection.

use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::mpsc::{channel, Sender};
use std::thread;
use std::time::{Duration, Instant};

use crate::agents::{node_config, Agent};
use crate::http;
use crate::processes::{signal, wait_until, SIGTERM};
use crate::record::Record;
use crate::stand_ins::{list_and_discovery, Clients, Server, LONG_ANSWER_BYTES, LONG_PREFIX};
use crate::{Setup, Verdict};

/// For this long after SIGTERM the front sends new connections.
const FRONT: Duration = Duration::from_millis(200);
/// Requests on new connections in that time.
const REQUESTS: u32 = 10;
/// What such a request tells in X-Remaining-Ms: half of the time of its class.
const REMAINING: Duration = Duration::from_millis(1_000);
/// An answer this much later is not lost.
const GRACE: Duration = Duration::from_millis(500);
/// How much of the long answer is read each second.
const READ_BYTES: usize = 96 * 1024;

/// How a request ended.
#[derive(Debug, PartialEq)]
enum End {
    /// An answer came, with this status.
    Answered(u16),
    /// The connection was refused.
    Refused,
    /// The connection was closed without an answer. Whether the request was read can't be seen.
    Closed,
    /// Nothing came within the request's time and half a second more.
    Lost,
}

pub fn run(setup: &Setup) -> Verdict {
    let record = &setup.record;
    let servers = Server::start_four(record);
    let (list, discovery) = list_and_discovery(&servers);
    let mut agent = Agent::new("m0", &setup.folder, record);
    agent.configure(&[agent.listen], &[], Some(&node_config(discovery, &list)));
    agent.start();
    wait_until("the node serves", Duration::from_secs(15), || {
        agent.node_serves()
    })?;
    let clients = Clients::start(agent.node_clients, Duration::from_millis(20), record);
    thread::sleep(Duration::from_secs(2));
    let (node_clients, long_record) = (agent.node_clients, record.clone());
    thread::spawn(move || read_slowly(node_clients, &long_record));
    thread::sleep(Duration::from_secs(1));
    let served = clients.stop();
    record.say(format!("{served} requests served before"));

    let node = agent
        .node_pid()
        .ok_or("the agent wrote no process of its node")?;
    if setup.trouble {
        record.say(format!("SIGTERM to the node, process {node}"));
        signal(node, SIGTERM);
    }
    let (ends, ended) = channel();
    for number in 0..REQUESTS {
        thread::sleep(FRONT / (REQUESTS + 1));
        let (ends, record): (Sender<End>, Record) = (ends.clone(), record.clone());
        thread::spawn(move || {
            let txn = format!("new-{:08x}-{number}", std::process::id());
            record.line(format!("sent {txn}"));
            let end = send(node_clients, &txn);
            record.say(format!("{txn}: {end:?}"));
            let _ = ends.send(end);
        });
    }
    drop(ends);
    let ends: Vec<End> = ended.iter().collect();
    let lost = ends.iter().filter(|end| **end == End::Lost).count();
    record.say(format!("{lost} of {} requests lost", ends.len()));
    let restarted = Instant::now();
    let again = wait_until("the node serves again", Duration::from_secs(30), || {
        agent.node_serves()
    });
    record.say(format!(
        "served again: {again:?}, {:.1} s later",
        restarted.elapsed().as_secs_f64()
    ));
    if served == 0 {
        return Err("no request was served".into());
    }
    Ok(lost == 0)
}

/// Sends a request on a new connection, which stays open until the answer, or until the time is over in which one counts.
fn send(node: SocketAddr, txn: &str) -> End {
    let sent = Instant::now();
    let Ok(stream) = TcpStream::connect_timeout(&node, REMAINING) else {
        return End::Refused;
    };
    let limit = REMAINING + GRACE;
    let head = format!(
        "GET /api?key={txn} HTTP/1.1\r\nHost: service.internal\r\nX-Txn: {txn}\r\nX-Lane: balance\r\nX-Remaining-Ms: {}\r\n\
         X-Estimate: 12000\r\n\r\n",
        REMAINING.as_millis()
    );
    let exchange = || -> std::io::Result<u16> {
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(limit))?;
        (&stream).write_all(head.as_bytes())?;
        Ok(http::read(&mut BufReader::new(stream.try_clone()?), true)?.status())
    };
    match exchange() {
        Ok(status) => End::Answered(status),
        Err(_) if sent.elapsed() >= limit => End::Lost,
        Err(_) => End::Closed,
    }
}

/// Asks for a long answer and reads it slowly, but faster than 64 kB a second.
fn read_slowly(node: SocketAddr, record: &Record) {
    let txn = format!("{LONG_PREFIX}{:08x}", std::process::id());
    record.say(format!(
        "sent {txn}, whose answer of {LONG_ANSWER_BYTES} bytes is read slowly"
    ));
    let read = || -> std::io::Result<usize> {
        let mut stream = TcpStream::connect(node)?;
        let head = format!(
            "GET /api?key={txn} HTTP/1.1\r\nHost: service.internal\r\nX-Txn: {txn}\r\nX-Lane: balance\r\n\
             X-Remaining-Ms: 2000\r\nX-Estimate: 12000\r\n\r\n"
        );
        stream.write_all(head.as_bytes())?;
        let mut buffer = vec![0; READ_BYTES / 10];
        let mut total = 0;
        loop {
            let length = stream.read(&mut buffer)?;
            if length == 0 {
                return Ok(total);
            }
            total += length;
            thread::sleep(Duration::from_millis(100));
        }
    };
    record.say(format!("the long answer ended: {:?} bytes", read()));
}
