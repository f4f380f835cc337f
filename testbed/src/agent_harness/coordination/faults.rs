//! Injects faults, drawn from the seed: crashes, pauses, network partitions, message loss, full disks, jumps
//! of wall clocks, replaced voters, and operator commands in the middle of all these.

use rand::RngExt;

use super::World;

const HOUR_MS: i64 = 3_600_000;

/// Injects faults for `span`. Faults that last longer are ended by [`World::heal`].
pub fn inject(world: &mut World, span: u64) {
    let end = world.now() + span;
    while world.now() < end {
        let (count, voters) = (world.agent_count(), world.voters());
        let agent = world.rng().random_range(0..count);
        let voter = world.rng().random_range(0..voters);
        let duration = world.rng().random_range(100_000..3_000_000);
        match world.rng().random_range(0..16) {
            0 | 1 => world.kill(agent, duration),
            2 => {
                // Kills the leader and a role holder at once.
                let leader = world.leader();
                let holder = world.active_holder();
                leader
                    .into_iter()
                    .chain(holder)
                    .for_each(|voter| world.kill(voter, duration));
            }
            3 => {
                let holder = world.active_holder().unwrap_or(agent);
                world.pause(holder, duration);
            }
            4 => world.pause(voter, duration),
            5 | 6 => {
                let sides: Vec<bool> = (0..count).map(|_| world.rng().random()).collect();
                world.partition(&sides, duration);
            }
            7 => {
                let loss = world.rng().random_range(0.05..0.5);
                world.drop_messages(loss, duration);
            }
            8 => world.fill_disk(voter),
            9 => {
                let by_ms = if world.rng().random() {
                    HOUR_MS
                } else {
                    -HOUR_MS
                };
                world.move_wall_clock(agent, by_ms);
            }
            10 => world.stop(agent, duration),
            11 => world.request_role_release(),
            12 => world.replace_voter(voter),
            _ => {
                for _ in 0..4 {
                    world.send_command();
                }
            }
        }
        let pause = world.rng().random_range(50_000..1_200_000);
        world.run(pause);
    }
}
