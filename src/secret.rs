//! Hashes of tokens, passwords and keys, compared in constant time.

use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

/// Returns the SHA-256 in hexadecimal.
pub fn hash(secret: &str) -> String {
    let digest = Sha256::digest(secret.as_bytes());
    digest.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Whether the secret has the expected hash.
pub fn matches_hash(secret: &str, expected: &str) -> bool {
    let found = hash(secret);
    let expected = expected.to_ascii_lowercase();
    found.as_bytes().ct_eq(expected.as_bytes()).into()
}
