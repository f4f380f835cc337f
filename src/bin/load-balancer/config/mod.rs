//! The node's configuration: the file as the platform writes it, and the environment.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::PathBuf;

use serde::Deserialize;
use serde_json::Value;
use xxhash_rust::xxh3::xxh3_64;

use crate::discovery::endpoint_list::{EndpointList, ParsedList};

mod error;
pub mod file;
mod flatten;
mod reload;
mod runtime;

pub use error::{ConfigError, ConfigFileError};
pub use reload::{ReloadedConfig, RuntimeChange};
pub use runtime::{NodeSettings, RuntimeConfig};

const BYTES_PER_MEGABYTE: f64 = (1 << 20) as f64;
/// The least memory limit, in MiB.
const MIN_MEMORY_MB: f64 = 1.0;

/// The file's content; unknown keys are ignored. The names of its fields are the platform's.
#[derive(Deserialize)]
struct ConfigFile {
    #[serde(default)]
    name: String,
    listen: Option<String>,
    discovery: Option<String>,
    operator: Option<String>,
    #[serde(default)]
    seed: Value,
    #[serde(default)]
    limits: Limits,
    peer_listen: Option<String>,
    #[serde(default)]
    peers: Vec<String>,
    peers_all: Option<String>,
    known: Option<ParsedList>,
    #[serde(default)]
    settings: Value,
}

#[derive(Deserialize)]
#[serde(default)]
struct Limits {
    sockets: usize,
    memory_mb: f64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            sockets: 1024,
            memory_mb: 192.0,
        }
    }
}

/// The configuration that a node starts with.
pub struct Config {
    /// The node's name.
    pub name: String,
    /// Where clients connect, unless a listener is inherited.
    pub listen: SocketAddr,
    /// Discovery's address.
    pub discovery: SocketAddr,
    /// Where operators connect; `None` turns their interface off.
    pub admin_listen: Option<SocketAddr>,
    /// The folder whose files the next process finds.
    pub state_folder: Option<PathBuf>,
    /// The seed of the balancer's random draws.
    pub seed: u64,
    /// File descriptors that the process may open.
    pub max_descriptors: usize,
    /// The process's memory limit, in bytes.
    pub memory_limit: usize,
    /// Where datagrams of other nodes arrive; `None` turns them off.
    pub peer_listen: Option<SocketAddr>,
    /// The other nodes, by their index.
    pub peers: Vec<SocketAddr>,
    /// The address that reaches all nodes.
    pub peer_broadcast: Option<SocketAddr>,
    /// The endpoint list as the node last had it; empty if it could not be parsed.
    pub cached_list: EndpointList,
    /// What is wrong with that list, or with its entries that could not be parsed.
    pub cached_list_problem: Option<String>,
    /// What a reload can change.
    pub runtime: RuntimeConfig,
}

impl Config {
    /// Parses the file's text; environment variables override it.
    ///
    /// # Errors
    ///
    /// A value is missing or invalid. An invalid endpoint list is no error: discovery has it too.
    pub fn parse(text: &str, environment: &HashMap<String, String>) -> Result<Config, ConfigError> {
        let file: ConfigFile = serde_json::from_str(text)?;
        let address = |variable: &'static str, value: Option<String>| {
            let text = environment.get(variable).cloned().or(value);
            let text = text.ok_or(ConfigError::Missing(variable))?;
            parse_address(variable, &text)
        };
        let admin_listen = match (environment.get("BALANCER_OPERATOR"), &file.operator) {
            (None, None) => None,
            _ => Some(address("BALANCER_OPERATOR", file.operator)?),
        };
        // A list that can't be used must not keep the node from its start (test
        // `lists::a_start_with_an_odd_list_is_told_and_goes_on`).
        let cached_list = file.known.map_or(Ok(EndpointList::default()), |parsed| {
            parsed.into_list(text.len())
        });
        let cached_list_problem = match &cached_list {
            Ok(list) => list.skipped_summary(),
            Err(error) => Some(error.to_string()),
        };
        let peer = |text: &String| parse_address("peer", text);
        Ok(Config {
            name: environment
                .get("BALANCER_NAME")
                .cloned()
                .unwrap_or(file.name),
            listen: address("BALANCER_LISTEN", file.listen)?,
            discovery: address("BALANCER_DISCOVERY", file.discovery)?,
            admin_listen,
            state_folder: environment.get("TMPDIR").map(PathBuf::from),
            seed: parse_seed(&file.seed),
            max_descriptors: file.limits.sockets,
            memory_limit: (file.limits.memory_mb.max(MIN_MEMORY_MB) * BYTES_PER_MEGABYTE) as usize,
            peer_listen: file.peer_listen.as_ref().map(peer).transpose()?,
            peers: file.peers.iter().map(peer).collect::<Result<_, _>>()?,
            peer_broadcast: file.peers_all.as_ref().map(peer).transpose()?,
            cached_list: cached_list.unwrap_or_default(),
            cached_list_problem,
            runtime: RuntimeConfig::parse(&file.settings)?,
        })
    }
}

fn parse_address(name: &'static str, text: &str) -> Result<SocketAddr, ConfigError> {
    text.parse().map_err(|source| ConfigError::InvalidAddress {
        name,
        text: text.to_owned(),
        source,
    })
}

/// The seed: a hexadecimal string, an integer, or the hash of anything else.
fn parse_seed(value: &Value) -> u64 {
    match value {
        Value::String(text) => {
            u64::from_str_radix(text, 16).unwrap_or_else(|_| xxh3_64(text.as_bytes()))
        }
        other => other
            .as_u64()
            .unwrap_or_else(|| xxh3_64(other.to_string().as_bytes())),
    }
}

#[cfg(test)]
mod tests;
