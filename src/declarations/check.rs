//! Validates declared entries, each by itself and against the others, and reports all findings
//! together.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use serde_json::Value;

use super::entry::Entry;
use super::finding::Finding;
use super::resource::{
    Access, Database, Durability, Group, Key, Kind, Member, Once, OwnWrites, Partner, Read, Spec,
    Workspace,
};
use crate::declarations::resource::Address;

const DEFAULT_WEIGHT: u64 = 1;
const DEFAULT_SLOTS: u64 = 3;
const DEFAULT_CONNECTIONS: u64 = 24;
const DEFAULT_OWNERS: u64 = 3;
const DEFAULT_DEADLINE_MS: u64 = 5_000;
const DEFAULT_MAX_AGE_MS: u64 = 1_000;
const DEFAULT_TARGET_MS: u64 = 500;
const DEFAULT_PRIORITY: u64 = 1;
/// Lowest priority that can be declared; 0 is the highest.
const MAX_PRIORITY: u64 = 1_000;
/// Highest rate limit that can be declared, in operations per second.
const MAX_RATE: u64 = 100_000_000;
/// Hexadecimal digits of a SHA-256.
const HASH_DIGITS: usize = 64;
const MAX_NAME_LENGTH: usize = 63;
const MAX_HOST_LENGTH: usize = 253;

/// Whether the text is a valid resource name.
pub fn is_name(text: &str) -> bool {
    let allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-' || c == '_';
    (1..=MAX_NAME_LENGTH).contains(&text.len()) && text.chars().all(allowed)
}

fn is_hash(text: &str) -> bool {
    text.len() == HASH_DIGITS && text.chars().all(|c| c.is_ascii_hexdigit())
}

/// Reads the fields of one entry and collects findings about them.
struct Reader<'a> {
    entry: &'a Entry,
    /// Fields that were read. The entry's other fields are reported as unknown.
    known: Vec<&'static str>,
    findings: Vec<Finding>,
}

impl<'a> Reader<'a> {
    fn new(entry: &'a Entry) -> Self {
        Self {
            entry,
            known: Vec::new(),
            findings: Vec::new(),
        }
    }

    fn value(&mut self, field: &'static str) -> Option<&'a Value> {
        self.known.push(field);
        self.entry.fields.get(field).map(|field| &field.value)
    }

    fn add_finding(&mut self, field: &str, message: impl Into<String>) {
        self.findings.push(self.entry.finding(field, message));
    }

    fn text(&mut self, field: &'static str) -> Arc<str> {
        match self.value(field) {
            Some(Value::String(text)) => text.as_str().into(),
            Some(_) => {
                self.add_finding(field, "must be a text");
                "".into()
            }
            None => {
                self.add_finding(field, "is missing");
                "".into()
            }
        }
    }

    fn name(&mut self, field: &'static str) -> Arc<str> {
        let text = self.text(field);
        let present = self
            .entry
            .fields
            .get(field)
            .is_some_and(|f| f.value.is_string());
        if present && !is_name(&text) {
            self.add_finding(field, "must be 1 to 63 of a-z, 0-9, - and _");
        }
        text
    }

    /// Reads a name that may have the form of a host name. An empty name is accepted.
    fn host(&mut self, field: &'static str) -> Arc<str> {
        let text = self.text(field);
        let allowed = |c: char| c.is_ascii_graphic();
        if !text.is_empty() && (text.len() > MAX_HOST_LENGTH || !text.chars().all(allowed)) {
            self.add_finding(field, "must be 1 to 253 signs without blanks");
        }
        text
    }

    /// Reads a name like [`Self::host`], but refuses an empty one, which members don't accept.
    fn non_empty_host(&mut self, field: &'static str) -> Arc<str> {
        let text = self.host(field);
        if text.is_empty() && self.entry.fields.contains_key(field) {
            self.add_finding(field, "must be 1 to 253 signs without blanks");
        }
        text
    }

    fn hash(&mut self, field: &'static str) -> Arc<str> {
        let text = self.text(field);
        let present = self
            .entry
            .fields
            .get(field)
            .is_some_and(|f| f.value.is_string());
        if present && !is_hash(&text) {
            self.add_finding(field, "must be a SHA-256 in 64 hexadecimal digits");
        }
        text
    }

    fn hashes(&mut self, field: &'static str) -> Vec<Arc<str>> {
        let hashes = self.names(field);
        if !hashes.iter().all(|hash| is_hash(hash)) {
            self.add_finding(field, "must be a list of SHA-256 in 64 hexadecimal digits");
        }
        hashes
    }

    fn number(&mut self, field: &'static str, default: u64, min: u64, max: u64) -> u64 {
        let Some(value) = self.value(field) else {
            return default;
        };
        match value.as_u64() {
            Some(number) if (min..=max).contains(&number) => number,
            _ => {
                self.add_finding(field, format!("must be a whole number from {min} to {max}"));
                default
            }
        }
    }

    fn optional_number(&mut self, field: &'static str, min: u64, max: u64) -> Option<u64> {
        let present = self.entry.fields.get(field);
        match present.is_some_and(|field| !field.value.is_null()) {
            true => Some(self.number(field, min, min, max)),
            false => self.value(field).and(None),
        }
    }

    fn flag(&mut self, field: &'static str) -> bool {
        match self.value(field) {
            None => false,
            Some(Value::Bool(flag)) => *flag,
            Some(_) => {
                self.add_finding(field, "must be true or false");
                false
            }
        }
    }

    fn address(&mut self, field: &'static str) -> Arc<str> {
        let text = self.text(field);
        if !text.is_empty() && text.parse::<SocketAddr>().is_err() {
            self.add_finding(field, "must be IP:port");
        }
        text
    }

    fn names(&mut self, field: &'static str) -> Vec<Arc<str>> {
        let Some(value) = self.value(field) else {
            return Vec::new();
        };
        let texts = value
            .as_array()
            .map(|items| items.iter().map(|item| item.as_str().map(Arc::from)));
        let names: Option<Vec<Arc<str>>> = texts.and_then(Iterator::collect);
        names.unwrap_or_else(|| {
            self.add_finding(field, "must be a list of texts");
            Vec::new()
        })
    }

    /// Returns all findings, including one for each field that was not read.
    fn finish(mut self) -> Vec<Finding> {
        for field in self.entry.fields.keys() {
            if !self.known.contains(&field.as_str()) {
                let known = self.known.join(", ");
                self.findings.push(
                    self.entry
                        .finding(field, format!("is not known; known are {known}")),
                );
            }
        }
        self.findings
    }
}

/// Validates one entry by itself.
pub fn one(entry: &Entry) -> Result<Spec, Vec<Finding>> {
    let Some(kind) = Kind::from_name(&entry.kind) else {
        let known: Vec<_> = Kind::ALL.iter().map(|kind| kind.name()).collect();
        let message = format!("is no kind of resource; known are {}", known.join(", "));
        let mut finding = entry.finding("", message);
        finding.field = entry.kind.clone();
        return Err(vec![finding]);
    };
    let mut reader = Reader::new(entry);
    let spec = match kind {
        Kind::Partner => partner(&mut reader),
        Kind::Group => group(&mut reader),
        Kind::Member => member(&mut reader),
        Kind::Read => read(&mut reader),
        Kind::Once => once(&mut reader),
        Kind::Database => database(&mut reader),
        Kind::Workspace => workspace(&mut reader),
    };
    let findings = reader.finish();
    if findings.is_empty() {
        return Ok(spec);
    }
    Err(findings)
}

fn partner(reader: &mut Reader) -> Spec {
    Spec::Partner(Partner {
        name: reader.name("name"),
        weight: reader.number("weight", DEFAULT_WEIGHT, 1, 1000) as u32,
        operator: reader.hash("operator"),
        caller: reader
            .entry
            .fields
            .get("caller")
            .is_some_and(|field| !field.value.is_null())
            .then(|| reader.hash("caller"))
            .or_else(|| reader.value("caller").and(None)),
    })
}

fn group(reader: &mut Reader) -> Spec {
    let durability = match reader.value("durability").map(|value| value.as_str()) {
        None | Some(Some("majority")) => Durability::Majority,
        Some(Some("members")) => Durability::Members,
        Some(Some("primary")) => Durability::Primary,
        Some(_) => {
            reader.add_finding(
                "durability",
                "must be \"majority\", \"members\" or \"primary\"",
            );
            Durability::Majority
        }
    };
    Spec::Group(Group {
        partner: reader.name("partner"),
        name: reader.name("name"),
        durability,
        slots: reader.number("slots", DEFAULT_SLOTS, 1, 1000) as u32,
        connections: reader.number("connections", DEFAULT_CONNECTIONS, 1, 10_000) as u32,
        owners: reader.number("owners", DEFAULT_OWNERS, 0, 1_000) as u32,
        deadline_ms: reader.number("deadline_ms", DEFAULT_DEADLINE_MS, 1, 600_000),
        max_age_ms: reader.number("max_age_ms", DEFAULT_MAX_AGE_MS, 0, 86_400_000),
        idle_ms: reader.optional_number("idle_ms", 1, 86_400_000),
    })
}

fn member(reader: &mut Reader) -> Spec {
    Spec::Member(Member {
        partner: reader.name("partner"),
        group: reader.name("group"),
        name: reader.name("name"),
        address: Address {
            sql: reader.address("sql"),
            control: reader.address("control"),
        },
        domain: reader.name("domain"),
        leaving: reader.flag("leaving"),
        born: reader.optional_number("born", 0, u64::MAX),
    })
}

fn read(reader: &mut Reader) -> Spec {
    let own_writes = match reader.value("own_writes").map(|value| value.as_str()) {
        None | Some(Some("all")) => OwnWrites::All,
        Some(Some("tables")) => OwnWrites::Tables,
        Some(_) => {
            reader.add_finding("own_writes", "must be \"all\" or \"tables\"");
            OwnWrites::All
        }
    };
    Spec::Read(Read {
        own_writes,
        partner: reader.name("partner"),
        group: reader.name("group"),
        name: reader.name("name"),
        max_age_ms: reader.number("max_age_ms", DEFAULT_MAX_AGE_MS, 0, 86_400_000),
        tables: reader.names("tables"),
    })
}

fn once(reader: &mut Reader) -> Spec {
    Spec::Once(Once {
        partner: reader.name("partner"),
        group: reader.name("group"),
        name: reader.name("name"),
        table: reader.name("table"),
    })
}

fn database(reader: &mut Reader) -> Spec {
    let access = match reader.value("access").map(|value| value.as_str()) {
        None | Some(Some("primary")) => Access::Primary,
        Some(Some("own_writes")) => Access::OwnWrites,
        Some(Some("bounded")) => Access::Bounded,
        Some(_) => {
            reader.add_finding(
                "access",
                "must be \"primary\", \"own_writes\" or \"bounded\"",
            );
            Access::Primary
        }
    };
    Spec::Database(Database {
        access,
        partner: reader.name("partner"),
        name: reader.host("name"),
        group: reader.name("group"),
        max_age_ms: reader.number("max_age_ms", DEFAULT_MAX_AGE_MS, 0, 86_400_000),
        timeout_ms: reader.number("timeout_ms", DEFAULT_DEADLINE_MS, 1, 600_000),
        target_ms: reader.number("target_ms", DEFAULT_TARGET_MS, 1, 600_000),
        priority: reader.number("priority", DEFAULT_PRIORITY, 0, MAX_PRIORITY),
        keyed: reader.flag("keyed"),
    })
}

fn workspace(reader: &mut Reader) -> Spec {
    let rate = reader.optional_number("rate_per_s", 0, MAX_RATE);
    Spec::Workspace(Workspace {
        partner: reader.name("partner"),
        name: reader.non_empty_host("name"),
        keys: reader.hashes("keys"),
        priority: reader.number("priority", DEFAULT_PRIORITY, 0, MAX_PRIORITY),
        rate_per_s: rate.map(|rate| rate as u32),
        burst: reader.number("burst", 0, 0, MAX_RATE) as u32,
    })
}

/// Validates entries that are declared together.
pub fn all(entries: &[Entry]) -> Result<BTreeMap<Key, Spec>, Vec<Finding>> {
    let mut specs = BTreeMap::new();
    let mut declared: BTreeMap<Key, &Entry> = BTreeMap::new();
    let mut findings = Vec::new();
    for entry in entries {
        match one(entry) {
            Err(entry_findings) => findings.extend(entry_findings),
            Ok(spec) => {
                let key = spec.key();
                if let Some(first) = declared.insert(key.clone(), entry) {
                    let line = first.line.map_or(String::new(), |line| format!(":{line}"));
                    let message = format!("{key} is declared already at {}{line}", first.file);
                    findings.push(entry.finding("name", message));
                }
                specs.insert(key, spec);
            }
        }
    }
    findings.extend(shared_keys(&specs, &declared));
    for (key, entry) in &declared {
        if let Some((field, missing)) = missing_reference(&specs[key], &specs) {
            findings.push(entry.finding(field, format!("{missing} is not declared")));
        }
    }
    if findings.is_empty() {
        return Ok(specs);
    }
    Err(findings)
}

/// Finds keys that several workspaces declare: a key must identify one workspace.
fn shared_keys(specs: &BTreeMap<Key, Spec>, declared: &BTreeMap<Key, &Entry>) -> Vec<Finding> {
    let mut holders: BTreeMap<String, &Key> = BTreeMap::new();
    let mut findings = Vec::new();
    for (key, spec) in specs {
        let Spec::Workspace(workspace) = spec else {
            continue;
        };
        for hash in &workspace.keys {
            let holder = *holders.entry(hash.to_ascii_lowercase()).or_insert(key);
            if holder != key {
                let message = format!("a key is also one of {holder}");
                findings.push(declared[key].finding("keys", message));
            }
        }
    }
    findings
}

/// Returns the field of `spec` that refers to an undeclared resource, and that resource's key.
pub fn missing_reference(spec: &Spec, specs: &BTreeMap<Key, Spec>) -> Option<(&'static str, Key)> {
    let spec_key = spec.key();
    let referenced = |kind, name: &Arc<str>| Key {
        kind,
        partner: spec_key.partner.clone(),
        name: name.clone(),
    };
    let (field, key) = match spec {
        Spec::Partner(_) => return None,
        Spec::Group(_) | Spec::Workspace(_) => ("partner", referenced(Kind::Partner, &"".into())),
        Spec::Member(member) => ("group", referenced(Kind::Group, &member.group)),
        Spec::Read(read) => ("group", referenced(Kind::Group, &read.group)),
        Spec::Once(once) => ("group", referenced(Kind::Group, &once.group)),
        Spec::Database(database) => ("group", referenced(Kind::Group, &database.group)),
    };
    (!specs.contains_key(&key)).then_some((field, key))
}
