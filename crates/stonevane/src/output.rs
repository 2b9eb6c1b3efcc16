//! Macros that print lines and ignore write errors: a command completes even if its output was closed.

/// Prints a line on standard output, ignoring errors.
macro_rules! outln {
    ($($part:tt)*) => {{
        use std::io::Write as _;
        let _ = writeln!(std::io::stdout(), $($part)*);
    }};
}

/// Prints a line on standard error, ignoring errors.
macro_rules! errln {
    ($($part:tt)*) => {{
        use std::io::Write as _;
        let _ = writeln!(std::io::stderr(), $($part)*);
    }};
}
