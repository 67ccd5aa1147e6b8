//! Overlapping attempts to reach a process that may not have started yet.

use std::future::Future;
use std::time::Duration;

use futures_util::StreamExt as _;
use futures_util::stream::FuturesUnordered;
use tokio::time::{Instant, sleep_until};

/// Runs `attempt` again at each `interval` while the earlier ones are pending, and
/// returns the result of the first one that ends. The others are dropped.
///
/// A VM without power answers no connection request, and one that was sent to it is
/// not answered after it has started either: the operating system sends it again only
/// after a second. So each attempt finds only a VM that is running when it begins,
/// and the interval bounds the time by which a start is noticed late. See
/// `docs/design/platform.md#start-stop-recovery`.
///
/// It has no timeout of its own: the caller's bounds the number of attempts.
pub async fn first_to_end<F>(interval: Duration, mut attempt: impl FnMut() -> F) -> F::Output
where
    F: Future,
{
    let mut attempts = FuturesUnordered::new();
    let mut next_due = Instant::now();
    loop {
        tokio::select! {
            Some(output) = attempts.next() => return output,
            () = sleep_until(next_due) => {
                attempts.push(attempt());
                next_due += interval;
            }
        }
    }
}
