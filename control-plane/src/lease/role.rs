//! Singleton roles: tasks of the fleet that at most one agent performs at a time.

use serde::{Deserialize, Serialize};

/// A singleton role. Its serialized names are part of the operators' interface.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Role {
    /// Distributes the set of cordoned servers to every node.
    #[serde(rename = "maintenance")]
    Maintenance,
    /// Aggregates the metrics of all nodes.
    #[serde(rename = "census")]
    MetricsAggregation,
    /// Raises and clears the fleet's alarms.
    #[serde(rename = "watch")]
    Alerting,
}

impl Role {
    /// All roles, in the order in which they are granted and reported.
    pub const ALL: [Role; 3] = [Role::Maintenance, Role::MetricsAggregation, Role::Alerting];

    /// The name by which operators refer to the role.
    pub fn name(self) -> &'static str {
        match self {
            Role::Maintenance => "maintenance",
            Role::MetricsAggregation => "census",
            Role::Alerting => "watch",
        }
    }
}

/// The error for a text that is not the name of a role.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("'{0}' is no duty: maintenance, census or watch")]
pub struct UnknownRole(String);

impl std::str::FromStr for Role {
    type Err = UnknownRole;

    fn from_str(text: &str) -> Result<Role, UnknownRole> {
        Role::ALL
            .into_iter()
            .find(|role| role.name() == text)
            .ok_or_else(|| UnknownRole(text.to_owned()))
    }
}

#[cfg(test)]
mod tests;
