use super::*;

fn parse(arguments: &str) -> Command {
    let arguments = std::iter::once("balancer-agent").chain(arguments.split(' '));
    Cli::try_parse_from(arguments).unwrap().command
}

/// Guards against rejecting operators' scripts that use a former name of a subcommand.
#[test]
fn former_names_of_subcommands_are_accepted() {
    let at = "--at 127.0.0.1:7001";
    let duties = parse(&format!("duties --json {at}"));
    assert!(matches!(duties, Command::Roles(args) if args.json));
    let out = parse(&format!("out {at} a --why disk --until 5m --who me"));
    assert!(matches!(out, Command::Cordon(args) if args.server == "a" && args.until.is_some()));
    let back = parse(&format!("back {at} a"));
    assert!(matches!(back, Command::Uncordon(args) if args.server == "a"));
    let released = parse(&format!("yield {at} census"));
    let expected = Role::MetricsAggregation;
    assert!(matches!(released, Command::Release(args) if args.role == expected));
}
