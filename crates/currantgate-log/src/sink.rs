//! The thread that writes log lines to standard output.

use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{self, Receiver, SyncSender, TrySendError};
use std::sync::{Arc, OnceLock};
use std::thread;
use std::time::Duration;

/// Maximum number of queued lines. A line has a few hundred bytes, so the queue
/// takes about a megabyte at most.
const QUEUE_LINES: usize = 4_096;

/// Time to collect lines before they are written, so that a busy process writes
/// many lines with one system call.
const BATCH_DELAY: Duration = Duration::from_millis(5);

/// A message to the writing thread.
enum Command {
    /// A line to write.
    Line(Vec<u8>),
    /// A request to write all queued lines and to confirm it.
    Flush(SyncSender<()>),
}

/// Queues lines for the writing thread.
#[derive(Clone)]
pub(crate) struct Sink {
    tx: SyncSender<Command>,
    left_out: Arc<AtomicU64>,
}

impl Sink {
    /// Returns the sink for standard output, and starts its thread on first use.
    pub(crate) fn stdout() -> &'static Self {
        static STDOUT: OnceLock<Sink> = OnceLock::new();
        STDOUT.get_or_init(|| {
            let (tx, rx) = mpsc::sync_channel(QUEUE_LINES);
            let left_out = Arc::new(AtomicU64::new(0));
            let counted = Arc::clone(&left_out);
            thread::spawn(move || write_lines(&rx, &counted));
            Self { tx, left_out }
        })
    }

    /// Queues a line, or counts it as left out when the queue is full.
    fn enqueue(&self, line: &[u8]) {
        if let Err(TrySendError::Full(_)) = self.tx.try_send(Command::Line(line.to_vec())) {
            self.left_out.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Waits until all queued lines are written.
    fn wait_until_written(&self) {
        let (tx, rx) = mpsc::sync_channel(1);
        if self.tx.send(Command::Flush(tx)).is_ok() {
            // The thread ends only with the process.
            let _ = rx.recv();
        }
    }
}

impl Write for Sink {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        self.enqueue(line);
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Waits until all queued lines are written.
pub(crate) fn flush() {
    Sink::stdout().wait_until_written();
}

/// Writes lines until the queue is closed.
fn write_lines(commands: &Receiver<Command>, left_out: &AtomicU64) {
    let mut out = io::stdout();
    let mut buf = Vec::new();
    while let Ok(first) = commands.recv() {
        let mut flush_done = process_command(first, &mut buf);
        if flush_done.is_none() {
            thread::sleep(BATCH_DELAY);
        }
        while let Ok(command) = commands.try_recv() {
            flush_done = process_command(command, &mut buf).or(flush_done);
        }
        let count = left_out.swap(0, Ordering::Relaxed);
        if count > 0 {
            let line = serde_json::json!({
                "level": "WARN",
                "event": "lines_left_out",
                "left_out": count,
                "message": "lines are left out: they came faster than they could be written",
            });
            buf.extend(line.to_string().into_bytes());
            buf.push(b'\n');
        }
        // There is no other output to report a closed standard output.
        let _ = out.write_all(&buf).and_then(|()| out.flush());
        buf.clear();
        if let Some(done) = flush_done {
            // The thread that waits may have ended.
            let _ = done.try_send(());
        }
    }
}

/// Appends a line to `buf`, or returns the channel that confirms a flush.
fn process_command(command: Command, buf: &mut Vec<u8>) -> Option<SyncSender<()>> {
    match command {
        Command::Line(line) => {
            buf.extend(line);
            None
        }
        Command::Flush(done) => Some(done),
    }
}
