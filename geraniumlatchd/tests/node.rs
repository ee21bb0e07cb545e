//! A daemon must not replace its configuration by an older one that a slow peer sends.

#![allow(clippy::unwrap_used, reason = "tests")]

use geraniumlatchd::node::Node;
use gl_model::{config, id, time};

fn node() -> Node {
    let address = std::net::SocketAddr::from(([127, 0, 0, 1], 1));
    let settings = gl_config::daemon::Settings::default();
    Node::new(settings, address, address, time::Timestamp(1)).unwrap()
}

fn row(number: u64, attempts: u32) -> config::Row {
    let repair = config::Repair { attempts, ..config::Repair::default() };
    let content = config::Shared { repair, ..config::Shared::default() };
    config::Row { number: id::Version(number), txn: id::TxnId::from("t"), content }
}

#[test]
fn older_configuration_is_ignored() {
    let node = node();
    assert!(node.update_config(&row(5, 50)));
    for (number, attempts) in [(4, 40), (5, 51), (1, 10), (0, 1)] {
        assert!(!node.update_config(&row(number, attempts)), "number {number}");
        assert_eq!(node.config.lock().content.repair.attempts, 50);
    }
    assert!(node.update_config(&row(6, 60)));
    assert_eq!(node.row(time::Timestamp(2)).config, id::Version(6));
}
