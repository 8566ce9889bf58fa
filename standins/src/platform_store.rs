//! Stand-in of the platform's key-value store: items with revisions, paged range reads, and watches
//! that return changes from a history.

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, SocketAddrV4, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

use data_encoding::BASE64;
use serde_json::{Value, json};
use socket2::SockRef;

use crate::wire_text::read_message;

/// Maximum number of items on one page of a range read.
const PAGE_ITEMS: usize = 5;

/// How a store treats the calls on one of its addresses.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StoreMode {
    /// Serves them.
    Serve,
    /// Refuses them with this status.
    Refuse(u16),
    /// Resets their connections.
    Reset,
    /// Reads them and sends no response.
    Silent,
    /// Serves every third call and refuses the others with status 429.
    Busy,
}

/// A copy of all items, from which a store can be restored.
#[derive(Clone, Debug)]
pub struct StoreCopy {
    revision: u64,
    items: BTreeMap<String, (Vec<u8>, u64)>,
}

#[derive(Debug)]
struct StoreState {
    /// Number of restores.
    era: u64,
    /// Value of the header `Store-Era`; `None` if responses don't have it.
    era_header: Option<String>,
    revision: u64,
    /// Content and revision by key.
    items: BTreeMap<String, (Vec<u8>, u64)>,
    /// Revision, key and content of each change in order; `None` for a removal.
    history: Vec<(u64, String, Option<Vec<u8>>)>,
    /// Key, name and value of fields in which an item differs from what was written.
    odd_fields: Vec<(String, String, Value)>,
    /// Changes up to this revision have been discarded.
    discarded: u64,
}

impl StoreState {
    fn item_json(&self, key: &str, value: &[u8], revision: u64) -> Value {
        let mut item = json!({
            "Key": key, "Value": BASE64.encode(value), "Revision": revision, "Created": revision,
            "Lease": 0
        });
        let odd_fields = self.odd_fields.iter().filter(|(owner, _, _)| owner == key);
        for (_, field, value) in odd_fields {
            item[field] = value.clone();
        }
        item
    }
}

/// A running store. Its threads run until the process exits. All its addresses serve the same
/// items, and each has a mode of its own, so that the store can serve some routers and refuse
/// others.
#[derive(Clone, Debug)]
pub struct PlatformStore {
    state: Arc<(Mutex<StoreState>, Condvar)>,
}

/// One address of a store, with the mode and the record of calls of that address.
#[derive(Clone, Debug)]
pub struct StoreEndpoint {
    pub address: SocketAddrV4,
    mode: Arc<Mutex<StoreMode>>,
    calls: Arc<Mutex<Vec<String>>>,
}

impl StoreEndpoint {
    /// Changes the mode. The new mode also decides how calls end that wait for a change.
    pub fn set_mode(&self, mode: StoreMode) {
        *self.mode.lock().unwrap_or_else(PoisonError::into_inner) = mode;
    }

    /// Returns path and query of every call so far.
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
            era: 1,
            era_header: None,
            revision: 1,
            items: BTreeMap::new(),
            history: Vec::new(),
            odd_fields: Vec::new(),
            discarded: 0,
        };
        Self {
            state: Arc::new((Mutex::new(state), Condvar::new())),
        }
    }
}

impl PlatformStore {
    /// Starts to listen on one more loopback address.
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

    pub fn put(&self, key: &str, value: &[u8]) {
        self.apply_change(key, Some(value.to_vec()));
    }

    pub fn remove(&self, key: &str) {
        self.apply_change(key, None);
    }

    /// Replaces a field of the item that pages and watches return for `key`.
    pub fn set_item_field(&self, key: &str, field: &str, value: Value) {
        let mut state = self.state.0.lock().unwrap_or_else(PoisonError::into_inner);
        let odd_field = (key.to_owned(), field.to_owned(), value);
        state.odd_fields.push(odd_field);
    }

    /// Discards the history, so that a watch from an older revision gets status 410.
    pub fn discard_history(&self) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap_or_else(PoisonError::into_inner);
        state.discarded = state.revision;
        state.history.clear();
        changed.notify_all();
    }

    /// Copies all items.
    pub fn copy(&self) -> StoreCopy {
        let state = self.lock();
        StoreCopy {
            revision: state.revision,
            items: state.items.clone(),
        }
    }

    /// Replaces all items and the revision by those of a copy, and begins the next era.
    pub fn restore(&self, copy: &StoreCopy) {
        let mut state = self.lock();
        state.era += 1;
        state.era_header = Some(state.era.to_string());
        state.revision = copy.revision;
        state.items.clone_from(&copy.items);
        state.history.retain(|(at, ..)| *at <= copy.revision);
        self.state.1.notify_all();
    }

    /// Adds the header `Store-Era` to all responses, with the number of the era.
    pub fn name_era(&self) {
        let mut state = self.lock();
        state.era_header = Some(state.era.to_string());
    }

    /// Replaces the header `Store-Era` of all responses until the next restore, or omits it.
    pub fn name_era_as(&self, value: Option<&str>) {
        self.lock().era_header = value.map(str::to_owned);
    }

    fn lock(&self) -> MutexGuard<'_, StoreState> {
        self.state.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn apply_change(&self, key: &str, value: Option<Vec<u8>>) {
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
            let response = serves.then(|| self.response_to(head.target()));
            let (status, body) = match (response, endpoint.mode()) {
                // Checks the mode again: it may have changed while the call waited.
                (Some(response), StoreMode::Serve | StoreMode::Busy) => response,
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
            let era = self.lock().era_header.clone();
            let era = era.map_or(String::new(), |era| format!("Store-Era: {era}\r\n"));
            let text = format!(
                "HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\n{era}\
                 Content-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if socket.write_all(text.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn response_to(&self, target: &str) -> (u16, Value) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let parameter = |name: &str| {
            query
                .split('&')
                .filter_map(|pair| pair.split_once('='))
                .find(|(key, _)| *key == name)
                .map(|(_, value)| value.to_owned())
                .unwrap_or_default()
        };
        let prefix = parameter("Prefix");
        match path {
            "/kv-range" => (200, self.range(&prefix, &parameter("After"))),
            "/kv-watch" => {
                let after = parameter("After").parse().unwrap_or(0);
                let wait = parameter("WaitMs").parse().unwrap_or(0);
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
            .take(PAGE_ITEMS + 1)
            .map(|(key, (value, revision))| state.item_json(key, value, *revision))
            .collect();
        let more = items.len() > PAGE_ITEMS;
        items.truncate(PAGE_ITEMS);
        json!({"Items": items, "MorePages": more, "StoreRevision": state.revision})
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> (u16, Value) {
        let (state, changed) = &*self.state;
        let state = state.lock().unwrap_or_else(PoisonError::into_inner);
        let unchanged = |state: &mut StoreState| {
            state.discarded <= after
                && after <= state.revision
                && !state
                    .history
                    .iter()
                    .any(|(revision, key, _)| *revision > after && key.starts_with(prefix))
        };
        let (state, _) = changed
            .wait_timeout_while(state, wait, unchanged)
            .unwrap_or_else(PoisonError::into_inner);
        if state.discarded > after || after > state.revision {
            return (410, json!({}));
        }
        let events: Vec<Value> = state
            .history
            .iter()
            .filter(|(revision, key, _)| *revision > after && key.starts_with(prefix))
            .map(|(revision, key, value)| match value {
                Some(value) => state.item_json(key, value, *revision),
                None => json!({"Key": key, "Revision": revision, "Tombstone": true}),
            })
            .collect();
        (
            200,
            json!({"events": events, "StoreRevision": state.revision}),
        )
    }
}
