//! Stand-in of the platform's store: `kv-range` and `kv-watch` as PROTOCOL.md describes them.

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddrV4, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Message, read_request};

#[derive(Default)]
struct Content {
    revision: u64,
    items: BTreeMap<String, (String, u64)>,
    /// Changes in order: revision, key and the new value, or `None` for a removal.
    changes: Vec<(u64, String, Option<String>)>,
    /// Number of times that the waiting watches were cut.
    cuts: u64,
    waiting: usize,
}

/// The store. All clones share one content.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddrV4,
    content: Arc<(Mutex<Content>, Condvar)>,
}

impl Store {
    pub fn start(ip: std::net::Ipv4Addr) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("the store listens");
        let port = listener.local_addr().expect("address").port();
        let store = Self {
            address: SocketAddrV4::new(ip, port),
            content: Arc::default(),
        };
        let served = store.clone();
        thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || store.serve(socket));
            }
        });
        store
    }

    /// Writes an item and returns the time of the acknowledgement.
    pub fn write(&self, key: &str, value: &str) -> Instant {
        self.change(key, Some(value.to_owned()))
    }

    /// Removes an item and returns the time of the acknowledgement.
    pub fn remove(&self, key: &str) -> Instant {
        self.change(key, None)
    }

    fn change(&self, key: &str, value: Option<String>) -> Instant {
        let (content, changed) = &*self.content;
        let mut content = content.lock().expect("content");
        content.revision += 1;
        let revision = content.revision;
        match &value {
            Some(value) => {
                let item = (value.clone(), revision);
                content.items.insert(key.to_owned(), item);
            }
            None => {
                content.items.remove(key);
            }
        }
        content.changes.push((revision, key.to_owned(), value));
        changed.notify_all();
        Instant::now()
    }

    /// Closes the connections of all watches that wait now. Returns their number.
    pub fn cut_watches(&self) -> usize {
        let (content, changed) = &*self.content;
        let mut content = content.lock().expect("content");
        content.cuts += 1;
        changed.notify_all();
        content.waiting
    }

    fn serve(&self, socket: TcpStream) {
        let _ = socket.set_nodelay(true);
        let Ok(reading) = socket.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(reading);
        let mut socket = socket;
        while let Ok(Some(request)) = read_request(&mut reader) {
            let Some(body) = self.answer(&request) else {
                return;
            };
            let head = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            if socket
                .write_all(format!("{head}{body}").as_bytes())
                .is_err()
            {
                return;
            }
        }
    }

    /// Returns the body of the answer, or `None` if the connection is to be closed.
    fn answer(&self, request: &Message) -> Option<String> {
        let (path, query) = request.target().split_once('?')?;
        let field = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
        };
        match path {
            "/kv-range" => Some(self.range(field("After").unwrap_or_default())),
            "/kv-watch" => {
                let after = field("After")?.parse().ok()?;
                let wait = field("WaitMs")?.parse().ok()?;
                self.watch(after, Duration::from_millis(wait))
            }
            _ => None,
        }
    }

    fn range(&self, after: &str) -> String {
        let content = self.content.0.lock().expect("content");
        let items = content.items.iter().filter(|(key, _)| key.as_str() > after);
        let items: Vec<String> = items
            .map(|(key, (value, revision))| written(key, value, *revision))
            .collect();
        let revision = content.revision;
        format!(
            "{{\"Items\":[{}],\"MorePages\":false,\"StoreRevision\":{revision}}}",
            items.join(",")
        )
    }

    fn watch(&self, after: u64, wait: Duration) -> Option<String> {
        let end = Instant::now() + wait;
        let (content, changed) = &*self.content;
        let mut content = content.lock().expect("content");
        let cuts = content.cuts;
        content.waiting += 1;
        while content.revision <= after && content.cuts == cuts && Instant::now() < end {
            let left = end.saturating_duration_since(Instant::now());
            content = changed.wait_timeout(content, left).expect("content").0;
        }
        content.waiting -= 1;
        if content.revision <= after && content.cuts != cuts {
            return None;
        }
        let news = content.changes.iter().filter(|(at, ..)| *at > after);
        let events: Vec<String> = news
            .map(|(at, key, value)| match value {
                Some(value) => written(key, value, *at),
                None => format!("{{\"Key\":\"{key}\",\"Revision\":{at},\"Tombstone\":true}}"),
            })
            .collect();
        let revision = content.revision;
        Some(format!(
            "{{\"events\":[{}],\"StoreRevision\":{revision}}}",
            events.join(",")
        ))
    }
}

fn written(key: &str, value: &str, revision: u64) -> String {
    let value = base64(value.as_bytes());
    format!(
        "{{\"Key\":\"{key}\",\"Value\":\"{value}\",\"Revision\":{revision},\
         \"Created\":{revision},\"Lease\":0}}"
    )
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let mut bits = 0;
        for index in 0..3 {
            bits = (bits << 8) | u32::from(group.get(index).copied().unwrap_or_default());
        }
        for index in 0..4 {
            if index <= group.len() {
                let digit = (bits >> (18 - 6 * index)) & 63;
                text.push(char::from(DIGITS[digit as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}
