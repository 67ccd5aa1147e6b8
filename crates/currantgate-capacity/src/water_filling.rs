//! The division of demand among failure domains.

/// Demand and slots of one failure domain.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DomainLoad {
    /// Demand of the domain's callers, in slots.
    pub demand: f64,
    /// Slots of its upstreams, those of slow ones at their speed.
    pub slots: f64,
}

/// Returns the weights of the domains for new flows of the callers of `domains[local]`.
/// They add up to 1. Returns nothing when there are no slots.
///
/// All domains are filled up to the same cap at most: `local_fill`, or the load of the
/// fleet if that is higher. What exceeds the cap goes to the other domains in proportion
/// to their room below it. The weights are continuous in all inputs, so that no entry
/// moves much of its load at once.
pub fn divide(domains: &[DomainLoad], local: usize, local_fill: f64) -> Option<Vec<f64>> {
    let slots: f64 = domains.iter().map(|domain| domain.slots).sum();
    let demand: f64 = domains.iter().map(|domain| domain.demand).sum();
    if slots <= 0.0 {
        return None;
    }
    let cap = local_fill.max(demand / slots);
    let room = |domain: &DomainLoad| (cap * domain.slots - domain.demand).max(0.0);
    let own = domains.get(local).copied().unwrap_or_default();
    let kept = if own.slots <= 0.0 {
        0.0
    } else if own.demand <= cap * own.slots {
        1.0
    } else {
        cap * own.slots / own.demand
    };
    let mut weights: Vec<f64> = domains.iter().map(room).collect();
    if let Some(own) = weights.get_mut(local) {
        *own = 0.0;
    }
    let total: f64 = weights.iter().sum();
    if total <= 0.0 && kept > 0.0 {
        // Without room elsewhere, only what rounding leaves would be moved.
        weights[local] = 1.0;
    } else if total <= 0.0 {
        weights = domains.iter().map(|domain| domain.slots / slots).collect();
    } else {
        for weight in &mut weights {
            *weight *= (1.0 - kept) / total;
        }
        if let Some(own) = weights.get_mut(local) {
            *own = kept;
        }
    }
    Some(weights)
}
