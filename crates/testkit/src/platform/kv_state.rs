//! The items and history of the test metadata store.

use std::collections::BTreeMap;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD as BASE64;
use serde_json::{Value, json};

/// The items of the test metadata store and the history of their changes.
#[derive(Debug, Clone, Default)]
pub struct KvState {
    /// Rises by one with each restoration from a copy.
    era: u64,
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Revision, key and new item of each change, the oldest first; no item for a deletion.
    history: Vec<(u64, String, Option<Item>)>,
    /// The revision up to which the history has been dropped.
    compacted_revision: u64,
    leases: BTreeMap<u64, u64>,
    next_lease: u64,
    /// JSON texts that every page and watch reply contains before its items.
    odd_items: Vec<String>,
}

#[derive(Debug, Clone)]
struct Item {
    value: String,
    revision: u64,
    lease: u64,
}

impl Item {
    fn json(&self, key: &str) -> Value {
        json!({"key": key, "value": self.value, "revision": self.revision, "lease": self.lease})
    }
}

impl KvState {
    /// Returns the revision of the last change; zero before the first.
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the number of restorations so far.
    pub const fn era(&self) -> u64 {
        self.era
    }

    /// Replaces the state by a copy, as a restored backup does. Revisions and lease ids continue
    /// from the copy, so they are given out again, and the history is gone.
    pub fn restore(&mut self, copy: Self) {
        *self = Self { era: self.era + 1, ..copy };
        self.compact_history();
    }

    /// Writes `value` under `key` without a lease.
    pub fn put(&mut self, key: &str, value: &[u8]) {
        self.write(key, &BASE64.encode(value), 0);
    }

    /// Adds an item of another writer, in any form, to every page and watch reply.
    pub fn add_odd_item(&mut self, json: &str) {
        self.odd_items.push(json.to_owned());
    }

    /// Returns the answer `body` to a range or watch request as JSON with the odd items, which may
    /// be nested too deep for a [`Value`].
    pub fn with_odd_items(&self, mut body: Value) -> String {
        let name = if body["items"].is_array() { "items" } else { "events" };
        let items = std::mem::take(&mut body[name]);
        let items = items.as_array().into_iter().flatten().map(Value::to_string);
        let items: Vec<String> = self.odd_items.iter().cloned().chain(items).collect();
        body.to_string().replacen("null", &format!("[{}]", items.join(",")), 1)
    }

    /// Returns the value of `key`, or `None` if the key is absent.
    pub fn get(&self, key: &str) -> Option<Vec<u8>> {
        BASE64.decode(&self.items.get(key)?.value).ok()
    }

    /// Returns the keys that begin with `prefix`.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        self.items.keys().filter(|key| key.starts_with(prefix)).cloned().collect()
    }

    /// Drops the history, so that watches from an older revision fail.
    pub fn compact_history(&mut self) {
        self.compacted_revision = self.revision;
        self.history.clear();
    }

    /// Ends every lease and removes the keys bound to it.
    pub fn end_leases(&mut self) {
        self.leases.clear();
        let leased: Vec<String> =
            self.items.iter().filter(|(_, item)| item.lease > 0).map(|(k, _)| k.clone()).collect();
        for key in leased {
            self.remove(&key);
        }
    }

    /// Returns the answer to a range request: all items whose key begins with `prefix`.
    pub fn range(&self, prefix: &str) -> Value {
        let items: Vec<Value> = self
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(prefix))
            .map(|(key, item)| item.json(key))
            .collect();
        json!({"items": items, "has_more": false, "as_of": self.revision})
    }

    /// Returns the changes after the revision `after` of keys that begin with `prefix`, or
    /// `None` if the history doesn't contain them: they were dropped, or `after` is yet to come.
    pub fn changes(&self, prefix: &str, after: u64) -> Option<Vec<Value>> {
        if after < self.compacted_revision || after > self.revision {
            return None;
        }
        let is_wanted =
            |(revision, key, _): &&(u64, String, _)| *revision > after && key.starts_with(prefix);
        let event = |(revision, key, item): &(u64, String, Option<Item>)| match item {
            Some(item) => item.json(key),
            None => json!({"key": key, "revision": revision, "deleted": true}),
        };
        Some(self.history.iter().filter(is_wanted).map(event).collect())
    }

    /// Opens a lease, which never expires by itself, and returns the answer to the request.
    pub fn open_lease(&mut self, ttl_ms: u64) -> Value {
        self.next_lease += 1;
        self.leases.insert(self.next_lease, ttl_ms);
        json!({"lease": self.next_lease, "ttl_ms": ttl_ms})
    }

    /// Returns the answer to the renewal of a lease, or `None` if the lease has ended.
    pub fn keep_lease(&self, lease: u64) -> Option<Value> {
        self.leases.get(&lease).map(|ttl_ms| json!({"ttl_ms": ttl_ms}))
    }

    /// Executes a transaction and returns the status and body of the answer.
    pub fn transact(&mut self, body: &Value) -> (u16, Value) {
        let rows = |name: &str| body[name].as_array().cloned().unwrap_or_default();
        let revision = |key: &str| self.items.get(key).map_or(0, |item| item.revision);
        let text = |row: &Value, name: &str| row[name].as_str().unwrap_or_default().to_owned();
        let holds = |row: &Value| Some(revision(&text(row, "key"))) == row["revision"].as_u64();
        if !rows("expect").iter().all(holds) {
            return (412, json!({"items": []}));
        }
        let lease = |row: &Value| row["lease"].as_u64().unwrap_or(0);
        let is_open = |row: &Value| lease(row) == 0 || self.leases.contains_key(&lease(row));
        if !rows("puts").iter().all(is_open) {
            return (404, json!({}));
        }
        for row in rows("puts") {
            self.write(&text(&row, "key"), &text(&row, "value"), lease(&row));
        }
        (200, json!({"revision": self.revision}))
    }

    fn write(&mut self, key: &str, value: &str, lease: u64) {
        self.revision += 1;
        let item = Item { value: value.to_owned(), revision: self.revision, lease };
        self.items.insert(key.to_owned(), item.clone());
        self.history.push((self.revision, key.to_owned(), Some(item)));
    }

    /// Removes the item `key`.
    pub fn remove(&mut self, key: &str) {
        self.revision += 1;
        self.items.remove(key);
        self.history.push((self.revision, key.to_owned(), None));
    }
}
