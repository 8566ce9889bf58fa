//! Life stages of a router, from its first configuration to the handover of its ticket ledger.

use std::time::Duration;

use crate::board::LifeStage;
use crate::control::control_loop::{ControlLoop, HANDOVER_TIMEOUT, LOCATOR_MARGIN};
use crate::mono::MonoTime;
use crate::wire::PeerBody;

impl ControlLoop {
    pub(super) fn start_drain(&mut self, now: MonoTime) {
        if matches!(self.stage, LifeStage::Starting | LifeStage::Serving) {
            self.set_stage(now, LifeStage::Draining);
            self.next_digest = now;
        }
    }

    pub(super) fn set_stage(&mut self, now: MonoTime, stage: LifeStage) {
        spdlog::info!("stage", kv: { stage = format!("{stage:?}").to_lowercase() });
        self.stage = stage;
        self.stage_since = now;
        self.parts.board.set_stage(stage);
        let _ = self.parts.stage.send(stage);
    }

    pub(super) fn advance_stage(&mut self, now: MonoTime) {
        match self.stage {
            LifeStage::Starting if self.parts.config.is_ready() => {
                self.set_stage(now, LifeStage::Serving);
            }
            LifeStage::Draining => {
                let response_lifetime = self
                    .bundle()
                    .map_or(Duration::ZERO, |bundle| bundle.rules.locator_answer.0);
                if now.since(self.stage_since) >= response_lifetime + LOCATOR_MARGIN {
                    self.set_stage(now, LifeStage::Closing);
                    self.parts.calls.seal();
                }
            }
            LifeStage::Closing => self.advance_closing(now),
            LifeStage::Starting | LifeStage::Serving | LifeStage::Stopped => {}
        }
    }

    /// Waits for requests in progress, then sends the ledger to the peers and waits until they have
    /// acknowledged it.
    pub(super) fn advance_closing(&mut self, now: MonoTime) {
        if let Some(handed_over_at) = self.handed_over_at {
            let peers = self.parts.peers.connected().len();
            let acked = self.parts.calls.acked_peers().len();
            if acked >= peers || now.since(handed_over_at) >= HANDOVER_TIMEOUT {
                spdlog::info!("ledger-handed-over", kv: { holders = acked, peers });
                self.set_stage(now, LifeStage::Stopped);
            }
            return;
        }
        let waiting: u32 = self.parts.work.scheduler.waiting().iter().sum();
        let busy = waiting > 0
            || self.parts.work.scheduler.running_len() > 0
            || self.parts.calls.running() > 0;
        let timed_out = now.since(self.stage_since) >= self.parts.drain_limit;
        if busy && !timed_out {
            return;
        }
        let handover = self.parts.calls.hand_over();
        for peer in self.parts.peers.connected() {
            self.parts
                .peers
                .send(peer, PeerBody::Ledger(handover.clone()));
        }
        self.handed_over_at = Some(now);
    }
}
