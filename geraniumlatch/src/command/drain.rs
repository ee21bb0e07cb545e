//! The command `drain`.

use gl_model::id;

use crate::{api, command::plans, error::Error, output, program};

/// Excludes a VM from new work and moves its tasks away.
///
/// # Errors
///
/// Returns an error if there is no such VM, or the platform is unreachable.
pub async fn vm(api: &api::Api, vm: &str) -> Result<(), Error> {
    let vm: id::VmId = api.post(&format!("/v1/drain/vm/{vm}"), "").await?;
    output::line(format_args!("{vm} gets no new work; its tasks are moved away"));
    Ok(())
}

/// Allows new work on a VM again.
///
/// # Errors
///
/// Returns an error if the platform is unreachable.
pub async fn undo(api: &api::Api, vm: &str) -> Result<(), Error> {
    let vm: id::VmId = api.delete(&format!("/v1/drain/vm/{vm}")).await?;
    output::line(format_args!("{vm} may get new work again"));
    Ok(())
}

/// Gracefully stops the first daemon that responds.
///
/// # Errors
///
/// Returns an error if no daemon responds, or the operator does not confirm.
pub async fn daemon(api: &api::Api, options: &program::Options) -> Result<(), Error> {
    plans::require_confirmation("stop the daemon given by `--server`?", options.assume_yes)?;
    let daemon: id::DaemonId = api.post("/v1/drain/daemon", "").await?;
    output::line(format_args!("{daemon} finishes its calls and stops"));
    Ok(())
}
