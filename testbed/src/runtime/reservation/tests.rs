//! Who can bind a reserved address while the reservation is held.

use std::collections::BTreeSet;
use std::io::ErrorKind;
use std::net::{Ipv4Addr, TcpListener, TcpStream};

use super::Reservation;

const IP: Ipv4Addr = Ipv4Addr::new(127, 4, 9, 1);

#[test]
fn the_system_assigns_no_reserved_port() {
    // With this many ports, the system would assign some of them by chance if they were free.
    let reservations: Vec<Reservation> = (0..500).map(|_| Reservation::on(IP).unwrap()).collect();
    let listeners: Vec<TcpListener> = (0..500)
        .map(|_| TcpListener::bind((IP, 0)).unwrap())
        .collect();
    let mut all: BTreeSet<_> = reservations.iter().map(Reservation::addr).collect();
    all.extend(
        listeners
            .iter()
            .map(|listener| listener.local_addr().unwrap()),
    );
    assert_eq!(all.len(), reservations.len() + listeners.len());
}

#[test]
fn a_reserved_address_has_one_listener_at_a_time_and_can_be_bound_again() {
    let reservations = Reservation::on(IP).unwrap();
    for _ in 0..3 {
        assert_eq!(
            TcpStream::connect(reservations.addr()).unwrap_err().kind(),
            ErrorKind::ConnectionRefused
        );
        let listener = TcpListener::bind(reservations.addr()).unwrap();
        assert_eq!(
            TcpListener::bind(reservations.addr()).unwrap_err().kind(),
            ErrorKind::AddrInUse
        );
        let client = TcpStream::connect(reservations.addr()).unwrap();
        let (served, _) = listener.accept().unwrap();
        // The side that closes first stays in TIME_WAIT, which must not prevent the next bind.
        drop(served);
        drop(client);
    }
}
