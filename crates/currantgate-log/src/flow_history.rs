//! Selects the log lines that concern one flow from the logs of several processes.

use indexmap::IndexSet;

use crate::LogLine;

/// Selects the lines that concern one flow: those with its id, those about the
/// upstreams that it was sent to, and those about the shares that decided.
#[derive(Debug)]
pub struct FlowHistory {
    flow: Box<str>,
    lines: Vec<LogLine>,
}

impl FlowHistory {
    /// Returns an empty history of the flow with the id `flow`, in the format
    /// `CALLER>SERVICE`, or of all flows whose id contains `flow`.
    pub fn new(flow: &str) -> Self {
        Self {
            flow: flow.into(),
            lines: Vec::new(),
        }
    }

    /// Adds a line of any process.
    pub fn push(&mut self, line: LogLine) {
        self.lines.push(line);
    }

    /// Returns the lines that concern the flow, oldest first.
    ///
    /// Of the lines about each upstream, these are the newest one before the
    /// flow's first line and those between its first and its last line. Of the lines
    /// about shares, these are the newest ones of the deciding entry before each decision.
    pub fn into_lines(mut self) -> Vec<LogLine> {
        self.lines.sort_by(|a, b| a.time().cmp(b.time()));
        let (own_lines, other_lines): (Vec<_>, Vec<_>) = self
            .lines
            .into_iter()
            .partition(|line| has_flow(line, &self.flow));
        let (Some(first), Some(last)) = (own_lines.first(), own_lines.last()) else {
            return Vec::new();
        };
        let (begin, end) = (first.time().to_owned(), last.time().to_owned());
        let upstreams: IndexSet<_> = own_lines
            .iter()
            .filter_map(|line| line.text("upstream"))
            .collect();
        let mut selected: Vec<LogLine> = Vec::new();
        for upstream in upstreams {
            let is_about = |line: &&LogLine| {
                line.text("upstream") == Some(upstream) && line.text("flow").is_none()
            };
            let lines: Vec<_> = other_lines.iter().filter(is_about).collect();
            let before = lines.iter().rfind(|line| line.time() < begin.as_str());
            let during = lines
                .iter()
                .filter(|line| line.time() >= begin.as_str() && line.time() <= end.as_str());
            selected.extend(
                before
                    .into_iter()
                    .chain(during)
                    .map(|line| LogLine::clone(line)),
            );
        }
        for decision in &own_lines {
            let shares = other_lines.iter().rfind(|line| decides(line, decision));
            selected.extend(shares.filter(|line| !selected.contains(line)).cloned());
        }
        selected.extend(own_lines);
        selected.sort_by(|a, b| a.time().cmp(b.time()));
        selected
    }
}

/// Returns whether `line` tells the shares by which the entry that logged `decision`
/// divided the flows of its service.
fn decides(line: &LogLine, decision: &LogLine) -> bool {
    let is_same = |name| line.text(name) == decision.text(name);
    line.text("event") == Some("shares")
        && decision.text("service").is_some()
        && is_same("service")
        && is_same("process")
        && line.time() <= decision.time()
}

/// Returns whether the line's flow id contains `flow`.
fn has_flow(line: &LogLine, flow: &str) -> bool {
    line.text("flow").is_some_and(|id| id.contains(flow))
}
