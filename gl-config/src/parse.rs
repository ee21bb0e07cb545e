//! Parses YAML and converts the parser's errors into errors with a place and a remedy.

use std::{net, sync};

use serde::de;

use crate::error::Error;

/// The least similarity (Jaro-Winkler) of a known name that is suggested for an unknown one.
const MIN_SIMILARITY: f64 = 0.7;

/// Parses `text`, the content of `file`, as a `T`.
///
/// # Errors
///
/// Returns an error if the text is not a valid `T`; the error names the place and the remedy.
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
            place.or_else(|| place_of_address(text).filter(|_| detail.contains(INVALID_ADDRESS)));
        // For an unknown field, the parser reports the start of the enclosing block.
        let unknown =
            detail.strip_prefix("unknown field `").and_then(|rest| rest.split('`').next());
        let place = unknown.and_then(|field| place_of(text, field)).or(place);
        let remedy = remedy(&detail);
        text_error(file, text, detail, place, remedy)
    })
}

/// Returns an error about `text`, the content of `file`.
pub fn text_error(
    file: &str,
    text: &str,
    detail: String,
    place: Option<miette::SourceSpan>,
    remedy: String,
) -> Error {
    let source = sync::Arc::new(miette::NamedSource::new(file, text.to_owned()));
    Error::Text { file: file.to_owned(), detail, text: source, place, remedy }
}

/// Returns the place of the first line that sets `field`, for errors found after parsing.
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

/// The parser's message for a text that is not an address.
const INVALID_ADDRESS: &str = "invalid socket address syntax";
/// The fields that contain addresses.
const ADDRESS_FIELDS: [&str; 4] = ["listen", "mesh", "platform", "peers"];

/// Returns the place of the first invalid address, which the parser does not report.
fn place_of_address(text: &str) -> Option<miette::SourceSpan> {
    let is_invalid = |line: &str| {
        let (name, value) = line.split_once(':').unwrap_or((line, ""));
        let values = value.split(&['[', ']', ',', '"', ' '][..]).filter(|part| !part.is_empty());
        ADDRESS_FIELDS.contains(&name.trim())
            && values.into_iter().any(|part| part.parse::<net::SocketAddr>().is_err())
    };
    let line = text.lines().find(|line| is_invalid(line))?;
    place_of(text, line.split(':').next()?.trim())
}

/// Returns the remedy for an error of the parser; for an unknown field, the most similar known
/// name.
fn remedy(detail: &str) -> String {
    if detail.contains(INVALID_ADDRESS) {
        return "give an IP address and a port, such as 10.0.0.5:8080".to_owned();
    }
    let Some(field) = detail.split('`').nth(1) else {
        return "correct the marked place; `docs/settings.md` lists all fields".to_owned();
    };
    if detail.contains("missing field") {
        return format!("add `{field}:` with its value");
    }
    let known = detail.split_once("expected one of ").map_or("", |(_, names)| names);
    let known = known.split(" at line ").next().unwrap_or("").split(", ");
    let closest = known
        .map(|name| (strsim::jaro_winkler(field, name), name))
        .max_by(|a, b| a.0.total_cmp(&b.0));
    match closest {
        Some((similarity, name)) if similarity >= MIN_SIMILARITY => {
            format!("did you mean `{name}`?")
        }
        _ => format!("`{field}` is not a known field; `docs/settings.md` lists all fields"),
    }
}

/// Returns the content of a file.
///
/// # Errors
///
/// Returns an error if the file cannot be read.
pub fn read(file: &str) -> Result<String, Error> {
    std::fs::read_to_string(file)
        .map_err(|e| Error::File { file: file.to_owned(), detail: e.to_string() })
}
