//! Runs a case of the second review: `cases NUMBER FOLDER`, from the root of the repository. Exit code 1 if the rule was
//! broken, 0 if it held, 2 if the case could not run. With `TROUBLE=0` the disruption is left out.

mod agents;
mod http;
mod processes;
mod record;
mod stand_ins;

#[path = "../10/case.rs"]
mod case_10;
#[path = "../6/case.rs"]
mod case_6;
#[path = "../7/case.rs"]
mod case_7;
#[path = "../8/case.rs"]
mod case_8;
#[path = "../9/case.rs"]
mod case_9;

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use record::Record;

/// What a case needs.
pub struct Setup {
    pub record: Record,
    /// A temporary folder, removed at the end.
    pub folder: PathBuf,
    /// Whether the disruption takes place.
    pub trouble: bool,
}

/// Whether the rule held; `Err` if the case could not run.
pub type Verdict = Result<bool, String>;

fn run(number: &str, case_folder: &Path) -> Verdict {
    let record = Record::create(&case_folder.join("record.txt")).map_err(|e| e.to_string())?;
    let folder = std::env::temp_dir().join(format!("review-{number}-{}", std::process::id()));
    std::fs::create_dir_all(&folder).map_err(|e| e.to_string())?;
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let setup = Setup {
        record: record.clone(),
        folder: folder.clone(),
        trouble,
    };
    record.say(format!("case {number}, trouble: {trouble}"));
    let case = match number {
        "6" => case_6::run,
        "7" => case_7::run,
        "8" => case_8::run,
        "9" => case_9::run,
        "10" => case_10::run,
        _ => return Err(format!("no case {number}")),
    };
    // A panic of the case is no verdict either; the processes end as their owners are dropped.
    let verdict = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| case(&setup)))
        .unwrap_or_else(|_| Err("the case panicked".to_owned()));
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(&folder);
    }
    record.say(match &verdict {
        Ok(true) => "the rule held".to_owned(),
        Ok(false) => "the rule was broken".to_owned(),
        Err(why) => format!("the case could not run: {why}"),
    });
    verdict
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, number, folder] = arguments.as_slice() else {
        eprintln!("usage: cases NUMBER FOLDER");
        return ExitCode::from(2);
    };
    match run(number, Path::new(folder)) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(_) => ExitCode::from(2),
    }
}
