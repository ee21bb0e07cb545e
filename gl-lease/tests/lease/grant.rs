use gl_lease::grant::{Grants, Options};
use gl_model::{id, time};

const NOW: time::Timestamp = time::Timestamp(1_000_000_000);

fn vm() -> id::VmId {
    id::VmId::from("vm-0")
}

#[test]
fn a_new_owner_waits_for_the_inherited_horizon() {
    let inherited = NOW + time::Span::seconds(600);
    let grants = Grants::new(inherited);
    let options = Options::default();
    assert!(!grants.is_lapsed(&vm(), inherited, &options));
    assert!(!grants.is_lapsed(&vm(), inherited + options.margin, &options));
    let after = inherited + options.margin + time::Span::micros(1);
    assert!(grants.is_lapsed(&vm(), after, &options));
}

#[test]
fn a_confirmed_lease_replaces_what_earlier_owners_granted() {
    let mut grants = Grants::new(NOW + time::Span::seconds(600));
    let until = NOW + time::Span::seconds(12);
    grants.confirm(&vm(), until, NOW);
    assert_eq!(grants.until(&vm()), until);
}

#[test]
fn a_lease_is_cut_at_the_horizon() {
    let mut grants = Grants::new(NOW);
    grants.hear(&vm(), NOW);
    let horizon = NOW + time::Span::seconds(2);
    assert_eq!(grants.extend(&vm(), NOW, horizon, &Options::default()), horizon);
}

#[test]
fn a_silent_worker_gets_no_further_extension() {
    let (mut grants, options) = (Grants::new(NOW), Options::default());
    grants.confirm(&vm(), NOW + options.lease, NOW);
    let horizon = NOW + time::Span::seconds(600);
    let last = NOW + options.lease;
    let until = grants.extend(&vm(), last, horizon, &options);
    assert_eq!(until, last + options.lease);
    let later = last + time::Span::seconds(1);
    assert_eq!(grants.extend(&vm(), later, horizon, &options), until);
    assert!(grants.is_lapsed(&vm(), until + options.margin + time::Span::micros(1), &options));
}
