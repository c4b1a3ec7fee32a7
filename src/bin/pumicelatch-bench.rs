//! Experiments and stand-ins.

use pumicelatch::bench::command;

fn main() -> anyhow::Result<()> {
    pumicelatch::log::start("pumicelatch-bench", log::LevelFilter::Error);
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let code = actix_rt::System::new().block_on(command::run(&arguments));
    match code {
        Ok(code) => std::process::exit(code),
        Err(error) => {
            eprintln!("pumicelatch-bench: {error}");
            std::process::exit(error.exit_code());
        }
    }
}
