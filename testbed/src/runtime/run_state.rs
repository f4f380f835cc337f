//! Shared state of a run on real sockets: the world, the invariant checker and the front ends behind
//! their locks, the clock, and the dispatch of the world's effects to the tasks that carry them out.
//! A lock is held for one call into code without I/O and never across an await.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use tokio::sync::{mpsc, oneshot, watch, Notify};

use super::servers::SentRequests;
use crate::checker::{InvariantChecker, DISCOVERY_GRACE, DRAINED_AFTER};
use crate::scenario::Outage;
use crate::world::{
    Effect, FrontEnd, JobId, JobOutcome, Micros, NodeCommand, NodeId, Phase, ServerIx, World,
};

/// Longest time between two steps of the world.
const MAX_STEP_INTERVAL: Duration = Duration::from_millis(100);

/// State of a server's sockets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SocketState {
    /// Connections are accepted and requests answered.
    Open,
    /// Connections stay open, and nothing is accepted, read or written.
    Silent,
    /// Open connections are reset and new ones refused.
    Closed,
}

/// A command to the supervisor of a node's processes.
#[derive(Clone, Debug)]
pub enum SupervisorCommand {
    /// A command from the scenario's timeline.
    Node(NodeCommand),
    /// Operators cordon the server with this id (`true`) or uncordon it (`false`).
    Cordon(String, bool),
}

/// State that all tasks of a run share.
#[derive(Debug)]
pub struct RunState {
    world: Mutex<World>,
    checker: Mutex<Option<InvariantChecker>>,
    front_end: Mutex<FrontEnd>,
    load_start: OnceLock<(Instant, u64)>,
    socket_states: Mutex<Vec<watch::Sender<SocketState>>>,
    jobs: Mutex<HashMap<JobId, oneshot::Sender<JobOutcome>>>,
    next_job: AtomicU64,
    commands: Vec<mpsc::UnboundedSender<SupervisorCommand>>,
    /// Per node: notified when its discovery agent has an update.
    endpoint_updates: Vec<Arc<Notify>>,
    outage: watch::Sender<Option<Outage>>,
    world_changed: Notify,
    warnings: Mutex<Vec<String>>,
    /// Per node: when it entered standby, if it is in standby.
    standby: Mutex<Vec<Option<Micros>>>,
    /// The tries that clients have sent, for the servers to look up.
    pub sent_requests: SentRequests,
}

fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl RunState {
    /// Creates the state, and for each node the receiver of its commands. The channels are unbounded,
    /// as there are no more commands than entries in the scenario's timeline.
    pub fn new(
        world: World,
        checker: InvariantChecker,
        front_end: FrontEnd,
        nodes: usize,
    ) -> (RunState, Vec<mpsc::UnboundedReceiver<SupervisorCommand>>) {
        let (commands, receivers) = (0..nodes).map(|_| mpsc::unbounded_channel()).unzip();
        let socket_states = world
            .servers()
            .iter()
            .map(|_| watch::Sender::new(SocketState::Open))
            .collect();
        let run_state = RunState {
            world: Mutex::new(world),
            checker: Mutex::new(Some(checker)),
            front_end: Mutex::new(front_end),
            load_start: OnceLock::new(),
            socket_states: Mutex::new(socket_states),
            jobs: Mutex::default(),
            next_job: AtomicU64::new(1),
            commands,
            endpoint_updates: (0..nodes).map(|_| Arc::default()).collect(),
            outage: watch::Sender::new(None),
            world_changed: Notify::new(),
            warnings: Mutex::default(),
            standby: Mutex::new(vec![None; nodes]),
            sent_requests: SentRequests::default(),
        };
        (run_state, receivers)
    }

    /// Starts the clock of the load.
    pub fn start_load(&self) {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let _ = self
            .load_start
            .set((Instant::now(), unix.as_millis() as u64));
        self.world_changed.notify_one();
    }

    /// Microseconds since the load started; 0 before that.
    pub fn now(&self) -> Micros {
        self.load_start
            .get()
            .map_or(0, |(at, _)| at.elapsed().as_micros() as Micros)
    }

    /// Converts a time since the start of the load to an instant.
    pub fn instant(&self, at: Micros) -> tokio::time::Instant {
        let load_start = self
            .load_start
            .get()
            .map_or_else(Instant::now, |(load_start, _)| *load_start);
        (load_start + Duration::from_micros(at)).into()
    }

    /// Unix time at which the load started, in milliseconds; 0 before that.
    pub fn load_start_unix_ms(&self) -> u64 {
        self.load_start.get().map_or(0, |(_, unix)| *unix)
    }

    /// Calls the world with the current time, then dispatches the effects of the call.
    pub fn with_world<T>(&self, call: impl FnOnce(&mut World, Micros, &mut Vec<Effect>) -> T) -> T {
        let mut effects = Vec::new();
        let mut world = locked(&self.world);
        // Read under the lock, so that the world's time never goes backwards.
        let now = self.now();
        let result = call(&mut world, now, &mut effects);
        self.dispatch_effects(&mut world, now, effects);
        result
    }

    /// Like [`RunState::with_world`], and also wakes the task that advances the world, as the call may have
    /// brought the next event forward.
    pub fn with_world_and_wake<T>(
        &self,
        call: impl FnOnce(&mut World, Micros, &mut Vec<Effect>) -> T,
    ) -> T {
        let result = self.with_world(call);
        self.world_changed.notify_one();
        result
    }

    /// Calls the invariant checker; gives the default value once the checker has been taken.
    pub fn with_checker<T: Default>(&self, call: impl FnOnce(&mut InvariantChecker) -> T) -> T {
        locked(&self.checker).as_mut().map(call).unwrap_or_default()
    }

    /// Takes the invariant checker, at the end of the run.
    pub fn take_checker(&self) -> InvariantChecker {
        locked(&self.checker)
            .take()
            .expect("taken once, at the end")
    }

    /// Calls the front ends.
    pub fn with_front_end<T>(&self, call: impl FnOnce(&mut FrontEnd) -> T) -> T {
        call(&mut locked(&self.front_end))
    }

    /// Subscribes to the state of a server's sockets.
    pub fn socket_state(&self, server: ServerIx) -> watch::Receiver<SocketState> {
        let mut socket_states = locked(&self.socket_states);
        while socket_states.len() <= server {
            socket_states.push(watch::Sender::new(SocketState::Closed));
        }
        socket_states[server].subscribe()
    }

    fn set_socket_state(&self, server: ServerIx, socket_state: SocketState) {
        drop(self.socket_state(server));
        locked(&self.socket_states)[server].send_replace(socket_state);
    }

    /// Registers a job: its id, and the receiver of its outcome.
    pub fn job(&self) -> (JobId, oneshot::Receiver<JobOutcome>) {
        let id = JobId(self.next_job.fetch_add(1, Ordering::Relaxed));
        let (tx, rx) = oneshot::channel();
        locked(&self.jobs).insert(id, tx);
        (id, rx)
    }

    /// Unregisters a job whose outcome is no longer wanted.
    pub fn forget_job(&self, id: JobId) {
        locked(&self.jobs).remove(&id);
    }

    /// Records a failure that breaks no rule, such as an unconfirmed operator call or a failed upgrade.
    pub fn add_warning(&self, node: NodeId, warning: String) {
        let at = self.now() as f64 / 1e6;
        locked(&self.warnings).push(format!("n{} at {at:.3} s: {warning}", node + 1));
    }

    /// Takes the recorded warnings, at the end of the run.
    pub fn take_warnings(&self) -> Vec<String> {
        std::mem::take(&mut locked(&self.warnings))
    }

    /// Records when a node entered standby, from which time it has to release its clients; `None` if it is active.
    pub fn set_standby(&self, node: NodeId, since: Option<Micros>) {
        locked(&self.standby)[node] = since;
    }

    /// The nodes whose time to release their clients is over. Each is returned once.
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

    /// Notified when a node's discovery agent has an update.
    pub fn endpoint_updates(&self, node: NodeId) -> Arc<Notify> {
        self.endpoint_updates[node].clone()
    }

    /// Subscribes to the current discovery outage, if any.
    pub fn outage(&self) -> watch::Receiver<Option<Outage>> {
        self.outage.subscribe()
    }

    fn dispatch_effects(&self, world: &mut World, now: Micros, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Done { job, outcome, .. } => {
                    if let Some(tx) = locked(&self.jobs).remove(&job) {
                        let _ = tx.send(outcome);
                    }
                }
                Effect::Down(server) => self.set_socket_state(server, SocketState::Closed),
                Effect::Up(server) => self.set_socket_state(server, SocketState::Open),
                Effect::Silent(server, on) => self.set_socket_state(
                    server,
                    if on {
                        SocketState::Silent
                    } else {
                        SocketState::Open
                    },
                ),
                Effect::ColdOverload {
                    server,
                    informed_share,
                } => {
                    let id = world.servers()[server].id.clone();
                    self.with_checker(|checker| {
                        checker.cold_server_overloaded(&id, informed_share, now)
                    });
                }
                Effect::EndpointsUpdated(node) => {
                    // The node counts as informed after the grace period at the latest. If its watch delivers
                    // the update earlier, the checker is informed at that time.
                    let registry = world.registry();
                    let changed = registry.changes_since(node, 1).unwrap_or_default();
                    self.with_checker(|checker| {
                        for entry in changed
                            .iter()
                            .filter(|entry| entry.phase != Phase::InService)
                        {
                            checker.server_phase_known(
                                node,
                                &entry.id,
                                entry.phase,
                                now + DISCOVERY_GRACE,
                            );
                        }
                    });
                    self.endpoint_updates[node].notify_waiters();
                }
                Effect::Discovery(outage) => {
                    self.outage.send_replace(outage);
                    self.endpoint_updates
                        .iter()
                        .for_each(|endpoint_updates| endpoint_updates.notify_waiters());
                }
                Effect::Node(node, command) => {
                    drop(self.commands[node].send(SupervisorCommand::Node(command)))
                }
                Effect::Cordon(server, cordoned) => {
                    let id = &world.servers()[server].id;
                    for commands in &self.commands {
                        let _ = commands.send(SupervisorCommand::Cordon(id.clone(), cordoned));
                    }
                }
            }
        }
    }
}

/// Advances the world whenever its next event is due. `started` receives each server that comes up, new ones
/// included, so that its sockets are opened.
pub async fn drive_world(run_state: Arc<RunState>, started: mpsc::UnboundedSender<ServerIx>) {
    loop {
        let next = run_state.with_world(|world, now, out| {
            world.advance(now, out);
            for effect in out.iter() {
                if let Effect::Up(server) = effect {
                    let _ = started.send(*server);
                }
            }
            world.next_at()
        });
        let until = run_state
            .instant(next.unwrap_or(Micros::MAX / 4))
            .min(tokio::time::Instant::now() + MAX_STEP_INTERVAL);
        tokio::select! {
            () = tokio::time::sleep_until(until) => {}
            () = run_state.world_changed.notified() => {}
        }
    }
}
