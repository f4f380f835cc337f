//! The file that describes an experiment, and the grid of runs that it expands to.

use serde::Deserialize;
use toml::Table;

use super::ExperimentError;
use crate::policy::PolicyKind;
use crate::scenario::Scenario;
use crate::sim::SimPlan;

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    scenarios: Vec<String>,
    policies: Vec<String>,
    seeds: Seeds,
    #[serde(default)]
    sizes: Vec<Size>,
    #[serde(default)]
    variants: Vec<Variant>,
    seconds: Option<f64>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Seeds {
    from: u64,
    count: u64,
}

/// Number of nodes and of servers.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Size {
    nodes: usize,
    servers: usize,
}

/// A named set of scenario fields that replace those of the scenario.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Variant {
    name: String,
    set: Table,
}

/// One run of a grid.
#[derive(Clone, Debug)]
pub struct Cell {
    /// Name or path of the scenario.
    pub scenario: String,
    /// Name of the variant; empty for the unchanged scenario.
    pub variant: String,
    plan: SimPlan,
}

impl Cell {
    /// Key that identifies the run within its grid: group, policy and seed.
    pub fn key(&self) -> String {
        format!(
            "{} {} {}",
            self.group(),
            self.plan.policy.name(),
            self.plan.seed
        )
    }

    /// Key that the runs to be compared share: scenario, variant, size and duration.
    pub fn group(&self) -> String {
        let plan = &self.plan;
        let variant = if self.variant.is_empty() {
            "as-is"
        } else {
            &self.variant
        };
        format!(
            "{} {variant} {}x{} {}s",
            self.scenario, plan.nodes, plan.servers, plan.seconds
        )
    }

    /// Shell command that repeats the run.
    pub fn command(&self) -> String {
        let plan = &self.plan;
        let (scenario, policy) = (&self.scenario, plan.policy.name());
        let policy =
            shlex::try_quote(&policy).map_or_else(|_| policy.clone(), std::borrow::Cow::into_owned);
        let command = format!(
            "balancer-testbed sim {scenario} --seed {} --nodes {} --servers {} --seconds {} --policy {policy}",
            plan.seed, plan.nodes, plan.servers, plan.seconds
        );
        match self.variant.as_str() {
            "" => command,
            variant => {
                format!("{command}  # with the fields of variant {variant} set in a copy of the scenario")
            }
        }
    }

    /// Plan of the simulation.
    pub fn plan(&self) -> SimPlan {
        self.plan.clone()
    }
}

/// All runs of an experiment.
#[derive(Clone, Debug)]
pub struct Grid {
    cells: Vec<Cell>,
}

impl Grid {
    /// Parses the text of an experiment file; `file` is its name in error messages.
    pub fn read(file: &str, text: &str) -> Result<Grid, ExperimentError> {
        let invalid = |what: String| ExperimentError::File {
            file: file.to_owned(),
            what,
        };
        let experiment: File = toml::from_str(text).map_err(|error| invalid(error.to_string()))?;
        let policies = experiment
            .policies
            .iter()
            .map(|name| name.parse::<PolicyKind>());
        let policies: Vec<PolicyKind> = policies
            .collect::<Result<_, _>>()
            .map_err(|error| invalid(format!("policies: {error}")))?;
        if policies.is_empty() || experiment.scenarios.is_empty() || experiment.seeds.count == 0 {
            return Err(invalid(
                "expected at least one scenario, one policy and one seed".into(),
            ));
        }
        let unchanged = Variant {
            name: String::new(),
            set: Table::new(),
        };
        let variants = if experiment.variants.is_empty() {
            vec![unchanged]
        } else {
            experiment.variants
        };
        let mut cells = Vec::new();
        for name in &experiment.scenarios {
            for variant in &variants {
                let scenario = apply_variant(name, variant).map_err(&invalid)?;
                let scenario_size = Size {
                    nodes: scenario.run.nodes,
                    servers: scenario.run.servers,
                };
                let sizes = if experiment.sizes.is_empty() {
                    vec![scenario_size]
                } else {
                    experiment.sizes.clone()
                };
                for size in sizes {
                    if size.nodes == 0
                        || size.servers == 0
                        || size.nodes > 1000
                        || size.servers > 1000
                    {
                        return Err(invalid(
                            "sizes: expected 1 to 1000 nodes and servers".into(),
                        ));
                    }
                    for policy in &policies {
                        for seed in experiment.seeds.from
                            ..experiment.seeds.from.saturating_add(experiment.seeds.count)
                        {
                            let plan = SimPlan {
                                seed,
                                nodes: size.nodes,
                                servers: size.servers,
                                seconds: experiment.seconds.unwrap_or(scenario.run.seconds.0),
                                policy: policy.clone(),
                                record: false,
                                trace_filter: None,
                                scenario: scenario.clone(),
                            };
                            cells.push(Cell {
                                scenario: name.clone(),
                                variant: variant.name.clone(),
                                plan,
                            });
                        }
                    }
                }
            }
        }
        Ok(Grid { cells })
    }

    /// The runs, in the order of scenarios, variants, sizes, policies and seeds.
    pub fn cells(&self) -> &[Cell] {
        &self.cells
    }
}

fn apply_variant(name: &str, variant: &Variant) -> Result<Scenario, String> {
    let text = Scenario::text(name).map_err(|error| error.to_string())?;
    if variant.set.is_empty() {
        return Scenario::read(name, &text).map_err(|error| error.to_string());
    }
    let mut table: Table = text
        .parse()
        .map_err(|error: toml::de::Error| error.to_string())?;
    merge(&mut table, &variant.set);
    let text = toml::to_string(&table).map_err(|error| error.to_string())?;
    Scenario::read(&format!("variant '{}' of {name}", variant.name), &text)
        .map_err(|error| error.to_string())
}

/// Overwrites fields with those of `over`; tables are merged field by field.
fn merge(table: &mut Table, over: &Table) {
    for (key, value) in over {
        match (table.get_mut(key), value) {
            (Some(toml::Value::Table(inner)), toml::Value::Table(over)) => merge(inner, over),
            _ => drop(table.insert(key.clone(), value.clone())),
        }
    }
}
