//! Tests of worker leases: inherited horizon, confirmation, extension and expiry.
//!
//! They guard against a lease that is treated as expired while its worker may still run tasks.

use gl_lease::worker_lease::{Leases, Options};
use gl_model::{id, time};

const NOW: time::Timestamp = time::Timestamp(1_000_000_000);

fn vm() -> id::VmId {
    id::VmId::from("vm-0")
}

#[test]
fn lease_without_confirmation_expires_after_the_inherited_horizon() {
    let inherited_horizon = NOW + time::Span::seconds(600);
    let leases = Leases::new(inherited_horizon);
    let options = Options::default();
    assert!(!leases.is_expired(&vm(), inherited_horizon, &options));
    assert!(!leases.is_expired(&vm(), inherited_horizon + options.clock_margin, &options));
    let after = inherited_horizon + options.clock_margin + time::Span::micros(1);
    assert!(leases.is_expired(&vm(), after, &options));
}

#[test]
fn confirmed_lease_replaces_those_of_earlier_owners() {
    let mut leases = Leases::new(NOW + time::Span::seconds(600));
    let expiry = NOW + time::Span::seconds(12);
    leases.confirm(&vm(), expiry, NOW);
    assert_eq!(leases.expiry(&vm()), expiry);
}

#[test]
fn lease_ends_at_the_horizon_at_the_latest() {
    let mut leases = Leases::new(NOW);
    leases.record_reply(&vm(), NOW);
    let horizon = NOW + time::Span::seconds(2);
    assert_eq!(leases.extend(&vm(), NOW, horizon, &Options::default()), horizon);
}

#[test]
fn lease_of_unresponsive_worker_is_not_extended() {
    let (mut leases, options) = (Leases::new(NOW), Options::default());
    leases.confirm(&vm(), NOW + options.duration, NOW);
    let horizon = NOW + time::Span::seconds(600);
    let last = NOW + options.duration;
    let expiry = leases.extend(&vm(), last, horizon, &options);
    assert_eq!(expiry, last + options.duration);
    let later = last + time::Span::seconds(1);
    assert_eq!(leases.extend(&vm(), later, horizon, &options), expiry);
    assert!(leases.is_expired(
        &vm(),
        expiry + options.clock_margin + time::Span::micros(1),
        &options
    ));
}
