//! Environment variables that configure the tests.

use std::env;

/// Returns the value of the variable `name`, or of its former name if `name` is not set.
pub fn variable(name: &str, former_name: &str) -> Option<String> {
    env::var(name).or_else(|_| env::var(former_name)).ok()
}
