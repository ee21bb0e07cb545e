//! Prints the table of all ways to choose a backend server, by load and by trouble.

#[path = "../tests/route/fake.rs"]
mod fake;

use gl_route::choice;

/// A way to choose, with its name in the table.
struct Way {
    name: &'static str,
    chooser: fn(usize) -> Box<dyn choice::Chooser>,
    headroom: f64,
}

const WAYS: [Way; 8] = [
    Way { name: "random, no limit", chooser: |_| Box::new(choice::Random), headroom: 0.0 },
    Way { name: "two choices, no limit", chooser: |_| Box::new(choice::TwoChoices), headroom: 0.0 },
    Way { name: "two choices", chooser: |_| Box::new(choice::TwoChoices), headroom: 1.5 },
    Way {
        name: "least wait of 3",
        chooser: |_| Box::new(choice::LeastWait::default()),
        headroom: 1.5,
    },
    Way {
        name: "subset, own calls",
        chooser: |p| subset(p, 2, choice::By::OwnCalls),
        headroom: 1.5,
    },
    Way { name: "subset, least wait", chooser: |p| subset(p, 2, choice::By::Wait), headroom: 1.5 },
    Way {
        name: "subset of 3, pressure",
        chooser: |p| subset(p, 3, choice::By::Pressure),
        headroom: 1.5,
    },
    Way {
        name: "subset, pressure",
        chooser: |p| subset(p, 2, choice::By::Pressure),
        headroom: 1.5,
    },
];

fn subset(place: usize, overlap: usize, by: choice::By) -> Box<dyn choice::Chooser> {
    Box::new(choice::Subset { place, daemons: fake::DAEMONS, overlap, by })
}

fn row(way: &Way, load: f64, trouble: fake::Trouble) {
    let settings = fake::Settings {
        chooser: way.chooser,
        headroom: way.headroom,
        load,
        trouble,
        ..fake::Settings::default()
    };
    let f = fake::run(settings);
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
            row(way, load, fake::Trouble::None);
        }
    }
    let troubles = [
        fake::Trouble::Slow,
        fake::Trouble::FailsFast,
        fake::Trouble::RackGone,
        fake::Trouble::DaemonDead,
        fake::Trouble::Skew,
        fake::Trouble::Step,
    ];
    for way in &WAYS {
        for trouble in troubles {
            row(way, 0.8, trouble);
        }
    }
}
