//! The subcommands that change the fleet's state, through the replicated log.

use std::process::ExitCode;
use std::time::{SystemTime, UNIX_EPOCH};

use control_plane::coordinator::CommandResult;
use control_plane::lease::Cordon;
use form_urlencoded::Serializer;

use crate::agent_client::{address, post};
use crate::cli::{AgentArgs, CordonArgs, ReleaseArgs, UncordonArgs, VoterRemoveArgs};
use crate::error::CliError;
use crate::{print, EXIT_FAILURE, EXIT_NEGATIVE};

/// Environment variable with the operator's name.
const USER_VARIABLE: &str = "USER";
/// The operator's name if neither the argument nor the environment has one.
const UNKNOWN_OPERATOR: &str = "staff";

/// Cordons a server.
pub fn cordon(args: &CordonArgs) -> Result<ExitCode, CliError> {
    let operator = args
        .who
        .clone()
        .or_else(|| std::env::var(USER_VARIABLE).ok())
        .unwrap_or_else(|| UNKNOWN_OPERATOR.to_owned());
    let mut query = Serializer::new(String::new());
    query
        .append_pair("server", &args.server)
        .append_pair("who", &operator)
        .append_pair("why", &args.why);
    if let Some(duration) = args.until {
        let until = (SystemTime::now() + duration).duration_since(UNIX_EPOCH)?;
        query.append_pair("until_ms", &until.as_millis().to_string());
    }
    send(&args.agent, &format!("/out?{}", query.finish()))
}

/// Uncordons a server.
pub fn uncordon(args: &UncordonArgs) -> Result<ExitCode, CliError> {
    let query = Serializer::new(String::new())
        .append_pair("server", &args.server)
        .finish();
    send(&args.agent, &format!("/back?{query}"))
}

/// Asks the holder of a role to release it.
pub fn release(args: &ReleaseArgs) -> Result<ExitCode, CliError> {
    send(&args.agent, &format!("/yield?duty={}", args.role.name()))
}

/// Removes a voter.
pub fn voter_remove(args: &VoterRemoveArgs) -> Result<ExitCode, CliError> {
    send(&args.agent, &format!("/voter/remove?name={}", args.name))
}

fn send(agent: &AgentArgs, path: &str) -> Result<ExitCode, CliError> {
    match post(address(agent)?, path)? {
        CommandResult::Committed(previous) => print(&describe_committed(previous.as_ref())),
        CommandResult::Rejected(reason) => {
            eprintln!("balancer-agent: rejected, nothing was changed: {reason}");
            Ok(ExitCode::from(EXIT_NEGATIVE))
        }
        CommandResult::Unconfirmed(reason) => {
            eprintln!(
                "balancer-agent: result unknown, the command may still take effect: {reason}"
            );
            Ok(ExitCode::from(EXIT_FAILURE))
        }
    }
}

/// Describes a committed command. `previous` is the cordon that the server had before it.
fn describe_committed(previous: Option<&Cordon>) -> String {
    match previous {
        Some(cordon) => format!(
            "agreed; previous cordon by {}: {}\n",
            cordon.operator, cordon.reason
        ),
        None => "agreed\n".to_owned(),
    }
}
