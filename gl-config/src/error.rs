//! The error of all settings files, which is printed with the place in the file.

// The code that `derive(Diagnostic)` generates reads the fields, but the lint reports them as unused.
#![allow(unused_assignments)]

use std::sync;

/// The error returned if a file cannot be read or is invalid.
#[derive(Clone, Debug, thiserror::Error, miette::Diagnostic)]
pub enum Error {
    /// The file cannot be read.
    #[error("{file}: {detail}")]
    #[diagnostic(help("give the path of a file that this user may read"))]
    File {
        /// The file.
        file: String,
        /// The message of the operating system.
        detail: String,
    },
    /// The content of the file is invalid.
    #[error("{file}: {detail}")]
    Text {
        /// The file.
        file: String,
        /// The problem.
        detail: String,
        /// The whole text.
        #[source_code]
        text: sync::Arc<miette::NamedSource<String>>,
        /// The place of the problem.
        #[label("here")]
        place: Option<miette::SourceSpan>,
        /// The remedy.
        #[help]
        remedy: String,
    },
}

impl PartialEq for Error {
    fn eq(&self, other: &Self) -> bool {
        self.to_string() == other.to_string()
    }
}
