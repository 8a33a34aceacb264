//! Supervision of the long-running tasks of a process.
//!
//! A supervisor owns its tasks and cancels them when it ends. A task that ends early is restarted
//! after a delay, according to its restart policy. Too many restarts within a time window end the
//! supervisor with an error.

pub mod daemon;

use std::future::Future;
use std::pin::Pin;
use std::time::Duration;

use telemetry::Telemetry;
use tokio::task::JoinSet;
use tokio::time::Instant;

const RESTART_DELAY: Duration = Duration::from_millis(200);
const RESTART_WINDOW: Duration = Duration::from_secs(30);
const RESTARTS_PER_WINDOW_MAX: usize = 10;

/// What the supervisor does if a task ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum RestartPolicy {
    /// Restart the task.
    Always,
    /// Stop all tasks and return an error.
    Never,
}

/// Why a supervisor ended before its shutdown.
#[derive(Debug, strum::Display)]
pub enum Error {
    /// A task with [`RestartPolicy::Never`] ended.
    #[strum(to_string = "task {0} ended unexpectedly")]
    TaskEnded(&'static str),
    /// A task ended more often within a time window than the restart limit allows.
    #[strum(to_string = "task {0} exceeded the restart limit")]
    RestartLimit(&'static str),
}

impl std::error::Error for Error {}

type Task = Pin<Box<dyn Future<Output = ()> + Send>>;
type Factory = Box<dyn FnMut() -> Task + Send>;

struct Child {
    name: &'static str,
    restart: RestartPolicy,
    factory: Factory,
    restarts: Vec<Instant>,
}

/// Runs tasks and restarts those that end.
pub struct Supervisor {
    telemetry: Telemetry,
    children: Vec<Child>,
    tasks: JoinSet<usize>,
}

impl Supervisor {
    /// Creates a supervisor without tasks.
    #[must_use]
    pub fn new(telemetry: Telemetry) -> Supervisor {
        Supervisor {
            telemetry,
            children: Vec::new(),
            tasks: JoinSet::new(),
        }
    }

    /// Starts a task, which `factory` creates again on each restart.
    pub fn spawn<F>(
        &mut self,
        name: &'static str,
        restart: RestartPolicy,
        mut factory: impl FnMut() -> F + Send + 'static,
    ) where
        F: Future<Output = ()> + Send + 'static,
    {
        self.children.push(Child {
            name,
            restart,
            factory: Box::new(move || Box::pin(factory())),
            restarts: Vec::new(),
        });
        self.start(self.children.len() - 1);
    }

    /// Supervises the tasks until `graceful_shutdown` completes, then cancels them. That future
    /// waits for the shutdown signal and performs the graceful part of the shutdown.
    ///
    /// # Errors
    ///
    /// Fails if a task with [`RestartPolicy::Never`] ends, or a task exceeds the restart limit,
    /// before that.
    pub async fn run(mut self, graceful_shutdown: impl Future<Output = ()>) -> Result<(), Error> {
        let outcome = {
            let mut graceful_shutdown = std::pin::pin!(graceful_shutdown);
            loop {
                tokio::select! {
                    biased;
                    () = &mut graceful_shutdown => break Ok(()),
                    Some(ended) = self.tasks.join_next_with_id() => {
                        if let Err(err) = self.handle_task_end(ended).await {
                            break Err(err);
                        }
                    }
                }
            }
        };
        self.tasks.shutdown().await;
        outcome
    }

    fn start(&mut self, idx: usize) {
        let task = (self.children[idx].factory)();
        self.tasks.spawn(run_catching_panics(idx, task));
    }

    async fn handle_task_end(
        &mut self,
        ended: Result<(tokio::task::Id, usize), tokio::task::JoinError>,
    ) -> Result<(), Error> {
        let Ok((_, idx)) = ended else {
            // Only for aborted tasks: `run_catching_panics` catches panics.
            return Ok(());
        };
        let child = &mut self.children[idx];
        slog::warn!(self.telemetry.logger(), "task_ended"; "task" => child.name);
        if child.restart == RestartPolicy::Never {
            return Err(Error::TaskEnded(child.name));
        }
        let now = Instant::now();
        child.restarts.retain(|at| now - *at < RESTART_WINDOW);
        child.restarts.push(now);
        if child.restarts.len() > RESTARTS_PER_WINDOW_MAX {
            return Err(Error::RestartLimit(child.name));
        }
        tokio::time::sleep(RESTART_DELAY).await;
        self.start(idx);
        Ok(())
    }
}

/// Runs `task` and returns its index `idx`, even if the task panics.
async fn run_catching_panics(idx: usize, task: Task) -> usize {
    use futures_util::FutureExt;
    let _ = std::panic::AssertUnwindSafe(task).catch_unwind().await;
    idx
}

/// Installs handlers for SIGTERM and SIGINT; the returned future completes on either signal.
///
/// # Errors
///
/// Fails if the signal handlers cannot be installed.
pub fn shutdown_signal() -> std::io::Result<impl Future<Output = ()>> {
    use tokio::signal::unix;
    let mut terminate = unix::signal(unix::SignalKind::terminate())?;
    let mut interrupt = unix::signal(unix::SignalKind::interrupt())?;
    Ok(async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
    })
}
