//! Connections that never say CONNECT take up a box's descriptors.

use std::net::TcpStream;
use std::time::{Duration, Instant};

use crate::client::Client;
use crate::member::Sheet;
use crate::world::{STRICT, World};

/// `cosecha-larkfall`, but with fewer descriptors than its 4,200, so that they run out in a few seconds.
const SHEET: Sheet = Sheet {
    lag: Duration::from_millis(60),
    promote: Duration::from_millis(300),
    work: Duration::from_millis(6),
    connections: 23,
    sync_replicas: 0,
    files: Some(1_500),
};
/// More than the box has descriptors: some wait to be accepted.
const CONNECTIONS: u64 = 2_400;
const OPENERS: u64 = 8;
/// How long after the silent connections are closed the box is asked.
const WATCH: Duration = Duration::from_secs(25);

pub fn run(trouble: bool) -> Result<bool, String> {
    let world = World::start("silent-connections", 3, SHEET)?;
    let machine = &world.machines[0];
    let group = &world.group;
    if trouble {
        let front = machine.front();
        // Opened from several threads: the box closes each of them after 10 s.
        let open = move || {
            let limit = Duration::from_secs(3);
            let all = 0..CONNECTIONS / OPENERS;
            let opened = all.map_while(|_| TcpStream::connect_timeout(&front, limit).ok());
            opened.collect::<Vec<_>>()
        };
        let openers: Vec<_> = (0..OPENERS).map(|_| std::thread::spawn(open)).collect();
        let silent = openers.into_iter().filter_map(|opener| opener.join().ok());
        let silent: Vec<TcpStream> = silent.flatten().collect();
        std::thread::sleep(Duration::from_secs(2));
        group.note(format!("{} silent connections are open", silent.len()));
    }
    group.note("no silent connection is open any more".to_owned());
    let end = Instant::now() + WATCH;
    let mut served = 0;
    let mut refused = 0;
    while Instant::now() < end {
        let session = Client::connect(machine.front(), STRICT);
        let ready = machine.is_ready();
        let seen = session
            .as_ref()
            .map(|_| "served")
            .map_err(ToString::to_string);
        group.note(format!("ready: {ready}; a client's session: {seen:?}"));
        match session {
            Ok(_) => served += 1,
            Err(_) if ready => refused += 1,
            Err(_) => {}
        }
        std::thread::sleep(Duration::from_secs(1));
    }
    let text =
        format!("{served} sessions served, {refused} refused by a box that says it is ready");
    group.note(text.clone());
    println!("{text}");
    Ok(served > 0)
}
