//! `members`: the members as an agent sees them.

use std::fmt::{self, Write};
use std::process::ExitCode;
use std::time::Duration;

use comfy_table::presets::NOTHING;
use comfy_table::Table;
use control_plane::membership::{MemberReport, Report, ViewAgreement};

use crate::agent_client::{address, get};
use crate::cli::ReportArgs;
use crate::error::CliError;
use crate::{print, EXIT_NEGATIVE};

/// Durations of this many milliseconds or more are shown in whole seconds.
const WHOLE_SECONDS_FROM_MS: u64 = 10_000;

/// Shows the members. The exit code is [`EXIT_NEGATIVE`] if a member's view has differed for longer than
/// `convergence-timeout`.
pub fn show(args: &ReportArgs) -> Result<ExitCode, CliError> {
    let report: Report = get(address(&args.agent)?, "/fleet")?;
    if args.json {
        print(&format!("{}\n", serde_json::to_string_pretty(&report)?))?;
    } else {
        print(&render(&report)?)?;
    }
    if report.agreement.differ.is_empty() {
        Ok(ExitCode::SUCCESS)
    } else {
        Ok(ExitCode::from(EXIT_NEGATIVE))
    }
}

/// The members, and below them whether all have the same view.
fn render(report: &Report) -> Result<String, fmt::Error> {
    let mut table = Table::new();
    table.load_style(NOTHING);
    table.set_header([
        "NAME", "STATE", "FOR", "NODE", "ZONE", "MACHINE", "VERSION", "LIFE", "ADDRESS", "NOTE",
    ]);
    for member in &report.members {
        table.add_row(member_row(member));
    }
    let mut text = table
        .lines()
        .map(|line| format!("{}\n", line.trim_end()))
        .collect::<String>();
    text.push('\n');
    write_summary(report, &mut text)?;
    Ok(text)
}

fn member_row(member: &MemberReport) -> [String; 10] {
    let unreachable = member.unreachable_for_ms.map(|ms| {
        format!(
            "not reachable from this agent for {}; ",
            format_duration(ms)
        )
    });
    let or_dash = |text: &str| {
        if text.is_empty() {
            "-".to_owned()
        } else {
            text.to_owned()
        }
    };
    [
        member.name.to_string(),
        member.state.as_str().to_owned(),
        format_duration(member.state_for_ms),
        member.node.map_or("-", |node| node.as_str()).to_owned(),
        or_dash(&member.zone),
        or_dash(&member.machine),
        or_dash(&member.program),
        format!("{}.{}", member.generation, member.incarnation),
        member.addr.to_string(),
        format!("{}{}", unreachable.unwrap_or_default(), member.note),
    ]
}

/// Writes the totals, whether views agree, and the differences.
fn write_summary(report: &Report, text: &mut String) -> fmt::Result {
    let present = &report.present;
    writeln!(
        text,
        "fleet {}, as seen by {}: {} members present, {} nodes serving",
        report.fleet, report.me, present.members, present.nodes
    )?;
    let agreement = &report.agreement;
    match agreement.agreed_for_ms {
        Some(ms) => writeln!(
            text,
            "all views have agreed for {} ({} of {} other members heard from since the last change)",
            format_duration(ms),
            agreement.heard,
            agreement.of
        ),
        None => writeln!(text, "the views of the members do not agree at present"),
    }?;
    if !present.majority {
        writeln!(
            text,
            "no majority of the last agreed membership ({}) is present",
            present.agreed
        )?;
    }
    if report.health > 0 {
        writeln!(
            text,
            "local health score {} of 8 (0 is healthy): this agent waits longer for answers to probes",
            report.health
        )?;
    }
    write_differences(agreement, text)
}

fn write_differences(agreement: &ViewAgreement, text: &mut String) -> fmt::Result {
    for peer in &agreement.differ {
        writeln!(
            text,
            "the view of {} has differed for {}",
            peer.peer,
            format_duration(peer.for_ms)
        )?;
        for name in &peer.names {
            writeln!(
                text,
                "  {}: here {}; there {}",
                name.name, name.here, name.there
            )?;
        }
    }
    Ok(())
}

/// Formats a duration for display, such as `2m 5s`. From `WHOLE_SECONDS_FROM_MS` on, it is rounded down to seconds.
fn format_duration(ms: u64) -> String {
    let shown = if ms < WHOLE_SECONDS_FROM_MS {
        ms
    } else {
        ms / 1_000 * 1_000
    };
    humantime::format_duration(Duration::from_millis(shown)).to_string()
}
