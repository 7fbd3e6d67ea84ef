//! The borders of a box on the users' platform.

use std::rc::Rc;

use slog::Logger;

use super::callers::Lines;
use super::control::Controls;
use super::file::File;
use super::store::Store;
use super::table::{self, Mirror};
use super::upstream::Remote;
use crate::configs::run::Run;
use crate::decisions::readers;
use crate::http::Client;
use crate::metrics::Metrics;
use crate::node::run::Ports;

/// Ports for this file; `run` are the settings made of it.
pub fn platform(file: &File, run: &Run, log: &Logger) -> Ports {
    let client = Client::new(file.ip);
    let store = Store::new(client.clone(), file.platform.address.clone());
    let reading = readers::Settings::new(run.apply, run.first_start);
    let settings = table::Settings {
        apply: run.apply,
        rests: run.follow,
        gather: reading.roster_wait,
    };
    let metrics: Rc<Metrics> = Rc::default();
    let mirror = Mirror::start(store, settings, metrics.clone(), log.clone());
    let dialer = Remote {
        from: file.ip,
        wait: run.connect_wait,
    };
    let (cloud, orders) = (file.cloud_api.address.clone(), client.clone());
    let controls = move |pool: &Rc<_>| -> Rc<dyn crate::borders::member::Members> {
        Rc::new(Controls {
            pool: Rc::clone(pool),
            client: orders,
            cloud,
        })
    };
    let ports = Ports::new(
        client,
        Rc::new(Lines),
        Rc::new(dialer),
        controls,
        mirror.clone(),
        mirror,
    );
    Ports { metrics, ..ports }
}
