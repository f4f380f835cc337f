//! The node's configuration: the file that the platform writes, and the environment variables that override it.

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
/// Lowest memory limit, in MiB; a lower one in the file is raised to this.
const MIN_MEMORY_MB: f64 = 1.0;

/// The content of the file. The platform defines the names of the keys; unknown ones are ignored.
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
    /// The address that clients connect to, unless a listener is inherited.
    pub listen: SocketAddr,
    /// Discovery's address.
    pub discovery: SocketAddr,
    /// The address that operators connect to; `None` turns their interface off.
    pub admin_listen: Option<SocketAddr>,
    /// The folder for files that the next process of this node reads; `None` if nothing is persisted.
    pub state_folder: Option<PathBuf>,
    /// The seed of the balancer's random number generator.
    pub seed: u64,
    /// Number of file descriptors that the process may open.
    pub max_descriptors: usize,
    /// The process's memory limit, in bytes.
    pub memory_limit: usize,
    /// The address that receives datagrams of other nodes; `None` turns them off.
    pub peer_listen: Option<SocketAddr>,
    /// The datagram addresses of the other nodes, by index.
    pub peers: Vec<SocketAddr>,
    /// The datagram address that reaches all other nodes.
    pub peer_broadcast: Option<SocketAddr>,
    /// The endpoint list that the node starts with, as it was last known; empty if it could not be parsed.
    pub cached_list: EndpointList,
    /// Why `cached_list` or some of its entries could not be parsed; `None` if all could.
    pub cached_list_problem: Option<String>,
    /// The part of the configuration that a reload can change.
    pub runtime: RuntimeConfig,
}

impl Config {
    /// Parses the file's text; environment variables override it.
    ///
    /// # Errors
    ///
    /// A value is missing or invalid. An invalid endpoint list is not an error, as discovery provides one too.
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
        // An invalid list must not keep the node from starting (test
        // `endpoint_lists::a_start_with_an_invalid_list_is_logged_and_continues`).
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

/// The seed: the value of a hexadecimal string or an integer, or the hash of any other value.
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
