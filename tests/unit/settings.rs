use googletest::prelude::*;
use larkfall::configs::run::{Run, Source};

fn read(
    flags: &[(&str, &str)],
    variables: &[(&str, &str)],
) -> std::result::Result<Run, Vec<String>> {
    let find = |list: &[(&str, &str)], name: &str| {
        list.iter()
            .find(|(key, _)| *key == name)
            .map(|(_, value)| (*value).to_owned())
    };
    let source = Source {
        flag: &|name| find(flags, name),
        variable: &|name| find(variables, name),
    };
    let findings = |found: Vec<_>| found.iter().map(ToString::to_string).collect();
    Run::from_source(source).map_err(findings)
}

#[gtest]
fn a_flag_takes_precedence_over_its_variable() {
    let flags = [("name", "a"), ("domain", "d"), ("platform", "127.0.0.1:1")];
    let run = read(&flags, &[("LARKFALL_NAME", "b"), ("LARKFALL_POLL_MS", "7")]);
    let run = run.expect("the settings are valid");
    expect_that!(&*run.name, eq("a"));
    expect_that!(run.poll_interval.as_millis(), eq(7));
}

#[gtest]
fn all_mistakes_are_reported_together() {
    let found = read(
        &[("port", "x"), ("domain", "d")],
        &[("LARKFALL_POLL_MS", "0")],
    );
    expect_that!(
        found,
        err(unordered_elements_are![
            contains_substring("flags: name: is missing"),
            contains_substring("flags: platform: is missing"),
            contains_substring("flags: port: must be a whole number"),
            contains_substring("environment: poll-ms: must be milliseconds"),
        ])
    );
}
