//! Prints measured figures beside their targets.

#![allow(dead_code, reason = "each benchmark uses a part of it")]

/// Collects the targets that were missed.
#[derive(Debug, Default)]
pub(crate) struct Report {
    missed: Vec<String>,
    header_printed: bool,
}

impl Report {
    /// Prints a figure without a target.
    pub(crate) fn print(&mut self, name: &str, value: f64) {
        self.line(name, value, "");
    }

    /// Prints a figure that must be at most `most`.
    pub(crate) fn at_most(&mut self, name: &str, value: f64, most: f64) {
        self.line(name, value, &format!("<= {most}"));
        if value.is_nan() || value > most {
            self.missed.push(format!("{name}: {value} is above {most}"));
        }
    }

    /// Prints a figure that must be at least `least`.
    pub(crate) fn at_least(&mut self, name: &str, value: f64, least: f64) {
        self.line(name, value, &format!(">= {least}"));
        if value.is_nan() || value < least {
            self.missed
                .push(format!("{name}: {value} is below {least}"));
        }
    }

    fn line(&mut self, name: &str, value: f64, target: &str) {
        if !self.header_printed {
            println!("{:<58} | {:>12} | target", "figure", "measured");
            self.header_printed = true;
        }
        println!("{name:<58} | {value:>12.3} | {target}");
    }

    /// Ends the benchmark.
    ///
    /// # Panics
    ///
    /// Panics if a target was missed.
    pub(crate) fn finish(self) {
        assert!(self.missed.is_empty(), "missed: {}", self.missed.join("; "));
    }
}

/// Returns the resident memory of the process, in bytes.
pub(crate) fn resident_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").expect("Linux has it");
    let pages = text
        .split_whitespace()
        .nth(1)
        .and_then(|n| n.parse::<u64>().ok());
    pages.expect("the second field is a number") * 4_096
}
