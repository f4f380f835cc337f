//! Owns how the members are shown to people.

use std::fmt::Write;
use std::time::Duration;

use comfy_table::presets::NOTHING;
use comfy_table::Table;
use control_plane::membership::{MemberReport, Report};

/// The members, and below them whether all see the same.
pub fn table(report: &Report) -> String {
    let mut table = Table::new();
    table.load_style(NOTHING);
    table.set_header([
        "NAME", "STATE", "FOR", "NODE", "ZONE", "MACHINE", "VERSION", "LIFE", "ADDRESS", "NOTE",
    ]);
    for member in &report.members {
        table.add_row(row(member));
    }
    let mut text = table
        .lines()
        .map(|line| format!("{}\n", line.trim_end()))
        .collect::<String>();
    text.push('\n');
    sums(report, &mut text);
    text
}

fn row(member: &MemberReport) -> [String; 10] {
    let lost = member
        .unreachable_for_ms
        .map(|ms| format!("out of reach from here for {}; ", span(ms)));
    let dash = |text: &str| {
        if text.is_empty() {
            "-".to_owned()
        } else {
            text.to_owned()
        }
    };
    [
        member.name.to_string(),
        member.state.as_str().to_owned(),
        span(member.state_for_ms),
        member.node.map_or("-", |node| node.as_str()).to_owned(),
        dash(&member.zone),
        dash(&member.machine),
        dash(&member.program),
        format!("{}.{}", member.generation, member.incarnation),
        member.addr.to_string(),
        format!("{}{}", lost.unwrap_or_default(), member.note),
    ]
}

/// Writing to a text can't fail.
fn sums(report: &Report, text: &mut String) {
    let present = &report.present;
    let _ = writeln!(
        text,
        "fleet {}, as {} sees it: {} present, nodes that serve: {}",
        report.fleet, report.me, present.members, present.nodes
    );
    let agreement = &report.agreement;
    let _ = match agreement.agreed_for_ms {
        Some(ms) => writeln!(
            text,
            "views agree for {} ({} of {} others heard since the last change)",
            span(ms),
            agreement.heard,
            agreement.of
        ),
        None => writeln!(text, "views do not agree yet, or not any more"),
    };
    if !present.majority {
        let _ = writeln!(
            text,
            "no majority of the last agreed membership ({}) is present",
            present.agreed
        );
    }
    if report.health > 0 {
        let _ = writeln!(
            text,
            "this agent doubts its own health ({} of 8): it waits longer for others",
            report.health
        );
    }
    for peer in &agreement.differ {
        let _ = writeln!(text, "{} has differed for {}", peer.peer, span(peer.for_ms));
        for name in &peer.names {
            let _ = writeln!(
                text,
                "  {}: here {}; there {}",
                name.name, name.here, name.there
            );
        }
    }
}

/// To whole seconds from ten on.
fn span(ms: u64) -> String {
    let shown = if ms < 10_000 { ms } else { ms / 1_000 * 1_000 };
    humantime::format_duration(Duration::from_millis(shown)).to_string()
}
