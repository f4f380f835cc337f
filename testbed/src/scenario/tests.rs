//! Built-in scenarios, and errors for invalid files.

use super::*;

fn message(text: &str) -> String {
    Scenario::read("scenario.toml", text)
        .unwrap_err()
        .to_string()
}

#[test]
fn built_in_scenarios_are_valid() {
    for (name, text) in SHIPPED {
        Scenario::read(name, text).unwrap_or_else(|error| panic!("{error}"));
    }
}

#[test]
fn errors_of_an_invalid_file_name_line_key_and_suggestion() {
    let unknown = message("title = \"t\"\n[load]\nlevl = 0.5\n");
    assert!(
        unknown.starts_with("scenario.toml:3: ") && unknown.ends_with("did you mean 'level'?"),
        "{unknown}"
    );
    let value = message("title = \"t\"\n\n[load]\nlevel = \"much\"\n");
    assert!(
        value.starts_with("scenario.toml:4: level: ") && value.contains("expected f64"),
        "{value}"
    );
    let range = message("title = \"t\"\n[load]\nswing = [0.5, 0.1]\n");
    assert!(
        range.starts_with("scenario.toml:3: swing: ") && range.contains("0.5 is more than 0.1"),
        "{range}"
    );
    let kind = message("title = \"t\"\n[[trouble]]\nat_s = 1\nkind = \"node-crsh\"\n");
    assert!(
        kind.starts_with("scenario.toml:4: ") && kind.contains("did you mean 'node-crash'?"),
        "{kind}"
    );
    let missing =
        message("title = \"t\"\n[[trouble]]\nat_s = 1\nkind = \"slow\"\nfor_s = 2\npart = 0.1\n");
    assert!(
        missing.contains("scenario.toml:2: size: is missing"),
        "{missing}"
    );
    let zone = message(
        "title = \"t\"\n[[trouble]]\nat_s = 1\nkind = \"lost-zone\"\nfor_s = 2\nzone = \"bilbo\"\n",
    );
    assert!(zone.contains("did you mean 'bilbao'?"), "{zone}");
    let name = Scenario::find("overlaod").unwrap_err().to_string();
    assert!(name.contains("did you mean 'overload'?"), "{name}");
}
