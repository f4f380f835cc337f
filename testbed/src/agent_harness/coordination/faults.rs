//! Owns what befalls the agents, drawn from the seed: deaths, pauses, partitions, losses, full disks, clocks that jump,
//! voters that are replaced, staff in the worst moments.

use rand::RngExt;

use super::World;

const HOUR_MS: i64 = 3_600_000;

/// Lets faults strike for so long; what lasts beyond is the healer's.
pub fn strike(world: &mut World, span: u64) {
    let end = world.now() + span;
    while world.now() < end {
        let (count, voters) = (world.seats(), world.voters());
        let one = world.rng().random_range(0..count);
        let voter = world.rng().random_range(0..voters);
        let lasts = world.rng().random_range(100_000..3_000_000);
        match world.rng().random_range(0..16) {
            0 | 1 => world.kill(one, lasts),
            2 => {
                // The leader, and a holder of a duty, at once.
                let leader = world.leader();
                let holder = world.a_holder();
                leader
                    .into_iter()
                    .chain(holder)
                    .for_each(|voter| world.kill(voter, lasts));
            }
            3 => {
                let holder = world.a_holder().unwrap_or(one);
                world.pause(holder, lasts);
            }
            4 => world.pause(voter, lasts),
            5 | 6 => {
                let side: Vec<bool> = (0..count).map(|_| world.rng().random()).collect();
                world.part(&side, lasts);
            }
            7 => {
                let loss = world.rng().random_range(0.05..0.5);
                world.lose(loss, lasts);
            }
            8 => world.fill_disk(voter),
            9 => {
                let by = if world.rng().random() {
                    HOUR_MS
                } else {
                    -HOUR_MS
                };
                world.jump(one, by);
            }
            10 => world.stop(one, lasts),
            11 => world.call_yield(),
            12 => world.replace(voter),
            _ => {
                for _ in 0..4 {
                    world.call();
                }
            }
        }
        let pause = world.rng().random_range(50_000..1_200_000);
        world.run(pause);
    }
}
