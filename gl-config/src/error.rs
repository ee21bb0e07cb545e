//! The error of all settings, printed with the place in the file.

// The derive of `Diagnostic` reads the fields in code that the linter takes for unused.
#![allow(unused_assignments)]

use std::sync;

/// The error returned when a file can't be read as what it should be.
#[derive(Clone, Debug, thiserror::Error, miette::Diagnostic)]
pub enum Error {
    /// The file can't be read.
    #[error("{file}: {detail}")]
    #[diagnostic(help("give the path of a file that this user may read"))]
    File {
        /// The file.
        file: String,
        /// What the system said.
        detail: String,
    },
    /// The text isn't what the file should hold.
    #[error("{file}: {detail}")]
    Text {
        /// The file.
        file: String,
        /// What is wrong.
        detail: String,
        /// The whole text.
        #[source_code]
        text: sync::Arc<miette::NamedSource<String>>,
        /// Where.
        #[label("here")]
        place: Option<miette::SourceSpan>,
        /// What to do.
        #[help]
        remedy: String,
    },
}

impl PartialEq for Error {
    fn eq(&self, other: &Self) -> bool {
        self.to_string() == other.to_string()
    }
}
