//! Metrics of a box, recorded with `opentelemetry` and exported in Prometheus' text format.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

use crate::decisions::floors::Scope;

/// Number of workspaces with a separate label; all others share [`OTHERS`].
const MAX_NAMED_WORKSPACES: usize = 200;
/// Label of the workspaces beyond [`MAX_NAMED_WORKSPACES`].
const OTHERS: &str = "others";

/// The counters and histograms of a box.
pub struct Metrics {
    registry: Registry,
    _provider: SdkMeterProvider,
    pub reads_by_replica: Counter<u64>,
    pub reads_by_primary: Counter<u64>,
    pub writes: Counter<u64>,
    /// Requests that were refused without having run.
    pub not_run: Counter<u64>,
    /// Writes whose outcome is unknown.
    pub unknown: Counter<u64>,
    pub retries: Counter<u64>,
    /// Exchanges that were forwarded to another box.
    pub forwarded: Counter<u64>,
    /// Promotions that replaced a primary.
    pub replacements: Counter<u64>,
    pub probes: Counter<u64>,
    /// Alerts of a partition that were sent to boxes of the same failure domain.
    pub partition_alerts: Counter<u64>,
    /// Connections to members that were closed because of input that answers no statement.
    pub unexpected_input: Counter<u64>,
    /// Calls to the platform's store, by table and cause.
    store_calls: Counter<u64>,
    settings_reads: Counter<u64>,
    /// Version of the declarations in force.
    active_declarations: Gauge<u64>,
    /// Unix time in milliseconds at which the declarations in force last matched the table.
    declarations_confirmed: Gauge<u64>,
    /// Times that the platform's table was replaced by an older copy.
    pub table_rollbacks: Counter<u64>,
    /// Operations by workspace and by whether its limit admitted them.
    operations: Counter<u64>,
    /// Callers and operations that were refused because their key belongs to no workspace.
    pub unknown_keys: Counter<u64>,
    /// Workspaces with a separate label.
    named_workspaces: RefCell<BTreeSet<Arc<str>>>,
    /// Time from a statement's arrival to its answer, by declared kind of read and outcome.
    pub answer_ms: Histogram<f64>,
    /// Time that statements waited for a slot of a member.
    pub queue_ms: Histogram<f64>,
    /// Time that members took to answer.
    pub member_ms: Histogram<f64>,
    /// Time to confirm a write or a read before it is answered.
    pub confirmation_ms: Histogram<f64>,
}

impl Default for Metrics {
    fn default() -> Self {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .expect("a new registry accepts an exporter");
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("larkfall");
        let counter = |name: &'static str| meter.u64_counter(name).build();
        let gauge = |name: &'static str| meter.u64_gauge(name).build();
        Self {
            reads_by_replica: counter("larkfall_reads_by_replica"),
            reads_by_primary: counter("larkfall_reads_by_primary"),
            writes: counter("larkfall_writes"),
            not_run: counter("larkfall_not_run"),
            unknown: counter("larkfall_unknown"),
            retries: counter("larkfall_retries"),
            forwarded: counter("larkfall_forwarded"),
            replacements: counter("larkfall_replacements"),
            probes: counter("larkfall_probes"),
            partition_alerts: counter("larkfall_cut_warnings"),
            unexpected_input: counter("larkfall_unexpected_input"),
            store_calls: counter("larkfall_store_calls"),
            settings_reads: counter("larkfall_settings_reads"),
            active_declarations: gauge("larkfall_active_declarations"),
            declarations_confirmed: gauge("larkfall_active_declarations_confirmed_ms"),
            table_rollbacks: counter("larkfall_older_copies"),
            operations: counter("larkfall_operations"),
            unknown_keys: counter("larkfall_strangers"),
            named_workspaces: RefCell::default(),
            answer_ms: meter.f64_histogram("larkfall_answer_ms").build(),
            queue_ms: meter.f64_histogram("larkfall_queue_ms").build(),
            member_ms: meter.f64_histogram("larkfall_member_ms").build(),
            confirmation_ms: meter.f64_histogram("larkfall_confirmation_ms").build(),
            registry,
            _provider: provider,
        }
    }
}

impl Metrics {
    /// Records the answer time of a statement.
    pub fn record_answer(&self, outcome: &'static str, scope: &Scope, took: Duration) {
        let kind = scope.read_kind.as_deref().unwrap_or("none").to_owned();
        let labels = [
            KeyValue::new("kind", kind),
            KeyValue::new("outcome", outcome),
        ];
        self.answer_ms.record(took.as_secs_f64() * 1_000.0, &labels);
    }

    /// Counts a call to the platform's store. The cause is `start` (reading all rows), `retry` (an
    /// earlier call failed), `stale` (other boxes reported no recent revision), `wait` (long poll
    /// for changes), or `listing` or `record` (writes).
    pub fn count_store_call(&self, table: &'static str, cause: &'static str) {
        let labels = [KeyValue::new("table", table), KeyValue::new("cause", cause)];
        self.store_calls.add(1, &labels);
    }

    /// Records the version of the declarations in force.
    pub fn record_declarations(&self, version: u64) {
        self.active_declarations.record(version, &[]);
    }

    /// Records that the declarations in force matched the table this long ago.
    pub fn record_confirmation(&self, age: Duration) {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        let confirmed = since_epoch.unwrap_or_default().saturating_sub(age);
        let confirmed_ms = confirmed.as_millis() as u64;
        self.declarations_confirmed.record(confirmed_ms, &[]);
    }

    /// Counts an operation of a workspace, by how its limit treated it.
    pub fn count_operation(&self, workspace: &Arc<str>, outcome: &'static str) {
        let labels = [
            KeyValue::new("workspace", self.workspace_label(workspace)),
            KeyValue::new("outcome", outcome),
        ];
        self.operations.add(1, &labels);
    }

    fn workspace_label(&self, workspace: &Arc<str>) -> Arc<str> {
        let mut workspaces = self.named_workspaces.borrow_mut();
        if workspaces.contains(workspace) {
            return workspace.clone();
        }
        if workspaces.len() >= MAX_NAMED_WORKSPACES {
            return OTHERS.into();
        }
        workspaces.insert(workspace.clone());
        workspace.clone()
    }

    /// Counts a reload of the settings file, which was `taken` or `refused`.
    pub fn count_settings_read(&self, outcome: &'static str) {
        let labels = [KeyValue::new("outcome", outcome)];
        self.settings_reads.add(1, &labels);
    }

    /// Returns all metrics in Prometheus' text format.
    pub fn text(&self) -> String {
        render(&self.registry)
    }

    pub fn registry(&self) -> Registry {
        self.registry.clone()
    }
}

/// Returns a registry's metrics in Prometheus' text format.
pub fn render(registry: &Registry) -> String {
    let mut bytes = Vec::new();
    let _ = TextEncoder::new().encode(&registry.gather(), &mut bytes);
    String::from_utf8_lossy(&bytes).into_owned()
}
