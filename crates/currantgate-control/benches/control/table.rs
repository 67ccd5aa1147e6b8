//! A table of figures beside their targets.

/// Prints figures as they come, and fails at the end when one is out of bounds.
#[derive(Default)]
pub(crate) struct Table {
    broken: Vec<String>,
}

impl Table {
    pub(crate) fn new() -> Self {
        println!("{:<56} | {:>14} | {:>10}", "figure", "measured", "target");
        Self::default()
    }

    /// Prints a figure that has no target.
    pub(crate) fn show(&mut self, figure: &str, measured: f64) {
        println!("{figure:<56} | {measured:>14.3} | {:>10}", "-");
    }

    /// Prints a figure beside a target that it does not have to keep here.
    pub(crate) fn show_target(&mut self, figure: &str, measured: f64, target: f64) {
        println!(
            "{figure:<56} | {measured:>14.3} | {:>10}",
            format!("({target})")
        );
    }

    /// Prints a figure that must not exceed its target.
    pub(crate) fn at_most(&mut self, figure: &str, measured: f64, target: f64) {
        println!(
            "{figure:<56} | {measured:>14.3} | {:>10}",
            format!("<= {target}")
        );
        if measured > target {
            self.broken
                .push(format!("{figure}: {measured:.3} > {target}"));
        }
    }

    pub(crate) fn finish(self) {
        assert!(
            self.broken.is_empty(),
            "out of bounds: {}",
            self.broken.join("; ")
        );
    }
}
