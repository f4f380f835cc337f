//! Reserved addresses: whose they are while they are held.

use std::collections::BTreeSet;
use std::io::ErrorKind;
use std::net::{Ipv4Addr, TcpListener, TcpStream};

use super::Reservation;

const IP: Ipv4Addr = Ipv4Addr::new(127, 4, 9, 1);

#[test]
fn nobody_is_given_an_address_that_is_reserved() {
    // So many that the system's own choice would meet some of them by chance, were they free.
    let held: Vec<Reservation> = (0..500).map(|_| Reservation::on(IP).unwrap()).collect();
    let listeners: Vec<TcpListener> = (0..500)
        .map(|_| TcpListener::bind((IP, 0)).unwrap())
        .collect();
    let mut all: BTreeSet<_> = held.iter().map(Reservation::addr).collect();
    all.extend(
        listeners
            .iter()
            .map(|listener| listener.local_addr().unwrap()),
    );
    assert_eq!(all.len(), held.len() + listeners.len());
}

#[test]
fn one_at_a_time_listens_at_a_reserved_address_and_another_after_it() {
    let held = Reservation::on(IP).unwrap();
    for _ in 0..3 {
        assert_eq!(
            TcpStream::connect(held.addr()).unwrap_err().kind(),
            ErrorKind::ConnectionRefused
        );
        let listener = TcpListener::bind(held.addr()).unwrap();
        assert_eq!(
            TcpListener::bind(held.addr()).unwrap_err().kind(),
            ErrorKind::AddrInUse
        );
        let client = TcpStream::connect(held.addr()).unwrap();
        let (served, _) = listener.accept().unwrap();
        // The side that ends first rests in the system's table, which must not keep the address from the next.
        drop(served);
        drop(client);
    }
}
