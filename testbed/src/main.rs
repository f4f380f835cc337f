//! The program `balancer-testbed`: see `--help`.
#![forbid(unsafe_code)]

mod cli;

use std::error::Error;
use std::io::{stdout, Write};
use std::path::Path;
use std::process::ExitCode;

use clap::Parser;
use testbed::bench;
use testbed::experiment::{self, Grid, Store};
use testbed::outcome::Outcome;
use testbed::report::{self, Live, Play};
use testbed::runtime::{self, Deploy, HostError, Plan};
use testbed::scale::{self, results::Results};
use testbed::scenario::{Scenario, SHIPPED};
use testbed::sim::{self, SimPlan};
use testbed::wire::{self, Child};

use tracing_subscriber::EnvFilter;

use cli::{Bench, Cli, Cold, Command, Duties, Experiment, Plane, Replay, Report, Scale, Sim, Up};

/// A rule was broken or a node crashed.
const BROKEN: u8 = 1;
/// Nothing could be played.
const USELESS: u8 = 2;
/// The file of an experiment, in the folder of its results.
const GRID: &str = "experiment.toml";
/// Sets the log levels, in the form of RUST_LOG.
const LOG_VARIABLE: &str = "BALANCER_TESTBED_LOG";
/// The earlier name of [`LOG_VARIABLE`], still read where the new one is not set.
const OLD_LOG_VARIABLE: &str = "WOODGAP_LAB_LOG";
/// Ended by a signal, as a shell would say for SIGINT.
const STOPPED: u8 = 130;

fn main() -> ExitCode {
    let cli = Cli::parse();
    let filter = EnvFilter::try_from_env(LOG_VARIABLE)
        .or_else(|_| EnvFilter::try_from_env(OLD_LOG_VARIABLE))
        .unwrap_or_else(|_| EnvFilter::new("warn"));
    tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(std::io::stderr)
        .init();
    let done = match cli.command {
        Command::Up(up) => play(&up),
        Command::Sim(sim) => simulate(&sim),
        Command::Replay(stream) => replay(&stream),
        Command::Experiment(experiment) => experiment_with(&experiment),
        Command::Report(of) => report_on(&of),
        Command::Bench(bench) => compare_with(&bench),
        Command::Scale(scale) => measure_scale(&scale),
        Command::Plane(plane) => measure_plane(&plane),
        Command::Duties(duties) => play_duties(&duties),
        Command::Cold(cold) => play_cold(&cold),
        Command::Scenarios => scenarios(),
    };
    done.unwrap_or_else(|error| {
        eprintln!("balancer-testbed: {error}");
        let stopped = matches!(error.downcast_ref(), Some(HostError::Stopped));
        ExitCode::from(if stopped { STOPPED } else { USELESS })
    })
}

fn scenarios() -> Result<ExitCode, Box<dyn Error>> {
    let mut out = stdout().lock();
    for (name, text) in SHIPPED {
        writeln!(out, "{name:<16} {}", Scenario::read(name, text)?.title)?;
    }
    Ok(ExitCode::SUCCESS)
}

/// Plays between two lines of progress.
const ROUND: u64 = 10_000;

fn play_duties(wanted: &Duties) -> Result<ExitCode, Box<dyn Error>> {
    if let Some(steps) = wanted.model {
        use testbed::agent_harness::coordination::model::{check, Flaw};
        let (states, found) = check(Flaw::None, steps);
        println!(
            "{states} states; broken: {}",
            if found.is_empty() {
                "none".into()
            } else {
                found.join("; ")
            }
        );
        return Ok(ExitCode::from(if found.is_empty() { 0 } else { BROKEN }));
    }
    if let Some(program) = &wanted.agent {
        return measure_duties(program, wanted.plays as usize);
    }
    let voters = usize::from(wanted.voters);
    let (start, end) = (
        std::time::Instant::now(),
        wanted.from.saturating_add(wanted.plays),
    );
    let (mut changes, mut refused, mut calls, mut replaced, mut broken) = (0, 0, 0, 0, 0);
    let mut from = wanted.from;
    while from < end {
        let to = end.min(from + ROUND);
        for play in testbed::agent_harness::coordination::run_seeds(voters, from..to, None) {
            (changes, refused, calls) = (
                changes + play.changes,
                refused + play.acts.1,
                calls + play.calls.0,
            );
            replaced += play.replaced;
            if !play.breaches.is_empty() {
                broken += 1;
                println!(
                    "broken: --voters {voters} --from {} --plays 1: {:?}",
                    play.seed, play.breaches
                );
            }
        }
        from = to;
        eprintln!(
            "{} plays, {broken} broken, {:.0} s",
            from - wanted.from,
            start.elapsed().as_secs_f64()
        );
    }
    println!(
        "{} plays of {voters} voters: {broken} broken; {changes} changes of hands, {refused} late acts refused, \
         {calls} calls answered with yes, {replaced} voters replaced",
        wanted.plays
    );
    Ok(ExitCode::from(if broken > 0 { BROKEN } else { 0 }))
}

fn play_cold(wanted: &Cold) -> Result<ExitCode, Box<dyn Error>> {
    use testbed::slow_start::{self, RestartScenario};
    let mut out = stdout().lock();
    let mut toppled = 0;
    for &nodes in &wanted.nodes {
        let wanted_one = |story: &RestartScenario| {
            wanted
                .story
                .as_ref()
                .is_none_or(|name| name == story.name())
        };
        for story in RestartScenario::ALL.into_iter().filter(wanted_one) {
            let seeds = wanted.from..wanted.from.saturating_add(wanted.plays);
            let figures = slow_start::simulate_seeds(
                story,
                nodes as usize,
                wanted.servers.map(|n| n as usize),
                seeds,
            );
            toppled += figures.overloaded;
            writeln!(
                out,
                "{nodes:>5} nodes  {:<9} {}",
                story.name(),
                figures.line()
            )?;
        }
    }
    Ok(ExitCode::from(if toppled > 0 { BROKEN } else { 0 }))
}

/// Agents in virtual time, and calls, for the time until all have a server out.
const OUT: (usize, usize) = (30, 200);

fn measure_duties(program: &Path, kills: usize) -> Result<ExitCode, Box<dyn Error>> {
    use testbed::agent_harness::coordination::measure;
    let mut out = stdout().lock();
    let virt = measure::out(OUT.0, OUT.1);
    writeln!(
        out,
        "{} agents in virtual time: a server out at all {virt:?} ms",
        OUT.0
    )?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()?;
    let real = runtime.block_on(measure::real(program, kills))?;
    writeln!(
        out,
        "real processes: held again after a death {:?} ms",
        real.failover
    )?;
    writeln!(out, "  a server out at all of 5 {:?} ms", real.out)?;
    writeln!(
        out,
        "  {:.0} calls a second one by one, {:.0} at once",
        real.calls.0, real.calls.1
    )?;
    let (voter, other) = real.rest;
    writeln!(
        out,
        "  at rest {voter:.1} ms of CPU a second at a voter, {other:.1} without a vote"
    )?;
    Ok(ExitCode::SUCCESS)
}

/// Members of the real fleet.
const REAL: usize = 5;

fn measure_plane(plane: &Plane) -> Result<ExitCode, Box<dyn Error>> {
    use testbed::agent_harness::measure::{self, Spread};
    if plane
        .members
        .iter()
        .any(|members| !(2..=3_000).contains(members))
    {
        return Err("--members: 2 to 3000 each".into());
    }
    if plane.loss.iter().any(|loss| !(0.0..=0.9).contains(loss)) {
        return Err("--loss: 0 to 0.9 each".into());
    }
    let mut out = stdout().lock();
    let ms = |s: Spread| {
        format!(
            "p50 {} ms, p99 {} ms, most {} ms of {}",
            s.p50, s.p99, s.most, s.plays
        )
    };
    for &members in &plane.members {
        writeln!(out, "{members} members, a probe each 200 ms, virtual time")?;
        writeln!(
            out,
            "  death known by all   {}",
            ms(measure::detection(members, plane.plays))
        )?;
        let cost = measure::cost(members, 60);
        writeln!(
            out,
            "  a member a second    {:.0} bytes, {:.1} datagrams, {:.0} us of the core",
            cost.bytes_out, cost.datagrams_out, cost.cpu_us
        )?;
        writeln!(
            out,
            "  agreed after healing {}",
            ms(measure::healing(members, plane.plays))
        )?;
        for &loss in plane.loss.iter().filter(|_| plane.hours > 0) {
            let falsely = measure::false_failures(members, loss, plane.hours);
            let hours = plane.hours;
            writeln!(
                out,
                "  {:>3.0} % loss, {hours} h     {falsely} called failed falsely",
                loss * 100.0
            )?;
        }
    }
    if let Some(program) = &plane.agent {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(2)
            .enable_all()
            .build()?;
        let real = runtime.block_on(measure::real(program, REAL, plane.plays as usize))?;
        writeln!(out, "{REAL} real processes on loopback")?;
        writeln!(out, "  death known by all   {}", ms(real.detection))?;
        writeln!(out, "  agreed after healing {}", ms(real.healing))?;
        writeln!(
            out,
            "  at rest              {:.0} bytes and {:.2} ms of CPU a second each, {:.1} MiB at most",
            real.bytes_out, real.cpu_ms, real.memory_mib
        )?;
    }
    if let Some(program) = &plane.agent {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(2)
            .enable_all()
            .build()?;
        let spread = runtime.block_on(measure::failover(program, plane.plays as usize))?;
        writeln!(out, "3 real voters, a lease of 1 s")?;
        writeln!(out, "  duty held again      {}", ms(spread))?;
    }
    Ok(ExitCode::SUCCESS)
}

fn play(up: &Up) -> Result<ExitCode, Box<dyn Error>> {
    let mut scenario = Scenario::find(&up.day.scenario)?;
    up.check()?;
    let run = &mut scenario.run;
    run.nodes = up.day.nodes.unwrap_or(run.nodes);
    run.servers = up.day.servers.unwrap_or(run.servers);
    let here = std::env::current_dir()?;
    let (command, root) = match &up.node {
        Some(program) => {
            let program = std::path::absolute(program)?;
            if !program.is_file() {
                return Err(format!("--node {}: no such program", program.display()).into());
            }
            let program = program.to_string_lossy();
            let quoted = shlex::try_quote(&program)?;
            (format!("exec {quoted}"), here)
        }
        None => {
            let deploy = Deploy::find(&here)?;
            deploy.build()?;
            (deploy.run, deploy.root)
        }
    };
    if let Some(logs) = &up.logs {
        std::fs::create_dir_all(logs).map_err(|e| format!("--logs {}: {e}", logs.display()))?;
    }
    open_json(up.day.json.as_deref())?;
    let play = Play {
        scenario: up.day.scenario.clone(),
        policy: None,
        seed: up.day.seed,
        nodes: scenario.run.nodes,
        servers: scenario.run.servers,
        seconds: up.day.seconds.unwrap_or(scenario.run.seconds.0),
    };
    let plan = Plan {
        seed: play.seed,
        nodes: play.nodes,
        servers: play.servers,
        seconds: play.seconds,
        command,
        root,
        logs: up.logs.as_ref().map(std::path::absolute).transpose()?,
        scenario,
    };
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    let mut live = Live::new(play.seconds);
    let outcome = runtime.block_on(runtime::play(plan, |stage| live.show(stage)));
    live.finish();
    conclude(&play, &outcome?, up.day.json.as_deref())
}

fn simulate(sim: &Sim) -> Result<ExitCode, Box<dyn Error>> {
    let scenario = Scenario::find(&sim.day.scenario)?;
    sim.check()?;
    open_json(sim.day.json.as_deref())?;
    let plan = SimPlan {
        seed: sim.day.seed,
        nodes: sim.day.nodes.unwrap_or(scenario.run.nodes),
        servers: sim.day.servers.unwrap_or(scenario.run.servers),
        seconds: sim.day.seconds.unwrap_or(scenario.run.seconds.0),
        policy: sim.policy.clone(),
        record: sim.events.is_some(),
        trace_filter: sim.trace.as_ref().map(|_| sim.follow.clone()),
        scenario,
    };
    let play = Play {
        scenario: sim.day.scenario.clone(),
        policy: Some(sim.policy.name()),
        seed: plan.seed,
        nodes: plan.nodes,
        servers: plan.servers,
        seconds: plan.seconds,
    };
    let played = sim::simulate(&plan)?;
    if let (Some(path), Some(stream)) = (&sim.events, &played.stream) {
        std::fs::write(path, stream).map_err(|e| format!("--events {}: {e}", path.display()))?;
    }
    if let (Some(path), Some(trace)) = (&sim.trace, &played.trace) {
        std::fs::write(path, trace).map_err(|e| format!("--trace {}: {e}", path.display()))?;
    }
    conclude(&play, &played.outcome, sim.day.json.as_deref())
}

fn replay(replay: &Replay) -> Result<ExitCode, Box<dyn Error>> {
    let file = replay.file.display().to_string();
    let text = std::fs::read_to_string(&replay.file).map_err(|error| format!("{file}: {error}"))?;
    let command = match &replay.sim {
        Some(command) => command.clone(),
        None => {
            let deploy = Deploy::find(&std::env::current_dir()?)?;
            deploy.build()?;
            let quoted = shlex::try_quote(&deploy.root.to_string_lossy())?.into_owned();
            format!("cd {quoted} && {}", deploy.sim)
        }
    };
    let replayed = wire::replay(&file, &text, &mut Child::start(&command)?)?;
    let mut out = stdout().lock();
    match &replayed.differs {
        None => writeln!(
            out,
            "identical: {} batches, {} actions",
            replayed.batches, replayed.actions
        )?,
        Some((line, was, is)) => {
            writeln!(
                out,
                "differs at {file}:{line}, after {} batches alike",
                replayed.batches
            )?;
            writeln!(out, "  recorded  {was}\n  now       {is}")?;
        }
    }
    Ok(if replayed.differs.is_none() {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(BROKEN)
    })
}

fn experiment_with(experiment: &Experiment) -> Result<ExitCode, Box<dyn Error>> {
    let file = experiment.file.display().to_string();
    let text =
        std::fs::read_to_string(&experiment.file).map_err(|error| format!("{file}: {error}"))?;
    let grid = Grid::read(&file, &text)?;
    let store = Store::open(&experiment.out, experiment.resume, |word| {
        eprintln!("balancer-testbed: {word}")
    })?;
    // Kept beside the results, so that a report knows the grid.
    let kept = experiment.out.join(GRID);
    std::fs::write(&kept, &text).map_err(|error| format!("{}: {error}", kept.display()))?;
    let rows = experiment::run(&grid, store, experiment.jobs)?;
    let comparisons = experiment::compare(&rows);
    stdout()
        .lock()
        .write_all(experiment::text(&rows, &comparisons).as_bytes())?;
    let kept = rows.iter().all(|row| row.rules_broken == 0);
    Ok(if kept {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(BROKEN)
    })
}

fn report_on(of: &Report) -> Result<ExitCode, Box<dyn Error>> {
    let kept = of.folder.join(GRID);
    let text = std::fs::read_to_string(&kept).map_err(|error| {
        format!(
            "{}: {error}; is this the folder of an experiment?",
            kept.display()
        )
    })?;
    let grid = Grid::read(&kept.display().to_string(), &text)?;
    let store = Store::open(&of.folder, true, |word| {
        eprintln!("balancer-testbed: {word}")
    })?;
    let rows: Vec<_> = grid
        .cells()
        .iter()
        .filter_map(|cell| store.get(&cell.key()).cloned())
        .collect();
    if rows.is_empty() {
        return Err(format!("{}: no results yet", store.path().display()).into());
    }
    let page = report::html(&of.folder.display().to_string(), &grid, &rows)?;
    let path = of
        .out
        .clone()
        .unwrap_or_else(|| of.folder.join("report.html"));
    std::fs::write(&path, page).map_err(|error| format!("{}: {error}", path.display()))?;
    writeln!(
        stdout().lock(),
        "{} of {} plays: {}",
        rows.len(),
        grid.cells().len(),
        path.display()
    )?;
    Ok(ExitCode::SUCCESS)
}

fn compare_with(of: &Bench) -> Result<ExitCode, Box<dyn Error>> {
    of.check()?;
    let deploy = Deploy::find(&std::env::current_dir()?)?;
    deploy.build()?;
    let against = match &of.against {
        Some(program) => std::path::absolute(program)?,
        None => std::env::current_exe()?.with_file_name("bare-forwarder"),
    };
    if !against.is_file() {
        let program = against.display();
        return Err(format!(
            "{program}: no such program; build it with cargo build --release -p balancer-testbed"
        )
        .into());
    }
    let against = against.to_string_lossy();
    let other = format!("exec {}", shlex::try_quote(&against)?);
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    let bar = indicatif::ProgressBar::new(of.rounds.into());
    let commands = [deploy.run.as_str(), other.as_str()];
    let told = |round: usize| bar.set_position(round as u64);
    let pairs = runtime.block_on(bench::run(
        commands,
        &deploy.root,
        of.rounds as usize,
        of.seconds,
        told,
    ))?;
    bar.finish_and_clear();
    let names = [
        "node",
        if of.against.is_some() {
            "other"
        } else {
            "forwarder"
        },
    ];
    stdout()
        .lock()
        .write_all(bench::text(names, &pairs).as_bytes())?;
    Ok(ExitCode::SUCCESS)
}

/// The node's program by `deploy/balancer.toml`: its first word after `exec`.
fn built_node() -> Result<std::path::PathBuf, Box<dyn Error>> {
    let deploy = Deploy::find(&std::env::current_dir()?)?;
    deploy.build()?;
    let words = shlex::split(&deploy.run).unwrap_or_default();
    let program = words
        .iter()
        .find(|word| *word != "exec")
        .ok_or("deploy/balancer.toml: run names no program")?;
    Ok(deploy.root.join(program))
}

fn measure_scale(of: &Scale) -> Result<ExitCode, Box<dyn Error>> {
    if let Some(path) = &of.page {
        let page = std::fs::read_to_string(path)
            .map_err(|error| format!("{}: {error}", path.display()))?;
        let page = scale::page::fill(&page, &Results::read_all(&of.json)?)?;
        std::fs::write(path, page).map_err(|error| format!("{}: {error}", path.display()))?;
        return Ok(ExitCode::SUCCESS);
    }
    let forwarder = std::env::current_exe()?.with_file_name("bare-forwarder");
    let node = of
        .node
        .as_ref()
        .map_or_else(built_node, |node| Ok(std::path::absolute(node)?))?;
    for program in [&forwarder, &node] {
        if !program.is_file() {
            return Err(format!("{}: no such program", program.display()).into());
        }
    }
    let json = of.output()?;
    open_json(Some(json))?;
    let agent = forwarder.with_file_name("balancer-agent");
    let plan = scale::Plan {
        quick: of.quick,
        only: of.only,
        node,
        forwarder,
        agent,
    };
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()?;
    let bar = indicatif::ProgressBar::new_spinner();
    bar.enable_steady_tick(std::time::Duration::from_millis(120));
    let results = runtime.block_on(scale::run(&plan, |step| bar.set_message(step.to_owned())));
    bar.finish_and_clear();
    let results = results?;
    results.write(json)?;
    let mut out = stdout().lock();
    writeln!(
        out,
        "{:.0} s, load average {:.1} before and {:.1} after",
        results.took_s, results.machine.load_before, results.machine.load_after
    )?;
    for measurement in &results.measurements {
        writeln!(out, "{}", scale::page::row(measurement))?;
    }
    writeln!(
        out,
        "
{}",
        scale::page::red_lines(&results)
    )?;
    Ok(ExitCode::SUCCESS)
}

/// Better told now than after the play that the file can't be written.
fn open_json(path: Option<&Path>) -> Result<(), String> {
    let opened = path.map(|path| {
        std::fs::File::create(path).map_err(|e| format!("--json {}: {e}", path.display()))
    });
    opened.transpose().map(|_| ())
}

fn conclude(
    play: &Play,
    outcome: &Outcome,
    json: Option<&Path>,
) -> Result<ExitCode, Box<dyn Error>> {
    stdout()
        .lock()
        .write_all(report::text(play, outcome).as_bytes())?;
    if let Some(path) = json {
        report::write_json(path, play, outcome)
            .map_err(|e| format!("--json {}: {e}", path.display()))?;
    }
    Ok(if report::is_kept(outcome) {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(BROKEN)
    })
}
