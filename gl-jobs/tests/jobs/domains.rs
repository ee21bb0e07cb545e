//! Failure domains that operators have emptied. Guards against tasks that start there although the
//! request is in force, also under a view that lacks it, and against work that waits although other
//! domains have capacity.

use gl_jobs::{domain, job, owner, worker};
use gl_model::{size, time};

use crate::cell::{self, Cell};

/// The time after which a request to empty a failure domain has to be in force.
const EMPTY_TIME: time::Span = time::Span::millis(5_000);

/// Four workers, of which 0 and 1 are in domain "a" and 2 and 3 in domain "b".
struct Fleet {
    cell: Cell,
    emptied: domain::Emptied,
}

fn domain_of(n: usize) -> &'static str {
    if n < 2 { "a" } else { "b" }
}

impl Fleet {
    fn new() -> Self {
        let settings =
            owner::Settings { empty_time: Some(EMPTY_TIME), ..owner::Settings::default() };
        let mut cell = Cell::with_settings(4, settings);
        let entry = |n| worker::Registration {
            domain: domain_of(n).to_owned(),
            size: size::Size { cores: 16_000, memory: 64_000, accelerators: 0 },
            ..cell::registration(n)
        };
        let list: Vec<_> = (0..4).map(entry).collect();
        let now = cell::at(cell.now);
        cell.owner.workers_listed(&list, now, now);
        Self { cell, emptied: domain::Emptied::default() }
    }

    fn change(&mut self, domain: &str, is_emptied: bool) {
        let change = domain::Change { domain: domain.to_owned(), version: 9, is_emptied };
        self.emptied.apply(&[change]);
    }

    /// Reads the emptied domains and advances the time by 10 ms.
    fn tick(&mut self) -> Vec<owner::Action> {
        self.cell.owner.emptied_read(&self.emptied, cell::at(self.cell.now));
        self.cell.tick()
    }

    fn submit(&mut self, n: u64, phases: Vec<job::Phase>) -> Vec<cell::Started> {
        let moment = cell::moment(self.cell.now);
        self.cell.owner.add_job(cell::id(n), cell::job(phases), &moment);
        cell::starts(&self.tick())
    }
}

fn domains(starts: &[cell::Started]) -> Vec<&'static str> {
    let mut domains: Vec<_> = starts.iter().map(|s| domain_of(cell::index(&s.worker))).collect();
    domains.dedup();
    domains
}

#[test]
fn no_kind_of_task_starts_in_an_emptied_domain() {
    let base = cell::phase(4, 1_000);
    let kinds = [
        base.clone(),
        job::Phase { best_effort: true, ..base.clone() },
        job::Phase { long_running: true, ..base.clone() },
        job::Phase { gang: true, ..base.clone() },
        // The data is in the emptied domain.
        job::Phase { data_rack: Some("r0".to_owned()), ..base.clone() },
        job::Phase { rack_sensitive: true, ..base },
    ];
    for (n, phase) in (1..).zip(kinds) {
        let mut fleet = Fleet::new();
        fleet.change("a", true);
        let starts = fleet.submit(n, vec![phase.clone()]);
        assert_eq!((starts.len(), domains(&starts)), (4, vec!["b"]), "{phase:?}");
    }
}

#[test]
fn task_bound_to_an_emptied_domain_waits_until_the_domain_is_restored() {
    let mut fleet = Fleet::new();
    fleet.change("a", true);
    let bound = job::Phase { label: Some("r0".to_owned()), ..cell::phase(1, 1_000) };
    assert_eq!(fleet.submit(1, vec![bound]), []);
    fleet.change("a", false);
    assert_eq!(domains(&cell::starts(&fleet.tick())), ["a"]);
}

#[test]
fn nothing_starts_while_all_domains_are_emptied_and_an_unknown_one_has_no_effect() {
    let mut fleet = Fleet::new();
    fleet.change("a", true);
    fleet.change("b", true);
    fleet.change("nowhere", true);
    assert_eq!(fleet.submit(1, vec![cell::phase(2, 1_000)]), []);
    fleet.change("b", false);
    assert_eq!(domains(&cell::starts(&fleet.tick())), ["b"]);
}

/// Runs in the emptied domain continue; one that ends is started elsewhere.
#[test]
fn long_running_task_that_ends_in_an_emptied_domain_returns_elsewhere() {
    let mut fleet = Fleet::new();
    let phase = job::Phase { long_running: true, ..cell::phase(4, 4_000) };
    let starts = fleet.submit(1, vec![phase]);
    for start in &starts {
        fleet.cell.start_replied(start, worker::OrderReply::Done);
    }
    let there: Vec<_> = starts.iter().filter(|s| cell::index(&s.worker) < 2).collect();
    assert!(!there.is_empty(), "{starts:?}");
    fleet.change("a", true);
    assert_eq!(cell::stops(&fleet.tick()), [], "runs continue");
    let n = cell::index(&there[0].worker);
    fleet.cell.report_end(n, there[0], worker::Outcome::Failed);
    fleet.cell.poll(n, &[]);
    let again = cell::starts(&fleet.tick());
    let is_same = |start: &&cell::Started| start.task == there[0].task;
    assert!(again.iter().any(|start| is_same(&start)), "{again:?}");
    assert_eq!(domains(&again), ["b"]);
}

/// The newest request may not be in the view yet, so no order may be carried out later than the
/// request could be in force.
#[test]
fn start_order_is_valid_only_as_long_as_the_view_cannot_be_out_of_date() {
    let mut fleet = Fleet::new();
    fleet.tick();
    let read_at = cell::at(fleet.cell.now - 10);
    for _ in 0..450 {
        fleet.cell.tick();
        for n in 0..4 {
            fleet.cell.poll(n, &[]);
        }
        let moment = cell::moment(fleet.cell.now);
        let id = cell::id(fleet.cell.now);
        fleet.cell.owner.add_job(id, cell::job(vec![cell::phase(1, 10)]), &moment);
        for start in cell::starts(&fleet.cell.tick()) {
            // The workers' clocks equal the owner's.
            assert!(start.order.deadline <= read_at + EMPTY_TIME, "{start:?}");
        }
    }
    let now = cell::at(fleet.cell.now);
    assert!(now > read_at + EMPTY_TIME);
    assert!(!cell::starts(&fleet.tick()).is_empty(), "starts resume with the next view");
}

#[test]
fn new_owner_starts_nothing_before_it_has_read_the_emptied_domains() {
    let settings = owner::Settings { empty_time: Some(EMPTY_TIME), ..owner::Settings::default() };
    let mut cell = Cell::with_settings(2, settings);
    assert_eq!(cell::starts(&cell.submit(1, cell::job(vec![cell::phase(1, 1_000)]))), []);
    // Restarted daemons read a request that was written before.
    let emptied = [("a", 3)].into_iter().collect();
    cell.owner.emptied_read(&emptied, cell::at(cell.now));
    assert_eq!(cell::starts(&cell.tick()), []);
    cell.owner.emptied_read(&domain::Emptied::default(), cell::at(cell.now));
    assert_eq!(cell::starts(&cell.tick()).len(), 1);
}

/// The order was decided before the request was known, and waits for a connection to the worker.
#[test]
fn waiting_start_order_is_not_sent_once_its_domain_is_emptied() {
    let mut fleet = Fleet::new();
    let start = fleet.submit(1, vec![cell::phase(1, 1_000)]).remove(0);
    let target = domain_of(cell::index(&start.worker));
    let now = cell::at(fleet.cell.now);
    assert!(fleet.cell.owner.may_send(&start.worker, &start.order, now));
    fleet.change(target, true);
    fleet.cell.owner.emptied_read(&fleet.emptied, now);
    assert!(!fleet.cell.owner.may_send(&start.worker, &start.order, now));
    fleet.cell.owner.start_unsent(&start.worker, start.task, start.attempt, now);
    let again = cell::starts(&fleet.tick());
    assert_eq!(again.len(), 1);
    assert_ne!(domains(&again), [target]);
}

/// While no daemon reaches the store, operators cannot write to it either.
#[test]
fn view_stays_valid_while_no_daemon_reaches_the_store() {
    let mut fleet = Fleet::new();
    fleet.change("a", true);
    fleet.tick();
    for _ in 0..700 {
        fleet.cell.tick();
    }
    for n in 0..4 {
        fleet.cell.poll(n, &[]);
    }
    fleet.cell.owner.set_store_down(true);
    let moment = cell::moment(fleet.cell.now);
    fleet.cell.owner.add_job(cell::id(1), cell::job(vec![cell::phase(2, 1_000)]), &moment);
    assert_eq!(domains(&cell::starts(&fleet.cell.tick())), ["b"]);
    fleet.cell.owner.set_store_down(false);
    fleet.cell.owner.add_job(cell::id(2), cell::job(vec![cell::phase(2, 1_000)]), &moment);
    assert_eq!(cell::starts(&fleet.cell.tick()), [], "the view has to be read again first");
}

#[test]
fn worker_that_is_listed_later_belongs_to_its_emptied_domain() {
    let mut fleet = Fleet::new();
    fleet.change("c", true);
    fleet.tick();
    let entry = worker::Registration { domain: "c".to_owned(), ..cell::registration(0) };
    let changes = worker::ListChanges { changed: vec![entry], removed: Vec::new() };
    let now = cell::at(fleet.cell.now);
    fleet.cell.owner.workers_changed(&changes, now, now);
    let starts = fleet.submit(1, vec![cell::phase(8, 10_000)]);
    let used: Vec<_> = starts.iter().map(|start| cell::index(&start.worker)).collect();
    assert!(!used.contains(&0) && !used.is_empty(), "{used:?}");
}

#[test]
fn changes_of_belief_are_reported_once_with_the_runs_that_are_left() {
    let mut fleet = Fleet::new();
    let starts = fleet.submit(1, vec![cell::phase(2, 1_000)]);
    let target = domain_of(cell::index(&starts[0].worker));
    fleet.change(target, true);
    let notes = |actions: &[owner::Action]| {
        let is_change = |a: &&owner::Action| {
            matches!(
                a,
                owner::Action::Note(owner::Note::Emptied { .. } | owner::Note::Restored { .. })
            )
        };
        actions.iter().filter(is_change).cloned().collect::<Vec<_>>()
    };
    let expected =
        owner::Note::Emptied { domain: target.to_owned(), workers: 2, runs: starts.len() };
    assert_eq!(notes(&fleet.tick()), [owner::Action::Note(expected)]);
    assert_eq!(notes(&fleet.tick()), []);
    fleet.change(target, false);
    assert_eq!(notes(&fleet.tick()).len(), 1);
    assert_eq!(fleet.cell.owner.emptied_runs(), 0);
}
