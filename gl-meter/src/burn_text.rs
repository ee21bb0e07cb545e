//! Renders burn reports as text.

use std::fmt::Write as _;

use crate::burn;

/// The bars of the chart, from no good calls to only good ones.
const BARS: [char; 8] = ['▁', '▂', '▃', '▄', '▅', '▆', '▇', '█'];

fn bar(share: Option<f64>) -> char {
    let Some(share) = share else { return '·' };
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "clamped")]
    let at = (share.clamp(0.0, 1.0) * (BARS.len() - 1) as f64).floor() as usize;
    BARS[at.min(BARS.len() - 1)]
}

/// Writes the report of one service.
fn service(out: &mut String, service: &burn::Service) -> std::fmt::Result {
    let objective = &service.objective;
    let share = objective.share * 100.0;
    let left = service.budget_left * 100.0;
    writeln!(
        out,
        "{}  objective {share:.3}%  budget left {left:.1}%  {:?}",
        objective.service, service.alert
    )?;
    for w in &service.windows {
        writeln!(
            out,
            "  {:>3} min  {:>9} calls  {:>7} bad  burn {:.2}",
            w.minutes, w.calls, w.bad, w.rate
        )?;
    }
    writeln!(
        out,
        "  late {}  not-run {}  unknown {}",
        service.late, service.not_run, service.unknown
    )?;
    for vm in &service.worst_vms {
        writeln!(out, "  vm {}  {} bad calls", vm.vm, vm.calls)?;
    }
    let chart: String = service.chart.iter().map(|share| bar(*share)).collect();
    writeln!(out, "  good by minute  {chart}")
}

/// Returns the report as text, with a small chart for each service.
pub fn render(report: &burn::Report) -> String {
    let mut out = String::new();
    for s in &report.services {
        // Writing to a string cannot fail.
        let _ = service(&mut out, s);
    }
    if report.services.is_empty() {
        out.push_str("no service has received calls yet\n");
    }
    for daemon in &report.missing {
        let _ = writeln!(out, "missing: {daemon} has not reported its counts recently");
    }
    out
}
