use gl_lease::worker_lease::{Leases, Options};
use gl_model::{id, time};

const NOW: time::Timestamp = time::Timestamp(1_000_000_000);

fn vm() -> id::VmId {
    id::VmId::from("vm-0")
}

#[test]
fn a_new_owner_waits_for_the_inherited_horizon() {
    let inherited = NOW + time::Span::seconds(600);
    let leases = Leases::new(inherited);
    let options = Options::default();
    assert!(!leases.is_expired(&vm(), inherited, &options));
    assert!(!leases.is_expired(&vm(), inherited + options.clock_margin, &options));
    let after = inherited + options.clock_margin + time::Span::micros(1);
    assert!(leases.is_expired(&vm(), after, &options));
}

#[test]
fn a_confirmed_lease_replaces_what_earlier_owners_granted() {
    let mut leases = Leases::new(NOW + time::Span::seconds(600));
    let until = NOW + time::Span::seconds(12);
    leases.confirm(&vm(), until, NOW);
    assert_eq!(leases.expiry(&vm()), until);
}

#[test]
fn a_lease_is_cut_at_the_horizon() {
    let mut leases = Leases::new(NOW);
    leases.record_reply(&vm(), NOW);
    let horizon = NOW + time::Span::seconds(2);
    assert_eq!(leases.extend(&vm(), NOW, horizon, &Options::default()), horizon);
}

#[test]
fn a_silent_worker_gets_no_further_extension() {
    let (mut leases, options) = (Leases::new(NOW), Options::default());
    leases.confirm(&vm(), NOW + options.duration, NOW);
    let horizon = NOW + time::Span::seconds(600);
    let last = NOW + options.duration;
    let until = leases.extend(&vm(), last, horizon, &options);
    assert_eq!(until, last + options.duration);
    let later = last + time::Span::seconds(1);
    assert_eq!(leases.extend(&vm(), later, horizon, &options), until);
    assert!(leases.is_expired(
        &vm(),
        until + options.clock_margin + time::Span::micros(1),
        &options
    ));
}
