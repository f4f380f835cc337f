//! Counts, and plays nothing: of all ways to place voters on the zones, which outlive the loss of any one region and any
//! further zone. Exact, by going through all of them.

use super::super::results::{About, Aspect, Loss, Measurement, Source};
use super::super::{target, Effort};
use super::BASE;

const PLACES: &str = "a majority of the voters (Raft)";

/// Zones of each region: 16 over 7, as evenly as can be.
pub(super) const ZONES_OF: [usize; target::REGIONS] = [3, 3, 2, 2, 2, 2, 2];

/// The figures.
pub fn measure(effort: &Effort, told: &mut impl FnMut(&str)) -> Vec<Measurement> {
    told("control: places of voters");
    let (mut best, mut spread, mut crowded, mut sound) =
        (Vec::new(), Vec::new(), Vec::new(), Vec::new());
    for &voters in effort.voters {
        let all = tally(voters);
        let size = voters as f64;
        best.push((size, f64::from(all.best)));
        spread.push((size, f64::from(stopped(&in_turn(voters)))));
        crowded.push((size, f64::from(all.worst)));
        sound.push((size, f64::from(all.sound) / f64::from(all.ways) * 100.0));
    }
    let by = About {
        of: "voters",
        source: Source::Arithmetic,
        target: target::CONTROL as f64,
        carried_by: PLACES,
        ..BASE
    };
    let lost = About {
        budget: Some(0.0),
        loss: Loss::Part,
        ..by
    };
    vec![
        Measurement::new(
            &About {
                name: "stopped-in-turn",
                unit: "of 96 losses of a region and a further zone that stop the log, voters over the regions in turn",
                ..lost
            },
            &spread,
        ),
        Measurement::new(
            &About { name: "stopped-best", unit: "of 96 such losses, the best of all placements", ..lost },
            &best,
        ),
        Measurement::new(
            &About {
                name: "stopped-worst",
                unit: "of 96 such losses, the worst of all placements with at most one voter in a zone",
                ..by
            },
            &crowded,
        ),
        Measurement::new(
            &About {
                aspect: Aspect::State,
                name: "placements-sound",
                unit: "% of all placements with at most one voter in a zone that no such loss stops",
                ..by
            },
            &sound,
        ),
    ]
}

/// Voters of each zone.
pub(super) type Placement = [u32; target::ZONES];

/// What all placements with at most one voter in a zone come to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Tally {
    /// Placements.
    pub ways: u32,
    /// Those that no loss stops.
    pub sound: u32,
    /// Losses that stop the log, in the best and in the worst placement.
    pub best: u32,
    /// See [`best`](Self::best).
    pub worst: u32,
}

/// Goes through all placements of so many voters on distinct zones.
pub(super) fn tally(voters: usize) -> Tally {
    let mut all = Tally {
        ways: 0,
        sound: 0,
        best: u32::MAX,
        worst: 0,
    };
    let zones = (0_u32..1 << target::ZONES).filter(|zones| zones.count_ones() as usize == voters);
    for zones in zones {
        let mut placement = Placement::default();
        for (zone, voters) in placement.iter_mut().enumerate() {
            *voters = zones >> zone & 1;
        }
        let lost = stopped(&placement);
        all.ways += 1;
        all.sound += u32::from(lost == 0);
        (all.best, all.worst) = (all.best.min(lost), all.worst.max(lost));
    }
    all
}

/// One voter after the other to the next region, there to its next zone.
pub(super) fn in_turn(voters: usize) -> Placement {
    let mut placement = Placement::default();
    for voter in 0..voters {
        let region = voter % target::REGIONS;
        let first: usize = ZONES_OF[..region].iter().sum();
        placement[first + voter / target::REGIONS % ZONES_OF[region]] += 1;
    }
    placement
}

/// Of all losses of one region and one zone of another, those that leave no majority.
pub(super) fn stopped(placement: &Placement) -> u32 {
    let all: u32 = placement.iter().sum();
    let mut stopped = 0;
    let mut first = 0;
    for zones in ZONES_OF {
        let region = first..first + zones;
        let left = all - placement[region.clone()].iter().sum::<u32>();
        let further = (0..target::ZONES).filter(|zone| !region.contains(zone));
        stopped += further
            .filter(|zone| (left - placement[*zone]) * 2 <= all)
            .count() as u32;
        first += zones;
    }
    stopped
}
