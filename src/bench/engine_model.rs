//! A model of an inference engine with continuous batching.
//!
//! All requests of a batch advance at the same rate, which falls as the batch grows. A request
//! first processes the part of its prompt that is not cached, then generates its output tokens.

use std::time::Duration;

use crate::bench::prefix_cache::PrefixCache;
use crate::ids::{ChatKey, RequestKey};
use crate::mono::MonoTime;

/// Performance parameters of an engine.
#[derive(Clone, Copy, Debug)]
pub struct EngineSpec {
    /// Maximum number of requests in a batch.
    pub slots: u32,
    /// Output tokens per second of a request that is alone in the batch.
    pub single_request_rate: f64,
    /// Increase in the time per token for each further request in the batch, as a fraction of the
    /// time per token of a single request.
    pub slowdown_per_request: f64,
    /// Prompt tokens that take as long to process as one output token takes to generate.
    pub prefill_ratio: f64,
    /// Capacity of the prefix cache, in tokens.
    pub cache_tokens: u64,
}

impl EngineSpec {
    /// Returns the output tokens per second of each request in a batch of `size`.
    pub fn rate(&self, size: usize) -> f64 {
        self.single_request_rate / (1.0 + self.slowdown_per_request * (size.max(1) - 1) as f64)
    }

    /// Returns the output tokens per second of a full batch, summed over its requests.
    pub fn capacity(&self) -> f64 {
        f64::from(self.slots) * self.rate(self.slots as usize)
    }
}

/// A request submitted to an engine.
#[derive(Clone, Copy, Debug)]
pub struct EngineJob {
    /// Identifies the request in the workload.
    pub request: RequestKey,
    /// Chat whose cached prefix the request can reuse.
    pub chat: ChatKey,
    /// Prompt length, in tokens.
    pub prompt: u32,
    /// Tokens to generate.
    pub output: u32,
    /// Order among waiting requests; the smallest number is served first.
    pub priority: u8,
}

/// The remainder of a cancelled request, from which it can be resubmitted.
#[derive(Clone, Copy, Debug)]
pub struct RemainingWork {
    /// Length of the prompt to resubmit: the original prompt and the tokens generated so far.
    pub prompt: u32,
    /// Tokens still to generate.
    pub output: u32,
}

#[derive(Clone, Copy, Debug)]
struct RunningJob {
    job: EngineJob,
    /// Value of [`EngineModel::progress`] at which the request is complete.
    end_progress: f64,
}

/// The state of one simulated engine.
#[derive(Debug)]
pub struct EngineModel {
    spec: EngineSpec,
    cache: PrefixCache,
    /// Output tokens that a request running since the start of the simulation would have
    /// generated.
    progress: f64,
    updated_at: MonoTime,
    running: Vec<RunningJob>,
    waiting: Vec<EngineJob>,
    /// Incremented whenever the batch may have changed, so that completion events scheduled for an
    /// earlier batch can be ignored.
    version: u64,
    /// Output tokens generated and equivalent prompt processing, summed over all requests.
    work: f64,
}

impl EngineModel {
    /// Creates an idle engine with an empty cache.
    pub fn new(spec: EngineSpec) -> Self {
        Self {
            cache: PrefixCache::new(spec.cache_tokens),
            spec,
            progress: 0.0,
            updated_at: MonoTime::default(),
            running: Vec::new(),
            waiting: Vec::new(),
            version: 0,
            work: 0.0,
        }
    }

    /// Returns the number of cached tokens of a chat.
    pub fn cached(&self, chat: ChatKey) -> u32 {
        self.cache.tokens(chat)
    }

    /// Returns the number of requests in the batch and waiting for it.
    pub fn load(&self) -> u32 {
        (self.running.len() + self.waiting.len()) as u32
    }

    /// Returns the work done since the start, in output tokens or their equivalent.
    pub fn work(&self) -> f64 {
        self.work
    }

    /// Returns the version of the batch, which is incremented whenever the batch may have changed.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Accepts a request, which waits while the batch is full. Returns the number of its prompt
    /// tokens that are cached.
    pub fn submit(&mut self, now: MonoTime, job: EngineJob) -> u32 {
        self.advance(now);
        let cached = self.cache.tokens(job.chat).min(job.prompt);
        self.waiting.push(job);
        self.fill_batch();
        cached
    }

    /// Removes the requests that are complete by `now`, caches their tokens and returns their keys.
    pub fn finish_due(&mut self, now: MonoTime) -> Vec<RequestKey> {
        self.advance(now);
        let progress = self.progress + 1e-6;
        let mut ended = Vec::new();
        self.running.retain(|running| {
            let done = running.end_progress <= progress;
            if done {
                ended.push(running.job);
            }
            !done
        });
        for job in &ended {
            self.cache.insert(job.chat, job.prompt + job.output);
        }
        if !ended.is_empty() {
            self.fill_batch();
        }
        ended.into_iter().map(|job| job.request).collect()
    }

    /// Cancels a running request and caches its prompt and the tokens generated so far. Returns
    /// the remaining work, or `None` if the request is not in the batch.
    pub fn cancel(&mut self, now: MonoTime, request: RequestKey) -> Option<RemainingWork> {
        self.advance(now);
        let position = self
            .running
            .iter()
            .position(|running| running.job.request == request)?;
        let stopped = self.running.swap_remove(position);
        let left = (stopped.end_progress - self.progress).max(0.0);
        let output = (left.ceil() as u32).clamp(1, stopped.job.output);
        let prompt = stopped.job.prompt + (stopped.job.output - output);
        self.cache.insert(stopped.job.chat, prompt);
        self.fill_batch();
        Some(RemainingWork { prompt, output })
    }

    /// Drops all requests and the cache, as a crash of the engine does. Returns the keys of the
    /// dropped requests.
    pub fn clear(&mut self, now: MonoTime) -> Vec<RequestKey> {
        self.advance(now);
        self.version += 1;
        self.cache = PrefixCache::new(self.spec.cache_tokens);
        let running = self.running.drain(..).map(|running| running.job);
        let waiting = self.waiting.drain(..);
        running.chain(waiting).map(|job| job.request).collect()
    }

    /// Returns when the next request completes if the batch does not change, or `None` if the
    /// batch is empty.
    pub fn next_completion(&self) -> Option<MonoTime> {
        let end_progress = self
            .running
            .iter()
            .map(|running| running.end_progress)
            .min_by(f64::total_cmp)?;
        let left = (end_progress - self.progress).max(0.0) / self.spec.rate(self.running.len());
        Some(self.updated_at + Duration::from_secs_f64(left))
    }

    fn advance(&mut self, now: MonoTime) {
        let gap = now.since(self.updated_at).as_secs_f64();
        if !self.running.is_empty() {
            let step = gap * self.spec.rate(self.running.len());
            self.progress += step;
            self.work += step * self.running.len() as f64;
        }
        self.updated_at = self.updated_at.max(now);
    }

    /// Moves waiting requests into the batch in order of priority.
    fn fill_batch(&mut self) {
        self.version += 1;
        while self.running.len() < self.spec.slots as usize && !self.waiting.is_empty() {
            let first = (0..self.waiting.len()).min_by_key(|&i| self.waiting[i].priority);
            let job = self.waiting.remove(first.unwrap_or(0));
            let cached = self.cache.tokens(job.chat).min(job.prompt);
            let prompt = f64::from(job.prompt - cached) / self.spec.prefill_ratio;
            let end_progress = self.progress + prompt + f64::from(job.output);
            self.running.push(RunningJob { job, end_progress });
        }
    }
}
