//! Owns the file that describes an experiment, and the plays that follow from it.

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

/// Nodes and servers.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Size {
    nodes: usize,
    servers: usize,
}

/// A scenario with some fields set otherwise.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Variant {
    name: String,
    set: Table,
}

/// One play of a grid.
#[derive(Clone, Debug)]
pub struct Cell {
    /// The scenario's name.
    pub scenario: String,
    /// The variant's name; empty for the scenario as it is.
    pub variant: String,
    plan: SimPlan,
}

impl Cell {
    /// What it is, in a word that no other play of the grid has.
    pub fn key(&self) -> String {
        format!(
            "{} {} {}",
            self.group(),
            self.plan.policy.name(),
            self.plan.seed
        )
    }

    /// The same for all policies and seeds that are compared.
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

    /// The command that plays it again.
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

    /// How it is played.
    pub fn plan(&self) -> SimPlan {
        self.plan.clone()
    }
}

/// All plays of an experiment.
#[derive(Clone, Debug)]
pub struct Grid {
    cells: Vec<Cell>,
}

impl Grid {
    /// Reads the file's text; `file` is its name in messages.
    pub fn read(file: &str, text: &str) -> Result<Grid, ExperimentError> {
        let fault = |what: String| ExperimentError::File {
            file: file.to_owned(),
            what,
        };
        let form: File = toml::from_str(text).map_err(|error| fault(error.to_string()))?;
        let policies = form.policies.iter().map(|name| name.parse::<PolicyKind>());
        let policies: Vec<PolicyKind> = policies
            .collect::<Result<_, _>>()
            .map_err(|error| fault(format!("policies: {error}")))?;
        if policies.is_empty() || form.scenarios.is_empty() || form.seeds.count == 0 {
            return Err(fault(
                "expected at least one scenario, one policy and one seed".into(),
            ));
        }
        let as_is = Variant {
            name: String::new(),
            set: Table::new(),
        };
        let variants = if form.variants.is_empty() {
            vec![as_is]
        } else {
            form.variants
        };
        let mut cells = Vec::new();
        for name in &form.scenarios {
            for variant in &variants {
                let scenario = vary(name, variant).map_err(&fault)?;
                let own = Size {
                    nodes: scenario.run.nodes,
                    servers: scenario.run.servers,
                };
                let sizes = if form.sizes.is_empty() {
                    vec![own]
                } else {
                    form.sizes.clone()
                };
                for size in sizes {
                    if size.nodes == 0
                        || size.servers == 0
                        || size.nodes > 1000
                        || size.servers > 1000
                    {
                        return Err(fault("sizes: expected 1 to 1000 nodes and servers".into()));
                    }
                    for policy in &policies {
                        for seed in
                            form.seeds.from..form.seeds.from.saturating_add(form.seeds.count)
                        {
                            let plan = SimPlan {
                                seed,
                                nodes: size.nodes,
                                servers: size.servers,
                                seconds: form.seconds.unwrap_or(scenario.run.seconds.0),
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

    /// The plays, in the order of the file.
    pub fn cells(&self) -> &[Cell] {
        &self.cells
    }
}

fn vary(name: &str, variant: &Variant) -> Result<Scenario, String> {
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

/// Sets the fields of `over`, tables field by field.
fn merge(table: &mut Table, over: &Table) {
    for (key, value) in over {
        match (table.get_mut(key), value) {
            (Some(toml::Value::Table(below)), toml::Value::Table(over)) => merge(below, over),
            _ => drop(table.insert(key.clone(), value.clone())),
        }
    }
}
