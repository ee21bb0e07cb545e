use gl_config::{daemon, intent, shared};

const DAEMON: &str = "daemon: entry-1\ndomain: bangkok\nlisten: 127.0.0.1:8080\n\
    mesh: 127.0.0.1:8090\nplatform: [\"127.0.0.1:7000\"]\noperator-key: 0123456789abcdef\n";

/// Returns the complete report as it is shown to an operator, without colours.
fn report(error: &gl_config::Error) -> String {
    let handler = miette::GraphicalReportHandler::new_themed(miette::GraphicalTheme::none());
    let mut text = String::new();
    handler.render_report(&mut text, error as &dyn miette::Diagnostic).unwrap();
    text
}

/// Returns the report for daemon settings that must be invalid.
fn rejection(text: &str) -> String {
    report(&daemon::parse("daemon.yaml", text).unwrap_err())
}

#[test]
fn valid_settings_are_accepted() {
    let settings = daemon::parse("daemon.yaml", DAEMON).unwrap();
    assert_eq!(settings.limits.notice_ms, 3_000);
}

#[test]
fn error_for_an_unknown_field_names_its_place_and_the_most_similar_name() {
    let text = rejection(&DAEMON.replace("operator-key", "operater-key"));
    assert!(text.contains("did you mean `operator-key`?"), "{text}");
    assert!(text.contains("daemon.yaml:6:"), "{text}");
}

#[test]
fn error_for_a_field_of_the_wrong_type_names_its_place() {
    let text = rejection(&format!("{DAEMON}limits:\n  connections: many\n"));
    assert!(text.contains("daemon.yaml:8:"), "{text}");
}

#[test]
fn host_name_or_unspecified_address_is_rejected() {
    let text = rejection(&DAEMON.replace("listen: 127.0.0.1:8080", "listen: localhost:8080"));
    assert!(text.contains("daemon.yaml:3:"), "{text}");
    let text = rejection(&DAEMON.replace("mesh: 127.0.0.1:8090", "mesh: 0.0.0.0:8090"));
    assert!(text.contains("give the VM's own IP address and port"), "{text}");
}

#[test]
fn error_for_a_missing_or_out_of_range_field_names_the_remedy() {
    let text = rejection(&DAEMON.replace("daemon: entry-1\n", ""));
    assert!(text.contains("add `daemon:`"), "{text}");
    let text = rejection(&DAEMON.replace("0123456789abcdef", "short"));
    assert!(text.contains("16 characters or more"), "{text}");
    let text = rejection(&format!("{DAEMON}limits:\n  headers: 3\n"));
    assert!(text.contains("give a number from 16 to 256"), "{text}");
}

#[test]
fn files_of_all_deployments_are_valid() {
    for folder in ["saranrom", "thottil"] {
        let path = format!("{}/../deploy/{folder}", env!("CARGO_MANIFEST_DIR"));
        daemon::load(&format!("{path}/daemon.yaml")).unwrap();
        shared::load(&format!("{path}/config.yaml")).unwrap();
        intent::load(&format!("{path}/intents.yaml")).unwrap();
        intent::load(&format!("{path}/season.yaml")).unwrap();
    }
}

#[test]
fn error_for_an_invalid_intent_names_its_place_and_the_remedy() {
    let path = format!("{}/../deploy/saranrom/intents.yaml", env!("CARGO_MANIFEST_DIR"));
    let text = std::fs::read_to_string(path).unwrap();
    let invalid = text.replace("replicas: 65", "replicas: 0");
    let shown = report(&intent::parse("intents.yaml", &invalid).unwrap_err());
    assert!(shown.contains("give a value from 1 to 100000"), "{shown}");
    assert!(shown.contains("intents.yaml:7:"), "{shown}");
    let invalid = text.replace("deadline-ms", "dead-line-ms");
    let shown = report(&intent::parse("intents.yaml", &invalid).unwrap_err());
    assert!(shown.contains("did you mean `deadline-ms`?"), "{shown}");
}

#[test]
fn error_for_an_invalid_configuration_names_the_range() {
    let shown = report(&shared::parse("c.yaml", "limits: { retry-share: 7 }").unwrap_err());
    assert!(shown.contains("a share from 0 to 1"), "{shown}");
    let shown = report(&shared::parse("c.yaml", "leases: { horizon-ms: 5 }").unwrap_err());
    assert!(shown.contains("`worker-ms` to 86400000"), "{shown}");
}

#[test]
fn error_for_a_missing_file_names_the_file() {
    let shown = report(&daemon::load("/nowhere/daemon.yaml").unwrap_err());
    assert!(shown.contains("/nowhere/daemon.yaml"), "{shown}");
}
