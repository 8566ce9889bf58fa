//! A model engine that batches continuously.
//!
//! All requests of a batch advance at one rate, which falls as the batch grows. A request first
//! works off the part of its prompt that is not cached, then makes its tokens.

use std::time::Duration;

use crate::bench::prefix_cache::PrefixCache;
use crate::ids::{ChatKey, RequestKey};
use crate::mono::MonoTime;

/// What an engine can do.
#[derive(Clone, Copy, Debug)]
pub struct EngineSpec {
    /// Requests that it batches at once.
    pub slots: u32,
    /// Tokens a second of a request that runs alone.
    pub alone_rate: f64,
    /// Share by which each further request slows the batch.
    pub slowdown: f64,
    /// Prompt tokens that cost as much as one made token.
    pub prompt_ratio: f64,
    /// Tokens that its prefix cache holds.
    pub cache_tokens: u64,
}

impl EngineSpec {
    /// Tokens a second of each request in a batch of `size`.
    pub fn rate(&self, size: usize) -> f64 {
        self.alone_rate / (1.0 + self.slowdown * (size.max(1) - 1) as f64)
    }

    /// Tokens a second of a full batch.
    pub fn capacity(&self) -> f64 {
        f64::from(self.slots) * self.rate(self.slots as usize)
    }
}

/// A request as an engine sees it.
#[derive(Clone, Copy, Debug)]
pub struct EngineJob {
    /// Who it is.
    pub request: RequestKey,
    /// The chat it belongs to.
    pub chat: ChatKey,
    /// Tokens of its prompt.
    pub prompt: u32,
    /// Tokens that it makes.
    pub answer: u32,
    /// A smaller number goes first when it has to wait.
    pub priority: u8,
}

/// What is left of a request that was stopped.
#[derive(Clone, Copy, Debug)]
pub struct StoppedJob {
    /// Tokens before the place at which it goes on.
    pub prompt: u32,
    /// Tokens that it has yet to make.
    pub answer: u32,
}

#[derive(Clone, Copy, Debug)]
struct RunningJob {
    job: EngineJob,
    /// Progress of the batch at which it ends.
    ends: f64,
}

/// One engine.
#[derive(Debug)]
pub struct EngineModel {
    spec: EngineSpec,
    cache: PrefixCache,
    /// Tokens that each request of the batch would have made since the start.
    progress: f64,
    updated: MonoTime,
    running: Vec<RunningJob>,
    waiting: Vec<EngineJob>,
    /// Rises with every change of the batch, so that old wake-ups are known.
    version: u64,
    /// Tokens made and prompt work done, summed over requests.
    work: f64,
}

impl EngineModel {
    /// An idle engine.
    pub fn new(spec: EngineSpec) -> Self {
        Self {
            cache: PrefixCache::new(spec.cache_tokens),
            spec,
            progress: 0.0,
            updated: MonoTime::default(),
            running: Vec::new(),
            waiting: Vec::new(),
            version: 0,
            work: 0.0,
        }
    }

    /// Cached tokens of a chat.
    pub fn cached(&self, chat: ChatKey) -> u32 {
        self.cache.tokens(chat)
    }

    /// Requests in the batch and before it.
    pub fn load(&self) -> u32 {
        (self.running.len() + self.waiting.len()) as u32
    }

    /// Work done so far, in made tokens.
    pub fn work(&self) -> f64 {
        self.work
    }

    /// Number of the batch's present make-up.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Takes a request; it waits when the batch is full. Gives its cached prompt tokens.
    pub fn submit(&mut self, now: MonoTime, job: EngineJob) -> u32 {
        self.advance(now);
        let cached = self.cache.tokens(job.chat).min(job.prompt);
        self.waiting.push(job);
        self.fill();
        cached
    }

    /// Ends what has ended by `now`.
    pub fn finish_due(&mut self, now: MonoTime) -> Vec<RequestKey> {
        self.advance(now);
        let progress = self.progress + 1e-6;
        let mut ended = Vec::new();
        self.running.retain(|running| {
            let done = running.ends <= progress;
            if done {
                ended.push(running.job);
            }
            !done
        });
        for job in &ended {
            self.cache.insert(job.chat, job.prompt + job.answer);
        }
        if !ended.is_empty() {
            self.fill();
        }
        ended.into_iter().map(|job| job.request).collect()
    }

    /// Stops a request and keeps what it made in the cache. Gives the tokens that are left; none
    /// when it does not run here.
    pub fn cancel(&mut self, now: MonoTime, request: RequestKey) -> Option<StoppedJob> {
        self.advance(now);
        let position = self
            .running
            .iter()
            .position(|running| running.job.request == request)?;
        let stopped = self.running.swap_remove(position);
        let left = (stopped.ends - self.progress).max(0.0);
        let answer = (left.ceil() as u32).clamp(1, stopped.job.answer);
        let prompt = stopped.job.prompt + (stopped.job.answer - answer);
        self.cache.insert(stopped.job.chat, prompt);
        self.fill();
        Some(StoppedJob { prompt, answer })
    }

    /// Drops everything, as an engine that dies does.
    pub fn clear(&mut self, now: MonoTime) -> Vec<RequestKey> {
        self.advance(now);
        self.version += 1;
        self.cache = PrefixCache::new(self.spec.cache_tokens);
        let running = self.running.drain(..).map(|running| running.job);
        let waiting = self.waiting.drain(..);
        running.chain(waiting).map(|job| job.request).collect()
    }

    /// When the next request ends if the batch stays as it is.
    pub fn next_end(&self) -> Option<MonoTime> {
        let ends = self
            .running
            .iter()
            .map(|running| running.ends)
            .min_by(f64::total_cmp)?;
        let left = (ends - self.progress).max(0.0) / self.spec.rate(self.running.len());
        Some(self.updated + Duration::from_secs_f64(left))
    }

    fn advance(&mut self, now: MonoTime) {
        let gap = now.since(self.updated).as_secs_f64();
        if !self.running.is_empty() {
            let step = gap * self.spec.rate(self.running.len());
            self.progress += step;
            self.work += step * self.running.len() as f64;
        }
        self.updated = self.updated.max(now);
    }

    /// Moves waiting requests into the batch, the most urgent first.
    fn fill(&mut self) {
        self.version += 1;
        while self.running.len() < self.spec.slots as usize && !self.waiting.is_empty() {
            let first = (0..self.waiting.len()).min_by_key(|&i| self.waiting[i].priority);
            let job = self.waiting.remove(first.unwrap_or(0));
            let cached = self.cache.tokens(job.chat).min(job.prompt);
            let prompt = f64::from(job.prompt - cached) / self.spec.prompt_ratio;
            let ends = self.progress + prompt + f64::from(job.answer);
            self.running.push(RunningJob { job, ends });
        }
    }
}
