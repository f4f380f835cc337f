//! The memory that the process holds.

use std::fs;

/// Bytes of a kilobyte in `/proc/self/status`.
const BYTES_PER_KILOBYTE: u64 = 1024;

/// Resident memory of this process in bytes; 0 if the system does not tell.
pub fn resident_bytes() -> u64 {
    status_bytes("VmRSS:")
}

/// Peak of the resident memory since the start of this process, in bytes; 0 if the system does not tell.
pub fn peak_resident_bytes() -> u64 {
    status_bytes("VmHWM:")
}

fn status_bytes(field: &str) -> u64 {
    fs::read_to_string("/proc/self/status")
        .ok()
        .and_then(|status| kilobytes_of(&status, field))
        .map_or(0, |kilobytes| kilobytes * BYTES_PER_KILOBYTE)
}

fn kilobytes_of(status: &str, field: &str) -> Option<u64> {
    let line = status.lines().find_map(|line| line.strip_prefix(field))?;
    line.split_whitespace().next()?.parse().ok()
}
