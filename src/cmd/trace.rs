//! `hawthornctl trace ID FILE...`: what routers' logs tell of one request, in order of time.

use std::fs;
use std::path::{Path, PathBuf};

use serde::Serialize;

use crate::error::{RouterError, RouterResult};

/// Events that change what a router believes, or whether it runs; they are shown when they fall
/// into the time of the request.
const BELIEF_EVENTS: [&str; 12] = [
    "config-accepted",
    "documents-from-peer",
    "member-changed",
    "paused",
    "settings-reloaded",
    "stage",
    "start",
    "stop",
    "store-history-lost",
    "store-lost",
    "store-regained",
    "upstream-removed",
];

/// Seconds before the first and after the last line of the request in which beliefs are shown.
const MARGIN_S: f64 = 1.0;

/// One `key=value` pair.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct LogPair {
    /// The key.
    pub key: String,
    /// The value, without quotes.
    pub value: String,
}

/// One line of a router's log.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct LogLine {
    /// Seconds of the router's time of day.
    pub time: f64,
    /// The router: the word before the line, or the file's name.
    pub router: String,
    /// The kind of event.
    pub event: String,
    /// The other pairs, in order.
    pub pairs: Vec<LogPair>,
}

impl LogLine {
    fn value(&self, key: &str) -> Option<&str> {
        let pair = self.pairs.iter().find(|pair| pair.key == key)?;
        Some(&pair.value)
    }
}

/// Prints the story of request `id` from `files`, as text or as JSON.
pub fn run(id: &str, json: bool, files: &[PathBuf]) -> RouterResult<()> {
    if files.is_empty() {
        return Err(RouterError::Usage("name a log file; see --help".to_owned()));
    }
    let mut lines = Vec::new();
    for path in files {
        let text = fs::read(path).map_err(|cause| RouterError::File {
            path: path.clone(),
            cause,
        })?;
        lines.extend(parse_log(path, &String::from_utf8_lossy(&text)));
    }
    let story = trace_request(id, lines);
    if story.is_empty() {
        return Err(RouterError::Failed(format!("no line of request {id}")));
    }
    for line in &story {
        if json {
            // Serialising plain data to a string has no way to fail.
            println!("{}", serde_json::to_string(line).unwrap_or_default());
        } else {
            println!("{}", line_text(line));
        }
    }
    Ok(())
}

/// The lines of a log that have the pair form.
pub fn parse_log(path: &Path, text: &str) -> Vec<LogLine> {
    let file = path
        .file_stem()
        .map_or_else(String::new, |stem| stem.to_string_lossy().into_owned());
    text.lines()
        .filter_map(|line| parse_line(&file, line))
        .collect()
}

fn parse_line(file: &str, line: &str) -> Option<LogLine> {
    let start = line.find("ts=")?;
    let router = line[..start].split_whitespace().last().unwrap_or(file);
    let mut pairs = parse_pairs(&line[start..]);
    let mut take = |key: &str| {
        let at = pairs.iter().position(|pair| pair.key == key)?;
        Some(pairs.remove(at).value)
    };
    let time = take("ts")?.parse().ok()?;
    let event = take("event")?;
    Some(LogLine {
        time,
        router: router.to_owned(),
        event,
        pairs,
    })
}

fn parse_pairs(mut text: &str) -> Vec<LogPair> {
    let mut pairs = Vec::new();
    while let Some((key, rest)) = text.trim_start().split_once('=') {
        let (value, rest) = parse_value(rest);
        pairs.push(LogPair {
            key: key.to_owned(),
            value,
        });
        text = rest;
    }
    pairs
}

/// A value up to the next space, or in quotes, and what follows it.
fn parse_value(text: &str) -> (String, &str) {
    let Some(quoted) = text.strip_prefix('"') else {
        let end = text.find(' ').unwrap_or(text.len());
        return (text[..end].to_owned(), &text[end..]);
    };
    let mut value = String::new();
    let mut chars = quoted.char_indices();
    while let Some((at, char)) = chars.next() {
        match char {
            '"' => return (value, &quoted[at + 1..]),
            '\\' => value.extend(chars.next().map(|(_, escaped)| escaped)),
            _ => value.push(char),
        }
    }
    (value, "")
}

/// The lines that name the request, and the beliefs that changed at its routers meanwhile.
pub fn trace_request(id: &str, lines: Vec<LogLine>) -> Vec<LogLine> {
    let own = |line: &LogLine| line.value("id") == Some(id);
    let mut spans: Vec<(String, f64, f64)> = Vec::new();
    for line in lines.iter().filter(|line| own(line)) {
        let spent = line
            .value("ms")
            .and_then(|ms| ms.parse().ok())
            .unwrap_or(0.0);
        let began = line.time - spent / 1000.0 - MARGIN_S;
        let ended = line.time + MARGIN_S;
        match spans
            .iter_mut()
            .find(|(router, _, _)| *router == line.router)
        {
            Some((_, first, last)) => {
                *first = first.min(began);
                *last = last.max(ended);
            }
            None => spans.push((line.router.clone(), began, ended)),
        }
    }
    let during = |line: &LogLine| {
        BELIEF_EVENTS.contains(&line.event.as_str())
            && spans.iter().any(|(router, first, last)| {
                *router == line.router && (*first..=*last).contains(&line.time)
            })
    };
    let mut story: Vec<LogLine> = lines
        .into_iter()
        .filter(|line| own(line) || during(line))
        .collect();
    story.sort_by(|left, right| left.time.total_cmp(&right.time));
    story
}

fn line_text(line: &LogLine) -> String {
    let pairs: Vec<String> = line
        .pairs
        .iter()
        .filter(|pair| pair.key != "level" && pair.key != "id")
        .map(|pair| format!("{}={}", pair.key, pair.value))
        .collect();
    format!(
        "{:.3} {} {}: {}",
        line.time,
        line.router,
        line.event,
        pairs.join(" ")
    )
}
