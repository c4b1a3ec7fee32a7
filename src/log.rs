//! Logs as JSON lines on standard error.

use std::collections::BTreeMap;
use std::io::Write;

use log::kv;
use serde::Serialize;

use crate::clock;

/// One line of the log.
#[derive(Debug, Serialize)]
struct Line<'a> {
    time_ms: u64,
    level: &'a str,
    program: &'a str,
    module: &'a str,
    message: String,
    #[serde(flatten)]
    fields: BTreeMap<String, String>,
}

/// Collects the key-value pairs of a record.
struct Fields<'a>(&'a mut BTreeMap<String, String>);

impl<'kvs> kv::VisitSource<'kvs> for Fields<'_> {
    fn visit_pair(&mut self, key: kv::Key<'kvs>, value: kv::Value<'kvs>) -> Result<(), kv::Error> {
        self.0.insert(key.to_string(), value.to_string());
        Ok(())
    }
}

/// Starts logging for `program`. `RUST_LOG` overrides `level`. A second call changes nothing.
pub fn start(program: &'static str, level: log::LevelFilter) {
    let mut builder = env_logger::Builder::new();
    builder.filter_level(level).parse_default_env();
    builder.format(move |out, record| {
        let mut fields = BTreeMap::new();
        let _ = record.key_values().visit(&mut Fields(&mut fields));
        let line = Line {
            time_ms: clock::unix_millis(),
            level: record.level().as_str(),
            program,
            module: record.module_path().unwrap_or_default(),
            message: record.args().to_string(),
            fields,
        };
        serde_json::to_writer(&mut *out, &line)?;
        writeln!(out)
    });
    let _ = builder.try_init();
}
