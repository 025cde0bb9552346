//! Fields of a form as the browser sends them.

/// Names and values in the order of the form.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct FormFields {
    pairs: Vec<(String, String)>,
}

impl FormFields {
    /// Reads a form body. Browsers end lines with CR LF, which would make every text differ from
    /// the one that was shown.
    pub(crate) fn parse(body: &[u8]) -> FormFields {
        let pairs = form_urlencoded::parse(body);
        let pairs = pairs.map(|(name, value)| (name.into_owned(), value.replace("\r\n", "\n")));
        FormFields { pairs: pairs.collect() }
    }

    /// The first value of `name`, empty where there is none.
    pub(crate) fn value(&self, name: &str) -> &str {
        let mut values = self.pairs.iter().filter(|(it, _)| it == name);
        values.next().map_or("", |(_, value)| value)
    }

    /// The first value of `name`.
    pub(crate) fn find(&self, name: &str) -> Option<&str> {
        self.pairs.iter().find(|(it, _)| it == name).map(|(_, value)| value.as_str())
    }

    /// All pairs.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&str, &str)> {
        self.pairs.iter().map(|(name, value)| (name.as_str(), value.as_str()))
    }
}
