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
