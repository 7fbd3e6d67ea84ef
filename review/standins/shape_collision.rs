//! PINNED: a prepared name runs another shape than the one its client prepared. The box names a
//! prepared statement at members by a 64-bit hash of its text (xxh3), which isn't collision-proof,
//! and connections are shared. One client has chosen a shape whose hash is that of another one's.

use std::time::Duration;

use crate::boxes::{Client, ZONES, wait_until};
use crate::member::{Group, Member};
use crate::{NotRun, Run, STRICT, keep_entries, put_manifest};

const SERVICE: &str = "huvo11a";
const CONNECTIONS: usize = 23;
const WORK: Duration = Duration::from_millis(6);
const READ_SHAPE: &str = "READ q2mvc6bbwtdlsl";
/// Has the hash of [`READ_SHAPE`], 4430ab5a3655ec29.
const COLLIDING: &str = "WRITE qzzyvbmlyslqwk";
/// Has another hash.
const OTHER: &str = "WRITE qzzyvbmlyslqwj";
const WRITES: usize = 3;

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
    let write_shape = match run.trouble {
        true => COLLIDING,
        false => OTHER,
    };
    let mut reader = Client::connect(entry.front(), STRICT, "reader")?;
    let mut writer = Client::connect(entry.front(), STRICT, "writer")?;
    let play = |client: &mut Client, text: &str| {
        let answer = client.run(text)?;
        let id = client.last_id();
        record.tell(&format!("{id} {text}: {}", answer.summary()));
        Ok::<_, NotRun>((id, answer))
    };
    play(&mut reader, &format!("PREPARE r {READ_SHAPE}"))?;
    play(&mut reader, "EXECUTE r thing")?;
    play(&mut writer, &format!("PREPARE w {write_shape}"))?;
    let mut acknowledged = Vec::new();
    for i in 0..WRITES {
        let (id, answer) = play(&mut writer, &format!("EXECUTE w thing data-{i}"))?;
        if answer.succeeded() {
            acknowledged.push(id);
        }
    }
    play(&mut reader, "EXECUTE r thing")?;
    let runs = group.runs.lock().unwrap();
    let mut breaks = Vec::new();
    for ran in runs.iter() {
        let prepared = match ran.id.starts_with("reader") {
            true => READ_SHAPE,
            false => write_shape,
        };
        if let Some(shape) = ran.shape.as_deref().filter(|shape| *shape != prepared) {
            breaks.push(format!(
                "PINNED: {} ran {} as {shape:?}; its client prepared {prepared:?}",
                ran.member, ran.id
            ));
        }
    }
    let commits = group.commits.lock().unwrap();
    for id in acknowledged {
        let kept = commits.iter().any(|commit| commit.writes.contains(&id));
        if !kept {
            record.tell(&format!("{id} was acknowledged and isn't in the log"));
        }
    }
    Ok(breaks)
}
