//! The world alone: what is seeded, and how a server falls over, jams and rests.

use super::*;

fn scenario(text: &str) -> Scenario {
    Scenario::read("test.toml", &format!("title = \"t\"\n{text}")).unwrap()
}

/// Plays what happens of itself until `end`, with `rate` requests a second at server `at`.
fn play(
    world: &mut World,
    node: NodeId,
    at: ServerIx,
    rate: u64,
    end: Micros,
) -> Vec<(Micros, Effect)> {
    let (mut seen, mut out, mut now, mut job) = (Vec::new(), Vec::new(), 0, 0);
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
        seen.extend(out.drain(..).map(|effect| (now, effect)));
    }
    seen
}

#[test]
fn one_seed_is_one_world_and_another_is_another() {
    let scenario = scenario("[[trouble]]\nat_s = 1\nkind = \"replace\"\npart = 0.5\nstep_s = 0.5");
    let run = |seed| play(&mut World::new(&scenario, seed, 2, 6), 0, 1, 20, 8 * SECOND);
    assert_eq!(run(3), run(3));
    assert_ne!(run(3), run(4));
}

#[test]
fn a_cold_server_sent_too_much_falls_over_and_a_warm_one_does_not() {
    let scenario = scenario("[[trouble]]\nat_s = 1\nkind = \"restart\"\npart = 0.01\nfor_s = 1");
    let mut world = World::new(&scenario, 5, 1, 4);
    let struck = play(&mut World::new(&scenario, 5, 1, 4), 0, 0, 0, 2 * SECOND);
    let (_, Effect::Down(at)) = struck
        .iter()
        .find(|(_, e)| matches!(e, Effect::Down(_)))
        .unwrap()
    else {
        unreachable!()
    };
    let seen = play(&mut world, 0, *at, 120, 12 * SECOND);
    let fell = seen
        .iter()
        .find(|(_, e)| matches!(e, Effect::ColdOverload { .. }));
    assert!(
        matches!(fell, Some((when, Effect::ColdOverload { informed_share, .. })) if *when > 2 * SECOND && *informed_share > 0.5)
    );
    let warm = play(
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
fn a_jammed_server_serves_less_until_it_has_rested() {
    let scenario = scenario("");
    let served = |rate| {
        let seen = play(&mut World::new(&scenario, 7, 1, 3), 0, 0, rate, 12 * SECOND);
        let done = |from: u64, to: u64| {
            seen.iter()
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
        "jammed: {early} in the first two seconds, {late} later"
    );
    let (early, late) = served(10);
    assert!(
        late + 5 > early,
        "at ease: {early} in the first two seconds, {late} later"
    );
}

#[test]
fn what_passes_for_chance_is_no_more_than_two_roots() {
    let text = "[[trouble]]\nat_s = 1\nkind = \"restart\"\npart = 0.01\nfor_s = 1";
    // Nine tenths of what the server bears in small requests, and one large one of this part of it.
    let falls = |large: f64| {
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
        let at = down.expect("one is restarted");
        assert!(world.servers[at].is_cold(now));
        let bears = 3.0 * world.servers[at].capacity(now) * 3e6;
        let works = (0..180).map(|_| bears / 200.0).chain([bears * large]);
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
    assert!(!falls(0.2), "1.1 of what it bears, and chance is a fifth");
    assert!(falls(0.4), "1.3 of what it bears");
}
