//! The platform's store of rows in tables.

use std::{
    collections::BTreeMap,
    sync::{Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http,
    json::{self, Json},
};

type Key = (String, String, String);

struct Change {
    version: u64,
    key: Key,
    value: Option<String>,
}

#[derive(Default)]
struct Rows {
    version: u64,
    rows: BTreeMap<Key, (String, u64)>,
    log: Vec<Change>,
}

pub struct Store {
    started: Instant,
    rows: Mutex<Rows>,
    changed: Condvar,
}

const TX_MS: u64 = 4;
const MAX_ROWS: usize = 500;

fn row(key: &Key, value: Option<&str>, version: u64) -> Json {
    let mut entries = vec![
        ("Table", json::text(&key.0)),
        ("part", json::text(&key.1)),
        ("Key", json::text(&key.2)),
        ("Ver", json::num(version)),
    ];
    match value {
        Some(value) => entries.push(("Value", json::text(value))),
        None => entries.push(("Tombstone", Json::Bool(true))),
    }
    json::map(entries)
}

impl Store {
    pub fn new() -> Self {
        Self { started: Instant::now(), rows: Mutex::default(), changed: Condvar::new() }
    }

    fn answer(&self, version: u64, rows: Vec<Json>, truncated: bool) -> String {
        let now = self.started.elapsed().as_millis() as u64;
        json::map(vec![
            ("rows", Json::List(rows)),
            ("Truncated", Json::Bool(truncated)),
            ("Ver", json::num(version)),
            ("NowMs", json::num(now)),
        ])
        .write()
    }

    /// Writes a row as an operator or a worker does.
    pub fn put(&self, table: &str, name: &str, value: &str) {
        let key = (table.to_owned(), String::new(), name.to_owned());
        let mut rows = self.rows.lock().unwrap();
        rows.version += 1;
        let version = rows.version;
        let value = base64(value.as_bytes());
        rows.rows.insert(key.clone(), (value.clone(), version));
        rows.log.push(Change { version, key, value: Some(value) });
        self.changed.notify_all();
    }

    /// Removes a row as a worker does that has left.
    pub fn drop_row(&self, table: &str, name: &str) {
        let key = (table.to_owned(), String::new(), name.to_owned());
        let mut rows = self.rows.lock().unwrap();
        if rows.rows.remove(&key).is_some() {
            rows.version += 1;
            let version = rows.version;
            rows.log.push(Change { version, key, value: None });
            self.changed.notify_all();
        }
    }

    pub fn handle(&self, request: &http::Request) -> Option<(u16, String)> {
        match request.path.as_str() {
            "/rows-tx" => Some(self.transact(&json::parse(&request.body)?)),
            "/rows-get" => Some(self.read(request)),
            "/rows-feed" => Some(self.feed(request)),
            "/rows-parts" => Some(self.parts(request)),
            _ => Some((404, String::new())),
        }
    }

    fn transact(&self, body: &Json) -> (u16, String) {
        thread::sleep(Duration::from_millis(TX_MS));
        let key = |entry: &Json| {
            let part = |name| entry.get(name).text().to_owned();
            (part("Table"), part("part"), part("Key"))
        };
        let is_foreign = |entry: &Json| ["op", "servers"].contains(&entry.get("Table").text());
        let (writes, removals) = (body.get("Writes").list(), body.get("Remove").list());
        if writes.iter().chain(removals).any(is_foreign) {
            return (403, String::new());
        }
        let mut rows = self.rows.lock().unwrap();
        let checks = body.get("ExpectedRev").list();
        let found = |rows: &Rows, key: &Key| rows.rows.get(key).map_or(0, |(_, version)| *version);
        let is_met = checks.iter().all(|c| found(&rows, &key(c)) == c.get("Ver").whole());
        if !is_met {
            let keys: Vec<Key> = checks.iter().map(key).collect();
            let present = keys.iter().filter_map(|key| {
                let (value, version) = rows.rows.get(key)?;
                Some(row(key, Some(value), *version))
            });
            return (412, self.answer(rows.version, present.collect(), false));
        }
        rows.version += 1;
        let version = rows.version;
        for entry in writes {
            let (key, value) = (key(entry), entry.get("Value").text().to_owned());
            rows.rows.insert(key.clone(), (value.clone(), version));
            rows.log.push(Change { version, key, value: Some(value) });
        }
        for entry in removals {
            let key = key(entry);
            if rows.rows.remove(&key).is_some() {
                rows.log.push(Change { version, key, value: None });
            }
        }
        self.changed.notify_all();
        (200, self.answer(version, Vec::new(), false))
    }

    fn read(&self, request: &http::Request) -> (u16, String) {
        let param = |name: &str| request.param(name).unwrap_or_default().to_owned();
        let (table, part) = (param("Table"), param("part"));
        let (from, to) = (param("From"), request.param("To"));
        let limit = param("Limit").parse().unwrap_or(MAX_ROWS).min(MAX_ROWS);
        let rows = self.rows.lock().unwrap();
        let first = (table.clone(), part.clone(), from);
        let range = rows.rows.range(first..);
        let range = range.take_while(|(key, _)| key.0 == table && key.1 == part);
        let range = range.take_while(|(key, _)| to.is_none_or(|to| key.2.as_str() < to));
        let mut found: Vec<Json> =
            range.take(limit + 1).map(|(key, (v, version))| row(key, Some(v), *version)).collect();
        let truncated = found.len() > limit;
        found.truncate(limit);
        (200, self.answer(rows.version, found, truncated))
    }

    fn parts(&self, request: &http::Request) -> (u16, String) {
        let table = request.param("Table").unwrap_or_default();
        let rows = self.rows.lock().unwrap();
        let mut parts: Vec<&str> =
            rows.rows.keys().filter(|key| key.0 == table).map(|key| key.1.as_str()).collect();
        parts.dedup();
        let list = Json::List(parts.into_iter().map(json::text).collect());
        (200, json::map(vec![("parts", list)]).write())
    }

    fn feed(&self, request: &http::Request) -> (u16, String) {
        let number = |name: &str| request.param(name).and_then(|text| text.parse().ok());
        let table = request.param("Table").unwrap_or_default().to_owned();
        let after: u64 = number("After").unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(number("WaitMs").unwrap_or(0));
        let mut rows = self.rows.lock().unwrap();
        loop {
            let changes = rows.log.iter().filter(|c| c.version > after && c.key.0 == table);
            let found: Vec<&Change> = changes.collect();
            let left = until.saturating_duration_since(Instant::now());
            if !found.is_empty() || left.is_zero() {
                let is_cut = found.len() > MAX_ROWS;
                let last = found.get(MAX_ROWS.wrapping_sub(1)).map(|change| change.version);
                let version = last.filter(|_| is_cut).unwrap_or(rows.version);
                let found = found.iter().filter(|change| change.version <= version);
                let found = found.map(|c| row(&c.key, c.value.as_deref(), c.version)).collect();
                return (200, self.answer(version, found, false));
            }
            rows = self.changed.wait_timeout(rows, left).unwrap().0;
        }
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let n = chunk.iter().fold(0_u32, |n, byte| n << 8 | u32::from(*byte))
            << (8 * (3 - chunk.len()));
        for k in 0..4 {
            let digit = char::from(DIGITS[(n >> (18 - 6 * k) & 63) as usize]);
            out.push(if k <= chunk.len() { digit } else { '=' });
        }
    }
    out
}
