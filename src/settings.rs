//! The settings and the names of the outside world, read alike by every host of the module.
//!
//! Settings are pairs of a dotted path and a value, with times in microseconds: as the
//! simulator's `SPAWN` line holds them, or as a host flattens them from another form.

use std::collections::HashMap;
use std::fmt;
use std::str::FromStr;

use crate::api::*;

mod reload;

pub use reload::{reload, Reload, SettingsChange};

/// The longest span that a setting may name: sums of such spans and of clocks stay in range, at every host.
const MAX_DURATION: Micros = 30 * 24 * 3_600 * 1_000_000;
/// The most classes and tenants, those included that were withdrawn since the node's start: the largest fleet in sight has
/// 46,000 tenants, and a damaged count may not take the node's memory.
const MAX_CLASSES: usize = 10_000;
const MAX_TENANTS: usize = 100_000;

/// What is wrong with an input.
#[derive(Debug)]
pub struct SettingsError(String);

impl SettingsError {
    /// A fault of this text.
    pub fn new(text: String) -> Self {
        SettingsError(text)
    }
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for SettingsError {}

impl From<std::io::Error> for SettingsError {
    fn from(error: std::io::Error) -> Self {
        SettingsError(error.to_string())
    }
}

/// The number in a field of this name.
pub fn number<T: FromStr>(text: &str, name: &str) -> Result<T, SettingsError> {
    text.parse()
        .map_err(|_| SettingsError(format!("field '{name}': '{text}' is not a number in range")))
}

/// The finite number in a field of this name.
pub fn finite(text: &str, name: &str) -> Result<f64, SettingsError> {
    let value: f64 = number(text, name)?;
    if !value.is_finite() {
        return Err(SettingsError(format!(
            "field '{name}': '{text}' is not finite"
        )));
    }
    Ok(value)
}

/// Numbers for the names of zones and of kinds, given out as they are met.
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

    /// The kind of this name.
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

/// The state that discovery's word means.
pub fn server_state(word: &str) -> Option<ServerState> {
    match word {
        "in_service" => Some(ServerState::InService),
        "terminating" => Some(ServerState::Draining),
        "terminated" => Some(ServerState::Removed),
        _ => None,
    }
}

/// The names that requests use for the classes and tenants of the settings.
#[derive(Clone, Debug, Default)]
pub struct Names {
    pub(crate) classes: NameTable,
    pub(crate) tenants: NameTable,
}

impl Names {
    /// The place of a class.
    pub fn class(&self, name: &str) -> Option<usize> {
        self.classes.places.get(name).copied()
    }

    /// All classes by their places, those that were withdrawn included.
    pub fn classes(&self) -> &[String] {
        &self.classes.names
    }

    /// The place of a tenant.
    pub fn tenant(&self, name: &str) -> Option<usize> {
        self.tenants.places.get(name).copied()
    }
}

/// Names by their places. One that was withdrawn keeps its place and is found no more.
#[derive(Clone, Debug, Default)]
pub(crate) struct NameTable {
    pub(crate) names: Vec<String>,
    /// Where those in service are.
    pub(crate) places: HashMap<String, usize>,
}

impl NameTable {
    /// Puts a name into service at the next place. Of two alike the first is found.
    pub(crate) fn push(&mut self, name: String) {
        self.places.entry(name.clone()).or_insert(self.names.len());
        self.names.push(name);
    }
}

/// The pairs by path; what is absent keeps the default given with the question.
#[derive(Default)]
pub struct Pairs(HashMap<String, String>);

impl Pairs {
    /// The pairs of a line, set apart by spaces.
    pub fn from_line(text: &str) -> Result<Self, SettingsError> {
        let mut pairs = Pairs::default();
        for pair in text.split(' ').filter(|pair| !pair.is_empty()) {
            let (path, value) = pair
                .split_once('=')
                .ok_or_else(|| SettingsError::new(format!("'{pair}' is no pair")))?;
            pairs.set(path.to_owned(), value.to_owned());
        }
        Ok(pairs)
    }

    /// Sets the value of a path.
    pub fn set(&mut self, path: String, value: String) {
        self.0.insert(path, value);
    }

    /// The text at a path; an empty one is absent.
    pub fn text(&self, path: &str) -> Option<&str> {
        self.0
            .get(path)
            .map(String::as_str)
            .filter(|text| !text.is_empty() && *text != "-")
    }

    /// The whole number at a path.
    pub fn integer(&self, path: &str, default: u64) -> Result<u64, SettingsError> {
        self.text(path)
            .map_or(Ok(default), |text| number(text, path))
    }

    /// The span at a path, in microseconds.
    pub fn time(&self, path: &str, default: Micros) -> Result<Micros, SettingsError> {
        let span = self.integer(path, default)?;
        if span > MAX_DURATION {
            return Err(SettingsError(format!(
                "field '{path}': '{span}' microseconds are more than 30 days"
            )));
        }
        Ok(span)
    }

    fn real(&self, path: &str, default: f64) -> Result<f64, SettingsError> {
        self.text(path)
            .map_or(Ok(default), |text| finite(text, path))
    }

    fn flag(&self, path: &str) -> bool {
        matches!(self.text(path), Some("true" | "1"))
    }
}

/// Reads the pairs; unknown ones are ignored.
pub fn parse(p: &Pairs) -> Result<(Settings, Names), SettingsError> {
    let (classes, class_names) = list(p, "classes", MAX_CLASSES, class)?;
    let (tenants, tenant_names) = list(p, "tenants", MAX_TENANTS, tenant)?;
    let settings = Settings {
        node_count: p.integer("group-size", 1)?.clamp(1, 1 << 20) as u32,
        node_index: p.text("me").map(|me| number(me, "me")).transpose()?,
        classes,
        tenants,
        over_quota_value: p.real("over-share-worth", 1.0)?,
        weight_basis: match p.text("worth-by") {
            Some("work") => WeightBasis::Work,
            _ => WeightBasis::Request,
        },
        weight_source: match p.text("weight-source") {
            Some("nominal") => WeightSource::Nominal,
            Some("rough") => WeightSource::Rough,
            Some("live") => WeightSource::Live,
            _ => WeightSource::Off,
        },
        discovery_mode: match p.text("registry-mode") {
            Some("ask") => DiscoveryMode::Poll,
            _ => DiscoveryMode::Push,
        },
        key_affinity: p.flag("domain.warm-keys"),
        may_cancel: p.flag("bounds.cancelling"),
        may_health_check: p.flag("bounds.may-probe"),
        may_hedge: p.flag("bounds.second-copies"),
        max_attempts: p
            .integer("bounds.max-attempts", 1)?
            .min(u64::from(u32::MAX)) as u32,
        retry_after: p.flag("bounds.retry-after"),
        max_retry_after: p.time("bounds.max-retry-after", 0)?,
        connection_setup_cost: p.real("deductions.handshake", 0.0)?,
        open_connection_cost: p.real("deductions.connection", 0.0)?,
        cold_capacity: p.real("rules.start-capacity", 1.0)?,
        slow_start_time: p.time("rules.ramp-time", 0)?,
        cold_overload_factor: p.real("rules.fall-multiple", 1.0)?,
        cold_overload_window: p.time("rules.overload-for", 3_000_000)?,
        connect_timeout: p.time("bounds.dial-timeout", 0)?,
        max_poll_interval: p.time("rules.ask-within", 10_000_000)?,
        quarantine_time: p.time("rules.settle-after-doubt", 0)?,
        overloaded_may_have_run: p.flag("rules.may-shed-begun"),
    };
    Ok((
        settings,
        Names {
            classes: class_names,
            tenants: tenant_names,
        },
    ))
}

/// The items `path.0`, `path.1` and so on, with their names.
fn list<T>(
    p: &Pairs,
    path: &str,
    most: usize,
    item: fn(&Pairs, &str) -> Result<T, SettingsError>,
) -> Result<(Vec<T>, NameTable), SettingsError> {
    let count = p.integer(&format!("{path}.count"), 0)?;
    if count > most as u64 {
        return Err(SettingsError(format!(
            "{path}.count={count} is too many, {most} at most"
        )));
    }
    let (mut items, mut roll) = (Vec::new(), NameTable::default());
    for i in 0..count {
        let prefix = format!("{path}.{i}");
        items.push(item(p, &prefix)?);
        roll.push(p.text(&format!("{prefix}.name")).unwrap_or("").to_owned());
    }
    Ok((items, roll))
}

fn class(p: &Pairs, at: &str) -> Result<RequestClass, SettingsError> {
    let deadline = p.time(&format!("{at}.deadline"), 1_000_000)?;
    let semantics = match p.text(&format!("{at}.semantics")) {
        Some("safe") => Idempotency::Idempotent,
        Some("keyed") => Idempotency::IdempotencyKey {
            scope: match p.text(&format!("{at}.key-scope")) {
                Some("all") => DedupScope::All,
                Some("zone") => DedupScope::Zone,
                _ => DedupScope::Cell,
            },
            ttl: p.time(&format!("{at}.key-ttl"), 0)?,
        },
        // What is not known to be repeatable is not repeated.
        _ => Idempotency::NonIdempotent,
    };
    Ok(RequestClass {
        latency_objective: p.time(&format!("{at}.aim"), deadline)?,
        deadline,
        priority_weight: p.real(&format!("{at}.points"), 1.0)?,
        late_value: p.real(&format!("{at}.late-share"), 0.0)?,
        idempotency: semantics,
        in_order: p.flag(&format!("{at}.serial-by-key")),
    })
}

fn tenant(p: &Pairs, at: &str) -> Result<Tenant, SettingsError> {
    Ok(Tenant {
        quota_per_second: p.real(&format!("{at}.quota-per-s"), 0.0)?,
    })
}
