//! Logs: one line of `key=value` pairs an event, on standard error.

use std::fmt::Write as _;
use std::sync::Arc;
use std::time::UNIX_EPOCH;

use spdlog::formatter::{Formatter, FormatterContext};
use spdlog::sink::{Sink, StdStream, StdStreamSink};
use spdlog::{LevelFilter, Logger, Record, StringBuf};

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

/// Sends every log line of this process to standard error in the pair form.
pub fn init(level: LevelFilter) {
    let sink = StdStreamSink::builder()
        .std_stream(StdStream::Stderr)
        .formatter(PairFormatter)
        .build();
    let Ok(sink) = sink else { return };
    let sink: Arc<dyn Sink> = Arc::new(sink);
    if let Ok(logger) = Logger::builder().sink(sink).level_filter(level).build() {
        spdlog::set_default_logger(Arc::new(logger));
    }
}
