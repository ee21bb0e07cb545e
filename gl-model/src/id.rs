//! Identities of the things that the scheduler handles.

use std::fmt;

macro_rules! text_ids {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[gl_derive::id]
        pub struct $name(pub String);

        impl $name {
            /// The identity as text.
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
            /// The number that follows this one.
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
    /// A kind of task, which the interference model keys on.
    KindId;
    /// A task: its job's name and its index, joined by a dot.
    TaskId;
    /// A daemon process; a replaced daemon has a new identity.
    DaemonId;
    /// A team that owns jobs and a quota.
    TeamId;
    /// A plan that answers an intent.
    PlanId;
    /// A transaction at the table service.
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
    /// The identity of task `index` of `job`.
    pub fn of(job: &JobId, index: u32) -> Self {
        Self(format!("{job}.{index}"))
    }
}
