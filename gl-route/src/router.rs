//! The routing tables of one daemon, for all services.

use std::collections;

use gl_model::{id, route, table, time, vm};

use crate::{balancer, call, demand, draining, outcome, service};

/// Settings of a router.
pub struct Settings {
    /// Limits on the calls of each service.
    pub limits: service::Limits,
    /// The seed of all random choices.
    pub seed: u64,
    /// Creates the balancer of a service.
    pub balancer: BalancerFactory,
}

/// A function that creates a balancer.
pub type BalancerFactory = Box<dyn Fn() -> Box<dyn balancer::Balancer> + Send>;

impl Default for Settings {
    fn default() -> Self {
        let balancer: BalancerFactory = Box::new(|| Box::new(balancer::Subset::default()));
        Self { limits: service::Limits::default(), seed: 1, balancer }
    }
}

/// The interval at which the list of available backend servers is updated, so that those whose
/// ejection has ended get calls again.
const REFRESH_INTERVAL: time::Span = time::Span::millis(50);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Position {
    rank: usize,
    daemons: usize,
}

/// The routing tables of one daemon.
pub struct Router {
    settings: Settings,
    services: table::Table<id::JobId, service::Service>,
    route_sets: table::Table<id::DomainId, route::Set>,
    draining: draining::DrainingVms,
    position: Position,
    last_refresh: time::Timestamp,
}

impl Router {
    /// Creates a router without routes.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            services: table::Table::default(),
            route_sets: table::Table::default(),
            draining: draining::DrainingVms::default(),
            position: Position { rank: 0, daemons: 1 },
            last_refresh: time::Timestamp::default(),
        }
    }

    /// Replaces the routes of a shard if `set` is newer; returns whether it was.
    pub fn update_routes(&mut self, set: &route::Set, now: time::Timestamp) -> bool {
        if self.route_sets.get(&set.shard).is_some_and(|known| !set.is_newer_than(known)) {
            return false;
        }
        let old = self.route_sets.put(set.shard.clone(), set.clone());
        let mut changed: collections::BTreeSet<&id::JobId> =
            set.entries.iter().map(|entry| &entry.service).collect();
        changed.extend(old.iter().flat_map(|set| set.entries.iter().map(|e| &e.service)));
        for name in changed {
            self.update_service(name, now);
        }
        true
    }

    fn update_service(&mut self, name: &id::JobId, now: time::Timestamp) {
        let all = self.route_sets.iter().flat_map(|(_, set)| &set.entries);
        let entries: Vec<&route::Entry> = all.filter(|e| e.service == *name).collect();
        let settings = &self.settings;
        let service = self.services.or_insert_with(name, || {
            service::Service::new(name, settings.limits, (settings.balancer)(), settings.seed)
        });
        service.set_rank(self.position.rank, self.position.daemons, now);
        service.set_routes(&entries, now);
        service.set_draining(&self.draining, now);
    }

    /// Sets this daemon's rank among the live daemons, from zero, and their number.
    pub fn set_rank(&mut self, rank: usize, daemons: usize, now: time::Timestamp) {
        let next = Position { rank, daemons };
        if next == self.position {
            return;
        }
        self.position = next;
        for (_, service) in self.services.iter_mut() {
            service.set_rank(rank, daemons, now);
        }
    }

    /// Returns the objective of a service, if any shard publishes it.
    pub fn objective(&self, service: &id::JobId) -> Option<&route::Objective> {
        let all = self.route_sets.iter().flat_map(|(_, set)| &set.objectives);
        all.into_iter().find(|objective| objective.service == *service)
    }

    /// Returns the objectives of all services, one for each service.
    pub fn objectives(&self) -> Vec<&route::Objective> {
        let mut objectives: Vec<&route::Objective> =
            self.route_sets.iter().flat_map(|(_, set)| &set.objectives).collect();
        objectives.sort_by(|a, b| a.service.cmp(&b.service));
        objectives.dedup_by(|a, b| a.service == b.service);
        objectives
    }

    /// Returns whether the routes of a shard are known.
    pub fn has_routes(&self, shard: &id::DomainId) -> bool {
        self.route_sets.contains(shard)
    }

    /// Returns all known routes, for a peer that has just started.
    pub fn route_sets(&self) -> impl Iterator<Item = &route::Set> {
        self.route_sets.iter().map(|(_, set)| set)
    }

    /// Applies the platform's list of VMs.
    pub fn update_vms(&mut self, list: &vm::List, now: time::Timestamp) {
        self.draining.update(list, now);
        for (_, service) in self.services.iter_mut() {
            service.set_draining(&self.draining, now);
        }
    }

    /// Replaces the limits of all services, also of those that are added later.
    pub fn set_limits(&mut self, limits: service::Limits) {
        self.settings.limits = limits;
        for (_, service) in self.services.iter_mut() {
            service.set_limits(limits);
        }
    }

    /// Decides about a new call.
    pub fn admit(&mut self, call: &call::Call, now: time::Timestamp) -> call::Decision {
        match self.services.get_mut(&call.service) {
            Some(service) => service.admit(call, now),
            None => no_service(),
        }
    }

    /// Returns the refusal of a call if no service has its name.
    pub fn refuse_unknown(&self, call: &call::Call) -> Option<call::Refusal> {
        match no_service() {
            call::Decision::Refuse(refusal) if !self.services.contains(&call.service) => {
                Some(refusal)
            }
            _ => None,
        }
    }

    /// Decides about a call whose last attempt failed, after attempts at the backend servers of
    /// `tried`.
    pub fn retry(
        &mut self,
        call: &call::Call,
        tried: &[id::TaskId],
        cost: service::RetryCost,
        now: time::Timestamp,
    ) -> call::Decision {
        match self.services.get_mut(&call.service) {
            Some(service) => service.retry(call, tried, cost, now),
            None => no_service(),
        }
    }

    /// Frees the slot of an attempt that ended and updates the statistics with its outcome.
    pub fn finish(
        &mut self,
        assignment: &call::Assignment,
        outcome: outcome::AttemptOutcome,
        now: time::Timestamp,
    ) {
        if let Some(service) = self.services.get_mut(&assignment.service) {
            service.finish(assignment, outcome, now);
        }
    }

    /// Removes a call from the queue; returns whether it was there.
    pub fn cancel(&mut self, service: &id::JobId, call: &id::CallId) -> bool {
        self.services.get_mut(service).is_some_and(|service| service.cancel(call))
    }

    /// Takes the calls from the queues that get a slot now and those that can no longer be
    /// answered in time, and returns the decisions about them.
    pub fn dispatch_queue(&mut self, now: time::Timestamp) -> Vec<service::DequeuedCall> {
        let is_refresh_due = now.since(self.last_refresh) >= REFRESH_INTERVAL;
        if is_refresh_due {
            self.last_refresh = now;
        }
        let mut dequeued = Vec::new();
        for (_, service) in self.services.iter_mut() {
            if is_refresh_due {
                service.refresh_available(now);
            }
            if service.queued() > 0 {
                dequeued.extend(service.dispatch_queue(now));
            }
        }
        dequeued
    }

    /// Returns this daemon's demand for each service.
    pub fn demand(&self, now: time::Timestamp) -> Vec<demand::Demand> {
        let demand = |(name, service): (&id::JobId, &service::Service)| demand::Demand {
            service: name.clone(),
            rate: service.demand.rate(now),
        };
        self.services.iter().map(demand).collect()
    }

    /// Records the demand that was received from a peer.
    pub fn record_demand(
        &mut self,
        peer: &id::DaemonId,
        demand: &[demand::Demand],
        now: time::Timestamp,
    ) {
        for d in demand {
            if let Some(service) = self.services.get_mut(&d.service) {
                service.demand.record_peer(peer, d.rate, now);
            }
        }
    }

    /// Returns a service by its name.
    pub fn service(&self, name: &id::JobId) -> Option<&service::Service> {
        self.services.get(name)
    }

    /// Returns all services in the order of their names.
    pub fn services(&self) -> impl Iterator<Item = (&id::JobId, &service::Service)> {
        self.services.iter()
    }
}

const fn no_service() -> call::Decision {
    let retry_after = time::Span::seconds(2);
    call::Decision::Refuse(call::Refusal { reason: call::RefusalReason::NoService, retry_after })
}
