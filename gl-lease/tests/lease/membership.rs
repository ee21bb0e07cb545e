//! Tests of the membership view: heartbeats, time-outs and removal.
//!
//! They guard against a daemon that counts as alive although its heartbeats stopped.

use gl_lease::membership::{ALIVE_TIMEOUT, RETENTION, View};
use gl_model::{daemon, id, time};

const NOW: time::Timestamp = time::Timestamp(1_000_000_000);

fn row(name: &str) -> daemon::Row {
    let address = std::net::SocketAddr::from(([127, 0, 0, 1], 1));
    daemon::Row {
        id: id::DaemonId::from(name),
        domain: id::DomainId::from("one"),
        listen: address,
        mesh: address,
        config: id::Version(0),
        heartbeat: NOW,
    }
}

#[test]
fn daemon_without_heartbeat_is_not_alive_but_known_until_the_retention_ends() {
    let mut view = View::default();
    view.record(&row("d1"), NOW);
    assert_eq!(view.alive(NOW + ALIVE_TIMEOUT).len(), 1);
    let later = NOW + ALIVE_TIMEOUT + time::Span::micros(1);
    assert_eq!((view.alive(later).len(), view.known().len()), (0, 1));
    view.expire(NOW + RETENTION + time::Span::micros(1));
    assert!(view.known().is_empty());
}

#[test]
fn older_heartbeat_is_ignored() {
    let mut view = View::default();
    view.record(&row("d1"), NOW + ALIVE_TIMEOUT);
    view.record(&row("d1"), NOW);
    assert_eq!(view.alive(NOW + ALIVE_TIMEOUT + ALIVE_TIMEOUT).len(), 1);
}

#[test]
fn removed_daemon_is_not_alive() {
    let mut view = View::default();
    view.record(&row("d1"), NOW);
    view.remove(&id::DaemonId::from("d1"));
    assert!(view.alive(NOW).is_empty());
}
