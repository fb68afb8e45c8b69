//! The query component of a request's target.

use std::str::FromStr;

use eyre::{Result, WrapErr};

/// The query component of a request's target; its values are not percent-decoded.
#[derive(Debug, Clone, Copy)]
pub struct Query<'a>(&'a str);

impl<'a> Query<'a> {
    /// Returns the query of `uri`, which is empty if the URI has none.
    pub fn of(uri: &'a http::Uri) -> Self {
        Self(uri.query().unwrap_or(""))
    }

    /// Returns the text of the parameter `name`, or `None` if it is absent.
    ///
    /// ```
    /// use almondsail_testkit::http::Query;
    ///
    /// let uri: http::Uri = "/v1/kv/a?watch=3".parse()?;
    /// assert_eq!(Query::of(&uri).text("watch"), Some("3"));
    /// # Ok::<(), http::uri::InvalidUri>(())
    /// ```
    pub fn text(&self, name: &str) -> Option<&'a str> {
        self.0
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|(key, _)| *key == name)
            .map(|(_, value)| value)
    }

    /// Parses the value of the parameter `name`; returns `None` if it is absent.
    pub fn value<T: FromStr>(&self, name: &str) -> Result<Option<T>>
    where
        T::Err: std::error::Error + Send + Sync + 'static,
    {
        self.text(name)
            .map(|text| text.parse().wrap_err_with(|| format!("{name}={text}")))
            .transpose()
    }
}
