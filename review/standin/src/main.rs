//! Cases of the review: small deployments of the system's own processes on loopback, with stand-ins
//! for its clients, its replicas and the platform's store.

mod cases;
mod http;
mod json;
mod node;
mod record;
mod replica;
mod store;

use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;

use crate::cases::Verdict;
use crate::record::Record;

fn main() -> ExitCode {
    let mut args = std::env::args().skip(1);
    let (Some(name), Some(folder)) = (args.next(), args.next()) else {
        eprintln!("usage: review-case NAME FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |it| it != "0");
    let record = match Record::create(&Path::new(&folder).join("record.txt")) {
        Ok(record) => Arc::new(record),
        Err(err) => {
            eprintln!("no record: {err}");
            return ExitCode::from(2);
        }
    };
    record.note(&format!("case {name}, trouble {has_trouble}"));
    match cases::run(&name, &record, has_trouble) {
        Ok(Verdict::Held(text)) => {
            record.note(&format!("held: {text}"));
            ExitCode::SUCCESS
        }
        Ok(Verdict::Broken(text)) => {
            record.note(&format!("broken: {text}"));
            ExitCode::from(1)
        }
        Err(err) => {
            record.note(&format!("could not run: {err}"));
            ExitCode::from(2)
        }
    }
}
