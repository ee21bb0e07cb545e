//! Which bodies are given up if the memory is short.

use std::sync;

use assert_matches::assert_matches;
use gl_intake::budget::{Body, Budget, Evicted, Settings};

/// A budget for ten bodies of 100 bytes, where bodies up to 10 bytes are small.
fn budget() -> sync::Arc<Budget> {
    sync::Arc::new(Budget::new(Settings { limit: 1_000, reserve: 100, small: 10 }))
}

/// Opens a body of `length` bytes that lacks its last byte.
fn unfinished(budget: &sync::Arc<Budget>, length: usize) -> Body {
    let body = budget.open();
    let _ = body.push(&vec![0; length - 1], length);
    body
}

#[test]
fn crowd_of_unfinished_bodies_stays_within_the_limit() {
    let budget = budget();
    let _crowd: Vec<Body> = (0..200).map(|_| unfinished(&budget, 100)).collect();
    assert!(budget.used() <= 1_000, "{} bytes", budget.used());
}

#[test]
fn oldest_body_is_given_up() {
    let budget = budget();
    let crowd: Vec<Body> = (0..10).map(|_| unfinished(&budget, 100)).collect();
    let results: Vec<_> = crowd.into_iter().map(|body| body.finish().is_ok()).collect();
    assert_eq!(results.iter().position(|is_ok| *is_ok), Some(1), "{results:?}");
}

#[test]
fn body_is_complete_among_a_crowd_that_stays() {
    let budget = budget();
    let _crowd: Vec<Body> = (0..200).map(|_| unfinished(&budget, 100)).collect();
    let body = budget.open();
    for part in [[1; 50], [2; 50]] {
        body.push(&part, 100).unwrap();
    }
    assert_eq!(body.finish().unwrap().len(), 100);
}

#[test]
fn small_body_is_accepted_while_complete_ones_use_the_memory() {
    let budget = budget();
    let complete = |_| unfinished(&budget, 100).finish().unwrap();
    let used: Vec<_> = (0..9).map(complete).collect();
    assert_matches!(budget.open().push(&[0; 90], 90), Err(Evicted));
    assert_matches!(budget.open().push(&[0; 9], 10), Ok(()));
    drop(used);
    assert_eq!(budget.used(), 0);
}

#[test]
fn large_body_does_not_displace_small_ones() {
    let budget = budget();
    let small: Vec<Body> = (0..100).map(|_| unfinished(&budget, 10)).collect();
    assert_matches!(budget.open().push(&[0; 90], 90), Err(Evicted));
    assert!(small.into_iter().all(|body| body.finish().is_ok()));
}

#[test]
fn body_that_is_alone_may_exceed_the_limit() {
    let budget = budget();
    let body = budget.open();
    for _ in 0..20 {
        body.push(&[0; 100], 2_000).unwrap();
    }
    assert_eq!(body.finish().unwrap().len(), 2_000);
    assert_eq!(budget.used(), 0);
}

#[test]
fn memory_follows_what_has_arrived_rather_than_what_is_stated() {
    let budget = budget();
    let crowd: Vec<Body> = (0..100).map(|_| budget.open()).collect();
    for body in &crowd {
        body.push(&[0; 1], 1_000_000).unwrap();
    }
    assert!(budget.used() <= 1_000, "{} bytes", budget.used());
    assert_eq!(budget.evicted(), 0);
}

#[test]
fn dropped_bodies_release_their_memory() {
    let budget = budget();
    drop(unfinished(&budget, 100));
    drop(unfinished(&budget, 100).finish());
    assert_eq!(budget.used(), 0);
}
