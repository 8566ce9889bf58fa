//! A sound store: pages, and watches with a history.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Head, read_head, read_sized};

/// 4 ms an answer, and 0.5 ms one way between zones.
const ANSWER_TIME: Duration = Duration::from_millis(5);
const PAGE_ITEMS: usize = 400;

/// `HistoryS`.
const HISTORY_TIME: Duration = Duration::from_secs(20);

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, (String, u64)>,
    history: Vec<(u64, String, Option<String>)>,
    /// When each change of the history was made.
    times: Vec<Instant>,
    /// Changes up to this revision are no longer available.
    discarded: u64,
}

impl State {
    /// Discards the changes that are older than the promised history.
    fn discard_old(&mut self) {
        let is_old = |at: &&Instant| at.elapsed() > HISTORY_TIME;
        let old = self.times.iter().take_while(is_old).count();
        self.times.drain(..old);
        let last = self.history.drain(..old).next_back();
        self.discarded = last.map_or(self.discarded, |(revision, ..)| revision);
    }
}

#[derive(Clone, Default)]
pub struct Store(Arc<(Mutex<State>, Condvar)>);

impl Store {
    /// Starts to listen; returns the address.
    pub fn listen(&self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("listener of the store");
        let address = listener.local_addr().expect("address of the store");
        let store = self.clone();
        thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let store = store.clone();
                thread::spawn(move || store.serve(socket));
            }
        });
        address
    }

    pub fn put(&self, key: &str, value: &str) {
        self.change(key, Some(value));
    }

    pub fn remove(&self, key: &str) {
        self.change(key, None);
    }

    fn change(&self, key: &str, value: Option<&str>) {
        let mut state = self.0.0.lock().expect("state of the store");
        state.revision += 1;
        let revision = state.revision;
        match value {
            Some(value) => {
                state
                    .items
                    .insert(key.to_owned(), (value.to_owned(), revision));
            }
            None => {
                state.items.remove(key);
            }
        }
        state
            .history
            .push((revision, key.to_owned(), value.map(str::to_owned)));
        state.times.push(Instant::now());
        self.0.1.notify_all();
    }

    fn serve(&self, socket: TcpStream) {
        let _ = socket.set_nodelay(true);
        let Ok(mut writer) = socket.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(socket);
        while let Ok(Some(head)) = read_head(&mut reader) {
            if read_sized(&mut reader, &head).is_err() {
                return;
            }
            let (status, body) = self.answer(&head);
            thread::sleep(ANSWER_TIME);
            let length = body.len();
            let text = format!(
                "HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\n\
                 Content-Length: {length}\r\n\r\n{body}"
            );
            if writer.write_all(text.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, head: &Head) -> (u16, String) {
        let prefix = head.query("Prefix");
        if head.word(1).starts_with("/kv-watch") {
            let after = head.query("After").parse().unwrap_or(0);
            let wait = head.query("WaitMs").parse().unwrap_or(0);
            return self.watch(&prefix, after, Duration::from_millis(wait));
        }
        let after = head.query("After");
        let state = self.0.0.lock().expect("state of the store");
        let listed = state.items.iter();
        let listed = listed.filter(|(key, _)| key.starts_with(&prefix) && **key > after);
        let items: Vec<String> = listed
            .map(|(key, (value, revision))| item_text(key, Some(value), *revision))
            .collect();
        let more = items.len() > PAGE_ITEMS;
        let page = &items[..items.len().min(PAGE_ITEMS)];
        let text = format!(
            "{{\"Items\":[{}],\"MorePages\":{more},\"StoreRevision\":{}}}",
            page.join(","),
            state.revision
        );
        (200, text)
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> (u16, String) {
        let end = Instant::now() + wait;
        let mut state = self.0.0.lock().expect("state of the store");
        loop {
            state.discard_old();
            if after < state.discarded {
                return (410, "{}".to_owned());
            }
            let changes = state.history.iter();
            let changes = changes.filter(|(at, key, _)| *at > after && key.starts_with(prefix));
            let events: Vec<String> = changes
                .map(|(at, key, value)| item_text(key, value.as_deref(), *at))
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let revision = state.revision;
                let text = format!(
                    "{{\"events\":[{}],\"StoreRevision\":{revision}}}",
                    events.join(",")
                );
                return (200, text);
            }
            let waited = self.0.1.wait_timeout(state, left);
            state = waited.expect("state of the store").0;
        }
    }
}

fn item_text(key: &str, value: Option<&str>, revision: u64) -> String {
    let mut text = format!("{{\"Key\":\"{key}\",\"Revision\":{revision}");
    match value {
        Some(value) => {
            let value = base64(value.as_bytes());
            let _ = write!(
                text,
                ",\"Value\":\"{value}\",\"Created\":{revision},\"Lease\":0}}"
            );
        }
        None => text.push_str(",\"Tombstone\":true}"),
    }
    text
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let byte = |index: usize| u32::from(group.get(index).copied().unwrap_or(0));
        let word = byte(0) << 16 | byte(1) << 8 | byte(2);
        for index in 0..4 {
            let digit = DIGITS[(word >> (18 - 6 * index) & 63) as usize];
            text.push(if index > group.len() {
                '='
            } else {
                char::from(digit)
            });
        }
    }
    text
}
