//! A process that can be killed and frozen.
//!
//! Everything that a process does to the outside passes through [`Process::pass`]. A frozen process
//! is held there, so that what it had decided before the freeze happens after it, which is the worst
//! moment. A killed process is held there for ever.

use std::panic::AssertUnwindSafe;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use futures_util::FutureExt;
use tokio::sync::watch;
use tokio::task::AbortHandle;

static PANICS: AtomicU64 = AtomicU64::new(0);

/// Tasks of any process that have panicked, as they do on a violated program invariant.
#[must_use]
pub fn panics() -> u64 {
    PANICS.load(Ordering::Relaxed) + base::invariant::violations()
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Running,
    Frozen,
    Dead,
}

/// One process.
pub struct Process {
    state: watch::Sender<State>,
    tasks: Mutex<Vec<AbortHandle>>,
    was_frozen: AtomicBool,
}

impl Default for Process {
    fn default() -> Process {
        Process {
            state: watch::Sender::new(State::Running),
            tasks: Mutex::default(),
            was_frozen: AtomicBool::new(false),
        }
    }
}

impl Process {
    /// Completes when the process runs; never, when it is dead.
    pub async fn pass(&self) {
        let mut state = self.state.subscribe();
        // The sender lives as long as `self`.
        let _ = state.wait_for(|it| *it == State::Running).await;
    }

    /// Whether the process has been killed.
    #[must_use]
    pub fn is_dead(&self) -> bool {
        *self.state.borrow() == State::Dead
    }

    /// Whether the process is frozen.
    #[must_use]
    pub fn is_frozen(&self) -> bool {
        *self.state.borrow() == State::Frozen
    }

    /// Whether the process has ever been frozen.
    #[must_use]
    pub fn was_frozen(&self) -> bool {
        self.was_frozen.load(Ordering::Relaxed)
    }

    /// Completes when the process is killed.
    pub async fn died(&self) {
        let mut state = self.state.subscribe();
        let _ = state.wait_for(|it| *it == State::Dead).await;
    }

    /// Runs a task of the process.
    pub fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        let watched = async {
            if AssertUnwindSafe(task).catch_unwind().await.is_err() {
                PANICS.fetch_add(1, Ordering::Relaxed);
            }
        };
        let handle = tokio::spawn(watched).abort_handle();
        let mut tasks = self.tasks.lock().unwrap_or_else(PoisonError::into_inner);
        tasks.retain(|it| !it.is_finished());
        tasks.push(handle);
    }

    /// Kills the process.
    pub fn kill(&self) {
        self.state.send_replace(State::Dead);
        let mut tasks = self.tasks.lock().unwrap_or_else(PoisonError::into_inner);
        for task in tasks.drain(..) {
            task.abort();
        }
    }

    /// Freezes the process.
    pub fn freeze(&self) {
        self.was_frozen.store(true, Ordering::Relaxed);
        self.change(State::Running, State::Frozen);
    }

    /// Wakes a frozen process.
    pub fn thaw(&self) {
        self.change(State::Frozen, State::Running);
    }

    fn change(&self, from: State, to: State) {
        self.state.send_if_modified(|state| {
            let is_changed = *state == from;
            if is_changed {
                *state = to;
            }
            is_changed
        });
    }
}
