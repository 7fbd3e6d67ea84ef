//! Numbered log events, documented in `docs/EVENTS.md`. A test compares the code with the document.

use std::fmt::Display;
use std::io::{self, Write};

use slog::{Drain, KV, Level, Logger, Record, Serializer, o};

/// A kind of log event. Its number is stable and is never reused for another event.
#[derive(Debug)]
pub struct Event {
    pub number: u32,
    pub level: Level,
    pub text: &'static str,
}

macro_rules! events {
    ($($name:ident = $number:literal, $level:ident, $text:literal;)*) => {
        $(pub const $name: Event = Event { number: $number, level: Level::$level, text: $text };)*
        /// Every event, in order of number.
        pub const ALL: &[&Event] = &[$(&$name),*];
    };
}

events! {
    STARTED = 100, Info, "box started";
    READY = 101, Info, "accepting callers";
    DRAINING = 102, Info, "draining: new callers are refused, requests in flight finish";
    STOPPED = 103, Info, "stopped";
    SETTINGS_RELOADED = 104, Info, "settings reloaded";
    INVALID_SETTINGS = 105, Warning, "new settings are invalid; the current ones stay in force";
    CONFIG_APPLIED = 200, Info, "configuration in force";
    TABLE_DOWN = 201, Warning, "platform table does not respond";
    TABLE_RECOVERED = 202, Info, "platform table responds again";
    ROSTER_CHANGED = 203, Info, "list of boxes changed";
    INVALID_ROW = 204, Error, "table row is not a valid resource and is ignored";
    STORE_TABLE_DOWN = 205, Warning, "table of the store does not respond";
    STORE_TABLE_RECOVERED = 206, Info, "table of the store responds";
    LISTING_FAILED = 207, Warning, "list of boxes could not be changed";
    PARTITIONED = 208, Warning, "partitioned: no group's majority is reachable";
    PARTITION_HEALED = 209, Info, "the majority of at least one group is reachable again";
    POLLING_CHANGED = 210, Info, "table polling mode changed";
    MEMBER_DEPARTED = 211, Info, "member is leaving or no longer listed";
    TABLE_ROLLED_BACK = 212, Warning, "table was replaced by an older copy of itself";
    STALE_DECLARATIONS = 213, Warning, "table's declarations are older than those in force, which are kept";
    RELISTED = 214, Warning, "this box is missing from the list of boxes and lists itself again";
    PARTITION_ALERT = 215, Info, "a box of this failure domain reports a partition";
    MEMBER_SUSPECTED = 300, Warning, "member suspected";
    SUSPICION_CLEARED = 301, Info, "member no longer suspected";
    REPLACEMENT_STARTED = 302, Warning, "replacing the primary: fencing started";
    BALLOT_LOST = 303, Warning, "replacement of the primary failed; retried if still needed";
    PRIMARY_PROMOTED = 304, Warning, "new primary promoted";
    PRIMARY_ADOPTED = 305, Info, "primary of a newer term adopted";
    IMPLAUSIBLE_REPORT = 306, Error, "member's report is implausible and is ignored";
    NO_CONNECTION = 307, Info, "no connection to a member; the statement is routed again";
    ANSWER_LOST = 308, Warning, "no valid answer from a member; the connection is closed";
    DUTY_CLAIMED = 309, Info, "promotion ordered with this generation number";
    DUTY_WITHOUT_TABLE = 310, Warning, "table does not respond; the generation number follows the last known one";
    FENCE_RELEASED = 311, Info, "fence released: no primary was promoted under it";
    DRAIN_STARTED = 312, Info, "drain period of a leaving primary started";
    DRAIN_EXPIRED = 313, Warning, "leaving primary receives no new requests";
    MEMBER_RESTARTED = 314, Info, "member restarted under its name; what was known about it is discarded";
    FENCE_REFUSED = 315, Info, "member refused a fence";
    GROUP_OWNED = 316, Info, "acting as an owner of the group";
    GROUP_RELEASED = 317, Info, "no longer acting as an owner of the group";
    MEMBER_REMOVED = 318, Warning, "missing member removed from the group";
    MEMBERS_RECORDED = 319, Info, "members of the group recorded in the table";
    MEMBERS_NOT_RECORDED = 320, Info, "members of the group not recorded; retried if still needed";
    PROMOTION_FAILED = 321, Warning, "promotion without a new primary";
    DUTY_RESIGNED = 322, Warning, "promotion left to the other boxes";
    UNEXPECTED_INPUT = 323, Warning, "member sent more than its answers; the connection is closed";
    CALLER_REFUSED = 400, Info, "caller refused at start-up";
    CALLER_PROTOCOL = 401, Info, "caller violated the protocol";
    UNKNOWN_OUTCOME = 402, Warning, "outcome of a write is unknown";
    TOKEN_IGNORED = 403, Info, "caller's token ignored";
    REQUEST_FAILED = 404, Info, "request failed";
    LIMIT_REACHED = 405, Info, "workspace's rate limit reached";
    RESOURCE_CHANGED = 500, Info, "resource changed by an operator";
}

struct Fields<'a>(&'a [(&'static str, &'a dyn Display)]);

impl KV for Fields<'_> {
    fn serialize(&self, _: &Record, serializer: &mut dyn Serializer) -> slog::Result {
        for (name, value) in self.0 {
            serializer.emit_arguments(name, &format_args!("{value}"))?;
        }
        Ok(())
    }
}

/// Logs one event with its fields.
pub fn emit(log: &Logger, event: &Event, fields: &[(&'static str, &dyn Display)]) {
    let fields = Fields(fields);
    let number = event.number;
    match event.level {
        Level::Critical | Level::Error => {
            slog::error!(log, "{}", event.text; "event" => number, fields);
        }
        Level::Warning => slog::warn!(log, "{}", event.text; "event" => number, fields),
        _ => slog::info!(log, "{}", event.text; "event" => number, fields),
    }
}

/// Format of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Format {
    Terminal,
    Json,
    None,
}

/// Lines that are queued for a slow reader; further lines are dropped and counted.
const MAX_QUEUED_LINES: usize = 2_048;

/// Buffers output until a line is complete. The serializer writes a line in several pieces, which
/// must not be mixed with those of other lines.
struct LineBuffer<W: Write> {
    line: Vec<u8>,
    out: W,
}

impl<W: Write> Write for LineBuffer<W> {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(bytes);
        if bytes.last() == Some(&b'\n') {
            self.out.write_all(&self.line)?;
            self.line.clear();
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        self.out.flush()
    }
}

/// Creates the process's logger. JSON lines go to standard output through a bounded queue. If the
/// reader is too slow, lines are dropped and their number is logged. Text in terminal format goes
/// to standard error.
pub fn logger(format: Format) -> Logger {
    match format {
        Format::None => Logger::root(slog::Discard, o!()),
        Format::Terminal => {
            let decorator = slog_term::PlainSyncDecorator::new(std::io::stderr());
            let drain = slog_term::FullFormat::new(decorator).build().fuse();
            Logger::root(drain, o!())
        }
        Format::Json => {
            let lines = LineBuffer {
                line: Vec::new(),
                out: io::stdout(),
            };
            let drain = slog_json::Json::default(lines).fuse();
            let drain = slog_async::Async::new(drain)
                .chan_size(MAX_QUEUED_LINES)
                .overflow_strategy(slog_async::OverflowStrategy::DropAndReport)
                .build()
                .fuse();
            Logger::root(drain, o!())
        }
    }
}
