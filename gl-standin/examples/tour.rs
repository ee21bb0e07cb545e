//! A tour of the whole system on loopback: stand-ins of a platform and 65 workers, three daemons,
//! the Saranrom intents planned and confirmed, and bookings that go on while one daemon stops
//! gracefully and another is killed.

use std::{io, process, time};

use gl_standin::{caller, cluster, runs};

const INTENTS: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../deploy/saranrom/intents.yaml");
const REPLICAS: usize = 65;
const BOOKINGS: u32 = 2_000;

fn main() -> process::ExitCode {
    let system = ntex::rt::System::new("tour", ntex::rt::DefaultRuntime);
    match system.block_on(tour()) {
        Ok(true) => process::ExitCode::SUCCESS,
        Ok(false) => process::ExitCode::FAILURE,
        Err(error) => {
            eprintln!("{error}");
            process::ExitCode::FAILURE
        }
    }
}

/// The plan's first lines, and how many follow.
fn print_head(plan: &str) {
    const LINES: usize = 12;
    for line in plan.lines().take(LINES) {
        println!("  {line}");
    }
    println!("  ... and {} more lines", plan.lines().count().saturating_sub(LINES));
}

async fn tour() -> io::Result<bool> {
    println!("starting a platform, 65 workers in three failure domains, and three daemons");
    let settings =
        cluster::Settings { workers: 22, processes: 3, speed: 600, ..cluster::Settings::default() };
    let mut cluster = cluster::Cluster::start(settings).await?;
    println!("submitting and confirming deploy/saranrom/intents.yaml; the plan:");
    let plan = cluster.confirm(0, &std::fs::read_to_string(INTENTS)?).map_err(io::Error::other)?;
    print_head(&plan);
    cluster.until_serving(REPLICAS, "audition-booking").await?;
    println!("all {REPLICAS} booking tasks run; sending {BOOKINGS} bookings");
    let calls = caller::Settings {
        balancer: cluster.balancer.clone(),
        service: "audition-booking".to_owned(),
        calls: BOOKINGS,
        work_ms: 10,
        ..caller::Settings::default()
    };
    let calls = ntex::rt::spawn(caller::run(calls));
    ntex::time::sleep(time::Duration::from_secs(3)).await;
    println!("stopping {} gracefully", cluster.daemons[0].address());
    cluster.daemons[0].terminate();
    ntex::time::sleep(time::Duration::from_millis(200)).await;
    cluster.unbalance(0);
    ntex::time::sleep(time::Duration::from_secs(2)).await;
    println!("killing {}", cluster.daemons[1].address());
    cluster.daemons[1].kill();
    cluster.unbalance(1);
    let counts = calls.await.map_err(io::Error::other)?;
    ntex::time::sleep(time::Duration::from_secs(2)).await;
    println!("\nburn report:\n{}", cluster.client(2, &["burn"]).map_err(io::Error::other)?);
    let logs = cluster.runs().await;
    let doubled = runs::doubled(&logs).into_iter().filter(|name| is_unrepeatable(name)).count();
    println!(
        "sent {}  complete {}  not-run {}  unknown {}  sent again {}",
        counts.sent, counts.complete, counts.not_run, counts.unknown, counts.again
    );
    println!("lost {}  doubled {doubled}  mixed up {}", counts.lost, counts.wrong);
    println!("connections cut by the killed daemon: {}", counts.cut);
    Ok(counts.lost == 0 && doubled == 0 && counts.wrong == 0)
}

/// The callers' even requests are unrepeatable.
fn is_unrepeatable(name: &str) -> bool {
    let number = name.rsplit('-').next().and_then(|text| text.parse::<u32>().ok());
    number.is_some_and(|number| number.is_multiple_of(2))
}
