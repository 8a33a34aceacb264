//! Child processes that are killed when their handle is dropped.

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

const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Indices of the fields of `/proc/PID/stat`, counted from the field after the process name.
const STAT_UTIME: usize = 11;
const STAT_STIME: usize = 12;
const STAT_RSS_PAGES: usize = 21;
const TICKS_PER_SECOND: f64 = 100.0;
const PAGE_BYTES: f64 = 4096.0;

/// Resource usage of one or more processes.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    /// Total CPU time in seconds, user and system.
    pub cpu_seconds: f64,
    /// Largest resident set size of any process, in MiB.
    pub max_rss_mib: f64,
}

impl Usage {
    /// Adds the usage of other processes.
    pub fn add(&mut self, other: Usage) {
        self.cpu_seconds += other.cpu_seconds;
        self.max_rss_mib = self.max_rss_mib.max(other.max_rss_mib);
    }
}

/// A daemon process, killed when this handle is dropped.
pub struct Daemon {
    /// Name of the daemon and, with the extension `.log`, of its log file.
    pub name: String,
    child: Child,
}

impl Daemon {
    /// Starts `program` with the settings file `settings`; writes its output to `NAME.log` in
    /// `dir`.
    ///
    /// # Errors
    ///
    /// Fails if the program cannot be started or the log file cannot be created.
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

    /// Sends a signal to the process.
    ///
    /// # Errors
    ///
    /// Fails if the process has exited.
    pub fn signal(&self, signal: Signal) -> eyre::Result<()> {
        let pid = Pid::from_child(&self.child);
        rustix::process::kill_process(pid, signal)?;
        Ok(())
    }

    /// Whether the process has exited or its state cannot be determined.
    pub fn has_exited(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    /// Returns the CPU time used so far and the current resident set size.
    ///
    /// # Errors
    ///
    /// Fails if the process has exited.
    pub fn usage(&self) -> eyre::Result<Usage> {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id()))?;
        // The second field, the process name in parentheses, may contain spaces.
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

    /// Returns the largest resident set size so far, in bytes.
    ///
    /// # Errors
    ///
    /// Fails if the process has exited.
    pub fn peak_memory(&self) -> eyre::Result<u64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()))?;
        let line = status.lines().find_map(|it| it.strip_prefix("VmHWM:"));
        let kib = line.and_then(|it| it.trim().strip_suffix(" kB"));
        let kib = kib.ok_or_else(|| eyre::eyre!("no peak in the status of {}", self.name))?;
        Ok(kib.trim().parse::<u64>()? * 1024)
    }

    /// Returns the number of open sockets and pipes.
    ///
    /// # Errors
    ///
    /// Fails if the process has exited.
    pub fn open_sockets(&self) -> eyre::Result<usize> {
        let entries = std::fs::read_dir(format!("/proc/{}/fd", self.child.id()))?;
        let targets = entries.filter_map(|it| std::fs::read_link(it.ok()?.path()).ok());
        let is_socket = |target: &std::path::PathBuf| {
            let target = target.to_string_lossy();
            target.starts_with("socket:") || target.starts_with("pipe:")
        };
        Ok(targets.filter(is_socket).count())
    }

    /// Waits for the process to exit; returns `None` if it still runs after `timeout`.
    ///
    /// # Errors
    ///
    /// Fails if the process cannot be waited for.
    pub fn wait(&mut self, timeout: Duration) -> eyre::Result<Option<ExitStatus>> {
        let deadline = Instant::now() + timeout;
        loop {
            if let Some(status) = self.child.try_wait()? {
                return Ok(Some(status));
            }
            if Instant::now() >= deadline {
                return Ok(None);
            }
            std::thread::sleep(EXIT_POLL_INTERVAL);
        }
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        // Both calls fail only if the process has already exited.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
