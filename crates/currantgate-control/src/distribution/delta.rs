//! What changed between two site files.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

/// What ends a part of a text that is compared whole.
const ENDS: [char; 2] = ['\n', '}'];

/// A text made of parts of an older text and of new parts.
///
/// Lines are compared whole, and so is what ends with a brace: a change of one
/// service costs little more than its part, wherever else the file changed too
/// and whether or not its author breaks lines.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    parts: Vec<Part>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum Part {
    /// Bytes of the old text.
    Copy { from: u32, len: u32 },
    /// Bytes of the new text alone.
    Text(Box<str>),
}

impl Delta {
    /// Returns what makes `new` from `old`.
    pub fn between(old: &str, new: &str) -> Self {
        let starts = first_starts(old);
        let mut parts = Parts::default();
        for line in new.split_inclusive(ENDS) {
            let follows = old
                .get(parts.copied_to..)
                .is_some_and(|r| r.starts_with(line));
            if follows {
                parts.copy(parts.copied_to, line.len());
            } else if let Some(start) = starts.get(line) {
                parts.copy(*start, line.len());
            } else {
                parts.text.push_str(line);
            }
        }
        Self {
            parts: parts.finish(),
        }
    }

    /// Makes the new text from `old`, or nothing when a part is not in it.
    pub fn apply(&self, old: &str) -> Option<String> {
        let mut new = String::with_capacity(old.len());
        for part in &self.parts {
            new.push_str(part.resolve(old)?);
        }
        Some(new)
    }
}

impl Part {
    fn resolve<'a>(&'a self, old: &'a str) -> Option<&'a str> {
        match self {
            Self::Copy { from, len } => {
                let end = from.checked_add(*len)?;
                old.get(*from as usize..end as usize)
            }
            Self::Text(text) => Some(text),
        }
    }
}

/// Returns where each line of a text begins first.
fn first_starts(text: &str) -> HashMap<&str, usize> {
    let mut starts = HashMap::new();
    let mut start = 0;
    for line in text.split_inclusive(ENDS) {
        starts.entry(line).or_insert(start);
        start += line.len();
    }
    starts
}

/// Parts under construction: a copy or a text that may still grow.
#[derive(Default)]
struct Parts {
    done: Vec<Part>,
    copied_from: usize,
    /// Where the latest copy ends in the old text.
    copied_to: usize,
    text: String,
}

impl Parts {
    fn copy(&mut self, from: usize, len: usize) {
        if from != self.copied_to || !self.text.is_empty() {
            self.flush();
            self.copied_from = from;
        }
        self.copied_to = from + len;
    }

    /// Ends the copy and the text after it.
    fn flush(&mut self) {
        if self.copied_to > self.copied_from {
            self.done.push(Part::Copy {
                from: self.copied_from as u32,
                len: (self.copied_to - self.copied_from) as u32,
            });
            self.copied_from = self.copied_to;
        }
        if !self.text.is_empty() {
            let text = std::mem::take(&mut self.text);
            self.done.push(Part::Text(text.into()));
        }
    }

    fn finish(mut self) -> Vec<Part> {
        self.flush();
        self.done
    }
}
