//! Plans for intents: placements, evictions, quotas, checks of intents, and confirmation. Guards
//! against plans that list or grant something other than what placement needs, and against
//! confirmations that ignore newer rows.

use assert_matches::assert_matches;
use gl_model::{config, id, intent, key, plan};
use gl_schedule::{owner, plan as planning};

use super::harness;

fn snapshot(vms: usize, config: config::Shared) -> planning::Snapshot {
    let vms = (0..vms).map(|n| harness::vm(n, harness::size(64, 250))).collect();
    let rows = owner::Rows::default();
    planning::Snapshot {
        list: gl_model::vm::List { version: 1, vms },
        shards: vec![planning::Shard { id: id::DomainId::from(harness::SHARD), rows }],
        head: id::Version(7),
        intents: Vec::new(),
        config,
    }
}

fn service(replicas: u32) -> intent::Intent {
    intent::Intent::Service(intent::Service {
        name: id::JobId::from("booking"),
        team: id::TeamId::from("team"),
        kind: id::KindId::from("booking"),
        replicas,
        size: harness::size(16, 64),
        deadline_ms: 300,
        objective: 0.999,
        relief: 2,
    })
}

fn batch(tasks: u32, cores: u64) -> intent::Intent {
    intent::Intent::Batch(intent::Batch {
        name: id::JobId::from("night"),
        team: id::TeamId::from("team"),
        kind: id::KindId::from("report"),
        tasks,
        size: harness::size(cores, 8),
        run_s: 60,
        evictions: 3,
        due_unix_s: None,
    })
}

fn make(
    snapshot: planning::Snapshot,
    intents: Vec<intent::Intent>,
) -> Result<plan::Plan, planning::Error> {
    planning::make(snapshot, &intent::File { intents }, id::PlanId::from("p1"), harness::START)
}

#[test]
fn plan_lists_placements_queued_tasks_and_its_basis() {
    let plan =
        make(snapshot(8, config::Shared::default()), vec![service(4), batch(50, 8)]).unwrap();
    let service_tasks = plan.placements.iter().filter(|p| p.task.as_str().starts_with("booking"));
    let vms: std::collections::BTreeSet<_> = service_tasks.map(|p| &p.vm).collect();
    // Four VMs run eight tasks each. Next to a service, only two tasks of an unknown kind run.
    assert_eq!((vms.len(), plan.placements.len(), plan.basis), (4, 4 + 40, id::Version(7)));
    assert_eq!(plan.queued, [plan::Queued { job: id::JobId::from("night"), tasks: 10 }]);
}

#[test]
fn plan_grants_the_evictions_it_needs_plus_the_requested_relief() {
    let mut stored = snapshot(1, config::Shared::default());
    let mut cluster = harness::Cluster::new(
        stored.list.vms.clone(),
        &[harness::batch("night", 8, harness::size(8, 8))],
    );
    cluster.run_until(5, |cluster| cluster.running("night") == 8);
    let shard = id::DomainId::from(harness::SHARD);
    stored.shards[0].rows = owner::Rows {
        jobs: cluster.store.jobs(),
        tasks: cluster.store.scan(&key::tasks(&shard)),
        ledgers: cluster.store.scan(&key::ledgers(&shard)),
    };
    let plan = make(stored, vec![service(1)]).unwrap();
    assert_eq!((plan.evictions.len(), plan.placements.len()), (2, 1));
    assert_eq!(
        plan.parts[0].row.grant, 4,
        "two evictions, plus the two that the intent requests as relief"
    );
}

#[test]
fn task_larger_than_every_vm_is_refused_with_the_largest_size() {
    let plan = make(snapshot(2, config::Shared::default()), vec![batch(3, 100)]).unwrap();
    let refused = &plan.unplaced[0];
    assert_eq!((refused.tasks, refused.largest), (3, harness::size(64, 250)));
    assert!(refused.reason.contains("ask for at most"), "{}", refused.reason);
}

#[test]
fn tasks_beyond_the_team_quota_are_refused() {
    let mut config = config::Shared::default();
    config.quotas.insert(id::TeamId::from("team"), harness::size(40, 400));
    let plan = make(snapshot(4, config), vec![service(4)]).unwrap();
    assert_eq!((plan.placements.len(), plan.unplaced[0].tasks), (2, 2));
    assert!(plan.unplaced[0].reason.contains("raise its quota"));
}

#[test]
fn invalid_intent_is_reported_with_field_and_remedy() {
    let empty = make(snapshot(1, config::Shared::default()), Vec::new());
    assert_matches!(empty, Err(planning::Error::Empty));
    let duplicate = make(snapshot(1, config::Shared::default()), vec![service(1), service(2)]);
    assert_matches!(duplicate, Err(planning::Error::DuplicateName { .. }));
    let season = intent::Intent::Season(intent::Season {
        name: id::JobId::from("festival"),
        service: id::JobId::from("nothing"),
        replicas: 1,
        lead_min: 60,
        dates: vec![intent::Dates { from_unix_s: 1, to_unix_s: 2 }],
    });
    let missing = make(snapshot(1, config::Shared::default()), vec![season]);
    assert_matches!(missing, Err(planning::Error::UnknownService { .. }));
    let zero = make(snapshot(1, config::Shared::default()), vec![service(0)]);
    assert!(zero.unwrap_err().to_string().contains("give a value from 1 to 100000"));
}

#[test]
fn confirmation_checks_the_versions_of_head_plan_and_jobs() {
    let plan = make(snapshot(4, config::Shared::default()), vec![service(2)]).unwrap();
    let txn = planning::confirm(&plan, id::Version(9));
    let checked = |key: &str| txn.checks.iter().find(|c| c.key == key).map(|c| c.version);
    assert_eq!(checked(key::HEAD), Some(id::Version(7)));
    assert_eq!(checked(&key::plan(&plan.id)), Some(id::Version(9)));
    assert_eq!(checked("job/one/booking"), Some(id::Version(0)));
}
