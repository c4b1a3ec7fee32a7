//! A playground.
use crate::entry::{self, Entry};
use crate::fleet::{self, Replica};
use crate::record::Record;
use crate::store::Store;
pub fn play(folder: &str) -> Result<bool, String> {
    let record = Record::create(folder)?;
    let store = Store::start()?;
    let routes = [
        fleet::route("sheet", "idempotent", "labbench", 1_500, false),
        fleet::route("state", "non_idempotent", "labbench", 1_500, false),
        fleet::route("mark", "streaming", "tutor", 6_000, true),
    ];
    store.put("op/config", &fleet::configuration(1, &routes, &["labbench", "tutor"]));
    let mut replicas = Vec::new();
    for (id, service, kind) in [("a-0", "labbench", "plain"), ("a-1", "labbench", "plain"), ("t-0", "tutor", "stream"), ("t-1", "tutor", "stream")] {
        let replica = Replica::start(id, kind, 0, &record)?;
        replica.list(&store, service, "ready");
        replicas.push(replica);
    }
    let temporary = entry::temporary("play")?;
    let entry = Entry::start("edge-lis-a-1", entry::place()?, store.address, &[], &temporary)?;
    entry.until_ready()?;
    println!("FRONT {} LOG {} PID {} RECORD {folder}/record.txt STORE {}", entry.front, entry.log.display(), entry.child.id(), store.address);
    std::thread::sleep(std::time::Duration::from_secs(100));
    Ok(true)
}
