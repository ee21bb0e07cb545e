//! The scripts of the cases. Each returns 1 if the rule was broken, 0 if it held, 2 if it could not run.

use std::{path::Path, thread, time::Duration};

use crate::{
    json::{n, obj, Json},
    plant::{LABELLED, Plant, Run},
    unix_ms,
};

const CPU: u64 = 64_000;

fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// Whether the disruption takes place.
fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

pub fn run(name: &str, folder: &str) -> i32 {
    let folder = Path::new(folder);
    let result = match name {
        "long-tasks" => long_tasks(folder),
        "late-order" => late_order(folder),
        "probation" => probation(folder),
        "held-worker" => held_worker(folder),
        "hot-rack" => hot_rack(folder),
        _ => None,
    };
    match result {
        Some(found) if found.is_empty() => {
            println!("held");
            0
        }
        Some(found) => {
            found.iter().take(10).for_each(|line| println!("{line}"));
            1
        }
        None => 2,
    }
}

/// Ends the record with what was found.
fn conclude(plant: &Plant, found: Vec<String>) -> Option<Vec<String>> {
    plant.record.note(if found.is_empty() { "the rule held" } else { "the rule was broken" });
    found.iter().for_each(|line| plant.record.note(line));
    Some(found)
}

fn spec(work_ms: u64) -> Json {
    obj(vec![("work_ms", n(work_ms))])
}

/// One job of twenty has tasks that take many times as long as they declare.
fn long_tasks(folder: &Path) -> Option<Vec<String>> {
    let plant = Plant::start(folder, 8, 3, CPU)?;
    let id = "5c0e7a21d94b36f1".to_owned();
    let work = if has_trouble() { 400_000 } else { 20_000 };
    for number in 0..19 {
        let other = format!("a0b1c2d3e4f5{number:04x}");
        let phases = r#"[{"Count":2,"Cpu":7000,"MemMb":13000,"EstimateMs":2700}]"#;
        plant.submit(&other, &spec(2_700), phases).then_some(())?;
    }
    // One worker of the eight has this label.
    let phases = r#"[{"Count":2,"Cpu":7000,"MemMb":13000,"EstimateMs":20000,"Requirements":"b"}]"#;
    plant.submit(&id, &spec(work), phases).then_some(())?;
    // The end of the traffic, and `finish_s`.
    sleep_ms(14_000);
    let from = unix_ms();
    sleep_ms(30_000);
    let to = unix_ms();
    let state = plant.state(1, &id);
    if state.as_deref() == Some("complete") {
        return conclude(&plant, Vec::new());
    }
    let runs: Vec<_> = plant.runs().into_iter().filter(|run| run.task.starts_with(&id)).collect();
    let is_running = |at: u64| runs.iter().any(|r| r.from <= at && r.to.is_none_or(|to| at < to));
    let (mut idle_since, mut longest) = (None, (0, 0));
    for at in (from..to).step_by(10) {
        if is_running(at) {
            idle_since = None;
        } else {
            let since = *idle_since.get_or_insert(at);
            longest = longest.max((at - since, since));
        }
    }
    let stops = runs.iter().filter(|run| run.how == "stopped").count();
    let mut found = Vec::new();
    if longest.0 >= 3_000 {
        found.push(format!(
            "LOST {id}: nothing running for {} ms from {}, with all workers up and idle; {} starts, {stops} \
             stopped, none done, state {state:?}",
            longest.0, longest.1, runs.len()
        ));
    }
    conclude(&plant, found)
}


/// A start order that gets no answer is carried out by the next life of its worker.
fn late_order(folder: &Path) -> Option<Vec<String>> {
    let mut plant = Plant::start(folder, 8, 3, CPU)?;
    let (id, other) = ("5c0e7a21d94b36f1", "5c0e7a21d94b36f2");
    let task = format!("{id}.0.0.0");
    if has_trouble() {
        plant.hold_start(&task);
    }
    let phases = r#"[{"Count":1,"Cpu":7000,"MemMb":13000,"EstimateMs":12000}]"#;
    plant.submit(id, &spec(12_000), phases).then_some(())?;
    sleep_ms(300);
    // A task on the one worker that has this label, so that the next start of the first task goes there.
    let phases = r#"[{"Count":1,"Cpu":7000,"MemMb":13000,"EstimateMs":30000,"Requirements":"b"}]"#;
    plant.submit(other, &spec(30_000), phases).then_some(())?;
    if has_trouble() {
        let id = (0..100).find_map(|_| {
            sleep_ms(100);
            plant.held_by()
        })?;
        (0..100).find(|_| {
            sleep_ms(100);
            plant.runs_on(&task).is_some()
        })?;
        // The unanswered order is carried out 2 to 12 s after it was sent.
        sleep_ms(2_000);
        let machine = plant.kill_worker(&id)?;
        sleep_ms(500);
        plant.start_worker_as(machine, CPU, id)?;
    }
    let is_done = |plant: &Plant| plant.runs().iter().any(|run| run.task == task && run.how == "done");
    for _ in 0..300 {
        if is_done(&plant) {
            break;
        }
        sleep_ms(100);
    }
    sleep_ms(3_000);
    is_done(&plant).then_some(())?;
    let found = plant.twice();
    conclude(&plant, found)
}

/// A worker crashes and is back. Then come jobs that only this worker can run.
fn probation(folder: &Path) -> Option<Vec<String>> {
    let mut plant = Plant::start(folder, 8, 3, CPU)?;
    let other = "5c0e7a21d94b36f2";
    let phases = r#"[{"Count":1,"Cpu":7000,"MemMb":13000,"EstimateMs":60000}]"#;
    plant.submit(other, &spec(60_000), phases).then_some(())?;
    sleep_ms(1_000);
    if has_trouble() {
        // The worker that has the label.
        let id = plant.workers.iter().find(|w| w.machine == LABELLED)?.id.clone();
        let machine = plant.kill_worker(&id)?;
        sleep_ms(4_500);
        plant.start_worker(machine, CPU)?;
    }
    sleep_ms(5_000);
    let ids: Vec<String> = (0..20).map(|i| format!("a0b1c2d3e4f5{i:04x}")).collect();
    for id in &ids {
        let phases = r#"[{"Count":1,"Cpu":500,"MemMb":256,"EstimateMs":40000,"Requirements":"b"}]"#;
        plant.submit(id, &spec(40_000), phases).then_some(())?;
        sleep_ms(80);
    }
    // `finish_s` after the end of the traffic.
    sleep_ms(14_000);
    let from = unix_ms();
    sleep_ms(8_000);
    let to = unix_ms();
    let runs = plant.runs();
    let mut found = Vec::new();
    for id in &ids {
        let is_running = |r: &Run| r.from < to && r.to.is_none_or(|end| end > from);
        let has_run = runs.iter().any(|r| r.task.starts_with(id.as_str()) && is_running(r));
        let state = plant.state(1, id);
        if !has_run && state.as_deref() != Some("complete") {
            let beside = runs.iter().filter(|r| r.worker.starts_with("w1-") && is_running(r)).count();
            found.push(format!(
                "LOST {id}: nothing running for {} ms, later than 14 s after the traffic, state {state:?}; the \
                 worker with the label is up and runs {beside} tasks of half a core on 64 cores",
                to - from
            ));
        }
    }
    conclude(&plant, found)
}

/// The owner is killed. Then comes a job that lasts and that one worker can run.
fn held_worker(folder: &Path) -> Option<Vec<String>> {
    let mut plant = Plant::start(folder, 14, 3, CPU)?;
    sleep_ms(25_000);
    let owner = plant.owner()?;
    if has_trouble() {
        plant.kill_daemon(owner);
    }
    sleep_ms(1_500);
    let id = "5c0e7a21d94b36f1";
    let phases = r#"[{"Count":1,"Cpu":13000,"MemMb":26000,"EstimateMs":500,"LongRunning":true,"TargetMs":25,"Requirements":"c"}]"#;
    plant.submit(id, &obj(Vec::new()), phases).then_some(())?;
    sleep_ms(2_000);
    if has_trouble() {
        plant.restart_daemon(owner)?;
    }
    // `finish_s` after the end of the traffic.
    sleep_ms(12_000);
    let from = unix_ms();
    sleep_ms(15_000);
    let first = plant.runs().into_iter().find(|run| run.task.starts_with(id)).map(|run| run.from);
    let idle = first.unwrap_or_else(unix_ms).saturating_sub(from);
    let mut found = Vec::new();
    if idle >= 3_000 {
        found.push(format!(
            "LOST {id}: nothing running for {idle} ms from {from} on, 14 s after the traffic; the worker that \
             it needs is up and idle"
        ));
    }
    conclude(&plant, found)
}

/// Many jobs want the same rack. One that comes later wants it too.
fn hot_rack(folder: &Path) -> Option<Vec<String>> {
    // Four racks of eight.
    let plant = Plant::start(folder, 32, 3, CPU)?;
    for number in 0..14 {
        // Eight of fourteen want the same rack.
        let rack = if has_trouble() { [0, 0, 1, 0, 0, 2, 0, 3, 0, 1, 0, 2, 0, 3][number] } else { number % 4 };
        let phases = format!(
            r#"[{{"Count":9,"Cpu":7000,"MemMb":13000,"EstimateMs":44000,"DataRack":"r{rack}"}}]"#
        );
        plant.submit(&format!("a0b1c2d3e4f5{number:04x}"), &spec(44_000), &phases).then_some(())?;
    }
    sleep_ms(23_500);
    let id = "5c0e7a21d94b36f1";
    let phases = r#"[{"Count":1,"Cpu":7000,"MemMb":13000,"EstimateMs":44000,"DataRack":"r0"}]"#;
    plant.submit(id, &spec(44_000), phases).then_some(())?;
    // `finish_s` after the end of the traffic.
    sleep_ms(14_000);
    let from = unix_ms();
    sleep_ms(10_000);
    let runs = plant.runs();
    let first = runs.iter().find(|run| run.task.starts_with(id)).map(|run| run.from);
    let idle = first.unwrap_or_else(unix_ms).saturating_sub(from);
    let in_use = runs.iter().filter(|run| run.from <= from && run.to.is_none_or(|to| to > from)).count();
    let mut found = Vec::new();
    if idle >= 3_000 {
        found.push(format!(
            "LOST {id}: nothing running for {idle} ms from {from} on, 14 s after the traffic; {} of {} cores \
             are in use",
            in_use * 7,
            32 * 64
        ));
    }
    conclude(&plant, found)
}
