//! The time at which the latest data of a connection arrived, as the kernel recorded it (`sock_diag(7)`).
//!
//! The receive timestamp of a read (`SO_TIMESTAMPNS`) does not suffice: if the close of the connection arrives before
//! the read, the kernel reports the time of the close instead of the time of the data.

use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, SystemTime};

use nix::sys::socket::{
    recv, sendto, socket, AddressFamily, MsgFlags, NetlinkAddr, SockFlag, SockProtocol, SockType,
};

const SOCK_DIAG_BY_FAMILY: u16 = 20;
const NLM_F_REQUEST: u16 = 1;
const INET_DIAG_INFO: u16 = 2;
/// Bytes of the netlink header (`nlmsghdr`), which starts each message.
const HEADER_BYTES: usize = 16;
/// Bytes of `inet_diag_msg`, which follows the header. The attributes follow it.
const INET_DIAG_MSG_BYTES: usize = 72;
/// Offset of `tcpi_last_data_recv` (in milliseconds) in `tcp_info`.
const LAST_DATA_RECV_OFFSET: usize = 44;

/// Returns when the latest data arrived on this connection. The time is exact to a few milliseconds and rather too
/// late than too early. Returns `None` if the kernel no longer knows the connection.
pub fn last_data_arrival(stream: &TcpStream) -> Option<SystemTime> {
    let (own, other) = (stream.local_addr().ok()?, stream.peer_addr().ok()?);
    loop {
        let before = SystemTime::now();
        let age = time_since_data(own, other)?;
        // The kernel reports an age relative to the time of its reply. If this thread was preempted meanwhile, that
        // time is unknown, so the call is repeated.
        if before
            .elapsed()
            .is_ok_and(|took| took < Duration::from_millis(2))
        {
            return Some(before - age + Duration::from_millis(2));
        }
    }
}

fn time_since_data(own: SocketAddr, other: SocketAddr) -> Option<Duration> {
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
    let mut response = [0; 4096];
    let length = recv(fd, &mut response, MsgFlags::empty()).ok()?;
    parse_data_age(&response[..length])
}

/// Builds the netlink request for the state of one connection.
fn diag_request(own: SocketAddr, other: SocketAddr) -> Option<Vec<u8>> {
    let mut body: Vec<u8> = vec![
        nix::libc::AF_INET as u8,
        nix::libc::IPPROTO_TCP as u8,
        1 << (INET_DIAG_INFO - 1),
        0,
    ];
    // Connections in any state.
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
    // Any interface, no socket cookie.
    body.extend([0; 4]);
    body.extend([0xff; 8]);
    let mut message = ((HEADER_BYTES + body.len()) as u32).to_ne_bytes().to_vec();
    message.extend(SOCK_DIAG_BY_FAMILY.to_ne_bytes());
    message.extend(NLM_F_REQUEST.to_ne_bytes());
    message.extend([0; 8]);
    message.extend(body);
    Some(message)
}

/// Reads the age of the latest data from the reply to [`diag_request`].
fn parse_data_age(response: &[u8]) -> Option<Duration> {
    if u16_at(response, 4)? != SOCK_DIAG_BY_FAMILY {
        return None;
    }
    let mut offset = HEADER_BYTES + INET_DIAG_MSG_BYTES;
    loop {
        let (length, kind) = (
            usize::from(u16_at(response, offset)?),
            u16_at(response, offset + 2)?,
        );
        if kind == INET_DIAG_INFO {
            let millis = response
                .get(offset + 4 + LAST_DATA_RECV_OFFSET..)?
                .first_chunk()
                .map(|bytes| u32::from_ne_bytes(*bytes));
            return millis.map(|millis| Duration::from_millis(millis.into()));
        }
        offset += length.next_multiple_of(4).max(4);
    }
}

fn u16_at(bytes: &[u8], offset: usize) -> Option<u16> {
    bytes
        .get(offset..)?
        .first_chunk()
        .map(|bytes| u16::from_ne_bytes(*bytes))
}
