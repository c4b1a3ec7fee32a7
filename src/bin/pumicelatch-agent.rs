//! The agent.

use pumicelatch::agent::daemon;

fn main() {
    let result = actix_rt::System::new().block_on(daemon::run());
    pumicelatch::daemon::exit(daemon::PROGRAM, result);
}
