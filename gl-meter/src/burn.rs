//! Multi-window burn rates of error budgets (The Site Reliability Workbook, chapter 5).

use gl_model::{id, time};

use crate::{counts, totals};

/// The number of minutes that the chart covers.
const CHART_MINUTES: u64 = 30;
/// The burn rate, over both one hour and five minutes, from which an operator is paged.
const PAGE_RATE: f64 = 14.4;
/// The burn rate, over both six hours and thirty minutes, from which a ticket is opened.
const TICKET_RATE: f64 = 6.0;

/// The objective of a service.
#[gl_derive::domain]
pub struct Objective {
    /// The service.
    pub service: id::JobId,
    /// The share of calls that must complete within the deadline, from 0 to 1.
    pub share: f64,
}

/// The alert state of a service.
#[gl_derive::tag]
pub enum Alert {
    /// The error budget lasts.
    Quiet,
    /// The error budget has been spent too fast for hours.
    Ticket,
    /// The error budget would be spent within days.
    Page,
}

/// The counts and the burn rate of one window.
#[gl_derive::domain]
pub struct Window {
    /// Its length in minutes.
    pub minutes: u64,
    /// All calls.
    pub calls: u64,
    /// Calls that count against the objective.
    pub bad: u64,
    /// The share of bad calls as a multiple of the share that the objective allows.
    pub rate: f64,
}

/// The bad calls of one VM.
#[gl_derive::domain]
pub struct VmCalls {
    /// The VM.
    pub vm: id::VmId,
    /// Calls that count against the objective.
    pub calls: u64,
}

/// The report of one service.
#[gl_derive::domain]
pub struct Service {
    /// Its objective.
    pub objective: Objective,
    /// The share of the longest window's error budget that is left; 1 at most, and negative if the
    /// budget is overspent.
    #[serde(rename = "left")]
    pub budget_left: f64,
    /// The windows, shortest first.
    pub windows: Vec<Window>,
    /// Its alert state.
    pub alert: Alert,
    /// Late calls in the longest window.
    pub late: u64,
    /// Calls that did not run in the longest window.
    pub not_run: u64,
    /// Calls with an unknown outcome in the longest window.
    pub unknown: u64,
    /// The VMs with the most bad calls, worst first.
    #[serde(rename = "culprits")]
    pub worst_vms: Vec<VmCalls>,
    /// The share of good calls in each of the last minutes, oldest first; none for a minute without
    /// calls.
    pub chart: Vec<Option<f64>>,
}

/// The report of all services.
#[gl_derive::domain]
pub struct Report {
    /// The time at which it was made.
    pub at: time::Timestamp,
    /// The services.
    pub services: Vec<Service>,
    /// The daemons that are alive but whose counts are out of date.
    pub missing: Vec<id::DaemonId>,
}

/// The lengths of the windows, in minutes, shortest first.
pub const WINDOWS: [u64; 4] = [5, 30, 60, 360];
/// The largest number of VMs in the report of one service.
const MAX_VMS: usize = 5;

fn window(
    totals: &totals::Totals,
    objective: &Objective,
    minutes: u64,
    now: time::Timestamp,
) -> Window {
    let sum = totals.sum(&objective.service, time::Span::seconds(minutes * 60), now);
    let (calls, bad) = (sum.total(), sum.bad());
    let share = if calls == 0 { 0.0 } else { bad as f64 / calls as f64 };
    let allowed = (1.0 - objective.share).max(f64::EPSILON);
    Window { minutes, calls, bad, rate: share / allowed }
}

fn alert(windows: &[Window]) -> Alert {
    let rate = |minutes: u64| windows.iter().find(|w| w.minutes == minutes).map_or(0.0, |w| w.rate);
    if rate(60) >= PAGE_RATE && rate(5) >= PAGE_RATE {
        Alert::Page
    } else if rate(360) >= TICKET_RATE && rate(30) >= TICKET_RATE {
        Alert::Ticket
    } else {
        Alert::Quiet
    }
}

/// Returns the report of one service.
pub fn service(totals: &totals::Totals, objective: &Objective, now: time::Timestamp) -> Service {
    let windows: Vec<Window> =
        WINDOWS.iter().map(|minutes| window(totals, objective, *minutes, now)).collect();
    let longest = totals.sum(&objective.service, counts::RETENTION, now);
    let mut worst_vms: Vec<VmCalls> = longest
        .bad_calls
        .iter()
        .map(|(vm, calls)| VmCalls { vm: vm.clone(), calls: *calls })
        .collect();
    worst_vms.sort_by_key(|vm| std::cmp::Reverse(vm.calls));
    worst_vms.truncate(MAX_VMS);
    let good = |counts: &counts::Counts| {
        (counts.total() > 0).then(|| counts.good as f64 / counts.total() as f64)
    };
    let series = totals.by_minute(&objective.service, CHART_MINUTES, now);
    Service {
        objective: objective.clone(),
        budget_left: 1.0 - windows.last().map_or(0.0, |w| w.rate),
        alert: alert(&windows),
        windows,
        late: longest.late,
        not_run: longest.not_run,
        unknown: longest.unknown,
        worst_vms,
        chart: series.iter().map(good).collect(),
    }
}
