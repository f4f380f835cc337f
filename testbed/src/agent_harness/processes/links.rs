//! The links between real agents: a small proxy in front of each agent, for its datagrams and calls. It knows
//! the sender by its IP address and can lose, delay, duplicate, reorder and cut, by direction.

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

/// Longest lifetime of a connection through a link.
const MAX_CONNECTION_TIME: Duration = Duration::from_secs(10);

/// Behaviour of the link from one agent to another.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Link {
    /// Neither datagrams nor calls pass.
    pub cut: bool,
    /// Fraction of datagrams that is lost.
    pub loss: f64,
    /// Fraction of datagrams that is delivered twice.
    pub duplicates: f64,
    /// Fraction of datagrams that is delayed by up to [`Link::delay`], and so overtaken by others.
    pub late: f64,
    /// Longest delay of a datagram.
    pub delay: Duration,
}

struct State {
    default_link: Link,
    links: BTreeMap<(usize, usize), Link>,
    rng: Pcg64,
}

/// All links of a fleet.
#[derive(Clone)]
pub struct Links {
    addresses: Vec<SocketAddr>,
    state: Arc<Mutex<State>>,
}

impl Links {
    /// Opens a proxy in front of each agent, on an address of its own.
    pub async fn open(agents: Vec<SocketAddr>, seed: u64) -> io::Result<Links> {
        let state = State {
            default_link: Link::default(),
            links: BTreeMap::new(),
            rng: Pcg64::seed_from_u64(seed),
        };
        let mut links = Links {
            addresses: Vec::new(),
            state: Arc::new(Mutex::new(state)),
        };
        let mut proxies = Vec::new();
        for _ in &agents {
            // Both protocols use the same port; a port that is taken for TCP is passed over.
            loop {
                let udp = UdpSocket::bind("127.0.0.1:0").await?;
                let addr = udp.local_addr()?;
                if let Ok(tcp) = TcpListener::bind(addr).await {
                    links.addresses.push(addr);
                    proxies.push((udp, tcp));
                    break;
                }
            }
        }
        let agents_by_ip: BTreeMap<IpAddr, usize> = agents
            .iter()
            .enumerate()
            .map(|(at, addr)| (addr.ip(), at))
            .collect();
        let agents_by_ip = Arc::new(agents_by_ip);
        for (to, ((udp, tcp), addr)) in proxies.into_iter().zip(agents).enumerate() {
            tokio::spawn(relay_datagrams(
                links.clone(),
                Arc::new(udp),
                to,
                addr,
                agents_by_ip.clone(),
            ));
            tokio::spawn(relay_calls(
                links.clone(),
                tcp,
                to,
                addr,
                agents_by_ip.clone(),
            ));
        }
        Ok(links)
    }

    /// Address at which the other agents reach an agent.
    pub fn address(&self, agent: usize) -> SocketAddr {
        self.addresses[agent]
    }

    /// Sets the link from one agent to another from now on.
    pub fn set(&self, from: usize, to: usize, link: Link) {
        self.lock().links.insert((from, to), link);
    }

    /// Sets all links that were not set individually.
    pub fn set_all(&self, link: Link) {
        self.lock().default_link = link;
    }

    /// Partitions two groups of agents from each other, in both directions.
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

    /// Makes all links faultless again.
    pub fn heal(&self) {
        let mut state = self.lock();
        state.links.clear();
        state.default_link = Link::default();
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn link(&self, from: Option<usize>, to: usize) -> Link {
        let state = self.lock();
        from.and_then(|from| state.links.get(&(from, to)).copied())
            .unwrap_or(state.default_link)
    }

    /// Delays after which the copies of a datagram arrive; empty when it is lost.
    fn arrivals(&self, from: Option<usize>, to: usize) -> Vec<Duration> {
        let link = self.link(from, to);
        let rng = &mut self.lock().rng;
        let mut chance = |probability: f64| probability > 0.0 && rng.random::<f64>() < probability;
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

async fn relay_datagrams(
    links: Links,
    socket: Arc<UdpSocket>,
    to: usize,
    addr: SocketAddr,
    agents_by_ip: Arc<BTreeMap<IpAddr, usize>>,
) {
    let mut buffer = vec![0; 64 << 10];
    loop {
        // A receive error concerns an earlier datagram to a closed port.
        let Ok((length, from)) = socket.recv_from(&mut buffer).await else {
            continue;
        };
        for after in links.arrivals(agents_by_ip.get(&from.ip()).copied(), to) {
            if after.is_zero() {
                let _ = socket.send_to(&buffer[..length], addr).await;
            } else {
                let (socket, bytes) = (socket.clone(), buffer[..length].to_vec());
                tokio::spawn(async move {
                    sleep(after).await;
                    let _ = socket.send_to(&bytes, addr).await;
                });
            }
        }
    }
}

async fn relay_calls(
    links: Links,
    listener: TcpListener,
    to: usize,
    addr: SocketAddr,
    agents_by_ip: Arc<BTreeMap<IpAddr, usize>>,
) {
    loop {
        let Ok((mut stream, peer)) = listener.accept().await else {
            sleep(Duration::from_millis(20)).await;
            continue;
        };
        let from = agents_by_ip.get(&peer.ip()).copied();
        let reverse_cut = from.map(|from| links.link(Some(to), from).cut);
        // An answer needs both directions. A connection over a cut link hangs, as it does on a network.
        let cut = links.link(from, to).cut || reverse_cut == Some(true);
        tokio::spawn(timeout(MAX_CONNECTION_TIME, async move {
            if cut {
                sleep(MAX_CONNECTION_TIME).await;
            } else if let Ok(mut upstream) = connect(addr).await {
                let _ = copy_bidirectional(&mut stream, &mut upstream).await;
            }
        }));
    }
}

async fn connect(addr: SocketAddr) -> io::Result<TcpStream> {
    TcpSocket::new_v4()?.connect(addr).await
}
