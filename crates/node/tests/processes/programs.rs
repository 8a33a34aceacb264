//! The node programs of this build and of the previous release, which the deploy file names.

use std::path::Path;
use std::path::PathBuf;
use std::process::Command;
use std::sync::OnceLock;

/// The program of this build.
pub(crate) fn current() -> PathBuf {
    PathBuf::from(env!("CARGO_BIN_EXE_catkinvane-node"))
}

/// The program of the previous release, built from the history of the repository.
pub(crate) fn previous() -> PathBuf {
    static PROGRAM: OnceLock<PathBuf> = OnceLock::new();
    PROGRAM.get_or_init(build_previous).clone()
}

/// Directory for what tests write.
pub(crate) fn target_dir() -> PathBuf {
    let program = current();
    let mut dirs = program.ancestors();
    dirs.nth(2).expect("a target directory").to_owned()
}

fn build_previous() -> PathBuf {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).ancestors().nth(2);
    let root = root.expect("a workspace");
    let deploy = std::fs::read_to_string(root.join("deploy/system.toml")).expect("a deploy file");
    let commit = deploy
        .lines()
        .find_map(|it| it.strip_prefix("production = "));
    let commit = commit.expect("a commit").trim().trim_matches('"');
    let dir = target_dir().join("previous").join(commit);
    let (source, target) = (dir.join("source"), dir.join("target"));
    std::fs::create_dir_all(&source).expect("a directory");
    let archive = dir.join("source.tar");
    run(Command::new("git")
        .current_dir(root)
        .args(["archive", commit, "-o"])
        .arg(&archive));
    run(Command::new("tar")
        .arg("-xf")
        .arg(&archive)
        .arg("-C")
        .arg(&source));
    run(Command::new(env!("CARGO"))
        .current_dir(&source)
        .args([
            "build",
            "--locked",
            "-p",
            "node",
            "--bin",
            "catkinvane-node",
            "--target-dir",
        ])
        .arg(&target));
    target.join("debug/catkinvane-node")
}

/// Runs a command to its end.
fn run(command: &mut Command) {
    let status = command.status().expect("a command that starts");
    assert!(status.success(), "{command:?}: {status}");
}
