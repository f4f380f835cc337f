//! Connections to servers, attempts, and how a change of the endpoint list affects both.

use std::io::Read;

use hyper::header::HeaderValue;
use hyper::StatusCode;
use load_balancer::UpdateKind;

use super::pool::REUSE_DELAY;
use super::*;
use crate::client_liveness::ClientLiveness;
use crate::discovery::endpoint_list::{EndpointEntry, EndpointList};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
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
        (BodyMemory::new(1 << 20), ConnectionMemory::new(1 << 24)),
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

fn room() -> ServerConnectionRoom {
    ServerConnectionRoom {
        permit: Budget::new(1).take().unwrap(),
        memory: None,
    }
}

fn request() -> UpstreamRequest {
    let (headers, body) = (HeaderMap::new(), Payload::Buffered(BufferedBody::from("")));
    UpstreamRequest {
        method: Method::POST,
        target: Uri::from_static("/api"),
        headers,
        body,
        client: Client::node(),
        _memory: None,
    }
}

/// Starts a server that responds to each request with `name`. It does not respond to requests for `/slow`, and to
/// none if `name` is empty.
async fn server_named(name: &'static str) -> SocketAddr {
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
                    let responds = !name.is_empty() && !buffer.starts_with(b"POST /slow");
                    if responds && stream.write_all(reply.as_bytes()).await.is_err() {
                        return;
                    }
                }
            });
        }
    });
    addr
}

/// A deadline that no attempt of a test reaches.
fn distant_deadline() -> Option<AttemptDeadline> {
    deadline_in(Duration::from_secs(20))
}

fn deadline_in(delay: Duration) -> Option<AttemptDeadline> {
    Some(AttemptDeadline::at(Instant::now() + delay))
}

/// The body of a response, which must be buffered.
fn body_text(result: UpstreamResult) -> String {
    match result.response.expect("a response").body {
        ResponseBody::Buffered(buffered) => String::from_utf8(buffered.bytes.to_vec()).unwrap(),
        ResponseBody::Streamed(_) => panic!("the response body was streamed"),
    }
}

// Guards against a request to a server that left the list and returned at another address going out on an old
// connection, which leads to another process.
#[tokio::test]
async fn connections_from_before_a_server_left_the_list_are_not_reused() {
    let run = async {
        let servers = servers(8);
        let (old, new) = (server_named("old").await, server_named("new").await);
        let (_, endpoints) = servers.apply(&list(old, ServerState::InService, true), false);
        let server = endpoints[0].server;
        assert_eq!(
            body_text(
                servers
                    .attempt(server, &request(), distant_deadline())
                    .await
            ),
            "old"
        );
        tokio::time::sleep(REUSE_DELAY).await;
        let connection = servers
            .take_idle_connection(server)
            .expect("an idle connection");
        servers.apply(&list(old, ServerState::Removed, false), false);
        assert_eq!(
            servers
                .attempt(server, &request(), distant_deadline())
                .await
                .outcome,
            Outcome::ConnectFailed
        );
        servers.apply(&list(new, ServerState::InService, false), false);
        servers.return_to_pool(server, connection);
        assert_eq!(
            body_text(
                servers
                    .attempt(server, &request(), distant_deadline())
                    .await
            ),
            "new"
        );
    };
    LocalSet::new().run_until(run).await;
}

// Guards against a spurious second response, still in transit, that is taken for that of the next request.
#[tokio::test]
async fn a_connection_is_not_reused_right_after_a_response() {
    let run = async {
        let servers = servers(8);
        let addr = server_named("x").await;
        let server = servers
            .apply(&list(addr, ServerState::InService, true), false)
            .1[0]
            .server;
        let (_, epoch) = servers.address(server).unwrap();
        let connection = servers.connect(addr, epoch, room()).await.unwrap();
        tokio::time::pause();
        servers.return_to_pool(server, connection);
        assert!(
            servers.take_idle_connection(server).is_none(),
            "reused right after a response"
        );
        tokio::time::advance(REUSE_DELAY).await;
        let (connection, again) = (
            servers.take_idle_connection(server),
            servers.take_idle_connection(server),
        );
        assert!(
            connection.is_some() && again.is_none(),
            "one connection is reusable after the delay"
        );
    };
    LocalSet::new().run_until(run).await;
}

// Guards against further requests on the idle connections of a machine that has failed: it stays silent on them.
#[tokio::test]
async fn a_timeout_closes_idle_connections() {
    let run = async {
        let servers = servers(8);
        let addr = server_named("").await;
        let server = servers
            .apply(&list(addr, ServerState::InService, true), false)
            .1[0]
            .server;
        let (_, epoch) = servers.address(server).unwrap();
        for _ in 0..2 {
            let connection = servers.connect(addr, epoch, room()).await.unwrap();
            servers.return_to_pool(server, connection);
        }
        let deadline = deadline_in(Duration::from_millis(50));
        assert_eq!(
            servers.attempt(server, &request(), deadline).await.outcome,
            Outcome::Timeout
        );
        assert!(servers.take_idle_connection(server).is_none());
    };
    LocalSet::new().run_until(run).await;
}

// Guards against new connections adding to the load of a server that is only slow: it responds to other requests.
#[tokio::test]
async fn a_timeout_keeps_the_connections_of_a_server_that_answers_others() {
    let run = async {
        let servers = servers(8);
        let addr = server_named("x").await;
        let server = servers
            .apply(&list(addr, ServerState::InService, true), false)
            .1[0]
            .server;
        let slow = UpstreamRequest {
            target: Uri::from_static("/slow"),
            ..request()
        };
        let (request, deadline) = (request(), deadline_in(Duration::from_millis(200)));
        let (slow, quick) = tokio::join!(
            servers.attempt(server, &slow, deadline),
            servers.attempt(server, &request, distant_deadline())
        );
        assert_eq!(
            (slow.outcome, quick.outcome),
            (Outcome::Timeout, Outcome::Ok)
        );
        assert!(servers.take_idle_connection(server).is_some());
    };
    LocalSet::new().run_until(run).await;
}

// Guards against a non-idempotent request that is not retried although it has not run: its last byte was not
// written.
#[tokio::test]
async fn a_request_that_cannot_be_written_counts_as_unsent() {
    let run = async {
        let servers = servers(8);
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let mut connection = servers.connect(addr, 0, room()).await.unwrap();
        // The reset comes before the connection's task is polled and can notice it.
        let (stream, _) = listener.accept().unwrap();
        stream.set_nonblocking(true).unwrap();
        let stream = TcpStream::from_std(stream).unwrap();
        stream.set_zero_linger().unwrap();
        drop(stream);
        let exchange = exchange(
            &mut connection,
            &request(),
            addr,
            &AttemptClock::new(distant_deadline()),
            &servers.memory,
        )
        .await;
        assert!(matches!(exchange, Exchange::Unsent));
    };
    LocalSet::new().run_until(run).await;
}

// Guards against a non-idempotent request that is lost because it is written to a connection whose server has
// closed it: a close that has arrived must be read first, even if no task was polled since.
#[tokio::test]
async fn a_close_that_was_not_read_yet_is_detected_before_a_request_is_written() {
    use std::io::{Read, Write};
    let run = async {
        let servers = servers(8);
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let (closed, close_notices) = std::sync::mpsc::channel();
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
            servers
                .attempt(server, &request(), distant_deadline())
                .await
                .outcome,
            Outcome::Ok
        );
        // Blocks the runtime, so that the close has arrived and is unread.
        close_notices.recv().unwrap();
        assert_eq!(
            servers
                .attempt(server, &request(), distant_deadline())
                .await
                .outcome,
            Outcome::Ok
        );
    };
    LocalSet::new().run_until(run).await;
}

// Guards against a request that waited for its connection and is written after the server's drain grace.
#[tokio::test]
async fn nothing_is_written_to_a_server_that_has_been_draining_for_long() {
    let run = async {
        let servers = servers(8);
        let addr = server_named("x").await;
        let server = servers
            .apply(&list(addr, ServerState::InService, true), false)
            .1[0]
            .server;
        servers.apply(&list(addr, ServerState::Draining, false), false);
        tokio::time::pause();
        tokio::time::advance(Duration::from_millis(400)).await;
        let ended = servers
            .attempt(server, &request(), distant_deadline())
            .await;
        assert_eq!(ended.outcome, Outcome::ConnectFailed);
    };
    LocalSet::new().run_until(run).await;
}

// Guards against requests that find no socket because idle connections hold them all.
#[tokio::test]
async fn idle_connections_are_closed_to_free_sockets() {
    let run = async {
        let servers = servers(1);
        let addr = server_named("x").await;
        let server = servers
            .apply(&list(addr, ServerState::InService, true), false)
            .1[0]
            .server;
        assert_eq!(
            servers
                .attempt(server, &request(), distant_deadline())
                .await
                .outcome,
            Outcome::Ok
        );
        let permit = servers.shared_permit().await;
        assert!(permit.is_some());
        // Without a socket nothing is sent, and the server is not blamed. A health check has a reserved socket.
        assert_eq!(
            servers
                .attempt(server, &request(), distant_deadline())
                .await
                .outcome,
            Outcome::NotSent
        );
        assert_eq!(servers.check_health(server).await.outcome, Outcome::Ok);
    };
    LocalSet::new().run_until(run).await;
}

#[test]
fn only_the_header_proves_that_a_rejected_request_did_not_run() {
    let mut headers = HeaderMap::new();
    assert_eq!(
        response_outcome(StatusCode::SERVICE_UNAVAILABLE, &headers),
        Outcome::Error
    );
    headers.insert("x-turned-away", HeaderValue::from_static("1"));
    assert_eq!(
        response_outcome(StatusCode::SERVICE_UNAVAILABLE, &headers),
        Outcome::Overloaded
    );
    assert_eq!(
        response_outcome(StatusCode::GATEWAY_TIMEOUT, &headers),
        Outcome::Overloaded
    );
    assert_eq!(
        response_outcome(StatusCode::INTERNAL_SERVER_ERROR, &headers),
        Outcome::Error
    );
    assert_eq!(response_outcome(StatusCode::OK, &headers), Outcome::Ok);
}

// Guards against a complete list that removes a known server because its entry can't be parsed. A server that the
// list does not name is removed.
#[test]
fn a_server_whose_entry_cannot_be_parsed_keeps_its_state() {
    let servers = servers(8);
    let known = |id: &str| {
        format!("{{\"id\": \"{id}\", \"host_port\": \"127.0.0.1:1\", \"phase\": \"in_service\"}}")
    };
    let invalid = |id: &str| known(id).replace("in_service", "asleep");
    let list = |entries: &[String]| {
        let list_text = format!(
            "{{\"complete\": true, \"members\": [{}]}}",
            entries.join(", ")
        );
        servers.apply(&EndpointList::parse(list_text.as_bytes()).unwrap(), false)
    };
    let (_, before) = list(&[known("s-1"), known("s-2"), known("s-3")]);
    let (kind, after) = list(&[known("s-1"), invalid("s-2"), invalid("s-9")]);
    assert_eq!(kind, UpdateKind::Full);
    let numbers = |endpoints: &[Endpoint]| endpoints.iter().map(|m| m.server).collect::<Vec<_>>();
    assert_eq!(numbers(&after), numbers(&before)[..2]);
    assert_eq!(after[1].state, ServerState::InService);
    assert_eq!(servers.listed_count(), 2);
}

// Guards against a request that is written for a client that has disconnected. The runtime learns of a disconnect
// only when it polls for events next, which may be late if the process gets no CPU time. The connection that the
// request would have used serves another one.
#[tokio::test]
async fn nothing_is_written_for_a_client_whose_disconnect_was_not_polled_yet() {
    type Disconnect = fn(&std::net::TcpStream);
    let cases: [(&str, Disconnect); 3] = [
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
        for (case, disconnect) in cases {
            let servers = servers(8);
            let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
            let server_addr = listener.local_addr().unwrap();
            let client_listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
            let client =
                std::net::TcpStream::connect(client_listener.local_addr().unwrap()).unwrap();
            let accepted = client_listener.accept().unwrap().0;
            accepted.set_nonblocking(true).unwrap();
            let socket = Rc::new(TcpStream::from_std(accepted).unwrap());
            let client_liveness = ClientLiveness::new(&socket, false);
            let client_request = || UpstreamRequest {
                client: client_liveness.view(),
                ..request()
            };

            let server = servers
                .apply(&list(server_addr, ServerState::InService, true), false)
                .1[0]
                .server;
            let (_, epoch) = servers.address(server).unwrap();
            let mut opened = servers.connect(server_addr, epoch, room()).await.unwrap();
            let mut output = listener.accept().unwrap().0;
            let idle = servers.connect(server_addr, epoch, room()).await.unwrap();
            servers.return_to_pool(server, idle);
            tokio::time::sleep(REUSE_DELAY).await;

            disconnect(&client);
            let half_closed = (case == "end of sending").then_some(client);
            let (request, memory) = (client_request(), servers.memory.clone());
            let clock = AttemptClock::new(distant_deadline());
            // The server never responds, so a request that was written would time out.
            let sending = exchange(&mut opened, &request, server_addr, &clock, &memory);
            let ended = tokio::time::timeout(Duration::from_secs(10), sending).await;
            assert!(
                matches!(ended, Ok(Exchange::Unsent)),
                "{case}: the request was written"
            );
            drop(opened);
            tokio::task::yield_now().await;
            assert_eq!(
                output.read(&mut [0; 1]).unwrap(),
                0,
                "{case}: not closed, or something was written"
            );
            assert_eq!(
                servers
                    .attempt(server, &client_request(), distant_deadline())
                    .await
                    .outcome,
                Outcome::NotSent,
                "{case}"
            );
            tokio::time::sleep(REUSE_DELAY).await;
            assert!(
                servers.take_idle_connection(server).is_some(),
                "{case}: the connection was not kept"
            );
            drop(half_closed);
        }
    };
    LocalSet::new().run_until(run).await;
}
