//! Parses the balancer's settings from pairs.

use super::names::NameTable;
use super::{keys, number, NamedSettings, Names, Pairs, SettingsError};
use crate::api::*;

/// Most classes, those withdrawn since the node's start included. The limit keeps a corrupt count from
/// exhausting the node's memory.
pub(super) const MAX_CLASSES: usize = 10_000;
/// Most tenants, those withdrawn since the node's start included. The largest known fleet has 46,000.
pub(super) const MAX_TENANTS: usize = 100_000;
/// Highest number of nodes; a higher number is replaced by this.
const MAX_NODES: u64 = 1 << 20;

/// [`RequestClass::deadline`] of a class without one, in microseconds.
const DEFAULT_DEADLINE: Micros = 1_000_000;
/// [`Settings::cold_overload_window`] of settings without one, in microseconds.
const DEFAULT_COLD_OVERLOAD_WINDOW: Micros = 3_000_000;
/// [`Settings::max_poll_interval`] of settings without one, in microseconds.
const DEFAULT_MAX_POLL_INTERVAL: Micros = 10_000_000;

/// Parses the settings. Unknown paths are ignored; an unknown value of an enumeration, such as the
/// discovery mode, means its default.
///
/// # Errors
///
/// A value is invalid; the error names its path.
pub fn parse(pairs: &Pairs) -> Result<NamedSettings, SettingsError> {
    let classes = parse_items(pairs, keys::CLASSES, MAX_CLASSES, parse_class)?;
    let tenants = parse_items(pairs, keys::TENANTS, MAX_TENANTS, parse_tenant)?;
    let settings = Settings {
        node_count: pairs.integer(keys::NODE_COUNT, 1)?.clamp(1, MAX_NODES) as u32,
        node_index: pairs
            .text(keys::NODE_INDEX)
            .map(|index| number(index, keys::NODE_INDEX))
            .transpose()?,
        classes: classes.items,
        tenants: tenants.items,
        over_quota_value: pairs.real(keys::OVER_QUOTA_VALUE, 1.0)?,
        weight_basis: weight_basis(pairs),
        weight_source: weight_source(pairs),
        discovery_mode: discovery_mode(pairs),
        key_affinity: pairs.flag(keys::KEY_AFFINITY),
        may_cancel: pairs.flag(keys::MAY_CANCEL),
        may_health_check: pairs.flag(keys::MAY_HEALTH_CHECK),
        may_hedge: pairs.flag(keys::MAY_HEDGE),
        max_attempts: pairs
            .integer(keys::MAX_ATTEMPTS, 1)?
            .min(u64::from(u32::MAX)) as u32,
        retry_after: pairs.flag(keys::RETRY_AFTER),
        max_retry_after: pairs.duration(keys::MAX_RETRY_AFTER, 0)?,
        connection_setup_cost: pairs.real(keys::CONNECTION_SETUP_COST, 0.0)?,
        open_connection_cost: pairs.real(keys::OPEN_CONNECTION_COST, 0.0)?,
        cold_capacity: pairs.real(keys::COLD_CAPACITY, 1.0)?,
        slow_start_time: pairs.duration(keys::SLOW_START_TIME, 0)?,
        cold_overload_factor: pairs.real(keys::COLD_OVERLOAD_FACTOR, 1.0)?,
        cold_overload_window: pairs
            .duration(keys::COLD_OVERLOAD_WINDOW, DEFAULT_COLD_OVERLOAD_WINDOW)?,
        connect_timeout: pairs.duration(keys::CONNECT_TIMEOUT, 0)?,
        max_poll_interval: pairs.duration(keys::MAX_POLL_INTERVAL, DEFAULT_MAX_POLL_INTERVAL)?,
        quarantine_time: pairs.duration(keys::QUARANTINE_TIME, 0)?,
        overloaded_may_have_run: pairs.flag(keys::OVERLOADED_MAY_HAVE_RUN),
    };
    let names = Names {
        classes: classes.names,
        tenants: tenants.names,
    };
    Ok(NamedSettings { settings, names })
}

fn weight_basis(pairs: &Pairs) -> WeightBasis {
    match pairs.text(keys::WEIGHT_BASIS) {
        Some("work") => WeightBasis::Work,
        _ => WeightBasis::Request,
    }
}

fn weight_source(pairs: &Pairs) -> WeightSource {
    match pairs.text(keys::WEIGHT_SOURCE) {
        Some("nominal") => WeightSource::Nominal,
        Some("rough") => WeightSource::Rough,
        Some("live") => WeightSource::Live,
        _ => WeightSource::Off,
    }
}

fn discovery_mode(pairs: &Pairs) -> DiscoveryMode {
    match pairs.text(keys::DISCOVERY_MODE) {
        Some("ask") => DiscoveryMode::Poll,
        _ => DiscoveryMode::Push,
    }
}

/// A list of items and their names, in the same order.
struct NamedItems<T> {
    items: Vec<T>,
    names: NameTable,
}

/// Parses the `list.count` items at `list.0`, `list.1` and so on.
fn parse_items<T>(
    pairs: &Pairs,
    list: &'static str,
    max: usize,
    parse_item: fn(&Pairs, &str) -> Result<T, SettingsError>,
) -> Result<NamedItems<T>, SettingsError> {
    let count = pairs.integer(&format!("{list}.count"), 0)?;
    if count > max as u64 {
        return Err(SettingsError::TooManyItems { list, count, max });
    }
    let mut items = Vec::new();
    let mut names = NameTable::default();
    for index in 0..count {
        let path = format!("{list}.{index}");
        items.push(parse_item(pairs, &path)?);
        let name = pairs.text(&format!("{path}.name")).unwrap_or("");
        names.push(name.to_owned());
    }
    Ok(NamedItems { items, names })
}

fn parse_class(pairs: &Pairs, path: &str) -> Result<RequestClass, SettingsError> {
    let key = |name: &str| format!("{path}.{name}");
    let deadline = pairs.duration(&key(keys::class::DEADLINE), DEFAULT_DEADLINE)?;
    let idempotency = match pairs.text(&key(keys::class::IDEMPOTENCY)) {
        Some("safe") => Idempotency::Idempotent,
        Some("keyed") => Idempotency::IdempotencyKey {
            scope: dedup_scope(pairs, &key(keys::class::KEY_SCOPE)),
            ttl: pairs.duration(&key(keys::class::KEY_TTL), 0)?,
        },
        // An unknown value is taken as unsafe: such requests are never run twice.
        _ => Idempotency::NonIdempotent,
    };
    Ok(RequestClass {
        latency_objective: pairs.duration(&key(keys::class::LATENCY_OBJECTIVE), deadline)?,
        deadline,
        priority_weight: pairs.real(&key(keys::class::PRIORITY_WEIGHT), 1.0)?,
        late_value: pairs.real(&key(keys::class::LATE_VALUE), 0.0)?,
        idempotency,
        in_order: pairs.flag(&key(keys::class::IN_ORDER)),
    })
}

fn dedup_scope(pairs: &Pairs, path: &str) -> DedupScope {
    match pairs.text(path) {
        Some("all") => DedupScope::All,
        Some("zone") => DedupScope::Zone,
        _ => DedupScope::Cell,
    }
}

fn parse_tenant(pairs: &Pairs, path: &str) -> Result<Tenant, SettingsError> {
    let quota = format!("{path}.{}", keys::tenant::QUOTA_PER_SECOND);
    Ok(Tenant {
        quota_per_second: pairs.real(&quota, 0.0)?,
    })
}
