//! What the logs of the daemons say of the owners of the cell.

use std::collections;

use gl_standin::fleet::{Run, daemon::Daemon, judge::Violation};
use serde_json::Value;

/// The time, in milliseconds, within which an owner that could start nothing has not had the time to
/// forget the followers that it does not hear.
const SOON_MS: u64 = 10_000;

/// The fencing tokens of calls to workers for each one of the cell: these also count the lifetimes of workers.
const CALLS_PER_TOKEN: u64 = 1 << 20;

/// Returns the fencing token of the cell with which the owner claimed it that ordered a run.
const fn cell_token(run: &Run) -> u64 {
    run.token / CALLS_PER_TOKEN
}

/// An ownership. Times are Unix times in milliseconds.
#[derive(Debug, Default)]
struct Owner {
    daemon: String,
    domain: String,
    claimed: u64,
    cause: String,
    /// The time at which it stepped down or its process ended.
    ended: Option<u64>,
    /// When its daemon lost the store, and when that was back.
    lost: Vec<(u64, Option<u64>)>,
    /// When daemons of other failure domains followed it first.
    followed: Vec<u64>,
    starts: Vec<Permission>,
}

/// A change of the permission to start tasks.
#[derive(Debug)]
struct Permission {
    at: u64,
    is_allowed: bool,
}

impl Owner {
    /// Returns the time since which its daemon does not reach the store.
    fn lost_since(&self, now: u64) -> Option<u64> {
        let is_now =
            |(since, back): &&(u64, Option<u64>)| *since <= now && back.is_none_or(|at| now < at);
        self.lost.iter().find(is_now).map(|(since, _)| *since)
    }

    fn holds(&self, now: u64) -> bool {
        self.claimed <= now && self.ended.is_none_or(|ended| now < ended)
    }

    /// Describes why it may have gone on although another daemon had claimed the cell.
    fn way(&self, now: u64) -> &'static str {
        let Some(lost) = self.lost_since(now) else { return "that reaches the store" };
        let mut changes = self.starts.iter().filter(|change| change.at <= now);
        let forbidden = changes.clone().rfind(|change| !change.is_allowed && change.at > lost);
        match (changes.next_back(), forbidden) {
            (Some(last), _) if !last.is_allowed => "that may start nothing",
            (Some(last), Some(forbidden)) if last.at < forbidden.at + SOON_MS => {
                "that may start again soon after it could not"
            }
            (Some(_), Some(_)) => "that has forgotten the others",
            _ if !self.followed.iter().any(|at| *at <= lost) => {
                "with followers of its own failure domain only"
            }
            _ => "whose lease has not ended",
        }
    }
}

/// The owners, by fencing token.
#[derive(Debug, Default)]
pub struct Owners {
    owners: collections::BTreeMap<u64, Owner>,
}

impl Owners {
    /// Reads the logs of daemons.
    pub fn read(daemons: &[Daemon]) -> Self {
        let logs: Vec<_> = daemons.iter().map(|daemon| (daemon, daemon.log_lines())).collect();
        let mut owners = Self::default();
        for (daemon, lines) in &logs {
            owners.read_claims(daemon, lines);
        }
        for (daemon, lines) in &logs {
            for line in lines.iter().filter(|line| line["event"] == "following") {
                let owner = owners.owners.get_mut(&line["token"].as_u64().unwrap_or_default());
                let owner = owner.filter(|owner| owner.domain != daemon.settings.domain);
                owner.into_iter().for_each(|owner| owner.followed.push(time(line)));
            }
        }
        owners
    }

    fn read_claims(&mut self, daemon: &Daemon, lines: &[Value]) {
        let mut token = None;
        let mut lost: Vec<(u64, Option<u64>)> = Vec::new();
        for line in lines {
            let at = time(line);
            match line["event"].as_str() {
                Some("claimed") => {
                    token = line["token"].as_u64();
                    let owner = Owner {
                        daemon: daemon.settings.name.clone(),
                        domain: daemon.settings.domain.clone(),
                        claimed: at,
                        cause: line["cause"].as_str().unwrap_or_default().to_owned(),
                        ..Owner::default()
                    };
                    self.owners.insert(token.unwrap_or_default(), owner);
                }
                Some(event @ ("stepped-down" | "started")) => {
                    if event == "started" {
                        lost.iter_mut().for_each(|(_, back)| *back = back.or(Some(at)));
                    }
                    let owner = token.take().and_then(|token| self.owners.get_mut(&token));
                    owner.into_iter().for_each(|owner| owner.ended = Some(at));
                }
                Some("starts") => {
                    let owner = token.and_then(|token| self.owners.get_mut(&token));
                    let permission = Permission { at, is_allowed: line["allowed"] == true };
                    if let Some(owner) = owner {
                        owner.starts.push(permission);
                    }
                }
                Some("dependency-lost") if line["dependency"] == "store" => lost.push((at, None)),
                Some("dependency-back") if line["dependency"] == "store" => {
                    lost.iter_mut().for_each(|(_, back)| *back = back.or(Some(at)));
                }
                _ => {}
            }
        }
        let own = self.owners.values_mut().filter(|owner| owner.daemon == daemon.settings.name);
        own.for_each(|owner| owner.lost.clone_from(&lost));
    }

    /// Returns the number of claims.
    pub fn claims(&self) -> usize {
        self.owners.len()
    }

    /// Describes the owner that started the later run of a violation, or kept the earlier one, after
    /// another daemon had claimed the cell.
    pub fn describe(&self, violation: &Violation) -> String {
        let Violation { earlier, later, .. } = violation;
        let now = later.started;
        let is_superseded =
            |token: u64| self.owners.range(token + 1..).any(|(_, owner)| owner.claimed <= now);
        let token = cell_token(later);
        let by_later = self.owners.get(&token);
        if let Some(owner) = by_later.filter(|owner| is_superseded(token) && owner.holds(now)) {
            return format!("started by a superseded owner {}", owner.way(now));
        }
        let keeps = |(token, owner): &(&u64, &Owner)| {
            is_superseded(**token) && owner.holds(now) && owner.domain == earlier.domain
        };
        if let Some((_, owner)) = self.owners.iter().rev().find(keeps) {
            return format!("kept by a superseded owner {}", owner.way(now));
        }
        let cause = by_later.map_or("unknown", |owner| &owner.cause);
        format!(
            "started by the owner, which claimed the cell as {cause}; {}",
            relation(earlier, later)
        )
    }
}

fn relation(earlier: &Run, later: &Run) -> &'static str {
    match cell_token(earlier).cmp(&cell_token(later)) {
        std::cmp::Ordering::Less => "the other run is of an earlier owner",
        std::cmp::Ordering::Equal => "the other run is its own",
        std::cmp::Ordering::Greater => "the other run is of a later owner",
    }
}

fn time(line: &Value) -> u64 {
    line["time_ms"].as_u64().unwrap_or_default()
}
