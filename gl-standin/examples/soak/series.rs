//! Carries out a series of disturbances on a deployment.

use std::{collections, io, time};

use gl_standin::{
    fleet::{
        Calls, Lost, Start,
        deployment::Deployment,
        network::{Cut, Scope},
    },
    process::Process,
};

use crate::plan::{Action, Outage, Stage, Step, Target};

/// The longest time from the start of a worker until calls that were meant for its last incarnation arrive,
/// in milliseconds.
const LATE_MS: u64 = 3_000;

/// A series in progress.
pub struct Series<'a> {
    deployment: &'a mut Deployment,
    domains: usize,
    /// The disturbances in force, with their targets as indices, by their place in the series.
    active: collections::BTreeMap<usize, Action>,
    /// What was done, for the report: the time in seconds and the change.
    pub log: Vec<String>,
}

impl<'a> Series<'a> {
    /// Prepares a series on a deployment of this many failure domains.
    pub fn new(deployment: &'a mut Deployment, domains: usize) -> Self {
        Self { deployment, domains, active: collections::BTreeMap::new(), log: Vec::new() }
    }

    /// Carries out all steps, and ends all disturbances.
    ///
    /// # Errors
    ///
    /// Returns an error if the stand-in does not respond or a daemon does not start.
    pub async fn run(&mut self, steps: &[Step]) -> io::Result<()> {
        let started = time::Instant::now();
        let mut events: Vec<_> = steps
            .iter()
            .enumerate()
            .flat_map(|(n, step)| [(step.at, n, true), (step.until, n, false)])
            .collect();
        events.sort_by_key(|(at, n, is_start)| (*at, *is_start, *n));
        for (at, n, is_start) in events {
            ntex::time::sleep(at.saturating_sub(started.elapsed())).await;
            let change =
                if is_start { self.begin(n, &steps[n].action).await? } else { self.end(n).await? };
            self.log.push(format!("{:.1} {change}", started.elapsed().as_secs_f64()));
        }
        Ok(())
    }

    async fn begin(&mut self, n: usize, action: &Action) -> io::Result<String> {
        let action = match action {
            Action::Cut { domain, scope, state } => {
                let domain = self.index(*domain).await % self.domains;
                Action::Cut { domain: Target::Index(domain), scope: *scope, state: *state }
            }
            Action::Store { .. }
            | Action::Late { .. }
            | Action::Delay { .. }
            | Action::WorkerCut { .. }
            | Action::Stall { .. }
            | Action::Recut { stage: Stage::Cut, .. } => action.clone(),
            Action::Crash { workers, start, is_dark } => {
                Action::Crash { workers: self.up(workers), start: *start, is_dark: *is_dark }
            }
            Action::Recut { workers, stage } => {
                Action::Recut { workers: self.up(workers), stage: *stage }
            }
            Action::Pause(target) => Action::Pause(Target::Index(self.index(*target).await)),
            Action::Kill(target) => Action::Kill(Target::Index(self.index(*target).await)),
        };
        match &action {
            Action::Pause(Target::Index(daemon)) => self.signal(*daemon, Process::pause),
            Action::Kill(Target::Index(daemon)) => self.deployment.daemons[*daemon].process.kill(),
            _ => {}
        }
        let (change, crashing) = (format!("{action:?}"), action.workers_down().to_vec());
        self.active.insert(n, action);
        self.apply().await?;
        self.deployment.crash(&crashing).await?;
        Ok(change)
    }

    /// Returns those of some workers that are not down.
    fn up(&self, workers: &[usize]) -> Vec<usize> {
        let is_down =
            |worker: &usize| self.active.values().any(|a| a.workers_down().contains(worker));
        workers.iter().copied().filter(|worker| !is_down(worker)).collect()
    }

    /// Returns the index of a target. While the owner is not known, that is the first one.
    async fn index(&self, target: Target) -> usize {
        match target {
            Target::Owner => self.deployment.owner().await.unwrap_or_default(),
            Target::Index(index) => index,
        }
    }

    async fn end(&mut self, n: usize) -> io::Result<String> {
        let Some(action) = self.active.remove(&n) else { return Ok(String::new()) };
        let is_last = !self.active.values().any(|other| *other == action);
        match &action {
            Action::Pause(Target::Index(daemon)) if is_last => {
                self.signal(*daemon, Process::resume);
            }
            Action::Kill(Target::Index(daemon)) if is_last => {
                self.deployment.daemons[*daemon].restart()?;
            }
            Action::Crash { workers, start, .. } => {
                self.deployment.start_again(workers.clone(), *start).await?;
            }
            Action::Recut { workers, stage: Stage::Down { .. } } => {
                self.deployment.start_again(workers.clone(), Start::SameName).await?;
            }
            _ => {}
        }
        self.apply().await?;
        Ok(format!("end of {action:?}"))
    }

    /// Sends a signal to a daemon, unless its process has ended.
    fn signal(&mut self, daemon: usize, send: fn(&Process)) {
        let process = &mut self.deployment.daemons[daemon].process;
        if process.exit_code().is_none() {
            send(process);
        }
    }

    /// Sets the network and the store to what the disturbances in force require.
    async fn apply(&self) -> io::Result<()> {
        let (mut cuts, mut refused, mut is_down) = (Vec::new(), Vec::new(), false);
        let mut calls = Calls::default();
        for action in self.active.values() {
            match action {
                Action::Cut { domain: Target::Index(domain), scope, state } => {
                    cuts.push(Cut { domain: *domain, scope: *scope, state: *state });
                }
                Action::Store { domains, outage } => {
                    let domains = domains.clone().unwrap_or_else(|| (0..self.domains).collect());
                    match outage {
                        Outage::Down => is_down = true,
                        Outage::Refusing => refused.extend(domains),
                        Outage::Cut(state) => cuts.extend(domains.into_iter().map(|domain| Cut {
                            domain,
                            scope: Scope::Store,
                            state: *state,
                        })),
                    }
                }
                Action::Crash { workers, is_dark: true, .. } => calls.dark.extend(workers),
                Action::Late { one_in } => calls.late_one_in = *one_in,
                Action::Delay { workers, millis } => {
                    calls.delays_ms.extend(workers.iter().map(|worker| (*worker, *millis)));
                }
                Action::WorkerCut { workers, lost } => cut(&mut calls, workers, *lost),
                Action::Recut { workers, stage: Stage::Cut } => {
                    cut(&mut calls, workers, Lost::Both);
                }
                Action::Recut { stage: Stage::Down { seed }, .. } => {
                    (calls.late_ms, calls.seed) = (LATE_MS, *seed);
                }
                Action::Stall { workers, millis } => {
                    calls.stalls_ms.extend(workers.iter().map(|worker| (*worker, *millis)));
                }
                _ => {}
            }
        }
        self.deployment.set_calls(&calls).await?;
        self.deployment.set_store_down(is_down).await?;
        self.deployment.set_refused(&refused).await?;
        self.deployment.set_cuts(&cuts).await
    }
}

fn cut(calls: &mut Calls, workers: &[usize], lost: Lost) {
    for worker in workers {
        let all = calls.cut.entry(*worker).or_insert(lost);
        *all = all.and(lost);
    }
}
