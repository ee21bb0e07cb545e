//! The store of the stand-in: versioned rows, transactions and a change feed.

use std::{collections, sync, time};

use serde_json::{Value, json};

/// The identity of a row: table, partition, key.
type RowKey = (String, String, String);

/// The value of a row and the version that wrote it.
#[derive(Clone, Debug)]
struct Row {
    value: String,
    version: u64,
}

/// The rows and the history of their changes.
#[derive(Debug, Default)]
pub struct Store {
    rows: collections::BTreeMap<RowKey, Row>,
    history: Vec<(u64, RowKey)>,
    version: u64,
    /// True during an outage: all requests are refused.
    pub is_down: bool,
    /// The time after which the next write of a job is carried out. It gets no reply.
    pub late_write: Option<time::Duration>,
    /// The time that a read of a range takes.
    pub read_time: time::Duration,
    /// The time that a transaction takes.
    pub write_time: time::Duration,
    /// The tables of the reads in progress, one entry for each read.
    pub reading: Vec<String>,
    /// The largest set of tables that were being read at the same time.
    pub read_together: collections::BTreeSet<String>,
}

/// The largest number of entries in a transaction, as published.
const MAX_ENTRIES: usize = 100;
/// The length of the longest row, as the settings of the daemons state it.
const MAX_ROW_BYTES: usize = 65_536;

/// The largest number of rows in a response, as published.
const MAX_PAGE_ROWS: usize = 500;
/// The largest size of the rows in a response, in bytes, as published.
const MAX_PAGE_BYTES: usize = 1 << 20;

fn text(value: &Value, field: &str) -> String {
    value[field].as_str().unwrap_or_default().to_owned()
}

fn row_key(entry: &Value) -> RowKey {
    (text(entry, "Table"), text(entry, "part"), text(entry, "Key"))
}

fn entries<'a>(body: &'a Value, field: &str) -> impl Iterator<Item = &'a Value> {
    body[field].as_array().into_iter().flatten()
}

impl Store {
    /// Returns the store's steady clock, in milliseconds.
    fn clock_ms(&self) -> u64 {
        static EPOCH: sync::LazyLock<time::Instant> = sync::LazyLock::new(time::Instant::now);
        u64::try_from(EPOCH.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Records that a read of a table has begun.
    pub fn begin_read(&mut self, table: &str) {
        self.reading.push(table.to_owned());
        let together: collections::BTreeSet<_> = self.reading.iter().cloned().collect();
        if together.len() > self.read_together.len() {
            self.read_together = together;
        }
    }

    /// Records that a read of a table has ended.
    pub fn end_read(&mut self, table: &str) {
        if let Some(n) = self.reading.iter().position(|other| other == table) {
            self.reading.swap_remove(n);
        }
    }

    /// Writes a row without a transaction, as operators and workers do.
    pub fn put(&mut self, table: &str, key: &str, value: &str) {
        self.version += 1;
        let row_key = (table.to_owned(), String::new(), key.to_owned());
        self.write(row_key, value.to_owned());
    }

    /// Writes or removes a row as [`Store::put()`] does, unless that would change nothing.
    pub fn update(&mut self, table: &str, key: &str, value: Option<&str>) {
        let row_key = (table.to_owned(), String::new(), key.to_owned());
        if self.rows.get(&row_key).map(|row| row.value.as_str()) == value {
            return;
        }
        match value {
            Some(value) => self.put(table, key, value),
            None => {
                self.version += 1;
                self.remove(row_key);
            }
        }
    }

    fn remove(&mut self, key: RowKey) {
        self.rows.remove(&key);
        self.history.push((self.version, key));
    }

    fn write(&mut self, key: RowKey, value: String) {
        let version = self.version;
        self.rows.insert(key.clone(), Row { value, version });
        self.history.push((version, key));
    }

    fn row_json(&self, key: &RowKey) -> Value {
        let (table, partition, name) = key;
        match self.rows.get(key) {
            Some(row) => json!({
                "Table": table, "part": partition, "Key": name, "Value": row.value, "Ver": row.version
            }),
            None => {
                json!({"Table": table, "part": partition, "Key": name, "Tombstone": true, "Ver": 0})
            }
        }
    }

    /// Returns the time after which a transaction is carried out, if it is to be late.
    pub fn take_delay(&mut self, body: &Value) -> Option<time::Duration> {
        let is_job = |entry: &Value| text(entry, "Key").ends_with("/job");
        self.late_write.take_if(|_| entries(body, "Writes").any(is_job))
    }

    /// Executes a transaction; returns the status and the body of the response.
    pub fn transact(&mut self, body: &Value) -> (u16, Value) {
        let count = ["ExpectedRev", "Writes", "Remove"].map(|list| entries(body, list).count());
        let is_long = |entry: &Value| text(entry, "Value").len() > MAX_ROW_BYTES.div_ceil(3) * 4;
        if count.iter().sum::<usize>() > MAX_ENTRIES || entries(body, "Writes").any(is_long) {
            return (400, json!({}));
        }
        let version_of = |key: &RowKey| self.rows.get(key).map_or(0, |row| row.version);
        let is_satisfied =
            |check: &Value| version_of(&row_key(check)) == check["Ver"].as_u64().unwrap_or(0);
        if !entries(body, "ExpectedRev").all(is_satisfied) {
            let rows: Vec<_> = entries(body, "ExpectedRev")
                .map(row_key)
                .filter(|key| self.rows.contains_key(key))
                .map(|key| self.row_json(&key))
                .collect();
            return (412, json!({"Ver": self.version, "NowMs": self.clock_ms(), "rows": rows}));
        }
        self.version += 1;
        for entry in entries(body, "Writes") {
            self.write(row_key(entry), text(entry, "Value"));
        }
        for entry in entries(body, "Remove") {
            self.remove(row_key(entry));
        }
        (200, json!({"Ver": self.version, "NowMs": self.clock_ms()}))
    }

    /// Returns the first rows of a partition with keys from `from` up to but excluding `to`, as many as
    /// one response holds.
    pub fn range(&self, table: &str, partition: &str, from: &str, to: Option<&str>) -> Value {
        let first = (table.to_owned(), partition.to_owned(), from.to_owned());
        let is_in_range = |key: &&RowKey| {
            key.0 == table && key.1 == partition && to.is_none_or(|to| key.2.as_str() < to)
        };
        let following = self.rows.range(first..).map(|(key, _)| key).take_while(is_in_range);
        let mut bytes = 0;
        let fits = |(number, key): &(usize, &RowKey)| {
            bytes += self.rows.get(*key).map_or(0, |row| row.value.len());
            *number < MAX_PAGE_ROWS && (*number == 0 || bytes <= MAX_PAGE_BYTES)
        };
        let page = following.clone().enumerate().take_while(fits);
        let rows: Vec<_> = page.map(|(_, key)| self.row_json(key)).collect();
        let is_truncated = following.count() > rows.len();
        json!({
            "rows": rows, "Truncated": is_truncated, "Ver": self.version, "NowMs": self.clock_ms()
        })
    }

    /// Returns the rows of a table that changed after a version, as many as one response holds. The rest
    /// follows after the version of the response.
    pub fn changes(&self, table: &str, after: u64) -> Value {
        let first = self.history.partition_point(|(version, _)| *version <= after);
        let mut keys = collections::BTreeSet::new();
        let (mut bytes, mut last, mut included) = (0, self.version, after);
        for (version, key) in &self.history[first..] {
            if key.0 != table || keys.contains(key) {
                continue;
            }
            bytes += self.rows.get(key).map_or(0, |row| row.value.len());
            let is_full = keys.len() >= MAX_PAGE_ROWS || bytes > MAX_PAGE_BYTES;
            if is_full && *version > included && included > after {
                last = included;
                break;
            }
            included = *version;
            keys.insert(key.clone());
        }
        let rows: Vec<_> = keys.iter().map(|key| self.row_json(key)).collect();
        json!({"rows": rows, "Ver": last, "NowMs": self.clock_ms()})
    }
}
