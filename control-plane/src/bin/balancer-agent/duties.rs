//! Staff's calls about duties and servers out.

use std::error::Error;
use std::fmt::Write;
use std::path::Path;
use std::process::ExitCode;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use comfy_table::presets::NOTHING;
use comfy_table::Table;
use control_plane::config::Config;
use control_plane::consensus::PersistedState;
use control_plane::coordinator::{
    bootstrap, joining_id, voter_id, CommandResult, CoordinatorReport,
};
use control_plane::lease::{self, HandoverReason};
use control_plane::membership::Name;
use control_plane::runtime::{http, VOTER_STORE_FILE};
use control_plane::storage::RedbStorage;
use hyper::Method;

use crate::cli::{At, Back, Out, VoterRemove, Yield};
use crate::{address, print, runtime, NO, USELESS};

/// Changes of hands shown.
const LAST: usize = 8;
/// An ask is answered by then: the agent gives it up before.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(5);

pub fn show(at: &At, json: bool) -> Result<ExitCode, Box<dyn Error>> {
    let addr = address(at)?;
    let (status, body) = runtime()?
        .block_on(http::call(addr, Method::GET, "/duties"))
        .map_err(|error| format!("{addr}: {error}"))?;
    if status != 200 {
        return Err(format!("{addr}: answered {status}").into());
    }
    let report: CoordinatorReport =
        serde_json::from_slice(&body).map_err(|error| format!("{addr}: {error}"))?;
    if json {
        return print(&format!("{}\n", serde_json::to_string_pretty(&report)?));
    }
    print(&table(&report)?)
}

fn names(names: &[Name]) -> String {
    names
        .iter()
        .map(Name::as_str)
        .collect::<Vec<_>>()
        .join(", ")
}

fn time(ms: u64) -> String {
    humantime::format_rfc3339_seconds(UNIX_EPOCH + Duration::from_millis(ms)).to_string()
}

fn describe_handover(handover: &lease::Handover) -> String {
    let why = match handover.reason {
        HandoverReason::FirstGrant => "nobody had held it",
        HandoverReason::LeaseExpired => "its holder's lease ran out",
        HandoverReason::Released => "it was free",
        HandoverReason::Shutdown => "its holder stops",
        HandoverReason::OperatorRequest => "staff asked its holder",
    };
    let name = |name: &Option<Name>| name.as_ref().map_or("nobody", Name::as_str).to_owned();
    format!(
        "{} from {} to {}: {why} ({})",
        handover.role.name(),
        name(&handover.from),
        name(&handover.to),
        handover.token
    )
}

fn said(before: Option<&lease::Cordon>) -> String {
    match before {
        Some(cordon) => format!(
            "agreed; it had been out, by {}: {}\n",
            cordon.operator, cordon.reason
        ),
        None => "agreed\n".to_owned(),
    }
}

fn table(report: &CoordinatorReport) -> Result<String, Box<dyn Error>> {
    let mut duties = Table::new();
    duties.load_style(NOTHING);
    duties.set_header(["DUTY", "HOLDER", "TOKEN", "LEASE HERE"]);
    for role in &report.roles {
        let holder = role.holder.as_ref().map_or("-", Name::as_str).to_owned();
        let lease = if role.lease_ms > 0 {
            format!("{} ms", role.lease_ms)
        } else {
            "-".to_owned()
        };
        duties.add_row([
            role.role.name().to_owned(),
            holder,
            role.token.to_string(),
            lease,
        ]);
    }
    let mut text: String = duties
        .lines()
        .map(|line| format!("{}\n", line.trim_end()))
        .collect();
    let leader = report
        .leader
        .as_ref()
        .map_or("not known here", Name::as_str);
    writeln!(
        text,
        "\nvoters {}; leader {leader}; entry {}",
        names(&report.voters),
        report.index
    )?;
    if !report.missing.is_empty() {
        writeln!(text, "voters missing: {}", names(&report.missing))?;
    }
    if !report.votes {
        writeln!(
            text,
            "this agent has no vote: it shows what was brought to it"
        )?;
    }
    if !report.learners.is_empty() {
        writeln!(text, "voters to be: {}", names(&report.learners))?;
    }
    for (server, cordon) in &report.cordoned {
        let until = cordon.until_ms.map_or("put back".to_owned(), time);
        writeln!(
            text,
            "out: {server} until {until}, by {}: {}",
            cordon.operator, cordon.reason
        )?;
    }
    for server in &report.cordoned_locally {
        writeln!(text, "out by hand, at this agent's node alone: {server}")?;
    }
    for alarm in &report.alarms {
        writeln!(
            text,
            "alarm since {}: {}",
            time(alarm.raised.since_ms),
            alarm.raised.message
        )?;
    }
    for handover in report.handovers.iter().rev().take(LAST) {
        writeln!(
            text,
            "{} {}",
            time(handover.at_ms),
            describe_handover(handover)
        )?;
    }
    if report.rejected > 0 {
        writeln!(
            text,
            "{} late acts of deposed holders were refused here",
            report.rejected
        )?;
    }
    Ok(text)
}

pub fn out(out: &Out) -> Result<ExitCode, Box<dyn Error>> {
    let who = out
        .who
        .clone()
        .or_else(|| std::env::var("USER").ok())
        .unwrap_or_else(|| "staff".into());
    let mut query = form_urlencoded::Serializer::new(String::new());
    query
        .append_pair("server", &out.server)
        .append_pair("who", &who)
        .append_pair("why", &out.why);
    if let Some(span) = out.until {
        let until = (SystemTime::now() + span)
            .duration_since(UNIX_EPOCH)?
            .as_millis();
        query.append_pair("until_ms", &until.to_string());
    }
    ask(&out.at, &format!("/out?{}", query.finish()))
}

pub fn back(back: &Back) -> Result<ExitCode, Box<dyn Error>> {
    let query = form_urlencoded::Serializer::new(String::new())
        .append_pair("server", &back.server)
        .finish();
    ask(&back.at, &format!("/back?{query}"))
}

fn ask(at: &At, path: &str) -> Result<ExitCode, Box<dyn Error>> {
    let addr = address(at)?;
    let call = http::call_within(COMMAND_TIMEOUT, addr, Method::POST, path);
    let (status, body) = runtime()?
        .block_on(call)
        .map_err(|error| format!("{addr}: {error}"))?;
    let answer: CommandResult = serde_json::from_slice(&body).map_err(|_| {
        format!(
            "{addr}: answered {status}: {}",
            String::from_utf8_lossy(&body).trim()
        )
    })?;
    match answer {
        CommandResult::Committed(before) => print(&said(before.as_ref())),
        CommandResult::Rejected(why) => {
            eprintln!("balancer-agent: nothing was changed: {why}");
            Ok(ExitCode::from(NO))
        }
        CommandResult::Unconfirmed(why) => {
            eprintln!("balancer-agent: tried, and not known whether it holds: {why}");
            Ok(ExitCode::from(USELESS))
        }
    }
}

pub fn give_up(wanted: &Yield) -> Result<ExitCode, Box<dyn Error>> {
    ask(&wanted.at, &format!("/yield?duty={}", wanted.duty.name()))
}

pub fn voter_remove(voter: &VoterRemove) -> Result<ExitCode, Box<dyn Error>> {
    ask(&voter.at, &format!("/voter/remove?name={}", voter.name))
}

pub fn voter_init(path: &Path, join: bool) -> Result<ExitCode, Box<dyn Error>> {
    let config = Config::load(path)?;
    let (name, voters) = (&config.name, &config.coordination.voters);
    if !join && !voters.contains(name) {
        let said = format!(
            "{}: {name} is not among the first voters: to join them, --join",
            path.display()
        );
        return Err(said.into());
    }
    std::fs::create_dir_all(&config.state_dir)?;
    let votes = config.state_dir.join(VOTER_STORE_FILE);
    let (me, kept) = if join {
        (joining_id(name, rand::random()), PersistedState::default())
    } else {
        (voter_id(name), bootstrap(voters))
    };
    RedbStorage::create(&votes, me, kept)
        .map_err(|error| format!("{}: {error}", votes.display()))?;
    print(&format!("made {}\n", votes.display()))
}
