//! All services of one daemon.

use std::collections;

use gl_model::{id, route, table, time, vm};

use crate::{call, choice, ending, leaving, service, share};

/// How a router is set up.
pub struct Settings {
    /// Limits on the calls of each service.
    pub limits: service::Limits,
    /// The seed of all random choices.
    pub seed: u64,
    /// Makes the chooser of a service.
    pub chooser: Maker,
}

/// Makes choosers.
pub type Maker = Box<dyn Fn() -> Box<dyn choice::Chooser> + Send>;

impl Default for Settings {
    fn default() -> Self {
        let chooser: Maker = Box::new(|| Box::new(choice::Subset::default()));
        Self { limits: service::Limits::default(), seed: 1, chooser }
    }
}

/// How often ejected backend servers are looked at.
const REOPEN: time::Span = time::Span::millis(50);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Place {
    place: usize,
    daemons: usize,
}

/// The routing tables of one daemon.
pub struct Router {
    settings: Settings,
    services: table::Table<id::JobId, service::Service>,
    sets: table::Table<id::DomainId, route::Set>,
    leaving: leaving::Leaving,
    place: Place,
    reopened: time::Timestamp,
}

impl Router {
    /// A router that knows no routes.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            services: table::Table::default(),
            sets: table::Table::default(),
            leaving: leaving::Leaving::default(),
            place: Place { place: 0, daemons: 1 },
            reopened: time::Timestamp::default(),
        }
    }

    /// Takes a shard's routes in; returns whether they were newer than the known ones.
    pub fn take_routes(&mut self, set: &route::Set, now: time::Timestamp) -> bool {
        if self.sets.get(&set.shard).is_some_and(|known| !set.is_newer_than(known)) {
            return false;
        }
        let old = self.sets.put(set.shard.clone(), set.clone());
        let mut changed: collections::BTreeSet<&id::JobId> =
            set.entries.iter().map(|entry| &entry.service).collect();
        changed.extend(old.iter().flat_map(|set| set.entries.iter().map(|e| &e.service)));
        for name in changed {
            self.set_service(name, now);
        }
        true
    }

    fn set_service(&mut self, name: &id::JobId, now: time::Timestamp) {
        let all = self.sets.iter().flat_map(|(_, set)| &set.entries);
        let entries: Vec<&route::Entry> = all.filter(|e| e.service == *name).collect();
        let settings = &self.settings;
        let service = self.services.or_insert_with(name, || {
            service::Service::new(name, settings.limits, (settings.chooser)(), settings.seed)
        });
        service.set_place(self.place.place, self.place.daemons, now);
        service.set_routes(&entries, now);
        service.set_leaving(&self.leaving, now);
    }

    /// Tells that this daemon is the one at `place` of `daemons` that are alive.
    pub fn set_place(&mut self, place: usize, daemons: usize, now: time::Timestamp) {
        let next = Place { place, daemons };
        if next == self.place {
            return;
        }
        self.place = next;
        for (_, service) in self.services.iter_mut() {
            service.set_place(place, daemons, now);
        }
    }

    /// What a service promises, if any shard publishes it.
    pub fn promise(&self, service: &id::JobId) -> Option<&route::Promise> {
        let all = self.sets.iter().flat_map(|(_, set)| &set.promises);
        all.into_iter().find(|promise| promise.service == *service)
    }

    /// The promises of all services, one a service.
    pub fn promises(&self) -> Vec<&route::Promise> {
        let mut promises: Vec<&route::Promise> =
            self.sets.iter().flat_map(|(_, set)| &set.promises).collect();
        promises.sort_by(|a, b| a.service.cmp(&b.service));
        promises.dedup_by(|a, b| a.service == b.service);
        promises
    }

    /// Whether the routes of a shard are known.
    pub fn knows(&self, shard: &id::DomainId) -> bool {
        self.sets.contains(shard)
    }

    /// All known routes, for a peer that has just started.
    pub fn sets(&self) -> impl Iterator<Item = &route::Set> {
        self.sets.iter().map(|(_, set)| set)
    }

    /// Takes the platform's list of VMs in.
    pub fn take_list(&mut self, list: &vm::List, now: time::Timestamp) {
        self.leaving.take(list, now);
        for (_, service) in self.services.iter_mut() {
            service.set_leaving(&self.leaving, now);
        }
    }

    /// Replaces the limits, for services that come later too.
    pub const fn set_limits(&mut self, limits: service::Limits) {
        self.settings.limits = limits;
    }

    /// Decides about a new call.
    pub fn admit(&mut self, call: &call::Call, now: time::Timestamp) -> call::Verdict {
        match self.services.get_mut(&call.service) {
            Some(service) => service.admit(call, now),
            None => no_service(),
        }
    }

    /// Decides about a call whose last attempt failed.
    pub fn retry(
        &mut self,
        call: &call::Call,
        tried: &[id::TaskId],
        cost: service::Cost,
        now: time::Timestamp,
    ) -> call::Verdict {
        match self.services.get_mut(&call.service) {
            Some(service) => service.retry(call, tried, cost, now),
            None => no_service(),
        }
    }

    /// Gives a slot back and learns from how the attempt ended.
    pub fn finish(&mut self, ticket: &call::Ticket, end: ending::Ending, now: time::Timestamp) {
        if let Some(service) = self.services.get_mut(&ticket.service) {
            service.finish(ticket, end, now);
        }
    }

    /// Drops a call that waits; returns whether it waited.
    pub fn abandon(&mut self, service: &id::JobId, call: &id::CallId) -> bool {
        self.services.get_mut(service).is_some_and(|service| service.abandon(call))
    }

    /// Sends the calls that got a slot, and gives up those that can't be answered in time.
    pub fn wake(&mut self, now: time::Timestamp) -> Vec<service::Woken> {
        let reopen = now.since(self.reopened) >= REOPEN;
        if reopen {
            self.reopened = now;
        }
        let mut woken = Vec::new();
        for (_, service) in self.services.iter_mut() {
            if reopen {
                service.reopen(now);
            }
            if service.waiting() > 0 {
                woken.extend(service.wake(now));
            }
        }
        woken
    }

    /// This daemon's demand for each service.
    pub fn demand(&self, now: time::Timestamp) -> Vec<share::Demand> {
        let demand = |(name, service): (&id::JobId, &service::Service)| share::Demand {
            service: name.clone(),
            rate: service.share.rate(now),
        };
        self.services.iter().map(demand).collect()
    }

    /// Takes a peer's demand in.
    pub fn hear(&mut self, peer: &id::DaemonId, demand: &[share::Demand], now: time::Timestamp) {
        for d in demand {
            if let Some(service) = self.services.get_mut(&d.service) {
                service.share.hear(peer, d.rate, now);
            }
        }
    }

    /// One service.
    pub fn service(&self, name: &id::JobId) -> Option<&service::Service> {
        self.services.get(name)
    }

    /// All services in the order of their names.
    pub fn services(&self) -> impl Iterator<Item = (&id::JobId, &service::Service)> {
        self.services.iter()
    }
}

const fn no_service() -> call::Verdict {
    let after = time::Span::seconds(2);
    call::Verdict::Refuse(call::Refusal { reason: call::Reason::NoService, after })
}
