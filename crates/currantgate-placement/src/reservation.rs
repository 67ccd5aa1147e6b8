//! Slots that are reserved for one entry among those of its failure domain.

/// Returns the part of each upstream's slots that is reserved for an entry, from 0 to 1.
///
/// The slots, in the order of the upstreams, are divided evenly among the `entries`
/// reporting entries of a domain by their positions. An entry that places its flows on
/// its own part first knows most of the load there.
pub(crate) fn reserved_parts(slots: &[f64], position: u16, entries: u16) -> Vec<f64> {
    let total: f64 = slots.iter().sum();
    let entries = f64::from(entries.max(1));
    let from = total * f64::from(position) / entries;
    let to = total * (f64::from(position) + 1.0) / entries;
    let mut start = 0.0;
    let part = |slots: &f64| {
        let end = start + slots;
        let overlap = (to.min(end) - from.max(start)).max(0.0);
        start = end;
        if *slots > 0.0 {
            (overlap / slots).min(1.0)
        } else {
            0.0
        }
    };
    slots.iter().map(part).collect()
}
