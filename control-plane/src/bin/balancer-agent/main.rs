//! The program `balancer-agent`: see `--help`. Arguments and wiring; it decides nothing.
#![forbid(unsafe_code)]

mod cli;
mod duties;
mod members;
mod top;

use std::error::Error;
use std::io::{self, IsTerminal, Write};
use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;

use clap::{CommandFactory, Parser};
use control_plane::config::{Config, LogFormat, EXAMPLE};
use control_plane::membership::Report;
use control_plane::runtime::{self, http, Exit};
use hyper::Method;
use tokio::task::LocalSet;
use tracing_subscriber::EnvFilter;

use cli::{At, Cli, Command};

/// The answer is no: views differ.
const NO: u8 = 1;
/// Nothing could be done: wrong arguments, an unsound file, nobody answers.
const USELESS: u8 = 2;
/// Another process holds this name.
const REFUSED: u8 = 3;

fn main() -> ExitCode {
    let cli = Cli::parse();
    let done = match &cli.command {
        Command::Run(file) => run(&file.config),
        Command::Check(file) => check(&file.config),
        Command::Example => print(EXAMPLE),
        Command::Members(members) => show(&members.at, members.json),
        Command::Duties(duties) => duties::show(&duties.at, duties.json),
        Command::Top(top) => top::show(top),
        Command::Out(out) => duties::out(out),
        Command::Back(back) => duties::back(back),
        Command::Yield(duty) => duties::give_up(duty),
        Command::VoterInit(init) => duties::voter_init(&init.file.config, init.join),
        Command::VoterRemove(voter) => duties::voter_remove(voter),
        Command::Completions(shell) => {
            clap_complete::generate(
                shell.shell,
                &mut Cli::command(),
                "balancer-agent",
                &mut io::stdout(),
            );
            Ok(ExitCode::SUCCESS)
        }
    };
    done.unwrap_or_else(|error| {
        eprintln!("balancer-agent: {error}");
        ExitCode::from(USELESS)
    })
}

fn print(text: &str) -> Result<ExitCode, Box<dyn Error>> {
    match io::stdout().lock().write_all(text.as_bytes()) {
        // Who read it has seen enough.
        Err(error) if error.kind() == io::ErrorKind::BrokenPipe => Ok(ExitCode::SUCCESS),
        written => written.map(|()| ExitCode::SUCCESS).map_err(Into::into),
    }
}

fn runtime() -> io::Result<tokio::runtime::Runtime> {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
}

fn run(path: &Path) -> Result<ExitCode, Box<dyn Error>> {
    let config = Config::load(path)?;
    let filter = EnvFilter::try_from_env("WOODGAP_AGENT_LOG");
    let filter = filter.unwrap_or_else(|_| EnvFilter::new(config.log_level.as_str()));
    let log = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(io::stderr);
    // A log that can't be written, as on a full disk, must not end what it tells of.
    let log = log
        .with_ansi(io::stderr().is_terminal())
        .log_internal_errors(false);
    match config.log_format {
        LogFormat::Text => log.with_target(false).init(),
        LogFormat::Json => log.json().flatten_event(true).init(),
    }
    let name = config.name.clone();
    match runtime()?.block_on(LocalSet::new().run_until(runtime::run(config)))? {
        Exit::Left => Ok(ExitCode::SUCCESS),
        Exit::Refused(holder) => {
            eprintln!(
                "balancer-agent: '{name}' is held by an older process at {}",
                holder.addr
            );
            Ok(ExitCode::from(REFUSED))
        }
    }
}

fn check(path: &Path) -> Result<ExitCode, Box<dyn Error>> {
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
    print(&format!(
        "sound: {} of fleet {fleet}, {} seeds, {node}\n",
        config.name,
        config.seeds.len()
    ))
}

fn address(at: &At) -> Result<SocketAddr, Box<dyn Error>> {
    match (&at.at, &at.config) {
        (Some(addr), _) => Ok(*addr),
        (None, Some(path)) => Ok(Config::load(path)?.operators),
        (None, None) => {
            Err("name an agent: --at ADDR, or --config FILE for the one of this machine".into())
        }
    }
}

fn show(at: &At, json: bool) -> Result<ExitCode, Box<dyn Error>> {
    let addr = address(at)?;
    let (status, body) = runtime()?
        .block_on(http::call(addr, Method::GET, "/fleet"))
        .map_err(|error| format!("{addr}: {error}"))?;
    if status != 200 {
        return Err(format!(
            "{addr}: answered {status}: {}",
            String::from_utf8_lossy(&body).trim()
        )
        .into());
    }
    let report: Report =
        serde_json::from_slice(&body).map_err(|error| format!("{addr}: {error}"))?;
    if json {
        print(&format!("{}\n", serde_json::to_string_pretty(&report)?))?;
    } else {
        print(&members::table(&report))?;
    }
    Ok(ExitCode::from(if report.agreement.differ.is_empty() {
        0
    } else {
        NO
    }))
}
