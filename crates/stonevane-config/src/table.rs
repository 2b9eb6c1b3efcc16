//! Tables of a document, which are read key by key.

use std::cell::RefCell;
use std::fmt::Display;
use std::ops::RangeInclusive;

use toml::Spanned;
use toml::de::{DeTable, DeValue};

use crate::document::Errors;
use crate::{Problem, Span, suggest};

/// A table of a document, which is read by the subsystem that owns it.
///
/// Methods that read a key mark it as known. They report a value of the wrong type or out of bounds as an
/// error, and then return the default or leave the value out.
pub struct Table<'r, 't> {
    name: String,
    content: &'r DeTable<'t>,
    span: Span,
    /// Keys that have been read.
    known: RefCell<Vec<String>>,
    errors: Errors,
}

impl<'r, 't> Table<'r, 't> {
    pub(crate) fn new(name: String, content: &'r DeTable<'t>, span: Span, errors: Errors) -> Self {
        Table { name, content, span, known: RefCell::default(), errors }
    }

    /// Returns the table's name in the document, empty for the top-level table.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the table's span in the document.
    pub fn span(&self) -> Span {
        self.span.clone()
    }

    /// Reports an error at a span.
    pub fn error(&self, span: Span, problem: impl Into<Problem>) {
        self.errors.push(span, problem.into());
    }

    /// Reports that a key is missing.
    pub fn missing(&self, key: &str) {
        self.error(self.span(), Problem::MissingKey { key: key.to_owned(), section: self.section_title() });
    }

    /// Reports that a key's value is not one of the accepted words.
    pub fn unknown_value(&self, key: &str, word: &str, known: &[&str]) {
        let hint = suggest(word, known);
        let problem = Problem::UnknownValue { key: key.to_owned(), word: word.to_owned(), hint };
        self.error(self.span_of(key), problem);
    }

    fn get(&self, key: &str) -> Option<&'r Spanned<DeValue<'t>>> {
        self.known.borrow_mut().push(key.to_owned());
        self.content.iter().find(|(name, _)| name.get_ref() == key).map(|(_, value)| value)
    }

    /// Reports that a value has the wrong type; always returns `None`.
    fn wrong_type<T>(&self, key: &str, value: &Spanned<DeValue<'t>>, expected: &'static str) -> Option<T> {
        let problem = Problem::WrongType { key: key.to_owned(), expected, found: type_name(value.get_ref()) };
        self.error(value.span(), problem);
        None
    }

    /// Returns a number if it is within its bounds. Otherwise, or if it could not be parsed, reports it as
    /// out of bounds.
    fn check_bounds<T: PartialOrd + Display>(
        &self,
        key: &str,
        span: Span,
        number: Option<T>,
        bounds: &RangeInclusive<T>,
    ) -> Option<T> {
        let number = number.filter(|number| bounds.contains(number));
        if number.is_none() {
            let (least, most) = (bounds.start().to_string(), bounds.end().to_string());
            self.error(span, Problem::OutOfBounds { key: key.to_owned(), least, most });
        }
        number
    }

    /// Returns the keys of the table in the order of the text, and marks all of them as known.
    pub fn keys(&self) -> Vec<(String, Span)> {
        let keys = self.content.iter().map(|(key, _)| (key.get_ref().to_string(), key.span()));
        let mut keys: Vec<(String, Span)> = keys.collect();
        keys.sort_by_key(|(_, span)| span.start);
        self.known.borrow_mut().extend(keys.iter().map(|(key, _)| key.clone()));
        keys
    }

    /// Returns whether a key is present.
    pub fn has(&self, key: &str) -> bool {
        self.get(key).is_some()
    }

    /// Returns the span of a key's value, or of the table if the key is absent.
    pub fn span_of(&self, key: &str) -> Span {
        self.get(key).map_or(self.span(), Spanned::span)
    }

    /// Reads an integer within bounds; `default` if the key is absent.
    pub fn integer(&self, key: &str, default: u64, bounds: RangeInclusive<u64>) -> u64 {
        self.integer_if(key, bounds).unwrap_or(default)
    }

    /// Reads an integer within bounds; `None` if the key is absent.
    pub fn integer_if(&self, key: &str, bounds: RangeInclusive<u64>) -> Option<u64> {
        let value = self.get(key)?;
        let DeValue::Integer(found) = value.get_ref() else {
            return self.wrong_type(key, value, "a whole number");
        };
        let number = u64::from_str_radix(found.as_str(), found.radix()).ok();
        self.check_bounds(key, value.span(), number, &bounds)
    }

    /// Reads a number within bounds; `default` if the key is absent.
    pub fn number(&self, key: &str, default: f64, bounds: RangeInclusive<f64>) -> f64 {
        let Some(value) = self.get(key) else { return default };
        self.number_within(key, value, &bounds).unwrap_or(default)
    }

    /// Reads a list of numbers within bounds; empty if the key is absent.
    pub fn numbers(&self, key: &str, bounds: RangeInclusive<f64>) -> Vec<f64> {
        let Some(value) = self.get(key) else { return Vec::new() };
        let DeValue::Array(items) = value.get_ref() else {
            return self.wrong_type(key, value, "a list of numbers").unwrap_or_default();
        };
        items.iter().filter_map(|item| self.number_within(key, item, &bounds)).collect()
    }

    fn number_within(
        &self,
        key: &str,
        value: &Spanned<DeValue<'t>>,
        bounds: &RangeInclusive<f64>,
    ) -> Option<f64> {
        let number = match value.get_ref() {
            DeValue::Float(found) => found.as_str().parse().ok(),
            DeValue::Integer(found) => found.as_str().parse().ok(),
            _ => return self.wrong_type(key, value, "a number"),
        };
        self.check_bounds(key, value.span(), number, bounds)
    }

    /// Reads a boolean; `default` if the key is absent.
    pub fn flag(&self, key: &str, default: bool) -> bool {
        let Some(value) = self.get(key) else { return default };
        match value.get_ref() {
            DeValue::Boolean(flag) => *flag,
            _ => self.wrong_type(key, value, "true or false").unwrap_or(default),
        }
    }

    /// Reads a string; `None` if the key is absent.
    pub fn text(&self, key: &str) -> Option<String> {
        let value = self.get(key)?;
        match value.get_ref() {
            DeValue::String(text) => Some(text.to_string()),
            _ => self.wrong_type(key, value, "a text in quotes"),
        }
    }

    /// Reads a string, and reports the key if it is missing.
    pub fn required(&self, key: &str) -> String {
        if !self.has(key) {
            self.missing(key);
        }
        self.text(key).unwrap_or_default()
    }

    /// Reads one of the accepted words and returns the value paired with it; `None` if the key is absent.
    pub fn one_of<T: Copy>(&self, key: &str, words: &[(&str, T)]) -> Option<T> {
        let text = self.text(key)?;
        let found = words.iter().find(|(word, _)| *word == text).map(|(_, value)| *value);
        if found.is_none() {
            let known: Vec<_> = words.iter().map(|(word, _)| *word).collect();
            self.unknown_value(key, &text, &known);
        }
        found
    }

    /// Reads a list of strings, each with its span; empty if the key is absent.
    pub fn texts(&self, key: &str) -> Vec<(String, Span)> {
        let Some(value) = self.get(key) else { return Vec::new() };
        let DeValue::Array(items) = value.get_ref() else {
            return self.wrong_type(key, value, "a list of texts").unwrap_or_default();
        };
        let text = |item: &Spanned<DeValue<'t>>| match item.get_ref() {
            DeValue::String(text) => Some((text.to_string(), item.span())),
            _ => self.wrong_type(key, item, "a list of texts"),
        };
        items.iter().filter_map(text).collect()
    }

    /// Reads a list of strings or a single string, each with its span; empty if the key is absent.
    pub fn texts_or_text(&self, key: &str) -> Vec<(String, Span)> {
        match self.get(key).map(|value| (value.get_ref(), value.span())) {
            Some((DeValue::String(text), span)) => vec![(text.to_string(), span)],
            _ => self.texts(key),
        }
    }

    /// Returns a nested table; `None` if the key is absent.
    pub fn table(&self, key: &str) -> Option<Table<'r, 't>> {
        let value = self.get(key)?;
        match value.get_ref() {
            DeValue::Table(content) => Some(self.nested(key, content, value.span())),
            _ => self.wrong_type(key, value, "a table"),
        }
    }

    /// Returns the tables of an array of tables, `[[key]]`; empty if the key is absent.
    pub fn tables(&self, key: &str) -> Vec<Table<'r, 't>> {
        let Some(value) = self.get(key) else { return Vec::new() };
        let DeValue::Array(items) = value.get_ref() else {
            return self.wrong_type(key, value, "a list of tables").unwrap_or_default();
        };
        let table = |item: &'r Spanned<DeValue<'t>>| match item.get_ref() {
            DeValue::Table(content) => Some(self.nested(key, content, item.span())),
            _ => self.wrong_type(key, item, "a table"),
        };
        items.iter().filter_map(table).collect()
    }

    fn nested(&self, key: &str, content: &'r DeTable<'t>, span: Span) -> Table<'r, 't> {
        let name = if self.name.is_empty() { key.to_owned() } else { format!("{}.{key}", self.name) };
        Table::new(name, content, span, self.errors.clone())
    }

    fn section_title(&self) -> String {
        if self.name.is_empty() { "the file".into() } else { format!("[{}]", self.name) }
    }

    /// Ends the reading of the table and reports every key that was not read as unknown.
    pub fn finish(self) {
        let known = self.known.borrow();
        let mut names: Vec<&str> = Vec::with_capacity(known.len());
        for name in known.iter() {
            if !names.contains(&name.as_str()) {
                names.push(name);
            }
        }
        for (key, _) in self.content {
            let name: &str = key.get_ref();
            if !names.contains(&name) {
                let (section, hint) = (self.section_title(), suggest(name, &names));
                self.error(key.span(), Problem::UnknownKey { key: name.to_owned(), section, hint });
            }
        }
    }
}

fn type_name(value: &DeValue<'_>) -> &'static str {
    match value {
        DeValue::String(_) => "a text",
        DeValue::Integer(_) => "a whole number",
        DeValue::Float(_) => "a number",
        DeValue::Boolean(_) => "true or false",
        DeValue::Datetime(_) => "a date",
        DeValue::Array(_) => "a list",
        DeValue::Table(_) => "a table",
    }
}
