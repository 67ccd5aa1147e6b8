//! A table of measured figures and their targets.

/// A table that prints each figure immediately, and panics at the end if a figure
/// exceeds its target.
#[derive(Default)]
pub(crate) struct Table {
    /// The figures that exceed their targets.
    exceeded: Vec<String>,
}

impl Table {
    pub(crate) fn new() -> Self {
        println!("{:<56} | {:>14} | {:>10}", "figure", "measured", "target");
        Self::default()
    }

    /// Prints a figure without a target.
    pub(crate) fn show(&mut self, figure: &str, measured: f64) {
        println!("{figure:<56} | {measured:>14.3} | {:>10}", "-");
    }

    /// Prints a figure with a target that is not enforced.
    pub(crate) fn show_target(&mut self, figure: &str, measured: f64, target: f64) {
        println!(
            "{figure:<56} | {measured:>14.3} | {:>10}",
            format!("({target})")
        );
    }

    /// Prints a figure with a target that it must not exceed.
    pub(crate) fn at_most(&mut self, figure: &str, measured: f64, target: f64) {
        println!(
            "{figure:<56} | {measured:>14.3} | {:>10}",
            format!("<= {target}")
        );
        if measured > target {
            self.exceeded
                .push(format!("{figure}: {measured:.3} > {target}"));
        }
    }

    pub(crate) fn finish(self) {
        assert!(
            self.exceeded.is_empty(),
            "figures exceed their targets: {}",
            self.exceeded.join("; ")
        );
    }
}
