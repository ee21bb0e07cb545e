//! Runs a stand-in as a process: `standin platform`, `standin workers PLATFORM DOMAIN RACK COUNT
//! SPEED`, or `standin fleet SERVICE COUNT DOMAINS` for the users' platform.

use std::{io, net, process};

use gl_model::{id, size, vm};
use gl_standin::{fleet, http, platform, worker};

const USAGE: &str = "Usage: standin platform | standin workers PLATFORM DOMAIN RACK COUNT SPEED | \
    standin fleet SERVICE COUNT DOMAINS";

fn main() -> process::ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let system = ntex::rt::System::new("standin", ntex::rt::DefaultRuntime);
    let result = system.block_on(async move {
        let words: Vec<&str> = arguments.iter().map(String::as_str).collect();
        match words.as_slice() {
            ["platform"] => run_platform().await,
            ["fleet", service, count, domains] => {
                let workers = count.parse().map_err(io::Error::other)?;
                let domains = domains.parse().map_err(io::Error::other)?;
                fleet::run(service, fleet::Size { workers, domains }).await
            }
            ["workers", platform, domain, rack, count, speedup] => {
                run_workers(platform, domain, rack, count, speedup).await
            }
            _ => Err(io::Error::other(USAGE)),
        }
    });
    match result {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            process::ExitCode::FAILURE
        }
    }
}

async fn run_platform() -> io::Result<()> {
    let socket = http::bind_loopback()?;
    println!("listen={}", socket.local_addr()?);
    platform::run(socket).await
}

/// Returns a worker with the capacity of the VMs in both intended deployments.
fn vm(address: net::SocketAddr, domain: &str, rack: &str, number: usize) -> vm::Vm {
    vm::Vm {
        id: id::VmId(format!("{rack}-{number}")),
        domain: id::DomainId::from(domain),
        rack: id::RackId::from(rack),
        agent: address,
        capacity: size::Size { cores: 64_000, memory: 250_000, accelerators: 0 },
        slots: 8,
        connections: 64,
        liveness: vm::Liveness::Live,
    }
}

async fn run_workers(
    platform: &str,
    domain: &str,
    rack: &str,
    count: &str,
    speedup: &str,
) -> io::Result<()> {
    let count: usize = count.parse().map_err(io::Error::other)?;
    let speedup: u64 = speedup.parse().map_err(io::Error::other)?;
    let mut addresses = Vec::new();
    let mut running = Vec::new();
    for number in 0..count {
        let socket = http::bind_loopback()?;
        let address = socket.local_addr()?;
        let vm = vm(address, domain, rack, number);
        let url = format!("http://{platform}/admin/vm");
        http::post(&url, &vm).await.map_err(io::Error::other)?;
        addresses.push(address.to_string());
        running.push(ntex::rt::spawn(worker::run(socket, vm, speedup)));
    }
    println!("listen={}", addresses.join(","));
    for worker in running {
        worker.await.map_err(io::Error::other)??;
    }
    Ok(())
}
