//! Timing, limits and validation of the membership protocol. The defaults are for a real network; tests use shorter
//! intervals.

use std::ops::RangeInclusive;
use std::time::Duration;

use super::{FormatRange, MAX_DATAGRAM_BYTES, SUPPORTED_FORMATS};
use crate::{micros, Micros};

/// Allowed intervals and timeouts.
const INTERVALS: RangeInclusive<Duration> = Duration::from_millis(5)..=Duration::from_secs(3600);
/// Failed members are remembered for at least this many probe intervals.
const MIN_FORGET_AFTER_PROBES: u32 = 10;
/// Most members that are asked for indirect probes, or gossiped to, at once.
const MAX_FANOUT: usize = 16;
/// Allowed values of the limit on members.
const MEMBER_LIMITS: RangeInclusive<usize> = 2..=10_000;
/// Lowest send rate in bytes per second.
const MIN_SEND_RATE: usize = 1_000;
/// Highest send rate in bytes per second, and largest burst in bytes.
const MAX_SEND_RATE: usize = 100_000_000;
/// Allowed values of the multipliers of timeouts and transmissions.
const MULTIPLIERS: RangeInclusive<f64> = 1.0..=30.0;
/// Fewest transmissions of an update.
const MIN_TRANSMISSIONS: f64 = 1.0;
/// Most transmissions of an update.
const MAX_TRANSMISSIONS: f64 = 60.0;
/// Below this probe interval, the default rate limit grows no further.
const MIN_SCALED_PROBE_INTERVAL_SECONDS: f64 = 0.005;

/// Timing and limits of the membership protocol.
#[derive(Clone, Debug, PartialEq)]
pub struct MembershipSettings {
    /// Name of the fleet. Messages of another fleet are dropped.
    pub fleet: String,
    /// Interval between probes. Each one probes the next member.
    pub probe_interval: Duration,
    /// How long to wait for the answer to a direct probe before other members are asked for indirect probes; below half the
    /// probe interval.
    pub probe_timeout: Duration,
    /// Number of members asked for an indirect probe.
    pub indirect_probes: usize,
    /// The shortest suspicion timeout is this many probe intervals, times log10 of the number of members (at least 1).
    pub suspicion_mult: f64,
    /// The longest suspicion timeout is this many times the shortest.
    pub suspicion_max_mult: f64,
    /// Independent accusers, besides the first, after which the shortest suspicion timeout applies.
    pub suspicion_confirmations: usize,
    /// An update is sent this many times, times log10 of the number of members (at least 1).
    pub retransmit_mult: f64,
    /// Interval at which pending updates are gossiped.
    pub gossip_interval: Duration,
    /// Number of members gossiped to at each interval.
    pub gossip_fanout: usize,
    /// Approximate interval at which the full view is exchanged with one member.
    pub sync_interval: Duration,
    /// Interval at which a few failed members are contacted, in case they are alive.
    pub rejoin_interval: Duration,
    /// Interval at which seeds missing from the view are called.
    pub seed_interval: Duration,
    /// Views that have differed for this long are exchanged and compared.
    pub convergence_timeout: Duration,
    /// How long a failed or left member is remembered.
    pub forget_after: Duration,
    /// Datagram bytes per second above which updates wait. Probes and their answers do not wait, but count towards it.
    pub send_rate: usize,
    /// Datagram bytes that may be sent at once after an idle time; at least the longest datagram.
    pub send_burst: usize,
    /// Most members. Messages from further ones are dropped.
    pub max_members: usize,
    /// Message formats that are written and read. The newest may be held back while older members are present.
    pub formats: FormatRange,
}

impl Default for MembershipSettings {
    fn default() -> Self {
        MembershipSettings {
            fleet: "fleet".into(),
            probe_interval: Duration::from_secs(1),
            probe_timeout: Duration::from_millis(400),
            indirect_probes: 3,
            suspicion_mult: 3.0,
            suspicion_max_mult: 6.0,
            suspicion_confirmations: 3,
            retransmit_mult: 4.0,
            gossip_interval: Duration::from_millis(200),
            gossip_fanout: 3,
            sync_interval: Duration::from_secs(30),
            rejoin_interval: Duration::from_secs(2),
            seed_interval: Duration::from_secs(5),
            convergence_timeout: Duration::from_secs(2),
            forget_after: Duration::from_secs(24 * 3600),
            send_rate: 4_500,
            send_burst: MAX_DATAGRAM_BYTES,
            max_members: 3_000,
            formats: SUPPORTED_FORMATS,
        }
    }
}

/// Error for a setting outside its allowed range.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{key}: {reason}")]
pub struct InvalidSetting {
    /// The key in the configuration's `membership` table.
    pub key: &'static str,
    /// Which values are allowed, as text for operators.
    pub reason: String,
}

impl InvalidSetting {
    fn new(key: &'static str, reason: impl Into<String>) -> InvalidSetting {
        let reason = reason.into();
        InvalidSetting { key, reason }
    }
}

/// Shortest and longest time that a suspect has to refute.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SuspicionTimeout {
    /// Timeout with enough independent accusers.
    pub min: Micros,
    /// Timeout with a single accuser.
    pub max: Micros,
}

/// A send rate and its burst.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RateLimit {
    /// Bytes per second.
    pub rate: usize,
    /// Bytes that may be sent at once after an idle time.
    pub burst: usize,
}

impl MembershipSettings {
    /// All settings that are outside their allowed ranges.
    pub fn validate(&self) -> Vec<InvalidSetting> {
        let mut invalid = Vec::new();
        self.validate_intervals(&mut invalid);
        self.validate_counts(&mut invalid);
        self.validate_rate(&mut invalid);
        self.validate_multipliers(&mut invalid);
        if !SUPPORTED_FORMATS.contains(self.formats.newest) {
            let FormatRange { oldest, newest } = SUPPORTED_FORMATS;
            let reason = format!("must be {oldest} to {newest}");
            invalid.push(InvalidSetting::new("format", reason));
        }
        invalid
    }

    fn validate_intervals(&self, invalid: &mut Vec<InvalidSetting>) {
        let intervals = [
            ("probe-interval", self.probe_interval),
            ("probe-timeout", self.probe_timeout),
            ("gossip-interval", self.gossip_interval),
            ("sync-interval", self.sync_interval),
            ("rejoin-interval", self.rejoin_interval),
            ("seed-interval", self.seed_interval),
            ("convergence-timeout", self.convergence_timeout),
        ];
        for (key, interval) in intervals {
            if !INTERVALS.contains(&interval) {
                invalid.push(InvalidSetting::new(key, "must be 5ms to 1h"));
            }
        }
        if self.probe_timeout * 2 >= self.probe_interval {
            invalid.push(InvalidSetting::new(
                "probe-timeout",
                "must be below half of probe-interval, to leave time for indirect probes",
            ));
        }
        if self.forget_after < self.probe_interval * MIN_FORGET_AFTER_PROBES {
            let reason = "must be ten probe intervals or more";
            invalid.push(InvalidSetting::new("forget-after", reason));
        }
    }

    fn validate_counts(&self, invalid: &mut Vec<InvalidSetting>) {
        let counts = [
            ("indirect-probes", self.indirect_probes),
            ("gossip-fanout", self.gossip_fanout),
        ];
        for (key, count) in counts {
            if !(1..=MAX_FANOUT).contains(&count) {
                let reason = format!("must be 1 to {MAX_FANOUT}");
                invalid.push(InvalidSetting::new(key, reason));
            }
        }
        if !MEMBER_LIMITS.contains(&self.max_members) {
            invalid.push(InvalidSetting::new("max-members", "must be 2 to 10000"));
        }
    }

    fn validate_rate(&self, invalid: &mut Vec<InvalidSetting>) {
        if !(MIN_SEND_RATE..=MAX_SEND_RATE).contains(&self.send_rate) {
            let reason = "must be 1000 to 100000000 bytes per second";
            invalid.push(InvalidSetting::new("rate", reason));
        }
        if !(MAX_DATAGRAM_BYTES..=MAX_SEND_RATE).contains(&self.send_burst) {
            let reason = format!(
                "must be {MAX_DATAGRAM_BYTES} to 100000000 bytes, to fit the longest datagram"
            );
            invalid.push(InvalidSetting::new("burst", reason));
        }
    }

    fn validate_multipliers(&self, invalid: &mut Vec<InvalidSetting>) {
        let multipliers = [
            ("suspicion-mult", self.suspicion_mult),
            ("suspicion-max-mult", self.suspicion_max_mult),
            ("retransmit-mult", self.retransmit_mult),
        ];
        for (key, multiplier) in multipliers {
            if !MULTIPLIERS.contains(&multiplier) {
                invalid.push(InvalidSetting::new(key, "must be 1 to 30"));
            }
        }
    }

    /// The default rate limit for a probe interval. It grows as the interval shrinks, because suspects then have less
    /// time in which their refutation must spread.
    pub fn default_rate_limit(probe_interval: Duration) -> RateLimit {
        let defaults = MembershipSettings::default();
        let interval = probe_interval
            .as_secs_f64()
            .max(MIN_SCALED_PROBE_INTERVAL_SECONDS);
        let factor = defaults.probe_interval.as_secs_f64() / interval;
        let scaled = |bytes: usize| (bytes as f64 * factor.max(1.0)) as usize;
        RateLimit {
            rate: scaled(defaults.send_rate),
            burst: scaled(defaults.send_burst),
        }
    }

    /// The suspicion timeout in a fleet of this many members.
    pub fn suspicion_timeout(&self, members: usize) -> SuspicionTimeout {
        let scale = (members.max(1) as f64).log10().max(1.0);
        let min = self.suspicion_mult * scale * micros(self.probe_interval) as f64;
        SuspicionTimeout {
            min: min as Micros,
            max: (min * self.suspicion_max_mult) as Micros,
        }
    }

    /// How often an update is sent in a fleet of this many members.
    pub fn max_transmissions(&self, members: usize) -> u8 {
        let scale = (members.max(1) as f64 + 1.0).log10().max(1.0);
        let transmissions = (self.retransmit_mult * scale).ceil();
        transmissions.clamp(MIN_TRANSMISSIONS, MAX_TRANSMISSIONS) as u8
    }
}
