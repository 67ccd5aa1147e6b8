//! Cost of packets at an entry that routes by tokens: time, allocations and memory.

use std::alloc::{GlobalAlloc, Layout, System};
use std::cmp::Ordering;
use std::hash::Hasher as _;
use std::hint::black_box;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering::Relaxed;
use std::time::{Duration, Instant};

use currantgate_placement::{PlacementSettings, Target};
use currantgate_token::{
    Decision, FirstPacket, FlowId, LaterPacket, Route, RouteTable, TokenRouter, TokenSettings,
    TokenUpstream,
};
use siphasher::sip::SipHasher13;

/// Allocator that counts allocations and allocated bytes.
struct CountingAllocator;

static ALLOCATIONS: AtomicUsize = AtomicUsize::new(0);
static BYTES: AtomicUsize = AtomicUsize::new(0);

// SAFETY: all calls are passed to the system's allocator unchanged.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        ALLOCATIONS.fetch_add(1, Relaxed);
        BYTES.fetch_add(layout.size(), Relaxed);
        // SAFETY: the caller upholds the contract of `alloc`.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, ptr: *mut u8, layout: Layout) {
        BYTES.fetch_sub(layout.size(), Relaxed);
        // SAFETY: the caller upholds the contract of `dealloc`.
        unsafe { System.dealloc(ptr, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

const FLOWS: u32 = 30_000;
const ROUNDS: usize = 40;
const UPSTREAMS: u32 = 120;

/// Lowest packet rate, relative to that of a plain hash of the flow into a table of
/// upstreams: the same target as for buckets.
const MIN_RATE_TO_PLAIN_HASH: f64 = 0.7;

/// Most heap bytes per flow: 190 million open flows at 5,700 entries are 33,000 each,
/// which take 9 MB of the 256 MB.
const MAX_BYTES_PER_FLOW: usize = 268;

fn flow(n: u32) -> FlowId {
    let port = 1_024 + (n % 60_000) as u16;
    let caller = Ipv4Addr::from_bits(0x6440_0000 + n / 60_000);
    FlowId {
        caller: SocketAddrV4::new(caller, port),
        service: SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443),
    }
}

fn router(now: Instant) -> TokenRouter {
    let settings = TokenSettings {
        max_flows: FLOWS as usize,
        ..TokenSettings::default()
    };
    let mut router = TokenRouter::new(settings, PlacementSettings::default());
    let route = Route {
        services: vec![("booking".into(), 1)],
        timeout: Duration::from_secs(60),
        latency_target: Duration::from_millis(250),
        priority: 1,
        is_idempotent: true,
    };
    router.set_routes(RouteTable::new([(flow(0).service, route)]));
    router.set_routes_current(true);
    router.set_upstreams_complete(true);
    let upstreams = (1..=UPSTREAMS).map(|n| {
        let upstream = TokenUpstream {
            id: format!("i-{n:08x}").into(),
            started_ms: n.into(),
            address: SocketAddrV4::new(Ipv4Addr::from_bits(0x0a00_0000 + n), 80),
            identity: n.into(),
            is_named: true,
        };
        let target = Target {
            key: 0,
            service: "booking".into(),
            domain: "a".into(),
            is_local: true,
            slots: 2,
            warm_at: now,
            is_reporting: true,
        };
        (upstream, Some(target))
    });
    router.set_upstreams(upstreams.collect());
    router
}

/// Returns the time for a round of plain hashes of flows into a table of upstreams.
fn plain_hash(table: &[u32]) -> Duration {
    let start = Instant::now();
    for n in 0..FLOWS {
        let flow = flow(n);
        let mut hasher = SipHasher13::new_with_key(&[0; 16]);
        hasher.write_u32(flow.caller.ip().to_bits());
        hasher.write_u16(flow.caller.port());
        hasher.write_u32(flow.service.ip().to_bits());
        hasher.write_u16(flow.service.port());
        black_box(table[(hasher.finish() % 65_536) as usize]);
    }
    start.elapsed()
}

fn median<T: Copy>(mut values: Vec<T>, order: impl Fn(&T, &T) -> Ordering) -> T {
    values.sort_by(order);
    values[values.len() / 2]
}

fn main() {
    let now = Instant::now();
    let mut router = router(now);
    let before = BYTES.load(Relaxed);
    let mut tokens = Vec::with_capacity(FLOWS as usize);
    let list_bytes = FLOWS as usize * size_of::<u32>();
    for n in 0..FLOWS {
        let packet = FirstPacket {
            flow: flow(n),
            retransmissions: 0,
        };
        let Decision::Forward(hop) = router.route_first(now, packet).decision else {
            panic!("flow {n} is not placed");
        };
        tokens.push(hop.token);
    }
    let table_bytes = BYTES.load(Relaxed) - before - list_bytes;
    let per_flow = table_bytes / FLOWS as usize;

    let route_round = |router: &mut TokenRouter| {
        let start = Instant::now();
        for (n, token) in (0..FLOWS).zip(&tokens) {
            let packet = LaterPacket {
                flow: flow(n),
                token: *token,
                is_last: false,
            };
            black_box(router.route_later(now, packet));
        }
        start.elapsed()
    };
    let table: Vec<u32> = (0..65_536).map(|n| n % UPSTREAMS).collect();
    route_round(&mut router);
    let mut times = Vec::with_capacity(ROUNDS);
    let mut ratios = Vec::with_capacity(ROUNDS);
    let allocations = ALLOCATIONS.load(Relaxed);
    // Both are timed in turns, so that a change of the processor's speed affects both.
    for _ in 0..ROUNDS {
        let plain = plain_hash(&table);
        let took = route_round(&mut router);
        times.push(took);
        ratios.push(plain.as_secs_f64() / took.as_secs_f64());
    }
    let allocations = ALLOCATIONS.load(Relaxed) - allocations;
    let ratio = median(ratios, f64::total_cmp);
    let per_packet = median(times, Duration::cmp) / FLOWS;
    println!("a packet of an open flow: {per_packet:?}, {allocations} allocations");
    println!("packets/s to plain hash, median: {ratio:.2} (at least {MIN_RATE_TO_PLAIN_HASH})");
    println!("heap bytes per open flow: {per_flow} (at most {MAX_BYTES_PER_FLOW})");
    assert_eq!(allocations, 0, "a packet of an open flow allocates");
    assert!(ratio >= MIN_RATE_TO_PLAIN_HASH, "{ratio:.2} of plain hash");
    assert!(per_flow <= MAX_BYTES_PER_FLOW, "{per_flow} bytes a flow");
}
