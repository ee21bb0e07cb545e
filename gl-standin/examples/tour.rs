//! Demonstrates the whole system on loopback: starts stand-ins of a platform and 65 workers and
//! three daemons, plans and confirms the Saranrom intents, and sends bookings while one daemon is
//! stopped gracefully and another is killed.

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

/// Prints the first lines of the plan and the number of the remaining ones.
fn print_head(plan: &str) {
    const LINES: usize = 12;
    for line in plan.lines().take(LINES) {
        println!("  {line}");
    }
    println!("  ... and {} more lines", plan.lines().count().saturating_sub(LINES));
}

async fn tour() -> io::Result<bool> {
    println!("starting a platform, 65 workers in three failure domains, and three daemons");
    let settings = cluster::Settings {
        workers: 22,
        processes: 3,
        speedup: 600,
        ..cluster::Settings::default()
    };
    let mut cluster = cluster::Cluster::start(settings).await?;
    println!("submitting and confirming deploy/saranrom/intents.yaml; the plan:");
    let plan = cluster
        .submit_and_confirm(0, &std::fs::read_to_string(INTENTS)?)
        .map_err(io::Error::other)?;
    print_head(&plan);
    cluster.wait_until_serving(REPLICAS, "audition-booking").await?;
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
    cluster.remove_from_balancer(0);
    ntex::time::sleep(time::Duration::from_secs(2)).await;
    println!("killing {}", cluster.daemons[1].address());
    cluster.daemons[1].kill();
    cluster.remove_from_balancer(1);
    let counts = calls.await.map_err(io::Error::other)?;
    ntex::time::sleep(time::Duration::from_secs(2)).await;
    println!("\nburn report:\n{}", cluster.run_client(2, &["burn"]).map_err(io::Error::other)?);
    let logs = cluster.worker_logs().await;
    let duplicates = runs::duplicates(&logs).into_iter().filter(|id| is_unrepeatable(id)).count();
    println!(
        "sent {}  complete {}  not-run {}  unknown {}  sent again {}",
        counts.sent, counts.complete, counts.not_run, counts.unknown, counts.retries
    );
    println!("lost {}  doubled {duplicates}  mixed up {}", counts.lost, counts.mixed_up);
    println!("connections cut by the killed daemon: {}", counts.cut_off);
    Ok(counts.lost == 0 && duplicates == 0 && counts.mixed_up == 0)
}

/// Returns true for the requests that the caller marks as unrepeatable: those with even numbers.
fn is_unrepeatable(id: &str) -> bool {
    let number = id.rsplit('-').next().and_then(|text| text.parse::<u32>().ok());
    number.is_some_and(|number| number.is_multiple_of(2))
}
