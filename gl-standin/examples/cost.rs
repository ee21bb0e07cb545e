//! Measures the overhead of a daemon: the latency and throughput of calls through it compared to
//! direct calls in the same run, and its memory and processor time while it is idle.

use std::{io, net, process, rc, time};

use gl_model::call;
use gl_standin::cluster;

const CALLS: u32 = 4_000;
const CONCURRENCY: u32 = 16;
const IDLE_TIME: time::Duration = time::Duration::from_secs(20);

const INTENTS: &str = "
intents:
  - service:
      name: booking
      team: families
      kind: booking
      replicas: 12
      size: { cores-milli: 8000, memory-mb: 16000 }
      deadline-ms: 500
      objective: 0.99
";

fn main() -> process::ExitCode {
    let system = ntex::rt::System::new("cost", ntex::rt::DefaultRuntime);
    match system.block_on(measure()) {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            process::ExitCode::FAILURE
        }
    }
}

/// The destination of calls, and the task that they name if they are sent to a worker directly.
#[derive(Clone)]
struct Target {
    address: net::SocketAddr,
    path: &'static str,
    task: Option<String>,
}

struct Latencies {
    sorted: Vec<time::Duration>,
    total: time::Duration,
}

impl Latencies {
    fn percentile(&self, percent: usize) -> time::Duration {
        self.sorted[(self.sorted.len() - 1) * percent / 100]
    }

    fn rate(&self) -> f64 {
        self.sorted.len() as f64 / self.total.as_secs_f64()
    }
}

async fn measure_calls(targets: Vec<Target>) -> Latencies {
    let started_at = time::Instant::now();
    let targets = rc::Rc::new(targets);
    let mut senders = Vec::new();
    for sender in 0..CONCURRENCY {
        let targets = rc::Rc::clone(&targets);
        senders.push(ntex::rt::spawn(async move {
            let client = ntex::client::Client::new().await;
            let mut latencies = Vec::new();
            for number in 0..CALLS / CONCURRENCY {
                let target = &targets[((sender + number) as usize) % targets.len()];
                let url = format!("http://{}{}", target.address, target.path);
                let mut request = client.get(url).header(call::CALL, "c");
                if let Some(task) = &target.task {
                    request = request.header(call::TASK, task.as_str());
                }
                let sent_at = time::Instant::now();
                if let Ok(response) = request.send().await
                    && response.body().await.is_ok()
                {
                    latencies.push(sent_at.elapsed());
                }
            }
            latencies
        }));
    }
    let mut sorted = Vec::new();
    for sender in senders {
        sorted.extend(sender.await.unwrap_or_default());
    }
    sorted.sort_unstable();
    Latencies { sorted, total: started_at.elapsed() }
}

fn print(name: &str, latencies: &Latencies) {
    println!(
        "{name}: {} calls, p50 {:?}, p99 {:?}, {:.0} calls a second",
        latencies.sorted.len(),
        latencies.percentile(50),
        latencies.percentile(99),
        latencies.rate()
    );
}

async fn measure() -> io::Result<()> {
    let settings = cluster::Settings { workers: 22, ..cluster::Settings::default() };
    let cluster = cluster::Cluster::start(settings).await?;
    cluster.submit_and_confirm(0, INTENTS).map_err(io::Error::other)?;
    cluster.wait_until_serving(12, "booking").await?;
    let mut direct = Vec::new();
    for address in cluster.workers.iter().flat_map(|process| &process.addresses) {
        let log: gl_standin::runs::Log =
            gl_standin::http::get(&format!("http://{address}/admin/log")).await.unwrap_or_default();
        direct.extend(log.runs.iter().filter(|run| run.is_service && run.ended_at.is_none()).map(
            |run| {
                let task = Some(format!("{}#{}", run.task, run.incarnation));
                Target { address: *address, path: "/echo?work_ms=0", task }
            },
        ));
    }
    let address = cluster.daemons[0].address();
    let path = "/v1/call/booking/echo?work_ms=0";
    let proxied = vec![Target { address, path, task: None }];
    measure_calls(direct.clone()).await;
    measure_calls(proxied.clone()).await;
    let (direct, proxied) = (measure_calls(direct).await, measure_calls(proxied).await);
    print("direct", &direct);
    print("through one daemon", &proxied);
    println!(
        "added p50 {:?}, added p99 {:?}, throughput ratio {:.2}",
        proxied.percentile(50).saturating_sub(direct.percentile(50)),
        proxied.percentile(99).saturating_sub(direct.percentile(99)),
        proxied.rate() / direct.rate()
    );
    let usage_before: Vec<gl_standin::process::ResourceUsage> =
        cluster.daemons.iter().map(gl_standin::process::Process::resource_usage).collect();
    ntex::time::sleep(IDLE_TIME).await;
    for (daemon, usage_before) in cluster.daemons.iter().zip(usage_before) {
        let resource_usage = daemon.resource_usage();
        let cpu_percent = (resource_usage.cpu_time - usage_before.cpu_time).as_secs_f64()
            / IDLE_TIME.as_secs_f64()
            * 100.0;
        println!(
            "{}: {} KB resident, {cpu_percent:.2}% of a core while idle",
            daemon.address(),
            resource_usage.resident_kb
        );
    }
    Ok(())
}
