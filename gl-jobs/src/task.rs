//! Identities of jobs and of their tasks.

use std::{fmt, str};

/// A job's identity, chosen by the client: 16 lower-case hexadecimal digits as text.
#[gl_derive::unit]
pub struct JobId(pub u64);

/// The length of a job's identity as text.
const JOB_DIGITS: usize = 16;

/// The error returned when an identity cannot be parsed.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("`{text}` is not a {kind}; give it as {format}")]
pub struct ParseError {
    /// The text that was given.
    pub text: String,
    /// The kind of identity that was expected.
    pub kind: &'static str,
    /// The expected format.
    pub format: &'static str,
}

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl str::FromStr for JobId {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let refuse = || ParseError {
            text: text.to_owned(),
            kind: "job's identity",
            format: "16 lower-case hexadecimal digits",
        };
        let is_digit = |b: u8| b.is_ascii_digit() || (b'a'..=b'f').contains(&b);
        if text.len() != JOB_DIGITS || !text.bytes().all(is_digit) {
            return Err(refuse());
        }
        u64::from_str_radix(text, 16).map(Self).map_err(|_| refuse())
    }
}

/// A phase of one occurrence of a job.
#[gl_derive::domain]
#[derive(Copy, Eq, PartialOrd, Ord, Hash)]
pub struct PhaseId {
    /// The job.
    pub job: JobId,
    /// The number of the occurrence; zero for a job that runs once.
    pub occurrence: u32,
    /// The number of the phase within the job.
    pub phase: u32,
}

/// A task of a phase.
#[gl_derive::domain]
#[derive(Copy, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId {
    /// The phase that the task belongs to.
    pub phase: PhaseId,
    /// The task's number within the phase.
    pub index: u32,
}

impl fmt::Display for PhaseId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.job, self.occurrence, self.phase)
    }
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.phase, self.index)
    }
}

impl str::FromStr for TaskId {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let refuse = || ParseError {
            text: text.to_owned(),
            kind: "task's identity",
            format: "JOB.OCCURRENCE.PHASE.INDEX",
        };
        let mut parts = text.split('.');
        let mut next = || parts.next().ok_or_else(refuse);
        let job = next()?.parse()?;
        let mut number = || next()?.parse().map_err(|_| refuse());
        let (occurrence, phase, index) = (number()?, number()?, number()?);
        if parts.next().is_some() {
            return Err(refuse());
        }
        Ok(Self { phase: PhaseId { job, occurrence, phase }, index })
    }
}
