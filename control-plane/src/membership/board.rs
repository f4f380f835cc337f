//! Owns what members say of themselves and whom they accuse, as it spreads with SWIM's datagrams: what is news
//! is passed on, what is stale is not.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::rc::Rc;

use serde::{Deserialize, Serialize};

use super::timers::SuspectKey;
use super::{Identity, Name, Record};

/// Bytes of a broadcast, at most.
pub const LONGEST_ITEM: usize = 640;
/// Accusations remembered, so that none is passed on twice.
const MOST_ACCUSATIONS: usize = 4_096;

/// What is broadcast.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Item {
    /// A member's record.
    Record(Record),
    /// A member's own probes of another went unanswered.
    Accuse(Accusation),
}

/// Who doubts whom.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Accusation {
    /// The suspect.
    pub of: Name,
    /// Its life.
    pub generation: u64,
    /// And its incarnation.
    pub incarnation: u16,
    /// The accuser.
    pub by: Name,
}

impl Item {
    /// The bytes.
    pub fn encode(&self) -> Vec<u8> {
        // Into memory, of plain data: nothing of it can fail.
        postcard::to_stdvec(self).unwrap_or_default()
    }
}

#[derive(Debug, Default)]
struct Inner {
    records: BTreeMap<Name, Rc<Record>>,
    most: usize,
    most_accusers: usize,
    /// With the order in which they came.
    accusations: BTreeMap<Accusation, u64>,
    number: u64,
    news: Vec<Item>,
}

/// The board; clones are the same one, as foca holds one of them.
#[derive(Clone, Debug, Default)]
pub struct Board(Rc<RefCell<Inner>>);

impl Board {
    /// A board for so many members, and so many accusers of one incarnation: more shorten its time no further.
    pub fn new(most: usize, most_accusers: usize) -> Board {
        Board(Rc::new(RefCell::new(Inner {
            most,
            most_accusers,
            ..Inner::default()
        })))
    }

    /// Takes a record in where it is newer than what is known. Whether it was.
    pub fn merge(&self, record: &Record) -> bool {
        let mut inner = self.0.borrow_mut();
        let known = inner.records.get(&record.name).map(|known| known.age());
        if known >= Some(record.age()) || (known.is_none() && inner.records.len() >= inner.most) {
            return false;
        }
        inner
            .records
            .insert(record.name.clone(), Rc::new(record.clone()));
        inner.news.push(Item::Record(record.clone()));
        true
    }

    /// What a life of a member says of itself, where it is known.
    pub fn record(&self, identity: &Identity) -> Option<Rc<Record>> {
        self.0
            .borrow()
            .records
            .get(&identity.name)
            .filter(|record| record.is_of(identity))
            .cloned()
    }

    /// The newest message format that a life of a member reads, where it has said so.
    pub fn format(&self, identity: &Identity) -> Option<u8> {
        let inner = self.0.borrow();
        inner
            .records
            .get(&identity.name)
            .filter(|record| record.is_of(identity))
            .map(|r| r.formats.newest)
    }

    /// All records.
    pub fn records(&self) -> Vec<Record> {
        self.0
            .borrow()
            .records
            .values()
            .map(|record| Record::clone(record))
            .collect()
    }

    /// Forgets names that are no member's any more.
    pub fn retain(&self, keep: impl Fn(&Name) -> bool) {
        self.0.borrow_mut().records.retain(|name, _| keep(name));
    }

    /// What has come since the last time.
    pub fn take_news(&self) -> Vec<Item> {
        std::mem::take(&mut self.0.borrow_mut().news)
    }

    /// Who accuses an incarnation.
    pub fn accusers(&self, (of, generation, incarnation): &SuspectKey) -> Vec<Name> {
        let inner = self.0.borrow();
        let same = |a: &&Accusation| {
            (&a.of, &a.generation, &a.incarnation) == (of, generation, incarnation)
        };
        inner
            .accusations
            .keys()
            .filter(same)
            .map(|accusation| accusation.by.clone())
            .collect()
    }

    fn accuse(&self, accusation: &Accusation) -> bool {
        let mut inner = self.0.borrow_mut();
        let same = |a: &&Accusation| {
            (&a.of, a.generation, a.incarnation)
                == (
                    &accusation.of,
                    accusation.generation,
                    accusation.incarnation,
                )
        };
        if inner.accusations.contains_key(accusation)
            || inner.accusations.keys().filter(same).count() >= inner.most_accusers
        {
            return false;
        }
        if inner.accusations.len() >= MOST_ACCUSATIONS {
            let oldest = inner.accusations.iter().min_by_key(|(_, number)| **number);
            if let Some(oldest) = oldest.map(|(accusation, _)| accusation.clone()) {
                inner.accusations.remove(&oldest);
            }
        }
        inner.number += 1;
        let number = inner.number;
        inner.accusations.insert(accusation.clone(), number);
        inner.news.push(Item::Accuse(accusation.clone()));
        true
    }
}

/// What tells broadcasts apart: a newer record of a name replaces the older on its way.
#[derive(Debug)]
pub enum Key {
    Record(Name),
    Accuse(Accusation),
}

impl foca::Invalidates for Key {
    fn invalidates(&self, other: &Self) -> bool {
        match (self, other) {
            (Key::Record(a), Key::Record(b)) => a == b,
            (Key::Accuse(a), Key::Accuse(b)) => a == b,
            _ => false,
        }
    }
}

impl foca::BroadcastHandler<Identity> for Board {
    type Key = Key;
    type Error = Infallible;

    fn receive_item(
        &mut self,
        data: &[u8],
        _from: Option<&Identity>,
    ) -> Result<Option<Key>, Infallible> {
        // What can't be read is dropped and goes no further; its datagram's checksum was sound.
        if data.len() > LONGEST_ITEM {
            return Ok(None);
        }
        Ok(match postcard::from_bytes::<Item>(data) {
            Ok(Item::Record(record)) if record.fits() && self.merge(&record) => {
                Some(Key::Record(record.name))
            }
            Ok(Item::Accuse(accusation)) if self.accuse(&accusation) => {
                Some(Key::Accuse(accusation))
            }
            _ => None,
        })
    }
}

#[cfg(test)]
mod tests;
