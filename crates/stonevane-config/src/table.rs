//! A table of a document, read key by key.

use std::cell::RefCell;
use std::fmt::Display;
use std::ops::RangeInclusive;

use toml::Spanned;
use toml::de::{DeTable, DeValue};

use crate::document::Errors;
use crate::{Place, Problem, suggest};

/// A table of a document, for the subsystem that owns it.
pub struct Table<'r, 't> {
    name: String,
    content: &'r DeTable<'t>,
    place: Place,
    /// The keys that were read.
    known: RefCell<Vec<String>>,
    errors: Errors,
}

impl<'r, 't> Table<'r, 't> {
    pub(crate) fn new(name: String, content: &'r DeTable<'t>, place: Place, errors: Errors) -> Self {
        Table { name, content, place, known: RefCell::default(), errors }
    }

    /// Its name in the document, empty for the root.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Where it stands.
    pub fn place(&self) -> Place {
        self.place.clone()
    }

    /// Reports an error at a place.
    pub fn error(&self, place: Place, problem: impl Into<Problem>) {
        self.errors.push(place, problem.into());
    }

    /// Reports that a key is missing.
    pub fn missing(&self, key: &str) {
        self.error(self.place(), Problem::MissingKey { key: key.to_owned(), section: self.title() });
    }

    /// Reports that a key's word is none of those known.
    pub fn unknown_word(&self, key: &str, word: &str, known: &[&str]) {
        let hint = suggest(word, known);
        let problem = Problem::UnknownWord { key: key.to_owned(), word: word.to_owned(), hint };
        self.error(self.place_of(key), problem);
    }

    fn get(&self, key: &str) -> Option<&'r Spanned<DeValue<'t>>> {
        self.known.borrow_mut().push(key.to_owned());
        self.content.iter().find(|(name, _)| name.get_ref() == key).map(|(_, value)| value)
    }

    /// Reports that a value has another type; returns nothing in its place.
    fn wrong_type<T>(&self, key: &str, value: &Spanned<DeValue<'t>>, expected: &'static str) -> Option<T> {
        let problem = Problem::WrongType { key: key.to_owned(), expected, found: type_name(value.get_ref()) };
        self.error(value.span(), problem);
        None
    }

    /// A number, where it is there and within its bounds; else that is reported.
    fn within<T: PartialOrd + Display>(
        &self,
        key: &str,
        place: Place,
        number: Option<T>,
        bounds: &RangeInclusive<T>,
    ) -> Option<T> {
        let number = number.filter(|number| bounds.contains(number));
        if number.is_none() {
            let (least, most) = (bounds.start().to_string(), bounds.end().to_string());
            self.error(place, Problem::OutOfBounds { key: key.to_owned(), least, most });
        }
        number
    }

    /// The keys that are there, in the order of the text. Each counts as known.
    pub fn keys(&self) -> Vec<(String, Place)> {
        let keys = self.content.iter().map(|(key, _)| (key.get_ref().to_string(), key.span()));
        let mut keys: Vec<(String, Place)> = keys.collect();
        keys.sort_by_key(|(_, place)| place.start);
        self.known.borrow_mut().extend(keys.iter().map(|(key, _)| key.clone()));
        keys
    }

    /// Whether a key is there.
    pub fn has(&self, key: &str) -> bool {
        self.get(key).is_some()
    }

    /// Where a key's value stands, or the table where the key is not there.
    pub fn place_of(&self, key: &str) -> Place {
        self.get(key).map_or(self.place(), Spanned::span)
    }

    /// A whole number within bounds.
    pub fn integer(&self, key: &str, default: u64, bounds: RangeInclusive<u64>) -> u64 {
        self.integer_if(key, bounds).unwrap_or(default)
    }

    /// A whole number within bounds, where it is there.
    pub fn integer_if(&self, key: &str, bounds: RangeInclusive<u64>) -> Option<u64> {
        let value = self.get(key)?;
        let DeValue::Integer(found) = value.get_ref() else {
            return self.wrong_type(key, value, "a whole number");
        };
        let number = u64::from_str_radix(found.as_str(), found.radix()).ok();
        self.within(key, value.span(), number, &bounds)
    }

    /// A number within bounds.
    pub fn number(&self, key: &str, default: f64, bounds: RangeInclusive<f64>) -> f64 {
        let Some(value) = self.get(key) else { return default };
        self.number_within(key, value, &bounds).unwrap_or(default)
    }

    /// A list of numbers, each within bounds.
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
        self.within(key, value.span(), number, bounds)
    }

    /// True or false.
    pub fn flag(&self, key: &str, default: bool) -> bool {
        let Some(value) = self.get(key) else { return default };
        match value.get_ref() {
            DeValue::Boolean(flag) => *flag,
            _ => self.wrong_type(key, value, "true or false").unwrap_or(default),
        }
    }

    /// A text, where it is there.
    pub fn text(&self, key: &str) -> Option<String> {
        let value = self.get(key)?;
        match value.get_ref() {
            DeValue::String(text) => Some(text.to_string()),
            _ => self.wrong_type(key, value, "a text in quotes"),
        }
    }

    /// A text that must be there.
    pub fn required(&self, key: &str) -> String {
        if !self.has(key) {
            self.missing(key);
        }
        self.text(key).unwrap_or_default()
    }

    /// One of a few words, each with its meaning.
    pub fn one_of<T: Copy>(&self, key: &str, words: &[(&str, T)]) -> Option<T> {
        let text = self.text(key)?;
        let found = words.iter().find(|(word, _)| *word == text).map(|(_, value)| *value);
        if found.is_none() {
            let known: Vec<_> = words.iter().map(|(word, _)| *word).collect();
            self.unknown_word(key, &text, &known);
        }
        found
    }

    /// A list of texts, each with its place.
    pub fn texts(&self, key: &str) -> Vec<(String, Place)> {
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

    /// A list of texts, or one text alone, each with its place; none where the key is not there.
    pub fn texts_or_text(&self, key: &str) -> Vec<(String, Place)> {
        match self.get(key).map(|value| (value.get_ref(), value.span())) {
            Some((DeValue::String(text), place)) => vec![(text.to_string(), place)],
            _ => self.texts(key),
        }
    }

    /// A table within, where it is there.
    pub fn table(&self, key: &str) -> Option<Table<'r, 't>> {
        let value = self.get(key)?;
        match value.get_ref() {
            DeValue::Table(content) => Some(self.inner(key, content, value.span())),
            _ => self.wrong_type(key, value, "a table"),
        }
    }

    /// The tables of a list, `[[key]]`.
    pub fn tables(&self, key: &str) -> Vec<Table<'r, 't>> {
        let Some(value) = self.get(key) else { return Vec::new() };
        let DeValue::Array(items) = value.get_ref() else {
            return self.wrong_type(key, value, "a list of tables").unwrap_or_default();
        };
        let table = |item: &'r Spanned<DeValue<'t>>| match item.get_ref() {
            DeValue::Table(content) => Some(self.inner(key, content, item.span())),
            _ => self.wrong_type(key, item, "a table"),
        };
        items.iter().filter_map(table).collect()
    }

    fn inner(&self, key: &str, content: &'r DeTable<'t>, place: Place) -> Table<'r, 't> {
        let name = if self.name.is_empty() { key.to_owned() } else { format!("{}.{key}", self.name) };
        Table::new(name, content, place, self.errors.clone())
    }

    fn title(&self) -> String {
        if self.name.is_empty() { "the file".into() } else { format!("[{}]", self.name) }
    }

    /// All keys have been read: any other is unknown.
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
                let (section, hint) = (self.title(), suggest(name, &names));
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
