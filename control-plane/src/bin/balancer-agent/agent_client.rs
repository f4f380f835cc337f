//! Requests to an agent's HTTP interface.

use std::net::SocketAddr;
use std::time::Duration;

use control_plane::config::Config;
use control_plane::runtime::http::{self, Method, Response};
use serde::de::DeserializeOwned;

use crate::cli::AgentArgs;
use crate::error::CliError;
use crate::tokio_runtime;

/// Timeout of requests that may involve other agents. It is longer than the 3 s that the agent allows for a command.
const FLEET_REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// HTTP status of a successful request.
const OK: u16 = 200;

/// The operators' address of the agent that the arguments name.
pub fn address(agent: &AgentArgs) -> Result<SocketAddr, CliError> {
    match (&agent.at, &agent.config) {
        (Some(addr), _) => Ok(*addr),
        (None, Some(path)) => Ok(Config::load(path)?.operator_addr),
        (None, None) => Err(CliError::NoAgent),
    }
}

/// Gets a report for which the agent needs no other agent.
pub fn get<T: DeserializeOwned>(addr: SocketAddr, path: &str) -> Result<T, CliError> {
    let response = request(addr, http::REQUEST_TIMEOUT, Method::GET, path)?;
    parse_report(addr, &response)
}

/// Gets a report that the agent may have to request from another agent.
pub fn get_from_fleet<T: DeserializeOwned>(addr: SocketAddr, path: &str) -> Result<T, CliError> {
    let response = request(addr, FLEET_REQUEST_TIMEOUT, Method::GET, path)?;
    parse_report(addr, &response)
}

/// Sends a command. The answer is parsed whatever its status, as rejected commands are answered with JSON, too.
pub fn post<T: DeserializeOwned>(addr: SocketAddr, path: &str) -> Result<T, CliError> {
    let response = request(addr, FLEET_REQUEST_TIMEOUT, Method::POST, path)?;
    response
        .json()
        .map_err(|_| CliError::status(addr, &response))
}

fn parse_report<T: DeserializeOwned>(addr: SocketAddr, response: &Response) -> Result<T, CliError> {
    if response.status != OK {
        return Err(CliError::status(addr, response));
    }
    response
        .json()
        .map_err(|source| CliError::Request { addr, source })
}

fn request(
    addr: SocketAddr,
    limit: Duration,
    method: Method,
    path: &str,
) -> Result<Response, CliError> {
    tokio_runtime()?
        .block_on(http::call_within(limit, addr, method, path))
        .map_err(|source| CliError::Request { addr, source })
}
