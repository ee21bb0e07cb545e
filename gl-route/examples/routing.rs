//! Prints the table of all ways to choose a backend server, by load and by trouble.

#[path = "../tests/route/simulation.rs"]
mod simulation;

use gl_route::balancer;

/// A way to choose, with its name in the table.
struct Way {
    name: &'static str,
    balancer: fn(usize) -> Box<dyn balancer::Balancer>,
    headroom: f64,
}

const WAYS: [Way; 8] = [
    Way { name: "random, no limit", balancer: |_| Box::new(balancer::Random), headroom: 0.0 },
    Way {
        name: "two choices, no limit",
        balancer: |_| Box::new(balancer::TwoChoices),
        headroom: 0.0,
    },
    Way { name: "two choices", balancer: |_| Box::new(balancer::TwoChoices), headroom: 1.5 },
    Way {
        name: "least wait of 3",
        balancer: |_| Box::new(balancer::LeastWait::default()),
        headroom: 1.5,
    },
    Way {
        name: "subset, own calls",
        balancer: |p| subset(p, 2, balancer::LoadMetric::InFlight),
        headroom: 1.5,
    },
    Way {
        name: "subset, least wait",
        balancer: |p| subset(p, 2, balancer::LoadMetric::ExpectedWait),
        headroom: 1.5,
    },
    Way {
        name: "subset of 3, pressure",
        balancer: |p| subset(p, 3, balancer::LoadMetric::WeightedInFlight),
        headroom: 1.5,
    },
    Way {
        name: "subset, pressure",
        balancer: |p| subset(p, 2, balancer::LoadMetric::WeightedInFlight),
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

fn row(way: &Way, load: f64, trouble: simulation::Trouble) {
    let settings = simulation::Settings {
        balancer: way.balancer,
        headroom: way.headroom,
        load,
        trouble,
        ..simulation::Settings::default()
    };
    let f = simulation::run(settings);
    let goodput = f.whole as f64 / f.calls as f64 * load;
    println!(
        "| {} | {:.0}% | {trouble:?} | {:.1} | {:.1} | {:.1} | {:.2}% | {:.2}% | {:.1}% | {:.2}% |",
        way.name,
        load * 100.0,
        f.percentile(0.5),
        f.percentile(0.99),
        f.percentile(0.999),
        (f.shed + f.unknown) as f64 / f.calls as f64 * 100.0,
        f.late as f64 / f.calls as f64 * 100.0,
        goodput * 100.0,
        f.worst_retry_share * 100.0,
    );
}

fn main() {
    println!(
        "| way | load | trouble | p50 ms | p99 ms | p99.9 ms | shed | late | goodput of capacity | worst retry share |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for way in &WAYS {
        for load in [0.6, 0.8, 0.95, 1.2] {
            row(way, load, simulation::Trouble::None);
        }
    }
    let troubles = [
        simulation::Trouble::Slow,
        simulation::Trouble::FailsFast,
        simulation::Trouble::RackGone,
        simulation::Trouble::DaemonDead,
        simulation::Trouble::Skew,
        simulation::Trouble::Step,
    ];
    for way in &WAYS {
        for trouble in troubles {
            row(way, 0.8, trouble);
        }
    }
}
