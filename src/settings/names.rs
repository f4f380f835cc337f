//! Names of the outside world and the numbers that the balancer uses for them.

use std::collections::HashMap;

use crate::api::{KindId, ServerState, ZoneId};

/// Numbers for the names of zones and machine kinds, assigned in the order of their first use.
#[derive(Default)]
pub struct NameIds {
    zones: HashMap<String, u32>,
    kinds: HashMap<String, u32>,
}

impl NameIds {
    /// The zone of this name.
    pub fn zone(&mut self, name: &str) -> ZoneId {
        ZoneId(number_of(&mut self.zones, name))
    }

    /// The machine kind of this name.
    pub fn kind(&mut self, name: &str) -> KindId {
        KindId(number_of(&mut self.kinds, name))
    }
}

fn number_of(numbers: &mut HashMap<String, u32>, name: &str) -> u32 {
    if let Some(&number) = numbers.get(name) {
        return number;
    }
    let number = numbers.len() as u32;
    numbers.insert(name.to_owned(), number);
    number
}

/// The server state that discovery calls by this name.
pub fn server_state(name: &str) -> Option<ServerState> {
    match name {
        "in_service" => Some(ServerState::InService),
        "terminating" => Some(ServerState::Draining),
        "terminated" => Some(ServerState::Removed),
        _ => None,
    }
}

/// The names that requests use for the classes and tenants of the settings.
#[derive(Clone, Debug, Default)]
pub struct Names {
    pub(super) classes: NameTable,
    pub(super) tenants: NameTable,
}

impl Names {
    /// The index of a class.
    pub fn class(&self, name: &str) -> Option<usize> {
        self.classes.indices.get(name).copied()
    }

    /// All class names by index, withdrawn ones included.
    pub fn classes(&self) -> &[String] {
        &self.classes.names
    }

    /// The index of a tenant.
    pub fn tenant(&self, name: &str) -> Option<usize> {
        self.tenants.indices.get(name).copied()
    }
}

/// Names by index. A withdrawn name keeps its index and is no longer found.
#[derive(Clone, Debug, Default)]
pub(super) struct NameTable {
    pub(super) names: Vec<String>,
    /// The indices of the names in use.
    pub(super) indices: HashMap<String, usize>,
}

impl NameTable {
    /// Adds a name at the next index. Of two equal names the first is found.
    pub(super) fn push(&mut self, name: String) {
        self.indices.entry(name.clone()).or_insert(self.names.len());
        self.names.push(name);
    }
}
