//! Reads of the store that calls have asked for, and what a failed one means.

use std::time::Duration;

use super::ControlState;
use crate::fleet::store_view::DocumentCodec;
use crate::forward_control::store_task::StoreCommand;
use crate::mono::MonoTime;
use crate::policy::store_checks::CheckNumber;

/// Time after a failed read of the store in which other routers pass no take-ups on to this one. A router
/// of a fleet of a hundred hears of another one about as often.
const LACK_SPAN: Duration = Duration::from_secs(10);

impl<C: DocumentCodec> ControlState<C> {
    /// The wait until the next check of the store that calls have asked for is to begin.
    pub fn check_wait(&self) -> Option<Duration> {
        let routers = self.members.fleet_size();
        let next_at = self.board.store_checks().next_at(routers)?;
        Some(next_at.since(self.now()))
    }

    /// Begins a check of the store.
    pub fn begin_check(&self) -> StoreCommand {
        StoreCommand::Check {
            number: self.board.store_checks().begin(self.now()),
            known: self.check_stamp(),
        }
    }

    /// Has the calls that wait for a check look again.
    pub(super) fn end_check(&mut self, number: CheckNumber, is_confirmed: bool) {
        let now = self.now();
        self.publish_versions(now);
        let is_reliable = self.board.store_checks().finish(number, is_confirmed, now);
        if !is_reliable {
            self.record_store_lack(now);
        }
        let outcome = if is_confirmed { "confirmed" } else { "failed" };
        self.telemetry
            .store_checks
            .with_label_values(&[outcome])
            .inc();
        self.count_merged_streams();
    }

    /// Whether this router has lately failed to read the store.
    pub(super) fn lacks_store(&self, now: MonoTime) -> bool {
        now < self.lacks_store_until
    }

    /// Records that this router failed to read the store.
    pub(super) fn record_store_lack(&mut self, now: MonoTime) {
        self.lacks_store_until = now + LACK_SPAN;
    }
}
