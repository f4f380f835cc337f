//! Enumerates all placements of voters on zones and counts those that keep a quorum after the loss of any region together
//! with any zone of another region.

use super::super::results::{Aspect, Impact, Measurement, MeasurementSpec, Source};
use super::super::{target, RunParameters};
use super::BASE;

const MAJORITY: &str = "a majority of the voters (Raft)";

/// Zones of each region: 16 zones over 7 regions, as evenly as possible.
pub(super) const ZONES_PER_REGION: [usize; target::REGIONS] = [3, 3, 2, 2, 2, 2, 2];

/// Returns the measurements of the placements.
pub fn measure(parameters: &RunParameters, progress: &mut impl FnMut(&str)) -> Vec<Measurement> {
    progress("control: placements of voters");
    let (mut fewest_losses, mut round_robin_losses, mut most_losses, mut surviving) =
        (Vec::new(), Vec::new(), Vec::new(), Vec::new());
    for &voters in parameters.voters {
        let summary = evaluate_placements(voters);
        let size = voters as f64;
        fewest_losses.push((size, f64::from(summary.fewest_losses)));
        round_robin_losses.push((size, f64::from(quorum_losses(&round_robin(voters)))));
        most_losses.push((size, f64::from(summary.most_losses)));
        surviving.push((
            size,
            f64::from(summary.surviving) / f64::from(summary.placements) * 100.0,
        ));
    }
    let base = MeasurementSpec {
        size_unit: "voters",
        source: Source::Arithmetic,
        target: target::VOTERS as f64,
        mechanism: MAJORITY,
        ..BASE
    };
    let loss_spec = MeasurementSpec {
        budget: Some(0.0),
        impact: Impact::Partial,
        ..base
    };
    vec![
        Measurement::new(
            &MeasurementSpec {
                name: "stopped-in-turn",
                unit: "of 96 losses of a region and a further zone that stop the log, voters over the regions in turn",
                ..loss_spec
            },
            &round_robin_losses,
        ),
        Measurement::new(
            &MeasurementSpec { name: "stopped-best", unit: "of 96 such losses, the best of all placements", ..loss_spec },
            &fewest_losses,
        ),
        Measurement::new(
            &MeasurementSpec {
                name: "stopped-worst",
                unit: "of 96 such losses, the worst of all placements with at most one voter in a zone",
                ..base
            },
            &most_losses,
        ),
        Measurement::new(
            &MeasurementSpec {
                aspect: Aspect::State,
                name: "placements-sound",
                unit: "% of all placements with at most one voter in a zone that no such loss stops",
                ..base
            },
            &surviving,
        ),
    ]
}

/// Number of voters in each zone.
pub(super) type Placement = [u32; target::ZONES];

/// Summary of all placements with at most one voter in a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct PlacementSummary {
    /// Number of placements.
    pub placements: u32,
    /// Placements in which every loss leaves a quorum.
    pub surviving: u32,
    /// Losses that leave no quorum in the best placement.
    pub fewest_losses: u32,
    /// Losses that leave no quorum in the worst placement.
    pub most_losses: u32,
}

/// Evaluates all placements of `voters` voters on distinct zones.
pub(super) fn evaluate_placements(voters: usize) -> PlacementSummary {
    let mut summary = PlacementSummary {
        placements: 0,
        surviving: 0,
        fewest_losses: u32::MAX,
        most_losses: 0,
    };
    let zones = (0_u32..1 << target::ZONES).filter(|zones| zones.count_ones() as usize == voters);
    for zones in zones {
        let mut placement = Placement::default();
        for (zone, voters) in placement.iter_mut().enumerate() {
            *voters = zones >> zone & 1;
        }
        let losses = quorum_losses(&placement);
        summary.placements += 1;
        summary.surviving += u32::from(losses == 0);
        (summary.fewest_losses, summary.most_losses) = (
            summary.fewest_losses.min(losses),
            summary.most_losses.max(losses),
        );
    }
    summary
}

/// Places the voters on the regions in turn, within each region on its zones in turn.
pub(super) fn round_robin(voters: usize) -> Placement {
    let mut placement = Placement::default();
    for voter in 0..voters {
        let region = voter % target::REGIONS;
        let first: usize = ZONES_PER_REGION[..region].iter().sum();
        placement[first + voter / target::REGIONS % ZONES_PER_REGION[region]] += 1;
    }
    placement
}

/// Number of losses of one region and one zone of another that leave no majority.
pub(super) fn quorum_losses(placement: &Placement) -> u32 {
    let all: u32 = placement.iter().sum();
    let mut losses = 0;
    let mut first = 0;
    for zones in ZONES_PER_REGION {
        let region = first..first + zones;
        let left = all - placement[region.clone()].iter().sum::<u32>();
        let further = (0..target::ZONES).filter(|zone| !region.contains(zone));
        losses += further
            .filter(|zone| (left - placement[*zone]) * 2 <= all)
            .count() as u32;
        first += zones;
    }
    losses
}
