//! `roles`: the holders of the fleet's roles, the voters, cordoned servers and alarms.

use std::fmt::{self, Write};
use std::process::ExitCode;
use std::time::{Duration, UNIX_EPOCH};

use comfy_table::presets::NOTHING;
use comfy_table::Table;
use control_plane::coordinator::CoordinatorReport;
use control_plane::lease::{Handover, HandoverReason};
use control_plane::membership::{join_names, Name};

use crate::agent_client::{address, get};
use crate::cli::ReportArgs;
use crate::error::CliError;
use crate::print;

/// Maximum number of handovers shown, the latest first.
const MAX_HANDOVERS: usize = 8;

/// Shows the report of roles.
pub fn show(args: &ReportArgs) -> Result<ExitCode, CliError> {
    let report: CoordinatorReport = get(address(&args.agent)?, "/duties")?;
    if args.json {
        return print(&format!("{}\n", serde_json::to_string_pretty(&report)?));
    }
    print(&render(&report)?)
}

fn render(report: &CoordinatorReport) -> Result<String, fmt::Error> {
    let mut text = role_table(report);
    write_voters(report, &mut text)?;
    write_cordons(report, &mut text)?;
    write_events(report, &mut text)?;
    Ok(text)
}

fn role_table(report: &CoordinatorReport) -> String {
    let mut table = Table::new();
    table.load_style(NOTHING);
    table.set_header(["DUTY", "HOLDER", "TOKEN", "LEASE HERE"]);
    for role in &report.roles {
        let holder = role.holder.as_ref().map_or("-", Name::as_str).to_owned();
        let lease = if role.lease_ms > 0 {
            format!("{} ms", role.lease_ms)
        } else {
            "-".to_owned()
        };
        table.add_row([
            role.role.name().to_owned(),
            holder,
            role.token.to_string(),
            lease,
        ]);
    }
    table
        .lines()
        .map(|line| format!("{}\n", line.trim_end()))
        .collect()
}

fn write_voters(report: &CoordinatorReport, text: &mut String) -> fmt::Result {
    let leader = report.leader.as_ref().map_or("unknown", Name::as_str);
    writeln!(
        text,
        "\nvoters {}; leader {leader}; last applied entry {}",
        join_names(&report.voters),
        report.index
    )?;
    if !report.missing.is_empty() {
        writeln!(text, "voters not present: {}", join_names(&report.missing))?;
    }
    if !report.votes {
        writeln!(
            text,
            "this agent has no vote: it shows the last update that it received"
        )?;
    }
    if !report.learners.is_empty() {
        writeln!(
            text,
            "joining, without a vote yet: {}",
            join_names(&report.learners)
        )?;
    }
    Ok(())
}

fn write_cordons(report: &CoordinatorReport, text: &mut String) -> fmt::Result {
    for (server, cordon) in &report.cordoned {
        let until = cordon.until_ms.map_or("uncordoned".to_owned(), format_time);
        writeln!(
            text,
            "cordoned: {server} until {until}, by {}: {}",
            cordon.operator, cordon.reason
        )?;
    }
    for server in &report.cordoned_locally {
        writeln!(text, "cordoned at this agent's node only: {server}")?;
    }
    Ok(())
}

fn write_events(report: &CoordinatorReport, text: &mut String) -> fmt::Result {
    for alarm in &report.alarms {
        let since = format_time(alarm.raised.since_ms);
        writeln!(text, "alarm since {since}: {}", alarm.raised.message)?;
    }
    for handover in report.handovers.iter().rev().take(MAX_HANDOVERS) {
        let at = format_time(handover.at_ms);
        writeln!(text, "{at} {}", describe_handover(handover))?;
    }
    if report.rejected > 0 {
        writeln!(
            text,
            "{} actions with a stale fencing token were rejected by this agent",
            report.rejected
        )?;
    }
    Ok(())
}

fn describe_handover(handover: &Handover) -> String {
    let reason = match handover.reason {
        HandoverReason::FirstGrant => "first grant",
        HandoverReason::LeaseExpired => "the holder's lease expired",
        HandoverReason::Released => "it had been released",
        HandoverReason::Shutdown => "the holder shuts down",
        HandoverReason::OperatorRequest => "an operator requested it",
    };
    let name_or_nobody =
        |name: &Option<Name>| name.as_ref().map_or("nobody", Name::as_str).to_owned();
    format!(
        "{} from {} to {}: {reason} (token {})",
        handover.role.name(),
        name_or_nobody(&handover.from),
        name_or_nobody(&handover.to),
        handover.token
    )
}

/// Formats a time in milliseconds since the epoch as RFC 3339.
fn format_time(ms: u64) -> String {
    humantime::format_rfc3339_seconds(UNIX_EPOCH + Duration::from_millis(ms)).to_string()
}
