//! Replaces the settings of a running node.
//!
//! Classes and tenants keep their index over a reload, as pending requests and the balancer's state
//! refer to them by index. A withdrawn class or tenant keeps its index too, but is no longer found by
//! name.

use std::collections::{HashMap, HashSet};
use std::fmt;

use super::names::NameTable;
use super::parse::{MAX_CLASSES, MAX_TENANTS};
use super::{keys, NamedSettings, Names, SettingsError};
use crate::api::{RequestClass, Settings, Tenant};

/// The result of a reload.
#[derive(Debug)]
pub struct Reload {
    /// The merged settings, which replace those in force.
    pub settings: NamedSettings,
    /// How they differ from the settings in force, for the log.
    pub changes: SettingsChange,
}

/// Numbers of items that a reload adds to a list, alters and withdraws.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct ListChanges {
    added: usize,
    altered: usize,
    withdrawn: usize,
}

/// The difference between the settings before and after a reload.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SettingsChange {
    classes: ListChanges,
    tenants: ListChanges,
    /// Whether settings other than the lists of classes and tenants differ.
    others_altered: bool,
    /// Keys of settings whose new value takes effect only at a restart.
    until_restart: Vec<&'static str>,
}

impl SettingsChange {
    /// Whether the new settings equal those in force.
    pub fn is_nothing(&self) -> bool {
        *self == SettingsChange::default()
    }
}

impl fmt::Display for SettingsChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut parts = Vec::new();
        for (list, changes) in [(keys::CLASSES, self.classes), (keys::TENANTS, self.tenants)] {
            let ListChanges {
                added,
                altered,
                withdrawn,
            } = changes;
            if changes != ListChanges::default() {
                parts.push(format!(
                    "{list} {added} added, {altered} altered, {withdrawn} withdrawn"
                ));
            }
        }
        if self.others_altered {
            parts.push("other settings altered".into());
        }
        parts.extend(
            self.until_restart
                .iter()
                .map(|key| format!("{key} stays as it was until a restart")),
        );
        if parts.is_empty() {
            return f.write_str("nothing");
        }
        f.write_str(&parts.join("; "))
    }
}

/// Merges the settings in force, `current`, with the platform's new settings, `next`.
///
/// # Errors
///
/// `next` has no class although `current` has one, or a list would grow over its limit.
pub fn reload(current: &NamedSettings, next: NamedSettings) -> Result<Reload, SettingsError> {
    let NamedSettings {
        settings: old,
        names: old_names,
    } = current;
    let NamedSettings {
        settings: new,
        names: new_names,
    } = next;
    if new_names.classes.indices.is_empty() && !old_names.classes.indices.is_empty() {
        return Err(SettingsError::NoClasses);
    }
    let classes = CLASS_LIST.merge(
        NamedList::new(&old.classes, &old_names.classes),
        NamedList::new(&new.classes, &new_names.classes),
    )?;
    let tenants = TENANT_LIST.merge(
        NamedList::new(&old.tenants, &old_names.tenants),
        NamedList::new(&new.tenants, &new_names.tenants),
    )?;
    let until_restart = changed_until_restart(old, &new);
    let settings = Settings {
        classes: classes.items,
        tenants: tenants.items,
        discovery_mode: old.discovery_mode,
        weight_source: old.weight_source,
        ..new
    };
    let changes = SettingsChange {
        classes: classes.changes,
        tenants: tenants.changes,
        others_altered: without_lists(&settings) != without_lists(old),
        until_restart,
    };
    let names = Names {
        classes: classes.names,
        tenants: tenants.names,
    };
    Ok(Reload {
        settings: NamedSettings { settings, names },
        changes,
    })
}

/// The keys of settings that differ and take effect only at a restart: an open watch and the servers'
/// weights depend on the values that the process started with.
fn changed_until_restart(old: &Settings, new: &Settings) -> Vec<&'static str> {
    let mut changed = Vec::new();
    if new.discovery_mode != old.discovery_mode {
        changed.push(keys::DISCOVERY_MODE);
    }
    if new.weight_source != old.weight_source {
        changed.push(keys::WEIGHT_SOURCE);
    }
    changed
}

fn without_lists(settings: &Settings) -> Settings {
    Settings {
        classes: Vec::new(),
        tenants: Vec::new(),
        ..settings.clone()
    }
}

/// How one list of items is merged in a reload.
struct ListRule<T> {
    key: &'static str,
    /// Most items, withdrawn ones included.
    max: usize,
    /// Whether a new item may take the index of an old one of the same name.
    may_replace: fn(&T, &T) -> bool,
}

/// A class whose idempotency changes gets a new index, so that pending requests keep the idempotency that
/// they were sent with. Otherwise a request that must not run twice could be retried (test
/// `configuration::a_request_in_flight_keeps_the_idempotency_it_was_sent_with`).
const CLASS_LIST: ListRule<RequestClass> = ListRule {
    key: keys::CLASSES,
    max: MAX_CLASSES,
    may_replace: |old, new| old.idempotency == new.idempotency,
};

const TENANT_LIST: ListRule<Tenant> = ListRule {
    key: keys::TENANTS,
    max: MAX_TENANTS,
    may_replace: |_, _| true,
};

/// The items of a list and their names, in the same order.
#[derive(Clone, Copy)]
struct NamedList<'a, T> {
    items: &'a [T],
    names: &'a NameTable,
}

impl<'a, T> NamedList<'a, T> {
    fn new(items: &'a [T], names: &'a NameTable) -> Self {
        NamedList { items, names }
    }

    /// All indices of each name, withdrawn ones included.
    fn indices_by_name(&self) -> HashMap<&'a str, Vec<usize>> {
        let mut indices: HashMap<&str, Vec<usize>> = HashMap::with_capacity(self.names.names.len());
        for (index, name) in self.names.names.iter().enumerate() {
            indices.entry(name).or_default().push(index);
        }
        indices
    }
}

/// A list after the merge.
struct MergedList<T> {
    items: Vec<T>,
    names: NameTable,
    changes: ListChanges,
}

impl<T: Clone + PartialEq> ListRule<T> {
    fn merge(
        &self,
        old: NamedList<'_, T>,
        new: NamedList<'_, T>,
    ) -> Result<MergedList<T>, SettingsError> {
        let old_indices = old.indices_by_name();
        let mut merged = MergedList {
            items: old.items.to_vec(),
            names: NameTable {
                names: old.names.names.clone(),
                indices: HashMap::new(),
            },
            changes: ListChanges::default(),
        };
        let mut seen = HashSet::with_capacity(new.names.names.len());
        for (name, item) in new.names.names.iter().zip(new.items) {
            // Of several items with the same name, only the first is used.
            if !seen.insert(name.as_str()) {
                continue;
            }
            match old.names.indices.get(name) {
                None => merged.changes.added += 1,
                Some(&index) if old.items[index] != *item => merged.changes.altered += 1,
                Some(_) => {}
            }
            let candidates = old_indices.get(name.as_str()).into_iter().flatten();
            let reusable = candidates
                .copied()
                .find(|&index| (self.may_replace)(&old.items[index], item));
            merged.put(name, item, reusable);
        }
        if merged.items.len() > self.max {
            return Err(SettingsError::TooManyItemsAfterReload {
                list: self.key,
                count: merged.items.len(),
                max: self.max,
            });
        }
        merged.changes.withdrawn = merged.withdrawn_since(old.names);
        Ok(merged)
    }
}

impl<T: Clone> MergedList<T> {
    /// Puts an item at `index`, or appends it without one.
    fn put(&mut self, name: &str, item: &T, index: Option<usize>) {
        match index {
            Some(index) => {
                self.items[index] = item.clone();
                self.names.indices.insert(name.to_owned(), index);
            }
            None => {
                self.items.push(item.clone());
                self.names.push(name.to_owned());
            }
        }
    }

    /// Number of names that were in use in `old` and no longer are.
    fn withdrawn_since(&self, old: &NameTable) -> usize {
        old.indices
            .keys()
            .filter(|name| !self.names.indices.contains_key(*name))
            .count()
    }
}
