//! Problems found when a document or settings file is loaded.

use std::{cell::RefCell, fmt, ops::Range};

use base::derive_value;

derive_value! {
    /// One problem in a text, with what an operator needs to correct it.
    pub struct DocumentProblem {
        /// Name of the file as the caller gave it.
        pub file: String,
        /// Line of the value or, for a missing key, of its section. The first line is 1.
        pub line: usize,
        /// Path of the key, for example `pools[2].zone`.
        pub key: String,
        /// The value as written, or empty when the key is missing.
        pub value: String,
        /// Description of the values that the key accepts.
        pub allowed: String,
    }
}

impl fmt::Display for DocumentProblem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { file, line, key, value, allowed } = self;
        if value.is_empty() {
            return write!(f, "{file}:{line}: key `{key}`: allowed is {allowed}");
        }
        write!(f, "{file}:{line}: key `{key}`: value {value}: allowed is {allowed}")
    }
}

impl std::error::Error for DocumentProblem {}

/// Collects the problems of one text.
#[derive(Debug)]
pub(crate) struct ProblemList<'t> {
    file: &'t str,
    text: &'t str,
    problems: RefCell<Vec<DocumentProblem>>,
}

impl<'t> ProblemList<'t> {
    pub(crate) const fn new(file: &'t str, text: &'t str) -> Self {
        Self { file, text, problems: RefCell::new(Vec::new()) }
    }

    /// Adds a problem with the value at the byte range `span`, of which it quotes the first line.
    pub(crate) fn add_value(&self, span: &Range<usize>, key: &str, allowed: impl Into<String>) {
        let value = self.text.get(span.clone()).unwrap_or_default();
        let value = value.lines().next().unwrap_or_default();
        self.add(span.start, key, value, allowed);
    }

    /// Adds a problem at the byte `offset`. `value` is empty for a missing key.
    pub(crate) fn add(&self, offset: usize, key: &str, value: &str, allowed: impl Into<String>) {
        let before = self.text.as_bytes().iter().take(offset);
        let line = 1 + before.filter(|byte| **byte == b'\n').count();
        self.problems.borrow_mut().push(DocumentProblem {
            file: String::from(self.file),
            line,
            key: String::from(key),
            value: String::from(value),
            allowed: allowed.into(),
        });
    }

    /// Returns the problems sorted by line and key.
    pub(crate) fn into_sorted(self) -> Vec<DocumentProblem> {
        let mut problems = self.problems.into_inner();
        problems.sort_by(|a, b| (a.line, &a.key).cmp(&(b.line, &b.key)));
        problems
    }
}
