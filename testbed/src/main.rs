//! The program `balancer-testbed`. Its subcommands are described by `--help`.
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
use testbed::report::{self, Live, RunInfo};
use testbed::runtime::{self, Deploy, Plan, RunError};
use testbed::scale::{self, results::Results};
use testbed::scenario::{Scenario, SHIPPED};
use testbed::sim::{self, SimPlan};
use testbed::wire::{self, Child};

use tracing_subscriber::EnvFilter;

use cli::{
    Bench, Capacity, Cli, Command, Experiment, Membership, Replay, Report, Roles, Sim, SlowStart,
    Up,
};

/// Exit status: a rule was broken, a node crashed or a comparison failed.
const EXIT_FAILED_CHECK: u8 = 1;
/// Exit status: the command could not be carried out.
const EXIT_ERROR: u8 = 2;
/// Name of the copy of the experiment file in the output folder.
const GRID_COPY: &str = "experiment.toml";
/// Environment variable that sets the log levels, in the syntax of RUST_LOG.
const LOG_VARIABLE: &str = "BALANCER_TESTBED_LOG";
/// Earlier name of [`LOG_VARIABLE`], read when the new one is not set.
const OLD_LOG_VARIABLE: &str = "WOODGAP_LAB_LOG";
/// Exit status: stopped by a signal. The value is that of a shell for SIGINT.
const EXIT_STOPPED: u8 = 130;

fn main() -> ExitCode {
    let cli = Cli::parse();
    let filter = EnvFilter::try_from_env(LOG_VARIABLE)
        .or_else(|_| EnvFilter::try_from_env(OLD_LOG_VARIABLE))
        .unwrap_or_else(|_| EnvFilter::new("warn"));
    tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(std::io::stderr)
        .init();
    let result = match cli.command {
        Command::Up(up) => run_nodes(&up),
        Command::Sim(sim) => simulate(&sim),
        Command::Replay(stream) => replay(&stream),
        Command::Experiment(experiment) => run_experiment(&experiment),
        Command::Report(options) => write_report(&options),
        Command::Bench(bench) => compare_forwarder(&bench),
        Command::Capacity(options) => measure_capacity(&options),
        Command::Membership(options) => measure_membership(&options),
        Command::Roles(options) => simulate_roles(&options),
        Command::SlowStart(options) => simulate_slow_start(&options),
        Command::Scenarios => scenarios(),
    };
    result.unwrap_or_else(|error| {
        eprintln!("balancer-testbed: {error}");
        let stopped = matches!(error.downcast_ref(), Some(RunError::Stopped));
        ExitCode::from(if stopped { EXIT_STOPPED } else { EXIT_ERROR })
    })
}

fn scenarios() -> Result<ExitCode, Box<dyn Error>> {
    let mut out = stdout().lock();
    for (name, text) in SHIPPED {
        writeln!(out, "{name:<16} {}", Scenario::read(name, text)?.title)?;
    }
    Ok(ExitCode::SUCCESS)
}

/// Number of runs between two lines of progress.
const RUNS_PER_PROGRESS_LINE: u64 = 10_000;

fn simulate_roles(options: &Roles) -> Result<ExitCode, Box<dyn Error>> {
    if let Some(steps) = options.model {
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
        return Ok(ExitCode::from(if found.is_empty() {
            0
        } else {
            EXIT_FAILED_CHECK
        }));
    }
    if let Some(program) = &options.agent {
        return measure_roles(program, options.runs as usize);
    }
    let voters = usize::from(options.voters);
    let (start, end) = (
        std::time::Instant::now(),
        options.from.saturating_add(options.runs),
    );
    let (mut changes, mut refused, mut calls, mut replaced, mut broken) = (0, 0, 0, 0, 0);
    let mut from = options.from;
    while from < end {
        let to = end.min(from + RUNS_PER_PROGRESS_LINE);
        for run in testbed::agent_harness::coordination::run_seeds(voters, from..to, None) {
            (changes, refused, calls) = (
                changes + run.changes,
                refused + run.acts.1,
                calls + run.calls.0,
            );
            replaced += run.replaced;
            if !run.breaches.is_empty() {
                broken += 1;
                println!(
                    "broken: --voters {voters} --from {} --plays 1: {:?}",
                    run.seed, run.breaches
                );
            }
        }
        from = to;
        eprintln!(
            "{} runs, {broken} with broken properties, {:.0} s",
            from - options.from,
            start.elapsed().as_secs_f64()
        );
    }
    println!(
        "{} plays of {voters} voters: {broken} broken; {changes} changes of hands, {refused} late acts refused, \
         {calls} calls answered with yes, {replaced} voters replaced",
        options.runs
    );
    Ok(ExitCode::from(if broken > 0 {
        EXIT_FAILED_CHECK
    } else {
        0
    }))
}

fn simulate_slow_start(options: &SlowStart) -> Result<ExitCode, Box<dyn Error>> {
    use testbed::slow_start::{self, RestartScenario};
    let mut out = stdout().lock();
    let mut overloaded = 0;
    for &nodes in &options.nodes {
        let selected = |scenario: &RestartScenario| {
            options
                .scenario
                .as_ref()
                .is_none_or(|name| name == scenario.name())
        };
        for scenario in RestartScenario::ALL.into_iter().filter(selected) {
            let seeds = options.from..options.from.saturating_add(options.runs);
            let totals = slow_start::simulate_seeds(
                scenario,
                nodes as usize,
                options.servers.map(|n| n as usize),
                seeds,
            );
            overloaded += totals.overloaded;
            writeln!(
                out,
                "{nodes:>5} nodes  {:<9} {}",
                scenario.name(),
                totals.line()
            )?;
        }
    }
    Ok(ExitCode::from(if overloaded > 0 {
        EXIT_FAILED_CHECK
    } else {
        0
    }))
}

/// Numbers of simulated agents and of cordon calls in the measurement of the time until all agents know a cordon.
const CORDON_AGENTS_AND_CALLS: (usize, usize) = (30, 200);

fn measure_roles(program: &Path, kills: usize) -> Result<ExitCode, Box<dyn Error>> {
    use testbed::agent_harness::coordination::measure;
    let mut out = stdout().lock();
    let simulated = measure::out(CORDON_AGENTS_AND_CALLS.0, CORDON_AGENTS_AND_CALLS.1);
    writeln!(
        out,
        "{} agents in virtual time: a server out at all {simulated:?} ms",
        CORDON_AGENTS_AND_CALLS.0
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

/// Number of real agent processes in the membership measurements.
const REAL_AGENTS: usize = 5;

fn measure_membership(options: &Membership) -> Result<ExitCode, Box<dyn Error>> {
    use testbed::agent_harness::measure::{self, Spread};
    if options
        .members
        .iter()
        .any(|members| !(2..=3_000).contains(members))
    {
        return Err("--members: expected 2 to 3000 each".into());
    }
    if options.loss.iter().any(|loss| !(0.0..=0.9).contains(loss)) {
        return Err("--loss: expected 0 to 0.9 each".into());
    }
    let mut out = stdout().lock();
    let ms = |s: Spread| {
        format!(
            "p50 {} ms, p99 {} ms, most {} ms of {}",
            s.p50, s.p99, s.most, s.plays
        )
    };
    for &members in &options.members {
        writeln!(out, "{members} members, a probe each 200 ms, virtual time")?;
        writeln!(
            out,
            "  death known by all   {}",
            ms(measure::detection(members, options.runs))
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
            ms(measure::healing(members, options.runs))
        )?;
        for &loss in options.loss.iter().filter(|_| options.hours > 0) {
            let false_failures = measure::false_failures(members, loss, options.hours);
            let hours = options.hours;
            writeln!(
                out,
                "  {:>3.0} % loss, {hours} h     {false_failures} called failed falsely",
                loss * 100.0
            )?;
        }
    }
    if let Some(program) = &options.agent {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(2)
            .enable_all()
            .build()?;
        let real = runtime.block_on(measure::real(program, REAL_AGENTS, options.runs as usize))?;
        writeln!(out, "{REAL_AGENTS} real processes on loopback")?;
        writeln!(out, "  death known by all   {}", ms(real.detection))?;
        writeln!(out, "  agreed after healing {}", ms(real.healing))?;
        writeln!(
            out,
            "  at rest              {:.0} bytes and {:.2} ms of CPU a second each, {:.1} MiB at most",
            real.bytes_out, real.cpu_ms, real.memory_mib
        )?;
    }
    if let Some(program) = &options.agent {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(2)
            .enable_all()
            .build()?;
        let spread = runtime.block_on(measure::failover(program, options.runs as usize))?;
        writeln!(out, "3 real voters, a lease of 1 s")?;
        writeln!(out, "  duty held again      {}", ms(spread))?;
    }
    Ok(ExitCode::SUCCESS)
}

fn run_nodes(up: &Up) -> Result<ExitCode, Box<dyn Error>> {
    let mut scenario = Scenario::find(&up.common.scenario)?;
    up.check()?;
    let run = &mut scenario.run;
    run.nodes = up.common.nodes.unwrap_or(run.nodes);
    run.servers = up.common.servers.unwrap_or(run.servers);
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
    create_json(up.common.json.as_deref())?;
    let run_info = RunInfo {
        scenario: up.common.scenario.clone(),
        policy: None,
        seed: up.common.seed,
        nodes: scenario.run.nodes,
        servers: scenario.run.servers,
        seconds: up.common.seconds.unwrap_or(scenario.run.seconds.0),
    };
    let plan = Plan {
        seed: run_info.seed,
        nodes: run_info.nodes,
        servers: run_info.servers,
        seconds: run_info.seconds,
        command,
        root,
        logs: up.logs.as_ref().map(std::path::absolute).transpose()?,
        scenario,
    };
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    let mut live = Live::new(run_info.seconds);
    let outcome = runtime.block_on(runtime::run(plan, |run_state| live.show(run_state)));
    live.finish();
    report_outcome(&run_info, &outcome?, up.common.json.as_deref())
}

fn simulate(sim: &Sim) -> Result<ExitCode, Box<dyn Error>> {
    let scenario = Scenario::find(&sim.common.scenario)?;
    sim.check()?;
    create_json(sim.common.json.as_deref())?;
    let plan = SimPlan {
        seed: sim.common.seed,
        nodes: sim.common.nodes.unwrap_or(scenario.run.nodes),
        servers: sim.common.servers.unwrap_or(scenario.run.servers),
        seconds: sim.common.seconds.unwrap_or(scenario.run.seconds.0),
        policy: sim.policy.clone(),
        record: sim.events.is_some(),
        trace_filter: sim.trace.as_ref().map(|_| sim.follow.clone()),
        scenario,
    };
    let run_info = RunInfo {
        scenario: sim.common.scenario.clone(),
        policy: Some(sim.policy.name()),
        seed: plan.seed,
        nodes: plan.nodes,
        servers: plan.servers,
        seconds: plan.seconds,
    };
    let result = sim::simulate(&plan)?;
    if let (Some(path), Some(stream)) = (&sim.events, &result.stream) {
        std::fs::write(path, stream).map_err(|e| format!("--events {}: {e}", path.display()))?;
    }
    if let (Some(path), Some(trace)) = (&sim.trace, &result.trace) {
        std::fs::write(path, trace).map_err(|e| format!("--trace {}: {e}", path.display()))?;
    }
    report_outcome(&run_info, &result.outcome, sim.common.json.as_deref())
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
        ExitCode::from(EXIT_FAILED_CHECK)
    })
}

fn run_experiment(experiment: &Experiment) -> Result<ExitCode, Box<dyn Error>> {
    let file = experiment.file.display().to_string();
    let text =
        std::fs::read_to_string(&experiment.file).map_err(|error| format!("{file}: {error}"))?;
    let grid = Grid::read(&file, &text)?;
    let store = Store::open(&experiment.out, experiment.resume, |warning| {
        eprintln!("balancer-testbed: {warning}")
    })?;
    // The `report` subcommand reads the grid from this copy.
    let grid_copy = experiment.out.join(GRID_COPY);
    std::fs::write(&grid_copy, &text)
        .map_err(|error| format!("{}: {error}", grid_copy.display()))?;
    let rows = experiment::run(&grid, store, experiment.jobs)?;
    let comparisons = experiment::compare(&rows);
    stdout()
        .lock()
        .write_all(experiment::text(&rows, &comparisons).as_bytes())?;
    let passed = rows.iter().all(|row| row.rules_broken == 0);
    Ok(if passed {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(EXIT_FAILED_CHECK)
    })
}

fn write_report(options: &Report) -> Result<ExitCode, Box<dyn Error>> {
    let grid_copy = options.folder.join(GRID_COPY);
    let text = std::fs::read_to_string(&grid_copy).map_err(|error| {
        format!(
            "{}: {error}; expected the output folder of an experiment",
            grid_copy.display()
        )
    })?;
    let grid = Grid::read(&grid_copy.display().to_string(), &text)?;
    let store = Store::open(&options.folder, true, |warning| {
        eprintln!("balancer-testbed: {warning}")
    })?;
    let rows: Vec<_> = grid
        .cells()
        .iter()
        .filter_map(|cell| store.get(&cell.key()).cloned())
        .collect();
    if rows.is_empty() {
        return Err(format!(
            "{}: holds no results of this experiment",
            store.path().display()
        )
        .into());
    }
    let page = report::html(&options.folder.display().to_string(), &grid, &rows)?;
    let path = options
        .out
        .clone()
        .unwrap_or_else(|| options.folder.join("report.html"));
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

fn compare_forwarder(options: &Bench) -> Result<ExitCode, Box<dyn Error>> {
    options.check()?;
    let deploy = Deploy::find(&std::env::current_dir()?)?;
    deploy.build()?;
    let against = match &options.against {
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
    let bar = indicatif::ProgressBar::new(options.rounds.into());
    let commands = [deploy.run.as_str(), other.as_str()];
    let progress = |round: usize| bar.set_position(round as u64);
    let pairs = runtime.block_on(bench::run(
        commands,
        &deploy.root,
        options.rounds as usize,
        options.seconds,
        progress,
    ))?;
    bar.finish_and_clear();
    let names = [
        "node",
        if options.against.is_some() {
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

/// Builds the node and returns its program: the first word of the run command of `deploy/balancer.toml` after
/// `exec`.
fn built_node() -> Result<std::path::PathBuf, Box<dyn Error>> {
    let deploy = Deploy::find(&std::env::current_dir()?)?;
    deploy.build()?;
    let words = shlex::split(&deploy.run).unwrap_or_default();
    let program = words
        .iter()
        .find(|word| *word != "exec")
        .ok_or("deploy/balancer.toml: the run command names no program")?;
    Ok(deploy.root.join(program))
}

fn measure_capacity(options: &Capacity) -> Result<ExitCode, Box<dyn Error>> {
    if let Some(path) = &options.page {
        let page = std::fs::read_to_string(path)
            .map_err(|error| format!("{}: {error}", path.display()))?;
        let page = scale::page::fill(&page, &Results::read_all(&options.json)?)?;
        std::fs::write(path, page).map_err(|error| format!("{}: {error}", path.display()))?;
        return Ok(ExitCode::SUCCESS);
    }
    let forwarder = std::env::current_exe()?.with_file_name("bare-forwarder");
    let node = options
        .node
        .as_ref()
        .map_or_else(built_node, |node| Ok(std::path::absolute(node)?))?;
    for program in [&forwarder, &node] {
        if !program.is_file() {
            return Err(format!("{}: no such program", program.display()).into());
        }
    }
    let json = options.output()?;
    create_json(Some(json))?;
    let agent = forwarder.with_file_name("balancer-agent");
    let plan = scale::Plan {
        quick: options.quick,
        only: options.only,
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

/// Creates the output file before the run, so that a path that cannot be written is reported at once.
fn create_json(path: Option<&Path>) -> Result<(), String> {
    let opened = path.map(|path| {
        std::fs::File::create(path).map_err(|e| format!("--json {}: {e}", path.display()))
    });
    opened.transpose().map(|_| ())
}

fn report_outcome(
    run_info: &RunInfo,
    outcome: &Outcome,
    json: Option<&Path>,
) -> Result<ExitCode, Box<dyn Error>> {
    stdout()
        .lock()
        .write_all(report::text(run_info, outcome).as_bytes())?;
    if let Some(path) = json {
        report::write_json(path, run_info, outcome)
            .map_err(|e| format!("--json {}: {e}", path.display()))?;
    }
    Ok(if report::passed(outcome) {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(EXIT_FAILED_CHECK)
    })
}
