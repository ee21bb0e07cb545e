//! Properties of the estimates.

use gl_forecast::Tracker;
use gl_model::time;
use proptest::prelude::*;

fn at(seconds: f64) -> time::Timestamp {
    time::Timestamp(time::Span::seconds(1).scaled(seconds).0)
}

/// A swing, sampled at irregular times with a noise of its own.
#[derive(Clone, Debug)]
struct Swing {
    period: f64,
    level: f64,
    amplitude: f64,
    offset: f64,
    noise: f64,
    /// For each sample, the time since the one before it and the deviation in units of the noise.
    samples: Vec<(f64, f64)>,
}

impl Swing {
    fn value(&self, seconds: f64) -> f64 {
        let turns = seconds / self.period + self.offset;
        self.level + self.amplitude * (turns * std::f64::consts::TAU).cos()
    }

    /// Returns a tracker of all samples, and the time of the last one.
    fn track(&self, start: f64, scale: f64) -> (Tracker, f64) {
        let (mut tracker, mut seconds) = (Tracker::default(), 0.0);
        for (gap, deviation) in &self.samples {
            seconds += gap;
            let value = self.value(seconds) + deviation * self.noise;
            tracker.observe(at(start + seconds), value * scale);
        }
        (tracker, seconds)
    }
}

prop_compose! {
    /// Returns at least 60 s of a swing like those of the two deployments.
    fn swing()(
        period in 9.0..20.0_f64,
        level in 0.3..0.8_f64,
        share in 0.3..0.9_f64,
        offset in 0.0..1.0_f64,
        noise in 0.0..0.15_f64,
        samples in prop::collection::vec((0.2..1.0_f64, -1.0..1.0_f64), 180..240),
    ) -> Swing {
        let amplitude = level * share;
        Swing { period, level, amplitude, offset, noise: noise * amplitude, samples }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(42), ..ProptestConfig::default() })]

    /// Guards against limits and starts at the wrong part of the cycle.
    #[test]
    fn cycle_of_a_swing_is_found(swing in swing()) {
        let (tracker, end) = swing.track(0.0, 1.0);
        let cycle = tracker.estimates(at(end)).and_then(|e| e.cycle);
        prop_assert!(cycle.is_some());
        let Some(cycle) = cycle else { return Ok(()) };
        prop_assert!((cycle.period.value / swing.period - 1.0).abs() < 0.1, "{cycle:?}");
        prop_assert!((cycle.amplitude.value / swing.amplitude - 1.0).abs() < 0.2, "{cycle:?}");
        let actual = (end / swing.period + swing.offset).rem_euclid(1.0);
        let error = (cycle.position.value - actual + 0.5).rem_euclid(1.0) - 0.5;
        prop_assert!(error.abs() < 0.1, "{cycle:?}, actual {actual}");
    }

    /// Guards against a forecast that is no better than the newest sample.
    #[test]
    fn forecast_of_a_third_of_a_cycle_beats_the_newest_value(swing in swing()) {
        let (tracker, end) = swing.track(0.0, 1.0);
        let Some(forecast) = tracker.forecast() else { return Err(TestCaseError::fail("none")) };
        let (mut own, mut naive) = (0.0, 0.0);
        for n in 1..=10 {
            let later = end + swing.period / 30.0 * f64::from(n);
            let actual = swing.value(later);
            own += (forecast.expected(at(later)).value - actual).powi(2);
            naive += (swing.value(end) - actual).powi(2);
        }
        // Close to an extreme the newest value is nearly right for a while.
        let floor = 10.0 * (0.25 * swing.amplitude).powi(2);
        prop_assert!(own < naive.max(floor), "{own} against {naive}");
    }

    /// Guards against a peak that is missed because it lies between the ends of a range.
    #[test]
    fn highest_is_not_exceeded_within_the_range(swing in swing(), length in 0.1..20.0_f64) {
        let (tracker, end) = swing.track(0.0, 1.0);
        let Some(forecast) = tracker.forecast() else { return Err(TestCaseError::fail("none")) };
        let highest = forecast.highest(at(end), at(end + length)).value;
        let tolerance = 0.2 * swing.amplitude + 3.0 * swing.noise;
        for n in 0..=20 {
            let value = forecast.expected(at(end + length * f64::from(n) / 20.0)).value;
            prop_assert!(value <= highest + tolerance, "{value} against {highest}");
        }
    }

    /// Guards against estimates that depend on the unit of the value or on the origin of the clock.
    #[test]
    fn estimates_follow_scale_and_shift(swing in swing(), scale in 0.1..10.0_f64) {
        let (tracker, end) = swing.track(0.0, 1.0);
        let (scaled, _) = swing.track(5_000.0, scale);
        let cycle = tracker.estimates(at(end)).and_then(|e| e.cycle);
        let other = scaled.estimates(at(5_000.0 + end)).and_then(|e| e.cycle);
        let Some((cycle, other)) = cycle.zip(other) else {
            return Err(TestCaseError::fail("no cycle"));
        };
        let ratio = other.amplitude.value / cycle.amplitude.value / scale;
        prop_assert!((ratio - 1.0).abs() < 1e-3, "{ratio}");
        prop_assert!((other.period.value - cycle.period.value).abs() < 1e-2);
        prop_assert!((other.position.value - cycle.position.value).abs() < 1e-2
            || (other.position.value - cycle.position.value).abs() > 0.99);
    }

    /// Guards against estimates that are not numbers, and against a panic, whatever the samples.
    #[test]
    fn any_samples_give_finite_estimates(
        samples in prop::collection::vec((0_u64..90_000, -1e6..1e6_f64), 1..80),
    ) {
        let mut tracker = Tracker::default();
        let mut now = time::Timestamp(0);
        for (n, (gap, value)) in samples.iter().enumerate() {
            now = now + time::Span::millis(*gap);
            tracker.observe(now, if n % 7 == 3 { f64::NAN } else { *value });
        }
        let later = now + time::Span::seconds(20);
        if let Some(forecast) = tracker.forecast() {
            let highest = forecast.highest(now, later);
            prop_assert!(highest.value.is_finite() && highest.uncertainty >= 0.0);
        }
        if let Some(estimates) = tracker.estimates(now) {
            prop_assert!(estimates.trend.value.is_finite() && estimates.trend.uncertainty >= 0.0);
            if let Some(cycle) = estimates.cycle {
                prop_assert!((0.0..=1.0).contains(&cycle.position.value));
                prop_assert!(cycle.period.uncertainty > 0.0);
            }
        }
    }

    /// Guards against swings that are seen in noise, which would hold starts back without need.
    #[test]
    fn noise_has_no_cycle(
        samples in prop::collection::vec((0.3..0.7_f64, -1.0..1.0_f64), 100..160),
    ) {
        let swing =
            Swing { period: 11.0, level: 0.5, amplitude: 0.0, offset: 0.0, noise: 0.1, samples };
        let (tracker, end) = swing.track(0.0, 1.0);
        prop_assert!(tracker.estimates(at(end)).is_some_and(|e| e.cycle.is_none()));
    }
}

/// Guards against decisions on estimates whose worker no longer replies.
#[test]
fn uncertainty_of_the_position_and_age_grow_without_samples() {
    let samples = vec![(0.5, 0.0); 120];
    let swing =
        Swing { period: 11.0, level: 0.5, amplitude: 0.2, offset: 0.0, noise: 0.0, samples };
    let (tracker, end) = swing.track(0.0, 1.0);
    let cycle_at = |seconds| tracker.estimates(at(seconds)).and_then(|e| e.cycle);
    let (fresh, old) = cycle_at(end).zip(cycle_at(end + 15.0)).unwrap_or_else(|| unreachable!());
    assert_eq!(old.position.age, time::Span::seconds(15));
    assert!(old.position.uncertainty > fresh.position.uncertainty);
    assert!(tracker.estimates(at(end + 90.0)).is_none(), "all samples are old");
}
