//! The world without nodes: determinism by seed, crashes of cold servers, congestion and recovery.

use super::*;

fn scenario(text: &str) -> Scenario {
    Scenario::read("test.toml", &format!("title = \"t\"\n{text}")).unwrap()
}

/// Runs the world until `end`, with `rate` requests per second to server `at`, and returns the effects with their times.
fn run(
    world: &mut World,
    node: NodeId,
    at: ServerIx,
    rate: u64,
    end: Micros,
) -> Vec<(Micros, Effect)> {
    let (mut effects, mut out, mut now, mut job) = (Vec::new(), Vec::new(), 0, 0);
    while now < end {
        let next = world.next_at().unwrap_or(end).max(now + 1);
        let arrival = (job + 1) * SECOND / rate.max(1);
        let send = rate > 0 && arrival <= next;
        now = if send { arrival } else { next };
        world.advance(now, &mut out);
        if send {
            job += 1;
            let id = JobId(job);
            world.offer(
                now,
                node,
                at,
                Job {
                    id,
                    work: 40_000,
                    io_wait: 20_000,
                    key: None,
                },
                &mut out,
            );
        }
        effects.extend(out.drain(..).map(|effect| (now, effect)));
    }
    effects
}

#[test]
fn the_same_seed_gives_the_same_effects_and_another_seed_different_ones() {
    let scenario = scenario("[[trouble]]\nat_s = 1\nkind = \"replace\"\npart = 0.5\nstep_s = 0.5");
    let effects = |seed| run(&mut World::new(&scenario, seed, 2, 6), 0, 1, 20, 8 * SECOND);
    assert_eq!(effects(3), effects(3));
    assert_ne!(effects(3), effects(4));
}

#[test]
fn too_much_work_crashes_a_cold_server_and_not_a_warm_one() {
    let scenario = scenario("[[trouble]]\nat_s = 1\nkind = \"restart\"\npart = 0.01\nfor_s = 1");
    let mut world = World::new(&scenario, 5, 1, 4);
    let effects = run(&mut World::new(&scenario, 5, 1, 4), 0, 0, 0, 2 * SECOND);
    let (_, Effect::Down(at)) = effects
        .iter()
        .find(|(_, e)| matches!(e, Effect::Down(_)))
        .unwrap()
    else {
        unreachable!()
    };
    let effects = run(&mut world, 0, *at, 120, 12 * SECOND);
    let crash = effects
        .iter()
        .find(|(_, e)| matches!(e, Effect::ColdOverload { .. }));
    assert!(
        matches!(crash, Some((when, Effect::ColdOverload { informed_share, .. })) if *when > 2 * SECOND && *informed_share > 0.5)
    );
    let warm = run(
        &mut World::new(&scenario, 5, 1, 4),
        0,
        (at + 1) % 4,
        120,
        12 * SECOND,
    );
    assert!(!warm
        .iter()
        .any(|(_, e)| matches!(e, Effect::ColdOverload { .. })));
}

#[test]
fn a_congested_server_serves_fewer_requests() {
    let scenario = scenario("");
    let served = |rate| {
        let effects = run(&mut World::new(&scenario, 7, 1, 3), 0, 0, rate, 12 * SECOND);
        let done = |from: u64, to: u64| {
            effects
                .iter()
                .filter(|(at, e)| {
                    (from * SECOND..to * SECOND).contains(at)
                        && matches!(
                            e,
                            Effect::Done {
                                outcome: JobOutcome::Served,
                                ..
                            }
                        )
                })
                .count()
        };
        (done(0, 2), done(8, 10))
    };
    let (early, late) = served(200);
    assert!(
        late * 2 < early,
        "congested: {early} in the first two seconds, {late} later"
    );
    let (early, late) = served(10);
    assert!(
        late + 5 > early,
        "not congested: {early} in the first two seconds, {late} later"
    );
}

#[test]
fn the_allowance_for_chance_is_limited_by_the_number_of_requests() {
    let text = "[[trouble]]\nat_s = 1\nkind = \"restart\"\npart = 0.01\nfor_s = 1";
    // Sends nine tenths of the budget in small requests, and one large request of the given share of the budget.
    let crashes = |large: f64| {
        let mut world = World::new(&scenario(text), 5, 1, 4);
        let mut out = Vec::new();
        let mut down = None;
        let mut now = 0;
        while now < 2_500_000 {
            now += 50_000;
            world.advance(now, &mut out);
            for effect in out.drain(..) {
                if let Effect::Down(at) = effect {
                    down = Some(at);
                }
            }
        }
        let at = down.expect("one server is restarted");
        assert!(world.servers[at].is_cold(now));
        let budget = 3.0 * world.servers[at].capacity(now) * 3e6;
        let works = (0..180).map(|_| budget / 200.0).chain([budget * large]);
        for (n, work) in works.enumerate() {
            let job = Job {
                id: JobId(n as u64),
                work: work as Micros,
                io_wait: 20_000,
                key: None,
            };
            world.offer(now, 0, at, job, &mut out);
        }
        out.iter()
            .any(|effect| matches!(effect, Effect::ColdOverload { .. }))
    };
    assert!(
        !crashes(0.2),
        "1.1 times the budget is within the allowance"
    );
    assert!(crashes(0.4), "1.3 times the budget exceeds the allowance");
}
