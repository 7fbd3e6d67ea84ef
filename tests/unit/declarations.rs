use googletest::prelude::*;
use larkfall::declarations::check;
use larkfall::declarations::entry::parse;

const GOOD: &str = r#"
[[partner]]
name = "huerto"
operator = "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"

[[group]]
partner = "huerto"
name = "market"
"#;

fn findings(text: &str) -> Vec<String> {
    let (entries, mut findings) = parse("a.toml", text);
    findings.extend(check::all(&entries).err().unwrap_or_default());
    findings.iter().map(ToString::to_string).collect()
}

#[gtest]
fn valid_declarations_have_no_findings() {
    expect_that!(findings(GOOD), is_empty());
}

#[gtest]
fn each_mistake_is_reported_with_its_line() {
    let text = format!(
        "{GOOD}slots = 0\ncolour = \"red\"\n\n[[member]]\npartner = \"huerto\"\n\
        group = \"field\"\nname = \"m0\"\nsql = \"nowhere\"\ncontrol = \"127.0.0.1:1\"\ndomain = \"d0\"\n"
    );
    expect_that!(
        findings(&text),
        unordered_elements_are![
            contains_substring("a.toml:9: group.slots: must be a whole number from 1"),
            contains_substring("a.toml:10: group.colour: is not known"),
            contains_substring("a.toml:16: member.sql: must be IP:port"),
        ]
    );
}

#[gtest]
fn a_missing_group_is_reported_at_the_field_that_names_it() {
    let text =
        format!("{GOOD}[[read]]\npartner = \"huerto\"\ngroup = \"field\"\nname = \"panel\"\n");
    let found = findings(&text);
    expect_that!(
        found,
        elements_are![eq(
            "a.toml:11: read.group: group/huerto/field is not declared"
        )]
    );
}

#[gtest]
fn a_syntax_error_is_reported_with_its_line() {
    expect_that!(
        findings("[[partner]]\nname = \n"),
        elements_are![contains_substring("a.toml:2: syntax:")]
    );
}

const HASH: &str = "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef";

#[gtest]
fn two_workspaces_cannot_share_a_key() {
    let workspace = |name: &str| {
        format!(
            "[[workspace]]\npartner = \"huerto\"\nname = \"{name}\"\nkeys = [\"{HASH}\"]\n\
            rate_per_s = 0\nburst = 5\n"
        )
    };
    let one = format!("{GOOD}{}", workspace("school-1"));
    expect_that!(findings(&one), is_empty());
    let two = format!("{one}{}", workspace("school-2"));
    let found = findings(&two);
    expect_that!(
        found,
        elements_are![contains_substring(
            "a key is also one of workspace/huerto/school-1"
        )]
    );
    expect_that!(found[0], not(contains_substring(HASH)));
}

#[gtest]
fn a_plaintext_key_is_rejected_and_not_shown() {
    let text = format!(
        "{GOOD}[[workspace]]\npartner = \"huerto\"\nname = \"\"\nkeys = [\"secret-key\"]\n"
    );
    let found = findings(&text);
    expect_that!(
        found,
        unordered_elements_are![
            contains_substring("workspace.name: must be 1 to 253 signs"),
            contains_substring("workspace.keys: must be a list of SHA-256"),
        ]
    );
    expect_that!(found.join(" "), not(contains_substring("secret-key")));
}
