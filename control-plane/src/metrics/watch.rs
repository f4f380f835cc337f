//! Owns which alarms should stand, by the sums at the holder of the watch. That each is said once, the agreed log sees to.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{Census, SLOT};
use crate::lease::{Alarm, RaisedAlarm};
use crate::membership::Name;
use crate::{micros, Micros};

/// A share below this many requests a second says nothing.
const FEW: u64 = 5;
/// Groups of nodes with one list that are named in words, at most.
const GROUPS: usize = 4;

/// When to raise alarms.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// The fleet is jammed where more than this part is refused.
    pub refused: f64,
    /// For so long; it is over once less than half of that part was refused for as long.
    pub refused_for: Duration,
    /// Lists of servers differ between nodes for so long.
    pub lists_for: Duration,
    /// Starts of a node in a minute that are too many.
    pub starts: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            refused: 0.05,
            refused_for: Duration::from_secs(10),
            lists_for: Duration::from_secs(15),
            starts: 3,
        }
    }
}

/// What the watch has seen so far.
#[derive(Debug)]
pub struct Watch {
    settings: Settings,
    standing: BTreeMap<Alarm, RaisedAlarm>,
    differ_since: Option<Micros>,
}

impl Watch {
    /// Nothing seen yet.
    pub fn new(settings: Settings) -> Watch {
        Watch {
            settings,
            standing: BTreeMap::new(),
            differ_since: None,
        }
    }

    /// Another process watched until now: what stands by its word stands, until this one sees that it is over.
    pub fn take_over(&mut self, standing: &BTreeMap<Alarm, RaisedAlarm>) {
        self.standing = standing.clone();
        self.differ_since = None;
    }

    /// The alarms that should stand. `wall_ms` is for people.
    pub fn look(
        &mut self,
        now: Micros,
        census: &Census,
        wall_ms: u64,
    ) -> &BTreeMap<Alarm, RaisedAlarm> {
        let mut wanted = BTreeMap::new();
        wanted.extend(self.jam(census).map(|words| (Alarm::Overload, words)));
        wanted.extend(
            self.lists(now, census)
                .map(|words| (Alarm::DiscoveryMismatch, words)),
        );
        for row in census.rows(now) {
            let alarm = Alarm::RestartLoop(row.name.clone());
            let least = if self.standing.contains_key(&alarm) {
                1
            } else {
                self.settings.starts
            };
            if row.starts >= least {
                wanted.insert(
                    alarm,
                    format!(
                        "the node of {} started {} times in a minute",
                        row.name, row.starts
                    ),
                );
            }
        }
        self.standing.retain(|alarm, _| wanted.contains_key(alarm));
        for (alarm, words) in wanted {
            self.standing.entry(alarm).or_insert(RaisedAlarm {
                message: words,
                since_ms: wall_ms,
            });
        }
        &self.standing
    }

    fn jam(&self, census: &Census) -> Option<String> {
        let slots = micros(self.settings.refused_for).div_ceil(SLOT).max(1);
        let sum = census.recent(slots as usize);
        let seconds = slots * SLOT / 1_000_000;
        if sum.requests() < FEW * seconds {
            return None;
        }
        let part = sum.refused as f64 / sum.requests() as f64;
        let most = if self.standing.contains_key(&Alarm::Overload) {
            self.settings.refused / 2.0
        } else {
            self.settings.refused
        };
        let words = || format!("{:.0} % of requests refused for {seconds} s", part * 100.0);
        (part > most).then(words)
    }

    fn lists(&mut self, now: Micros, census: &Census) -> Option<String> {
        let mut by_list: BTreeMap<u64, (u64, Vec<Name>)> = BTreeMap::new();
        for row in census.rows(now) {
            let fresh = census.is_fresh(&row);
            if let Some(gauges) = row
                .now
                .map(|now| now.gauges)
                .filter(|gauges| fresh && gauges.list != 0)
            {
                by_list
                    .entry(gauges.list)
                    .or_insert((gauges.discovered, Vec::new()))
                    .1
                    .push(row.name);
            }
        }
        if by_list.len() < 2 {
            self.differ_since = None;
            return None;
        }
        let since = *self.differ_since.get_or_insert(now);
        let standing = self.standing.contains_key(&Alarm::DiscoveryMismatch);
        if !standing && now < since + micros(self.settings.lists_for) {
            return None;
        }
        let mut groups: Vec<_> = by_list.into_values().collect();
        groups.sort_by_key(|(_, names)| names.len());
        let say = |(servers, names): &(u64, Vec<Name>)| {
            let first: Vec<&str> = names.iter().take(3).map(Name::as_str).collect();
            let more = if names.len() > 3 {
                format!(" and {} more", names.len() - 3)
            } else {
                String::new()
            };
            format!("{}{more}: {servers} servers", first.join(", "))
        };
        let words: Vec<String> = groups.iter().take(GROUPS).map(say).collect();
        Some(format!(
            "nodes go by different lists of servers: {}",
            words.join("; ")
        ))
    }
}

#[cfg(test)]
mod tests;
