//! Comparison of policies. Runs are paired by seed, as two runs of one seed face the same world, and the
//! mean difference has a bootstrap confidence interval (Efron 1979, percentile method).

use std::collections::BTreeMap;
use std::fmt::Write;

use comfy_table::presets::UTF8_BORDERS_ONLY;
use comfy_table::Table;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

use super::Row;

/// Number of bootstrap resamples.
const RESAMPLES: usize = 2_000;

/// One policy compared with another on one metric, over the seeds that both have.
#[derive(Clone, Debug, PartialEq)]
pub struct Comparison {
    /// Scenario, variant, size and duration that the compared runs share.
    pub group: String,
    /// Name of the metric.
    pub metric: String,
    /// Names of the first and the second policy.
    pub policies: (String, String),
    /// Means of the first and the second policy.
    pub means: (f64, f64),
    /// Mean of the paired differences, first minus second.
    pub difference: f64,
    /// 95 % confidence interval of that mean.
    pub interval: (f64, f64),
    /// Number of seeds on which the first policy is better, and on which it is worse.
    pub wins: (usize, usize),
    /// Number of paired seeds.
    pub seeds: usize,
}

/// Compares each pair of policies within each group on the value served in total, in the worst ten seconds
/// and by class.
pub fn compare(rows: &[Row]) -> Vec<Comparison> {
    let mut groups: Vec<&str> = Vec::new();
    let mut policies: Vec<&str> = Vec::new();
    for row in rows {
        if !groups.contains(&row.group.as_str()) {
            groups.push(&row.group);
        }
        if !policies.contains(&row.policy.as_str()) {
            policies.push(&row.policy);
        }
    }
    let mut comparisons = Vec::new();
    for group in groups {
        let by_seed = |policy: &str| -> BTreeMap<u64, BTreeMap<String, f64>> {
            let rows = rows
                .iter()
                .filter(|row| row.group == group && row.policy == policy);
            rows.map(|row| (row.seed, metrics(row))).collect()
        };
        for (index, first) in policies.iter().enumerate() {
            for second in &policies[index + 1..] {
                let (a, b) = (by_seed(first), by_seed(second));
                let names: Vec<String> = a
                    .values()
                    .next()
                    .into_iter()
                    .flat_map(|f| f.keys().cloned())
                    .collect();
                for metric in names {
                    let pair = |(seed, f): (&u64, &BTreeMap<String, f64>)| {
                        Some((*f.get(&metric)?, *b.get(seed)?.get(&metric)?))
                    };
                    let pairs: Vec<(f64, f64)> = a.iter().filter_map(pair).collect();
                    if !pairs.is_empty() {
                        comparisons.push(compare_pairs(group, &metric, (first, second), &pairs));
                    }
                }
            }
        }
    }
    comparisons
}

fn metrics(row: &Row) -> BTreeMap<String, f64> {
    let mut metrics = BTreeMap::from([("worth".to_owned(), row.served)]);
    metrics.extend(row.worst_10s.map(|share| ("worst 10 s".to_owned(), share)));
    metrics.extend(
        row.classes
            .iter()
            .map(|class| (format!("class {}", class.name), class.served)),
    );
    metrics
}

fn compare_pairs(
    group: &str,
    metric: &str,
    policies: (&str, &str),
    pairs: &[(f64, f64)],
) -> Comparison {
    let differences: Vec<f64> = pairs.iter().map(|(a, b)| a - b).collect();
    let mean = |values: &[f64]| values.iter().sum::<f64>() / values.len() as f64;
    // A fixed seed, so that the same rows give the same interval.
    let mut rng = Pcg64::seed_from_u64(1);
    let mut means: Vec<f64> = (0..RESAMPLES)
        .map(|_| {
            let draw =
                (0..differences.len()).map(|_| differences[rng.random_range(0..differences.len())]);
            draw.sum::<f64>() / differences.len() as f64
        })
        .collect();
    means.sort_by(f64::total_cmp);
    let quantile = |part: f64| means[((RESAMPLES - 1) as f64 * part) as usize];
    let first: Vec<f64> = pairs.iter().map(|pair| pair.0).collect();
    let second: Vec<f64> = pairs.iter().map(|pair| pair.1).collect();
    Comparison {
        group: group.to_owned(),
        metric: metric.to_owned(),
        policies: (policies.0.to_owned(), policies.1.to_owned()),
        means: (mean(&first), mean(&second)),
        difference: mean(&differences),
        interval: (quantile(0.025), quantile(0.975)),
        wins: (
            differences.iter().filter(|d| **d > 0.0).count(),
            differences.iter().filter(|d| **d < 0.0).count(),
        ),
        seeds: pairs.len(),
    }
}

/// The comparisons as a table, with a star where the interval excludes 0, and the runs that broke a rule.
pub fn text(rows: &[Row], comparisons: &[Comparison]) -> String {
    let mut table = Table::new();
    table.load_style(UTF8_BORDERS_ONLY);
    table.set_header([
        "group",
        "figure",
        "policies",
        "means %",
        "difference, 95 % of it",
        "wins",
        "seeds",
    ]);
    for c in comparisons {
        let marker = if c.interval.0 > 0.0 || c.interval.1 < 0.0 {
            " *"
        } else {
            ""
        };
        table.add_row([
            c.group.clone(),
            c.metric.clone(),
            format!("{} / {}", c.policies.0, c.policies.1),
            format!("{:.1} / {:.1}", c.means.0 * 100.0, c.means.1 * 100.0),
            format!(
                "{:+.2} [{:+.2}, {:+.2}]{marker}",
                c.difference * 100.0,
                c.interval.0 * 100.0,
                c.interval.1 * 100.0
            ),
            format!("{}:{}", c.wins.0, c.wins.1),
            c.seeds.to_string(),
        ]);
    }
    let mut out = format!("{table}\n");
    let with_breaches: Vec<&Row> = rows.iter().filter(|row| row.rules_broken > 0).collect();
    let _ = writeln!(
        out,
        "{} plays; rules broken in {} of them",
        rows.len(),
        with_breaches.len()
    );
    for row in with_breaches.iter().take(20) {
        let _ = writeln!(out, "  {}: {}", row.key, row.rules_broken);
    }
    out
}

#[cfg(test)]
mod tests {
    use super::*;

    fn row(policy: &str, seed: u64, served: f64) -> Row {
        Row {
            key: format!("g {policy} {seed}"),
            group: "g".into(),
            policy: policy.into(),
            seed,
            served,
            worst_10s: None,
            rules_broken: 0,
            requests: 1,
            classes: Vec::new(),
        }
    }

    #[test]
    fn runs_are_paired_by_seed_and_the_interval_separates_a_gain_from_noise() {
        // Seeds differ by far more than the policies do, so only pairing shows the small gain.
        let mut rows: Vec<Row> = (0..12)
            .map(|seed| row("a", seed, 0.5 + seed as f64 / 30.0))
            .collect();
        let small = |seed: u64| 0.01 + (seed % 3) as f64 / 1000.0;
        rows.extend((0..12).map(|seed| row("b", seed, 0.5 + seed as f64 / 30.0 - small(seed))));
        rows.extend((0..11).map(|seed| {
            row(
                "c",
                seed,
                0.5 + seed as f64 / 30.0 + if seed % 2 == 0 { 0.1 } else { -0.1 },
            )
        }));
        let comparisons = compare(&rows);
        let versus = |second: &str| {
            comparisons
                .iter()
                .find(|c| c.policies == ("a".into(), second.into()))
                .unwrap()
        };
        let b = versus("b");
        assert!(
            b.interval.0 > 0.0 && b.wins == (12, 0) && (b.difference - 0.011).abs() < 1e-9,
            "{b:?}"
        );
        let c = versus("c");
        assert!(
            c.interval.0 < 0.0 && c.interval.1 > 0.0 && c.seeds == 11,
            "{c:?}"
        );
    }
}
