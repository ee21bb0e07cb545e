//! The command `burn`.

use gl_meter::{burn, burn_text};

use crate::{api, error::Error, output, program};

/// Prints the burn report.
///
/// # Errors
///
/// Returns an error if no daemon responds.
pub async fn run(api: &api::Api, options: &program::Options) -> Result<(), Error> {
    let report: burn::Report = api.get("/v1/burn").await?;
    match options.format {
        output::Format::Json => output::json(&report),
        output::Format::Text => output::write(format_args!("{}", burn_text::render(&report))),
    }
    Ok(())
}
