//! A simulated process that can be killed and frozen.
//!
//! A process awaits [`Process::wait_until_running`] before every external effect. The effects that
//! a frozen process decided on before the freeze are thus delayed until it thaws, which is the
//! worst case. A killed process waits forever.

use std::panic::AssertUnwindSafe;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use futures_util::FutureExt;
use tokio::sync::watch;
use tokio::task::AbortHandle;

static PANIC_COUNT: AtomicU64 = AtomicU64::new(0);

/// Number of tasks of all simulated processes that have panicked, and of violated invariants.
#[must_use]
pub fn panic_count() -> u64 {
    PANIC_COUNT.load(Ordering::Relaxed) + base::invariant::violations()
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Running,
    Frozen,
    Dead,
}

/// A simulated process: a set of tasks and whether they may have external effects.
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
    /// Waits until the process is neither frozen nor killed; forever if it has been killed.
    pub async fn wait_until_running(&self) {
        let mut state = self.state.subscribe();
        // Cannot fail: the sender lives as long as `self`.
        let _ = state.wait_for(|it| *it == State::Running).await;
    }

    /// Returns whether the process has been killed.
    #[must_use]
    pub fn is_dead(&self) -> bool {
        *self.state.borrow() == State::Dead
    }

    /// Returns whether the process is frozen.
    #[must_use]
    pub fn is_frozen(&self) -> bool {
        *self.state.borrow() == State::Frozen
    }

    /// Returns whether the process has ever been frozen.
    #[must_use]
    pub fn was_frozen(&self) -> bool {
        self.was_frozen.load(Ordering::Relaxed)
    }

    /// Waits until the process is killed.
    pub async fn wait_until_killed(&self) {
        let mut state = self.state.subscribe();
        let _ = state.wait_for(|it| *it == State::Dead).await;
    }

    /// Spawns a task that is aborted when the process is killed, and counts it if it panics.
    pub fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        let guarded_task = async {
            if AssertUnwindSafe(task).catch_unwind().await.is_err() {
                PANIC_COUNT.fetch_add(1, Ordering::Relaxed);
            }
        };
        let handle = tokio::spawn(guarded_task).abort_handle();
        let mut tasks = self.tasks.lock().unwrap_or_else(PoisonError::into_inner);
        tasks.retain(|it| !it.is_finished());
        tasks.push(handle);
    }

    /// Kills the process and aborts its tasks.
    pub fn kill(&self) {
        self.state.send_replace(State::Dead);
        let mut tasks = self.tasks.lock().unwrap_or_else(PoisonError::into_inner);
        for task in tasks.drain(..) {
            task.abort();
        }
    }

    /// Freezes the process if it is running.
    pub fn freeze(&self) {
        self.was_frozen.store(true, Ordering::Relaxed);
        self.transition(State::Running, State::Frozen);
    }

    /// Lets the process run again if it is frozen.
    pub fn thaw(&self) {
        self.transition(State::Frozen, State::Running);
    }

    /// Changes the state to `to` if it is `from`.
    fn transition(&self, from: State, to: State) {
        self.state.send_if_modified(|state| {
            let is_changed = *state == from;
            if is_changed {
                *state = to;
            }
            is_changed
        });
    }
}
