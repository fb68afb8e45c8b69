//! A temporary folder for the files of one harness.

use std::path::{Path, PathBuf};

use eyre::{Result, WrapErr};

/// A temporary folder that is removed with its content when dropped.
#[derive(Debug)]
pub(super) struct TempFolder(PathBuf);

impl TempFolder {
    pub(super) fn create(name: &str) -> Result<Self> {
        let path = std::env::temp_dir().join(format!("almondsail-testkit-{name}"));
        std::fs::create_dir_all(&path).wrap_err_with(|| path.display().to_string())?;
        Ok(Self(path))
    }

    pub(super) fn path(&self) -> &Path {
        &self.0
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        // A folder that can't be removed doesn't affect later tests.
        let _removed = std::fs::remove_dir_all(&self.0);
    }
}
