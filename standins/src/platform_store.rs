//! The platform's store: items with revisions, ranges, and watches over a short history.

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, SocketAddrV4, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use data_encoding::BASE64;
use serde_json::{Value, json};
use socket2::SockRef;

use crate::wire_text::read_message;

/// Items on one page of a range.
const PAGE: usize = 5;

/// What a store does with calls.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StoreMode {
    /// Answers them.
    Serve,
    /// Answers with this status.
    Refuse(u16),
    /// Resets their connections.
    Reset,
    /// Takes them and says nothing.
    Silent,
    /// Answers every third call and refuses the others.
    Busy,
}

#[derive(Debug)]
struct StoreState {
    revision: u64,
    /// Content and revision by key.
    items: BTreeMap<String, (Vec<u8>, u64)>,
    /// Changes by revision; none stands for a removal.
    history: Vec<(u64, String, Option<Vec<u8>>)>,
    /// Changes up to this revision have been discarded.
    discarded: u64,
}

/// A running store; its threads end with the process. Its doors share the items, and each has a
/// mode of its own, so that it can serve some routers and refuse others.
#[derive(Clone, Debug)]
pub struct PlatformStore {
    state: Arc<(Mutex<StoreState>, Condvar)>,
}

/// One address of a store.
#[derive(Clone, Debug)]
pub struct StoreEndpoint {
    /// Where it listens.
    pub address: SocketAddrV4,
    mode: Arc<Mutex<StoreMode>>,
    calls: Arc<Mutex<Vec<String>>>,
}

impl StoreEndpoint {
    /// Changes what is done with calls, waiting ones included.
    pub fn set_mode(&self, mode: StoreMode) {
        *self.mode.lock().unwrap_or_else(PoisonError::into_inner) = mode;
    }

    /// The paths and queries of all calls so far.
    pub fn calls(&self) -> Vec<String> {
        self.calls
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    fn mode(&self) -> StoreMode {
        *self.mode.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Default for PlatformStore {
    fn default() -> Self {
        let state = StoreState {
            revision: 1,
            items: BTreeMap::new(),
            history: Vec::new(),
            discarded: 0,
        };
        Self {
            state: Arc::new((Mutex::new(state), Condvar::new())),
        }
    }
}

impl PlatformStore {
    /// Opens an address of the store.
    pub fn open_endpoint(&self) -> StoreEndpoint {
        let listener = TcpListener::bind("127.0.0.1:0").expect("loopback listener");
        let SocketAddr::V4(address) = listener.local_addr().expect("bound address") else {
            panic!("the loopback address is IPv4");
        };
        let endpoint = StoreEndpoint {
            address,
            mode: Arc::new(Mutex::new(StoreMode::Serve)),
            calls: Arc::default(),
        };
        let store = self.clone();
        let shared = endpoint.clone();
        thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let store = store.clone();
                let endpoint = shared.clone();
                thread::spawn(move || store.serve(socket, &endpoint));
            }
        });
        endpoint
    }

    /// Writes an item.
    pub fn put(&self, key: &str, value: &[u8]) {
        self.change(key, Some(value.to_vec()));
    }

    /// Removes an item.
    pub fn remove(&self, key: &str) {
        self.change(key, None);
    }

    /// Discards the history, so that older watches are told that it is gone.
    pub fn discard_history(&self) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap_or_else(PoisonError::into_inner);
        state.discarded = state.revision;
        state.history.clear();
        changed.notify_all();
    }

    fn change(&self, key: &str, value: Option<Vec<u8>>) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap_or_else(PoisonError::into_inner);
        state.revision += 1;
        let revision = state.revision;
        match &value {
            Some(value) => {
                state
                    .items
                    .insert(key.to_owned(), (value.clone(), revision));
            }
            None => {
                state.items.remove(key);
            }
        }
        state.history.push((revision, key.to_owned(), value));
        changed.notify_all();
    }

    fn serve(&self, mut socket: TcpStream, endpoint: &StoreEndpoint) {
        let Ok(reader) = socket.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(reader);
        while let Ok(Some((head, _))) = read_message(&mut reader, false) {
            endpoint
                .calls
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .push(head.target().to_owned());
            let serves = match endpoint.mode() {
                StoreMode::Busy => endpoint.calls().len().is_multiple_of(3),
                mode => mode == StoreMode::Serve,
            };
            let answer = serves.then(|| self.answer(head.target()));
            let (status, body) = match (answer, endpoint.mode()) {
                // A call that waited is cut when the mode has changed meanwhile.
                (Some(answer), StoreMode::Serve | StoreMode::Busy) => answer,
                (None, StoreMode::Busy) => (429, json!({})),
                (_, StoreMode::Refuse(status)) => (status, json!({})),
                (_, StoreMode::Silent) => {
                    let _ = read_message(&mut reader, false);
                    return;
                }
                _ => {
                    let _ = SockRef::from(&socket).set_linger(Some(Duration::ZERO));
                    return;
                }
            };
            let body = body.to_string();
            let text = format!(
                "HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\n\
                 Content-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if socket.write_all(text.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, target: &str) -> (u16, Value) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let field = |name: &str| {
            query
                .split('&')
                .filter_map(|pair| pair.split_once('='))
                .find(|(known, _)| *known == name)
                .map(|(_, value)| value.to_owned())
                .unwrap_or_default()
        };
        let prefix = field("Prefix");
        match path {
            "/kv-range" => (200, self.range(&prefix, &field("After"))),
            "/kv-watch" => {
                let after = field("After").parse().unwrap_or(0);
                let wait = field("WaitMs").parse().unwrap_or(0);
                self.watch(&prefix, after, Duration::from_millis(wait))
            }
            _ => (404, json!({})),
        }
    }

    fn range(&self, prefix: &str, after: &str) -> Value {
        let state = self.state.0.lock().unwrap_or_else(PoisonError::into_inner);
        let mut items: Vec<Value> = state
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after)
            .take(PAGE + 1)
            .map(|(key, (value, revision))| written(key, value, *revision))
            .collect();
        let more = items.len() > PAGE;
        items.truncate(PAGE);
        json!({"Items": items, "MorePages": more, "StoreRevision": state.revision})
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> (u16, Value) {
        let (state, changed) = &*self.state;
        let state = state.lock().unwrap_or_else(PoisonError::into_inner);
        let idle = |state: &mut StoreState| {
            state.discarded <= after
                && !state
                    .history
                    .iter()
                    .any(|(revision, key, _)| *revision > after && key.starts_with(prefix))
        };
        let (state, _) = changed
            .wait_timeout_while(state, wait, idle)
            .unwrap_or_else(PoisonError::into_inner);
        if state.discarded > after {
            return (410, json!({}));
        }
        let events: Vec<Value> = state
            .history
            .iter()
            .filter(|(revision, key, _)| *revision > after && key.starts_with(prefix))
            .map(|(revision, key, value)| match value {
                Some(value) => written(key, value, *revision),
                None => json!({"Key": key, "Revision": revision, "Tombstone": true}),
            })
            .collect();
        (
            200,
            json!({"events": events, "StoreRevision": state.revision}),
        )
    }
}

fn written(key: &str, value: &[u8], revision: u64) -> Value {
    json!({
        "Key": key, "Value": BASE64.encode(value), "Revision": revision, "Created": revision,
        "Lease": 0
    })
}
