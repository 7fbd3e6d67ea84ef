//! Numbered log events. `docs/EVENTS.md` is their catalogue; a test compares both.

use std::fmt::Display;
use std::io::{self, Write};

use slog::{Drain, KV, Level, Logger, Record, Serializer, o};

/// A kind of event. Numbers are never used again for something else.
#[derive(Debug)]
pub struct Event {
    pub number: u32,
    pub level: Level,
    pub text: &'static str,
}

macro_rules! events {
    ($($name:ident = $number:literal, $level:ident, $text:literal;)*) => {
        $(pub const $name: Event = Event { number: $number, level: Level::$level, text: $text };)*
        /// Every kind, in order of number.
        pub const ALL: &[&Event] = &[$(&$name),*];
    };
}

events! {
    STARTED = 100, Info, "box started";
    READY = 101, Info, "taking callers";
    DRAINING = 102, Info, "leaving: no new callers, requests in flight finish";
    STOPPED = 103, Info, "stopped";
    SETTINGS_RELOADED = 104, Info, "settings read again";
    INVALID_SETTINGS = 105, Warning, "settings can't be taken; those in force hold";
    CONFIG_APPLIED = 200, Info, "configuration in force";
    TABLE_DOWN = 201, Warning, "platform table gives no answer";
    TABLE_RECOVERED = 202, Info, "platform table answers again";
    ROSTER_CHANGED = 203, Info, "list of boxes changed";
    INVALID_ROW = 204, Error, "a row of the table is no valid resource and is left out";
    STORE_TABLE_DOWN = 205, Warning, "a table of the store gives no answer";
    STORE_TABLE_RECOVERED = 206, Info, "a table of the store answers";
    LISTING_FAILED = 207, Warning, "the list of boxes could not be changed";
    PARTITIONED = 208, Warning, "cut off: a majority of no group is reached";
    PARTITION_HEALED = 209, Info, "a majority of some group is reached again";
    POLLING_CHANGED = 210, Info, "the table is read in another way: not at all, for this box, or for others";
    MEMBER_DEPARTED = 211, Info, "a member leaves or is listed no more";
    TABLE_ROLLED_BACK = 212, Warning, "the table came back as an older copy of itself";
    STALE_DECLARATIONS = 213, Warning, "the table's declarations are older than those in force, which hold";
    RELISTED = 214, Warning, "the list of boxes has lost this one, which lists itself again";
    PARTITION_ALERT = 215, Info, "a box of this failure domain finds the others silent";
    MEMBER_SUSPECTED = 300, Warning, "member suspected";
    SUSPICION_CLEARED = 301, Info, "member trusted again";
    REPLACEMENT_STARTED = 302, Warning, "replacing the primary: fencing";
    BALLOT_LOST = 303, Warning, "replacement did not get through, trying again if needed";
    PRIMARY_PROMOTED = 304, Warning, "new primary promoted";
    PRIMARY_ADOPTED = 305, Info, "primary of a newer term known";
    INVALID_REPORT = 306, Error, "member's report can't be true and is not taken";
    NO_CONNECTION = 307, Info, "no connection to a member; its statement is placed again";
    ANSWER_OVERDUE = 308, Warning, "a member's answer is not coming; its connection is closed";
    DUTY_TAKEN = 309, Info, "a promotion is ordered under this generation";
    DUTY_WITHOUT_TABLE = 310, Warning, "the table gives no answer; the generation follows the last one known";
    FENCE_RELEASED = 311, Info, "a fence that no primary followed is taken back";
    DRAIN_STARTED = 312, Info, "a leaving primary's time is counted";
    DRAIN_EXPIRED = 313, Warning, "a leaving primary gets nothing new";
    MEMBER_RESTARTED = 314, Info, "a member started again under its name; nothing known of it holds";
    FENCE_REFUSED = 315, Info, "a member took no fence";
    CALLER_REFUSED = 400, Info, "caller refused at start-up";
    CALLER_PROTOCOL = 401, Info, "caller broke the protocol";
    UNKNOWN_OUTCOME = 402, Warning, "a write's outcome is unknown";
    TOKEN_IGNORED = 403, Info, "a caller's token is not believed";
    REQUEST_ABANDONED = 404, Info, "a request is given up on";
    LIMIT_REACHED = 405, Info, "a workspace's limit is used up";
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

/// Writes one event.
pub fn emit(log: &Logger, kind: &Event, fields: &[(&'static str, &dyn Display)]) {
    let fields = Fields(fields);
    let number = kind.number;
    match kind.level {
        Level::Critical | Level::Error => {
            slog::error!(log, "{}", kind.text; "event" => number, fields);
        }
        Level::Warning => slog::warn!(log, "{}", kind.text; "event" => number, fields),
        _ => slog::info!(log, "{}", kind.text; "event" => number, fields),
    }
}

/// How log lines look.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Format {
    Terminal,
    Json,
    None,
}

/// Lines that may wait for a slow reader; more are dropped and counted.
const MOST_WAITING: usize = 2_048;

/// Keeps a line together until it is whole: the serializer writes it in pieces, and a
/// reader must never see two lines mixed.
struct WholeLines<W: Write> {
    line: Vec<u8>,
    out: W,
}

impl<W: Write> Write for WholeLines<W> {
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

/// The process's logger. JSON goes to standard output through a bounded queue: what a
/// slow reader does not take is dropped, and a line says how much. Text for a person
/// goes to standard error.
pub fn logger(format: Format) -> Logger {
    match format {
        Format::None => Logger::root(slog::Discard, o!()),
        Format::Terminal => {
            let decorator = slog_term::PlainSyncDecorator::new(std::io::stderr());
            let drain = slog_term::FullFormat::new(decorator).build().fuse();
            Logger::root(drain, o!())
        }
        Format::Json => {
            let lines = WholeLines {
                line: Vec::new(),
                out: io::stdout(),
            };
            let drain = slog_json::Json::default(lines).fuse();
            let drain = slog_async::Async::new(drain)
                .chan_size(MOST_WAITING)
                .overflow_strategy(slog_async::OverflowStrategy::DropAndReport)
                .build()
                .fuse();
            Logger::root(drain, o!())
        }
    }
}
