//! Servers that operators have taken out, kept where the process that follows finds them.

use std::collections::BTreeSet;
use std::fs;
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// The ids of servers that are left out until operators put them back.
pub struct Bans {
    /// Without one they end with the process.
    path: Option<PathBuf>,
    ids: BTreeSet<String>,
    /// What was last wrong with the file: it is read often, and logged once.
    fault: Option<String>,
}

impl Bans {
    /// Those of the file of the node of this name.
    pub fn open(dir: Option<&Path>, name: &str) -> Bans {
        let name: String = name
            .chars()
            .map(|c| if c.is_ascii_alphanumeric() { c } else { '_' })
            .collect();
        let path = dir.map(|dir| dir.join(format!("woodgap-{name}-out.json")));
        let mut bans = Bans {
            path,
            ids: BTreeSet::new(),
            fault: None,
        };
        bans.follow();
        bans
    }

    pub fn ids(&self) -> impl Iterator<Item = &String> {
        self.ids.iter()
    }

    pub fn holds(&self, id: &str) -> bool {
        self.ids.contains(id)
    }

    /// Takes over what another process has written; the ids that changed, with whether they are out.
    pub fn follow(&mut self) -> Vec<(String, bool)> {
        let Some(path) = &self.path else {
            return Vec::new();
        };
        let read = read(path).map_err(|error| format!("{}: {error}", path.display()));
        let fault = read.as_ref().err().cloned();
        if let Some(fault) = fault
            .as_ref()
            .filter(|fault| self.fault.as_ref() != Some(fault))
        {
            crate::log::line(format_args!("servers left out: {fault}"));
        }
        self.fault = fault;
        let Ok(Some(ids)) = read else {
            return Vec::new();
        };
        let changed = self
            .ids
            .symmetric_difference(&ids)
            .map(|id| (id.clone(), ids.contains(id)))
            .collect();
        self.ids = ids;
        changed
    }

    /// Takes a server out or puts it back, on file first; all ids that changed.
    pub fn set(&mut self, id: &str, out: bool) -> io::Result<Vec<(String, bool)>> {
        let mut changed = self.follow();
        if self.holds(id) != out {
            let mut ids = self.ids.clone();
            if out {
                ids.insert(id.to_owned());
            } else {
                ids.remove(id);
            }
            if let Some(path) = &self.path {
                write(path, &ids)?;
            }
            self.ids = ids;
            changed.retain(|(other, _)| other != id);
            changed.push((id.to_owned(), out));
        }
        Ok(changed)
    }
}

/// What the file holds; `None` where there is none.
fn read(path: &Path) -> io::Result<Option<BTreeSet<String>>> {
    match fs::read(path) {
        Ok(text) => Ok(Some(serde_json::from_slice(&text)?)),
        Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
        Err(error) => Err(error),
    }
}

/// Another process, or the next one, finds the old file or the new one whole.
fn write(path: &Path, ids: &BTreeSet<String>) -> io::Result<()> {
    let part = path.with_extension(format!("{}.part", std::process::id()));
    let mut file = fs::File::create(&part)?;
    file.write_all(&serde_json::to_vec(ids)?)?;
    file.sync_all()?;
    fs::rename(&part, path)
}

#[cfg(test)]
mod tests;
