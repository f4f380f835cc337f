//! The target fleet and its resource budgets, against which the measurements of the capacity page are judged.

/// Load balancer nodes.
pub const NODES: usize = 1_900;
/// Servers, over all services.
pub const SERVERS: usize = 18_000;
/// Services behind the load balancer.
pub const SERVICES: usize = 980;
/// Regions over which the fleet is spread.
pub const REGIONS: usize = 7;
/// Zones, over all regions.
pub const ZONES: usize = 16;
/// Tenants that send requests.
pub const TENANTS: usize = 46_000;
/// Requests per second at the peak, over all nodes.
pub const PEAK_REQUESTS_PER_S: f64 = 490_000.0;
/// Requests per second at one node at the peak, where all nodes get the same.
pub const NODE_REQUESTS_PER_S: f64 = PEAK_REQUESTS_PER_S / NODES as f64;
/// Configuration changes per day.
pub const CONFIG_CHANGES_PER_DAY: usize = 1_700;

/// Voters of the replicated log.
pub const VOTERS: usize = 9;
/// Servers restarted per day.
pub const SERVER_RESTARTS_PER_DAY: usize = 7_500;
/// Machines that fail per day.
pub const MACHINE_FAILURES_PER_DAY: usize = 53;
/// Servers of one zone.
pub const ZONE_SERVERS: usize = SERVERS / ZONES;
/// Most servers that the replicated state holds as cordoned at a time.
pub const MAX_CORDONED: usize = 1_000;
/// Command results that the replicated state remembers.
pub const REMEMBERED_COMMANDS: usize = 1_024;
/// Longest round trip between two regions, in ms.
pub const MAX_ROUND_TRIP_MS: f64 = 250.0;
/// Time within which a change has to be in force on the whole fleet, in ms.
pub const IN_FORCE_WITHIN_MS: f64 = 9_000.0;

/// Latency that a node may add at the 99th percentile, in ms.
pub const ADDED_P99_MS: f64 = 1.1;
/// Processor time that control work may use on a node, in percent of one core.
pub const CORE_PERCENT: f64 = 4.0;
/// Memory that control work may use on a node, in MB.
pub const MEMORY_MB: f64 = 64.0;
/// Control traffic of a node, in bytes per second.
pub const BYTES_PER_S: f64 = 6_000.0;
/// Time within which a node has to know of a change to the endpoint list, in ms.
pub const UPDATE_WITHIN_MS: f64 = 6_000.0;
/// Time within which a started node has to be ready, in s.
pub const READY_WITHIN_S: f64 = 10.0;
/// Fraction of requests that may be retried in the long run: the balancer's retry budget without its initial burst.
pub const MAX_RETRY_SHARE: f64 = 0.2;
/// Fraction of requests that may need a new connection; above it, the 99th percentile includes a handshake.
pub const MAX_NEW_CONNECTION_SHARE: f64 = 0.01;
/// Shortest round trip between two zones of a region, in ms: twice the shortest one-way delay between the operators' zones.
pub const ZONE_ROUND_TRIP_MS: f64 = 2.2;
