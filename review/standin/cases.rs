//! The cases.

use std::collections::BTreeMap;
use std::path::Path;
use std::time::Duration;

use crate::deployment::{Deployment, Failure};
use crate::json::Json;
use crate::record::{Events, Record};
use crate::store::{LateWrite, Mode};

/// Runs a case, and returns whether the rule held.
pub fn run(case: &str, dir: &Path, has_trouble: bool) -> Result<bool, Failure> {
    match case {
        "unlisted-ends" => unlisted_ends(dir, has_trouble),
        "long-row" => long_row(dir, has_trouble),
        "late-job" => late_job(dir, has_trouble),
        "crashes" => crashes(dir, has_trouble),
        _ => Err(format!("there is no case {case}").into()),
    }
}

fn sleep(millis: u64) {
    std::thread::sleep(Duration::from_millis(millis));
}

/// A job of one step.
fn job(spec: &str, count: u64, millicores: u64, estimate: u64, checkpointing: bool) -> Json {
    let mut step = vec![
        ("Count", Json::num(count)),
        ("Cpu", Json::num(millicores)),
        ("MemMb", Json::num(100)),
        ("EstimateMs", Json::num(estimate)),
    ];
    if checkpointing {
        step.push(("Checkpointing", Json::Bool(true)));
    }
    Json::obj(vec![("Spec", Json::str(spec)), ("Phases", Json::Arr(vec![Json::obj(step)]))])
}

/// Finds starts of tasks after a run of them had ended `done`, if that end was taken note of. Leases
/// that have lapsed between the two are not looked for: in the cases that use this, none does.
fn starts_after_done(events: &Events) -> Vec<String> {
    let mut done = BTreeMap::new();
    for end in events.ends.iter().filter(|end| end.how == "done") {
        let known = done.entry(end.task.as_str()).or_insert(end);
        if end.at < known.at {
            *known = end;
        }
    }
    let mut found = Vec::new();
    for start in &events.starts {
        let Some(end) = done.get(start.task.as_str()) else { continue };
        if start.at > end.at && start.attempt != end.attempt && Record::is_acked(events, end) {
            found.push(format!(
                "{} ended done as attempt {} on {} at {} ms (end {}, acknowledged), and was started \
                 as attempt {} on {} at {} ms",
                end.task, end.attempt, end.worker, end.at, end.number, start.attempt, start.worker,
                start.at
            ));
        }
    }
    found
}

/// More ends than one answer of a worker lists, while the store is down.
fn unlisted_ends(dir: &Path, has_trouble: bool) -> Result<bool, Failure> {
    const ID: &str = "00000000000000a1";
    const TASKS: u64 = 2_560;
    const OUTAGE_MS: u64 = 4_500;
    let deployment = Deployment::start(dir, 4, 3)?;
    sleep(4_000);
    deployment.submit(ID, &job("9000 12500", TASKS, 100, 10_000, false))?;
    let accepted = deployment.record.now();
    deployment.wait_for_running(TASKS as usize, Duration::from_secs(8))?;
    sleep((accepted + 8_800).saturating_sub(deployment.record.now()));
    if has_trouble {
        deployment.store.set_mode(Mode::Busy);
    }
    sleep(OUTAGE_MS);
    if has_trouble {
        deployment.store.set_mode(Mode::Up);
    }
    let is_complete = deployment.wait_for_state(ID, "complete", Duration::from_secs(40));
    sleep(3_000);
    let events = deployment.record.events.lock().unwrap();
    let found = starts_after_done(&events);
    drop(events);
    let lapsed = lapsed(&deployment);
    deployment.record.tell(&format!(
        "TWICE: {} starts after an end `done` that was taken note of; {lapsed} runs lapsed; \
         complete: {is_complete}",
        found.len()
    ));
    for line in found.iter().take(3) {
        deployment.record.tell(line);
    }
    if lapsed > 0 {
        return Err("a lease has lapsed, which the check does not look at".into());
    }
    Ok(found.is_empty())
}

fn lapsed(deployment: &Deployment) -> usize {
    let events = deployment.record.events.lock().unwrap();
    events.ends.iter().filter(|end| end.how == "lapsed").count()
}

/// All daemons lose power while a job of many tasks with checkpoints runs.
fn long_row(dir: &Path, has_trouble: bool) -> Result<bool, Failure> {
    const LARGE: &str = "00000000000000b1";
    const SMALL: &str = "00000000000000b2";
    const WORKERS: usize = 10;
    const TASKS: u64 = 1_500;
    const LARGE_MILLICORES: usize = 400;
    const SMALL_MILLICORES: usize = 1_000;
    const DOWN_MS: u64 = 9_500;
    const CONTACT_MS: u64 = 3_000;
    const FINISH_MS: u64 = 14_000;
    const IDLE_MS: u64 = 3_000;
    let mut deployment = Deployment::start(dir, WORKERS, 3)?;
    sleep(4_000);
    let large = job("25000 30000 saving", TASKS, LARGE_MILLICORES as u64, 25_000, true);
    deployment.submit(LARGE, &large)?;
    deployment.wait_for_running(TASKS as usize, Duration::from_secs(15))?;
    sleep(5_000);
    if has_trouble {
        for number in 0..deployment.daemons.len() {
            deployment.kill_daemon(number);
        }
        sleep(DOWN_MS);
        for number in 0..deployment.daemons.len() {
            deployment.start_daemon(number)?;
        }
        deployment.wait_until_ready()?;
    }
    // There is no disruption from here on, so the machines are in touch after this.
    sleep(CONTACT_MS);
    deployment.submit(SMALL, &job("200 200", 4, SMALL_MILLICORES as u64, 200, false))?;
    sleep(FINISH_MS);
    let mut is_lost = false;
    for id in [SMALL, LARGE] {
        let is_complete = deployment.wait_for_state(id, "complete", Duration::from_secs(1));
        let running = |id: &str| -> usize {
            deployment.workers.iter().map(|worker| worker.running_of(id)).sum()
        };
        let until = deployment.record.now() + IDLE_MS;
        let (mut most, mut most_millicores) = (0, 0);
        while deployment.record.now() < until {
            let (large, small) = (running(LARGE), running(SMALL));
            most = most.max(running(id));
            most_millicores =
                most_millicores.max(large * LARGE_MILLICORES + small * SMALL_MILLICORES);
            sleep(10);
        }
        let is_idle = most_millicores < WORKERS * 64_000 / 2;
        is_lost |= !is_complete && most == 0 && is_idle;
        deployment.record.tell(&format!(
            "LOST: the job {id} is complete: {is_complete}; in {IDLE_MS} ms at most {most} tasks of \
             it ran, and at most {most_millicores} of {} thousandths of a core were in use",
            WORKERS * 64_000
        ));
    }
    if !is_lost {
        deployment.wait_for_state(LARGE, "complete", Duration::from_secs(40));
    }
    Ok(!is_lost)
}

/// A client cancels a job of which it does not know whether it was accepted.
fn late_job(dir: &Path, has_trouble: bool) -> Result<bool, Failure> {
    const ID: &str = "00000000000000c1";
    const LATE_MS: u64 = 6_000;
    const CANCEL_MS: u64 = 3_000;
    let deployment = Deployment::start(dir, 4, 3)?;
    sleep(4_000);
    if has_trouble {
        let delay = Duration::from_millis(LATE_MS);
        deployment.store.lose_write(LateWrite { key: format!("{ID}/job"), delay });
    }
    let reply = deployment.call(0, "POST", ID, Some(&job("2000 2000", 4, 1_000, 2_000, false)));
    let submitted = reply.map(|(status, _)| status);
    deployment.record.tell(&format!("POST: {submitted:?}"));
    let mut cancelled = None;
    for attempt in 0..5 {
        let reply = deployment.call(1 + attempt % 2, "DELETE", ID, None);
        cancelled = reply.map(|(status, _)| status);
        if cancelled.is_some_and(|status| status == 200 || status == 410) {
            break;
        }
        sleep(300);
    }
    let at = deployment.record.now();
    deployment.record.tell(&format!("DELETE: {cancelled:?}"));
    if !cancelled.is_some_and(|status| status == 200 || status == 410) {
        return Err("the cancellation is not acknowledged".into());
    }
    sleep(12_000);
    let events = deployment.record.events.lock().unwrap();
    let late: Vec<_> = events.starts.iter().filter(|start| start.at > at + CANCEL_MS).collect();
    let count = late.len();
    let first = late.first().map(|start| start.at - at);
    drop(events);
    let state = deployment.state(0, ID);
    deployment.record.tell(&format!(
        "UNASKED: {count} starts later than {CANCEL_MS} ms after the acknowledged cancellation, the \
         first {first:?} ms after it; the job is shown as {state:?}"
    ));
    Ok(count == 0)
}

/// Two workers crash, one after the other, soon after each has started the same task.
fn crashes(dir: &Path, has_trouble: bool) -> Result<bool, Failure> {
    const ID: &str = "00000000000000d1";
    const DOWN_MS: u64 = 3_000;
    let deployment = Deployment::start(dir, 8, 3)?;
    sleep(4_000);
    deployment.submit(ID, &job("3000 3000", 1, 1_000, 3_000, false))?;
    if has_trouble {
        for seen in 0..2 {
            let mut waited = 0;
            let start = loop {
                let start = deployment.record.events.lock().unwrap().starts.get(seen).cloned();
                if let Some(start) = start {
                    break start;
                }
                waited += 1;
                if waited > 4_000 {
                    return Err("the task is not started again".into());
                }
                sleep(5);
            };
            sleep(300);
            let worker = deployment.workers.iter().find(|worker| worker.id == start.worker);
            let worker = worker.ok_or("there is no such worker")?;
            worker.crash();
            sleep(DOWN_MS);
            worker.restart();
        }
    }
    let is_final = |state: &Option<String>| {
        state.as_ref().is_some_and(|state| state == "complete" || state == "failed")
    };
    let mut state = None;
    for _ in 0..100 {
        state = deployment.state(0, ID);
        if is_final(&state) {
            break;
        }
        sleep(200);
    }
    let events = deployment.record.events.lock().unwrap();
    let failed = events.ends.iter().filter(|end| end.how == "failed").count();
    drop(events);
    deployment.record.tell(&format!(
        "LOST: the job is shown as {state:?}, and {failed} runs have ended `failed`"
    ));
    Ok(state.as_deref() != Some("failed"))
}
