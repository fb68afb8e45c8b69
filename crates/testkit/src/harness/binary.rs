//! The binaries that a harness can start.

use std::path::PathBuf;

use eyre::{Result, WrapErr, ensure, eyre};

/// A binary or example of the workspace that a harness can start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Binary {
    /// The node that forwards calls.
    Node,
    /// The operators' command line.
    Cli,
    /// The test double of the key-value store.
    Store,
    /// The test double of a backend server.
    Backend,
}

impl Binary {
    /// The file name of the executable, without its folder.
    pub const fn file_name(self) -> &'static str {
        match self {
            Self::Node => "almondsail-node",
            Self::Cli => "almondsail",
            Self::Store => "standin_store",
            Self::Backend => "standin_backend",
        }
    }

    const fn is_example(self) -> bool {
        match self {
            Self::Node | Self::Cli => false,
            Self::Store | Self::Backend => true,
        }
    }

    /// Returns the path of the binary in the target folder of the current executable.
    ///
    /// Cargo puts tests in `target/PROFILE/deps` and examples in
    /// `target/PROFILE/examples`, so the profile's folder is one level up. The error
    /// for a missing binary names the command that builds it.
    pub fn path(self) -> Result<PathBuf> {
        let own = std::env::current_exe()?;
        let profile = own
            .parent()
            .and_then(|folder| folder.parent())
            .ok_or_else(|| eyre!("{} is not in a target folder", own.display()))?;
        let folder = if self.is_example() { profile.join("examples") } else { profile.into() };
        let path = folder.join(self.file_name());
        ensure!(
            path.is_file(),
            "{} is missing; build it with `cargo build --workspace --bins --examples`{}",
            path.display(),
            if cfg!(debug_assertions) { "" } else { " and `--release`" },
        );
        path.canonicalize().wrap_err_with(|| path.display().to_string())
    }
}
