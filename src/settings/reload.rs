//! Owns how settings take the place of others while a node runs: classes and tenants keep their places, as requests and
//! what was learnt go by these.

use std::collections::{HashMap, HashSet};
use std::fmt;

use crate::api::{RequestClass, Settings, Tenant};

use super::{NameTable, Names, SettingsError, MAX_CLASSES, MAX_TENANTS};

/// The settings that follow.
#[derive(Debug)]
pub struct Reload {
    /// At the places of the old ones; new classes and tenants come after them, and those that were withdrawn keep theirs.
    pub settings: Settings,
    /// The names in service.
    pub names: Names,
    /// What is different, for the log.
    pub changed: SettingsChange,
}

/// How many of a list came, differ or went.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Moves {
    added: usize,
    altered: usize,
    withdrawn: usize,
}

/// What is different.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SettingsChange {
    classes: Moves,
    tenants: Moves,
    /// Figures beside the two lists.
    figures: bool,
    /// What is said otherwise and stays until a restart.
    kept: Vec<&'static str>,
}

impl SettingsChange {
    /// Whether nothing is.
    pub fn is_nothing(&self) -> bool {
        *self == SettingsChange::default()
    }
}

impl fmt::Display for SettingsChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut parts = Vec::new();
        for (what, moves) in [("classes", self.classes), ("tenants", self.tenants)] {
            let Moves {
                added,
                altered,
                withdrawn,
            } = moves;
            if moves != Moves::default() {
                parts.push(format!(
                    "{what} {added} added, {altered} altered, {withdrawn} withdrawn"
                ));
            }
        }
        if self.figures {
            parts.push("other figures altered".into());
        }
        parts.extend(
            self.kept
                .iter()
                .map(|key| format!("{key} stays as it was until a restart")),
        );
        f.write_str(if parts.is_empty() { "nothing" } else { "" })?;
        f.write_str(&parts.join("; "))
    }
}

/// The new settings in the place of the old ones. Refused: such without a class, and lists that outgrow their limit.
pub fn reload(old: (&Settings, &Names), new: (Settings, Names)) -> Result<Reload, SettingsError> {
    let ((was, had), (new, names)) = (old, new);
    if names.classes.places.is_empty() && !had.classes.places.is_empty() {
        return Err(SettingsError::new("the settings name no class".into()));
    }
    // What was sent as unsafe stays unsafe: a class that may be repeated otherwise is another one, at another place.
    let classes = Kind {
        what: "classes",
        most: MAX_CLASSES,
        same: |a: &RequestClass, b| a.idempotency == b.idempotency,
    };
    let (classes, class_names, class_moves) =
        classes.follow((&was.classes, &had.classes), (&new.classes, &names.classes))?;
    let tenants = Kind {
        what: "tenants",
        most: MAX_TENANTS,
        same: |_: &Tenant, _| true,
    };
    let (tenants, tenant_names, tenant_moves) =
        tenants.follow((&was.tenants, &had.tenants), (&new.tenants, &names.tenants))?;
    let mut kept = Vec::new();
    if new.discovery_mode != was.discovery_mode {
        kept.push("registry-mode");
    }
    if new.weight_source != was.weight_source {
        kept.push("weight-source");
    }
    // A watch and the sizes of servers are of the mode that the process began with.
    let (discovery, weight_source) = (was.discovery_mode, was.weight_source);
    let settings = Settings {
        classes,
        tenants,
        discovery_mode: discovery,
        weight_source,
        ..new
    };
    let bare = |settings: &Settings| Settings {
        classes: Vec::new(),
        tenants: Vec::new(),
        ..settings.clone()
    };
    let figures = bare(&settings) != bare(was);
    let changed = SettingsChange {
        classes: class_moves,
        tenants: tenant_moves,
        figures,
        kept,
    };
    Ok(Reload {
        settings,
        names: Names {
            classes: class_names,
            tenants: tenant_names,
        },
        changed,
    })
}

/// One of the two lists.
struct Kind<T> {
    what: &'static str,
    most: usize,
    /// Whether two items of one name may have one place.
    same: fn(&T, &T) -> bool,
}

impl<T: Clone + PartialEq> Kind<T> {
    fn follow(
        &self,
        (was, had): (&[T], &NameTable),
        (new, names): (&[T], &NameTable),
    ) -> Result<(Vec<T>, NameTable, Moves), SettingsError> {
        let mut known: HashMap<&str, Vec<usize>> = HashMap::with_capacity(had.names.len());
        for (place, name) in had.names.iter().enumerate() {
            known.entry(name).or_default().push(place);
        }
        let (mut items, mut roll) = (
            was.to_vec(),
            NameTable {
                names: had.names.clone(),
                places: HashMap::new(),
            },
        );
        let mut moves = Moves::default();
        let mut seen = HashSet::with_capacity(names.names.len());
        for (name, item) in names
            .names
            .iter()
            .zip(new)
            .filter(|(name, _)| seen.insert(name.as_str()))
        {
            let served = had.places.get(name);
            moves.added += usize::from(served.is_none());
            moves.altered += usize::from(served.is_some_and(|&place| was[place] != *item));
            let places = known.get(name.as_str()).into_iter().flatten();
            match places
                .copied()
                .find(|&place| (self.same)(&was[place], item))
            {
                Some(place) => {
                    items[place] = item.clone();
                    roll.places.insert(name.clone(), place);
                }
                None => {
                    items.push(item.clone());
                    roll.push(name.clone());
                }
            }
        }
        let (count, Kind { what, most, .. }) = (items.len(), self);
        if count > *most {
            return Err(SettingsError::new(format!(
                "{count} {what} with those that were withdrawn since the start are too many, {most} at most"
            )));
        }
        moves.withdrawn = had
            .places
            .keys()
            .filter(|name| !roll.places.contains_key(*name))
            .count();
        Ok((items, roll, moves))
    }
}
