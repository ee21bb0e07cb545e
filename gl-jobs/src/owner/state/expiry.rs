//! The time at which the leases of a worker have certainly expired.

use gl_model::time;

use crate::owner::{LeaseBound, Note, Run, Settings, Worker};

/// The latest lease that a worker may have.
struct Latest {
    /// The time by the owner's clock from which on its length counts.
    from: time::Timestamp,
    /// Its length from then on.
    span: time::Span,
    /// The time at which it has certainly expired.
    end: time::Timestamp,
    bound: LeaseBound,
}

impl Worker {
    /// Returns the latest lease of the incarnation that has replied last.
    fn known_lease(&self, settings: &Settings) -> Option<Latest> {
        let reading = self.clock?;
        let until = self.granted_until.max(self.inherited_until);
        let (from, span) = (reading.at, until.since(reading.clock));
        let is_own = self.granted_until > self.inherited_until;
        let bound = if is_own { LeaseBound::Own } else { LeaseBound::Inherited };
        Some(Latest { from, span, end: settings.lease_end(from, span), bound })
    }

    fn latest_lease(&self, settings: &Settings) -> Option<Latest> {
        let known = self.known_lease(settings)?;
        // The next incarnation may get its lease by a call to this one that is still under way.
        let next = self.unconfirmed_since.map(|since| {
            let from = self.last_carried(since, settings);
            let (span, bound) = (settings.max_lease, LeaseBound::Carried);
            Latest { from, span, end: settings.lease_end(from, span), bound }
        });
        Some(next.filter(|next| next.end > known.end).unwrap_or(known))
    }

    /// Returns the latest time, from `at` on, at which a call to the last incarnation may extend the lease of the
    /// next one.
    fn last_carried(&self, at: time::Timestamp, settings: &Settings) -> time::Timestamp {
        at.max(self.lease_sent + settings.order_lateness)
    }

    /// Returns the time at which all leases have expired that the next incarnation may get by calls to the last
    /// one, or have got by `at`.
    pub(in crate::owner) fn carried_end(
        &self,
        at: time::Timestamp,
        settings: &Settings,
    ) -> time::Timestamp {
        settings.lease_end(self.last_carried(at, settings), settings.max_lease)
    }

    /// Returns the time, by the owner's clock, at which all leases of the worker have certainly
    /// expired.
    pub(in crate::owner) fn expiry(&self, settings: &Settings) -> Option<time::Timestamp> {
        self.latest_lease(settings).map(|latest| latest.end)
    }

    /// Returns the time at which a run has certainly ended if the worker does not reply. One that the last
    /// incarnation has reported, and of which no other order may be carried out, is not in the next one.
    pub(in crate::owner) fn run_expiry(
        &self,
        run: &Run,
        settings: &Settings,
    ) -> Option<time::Timestamp> {
        let is_of_last = run.reported_at > time::Timestamp::default() && !run.orders.has_open();
        if is_of_last {
            return self.known_lease(settings).map(|lease| lease.end);
        }
        self.expiry(settings)
    }

    /// Returns the report that the leases of the worker are taken to have expired under which `runs` were, so
    /// that these have ended.
    pub(in crate::owner) fn leases_expired(
        &self,
        runs: usize,
        settings: &Settings,
        now: time::Timestamp,
    ) -> Option<Note> {
        let latest = self.latest_lease(settings).filter(|latest| now >= latest.end);
        let latest = latest.or_else(|| self.known_lease(settings))?;
        Some(Note::LeasesExpired {
            worker: self.registration.id.clone(),
            domain: self.registration.domain.clone(),
            runs: Some(runs),
            silent: self.silent(now),
            bound: latest.bound,
            reading: now.since(latest.from),
            lease: latest.span,
            margin: latest.end.since(latest.from + latest.span),
        })
    }

    /// Returns the report that all leases are taken to have expired of a worker that has not told a new
    /// owner what it runs. The owner has waited since `from`, until `end`.
    pub(in crate::owner) fn unseen_leases_expired(
        &self,
        from: time::Timestamp,
        end: time::Timestamp,
        now: time::Timestamp,
    ) -> Note {
        let is_own = self.granted_until > self.inherited_until;
        Note::LeasesExpired {
            worker: self.registration.id.clone(),
            domain: self.registration.domain.clone(),
            runs: None,
            silent: self.silent(now),
            bound: if is_own { LeaseBound::Own } else { LeaseBound::Inherited },
            reading: now.since(from),
            lease: end.since(from),
            margin: time::Span::ZERO,
        }
    }

    /// Returns the time since the worker last replied; `None` if it has not replied to this owner.
    pub(in crate::owner) fn silent(&self, now: time::Timestamp) -> Option<time::Span> {
        self.incarnation.map(|_| now.since(self.polled_at))
    }
}
