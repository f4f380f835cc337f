//! Calls between agents over TCP. A connection carries one call and its answer, and each side ends its direction after
//! sending. Calls are bounded in number, size and time; their content is opaque to this module.

use std::future::Future;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use socket2::{Domain, Protocol, Socket, Type};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{mpsc, oneshot, Semaphore};
use tokio::time::{sleep, timeout};

use super::HostEvent;
use crate::coordinator::FORWARDED_COMMAND_TIMEOUT;
use crate::membership::MAX_CALL_BYTES;

/// Timeout of a call, including its answer.
const CALL_TIMEOUT: Duration = Duration::from_micros(FORWARDED_COMMAND_TIMEOUT);
/// Maximum number of calls that are being read or have not been handled by the main task yet. It bounds their memory:
/// each may be as long as a full view.
const MAX_UNHANDLED_CALLS: usize = 16;
/// Maximum number of open calls. A call that waits for its answer needs little memory.
pub const MAX_CALLERS: usize = 256;
/// Queue length of the agent's listening sockets. It is short because the connection of a caller that has timed out
/// still occupies the queue.
pub const LISTEN_BACKLOG: usize = 128;
/// Pause after a connection could not be accepted, usually because file descriptors have run out.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Listens on an address, even right after another process has listened on it.
///
/// # Errors
/// If the address can't be bound.
pub fn listen(addr: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(addr), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&addr.into())?;
    socket.listen(LISTEN_BACKLOG as i32)?;
    TcpListener::from_std(socket.into())
}

/// Accepts calls from other agents for as long as this agent runs.
pub async fn accept(listener: TcpListener, events: mpsc::Sender<HostEvent>) {
    let permits = Arc::new(Semaphore::new(MAX_UNHANDLED_CALLS));
    let serve_call = |stream| {
        let (events, permits) = (events.clone(), permits.clone());
        async move {
            // A caller that disconnects or is too slow gets no answer.
            let _ = timeout(CALL_TIMEOUT, serve(stream, events, permits)).await;
        }
    };
    serve_each(listener, MAX_CALLERS, serve_call).await;
}

/// Serves each connection, at most `limit` at a time. Further ones wait in the listening socket's queue.
pub async fn serve_each<F, S>(listener: TcpListener, limit: usize, serve: F)
where
    F: Fn(TcpStream) -> S,
    S: Future<Output = ()> + 'static,
{
    let permits = Arc::new(Semaphore::new(limit));
    loop {
        let Ok(permit) = permits.clone().acquire_owned().await else {
            return;
        };
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_RETRY_INTERVAL).await;
            continue;
        };
        let served = serve(stream);
        tokio::task::spawn_local(async move {
            let _permit = permit;
            served.await;
        });
    }
}

/// Reads a call, passes it to the main task, and sends the answer if there is one.
async fn serve(
    mut stream: TcpStream,
    events: mpsc::Sender<HostEvent>,
    permits: Arc<Semaphore>,
) -> io::Result<()> {
    // The permit is passed on with the call, and held until the main task has handled the call.
    let Ok(permit) = permits.acquire_owned().await else {
        return Ok(());
    };
    let bytes = read_to_end(&mut stream).await?;
    let (answer, answered) = oneshot::channel();
    let event = HostEvent::Called {
        bytes,
        answer,
        permit,
    };
    if events.send(event).await.is_ok() {
        if let Ok(bytes) = answered.await {
            stream.write_all(&bytes).await?;
        }
    }
    stream.shutdown().await
}

/// Calls another agent from the IP address that this agent listens on. Returns `None` if the call fails, times out or
/// gets no answer.
pub async fn call(from: IpAddr, to: SocketAddr, bytes: Vec<u8>) -> Option<Vec<u8>> {
    let answer = timeout(CALL_TIMEOUT, exchange(from, to, &bytes))
        .await
        .ok()?
        .ok()?;
    (!answer.is_empty()).then_some(answer)
}

async fn exchange(from: IpAddr, to: SocketAddr, bytes: &[u8]) -> io::Result<Vec<u8>> {
    let socket = if to.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    if !from.is_unspecified() && from.is_ipv4() == to.is_ipv4() {
        socket.bind(SocketAddr::new(from, 0))?;
    }
    let mut stream = socket.connect(to).await?;
    stream.set_nodelay(true)?;
    stream.write_all(bytes).await?;
    stream.shutdown().await?;
    read_to_end(&mut stream).await
}

async fn read_to_end(stream: &mut TcpStream) -> io::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    // One byte more than allowed, so that the decoder rejects a message that is too long.
    stream
        .take(MAX_CALL_BYTES as u64 + 1)
        .read_to_end(&mut bytes)
        .await?;
    Ok(bytes)
}

#[cfg(test)]
mod tests;
