//! Line-by-line comparison of two texts.

use derive_more::Display;

/// Maximum number of pairs of lines to compare; beyond it, all lines between
/// the common start and the common end count as changed.
const MAX_PAIRS: usize = 4_000_000;

/// A line of a diff.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub(crate) enum Line<'a> {
    /// Line in both texts.
    #[display(" {_0}")]
    Same(&'a str),
    /// Line only in the old text.
    #[display("-{_0}")]
    Removed(&'a str),
    /// Line only in the new text.
    #[display("+{_0}")]
    Added(&'a str),
}

impl Line<'_> {
    /// Returns whether the line is only in one of the texts.
    pub(crate) fn is_change(&self) -> bool {
        !matches!(self, Self::Same(_))
    }
}

/// Returns a diff of both texts with the largest number of common lines.
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
    let common = lcs_lengths(old, new);
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

/// Returns the length of the longest common subsequence of `old[i..]` and
/// `new[j..]` for each `i` and `j`.
fn lcs_lengths(old: &[&str], new: &[&str]) -> Vec<Vec<u32>> {
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
