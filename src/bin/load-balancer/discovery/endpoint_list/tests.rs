//! Parsing of endpoint lists: complete, partly invalid, damaged, and values that are not lists.

use super::*;
use serde_json::json;

// Guards against a list that is rejected because of one invalid entry.
#[test]
fn only_entries_that_cannot_be_parsed_are_skipped() {
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

// Guards against a damaged or unrelated value that is taken for a complete list without servers, which would remove all
// servers.
#[test]
fn a_text_that_is_not_a_list_is_rejected_with_a_reason() {
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
        "a list without entries is valid"
    );
}

// Guards against a list that is rejected because its revision or its mark of completeness is invalid.
#[test]
fn an_invalid_revision_is_ignored_and_an_invalid_mark_of_completeness_is_false() {
    let list =
        EndpointList::parse(b"{\"revision\": \"x\", \"complete\": 1, \"members\": []}").unwrap();
    assert!(list.revision.is_none() && !list.complete && list.skipped_summary().is_none());
}
