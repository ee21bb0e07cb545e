//! Seeded series of disturbances that overlap.

use std::time::Duration;

use gl_standin::fleet::{
    Lost, Start,
    network::{Scope, State},
};
use rand::{Rng as _, SeedableRng as _, rngs};

/// Something that is disturbed: a failure domain or a daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Target {
    /// The owner, or its failure domain, at the start of the disturbance.
    Owner,
    /// That with this index.
    Index(usize),
}

/// How the store is away.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outage {
    /// It refuses all requests. The rows of workers stay.
    Down,
    /// It refuses the requests of the failure domains.
    Refusing,
    /// The network to it is cut.
    Cut(State),
}

/// A kind of disturbance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// The network of a failure domain is cut.
    Cut,
    /// The store is away, for all or some failure domains.
    Store,
    /// A daemon is suspended.
    Pause,
    /// A daemon is killed, and started again at the end.
    Kill,
    /// Workers crash, and start again at the end.
    Crash,
    /// Some start orders get no answer and are carried out late.
    Late,
    /// Calls to some workers wait before these see them.
    Delay,
    /// Calls to some workers, or their replies, are lost, for about the length of a lease.
    WorkerCut,
    /// Some workers end runs late.
    Stall,
    /// All workers of a failure domain crash, are back under their names and are cut off soon after. Calls
    /// that were under way arrive at the next incarnations.
    Recut,
}

/// All kinds, with their names in arguments and reports and their weights.
pub const KINDS: [(Kind, &str, u32); 10] = [
    (Kind::Cut, "cut", 4),
    (Kind::Store, "store", 3),
    (Kind::Pause, "pause", 2),
    (Kind::Kill, "kill", 2),
    (Kind::Crash, "crash", 6),
    (Kind::Late, "late", 3),
    (Kind::Delay, "delay", 3),
    (Kind::WorkerCut, "worker-cut", 4),
    (Kind::Stall, "stall", 4),
    (Kind::Recut, "recut", 4),
];

/// What a disturbance does.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// See [`Kind::Cut`].
    Cut { domain: Target, scope: Scope, state: State },
    /// See [`Kind::Store`]. Without a list, it is away for all failure domains.
    Store { domains: Option<Vec<usize>>, outage: Outage },
    /// See [`Kind::Pause`].
    Pause(Target),
    /// See [`Kind::Kill`].
    Kill(Target),
    /// See [`Kind::Crash`].
    Crash { workers: Vec<usize>, start: Start, is_dark: bool },
    /// See [`Kind::Late`]: one order in so many.
    Late { one_in: u64 },
    /// See [`Kind::Delay`].
    Delay { workers: Vec<usize>, millis: u64 },
    /// See [`Kind::WorkerCut`].
    WorkerCut { workers: Vec<usize>, lost: Lost },
    /// See [`Kind::Stall`].
    Stall { workers: Vec<usize>, millis: u64 },
    /// See [`Kind::Recut`].
    Recut { workers: Vec<usize>, stage: Stage },
}

/// A part of a disturbance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// The workers are down. The seed is that of the times after which calls arrive.
    Down { seed: u64 },
    /// They are cut off.
    Cut,
}

impl Action {
    /// Returns the workers that are down meanwhile.
    pub fn workers_down(&self) -> &[usize] {
        match self {
            Self::Crash { workers, .. } | Self::Recut { workers, stage: Stage::Down { .. } } => {
                workers
            }
            _ => &[],
        }
    }

    /// Returns the kind.
    pub const fn kind(&self) -> Kind {
        match self {
            Self::Cut { .. } => Kind::Cut,
            Self::Store { .. } => Kind::Store,
            Self::Pause(_) => Kind::Pause,
            Self::Kill(_) => Kind::Kill,
            Self::Crash { .. } => Kind::Crash,
            Self::Late { .. } => Kind::Late,
            Self::Delay { .. } => Kind::Delay,
            Self::WorkerCut { .. } => Kind::WorkerCut,
            Self::Stall { .. } => Kind::Stall,
            Self::Recut { .. } => Kind::Recut,
        }
    }
}

/// A disturbance.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// The time from the start of the series.
    pub at: Duration,
    /// The end.
    pub until: Duration,
    /// What it does.
    pub action: Action,
}

/// The size of a series.
#[derive(Clone, Debug)]
pub struct Size {
    /// The failure domains.
    pub domains: usize,
    /// The daemons in all.
    pub daemons: usize,
    /// The workers in all.
    pub workers: usize,
    /// The length of the series.
    pub length: Duration,
    /// The longest time between the starts of two disturbances.
    pub gap: Duration,
    /// The kinds of disturbances.
    pub kinds: Vec<Kind>,
    /// The time at which the owner is killed, also if kills are not among the kinds.
    pub hand_over: Option<Duration>,
}

/// The time before the first disturbance.
const CALM: Duration = Duration::from_secs(3);
/// The shortest time between the starts of two disturbances, in milliseconds.
const MIN_GAP_MS: u64 = 500;
/// The time after which the owner that was killed for a hand-over starts again.
const DOWN_TIME: Duration = Duration::from_secs(2);

struct Generator {
    random: rngs::SmallRng,
    size: Size,
}

/// Returns the series of a seed.
pub fn series(seed: u64, size: Size) -> Vec<Step> {
    let random = rngs::SmallRng::seed_from_u64(seed);
    let mut generator = Generator { random, size };
    let mut steps = Vec::new();
    let mut at = CALM;
    let longest = u64::try_from(generator.size.gap.as_millis()).unwrap_or(u64::MAX);
    let gaps = MIN_GAP_MS..longest.max(MIN_GAP_MS + 1);
    while at < generator.size.length {
        generator.disturb(at, &mut steps);
        at += generator.millis(gaps.clone());
    }
    if let Some(at) = generator.size.hand_over {
        let action = Action::Kill(Target::Owner);
        generator.push(Step { at, until: at + DOWN_TIME, action }, &mut steps);
    }
    steps
}

impl Generator {
    fn millis(&mut self, range: std::ops::Range<u64>) -> Duration {
        Duration::from_millis(self.random.random_range(range))
    }

    fn kind(&mut self) -> Kind {
        let kinds = KINDS.iter().filter(|(kind, ..)| self.size.kinds.contains(kind));
        let total = kinds.clone().map(|(.., weight)| weight).sum::<u32>().max(1);
        let mut left = self.random.random_range(0..total);
        for (kind, _, weight) in kinds {
            match left.checked_sub(*weight) {
                Some(rest) => left = rest,
                None => return *kind,
            }
        }
        Kind::Cut
    }

    fn target(&mut self, count: usize) -> Target {
        if self.random.random_bool(0.5) {
            Target::Owner
        } else {
            Target::Index(self.random.random_range(0..count))
        }
    }

    /// Returns one to `most` workers.
    fn workers(&mut self, most: usize) -> Vec<usize> {
        let count = self.random.random_range(1..=most);
        let workers = (0..count).map(|_| self.random.random_range(0..self.size.workers));
        let mut workers: Vec<_> = workers.collect();
        workers.sort_unstable();
        workers.dedup();
        workers
    }

    /// Returns one to eight workers, or all of a failure domain.
    fn workers_or_domain(&mut self) -> Vec<usize> {
        if self.random.random_bool(0.75) {
            return self.workers(8);
        }
        self.workers_of_domain()
    }

    /// Returns all workers of a failure domain.
    fn workers_of_domain(&mut self) -> Vec<usize> {
        let domain = self.random.random_range(0..self.size.domains);
        (domain..self.size.workers).step_by(self.size.domains).collect()
    }

    fn state(&mut self) -> State {
        [State::Held, State::Reset, State::Refused][self.random.random_range(0..3)]
    }

    fn disturb(&mut self, at: Duration, steps: &mut Vec<Step>) {
        let kind = self.kind();
        let (action, length) = match kind {
            Kind::Cut => {
                let domain = self.target(self.size.domains);
                let scopes = [Scope::All, Scope::All, Scope::Domains];
                let scope = scopes[self.random.random_range(0..scopes.len())];
                (Action::Cut { domain, scope, state: self.state() }, self.millis(3_000..30_000))
            }
            Kind::Store => return self.disturb_store(at, steps),
            Kind::Pause => {
                (Action::Pause(self.target(self.size.daemons)), self.millis(500..25_000))
            }
            Kind::Kill => (Action::Kill(self.target(self.size.daemons)), self.millis(50..6_000)),
            Kind::Crash => {
                let workers = self.workers(3);
                let is_renamed = self.random.random_bool(0.3);
                let start = if is_renamed { Start::OtherName } else { Start::SameName };
                let is_dark = self.random.random_bool(0.5);
                (Action::Crash { workers, start, is_dark }, self.millis(20..4_500))
            }
            Kind::Late => {
                let one_in = self.random.random_range(6..20);
                (Action::Late { one_in }, self.millis(3_000..12_000))
            }
            Kind::Delay => {
                let workers = self.workers(3);
                let millis = self.random.random_range(100..1_600);
                (Action::Delay { workers, millis }, self.millis(1_000..6_000))
            }
            Kind::WorkerCut => {
                let workers = self.workers_or_domain();
                let lost = [Lost::Requests, Lost::Replies, Lost::Both];
                let lost = lost[self.random.random_range(0..lost.len())];
                (Action::WorkerCut { workers, lost }, self.millis(4_000..11_000))
            }
            Kind::Stall => {
                let workers = self.workers_or_domain();
                let millis = self.random.random_range(100..=900);
                (Action::Stall { workers, millis }, self.millis(4_000..14_000))
            }
            Kind::Recut => return self.disturb_recut(at, steps),
        };
        self.push(Step { at, until: at + length, action }, steps);
    }

    fn disturb_store(&mut self, at: Duration, steps: &mut Vec<Step>) {
        let outage = match self.random.random_range(0..3) {
            0 => Outage::Refusing,
            _ => Outage::Cut(self.state()),
        };
        let length = self.millis(3_000..30_000);
        let one = self.random.random_range(0..self.size.domains);
        match self.random.random_range(0..4) {
            0 => {
                let all = Action::Store { domains: None, outage: Outage::Down };
                self.push(Step { at, until: at + length, action: all }, steps);
            }
            1 => {
                let all = Action::Store { domains: None, outage };
                self.push(Step { at, until: at + length, action: all }, steps);
            }
            2 => {
                let one = Action::Store { domains: Some(vec![one]), outage };
                self.push(Step { at, until: at + length, action: one }, steps);
            }
            // One failure domain after the other, each with the time of several renewals.
            _ => {
                let mut start = at;
                let mut domain = one;
                while start < at + length {
                    let until = start + self.millis(1_000..5_000);
                    let action = Action::Store { domains: Some(vec![domain]), outage };
                    self.push(Step { at: start, until, action }, steps);
                    (start, domain) = (until, (domain + 1) % self.size.domains);
                }
            }
        }
    }

    /// The owner is killed or paused beside some.
    fn disturb_recut(&mut self, at: Duration, steps: &mut Vec<Step>) {
        let workers = self.workers_of_domain();
        let back = at + self.millis(100..1_000);
        let cut = back + self.millis(20..520);
        let until = cut + self.millis(5_000..10_000);
        let stage = Stage::Down { seed: self.random.random() };
        let down = Action::Recut { workers: workers.clone(), stage };
        self.push(Step { at, until: back, action: down }, steps);
        let action = Action::Recut { workers, stage: Stage::Cut };
        self.push(Step { at: cut, until, action }, steps);
        let beside = match self.random.random_range(0..6) {
            0 | 1 => Some((Action::Kill(Target::Owner), self.millis(500..3_000))),
            2 => Some((Action::Pause(Target::Owner), self.millis(500..9_000))),
            _ => None,
        };
        if let Some((action, length)) = beside {
            self.push(Step { at: cut, until: cut + length, action }, steps);
        }
    }

    fn push(&self, step: Step, steps: &mut Vec<Step>) {
        let until = step.until.min(self.size.length);
        if step.at < until {
            steps.push(Step { until, ..step });
        }
    }
}
