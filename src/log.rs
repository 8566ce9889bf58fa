//! Log output: one line of `key=value` pairs per event.

use std::fmt::{self, Write as _};
use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread;
use std::time::{Duration, Instant, UNIX_EPOCH};

use spdlog::formatter::{Formatter, FormatterContext};
use spdlog::sink::{Sink, StdStream, StdStreamSink, WriteSink};
use spdlog::{LevelFilter, Logger, Record, StringBuf};

/// Capacity of the queue to the log thread, in lines. A line that finds the queue full is dropped,
/// so that logging never blocks.
const QUEUE_LINES: usize = 4096;

/// Longest value in a line, in bytes. Values may quote what others sent, such as documents of the
/// store.
const MAX_VALUE_BYTES: usize = 400;

/// Time for which lines are collected before a write, so that a burst needs only one write.
const BATCH_PERIOD: Duration = Duration::from_millis(50);

/// Longest time that [`flush`] waits for the queued lines at the end of the process.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(250);

/// Number of lines that were accepted and are not written yet.
static PENDING_LINES: AtomicU64 = AtomicU64::new(0);

/// Number of lines dropped since the last `lines-left-out` event.
static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

#[derive(Clone, Default)]
struct PairFormatter;

impl Formatter for PairFormatter {
    fn format(
        &self,
        record: &Record,
        dest: &mut StringBuf,
        _ctx: &mut FormatterContext,
    ) -> spdlog::Result<()> {
        write_record(record, dest).map_err(spdlog::Error::FormatRecord)
    }
}

fn write_record(record: &Record, dest: &mut StringBuf) -> std::fmt::Result {
    let time = record.time().duration_since(UNIX_EPOCH).unwrap_or_default();
    write!(dest, "ts={}.{:03}", time.as_secs(), time.subsec_millis())?;
    write!(dest, " level={}", record.level().as_str())?;
    write!(dest, " event={}", record.payload())?;
    for (key, value) in record.key_values() {
        let mut value_text = ValueText::default();
        write!(value_text, "{value}")?;
        let text = value_text.0;
        let is_quoted = |c: char| c.is_whitespace() || c.is_control() || matches!(c, '"' | '=');
        if text.contains(is_quoted) {
            write!(dest, " {}={text:?}", key.as_str())?;
        } else {
            write!(dest, " {}={text}", key.as_str())?;
        }
    }
    writeln!(dest)
}

/// The text of a value, cut after [`MAX_VALUE_BYTES`].
#[derive(Default)]
struct ValueText(String);

impl fmt::Write for ValueText {
    fn write_str(&mut self, text: &str) -> fmt::Result {
        // A text that was cut is longer than the limit.
        let Some(room) = MAX_VALUE_BYTES.checked_sub(self.0.len()) else {
            return Ok(());
        };
        if text.len() <= room {
            self.0.push_str(text);
        } else {
            self.0.push_str(&text[..text.floor_char_boundary(room)]);
            self.0.push_str("[...]");
        }
        Ok(())
    }
}

fn install(sink: Arc<dyn Sink>, level: LevelFilter) {
    if let Ok(logger) = Logger::builder().sink(sink).level_filter(level).build() {
        spdlog::set_default_logger(Arc::new(logger));
    }
}

/// Sends the log of this process to standard error as `key=value` lines.
pub fn init(level: LevelFilter) {
    let sink = StdStreamSink::builder()
        .std_stream(StdStream::Stderr)
        .formatter(PairFormatter)
        .build();
    if let Ok(sink) = sink {
        install(Arc::new(sink), level);
    }
}

/// Sends the log of this process to standard output as `key=value` lines, through a queue and a
/// thread of its own. If the reader of standard output stops reading, lines are dropped and the
/// process is never blocked.
pub fn init_stdout(level: LevelFilter) {
    let (lines, queue) = sync_channel(QUEUE_LINES);
    let writer = thread::Builder::new()
        .name("log".to_owned())
        .spawn(move || write_lines(&queue));
    if let Err(error) = writer {
        eprintln!("error: cannot start the log thread: {error}");
        return;
    }
    let sink = WriteSink::builder()
        .target(LineQueue(lines))
        .formatter(PairFormatter)
        .build();
    if let Ok(sink) = sink {
        install(Arc::new(sink), level);
    }
}

/// Queues lines for the log thread, and drops them if the queue is full.
struct LineQueue(SyncSender<Vec<u8>>);

impl Write for LineQueue {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        PENDING_LINES.fetch_add(1, Ordering::Relaxed);
        if self.0.try_send(line.to_vec()).is_err() {
            PENDING_LINES.fetch_sub(1, Ordering::Relaxed);
            DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write_lines(queue: &Receiver<Vec<u8>>) {
    let mut stdout = io::stdout();
    while let Ok(mut text) = queue.recv() {
        thread::sleep(BATCH_PERIOD);
        let mut lines = 1;
        while let Ok(line) = queue.try_recv() {
            text.extend_from_slice(&line);
            lines += 1;
        }
        let dropped = DROPPED_LINES.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            text.extend_from_slice(format!("event=lines-left-out count={dropped}\n").as_bytes());
        }
        // Standard output is closed, so an error cannot be reported anywhere.
        if stdout
            .write_all(&text)
            .and_then(|()| stdout.flush())
            .is_err()
        {
            return;
        }
        PENDING_LINES.fetch_sub(lines, Ordering::Relaxed);
    }
}

/// Waits until the log thread of [`init_stdout`] has written all queued lines, but at most
/// `FLUSH_TIMEOUT`.
pub fn flush() {
    let start = Instant::now();
    while PENDING_LINES.load(Ordering::Relaxed) > 0 && start.elapsed() < FLUSH_TIMEOUT {
        thread::sleep(BATCH_PERIOD / 5);
    }
}
