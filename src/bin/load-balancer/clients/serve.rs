//! Serving one client connection, from its first request to its end.

use std::cell::Cell;
use std::convert::Infallible;
use std::future::{poll_fn, Future};
use std::pin::Pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

use hyper::header::{self, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpStream;
use tokio::time::sleep;

use super::guards::ConnectionGuard;
use super::{Clients, OVERLOAD_RETRY_AFTER};
use crate::body::ResponseBody;
use crate::connection::{ClientSocket, ConnectionState, FIRST_REQUEST_TIMEOUT};
use crate::metrics::{CloseReason, Refusal};

/// Longest head of a request, in bytes.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Most header fields of a request.
const MAX_HEADERS: usize = 64;
/// Longest time for which a connection may be idle between requests. A head that has begun by then may still become complete.
const HEAD_TIMEOUT: Duration = Duration::from_secs(60);
/// Longest wait for a head on a connection that ends with its first response, unless more was read by then: a connection
/// past the budget, whose requests are rejected, or one accepted while idle connections are being closed.
const LAST_REQUEST_TIMEOUT: Duration = Duration::from_secs(1);

/// Most requests that are rejected on a connection without room, so that a client that goes on sending does not keep it.
const MAX_REJECTED_REQUESTS: u32 = 100;

impl Clients {
    /// Serves a connection until it ends. With `reject`, its first request is rejected, and so are those that were read by
    /// then; that closes it.
    pub(super) async fn serve(
        self: Rc<Self>,
        stream: TcpStream,
        guard: ConnectionGuard,
        reject: bool,
    ) {
        // A connection accepted while idle ones are being closed still gets one request answered: a request
        // written to it in the backlog counts as accepted.
        let only_one_request = self.closing_idle.get();
        let client_connection = Rc::new(ConnectionState::new(self.memory.clone()));
        let number = self.next_number();
        if reject {
            self.rejected_connections
                .borrow_mut()
                .insert(number, client_connection.clone());
        } else {
            self.open_connections
                .borrow_mut()
                .insert(number, client_connection.clone());
        }
        let stream = Rc::new(stream);
        let (clients, connection_state, socket) =
            (self.clone(), client_connection.clone(), stream.clone());
        let rejected_requests = Cell::new(0);
        let service = service_fn(move |request| {
            let (clients, client_connection, socket) =
                (clients.clone(), connection_state.clone(), socket.clone());
            rejected_requests.set(rejected_requests.get() + u32::from(reject));
            let is_last_rejection = rejected_requests.get() >= MAX_REJECTED_REQUESTS;
            async move {
                client_connection.take_turn().await;
                let mut response = if reject {
                    let class = clients.class_of(request.headers());
                    clients.metrics.refused(class, Refusal::NoConnection);
                    clients.rejection(Some(OVERLOAD_RETRY_AFTER))
                } else {
                    // Boxed, as each idle connection would hold the memory of a request in progress.
                    Box::pin(clients.handle(request, &client_connection, &socket)).await
                };
                let is_last =
                    reject || clients.draining.get() || response.status().is_client_error();
                if is_last && (is_last_rejection || client_connection.may_end_now()) {
                    response
                        .headers_mut()
                        .insert(header::CONNECTION, HeaderValue::from_static("close"));
                }
                // A streamed response reports its end itself.
                if matches!(response.body(), ResponseBody::Buffered(_)) {
                    client_connection.request_answered();
                }
                Ok::<_, Infallible>(response)
            }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout((reject || only_one_request).then_some(LAST_REQUEST_TIMEOUT))
            .max_buf_size(MAX_HEAD_BYTES)
            .max_headers(MAX_HEADERS)
            .serve_connection(
                TokioIo::new(ClientSocket::new(
                    stream.clone(),
                    client_connection.clone(),
                    self.metrics.clone(),
                )),
                service,
            );
        let mut connection = std::pin::pin!(connection);
        let mut client_left = std::pin::pin!(client_connection.client_closed(&stream));
        let (ended, reason) = tokio::select! {
            reason = serve_while_connected(connection.as_mut(), client_left.as_mut()) => (true, reason),
            () = client_connection.first_request_timed_out() => {
                self.metrics.head_timeouts.increment();
                (true, CloseReason::HeadTimeout)
            }
            () = client_connection.idle_for(HEAD_TIMEOUT) => (false, CloseReason::HeadTimeout),
            () = client_connection.close_requested.notified() => {
                (!client_connection.has_sent_request(), CloseReason::Evicted)
            }
            () = self.close_idle.notified(), if !only_one_request => (false, CloseReason::Draining),
        };
        client_connection.closed(reason);
        self.metrics.connection_closed(reason);
        if !ended {
            let served = serve_to_rest(
                &client_connection,
                connection.as_mut(),
                client_left.as_mut(),
            )
            .await;
            let end = match served {
                Some(end) => end,
                None => {
                    connection.as_mut().graceful_shutdown();
                    serve_while_connected(connection, client_left).await
                }
            };
            client_connection.closed(end);
        }
        self.open_connections.borrow_mut().remove(&number);
        self.rejected_connections.borrow_mut().remove(&number);
        drop(guard);
    }
}

/// Serves a connection that is to close until it is at rest: requests that were read, or read in part, are answered first.
/// Returns why it has ended, or `None` if it is at rest.
async fn serve_to_rest(
    client_connection: &ConnectionState,
    mut connection: Pin<&mut impl Future<Output = hyper::Result<()>>>,
    mut client_left: Pin<&mut impl Future>,
) -> Option<CloseReason> {
    loop {
        // Needs no waker: whatever changes its result happens when the connection is polled.
        let at_rest = poll_fn(|_| match client_connection.is_at_rest() {
            true => Poll::Ready(()),
            false => Poll::Pending,
        });
        tokio::select! {
            biased;
            end = serve_while_connected(connection.as_mut(), client_left.as_mut()) => return Some(end),
            () = at_rest => return None,
            () = sleep(FIRST_REQUEST_TIMEOUT) => {}
        }
        if client_connection.is_sending_head() {
            return Some(CloseReason::HeadTimeout);
        }
    }
}

/// Polls a connection until it ends or its client disconnects during a request.
async fn serve_while_connected(
    connection: Pin<&mut impl Future<Output = hyper::Result<()>>>,
    client_left: Pin<&mut impl Future>,
) -> CloseReason {
    tokio::select! {
        biased;
        served = connection => match served {
            Ok(()) => CloseReason::Finished,
            Err(error) if error.is_timeout() => CloseReason::HeadTimeout,
            Err(error) if error.is_user() => CloseReason::ResponseBroken,
            Err(error) if error.is_incomplete_message() => CloseReason::ClientLeft,
            Err(_) => CloseReason::Broken,
        },
        _ = client_left => CloseReason::ClientLeft,
    }
}
