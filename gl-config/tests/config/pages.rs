//! Guards against a settings page that lacks a field or lists one that no longer exists.

use gl_config::daemon;
use gl_model::config;

fn fields(prefix: &str, value: &serde_json::Value, all: &mut Vec<String>) {
    let serde_json::Value::Object(map) = value else {
        all.push(prefix.to_owned());
        return;
    };
    if map.is_empty() {
        all.push(prefix.to_owned());
    }
    for (name, value) in map {
        let dot = if prefix.is_empty() { "" } else { "." };
        fields(&format!("{prefix}{dot}{name}"), value, all);
    }
}

fn check<T: serde::Serialize>(section: &str, defaults: &T) {
    let path = format!("{}/../docs/settings.md", env!("CARGO_MANIFEST_DIR"));
    let page = std::fs::read_to_string(path).unwrap();
    let page = page.split("\n## ").find(|part| part.starts_with(section)).unwrap();
    let mut all = Vec::new();
    fields("", &serde_json::to_value(defaults).unwrap(), &mut all);
    let rows: Vec<&str> = page.lines().filter_map(|l| l.strip_prefix("| `")).collect();
    let listed: Vec<&str> = rows.iter().filter_map(|row| row.split('`').next()).collect();
    let missing: Vec<_> = all.iter().filter(|f| !listed.contains(&f.as_str())).collect();
    let unknown: Vec<_> = listed.iter().filter(|n| !all.iter().any(|f| f == *n)).collect();
    assert!(missing.is_empty() && unknown.is_empty(), "missing {missing:?}, unknown {unknown:?}");
}

#[test]
fn settings_page_lists_exactly_the_settings_of_a_daemon() {
    check("A daemon's settings", &daemon::Settings::default());
}

#[test]
fn settings_page_lists_exactly_the_fields_of_the_shared_configuration() {
    check("The shared configuration", &config::Shared::default());
}
