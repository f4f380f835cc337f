//! `voter-init`: creates the store of a voter.

use std::path::Path;
use std::process::ExitCode;

use control_plane::config::Config;
use control_plane::consensus::PersistedState;
use control_plane::coordinator::{bootstrap, joining_id, voter_id};
use control_plane::runtime::VOTER_STORE_FILE;
use control_plane::storage::RedbStorage;

use crate::error::CliError;
use crate::print;

/// Creates the store of a first voter, or with `join` of one that joins the voters of a running fleet.
pub fn create(path: &Path, join: bool) -> Result<ExitCode, CliError> {
    let config = Config::load(path)?;
    let (name, voters) = (&config.name, &config.coordination.voters);
    if !join && !voters.contains(name) {
        return Err(CliError::NotFirstVoter {
            path: path.to_owned(),
            name: name.clone(),
        });
    }
    std::fs::create_dir_all(&config.state_dir)?;
    let store = config.state_dir.join(VOTER_STORE_FILE);
    let (id, state) = if join {
        (joining_id(name, rand::random()), PersistedState::default())
    } else {
        (voter_id(name), bootstrap(voters))
    };
    RedbStorage::create(&store, id, state).map_err(|source| CliError::Storage {
        path: store.clone(),
        source,
    })?;
    print(&format!("created {}\n", store.display()))
}
