//! The examples of the callers' page, run as they stand there.

mod fleet;

use std::collections::BTreeSet;

use fleet::{FleetPlan, TOKEN, TestFleet};
use hawthornrouter::client::ClientRequest;
use serde_json::Value;

const PAGE: &str = include_str!("../docs/CALLERS.md");

/// Headers that the examples send.
const HEADERS: [&str; 4] = ["authorization", "x-chat-id", "x-rank", "x-ticket"];

/// A command of the page, and the answer that the page shows after it.
struct PageExample {
    words: Vec<String>,
    answer: Option<Value>,
}

/// The commands of the page's shell blocks.
fn examples() -> Vec<PageExample> {
    let blocks = PAGE.split("```sh\n").skip(1);
    let text: String = blocks.filter_map(|rest| rest.split("```").next()).collect();
    let mut examples: Vec<PageExample> = Vec::new();
    for line in text.replace("\\\n", " ").lines() {
        if let Some(answer) = line.strip_prefix("# ") {
            let last = examples.last_mut().expect("a command comes first");
            last.answer = Some(serde_json::from_str(answer).expect("JSON"));
        } else {
            examples.push(PageExample {
                words: shell_words(line),
                answer: None,
            });
        }
    }
    examples
}

/// Splits a command at blanks outside of quotes.
fn shell_words(line: &str) -> Vec<String> {
    let mut words = vec![String::new()];
    let mut quote = None;
    for sign in line.chars() {
        match (quote, sign) {
            (None, '"' | '\'') => quote = Some(sign),
            (Some(open), _) if open == sign => quote = None,
            (None, ' ') => words.push(String::new()),
            _ => words.last_mut().expect("one at least").push(sign),
        }
    }
    words.retain(|word| !word.is_empty());
    words
}

/// The call that a command makes.
fn call_of(words: &[String], values: &[(&str, String)]) -> ClientRequest {
    let mut filled = words.iter().map(|word| {
        values.iter().fold(word.clone(), |word, (name, value)| {
            word.replace(name, value)
        })
    });
    assert_eq!(filled.next().as_deref(), Some("curl"));
    let (mut url, mut body, mut post) = (String::new(), None, false);
    let mut headers = Vec::new();
    while let Some(word) = filled.next() {
        let mut value = || filled.next().expect("a value");
        match word.as_str() {
            "-N" => {}
            "-X" => post = value() == "POST",
            "-H" => headers.push(value()),
            "-d" => body = Some(value()),
            _ => url = word,
        }
    }
    let rest = url.strip_prefix("http://").expect("scheme");
    let (address, path) = rest.split_once('/').expect("path");
    let (address, target) = (address.parse().expect("address"), format!("/{path}"));
    let mut call = if post || body.is_some() {
        ClientRequest::post(address, target)
    } else {
        ClientRequest::get(address, target)
    };
    for header in headers {
        let (name, value) = header.split_once(": ").expect("header");
        let known = HEADERS.into_iter().find(|known| *known == name);
        call = call.header(known.expect("a known header"), value);
    }
    match body {
        Some(body) => call.json_text(body),
        None => call,
    }
}

fn keys(value: &Value) -> BTreeSet<&String> {
    value.as_object().expect("an object").keys().collect()
}

#[ntex::test]
async fn page_examples() {
    let fleet = TestFleet::start(FleetPlan::new("page_examples")).await;
    fleet.wait_named("chat-1").await;
    let mut values = vec![
        ("$LOCATOR", fleet.locator.address.to_string()),
        ("$TOKEN", TOKEN.to_owned()),
    ];
    let examples = examples();
    assert_eq!(examples.len(), 4, "the page has four commands");
    for example in examples {
        let call = call_of(&example.words, &values);
        let answer = fleet.client.send(call).await.expect("an answer");
        assert!(answer.status().is_success(), "{:?}", example.words);
        let outcome = answer.header("x-outcome").map(ToOwned::to_owned);
        let body = answer.bytes().await.expect("a body");
        let Some(shown) = example.answer else {
            let text = String::from_utf8_lossy(&body);
            let whole = text.ends_with("event: end\ndata: {\"events\":64}\n\n");
            assert!(whole || outcome.as_deref() == Some("done"), "{text}");
            continue;
        };
        let got: Value = serde_json::from_slice(&body).expect("JSON");
        assert_eq!(keys(&got), keys(&shown), "{:?}", example.words);
        if let Some(entry) = got["address"].as_str() {
            values.push(("$ENTRY", entry.to_owned()));
        }
        if let Some(ticket) = got["ticket"].as_str() {
            values.push(("$TICKET", ticket.to_owned()));
        }
    }
}
