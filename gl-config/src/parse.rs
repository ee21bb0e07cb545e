//! Reads YAML and turns the reader's errors into ones with a place and a remedy.

use std::{net, sync};

use serde::de;

use crate::error::Error;

/// Names that are this close are suggested.
const CLOSENESS: f64 = 0.7;

/// Reads `text` of `file` as a `T`.
///
/// # Errors
///
/// With the place and the remedy.
pub fn yaml<T: de::DeserializeOwned>(file: &str, text: &str) -> Result<T, Error> {
    serde_saphyr::from_str(text).map_err(|error| {
        let error = error.without_snippet();
        let detail = error.to_string();
        let place = error.location().map(|at| {
            let row = usize::try_from(at.line()).unwrap_or(1);
            let column = usize::try_from(at.column()).unwrap_or(1);
            span(text, row, column)
        });
        let place =
            place.or_else(|| place_of_address(text).filter(|_| detail.contains(NO_ADDRESS)));
        // The reader tells where the block begins that holds an unknown field.
        let unknown =
            detail.strip_prefix("unknown field `").and_then(|rest| rest.split('`').next());
        let place = unknown.and_then(|field| place_of(text, field)).or(place);
        let remedy = remedy(&detail);
        fault(file, text, detail, place, remedy)
    })
}

/// An error about `text`.
pub fn fault(
    file: &str,
    text: &str,
    detail: String,
    place: Option<miette::SourceSpan>,
    remedy: String,
) -> Error {
    let source = sync::Arc::new(miette::NamedSource::new(file, text.to_owned()));
    Error::Text { file: file.to_owned(), detail, text: source, place, remedy }
}

/// The place of the first line that sets `field`, for faults found after reading.
pub fn place_of(text: &str, field: &str) -> Option<miette::SourceSpan> {
    let last = field.rsplit('.').next().unwrap_or(field);
    let mut offset = 0;
    for line in text.split_inclusive('\n') {
        let trimmed = line.trim_start().trim_start_matches("- ").trim_start();
        if trimmed.strip_prefix(last).is_some_and(|rest| rest.starts_with(':')) {
            let indent = line.len() - line.trim_start().len();
            return Some((offset + indent, line.trim().len()).into());
        }
        offset += line.len();
    }
    None
}

fn span(text: &str, row: usize, column: usize) -> miette::SourceSpan {
    let before: usize = text.split_inclusive('\n').take(row.saturating_sub(1)).map(str::len).sum();
    let offset = (before + column.saturating_sub(1)).min(text.len().saturating_sub(1));
    (offset, 1).into()
}

/// What the reader says of a text that is no address.
const NO_ADDRESS: &str = "invalid socket address syntax";
/// The fields that hold addresses.
const ADDRESS_FIELDS: [&str; 4] = ["listen", "mesh", "platform", "peers"];

/// The place of the first address that is none. The reader doesn't tell it.
fn place_of_address(text: &str) -> Option<miette::SourceSpan> {
    let is_wrong = |line: &str| {
        let (name, value) = line.split_once(':').unwrap_or((line, ""));
        let values = value.split(&['[', ']', ',', '"', ' '][..]).filter(|part| !part.is_empty());
        ADDRESS_FIELDS.contains(&name.trim())
            && values.into_iter().any(|part| part.parse::<net::SocketAddr>().is_err())
    };
    let line = text.lines().find(|line| is_wrong(line))?;
    place_of(text, line.split(':').next()?.trim())
}

/// What to do about an error of the reader; an unknown field gets the nearest known name.
fn remedy(detail: &str) -> String {
    if detail.contains(NO_ADDRESS) {
        return "give an IP number and a port, such as 10.0.0.5:8080".to_owned();
    }
    let Some(wrong) = detail.split('`').nth(1) else {
        return "correct the marked place; `docs/settings.md` lists all fields".to_owned();
    };
    if detail.contains("missing field") {
        return format!("add `{wrong}:` with its value");
    }
    let known = detail.split_once("expected one of ").map_or("", |(_, names)| names);
    let known = known.split(" at line ").next().unwrap_or("").split(", ");
    let closest = known
        .map(|name| (strsim::jaro_winkler(wrong, name), name))
        .max_by(|a, b| a.0.total_cmp(&b.0));
    match closest {
        Some((closeness, name)) if closeness >= CLOSENESS => format!("did you mean `{name}`?"),
        _ => format!("`{wrong}` isn't known here; `docs/settings.md` lists all fields"),
    }
}

/// Reads a whole file.
///
/// # Errors
///
/// If the system refuses.
pub fn read(file: &str) -> Result<String, Error> {
    std::fs::read_to_string(file)
        .map_err(|e| Error::File { file: file.to_owned(), detail: e.to_string() })
}
