//! Tests of the fits, the comparison with budgets and the page's tables, on made-up measurements.

use super::fit::{Fit, MIN_SIZES};
use super::page;
use super::results::{
    Aspect, Excess, Impact, Machine, Measurement, MeasurementSpec, Results, Source,
};

const SPEC: MeasurementSpec = MeasurementSpec {
    role: "node",
    aspect: Aspect::Memory,
    name: "memory",
    unit: "MB",
    size_unit: "servers",
    source: Source::Processes,
    target: 18_000.0,
    budget: Some(64.0),
    impact: Impact::Resources,
    mechanism: "the list",
};

fn approximately_equal(a: f64, b: f64) -> bool {
    (a - b).abs() <= 1e-6 * b.abs().max(1.0)
}

#[test]
fn a_linear_relation_is_found_and_extrapolated() {
    let sizes = [10.0, 100.0, 1_000.0, 4_000.0];
    let values = sizes.map(|size| 5.0 + 0.002 * size);
    let fit = Fit::new(&sizes, &values).unwrap();
    assert!(
        approximately_equal(fit.slope, 0.002) && fit.residual < 1e-9,
        "{fit:?}"
    );
    assert!(approximately_equal(fit.predict(18_000.0).unwrap(), 41.0));
}

#[test]
fn a_power_law_is_found_and_extrapolated() {
    let sizes = [10.0, 100.0, 1_000.0, 4_000.0];
    let values = sizes.map(|size: f64| 0.1 * size.powf(1.5));
    let fit = Fit::new(&sizes, &values).unwrap();
    assert!(
        approximately_equal(fit.exponent.unwrap(), 1.5) && fit.residual < 1e-9,
        "{fit:?}"
    );
    assert!(approximately_equal(
        fit.predict(18_000.0).unwrap(),
        0.1 * 18_000_f64.powf(1.5)
    ));
}

#[test]
fn too_few_sizes_or_too_large_a_residual_are_not_extrapolated() {
    let few = [(10.0, 1.0), (100.0, 2.0), (1_000.0, 3.0)];
    assert!(few.len() < MIN_SIZES);
    let wild = [(10.0, 1.0), (100.0, 90.0), (1_000.0, 3.0), (4_000.0, 70.0)];
    for measured in [&few[..], &wild[..]] {
        let measurement = Measurement::new(&SPEC, measured);
        assert_eq!(
            (
                measurement.at_target,
                measurement.within_budget,
                measurement.excess()
            ),
            (None, None, None),
            "{measurement:?}"
        );
        assert!(
            measurement.residual.is_some(),
            "the residual is still reported"
        );
    }
}

#[test]
fn a_value_measured_at_the_target_is_used_whatever_the_fit() {
    let wild = [(10.0, 1.0), (100.0, 90.0), (1_000.0, 3.0), (18_000.0, 70.0)];
    let measurement = Measurement::new(&SPEC, &wild);
    assert_eq!(
        (
            measurement.at_target,
            measurement.within_budget,
            measurement.extrapolation_factor
        ),
        (Some(70.0), Some(false), 1.0)
    );
    assert_eq!(measurement.excess(), Some(Excess::Factor(70.0 / 64.0)));
}

#[test]
fn an_extrapolated_value_states_its_extrapolation_factor() {
    let line = [
        (10.0, 1.0),
        (100.0, 10.0),
        (1_000.0, 100.0),
        (4_500.0, 450.0),
    ];
    let measurement = Measurement::new(&SPEC, &line);
    assert!(
        approximately_equal(measurement.at_target.unwrap(), 1_800.0)
            && approximately_equal(measurement.extrapolation_factor, 4.0),
        "{measurement:?}"
    );
}

#[test]
fn values_of_zero_have_a_linear_fit_and_no_power_law() {
    let none = [
        (10.0, 0.0),
        (100.0, 0.0),
        (1_000.0, 0.0),
        (18_000.0, 1_619.0),
    ];
    let measurement = Measurement::new(
        &MeasurementSpec {
            budget: Some(0.0),
            ..SPEC
        },
        &none,
    );
    assert_eq!(
        (measurement.exponent, measurement.within_budget),
        (None, Some(false))
    );
    assert_eq!(
        measurement.excess(),
        Some(Excess::Share(1_619.0 / 18_000.0))
    );
}

fn results() -> Results {
    let four = |at: f64| [(10.0, 1.0), (100.0, 2.0), (1_000.0, 3.0), (18_000.0, at)];
    let measurement = |name, impact, at| {
        Measurement::new(
            &MeasurementSpec {
                name,
                impact,
                ..SPEC
            },
            &four(at),
        )
    };
    let measurements = vec![
        measurement("a", Impact::Resources, 640.0),
        measurement("b", Impact::Delay, 128.0),
        measurement("c", Impact::Delay, 320.0),
        measurement("d", Impact::Partial, 65.0),
        measurement("e", Impact::Partial, 64.0),
        Measurement::new(
            &MeasurementSpec {
                name: "f",
                impact: Impact::Partial,
                budget: Some(0.0),
                ..SPEC
            },
            &four(1.0),
        ),
        measurement("g", Impact::Outage, 65.0),
    ];
    Results {
        quick: false,
        began_s: 1,
        took_s: 2.0,
        machine: Machine::default(),
        measurements,
    }
}

#[test]
fn measurements_over_budget_are_ranked_by_impact_and_then_by_excess() {
    let results = results();
    let names: Vec<&str> = results
        .over_budget()
        .iter()
        .map(|measurement| measurement.name.as_str())
        .collect();
    assert_eq!(
        names,
        ["g", "f", "d", "c", "b", "a"],
        "e is exactly at its budget and not listed"
    );
}

#[test]
fn tables_are_written_between_the_marks_and_the_rest_of_the_page_is_kept() {
    let page = "before\n<!-- red lines -->\nold\n<!-- end -->\nbetween\n<!-- figures of node -->\n<!-- end -->\nafter\n";
    let filled = page::fill(page, &results()).unwrap();
    for kept in [
        "before\n<!-- red lines -->\n| ",
        "<!-- end -->\nbetween\n",
        "<!-- end -->\nafter\n",
    ] {
        assert!(filled.contains(kept), "{kept:?} in {filled}");
    }
    assert!(!filled.contains("old"));
    assert!(
        filled.contains(
            "| 3 | node: `d` | 65 MB | 64 | 1.02 times | a part has no effect | the list |"
        ),
        "{filled}"
    );
    assert_eq!(
        page::fill(&filled, &results()).unwrap(),
        filled,
        "filling a filled page changes nothing"
    );
    assert!(page::fill("<!-- figures of node -->\nno end", &results())
        .is_ok_and(|page| page.ends_with("no end")));
    assert!(page::fill("<!-- odd -->\n<!-- end -->", &results()).is_err());
}

#[test]
fn numbers_are_written_with_three_significant_digits() {
    let cases = [
        (0.0, "0"),
        (0.012_34, "0.0123"),
        (0.97, "0.97"),
        (1.1, "1.1"),
        (9.996, "10"),
        (42.25, "42.2"),
        (999.4, "999"),
        (1_000.0, "1,000"),
        (2_400_123.0, "2,400,123"),
        (-0.25, "-0.25"),
    ];
    for (value, text) in cases {
        assert_eq!(page::number(value), text);
    }
}

#[test]
fn results_of_several_runs_are_merged_and_a_duplicate_measurement_is_refused() {
    let folder = tempfile::tempdir().unwrap();
    let (one, other) = (
        folder.path().join("one.json"),
        folder.path().join("other.json"),
    );
    let mut agent = results();
    agent
        .measurements
        .iter_mut()
        .for_each(|measurement| measurement.role = "agent".into());
    results().write(&one).unwrap();
    agent.write(&other).unwrap();
    let all = Results::read_all(&[&one, &other]).unwrap();
    assert_eq!(all.measurements.len(), results().measurements.len() * 2);
    assert_eq!(
        Results::read(&one).unwrap(),
        results(),
        "a file reads back as written"
    );
    assert!(Results::read_all(&[&one, &one])
        .is_err_and(|error| error.contains("is already in another result file")));
    assert!(Results::read_all(&[folder.path().join("none.json")]).is_err());
}
