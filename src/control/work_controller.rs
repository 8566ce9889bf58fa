//! Carries out what the scheduler wants: verdicts to traffic, questions to stewards.

use std::collections::HashMap;
use std::sync::Arc;

use tokio::sync::{Notify, oneshot};

use crate::control::event::{WorkRequest, WorkVerdict};
use crate::control::peer_controller::PeerController;
use crate::ids::{AccountKey, EngineKey, RequestKey};
use crate::mono::MonoTime;
use crate::policy::refusal::RefusalReason;
use crate::policy::request_scheduler::{RequestScheduler, SchedulerStep};
use crate::policy::retry_budget::RetryBudget;
use crate::wire_convert::step_message;

/// Requests that wait for a verdict.
#[derive(Debug)]
pub struct WorkController {
    /// The queues and slots.
    pub scheduler: RequestScheduler,
    /// The budget for further attempts.
    pub retries: RetryBudget,
    replies: HashMap<RequestKey, oneshot::Sender<WorkVerdict>>,
    /// How to stop each request that waits or runs.
    stops: HashMap<RequestKey, Arc<Notify>>,
    accounts: HashMap<RequestKey, AccountKey>,
}

impl WorkController {
    /// A controller over a scheduler.
    pub fn new(scheduler: RequestScheduler, retries: RetryBudget) -> Self {
        Self {
            scheduler,
            retries,
            replies: HashMap::new(),
            stops: HashMap::new(),
            accounts: HashMap::new(),
        }
    }

    /// Takes a request into its queue, or refuses it.
    pub fn offer(&mut self, offer: WorkRequest) {
        let WorkRequest { item, stop, reply } = offer;
        let (request, account) = (item.request, item.account);
        self.retries.deposit();
        match self.scheduler.offer(item) {
            Ok(()) => {
                self.replies.insert(request, reply);
                self.stops.insert(request, stop);
                self.accounts.insert(request, account);
            }
            Err(refusal) => {
                let _ = reply.send(WorkVerdict::Refused(refusal));
            }
        }
    }

    /// Binds waiting requests and carries the steps out.
    pub fn dispatch(&mut self, now: MonoTime, peers: &PeerController) {
        let steps = self.scheduler.poll(now);
        self.carry_out(now, steps, peers);
    }

    /// Carries out steps.
    pub fn carry_out(&mut self, now: MonoTime, steps: Vec<SchedulerStep>, peers: &PeerController) {
        for step in steps {
            self.carry_out_one(now, step, peers);
        }
    }

    /// Takes back a request that gave its slot up and waits for its engine again.
    pub fn requeue_preempted(
        &mut self,
        now: MonoTime,
        request: RequestKey,
        reply: oneshot::Sender<WorkVerdict>,
        peers: &PeerController,
    ) {
        self.replies.insert(request, reply);
        if let Some(step) = self.scheduler.preempted(now, request) {
            self.carry_out_one(now, step, peers);
        }
    }

    /// Counts a request as ended.
    pub fn finish(&mut self, now: MonoTime, request: RequestKey, peers: &PeerController) {
        self.stops.remove(&request);
        if let Some(step) = self.scheduler.finish(now, request) {
            self.carry_out_one(now, step, peers);
        }
    }

    /// Forgets a request whose caller left while it waited.
    pub fn cancel(&mut self, request: RequestKey) {
        self.scheduler.cancel(request);
        self.stops.remove(&request);
        self.replies.remove(&request);
        self.accounts.remove(&request);
    }

    /// Refuses everything that waits.
    pub fn refuse_waiting(&mut self, now: MonoTime, reason: RefusalReason, peers: &PeerController) {
        let steps = self.scheduler.refuse_waiting(reason);
        self.carry_out(now, steps, peers);
    }

    /// Accounts with waiting requests, and how many.
    pub fn waiting_accounts(&self) -> HashMap<AccountKey, u32> {
        let mut counts = HashMap::new();
        for &account in self.accounts.values() {
            *counts.entry(account).or_insert(0) += 1;
        }
        counts
    }

    fn carry_out_one(&mut self, now: MonoTime, step: SchedulerStep, peers: &PeerController) {
        match step {
            SchedulerStep::Run { item, engine } => self.tell_run(now, item.request, engine, peers),
            SchedulerStep::Refuse { item, refusal } => {
                self.stops.remove(&item.request);
                if let Some(reply) = self.take_reply(item.request) {
                    let _ = reply.send(WorkVerdict::Refused(refusal));
                }
            }
            SchedulerStep::Preempt { request } => self.tell_stop(request),
            // A message that can't be sent is made good by a time limit or the next digest.
            SchedulerStep::RequestSlot { .. }
            | SchedulerStep::Release { .. }
            | SchedulerStep::Announce { .. } => {
                self.send(&step, peers);
            }
            SchedulerStep::Grant { router, .. } => {
                if !self.send(&step, peers) {
                    self.scheduler.grant_failed(now, router, &step);
                }
            }
        }
    }

    /// Sends the message of a step; false when it reached nobody.
    fn send(&self, step: &SchedulerStep, peers: &PeerController) -> bool {
        let Some(message) = step_message(&self.scheduler, step) else {
            return false;
        };
        match message.to {
            Some(vm) => peers.send(vm, message.body),
            None => peers.send_all(&message.body),
        }
    }

    fn tell_run(
        &mut self,
        now: MonoTime,
        request: RequestKey,
        engine: EngineKey,
        peers: &PeerController,
    ) {
        let told = self
            .take_reply(request)
            .is_some_and(|reply| reply.send(WorkVerdict::Run(engine)).is_ok());
        if !told {
            // The caller left between the queue and the engine.
            self.finish(now, request, peers);
        }
    }

    fn tell_stop(&self, request: RequestKey) {
        if let Some(stop) = self.stops.get(&request) {
            stop.notify_one();
        }
    }

    fn take_reply(&mut self, request: RequestKey) -> Option<oneshot::Sender<WorkVerdict>> {
        self.accounts.remove(&request);
        self.replies.remove(&request)
    }
}
