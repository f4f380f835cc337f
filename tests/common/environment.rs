//! Environment variables that tests read.

use std::env;

/// The value of the variable `name`, or that of its former name where `name` is not set.
pub fn variable(name: &str, former_name: &str) -> Option<String> {
    env::var(name).or_else(|_| env::var(former_name)).ok()
}
