//! Measures the agreed log among voters alone: what it bears, what an entry costs, how long one takes over far regions,
//! how soon there is another leader, and whether leases hold at such distances.

use control_plane::consensus::MAX_COMMAND_BYTES;
use control_plane::coordinator::OperatorCommand;
use control_plane::lease::Role;

use super::super::results::{About, Aspect, Loss, Measurement, Source};
use super::super::{middle, target, Effort};
use super::simulation::{out, Site, Trips, SYNC};
use super::{highest_borne, offer, share, within, yes, BASE, COMMAND_TIMEOUT, LOG, SECOND};

const ONE: &str =
    "one synced write at a time at each voter, with all that came meanwhile; the leader takes no copy of what is open";
/// Servers that are taken out in turn, so that the state stays small.
const SERVERS: u64 = 200;
/// An agreed entry is awaited for so long.
const AWAITED: u64 = 10 * SECOND;
/// The reason that goes with a server out, in bytes, where none is said.
const WHY: usize = 40;

/// The figures.
pub fn measure(effort: &Effort, told: &mut impl FnMut(&str)) -> Vec<Measurement> {
    let (mut driven, mut rests, mut elected) = (Vec::new(), Vec::new(), Vec::new());
    for &voters in effort.voters {
        told(&format!("control: {voters} voters, the log driven"));
        driven.push((voters as f64, drive(effort, voters)));
        rests.push((voters as f64, rest(voters, effort.log_s)));
        told(&format!("control: {voters} voters, leaders die"));
        elected.push((
            voters as f64,
            elections(voters, Trips::Regions, effort.elections),
        ));
    }
    told("control: the log by reasons and by disks");
    let by_reason: Vec<(f64, f64)> = effort
        .reasons
        .iter()
        .map(|&why| (why as f64, entries(effort, target::CONTROL, SYNC, why)))
        .collect();
    let by_sync: Vec<(f64, f64)> = effort
        .syncs_us
        .iter()
        .map(|&sync| {
            (
                sync as f64 / 1e3,
                entries(effort, target::CONTROL, sync as u64, WHY),
            )
        })
        .collect();
    let (mut agreed, mut far_elected, mut lost) = (Vec::new(), Vec::new(), Vec::new());
    for &trip_ms in effort.trips_ms {
        told(&format!(
            "control: {} voters, {trip_ms} ms between each two",
            target::CONTROL
        ));
        let trips = Trips::Same(trip_ms as u64 * 1_000);
        agreed.push((trip_ms as f64, agree(target::CONTROL, trips, effort.asks)));
        far_elected.push((
            trip_ms as f64,
            elections(target::CONTROL, trips, effort.elections),
        ));
        lost.push((trip_ms as f64, leases_lost(trips, effort.lease_s)));
    }
    let mut rounds = Vec::new();
    for &voters in effort.voters {
        let (leader, _) = agree(voters, Trips::Same(200_000), effort.asks);
        rounds.push((voters as f64, leader / 200.0));
    }
    let mut measurements = costs(&driven, &rests, &by_reason, &by_sync);
    measurements.extend(spans(&agreed, &rounds, &elected, &far_elected, &lost));
    measurements
}

#[derive(Clone, Copy, Debug)]
struct Driven {
    /// The highest rate of asks, a second, that is answered with yes; what it costs.
    entries: f64,
    leader_us: f64,
    follower_us: f64,
    bytes: f64,
    leader_bytes: f64,
    ms: f64,
    /// Asks answered with yes a second, while each voter has as many open as it takes.
    overdriven: f64,
}

fn settled(voters: usize, sync: u64) -> Site {
    let mut site = Site::new(voters, voters, Trips::Regions, sync, 1);
    site.settle();
    site
}

/// Wishes that take servers out, each with a reason so long.
fn wishes(why: usize) -> impl FnMut() -> OperatorCommand {
    let mut server = 0;
    move || {
        server += 1;
        out(server % SERVERS, why)
    }
}

/// The highest rate that the log bears, asked of all voters' staff in turn.
fn entries(effort: &Effort, voters: usize, sync: u64, why: usize) -> f64 {
    let seconds = effort.log_s;
    highest_borne(effort.most_rate, |rate| {
        let mut site = settled(voters, sync);
        yes(
            &offer(&mut site, rate, seconds, 0..voters, wishes(why)),
            rate * seconds as f64,
        )
    })
}

fn drive(effort: &Effort, voters: usize) -> Driven {
    let seconds = effort.log_s;
    let rate = entries(effort, voters, SYNC, WHY);
    let mut site = settled(voters, SYNC);
    let before: Vec<_> = (0..voters).map(|voter| site.meter(voter)).collect();
    let answers = offer(&mut site, rate, seconds, 0..voters, wishes(WHY));
    let asks = (rate * seconds as f64).max(1.0);
    let leader = site.leader().unwrap_or(0);
    let us = |voter: usize| share(site.meter(voter).core - before[voter].core, asks);
    let bytes =
        |voter: usize| (site.meter(voter).letter_bytes - before[voter].letter_bytes) as f64 / asks;
    let others: Vec<f64> = (0..voters)
        .filter(|voter| *voter != leader)
        .map(us)
        .collect();
    Driven {
        entries: rate,
        leader_us: us(leader),
        follower_us: middle(others),
        bytes: (0..voters).map(bytes).sum(),
        leader_bytes: bytes(leader),
        ms: middle(
            answers
                .iter()
                .map(|a| (a.answered - a.asked) as f64 / 1e3)
                .collect(),
        ),
        overdriven: overdrive(voters, effort.open, seconds),
    }
}

fn overdrive(voters: usize, open: usize, seconds: u64) -> f64 {
    let (mut site, mut next) = (settled(voters, SYNC), wishes(WHY));
    for voter in 0..voters {
        for _ in 0..open {
            site.ask(voter, next());
        }
    }
    // What comes of it shows once the first were answered in one way or the other.
    site.run_asking(COMMAND_TIMEOUT, |_| Some(next()));
    site.answers();
    site.run_asking(seconds * SECOND, |_| Some(next()));
    yes(&site.answers(), seconds as f64)
}

/// Bytes a second between all voters and % of the leader's core, with nothing asked.
fn rest(voters: usize, seconds: u64) -> (f64, f64) {
    let mut site = Site::new(voters, voters, Trips::Regions, SYNC, 1);
    site.settle();
    let leader = site.leader().unwrap_or(0);
    let bytes = |site: &Site| {
        (0..voters)
            .map(|voter| site.meter(voter).letter_bytes)
            .sum::<u64>()
    };
    let before = (bytes(&site), site.meter(leader).core);
    site.run(seconds * SECOND);
    let part = seconds as f64;
    let core = (site.meter(leader).core - before.1).as_secs_f64() / part * 100.0;
    ((bytes(&site) - before.0) as f64 / part, core)
}

/// One ask after the other, for the leader's staff and for those of another voter: the middle one, in ms.
fn agree(voters: usize, trips: Trips, asks: usize) -> (f64, f64) {
    let mut site = Site::new(voters, voters, trips, SYNC, 1);
    site.settle();
    let mut spans = [Vec::new(), Vec::new()];
    for ask in 0..asks {
        for (which, spans) in spans.iter_mut().enumerate() {
            let leader = site.leader().unwrap_or(0);
            site.ask(
                (leader + which * (1 + ask % (voters - 1))) % voters,
                out(ask as u64 % SERVERS, WHY),
            );
            if let Some(answered) = within(&mut site, AWAITED, |site| site.answers().pop()) {
                spans.push((answered.answered - answered.asked) as f64 / 1e3);
            }
        }
    }
    let [leader, other] = spans.map(middle);
    (leader, other)
}

/// From a leader's death until another leads, in s: the middle one and the slowest.
fn elections(voters: usize, trips: Trips, deaths: u64) -> (f64, f64) {
    let mut spans = Vec::new();
    for seed in 0..deaths {
        let mut site = Site::new(voters, voters, trips, SYNC, seed + 1);
        site.settle();
        // The moments differ: a leader's heartbeat is not always just out.
        site.run(SECOND + seed * 7_919);
        let Some(leader) = site.leader() else {
            continue;
        };
        let (died, led) = (site.now(), site.led.len());
        site.kill(leader);
        let next = within(&mut site, 60 * SECOND, |site| {
            site.led[led..].first().copied()
        });
        spans.extend(next.map(|(at, _)| (at - died) as f64 / SECOND as f64));
    }
    let slowest = spans.iter().copied().fold(0.0, f64::max);
    (middle(spans), slowest)
}

/// The part of the time, in %, in which a duty had no holder that might act, nothing being wrong.
fn leases_lost(trips: Trips, seconds: u64) -> f64 {
    let mut site = Site::new(target::CONTROL, target::CONTROL, trips, SYNC, 1);
    if !site.settle() {
        return 100.0;
    }
    let (looks, mut lost) = (seconds * 20, 0_usize);
    for _ in 0..looks {
        site.run(SECOND / 20);
        lost += Role::ALL
            .iter()
            .filter(|duty| site.holder(**duty).is_none())
            .count();
    }
    lost as f64 / (looks as usize * Role::ALL.len()) as f64 * 100.0
}

fn costs(
    driven: &[(f64, Driven)],
    rests: &[(f64, (f64, f64))],
    by_reason: &[(f64, f64)],
    by_sync: &[(f64, f64)],
) -> Vec<Measurement> {
    let measurement = |about: About, of: fn(&Driven) -> f64| {
        let measured: Vec<(f64, f64)> = driven
            .iter()
            .map(|(size, driven)| (*size, of(driven)))
            .collect();
        Measurement::new(&about, &measured)
    };
    let by = About {
        of: "voters",
        target: target::CONTROL as f64,
        carried_by: LOG,
        ..BASE
    };
    let messages = About {
        aspect: Aspect::Messages,
        ..by
    };
    let processor = About {
        aspect: Aspect::Processor,
        ..by
    };
    let changes =
        target::CHANGES_A_DAY + 2 * (target::RESTARTS_A_DAY + target::MACHINES_LOST_A_DAY);
    let busy: Vec<(f64, f64)> = driven
        .iter()
        .map(|(size, driven)| (*size, changes as f64 / 86_400.0 / driven.entries * 100.0))
        .collect();
    let rest = |which: fn(&(f64, f64)) -> f64| -> Vec<(f64, f64)> {
        rests
            .iter()
            .map(|(size, rest)| (*size, which(rest)))
            .collect()
    };
    vec![
        measurement(
            About {
                name: "entries",
                unit: "asks agreed a second at most, none above 4,096 tried, a synced write of 2 ms, round trips of 5 to 250 ms",
                carried_by: ONE,
                ..messages
            },
            |driven| driven.entries,
        ),
        measurement(
            About {
                name: "entries-overdriven",
                unit: "asks agreed a second while each voter has 64 open, as many as it takes",
                carried_by: ONE,
                ..messages
            },
            |driven| driven.overdriven,
        ),
        Measurement::new(
            &About {
                name: "entries-by-write",
                unit: "asks agreed a second at most, none above 4,096 tried, nine voters",
                of: "ms of a synced write",
                target: SYNC as f64 / 1e3,
                carried_by: ONE,
                ..messages
            },
            by_sync,
        ),
        Measurement::new(
            &About {
                name: "entries-by-reason",
                unit: "asks agreed a second at most, none above 4,096 tried, nine voters, each with a reason so long",
                of: "bytes",
                // The longest command, less what the rest of it takes.
                target: (MAX_COMMAND_BYTES - 100) as f64,
                ..messages
            },
            by_reason,
        ),
        Measurement::new(
            &About {
                name: "changes-a-day",
                unit: "% of what the log bears: 1,700 changes, and each restart or lost machine a server out and back",
                source: Source::Arithmetic,
                budget: Some(50.0),
                loss: Loss::Time,
                ..messages
            },
            &busy,
        ),
        measurement(
            About { name: "entry-bytes", unit: "bytes between all voters for each entry at that rate", ..messages },
            |driven| driven.bytes,
        ),
        measurement(
            About { name: "entry-bytes-leader", unit: "bytes from the leader for each entry at that rate", ..messages },
            |driven| driven.leader_bytes,
        ),
        Measurement::new(
            &About { name: "voters-rest-bytes", unit: "bytes a second between all voters at rest", ..messages },
            &rest(|rest| rest.0),
        ),
        Measurement::new(
            &About {
                name: "leader-rest-core",
                unit: "% of the leader's core at rest, decisions alone",
                budget: Some(target::CORE),
                ..processor
            },
            &rest(|rest| rest.1),
        ),
        measurement(
            About { name: "entry-core-leader", unit: "us of the leader's core for each entry at that rate", ..processor },
            |driven| driven.leader_us,
        ),
        measurement(
            About {
                name: "entry-core-follower",
                unit: "us of another voter's core for each entry at that rate",
                ..processor
            },
            |driven| driven.follower_us,
        ),
        measurement(
            About {
                aspect: Aspect::Latency,
                name: "entry-driven",
                unit: "ms from ask to yes at that rate, the middle one",
                budget: Some(target::FORCE_MS),
                loss: Loss::Time,
                ..by
            },
            |driven| driven.ms,
        ),
    ]
}

fn spans(
    agreed: &[(f64, (f64, f64))],
    rounds: &[(f64, f64)],
    elected: &[(f64, (f64, f64))],
    far_elected: &[(f64, (f64, f64))],
    lost: &[(f64, f64)],
) -> Vec<Measurement> {
    let pick = |pairs: &[(f64, (f64, f64))], which: fn(&(f64, f64)) -> f64| -> Vec<(f64, f64)> {
        pairs
            .iter()
            .map(|(size, pair)| (*size, which(pair)))
            .collect()
    };
    let far = About {
        aspect: Aspect::Latency,
        of: "ms of round trip between each two",
        target: target::FAR_MS,
        loss: Loss::Time,
        carried_by: LOG,
        ..BASE
    };
    let voters = About {
        of: "voters",
        target: target::CONTROL as f64,
        ..far
    };
    let force = Some(target::FORCE_MS);
    let quiet = Some(target::TOLD_MS / 1e3);
    vec![
        Measurement::new(
            &About {
                name: "agreed-leader",
                unit: "ms from ask to yes at the leader",
                budget: force,
                ..far
            },
            &pick(agreed, |pair| pair.0),
        ),
        Measurement::new(
            &About {
                name: "agreed-other",
                unit: "ms from ask to yes at another voter",
                budget: force,
                ..far
            },
            &pick(agreed, |pair| pair.1),
        ),
        Measurement::new(
            &About {
                name: "agreed-rounds",
                unit: "round trips of 200 ms from ask to yes at the leader",
                ..voters
            },
            rounds,
        ),
        Measurement::new(
            &About {
                name: "leader-middle",
                unit: "s from a leader's death to the next, the middle one",
                ..voters
            },
            &pick(elected, |pair| pair.0),
        ),
        Measurement::new(
            &About {
                name: "leader-slowest",
                unit: "s from a leader's death to the next, the slowest",
                budget: quiet,
                ..voters
            },
            &pick(elected, |pair| pair.1),
        ),
        Measurement::new(
            &About {
                name: "leader-far",
                unit: "s from a leader's death to the next, the slowest",
                budget: quiet,
                ..far
            },
            &pick(far_elected, |pair| pair.1),
        ),
        Measurement::new(
            &About {
                aspect: Aspect::State,
                name: "leases-lost",
                unit:
                    "% of the time in which a duty had nobody that might act, nothing being wrong",
                budget: Some(0.0),
                loss: Loss::Part,
                ..far
            },
            lost,
        ),
    ]
}
