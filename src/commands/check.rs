//! `larkfall check`: validates files of declarations offline.

use std::path::{Path, PathBuf};

use anyhow::Context;

use super::{Exit, print_findings};
use crate::declarations::check;
use crate::declarations::entry::{self, Entry};
use crate::declarations::finding::Finding;

/// Reads all declarations in the files and folders, sorted by path within each folder.
pub fn load_entries(paths: &[PathBuf]) -> anyhow::Result<(Vec<Entry>, Vec<Finding>)> {
    let mut entries = Vec::new();
    let mut findings = Vec::new();
    for path in paths {
        for file in files(path)? {
            let name = file.display().to_string();
            let text =
                std::fs::read_to_string(&file).with_context(|| format!("can't read {name}"))?;
            let (file_entries, file_findings) = entry::parse(&name, &text);
            entries.extend(file_entries);
            findings.extend(file_findings);
        }
    }
    Ok((entries, findings))
}

/// Returns the file itself, or all TOML files below the folder.
fn files(path: &Path) -> anyhow::Result<Vec<PathBuf>> {
    if !path.is_dir() {
        return Ok(vec![path.to_owned()]);
    }
    let mut found = Vec::new();
    for item in std::fs::read_dir(path).with_context(|| format!("can't read {}", path.display()))? {
        let path = item?.path();
        if path.is_dir() {
            found.extend(files(&path)?);
        } else if path
            .extension()
            .is_some_and(|extension| extension == "toml")
        {
            found.push(path);
        }
    }
    found.sort();
    Ok(found)
}

pub fn run(paths: &[PathBuf]) -> anyhow::Result<Exit> {
    if paths.is_empty() {
        eprintln!("check needs at least one file or folder");
        return Ok(Exit::BadInput);
    }
    let (entries, mut findings) = load_entries(paths)?;
    match check::all(&entries) {
        Ok(specs) if findings.is_empty() => {
            println!("{} resources, no findings", specs.len());
            return Ok(Exit::Done);
        }
        Ok(_) => {}
        Err(invalid) => findings.extend(invalid),
    }
    findings.sort_by(|a, b| (&a.file, a.line).cmp(&(&b.file, b.line)));
    print_findings(&findings);
    Ok(Exit::BadInput)
}
