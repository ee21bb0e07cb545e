//! The reading of bodies.

use std::{sync, task, time};

use assert_matches::assert_matches;
use gl_intake::{
    body::{Error, Options, limit_read_ahead, read},
    budget::Budget,
};
use ntex::{
    channel::{bstream, mpsc},
    http, util,
};

/// Returns a payload whose end does not arrive, and what keeps it open.
fn unfinished(
    parts: &[usize],
) -> (http::Payload, mpsc::Sender<Result<util::Bytes, http::error::PayloadError>>) {
    let (sender, receiver) = mpsc::channel();
    for length in parts {
        sender.send(Ok(util::Bytes::from(vec![0; *length]))).unwrap();
    }
    (http::Payload::from_stream(receiver), sender)
}

fn finished(parts: &[usize]) -> http::Payload {
    unfinished(parts).0
}

#[ntex::test]
async fn whole_body_is_returned() {
    let budget = sync::Arc::<Budget>::default();
    let options = Options { limit: 100, ..Options::default() };
    let body = read(&budget, &mut finished(&[40, 60]), options).await;
    assert_eq!(body.unwrap().len(), 100);
}

#[ntex::test]
async fn body_that_states_too_great_a_length_is_refused_unread() {
    let budget = sync::Arc::<Budget>::default();
    let (mut payload, _sender) = unfinished(&[]);
    let options = Options { limit: 100, length: Some(101), ..Options::default() };
    assert_matches!(read(&budget, &mut payload, options).await, Err(Error::TooLarge { .. }));
}

#[ntex::test]
async fn chunks_that_exceed_the_limit_are_refused() {
    let budget = sync::Arc::<Budget>::default();
    let options = Options { limit: 100, ..Options::default() };
    let result = read(&budget, &mut finished(&[60, 60]), options).await;
    assert_matches!(result, Err(Error::TooLarge { .. }));
    assert_eq!(budget.used(), 0);
}

#[ntex::test]
async fn body_that_does_not_end_is_given_up_after_the_time_out() {
    let budget = sync::Arc::<Budget>::default();
    let (mut payload, _sender) = unfinished(&[10]);
    let options = Options { timeout: time::Duration::from_millis(20), ..Options::default() };
    assert_matches!(read(&budget, &mut payload, options).await, Err(Error::TooSlow { .. }));
    assert_eq!(budget.used(), 0);
}

/// What the HTTP library reads ahead counts in no budget: with a thousand connections, 32 KB each.
#[ntex::test]
async fn little_is_read_ahead_of_a_request_that_waits() {
    let (sender, receiver) = bstream::channel();
    let payload = http::Payload::H1(receiver);
    limit_read_ahead(&payload);
    sender.feed_data(util::Bytes::from(vec![0; 5_000]));
    let is_full =
        std::future::poll_fn(|context| task::Poll::Ready(sender.poll_ready(context).is_pending()));
    assert!(is_full.await, "the library must wait until the body is read");
}
