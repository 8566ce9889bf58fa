//! Logs: one line of `key=value` pairs an event.

use std::fmt::Write as _;
use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread;
use std::time::{Duration, Instant, UNIX_EPOCH};

use spdlog::formatter::{Formatter, FormatterContext};
use spdlog::sink::{Sink, StdStream, StdStreamSink, WriteSink};
use spdlog::{LevelFilter, Logger, Record, StringBuf};

/// Lines that wait to be written; more are left out rather than waited for.
const QUEUED_LINES: usize = 4096;

/// Lines are collected for this long, so that a burst costs one write.
const WRITE_PERIOD: Duration = Duration::from_millis(50);

/// Longest wait for the last lines of a process that ends.
const FINISH_LIMIT: Duration = Duration::from_millis(250);

/// Lines taken and not yet written.
static LINES_QUEUED: AtomicU64 = AtomicU64::new(0);

/// Lines left out since the last line that told of them.
static LINES_LEFT_OUT: AtomicU64 = AtomicU64::new(0);

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
        let text = value.to_string();
        if text.contains([' ', '"', '=', '\n']) {
            write!(dest, " {}={text:?}", key.as_str())?;
        } else {
            write!(dest, " {}={text}", key.as_str())?;
        }
    }
    writeln!(dest)
}

fn install(sink: Arc<dyn Sink>, level: LevelFilter) {
    if let Ok(logger) = Logger::builder().sink(sink).level_filter(level).build() {
        spdlog::set_default_logger(Arc::new(logger));
    }
}

/// Sends every log line of this process to standard error in the pair form.
pub fn init(level: LevelFilter) {
    let sink = StdStreamSink::builder()
        .std_stream(StdStream::Stderr)
        .formatter(PairFormatter)
        .build();
    if let Ok(sink) = sink {
        install(Arc::new(sink), level);
    }
}

/// Sends every log line of this process to standard output in the pair form. A reader that stops
/// reading costs lines, and never holds up the process.
pub fn init_stdout(level: LevelFilter) {
    let (lines, queue) = sync_channel(QUEUED_LINES);
    let writer = thread::Builder::new()
        .name("log".to_owned())
        .spawn(move || write_lines(&queue));
    if let Err(error) = writer {
        eprintln!("error: log thread: {error}");
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

/// Takes lines without waiting.
struct LineQueue(SyncSender<Vec<u8>>);

impl Write for LineQueue {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        LINES_QUEUED.fetch_add(1, Ordering::Relaxed);
        if self.0.try_send(line.to_vec()).is_err() {
            LINES_QUEUED.fetch_sub(1, Ordering::Relaxed);
            LINES_LEFT_OUT.fetch_add(1, Ordering::Relaxed);
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
        thread::sleep(WRITE_PERIOD);
        let mut lines = 1;
        while let Ok(line) = queue.try_recv() {
            text.extend_from_slice(&line);
            lines += 1;
        }
        let left_out = LINES_LEFT_OUT.swap(0, Ordering::Relaxed);
        if left_out > 0 {
            text.extend_from_slice(format!("event=lines-left-out count={left_out}\n").as_bytes());
        }
        // Standard output is gone: there is nobody to tell.
        if stdout
            .write_all(&text)
            .and_then(|()| stdout.flush())
            .is_err()
        {
            return;
        }
        LINES_QUEUED.fetch_sub(lines, Ordering::Relaxed);
    }
}

/// Waits for the lines of [`init_stdout`] that are not written yet, for a short time at most.
pub fn flush() {
    let start = Instant::now();
    while LINES_QUEUED.load(Ordering::Relaxed) > 0 && start.elapsed() < FINISH_LIMIT {
        thread::sleep(WRITE_PERIOD / 5);
    }
}
