//! What can be wrong in a file.

/// An error in a file, at a place.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
#[error("line {line}, column {column}: {problem}")]
pub struct ConfigError {
    /// From 1.
    pub line: usize,
    /// From 1, in characters.
    pub column: usize,
    /// What is wrong there.
    pub problem: Problem,
}

/// What is wrong at a place; one line of text.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
pub enum Problem {
    /// The text is no TOML.
    #[error("{0}")]
    Syntax(String),
    /// The file is too long.
    #[error("longer than {limit} bytes")]
    TooLong {
        /// The limit, in bytes.
        limit: usize,
    },
    /// A key that nothing reads.
    #[error("unknown key `{key}` in {section}{hint}")]
    UnknownKey {
        /// The key.
        key: String,
        /// Its section.
        section: String,
        /// The nearest known key, as [`suggest`] words it.
        hint: String,
    },
    /// A key that must be there.
    #[error("`{key}` is missing in {section}")]
    MissingKey {
        /// The key.
        key: String,
        /// Its section.
        section: String,
    },
    /// A value of another type.
    #[error("`{key}` is to be {expected}, and is {found}")]
    WrongType {
        /// The key.
        key: String,
        /// The type that it must have.
        expected: &'static str,
        /// The type that it has.
        found: &'static str,
    },
    /// A number out of its bounds.
    #[error("`{key}` is to be from {least} to {most}")]
    OutOfBounds {
        /// The key.
        key: String,
        /// The lower bound.
        least: String,
        /// The upper bound.
        most: String,
    },
    /// A word that is none of a key's.
    #[error("`{key}` has no `{word}`{hint}")]
    UnknownWord {
        /// The key.
        key: String,
        /// The word.
        word: String,
        /// The nearest known word, as [`suggest`] words it.
        hint: String,
    },
    /// A rule of the subsystem that owns the section.
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

/// The nearest of some names where one is near, worded as the end of an error's text.
pub fn suggest(name: &str, known: &[&str]) -> String {
    let nearest = known.iter().min_by_key(|other| strsim::damerau_levenshtein(name, other));
    match nearest.filter(|other| strsim::damerau_levenshtein(name, other) <= 1 + name.len() / 3) {
        Some(other) => format!("; did you mean `{other}`?"),
        None if known.is_empty() => String::new(),
        None => format!("; known: {}", known.join(", ")),
    }
}
