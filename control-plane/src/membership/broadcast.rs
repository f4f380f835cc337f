//! Broadcasts that foca disseminates with its gossip: members' records and suspicion notices. New ones are forwarded,
//! stale and repeated ones are dropped.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::rc::Rc;

use serde::{Deserialize, Serialize};

use super::timers::SuspectKey;
use super::{Identity, Name, Record};

/// Longest encoded broadcast in bytes.
const MAX_BROADCAST_BYTES: usize = 640;
/// Most suspicion notices remembered. A remembered notice is not forwarded a second time.
const MAX_SUSPICION_NOTICES: usize = 4_096;

/// A broadcast. The order of the variants is the wire format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Broadcast {
    /// A member's record.
    Record(Record),
    /// A member reports that its own probe of another failed.
    Suspicion(SuspicionNotice),
}

/// A member's report that its own probe of another failed. The order of the fields is the wire format.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct SuspicionNotice {
    /// Name of the suspect.
    pub suspect: Name,
    /// Generation of the suspect.
    pub generation: u64,
    /// Incarnation of the suspect that did not answer.
    pub incarnation: u16,
    /// The member whose probe failed.
    pub accuser: Name,
}

impl SuspicionNotice {
    /// Identifies the suspected incarnation.
    pub fn key(&self) -> SuspectKey {
        SuspectKey {
            name: self.suspect.clone(),
            generation: self.generation,
            incarnation: self.incarnation,
        }
    }

    fn concerns(&self, key: &SuspectKey) -> bool {
        self.suspect == key.name
            && self.generation == key.generation
            && self.incarnation == key.incarnation
    }
}

impl Broadcast {
    /// Encodes the broadcast.
    pub fn encode(&self) -> Vec<u8> {
        // Serializing plain data into memory cannot fail.
        postcard::to_stdvec(self).unwrap_or_default()
    }
}

#[derive(Debug, Default)]
struct Inner {
    records: BTreeMap<Name, Rc<Record>>,
    max_records: usize,
    max_accusers: usize,
    /// Suspicion notices, each with its arrival number; the lowest is evicted first.
    notices: BTreeMap<SuspicionNotice, u64>,
    last_arrival: u64,
    /// Broadcasts that have arrived and that the protocol has not handled yet.
    received: Vec<Broadcast>,
}

impl Inner {
    fn forget_oldest_notice(&mut self) {
        let oldest = self.notices.iter().min_by_key(|(_, arrival)| **arrival);
        if let Some(oldest) = oldest.map(|(notice, _)| notice.clone()) {
            self.notices.remove(&oldest);
        }
    }
}

/// The records and suspicion notices known to this agent. Clones share their content: foca owns one as its broadcast
/// handler, the protocol another.
#[derive(Clone, Debug, Default)]
pub struct BroadcastQueue(Rc<RefCell<Inner>>);

impl BroadcastQueue {
    /// An empty queue. It keeps at most `max_records` records, and `max_accusers` accusers of one incarnation: more
    /// would not shorten the suspicion further.
    pub fn new(max_records: usize, max_accusers: usize) -> BroadcastQueue {
        BroadcastQueue(Rc::new(RefCell::new(Inner {
            max_records,
            max_accusers,
            ..Inner::default()
        })))
    }

    /// Stores a record if it is newer than the known one. Returns whether it was.
    pub fn merge(&self, record: &Record) -> bool {
        let mut inner = self.0.borrow_mut();
        let known = inner
            .records
            .get(&record.name)
            .map(|known| known.record_version());
        let is_stale = known >= Some(record.record_version());
        let is_full = known.is_none() && inner.records.len() >= inner.max_records;
        if is_stale || is_full {
            return false;
        }
        inner
            .records
            .insert(record.name.clone(), Rc::new(record.clone()));
        inner.received.push(Broadcast::Record(record.clone()));
        true
    }

    /// The record that the process of an identity has written, if it is known.
    pub fn record(&self, identity: &Identity) -> Option<Rc<Record>> {
        self.0
            .borrow()
            .records
            .get(&identity.name)
            .filter(|record| record.describes(identity))
            .cloned()
    }

    /// The newest message format that a member reads, if its record is known.
    pub fn newest_format(&self, identity: &Identity) -> Option<u8> {
        self.record(identity).map(|record| record.formats.newest)
    }

    /// The known records, one for each name.
    pub fn records(&self) -> Vec<Record> {
        self.0
            .borrow()
            .records
            .values()
            .map(|record| Record::clone(record))
            .collect()
    }

    /// Keeps only the records of names for which `keep` is true.
    pub fn retain(&self, keep: impl Fn(&Name) -> bool) {
        self.0.borrow_mut().records.retain(|name, _| keep(name));
    }

    /// Takes the broadcasts that have arrived since the previous call.
    pub fn take_received(&self) -> Vec<Broadcast> {
        std::mem::take(&mut self.0.borrow_mut().received)
    }

    /// The members that suspect an incarnation.
    pub fn accusers(&self, key: &SuspectKey) -> Vec<Name> {
        let inner = self.0.borrow();
        inner
            .notices
            .keys()
            .filter(|notice| notice.concerns(key))
            .map(|notice| notice.accuser.clone())
            .collect()
    }

    /// Stores a suspicion notice. Returns whether it is new and still shortens the suspicion.
    fn add_notice(&self, notice: &SuspicionNotice) -> bool {
        let mut inner = self.0.borrow_mut();
        if inner.notices.contains_key(notice) {
            return false;
        }
        let key = notice.key();
        let accusers = inner.notices.keys().filter(|known| known.concerns(&key));
        if accusers.count() >= inner.max_accusers {
            return false;
        }
        if inner.notices.len() >= MAX_SUSPICION_NOTICES {
            inner.forget_oldest_notice();
        }
        inner.last_arrival += 1;
        let arrival = inner.last_arrival;
        inner.notices.insert(notice.clone(), arrival);
        inner.received.push(Broadcast::Suspicion(notice.clone()));
        true
    }
}

/// Identifies broadcasts for foca: a newer record of a name replaces an older one that is still being sent.
#[derive(Debug)]
pub enum BroadcastKey {
    /// The record of a name.
    Record(Name),
    /// A suspicion notice.
    Suspicion(SuspicionNotice),
}

impl foca::Invalidates for BroadcastKey {
    fn invalidates(&self, other: &Self) -> bool {
        match (self, other) {
            (BroadcastKey::Record(a), BroadcastKey::Record(b)) => a == b,
            (BroadcastKey::Suspicion(a), BroadcastKey::Suspicion(b)) => a == b,
            _ => false,
        }
    }
}

impl foca::BroadcastHandler<Identity> for BroadcastQueue {
    type Key = BroadcastKey;
    type Error = Infallible;

    fn receive_item(
        &mut self,
        data: &[u8],
        _from: Option<&Identity>,
    ) -> Result<Option<BroadcastKey>, Infallible> {
        // An invalid broadcast is dropped, but is no error: after an error, foca would ignore the rest of the datagram, whose
        // checksum was correct.
        if data.len() > MAX_BROADCAST_BYTES {
            return Ok(None);
        }
        Ok(match postcard::from_bytes::<Broadcast>(data) {
            Ok(Broadcast::Record(record)) if record.is_valid() && self.merge(&record) => {
                Some(BroadcastKey::Record(record.name))
            }
            Ok(Broadcast::Suspicion(notice)) if self.add_notice(&notice) => {
                Some(BroadcastKey::Suspicion(notice))
            }
            _ => None,
        })
    }
}

#[cfg(test)]
mod tests;
