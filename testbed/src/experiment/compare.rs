//! Owns the comparison of policies: paired by seed, as two plays of one seed meet the same world, and
//! with a bootstrap interval of the mean difference (Efron 1979, percentile form).

use std::collections::BTreeMap;
use std::fmt::Write;

use comfy_table::presets::UTF8_BORDERS_ONLY;
use comfy_table::Table;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

use super::Row;

/// Resamples of a bootstrap.
const RESAMPLES: usize = 2_000;

/// One policy against another on one figure, over the seeds that both have.
#[derive(Clone, Debug, PartialEq)]
pub struct Comparison {
    /// Scenario, variant and size.
    pub group: String,
    /// The figure.
    pub figure: String,
    /// The first policy and the second.
    pub policies: (String, String),
    /// Their means.
    pub means: (f64, f64),
    /// Mean of the first less the second.
    pub difference: f64,
    /// 95 % interval of that mean.
    pub interval: (f64, f64),
    /// Seeds on which the first is better, and worse.
    pub wins: (usize, usize),
    /// Seeds.
    pub seeds: usize,
}

/// Compares each pair of policies within each group: worth, worst ten seconds, each class.
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
    let mut all = Vec::new();
    for group in groups {
        let of = |policy: &str| -> BTreeMap<u64, BTreeMap<String, f64>> {
            let rows = rows
                .iter()
                .filter(|row| row.group == group && row.policy == policy);
            rows.map(|row| (row.seed, figures(row))).collect()
        };
        for (at, first) in policies.iter().enumerate() {
            for second in &policies[at + 1..] {
                let (a, b) = (of(first), of(second));
                let names: Vec<String> = a
                    .values()
                    .next()
                    .into_iter()
                    .flat_map(|f| f.keys().cloned())
                    .collect();
                for figure in names {
                    let pair = |(seed, f): (&u64, &BTreeMap<String, f64>)| {
                        Some((*f.get(&figure)?, *b.get(seed)?.get(&figure)?))
                    };
                    let pairs: Vec<(f64, f64)> = a.iter().filter_map(pair).collect();
                    if !pairs.is_empty() {
                        all.push(of_pairs(group, &figure, (first, second), &pairs));
                    }
                }
            }
        }
    }
    all
}

fn figures(row: &Row) -> BTreeMap<String, f64> {
    let mut figures = BTreeMap::from([("worth".to_owned(), row.served)]);
    figures.extend(row.worst_10s.map(|share| ("worst 10 s".to_owned(), share)));
    figures.extend(
        row.classes
            .iter()
            .map(|class| (format!("class {}", class.name), class.served)),
    );
    figures
}

fn of_pairs(group: &str, figure: &str, policies: (&str, &str), pairs: &[(f64, f64)]) -> Comparison {
    let differences: Vec<f64> = pairs.iter().map(|(a, b)| a - b).collect();
    let mean = |values: &[f64]| values.iter().sum::<f64>() / values.len() as f64;
    // One fixed generator: the same rows give the same interval.
    let mut rng = Pcg64::seed_from_u64(1);
    let mut means: Vec<f64> = (0..RESAMPLES)
        .map(|_| {
            let draw =
                (0..differences.len()).map(|_| differences[rng.random_range(0..differences.len())]);
            draw.sum::<f64>() / differences.len() as f64
        })
        .collect();
    means.sort_by(f64::total_cmp);
    let at = |part: f64| means[((RESAMPLES - 1) as f64 * part) as usize];
    let first: Vec<f64> = pairs.iter().map(|pair| pair.0).collect();
    let second: Vec<f64> = pairs.iter().map(|pair| pair.1).collect();
    Comparison {
        group: group.to_owned(),
        figure: figure.to_owned(),
        policies: (policies.0.to_owned(), policies.1.to_owned()),
        means: (mean(&first), mean(&second)),
        difference: mean(&differences),
        interval: (at(0.025), at(0.975)),
        wins: (
            differences.iter().filter(|d| **d > 0.0).count(),
            differences.iter().filter(|d| **d < 0.0).count(),
        ),
        seeds: pairs.len(),
    }
}

/// The comparisons as a table, a star where the interval leaves 0 out; then what broke a rule.
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
        let sure = if c.interval.0 > 0.0 || c.interval.1 < 0.0 {
            " *"
        } else {
            ""
        };
        table.add_row([
            c.group.clone(),
            c.figure.clone(),
            format!("{} / {}", c.policies.0, c.policies.1),
            format!("{:.1} / {:.1}", c.means.0 * 100.0, c.means.1 * 100.0),
            format!(
                "{:+.2} [{:+.2}, {:+.2}]{sure}",
                c.difference * 100.0,
                c.interval.0 * 100.0,
                c.interval.1 * 100.0
            ),
            format!("{}:{}", c.wins.0, c.wins.1),
            c.seeds.to_string(),
        ]);
    }
    let mut out = format!("{table}\n");
    let broken: Vec<&Row> = rows.iter().filter(|row| row.rules_broken > 0).collect();
    let _ = writeln!(
        out,
        "{} plays; rules broken in {} of them",
        rows.len(),
        broken.len()
    );
    for row in broken.iter().take(20) {
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
    fn pairs_are_of_one_seed_and_the_interval_tells_a_gain_from_noise() {
        // Seeds differ by far more than the policies do: only paired does the small gain show.
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
        let all = compare(&rows);
        let of = |second: &str| {
            all.iter()
                .find(|c| c.policies == ("a".into(), second.into()))
                .unwrap()
        };
        let b = of("b");
        assert!(
            b.interval.0 > 0.0 && b.wins == (12, 0) && (b.difference - 0.011).abs() < 1e-9,
            "{b:?}"
        );
        let c = of("c");
        assert!(
            c.interval.0 < 0.0 && c.interval.1 > 0.0 && c.seeds == 11,
            "{c:?}"
        );
    }
}
