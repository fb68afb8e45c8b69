//! The binaries that a harness starts.

use std::path::PathBuf;

use eyre::{Result, WrapErr, ensure, eyre};

/// A binary of the workspace.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Binary {
    /// The node.
    Node,
    /// The operators' tool.
    Cli,
    /// The store stand-in.
    Store,
    /// The backend stand-in.
    Backend,
}

impl Binary {
    /// The name of the file.
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

    /// The path of the binary that was built with this executable.
    ///
    /// Tests lie in `target/PROFILE/deps` and examples in
    /// `target/PROFILE/examples`, so the profile's folder is one level up.
    pub fn path(self) -> Result<PathBuf> {
        let own = std::env::current_exe()?;
        let profile = own
            .parent()
            .and_then(|folder| folder.parent())
            .ok_or_else(|| eyre!("{} lies in no target folder", own.display()))?;
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
