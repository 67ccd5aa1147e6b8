//! The thread that writes lines.

use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{self, Receiver, SyncSender, TrySendError};
use std::sync::{Arc, OnceLock};
use std::thread;
use std::time::Duration;

/// Lines that may wait; a line is some hundred bytes, so these are about a
/// megabyte at most.
const QUEUE_LINES: usize = 4_096;

/// How long lines are gathered before they are written, so that a busy process
/// makes one system call for many of them.
const GATHER: Duration = Duration::from_millis(5);

enum Order {
    Line(Vec<u8>),
    Flush(SyncSender<()>),
}

/// Hands lines to the thread that writes them.
#[derive(Clone)]
pub(crate) struct Sink {
    tx: SyncSender<Order>,
    left_out: Arc<AtomicU64>,
}

impl Sink {
    /// Returns the sink of standard output.
    pub(crate) fn stdout() -> &'static Self {
        static STDOUT: OnceLock<Sink> = OnceLock::new();
        STDOUT.get_or_init(|| {
            let (tx, rx) = mpsc::sync_channel(QUEUE_LINES);
            let left_out = Arc::new(AtomicU64::new(0));
            let counted = Arc::clone(&left_out);
            thread::spawn(move || write_all(&rx, &counted));
            Self { tx, left_out }
        })
    }

    fn put(&self, line: &[u8]) {
        if let Err(TrySendError::Full(_)) = self.tx.try_send(Order::Line(line.to_vec())) {
            self.left_out.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Waits until all lines so far are written.
    fn wait(&self) {
        let (tx, rx) = mpsc::sync_channel(1);
        if self.tx.send(Order::Flush(tx)).is_ok() {
            // The thread is gone only when the process ends.
            let _ = rx.recv();
        }
    }
}

impl Write for Sink {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        self.put(line);
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Waits until all lines so far are written, before the process ends.
pub(crate) fn flush() {
    Sink::stdout().wait();
}

fn write_all(orders: &Receiver<Order>, left_out: &AtomicU64) {
    let mut out = io::stdout();
    let mut buf = Vec::new();
    while let Ok(first) = orders.recv() {
        let mut waiting = take(first, &mut buf);
        if waiting.is_none() {
            thread::sleep(GATHER);
        }
        while let Ok(order) = orders.try_recv() {
            waiting = take(order, &mut buf).or(waiting);
        }
        let missing = left_out.swap(0, Ordering::Relaxed);
        if missing > 0 {
            let line = serde_json::json!({
                "level": "WARN",
                "event": "lines_left_out",
                "left_out": missing,
                "message": "lines are left out: they came faster than they could be written",
            });
            buf.extend(line.to_string().into_bytes());
            buf.push(b'\n');
        }
        // Nowhere is left to say that standard output is closed.
        let _ = out.write_all(&buf).and_then(|()| out.flush());
        buf.clear();
        if let Some(done) = waiting {
            // Whoever waits may have gone.
            let _ = done.try_send(());
        }
    }
}

fn take(order: Order, buf: &mut Vec<u8>) -> Option<SyncSender<()>> {
    match order {
        Order::Line(line) => {
            buf.extend(line);
            None
        }
        Order::Flush(done) => Some(done),
    }
}
