//! Errors in a document.

/// An error with its position in the document.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
#[error("line {line}, column {column}: {problem}")]
pub struct ConfigError {
    /// Line number, from 1.
    pub line: usize,
    /// Column in characters, from 1.
    pub column: usize,
    /// Description of the error.
    pub problem: Problem,
}

/// Description of an error, displayed as one line of text.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
pub enum Problem {
    /// The text is not valid TOML.
    #[error("{0}")]
    Syntax(String),
    /// The document is too long.
    #[error("longer than {limit} bytes")]
    TooLong {
        /// The longest accepted document, in bytes.
        limit: usize,
    },
    /// No subsystem reads the key.
    #[error("unknown key `{key}` in {section}{hint}")]
    UnknownKey {
        /// Name of the key.
        key: String,
        /// Section of the key, in brackets.
        section: String,
        /// The nearest known key, as formatted by [`suggest`].
        hint: String,
    },
    /// A required key is missing.
    #[error("`{key}` is missing in {section}")]
    MissingKey {
        /// Name of the key.
        key: String,
        /// Section of the key, in brackets.
        section: String,
    },
    /// The value has the wrong type.
    #[error("`{key}` is to be {expected}, and is {found}")]
    WrongType {
        /// Name of the key.
        key: String,
        /// The accepted type.
        expected: &'static str,
        /// The actual type.
        found: &'static str,
    },
    /// The number is out of bounds.
    #[error("`{key}` is to be from {least} to {most}")]
    OutOfBounds {
        /// Name of the key.
        key: String,
        /// Smallest accepted number.
        least: String,
        /// Largest accepted number.
        most: String,
    },
    /// The value is not one of the key's accepted words.
    #[error("`{key}` has no `{word}`{hint}")]
    UnknownValue {
        /// Name of the key.
        key: String,
        /// The rejected value.
        word: String,
        /// The nearest accepted word, as formatted by [`suggest`].
        hint: String,
    },
    /// A violated rule of the subsystem that owns the section.
    #[error("{0}")]
    Rule(String),
}

impl From<String> for Problem {
    fn from(rule: String) -> Problem {
        Problem::Rule(rule)
    }
}

impl From<&str> for Problem {
    fn from(rule: &str) -> Problem {
        Problem::Rule(rule.to_owned())
    }
}

/// Formats a hint for the end of an error's text: the known name nearest to `name` if one is similar,
/// otherwise all known names.
pub fn suggest(name: &str, known: &[&str]) -> String {
    let nearest = known.iter().min_by_key(|other| strsim::damerau_levenshtein(name, other));
    match nearest.filter(|other| strsim::damerau_levenshtein(name, other) <= 1 + name.len() / 3) {
        Some(other) => format!("; did you mean `{other}`?"),
        None if known.is_empty() => String::new(),
        None => format!("; known: {}", known.join(", ")),
    }
}
