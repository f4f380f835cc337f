//! Owns calls between agents: one a connection, bytes to the end each way, bounded in number, size and time. It reads
//! nothing of what they say.

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

use super::Msg;
use crate::coordinator::FORWARDED_COMMAND_TIMEOUT;
use crate::membership::MAX_CALL_BYTES;

/// A call and its answer, at most.
const PATIENCE: Duration = Duration::from_micros(FORWARDED_COMMAND_TIMEOUT);
/// Calls at a time that are read, or read and not looked at yet: each may be as long as a whole view.
pub const READERS: usize = 16;
/// Calls at a time that wait for their answer, and hold next to nothing while they do.
pub const CALLERS: usize = 256;
/// Calls that wait in the socket's queue. A caller that has gone can't be told from one that waits there, so it is short.
pub const BACKLOG: usize = 128;

/// A listening socket that a process started again finds free.
pub fn listen(addr: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(addr), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&addr.into())?;
    socket.listen(BACKLOG as i32)?;
    TcpListener::from_std(socket.into())
}

/// Takes calls from other agents for as long as this one lives.
pub async fn accept(listener: TcpListener, tx: mpsc::Sender<Msg>) {
    let readers = Arc::new(Semaphore::new(READERS));
    let call = |stream| {
        let (tx, readers) = (tx.clone(), readers.clone());
        async move {
            // A caller that breaks off or dawdles is its own loss.
            let _ = timeout(PATIENCE, serve(stream, tx, readers)).await;
        }
    };
    each(listener, CALLERS, call).await;
}

/// Serves each connection, so many at a time; more wait in the socket's queue.
pub async fn each<F, S>(listener: TcpListener, most: usize, serve: F)
where
    F: Fn(TcpStream) -> S,
    S: Future<Output = ()> + 'static,
{
    let places = Arc::new(Semaphore::new(most));
    loop {
        let Ok(place) = places.clone().acquire_owned().await else {
            return;
        };
        let Ok((stream, _)) = listener.accept().await else {
            // Out of descriptors, most likely: some are free again soon.
            sleep(Duration::from_millis(50)).await;
            continue;
        };
        let served = serve(stream);
        tokio::task::spawn_local(async move {
            let _place = place;
            served.await;
        });
    }
}

async fn serve(
    mut stream: TcpStream,
    tx: mpsc::Sender<Msg>,
    readers: Arc<Semaphore>,
) -> io::Result<()> {
    let Ok(reading) = readers.acquire_owned().await else {
        return Ok(());
    };
    let bytes = read(&mut stream).await?;
    let (answer, answered) = oneshot::channel();
    if tx
        .send(Msg::Called {
            bytes,
            answer,
            reading,
        })
        .await
        .is_ok()
    {
        if let Ok(bytes) = answered.await {
            stream.write_all(&bytes).await?;
        }
    }
    stream.shutdown().await
}

/// Calls another agent; `None` without an answer. The connection comes from the address that this agent listens on.
pub async fn call(from: IpAddr, to: SocketAddr, bytes: Vec<u8>) -> Option<Vec<u8>> {
    let ask = async {
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
        stream.write_all(&bytes).await?;
        stream.shutdown().await?;
        read(&mut stream).await
    };
    let answer = timeout(PATIENCE, ask).await.ok()?.ok()?;
    (!answer.is_empty()).then_some(answer)
}

async fn read(stream: &mut TcpStream) -> io::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    // One more than the bound: what is longer is seen to be.
    stream
        .take(MAX_CALL_BYTES as u64 + 1)
        .read_to_end(&mut bytes)
        .await?;
    Ok(bytes)
}

#[cfg(test)]
mod tests;
