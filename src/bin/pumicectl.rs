//! The operator's command line.

fn main() {
    pumicelatch::log::start("pumicectl", log::LevelFilter::Error);
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let result = actix_rt::System::new().block_on(pumicelatch::ctl::run(&arguments));
    let code = result.unwrap_or_else(|error| {
        eprintln!("pumicectl: {error}");
        error.exit_code()
    });
    std::process::exit(code);
}
