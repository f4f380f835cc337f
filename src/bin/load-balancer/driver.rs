//! The one task that owns the decisions: events in, actions carried out in their order.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use hyper::header::HeaderMap;
use load_balancer::{
    Action, AttemptResult, Balancer, ClassId, DiscoveryMode, Event, Key, Micros, Outcome, Request,
    RequestId, ServerId, Settings, TenantId, TimerId, UpdateKind, DISCOVERY_CALL_INTERVAL,
};
use tokio::sync::{mpsc, oneshot};
use tokio::task::spawn_local;
use tokio::time::Instant;
use tokio_util::time::{delay_queue, DelayQueue};

use crate::bans::Bans;
use crate::body::Reply;
use crate::counts::{Counts, REPORT};
use crate::discovery::{watch, News, AT_ONCE, IN_TURN};
use crate::list::{longest, List};
use crate::peers::Peers;
use crate::servers::{Call, Ended, Servers, TIDY};
use crate::task::{AbortOnDrop, Budget};

/// The module answers at the deadline it was given; what it has not answered this much later, the
/// node answers, whatever the module does.
const OVERDUE: Duration = Duration::from_millis(5);
/// Pause before a watch that the module does not ask for is opened again.
const AGAIN: Duration = Duration::from_millis(500);
/// And where what it brought was refused, which costs both sides a whole list each time.
const AGAIN_AFTER_REFUSAL: Duration = Duration::from_millis(2_500);
/// How often the file of servers left out is read: another process may have written it, and what it
/// said yes to binds this one within the time of a drain.
const FOLLOW: Duration = Duration::from_millis(100);

/// A final answer.
pub enum Answer {
    Served(HeaderMap, Reply),
    Refused(Option<Duration>),
    Failed,
    /// The node's own, at the deadline.
    Late,
}

/// A client's request.
pub struct Arrival {
    /// Never used twice: what the client calls it may well be.
    pub id: u64,
    pub class: ClassId,
    pub tenant: Option<TenantId>,
    pub key: Option<Key>,
    pub repeat: bool,
    pub cost: Option<Micros>,
    /// By when it is to be answered; `None` while its body is coming.
    pub deadline: Option<Instant>,
    pub call: Rc<Call>,
    pub reply: oneshot::Sender<Answer>,
}

/// What the sockets tell. There is no bound on the channel: each request, attempt, probe and
/// watch has a message or two in it at the most, and their numbers are bounded.
pub enum Msg {
    Request(Box<Arrival>),
    /// The last byte of a request that was coming is here; by when it is to be answered.
    Whole(u64, Instant),
    /// The client no longer waits.
    Gone(u64),
    Closed {
        id: u64,
        attempt: u32,
        ended: Ended,
    },
    Probed {
        server: ServerId,
        ended: Ended,
        spent: Duration,
    },
    News {
        watch: u64,
        news: News,
    },
    Peer {
        from: u32,
        data: Vec<u8>,
    },
    /// Discovery answers at this address from now on.
    Discovery(SocketAddr),
    /// These are the settings from now on.
    Settings(Box<Settings>),
    /// Leave a server out, or put it back.
    Maintain {
        id: String,
        out: bool,
        reply: oneshot::Sender<Maintained>,
    },
    /// How many listed servers are avoided?
    Avoided(oneshot::Sender<usize>),
}

/// What became of a call to leave a server out or put it back.
pub enum Maintained {
    Done,
    /// No server of that id was ever listed.
    Unknown,
    /// It could not be kept for the next process, and was not done.
    NotKept(std::io::Error),
}

/// An attempt that is out.
struct Out {
    server: ServerId,
    sent: Instant,
    /// Ends the attempt and closes its connection.
    _task: AbortOnDrop,
}

/// A request until it is answered and nothing of it is out.
struct Held {
    /// `None` once it has its answer or its client is gone.
    reply: Option<oneshot::Sender<Answer>>,
    call: Rc<Call>,
    /// Neither while its body is coming.
    deadline: Option<Instant>,
    overdue: Option<delay_queue::Key>,
    attempts: Vec<Option<Out>>,
}

/// What falls due.
enum Due {
    Timer(TimerId),
    Overdue(u64),
    Tidy,
    Watch,
    Report,
    Bans,
}

/// The one watch that there may be: being opened or open, or to be opened again.
enum Watch {
    Ended,
    Open { _task: AbortOnDrop },
    Pauses(delay_queue::Key),
}

pub struct Driver {
    balancer: Balancer,
    clock: Clock,
    held: HashMap<u64, Held>,
    due: DelayQueue<Due>,
    /// Events that carrying out actions has brought.
    events: VecDeque<Event>,
    servers: Rc<Servers>,
    peers: Option<Rc<Peers>>,
    counts: Rc<Counts>,
    discovery: SocketAddr,
    /// Sockets for watches.
    sockets: Rc<Budget>,
    mode: DiscoveryMode,
    max_attempts: usize,
    revision: u64,
    /// The longest text of a list that is read.
    longest_list: usize,
    /// Why the last watch ended: logged once while it stays the same.
    fault: String,
    /// The number of the present watch, and how it stands.
    watch: u64,
    watching: Watch,
    tx: mpsc::UnboundedSender<Msg>,
    /// `None` where operators don't call.
    bans: Option<Bans>,
}

/// The module's clock: Unix time at the start and monotonic from there, so that the times at
/// which servers started need no conversion.
struct Clock {
    start: Instant,
    unix: Micros,
}

impl Clock {
    fn now(&self) -> Micros {
        self.unix + self.start.elapsed().as_micros() as Micros
    }
}

impl Driver {
    pub fn new(
        config: &crate::config::Config,
        servers: Rc<Servers>,
        peers: Option<Rc<Peers>>,
        counts: Rc<Counts>,
        sockets: Rc<Budget>,
        tx: mpsc::UnboundedSender<Msg>,
    ) -> Self {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default()
            .as_micros() as Micros;
        Driver {
            balancer: Balancer::new(config.setup.settings.clone(), config.seed),
            clock: Clock {
                start: Instant::now(),
                unix,
            },
            held: HashMap::new(),
            due: DelayQueue::new(),
            events: VecDeque::new(),
            servers,
            peers,
            counts,
            discovery: config.discovery,
            sockets,
            mode: config.setup.settings.discovery_mode,
            max_attempts: config.setup.settings.max_attempts as usize,
            revision: 0,
            longest_list: longest(config.memory),
            fault: String::new(),
            watch: 0,
            watching: Watch::Ended,
            tx,
            bans: None,
        }
    }

    /// Starts the module with the list that the node last had and the servers that are left out.
    pub fn start(&mut self, known: List, bans: Option<Bans>) {
        if let Some(bans) = &bans {
            let out: Vec<_> = bans.ids().map(|id| (id.clone(), true)).collect();
            self.heed(out);
            self.due.insert(Due::Bans, FOLLOW);
        }
        self.bans = bans;
        self.revision = known.revision.unwrap_or(0);
        let (_, members) = self.servers.apply(&known, false);
        drop(known);
        self.events.push_back(Event::EndpointUpdate {
            kind: UpdateKind::Cached,
            endpoints: members,
        });
        self.due.insert(Due::Tidy, TIDY);
        self.due.insert(Due::Report, REPORT);
        if self.mode == DiscoveryMode::Push {
            self.subscribe();
        }
        self.settle();
    }

    pub async fn run(mut self, mut rx: mpsc::UnboundedReceiver<Msg>) {
        loop {
            tokio::select! {
                msg = rx.recv() => match msg {
                    Some(msg) => self.take(msg),
                    None => return,
                },
                Some(due) = std::future::poll_fn(|cx| self.due.poll_expired(cx)) => {
                    self.fall_due(due.into_inner());
                }
            }
            self.settle();
        }
    }

    fn fall_due(&mut self, due: Due) {
        match due {
            Due::Timer(timer) => self.events.push_back(Event::Timer(timer)),
            Due::Tidy => {
                self.servers.tidy();
                self.due.insert(Due::Tidy, TIDY);
            }
            Due::Watch => {
                self.watching = Watch::Ended;
                self.subscribe();
            }
            Due::Bans => {
                let changed = self.bans.as_mut().map(Bans::follow).unwrap_or_default();
                self.heed(changed);
                self.due.insert(Due::Bans, FOLLOW);
            }
            Due::Report => {
                crate::log::line(format_args!(
                    "{}; {}",
                    self.counts.report(),
                    self.balancer.load_summary()
                ));
                self.due.insert(Due::Report, REPORT);
            }
            Due::Overdue(id) => {
                if let Some(held) = self.held.get_mut(&id) {
                    held.overdue = None;
                    if let Some(reply) = held.reply.take() {
                        crate::log::line(format_args!(
                            "a request was not answered by its deadline"
                        ));
                        let _ = reply.send(Answer::Late);
                        self.events
                            .push_back(Event::RequestAbandoned(request_id(id)));
                    }
                }
            }
        }
    }

    fn take(&mut self, msg: Msg) {
        match msg {
            Msg::Request(arrival) => self.request(*arrival),
            Msg::Whole(id, deadline) => self.whole(id, deadline),
            Msg::Gone(id) => {
                let Some(held) = self.held.get_mut(&id) else {
                    return;
                };
                if held.reply.take().is_some() {
                    if let Some(overdue) = held.overdue.take() {
                        self.due.remove(&overdue);
                    }
                    self.events
                        .push_back(Event::RequestAbandoned(request_id(id)));
                    self.forget(id);
                }
            }
            Msg::Closed { id, attempt, ended } => self.closed(id, attempt, ended),
            Msg::Probed {
                server,
                ended,
                spent,
            } => {
                let Ended { outcome, load, .. } = ended;
                let spent = spent.as_micros() as Micros;
                self.events.push_back(Event::HealthCheckEnded {
                    server,
                    outcome,
                    elapsed: spent,
                    load_report: load,
                });
            }
            Msg::News { watch, news } if watch == self.watch => self.news(news),
            Msg::News { .. } => {}
            Msg::Peer { from, data } => self.events.push_back(Event::PeerMessage { from, data }),
            Msg::Maintain { id, out, reply } => {
                let done = self.maintain(&id, out);
                // The yes says that nothing more is decided for it.
                self.settle();
                let _ = reply.send(done);
            }
            Msg::Avoided(reply) => drop(reply.send(self.balancer.avoided_servers())),
            Msg::Settings(settings) => {
                self.max_attempts = settings.max_attempts as usize;
                self.events.push_back(Event::Settings(settings));
            }
            Msg::Discovery(addr) => {
                self.discovery = addr;
                // Whoever asked for the watch there was, it ends with the old address.
                self.subscribe();
            }
        }
    }

    fn maintain(&mut self, id: &str, out: bool) -> Maintained {
        let Some(bans) = &mut self.bans else {
            return Maintained::Unknown;
        };
        if !self.servers.was_listed(id) && !bans.holds(id) {
            return Maintained::Unknown;
        }
        match bans.set(id, out) {
            Ok(changed) => {
                self.heed(changed);
                Maintained::Done
            }
            Err(error) => {
                crate::log::line(format_args!("server {id} stays as it was: {error}"));
                Maintained::NotKept(error)
            }
        }
    }

    /// Servers were left out or put back.
    fn heed(&mut self, changed: Vec<(String, bool)>) {
        for (id, out) in changed {
            crate::log::line(format_args!(
                "server {id} is {}",
                if out { "left out" } else { "put back" }
            ));
            let server = self.servers.maintain(&id, out);
            self.events.push_back(Event::Cordon {
                server,
                cordoned: out,
            });
        }
    }

    fn request(&mut self, arrival: Arrival) {
        self.counts.taken.add();
        let Arrival {
            id,
            class,
            tenant,
            key,
            repeat,
            cost,
            deadline,
            call,
            reply,
        } = arrival;
        let patience = deadline.map_or(Micros::from(u32::MAX), left);
        let coming = deadline.is_none();
        let overdue =
            deadline.map(|deadline| self.due.insert_at(Due::Overdue(id), deadline + OVERDUE));
        self.held.insert(
            id,
            Held {
                reply: Some(reply),
                call,
                deadline,
                overdue,
                attempts: Vec::new(),
            },
        );
        let id = request_id(id);
        let request = Request {
            id,
            remaining_timeout: patience,
            class,
            cost,
            is_retry: repeat,
            tenant,
            key,
            body_pending: coming,
        };
        self.events.push_back(Event::Request(request));
    }

    /// The times of a request that was sent as it came count from now.
    fn whole(&mut self, id: u64, deadline: Instant) {
        let Some(held) = self.held.get_mut(&id).filter(|held| held.reply.is_some()) else {
            return;
        };
        held.deadline = Some(deadline);
        held.overdue = Some(self.due.insert_at(Due::Overdue(id), deadline + OVERDUE));
        held.attempts
            .iter_mut()
            .flatten()
            .for_each(|out| out.sent = Instant::now());
        self.events.push_back(Event::RequestComplete {
            id: request_id(id),
            remaining_timeout: left(deadline),
        });
    }

    /// Answers a request, unless it has its answer.
    fn answer(&mut self, id: u64, answer: Answer) {
        let Some(held) = self.held.get_mut(&id) else {
            return;
        };
        if let Some(reply) = held.reply.take() {
            if let Some(overdue) = held.overdue.take() {
                self.due.remove(&overdue);
            }
            let _ = reply.send(answer);
        }
        self.forget(id);
    }

    /// Drops what is over.
    fn forget(&mut self, id: u64) {
        let over = |held: &Held| held.reply.is_none() && held.attempts.iter().all(Option::is_none);
        if self.held.get(&id).is_some_and(over) {
            self.held.remove(&id);
        }
    }

    fn closed(&mut self, id: u64, attempt: u32, ended: Ended) {
        let Some(held) = self.held.get_mut(&id) else {
            return;
        };
        // One that was cancelled meanwhile has had its outcome.
        let Some(out) = held
            .attempts
            .get_mut(attempt as usize)
            .and_then(Option::take)
        else {
            return;
        };
        let Ended {
            outcome,
            load,
            answer,
        } = ended;
        if let Some((headers, reply)) = answer {
            self.answer(id, Answer::Served(headers, reply));
        }
        let done = self.held.get(&id).is_none_or(|held| held.reply.is_none());
        let spent = out.sent.elapsed().as_micros() as Micros;
        let (server, id_) = (out.server, request_id(id));
        self.events.push_back(Event::AttemptEnded(AttemptResult {
            id: id_,
            attempt,
            server,
            outcome,
            elapsed: spent,
            request_ended: done,
            load_report: load,
        }));
        self.forget(id);
    }

    fn news(&mut self, news: News) {
        match news {
            News::List(list) => {
                self.fault.clear();
                let older = list
                    .revision
                    .is_some_and(|revision| revision < self.revision);
                if let Some(revision) = list.revision.filter(|_| older) {
                    crate::log::line(format_args!(
                        "discovery: a list of revision {revision} is older than {}: it takes nothing back",
                        self.revision
                    ));
                }
                if let Some(complaint) = list.complaint() {
                    crate::log::line(format_args!("discovery: a list: {complaint}"));
                }
                self.revision = list
                    .revision
                    .map_or(self.revision, |revision| revision.max(self.revision));
                let (kind, members) = self.servers.apply(&list, older);
                self.events.push_back(Event::EndpointUpdate {
                    kind,
                    endpoints: members,
                });
            }
            News::Failed {
                silent,
                refused,
                why,
                heard,
            } => {
                self.watching = Watch::Ended;
                if self.fault != why {
                    let (listed, revision) = (self.servers.listed(), self.revision);
                    let stands =
                        format!("the list of {listed} servers at revision {revision} stands");
                    crate::log::line(format_args!("discovery: {why}; {stands}"));
                    self.fault = why;
                }
                let pause = if refused { AGAIN_AFTER_REFUSAL } else { AGAIN };
                match self.mode {
                    DiscoveryMode::Poll => {
                        self.events.push_back(Event::EndpointUpdate {
                            kind: UpdateKind::Failed,
                            endpoints: Vec::new(),
                        });
                        // Also after a call that the module knows nothing of, as SIGHUP's.
                        let latest = heard + Duration::from_micros(DISCOVERY_CALL_INTERVAL);
                        let latest = self.due.insert_at(Due::Watch, latest);
                        self.watching = Watch::Pauses(latest);
                    }
                    // It has been waited for already.
                    DiscoveryMode::Push if silent => self.subscribe(),
                    DiscoveryMode::Push => {
                        self.watching = Watch::Pauses(self.due.insert(Due::Watch, pause))
                    }
                }
            }
        }
    }

    /// Hands the module what has come and carries out what it says, until all is quiet.
    fn settle(&mut self) {
        let mut actions = Vec::new();
        while let Some(event) = self.events.pop_front() {
            if let Event::AttemptEnded(closed) = &event {
                self.counts.closed(closed.outcome);
            }
            self.balancer
                .on_event(self.clock.now(), event, &mut actions);
            for action in actions.drain(..) {
                self.carry_out(action);
            }
        }
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Send {
                id,
                server,
                timeout: limit,
            } => self.send(number(&id), server, limit),
            Action::Cancel { id, attempt } => self.cancel(number(&id), attempt),
            Action::Reject { id, retry_after } => {
                let wait = (retry_after > 0).then(|| Duration::from_micros(retry_after));
                self.answer(number(&id), Answer::Refused(wait));
            }
            Action::Fail { id } => self.answer(number(&id), Answer::Failed),
            Action::HealthCheck(server) => {
                let (servers, tx) = (self.servers.clone(), self.tx.clone());
                spawn_local(async move {
                    let sent = Instant::now();
                    let ended = servers.probe(server).await;
                    let _ = tx.send(Msg::Probed {
                        server,
                        ended,
                        spent: sent.elapsed(),
                    });
                });
            }
            Action::CloseIdleConnections(server) => self.servers.close_idle(server),
            Action::SetTimer { delay, timer } => {
                self.due
                    .insert(Due::Timer(timer), Duration::from_micros(delay));
            }
            // One that is open or being opened answers this call too.
            Action::Subscribe if matches!(self.watching, Watch::Open { .. }) => {}
            Action::Subscribe => self.subscribe(),
            Action::SendToPeer { peer, data } => {
                if let Some(peers) = &self.peers {
                    peers.tell(peer, &data);
                }
            }
            Action::Log(line) => crate::log::line(format_args!("{line}")),
        }
    }

    fn send(&mut self, id: u64, server: ServerId, limit: Micros) {
        let now = Instant::now();
        let held = self.held.get_mut(&id);
        let attempt = held.as_ref().map_or(0, |held| held.attempts.len());
        let in_time = |held: &Held| held.deadline.is_none_or(|deadline| now < deadline);
        // The client's leaving may still be on its way here: it is known before it is told.
        let wanted = |held: &Held| held.reply.is_some() && !held.call.client.is_gone();
        let lawful = held.filter(|h| wanted(h) && attempt < self.max_attempts && in_time(h));
        let Some(held) = lawful else {
            // Nothing goes out for what is over.
            let done = self.held.get(&id).is_none_or(|held| held.reply.is_none());
            if let Some(held) = self.held.get_mut(&id) {
                held.attempts.push(None);
            }
            let (id, attempt, outcome) = (request_id(id), attempt as u32, Outcome::NotSent);
            let closed = AttemptResult {
                id,
                attempt,
                server,
                outcome,
                elapsed: 0,
                request_ended: done,
                load_report: Vec::new(),
            };
            return self.events.push_back(Event::AttemptEnded(closed));
        };
        let until = held.deadline.map(|deadline| match limit {
            0 => deadline,
            limit => deadline.min(now + Duration::from_micros(limit)),
        });
        let (servers, call, tx) = (self.servers.clone(), held.call.clone(), self.tx.clone());
        let attempt = attempt as u32;
        let task = AbortOnDrop::spawn(async move {
            let ended = servers.attempt(server, &call, until).await;
            let _ = tx.send(Msg::Closed { id, attempt, ended });
        });
        held.attempts.push(Some(Out {
            server,
            sent: now,
            _task: task,
        }));
    }

    fn cancel(&mut self, id: u64, attempt: u32) {
        let Some(held) = self.held.get_mut(&id) else {
            return;
        };
        let Some(out) = held
            .attempts
            .get_mut(attempt as usize)
            .and_then(Option::take)
        else {
            return;
        };
        let spent = out.sent.elapsed().as_micros() as Micros;
        let (server, sent, done) = (out.server, out.sent, held.reply.is_none());
        drop(out);
        // It may be silent because its machine is gone.
        self.servers.doubt(server, sent);
        let (id_, outcome) = (request_id(id), Outcome::Cancelled);
        self.events.push_back(Event::AttemptEnded(AttemptResult {
            id: id_,
            attempt,
            server,
            outcome,
            elapsed: spent,
            request_ended: done,
            load_report: Vec::new(),
        }));
        self.forget(id);
    }

    /// Opens a watch in place of the one there may be.
    fn subscribe(&mut self) {
        if let Watch::Pauses(due) = std::mem::replace(&mut self.watching, Watch::Ended) {
            self.due.remove(&due);
        }
        self.watch += 1;
        let (number, tx) = (self.watch, self.tx.clone());
        let (addr, revision, sockets) = (self.discovery, self.revision, self.sockets.clone());
        let patience = match self.mode {
            DiscoveryMode::Push => AT_ONCE,
            DiscoveryMode::Poll => IN_TURN,
        };
        let longest = self.longest_list;
        let task = AbortOnDrop::spawn(async move {
            let tell = |news| {
                drop(tx.send(Msg::News {
                    watch: number,
                    news,
                }))
            };
            watch(addr, revision, (patience, longest), sockets, tell).await;
        });
        self.watching = Watch::Open { _task: task };
    }
}

/// The time that is left, as the module counts.
fn left(deadline: Instant) -> Micros {
    deadline
        .saturating_duration_since(Instant::now())
        .as_micros() as Micros
}

/// A request's number in the module's form, and back.
fn request_id(id: u64) -> RequestId {
    let mut bytes = [0; 36];
    bytes[..8].copy_from_slice(&id.to_le_bytes());
    RequestId(bytes)
}

fn number(id: &RequestId) -> u64 {
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&id.0[..8]);
    u64::from_le_bytes(bytes)
}
