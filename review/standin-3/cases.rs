//! The scripts of the cases. Each returns 1 if the rule was broken, 0 if it held, 2 if it could not run.

use std::{path::Path, thread, time::Duration};

use crate::{
    json::{n, obj, s, Json},
    plant::{Plant, Run},
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
        "foreign-entry" => foreign_entry(folder),
        "long-tasks" => long_tasks(folder),
        "crashes" => crashes(folder),
        "schedule" => schedule(folder),
        "one-crash" => one_crash(folder),
        "soak" => soak(folder),
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

/// Waits until jobs are complete; returns whether they are.
fn wait_complete(plant: &Plant, ids: &[String], seconds: u64) -> bool {
    for second in 0..seconds {
        let is_complete = |id: &String| {
            let state = plant.state(second as usize % plant.daemons.len(), id);
            state.as_deref() == Some("complete")
        };
        if ids.iter().all(is_complete) {
            return true;
        }
        sleep_ms(1_000);
    }
    false
}

/// An entry of another writer appears while tasks run.
fn foreign_entry(folder: &Path) -> Option<Vec<String>> {
    let plant = Plant::start(folder, 8, 3, CPU)?;
    let ids: Vec<String> = (1..=4).map(|i| format!("5c0e7a21d94b36f{i}")).collect();
    for id in &ids {
        let phases = r#"[{"Count":6,"Cpu":7000,"MemMb":13000,"EstimateMs":12000}]"#;
        plant.submit(id, &spec(12_000), phases).then_some(())?;
    }
    sleep_ms(3_000);
    let busy = plant.workers.iter().find(|w| plant.runs().iter().any(|run| run.worker == w.id))?;
    if has_trouble() {
        let capacity = obj(vec![("Cpu", n(0)), ("MemMb", n(0)), ("Gpu", n(0))]);
        let entry = obj(vec![
            ("Service", s("host-agent")),
            ("Address", s("127.0.0.1:9")),
            ("Zone", s("th-central-a")),
            ("Version", s("v7")),
            ("Slots", n(0)),
            ("State", s("ready")),
            ("ColdLeftMs", n(0)),
            ("Seq", n(1)),
            ("Capacity", capacity),
            ("Labels", Json::Arr(Vec::new())),
            ("Machine", s(&Plant::machine_name(busy.machine))),
            ("born", n(unix_ms())),
        ]);
        plant.record.note(&format!("another writer stores servers/host-agent-1: {entry}"));
        plant.store.write("servers", "host-agent-1", Some(&entry.to_string()));
    }
    let is_complete = wait_complete(&plant, &ids, 60);
    let mut found = plant.twice();
    if !is_complete && found.is_empty() {
        found.push("a job is not complete after 60 s".to_owned());
    }
    conclude(&plant, found)
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

/// Two workers crash, one after the other, each soon after it has started the task of a job.
fn crashes(folder: &Path) -> Option<Vec<String>> {
    let mut plant = Plant::start(folder, 8, 3, CPU)?;
    let id = "5c0e7a21d94b36f1".to_owned();
    let task = format!("{id}.0.0.0");
    let phases = r#"[{"Count":1,"Cpu":7000,"MemMb":13000,"EstimateMs":2700}]"#;
    plant.submit(&id, &spec(2_700), phases).then_some(())?;
    let mut down = Vec::new();
    let mut last = 0;
    for _ in 0..600 {
        let due: Vec<usize> = down.iter().filter(|(at, _)| unix_ms() >= *at).map(|(_, m)| *m).collect();
        down.retain(|(at, _)| unix_ms() < *at);
        for machine in due {
            plant.start_worker(machine, CPU)?;
        }
        let run = plant.runs_on(&task);
        if let Some(run) = run.filter(|run| has_trouble() && run.attempt > last && down.is_empty()) {
            if plant.workers.iter().filter(|w| w.ended.is_some()).count() < 2 {
                last = run.attempt;
                sleep_ms(200);
                let machine = plant.kill_worker(&run.worker)?;
                down.push((unix_ms() + 4_500, machine));
            }
        }
        sleep_ms(50);
    }
    let state = plant.state(1, &id);
    let failed = plant.runs().iter().filter(|run| run.how == "failed").count();
    let mut found = Vec::new();
    if state.as_deref() != Some("complete") {
        let starts = plant.runs().len();
        found.push(format!("LOST {id}: shown as {state:?} with {failed} runs ended `failed`, {starts} starts"));
    }
    conclude(&plant, found)
}

/// All daemons are killed while the first occurrence of a job runs; the second one is done.
fn schedule(folder: &Path) -> Option<Vec<String>> {
    let mut plant = Plant::start(folder, 8, 3, CPU)?;
    let id = "5c0e7a21d94b36f1";
    let mut spec = spec(3_000);
    spec.set("work_of", obj(vec![("0", n(9_000)), ("1", n(3_000))]));
    let phases = r#"[{"Count":2,"Cpu":7000,"MemMb":13000,"EstimateMs":5000}]"#;
    let start = unix_ms() + 500;
    let body = format!(
        r#"{{"Spec":{},"Phases":{phases},"StartAtMs":{start},"IntervalMs":1000,"RepeatCount":2}}"#,
        s(&spec.to_string())
    );
    let path = format!("{}{id}", crate::plant::PREFIX);
    plant.call(0, "POST", &path, &body).filter(|(status, _)| *status == 200)?;
    sleep_ms(start + 8_300 - unix_ms());
    if has_trouble() {
        (0..3).for_each(|daemon| plant.kill_daemon(daemon));
        sleep_ms(1_500);
        for daemon in 0..3 {
            plant.restart_daemon(daemon)?;
        }
    }
    let is_done = |plant: &Plant| plant.runs().iter().filter(|run| run.how == "done").count() == 4;
    for _ in 0..400 {
        if is_done(&plant) {
            break;
        }
        sleep_ms(100);
    }
    if !is_done(&plant) {
        return None;
    }
    // `finish_s`, and as long again.
    let mut state = None;
    for second in 0..28 {
        sleep_ms(1_000);
        state = plant.state(second % 3, id);
        if state.as_deref() == Some("complete") {
            break;
        }
    }
    let mut found = plant.twice();
    if state.as_deref() != Some("complete") {
        found.push(format!("LOST {id}: shown as {state:?} 28 s after all of its tasks have ended `done`"));
    }
    conclude(&plant, found)
}

/// The longest time within a span for which none of a job's tasks runs.
fn longest_idle(runs: &[Run], id: &str, from: u64, to: u64) -> u64 {
    let own: Vec<_> = runs.iter().filter(|run| run.task.starts_with(id)).collect();
    let (mut idle, mut longest) = (0, 0);
    for at in (from..to).step_by(10) {
        let is_running = own.iter().any(|r| r.from <= at && r.to.is_none_or(|to| at < to));
        idle = if is_running { 0 } else { idle + 10 };
        longest = longest.max(idle);
    }
    longest
}

/// The worker with the most tasks crashes at the end of a burst of small jobs.
fn one_crash(folder: &Path) -> Option<Vec<String>> {
    let mut plant = Plant::start(folder, 8, 3, CPU)?;
    let ids: Vec<String> = (0..120).map(|i| format!("a0b1c2d3e4f5{i:04x}")).collect();
    let phases = r#"[{"Count":6,"Cpu":500,"MemMb":256,"EstimateMs":640}]"#;
    let started = unix_ms();
    for (id, number) in ids.iter().zip(0..) {
        sleep_ms((started + number * 33).saturating_sub(unix_ms()));
        plant.submit(id, &spec(640), phases).then_some(())?;
    }
    let ended = unix_ms();
    if has_trouble() {
        let runs = plant.runs();
        let running = |id: &str| runs.iter().filter(|r| r.worker == id && r.to.is_none()).count();
        let busiest = plant.workers.iter().max_by_key(|w| running(&w.id))?.id.clone();
        let machine = plant.kill_worker(&busiest)?;
        sleep_ms(4_500);
        plant.start_worker(machine, CPU)?;
    }
    // `finish_s` after the end of the traffic.
    let from = ended + 14_000;
    sleep_ms(from.saturating_sub(unix_ms()));
    let mut found = Vec::new();
    let asked = |plant: &Plant| -> Vec<String> {
        let open = ids.iter().filter(|id| plant.state(0, id).as_deref() != Some("complete"));
        open.cloned().collect()
    };
    let open = asked(&plant);
    sleep_ms(8_000);
    let runs = plant.runs();
    let to = unix_ms();
    let still = asked(&plant);
    plant.record.note(&format!("{} jobs open at finish_s, {} of them 8 s later", open.len(), still.len()));
    for id in still.iter().filter(|id| open.contains(id)) {
        let idle = longest_idle(&runs, id, from, to);
        if idle >= 3_000 {
            found.push(format!(
                "LOST {id}: nothing running for {idle} ms, later than {} ms after the traffic, with all \
                 workers up and {} tasks running",
                from - ended,
                runs.iter().filter(|run| run.to.is_none()).count()
            ));
        }
    }
    conclude(&plant, found)
}

struct Rnd(u64);

impl Rnd {
    fn below(&mut self, limit: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) % limit
    }
}

struct SoakJob {
    id: String,
    counts: Vec<u64>,
    after: bool,
    cpu: u64,
    apart: u64,
    start_at: u64,
    interval: u64,
    repeat: u64,
    gang: Vec<bool>,
    label: bool,
    cancelled: Option<u64>,
    body: String,
}

fn soak(folder: &Path) -> Option<Vec<String>> {
    let seed: u64 = std::env::var("SEED").ok()?.parse().ok()?;
    let modes = std::env::var("MODES").unwrap_or_else(|_| "kill,stop,worker,term".to_owned());
    let modes: Vec<&str> = modes.split(',').collect();
    let mut rnd = Rnd(seed * 0x9e37_79b9_7f4a_7c15 + 1);
    let cpu = 16_000;
    let mut plant = Plant::start(folder, 10, 3, cpu)?;
    let mut jobs: Vec<SoakJob> = Vec::new();
    let started = unix_ms();
    let mut next_fault = started + 3_000;
    let mut down: Vec<(u64, usize)> = Vec::new();
    let mut daemons_down: Vec<(u64, usize, bool)> = Vec::new();
    while unix_ms() < started + 60_000 {
        let now = unix_ms();
        if plant.daemons.len() > daemons_down.len() && jobs.len() < 140 {
            let steps = 1 + rnd.below(3);
            let repeat = if rnd.below(4) == 0 { 1 + rnd.below(4) } else { 0 };
            let mut job = SoakJob {
                id: format!("{:08x}{:08x}", seed & 0xffff, jobs.len() + 1),
                counts: (0..steps).map(|_| 1 + rnd.below(5)).collect(),
                after: rnd.below(2) == 0,
                cpu: 500 + 500 * rnd.below(8),
                apart: if rnd.below(4) == 0 { 1 + rnd.below(2) } else { 0 },
                start_at: if repeat > 0 { now + rnd.below(4_000) } else { 0 },
                interval: 500 * rnd.below(5),
                repeat,
                gang: (0..steps).map(|_| rnd.below(3) == 0).collect(),
                label: rnd.below(5) == 0,
                cancelled: None,
                body: String::new(),
            };
            let work = 200 + 100 * rnd.below(50);
            let saves = rnd.below(2) == 0;
            let mut spec = obj(vec![("work_ms", n(work)), ("fails_of_10", n(rnd.below(3)))]);
            let of_steps = |is_set: &dyn Fn(usize) -> bool| {
                let set = (0..steps as usize).filter(|step| is_set(*step));
                Json::Obj(set.map(|step| (step.to_string(), n(job.counts[step]))).collect())
            };
            spec.set("gangs", of_steps(&|step| job.gang[step]));
            spec.set("saves", of_steps(&|_| saves));
            let phases: Vec<Json> = (0..steps as usize)
                .map(|step| {
                    let mut phase = obj(vec![
                        ("Count", n(job.counts[step])),
                        ("Cpu", n(job.cpu)),
                        ("MemMb", n(256)),
                        ("EstimateMs", n(work)),
                    ]);
                    if job.after && step > 0 {
                        phase.set("After", Json::Arr((0..step as u64).map(n).collect()));
                    }
                    if job.apart > 0 {
                        phase.set("AntiAffinity", n(job.apart));
                    }
                    if job.gang[step] {
                        phase.set("Gang", Json::Bool(true));
                        phase.set("RackSensitive", Json::Bool(step == 1));
                    }
                    if saves {
                        phase.set("Checkpointing", Json::Bool(true));
                    }
                    if job.label {
                        phase.set("Requirements", s("a"));
                    }
                    phase
                })
                .collect();
            let mut body = obj(vec![("Spec", s(&spec.to_string())), ("Phases", Json::Arr(phases))]);
            if job.repeat > 0 {
                body.set("StartAtMs", n(job.start_at));
                body.set("IntervalMs", n(job.interval));
                body.set("RepeatCount", n(job.repeat));
            }
            job.body = body.to_string();
            for attempt in 0..30 {
                let daemon = (attempt + jobs.len()) % plant.daemons.len();
                if daemons_down.iter().any(|(_, d, _)| *d == daemon) {
                    continue;
                }
                let reply = plant.call(daemon, "POST", &format!("{}{}", crate::plant::PREFIX, job.id), &job.body);
                if reply.is_some_and(|(status, _)| status == 200) {
                    jobs.push(job);
                    break;
                }
                sleep_ms(200);
            }
            if rnd.below(12) == 0 && !jobs.is_empty() {
                let pick = rnd.below(jobs.len() as u64) as usize;
                let path = format!("{}{}", crate::plant::PREFIX, jobs[pick].id);
                let daemon = (0..3).find(|d| !daemons_down.iter().any(|(_, x, _)| x == d))?;
                let reply = plant.call(daemon, "DELETE", &path, "");
                if reply.is_some_and(|(status, _)| status == 200) && jobs[pick].cancelled.is_none() {
                    jobs[pick].cancelled = Some(unix_ms());
                }
            }
        }
        let now = unix_ms();
        for (_, machine) in down.extract_if(.., |(at, _)| now >= *at).collect::<Vec<_>>() {
            plant.start_worker(machine, cpu)?;
        }
        for (_, daemon, is_stopped) in daemons_down.extract_if(.., |(at, ..)| now >= *at).collect::<Vec<_>>() {
            if is_stopped {
                plant.signal(daemon, "-CONT");
            } else {
                let _ = plant.daemons[daemon].child.kill();
                let _ = plant.daemons[daemon].child.wait();
                plant.restart_daemon(daemon)?;
            }
        }
        if now >= next_fault && now < started + 50_000 && !modes.is_empty() {
            next_fault = now + 1_500 + rnd.below(3_000);
            let daemon = rnd.below(3) as usize;
            let is_up = !daemons_down.iter().any(|(_, d, _)| *d == daemon);
            match modes[rnd.below(modes.len() as u64) as usize] {
                "kill" if is_up => {
                    plant.kill_daemon(daemon);
                    daemons_down.push((now + 300 + rnd.below(3_000), daemon, false));
                }
                "stop" if is_up => {
                    plant.signal(daemon, "-STOP");
                    daemons_down.push((now + 500 + rnd.below(4_500), daemon, true));
                }
                "term" if is_up => {
                    plant.signal(daemon, "-TERM");
                    daemons_down.push((now + 6_000, daemon, false));
                }
                "worker" if down.is_empty() => {
                    let up: Vec<String> =
                        plant.workers.iter().filter(|w| w.ended.is_none()).map(|w| w.id.clone()).collect();
                    let id = &up[rnd.below(up.len() as u64) as usize];
                    let machine = plant.kill_worker(id)?;
                    down.push((now + 1_000 + rnd.below(3_500), machine));
                }
                _ => {}
            }
        }
        sleep_ms(100);
    }
    for (_, daemon, is_stopped) in daemons_down {
        if is_stopped {
            plant.signal(daemon, "-CONT");
        } else {
            let _ = plant.daemons[daemon].child.kill();
            let _ = plant.daemons[daemon].child.wait();
            plant.restart_daemon(daemon)?;
        }
    }
    sleep_ms(26_000);
    let mut found = plant.twice();
    let runs = plant.runs();
    for job in &jobs {
        let own: Vec<_> = runs.iter().filter(|run| run.task.starts_with(&job.id)).collect();
        for run in &own {
            let numbers: Vec<u64> = run.task.split('.').skip(1).filter_map(|x| x.parse().ok()).collect();
            let (k, step) = (numbers[0], numbers[1] as usize);
            if job.repeat > 0 && run.from + 250 < job.start_at + k * job.interval {
                found.push(format!("ORDER early {run:?}"));
            }
            if job.cancelled.is_some_and(|at| run.from > at + 3_000) {
                found.push(format!("UNASKED after cancel {run:?}"));
            }
            if job.after {
                for before in 0..step {
                    for index in 0..job.counts[before] {
                        let is_done = |other: &&&crate::plant::Run| {
                            let task = format!("{}.{k}.{before}.{index}", job.id);
                            let phase = format!("{}.{k}.{before}.", job.id);
                            let is_it = other.task == task || job.gang[before] && other.task.starts_with(&phase);
                            is_it && other.how == "done" && other.to.is_some_and(|to| to <= run.from + 20)
                        };
                        if !own.iter().any(|other| is_done(&other)) {
                            found.push(format!("ORDER before {before}.{index}: {run:?}"));
                        }
                    }
                }
            }
            if job.apart > 0 {
                let beside = own.iter().filter(|o| {
                    let same = o.task.rsplit_once('.').unwrap().0 == run.task.rsplit_once('.').unwrap().0;
                    same && o.worker == run.worker && o.from <= run.from && o.to.is_none_or(|to| to > run.from + 20)
                });
                if beside.count() as u64 > job.apart {
                    found.push(format!("ROUTE apart {run:?}"));
                }
            }
            if run.how == "alone" {
                plant.record.note(&format!("alone: {run:?}"));
            }
            if job.label && run.worker.starts_with("w1-") {
                found.push(format!("ROUTE label {run:?}"));
            }
        }
        let state = plant.state(1, &job.id);
        let is_fine = match state.as_deref() {
            Some("complete") => true,
            Some("cancelled") => job.cancelled.is_some(),
            Some("failed") => own.iter().filter(|run| run.how == "failed").count() >= 4,
            _ => false,
        };
        if !is_fine {
            found.push(format!("LOST {} {:?} {state:?} {}", job.id, job.cancelled, job.body));
        }
        if state.as_deref() == Some("complete") {
            for k in 0..job.repeat.max(1) {
                for (step, count) in job.counts.iter().enumerate() {
                    for index in 0..*count {
                        let phase = format!("{}.{k}.{step}.", job.id);
                        let task = format!("{phase}{index}");
                        let is_done = own.iter().any(|r| {
                            r.how == "done" && (r.task == task || job.gang[step] && r.task.starts_with(&phase))
                        });
                        if !is_done {
                            found.push(format!("MIXED {task} not done, job complete"));
                        }
                    }
                }
            }
        }
    }
    // LIMIT: what runs on a worker at each start.
    let cpu_of = |task: &str| jobs.iter().find(|job| task.starts_with(&job.id)).map_or(0, |job| job.cpu);
    for run in &runs {
        let beside = runs.iter().filter(|o| {
            o.worker == run.worker && o.from <= run.from && o.to.is_none_or(|to| to > run.from + 20)
        });
        let used: u64 = beside.map(|o| cpu_of(&o.task)).sum();
        if used > cpu {
            found.push(format!("LIMIT {used} {run:?}"));
        }
    }
    for line in plant.record.lines().iter().filter(|line| line.words[0] == "start") {
        let (task, checkpoint) = (&line.words[1], &line.words[4]);
        let phase = task.rsplit_once('.').unwrap().0;
        let is_own = checkpoint.is_empty()
            || checkpoint.starts_with(&format!("{task}:"))
            || checkpoint.starts_with(&format!("{phase}:"));
        if !is_own {
            found.push(format!("UNASKED checkpoint {line:?}"));
        }
    }
    let panics = plant.logged("panicked");
    found.extend(panics);
    println!("{} jobs, {} runs", jobs.len(), runs.len());
    conclude(&plant, found)
}
