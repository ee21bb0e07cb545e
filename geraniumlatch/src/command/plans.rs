//! The commands `submit`, `plans`, `plan`, `confirm` and `cancel`.

use std::{io, io::Write as _};

use gl_model::plan;

use crate::{api, error::Error, output, program};

fn body<T: serde::Serialize>(value: &T) -> Result<String, Error> {
    serde_json::to_string(value).map_err(|e| Error::Usage { detail: e.to_string() })
}

fn print(options: &program::Options, plan: &plan::Plan) {
    match options.format {
        output::Format::Json => output::json(plan),
        output::Format::Text => output::write(format_args!("{}", output::plan(plan))),
    }
}

/// Makes a plan for the intents of a file and prints it.
///
/// # Errors
///
/// Returns an error if the file is invalid, an intent in it cannot be met, or no daemon responds.
pub async fn submit(api: &api::Api, options: &program::Options, file: &str) -> Result<(), Error> {
    let intents = gl_config::intent::load(file)?;
    let plan: plan::Plan = api.post("/v1/plans", &body(&intents)?).await?;
    print(options, &plan);
    unmet(&plan).map_or(Ok(()), Err)
}

/// Returns the error of a plan in which tasks cannot be placed; none if all tasks are placed.
fn unmet(plan: &plan::Plan) -> Option<Error> {
    let reason = |u: &plan::Unplaced| format!("{} tasks of `{}`: {}", u.tasks, u.job, u.reason);
    let reasons: Vec<String> = plan.unplaced.iter().map(reason).collect();
    let plan = plan.id.to_string();
    (!reasons.is_empty()).then(|| Error::Unmet { plan, detail: reasons.join("; ") })
}

/// Makes a plan that cancels jobs and prints it.
///
/// # Errors
///
/// Returns an error if there is no such job, or no daemon responds.
pub async fn cancel(
    api: &api::Api,
    options: &program::Options,
    jobs: &[String],
) -> Result<(), Error> {
    let plan: plan::Plan = api.post("/v1/cancel", &body(&jobs)?).await?;
    print(options, &plan);
    Ok(())
}

/// Lists all plans.
///
/// # Errors
///
/// Returns an error if no daemon responds.
pub async fn list(api: &api::Api, options: &program::Options) -> Result<(), Error> {
    let plans: Vec<plan::Plan> = api.get("/v1/plans").await?;
    match options.format {
        output::Format::Json => output::json(&plans),
        output::Format::Text => {
            for plan in &plans {
                output::line(format_args!(
                    "{}  {:?}  {}",
                    plan.id,
                    plan.state,
                    output::summary(plan)
                ));
            }
        }
    }
    Ok(())
}

/// Prints a plan.
///
/// # Errors
///
/// Returns an error if there is no such plan, or no daemon responds.
pub async fn show(api: &api::Api, options: &program::Options, id: &str) -> Result<(), Error> {
    let plan: plan::Plan = api.get(&format!("/v1/plans/{id}")).await?;
    print(options, &plan);
    Ok(())
}

/// Prompts for confirmation on a terminal. Without a terminal, `--yes` must have been given.
///
/// # Errors
///
/// Returns an error if the operator does not answer `yes`.
pub fn require_confirmation(question: &str, is_confirmed: bool) -> Result<(), Error> {
    if is_confirmed {
        return Ok(());
    }
    if !io::IsTerminal::is_terminal(&io::stdin()) {
        return Err(Error::Unconfirmed);
    }
    eprint!("{question} [yes/no] ");
    let _ = io::stderr().flush();
    let mut answer = String::new();
    let _ = io::stdin().read_line(&mut answer);
    if answer.trim() == "yes" { Ok(()) } else { Err(Error::Unconfirmed) }
}

/// Puts a plan in force.
///
/// # Errors
///
/// Returns an error if the state has changed since the plan was made, or the operator does not
/// confirm.
pub async fn confirm(api: &api::Api, options: &program::Options, id: &str) -> Result<(), Error> {
    if !options.assume_yes {
        let plan: plan::Plan = api.get(&format!("/v1/plans/{id}")).await?;
        eprint!("{}", output::plan(&plan));
        require_confirmation("confirm this plan?", options.assume_yes)?;
    }
    match api.confirm(id).await? {
        api::Confirmation::InForce(plan) => {
            match options.format {
                output::Format::Json => output::json(&plan),
                output::Format::Text => output::line(format_args!("plan {} is in force", plan.id)),
            }
            Ok(())
        }
        api::Confirmation::Stale { message, fresh } => {
            print(options, &fresh);
            Err(Error::Stale { message })
        }
    }
}
