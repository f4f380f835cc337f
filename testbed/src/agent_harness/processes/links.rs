//! Owns what is between real agents: a small proxy before each, for its datagrams and calls, which knows the sender by
//! its IP and can lose, delay, double, reorder and cut, by direction.

use std::collections::BTreeMap;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use tokio::io::copy_bidirectional;
use tokio::net::{TcpListener, TcpSocket, TcpStream, UdpSocket};
use tokio::time::{sleep, timeout};

/// Connections through a link last this long, at most.
const LONGEST_CALL: Duration = Duration::from_secs(10);

/// What one direction between two agents does.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Link {
    /// Nothing passes, calls among it.
    pub cut: bool,
    /// The part of datagrams that is lost.
    pub loss: f64,
    /// The part that comes twice.
    pub duplicates: f64,
    /// The part that comes late by up to [`Link::delay`], and so after others.
    pub late: f64,
    /// The longest delay.
    pub delay: Duration,
}

struct State {
    usual: Link,
    links: BTreeMap<(usize, usize), Link>,
    rng: Pcg64,
}

/// All links.
#[derive(Clone)]
pub struct Links {
    addresses: Vec<SocketAddr>,
    state: Arc<Mutex<State>>,
}

impl Links {
    /// A proxy before each agent, on an address of its own.
    pub async fn open(agents: Vec<SocketAddr>, seed: u64) -> io::Result<Links> {
        let state = State {
            usual: Link::default(),
            links: BTreeMap::new(),
            rng: Pcg64::seed_from_u64(seed),
        };
        let mut links = Links {
            addresses: Vec::new(),
            state: Arc::new(Mutex::new(state)),
        };
        let mut doors = Vec::new();
        for _ in &agents {
            // The same port for both: one that another has for calls is passed over.
            loop {
                let udp = UdpSocket::bind("127.0.0.1:0").await?;
                let addr = udp.local_addr()?;
                if let Ok(tcp) = TcpListener::bind(addr).await {
                    links.addresses.push(addr);
                    doors.push((udp, tcp));
                    break;
                }
            }
        }
        let ips: BTreeMap<IpAddr, usize> = agents
            .iter()
            .enumerate()
            .map(|(at, addr)| (addr.ip(), at))
            .collect();
        let ips = Arc::new(ips);
        for (to, ((udp, tcp), addr)) in doors.into_iter().zip(agents).enumerate() {
            tokio::spawn(datagrams(
                links.clone(),
                Arc::new(udp),
                to,
                addr,
                ips.clone(),
            ));
            tokio::spawn(calls(links.clone(), tcp, to, addr, ips.clone()));
        }
        Ok(links)
    }

    /// Where others reach an agent.
    pub fn address(&self, agent: usize) -> SocketAddr {
        self.addresses[agent]
    }

    /// One direction from now on.
    pub fn set(&self, from: usize, to: usize, link: Link) {
        self.lock().links.insert((from, to), link);
    }

    /// All directions that were not set by themselves.
    pub fn set_all(&self, link: Link) {
        self.lock().usual = link;
    }

    /// Cuts two groups off from each other, both ways.
    pub fn partition(&self, one: &[usize], other: &[usize]) {
        for &a in one {
            for &b in other {
                self.set(
                    a,
                    b,
                    Link {
                        cut: true,
                        ..Link::default()
                    },
                );
                self.set(
                    b,
                    a,
                    Link {
                        cut: true,
                        ..Link::default()
                    },
                );
            }
        }
    }

    /// All are good again.
    pub fn heal(&self) {
        let mut state = self.lock();
        state.links.clear();
        state.usual = Link::default();
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn link(&self, from: Option<usize>, to: usize) -> Link {
        let state = self.lock();
        from.and_then(|from| state.links.get(&(from, to)).copied())
            .unwrap_or(state.usual)
    }

    /// When the copies of a datagram arrive, from now.
    fn arrivals(&self, from: Option<usize>, to: usize) -> Vec<Duration> {
        let link = self.link(from, to);
        let rng = &mut self.lock().rng;
        let mut chance = |part: f64| part > 0.0 && rng.random::<f64>() < part;
        if link.cut || chance(link.loss) {
            return Vec::new();
        }
        let copies = 1 + usize::from(chance(link.duplicates));
        let late: Vec<bool> = (0..copies).map(|_| chance(link.late)).collect();
        late.into_iter()
            .map(|late| {
                if late {
                    link.delay.mul_f64(rng.random())
                } else {
                    Duration::ZERO
                }
            })
            .collect()
    }
}

async fn datagrams(
    links: Links,
    door: Arc<UdpSocket>,
    to: usize,
    addr: SocketAddr,
    ips: Arc<BTreeMap<IpAddr, usize>>,
) {
    let mut buffer = vec![0; 64 << 10];
    loop {
        // An error is of an earlier datagram to a port that nobody has.
        let Ok((length, from)) = door.recv_from(&mut buffer).await else {
            continue;
        };
        for after in links.arrivals(ips.get(&from.ip()).copied(), to) {
            if after.is_zero() {
                let _ = door.send_to(&buffer[..length], addr).await;
            } else {
                let (door, bytes) = (door.clone(), buffer[..length].to_vec());
                tokio::spawn(async move {
                    sleep(after).await;
                    let _ = door.send_to(&bytes, addr).await;
                });
            }
        }
    }
}

async fn calls(
    links: Links,
    door: TcpListener,
    to: usize,
    addr: SocketAddr,
    ips: Arc<BTreeMap<IpAddr, usize>>,
) {
    loop {
        let Ok((mut stream, peer)) = door.accept().await else {
            sleep(Duration::from_millis(20)).await;
            continue;
        };
        let from = ips.get(&peer.ip()).copied();
        let back = from.map(|from| links.link(Some(to), from).cut);
        // An answer needs both directions. What is cut hangs, as it does on a network.
        let cut = links.link(from, to).cut || back == Some(true);
        tokio::spawn(timeout(LONGEST_CALL, async move {
            if cut {
                sleep(LONGEST_CALL).await;
            } else if let Ok(mut inner) = connect(addr).await {
                let _ = copy_bidirectional(&mut stream, &mut inner).await;
            }
        }));
    }
}

async fn connect(addr: SocketAddr) -> io::Result<TcpStream> {
    TcpSocket::new_v4()?.connect(addr).await
}
