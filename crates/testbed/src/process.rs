//! Child processes that never outlive their owner.

use std::fs::File;
use std::path::Path;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::time::Duration;
use std::time::Instant;

use eyre::WrapErr;
use rustix::process::Pid;
use rustix::process::Signal;

const WAIT_POLL: Duration = Duration::from_millis(20);

/// A daemon that is killed when it is dropped.
pub struct Daemon {
    /// Name of its log.
    pub name: String,
    child: Child,
}

impl Daemon {
    /// Starts `program` with its log in `dir`.
    ///
    /// # Errors
    ///
    /// Fails when the program or its log cannot be opened.
    pub fn start(name: &str, program: &Path, settings: &Path, dir: &Path) -> eyre::Result<Daemon> {
        let log = File::create(dir.join(format!("{name}.log")))?;
        let child = Command::new(program)
            .arg("--settings")
            .arg(settings)
            .stderr(log)
            .spawn()
            .wrap_err_with(|| format!("cannot start {}", program.display()))?;
        Ok(Daemon {
            name: name.to_owned(),
            child,
        })
    }

    /// Sends a signal.
    ///
    /// # Errors
    ///
    /// Fails when the process has ended.
    pub fn signal(&self, signal: Signal) -> eyre::Result<()> {
        let pid = Pid::from_child(&self.child);
        rustix::process::kill_process(pid, signal)?;
        Ok(())
    }

    /// Waits for the end of the process; `None` when it still runs after `timeout`.
    ///
    /// # Errors
    ///
    /// Fails when the process cannot be waited for.
    pub fn wait(&mut self, timeout: Duration) -> eyre::Result<Option<ExitStatus>> {
        let deadline = Instant::now() + timeout;
        loop {
            if let Some(status) = self.child.try_wait()? {
                return Ok(Some(status));
            }
            if Instant::now() >= deadline {
                return Ok(None);
            }
            std::thread::sleep(WAIT_POLL);
        }
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        // Both fail only when the process has ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
