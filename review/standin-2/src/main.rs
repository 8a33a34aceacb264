//! Scripts of the second independent review: `review-standin-2 CASE DIR` runs a case, writes its
//! record into DIR and exits with 1 if the rule was broken, 0 if it held and 2 if the case could not
//! run.

mod crash_again;
mod crash_host;
mod crash_later;
mod crowd;
mod full;
mod http;
mod json;
mod node;
mod record;
mod replica;
mod site;
mod store;
mod turned_away;

use std::path::Path;
use std::process::ExitCode;

use record::Record;
use site::Failure;
use site::Site;

/// Outcome of a case that has run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Held,
    Broken,
}

fn run(case: &str, dir: &Path, has_trouble: bool) -> Result<Verdict, Failure> {
    let record = Record::create(dir)?;
    let mut site = Site::start(record)?;
    let verdict = match case {
        "crash-later" => crash_later::run(&mut site, has_trouble)?,
        "crowd" => crowd::run(&mut site, has_trouble)?,
        "turned-away" => turned_away::run(&mut site, has_trouble)?,
        "full" => full::run(&mut site, has_trouble)?,
        "crash-again" => crash_again::run(&mut site, has_trouble)?,
        "crash-host" => crash_host::run(&mut site, has_trouble)?,
        _ => return Err(format!("there is no case {case}").into()),
    };
    site.record.line(&format!("verdict: {verdict:?}"));
    Ok(verdict)
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, dir] = args.as_slice() else {
        eprintln!("usage: review-standin-2 CASE DIR");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    match run(case, Path::new(dir), has_trouble) {
        Ok(Verdict::Held) => ExitCode::from(0),
        Ok(Verdict::Broken) => ExitCode::from(1),
        Err(err) => {
            eprintln!("{case}: {err}");
            ExitCode::from(2)
        }
    }
}
