//! Owns what a node's processes use, as the system counts it.

use std::collections::BTreeMap;

use procfs::process::Process;

/// What processes have used so far.
#[derive(Clone, Debug, Default)]
pub struct Usage {
    /// For each process its last reading.
    seen: BTreeMap<u32, Reading>,
    /// Most memory held at a time, over the processes that ran together, in kB.
    memory_kb: u64,
    /// Most descriptors held at a time.
    descriptors: usize,
}

#[derive(Clone, Copy, Debug, Default)]
struct Reading {
    cpu_ticks: u64,
    memory_kb: u64,
    descriptors: usize,
}

impl Usage {
    /// Reads the processes that run now. One that has just ended keeps its last reading.
    pub fn read(&mut self, pids: impl IntoIterator<Item = u32>) {
        let (mut memory, mut descriptors) = (0, 0);
        for pid in pids {
            let Some(reading) = reading(pid) else {
                continue;
            };
            memory += reading.memory_kb;
            descriptors += reading.descriptors;
            self.seen.insert(pid, reading);
        }
        self.memory_kb = self.memory_kb.max(memory);
        self.descriptors = self.descriptors.max(descriptors);
    }

    /// Seconds of processor time.
    pub fn cpu_s(&self) -> f64 {
        let ticks: u64 = self.seen.values().map(|reading| reading.cpu_ticks).sum();
        ticks as f64 / procfs::ticks_per_second() as f64
    }

    /// Most memory at a time, in MB.
    pub fn memory_mb(&self) -> f64 {
        self.memory_kb as f64 / 1024.0
    }

    /// Most descriptors at a time.
    pub fn descriptors(&self) -> usize {
        self.descriptors
    }
}

fn reading(pid: u32) -> Option<Reading> {
    let process = Process::new(pid as i32).ok()?;
    let stat = process.stat().ok()?;
    let memory_kb = process.status().ok()?.vmrss?;
    Some(Reading {
        cpu_ticks: stat.utime + stat.stime,
        memory_kb,
        descriptors: process.fd_count().ok()?,
    })
}
