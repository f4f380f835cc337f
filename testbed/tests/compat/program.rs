//! Runs the testbed's program, several times in parallel.

use std::path::Path;
use std::process::{Command, Output};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;

/// Path of the earlier file of a built-in scenario.
pub fn earlier_scenario(name: &str) -> String {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/compat/fixtures/scenarios");
    folder.join(format!("{name}.toml")).display().to_string()
}

/// Runs the program until it ends.
pub fn testbed(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_balancer-testbed"))
        .args(arguments)
        .output()
        .unwrap()
}

/// Calls `work` for each item, on as many threads as there are cores.
pub fn for_each<T: Sync>(items: &[T], work: impl Fn(&T) + Sync) {
    let next = AtomicUsize::new(0);
    let work = || {
        while let Some(item) = items.get(next.fetch_add(1, Ordering::Relaxed)) {
            work(item);
        }
    };
    let threads = thread::available_parallelism().map_or(1, usize::from);
    thread::scope(|scope| {
        for _ in 0..threads.min(items.len()) {
            scope.spawn(work);
        }
    });
}
