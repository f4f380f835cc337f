//! Measures asks: what one costs the voters, what the sockets of the control machines let through, and what happens when
//! all agents ask in the same moment, as when a region that was cut off is back.

use control_plane::coordinator::OperatorCommand;

use super::super::results::{About, Aspect, Loss, Measurement, Source};
use super::super::{check_memory, middle, target, Effort, ScaleError};
use super::simulation::{back, Meter, Site, Trips, SYNC};
use super::{highest_borne, offer, yes, BASE, COMMAND_TIMEOUT, SECOND};

const DOOR: &str =
    "256 calls at a time at each voter's socket, 128 in its queue, 2 s for each; the agreed log";
/// Servers that are taken out in turn, so that the state stays small.
const SERVERS: u64 = 200;
/// Asks a second of all agents together, where one is priced: far below what the sockets let through.
const GENTLE: u64 = 50;
/// All agents have asked at once: they are awaited for so long.
const AWAITED: u64 = 60;

/// The figures.
pub fn measure(
    effort: &Effort,
    told: &mut impl FnMut(&str),
) -> Result<Vec<Measurement>, ScaleError> {
    let (mut prices, mut backs, mut by_write) = (Vec::new(), Vec::new(), Vec::new());
    for &agents in effort.agents {
        told(&format!(
            "control: {agents} agents ask, one after the other"
        ));
        prices.push((agents as f64, price(agents, effort.ask_s)));
        check_memory(0.0)?;
        told(&format!("control: {agents} agents ask at once"));
        backs.push((agents as f64, all_at_once(agents, SYNC)));
        check_memory(0.0)?;
    }
    let most = effort
        .agents
        .iter()
        .copied()
        .max()
        .unwrap_or(target::CONTROL);
    for &sync in effort.syncs_us {
        told(&format!(
            "control: {most} agents ask at once, a synced write of {sync} us"
        ));
        by_write.push((sync as f64 / 1e3, all_at_once(most, sync as u64).late));
    }
    let mut through = Vec::new();
    for &voters in effort.voters {
        told(&format!(
            "control: {voters} voters, {} agents that ask all the time",
            effort.eager
        ));
        through.push((voters as f64, let_through(effort, voters)));
    }
    let mut measurements = costs(&prices, &through);
    measurements.extend(at_once(&backs, &by_write));
    Ok(measurements)
}

#[derive(Clone, Copy, Debug)]
struct Price {
    us: f64,
    leader_us: f64,
    bytes: f64,
    ms: f64,
}

fn site(agents: usize, sync: u64) -> Site {
    let mut site = Site::new(target::CONTROL, agents, Trips::Regions, sync, 1);
    site.settle();
    // Whatever the first holder has to bring is brought.
    site.run(10 * SECOND);
    site
}

/// An agent without a vote, where there is one.
fn asker(nth: u64, agents: usize) -> usize {
    let others = agents.saturating_sub(target::CONTROL).max(1) as u64;
    (target::CONTROL + (nth % others) as usize).min(agents - 1)
}

/// What the voters spend on one ask, over what they spend at rest.
fn price(agents: usize, seconds: u64) -> Price {
    let mut site = site(agents, SYNC);
    // A beat looks at all agents, asked or not; what one ask costs would drown in it.
    let core = |meter: &Meter| (meter.core - meter.beats).as_secs_f64();
    let spent = |site: &Site| {
        let meters = (0..target::CONTROL).map(|voter| site.meter(voter));
        meters.fold((0.0, 0), |(sum, bytes), meter| {
            (
                sum + core(&meter),
                bytes + meter.letter_bytes + meter.call_bytes,
            )
        })
    };
    let leads = |site: &Site| {
        site.leader()
            .map_or(0.0, |leader| core(&site.meter(leader)))
    };
    let start = (spent(&site), leads(&site));
    site.run(seconds * SECOND);
    let rested = (spent(&site), leads(&site));
    let rest = (
        rested.0 .0 - start.0 .0,
        rested.0 .1 - start.0 .1,
        rested.1 - start.1,
    );
    let mut spans = Vec::new();
    for nth in 0..seconds * GENTLE {
        // Nothing but what is asked changes: the servers out stay the same, so that nothing is brought to all.
        site.ask(asker(nth, agents), back(nth % SERVERS));
        site.run(SECOND / GENTLE);
        spans.extend(
            site.answers()
                .iter()
                .map(|a| (a.answered - a.asked) as f64 / 1e3),
        );
    }
    let asked = (spent(&site), leads(&site));
    let asks = (seconds * GENTLE) as f64;
    let per = |after: f64, before: f64, rest: f64| (after - before - rest) / asks;
    Price {
        us: per(asked.0 .0, rested.0 .0, rest.0) * 1e6,
        leader_us: per(asked.1, rested.1, rest.2) * 1e6,
        bytes: per(asked.0 .1 as f64, rested.0 .1 as f64, rest.1 as f64),
        ms: middle(spans),
    }
}

fn wishes() -> impl FnMut() -> OperatorCommand {
    let mut server = 0;
    move || {
        server += 1;
        back(server % SERVERS)
    }
}

/// The highest rate of asks of agents without a vote that is answered with yes; and the yes a second while they all ask
/// again as soon as they have an answer.
fn let_through(effort: &Effort, voters: usize) -> (f64, f64) {
    let (seconds, eager) = (effort.ask_s, effort.eager);
    let settled = || {
        let mut site = Site::new(voters, eager + voters, Trips::Regions, SYNC, 1);
        site.settle();
        site.run(5 * SECOND);
        site
    };
    let agents = voters..voters + eager;
    let borne = highest_borne(effort.most_rate, |rate| {
        yes(
            &offer(&mut settled(), rate, seconds, agents.clone(), wishes()),
            rate * seconds as f64,
        )
    });
    let (mut site, mut next) = (settled(), wishes());
    agents.for_each(|agent| site.ask(agent, next()));
    site.run_asking(COMMAND_TIMEOUT, |_| Some(next()));
    site.answers();
    site.run_asking(seconds * SECOND, |_| Some(next()));
    (borne, yes(&site.answers(), seconds as f64))
}

#[derive(Clone, Copy, Debug)]
struct Back {
    /// Calls that came to the voters' sockets in the worst second.
    worst: f64,
    /// Calls that found no place, and the most that waited at one voter.
    turned_away: f64,
    waiting: f64,
    /// Answers that were not yes; staff asked again.
    tried: f64,
    /// Agents without a yes when a change has to be in force, and when they were awaited no longer.
    late: f64,
    never: f64,
    /// Until every agent has its yes.
    answered_s: Option<f64>,
    core: f64,
}

/// Each agent's staff ask in the same moment, and again whenever the answer is not yes.
fn all_at_once(agents: usize, sync: u64) -> Back {
    let mut site = site(agents, sync);
    let from = site.now();
    let called = |site: &Site| {
        (0..target::CONTROL)
            .map(|voter| site.meter(voter).called)
            .sum::<u64>()
    };
    let core = |site: &Site| {
        site.leader()
            .map_or(0.0, |leader| site.meter(leader).core.as_secs_f64())
    };
    // It changes nothing, so that nothing is to be brought to all besides.
    let wish = |agent: usize| back(agent as u64 % SERVERS);
    (0..agents).for_each(|agent| site.ask(agent, wish(agent)));
    let (mut yes, mut tried, mut worst, mut busiest, mut last) = (0, 0, 0, 0.0_f64, None);
    let mut late = 0;
    for second in 1..=AWAITED {
        let before = (called(&site), core(&site));
        site.run_asking(SECOND, |answered| {
            (!answered.answer.is_committed()).then(|| wish(answered.at))
        });
        worst = worst.max(called(&site) - before.0);
        busiest = busiest.max((core(&site) - before.1) * 100.0);
        for answered in site.answers() {
            if answered.answer.is_committed() {
                yes += 1;
                last = Some((answered.answered - from) as f64 / SECOND as f64);
            } else {
                tried += 1;
            }
        }
        if second * 1_000 == target::FORCE_MS as u64 {
            late = agents - yes;
        }
        if yes >= agents {
            break;
        }
    }
    Back {
        late: late as f64,
        never: (agents - yes) as f64,
        worst: worst as f64,
        turned_away: site.turned_away as f64,
        waiting: site.most_waiting as f64,
        tried: f64::from(tried),
        answered_s: last.filter(|_| yes >= agents),
        core: busiest,
    }
}

fn costs(prices: &[(f64, Price)], through: &[(f64, (f64, f64))]) -> Vec<Measurement> {
    let measurement = |about: About, of: fn(&Price) -> f64| {
        let measured: Vec<(f64, f64)> = prices
            .iter()
            .map(|(size, price)| (*size, of(price)))
            .collect();
        Measurement::new(&about, &measured)
    };
    let base = About {
        carried_by: DOOR,
        ..BASE
    };
    let processor = About {
        aspect: Aspect::Processor,
        ..base
    };
    let each: Vec<(f64, f64)> = prices
        .iter()
        .map(|(size, price)| (*size, size * price.leader_us / 1e6 * 100.0))
        .collect();
    let voters = About {
        of: "voters",
        target: target::CONTROL as f64,
        ..base
    };
    let borne: Vec<(f64, f64)> = through
        .iter()
        .map(|(size, (borne, _))| (*size, *borne))
        .collect();
    let eager: Vec<(f64, f64)> = through
        .iter()
        .map(|(size, (_, eager))| (*size, *eager))
        .collect();
    let wanted: Vec<(f64, f64)> = borne
        .iter()
        .map(|(size, borne)| (*size, target::NODES as f64 / borne.max(1.0)))
        .collect();
    vec![
        measurement(
            About { name: "ask-core", unit: "us of all voters' cores for an ask, over rest, beats left out", ..processor },
            |price| price.us,
        ),
        measurement(
            About {
                name: "ask-core-leader",
                unit: "us of the leader's core for an ask, over rest, beats left out",
                ..processor
            },
            |price| price.leader_us,
        ),
        measurement(
            About {
                aspect: Aspect::Messages,
                name: "ask-bytes",
                unit: "bytes that the voters send for an ask, over rest",
                ..base
            },
            |price| price.bytes,
        ),
        measurement(
            About {
                aspect: Aspect::Latency,
                name: "ask-answered",
                unit: "ms from ask to yes, the middle one, 50 asks a second in all",
                budget: Some(target::FORCE_MS),
                loss: Loss::Time,
                ..base
            },
            |price| price.ms,
        ),
        Measurement::new(
            &About {
                name: "asks-each-second-core",
                unit: "% of the leader's core, an ask a second from each",
                source: Source::Arithmetic,
                budget: Some(100.0),
                loss: Loss::Time,
                ..processor
            },
            &each,
        ),
        Measurement::new(
            &About {
                aspect: Aspect::Messages,
                name: "asks-borne",
                unit: "asks of agents without a vote answered with yes a second at most, none above 4,096 tried",
                ..voters
            },
            &borne,
        ),
        Measurement::new(
            &About {
                aspect: Aspect::Messages,
                name: "asks-overdriven",
                unit: "such asks answered with yes a second, 400 agents asking again as soon as they are answered",
                ..voters
            },
            &eager,
        ),
        Measurement::new(
            &About {
                aspect: Aspect::Messages,
                name: "asks-each-second",
                unit: "times what is borne: an ask a second from each of 1,900 agents",
                source: Source::Arithmetic,
                budget: Some(1.0),
                loss: Loss::Time,
                ..voters
            },
            &wanted,
        ),
    ]
}

fn at_once(backs: &[(f64, Back)], by_write: &[(f64, f64)]) -> Vec<Measurement> {
    let measurement = |about: About, of: fn(&Back) -> f64| {
        let measured: Vec<(f64, f64)> =
            backs.iter().map(|(size, back)| (*size, of(back))).collect();
        Measurement::new(&about, &measured)
    };
    let base = About {
        carried_by: DOOR,
        ..BASE
    };
    let messages = About {
        aspect: Aspect::Messages,
        ..base
    };
    let answered: Vec<(f64, f64)> = backs
        .iter()
        .filter_map(|(size, back)| Some((*size, back.answered_s?)))
        .collect();
    let late = About {
        budget: Some(0.0),
        loss: Loss::Part,
        ..base
    };
    vec![
        measurement(
            About { name: "back-late", unit: "agents without a yes 9 s after all asked at once", ..late },
            |back| back.late,
        ),
        measurement(
            About { name: "back-never", unit: "agents without a yes 60 s after all asked at once", ..late },
            |back| back.never,
        ),
        Measurement::new(
            &About {
                name: "back-late-by-write",
                unit: "agents of the largest number without a yes 9 s after all asked at once",
                of: "ms of a synced write",
                target: SYNC as f64 / 1e3,
                ..base
            },
            by_write,
        ),
        measurement(
            About {
                name: "back-worst-second",
                unit: "calls at all voters' sockets in the worst second, all agents asking at once",
                ..messages
            },
            |back| back.worst,
        ),
        measurement(
            About {
                name: "back-turned-away",
                unit: "calls that found neither place nor queue until all had their yes, or 60 s",
                ..messages
            },
            |back| back.turned_away,
        ),
        measurement(
            About { name: "back-waiting", unit: "calls in one voter's queue at most, of 128", ..messages },
            |back| back.waiting,
        ),
        measurement(
            About {
                name: "back-not-yes",
                unit: "answers that were not yes, and were asked for again, in that time",
                ..messages
            },
            |back| back.tried,
        ),
        measurement(
            About {
                aspect: Aspect::Processor,
                name: "back-core",
                unit: "% of the leader's core in the worst second",
                budget: Some(100.0),
                loss: Loss::Time,
                ..base
            },
            |back| back.core,
        ),
        Measurement::new(
            &About {
                aspect: Aspect::Latency,
                name: "back-answered",
                unit: "s until all agents that asked at once have their yes, where that was within 60 s",
                budget: Some(target::FORCE_MS / 1e3),
                loss: Loss::Time,
                ..base
            },
            &answered,
        ),
    ]
}
