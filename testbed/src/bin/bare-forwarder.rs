//! The baseline of `balancer-testbed bench`: an HTTP proxy that forwards to all servers in round-robin order
//! over keep-alive connections. It has no balancing logic, observes none of the rules, and reads the endpoint
//! list once, at the start.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Empty, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{handshake, SendRequest};
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde_json::Value;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{spawn_local, LocalSet};

type Body = BoxBody<Bytes, hyper::Error>;

struct Forwarder {
    servers: Vec<String>,
    next: Cell<usize>,
    idle: RefCell<HashMap<String, Vec<SendRequest<Incoming>>>>,
}

impl Forwarder {
    async fn sender(&self, addr: &str) -> std::io::Result<SendRequest<Incoming>> {
        loop {
            let idle = self.idle.borrow_mut().get_mut(addr).and_then(Vec::pop);
            match idle {
                Some(sender) if sender.is_closed() => {}
                Some(sender) => return Ok(sender),
                None => break,
            }
        }
        let stream = TcpStream::connect(addr).await?;
        stream.set_nodelay(true)?;
        let (sender, connection) = handshake(TokioIo::new(stream))
            .await
            .map_err(std::io::Error::other)?;
        spawn_local(connection);
        Ok(sender)
    }

    async fn forward(&self, request: Request<Incoming>) -> std::io::Result<Response<Body>> {
        let index = self.next.get();
        self.next.set(index + 1);
        let addr = self
            .servers
            .get(index % self.servers.len().max(1))
            .ok_or(std::io::ErrorKind::NotFound)?;
        let mut sender = self.sender(addr).await?;
        sender.ready().await.map_err(std::io::Error::other)?;
        let response = sender
            .send_request(request)
            .await
            .map_err(std::io::Error::other)?;
        let (head, body) = response.into_parts();
        let bytes = body
            .collect()
            .await
            .map_err(std::io::Error::other)?
            .to_bytes();
        self.idle
            .borrow_mut()
            .entry(addr.clone())
            .or_default()
            .push(sender);
        Ok(Response::from_parts(head, full(bytes)))
    }
}

fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed()
}

async fn first_list(addr: &str) -> std::io::Result<Vec<String>> {
    let stream = TcpStream::connect(addr).await?;
    let (mut sender, connection) = handshake(TokioIo::new(stream))
        .await
        .map_err(std::io::Error::other)?;
    spawn_local(connection);
    let request = Request::get("/api/targets")
        .header("host", "d")
        .body(Empty::<Bytes>::new());
    let response = sender
        .send_request(request.map_err(std::io::Error::other)?)
        .await;
    let body = response
        .map_err(std::io::Error::other)?
        .into_body()
        .collect()
        .await;
    let list: Value = serde_json::from_slice(&body.map_err(std::io::Error::other)?.to_bytes())?;
    let members = list["members"].as_array().cloned().unwrap_or_default();
    Ok(members
        .iter()
        .filter_map(|member| member["host_port"].as_str().map(str::to_owned))
        .collect())
}

async fn accept(forwarder: Rc<Forwarder>, listener: TcpListener) {
    while let Ok((stream, _)) = listener.accept().await {
        let _ = stream.set_nodelay(true);
        let forwarder = forwarder.clone();
        let service = service_fn(move |request: Request<Incoming>| {
            let forwarder = forwarder.clone();
            async move {
                if request.uri().path() == "/-/ready" {
                    return Ok::<_, hyper::Error>(Response::new(full("")));
                }
                Ok(forwarder.forward(request).await.unwrap_or_else(|_| {
                    let mut failed = Response::new(full(""));
                    *failed.status_mut() = StatusCode::BAD_GATEWAY;
                    failed
                }))
            }
        });
        let builder = hyper::server::conn::http1::Builder::new();
        spawn_local(builder.serve_connection(TokioIo::new(stream), service));
    }
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> std::io::Result<()> {
    let variable = |name: &str| std::env::var(name).unwrap_or_default();
    let run = async {
        let servers = first_list(&variable("BALANCER_DISCOVERY")).await?;
        let listen: SocketAddr = variable("BALANCER_LISTEN")
            .parse()
            .map_err(std::io::Error::other)?;
        let forwarder = Forwarder {
            servers,
            next: Cell::new(0),
            idle: RefCell::default(),
        };
        accept(Rc::new(forwarder), TcpListener::bind(listen).await?).await;
        Ok(())
    };
    LocalSet::new().run_until(run).await
}
