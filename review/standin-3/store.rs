//! The platform's table store: rows, transactions, ranges and a change feed.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http,
    json::{self, n, obj, s, Json},
};

type Key = (String, String, String);

#[derive(Default)]
struct Rows {
    rows: BTreeMap<Key, (String, u64)>,
    history: Vec<(u64, Key)>,
    version: u64,
}

pub struct Store {
    /// The time of the last ping of each worker.
    pings: Mutex<BTreeMap<String, Instant>>,
    rows: Mutex<Rows>,
    changed: Condvar,
    since: Instant,
}

/// The time that a transaction takes.
const TX: Duration = Duration::from_millis(4);
const MAX_ROWS: usize = 500;
const MAX_ENTRIES: usize = 100;

fn key_of(entry: &Json) -> Key {
    let field = |name: &str| entry.get(name).text().to_owned();
    (field("Table"), field("part"), field("Key"))
}

impl Rows {
    fn version_of(&self, key: &Key) -> u64 {
        self.rows.get(key).map_or(0, |(_, version)| *version)
    }

    fn put(&mut self, key: Key, value: Option<String>) {
        let version = self.version;
        match value {
            Some(value) => self.rows.insert(key.clone(), (value, version)),
            None => self.rows.remove(&key),
        };
        self.history.push((version, key));
    }

    fn json(&self, key: &Key, removed_at: u64) -> Json {
        let mut row = vec![("Table", s(&key.0)), ("part", s(&key.1)), ("Key", s(&key.2))];
        match self.rows.get(key) {
            Some((value, version)) => row.extend([("Value", s(value)), ("Ver", n(*version))]),
            None => row.extend([("Tombstone", Json::Bool(true)), ("Ver", n(removed_at))]),
        }
        obj(row)
    }
}

impl Store {
    pub fn new() -> Arc<Self> {
        let (rows, changed) = (Mutex::default(), Condvar::new());
        let pings = Mutex::default();
        Arc::new(Self { pings, rows, changed, since: Instant::now() })
    }

    pub fn serve(self: &Arc<Self>, listener: std::net::TcpListener) {
        let store = Arc::clone(self);
        http::serve(listener, Arc::new(move |request| store.handle(request)));
    }

    /// Writes a row as the operator and the workers do.
    pub fn write(&self, table: &str, key: &str, value: Option<&str>) {
        let mut rows = self.rows.lock().unwrap();
        rows.version += 1;
        let value = value.map(|value| crate::base64(value.as_bytes()));
        rows.put((table.to_owned(), String::new(), key.to_owned()), value);
        drop(rows);
        self.changed.notify_all();
    }

    /// Removes the entry of a worker that was silent for this long.
    pub fn expire(&self, id: &str, silence: Duration) {
        if self.pings.lock().unwrap().get(id).is_some_and(|at| at.elapsed() >= silence) {
            self.write("servers", id, None);
        }
    }

    fn reply(&self, mut fields: Vec<(&str, Json)>, version: u64) -> String {
        let now = self.since.elapsed().as_millis() as u64;
        fields.extend([("Ver", n(version)), ("NowMs", n(now))]);
        obj(fields).to_string()
    }

    fn handle(&self, request: &http::Request) -> (u16, String) {
        match (request.method.as_str(), request.path.as_str()) {
            ("POST", "/rows-tx") => self.transact(request),
            ("GET", "/rows-get") => self.range(request),
            ("GET", "/rows-feed") => self.feed(request),
            ("POST", "/register") => {
                let key = request.param("Key").unwrap_or_default();
                self.pings.lock().unwrap().insert(key.to_owned(), Instant::now());
                self.write("servers", key, Some(&String::from_utf8_lossy(&request.body)));
                (200, "{}".to_owned())
            }
            _ => (400, "{}".to_owned()),
        }
    }

    fn transact(&self, request: &http::Request) -> (u16, String) {
        let Some(body) = json::parse(&request.body) else { return (400, "{}".to_owned()) };
        thread::sleep(TX);
        let (checks, writes) = (body.get("ExpectedRev").items(), body.get("Writes").items());
        let removals = body.get("Remove").items();
        let all = checks.iter().chain(writes).chain(removals);
        let parts: BTreeSet<String> = all.clone().map(|e| key_of(e).1).collect();
        if parts.len() > 1 || all.count() > MAX_ENTRIES {
            return (400, "{}".to_owned());
        }
        if writes.iter().chain(removals).any(|e| ["op", "servers"].contains(&e.get("Table").text())) {
            return (403, "{}".to_owned());
        }
        let mut rows = self.rows.lock().unwrap();
        let holds = |e: &Json| rows.version_of(&key_of(e)) == e.get("Ver").num().unwrap_or(0);
        if !checks.iter().all(holds) {
            let present = checks.iter().map(key_of).filter(|key| rows.rows.contains_key(key));
            let found = present.map(|key| rows.json(&key, 0)).collect();
            return (412, self.reply(vec![("rows", Json::Arr(found))], rows.version));
        }
        rows.version += 1;
        for entry in writes {
            rows.put(key_of(entry), Some(entry.get("Value").text().to_owned()));
        }
        for entry in removals {
            rows.put(key_of(entry), None);
        }
        let version = rows.version;
        drop(rows);
        self.changed.notify_all();
        (200, self.reply(Vec::new(), version))
    }

    fn range(&self, request: &http::Request) -> (u16, String) {
        let (table, part) = (request.param("Table").unwrap_or(""), request.param("part").unwrap_or(""));
        let from = request.param("From").unwrap_or("");
        let limit = request.param("Limit").and_then(|l| l.parse().ok()).unwrap_or(MAX_ROWS);
        let limit = limit.min(MAX_ROWS);
        let rows = self.rows.lock().unwrap();
        let first = (table.to_owned(), part.to_owned(), from.to_owned());
        let is_in = |key: &&Key| {
            key.0 == table && key.1 == part && request.param("To").is_none_or(|to| key.2.as_str() < to)
        };
        let keys: Vec<_> = rows.rows.range(first..).map(|(key, _)| key).take_while(is_in).collect();
        let found = keys.iter().take(limit).map(|key| rows.json(key, 0)).collect();
        let is_cut = Json::Bool(keys.len() > limit);
        (200, self.reply(vec![("rows", Json::Arr(found)), ("Truncated", is_cut)], rows.version))
    }

    fn feed(&self, request: &http::Request) -> (u16, String) {
        let table = request.param("Table").unwrap_or("");
        let after = request.param("After").and_then(|a| a.parse().ok()).unwrap_or(0);
        let wait = request.param("WaitMs").and_then(|w| w.parse().ok()).unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait);
        let mut rows = self.rows.lock().unwrap();
        loop {
            let first = rows.history.partition_point(|(version, _)| *version <= after);
            let changed = rows.history[first..].iter().filter(|(_, key)| key.0 == table);
            let newest: BTreeMap<&Key, u64> = changed.map(|(version, key)| (key, *version)).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !newest.is_empty() || left.is_zero() {
                let mut keys: Vec<_> = newest.into_iter().map(|(key, version)| (version, key)).collect();
                keys.sort_unstable();
                let is_cut = keys.len() > MAX_ROWS;
                keys.truncate(MAX_ROWS);
                let version = if is_cut { keys[MAX_ROWS - 1].0 } else { rows.version };
                let found = keys.iter().map(|(version, key)| rows.json(key, *version)).collect();
                return (200, self.reply(vec![("rows", Json::Arr(found))], version));
            }
            rows = self.changed.wait_timeout(rows, left).unwrap().0;
        }
    }
}
