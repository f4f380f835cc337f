//! Owns what befalls the voters, drawn from the seed: deaths, pauses, partitions, losses, staff in the worst moments.

use rand::RngExt;

use super::World;

/// Lets faults strike for so long; what lasts beyond is the healer's.
pub fn strike(world: &mut World, span: u64) {
    let end = world.now() + span;
    while world.now() < end {
        let count = world.voters();
        let one = world.rng().random_range(0..count);
        let lasts = world.rng().random_range(100_000..3_000_000);
        match world.rng().random_range(0..10) {
            0 | 1 => world.kill(one, lasts),
            2 => {
                // The leader, and a holder of a duty, at once.
                let leader = world.leader();
                let holder = world.a_holder();
                leader.into_iter().chain(holder).for_each(|voter| world.kill(voter, lasts));
            }
            3 => {
                let holder = world.a_holder().unwrap_or(one);
                world.pause(holder, lasts);
            }
            4 => world.pause(one, lasts),
            5 | 6 => {
                let side: Vec<bool> = (0..count).map(|_| world.rng().random()).collect();
                world.part(&side, lasts);
            }
            7 => {
                let loss = world.rng().random_range(0.05..0.5);
                world.lose(loss, lasts);
            }
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
