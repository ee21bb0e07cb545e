//! What a daemon costs: calls through it beside direct ones in one run, and the memory and
//! processor time of its control side while no calls come.

use std::{io, net, process, rc, time};

use gl_model::call;
use gl_standin::cluster;

const CALLS: u32 = 4_000;
const AT_ONCE: u32 = 16;
const IDLE: time::Duration = time::Duration::from_secs(20);

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

/// Where calls go, and the task that they name if they go there directly.
#[derive(Clone)]
struct Target {
    address: net::SocketAddr,
    path: &'static str,
    task: Option<String>,
}

struct Times {
    sorted: Vec<time::Duration>,
    whole: time::Duration,
}

impl Times {
    fn percentile(&self, share: usize) -> time::Duration {
        self.sorted[(self.sorted.len() - 1) * share / 100]
    }

    fn rate(&self) -> f64 {
        self.sorted.len() as f64 / self.whole.as_secs_f64()
    }
}

async fn send(targets: Vec<Target>) -> Times {
    let began = time::Instant::now();
    let targets = rc::Rc::new(targets);
    let mut lanes = Vec::new();
    for lane in 0..AT_ONCE {
        let targets = rc::Rc::clone(&targets);
        lanes.push(ntex::rt::spawn(async move {
            let client = ntex::client::Client::new().await;
            let mut times = Vec::new();
            for number in 0..CALLS / AT_ONCE {
                let target = &targets[((lane + number) as usize) % targets.len()];
                let url = format!("http://{}{}", target.address, target.path);
                let mut request = client.get(url).header(call::CALL, "c");
                if let Some(task) = &target.task {
                    request = request.header(call::TASK, task.as_str());
                }
                let sent = time::Instant::now();
                if let Ok(response) = request.send().await
                    && response.body().await.is_ok()
                {
                    times.push(sent.elapsed());
                }
            }
            times
        }));
    }
    let mut sorted = Vec::new();
    for lane in lanes {
        sorted.extend(lane.await.unwrap_or_default());
    }
    sorted.sort_unstable();
    Times { sorted, whole: began.elapsed() }
}

fn print(name: &str, times: &Times) {
    println!(
        "{name}: {} calls, p50 {:?}, p99 {:?}, {:.0} calls a second",
        times.sorted.len(),
        times.percentile(50),
        times.percentile(99),
        times.rate()
    );
}

async fn measure() -> io::Result<()> {
    let settings = cluster::Settings { workers: 22, ..cluster::Settings::default() };
    let cluster = cluster::Cluster::start(settings).await?;
    cluster.confirm(0, INTENTS).map_err(io::Error::other)?;
    cluster.until_serving(12, "booking").await?;
    let mut direct = Vec::new();
    for address in cluster.workers.iter().flat_map(|process| &process.addresses) {
        let log: gl_standin::runs::Log =
            gl_standin::http::get(&format!("http://{address}/admin/log")).await.unwrap_or_default();
        direct.extend(log.runs.iter().filter(|run| run.serving && run.to.is_none()).map(|run| {
            let task = Some(format!("{}#{}", run.task, run.incarnation));
            Target { address: *address, path: "/echo?work_ms=0", task }
        }));
    }
    let address = cluster.daemons[0].address();
    let path = "/v1/call/booking/echo?work_ms=0";
    let through = vec![Target { address, path, task: None }];
    send(direct.clone()).await;
    send(through.clone()).await;
    let (direct, through) = (send(direct).await, send(through).await);
    print("direct", &direct);
    print("through one daemon", &through);
    println!(
        "added p50 {:?}, added p99 {:?}, throughput ratio {:.2}",
        through.percentile(50).saturating_sub(direct.percentile(50)),
        through.percentile(99).saturating_sub(direct.percentile(99)),
        through.rate() / direct.rate()
    );
    let before: Vec<gl_standin::process::Used> =
        cluster.daemons.iter().map(gl_standin::process::Process::used).collect();
    ntex::time::sleep(IDLE).await;
    for (daemon, before) in cluster.daemons.iter().zip(before) {
        let used = daemon.used();
        let cpu = (used.cpu - before.cpu).as_secs_f64() / IDLE.as_secs_f64() * 100.0;
        println!(
            "{}: {} KB resident, {cpu:.2}% of a core while idle",
            daemon.address(),
            used.kilobytes
        );
    }
    Ok(())
}
