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

/// Fields of `/proc/PID/stat`, counted from the one after the name.
const STAT_UTIME: usize = 11;
const STAT_STIME: usize = 12;
const STAT_RSS_PAGES: usize = 21;
const TICKS_PER_SECOND: f64 = 100.0;
const PAGE_BYTES: f64 = 4096.0;

/// What one or several processes have used.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    /// Processor time of all of them, in seconds.
    pub cpu_seconds: f64,
    /// Resident memory of the largest one, in MiB.
    pub max_rss_mib: f64,
}

impl Usage {
    /// Adds another process.
    pub fn add(&mut self, other: Usage) {
        self.cpu_seconds += other.cpu_seconds;
        self.max_rss_mib = self.max_rss_mib.max(other.max_rss_mib);
    }
}

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
            .stdout(log.try_clone()?)
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

    /// Whether the process has ended.
    pub fn has_exited(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    /// Processor time and memory so far.
    ///
    /// # Errors
    ///
    /// Fails when the process has ended.
    pub fn usage(&self) -> eyre::Result<Usage> {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id()))?;
        // The second field, in parentheses, may hold spaces.
        let fields = stat.rsplit(") ").next().unwrap_or_default();
        let fields: Vec<f64> = fields
            .split_whitespace()
            .map(|it| it.parse().unwrap_or_default())
            .collect();
        let field = |idx: usize| fields.get(idx).copied().unwrap_or_default();
        Ok(Usage {
            cpu_seconds: (field(STAT_UTIME) + field(STAT_STIME)) / TICKS_PER_SECOND,
            max_rss_mib: field(STAT_RSS_PAGES) * PAGE_BYTES / (1024.0 * 1024.0),
        })
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
