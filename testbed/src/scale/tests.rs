//! The laws, the verdicts and the page's tables, on figures that are made up.

use super::fit::{Law, LEAST_SIZES};
use super::page;
use super::results::{About, Aspect, Loss, Machine, Measurement, Over, Results, Source};

const ABOUT: About = About {
    role: "node",
    aspect: Aspect::Memory,
    name: "memory",
    unit: "MB",
    of: "servers",
    source: Source::Processes,
    target: 18_000.0,
    budget: Some(64.0),
    loss: Loss::Room,
    carried_by: "the list",
};

fn near(a: f64, b: f64) -> bool {
    (a - b).abs() <= 1e-6 * b.abs().max(1.0)
}

#[test]
fn a_line_is_found_and_drawn_out() {
    let sizes = [10.0, 100.0, 1_000.0, 4_000.0];
    let values = sizes.map(|size| 5.0 + 0.002 * size);
    let law = Law::of(&sizes, &values).unwrap();
    assert!(near(law.slope, 0.002) && law.residual < 1e-9, "{law:?}");
    assert!(near(law.at(18_000.0).unwrap(), 41.0));
}

#[test]
fn a_power_is_found_and_drawn_out() {
    let sizes = [10.0, 100.0, 1_000.0, 4_000.0];
    let values = sizes.map(|size: f64| 0.1 * size.powf(1.5));
    let law = Law::of(&sizes, &values).unwrap();
    assert!(
        near(law.exponent.unwrap(), 1.5) && law.residual < 1e-9,
        "{law:?}"
    );
    assert!(near(law.at(18_000.0).unwrap(), 0.1 * 18_000_f64.powf(1.5)));
}

#[test]
fn too_few_sizes_or_too_great_a_residual_are_not_drawn_out() {
    let few = [(10.0, 1.0), (100.0, 2.0), (1_000.0, 3.0)];
    assert!(few.len() < LEAST_SIZES);
    let wild = [(10.0, 1.0), (100.0, 90.0), (1_000.0, 3.0), (4_000.0, 70.0)];
    for measured in [&few[..], &wild[..]] {
        let measurement = Measurement::new(&ABOUT, measured);
        assert_eq!(
            (
                measurement.at_target,
                measurement.within,
                measurement.over()
            ),
            (None, None, None),
            "{measurement:?}"
        );
        assert!(measurement.residual.is_some(), "the law is still said");
    }
}

#[test]
fn what_was_measured_at_the_target_stands_whatever_the_law() {
    let wild = [(10.0, 1.0), (100.0, 90.0), (1_000.0, 3.0), (18_000.0, 70.0)];
    let measurement = Measurement::new(&ABOUT, &wild);
    assert_eq!(
        (
            measurement.at_target,
            measurement.within,
            measurement.beyond
        ),
        (Some(70.0), Some(false), 1.0)
    );
    assert_eq!(measurement.over(), Some(Over::Times(70.0 / 64.0)));
}

#[test]
fn a_value_beyond_the_sizes_says_by_what_factor() {
    let line = [
        (10.0, 1.0),
        (100.0, 10.0),
        (1_000.0, 100.0),
        (4_500.0, 450.0),
    ];
    let measurement = Measurement::new(&ABOUT, &line);
    assert!(
        near(measurement.at_target.unwrap(), 1_800.0) && near(measurement.beyond, 4.0),
        "{measurement:?}"
    );
}

#[test]
fn values_of_zero_have_a_line_and_no_power() {
    let none = [
        (10.0, 0.0),
        (100.0, 0.0),
        (1_000.0, 0.0),
        (18_000.0, 1_619.0),
    ];
    let measurement = Measurement::new(
        &About {
            budget: Some(0.0),
            ..ABOUT
        },
        &none,
    );
    assert_eq!(
        (measurement.exponent, measurement.within),
        (None, Some(false))
    );
    assert_eq!(measurement.over(), Some(Over::Share(1_619.0 / 18_000.0)));
}

fn results() -> Results {
    let four = |at: f64| [(10.0, 1.0), (100.0, 2.0), (1_000.0, 3.0), (18_000.0, at)];
    let measurement = |name, loss, at| {
        Measurement::new(
            &About {
                name,
                loss,
                ..ABOUT
            },
            &four(at),
        )
    };
    let measurements = vec![
        measurement("a", Loss::Room, 640.0),
        measurement("b", Loss::Time, 128.0),
        measurement("c", Loss::Time, 320.0),
        measurement("d", Loss::Part, 65.0),
        measurement("e", Loss::Part, 64.0),
        Measurement::new(
            &About {
                name: "f",
                loss: Loss::Part,
                budget: Some(0.0),
                ..ABOUT
            },
            &four(1.0),
        ),
        measurement("g", Loss::Fleet, 65.0),
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
fn red_lines_are_ranked_by_what_is_lost_and_then_by_how_far() {
    let results = results();
    let names: Vec<&str> = results
        .red_lines()
        .iter()
        .map(|measurement| measurement.name.as_str())
        .collect();
    assert_eq!(
        names,
        ["g", "f", "d", "c", "b", "a"],
        "and not e, which is just within"
    );
}

#[test]
fn the_page_has_the_tables_where_its_marks_are_and_keeps_the_rest() {
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
        "filled once, filled for good"
    );
    assert!(page::fill("<!-- figures of node -->\nno end", &results())
        .is_ok_and(|page| page.ends_with("no end")));
    assert!(page::fill("<!-- odd -->\n<!-- end -->", &results()).is_err());
}

#[test]
fn numbers_are_written_with_three_digits_that_count() {
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
fn results_of_several_runs_are_read_as_one_and_no_figure_twice() {
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
    assert_eq!(Results::read(&one).unwrap(), results(), "as it was written");
    assert!(Results::read_all(&[&one, &one]).is_err_and(|why| why.contains("there already")));
    assert!(Results::read_all(&[folder.path().join("none.json")]).is_err());
}
