//! Permits of an issuer.

use std::time::Instant;

use currantgate_warmup::{GRANT_SPAN, Permit, PermitIssuer, PermitRequest, PermitsRequest};

/// Guards against more permits than the limit for a request that repeats a key.
#[test]
fn a_repeated_key_counts_once() {
    let start = Instant::now();
    let mut issuer = PermitIssuer::new(start);
    let request = PermitsRequest {
        number: 1,
        wanted: vec![PermitRequest {
            keys: vec![7, 7, 8, 7],
            limit: 5,
            count: 20,
        }],
        settled: Vec::new(),
    };
    let answer = issuer.answer(start + GRANT_SPAN, 1, &request);
    let all = [7, 8].map(|key| Permit { key, count: 5 });
    assert_eq!(answer.permits, all);
}
