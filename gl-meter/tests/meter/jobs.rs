use gl_cost::{level, summary};
use gl_meter::jobs::Metrics;
use gl_model::time;

/// Guards against a shortage that operators cannot see, or cannot tell from an old one.
#[test]
fn load_is_exported_by_service_kind_and_quantity_with_its_age() {
    let metrics = Metrics::new().unwrap();
    let load = summary::Load {
        service: "desk".to_owned(),
        kind: summary::Kind::BestEffort,
        level: level::Level::Scarce,
        sample: level::Sample { backlog: 250.0, ..level::Sample::default() },
    };
    let summary = summary::Summary { loads: vec![load], age: time::Span::ZERO };
    metrics.load(&summary, time::Span::millis(570));
    let text = metrics.render();
    let value = |labels: &[&str]| {
        let line = text.lines().find(|line| labels.iter().all(|label| line.contains(label)));
        line.and_then(|line| line.rsplit(' ').next()).unwrap_or_default().to_owned()
    };
    let labels = ["service=\"desk\"", "kind=\"best-effort\""];
    assert_eq!(value(&[labels[0], labels[1], "quantity=\"level\""]), "2");
    assert_eq!(value(&[labels[0], labels[1], "quantity=\"backlog\""]), "250");
    assert_eq!(value(&["kind=\"load-age-ms\""]), "570");
}
