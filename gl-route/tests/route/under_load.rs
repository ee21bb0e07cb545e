//! The targets of the routing policy, each in one run of virtual time.

use gl_route::balancer;

use super::simulation::{self, Figures, Settings, Trouble};

fn run(load: f64, trouble: Trouble) -> Figures {
    simulation::run(Settings { load, trouble, ..Settings::default() })
}

fn lost(figures: &Figures) -> u64 {
    figures.shed + figures.unknown + figures.late
}

/// Below capacity no call is refused, late or unknown.
#[test]
fn no_call_is_lost_below_capacity() {
    for load in [0.6, 0.8, 0.95] {
        let figures = run(load, Trouble::None);
        assert_eq!(lost(&figures), 0, "at {load}: {} calls", figures.calls);
    }
}

#[test]
fn a_slow_backend_server_adds_at_most_half_to_the_tail() {
    let without = run(0.8, Trouble::None).percentile(0.99);
    let with = run(0.8, Trouble::Slow).percentile(0.99);
    assert!(with <= without * 1.5, "{with} ms against {without} ms");
}

/// The check above fails for a balancer that ignores how slow backend servers are, once the load
/// of the slow one reaches the 99.9th percentile.
#[test]
fn a_chooser_that_ignores_latency_shows_the_slow_backend_server() {
    let settings = Settings {
        balancer: |_| Box::new(balancer::TwoChoices),
        trouble: Trouble::Slow,
        ..Settings::default()
    };
    let ignoring = simulation::run(settings).percentile(0.999);
    let heeding = run(0.8, Trouble::Slow).percentile(0.999);
    assert!(ignoring > heeding * 1.5, "{ignoring} ms against {heeding} ms");
}

#[test]
fn overload_keeps_goodput_and_the_deadline_of_what_is_admitted() {
    let figures = run(1.2, Trouble::None);
    let goodput = figures.whole as f64 / figures.calls as f64 * 1.2;
    assert!(goodput >= 0.95, "goodput {goodput} of capacity");
    assert_eq!(figures.late, 0, "admitted calls that were late");
}

#[test]
fn retries_add_at_most_a_tenth_of_the_load_in_any_second() {
    for (load, trouble) in [
        (1.2, Trouble::None),
        (0.8, Trouble::FailsFast),
        (0.8, Trouble::RackGone),
        (0.8, Trouble::DaemonDead),
        (1.2, Trouble::Slow),
    ] {
        let figures = run(load, trouble);
        let share = figures.worst_retry_share;
        assert!(share <= 0.1, "{trouble:?} at {load}: {share}");
    }
}

#[test]
fn troubles_below_capacity_lose_next_to_nothing() {
    for trouble in [Trouble::FailsFast, Trouble::DaemonDead, Trouble::Skew, Trouble::Step] {
        let figures = run(0.8, trouble);
        assert_eq!(lost(&figures), 0, "{trouble:?}: of {}", figures.calls);
    }
}

/// The calls that were running on the rack may be late or refused once the retry budget is
/// spent, and nothing else: at most what its slots held.
#[test]
fn a_lost_rack_loses_at_most_the_calls_that_it_held() {
    let figures = run(0.8, Trouble::RackGone);
    assert!(lost(&figures) <= 64, "{} of {}", lost(&figures), figures.calls);
}

#[test]
fn the_same_seed_gives_the_same_run() {
    let latency = || run(0.8, Trouble::Step).percentile(0.99);
    assert_eq!(latency().to_bits(), latency().to_bits());
}
