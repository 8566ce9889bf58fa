//! `hawthornctl trace ID FILE...`: prints the log lines of one request from the logs of several
//! routers, in order of time.

use std::fs;
use std::path::{Path, PathBuf};

use serde::Serialize;

use crate::error::{RouterError, RouterResult};

/// Events that change a router's cached state, or whether it runs. They are shown if they occur
/// while the router handles the request.
const STATE_CHANGE_EVENTS: [&str; 19] = [
    "config-accepted",
    "documents-from-peer",
    "member-changed",
    "paused",
    "settings-reloaded",
    "stage",
    "start",
    "stop",
    "store-era",
    "store-history-lost",
    "store-lost",
    "store-regained",
    "suspect-held",
    "suspect-released",
    "upstream-accepts",
    "upstream-declines",
    "upstream-leaving",
    "upstream-left",
    "upstream-removed",
];

/// Seconds before the start and after the last line of the request in which state changes are
/// shown.
const MARGIN_S: f64 = 1.0;

/// One `key=value` pair of a log line.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct LogPair {
    pub key: String,
    /// The value, without quotes and escapes.
    pub value: String,
}

/// One line of a router's log.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct LogLine {
    /// Seconds since the Unix epoch, by the router's clock.
    pub time: f64,
    /// Name of the router: the word before `ts=`, or the stem of the file name if there is none.
    pub router: String,
    /// Name of the event.
    pub event: String,
    /// The other pairs, in the order of the line.
    pub pairs: Vec<LogPair>,
}

impl LogLine {
    fn value(&self, key: &str) -> Option<&str> {
        let pair = self.pairs.iter().find(|pair| pair.key == key)?;
        Some(&pair.value)
    }
}

/// Prints the log lines of request `id` in `files`, as text or as JSON.
pub fn run(id: &str, json: bool, files: &[PathBuf]) -> RouterResult<()> {
    if files.is_empty() {
        return Err(RouterError::Usage(
            "missing log file; see --help".to_owned(),
        ));
    }
    let mut lines = Vec::new();
    for path in files {
        let text = fs::read(path).map_err(|cause| RouterError::File {
            path: path.clone(),
            cause,
        })?;
        lines.extend(parse_log(path, &String::from_utf8_lossy(&text)));
    }
    let trace = trace_request(id, lines);
    if trace.is_empty() {
        return Err(RouterError::Failed(format!(
            "no log line has the request id {id}"
        )));
    }
    for line in &trace {
        if json {
            // Serialising plain data to a string cannot fail.
            println!("{}", serde_json::to_string(line).unwrap_or_default());
        } else {
            println!("{}", line_text(line));
        }
    }
    Ok(())
}

/// Parses the lines of a log. Lines without a time (`ts=`) or an event are skipped.
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

/// Parses a value, which ends at the next space or is quoted, and returns it with the remaining
/// text.
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

/// Returns the lines of request `id`, and the state changes of its routers during the request, in
/// order of time.
pub fn trace_request(id: &str, lines: Vec<LogLine>) -> Vec<LogLine> {
    let is_of_request = |line: &LogLine| line.value("id") == Some(id);
    let mut spans: Vec<(String, f64, f64)> = Vec::new();
    for line in lines.iter().filter(|line| is_of_request(line)) {
        let duration_ms = line
            .value("ms")
            .and_then(|ms| ms.parse().ok())
            .unwrap_or(0.0);
        let start = line.time - duration_ms / 1000.0 - MARGIN_S;
        let end = line.time + MARGIN_S;
        match spans
            .iter_mut()
            .find(|(router, _, _)| *router == line.router)
        {
            Some((_, first, last)) => {
                *first = first.min(start);
                *last = last.max(end);
            }
            None => spans.push((line.router.clone(), start, end)),
        }
    }
    let is_concurrent_change = |line: &LogLine| {
        STATE_CHANGE_EVENTS.contains(&line.event.as_str())
            && spans.iter().any(|(router, first, last)| {
                *router == line.router && (*first..=*last).contains(&line.time)
            })
    };
    let mut trace: Vec<LogLine> = lines
        .into_iter()
        .filter(|line| is_of_request(line) || is_concurrent_change(line))
        .collect();
    trace.sort_by(|left, right| left.time.total_cmp(&right.time));
    trace
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
