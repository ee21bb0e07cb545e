use gl_cost::level;
use gl_model::time;

fn at(millis: u64) -> time::Timestamp {
    time::Timestamp(time::Span::millis(millis).0)
}

fn sample(free: f64, backlog: f64) -> level::Sample {
    level::Sample { free, backlog, arrivals: 100.0, completions: 100.0 }
}

/// Feeds the same sample every 100 ms, and returns the level at the end.
fn feed(monitor: &mut level::Monitor, sample: &level::Sample, millis: (u64, u64)) -> level::Level {
    let settings = level::Settings::default();
    for now in (millis.0..millis.1).step_by(100) {
        monitor.update(sample, &settings, at(now));
    }
    monitor.level()
}

/// Guards against a shortage that is declared for jobs that start in the next placement pass.
#[test]
fn short_peak_or_free_capacity_leaves_the_level_ample() {
    let mut monitor = level::Monitor::default();
    assert_eq!(feed(&mut monitor, &sample(0.0, 900.0), (0, 400)), level::Level::Ample);
    assert_eq!(feed(&mut monitor, &sample(0.0, 0.0), (400, 1_000)), level::Level::Ample);
    assert_eq!(feed(&mut monitor, &sample(900.0, 900.0), (1_000, 9_000)), level::Level::Ample);
}

/// Guards against decisions that change back and forth while the load is near a threshold.
#[test]
fn level_changes_once_while_the_backlog_oscillates_around_the_threshold() {
    let mut monitor = level::Monitor::default();
    let settings = level::Settings::default();
    let mut changes = 0;
    for now in (0..60_000).step_by(100) {
        let backlog = if now / 700 % 2 == 0 { 215.0 } else { 185.0 };
        let before = monitor.level();
        let after = monitor.update(&sample(0.0, backlog), &settings, at(now));
        changes += usize::from(before != after && after == level::Level::Scarce);
        changes += usize::from(before == level::Level::Scarce && after != before);
    }
    assert_eq!((changes, monitor.level()), (1, level::Level::Scarce));
}

/// Guards against a level that stays scarce after the backlog has drained.
#[test]
fn level_falls_after_the_backlog_has_drained() {
    let mut monitor = level::Monitor::default();
    assert_eq!(feed(&mut monitor, &sample(0.0, 900.0), (0, 2_000)), level::Level::Scarce);
    assert_eq!(feed(&mut monitor, &sample(0.0, 0.0), (2_000, 3_900)), level::Level::Scarce);
    assert_eq!(feed(&mut monitor, &sample(0.0, 0.0), (3_900, 4_200)), level::Level::Ample);
}
