//! A server is taken out of service at a node, for its restart, and then by the fleet's operators for some seconds. When
//! the fleet's time is over, the server has to stay out at the node until it is put back there.

use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::agents::{node_config, Agent};
use crate::processes::wait_until;
use crate::stand_ins::{list_and_discovery, Clients, Server};
use crate::{Setup, Verdict};

const NAMES: [&str; 3] = ["m0", "m1", "m2"];
/// The server that is taken out of service.
const OUT: &str = "s-2";
/// Length of the fleet's cordon.
const FLEET_CORDON: Duration = Duration::from_secs(5);
/// By when a node stops sending after its yes: the rule on drains allows 0.75 s and 50 ms.
const DRAIN: Duration = Duration::from_millis(800);
/// How long the server is watched after the end of the fleet's cordon.
const WATCHED: Duration = Duration::from_secs(20);

pub fn run(setup: &Setup) -> Verdict {
    let record = &setup.record;
    let servers = Server::start_four(record);
    let (list, discovery) = list_and_discovery(&servers);
    let mut agents: Vec<Agent> = NAMES
        .iter()
        .map(|name| Agent::new(name, &setup.folder, record))
        .collect();
    let seeds: Vec<_> = agents.iter().map(|agent| agent.listen).collect();
    let node = node_config(discovery, &list);
    for (number, agent) in agents.iter_mut().enumerate() {
        agent.configure(&seeds, &NAMES, (number == 0).then_some(node.as_str()));
        agent.voter_init();
        agent.start();
    }
    wait_until("the node serves", Duration::from_secs(15), || {
        agents[0].node_serves()
    })?;
    wait_until("maintenance is held", Duration::from_secs(20), || {
        agents
            .iter()
            .all(|agent| agent.holder("maintenance").is_some())
    })?;
    let clients = Clients::start(agents[0].node_clients, Duration::from_millis(10), record);
    thread::sleep(Duration::from_secs(2));

    let answer = agents[0].call_node("POST", &format!("/maintenance/enter?member={OUT}"));
    yes(answer, "the node's operator")?;
    let told = record.elapsed() + DRAIN;
    record.say(format!(
        "the node's operator has a yes: {OUT} is out until it is put back; nobody puts it back"
    ));
    thread::sleep(Duration::from_secs(2));
    if setup.trouble {
        let until = (SystemTime::now() + FLEET_CORDON)
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let target = format!(
            "/out?server={OUT}&who=staff&why=disk&until_ms={}",
            until.as_millis()
        );
        yes(agents[1].call("POST", &target), "the fleet's operator")?;
        record.say(format!(
            "the fleet's operator has a yes: {OUT} is out for {} s",
            FLEET_CORDON.as_secs()
        ));
    }
    thread::sleep(FLEET_CORDON + WATCHED);

    let served = clients.stop();
    let late = servers[1].runs().iter().filter(|run| run.at > told).count();
    record.say(format!(
        "{served} requests served; {late} of them sent to {OUT} while it was out"
    ));
    if served == 0 {
        return Err("no request was served".into());
    }
    Ok(late == 0)
}

fn yes(answer: std::io::Result<crate::http::Message>, who: &str) -> Result<(), String> {
    match answer {
        Ok(answer) if answer.status() == 200 => Ok(()),
        Ok(answer) => Err(format!("no yes to {who}: {}", answer.status())),
        Err(error) => Err(format!("no answer to {who}: {error}")),
    }
}
