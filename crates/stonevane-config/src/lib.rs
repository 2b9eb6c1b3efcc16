//! Files that people write, in TOML, read whole: every fault is listed with its line and column, and a key
//! that is not known is refused with the nearest one that is.
//!
//! A [`Document`] is parsed once. Each subsystem reads the [`Table`]s that it owns, key by key with a default
//! and bounds; what was never asked for is unknown. Nothing here reads a file or knows a subsystem.
//!
//! ```
//! let mut document = stonevane_config::Document::parse("[clients]\nidel_ms = 5\n");
//! let root = document.root();
//! if let Some(clients) = root.table("clients") {
//!     assert_eq!(clients.integer("idle_ms", 15_000, 100..=60_000), 15_000);
//!     clients.finish();
//! }
//! root.finish();
//! let faults = document.faults();
//! assert_eq!(faults[0].to_string(), "line 2, column 1: unknown key `idel_ms` in [clients]; did you mean `idle_ms`?");
//! ```

pub mod operator;

use std::cell::RefCell;
use std::fmt;
use std::ops::{Range, RangeInclusive};
use std::rc::Rc;

use toml::Spanned;
use toml::de::{DeTable, DeValue};

/// The longest file that is read, in bytes.
pub const MAX_FILE: usize = 1 << 20;

/// What is wrong at a place.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Fault {
    /// From 1.
    pub line: usize,
    /// From 1, in characters.
    pub column: usize,
    /// One line that says it.
    pub what: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}, column {}: {}", self.line, self.column, self.what)
    }
}

/// Where something stands in a document, in bytes.
pub type Place = Range<usize>;

/// A document and what is wrong with it so far.
pub struct Document<'t> {
    text: &'t str,
    root: Spanned<DeTable<'t>>,
    faults: Rc<RefCell<Vec<(Place, String)>>>,
}

impl<'t> Document<'t> {
    /// Parses a text; what can't be parsed is a fault like any other.
    pub fn parse(text: &'t str) -> Self {
        let (root, errors) = match text.len() > MAX_FILE {
            true => DeTable::parse_recoverable(""),
            false => DeTable::parse_recoverable(text),
        };
        let place = |e: &toml::de::Error| e.span().unwrap_or(0..0);
        let mut faults: Vec<_> = errors.iter().map(|e| (place(e), one_line(e.message()))).collect();
        if text.len() > MAX_FILE {
            faults.push((0..0, format!("longer than {MAX_FILE} bytes")));
        }
        Document { text, root, faults: Rc::new(RefCell::new(faults)) }
    }

    /// The table that holds all.
    pub fn root(&self) -> Table<'_, 't> {
        let faults = self.faults.clone();
        Table {
            name: String::new(),
            table: self.root.get_ref(),
            place: 0..0,
            known: RefCell::default(),
            faults,
        }
    }

    /// All that is wrong, in the order of the text.
    pub fn faults(&mut self) -> Vec<Fault> {
        let mut faults = self.faults.borrow().clone();
        faults.sort_by_key(|(place, _)| place.start);
        faults.dedup();
        let at = |(place, what): (Place, String)| {
            let start =
                (0..=place.start.min(self.text.len())).rev().find(|at| self.text.is_char_boundary(*at));
            let before = &self.text[..start.unwrap_or(0)];
            let line = before.matches('\n').count() + 1;
            let column = before.rsplit('\n').next().unwrap_or("").chars().count() + 1;
            Fault { line, column, what }
        };
        faults.into_iter().map(at).collect()
    }
}

fn one_line(text: &str) -> String {
    text.lines().map(str::trim).collect::<Vec<_>>().join(", ")
}

/// A table of a document, on behalf of whoever owns it.
pub struct Table<'r, 't> {
    name: String,
    table: &'r DeTable<'t>,
    place: Place,
    known: RefCell<Vec<String>>,
    faults: Rc<RefCell<Vec<(Place, String)>>>,
}

impl<'r, 't> Table<'r, 't> {
    /// Its name in the document, empty for the root.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Where it stands.
    pub fn place(&self) -> Place {
        self.place.clone()
    }

    /// Says that something is wrong at a place.
    pub fn fault(&self, place: Place, what: impl Into<String>) {
        self.faults.borrow_mut().push((place, what.into()));
    }

    fn get(&self, key: &str) -> Option<&'r Spanned<DeValue<'t>>> {
        self.known.borrow_mut().push(key.to_owned());
        self.table.iter().find(|(name, _)| name.get_ref() == key).map(|(_, value)| value)
    }

    fn wrong<T>(&self, key: &str, value: &Spanned<DeValue<'t>>, wanted: &str) -> Option<T> {
        let what = format!("`{key}` is to be {wanted}, and is {}", kind(value.get_ref()));
        self.fault(value.span(), what);
        None
    }

    /// The keys that are there, in the order of the text. Each counts as known.
    pub fn keys(&self) -> Vec<(String, Place)> {
        let keys = self.table.iter().map(|(key, _)| (key.get_ref().to_string(), key.span()));
        let mut keys: Vec<(String, Place)> = keys.collect();
        keys.sort_by_key(|(_, place)| place.start);
        self.known.borrow_mut().extend(keys.iter().map(|(key, _)| key.clone()));
        keys
    }

    /// Whether a key is there.
    pub fn has(&self, key: &str) -> bool {
        self.get(key).is_some()
    }

    /// Where a key's value stands, or the table where it is not there.
    pub fn place_of(&self, key: &str) -> Place {
        self.get(key).map_or(self.place(), toml::Spanned::span)
    }

    /// A whole number within bounds.
    pub fn integer(&self, key: &str, default: u64, bounds: RangeInclusive<u64>) -> u64 {
        self.integer_if(key, bounds).unwrap_or(default)
    }

    /// A whole number within bounds, where it is there.
    pub fn integer_if(&self, key: &str, bounds: RangeInclusive<u64>) -> Option<u64> {
        let value = self.get(key)?;
        let DeValue::Integer(found) = value.get_ref() else {
            return self.wrong(key, value, "a whole number");
        };
        let number = u64::from_str_radix(found.as_str(), found.radix()).ok();
        let number = number.filter(|number| bounds.contains(number));
        if number.is_none() {
            let what = format!("`{key}` is to be from {} to {}", bounds.start(), bounds.end());
            self.fault(value.span(), what);
        }
        number
    }

    /// A number within bounds.
    pub fn number(&self, key: &str, default: f64, bounds: RangeInclusive<f64>) -> f64 {
        let Some(value) = self.get(key) else { return default };
        self.within(key, value, &bounds).unwrap_or(default)
    }

    /// A list of numbers, each within bounds.
    pub fn numbers(&self, key: &str, bounds: RangeInclusive<f64>) -> Vec<f64> {
        let Some(value) = self.get(key) else { return Vec::new() };
        let DeValue::Array(items) = value.get_ref() else {
            return self.wrong(key, value, "a list of numbers").unwrap_or_default();
        };
        items.iter().filter_map(|item| self.within(key, item, &bounds)).collect()
    }

    fn within(&self, key: &str, value: &Spanned<DeValue<'t>>, bounds: &RangeInclusive<f64>) -> Option<f64> {
        let number: Option<f64> = match value.get_ref() {
            DeValue::Float(found) => found.as_str().parse().ok(),
            DeValue::Integer(found) => found.as_str().parse().ok(),
            _ => return self.wrong(key, value, "a number"),
        };
        let number = number.filter(|number| bounds.contains(number));
        if number.is_none() {
            let what = format!("`{key}` is to be from {} to {}", bounds.start(), bounds.end());
            self.fault(value.span(), what);
        }
        number
    }

    /// True or false.
    pub fn flag(&self, key: &str, default: bool) -> bool {
        let Some(value) = self.get(key) else { return default };
        match value.get_ref() {
            DeValue::Boolean(flag) => *flag,
            _ => self.wrong(key, value, "true or false").unwrap_or(default),
        }
    }

    /// A text, where it is there.
    pub fn text(&self, key: &str) -> Option<String> {
        let value = self.get(key)?;
        match value.get_ref() {
            DeValue::String(text) => Some(text.to_string()),
            _ => self.wrong(key, value, "a text in quotes"),
        }
    }

    /// A text that must be there.
    pub fn required(&self, key: &str) -> String {
        if !self.has(key) {
            self.fault(self.place(), format!("`{key}` is missing in {}", self.title()));
        }
        self.text(key).unwrap_or_default()
    }

    /// One of a few words; where it is none of them, the fault names the nearest.
    pub fn one_of<T: Copy>(&self, key: &str, words: &[(&str, T)]) -> Option<T> {
        let text = self.text(key)?;
        let found = words.iter().find(|(word, _)| *word == text).map(|(_, value)| *value);
        if found.is_none() {
            let names: Vec<_> = words.iter().map(|(word, _)| *word).collect();
            let what = format!("`{key}` has no `{text}`{}", suggest(&text, &names));
            self.fault(self.place_of(key), what);
        }
        found
    }

    /// A list of texts, each with its place.
    pub fn texts(&self, key: &str) -> Vec<(String, Place)> {
        let Some(value) = self.get(key) else { return Vec::new() };
        let DeValue::Array(items) = value.get_ref() else {
            return self.wrong(key, value, "a list of texts").unwrap_or_default();
        };
        let text = |item: &Spanned<DeValue<'t>>| match item.get_ref() {
            DeValue::String(text) => Some((text.to_string(), item.span())),
            _ => self.wrong(key, item, "a list of texts"),
        };
        items.iter().filter_map(text).collect()
    }

    /// A list of texts, or one text alone, each with its place; none where it is not there.
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
            DeValue::Table(table) => Some(self.inner(key, table, value.span())),
            _ => self.wrong(key, value, "a table"),
        }
    }

    /// The tables of a list, `[[key]]`.
    pub fn tables(&self, key: &str) -> Vec<Table<'r, 't>> {
        let Some(value) = self.get(key) else { return Vec::new() };
        let DeValue::Array(items) = value.get_ref() else {
            return self.wrong(key, value, "a list of tables").unwrap_or_default();
        };
        let table = |item: &'r Spanned<DeValue<'t>>| match item.get_ref() {
            DeValue::Table(table) => Some(self.inner(key, table, item.span())),
            _ => self.wrong(key, item, "a table"),
        };
        items.iter().filter_map(table).collect()
    }

    fn inner(&self, key: &str, table: &'r DeTable<'t>, place: Place) -> Table<'r, 't> {
        let name = if self.name.is_empty() { key.to_owned() } else { format!("{}.{key}", self.name) };
        Table { name, table, place, known: RefCell::default(), faults: self.faults.clone() }
    }

    fn title(&self) -> String {
        if self.name.is_empty() { "the file".into() } else { format!("[{}]", self.name) }
    }

    /// All keys have been asked for: any other is unknown.
    pub fn finish(self) {
        let known = self.known.borrow();
        let mut names: Vec<&str> = Vec::with_capacity(known.len());
        for name in known.iter() {
            if !names.contains(&name.as_str()) {
                names.push(name);
            }
        }
        for (key, _) in self.table {
            let name: &str = key.get_ref();
            if !names.contains(&name) {
                let what = format!("unknown key `{name}` in {}{}", self.title(), suggest(name, &names));
                self.fault(key.span(), what);
            }
        }
    }
}

fn kind(value: &DeValue<'_>) -> &'static str {
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

/// The nearest of some names, if one is near, in the words of a fault.
pub fn suggest(name: &str, known: &[&str]) -> String {
    let nearest = known.iter().min_by_key(|other| strsim::damerau_levenshtein(name, other));
    match nearest.filter(|other| strsim::damerau_levenshtein(name, other) <= 1 + name.len() / 3) {
        Some(other) => format!("; did you mean `{other}`?"),
        None if known.is_empty() => String::new(),
        None => format!("; known: {}", known.join(", ")),
    }
}
