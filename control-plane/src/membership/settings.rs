//! Owns the windows and bounds of membership and what they may be. Tests use short ones; the defaults are
//! for a real network.

use std::time::Duration;

use super::{Formats, FORMATS, LONGEST_DATAGRAM};
use crate::{micros, Micros};

/// The windows and bounds.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The fleet's name: messages that name another are dropped.
    pub fleet: String,
    /// A member is probed at this interval.
    pub probe_interval: Duration,
    /// A direct answer later than this is asked for through others; below half the interval.
    pub probe_timeout: Duration,
    /// Members asked to probe on one's behalf.
    pub indirect_probes: usize,
    /// The least suspicion time-out is this many probe intervals, times log10 of the members (at least 1).
    pub suspicion_mult: f64,
    /// The longest is so many times the least.
    pub suspicion_max_mult: f64,
    /// Independent accusers, beside the first, after which the least holds.
    pub suspicion_confirmations: usize,
    /// How often an update is passed on is this, times log10 of the members (at least 1).
    pub retransmit_mult: f64,
    /// Updates are passed on at this interval while there are some.
    pub gossip_interval: Duration,
    /// To so many members each.
    pub gossip_fanout: usize,
    /// The view is exchanged whole with one member at about this interval.
    pub sync_interval: Duration,
    /// A member called failed is told so, in case it is not, at this interval.
    pub rejoin_interval: Duration,
    /// Seeds that are not in the view are called at this interval.
    pub seed_interval: Duration,
    /// Views that differ for this long are exchanged and compared.
    pub settle: Duration,
    /// A failed or left member is remembered for this long.
    pub hold: Duration,
    /// Bytes of datagrams a second that news waits for: with the burst, what any second may carry. Probes and their
    /// answers do not wait, and the rate is theirs first.
    pub rate: usize,
    /// Bytes of datagrams at once, after a calm time: at least a whole datagram.
    pub burst: usize,
    /// Members, at most: one more is not taken in.
    pub most_members: usize,
    /// The formats written and read; the newest may be held back while older members are about.
    pub formats: Formats,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
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
            settle: Duration::from_secs(2),
            hold: Duration::from_secs(24 * 3600),
            rate: 4_500,
            burst: LONGEST_DATAGRAM,
            most_members: 3_000,
            formats: FORMATS,
        }
    }
}

/// Settings that can't be right, with the reason.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{key}: {reason}")]
pub struct SettingsFault {
    /// The key, as in the configuration's `membership` table.
    pub key: &'static str,
    /// Why.
    pub reason: String,
}

impl Settings {
    /// All that can't be right, at once.
    pub fn faults(&self) -> Vec<SettingsFault> {
        let mut faults = Vec::new();
        let mut wrong =
            |key: &'static str, reason: String| faults.push(SettingsFault { key, reason });
        let windows = [
            ("probe-interval", self.probe_interval),
            ("probe-timeout", self.probe_timeout),
            ("gossip-interval", self.gossip_interval),
            ("sync-interval", self.sync_interval),
            ("rejoin-interval", self.rejoin_interval),
            ("seed-interval", self.seed_interval),
            ("settle", self.settle),
        ];
        for (key, span) in windows {
            if span < Duration::from_millis(5) || span > Duration::from_secs(3600) {
                wrong(key, "must be 5ms to 1h".into());
            }
        }
        if self.probe_timeout * 2 >= self.probe_interval {
            wrong(
                "probe-timeout",
                "must be below half of probe-interval: others are asked in what is left".into(),
            );
        }
        if self.hold < self.probe_interval * 10 {
            wrong("hold", "must be ten probe intervals or more".into());
        }
        let counts = [
            ("indirect-probes", self.indirect_probes, 16),
            ("gossip-fanout", self.gossip_fanout, 16),
        ];
        for (key, count, most) in counts {
            if !(1..=most).contains(&count) {
                wrong(key, format!("must be 1 to {most}"));
            }
        }
        if !(2..=10_000).contains(&self.most_members) {
            wrong("most-members", "must be 2 to 10000".into());
        }
        if !(1_000..=100_000_000).contains(&self.rate) {
            wrong("rate", "must be 1000 to 100000000 bytes a second".into());
        }
        if !(LONGEST_DATAGRAM..=100_000_000).contains(&self.burst) {
            wrong(
                "burst",
                format!("must be {LONGEST_DATAGRAM} to 100000000 bytes: a datagram whole"),
            );
        }
        for (key, factor) in [
            ("suspicion-mult", self.suspicion_mult),
            ("suspicion-max-mult", self.suspicion_max_mult),
            ("retransmit-mult", self.retransmit_mult),
        ] {
            if !(1.0..=30.0).contains(&factor) {
                wrong(key, "must be 1 to 30".into());
            }
        }
        if !(FORMATS.least..=FORMATS.newest).contains(&self.formats.newest) {
            wrong(
                "format",
                format!("must be {} to {}", FORMATS.least, FORMATS.newest),
            );
        }
        faults
    }

    /// Rate and burst that suit a probe interval: suspects have less time where probes come faster, and their
    /// refutations must be told within it.
    pub fn usual_pace(probe_interval: Duration) -> (usize, usize) {
        let usual = Settings::default();
        let times = usual.probe_interval.as_secs_f64() / probe_interval.as_secs_f64().max(0.005);
        let scaled = |bytes: usize| (bytes as f64 * times.max(1.0)) as usize;
        (scaled(usual.rate), scaled(usual.burst))
    }

    /// The least and the longest suspicion time-out among so many members.
    pub fn suspicion(&self, members: usize) -> (Micros, Micros) {
        let scale = (members.max(1) as f64).log10().max(1.0);
        let least = self.suspicion_mult * scale * micros(self.probe_interval) as f64;
        (least as Micros, (least * self.suspicion_max_mult) as Micros)
    }

    /// How often an update is passed on among so many members.
    pub fn retransmits(&self, members: usize) -> u8 {
        let scale = (members.max(1) as f64 + 1.0).log10().max(1.0);
        (self.retransmit_mult * scale).ceil().clamp(1.0, 60.0) as u8
    }
}
