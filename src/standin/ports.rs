//! Ports of a box that runs on the stand-ins and serves the PostgreSQL protocol.

use std::rc::Rc;

use super::control::Remotes;
use super::platform_client::Platform;
use crate::configs::run::Run;
use crate::http::Client;
use crate::node::run::Ports;
use crate::postgres::connection::Connector;
use crate::postgres::entry::Acceptor;

/// Creates the ports for these settings.
pub fn build(settings: &Run) -> Ports {
    let client = Client::new(settings.ip);
    let from = settings.ip;
    let platform = Rc::new(Platform::new(client.clone(), settings.platform.clone()));
    let dialer = Connector {
        source: from,
        timeout: settings.connect_timeout,
    };
    let members = Remotes {
        client: client.clone(),
        source: from,
    };
    Ports::new(
        client,
        Rc::new(Acceptor),
        Rc::new(dialer),
        |_| Rc::new(members),
        platform.clone(),
        platform,
    )
}
