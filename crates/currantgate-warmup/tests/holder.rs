//! Permits at an entry.

use std::time::{Duration, Instant};

use currantgate_warmup::{ColdService, PERMIT_LIFETIME, Permit, PermitHolder};

const KEY: u32 = 7;
const PERMIT: Permit = Permit { key: KEY, count: 2 };

/// Returns a holder that has sent a request at the returned time.
fn requesting() -> (PermitHolder, Instant, u32) {
    let now = Instant::now();
    let mut holder = PermitHolder::new(now, 0);
    let cold = ColdService {
        service: "booking".into(),
        limit: 5,
        keys: vec![KEY],
    };
    holder.set_cold(now, [cold]);
    assert_eq!(holder.next_request(now), None, "no flows arrive");
    holder.record_flow(now, "booking");
    let now = now + Duration::from_millis(20);
    let request = holder.next_request(now).unwrap();
    assert_eq!(request.wanted[0].keys, [KEY]);
    (holder, now, request.number)
}

/// Guards against a lifetime that starts when the answer arrives: the issuer counts from
/// when it grants the permit.
#[test]
fn a_permit_expires_by_the_time_of_its_request() {
    let (mut holder, sent, number) = requesting();
    let pace = Duration::from_millis(20);
    holder.receive(sent + PERMIT_LIFETIME / 2, number, pace, &[PERMIT]);
    let last = sent + PERMIT_LIFETIME - Duration::from_millis(1);
    assert!(holder.try_use(last, KEY));
    assert!(!holder.try_use(sent + PERMIT_LIFETIME, KEY));
    holder.record_flow(sent + PERMIT_LIFETIME, "booking");
    let settled = holder.next_request(sent + PERMIT_LIFETIME).unwrap().settled;
    assert_eq!(settled[0].unused, 1);
    assert!(settled[0].used_within_ms >= 249);
}

/// Guards against the use of permits whose age is not known: of a late or repeated answer,
/// and from before a suspension.
#[test]
fn permits_of_unknown_age_are_dropped() {
    let pace = Duration::from_millis(20);
    let (mut holder, sent, number) = requesting();
    holder.receive(sent + PERMIT_LIFETIME, number, pace, &[PERMIT]);
    assert!(!holder.try_use(sent + PERMIT_LIFETIME, KEY), "late");

    let (mut holder, sent, number) = requesting();
    holder.receive(sent, number, pace, &[PERMIT]);
    holder.receive(sent, number, pace, &[PERMIT]);
    assert!(holder.try_use(sent, KEY) && holder.try_use(sent, KEY));
    assert!(!holder.try_use(sent, KEY), "repeated");

    let (mut holder, sent, number) = requesting();
    holder.receive(sent, number, pace, &[PERMIT]);
    holder.clear(sent);
    assert!(!holder.try_use(sent, KEY), "after a suspension");

    let (mut holder, sent, number) = requesting();
    holder.clear(sent);
    holder.receive(sent, number, pace, &[PERMIT]);
    assert!(!holder.try_use(sent, KEY), "requested before a suspension");
}

/// Guards against entries that send too many requests to a leader which does not answer.
#[test]
fn unanswered_requests_become_rare() {
    let (mut holder, sent, _) = requesting();
    let mut count = 0;
    for ms in 0..20_000 {
        let now = sent + Duration::from_millis(ms);
        holder.record_flow(now, "booking");
        count += usize::from(holder.next_request(now).is_some());
    }
    assert!((5..=10).contains(&count), "{count} requests in 20 s");
}
