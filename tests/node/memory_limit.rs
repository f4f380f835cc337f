//! The memory of a process with the limits of the platform, beside hundreds of clients that send or read slowly.
//!
//! `MEMORY_SWEEP=1` plays the whole sweep; a run of all tests plays a part of it.

use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use super::crowd::{start_server, Crowd, CrowdClient, AFTER_CROWD, KINDS, LONG_RESPONSE};
use super::*;

/// The least memory limit that the platform sets, in megabytes.
pub(super) const MEMORY_LIMIT_MB: u64 = 32;
/// Descriptors of the process, the most that the platform allows.
pub(super) const SOCKETS: u64 = 1_024;
/// Servers of the node.
const SERVERS: usize = 6;
/// The most servers that the platform's largest fleets have.
const MAX_SERVERS: usize = 3_200;

/// Watches what the platform counts as the memory of a process: its resident pages and the files in its `$TMPDIR`.
pub(super) struct MemoryWatch {
    stop: Arc<AtomicBool>,
    peak_kb: Arc<AtomicU64>,
    watcher: Option<thread::JoinHandle<()>>,
}

impl MemoryWatch {
    pub(super) fn start(pid: u32, folder: &Path) -> MemoryWatch {
        let (stop, peak_kb) = (
            Arc::new(AtomicBool::new(false)),
            Arc::new(AtomicU64::new(0)),
        );
        let (stop_requested, peak) = (stop.clone(), peak_kb.clone());
        let folder = folder.to_owned();
        let watcher = thread::spawn(move || {
            while !stop_requested.load(Ordering::Relaxed) {
                let memory = resident_kb(pid) + files_kb(&folder);
                peak.fetch_max(memory, Ordering::Relaxed);
                thread::sleep(Duration::from_millis(5));
            }
        });
        MemoryWatch {
            stop,
            peak_kb,
            watcher: Some(watcher),
        }
    }

    pub(super) fn peak_kb(mut self) -> u64 {
        self.stop.store(true, Ordering::Relaxed);
        self.watcher.take().unwrap().join().unwrap();
        self.peak_kb.load(Ordering::Relaxed)
    }
}

/// Peak of the resident memory of a process so far; 0 if it has ended.
fn resident_kb(pid: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix("VmHWM:"));
    line.and_then(|l| l.trim().trim_end_matches(" kB").parse().ok())
        .unwrap_or(0)
}

fn files_kb(folder: &Path) -> u64 {
    let files = std::fs::read_dir(folder).into_iter().flatten().flatten();
    let lengths = files.filter_map(|file| Some(file.metadata().ok()?.len()));
    lengths.map(|bytes| bytes.div_ceil(1024)).sum()
}

/// Starts the servers of a crowd. Returns a list of this length, whose entries share them.
fn start_servers(listed: usize) -> Vec<serde_json::Value> {
    let addresses: Vec<_> = (0..SERVERS).map(|_| start_server()).collect();
    (0..listed)
        .map(|n| member_at(&format!("s-{n}"), addresses[n % SERVERS]))
        .collect()
}

/// A play of crowds, one after the other, at one process.
struct Play {
    memory_mb: u64,
    sockets: u64,
    /// Entries of the list of servers.
    listed: usize,
    crowds: Vec<Crowd>,
}

impl Play {
    /// Crowds at a process with the least memory and the most descriptors.
    fn with_least_memory(crowds: Vec<Crowd>) -> Play {
        Play {
            memory_mb: MEMORY_LIMIT_MB,
            sockets: SOCKETS,
            listed: SERVERS,
            crowds,
        }
    }

    /// Plays the crowds. Returns what went wrong.
    fn run(&self) -> Option<String> {
        let limits = json!({"sockets": self.sockets, "memory_mb": self.memory_mb});
        let servers = start_servers(self.listed);
        let folder = tempfile::tempdir().unwrap();
        let env = [("TMPDIR", folder.path().to_str().unwrap())];
        let mut fixture = NodeFixture::configured(0, &env, |config| {
            config["limits"] = limits;
            config["known"]["members"] = json!(servers);
        });
        let watch = MemoryWatch::start(fixture.node.id(), folder.path());
        for crowd in &self.crowds {
            crowd.run(fixture.addr);
        }
        let peak_kb = watch.peak_kb();
        let (memory_mb, sockets, listed) = (self.memory_mb, self.sockets, self.listed);
        let what: Vec<_> = self
            .crowds
            .iter()
            .map(|crowd| (&crowd.kinds, crowd.clients, crowd.reconnects))
            .collect();
        let what = format!(
            "{peak_kb} kB of {memory_mb} MB, {sockets} descriptors, {listed} servers: {what:?}"
        );
        println!("{what}");
        if let Some(status) = fixture.node.try_wait().unwrap() {
            return Some(format!("the process ended by itself, {status}: {what}"));
        }
        if peak_kb > memory_mb * 1024 {
            return Some(what);
        }
        wait_until("the node serves after the crowd", || {
            fixture.request("look", AFTER_CROWD).status() == 200
        });
        None
    }
}

/// Asserts that a crowd of these kinds keeps the node within its memory limit and leaves it able to serve.
fn assert_within_limit(kinds: &[CrowdClient]) {
    let play = Play::with_least_memory(vec![Crowd::of(kinds)]);
    assert_eq!(play.run(), None);
}

// Guards against a piece of a body that keeps the whole buffer in which it was read: 60 kB in small pieces took 500 MB.
#[test]
fn clients_that_write_slowly_in_small_pieces_stay_within_the_memory_limit() {
    assert_within_limit(&[CrowdClient::SmallPieces]);
}

// Guards against an entry in memory for each chunk of a body: chunks of one byte took fifty times their length.
#[test]
fn clients_that_send_chunks_of_one_byte_stay_within_the_memory_limit() {
    assert_within_limit(&[CrowdClient::OneByteChunks]);
}

// Guards against queues of read buffers for clients that read slowly.
#[test]
fn clients_that_read_long_responses_slowly_stay_within_the_memory_limit() {
    assert_within_limit(&[CrowdClient::SlowReader]);
}

// Guards against memory for half-sent requests and long heads that is counted nowhere.
#[test]
fn clients_that_stop_in_the_middle_of_a_request_stay_within_the_memory_limit() {
    for kind in [
        CrowdClient::HalfOfLongBody,
        CrowdClient::ManyFields,
        CrowdClient::EndlessHead,
    ] {
        assert_within_limit(&[kind]);
    }
}

// Guards against limits that hold for each kind of client alone and not for all kinds together.
#[test]
fn a_crowd_of_all_kinds_stays_within_the_memory_limit() {
    assert_within_limit(&KINDS);
}

// Guards against a long response that is cut off or stands still where no memory is left for it.
#[test]
fn long_responses_beside_a_crowd_are_whole_or_refused() {
    let servers = start_servers(SERVERS);
    let fixture = NodeFixture::configured(0, &[], |config| {
        config["limits"] = json!({"sockets": SOCKETS, "memory_mb": MEMORY_LIMIT_MB});
        config["known"]["members"] = json!(servers);
    });
    let addr = fixture.addr;
    let kinds = [CrowdClient::UnansweredManyFields, CrowdClient::SlowReader];
    let crowd = Crowd {
        clients: 300,
        ..Crowd::of(&kinds)
    };
    let time = crowd.time;
    let running = thread::spawn(move || crowd.run(addr));
    let (start, mut whole) = (Instant::now(), 0);
    while start.elapsed() < time {
        let response = exchange_with(addr, &request("look", &new_id(), 60_000));
        let response = response.expect("cut off");
        match response.status() {
            200 => {
                assert_eq!(response.body.len(), LONG_RESPONSE);
                whole += 1;
            }
            status => assert_eq!(status, 503),
        }
    }
    running.join().unwrap();
    assert!(whole > 0, "none was passed on");
}

// Guards against limits that hold for some kinds, numbers and limits of the page and not for others.
#[test]
fn no_crowd_up_to_the_limits_of_the_page_passes_the_memory_limit() {
    let is_whole = std::env::var("MEMORY_SWEEP").is_ok();
    let found: Vec<String> = sweep(is_whole).iter().filter_map(Play::run).collect();
    assert!(found.is_empty(), "{found:#?}");
}

/// Crowds at two processes that accept from the same listener, as in an upgrade. The limit holds for both together.
fn peak_of_two_processes(crowds: &[Crowd]) -> u64 {
    let servers = start_servers(SERVERS);
    let fixture = NodeFixture::configured(0, &[], |config| {
        config["limits"] = json!({"sockets": SOCKETS, "memory_mb": MEMORY_LIMIT_MB});
        config["known"]["members"] = json!(servers);
    });
    let folder = tempfile::tempdir().unwrap();
    let env = [("TMPDIR", folder.path().to_str().unwrap())];
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let processes: Vec<_> = (0..2)
        .map(|_| start(fixture.file.path(), Some(&listener), &env))
        .collect();
    let watches: Vec<_> = processes
        .iter()
        .map(|(process, ..)| MemoryWatch::start(process.id(), Path::new("")))
        .collect();
    for crowd in crowds {
        crowd.run(listener.local_addr().unwrap());
    }
    let resident: u64 = watches.into_iter().map(MemoryWatch::peak_kb).sum();
    for (process, ..) in processes {
        let mut process = ChildGuard(process);
        assert!(process.0.try_wait().unwrap().is_none());
    }
    resident + files_kb(folder.path())
}

// Guards against a limit that each of two processes of a node keeps alone and both together don't.
#[test]
fn two_processes_of_an_upgrade_stay_within_the_memory_limit_together() {
    let is_whole = std::env::var("MEMORY_SWEEP").is_ok();
    let all = Crowd {
        clients: 1_400,
        reconnects: true,
        ..Crowd::of(&KINDS)
    };
    let mut plays = vec![vec![all.clone()]];
    if is_whole {
        plays.extend(KINDS.map(|kind| {
            vec![Crowd {
                kinds: vec![kind],
                ..all.clone()
            }]
        }));
    }
    for crowds in plays {
        let peak_kb = peak_of_two_processes(&crowds);
        println!("two processes: {peak_kb} kB, {:?}", crowds[0].kinds);
        assert!(
            peak_kb <= MEMORY_LIMIT_MB * 1024,
            "{peak_kb} kB: {crowds:?}"
        );
    }
}

/// The plays of the sweep: each kind alone at its most, pairs of kinds, all kinds, waves of kinds at one process, and the limits of
/// the page in between.
fn sweep(is_whole: bool) -> Vec<Play> {
    let crowd = |kinds: &[CrowdClient], clients, reconnects| Crowd {
        clients,
        reconnects,
        ..Crowd::of(kinds)
    };
    let mut plays = vec![Play::with_least_memory(vec![crowd(&KINDS, 900, true)])];
    if !is_whole {
        return plays;
    }
    for kind in KINDS {
        plays.push(Play::with_least_memory(vec![crowd(&[kind], 600, false)]));
        plays.push(Play::with_least_memory(vec![crowd(&[kind], 900, true)]));
    }
    for (index, &first) in KINDS.iter().enumerate() {
        for &second in &KINDS[index + 1..] {
            plays.push(Play::with_least_memory(vec![crowd(
                &[first, second],
                800,
                true,
            )]));
        }
    }
    for (memory_mb, sockets, listed) in [
        (32, 256, SERVERS),
        (32, 512, SERVERS),
        (32, 1_024, MAX_SERVERS),
        (48, 1_024, SERVERS),
        (64, 1_024, SERVERS),
        (192, 1_024, SERVERS),
    ] {
        plays.push(Play {
            memory_mb,
            sockets,
            listed,
            crowds: vec![crowd(&KINDS, 900, true)],
        });
    }
    let waves = |kinds: &mut dyn Iterator<Item = &CrowdClient>| {
        kinds.map(|&kind| crowd(&[kind], 700, true)).collect()
    };
    plays.push(Play::with_least_memory(waves(&mut KINDS.iter())));
    plays.push(Play::with_least_memory(waves(&mut KINDS.iter().rev())));
    plays
}
