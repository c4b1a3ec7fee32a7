//! Templates and customers that experiments publish.

use std::fmt::Write;

use crate::spread::Favour;
use crate::weight::Digest;

/// Name of the experiments' template.
pub const TEMPLATE: &str = "templates/burst";

/// Name of the experiments' customer.
pub const CUSTOMER: &str = "customers/nordvind";

/// Name of the experiments' customer without the leading directory.
pub const CUSTOMER_NAME: &str = "nordvind";

/// Name of the experiments' model.
pub const MODEL: &str = "fault-summary";

/// Name of the experiments' plain service.
pub const SERVICE: &str = "dispatch";

/// A template of one model in given halls, with digest, size and replicas as parameters.
pub fn template(halls: &[String], favour: Favour) -> String {
    let favour = match favour {
        Favour::Time => "time",
        Favour::OriginBytes => "origin-bytes",
    };
    let halls: Vec<String> = halls.iter().map(|hall| format!("\"{hall}\"")).collect();
    let halls = halls.join(", ");
    format!(
        r#"[parameters.digest]
type = "digest"

[parameters.bytes]
type = "integer"
minimum = 1

[parameters.replicas]
type = "integer"
minimum = 1

[side]
halls = [{halls}]

[[models]]
name = "{MODEL}"
replicas = "${{replicas}}"
favour = "{favour}"

[[models.versions]]
digest = "${{digest}}"
bytes = "${{bytes}}"

[[services]]
name = "{SERVICE}"
repeatable = false
"#
    )
}

/// A customer of that template.
pub fn customer(digest: Digest, bytes: u64, replicas: usize) -> String {
    let mut text = String::from("template = \"burst\"\n\n[values]\n");
    let _ = writeln!(text, "digest = \"{digest}\"");
    let _ = writeln!(text, "bytes = {bytes}");
    let _ = writeln!(text, "replicas = {replicas}");
    text
}
