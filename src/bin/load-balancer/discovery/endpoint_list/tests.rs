//! Lists as they come: complete, odd in places, damaged, foreign.

use super::*;
use serde_json::json;

// Guards against a list refused for one odd entry.
#[test]
fn an_entry_that_cannot_be_read_is_dropped_alone() {
    let value = json!({"revision": 3, "complete": true, "later": [{"a": 1}], "members": [
        {"id": "s-1", "host_port": "127.0.0.1:1", "phase": "in_service"},
        {"id": "s-2", "host_port": "nowhere", "phase": "in_service"},
        {"id": "s-3", "host_port": "127.0.0.1:3", "phase": "asleep"},
        7,
        {"id": "s-4", "host_port": "127.0.0.1:4", "phase": "terminating", "up_since_ms": 9, "size": "big"},
    ]});
    for text in [
        value.to_string(),
        serde_json::to_string_pretty(&value).unwrap(),
    ] {
        let list = EndpointList::parse(text.as_bytes()).unwrap();
        let ids: Vec<&str> = list.entries.iter().map(|e| e.id.as_str()).collect();
        assert_eq!(ids, ["s-1", "s-4"]);
        assert!(list.complete && list.revision == Some(3));
        assert_eq!(
            (list.skipped.count, list.skipped.ids.join(" ")),
            (3, "s-2 s-3".to_owned())
        );
        let summary = list.skipped_summary().unwrap();
        assert!(
            summary.contains("3 of 5 entries are dropped") && summary.contains("host_port"),
            "{summary}"
        );
    }
}

// Guards against a damaged or foreign value taken for a complete list of no servers, which would remove all.
#[test]
fn what_is_no_list_is_refused_by_name() {
    for (text, reason) in [
        ("{\"members\": [", "damaged"),
        ("{\"members\": [{]}", "damaged"),
        ("7", "no object"),
        ("[41, true, []]", "no object"),
        ("{}", "no array 'members'"),
        ("{\"members\": {\"s-1\": {}}}", "no array 'members'"),
        ("{\"members\": \"s-1\"}", "no array 'members'"),
        (
            "{\"complete\": true, \"members\": [1, {}]}",
            "none of its 2 entries",
        ),
    ] {
        let error = EndpointList::parse(text.as_bytes()).unwrap_err();
        assert!(error.to_string().contains(reason), "{text}: {error}");
    }
    assert!(
        EndpointList::parse(b"{\"complete\": true, \"members\": []}")
            .unwrap()
            .entries
            .is_empty(),
        "none is a list"
    );
}

// Guards against a list refused for an odd revision or an odd mark of completeness.
#[test]
fn a_revision_that_is_no_number_is_none() {
    let list =
        EndpointList::parse(b"{\"revision\": \"x\", \"complete\": 1, \"members\": []}").unwrap();
    assert!(list.revision.is_none() && !list.complete && list.skipped_summary().is_none());
}
