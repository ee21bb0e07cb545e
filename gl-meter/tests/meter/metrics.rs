use gl_jobs::owner;
use gl_meter::metrics::Metrics;
use gl_model::{call, id, time};

#[test]
fn rendered_metrics_contain_names_and_labels() {
    let metrics = Metrics::new().unwrap();
    let (took, server) = (time::Span::millis(30), time::Span::millis(20));
    metrics.call(&id::JobId::from("booking"), call::Outcome::Complete, took, server);
    metrics.retry("answer-cut-short");
    metrics.shed("overload");
    metrics.event("task-evicted", 3);
    let text = metrics.render();
    for part in [
        "http_server_request_duration",
        "outcome=\"complete\"",
        "cause=\"answer-cut-short\"",
        "cause=\"overload\"",
        "kind=\"task-evicted\"",
    ] {
        assert!(text.contains(part), "{part} in {text}");
    }
}

/// Guards against a cost of interference that is logged and missing from the metrics.
#[test]
fn cost_of_interference_is_rendered_by_service_and_kind() {
    let metrics = gl_meter::jobs::Metrics::new().unwrap();
    let impact = owner::Impact { starts: 500, windows: 20, stopped: 3, limits: 40 };
    let span = time::Span::seconds(10);
    metrics.note(&owner::Note::Impact { service: "desk".to_owned(), impact, span });
    let text = metrics.render();
    let has = |name: &str, kind: &str, value: &str| {
        let is_line = |line: &&str| line.starts_with(name) && line.contains(kind);
        text.lines().filter(is_line).any(|line| line.ends_with(value))
    };
    assert!(text.contains("service=\"desk\""), "{text}");
    assert!(has("geraniumlatch_interference", "kind=\"starts\"", " 500"), "{text}");
    assert!(has("geraniumlatch_interference_rate", "kind=\"windows\"", " 40"), "{text}");
}
