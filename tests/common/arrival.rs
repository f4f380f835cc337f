//! When the latest bytes of a connection came, by the system's own books (`sock_diag(7)`). The stamp that comes with a
//! read is that of the bytes for as long as nothing follows them: the end of the connection, where it is there before
//! the read, puts its own in their place.

use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, SystemTime};

use nix::sys::socket::{
    recv, sendto, socket, AddressFamily, MsgFlags, NetlinkAddr, SockFlag, SockProtocol, SockType,
};

const SOCK_DIAG_BY_FAMILY: u16 = 20;
const REQUEST: u16 = 1;
const INET_DIAG_INFO: u16 = 2;
/// A message's own head, then `inet_diag_msg`, then attributes, in which `tcp_info` has `tcpi_last_data_recv` here.
const HEAD: usize = 16;
const DIAG: usize = 72;
const LAST_DATA: usize = 44;

/// When the latest bytes came that this end was sent, to some milliseconds and rather too late than too early; `None`
/// if the system knows the connection no more.
pub fn of_data(stream: &TcpStream) -> Option<SystemTime> {
    let (own, other) = (stream.local_addr().ok()?, stream.peer_addr().ok()?);
    loop {
        let before = SystemTime::now();
        let since = since_data(own, other)?;
        // A thread that was stopped meanwhile tries once more: the answer counts from the moment it was given.
        if before
            .elapsed()
            .is_ok_and(|took| took < Duration::from_millis(2))
        {
            return Some(before - since + Duration::from_millis(2));
        }
    }
}

fn since_data(own: SocketAddr, other: SocketAddr) -> Option<Duration> {
    let protocol = SockProtocol::NetlinkSockDiag;
    let diag = socket(
        AddressFamily::Netlink,
        SockType::Raw,
        SockFlag::SOCK_CLOEXEC,
        protocol,
    )
    .ok()?;
    let message = diag_request(own, other)?;
    let fd = std::os::fd::AsRawFd::as_raw_fd(&diag);
    sendto(fd, &message, &NetlinkAddr::new(0, 0), MsgFlags::empty()).ok()?;
    let mut answer = [0; 4096];
    let length = recv(fd, &mut answer, MsgFlags::empty()).ok()?;
    last_data(&answer[..length])
}

/// The message that asks for the state of one connection.
fn diag_request(own: SocketAddr, other: SocketAddr) -> Option<Vec<u8>> {
    let mut body: Vec<u8> = vec![
        nix::libc::AF_INET as u8,
        nix::libc::IPPROTO_TCP as u8,
        1 << (INET_DIAG_INFO - 1),
        0,
    ];
    // In any state.
    body.extend([0xff; 4]);
    body.extend(own.port().to_be_bytes());
    body.extend(other.port().to_be_bytes());
    for end in [own, other] {
        let SocketAddr::V4(end) = end else {
            return None;
        };
        body.extend(end.ip().octets());
        body.extend([0; 12]);
    }
    // On any interface, by no cookie.
    body.extend([0; 4]);
    body.extend([0xff; 8]);
    let mut message = ((HEAD + body.len()) as u32).to_ne_bytes().to_vec();
    message.extend(SOCK_DIAG_BY_FAMILY.to_ne_bytes());
    message.extend(REQUEST.to_ne_bytes());
    message.extend([0; 8]);
    message.extend(body);
    Some(message)
}

/// The age of the latest data, in the answer to [`diag_request`].
fn last_data(answer: &[u8]) -> Option<Duration> {
    if u16_at(answer, 4)? != SOCK_DIAG_BY_FAMILY {
        return None;
    }
    let mut at = HEAD + DIAG;
    loop {
        let (length, kind) = (usize::from(u16_at(answer, at)?), u16_at(answer, at + 2)?);
        if kind == INET_DIAG_INFO {
            let millis = answer
                .get(at + 4 + LAST_DATA..)?
                .first_chunk()
                .map(|bytes| u32::from_ne_bytes(*bytes));
            return millis.map(|millis| Duration::from_millis(millis.into()));
        }
        at += length.next_multiple_of(4).max(4);
    }
}

fn u16_at(bytes: &[u8], at: usize) -> Option<u16> {
    bytes
        .get(at..)?
        .first_chunk()
        .map(|bytes| u16::from_ne_bytes(*bytes))
}
