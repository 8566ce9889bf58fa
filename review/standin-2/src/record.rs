//! The record of a run: what was sent, answered and run.

use std::fmt::Display;
use std::fs;
use std::path::Path;
use std::time::{Duration, Instant};

use crate::Verdict;

pub struct Record {
    start: Instant,
    lines: Vec<String>,
}

impl Record {
    pub fn start(case: &str, has_trouble: bool) -> Self {
        let disruption = if has_trouble { "with" } else { "without" };
        let record = Self {
            start: Instant::now(),
            lines: vec![format!("case {case}, {disruption} the disruption")],
        };
        println!("{}", record.lines[0]);
        record
    }

    /// Time since the start of the run.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    pub fn start_time(&self) -> Instant {
        self.start
    }

    /// Adds a line with the time.
    pub fn line(&mut self, text: impl Display) {
        let line = format!("{:8.3} s  {text}", self.now().as_secs_f64());
        println!("{line}");
        self.lines.push(line);
    }

    pub fn end(&mut self, result: &std::io::Result<Verdict>) {
        match result {
            Ok(Verdict::Held) => self.line("verdict: the rule held"),
            Ok(Verdict::Broken) => self.line("verdict: the rule is broken"),
            Err(error) => self.line(format!("the case could not run: {error}")),
        }
    }

    pub fn write(&self, folder: &Path) -> std::io::Result<()> {
        fs::write(folder.join("record.txt"), self.lines.join("\n") + "\n")
    }
}
