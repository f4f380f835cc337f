//! A deliberately faulty node for the tests of the invariant checker: a simple proxy that breaks the rule named
//! by `BROKEN_NODE`, and none with `honest`.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde_json::Value;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Mutex;

/// Time limit of a discovery call.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

type NodeResponse = Response<Full<Bytes>>;

struct Node {
    fault: String,
    discovery: String,
    /// Ids and addresses of the servers. Only those reported as not in service are removed, and with
    /// `sent-to-draining` not even those.
    servers: Mutex<Vec<(String, String)>>,
    cordoned: Mutex<Vec<String>>,
}

fn response(status: u16, body: impl Into<Bytes>) -> NodeResponse {
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = StatusCode::from_u16(status).expect("valid status code");
    response
}

/// Sends a request on a new connection and returns the status and the body.
async fn send(addr: &str, request: Request<Full<Bytes>>) -> Option<(u16, Bytes)> {
    let stream = TcpStream::connect(addr).await.ok()?;
    let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
        .await
        .ok()?;
    tokio::spawn(connection);
    let response = sender.send_request(request).await.ok()?;
    let status = response.status().as_u16();
    Some((
        status,
        response.into_body().collect().await.ok()?.to_bytes(),
    ))
}

impl Node {
    async fn poll_discovery(&self) {
        loop {
            let request = Request::get("/api/targets")
                .header("host", "d")
                .body(Full::default());
            let call = send(&self.discovery, request.expect("a request"));
            let list = tokio::time::timeout(CALL_TIMEOUT, call)
                .await
                .ok()
                .flatten();
            if self.fault == "deaf" && list.as_ref().is_none_or(|(status, _)| *status != 200) {
                // Discovery is never called again after its first failure.
                return std::future::pending().await;
            }
            let list = list.and_then(|(_, body)| serde_json::from_slice::<Value>(&body).ok());
            for member in list
                .iter()
                .flat_map(|list| list["members"].as_array())
                .flatten()
            {
                let text = |key: &str| member[key].as_str().unwrap_or("").to_owned();
                let server = (text("id"), text("host_port"));
                let in_service = text("phase") == "in_service";
                let mut servers = self.servers.lock().await;
                if !in_service && self.fault != "sent-to-draining" {
                    servers.retain(|known| known.0 != server.0);
                } else if in_service && !servers.contains(&server) {
                    servers.push(server);
                }
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }

    /// The addresses of the usable servers, in the order of preference for a query.
    async fn servers_for(&self, query: &str) -> Vec<String> {
        let cordoned = self.cordoned.lock().await.clone();
        let servers = self.servers.lock().await;
        let kept = |id: &String| self.fault == "sent-to-withheld" || !cordoned.contains(id);
        let mut usable: Vec<String> = servers
            .iter()
            .filter(|(id, _)| kept(id))
            .map(|(_, addr)| addr.clone())
            .collect();
        // Prefers the server that was added last, which is the cold one.
        if self.fault == "cold-toppled" {
            usable.reverse();
        } else if !usable.is_empty() {
            let by_key = query
                .bytes()
                .fold(0_usize, |sum, byte| sum.wrapping_mul(31) + byte as usize);
            let first = by_key % usable.len();
            usable.rotate_left(first);
        }
        usable
    }

    async fn serve(&self, request: Request<Incoming>) -> Option<NodeResponse> {
        if request.uri().path() == "/-/ready" {
            return Some(response(200, ""));
        }
        let (parts, body) = request.into_parts();
        let body = body.collect().await.ok()?.to_bytes();
        let unsafe_to_repeat = parts.method == Method::POST;
        let servers = self.servers_for(parts.uri.query().unwrap_or("")).await;
        let forward = |txn: Option<&str>| {
            let mut copy = Request::new(Full::new(body.clone()));
            *copy.method_mut() = parts.method.clone();
            *copy.uri_mut() = parts.uri.clone();
            *copy.headers_mut() = parts.headers.clone();
            if let Some(txn) = txn {
                copy.headers_mut()
                    .insert("x-txn", txn.parse().expect("valid header value"));
            }
            copy
        };
        if self.fault == "unknown-request" {
            send(servers.first()?, forward(Some("0123456789abcdef"))).await;
        }
        if self.fault == "sent-after-leaving" {
            // Sent after the client may have closed its connection, without checking whether it has.
            let (late_request, server) = (forward(None), servers.first()?.clone());
            tokio::spawn(async move {
                tokio::time::sleep(Duration::from_millis(900)).await;
                send(&server, late_request).await;
            });
            std::future::pending::<()>().await;
        }
        let (mut status, mut bytes) = send(servers.first()?, forward(None))
            .await
            .unwrap_or((502, Bytes::new()));
        match self.fault.as_str() {
            "lost" => std::future::pending().await,
            "run-twice" if unsafe_to_repeat => {
                (status, bytes) = send(servers.get(1)?, forward(None)).await?;
            }
            "refused-after-run" if unsafe_to_repeat => status = 503,
            "made-up" => bytes = Bytes::from_static(b"all is well"),
            _ => {}
        }
        Some(response(status, bytes))
    }

    /// Serves the calls of operators.
    async fn serve_operator(&self, request: Request<Incoming>) -> NodeResponse {
        let id = request
            .uri()
            .query()
            .and_then(|query| query.strip_prefix("member="))
            .unwrap_or("");
        match request.uri().path() {
            "/maintenance/enter" => self.cordoned.lock().await.push(id.to_owned()),
            "/maintenance/exit" => self.cordoned.lock().await.retain(|cordoned| cordoned != id),
            _ => {}
        }
        response(200, "")
    }
}

async fn accept(node: Arc<Node>, listener: TcpListener, operators: bool) {
    while let Ok((stream, _)) = listener.accept().await {
        let node = node.clone();
        tokio::spawn(async move {
            let answers_twice = node.fault == "two-answers" && !operators;
            let service = service_fn(move |request| {
                let node = node.clone();
                async move {
                    let response = match operators {
                        true => node.serve_operator(request).await,
                        false => node
                            .serve(request)
                            .await
                            .unwrap_or_else(|| response(502, "")),
                    };
                    Ok::<_, Infallible>(response)
                }
            });
            let builder = hyper::server::conn::http1::Builder::new();
            if !answers_twice {
                return drop(
                    builder
                        .serve_connection(TokioIo::new(stream), service)
                        .await,
                );
            }
            // A correct first response, and later a second one without a request.
            let mut connection = builder.serve_connection(TokioIo::new(stream), service);
            let _ = tokio::time::timeout(Duration::from_millis(700), &mut connection).await;
            let mut stream = connection.into_parts().io.into_inner();
            let _ = stream
                .write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n")
                .await;
            tokio::time::sleep(Duration::from_secs(2)).await;
        });
    }
}

#[tokio::main(flavor = "multi_thread", worker_threads = 2)]
async fn main() -> std::io::Result<()> {
    let variable = |name: &str| std::env::var(name).unwrap_or_default();
    let node = Arc::new(Node {
        fault: variable("BROKEN_NODE"),
        discovery: variable("BALANCER_DISCOVERY"),
        servers: Mutex::default(),
        cordoned: Mutex::default(),
    });
    let bind = |name: &str| {
        variable(name)
            .parse::<SocketAddr>()
            .map_err(std::io::Error::other)
    };
    let clients = TcpListener::bind(bind("BALANCER_LISTEN")?).await?;
    let operators = TcpListener::bind(bind("BALANCER_OPERATOR")?).await?;
    tokio::spawn(accept(node.clone(), operators, true));
    tokio::spawn(accept(node.clone(), clients, false));
    node.poll_discovery().await;
    Ok(())
}
