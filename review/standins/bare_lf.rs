//! UNASKED: a client's statement holds a line feed without a carriage return. Lines end with CR LF,
//! so it is part of the statement's last field, but the box takes it for the end of a message.

use std::time::Duration;

use crate::boxes::{Client, ZONES, wait_until};
use crate::member::{Group, Member};
use crate::{NotRun, Run, STRICT, keep_entries, put_manifest};

const SERVICE: &str = "huvo11a";
const CONNECTIONS: usize = 23;
const WORK: Duration = Duration::from_millis(6);

pub fn play(run: Run) -> Result<Vec<String>, NotRun> {
    let record = run.record.clone();
    let ids = ["i-a", "i-b", "i-c"];
    let group = Group::new(SERVICE, &ids, false, record.clone());
    run.store.add_group(&group);
    let members: Vec<Member> = ids
        .iter()
        .zip(ZONES)
        .map(|(id, zone)| Member::start(&group, id, zone, CONNECTIONS, WORK))
        .collect();
    put_manifest(&run.store, SERVICE, CONNECTIONS, 0);
    keep_entries(&run.store, &members);
    let mut entry = run.site.new_box(1, ZONES[0], true);
    entry.start();
    if !wait_until(Duration::from_secs(10), || entry.serves(SERVICE)) {
        return Err("the box doesn't serve".to_owned());
    }
    let mut client = Client::connect(entry.front(), STRICT, "c")?;
    let data = match run.trouble {
        true => "one\nQUERY c-99 WRITE other two",
        false => "one two",
    };
    let text = format!("WRITE thing {data}");
    let answer = client.run(&text);
    let shown = answer.map_or_else(|error| error, |answer| answer.summary());
    record.tell(&format!(
        "client sent {} {text:?}: {shown}",
        client.last_id()
    ));
    std::thread::sleep(Duration::from_millis(300));
    let sent = [(client.last_id(), text)];
    let runs = group.runs.lock().unwrap();
    let unasked = runs.iter().filter(|ran| {
        !sent
            .iter()
            .any(|(id, text)| *id == ran.id && *text == ran.text)
    });
    Ok(unasked
        .map(|ran| {
            format!(
                "UNASKED: {} ran {} {:?}, which no client sent",
                ran.member, ran.id, ran.text
            )
        })
        .collect())
}
