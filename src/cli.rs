//! The command line, parsed by `xflags`.

pub mod flags;
