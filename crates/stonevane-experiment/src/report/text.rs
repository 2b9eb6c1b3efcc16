//! Text form of a report.

use std::fmt;

use super::{Report, RunCounts, Section};
use crate::results::Build;

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (played, total) = (self.played.runs, self.played.total);
        let of_total = if total > played { format!(" of {total}") } else { String::new() };
        writeln!(f, "{}: {played} runs{of_total}", self.name)?;
        for result in &self.capacities {
            let (setting, build, capacity) = (&result.setting, result.build, &result.capacity);
            writeln!(f, "{setting}, {build}: the load that it bears: {capacity}")?;
        }
        for section in &self.sections {
            write!(f, "{section}")?;
        }
        Ok(())
    }
}

impl fmt::Display for RunCounts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let RunCounts { played, holds, broken, not_run } = self;
        write!(f, "{played} runs, {holds} hold, {broken} break a rule, {not_run} not run")
    }
}

impl fmt::Display for Section {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "\n{}", self.setting)?;
        for (build, counts) in Build::ALL.iter().zip(&self.runs) {
            writeln!(f, "  {build}: {counts}")?;
        }
        if !self.codes.is_empty() {
            writeln!(f, "  rules broken: {}", self.codes.join(", "))?;
        }
        for row in &self.rows {
            write!(f, "  {:<22}", row.figure)?;
            for median in &row.builds {
                write!(f, " {:>26}", median.map_or("-".into(), |median| median.to_string()))?;
            }
            if let Some(difference) = &row.difference {
                let verdict = if row.distinguishable { "differs" } else { "noise" };
                write!(f, "   B - A {difference} {verdict}")?;
            }
            writeln!(f)?;
        }
        for run in &self.worst {
            writeln!(f, "  worst: seed {}, {}, {}\n    {}", run.seed, run.build, run.what, run.command)?;
        }
        Ok(())
    }
}
