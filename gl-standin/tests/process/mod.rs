mod path;

use gl_standin::{caller, runs};

/// The intents of most tests: a booking service and a batch job beside it.
pub const INTENTS: &str = "
intents:
  - service:
      name: booking
      team: families
      kind: booking
      replicas: 6
      size: { cores-milli: 8000, memory-mb: 16000 }
      deadline-ms: 500
      objective: 0.99
      relief: 4
  - batch:
      name: reports
      team: office
      kind: report
      tasks: 12
      size: { cores-milli: 4000, memory-mb: 8000 }
      run-s: 2
";

/// Nothing was lost, doubled, mixed up or cut off, and what was said not to have run did not.
pub fn check(counts: &caller::Counts, logs: &[runs::Log]) {
    println!("{counts:?}");
    assert_eq!(counts.lost, 0, "lost");
    assert_eq!(counts.wrong, 0, "answers of other requests");
    let ended = counts.complete + counts.not_run + counts.unknown;
    assert_eq!(ended, counts.sent, "every request has one end");
    let doubled = runs::doubled(logs)
        .into_iter()
        .filter(|name| is_unrepeatable(name));
    assert_eq!(doubled.collect::<Vec<_>>(), Vec::<String>::new(), "doubled");
    let ran = |name: &&String| {
        logs.iter()
            .any(|l| l.requests.iter().any(|r| r.request == **name))
    };
    let untrue: Vec<&String> = counts.unrun.iter().filter(ran).collect();
    assert_eq!(
        untrue,
        Vec::<&String>::new(),
        "said not to have run, but ran"
    );
}

/// The callers' even requests are unrepeatable.
pub fn is_unrepeatable(name: &str) -> bool {
    let number = name
        .rsplit('-')
        .next()
        .and_then(|text| text.parse::<u32>().ok());
    number.is_some_and(|number| number.is_multiple_of(2))
}
