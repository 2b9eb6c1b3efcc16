//! A parsed document and its errors.

use std::cell::RefCell;
use std::ops::Range;
use std::rc::Rc;

use toml::Spanned;
use toml::de::DeTable;

use crate::{ConfigError, Problem, Table};

/// The longest accepted document, in bytes.
pub const MAX_DOCUMENT_BYTES: usize = 1 << 20;

/// Byte range of an element in a document.
pub type Span = Range<usize>;

/// The errors of a document, shared by its tables.
#[derive(Clone, Default)]
pub(crate) struct Errors(Rc<RefCell<Vec<(Span, Problem)>>>);

impl Errors {
    pub(crate) fn push(&self, span: Span, problem: Problem) {
        self.0.borrow_mut().push((span, problem));
    }

    /// Returns all errors in the order of the text, without duplicates.
    fn sorted(&self) -> Vec<(Span, Problem)> {
        let mut errors = self.0.borrow().clone();
        errors.sort_by_key(|(span, _)| span.start);
        errors.dedup();
        errors
    }
}

/// A parsed document and the errors found in it so far.
pub struct Document<'t> {
    text: &'t str,
    root: Spanned<DeTable<'t>>,
    errors: Errors,
}

impl<'t> Document<'t> {
    /// Parses a text of at most [`MAX_DOCUMENT_BYTES`]. Syntax errors are listed among the other errors, and
    /// the rest of the text is still read.
    pub fn parse(text: &'t str) -> Self {
        let too_long = text.len() > MAX_DOCUMENT_BYTES;
        let (root, syntax_errors) = DeTable::parse_recoverable(if too_long { "" } else { text });
        let errors = Errors::default();
        for error in &syntax_errors {
            errors.push(error.span().unwrap_or(0..0), Problem::Syntax(one_line(error.message())));
        }
        if too_long {
            errors.push(0..0, Problem::TooLong { limit: MAX_DOCUMENT_BYTES });
        }
        Document { text, root, errors }
    }

    /// Returns the top-level table.
    pub fn root(&self) -> Table<'_, 't> {
        Table::new(String::new(), self.root.get_ref(), 0..0, self.errors.clone())
    }

    /// Returns all errors found so far, in the order of the text.
    pub fn errors(&self) -> Vec<ConfigError> {
        self.errors.sorted().into_iter().map(|(span, problem)| self.locate(&span, problem)).collect()
    }

    fn locate(&self, span: &Span, problem: Problem) -> ConfigError {
        let mut starts = (0..=span.start.min(self.text.len())).rev();
        let start = starts.find(|start| self.text.is_char_boundary(*start)).unwrap_or(0);
        let before = &self.text[..start];
        let line = before.matches('\n').count() + 1;
        let column = before.rsplit('\n').next().unwrap_or("").chars().count() + 1;
        ConfigError { line, column, problem }
    }
}

fn one_line(text: &str) -> String {
    text.lines().map(str::trim).collect::<Vec<_>>().join(", ")
}
