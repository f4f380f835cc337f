//! The part of the configuration that a reload can change.

use std::time::Duration;

use load_balancer::settings::{self, keys, NamedSettings, Pairs};
use load_balancer::Micros;
use serde_json::Value;

use super::flatten::flatten;
use super::ConfigError;

/// Longest time to connect to a server where the settings name none.
const DEFAULT_CONNECT_TIMEOUT: Micros = 250_000;
/// Idle time after which servers close connections where the settings name none.
const DEFAULT_KEEPALIVE: Micros = 15_000_000;
/// Time within which sends to a draining server end where the settings name none.
const DEFAULT_DRAIN_GRACE: Micros = 500_000;
/// Requests that may be pending at a time where the settings name no number.
const DEFAULT_MAX_OPEN_REQUESTS: u64 = 20_000;
/// Most pending requests that the settings can allow; a higher number counts as this.
const MAX_OPEN_REQUESTS_LIMIT: u64 = 1 << 20;

/// What requests, attempts and decisions depend on.
pub struct RuntimeConfig {
    /// The balancer's settings, and the names of classes and tenants in requests.
    pub balancer: NamedSettings,
    /// The settings of the node itself.
    pub node: NodeSettings,
}

/// Settings that concern the node and not the balancer.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeSettings {
    /// Longest time to connect to a server.
    pub connect_timeout: Duration,
    /// Servers close connections that were idle for this long.
    pub keepalive: Duration,
    /// Sends to a draining server must have ended after this long.
    pub drain_grace: Duration,
    /// Requests that may be pending at a time.
    pub max_open_requests: usize,
    /// The fields of a load report, in the balancer's order.
    pub load_report_fields: Vec<String>,
}

impl RuntimeConfig {
    /// Parses the settings of a configuration.
    ///
    /// # Errors
    ///
    /// A setting is invalid.
    pub fn parse(value: &Value) -> Result<RuntimeConfig, ConfigError> {
        let mut pairs = Pairs::default();
        flatten("", value, &mut pairs);
        Ok(RuntimeConfig {
            balancer: settings::parse(&pairs)?,
            node: NodeSettings::parse(&pairs)?,
        })
    }
}

impl NodeSettings {
    fn parse(pairs: &Pairs) -> Result<NodeSettings, ConfigError> {
        let duration = |path, default| pairs.duration(path, default).map(Duration::from_micros);
        Ok(NodeSettings {
            connect_timeout: duration(keys::CONNECT_TIMEOUT, DEFAULT_CONNECT_TIMEOUT)?,
            keepalive: duration(keys::KEEPALIVE, DEFAULT_KEEPALIVE)?,
            drain_grace: duration(keys::DRAIN_GRACE, DEFAULT_DRAIN_GRACE)?,
            max_open_requests: pairs
                .integer(keys::MAX_OPEN_REQUESTS, DEFAULT_MAX_OPEN_REQUESTS)?
                .clamp(1, MAX_OPEN_REQUESTS_LIMIT) as usize,
            load_report_fields: pairs
                .text(keys::LOAD_REPORT_FIELDS)
                .unwrap_or("")
                .split(',')
                .map(str::to_owned)
                .collect(),
        })
    }
}
