//! Owns one server: its machine, its slots and waiting room, its memory of keys, its connections, the
//! jam and the cold start. It knows nothing of nodes, of the list or of other servers.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, VecDeque};

use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64;

use super::machine::Machine;
use super::registry::{Entry, Phase};
use super::Micros;
use crate::scenario::Fleet;

/// How often a capacity that changes all the time (a cold start) is looked at.
const STEP: Micros = 50_000;
/// A server warms up by work as well as by time: this part of the ramp's full work makes it warm.
const WARM_BY_WORK: f64 = 0.5;

/// Number of a job, given by the host; never used twice at a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobId(pub u64);

/// A request as a server sees it.
#[derive(Clone, Copy, Debug)]
pub struct Job {
    /// Its number.
    pub id: JobId,
    /// Work in microseconds of a core of speed 1, before what a known key saves.
    pub work: Micros,
    /// Time spent waiting for others, with a slot and no core.
    pub io_wait: Micros,
    /// Its key.
    pub key: Option<u64>,
}

/// What a server says to a request at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It is taken; its [`JobOutcome`] follows.
    Accepted,
    /// Turned away unseen.
    Rejected,
    /// An error at once.
    Failed,
}

/// How a taken job ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobOutcome {
    /// Served.
    Served,
    /// An error after the work.
    Failed,
}

/// What a server's process is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    /// It serves.
    Up,
    /// It is to end, and still takes what comes.
    Draining,
    /// It is to end and takes nothing new.
    TurningAway,
    /// It runs and nobody hears of it.
    Silent,
    /// No process runs.
    Down,
}

/// One server.
#[derive(Debug)]
pub struct Server {
    /// Its id on the list.
    pub id: String,
    /// Place of its zone.
    pub zone: usize,
    /// Place of its kind.
    pub kind: usize,
    /// When its process started; `None` is long ago.
    pub started_at: Option<Micros>,
    /// What its process is doing.
    pub condition: Condition,
    /// Share of requests that fail at once.
    pub failing: f64,
    /// How many times slower a trouble makes it.
    pub slower: f64,
    cell: usize,
    kind_name: String,
    zone_name: String,
    size: f64,
    machine: Machine,
    rng: Pcg64,
    jobs: HashMap<JobId, Held>,
    waiting: VecDeque<JobId>,
    /// Jobs that wait for others, by the end of it.
    io: BinaryHeap<Reverse<(Micros, JobId)>>,
    /// Jobs at work, by the work each core-sharing job will have got at their end.
    at_work: BinaryHeap<Reverse<(u64, JobId)>>,
    in_slots: usize,
    working: usize,
    /// Work that each job at work has got so far since the start, in nanoseconds of speed 1.
    got: f64,
    /// Work of handshakes and probes still to be done, in microseconds of speed 1.
    overhead: f64,
    done_work: f64,
    seen: Micros,
    connections: usize,
    memory: BTreeMap<u64, Micros>,
    strained_since: Option<Micros>,
    jammed_since: Option<Micros>,
    rested_since: Option<Micros>,
    next_pause: Micros,
}

#[derive(Clone, Copy, Debug)]
struct Held {
    job: Job,
    stage: Stage,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Waiting,
    Io,
    Working,
}

impl Server {
    /// A machine of a kind; true values come from the seed. Where no zone is named its place tells it.
    pub(super) fn draw(
        fleet: &Fleet,
        kind: usize,
        at: usize,
        zone: Option<usize>,
        rng: &mut Pcg64,
    ) -> Server {
        let form = &fleet.kind[kind];
        let machine = Machine::draw(fleet, form, rng);
        let zone = zone.unwrap_or(at % fleet.zones.len());
        let mut own = Pcg64::seed_from_u64(rng.random());
        let next_pause = (machine.pause_every as f64 * own.random::<f64>()) as Micros;
        Server {
            id: format!("s-{:08x}", rng.random::<u32>()),
            zone,
            kind,
            started_at: None,
            condition: Condition::Up,
            failing: 0.0,
            slower: 1.0,
            cell: at / fleet.cell_size.max(1),
            kind_name: form.name.clone(),
            zone_name: fleet.zones[zone].clone(),
            // The registered size tells the cores and is a little off.
            size: (machine.cores * (0.9 + 0.2 * rng.random::<f64>()) * 100.0).round() / 100.0,
            machine,
            rng: own,
            jobs: HashMap::new(),
            waiting: VecDeque::new(),
            io: BinaryHeap::new(),
            at_work: BinaryHeap::new(),
            in_slots: 0,
            working: 0,
            got: 0.0,
            overhead: 0.0,
            done_work: 0.0,
            seen: 0,
            connections: 0,
            memory: BTreeMap::new(),
            strained_since: None,
            jammed_since: None,
            rested_since: None,
            next_pause,
        }
    }

    /// Its line on a list that knows all.
    pub fn entry(&self) -> Entry {
        Entry {
            id: self.id.clone(),
            zone: self.zone_name.clone(),
            kind: self.kind_name.clone(),
            cell: self.cell,
            size: self.size,
            started_at: self.started_at,
            phase: match self.condition {
                Condition::Up | Condition::Silent => Phase::InService,
                Condition::Draining | Condition::TurningAway => Phase::Terminating,
                Condition::Down => Phase::Terminated,
            },
        }
    }

    /// Work it can do when warm and at ease, in microseconds of speed 1 a microsecond.
    pub fn full_capacity(&self) -> f64 {
        self.machine.cores * self.machine.speed
    }

    /// The same now, as far as warmth goes.
    pub fn capacity(&self, now: Micros) -> f64 {
        self.full_capacity() * self.warmth(now)
    }

    /// Requests that wait or are in work.
    pub fn held(&self) -> usize {
        self.jobs.len()
    }

    /// Microseconds until it would have done this work too, all that it holds first; infinite where it
    /// does not serve, or where one request more would strain it. For those who may see the true state.
    pub fn expected_wait(&self, now: Micros, work: Micros, key: Option<u64>) -> f64 {
        let strained = (self.jobs.len() + 1) as f64 > self.machine.jam_at * self.machine.cores;
        if self.condition != Condition::Up || strained {
            return f64::INFINITY;
        }
        let held: Micros = self.jobs.values().map(|held| held.job.work).sum();
        let fresh = |at: &Micros| at + self.machine.key_memory >= now;
        let known = key.and_then(|key| self.memory.get(&key)).is_some_and(fresh);
        let work = work as f64
            * if known {
                1.0 - self.machine.key_gain
            } else {
                1.0
            };
        let served = 1.0 - self.failing.min(0.99);
        (held as f64 / self.machine.cores + work) * self.machine.cores
            / (self.pace(now).max(1e-3) * served)
    }

    /// Whether it has jammed and not rested.
    pub fn is_jammed(&self) -> bool {
        self.jammed_since.is_some()
    }

    /// Whether it started a short time ago.
    pub fn is_cold(&self, now: Micros) -> bool {
        self.condition != Condition::Down && self.warmth(now) < 1.0
    }

    fn warmth(&self, now: Micros) -> f64 {
        let Some(since) = self.started_at else {
            return 1.0;
        };
        let by_time = now.saturating_sub(since) as f64 / self.machine.cold_for as f64;
        let full = self.full_capacity() * self.machine.cold_for as f64 * WARM_BY_WORK;
        let part = by_time.max(self.done_work / full).min(1.0);
        self.machine.cold_from + (1.0 - self.machine.cold_from) * part
    }

    /// Work that the whole machine does in a microsecond now.
    fn pace(&self, now: Micros) -> f64 {
        if now >= self.next_pause && self.machine.pause > 0 {
            return 0.0;
        }
        let machine = &self.machine;
        let crowd = (self.in_slots as f64 / machine.cores - machine.crowded_at).max(0.0);
        let table = self.connections as f64 / machine.connections.max(1) as f64;
        let jam = if self.is_jammed() {
            machine.jam_slower
        } else {
            1.0
        };
        let tax = 1.0 - machine.full_tax * table.min(1.0);
        self.capacity(now) * tax / ((1.0 + machine.crowding * crowd) * jam * self.slower)
    }

    /// Work that each job at work gets in a microsecond, once handshakes and probes have theirs.
    fn pace_each(&self, now: Micros) -> f64 {
        let sharing = (self.working as f64).max(self.machine.cores);
        self.pace(now) / sharing
    }

    /// When something happens next, if nothing comes from outside.
    pub fn next_at(&self) -> Option<Micros> {
        if self.condition == Condition::Down {
            return None;
        }
        let io = self.io.peek().map(|Reverse((at, _))| *at);
        let mut next = io;
        let mut sooner = |at: Micros| next = Some(next.map_or(at, |next| next.min(at)));
        if self.working > 0 || self.overhead > 0.0 {
            let pace = self.pace_each(self.seen);
            if pace > 0.0 {
                if let Some(Reverse((until, _))) = self.at_work.peek() {
                    let left = (*until as f64 - self.got).max(0.0) / 1e3
                        + self.overhead / self.machine.cores;
                    sooner(self.seen + (left / pace).ceil().min(1e12) as Micros + 1);
                }
            }
            if self.machine.pause > 0 {
                let pausing = self.seen >= self.next_pause;
                sooner(self.next_pause + if pausing { self.machine.pause } else { 0 });
            }
            if self.is_cold(self.seen) {
                sooner(self.seen + STEP);
            }
        }
        for edge in [
            self.strained_since.map(|at| at + self.machine.jam_after),
            self.rested_since.map(|at| at + self.machine.jam_rest),
            self.jammed_since.map(|at| at + self.machine.jam_most),
        ] {
            edge.into_iter().for_each(&mut sooner);
        }
        next.map(|at| at.max(self.seen + 1))
    }

    /// Lets time pass; `done` hears of the jobs that end.
    pub(super) fn advance(&mut self, now: Micros, mut done: impl FnMut(JobId, JobOutcome)) {
        while self.condition != Condition::Down {
            let next = self.next_at().filter(|&at| at <= now);
            self.work_until(next.unwrap_or(now));
            self.settle(&mut done);
            if next.is_none() {
                return;
            }
        }
        self.seen = self.seen.max(now);
    }

    fn work_until(&mut self, at: Micros) {
        let span = at.saturating_sub(self.seen) as f64;
        let mut work = self.pace(self.seen) * span;
        let taken = work.min(self.overhead);
        self.overhead -= taken;
        work -= taken;
        if self.working > 0 {
            let each = work / (self.working as f64).max(self.machine.cores);
            self.got += each * 1e3;
            self.done_work += each * self.working as f64;
        }
        self.seen = self.seen.max(at);
        if self.machine.pause > 0 && self.seen >= self.next_pause + self.machine.pause {
            self.next_pause = self.seen + self.machine.pause_every;
        }
    }

    /// Moves jobs on that are through with a stage, fills free slots, and looks at the jam.
    fn settle(&mut self, done: &mut impl FnMut(JobId, JobOutcome)) {
        while let Some(&Reverse((at, id))) = self.io.peek() {
            if at > self.seen {
                break;
            }
            self.io.pop();
            if let Some(held) = self
                .jobs
                .get_mut(&id)
                .filter(|held| held.stage == Stage::Io)
            {
                held.stage = Stage::Working;
                self.working += 1;
                let until = self.got + held.job.work as f64 * 1e3;
                self.at_work.push(Reverse((until as u64, id)));
            }
        }
        while let Some(&Reverse((until, id))) = self.at_work.peek() {
            if until as f64 > self.got + 1.0 {
                break;
            }
            self.at_work.pop();
            if self.jobs.remove(&id).is_some() {
                self.working -= 1;
                self.in_slots -= 1;
                let failed = self.rng.random::<f64>() < self.machine.error_rate;
                done(
                    id,
                    if failed {
                        JobOutcome::Failed
                    } else {
                        JobOutcome::Served
                    },
                );
            }
        }
        while self.in_slots < self.machine.slots {
            let Some(id) = self.waiting.pop_front() else {
                break;
            };
            self.start(id);
        }
        self.watch_jam();
    }

    fn start(&mut self, id: JobId) {
        let Some(held) = self.jobs.get_mut(&id) else {
            return;
        };
        if let Some(key) = held.job.key {
            let known = self
                .memory
                .get(&key)
                .is_some_and(|at| at + self.machine.key_memory >= self.seen);
            if known {
                held.job.work = (held.job.work as f64 * (1.0 - self.machine.key_gain)) as Micros;
            }
            self.memory.insert(key, self.seen);
            if self.memory.len() > self.machine.keys {
                let oldest = self
                    .memory
                    .iter()
                    .min_by_key(|(_, at)| **at)
                    .map(|(key, _)| *key);
                oldest.map(|key| self.memory.remove(&key));
            }
        }
        held.stage = Stage::Io;
        self.in_slots += 1;
        self.io.push(Reverse((self.seen + held.job.io_wait, id)));
    }

    fn watch_jam(&mut self) {
        let held = self.jobs.len() as f64 / self.machine.cores;
        let since =
            |was: Option<Micros>, holds: bool| if holds { was.or(Some(self.seen)) } else { None };
        let over =
            |since: Option<Micros>, span: Micros| since.is_some_and(|at| at + span <= self.seen);
        if let Some(jammed) = self.jammed_since {
            self.rested_since = since(self.rested_since, held < self.machine.jam_below);
            if over(self.rested_since, self.machine.jam_rest)
                || over(Some(jammed), self.machine.jam_most)
            {
                (self.jammed_since, self.rested_since) = (None, None);
            }
        } else {
            self.strained_since = since(self.strained_since, held > self.machine.jam_at);
            if over(self.strained_since, self.machine.jam_after) {
                (self.jammed_since, self.strained_since) = (Some(self.seen), None);
            }
        }
    }

    /// A request has come whole. [`Server::advance`] must have been called for `now`.
    pub(super) fn offer(&mut self, now: Micros, job: Job) -> Admission {
        self.seen = self.seen.max(now);
        if matches!(self.condition, Condition::TurningAway | Condition::Down) {
            return Admission::Rejected;
        }
        if self.failing > 0.0 && self.rng.random::<f64>() < self.failing {
            return Admission::Failed;
        }
        if self.in_slots >= self.machine.slots && self.waiting.len() >= self.machine.queue {
            return Admission::Rejected;
        }
        self.jobs.insert(
            job.id,
            Held {
                job,
                stage: Stage::Waiting,
            },
        );
        self.waiting.push_back(job.id);
        if self.in_slots < self.machine.slots {
            if let Some(id) = self.waiting.pop_front() {
                self.start(id);
            }
        }
        self.watch_jam();
        Admission::Accepted
    }

    /// The work on a job stops.
    pub(super) fn cancel(&mut self, job: JobId) {
        let Some(held) = self.jobs.remove(&job) else {
            return;
        };
        match held.stage {
            Stage::Waiting => self.waiting.retain(|id| *id != job),
            Stage::Io => self.in_slots -= 1,
            Stage::Working => {
                self.in_slots -= 1;
                self.working -= 1;
                // Its entry would otherwise end the queue of those at work too early for the rest.
                self.at_work.retain(|Reverse((_, id))| *id != job);
            }
        }
        self.watch_jam();
    }

    pub(super) fn connect(&mut self) -> bool {
        if self.connections >= self.machine.connections {
            return false;
        }
        self.connections += 1;
        self.overhead += self.machine.handshake;
        true
    }

    pub(super) fn disconnect(&mut self) {
        self.connections = self.connections.saturating_sub(1);
    }

    pub(super) fn probe(&mut self) -> bool {
        self.overhead += self.machine.probe;
        self.condition == Condition::Up
    }

    /// Its process ends and all it held is gone.
    pub(super) fn end(&mut self, now: Micros) {
        self.condition = Condition::Down;
        self.seen = self.seen.max(now);
        self.jobs.clear();
        self.waiting.clear();
        self.io.clear();
        self.at_work.clear();
        self.memory.clear();
        (self.in_slots, self.working, self.overhead) = (0, 0, 0.0);
        (self.strained_since, self.jammed_since, self.rested_since) = (None, None, None);
    }

    /// A new process starts, cold.
    pub(super) fn begin(&mut self, now: Micros) {
        if self.condition != Condition::Down {
            return;
        }
        self.condition = Condition::Up;
        self.started_at = Some(now);
        self.done_work = 0.0;
        self.seen = now;
        self.next_pause = now + self.machine.pause_every;
    }

    /// Nobody hears of it any more, or it is back as it was.
    pub(super) fn silence(&mut self, now: Micros, on: bool) {
        match (on, self.condition) {
            (true, Condition::Up) => self.condition = Condition::Silent,
            (false, Condition::Silent) => self.condition = Condition::Up,
            _ => {}
        }
        self.seen = self.seen.max(now);
    }
}
