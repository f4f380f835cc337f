//! Names on the wire, and the numbers that the balancer uses for them.

use std::collections::HashMap;

use crate::api::{KindId, ServerState, ZoneId};

/// Numbers for the names of zones and machine kinds, assigned in the order of their first use.
#[derive(Default)]
pub struct NameIds {
    zones: HashMap<String, u32>,
    kinds: HashMap<String, u32>,
}

impl NameIds {
    /// The number of the zone of this name, assigned now if the name is new.
    pub fn zone(&mut self, name: &str) -> ZoneId {
        ZoneId(number_of(&mut self.zones, name))
    }

    /// The number of the machine kind of this name, assigned now if the name is new.
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

/// The server state with this name in discovery; `None` for an unknown name.
pub fn server_state(name: &str) -> Option<ServerState> {
    match name {
        "in_service" => Some(ServerState::InService),
        "terminating" => Some(ServerState::Draining),
        "terminated" => Some(ServerState::Removed),
        _ => None,
    }
}

/// The names by which requests refer to the classes and tenants of the settings.
#[derive(Clone, Debug, Default)]
pub struct Names {
    pub(super) classes: NameTable,
    pub(super) tenants: NameTable,
}

impl Names {
    /// The index of the class in use with this name; `None` if there is none.
    pub fn class(&self, name: &str) -> Option<usize> {
        self.classes.indices.get(name).copied()
    }

    /// The class names by index, withdrawn ones included.
    pub fn classes(&self) -> &[String] {
        &self.classes.names
    }

    /// The index of the tenant in use with this name; `None` if there is none.
    pub fn tenant(&self, name: &str) -> Option<usize> {
        self.tenants.indices.get(name).copied()
    }
}

/// Names by index. A withdrawn name keeps its index, but a lookup by name no longer finds it.
#[derive(Clone, Debug, Default)]
pub(super) struct NameTable {
    pub(super) names: Vec<String>,
    /// The index of each name in use.
    pub(super) indices: HashMap<String, usize>,
}

impl NameTable {
    /// Adds a name at the next index. A lookup of a name that was added twice finds the first.
    pub(super) fn push(&mut self, name: String) {
        self.indices.entry(name.clone()).or_insert(self.names.len());
        self.names.push(name);
    }
}
