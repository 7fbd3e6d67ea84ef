//! Builds the ports of a box on the users' platform.

use std::rc::Rc;

use slog::Logger;

use super::callers::LineEntry;
use super::control::Controls;
use super::node_file::File;
use super::store::Store;
use super::table::{self, Mirror};
use super::upstream::LineDialer;
use crate::configs::run::Run;
use crate::decisions::readers;
use crate::http::Client;
use crate::metrics::Metrics;
use crate::node::joining::SEED_WAIT;
use crate::node::run::Ports;

/// Builds the ports from the settings file and the run settings derived from it.
pub fn platform(file: &File, run: &Run, log: &Logger) -> Ports {
    let client = Client::new(file.ip);
    let store = Store::new(client.clone(), file.platform.address.clone());
    let reader_settings = readers::Settings::new(run.apply_deadline, run.first_start);
    let settings = table::Settings {
        apply_deadline: run.apply_deadline,
        start_paused: run.share_table_reads,
        roster_delay: match run.first_start {
            true => reader_settings.roster_wait,
            false => SEED_WAIT,
        },
    };
    let metrics: Rc<Metrics> = Rc::default();
    let mirror = Mirror::start(store, settings, metrics.clone(), log.clone());
    let dialer = LineDialer {
        from: file.ip,
        connect_timeout: run.connect_timeout,
        metrics: metrics.clone(),
        log: log.clone(),
    };
    let (cloud_api, from) = (file.cloud_api.address.clone(), file.ip);
    let controls = move |pool: &Rc<_>| -> Rc<dyn crate::borders::member::Members> {
        Rc::new(Controls {
            pool: Rc::clone(pool),
            from,
            cloud_api,
        })
    };
    let ports = Ports::new(
        client,
        Rc::new(LineEntry),
        Rc::new(dialer),
        controls,
        mirror.clone(),
        mirror,
    );
    Ports { metrics, ..ports }
}
