//! Settings from flags and environment variables, checked at start.
//!
//! Every option `--some-name` can be given as `PUMICELATCH_SOME_NAME` too; the flag wins. An error
//! names the option, what is wrong with its value, and what would do.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::str::FromStr;

/// Leads the environment variables.
const PREFIX: &str = "PUMICELATCH_";

/// Exit code for a wrong command line or setting.
pub const EXIT_USAGE: i32 = 2;

/// One option.
#[derive(Debug, Clone, Copy)]
pub struct Spec {
    /// Its name, without dashes in front.
    pub name: &'static str,
    /// What its value is, for `--help`; empty for a flag without one.
    pub value: &'static str,
    /// The value if none is given; `None` makes it optional.
    pub default: Option<&'static str>,
    /// Whether it must be given.
    pub required: bool,
    /// Whether it may be given several times.
    pub repeated: bool,
    /// What it does.
    pub help: &'static str,
}

impl Spec {
    /// An option with a default.
    pub const fn with_default(
        name: &'static str,
        value: &'static str,
        default: &'static str,
        help: &'static str,
    ) -> Self {
        Self {
            name,
            value,
            default: Some(default),
            required: false,
            repeated: false,
            help,
        }
    }

    /// An option that must be given.
    pub const fn required(name: &'static str, value: &'static str, help: &'static str) -> Self {
        Self {
            name,
            value,
            default: None,
            required: true,
            repeated: false,
            help,
        }
    }

    /// An option that may be left out.
    pub const fn optional(name: &'static str, value: &'static str, help: &'static str) -> Self {
        Self {
            required: false,
            ..Self::required(name, value, help)
        }
    }

    /// An option that may be given several times.
    pub const fn repeated(name: &'static str, value: &'static str, help: &'static str) -> Self {
        Self {
            repeated: true,
            ..Self::optional(name, value, help)
        }
    }

    /// A flag without a value.
    pub const fn flag(name: &'static str, help: &'static str) -> Self {
        Self::optional(name, "", help)
    }

    fn variable(&self) -> String {
        format!("{PREFIX}{}", self.name.to_uppercase().replace('-', "_"))
    }
}

/// What is wrong with the settings.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The command line has an unknown or incomplete option.
    #[error("{reason}; see --help")]
    CommandLine {
        /// What the parser reported.
        reason: String,
    },
    /// A required option is missing.
    #[error("option --{name} is missing; give it, or set {variable}")]
    Missing {
        /// The option.
        name: &'static str,
        /// Its environment variable.
        variable: String,
    },
    /// A value is wrong.
    #[error("option --{name}: `{value}` is wrong: {reason}; give {expected}")]
    Value {
        /// The option.
        name: &'static str,
        /// What was given.
        value: String,
        /// What is wrong with it.
        reason: String,
        /// What would do.
        expected: String,
    },
    /// Two settings contradict each other.
    #[error("option --{name}: {reason}")]
    Conflict {
        /// The option to change.
        name: &'static str,
        /// What is wrong and what would do.
        reason: String,
    },
}

/// What the command line asks for.
#[derive(Debug)]
pub enum Request {
    /// Run with these settings.
    Run(Values),
    /// Print this and stop.
    Print(String),
}

/// The values of a program's options.
#[derive(Debug, Default)]
pub struct Values {
    specs: Vec<Spec>,
    given: BTreeMap<&'static str, Vec<String>>,
    /// Arguments that are no options.
    pub free: Vec<String>,
}

/// Parses `arguments` (without the program's name) and the environment.
pub fn parse(
    program: &str,
    summary: &str,
    specs: &[Spec],
    arguments: &[String],
    environment: impl Fn(&str) -> Option<String>,
) -> Result<Request, Error> {
    let mut options = getopts::Options::new();
    for spec in specs {
        match spec.value {
            "" => options.optflag("", spec.name, spec.help),
            value => options.optmulti("", spec.name, spec.help, value),
        };
    }
    options.optflag("h", "help", "print this and stop");
    options.optflag("", "version", "print the version and stop");
    let matches = options
        .parse(arguments)
        .map_err(|error| Error::CommandLine {
            reason: error.to_string(),
        })?;
    if matches.opt_present("help") {
        return Ok(Request::Print(usage(program, summary, specs)));
    }
    if matches.opt_present("version") {
        let version = env!("CARGO_PKG_VERSION");
        return Ok(Request::Print(format!("{program} {version}\n")));
    }
    let mut values = Values {
        specs: specs.to_vec(),
        free: matches.free.clone(),
        ..Values::default()
    };
    for spec in specs {
        let mut given = if spec.value.is_empty() {
            vec!["true".to_owned(); usize::from(matches.opt_present(spec.name))]
        } else {
            matches.opt_strs(spec.name)
        };
        if given.is_empty() {
            given.extend(environment(&spec.variable()));
        }
        if given.is_empty() {
            given.extend(spec.default.map(str::to_owned));
        }
        if given.is_empty() && spec.required {
            return Err(Error::Missing {
                name: spec.name,
                variable: spec.variable(),
            });
        }
        if given.len() > 1 && !spec.repeated {
            return Err(Error::CommandLine {
                reason: format!("option --{} is given {} times", spec.name, given.len()),
            });
        }
        values.given.insert(spec.name, given);
    }
    Ok(Request::Run(values))
}

/// Parses `arguments` and the process's environment; `None` after printing help or version.
pub fn values(
    program: &str,
    summary: &str,
    specs: &[Spec],
    arguments: &[String],
) -> Result<Option<Values>, Error> {
    let environment = |name: &str| std::env::var(name).ok();
    match parse(program, summary, specs, arguments, environment)? {
        Request::Run(values) => Ok(Some(values)),
        Request::Print(text) => {
            print!("{text}");
            Ok(None)
        }
    }
}

fn usage(program: &str, summary: &str, specs: &[Spec]) -> String {
    let mut text = format!("{summary}\n\nUsage: {program} [OPTIONS]\n\nOptions:\n");
    for spec in specs {
        let _ = write!(text, "  --{} {}", spec.name, spec.value);
        let _ = write!(text, "\n      {}", spec.help);
        if let Some(default) = spec.default {
            let _ = write!(text, " [default: {default}]");
        }
        if spec.required {
            let _ = write!(text, " [required]");
        }
        if spec.repeated {
            let _ = write!(text, " [repeatable]");
        }
        let _ = writeln!(text, " [env: {}]", spec.variable());
    }
    text.push_str(
        "  -h, --help\n      print this and stop\n  --version\n      print the version and stop\n",
    );
    text
}

impl Values {
    /// The value of an option that is required or has a default.
    pub fn get<T: FromStr>(&self, name: &'static str, expected: &str) -> Result<T, Error>
    where
        T::Err: std::fmt::Display,
    {
        match self.optional(name, expected)? {
            Some(value) => Ok(value),
            None => Err(Error::Missing {
                name,
                variable: self.spec(name).map(Spec::variable).unwrap_or_default(),
            }),
        }
    }

    /// The value of an option that may be left out.
    pub fn optional<T: FromStr>(
        &self,
        name: &'static str,
        expected: &str,
    ) -> Result<Option<T>, Error>
    where
        T::Err: std::fmt::Display,
    {
        Ok(self.all(name, expected)?.pop())
    }

    /// Every value of a repeatable option.
    pub fn all<T: FromStr>(&self, name: &'static str, expected: &str) -> Result<Vec<T>, Error>
    where
        T::Err: std::fmt::Display,
    {
        let given = self.given.get(name).map(Vec::as_slice).unwrap_or_default();
        given
            .iter()
            .map(|text| {
                text.parse().map_err(|error: T::Err| Error::Value {
                    name,
                    value: text.clone(),
                    reason: error.to_string(),
                    expected: expected.to_owned(),
                })
            })
            .collect()
    }

    /// A number within `range`.
    pub fn number<T>(
        &self,
        name: &'static str,
        range: std::ops::RangeInclusive<T>,
    ) -> Result<T, Error>
    where
        T: FromStr + PartialOrd + std::fmt::Display + Copy,
        T::Err: std::fmt::Display,
    {
        let expected = format!("a number from {} to {}", range.start(), range.end());
        let value: T = self.get(name, &expected)?;
        if range.contains(&value) {
            return Ok(value);
        }
        Err(Error::Value {
            name,
            value: value.to_string(),
            reason: "it is out of range".to_owned(),
            expected,
        })
    }

    /// An `http://` address of a service, without a slash at its end.
    pub fn url(&self, name: &'static str) -> Result<String, Error> {
        let expected = "an address such as http://10.0.0.1:8000";
        let text: String = self.get(name, expected)?;
        let valid = text
            .strip_prefix("http://")
            .is_some_and(|rest| !rest.is_empty() && !rest.contains(['/', ' ', '?', '#']));
        if valid {
            return Ok(text);
        }
        Err(Error::Value {
            name,
            value: text,
            reason: "it is no plain http:// address of host and port".to_owned(),
            expected: expected.to_owned(),
        })
    }

    /// Whether a flag was given.
    pub fn flag(&self, name: &'static str) -> bool {
        self.given
            .get(name)
            .is_some_and(|given| given.iter().any(|value| value != "false"))
    }

    fn spec(&self, name: &str) -> Option<&Spec> {
        self.specs.iter().find(|spec| spec.name == name)
    }
}
