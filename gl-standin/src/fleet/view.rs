//! The rows of the store as a failure domain sees them: addresses in other failure domains are those
//! of the network's forwarders. The store keeps the real ones.

use std::net;

use base64::Engine as _;
use gl_jobs::{record, worker};
use serde_json::{Value, json};

use super::{network::Network, server};

/// The table to which workers write.
const WORKERS: &str = "servers";
/// The table of workers on which tasks may have been started.
const ROSTER: &str = "roster";
/// The table with the owner's row.
const CELLS: &str = "cells";

/// Replaces the addresses in the rows of a response to a caller in `domain` by those at which it
/// reaches them.
pub fn to_domain(network: &Network, domain: usize, response: &mut Value) {
    translate(response.get_mut("rows"), |target| network.address(domain, target));
}

/// Replaces the addresses in the rows that a caller writes by the real ones.
pub fn to_store(network: &Network, request: &mut Value) {
    translate(request.get_mut("Writes"), |address| network.target(address));
}

fn translate(rows: Option<&mut Value>, map: impl Fn(net::SocketAddr) -> net::SocketAddr) {
    for row in rows.and_then(Value::as_array_mut).into_iter().flatten() {
        let value = row["Value"].as_str().unwrap_or_default();
        let Ok(bytes) = base64::engine::general_purpose::STANDARD.decode(value) else { continue };
        let translated = match row["Table"].as_str() {
            Some(WORKERS) => entry(&bytes, &map),
            Some(ROSTER) => enrolment(&bytes, &map),
            Some(CELLS) => owner(&bytes, &map),
            _ => None,
        };
        if let Some(translated) = translated {
            row["Value"] = json!(server::encode(&translated));
        }
    }
}

/// A mapping of addresses.
type Map<'a> = &'a dyn Fn(net::SocketAddr) -> net::SocketAddr;

fn entry(bytes: &[u8], map: Map<'_>) -> Option<Vec<u8>> {
    let mut entry: Value = serde_json::from_slice(bytes).ok()?;
    let address = entry["Address"].as_str()?.parse().ok()?;
    entry["Address"] = json!(map(address).to_string());
    Some(entry.to_string().into_bytes())
}

fn enrolment(bytes: &[u8], map: Map<'_>) -> Option<Vec<u8>> {
    let row = record::Enrolment::decode("worker", bytes).ok()?;
    let address = map(row.worker.address);
    let worker = worker::Registration { address, ..row.worker };
    record::encode("worker", &record::Enrolment { worker, ..row }).ok()
}

/// Translates the owner's row. The other rows of its table have no address, and other fields.
fn owner(bytes: &[u8], map: Map<'_>) -> Option<Vec<u8>> {
    let owner: record::Owner = record::decode("owner", bytes).ok()?;
    let mesh = map(owner.mesh);
    record::encode("owner", &record::Owner { mesh, ..owner }).ok()
}
