//! The cases.

use std::{collections::BTreeSet, io, path::Path, thread, time::Duration};

use crate::{
    http,
    json,
    world::{self, Options, World},
};

pub enum Verdict {
    Held,
    Broken,
}

pub fn play(name: &str, record: &Path, has_trouble: bool) -> io::Result<Verdict> {
    match name {
        "foreign-entry" => foreign_entry(record, has_trouble),
        "advice" => advice(record, has_trouble),
        "crashes" => crashes(record, has_trouble),
        _ => Err(io::Error::other(format!("there is no case {name}"))),
    }
}

fn verdict(world: &World, broken: Option<String>) -> Verdict {
    match broken {
        Some(what) => {
            world.record.note(&format!("BROKEN: {what}"));
            println!("broken: {what}");
            Verdict::Broken
        }
        None => {
            world.record.note("held");
            println!("held");
            Verdict::Held
        }
    }
}

fn cannot(text: &str) -> io::Error {
    io::Error::other(text.to_owned())
}

/// TWICE: another writer's entry names the machine of a worker that is at work.
fn foreign_entry(record: &Path, has_trouble: bool) -> io::Result<Verdict> {
    let options = Options { workers: 8, daemons: 3, allowed: None, cpu: 64_000 };
    let world = World::start(options, record)?;
    let other = http::Server::start(std::sync::Arc::new(|_| Some((404, String::new()))))?;
    thread::sleep(Duration::from_secs(2));
    let id = "00000000000000a1";
    if !world.submit(id, &world::job("work=6000", 6, 4_000, 6_000, "")) {
        return Err(cannot("the job was not accepted"));
    }
    if !world::wait_for(Duration::from_secs(5), || world.fleet.running(id).len() == 6) {
        return Err(cannot("the tasks do not run"));
    }
    thread::sleep(Duration::from_millis(1_000));
    if has_trouble {
        let (index, _) = world.fleet.running(id)[0].clone();
        let mut entry = world.fleet.entry(index);
        for (name, value) in &mut entry {
            match *name {
                "Service" => *value = json::text("ledger-x"),
                "Address" => *value = json::text(other.address.to_string()),
                "born" => *value = json::num(crate::fleet::unix_ms()),
                _ => {}
            }
        }
        let entry = json::map(entry);
        world.record.note(&format!("another writer stores servers/x-ledger-1: {}", entry.write()));
        world.store.put("servers", "x-ledger-1", &entry.write());
    }
    thread::sleep(Duration::from_secs(7));
    let _ = world.state(id);
    let twice = world.record.overlaps();
    let text = twice.first().map(|(first, second, ms)| {
        format!(
            "TWICE: {} runs as attempt {} on worker {} and as attempt {} on worker {} for {ms} ms; {} pairs in all",
            first.task, first.attempt, first.worker, second.attempt, second.worker, twice.len()
        )
    });
    Ok(verdict(&world, text))
}

/// LOST: the worker that runs a lasting task is lost for good, and the other workers that the policy
/// allows are never asked for.
fn advice(record: &Path, has_trouble: bool) -> io::Result<Verdict> {
    let allowed: BTreeSet<usize> = [3, 36, 37, 38, 39].into();
    let options = Options { workers: 40, daemons: 3, allowed: Some(allowed.clone()), cpu: 64_000 };
    let world = World::start(options, record)?;
    thread::sleep(Duration::from_secs(2));
    let id = "00000000000000b1";
    if !world.submit(id, &world::job("lasts", 1, 4_000, 1_000, r#","LongRunning":true"#)) {
        return Err(cannot("the job was not accepted"));
    }
    if !world::wait_for(Duration::from_secs(10), || world.fleet.running(id).len() == 1) {
        return Err(cannot("the task does not run"));
    }
    thread::sleep(Duration::from_secs(3));
    let (index, _) = world.fleet.running(id)[0].clone();
    if has_trouble {
        let life = world.fleet.crash(index).unwrap_or_default();
        thread::sleep(Duration::from_millis(3_300));
        world.fleet.expire(&life);
    }
    let is_back = world::wait_for(Duration::from_secs(45), || !world.fleet.running(id).is_empty());
    let _ = world.state(id);
    let text = (!is_back).then(|| {
        format!("LOST: the task that lasts has not run for 45 s; workers {allowed:?} but {index} are allowed, up and idle")
    });
    Ok(verdict(&world, text))
}

/// LOST: two workers crash soon after the start of a task, and its job is shown as failed.
fn crashes(record: &Path, has_trouble: bool) -> io::Result<Verdict> {
    let options = Options { workers: 8, daemons: 3, allowed: None, cpu: 64_000 };
    let world = World::start(options, record)?;
    thread::sleep(Duration::from_secs(2));
    let id = "00000000000000c1";
    if !world.submit(id, &world::job("work=2000", 1, 4_000, 2_000, "")) {
        return Err(cannot("the job was not accepted"));
    }
    for _ in 0..2 {
        if !has_trouble {
            break;
        }
        if !world::wait_for(Duration::from_secs(20), || world.fleet.running(id).len() == 1) {
            break;
        }
        thread::sleep(Duration::from_millis(250));
        let (index, _) = world.fleet.running(id)[0].clone();
        world.fleet.crash(index);
        thread::sleep(Duration::from_millis(1_000));
        world.fleet.begin(index, true);
    }
    let mut state = None;
    world::wait_for(Duration::from_secs(40), || {
        thread::sleep(Duration::from_millis(200));
        state = world.state(id);
        matches!(state.as_deref(), Some("complete" | "failed"))
    });
    let failed = world.record.runs().iter().filter(|run| run.how == "failed").count();
    let is_lost = state.as_deref() != Some("complete") && failed == 0;
    let text = is_lost.then(|| {
        format!("LOST: the job is shown as {state:?}, and none of its runs has ended `failed`")
    });
    Ok(verdict(&world, text))
}

