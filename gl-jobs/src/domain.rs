//! Failure domains that operators have emptied: no task may be started on their workers until the
//! request is withdrawn.

use std::collections;

/// The failure domains that are emptied, each with the version of the store at which the request
/// was written. A request may name a domain that has no workers yet.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Emptied(collections::BTreeMap<String, u64>);

/// A change of the emptied failure domains.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The failure domain.
    pub domain: String,
    /// The version of the store at which the change was written.
    pub version: u64,
    /// Whether the domain is emptied from now on. Otherwise its workers may be used again.
    pub is_emptied: bool,
}

impl Emptied {
    /// Returns whether no task may be started in a failure domain.
    pub fn contains(&self, domain: &str) -> bool {
        self.0.contains_key(domain)
    }

    /// Returns the emptied domains, with the versions at which they were emptied.
    pub fn iter(&self) -> impl Iterator<Item = (&str, u64)> {
        self.0.iter().map(|(domain, version)| (domain.as_str(), *version))
    }

    /// Returns the number of emptied domains.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns whether no domain is emptied.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Applies changes in the order in which they were written.
    pub fn apply(&mut self, changes: &[Change]) {
        for change in changes {
            if change.is_emptied {
                self.0.insert(change.domain.clone(), change.version);
            } else {
                self.0.remove(&change.domain);
            }
        }
    }
}

impl<S: Into<String>> FromIterator<(S, u64)> for Emptied {
    fn from_iter<I: IntoIterator<Item = (S, u64)>>(domains: I) -> Self {
        Self(domains.into_iter().map(|(domain, version)| (domain.into(), version)).collect())
    }
}
