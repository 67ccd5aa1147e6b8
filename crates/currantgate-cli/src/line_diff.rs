//! Compares two texts line by line.

use derive_more::Display;

/// The most pairs of lines to compare; beyond it, all lines between the
/// common ends count as changed.
const MAX_PAIRS: usize = 4_000_000;

/// One line of either text.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub(crate) enum Line<'a> {
    /// It is in both.
    #[display(" {_0}")]
    Same(&'a str),
    /// It is in the old text alone.
    #[display("-{_0}")]
    Removed(&'a str),
    /// It is in the new text alone.
    #[display("+{_0}")]
    Added(&'a str),
}

impl Line<'_> {
    /// Tells whether the line is in one text alone.
    pub(crate) fn is_change(&self) -> bool {
        !matches!(self, Self::Same(_))
    }
}

/// Returns the lines of both texts in order, with as many in common as can be.
pub(crate) fn diff<'a>(old: &'a str, new: &'a str) -> Vec<Line<'a>> {
    let old: Vec<_> = old.lines().collect();
    let new: Vec<_> = new.lines().collect();
    let head = old.iter().zip(&new).take_while(|(a, b)| a == b).count();
    let (old_rest, new_rest) = (&old[head..], &new[head..]);
    let pairs = old_rest.iter().rev().zip(new_rest.iter().rev());
    let tail = pairs.take_while(|(a, b)| a == b).count();

    let mut lines: Vec<_> = old[..head].iter().map(|line| Line::Same(line)).collect();
    let old_middle = &old_rest[..old_rest.len() - tail];
    let new_middle = &new_rest[..new_rest.len() - tail];
    lines.extend(diff_middle(old_middle, new_middle));
    let tail = &old[old.len() - tail..];
    lines.extend(tail.iter().map(|line| Line::Same(line)));
    lines
}

fn diff_middle<'a>(old: &[&'a str], new: &[&'a str]) -> Vec<Line<'a>> {
    if old.len().saturating_mul(new.len()) > MAX_PAIRS {
        let removed = old.iter().map(|line| Line::Removed(line));
        return removed
            .chain(new.iter().map(|line| Line::Added(line)))
            .collect();
    }
    let common = common_lengths(old, new);
    let (mut i, mut j) = (0, 0);
    let mut lines = Vec::new();
    while i < old.len() || j < new.len() {
        if i < old.len() && j < new.len() && old[i] == new[j] {
            lines.push(Line::Same(old[i]));
            i += 1;
            j += 1;
        } else if j == new.len() || (i < old.len() && common[i + 1][j] >= common[i][j + 1]) {
            lines.push(Line::Removed(old[i]));
            i += 1;
        } else {
            lines.push(Line::Added(new[j]));
            j += 1;
        }
    }
    lines
}

/// Returns how many lines the rests from each pair of lines on have in common.
fn common_lengths(old: &[&str], new: &[&str]) -> Vec<Vec<u32>> {
    let mut common = vec![vec![0; new.len() + 1]; old.len() + 1];
    for i in (0..old.len()).rev() {
        for j in (0..new.len()).rev() {
            common[i][j] = if old[i] == new[j] {
                common[i + 1][j + 1] + 1
            } else {
                common[i + 1][j].max(common[i][j + 1])
            };
        }
    }
    common
}
