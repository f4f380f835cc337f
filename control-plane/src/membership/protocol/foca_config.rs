//! foca's configuration, derived from the settings and the size of the fleet.

use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

use foca::PeriodicParams;

use crate::membership::message::{MAX_DATAGRAM_BYTES, MAX_ENVELOPE_BYTES};
use crate::membership::MembershipSettings;

/// Number of failed members contacted at each rejoin interval.
const REJOIN_FANOUT: usize = 3;

/// The configuration for a fleet of this many members.
pub(super) fn build(
    settings: &MembershipSettings,
    members: usize,
    gossip_fanout: usize,
) -> foca::Config {
    let suspicion = settings.suspicion_timeout(members);
    foca::Config {
        probe_period: settings.probe_interval,
        probe_rtt: settings.probe_timeout,
        num_indirect_probes: non_zero(settings.indirect_probes),
        max_transmissions: non_zero_u8(settings.max_transmissions(members)),
        // The protocol has its own deadlines of suspicions, of which this is the latest possible.
        suspect_to_down_after: Duration::from_micros(suspicion.max),
        remove_down_after: Some(settings.forget_after),
        max_packet_size: non_zero(MAX_DATAGRAM_BYTES - MAX_ENVELOPE_BYTES),
        notify_down_members: true,
        periodic_announce: None,
        periodic_announce_to_down_members: Some(PeriodicParams {
            frequency: settings.rejoin_interval,
            num_members: non_zero(REJOIN_FANOUT),
        }),
        periodic_gossip: Some(PeriodicParams {
            frequency: settings.gossip_interval,
            num_members: non_zero(gossip_fanout),
        }),
    }
}

/// The count, or 1 if it is 0.
pub(super) fn non_zero_u8(count: u8) -> NonZeroU8 {
    NonZeroU8::new(count).unwrap_or(NonZeroU8::MIN)
}

fn non_zero(count: usize) -> NonZeroUsize {
    NonZeroUsize::new(count).unwrap_or(NonZeroUsize::MIN)
}
