//! What became of one flow, from the lines of several processes.

use indexmap::IndexSet;

use crate::LogLine;

/// Picks the lines that tell what became of one flow: those that name it, and
/// those about the upstreams that it was sent to.
#[derive(Debug)]
pub struct FlowHistory {
    flow: Box<str>,
    lines: Vec<LogLine>,
}

impl FlowHistory {
    /// Starts the story of the flow with this id, as `CALLER>SERVICE`, or of
    /// the flows whose id contains it.
    pub fn new(flow: &str) -> Self {
        Self {
            flow: flow.into(),
            lines: Vec::new(),
        }
    }

    /// Takes a line of any process.
    pub fn push(&mut self, line: LogLine) {
        self.lines.push(line);
    }

    /// Returns the lines of the story, oldest first.
    ///
    /// Of the upstreams' lines, the newest before the flow began and those
    /// while it lasted are told.
    pub fn into_lines(mut self) -> Vec<LogLine> {
        self.lines.sort_by(|a, b| a.time().cmp(b.time()));
        let (own, others): (Vec<_>, Vec<_>) = self
            .lines
            .into_iter()
            .partition(|line| names(line, &self.flow));
        let (Some(first), Some(last)) = (own.first(), own.last()) else {
            return Vec::new();
        };
        let (begin, end) = (first.time().to_owned(), last.time().to_owned());
        let upstreams: IndexSet<_> = own
            .iter()
            .filter_map(|line| line.text("upstream"))
            .collect();
        let mut told: Vec<LogLine> = Vec::new();
        for upstream in upstreams {
            let about = |line: &&LogLine| {
                line.text("upstream") == Some(upstream) && line.text("flow").is_none()
            };
            let lines: Vec<_> = others.iter().filter(about).collect();
            let before = lines.iter().rfind(|line| line.time() < begin.as_str());
            let during = lines
                .iter()
                .filter(|line| line.time() >= begin.as_str() && line.time() <= end.as_str());
            told.extend(
                before
                    .into_iter()
                    .chain(during)
                    .map(|line| LogLine::clone(line)),
            );
        }
        told.extend(own);
        told.sort_by(|a, b| a.time().cmp(b.time()));
        told
    }
}

fn names(line: &LogLine, flow: &str) -> bool {
    line.text("flow").is_some_and(|named| named.contains(flow))
}
