use std::sync::Arc;

use googletest::prelude::*;
use larkfall::metrics::Metrics;

/// Guards against a name that ends a label, or adds a line of its own.
#[gtest]
fn a_name_with_line_ends_and_quotes_stays_within_its_label() {
    let metrics = Metrics::default();
    let hostile: Arc<str> = "a\"} 1\nforged{x=\"\\\r\0".into();
    let before = metrics.text().lines().count();
    metrics.count_operation(&"plain".into(), "admitted");
    let with_plain = metrics.text().lines().count();
    metrics.count_operation(&hostile, "admitted");
    let text = metrics.text();
    expect_that!(with_plain, gt(before));
    expect_that!(
        text.split('\n')
            .filter(|line| line.starts_with("forged"))
            .count(),
        eq(0)
    );
    expect_that!(text.lines().count(), eq(with_plain + 1));
    expect_that!(
        text,
        contains_substring(r#"workspace="a\"} 1\nforged{x=\"\\"#)
    );
}
