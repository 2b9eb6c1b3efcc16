//! Printing: a closed standard output or standard error is no reason to stop.

/// Prints a line on standard output.
macro_rules! say {
    ($($part:tt)*) => {{
        use std::io::Write as _;
        let _ = writeln!(std::io::stdout(), $($part)*);
    }};
}

/// Prints a line on standard error.
macro_rules! warn {
    ($($part:tt)*) => {{
        use std::io::Write as _;
        let _ = writeln!(std::io::stderr(), $($part)*);
    }};
}
