//! Supervisor tree: every task has a parent and a restart policy, and ends with its parent.
//!
//! A supervisor owns its tasks. A task that ends although it should run is restarted after a
//! delay; too many restarts within a window end the supervisor, which its parent observes.

pub mod daemon;

use std::future::Future;
use std::pin::Pin;
use std::time::Duration;

use telemetry::Telemetry;
use tokio::task::JoinSet;
use tokio::time::Instant;

const RESTART_DELAY: Duration = Duration::from_millis(200);
const RESTART_WINDOW: Duration = Duration::from_secs(30);
const RESTARTS_PER_WINDOW: usize = 10;

/// What to do when a task ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum RestartPolicy {
    /// Start it again.
    Always,
    /// Its end ends the whole process.
    Never,
}

/// Why a supervisor ended before it was told to stop.
#[derive(Debug, strum::Display)]
pub enum Error {
    /// A task with [`RestartPolicy::Never`] ended.
    #[strum(to_string = "task {0} ended")]
    TaskEnded(&'static str),
    /// A task failed too often.
    #[strum(to_string = "task {0} restarts too often")]
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

/// A node of the tree.
pub struct Supervisor {
    telemetry: Telemetry,
    children: Vec<Child>,
    tasks: JoinSet<usize>,
}

impl Supervisor {
    /// An empty supervisor.
    #[must_use]
    pub fn new(telemetry: Telemetry) -> Supervisor {
        Supervisor {
            telemetry,
            children: Vec::new(),
            tasks: JoinSet::new(),
        }
    }

    /// Starts a task and keeps its factory for restarts.
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

    /// Runs until `graceful_shutdown`, which performs the graceful part of the stop, completes; then cancels
    /// the tasks.
    ///
    /// # Errors
    ///
    /// Fails when a task ends for good before it.
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
            // `run_catching_panics` catches panics; only an aborted task ends here.
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
        if child.restarts.len() > RESTARTS_PER_WINDOW {
            return Err(Error::RestartLimit(child.name));
        }
        tokio::time::sleep(RESTART_DELAY).await;
        self.start(idx);
        Ok(())
    }
}

/// Runs `task` and returns its index also when it panics.
async fn run_catching_panics(idx: usize, task: Task) -> usize {
    use futures_util::FutureExt;
    let _ = std::panic::AssertUnwindSafe(task).catch_unwind().await;
    idx
}

/// Completes on SIGTERM or SIGINT.
///
/// # Errors
///
/// Fails when the signal handlers cannot be installed.
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
