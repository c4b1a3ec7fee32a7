//! `pumicelatch-bench demo`.

use super::Error;

/// Runs the command.
pub async fn run(_arguments: &[String]) -> Result<i32, Error> {
    Ok(0)
}
