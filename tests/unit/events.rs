use googletest::prelude::*;
use larkfall::events::ALL;

#[gtest]
fn the_catalogue_and_the_code_agree() {
    let page = include_str!("../../docs/EVENTS.md");
    let rows: Vec<String> = page
        .lines()
        .filter(|line| line.starts_with("| ") && line.as_bytes()[2].is_ascii_digit())
        .map(|line| {
            line.split('|')
                .skip(1)
                .take(3)
                .map(str::trim)
                .collect::<Vec<_>>()
                .join("|")
        })
        .collect();
    let code: Vec<String> = ALL
        .iter()
        .map(|kind| {
            let level = kind.level.as_str().to_lowercase();
            format!("{}|{level}|{}", kind.number, kind.text)
        })
        .collect();
    expect_that!(rows, eq(&code));
}
