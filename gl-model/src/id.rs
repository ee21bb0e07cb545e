//! Identities and counters of the scheduler's entities.

use std::fmt;

macro_rules! text_ids {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[gl_derive::id]
        pub struct $name(pub String);

        impl $name {
            /// Returns the identity as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(text.to_owned())
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    )*};
}

macro_rules! numbers {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[gl_derive::unit]
        pub struct $name(pub u64);

        impl $name {
            /// Returns the number that follows this one.
            #[must_use]
            pub const fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}", self.0)
            }
        }
    )*};
}

text_ids! {
    /// A VM that the platform provides.
    VmId;
    /// A failure domain; each one is a shard of the scheduling state.
    DomainId;
    /// A rack within a failure domain.
    RackId;
    /// A latency-critical service or a batch job, by the name in its intent.
    JobId;
    /// A kind of task, by which the interference model distinguishes tasks.
    KindId;
    /// A task: its job's name and its index, joined by a dot.
    TaskId;
    /// A daemon process; a replaced daemon has a new identity.
    DaemonId;
    /// A team that owns jobs and a quota.
    TeamId;
    /// A plan made for intents.
    PlanId;
    /// A transaction of the table service.
    TxnId;
    /// A call, unique among all daemons.
    CallId;
}

numbers! {
    /// The number of a task's current start; each start of the task gets the next one.
    Incarnation;
    /// The number of a shard's ownership; each change of owner gets the next one.
    Epoch;
    /// The version of a stored row; zero means that the row is absent.
    Version;
}

impl TaskId {
    /// Returns the identity of task `index` of `job`.
    pub fn of(job: &JobId, index: u32) -> Self {
        Self(format!("{job}.{index}"))
    }
}
