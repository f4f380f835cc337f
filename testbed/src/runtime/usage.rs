//! Resource usage of a node's processes, read from procfs.

use std::collections::BTreeMap;

use procfs::process::Process;

/// Usage of all processes of a node so far.
#[derive(Clone, Debug, Default)]
pub struct Usage {
    /// Last reading of each process, by process id.
    readings: BTreeMap<u32, Reading>,
    /// Peak of the resident memory, summed over the processes that ran at the same time, in kB.
    memory_kb: u64,
    /// Peak of the open descriptors, summed in the same way.
    descriptors: usize,
}

#[derive(Clone, Copy, Debug, Default)]
struct Reading {
    cpu_ticks: u64,
    memory_kb: u64,
    descriptors: usize,
}

impl Usage {
    /// Reads the running processes. A process that has just ended keeps its last reading.
    pub fn read(&mut self, pids: impl IntoIterator<Item = u32>) {
        let (mut memory, mut descriptors) = (0, 0);
        for pid in pids {
            let Some(reading) = reading(pid) else {
                continue;
            };
            memory += reading.memory_kb;
            descriptors += reading.descriptors;
            self.readings.insert(pid, reading);
        }
        self.memory_kb = self.memory_kb.max(memory);
        self.descriptors = self.descriptors.max(descriptors);
    }

    /// Processor time of all processes, in seconds.
    pub fn cpu_s(&self) -> f64 {
        let ticks: u64 = self
            .readings
            .values()
            .map(|reading| reading.cpu_ticks)
            .sum();
        ticks as f64 / procfs::ticks_per_second() as f64
    }

    /// Peak of the resident memory, in MB.
    pub fn memory_mb(&self) -> f64 {
        self.memory_kb as f64 / 1024.0
    }

    /// Peak of the open descriptors.
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
