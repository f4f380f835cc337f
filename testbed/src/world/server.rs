//! A simulated server: its slots and queue, key cache, connections, congestion and cold start. It knows nothing of
//! nodes, the endpoint list or other servers.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, VecDeque};

use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64;

use super::machine::Machine;
use super::registry::{Entry, Phase};
use super::Micros;
use crate::scenario::Fleet;

/// Time step for the capacity during a cold start, which changes continuously.
const COLD_START_STEP: Micros = 50_000;
/// A server warms up by time or by work, whichever is faster. It is warm after this share of the work that it could
/// do at full capacity during the warm-up time.
const WARM_BY_WORK: f64 = 0.5;

/// Number of a job. The host assigns it and never uses one twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobId(pub u64);

/// A request at a server.
#[derive(Clone, Copy, Debug)]
pub struct Job {
    /// Number of the job.
    pub id: JobId,
    /// Work in microseconds of a core of speed 1, without the saving for a cached key.
    pub work: Micros,
    /// Time of waiting for I/O, which occupies a slot and no core.
    pub io_wait: Micros,
    /// Key of the request, if it has one.
    pub key: Option<u64>,
}

/// Immediate result of a request at a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Accepted. A [`JobOutcome`] follows.
    Accepted,
    /// Rejected without work: the queue is full, or the server drains or is down.
    Rejected,
    /// Failed without work, by an injected fault.
    Failed,
}

/// How an accepted job ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobOutcome {
    /// Completed.
    Served,
    /// Failed after the work.
    Failed,
}

/// Condition of a server's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    /// It serves requests.
    Up,
    /// It is draining and still accepts requests.
    Draining,
    /// It is draining and rejects new requests.
    RejectingNew,
    /// It runs and does not respond.
    Silent,
    /// No process runs.
    Down,
}

/// A simulated server.
#[derive(Debug)]
pub struct Server {
    /// Id in the endpoint list.
    pub id: String,
    /// Index of its zone.
    pub zone: usize,
    /// Index of its kind of machine.
    pub kind: usize,
    /// When its process started; `None` if before the run.
    pub started_at: Option<Micros>,
    /// Condition of its process.
    pub condition: Condition,
    /// Share of the requests that an injected fault fails without work.
    pub failing_share: f64,
    /// Factor by which an injected fault slows the server down; 1 without a fault.
    pub slowdown: f64,
    cell: usize,
    kind_name: String,
    zone_name: String,
    size: f64,
    machine: Machine,
    rng: Pcg64,
    jobs: HashMap<JobId, JobState>,
    queue: VecDeque<JobId>,
    /// Jobs that wait for I/O, by the end of the wait.
    waiting_for_io: BinaryHeap<Reverse<(Micros, JobId)>>,
    /// Jobs that use a core, by the value of `work_per_job` at which they end.
    working_by_end: BinaryHeap<Reverse<(u64, JobId)>>,
    in_slots: usize,
    working: usize,
    /// Work that each job using a core has received since the start of the run, in nanoseconds of a core of speed 1.
    /// All such jobs get the same share of the cores, so one sum serves all of them.
    work_per_job: f64,
    /// Outstanding work for handshakes and health checks, in microseconds of a core of speed 1.
    overhead_work: f64,
    /// Work done by this process, in microseconds of a core of speed 1.
    done_work: f64,
    /// Time up to which the state has been advanced.
    advanced_to: Micros,
    open_connections: usize,
    /// When each cached key was last used.
    key_cache: BTreeMap<u64, Micros>,
    overloaded_since: Option<Micros>,
    congested_since: Option<Micros>,
    recovering_since: Option<Micros>,
    next_pause_at: Micros,
}

#[derive(Clone, Copy, Debug)]
struct JobState {
    job: Job,
    stage: Stage,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Queued,
    Io,
    Working,
}

impl Server {
    /// Draws a machine of this kind. Without a given zone, the index of the server selects it.
    pub(super) fn draw(
        fleet: &Fleet,
        kind: usize,
        index: usize,
        zone: Option<usize>,
        rng: &mut Pcg64,
    ) -> Server {
        let machine_kind = &fleet.kind[kind];
        let machine = Machine::draw(fleet, machine_kind, rng);
        let zone = zone.unwrap_or(index % fleet.zones.len());
        let mut own = Pcg64::seed_from_u64(rng.random());
        let next_pause_at = (machine.pause_interval as f64 * own.random::<f64>()) as Micros;
        Server {
            id: format!("s-{:08x}", rng.random::<u32>()),
            zone,
            kind,
            started_at: None,
            condition: Condition::Up,
            failing_share: 0.0,
            slowdown: 1.0,
            cell: index / fleet.cell_size.max(1),
            kind_name: machine_kind.name.clone(),
            zone_name: fleet.zones[zone].clone(),
            // The registered size is the number of cores with an error of up to 10 %.
            size: (machine.cores * (0.9 + 0.2 * rng.random::<f64>()) * 100.0).round() / 100.0,
            machine,
            rng: own,
            jobs: HashMap::new(),
            queue: VecDeque::new(),
            waiting_for_io: BinaryHeap::new(),
            working_by_end: BinaryHeap::new(),
            in_slots: 0,
            working: 0,
            work_per_job: 0.0,
            overhead_work: 0.0,
            done_work: 0.0,
            advanced_to: 0,
            open_connections: 0,
            key_cache: BTreeMap::new(),
            overloaded_since: None,
            congested_since: None,
            recovering_since: None,
            next_pause_at,
        }
    }

    /// The entry that an endpoint list without delays would have for this server.
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
                Condition::Draining | Condition::RejectingNew => Phase::Terminating,
                Condition::Down => Phase::Terminated,
            },
        }
    }

    /// Capacity when warm and not congested, in microseconds of work per microsecond.
    pub fn full_capacity(&self) -> f64 {
        self.machine.cores * self.machine.speed
    }

    /// Capacity at `now` without congestion: the full capacity, reduced during a cold start.
    pub fn capacity(&self, now: Micros) -> f64 {
        self.full_capacity() * self.warm_up_factor(now)
    }

    /// Number of requests queued or in process.
    pub fn job_count(&self) -> usize {
        self.jobs.len()
    }

    /// Microseconds until a further request with this work would be completed, after all current requests. Infinite
    /// where the server does not serve, or where one more request could lead to congestion. Only for policies that
    /// may see the actual state.
    pub fn expected_wait(&self, now: Micros, work: Micros, key: Option<u64>) -> f64 {
        let overloaded =
            (self.jobs.len() + 1) as f64 > self.machine.congestion_threshold * self.machine.cores;
        if self.condition != Condition::Up || overloaded {
            return f64::INFINITY;
        }
        let current_work: Micros = self.jobs.values().map(|state| state.job.work).sum();
        let fresh = |at: &Micros| at + self.machine.key_cache_ttl >= now;
        let cached = key
            .and_then(|key| self.key_cache.get(&key))
            .is_some_and(fresh);
        let work = work as f64
            * if cached {
                1.0 - self.machine.key_cache_saving
            } else {
                1.0
            };
        let served_share = 1.0 - self.failing_share.min(0.99);
        (current_work as f64 / self.machine.cores + work) * self.machine.cores
            / (self.processing_rate(now).max(1e-3) * served_share)
    }

    /// Whether the server is congested.
    pub fn is_congested(&self) -> bool {
        self.congested_since.is_some()
    }

    /// Whether the process runs and is not warm yet.
    pub fn is_cold(&self, now: Micros) -> bool {
        self.condition != Condition::Down && self.warm_up_factor(now) < 1.0
    }

    fn warm_up_factor(&self, now: Micros) -> f64 {
        let Some(since) = self.started_at else {
            return 1.0;
        };
        let by_time = now.saturating_sub(since) as f64 / self.machine.warm_up as f64;
        let full = self.full_capacity() * self.machine.warm_up as f64 * WARM_BY_WORK;
        let part = by_time.max(self.done_work / full).min(1.0);
        self.machine.cold_capacity + (1.0 - self.machine.cold_capacity) * part
    }

    /// Work that all cores together do per microsecond at `now`.
    fn processing_rate(&self, now: Micros) -> f64 {
        if now >= self.next_pause_at && self.machine.pause > 0 {
            return 0.0;
        }
        let machine = &self.machine;
        let excess =
            (self.in_slots as f64 / machine.cores - machine.concurrency_penalty_from).max(0.0);
        let table_use = self.open_connections as f64 / machine.connections.max(1) as f64;
        let congestion = if self.is_congested() {
            machine.congestion_slowdown
        } else {
            1.0
        };
        let remaining = 1.0 - machine.full_connection_table_cost * table_use.min(1.0);
        self.capacity(now) * remaining
            / ((1.0 + machine.concurrency_penalty * excess) * congestion * self.slowdown)
    }

    /// Work that each job using a core gets per microsecond, after the work for handshakes and health checks.
    fn processing_rate_per_job(&self, now: Micros) -> f64 {
        let sharing = (self.working as f64).max(self.machine.cores);
        self.processing_rate(now) / sharing
    }

    /// Time of the next event, provided that no request, connection or health check comes before.
    pub fn next_at(&self) -> Option<Micros> {
        if self.condition == Condition::Down {
            return None;
        }
        let io_end = self.waiting_for_io.peek().map(|Reverse((at, _))| *at);
        let mut next = io_end;
        let mut sooner = |at: Micros| next = Some(next.map_or(at, |next| next.min(at)));
        if self.working > 0 || self.overhead_work > 0.0 {
            let rate = self.processing_rate_per_job(self.advanced_to);
            if rate > 0.0 {
                if let Some(Reverse((until, _))) = self.working_by_end.peek() {
                    let left = (*until as f64 - self.work_per_job).max(0.0) / 1e3
                        + self.overhead_work / self.machine.cores;
                    sooner(self.advanced_to + (left / rate).ceil().min(1e12) as Micros + 1);
                }
            }
            if self.machine.pause > 0 {
                let pausing = self.advanced_to >= self.next_pause_at;
                sooner(self.next_pause_at + if pausing { self.machine.pause } else { 0 });
            }
            if self.is_cold(self.advanced_to) {
                sooner(self.advanced_to + COLD_START_STEP);
            }
        }
        for end in [
            self.overloaded_since
                .map(|at| at + self.machine.congestion_onset),
            self.recovering_since
                .map(|at| at + self.machine.recovery_time),
            self.congested_since
                .map(|at| at + self.machine.max_congestion),
        ] {
            end.into_iter().for_each(&mut sooner);
        }
        next.map(|at| at.max(self.advanced_to + 1))
    }

    /// Advances the server to `now` and calls `done` for each job that ends.
    pub(super) fn advance(&mut self, now: Micros, mut done: impl FnMut(JobId, JobOutcome)) {
        while self.condition != Condition::Down {
            let next = self.next_at().filter(|&at| at <= now);
            self.work_until(next.unwrap_or(now));
            self.advance_jobs(&mut done);
            if next.is_none() {
                return;
            }
        }
        self.advanced_to = self.advanced_to.max(now);
    }

    /// Does the work of the time up to `at`, during which the processing rate is constant.
    fn work_until(&mut self, at: Micros) {
        let elapsed = at.saturating_sub(self.advanced_to) as f64;
        let mut work = self.processing_rate(self.advanced_to) * elapsed;
        let used = work.min(self.overhead_work);
        self.overhead_work -= used;
        work -= used;
        if self.working > 0 {
            let each = work / (self.working as f64).max(self.machine.cores);
            self.work_per_job += each * 1e3;
            self.done_work += each * self.working as f64;
        }
        self.advanced_to = self.advanced_to.max(at);
        if self.machine.pause > 0 && self.advanced_to >= self.next_pause_at + self.machine.pause {
            self.next_pause_at = self.advanced_to + self.machine.pause_interval;
        }
    }

    /// Moves jobs that have finished a stage to the next one, fills free slots, and updates the congestion.
    fn advance_jobs(&mut self, done: &mut impl FnMut(JobId, JobOutcome)) {
        while let Some(&Reverse((at, id))) = self.waiting_for_io.peek() {
            if at > self.advanced_to {
                break;
            }
            self.waiting_for_io.pop();
            if let Some(state) = self
                .jobs
                .get_mut(&id)
                .filter(|state| state.stage == Stage::Io)
            {
                state.stage = Stage::Working;
                self.working += 1;
                let until = self.work_per_job + state.job.work as f64 * 1e3;
                self.working_by_end.push(Reverse((until as u64, id)));
            }
        }
        while let Some(&Reverse((until, id))) = self.working_by_end.peek() {
            if until as f64 > self.work_per_job + 1.0 {
                break;
            }
            self.working_by_end.pop();
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
            let Some(id) = self.queue.pop_front() else {
                break;
            };
            self.start_job(id);
        }
        self.update_congestion();
    }

    fn start_job(&mut self, id: JobId) {
        let Some(state) = self.jobs.get_mut(&id) else {
            return;
        };
        if let Some(key) = state.job.key {
            let cached = self
                .key_cache
                .get(&key)
                .is_some_and(|at| at + self.machine.key_cache_ttl >= self.advanced_to);
            if cached {
                state.job.work =
                    (state.job.work as f64 * (1.0 - self.machine.key_cache_saving)) as Micros;
            }
            self.key_cache.insert(key, self.advanced_to);
            if self.key_cache.len() > self.machine.cached_keys {
                let oldest = self
                    .key_cache
                    .iter()
                    .min_by_key(|(_, at)| **at)
                    .map(|(key, _)| *key);
                oldest.map(|key| self.key_cache.remove(&key));
            }
        }
        state.stage = Stage::Io;
        self.in_slots += 1;
        self.waiting_for_io
            .push(Reverse((self.advanced_to + state.job.io_wait, id)));
    }

    fn update_congestion(&mut self) {
        let jobs_per_core = self.jobs.len() as f64 / self.machine.cores;
        let since = |was: Option<Micros>, applies: bool| {
            if applies {
                was.or(Some(self.advanced_to))
            } else {
                None
            }
        };
        let over = |since: Option<Micros>, duration: Micros| {
            since.is_some_and(|at| at + duration <= self.advanced_to)
        };
        if let Some(congested) = self.congested_since {
            self.recovering_since = since(
                self.recovering_since,
                jobs_per_core < self.machine.recovery_threshold,
            );
            if over(self.recovering_since, self.machine.recovery_time)
                || over(Some(congested), self.machine.max_congestion)
            {
                (self.congested_since, self.recovering_since) = (None, None);
            }
        } else {
            self.overloaded_since = since(
                self.overloaded_since,
                jobs_per_core > self.machine.congestion_threshold,
            );
            if over(self.overloaded_since, self.machine.congestion_onset) {
                (self.congested_since, self.overloaded_since) = (Some(self.advanced_to), None);
            }
        }
    }

    /// Accepts, rejects or fails a complete request. The caller has called [`Server::advance`] for `now`.
    pub(super) fn offer(&mut self, now: Micros, job: Job) -> Admission {
        self.advanced_to = self.advanced_to.max(now);
        if matches!(self.condition, Condition::RejectingNew | Condition::Down) {
            return Admission::Rejected;
        }
        if self.failing_share > 0.0 && self.rng.random::<f64>() < self.failing_share {
            return Admission::Failed;
        }
        if self.in_slots >= self.machine.slots && self.queue.len() >= self.machine.queue {
            return Admission::Rejected;
        }
        self.jobs.insert(
            job.id,
            JobState {
                job,
                stage: Stage::Queued,
            },
        );
        self.queue.push_back(job.id);
        if self.in_slots < self.machine.slots {
            if let Some(id) = self.queue.pop_front() {
                self.start_job(id);
            }
        }
        self.update_congestion();
        Admission::Accepted
    }

    /// Stops the work on a job and frees its slot.
    pub(super) fn cancel(&mut self, job: JobId) {
        let Some(state) = self.jobs.remove(&job) else {
            return;
        };
        match state.stage {
            Stage::Queued => self.queue.retain(|id| *id != job),
            Stage::Io => self.in_slots -= 1,
            Stage::Working => {
                self.in_slots -= 1;
                self.working -= 1;
                // A leftover entry would make `next_at` report the end of a job that no longer exists.
                self.working_by_end.retain(|Reverse((_, id))| *id != job);
            }
        }
        self.update_congestion();
    }

    pub(super) fn connect(&mut self) -> bool {
        if self.open_connections >= self.machine.connections {
            return false;
        }
        self.open_connections += 1;
        self.overhead_work += self.machine.handshake_cost;
        true
    }

    pub(super) fn disconnect(&mut self) {
        self.open_connections = self.open_connections.saturating_sub(1);
    }

    pub(super) fn probe(&mut self) -> bool {
        self.overhead_work += self.machine.probe_cost;
        self.condition == Condition::Up
    }

    /// Ends the process. Jobs, key cache and outstanding work are lost.
    pub(super) fn stop_process(&mut self, now: Micros) {
        self.condition = Condition::Down;
        self.advanced_to = self.advanced_to.max(now);
        self.jobs.clear();
        self.queue.clear();
        self.waiting_for_io.clear();
        self.working_by_end.clear();
        self.key_cache.clear();
        (self.in_slots, self.working, self.overhead_work) = (0, 0, 0.0);
        (
            self.overloaded_since,
            self.congested_since,
            self.recovering_since,
        ) = (None, None, None);
    }

    /// Starts a new process, which is cold. Does nothing unless the server is down.
    pub(super) fn start_process(&mut self, now: Micros) {
        if self.condition != Condition::Down {
            return;
        }
        self.condition = Condition::Up;
        self.started_at = Some(now);
        self.done_work = 0.0;
        self.advanced_to = now;
        self.next_pause_at = now + self.machine.pause_interval;
    }

    /// Makes the server stop responding (true), or respond again with its state unchanged.
    pub(super) fn silence(&mut self, now: Micros, on: bool) {
        match (on, self.condition) {
            (true, Condition::Up) => self.condition = Condition::Silent,
            (false, Condition::Silent) => self.condition = Condition::Up,
            _ => {}
        }
        self.advanced_to = self.advanced_to.max(now);
    }
}
