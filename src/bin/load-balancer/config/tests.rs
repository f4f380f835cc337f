//! Parsing of the configuration that the platform writes.

use super::*;

#[test]
fn a_configuration_is_parsed_and_environment_variables_override_it() {
    let text = r#"{"name": "n1", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "seed": "ff",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 77}, "later": [],
        "known": {"revision": 1, "complete": true, "members": [7]},
        "settings": {"group-size": 3, "classes": [{"name": "pay", "aim": 5e5, "deadline": 1000000,
            "semantics": "unsafe"}], "bounds": {"max-attempts": 5, "may-probe": true},
            "report": {"fields": ["queue", "util"]}}}"#;
    let env = HashMap::from([("BALANCER_LISTEN".to_owned(), "127.0.0.1:9".to_owned())]);
    let config = Config::parse(text, &env).unwrap();
    assert_eq!(
        (config.seed, config.max_descriptors, config.listen.port()),
        (0xff, 77, 9)
    );
    let settings = &config.runtime.balancer.settings;
    let names = &config.runtime.balancer.names;
    assert_eq!((settings.node_count, settings.max_attempts), (3, 5));
    assert_eq!(
        (settings.classes[0].latency_objective, names.class("pay")),
        (500_000, Some(0))
    );
    assert!(settings.may_health_check && config.cached_list.entries.is_empty());
    assert_eq!(config.runtime.node.load_report_fields, ["queue", "util"]);
    assert!(
        config.admin_listen.is_none(),
        "the interface is off without an address"
    );
    let env = HashMap::from([("BALANCER_OPERATOR".to_owned(), "127.0.0.1:8".to_owned())]);
    assert_eq!(
        Config::parse(text, &env)
            .unwrap()
            .admin_listen
            .unwrap()
            .port(),
        8
    );
    let named = text.replace("\"later\": []", "\"operator\": \"127.0.0.1:7\"");
    assert_eq!(
        Config::parse(&named, &HashMap::new())
            .unwrap()
            .admin_listen
            .unwrap()
            .port(),
        7
    );
    assert!(Config::parse("{}", &HashMap::new()).is_err());
}
