//! A stand-in of the platform's store: rows, transactions and the feed of changes.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Reply, Request};
use crate::json::Json;
use crate::record::Record;

const TX_TIME: Duration = Duration::from_millis(4);
const ROW_BYTES: usize = 65_536;
const CALL_BYTES: usize = 1_000_000;
const CALL_ENTRIES: usize = 100;
const PAGE_ROWS: usize = 500;

type Key = (String, String, String);

#[derive(Default)]
struct Rows {
    rows: BTreeMap<Key, (String, u64)>,
    history: Vec<(u64, Key)>,
    version: u64,
}

/// How the store treats the daemons' calls.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Mode {
    Up,
    /// Each call is refused with 503, and nothing is done.
    Busy,
}

/// A write whose answer is lost and that is carried out later, if its condition still holds.
#[derive(Clone, Debug)]
pub struct LateWrite {
    /// A text in the key of a row that it writes.
    pub key: String,
    pub delay: Duration,
}

pub struct Store {
    rows: Mutex<Rows>,
    parts: Mutex<HashMap<String, Arc<Mutex<()>>>>,
    mode: Mutex<Mode>,
    late: Mutex<Option<LateWrite>>,
    begun: Instant,
    record: Arc<Record>,
    refused: Mutex<Option<String>>,
}

fn key_of(entry: &Json) -> Key {
    (entry.text("Table"), entry.text("part"), entry.text("Key"))
}

/// Returns the number of bytes that a base64 text encodes.
fn decoded_len(text: &str) -> usize {
    text.len() / 4 * 3 - text.bytes().rev().take_while(|b| *b == b'=').count()
}

impl Rows {
    fn render(&self, key: &Key) -> Json {
        let (table, part, name) = key;
        let mut fields =
            vec![("Table", Json::str(table)), ("part", Json::str(part)), ("Key", Json::str(name))];
        match self.rows.get(key) {
            Some((value, version)) => {
                fields.push(("Value", Json::str(value)));
                fields.push(("Ver", Json::num(*version)));
            }
            None => {
                fields.push(("Tombstone", Json::Bool(true)));
                fields.push(("Ver", Json::num(self.version)));
            }
        }
        Json::obj(fields)
    }

    fn write(&mut self, key: Key, value: String) {
        self.rows.insert(key.clone(), (value, self.version));
        self.history.push((self.version, key));
    }
}

impl Store {
    pub fn new(record: Arc<Record>) -> Self {
        Self {
            rows: Mutex::default(),
            parts: Mutex::default(),
            mode: Mutex::new(Mode::Up),
            late: Mutex::default(),
            begun: Instant::now(),
            record,
            refused: Mutex::default(),
        }
    }

    pub fn set_mode(&self, mode: Mode) {
        *self.mode.lock().unwrap() = mode;
        self.record.tell(&format!("the store is {mode:?}"));
    }

    /// Loses the answer to the next write of such a row, and carries it out later.
    pub fn lose_write(&self, late: LateWrite) {
        *self.late.lock().unwrap() = Some(late);
    }

    /// Writes a row as operators and workers do.
    pub fn put(&self, table: &str, name: &str, value: &Json) {
        if *self.mode.lock().unwrap() != Mode::Up {
            return;
        }
        let mut rows = self.rows.lock().unwrap();
        rows.version += 1;
        rows.write(
            (table.to_owned(), String::new(), name.to_owned()),
            crate::base64(value.render().as_bytes()),
        );
    }

    /// Removes a row as workers do that leave.
    pub fn remove(&self, table: &str, name: &str) {
        let mut rows = self.rows.lock().unwrap();
        rows.version += 1;
        let key = (table.to_owned(), String::new(), name.to_owned());
        rows.rows.remove(&key);
        let version = rows.version;
        rows.history.push((version, key));
    }

    fn answer(&self, rows: &Rows, mut fields: Vec<(&str, Json)>) -> Json {
        fields.push(("Ver", Json::num(rows.version)));
        fields.push(("NowMs", Json::num(self.begun.elapsed().as_millis() as u64)));
        Json::obj(fields)
    }

    pub fn handle(self: &Arc<Self>, request: &Request) -> Reply {
        if *self.mode.lock().unwrap() == Mode::Busy {
            return Reply::Answer(503, Json::obj(vec![]));
        }
        match (request.method.as_str(), request.path.as_str()) {
            ("POST", "/rows-tx") => self.transact(request),
            ("GET", "/rows-get") => self.range(request),
            ("GET", "/rows-feed") => self.feed(request),
            _ => Reply::Answer(404, Json::obj(vec![])),
        }
    }

    /// Returns why a transaction is not valid, if it isn't.
    fn fault(body: &Json, bytes: usize) -> Option<String> {
        let count = ["ExpectedRev", "Writes", "Remove"].map(|name| body.list(name).len());
        if count.iter().sum::<usize>() > CALL_ENTRIES {
            return Some(format!("{} entries", count.iter().sum::<usize>()));
        }
        if bytes > CALL_BYTES {
            return Some(format!("{bytes} bytes in the call"));
        }
        let too_long = |row: &Json| {
            let length = decoded_len(&row.text("Value"));
            (length > ROW_BYTES).then(|| {
                let (table, _, name) = key_of(row);
                format!("{length} bytes in the row {table}/{name}, of at most {ROW_BYTES}")
            })
        };
        body.list("Writes").iter().find_map(too_long)
    }

    fn transact(self: &Arc<Self>, request: &Request) -> Reply {
        let Some(body) = Json::parse(&request.body) else {
            return Reply::Answer(400, Json::obj(vec![]));
        };
        if let Some(fault) = Self::fault(&body, request.body.len()) {
            let mut refused = self.refused.lock().unwrap();
            if refused.as_ref() != Some(&fault) {
                self.record.tell(&format!("the store answers 400 to a transaction: {fault}"));
            }
            *refused = Some(fault);
            return Reply::Answer(400, Json::obj(vec![]));
        }
        let is_named = |late: &LateWrite| {
            body.list("Writes").iter().any(|row| row.text("Key").contains(&late.key))
        };
        let late = {
            let mut late = self.late.lock().unwrap();
            if late.as_ref().is_some_and(is_named) {
                late.take()
            } else {
                None
            }
        };
        if let Some(late) = late {
            let delay = late.delay;
            self.record.tell(&format!(
                "the store loses the answer to a write of {}, and carries it out {} ms later",
                late.key,
                delay.as_millis()
            ));
            let store = Arc::clone(self);
            std::thread::spawn(move || {
                std::thread::sleep(delay);
                let reply = store.apply(&body);
                let status = if let Reply::Answer(status, _) = reply { status } else { 0 };
                store.record.tell(&format!("the late write is carried out: {status}"));
            });
            return Reply::Silent;
        }
        self.apply(&body)
    }

    fn apply(&self, body: &Json) -> Reply {
        let entries = ["ExpectedRev", "Writes", "Remove"].map(|name| body.list(name));
        let part = entries.iter().flat_map(|list| list.iter()).next().map(|e| e.text("part"));
        let lock =
            Arc::clone(self.parts.lock().unwrap().entry(part.unwrap_or_default()).or_default());
        let _turn = lock.lock().unwrap();
        std::thread::sleep(TX_TIME);
        let mut rows = self.rows.lock().unwrap();
        let checks = body.list("ExpectedRev");
        let holds = |check: &Json| {
            let found = rows.rows.get(&key_of(check)).map_or(0, |(_, version)| *version);
            found == check.int("Ver").unwrap_or(0)
        };
        if !checks.iter().all(holds) {
            let known = checks.iter().map(key_of).filter(|key| rows.rows.contains_key(key));
            let found = known.map(|key| rows.render(&key)).collect();
            return Reply::Answer(412, self.answer(&rows, vec![("rows", Json::Arr(found))]));
        }
        rows.version += 1;
        for write in body.list("Writes") {
            rows.write(key_of(write), write.text("Value"));
        }
        for removed in body.list("Remove") {
            let key = key_of(removed);
            if rows.rows.remove(&key).is_some() {
                let version = rows.version;
                rows.history.push((version, key));
            }
        }
        Reply::Answer(200, self.answer(&rows, vec![]))
    }

    fn range(&self, request: &Request) -> Reply {
        let (table, part) = (request.query("Table"), request.query("part"));
        let (from, to) = (request.query("From"), request.query("To"));
        let limit = request.query("Limit").parse().unwrap_or(PAGE_ROWS).min(PAGE_ROWS);
        let rows = self.rows.lock().unwrap();
        let in_range = |key: &&Key| {
            key.0 == table && key.1 == part && key.2 >= from && (to.is_empty() || key.2 < to)
        };
        let mut found: Vec<_> = rows.rows.keys().filter(in_range).take(limit + 1).collect();
        let truncated = found.len() > limit;
        found.truncate(limit);
        let found = found.into_iter().map(|key| rows.render(key)).collect();
        let fields = vec![("rows", Json::Arr(found)), ("Truncated", Json::Bool(truncated))];
        Reply::Answer(200, self.answer(&rows, fields))
    }

    fn feed(&self, request: &Request) -> Reply {
        let table = request.query("Table");
        let after: u64 = request.query("After").parse().unwrap_or(0);
        let wait: u64 = request.query("WaitMs").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait.min(30_000));
        loop {
            if *self.mode.lock().unwrap() == Mode::Busy {
                return Reply::Answer(503, Json::obj(vec![]));
            }
            let rows = self.rows.lock().unwrap();
            let first = rows.history.partition_point(|(version, _)| *version <= after);
            let changed = rows.history[first..].iter().filter(|(_, key)| key.0 == table);
            let newest: BTreeMap<_, _> = changed.map(|(version, key)| (key, *version)).collect();
            if !newest.is_empty() || Instant::now() >= until {
                let mut by_version: Vec<_> = newest.into_iter().collect();
                by_version.sort_by_key(|(_, version)| *version);
                let found = by_version.into_iter().map(|(key, _)| rows.render(key)).collect();
                return Reply::Answer(200, self.answer(&rows, vec![("rows", Json::Arr(found))]));
            }
            drop(rows);
            std::thread::sleep(Duration::from_millis(3));
        }
    }
}
