//! Deltas between two site files.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

/// The characters at which a text is split into the pieces that are compared.
const PIECE_ENDS: [char; 2] = ['\n', '}'];

/// A text, expressed as copies of parts of an older text and as new parts.
///
/// The texts are compared in pieces that end at a line break or a closing brace.
/// A change of one service therefore adds little more than the text of that
/// service, even if the file changes elsewhere too or has no line breaks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    parts: Vec<Part>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum Part {
    /// A copy of bytes of the old text.
    Copy { from: u32, len: u32 },
    /// New text.
    Text(Box<str>),
}

impl Delta {
    /// Returns the delta from `old` to `new`.
    pub fn between(old: &str, new: &str) -> Self {
        let offsets = first_offsets(old);
        let mut parts = PartsBuilder::default();
        for piece in new.split_inclusive(PIECE_ENDS) {
            let continues_copy = old
                .get(parts.copied_to..)
                .is_some_and(|r| r.starts_with(piece));
            if continues_copy {
                parts.copy(parts.copied_to, piece.len());
            } else if let Some(offset) = offsets.get(piece) {
                parts.copy(*offset, piece.len());
            } else {
                parts.text.push_str(piece);
            }
        }
        Self {
            parts: parts.finish(),
        }
    }

    /// Returns the new text, or `None` if `old` does not contain a copied part.
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

/// Returns the offset of the first occurrence of each piece of a text.
fn first_offsets(text: &str) -> HashMap<&str, usize> {
    let mut offsets = HashMap::new();
    let mut offset = 0;
    for piece in text.split_inclusive(PIECE_ENDS) {
        offsets.entry(piece).or_insert(offset);
        offset += piece.len();
    }
    offsets
}

/// A builder of the parts of a delta, which merges adjacent copies and texts.
#[derive(Default)]
struct PartsBuilder {
    done: Vec<Part>,
    /// The start of the latest copy in the old text.
    copied_from: usize,
    /// The end of the latest copy in the old text.
    copied_to: usize,
    text: String,
}

impl PartsBuilder {
    fn copy(&mut self, from: usize, len: usize) {
        if from != self.copied_to || !self.text.is_empty() {
            self.flush();
            self.copied_from = from;
        }
        self.copied_to = from + len;
    }

    /// Finishes the current copy and the text after it.
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
