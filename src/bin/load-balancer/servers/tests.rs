//! Connections to servers, attempts and what the list does to both.

use std::io::Read;

use super::*;
use crate::client_liveness::ClientLiveness;
use crate::discovery::endpoint_list::EndpointEntry;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::task::{spawn_local, LocalSet};

fn servers(sockets: usize) -> Rc<Servers> {
    let settings = NodeSettings {
        connect_timeout: Duration::from_secs(20),
        keepalive: Duration::from_secs(600),
        drain_grace: Duration::from_millis(500),
        max_open_requests: 10,
        load_report_fields: vec!["queue".into(), "util".into()],
    };
    Servers::new(
        settings,
        (Budget::new(sockets), Budget::new(1)),
        BodyMemory::new(1 << 20),
        Metrics::new(&[]),
    )
}

fn list(addr: SocketAddr, state: ServerState, complete: bool) -> EndpointList {
    let (id, zone, kind) = ("s-1".into(), "a".into(), "m1".into());
    let entry = EndpointEntry {
        id,
        address: addr,
        zone,
        kind,
        cell: 0,
        state,
        weight: 1.0,
        started_at_ms: 0,
    };
    EndpointList {
        complete,
        entries: vec![entry],
        ..EndpointList::default()
    }
}

fn call() -> UpstreamRequest {
    let (headers, body) = (HeaderMap::new(), Payload::Buffered(BufferedBody::from("")));
    UpstreamRequest {
        method: Method::POST,
        target: Uri::from_static("/api"),
        headers,
        body,
        client: Client::node(),
    }
}

/// A server that answers each request with its name, and none that asks for `/slow` or if the name
/// is empty.
async fn named(name: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    spawn_local(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            spawn_local(async move {
                let mut buffer = [0; 4096];
                while stream.read(&mut buffer).await.is_ok_and(|n| n > 0) {
                    let length = name.len();
                    let reply =
                        format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{name}");
                    let answers = !name.is_empty() && !buffer.starts_with(b"POST /slow");
                    if answers && stream.write_all(reply.as_bytes()).await.is_err() {
                        return;
                    }
                }
            });
        }
    });
    addr
}

fn soon() -> Option<Instant> {
    Some(Instant::now() + Duration::from_secs(20))
}

/// The whole body of an answer.
fn text(result: UpstreamResult) -> String {
    match result.response.expect("a response").body {
        ResponseBody::Buffered(kept) => String::from_utf8(kept.bytes.to_vec()).unwrap(),
        ResponseBody::Streamed(_) => panic!("not whole"),
    }
}

// A server that left the list and came back elsewhere must not be served by a connection from
// before, which leads to another process.
#[tokio::test]
async fn connections_from_before_a_return_are_not_used() {
    let run = async {
        let servers = servers(8);
        let (old, new) = (named("old").await, named("new").await);
        let (_, members) = servers.apply(&list(old, ServerState::InService, true), false);
        let server = members[0].server;
        assert_eq!(text(servers.attempt(server, &call(), soon()).await), "old");
        tokio::time::sleep(REST).await;
        let link = servers.idle_link(server).expect("kept");
        servers.apply(&list(old, ServerState::Removed, false), false);
        assert_eq!(
            servers.attempt(server, &call(), soon()).await.outcome,
            Outcome::ConnectFailed
        );
        servers.apply(&list(new, ServerState::InService, false), false);
        servers.keep(server, link);
        assert_eq!(text(servers.attempt(server, &call(), soon()).await), "new");
    };
    LocalSet::new().run_until(run).await;
}

// A second answer that is still on its way would be taken for that of the next request.
#[tokio::test]
async fn a_connection_rests_after_its_answer() {
    let run = async {
        let servers = servers(8);
        let addr = named("x").await;
        let server = servers
            .apply(&list(addr, ServerState::InService, true), false)
            .1[0]
            .server;
        let (_, epoch) = servers.address(server).unwrap();
        let link = servers
            .dial(addr, epoch, Budget::new(1).take().unwrap())
            .await
            .unwrap();
        tokio::time::pause();
        servers.keep(server, link);
        assert!(servers.idle_link(server).is_none(), "just answered");
        tokio::time::advance(REST).await;
        let (link, again) = (servers.idle_link(server), servers.idle_link(server));
        assert!(link.is_some() && again.is_none(), "rested");
    };
    LocalSet::new().run_until(run).await;
}

// A machine that vanished is silent on open connections: after a time-out the idle ones must go.
#[tokio::test]
async fn a_timeout_closes_idle_connections() {
    let run = async {
        let servers = servers(8);
        let addr = named("").await;
        let server = servers
            .apply(&list(addr, ServerState::InService, true), false)
            .1[0]
            .server;
        let (_, epoch) = servers.address(server).unwrap();
        for _ in 0..2 {
            let link = servers
                .dial(addr, epoch, Budget::new(1).take().unwrap())
                .await
                .unwrap();
            servers.keep(server, link);
        }
        let until = Some(Instant::now() + Duration::from_millis(50));
        assert_eq!(
            servers.attempt(server, &call(), until).await.outcome,
            Outcome::Timeout
        );
        assert!(servers.idle_link(server).is_none());
    };
    LocalSet::new().run_until(run).await;
}

// New connections cost a server work: one that answers others meanwhile is slow, not gone.
#[tokio::test]
async fn a_timeout_keeps_the_connections_of_a_server_that_answers_others() {
    let run = async {
        let servers = servers(8);
        let addr = named("x").await;
        let server = servers
            .apply(&list(addr, ServerState::InService, true), false)
            .1[0]
            .server;
        let slow = UpstreamRequest {
            target: Uri::from_static("/slow"),
            ..call()
        };
        let (call, until) = (call(), Some(Instant::now() + Duration::from_millis(200)));
        let (slow, quick) = tokio::join!(
            servers.attempt(server, &slow, until),
            servers.attempt(server, &call, soon())
        );
        assert_eq!(
            (slow.outcome, quick.outcome),
            (Outcome::Timeout, Outcome::Ok)
        );
        assert!(servers.idle_link(server).is_some());
    };
    LocalSet::new().run_until(run).await;
}

// A request whose last byte was not written has not run: even an unsafe one goes out again.
#[tokio::test]
async fn a_request_that_cannot_be_written_was_not_sent() {
    let run = async {
        let servers = servers(8);
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let mut link = servers
            .dial(addr, 0, Budget::new(1).take().unwrap())
            .await
            .unwrap();
        // Reset before the connection's task has had a turn to notice it.
        let (stream, _) = listener.accept().unwrap();
        stream.set_nonblocking(true).unwrap();
        let stream = TcpStream::from_std(stream).unwrap();
        stream.set_zero_linger().unwrap();
        drop(stream);
        let exchange = exchange(&mut link, &call(), addr, soon(), &servers.memory).await;
        assert!(matches!(exchange, Exchange::Unsent));
    };
    LocalSet::new().run_until(run).await;
}

// What is written to a connection that its server has closed is lost, and an unsafe request with it:
// a close that has come must be read first, even if nothing has run since.
#[tokio::test]
async fn a_close_that_has_not_been_read_yet_is_heeded() {
    use std::io::{Read, Write};
    let run = async {
        let servers = servers(8);
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let (closed, told) = std::sync::mpsc::channel();
        std::thread::spawn(move || {
            for stream in listener.incoming().take(2) {
                let mut stream = stream.unwrap();
                let _ = stream.read(&mut [0; 4096]);
                stream
                    .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx")
                    .unwrap();
                std::thread::sleep(Duration::from_millis(50));
                drop(stream);
                closed.send(()).unwrap();
            }
        });
        let server = servers
            .apply(&list(addr, ServerState::InService, true), false)
            .1[0]
            .server;
        assert_eq!(
            servers.attempt(server, &call(), soon()).await.outcome,
            Outcome::Ok
        );
        // Blocks the runtime, so that the close is there and unread.
        told.recv().unwrap();
        assert_eq!(
            servers.attempt(server, &call(), soon()).await.outcome,
            Outcome::Ok
        );
    };
    LocalSet::new().run_until(run).await;
}

// Rule 3: what waited for its connection must not be written once the server drains for long.
#[tokio::test]
async fn nothing_is_written_to_a_server_that_drains_for_long() {
    let run = async {
        let servers = servers(8);
        let addr = named("x").await;
        let server = servers
            .apply(&list(addr, ServerState::InService, true), false)
            .1[0]
            .server;
        servers.apply(&list(addr, ServerState::Draining, false), false);
        tokio::time::pause();
        tokio::time::advance(Duration::from_millis(400)).await;
        let ended = servers.attempt(server, &call(), soon()).await;
        assert_eq!(ended.outcome, Outcome::ConnectFailed);
    };
    LocalSet::new().run_until(run).await;
}

// Sockets are spent on requests before idle connections.
#[tokio::test]
async fn idle_connections_make_room() {
    let run = async {
        let servers = servers(1);
        let addr = named("x").await;
        let server = servers
            .apply(&list(addr, ServerState::InService, true), false)
            .1[0]
            .server;
        assert_eq!(
            servers.attempt(server, &call(), soon()).await.outcome,
            Outcome::Ok
        );
        let permit = servers.permit().await;
        assert!(permit.is_some());
        // Nothing was sent, and it is no fault of the server's. A probe finds a socket all the same.
        assert_eq!(
            servers.attempt(server, &call(), soon()).await.outcome,
            Outcome::NotSent
        );
        assert_eq!(servers.check_health(server).await.outcome, Outcome::Ok);
    };
    LocalSet::new().run_until(run).await;
}

#[test]
fn only_the_header_proves_that_a_request_was_turned_away() {
    let mut headers = HeaderMap::new();
    assert_eq!(
        outcome(StatusCode::SERVICE_UNAVAILABLE, &headers),
        Outcome::Error
    );
    headers.insert("x-turned-away", HeaderValue::from_static("1"));
    assert_eq!(
        outcome(StatusCode::SERVICE_UNAVAILABLE, &headers),
        Outcome::Overloaded
    );
    assert_eq!(
        outcome(StatusCode::GATEWAY_TIMEOUT, &headers),
        Outcome::Overloaded
    );
    assert_eq!(
        outcome(StatusCode::INTERNAL_SERVER_ERROR, &headers),
        Outcome::Error
    );
    assert_eq!(outcome(StatusCode::OK, &headers), Outcome::Ok);
}

// One odd entry takes no server that is known off a whole list; one that is not named goes.
#[test]
fn what_is_known_of_an_entry_that_cannot_be_read_stands() {
    let servers = servers(8);
    let known = |id: &str| {
        format!("{{\"id\": \"{id}\", \"host_port\": \"127.0.0.1:1\", \"phase\": \"in_service\"}}")
    };
    let odd = |id: &str| known(id).replace("in_service", "asleep");
    let list = |entries: &[String]| {
        let text = format!(
            "{{\"complete\": true, \"members\": [{}]}}",
            entries.join(", ")
        );
        servers.apply(&EndpointList::parse(text.as_bytes()).unwrap(), false)
    };
    let (_, before) = list(&[known("s-1"), known("s-2"), known("s-3")]);
    let (kind, after) = list(&[known("s-1"), odd("s-2"), odd("s-9")]);
    assert_eq!(kind, UpdateKind::Full);
    let numbers = |members: &[Endpoint]| members.iter().map(|m| m.server).collect::<Vec<_>>();
    assert_eq!(numbers(&after), numbers(&before)[..2]);
    assert_eq!(after[1].state, ServerState::InService);
    assert_eq!(servers.listed(), 2);
}

// The runtime is told of a client's end at its next turn only, and a process may be kept from a core for long: what
// is ready to be written by then is not, and the connection it had is there for another request.
#[tokio::test]
async fn nothing_is_written_for_a_client_whose_end_nobody_here_has_been_told_of() {
    type Leaves = fn(&std::net::TcpStream);
    let ways: [(&str, Leaves); 3] = [
        ("end", |_| {}),
        ("reset", |client| {
            socket2::SockRef::from(client)
                .set_linger(Some(Duration::ZERO))
                .unwrap()
        }),
        ("end of sending", |client| {
            client.shutdown(std::net::Shutdown::Write).unwrap()
        }),
    ];
    let run = async move {
        for (way, leaves) in ways {
            let servers = servers(8);
            let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
            let server_addr = listener.local_addr().unwrap();
            let doors = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
            let client = std::net::TcpStream::connect(doors.local_addr().unwrap()).unwrap();
            let accepted = doors.accept().unwrap().0;
            accepted.set_nonblocking(true).unwrap();
            let socket = Rc::new(TcpStream::from_std(accepted).unwrap());
            let client_liveness = ClientLiveness::new(&socket);
            let called = || UpstreamRequest {
                client: client_liveness.view(),
                ..call()
            };

            let server = servers
                .apply(&list(server_addr, ServerState::InService, true), false)
                .1[0]
                .server;
            let (_, epoch) = servers.address(server).unwrap();
            let mut written = servers
                .dial(server_addr, epoch, Budget::new(1).take().unwrap())
                .await
                .unwrap();
            let mut output = listener.accept().unwrap().0;
            let idle = servers
                .dial(server_addr, epoch, Budget::new(1).take().unwrap())
                .await
                .unwrap();
            servers.keep(server, idle);
            tokio::time::sleep(REST).await;

            leaves(&client);
            let kept = (way == "end of sending").then_some(client);
            let (call, memory) = (called(), servers.memory.clone());
            // What is written gets no answer.
            let written_to = exchange(&mut written, &call, server_addr, soon(), &memory);
            let ended = tokio::time::timeout(Duration::from_secs(10), written_to).await;
            assert!(
                matches!(ended, Ok(Exchange::Unsent)),
                "{way}: it was written"
            );
            drop(written);
            tokio::task::yield_now().await;
            assert_eq!(
                output.read(&mut [0; 1]).unwrap(),
                0,
                "{way}: closed with nothing written"
            );
            assert_eq!(
                servers.attempt(server, &called(), soon()).await.outcome,
                Outcome::NotSent,
                "{way}"
            );
            tokio::time::sleep(REST).await;
            assert!(
                servers.idle_link(server).is_some(),
                "{way}: the connection is kept"
            );
            drop(kept);
        }
    };
    LocalSet::new().run_until(run).await;
}
