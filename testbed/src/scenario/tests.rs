//! Files that ship, and files that are wrong.

use super::*;

fn message(text: &str) -> String {
    Scenario::read("day.toml", text).unwrap_err().to_string()
}

#[test]
fn everything_that_ships_is_valid() {
    for (name, text) in SHIPPED {
        Scenario::read(name, text).unwrap_or_else(|error| panic!("{error}"));
    }
}

#[test]
fn a_wrong_file_is_told_where_and_what() {
    let unknown = message("title = \"t\"\n[load]\nlevl = 0.5\n");
    assert!(
        unknown.starts_with("day.toml:3: ") && unknown.ends_with("did you mean 'level'?"),
        "{unknown}"
    );
    let value = message("title = \"t\"\n\n[load]\nlevel = \"much\"\n");
    assert!(
        value.starts_with("day.toml:4: level: ") && value.contains("expected f64"),
        "{value}"
    );
    let span = message("title = \"t\"\n[load]\nswing = [0.5, 0.1]\n");
    assert!(
        span.starts_with("day.toml:3: swing: ") && span.contains("0.5 is more than 0.1"),
        "{span}"
    );
    let kind = message("title = \"t\"\n[[trouble]]\nat_s = 1\nkind = \"node-crsh\"\n");
    assert!(
        kind.starts_with("day.toml:4: ") && kind.contains("did you mean 'node-crash'?"),
        "{kind}"
    );
    let lacks =
        message("title = \"t\"\n[[trouble]]\nat_s = 1\nkind = \"slow\"\nfor_s = 2\npart = 0.1\n");
    assert!(lacks.contains("day.toml:2: size: is missing"), "{lacks}");
    let zone = message(
        "title = \"t\"\n[[trouble]]\nat_s = 1\nkind = \"lost-zone\"\nfor_s = 2\nzone = \"bilbo\"\n",
    );
    assert!(zone.contains("did you mean 'bilbao'?"), "{zone}");
    let name = Scenario::find("overlaod").unwrap_err().to_string();
    assert!(name.contains("did you mean 'overload'?"), "{name}");
}
