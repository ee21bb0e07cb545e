use gl_cost::loss;
use gl_model::time;
use proptest::prelude::*;

const NOW: time::Timestamp = time::Timestamp(100_000_000);
const WAIT: time::Span = time::Span::seconds(3);

prop_compose! {
    fn outlook()(
        priority in 0_u32..6,
        work in 0.1..2_000.0,
        path in 100_u64..8_000,
        objective in 200_u64..20_000,
        deadline in 40_000_u64..160_000,
        error in prop_oneof![Just(0.0), 0.01..1.0],
    ) -> loss::Outlook {
        loss::Outlook {
            priority,
            work,
            path: time::Span::millis(path),
            objective: time::Span::millis(objective),
            deadline: time::Timestamp(time::Span::millis(deadline).0),
            error,
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(42), ..ProptestConfig::default() })]

    /// Guards against an order that serves a job of low priority before an equal one of high priority.
    #[test]
    fn equal_job_of_higher_priority_is_never_served_later(job in outlook(), more in 1_u32..6) {
        let lower = loss::Outlook { priority: job.priority + more, ..job };
        prop_assert!(job.density(NOW, WAIT) >= lower.density(NOW, WAIT));
    }

    /// Guards against a model in which a longer delay pays.
    #[test]
    fn cost_does_not_fall_with_time(job in outlook(), first in 0_u64..60_000, more in 0_u64..60_000) {
        let cost = |millis| job.cost(NOW, time::Span::millis(millis));
        prop_assert!(cost(first + more) >= cost(first) - f64::EPSILON);
        prop_assert!(cost(first + more) <= job.payoff() + f64::EPSILON);
    }

    /// Guards against constants in the order that presume a unit of work, such as core-seconds.
    #[test]
    fn order_does_not_depend_on_the_unit_of_work(a in outlook(), b in outlook(), unit in 1e-6..1e6) {
        let scaled = |job: loss::Outlook| loss::Outlook { work: job.work * unit, ..job };
        let (first, second) = (a.density(NOW, WAIT), b.density(NOW, WAIT));
        // Densities that differ by less than the rounding of a multiplication have no order.
        prop_assume!((first - second).abs() > 1e-12 * first.max(second));
        let (x, y) = (scaled(a).density(NOW, WAIT), scaled(b).density(NOW, WAIT));
        prop_assert_eq!(first > second, x > y);
    }

    /// Guards against a loss that exceeds what can still be earned, or that is negative.
    #[test]
    fn value_lies_between_nothing_and_the_payoff(job in outlook()) {
        let loss = job.loss(NOW, WAIT);
        prop_assert!((0.0..=job.payoff() + f64::EPSILON).contains(&loss.value));
        prop_assert!(loss.rate >= 0.0 && loss.rate.is_finite());
    }
}
