//! Carries out the steps of the scheduler: sends verdicts to the traffic threads and slot messages
//! to other routers.

use std::collections::HashMap;
use std::sync::Arc;

use tokio::sync::{Notify, oneshot};

use crate::control::event::{EngineRun, WorkRequest, WorkVerdict};
use crate::control::peer_controller::PeerController;
use crate::ids::{AccountKey, EngineKey, RequestKey};
use crate::mono::MonoTime;
use crate::policy::refusal::RefusalReason;
use crate::policy::request_scheduler::{RequestScheduler, SchedulerStep};
use crate::policy::retry_budget::RetryBudget;
use crate::wire_convert::step_message;

/// Connects the request scheduler to the traffic threads and to the peers.
#[derive(Debug)]
pub struct WorkController {
    /// Queues of waiting requests and the slots of the engines.
    pub scheduler: RequestScheduler,
    /// Budget for retries after failed attempts.
    pub retries: RetryBudget,
    /// Channels for the verdicts on the waiting requests.
    replies: HashMap<RequestKey, oneshot::Sender<WorkVerdict>>,
    /// Preemption signals of the running requests, one for each run.
    preempt_signals: HashMap<RequestKey, Arc<Notify>>,
    /// Accounts of the waiting requests, without preempted ones.
    accounts: HashMap<RequestKey, AccountKey>,
}

impl WorkController {
    /// Creates a controller without requests.
    pub fn new(scheduler: RequestScheduler, retries: RetryBudget) -> Self {
        Self {
            scheduler,
            retries,
            replies: HashMap::new(),
            preempt_signals: HashMap::new(),
            accounts: HashMap::new(),
        }
    }

    /// Queues a request, or refuses it at once.
    pub fn submit(&mut self, work_request: WorkRequest) {
        let WorkRequest { item, reply } = work_request;
        let (request, account) = (item.request, item.account);
        if !item.is_retry() {
            self.retries.deposit();
        }
        match self.scheduler.offer(item) {
            Ok(()) => {
                self.replies.insert(request, reply);
                self.accounts.insert(request, account);
            }
            Err(refusal) => {
                let _ = reply.send(WorkVerdict::Refused(refusal));
            }
        }
    }

    /// Assigns waiting requests to free slots and carries out the resulting steps.
    pub fn dispatch(&mut self, now: MonoTime, peers: &PeerController) {
        let steps = self.scheduler.poll(now);
        self.carry_out(now, steps, peers);
    }

    /// Carries out steps of the scheduler in order.
    pub fn carry_out(&mut self, now: MonoTime, steps: Vec<SchedulerStep>, peers: &PeerController) {
        for step in steps {
            self.carry_out_one(now, step, peers);
        }
    }

    /// Requeues a preempted request, which waits for a slot of the same engine.
    pub fn requeue_preempted(
        &mut self,
        now: MonoTime,
        request: RequestKey,
        reply: oneshot::Sender<WorkVerdict>,
        peers: &PeerController,
    ) {
        self.preempt_signals.remove(&request);
        self.replies.insert(request, reply);
        if let Some(step) = self.scheduler.preempted(now, request) {
            self.carry_out_one(now, step, peers);
        }
    }

    /// Ends a request and frees its slot.
    pub fn finish(&mut self, now: MonoTime, request: RequestKey, peers: &PeerController) {
        self.preempt_signals.remove(&request);
        if let Some(step) = self.scheduler.finish(now, request) {
            self.carry_out_one(now, step, peers);
        }
    }

    /// Removes a waiting request whose caller disconnected.
    pub fn cancel(&mut self, request: RequestKey) {
        self.scheduler.cancel(request);
        self.replies.remove(&request);
        self.accounts.remove(&request);
    }

    /// Refuses all waiting requests with `reason`, except preempted ones.
    pub fn refuse_waiting(&mut self, now: MonoTime, reason: RefusalReason, peers: &PeerController) {
        let steps = self.scheduler.refuse_waiting(reason);
        self.carry_out(now, steps, peers);
    }

    /// Counts the waiting requests by account, without preempted ones.
    pub fn waiting_accounts(&self) -> HashMap<AccountKey, u32> {
        let mut counts = HashMap::new();
        for &account in self.accounts.values() {
            *counts.entry(account).or_insert(0) += 1;
        }
        counts
    }

    fn carry_out_one(&mut self, now: MonoTime, step: SchedulerStep, peers: &PeerController) {
        match step {
            SchedulerStep::Run { item, engine } => self.send_run(now, item.request, engine, peers),
            SchedulerStep::Refuse { item, refusal } => {
                if let Some(reply) = self.take_reply(item.request) {
                    let _ = reply.send(WorkVerdict::Refused(refusal));
                }
            }
            SchedulerStep::Preempt { request } => self.signal_preemption(request),
            // No retry if sending fails: a time limit or the next digest compensates for it.
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

    /// Sends the message of a step. Returns `false` if it was sent to no peer.
    fn send(&self, step: &SchedulerStep, peers: &PeerController) -> bool {
        let Some(message) = step_message(&self.scheduler, step) else {
            return false;
        };
        match message.to {
            Some(vm) => peers.send(vm, message.body),
            None => peers.send_all(&message.body),
        }
    }

    fn send_run(
        &mut self,
        now: MonoTime,
        request: RequestKey,
        engine: EngineKey,
        peers: &PeerController,
    ) {
        let preempt_signal = Arc::new(Notify::new());
        let run = EngineRun {
            engine,
            preempt_signal: Arc::clone(&preempt_signal),
        };
        let delivered = self
            .take_reply(request)
            .is_some_and(|reply| reply.send(WorkVerdict::Run(run)).is_ok());
        if delivered {
            self.preempt_signals.insert(request, preempt_signal);
        } else {
            // The caller disconnected before its request was assigned to the engine.
            self.finish(now, request, peers);
        }
    }

    fn signal_preemption(&self, request: RequestKey) {
        if let Some(signal) = self.preempt_signals.get(&request) {
            signal.notify_one();
        }
    }

    fn take_reply(&mut self, request: RequestKey) -> Option<oneshot::Sender<WorkVerdict>> {
        self.accounts.remove(&request);
        self.replies.remove(&request)
    }
}
