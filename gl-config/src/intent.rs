//! Files of intents.

use gl_model::intent;
use gl_schedule::plan;

use crate::{error::Error, parse};

/// Reads and validates a file of intents.
///
/// # Errors
///
/// Returns the first error found, with its place and remedy.
pub fn load(file: &str) -> Result<intent::File, Error> {
    parse(file, &parse::read(file)?)
}

/// Parses and validates the text of a file of intents.
///
/// # Errors
///
/// Returns the first error found, with its place and remedy.
pub fn parse(file: &str, text: &str) -> Result<intent::File, Error> {
    let intents: intent::File = parse::yaml(file, text)?;
    plan::check(&intents).map_err(|error| {
        let field = match &error {
            plan::Error::OutOfRange { field, .. } => field,
            plan::Error::Empty => "intents",
            _ => "name",
        };
        let place = parse::place_of(text, field);
        let message = error.to_string();
        let (detail, remedy) = message.split_once("; ").unwrap_or((&message, "correct the file"));
        parse::text_error(file, text, detail.to_owned(), place, remedy.to_owned())
    })?;
    Ok(intents)
}
