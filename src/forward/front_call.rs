//! One call: its attempts at upstreams until there is an answer for the caller.

mod attempt;

use std::borrow::Cow;
use std::rc::Rc;

use bytes::Bytes;

use crate::dialect::{EdgeDialect, PromptPrefix};
use crate::forward::choice_record::ChoiceNote;
use crate::forward::event_reader::EventReader;
use crate::forward::traffic_state::{TrafficState, UpstreamGuard};
use crate::forward::upstream_response::{CallPlan, OpenStream, UpstreamResponse};
use crate::forward::wait_limits::CallWait;
use crate::ids::{ServiceId, UpstreamKey};
use crate::mono::MonoTime;
use crate::policy::call_attempts::{AttemptFault, CallAttempts, CallFailure, NextStep, RunVerdict};
use crate::route::PriorityRank;

/// A call in progress.
pub struct FrontCall<D: EdgeDialect> {
    state: Rc<TrafficState<D>>,
    plan: CallPlan,
    service: ServiceId,
    attempts: CallAttempts,
    /// Upstreams that said or showed that they can't take the call.
    tried: Vec<UpstreamKey>,
    /// Upstreams that failed the call, and get it again only when no other is left.
    doubted: Vec<UpstreamKey>,
    /// Shared parts of the prompt, where upstreams cache them.
    prompt: Option<PromptPrefix>,
    reader: EventReader,
    first_event: Option<MonoTime>,
    /// The latest choice of an upstream, for the log.
    choice: Option<ChoiceNote>,
    ended: bool,
}

impl<D: EdgeDialect> FrontCall<D> {
    /// A call without attempts.
    pub fn new(state: Rc<TrafficState<D>>, plan: CallPlan) -> Self {
        let service = plan.route.pick_service(state.draw()).clone();
        state.count_call(&service);
        let prompt = plan
            .head
            .shared_prefix()
            .filter(|_| plan.route.cached_prompts);
        Self {
            prompt,
            attempts: CallAttempts::new(plan.route.kind, plan.route.max_attempts),
            reader: EventReader::new(plan.head.resume_after),
            service,
            state,
            plan,
            tried: Vec::new(),
            doubted: Vec::new(),
            first_event: None,
            choice: None,
            ended: false,
        }
    }

    /// Makes attempts until one brings an answer for the caller.
    pub async fn answer(&mut self) -> Result<UpstreamResponse<D>, CallFailure> {
        loop {
            let Some(guard) = self.pick() else {
                return Err(self.attempts.exhausted(self.in_time()));
            };
            let began = self.state.now();
            let key = guard.key;
            self.choice = Some(ChoiceNote {
                upstream: guard.entry.id.clone(),
                load: guard.load,
                belief_ms: self.state.store_age_ms(),
                kept: false,
                source: None,
            });
            match self.attempt(guard).await {
                Ok(answer) => return Ok(answer),
                Err(fault) => match self.after(key, fault, began) {
                    NextStep::Retry => {}
                    NextStep::Fail(failure) => return Err(failure),
                },
            }
        }
    }

    /// The next events of a stream, from another upstream where the first one fails and the
    /// route allows that; none at the end.
    pub async fn next_events(
        &mut self,
        stream: &mut Option<OpenStream<D>>,
    ) -> Result<Option<Bytes>, CallFailure> {
        loop {
            let Some(open) = stream.as_mut() else {
                return Ok(None);
            };
            if open.ended {
                if let Some(open) = stream.take() {
                    self.release(open.source);
                }
                return Ok(None);
            }
            let began = self.state.now();
            let key = open.source.guard.key;
            match self
                .read_events(&mut open.source, CallWait::next(&self.plan.route))
                .await
            {
                Ok((events, ended)) => {
                    open.ended = ended;
                    if !events.is_empty() {
                        return Ok(Some(events));
                    }
                }
                Err(fault) => {
                    // The upstream must stop before another one goes on.
                    *stream = None;
                    self.reader.restart();
                    match self.after(key, fault, began) {
                        NextStep::Fail(failure) => return Err(failure),
                        NextStep::Retry => *stream = Some(self.resume().await?),
                    }
                    if let Some(events) = take_first(stream) {
                        return Ok(Some(events));
                    }
                }
            }
        }
    }

    /// Goes on with a stream at another upstream.
    async fn resume(&mut self) -> Result<OpenStream<D>, CallFailure> {
        match self.answer().await? {
            UpstreamResponse::Stream(open) => Ok(open),
            UpstreamResponse::Full(_) => Err(CallFailure::Unknown),
        }
    }

    /// The caller has events of the stream.
    pub fn started_stream(&mut self) {
        self.attempts.mark_streaming();
        let now = self.state.now();
        self.first_event = Some(now);
        self.state
            .telemetry
            .first_event_seconds
            .observe(now.since(self.plan.began).as_secs_f64());
    }

    /// Writes the end of the call to the log and the metrics.
    pub fn finish(&mut self, outcome: &'static str, status: u16) {
        self.ended = true;
        let now = self.state.now();
        let spent = now.since(self.plan.began);
        let kind = self.plan.route.kind.label();
        let telemetry = &self.state.telemetry;
        telemetry.calls.with_label_values(&[kind, outcome]).inc();
        telemetry
            .call_seconds
            .with_label_values(&[kind])
            .observe(spent.as_secs_f64());
        if outcome == "answered" && status < 500 && !self.state.may_log_call() {
            return;
        }
        let first = self.first_event.unwrap_or_default().since(self.plan.began);
        let verdict = match outcome {
            "answered" => RunVerdict::Ran,
            _ => self.attempts.verdict(),
        };
        let account = self.plan.grant.as_ref();
        spdlog::info!("call", kv: {
            id: = self.id_text(), outcome: = outcome, status: = status, kind: = kind,
            route: = self.plan.route.name, service: = self.service, rank: = self.rank(),
            account: = account.map_or("none", |grant| grant.account.as_str()),
            ms: = spent.as_millis(), first_ms: = first.as_millis(),
            events: = self.reader.event_count(), choice: = self.choice_text(),
            failed: = self.attempts.arrivals(), verdict:? = verdict,
            config: = self.plan.table.version
        });
    }

    fn id_text(&self) -> Cow<'_, str> {
        String::from_utf8_lossy(&self.plan.head.request_id)
    }

    fn choice_text(&self) -> String {
        let choice = self.choice.as_ref();
        choice.map_or_else(|| "none".to_owned(), ToString::to_string)
    }

    fn pick(&self) -> Option<UpstreamGuard<D>> {
        self.state.pick(
            &self.plan.table,
            &self.service,
            self.prompt,
            &self.tried,
            &self.doubted,
        )
    }

    fn in_time(&self) -> bool {
        self.state.now() < self.plan.deadline
    }

    /// Counts a fault and decides what follows.
    fn after(&mut self, key: UpstreamKey, fault: AttemptFault, began: MonoTime) -> NextStep {
        let alone = !self.state.active_after(key, began);
        self.state.record_failure(key, fault, alone);
        match fault {
            // A connection that closed before the call was written says nothing of its upstream.
            AttemptFault::Unsent => {}
            _ if fault.verdict() == RunVerdict::NotRun => self.tried.push(key),
            _ => self.doubted.push(key),
        }
        let in_time = self.in_time();
        let affordable = self.state.affordable(&self.service);
        let step = self.attempts.record_fault(fault, in_time, affordable);
        spdlog::info!("attempt-failed", kv: {
            id: = self.id_text(), fault: = fault.label(), code:? = fault,
            verdict:? = self.attempts.verdict(), choice: = self.choice_text(),
            alone: = alone, in_time: = in_time, affordable: = affordable, next:? = step,
            ms: = self.state.now().since(began).as_millis(), config: = self.plan.table.version
        });
        step
    }

    fn note<F: FnOnce(&mut ChoiceNote)>(&mut self, change: F) {
        if let Some(choice) = &mut self.choice {
            change(choice);
        }
    }

    fn rank(&self) -> PriorityRank {
        let account_rank = self.plan.grant.as_ref().and_then(|grant| grant.rank);
        account_rank.unwrap_or(self.plan.route.rank)
    }
}

impl<D: EdgeDialect> Drop for FrontCall<D> {
    fn drop(&mut self) {
        if !self.ended {
            self.finish("caller-left", 0);
        }
    }
}

fn take_first<D: EdgeDialect>(stream: &mut Option<OpenStream<D>>) -> Option<Bytes> {
    let open = stream.as_mut()?;
    let events = std::mem::take(&mut open.first);
    (!events.is_empty()).then_some(events)
}
