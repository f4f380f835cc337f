//! Owns what all parts of the host share: the world, the referee and the fronts behind their locks, the
//! clock, and the way from the world's effects to the parts that carry them out. Locks are held for a
//! call into pure code and never over an await.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use tokio::sync::{mpsc, oneshot, watch, Notify};

use super::servers::Slips;
use crate::checker::{InvariantChecker, DISCOVERY_GRACE, DRAINED_AFTER};
use crate::scenario::Outage;
use crate::world::{
    Effect, FrontEnd, JobId, JobOutcome, Micros, NodeCommand, NodeId, Phase, ServerIx, World,
};

/// The pulse looks at the world at least this often.
const PULSE: Duration = Duration::from_millis(100);

/// What a server's sockets do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Gate {
    /// They accept and answer.
    Open,
    /// They say nothing.
    Silent,
    /// Connections are reset, new ones refused.
    Shut,
}

/// What a node's keeper has to do.
#[derive(Clone, Debug)]
pub enum Order {
    /// Of the time line.
    Do(NodeCommand),
    /// Operators leave a server out, or put it back.
    Hand(String, bool),
}

/// What all parts share.
#[derive(Debug)]
pub struct Stage {
    world: Mutex<World>,
    referee: Mutex<Option<InvariantChecker>>,
    front: Mutex<FrontEnd>,
    began: OnceLock<(Instant, u64)>,
    gates: Mutex<Vec<watch::Sender<Gate>>>,
    jobs: Mutex<HashMap<JobId, oneshot::Sender<JobOutcome>>>,
    next_job: AtomicU64,
    orders: Vec<mpsc::UnboundedSender<Order>>,
    /// For each node: its agent has something new.
    news: Vec<Arc<Notify>>,
    outage: watch::Sender<Option<Outage>>,
    kick: Notify,
    faults: Mutex<Vec<String>>,
    /// For each node since when it stands by, if it does.
    standby: Mutex<Vec<Option<Micros>>>,
    /// What servers must know of the tries that are out.
    pub slips: Slips,
}

fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Stage {
    /// The stage, and for each node the end at which its orders come. Orders are as few as the lines
    /// of a time line, so the channels need no bound.
    pub fn new(
        world: World,
        referee: InvariantChecker,
        front: FrontEnd,
        nodes: usize,
    ) -> (Stage, Vec<mpsc::UnboundedReceiver<Order>>) {
        let (orders, ends) = (0..nodes).map(|_| mpsc::unbounded_channel()).unzip();
        let gates = world
            .servers()
            .iter()
            .map(|_| watch::Sender::new(Gate::Open))
            .collect();
        let stage = Stage {
            world: Mutex::new(world),
            referee: Mutex::new(Some(referee)),
            front: Mutex::new(front),
            began: OnceLock::new(),
            gates: Mutex::new(gates),
            jobs: Mutex::default(),
            next_job: AtomicU64::new(1),
            orders,
            news: (0..nodes).map(|_| Arc::default()).collect(),
            outage: watch::Sender::new(None),
            kick: Notify::new(),
            faults: Mutex::default(),
            standby: Mutex::new(vec![None; nodes]),
            slips: Slips::default(),
        };
        (stage, ends)
    }

    /// The load begins now.
    pub fn begin(&self) {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let _ = self.began.set((Instant::now(), unix.as_millis() as u64));
        self.kick.notify_one();
    }

    /// Microseconds since the load began; 0 before.
    pub fn now(&self) -> Micros {
        self.began
            .get()
            .map_or(0, |(at, _)| at.elapsed().as_micros() as Micros)
    }

    /// The moment of a time since the load began.
    pub fn instant(&self, at: Micros) -> tokio::time::Instant {
        let began = self
            .began
            .get()
            .map_or_else(Instant::now, |(began, _)| *began);
        (began + Duration::from_micros(at)).into()
    }

    /// Unix time at which the load began, in milliseconds.
    pub fn began_unix_ms(&self) -> u64 {
        self.began.get().map_or(0, |(_, unix)| *unix)
    }

    /// Asks the world something at the present time, then passes its effects on.
    pub fn world<T>(&self, ask: impl FnOnce(&mut World, Micros, &mut Vec<Effect>) -> T) -> T {
        let mut effects = Vec::new();
        let mut world = locked(&self.world);
        // Read under the lock, so that the world's time never runs backwards.
        let now = self.now();
        let answer = ask(&mut world, now, &mut effects);
        self.pass_on(&mut world, now, effects);
        answer
    }

    /// The same, and something may now happen sooner than the world last said.
    pub fn disturb<T>(&self, ask: impl FnOnce(&mut World, Micros, &mut Vec<Effect>) -> T) -> T {
        let answer = self.world(ask);
        self.kick.notify_one();
        answer
    }

    /// Tells the referee something; nothing once it has been taken.
    pub fn referee<T: Default>(&self, tell: impl FnOnce(&mut InvariantChecker) -> T) -> T {
        locked(&self.referee).as_mut().map(tell).unwrap_or_default()
    }

    /// The referee, at the end.
    pub fn take_referee(&self) -> InvariantChecker {
        locked(&self.referee)
            .take()
            .expect("taken once, at the end")
    }

    /// The fronts.
    pub fn front<T>(&self, ask: impl FnOnce(&mut FrontEnd) -> T) -> T {
        ask(&mut locked(&self.front))
    }

    /// Follows a server's gate.
    pub fn gate(&self, server: ServerIx) -> watch::Receiver<Gate> {
        let mut gates = locked(&self.gates);
        while gates.len() <= server {
            gates.push(watch::Sender::new(Gate::Shut));
        }
        gates[server].subscribe()
    }

    fn set_gate(&self, server: ServerIx, gate: Gate) {
        drop(self.gate(server));
        locked(&self.gates)[server].send_replace(gate);
    }

    /// A number for a job and the end at which its ending comes.
    pub fn job(&self) -> (JobId, oneshot::Receiver<JobOutcome>) {
        let id = JobId(self.next_job.fetch_add(1, Ordering::Relaxed));
        let (tx, rx) = oneshot::channel();
        locked(&self.jobs).insert(id, tx);
        (id, rx)
    }

    /// Nobody waits for a job any more.
    pub fn forget_job(&self, id: JobId) {
        locked(&self.jobs).remove(&id);
    }

    /// Something went wrong that breaks no rule: a call without a yes, an upgrade that failed.
    pub fn note_fault(&self, node: NodeId, what: String) {
        let at = self.now() as f64 / 1e6;
        locked(&self.faults).push(format!("n{} at {at:.3} s: {what}", node + 1));
    }

    /// What was noted so, at the end.
    pub fn take_faults(&self) -> Vec<String> {
        std::mem::take(&mut locked(&self.faults))
    }

    /// A node was told to send its clients away (since when), or takes them again.
    pub fn set_standby(&self, node: NodeId, since: Option<Micros>) {
        locked(&self.standby)[node] = since;
    }

    /// The nodes that must have let go of their clients by now; each is named once.
    pub fn due_drains(&self) -> Vec<NodeId> {
        let now = self.now();
        let mut standby = locked(&self.standby);
        let due = |since: &Option<Micros>| since.is_some_and(|since| since + DRAINED_AFTER <= now);
        let nodes: Vec<NodeId> = (0..standby.len())
            .filter(|&node| due(&standby[node]))
            .collect();
        nodes.iter().for_each(|&node| standby[node] = None);
        nodes
    }

    /// Wakes when a node's agent has something new.
    pub fn news(&self, node: NodeId) -> Arc<Notify> {
        self.news[node].clone()
    }

    /// Follows the ways in which discovery is out of reach.
    pub fn outage(&self) -> watch::Receiver<Option<Outage>> {
        self.outage.subscribe()
    }

    fn pass_on(&self, world: &mut World, now: Micros, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Done {
                    job,
                    outcome: ending,
                    ..
                } => {
                    if let Some(tx) = locked(&self.jobs).remove(&job) {
                        let _ = tx.send(ending);
                    }
                }
                Effect::Down(server) => self.set_gate(server, Gate::Shut),
                Effect::Up(server) => self.set_gate(server, Gate::Open),
                Effect::Silent(server, on) => {
                    self.set_gate(server, if on { Gate::Silent } else { Gate::Open })
                }
                Effect::ColdOverload {
                    server,
                    informed_share: told,
                } => {
                    let id = world.servers()[server].id.clone();
                    self.referee(|referee| referee.cold_server_overloaded(&id, told, now));
                }
                Effect::EndpointsUpdated(node) => {
                    // Counts as told later in any case; the watch tells the referee when it is sooner.
                    let registry = world.registry();
                    let changed = registry.changes_since(node, 1).unwrap_or_default();
                    self.referee(|referee| {
                        for entry in changed
                            .iter()
                            .filter(|entry| entry.phase != Phase::InService)
                        {
                            referee.server_phase_known(
                                node,
                                &entry.id,
                                entry.phase,
                                now + DISCOVERY_GRACE,
                            );
                        }
                    });
                    self.news[node].notify_waiters();
                }
                Effect::Discovery(outage) => {
                    self.outage.send_replace(outage);
                    self.news.iter().for_each(|news| news.notify_waiters());
                }
                Effect::Node(node, order) => drop(self.orders[node].send(Order::Do(order))),
                Effect::Cordon(server, out) => {
                    let id = &world.servers()[server].id;
                    for orders in &self.orders {
                        let _ = orders.send(Order::Hand(id.clone(), out));
                    }
                }
            }
        }
    }
}

/// Lets the world go on by itself; `opened` hears of each server, new ones too, whose sockets are to open.
pub async fn pulse(stage: Arc<Stage>, opened: mpsc::UnboundedSender<ServerIx>) {
    loop {
        let next = stage.world(|world, now, out| {
            world.advance(now, out);
            for effect in out.iter() {
                if let Effect::Up(server) = effect {
                    let _ = opened.send(*server);
                }
            }
            world.next_at()
        });
        let until = stage
            .instant(next.unwrap_or(Micros::MAX / 4))
            .min(tokio::time::Instant::now() + PULSE);
        tokio::select! {
            () = tokio::time::sleep_until(until) => {}
            () = stage.kick.notified() => {}
        }
    }
}
