//! The program `balancer-agent`; see `--help`. It parses arguments, runs the agent, and shows the reports of agents.
#![forbid(unsafe_code)]

mod agent_client;
mod cli;
mod commands;
mod error;
mod members;
mod roles;
mod run;
mod top;
mod voter_init;

use std::io::{self, Write};
use std::path::Path;
use std::process::ExitCode;

use clap::{CommandFactory, Parser};
use control_plane::config::{Config, EXAMPLE};

use cli::{Cli, Command};
use error::CliError;

/// Exit code if views differ, or if a command was rejected.
const EXIT_NEGATIVE: u8 = 1;
/// Exit code for wrong arguments, an invalid file, a missing answer, or a command whose result is unknown.
const EXIT_FAILURE: u8 = 2;
/// Exit code if an older process has the agent's name.
const EXIT_NAME_REJECTED: u8 = 3;

fn main() -> ExitCode {
    let cli = Cli::parse();
    execute(&cli.command).unwrap_or_else(|error| {
        eprintln!("balancer-agent: {error}");
        ExitCode::from(EXIT_FAILURE)
    })
}

fn execute(command: &Command) -> Result<ExitCode, CliError> {
    match command {
        Command::Run(args) => run::run(&args.config),
        Command::Check(args) => check(&args.config),
        Command::Example => print(EXAMPLE),
        Command::Members(args) => members::show(args),
        Command::Roles(args) => roles::show(args),
        Command::Top(args) => top::show(args),
        Command::Cordon(args) => commands::cordon(args),
        Command::Uncordon(args) => commands::uncordon(args),
        Command::Release(args) => commands::release(args),
        Command::VoterInit(args) => voter_init::create(&args.file.config, args.join),
        Command::VoterRemove(args) => commands::voter_remove(args),
        Command::Completions(args) => {
            let name = "balancer-agent";
            clap_complete::generate(args.shell, &mut Cli::command(), name, &mut io::stdout());
            Ok(ExitCode::SUCCESS)
        }
    }
}

/// Prints to standard output. It is no error if the reader has closed it.
fn print(text: &str) -> Result<ExitCode, CliError> {
    match io::stdout().lock().write_all(text.as_bytes()) {
        Err(error) if error.kind() != io::ErrorKind::BrokenPipe => Err(error.into()),
        _ => Ok(ExitCode::SUCCESS),
    }
}

fn tokio_runtime() -> io::Result<tokio::runtime::Runtime> {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
}

fn check(path: &Path) -> Result<ExitCode, CliError> {
    let config = Config::load(path)?;
    let node = match &config.node {
        Some(node) => format!(
            "runs {} for clients at {}",
            node.command.join(" "),
            node.listen
        ),
        None => "runs no node".to_owned(),
    };
    let fleet = &config.membership.fleet;
    let seeds = config.seeds.len();
    print(&format!(
        "sound: {} of fleet {fleet}, {seeds} seeds, {node}\n",
        config.name
    ))
}
