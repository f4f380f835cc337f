//! Owns the fleet that is wanted, and what it may cost: the figures of the capacity page are held against these.

/// Nodes.
pub const NODES: usize = 1_900;
/// Servers, over all services.
pub const SERVERS: usize = 18_000;
/// Services.
pub const SERVICES: usize = 980;
/// Regions.
pub const REGIONS: usize = 7;
/// Zones.
pub const ZONES: usize = 16;
/// Tenants.
pub const TENANTS: usize = 46_000;
/// Requests a second of all nodes at the peak.
pub const PEAK: f64 = 490_000.0;
/// A node's even share of it.
pub const NODE_RATE: f64 = PEAK / NODES as f64;
/// Configuration changes a day.
pub const CHANGES_A_DAY: usize = 1_700;

/// Control machines of the fleet plane.
pub const CONTROL: usize = 9;
/// Servers that start again in a day.
pub const RESTARTS_A_DAY: usize = 7_500;
/// Machines that fail in a day.
pub const MACHINES_LOST_A_DAY: usize = 53;
/// Servers of a zone.
pub const ZONE_SERVERS: usize = SERVERS / ZONES;
/// Servers out at a time, at most, and outcomes remembered, as the agreed state has it.
pub const MOST_OUT: usize = 1_000;
/// Outcomes remembered.
pub const REMEMBERED: usize = 1_024;
/// The longest round trip between two regions, in ms.
pub const FAR_MS: f64 = 250.0;
/// A change is in force everywhere by then, in ms.
pub const FORCE_MS: f64 = 9_000.0;

/// What a node may add to 99 in 100 answers, in ms.
pub const ADDED_MS: f64 = 1.1;
/// What control may use on a node: per cent of a core, MB, bytes a second.
pub const CORE: f64 = 4.0;
/// Memory, in MB.
pub const MEMORY_MB: f64 = 64.0;
/// Messages, in bytes a second.
pub const BYTES_A_SECOND: f64 = 6_000.0;
/// A change of the list counts as told by then, in ms.
pub const TOLD_MS: f64 = 6_000.0;
/// A started node has to be ready by then, in s.
pub const READY_S: f64 = 10.0;
/// The part of the requests that may be sent again, as the module has it for the long run.
pub const RESENT: f64 = 0.2;
/// The part of the requests that may pay for a new connection: where it is more, 99 in 100 answers hold one.
pub const NEW_CONNECTIONS: f64 = 0.01;
/// A round trip between two zones of a region at the least, in ms: twice the shortest way on the operators' site.
pub const BETWEEN_ZONES_MS: f64 = 2.2;
