//! Runs the example commands of the callers' page against a test fleet, so that the page matches
//! what the routers do.

mod fleet;

use std::collections::BTreeSet;

use fleet::{FleetPlan, TOKEN, TestFleet};
use hawthornrouter::client::ClientRequest;
use serde_json::Value;

const PAGE: &str = include_str!("../docs/CALLERS.md");

/// Headers that the examples send.
const HEADERS: [&str; 4] = ["authorization", "x-chat-id", "x-rank", "x-ticket"];

/// A command of the page, and the JSON response that the page shows after it.
struct PageExample {
    arguments: Vec<String>,
    response: Option<Value>,
}

/// Parses the commands of the page's shell blocks. A line that starts with `# ` is the response to
/// the command before it.
fn examples() -> Vec<PageExample> {
    let blocks = PAGE.split("```sh\n").skip(1);
    let text: String = blocks.filter_map(|rest| rest.split("```").next()).collect();
    let mut examples: Vec<PageExample> = Vec::new();
    for line in text.replace("\\\n", " ").lines() {
        if let Some(response) = line.strip_prefix("# ") {
            let last = examples.last_mut().expect("a command comes first");
            last.response = Some(serde_json::from_str(response).expect("JSON"));
        } else {
            examples.push(PageExample {
                arguments: shell_words(line),
                response: None,
            });
        }
    }
    examples
}

/// Splits a command at spaces outside of quotes.
fn shell_words(line: &str) -> Vec<String> {
    let mut words = vec![String::new()];
    let mut quote = None;
    for character in line.chars() {
        match (quote, character) {
            (None, '"' | '\'') => quote = Some(character),
            (Some(open), _) if open == character => quote = None,
            (None, ' ') => words.push(String::new()),
            _ => words.last_mut().expect("one at least").push(character),
        }
    }
    words.retain(|word| !word.is_empty());
    words
}

/// Builds the request that a `curl` command makes, after it replaces the variables in `values`.
fn curl_request(words: &[String], values: &[(&str, String)]) -> ClientRequest {
    let mut arguments = words.iter().map(|word| {
        values.iter().fold(word.clone(), |word, (name, value)| {
            word.replace(name, value)
        })
    });
    assert_eq!(arguments.next().as_deref(), Some("curl"));
    let (mut url, mut body, mut post) = (String::new(), None, false);
    let mut headers = Vec::new();
    while let Some(word) = arguments.next() {
        let mut value = || arguments.next().expect("a value");
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
    let mut request = if post || body.is_some() {
        ClientRequest::post(address, target)
    } else {
        ClientRequest::get(address, target)
    };
    for header in headers {
        let (name, value) = header.split_once(": ").expect("header");
        let known = HEADERS.into_iter().find(|known| *known == name);
        request = request.header(known.expect("a known header"), value);
    }
    match body {
        Some(body) => request.json_text(body),
        None => request,
    }
}

fn keys(value: &Value) -> BTreeSet<&String> {
    value.as_object().expect("an object").keys().collect()
}

#[ntex::test]
async fn page_examples() {
    let fleet = TestFleet::start(FleetPlan::new("page_examples")).await;
    fleet.wait_located("chat-1").await;
    let mut values = vec![
        ("$LOCATOR", fleet.locator.address.to_string()),
        ("$TOKEN", TOKEN.to_owned()),
    ];
    let examples = examples();
    assert_eq!(examples.len(), 4, "the page has four commands");
    for example in examples {
        let request = curl_request(&example.arguments, &values);
        let response = fleet.client.send(request).await.expect("a response");
        assert!(response.status().is_success(), "{:?}", example.arguments);
        let outcome = response.header("x-outcome").map(ToOwned::to_owned);
        let body = response.bytes().await.expect("a body");
        let Some(expected) = example.response else {
            let text = String::from_utf8_lossy(&body);
            let complete = text.ends_with("event: end\ndata: {\"events\":64}\n\n");
            assert!(complete || outcome.as_deref() == Some("done"), "{text}");
            continue;
        };
        let received: Value = serde_json::from_slice(&body).expect("JSON");
        assert_eq!(keys(&received), keys(&expected), "{:?}", example.arguments);
        if let Some(entry) = received["address"].as_str() {
            values.push(("$ENTRY", entry.to_owned()));
        }
        if let Some(ticket) = received["ticket"].as_str() {
            values.push(("$TICKET", ticket.to_owned()));
        }
    }
}
