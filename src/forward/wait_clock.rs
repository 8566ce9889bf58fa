//! Since when an attempt has waited for its upstream.

use std::cell::Cell;

use tokio::sync::Notify;

use crate::mono::MonoTime;

/// The wait of an attempt, set by the attempt and watched by its call.
#[derive(Debug, Default)]
pub struct WaitClock {
    /// When the attempt began to write the call. `None` while it connects.
    sent: Cell<Option<MonoTime>>,
    /// Start of the present wait for bytes.
    ///
    /// Invariant: `None` if and only if `sent` is.
    since: Cell<Option<MonoTime>>,
    /// When the latest bytes of the response arrived.
    heard: Cell<Option<MonoTime>>,
    changed: Notify,
}

impl WaitClock {
    /// Records that the call is written from now on.
    pub fn record_sent(&self, now: MonoTime) {
        self.sent.set(Some(now));
        self.begin_wait(now);
    }

    /// Records that the present wait began at `since`.
    pub fn begin_wait(&self, since: MonoTime) {
        self.since.set(Some(since));
        self.changed.notify_one();
    }

    pub fn sent(&self) -> Option<MonoTime> {
        self.sent.get()
    }

    pub fn since(&self) -> Option<MonoTime> {
        self.since.get()
    }

    /// Records that bytes of the response have arrived, which may not end the wait.
    pub fn record_bytes(&self, now: MonoTime) {
        self.heard.set(Some(now));
    }

    pub fn heard(&self) -> Option<MonoTime> {
        self.heard.get()
    }

    /// Waits for the start of another wait.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }
}
