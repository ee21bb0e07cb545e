//! Prints a table that compares the load-balancing policies by load and by fault.

#[path = "../tests/route/simulation.rs"]
mod simulation;

use gl_route::balancer;

/// A load-balancing policy with its name in the table.
struct Policy {
    name: &'static str,
    balancer: fn(usize) -> Box<dyn balancer::Balancer>,
    headroom: f64,
}

const POLICIES: [Policy; 8] = [
    Policy { name: "random, no limit", balancer: |_| Box::new(balancer::Random), headroom: 0.0 },
    Policy {
        name: "two choices, no limit",
        balancer: |_| Box::new(balancer::TwoChoices),
        headroom: 0.0,
    },
    Policy { name: "two choices", balancer: |_| Box::new(balancer::TwoChoices), headroom: 1.5 },
    Policy {
        name: "least wait of 3",
        balancer: |_| Box::new(balancer::LeastWait::default()),
        headroom: 1.5,
    },
    Policy {
        name: "subset, own calls",
        balancer: |rank| subset(rank, 2, balancer::LoadMetric::InFlight),
        headroom: 1.5,
    },
    Policy {
        name: "subset, least wait",
        balancer: |rank| subset(rank, 2, balancer::LoadMetric::ExpectedWait),
        headroom: 1.5,
    },
    Policy {
        name: "subset of 3, pressure",
        balancer: |rank| subset(rank, 3, balancer::LoadMetric::WeightedInFlight),
        headroom: 1.5,
    },
    Policy {
        name: "subset, pressure",
        balancer: |rank| subset(rank, 2, balancer::LoadMetric::WeightedInFlight),
        headroom: 1.5,
    },
];

fn subset(
    rank: usize,
    overlap: usize,
    metric: balancer::LoadMetric,
) -> Box<dyn balancer::Balancer> {
    Box::new(balancer::Subset { rank, daemons: simulation::DAEMONS, overlap, metric })
}

fn row(policy: &Policy, load: f64, fault: simulation::Fault) {
    let settings = simulation::Settings {
        balancer: policy.balancer,
        headroom: policy.headroom,
        load,
        fault,
        ..simulation::Settings::default()
    };
    let results = simulation::run(settings);
    let goodput = results.on_time as f64 / results.calls as f64 * load;
    println!(
        "| {} | {:.0}% | {fault:?} | {:.1} | {:.1} | {:.1} | {:.2}% | {:.2}% | {:.1}% | {:.2}% |",
        policy.name,
        load * 100.0,
        results.percentile(0.5),
        results.percentile(0.99),
        results.percentile(0.999),
        (results.shed + results.unknown) as f64 / results.calls as f64 * 100.0,
        results.late as f64 / results.calls as f64 * 100.0,
        goodput * 100.0,
        results.worst_retry_share * 100.0,
    );
}

fn main() {
    println!(
        "| policy | load | fault | p50 ms | p99 ms | p99.9 ms | shed | late | goodput of capacity | worst retry share |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for policy in &POLICIES {
        for load in [0.6, 0.8, 0.95, 1.2] {
            row(policy, load, simulation::Fault::None);
        }
    }
    let faults = [
        simulation::Fault::Slow,
        simulation::Fault::FailsFast,
        simulation::Fault::RackGone,
        simulation::Fault::DaemonDead,
        simulation::Fault::Skew,
        simulation::Fault::Step,
    ];
    for policy in &POLICIES {
        for fault in faults {
            row(policy, 0.8, fault);
        }
    }
}
