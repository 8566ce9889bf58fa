//! Stand-in of the platform's store: items with revisions, range reads and watches.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::lock;

#[derive(Default)]
struct StoreState {
    revision: u64,
    items: BTreeMap<String, (String, u64)>,
    /// Revision, key and content of each change; `None` for a removal.
    history: Vec<(u64, String, Option<String>)>,
    /// Changes up to this revision have been discarded.
    discarded: u64,
}

/// A running store, whose threads run until the process exits.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<StoreState>, Condvar)>,
}

impl Store {
    /// Starts an empty store on a free port.
    pub fn start(ip: Ipv4Addr) -> std::io::Result<Self> {
        let listener = TcpListener::bind((ip, 0))?;
        let store = Self {
            address: listener.local_addr()?,
            state: Arc::default(),
        };
        let served = store.clone();
        thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || store.serve(socket));
            }
        });
        Ok(store)
    }

    /// Writes an item.
    pub fn put(&self, key: &str, value: &str) {
        let (state, changed) = &*self.state;
        let mut state = lock(state);
        state.revision += 1;
        let revision = state.revision;
        state
            .items
            .insert(key.to_owned(), (value.to_owned(), revision));
        state
            .history
            .push((revision, key.to_owned(), Some(value.to_owned())));
        changed.notify_all();
    }

    /// Removes an item.
    pub fn remove(&self, key: &str) {
        let (state, changed) = &*self.state;
        let mut state = lock(state);
        state.revision += 1;
        let revision = state.revision;
        state.items.remove(key);
        state.history.push((revision, key.to_owned(), None));
        changed.notify_all();
    }

    /// Discards the history.
    pub fn discard(&self) {
        let mut state = lock(&self.state.0);
        state.discarded = state.revision;
        state.history.clear();
    }

    fn serve(&self, socket: TcpStream) {
        let Ok(writer) = socket.try_clone() else {
            return;
        };
        let mut writer = writer;
        let mut reader = BufReader::new(socket);
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line).unwrap_or(0) == 0 {
                return;
            }
            let mut header = String::new();
            while reader.read_line(&mut header).unwrap_or(0) > 2 {
                header.clear();
            }
            let target = line.split(' ').nth(1).unwrap_or_default();
            let (path, query) = target.split_once('?').unwrap_or((target, ""));
            let (status, body) = match path {
                "/kv-range" => (200, self.range(query)),
                "/kv-watch" => self.watch(query),
                _ => (404, "{}".to_owned()),
            };
            let answer = format!(
                "HTTP/1.1 {status} -\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if writer.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// All items after a key; these stores have fewer than one page holds.
    fn range(&self, query: &str) -> String {
        let after = field(query, "After");
        let state = lock(&self.state.0);
        let items: Vec<String> = state
            .items
            .iter()
            .filter(|(key, _)| key.as_str() > after.as_str())
            .map(|(key, (value, revision))| written(key, value, *revision))
            .collect();
        format!(
            r#"{{"Items":[{}],"MorePages":false,"StoreRevision":{}}}"#,
            items.join(","),
            state.revision
        )
    }

    /// The changes after a revision, as soon as there is one.
    fn watch(&self, query: &str) -> (u16, String) {
        let after: u64 = field(query, "After").parse().unwrap_or(0);
        let wait: u64 = field(query, "WaitMs").parse().unwrap_or(0);
        let end = Instant::now() + Duration::from_millis(wait);
        let (state, changed) = &*self.state;
        let mut state = lock(state);
        if after < state.discarded {
            return (410, "{}".to_owned());
        }
        while state.revision <= after {
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            state = match changed.wait_timeout(state, left) {
                Ok((state, _)) => state,
                Err(poisoned) => poisoned.into_inner().0,
            };
        }
        let events: Vec<String> = state
            .history
            .iter()
            .filter(|(revision, ..)| *revision > after)
            .map(|(revision, key, value)| match value {
                Some(value) => written(key, value, *revision),
                None => format!(r#"{{"Key":"{key}","Revision":{revision},"Tombstone":true}}"#),
            })
            .collect();
        let body = format!(
            r#"{{"events":[{}],"StoreRevision":{}}}"#,
            events.join(","),
            state.revision
        );
        (200, body)
    }
}

fn written(key: &str, value: &str, revision: u64) -> String {
    format!(
        r#"{{"Key":"{key}","Value":"{}","Revision":{revision},"Created":{revision},"Lease":0}}"#,
        base64(value.as_bytes())
    )
}

/// A field of a query. A `%` sequence, which sorts after all keys here, stays as it is.
fn field(query: &str, name: &str) -> String {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let value = pairs.find(|(key, _)| *key == name).map(|(_, value)| value);
    value.unwrap_or_default().replace('%', "\u{10ffff}")
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let byte = |index: usize| u32::from(group.get(index).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for place in 0..4 {
            if place <= group.len() {
                let digit = bits >> (18 - 6 * place) & 63;
                text.push(char::from(DIGITS[digit as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}
