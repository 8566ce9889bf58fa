//! The stages of a router's life, from its first configuration to the handover of its ledger.

use std::time::Duration;

use crate::board::LifeStage;
use crate::control::control_loop::{ControlLoop, HANDOVER_LIMIT, LOCATOR_MARGIN};
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
            LifeStage::Starting if self.parts.config.is_settled() => {
                self.set_stage(now, LifeStage::Serving);
            }
            LifeStage::Draining => {
                let kept = self
                    .bundle()
                    .map_or(Duration::ZERO, |bundle| bundle.rules.locator_answer.0);
                if now.since(self.stage_since) >= kept + LOCATOR_MARGIN {
                    self.set_stage(now, LifeStage::Closing);
                    self.parts.calls.seal();
                }
            }
            LifeStage::Closing => self.advance_closing(now),
            LifeStage::Starting | LifeStage::Serving | LifeStage::Stopped => {}
        }
    }

    /// Waits for requests in progress, then for the handover of the ledger.
    pub(super) fn advance_closing(&mut self, now: MonoTime) {
        if let Some(handed_over) = self.handed_over {
            let peers = self.parts.peers.connected().len();
            let held = self.parts.calls.acked_peers().len();
            if held >= peers || now.since(handed_over) >= HANDOVER_LIMIT {
                spdlog::info!("ledger-handed-over", kv: { holders = held, peers });
                self.set_stage(now, LifeStage::Stopped);
            }
            return;
        }
        let waiting: u32 = self.parts.work.scheduler.waiting().iter().sum();
        let busy = waiting > 0
            || self.parts.work.scheduler.running_len() > 0
            || self.parts.calls.running() > 0;
        let late = now.since(self.stage_since) >= self.parts.drain_limit;
        if busy && !late {
            return;
        }
        let handover = self.parts.calls.hand_over();
        for peer in self.parts.peers.connected() {
            self.parts
                .peers
                .send(peer, PeerBody::Ledger(handover.clone()));
        }
        self.handed_over = Some(now);
    }
}
