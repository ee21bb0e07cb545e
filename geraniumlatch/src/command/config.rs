//! The command `config`.

use gl_model::{config, id};

use crate::{api, command::status, error::Error, output, program};

/// Prints the shared configuration that is in force.
///
/// # Errors
///
/// Returns an error if no daemon responds.
pub async fn show(api: &api::Api) -> Result<(), Error> {
    let row: config::Row = api.get("/v1/config").await?;
    output::json(&row);
    Ok(())
}

/// Checks a file of the shared configuration.
///
/// # Errors
///
/// Returns an error if the file is invalid.
pub fn check(file: &str) -> Result<(), Error> {
    gl_config::shared::load(file)?;
    output::line(format_args!("`{file}` is valid"));
    Ok(())
}

/// Lists the accepted configurations.
///
/// # Errors
///
/// Returns an error if the platform is unreachable.
pub async fn history(api: &api::Api, options: &program::Options) -> Result<(), Error> {
    let rows: Vec<config::Row> = api.get("/v1/config/history").await?;
    match options.format {
        output::Format::Json => output::json(&rows),
        output::Format::Text => {
            for row in rows {
                output::line(format_args!("{}  accepted by {}", row.number, row.txn));
            }
        }
    }
    Ok(())
}

#[derive(serde::Serialize)]
struct Change {
    basis: id::Version,
    content: config::Shared,
}

/// Accepts a file as the shared configuration and waits until it is in force on all daemons.
///
/// # Errors
///
/// Returns an error if the file is invalid, the configuration was changed concurrently, or it is
/// not in force on all daemons in time.
pub async fn apply(api: &api::Api, options: &program::Options, file: &str) -> Result<(), Error> {
    let content = gl_config::shared::load(file)?;
    let current: config::Row = api.get("/v1/config").await?;
    let change = Change { basis: current.number, content };
    let body = serde_json::to_string(&change)
        .map_err(|e| Error::Usage { detail: format!("{file}: {e}") })?;
    let accepted: config::Row = api.post("/v1/config", &body).await?;
    output::line(format_args!("accepted as number {}", accepted.number));
    status::wait_for_config(api, options.wait, accepted.number).await
}
